package changefile

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"craneglade/internal/controlplane/resource"
)

const example = `[[service]]
name = "configurator"
region = "north"
drain_grace = "2s"
max_attempts = 3
[[endpoint]]
service = "configurator"
name = "be-7"
address = "127.0.0.1:9001"
zone = "north-a"
class = "m"
cell = 4
state = "draining"
started_ms = 12
[[route]]
service = "configurator"
name = "doors"
host = "doors.example.org"
path_prefix = "/"
[[tenant]]
service = "configurator"
name = "dealer-1"
quota = 12.5
[[delete]]
service = "configurator"
kind = "endpoint"
name = "be-6"
`

func key(kind resource.Kind, name string) resource.Key {
	return resource.Key{Service: "configurator", Kind: kind, Name: name}
}

func TestParse(t *testing.T) {
	want := []resource.Change{
		{Resource: resource.Resource{Key: key(resource.KindService, "configurator"),
			Service: &resource.Service{Region: "north", DrainGrace: 2 * time.Second, MaxAttempts: 3}}},
		{Resource: resource.Resource{Key: key(resource.KindEndpoint, "be-7"), Endpoint: &resource.Endpoint{Address: "127.0.0.1:9001",
			Zone: "north-a", Class: "m", Cell: 4, State: resource.EndpointDraining, StartedMS: 12}}},
		{Resource: resource.Resource{Key: key(resource.KindRoute, "doors"), Route: &resource.Route{Host: "doors.example.org", PathPrefix: "/"}}},
		{Resource: resource.Resource{Key: key(resource.KindTenant, "dealer-1"), Tenant: &resource.Tenant{Quota: 12.5}}},
		{Resource: resource.Resource{Key: key(resource.KindEndpoint, "be-6")}, Deleted: true},
	}
	got, err := Parse("changes.toml", []byte(example))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("%+v, %v", got, err)
	}
	if err := resource.ValidateChanges(got); err != nil {
		t.Error(err)
	}
	var set []resource.Resource
	for _, c := range got[:4] {
		set = append(set, c.Resource)
	}
	text, err := Format(set)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := Parse("got.json", text); err != nil || !reflect.DeepEqual(again, want[:4]) {
		t.Errorf("Parse of the result of Format: %+v, %v", again, err)
	}
}

func TestParseRejectsInvalidFiles(t *testing.T) {
	for _, x := range []struct{ name, old, new, want string }{
		{"c.toml", `quota = 12.5`, `quotas = 12.5`, "c.toml:23: tenant.quotas: no such key; did you mean quota?"},
		{"c.toml", `"draining"`, `"gone"`, `c.toml: endpoint "be-7" of service "configurator": state: "gone"; ready or draining`},
		{"c.toml", `"2s"`, `"2"`, `c.toml: service "configurator": drain_grace: "2"; a number and a unit, such as "2s"`},
		{"c.toml", `kind = "endpoint"`, `kind = "box"`, `c.toml: delete "be-6" of service "configurator": kind: "box"; service, endpoint, route or tenant`},
		{"c.toml", `cell = 4`, `cell = -4`, "c.toml:12:"},
		{"c.json", example, "{\n\"tenants\": []}", `c.json: line 2 or later: json: unknown field "tenants"`},
		{"c.json", example, `{} {}`, "c.json: unexpected data after the JSON object of changes"},
		{"c.json", example, `{`, "c.json: line 1 or later: unexpected EOF"},
	} {
		text := strings.Replace(example, x.old, x.new, 1)
		if text == example {
			t.Fatalf("%q is not in the example", x.old)
		}
		if _, err := Parse(x.name, []byte(text)); err == nil || !strings.Contains(err.Error(), x.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("got %v\nwant %s", err, x.want)
		}
	}
}

// BenchmarkParse parses a file with about the max size of one transaction.
func BenchmarkParse(b *testing.B) {
	var text strings.Builder
	for i := range 6000 {
		fmt.Fprintf(&text, "[[tenant]]\nservice = \"configurator\"\nname = \"%0100d\"\nquota = 1.0\n", i)
	}
	for b.Loop() {
		if _, err := Parse("c.toml", []byte(text.String())); err != nil {
			b.Fatal(err)
		}
	}
}
