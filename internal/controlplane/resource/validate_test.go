package resource

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

func service(name string) Resource {
	return Resource{Key: Key{name, KindService, name}, Service: &Service{Region: "north", DrainGrace: 5 * time.Second, MaxAttempts: 3}}
}

func endpoint(service, name string) Resource {
	return Resource{Key: Key{service, KindEndpoint, name}, Endpoint: &Endpoint{Address: "127.0.0.1:8080", Zone: "a", Class: "small",
		Cell: 7, State: EndpointReady, StartedMS: 1700000000000}}
}

func route(service, name string) Resource {
	return Resource{Key: Key{service, KindRoute, name}, Route: &Route{Host: "shop.example", PathPrefix: "/cart"}}
}

func tenant(service, name string) Resource {
	return Resource{Key: Key{service, KindTenant, name}, Tenant: &Tenant{Quota: 12.5}}
}

func TestValidResources(t *testing.T) {
	anyHost := route("cart", "any")
	anyHost.Route.Host = ""
	noZone := endpoint("cart", "e")
	noZone.Endpoint.Zone, noZone.Endpoint.Address = "", "[fd00::1]:443"
	for _, r := range []Resource{service("cart"), endpoint("cart", "e"), route("cart", "r"), tenant("cart", "t"), anyHost, noZone,
		tenant("cart", "Zürich/7")} {
		if err := r.Validate(); err != nil {
			t.Errorf("%s: %v", r.Key, err)
		}
	}
}

func TestInvalidResources(t *testing.T) {
	for _, c := range []struct {
		change Change
		want   string // the complete error text
	}{
		{changeWith(endpoint("cart", "e"), func(r *Resource) { r.Endpoint.Address = "cart.example:80" }),
			`endpoint "e" of service "cart": address: "cart.example:80"; an IP address and port as in 10.0.0.1:8080 or [fd00::1]:8080`},
		{changeWith(endpoint("cart", "e"), func(r *Resource) { r.Endpoint.Address = "0.0.0.0:80" }),
			`endpoint "e" of service "cart": address: "0.0.0.0:80" can't be connected to; an IP address and port as in 10.0.0.1:8080 or [fd00::1]:8080`},
		{changeWith(endpoint("cart", "e"), func(r *Resource) { r.Endpoint.Address = "127.0.0.1:0" }),
			`endpoint "e" of service "cart": address: "127.0.0.1:0" can't be connected to; an IP address and port as in 10.0.0.1:8080 or [fd00::1]:8080`},
		{changeWith(endpoint("cart", "e"), func(r *Resource) { r.Endpoint.Address = "127.0.0.1:080" }),
			`endpoint "e" of service "cart": address: "127.0.0.1:080"; an IP address and port as in 10.0.0.1:8080 or [fd00::1]:8080`},
		{changeWith(endpoint("cart", "e"), func(r *Resource) { r.Endpoint.State = 0 }),
			`endpoint "e" of service "cart": state: 0 is not known; 1 for ready, 2 for draining`},
		{changeWith(endpoint("cart", "e"), func(r *Resource) { r.Endpoint.Zone = "a b" }),
			`endpoint "e" of service "cart": zone: "a b"; printable UTF-8 without spaces`},
		{changeWith(endpoint("cart", "e"), func(r *Resource) { r.Endpoint.Class = strings.Repeat("x", 129) }),
			`endpoint "e" of service "cart": class: 129 bytes; at most 128`},
		{changeWith(endpoint("cart", "e"), func(r *Resource) { r.Endpoint.StartedMS = MaxStartedMS + 1 }),
			`endpoint "e" of service "cart": start: 253402300800000 ms; Unix milliseconds up to the year 9999`},
		{changeWith(endpoint("cart", "e"), func(r *Resource) { r.Key.Name = "line\nbreak" }),
			`endpoint "line\nbreak" of service "cart": name: "line\nbreak"; printable UTF-8 without spaces`},
		{changeWith(endpoint("cart", "e"), func(r *Resource) { r.Key.Service = "" }),
			`endpoint "e" of service "": service: missing; 1 to 128 bytes without spaces`},
		{changeWith(endpoint("cart", "e"), func(r *Resource) { r.Key.Kind = 9 }),
			`kind 9 "e" of service "cart": kind: 9 is not known; the kinds are 1 to 4`},
		{changeWith(endpoint("cart", "e"), func(r *Resource) { r.Tenant = &Tenant{} }),
			`endpoint "e" of service "cart": value: not exactly that of its kind; set the endpoint alone`},
		{changeWith(endpoint("cart", "e"), func(r *Resource) { r.Endpoint, r.Tenant = nil, &Tenant{} }),
			`endpoint "e" of service "cart": value: not exactly that of its kind; set the endpoint alone`},
		{Change{Resource: endpoint("cart", "e"), Deleted: true},
			`endpoint "e" of service "cart": value: one is given, though the resource is deleted; give the key only`},
		{changeWith(service("cart"), func(r *Resource) { r.Key.Name = "carts" }), `service "cart": name: "carts"; a service has its own name twice`},
		{changeWith(service("cart"), func(r *Resource) { r.Service.Region = "" }), `service "cart": region: missing; 1 to 128 bytes without spaces`},
		{changeWith(service("cart"), func(r *Resource) { r.Service.DrainGrace = time.Microsecond }),
			`service "cart": drain grace: 1µs; whole milliseconds from 0s to 24h0m0s`},
		{changeWith(service("cart"), func(r *Resource) { r.Service.MaxAttempts = 0 }), `service "cart": max attempts: 0; from 1 to 100`},
		{changeWith(route("cart", "r"), func(r *Resource) { r.Route.Host = "Shop.example" }),
			`route "r" of service "cart": host: "Shop.example"; lower-case letters, digits, '-', '_' and '.'`},
		{changeWith(route("cart", "r"), func(r *Resource) { r.Route.Host = strings.Repeat("a", 254) }),
			`route "r" of service "cart": host: 254 bytes; at most 253`},
		{changeWith(route("cart", "r"), func(r *Resource) { r.Route.PathPrefix = "cart" }),
			`route "r" of service "cart": path prefix: "cart"; it begins with "/"`},
		{changeWith(route("cart", "r"), func(r *Resource) { r.Route.PathPrefix = "/cart?x" }),
			`route "r" of service "cart": path prefix: "/cart?x"; ASCII without spaces, '?' and '#'`},
		{changeWith(route("cart", "r"), func(r *Resource) { r.Route.PathPrefix = "/" + strings.Repeat("a", 1024) }),
			`route "r" of service "cart": path prefix: 1025 bytes; at most 1024`},
		{changeWith(tenant("cart", "t"), func(r *Resource) { r.Tenant.Quota = math.NaN() }),
			`tenant "t" of service "cart": quota: NaN requests a second; a finite number, not negative`},
		{changeWith(tenant("cart", "t"), func(r *Resource) { r.Tenant.Quota = -1 }),
			`tenant "t" of service "cart": quota: -1 requests a second; a finite number, not negative`},
	} {
		err := c.change.Validate()
		var invalid *InvalidError
		if !errors.As(err, &invalid) || err.Error() != c.want {
			t.Errorf("got  %v\nwant %s", err, c.want)
		}
	}
}

func changeWith(r Resource, change func(*Resource)) Change {
	change(&r)
	return Change{Resource: r}
}

// Names with line breaks or of great length must not make an error longer than one short line.
func TestErrorsAreOneShortLine(t *testing.T) {
	hostile := strings.Repeat("é\n", 1000)
	err := (&Resource{Key: Key{hostile, KindTenant, hostile}, Tenant: &Tenant{}}).Validate()
	if err == nil || strings.Contains(err.Error(), "\n") || len(err.Error()) > 600 {
		t.Errorf("%d bytes: %v", len(err.Error()), err)
	}
}

func TestTransactionLimitsAndDuplicates(t *testing.T) {
	var many, large []Change
	for i := range MaxChanges + 1 {
		many = append(many, Change{Resource: tenant("cart", fmt.Sprint(i))})
	}
	for i := range MaxTransactionBytes / MaxPathBytes {
		r := route("cart", fmt.Sprint(i))
		r.Route.PathPrefix = "/" + strings.Repeat("a", MaxPathBytes-1)
		large = append(large, Change{Resource: r})
	}
	for name, c := range map[string]struct {
		changes []Change
		want    string
	}{
		"empty": {nil, "transaction: no changes; give at least one"},
		"many":  {many, "transaction: 10001 changes; at most 10000 fit; split it"},
		"large": {large, "transaction: 1092522 bytes; at most 1048576 fit; split it"},
		"twice": {[]Change{{Resource: tenant("cart", "t")}, {Resource: Resource{Key: Key{"cart", KindTenant, "t"}}, Deleted: true}},
			`tenant "t" of service "cart": name: changed twice in one transaction; change each resource once`},
		"one bad": {[]Change{{Resource: service("cart")}, changeWith(tenant("cart", "t"), func(r *Resource) { r.Tenant = nil })},
			`tenant "t" of service "cart": value: not exactly that of its kind; set the tenant alone`},
	} {
		if err := ValidateChanges(c.changes); err == nil || err.Error() != c.want {
			t.Errorf("%s: got %v\nwant %s", name, err, c.want)
		}
	}
	if err := ValidateChanges(many[:MaxChanges]); err != nil {
		t.Errorf("the maximum number of changes: %v", err)
	}
}
