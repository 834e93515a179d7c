package node

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"craneglade/internal/admission"
	"craneglade/internal/controlplane/resource"
	"craneglade/internal/engine"
	"craneglade/internal/wire"
)

const serviceName = "configurator"

// endpointChange is one of the service's endpoints as the control plane tells it.
func endpointChange(name, address string, state resource.EndpointState) resource.Change {
	return resource.Change{Resource: resource.Resource{Key: resource.Key{Service: serviceName, Kind: resource.KindEndpoint, Name: name},
		Endpoint: &resource.Endpoint{Address: address, Zone: "north", Class: "k", State: state}}}
}

func deletion(kind resource.Kind, name string) resource.Change {
	return resource.Change{Deleted: true, Resource: resource.Resource{Key: resource.Key{Service: serviceName, Kind: kind, Name: name}}}
}

func tenantChange(name string, quota float64) resource.Change {
	return resource.Change{Resource: resource.Resource{Key: resource.Key{Service: serviceName, Kind: resource.KindTenant, Name: name},
		Tenant: &resource.Tenant{Quota: quota}}}
}

// controlled is a node whose endpoints are those that a test tells it.
func controlled(t *testing.T, known ...engine.Listed) (*rig, *endpoints) {
	t.Helper()
	r := newRig(t, newRegistry(t), settingsJSON, nil, known...)
	s := newEndpoints(r.engine, serviceName, known)
	r.engine.Replace(s)
	return r, s
}

// endpointsInUse are the endpoints that the node uses. Of the others none may get a request, which is tried with a few.
func endpointsInUse(t *testing.T, r *rig, boxes map[string]*box) string {
	t.Helper()
	var used []string
	before := map[string]int{}
	for name, b := range boxes {
		before[name] = len(b.requests())
		if r.numbered(name) != 0 {
			used = append(used, name)
		}
	}
	c := r.dial(t)
	for i := range 40 {
		if resp, _ := c.ask(view(fmt.Sprint("q", i))); resp.StatusCode != 200 {
			t.Fatalf("request %d: %d", i, resp.StatusCode)
		}
	}
	for name, b := range boxes {
		if got := len(b.requests()) - before[name]; got > 0 && !slices.Contains(used, name) {
			t.Errorf("%s is not in use and got %d requests", name, got)
		}
	}
	slices.Sort(used)
	return strings.Join(used, " ")
}

func TestEndpointsFromTheControlPlane(t *testing.T) {
	t.Parallel()
	boxes := map[string]*box{"old": newBox(t, served), "a": newBox(t, served), "b": newBox(t, served)}
	at := func(name string) string { return boxes[name].ln.Addr().String() }
	r, s := controlled(t, boxes["old"].entry("old"))
	if got := endpointsInUse(t, r, boxes); got != "old" {
		t.Fatalf("before the first list: in use %q", got)
	}
	// What names no endpoint is no list of them: what was known stays.
	s.apply([]resource.Change{tenantChange("dealer", 3)}, false)
	if got := endpointsInUse(t, r, boxes); got != "old" {
		t.Errorf("without an endpoint: in use %q", got)
	}
	s.apply([]resource.Change{endpointChange("a", at("a"), resource.EndpointReady), endpointChange("b", at("b"), resource.EndpointReady),
		{Resource: resource.Resource{Key: resource.Key{Service: "other", Kind: resource.KindEndpoint, Name: "x"},
			Endpoint: &resource.Endpoint{Address: "127.0.0.1:1", State: resource.EndpointReady}}}}, false)
	if got := endpointsInUse(t, r, boxes); got != "a b" {
		t.Errorf("after the first list: in use %q", got)
	}
	s.apply([]resource.Change{deletion(resource.KindEndpoint, "a"), deletion(resource.KindEndpoint, "never there")}, false)
	if got := endpointsInUse(t, r, boxes); got != "b" {
		t.Errorf("after a deletion: in use %q", got)
	}
	// All at once: successors come before their predecessors go, so that no request finds none.
	s.apply([]resource.Change{deletion(resource.KindEndpoint, "b"), endpointChange("a", at("a"), resource.EndpointReady)}, false)
	if got := endpointsInUse(t, r, boxes); got != "a" {
		t.Errorf("after an exchange: in use %q", got)
	}
	s.heard() // changes nothing
	if got := endpointsInUse(t, r, boxes); got != "a" {
		t.Errorf("after a heartbeat: in use %q", got)
	}
}

// A drain's grace counts from its telling; one that may have been told a while ago has none left.
func TestDrainsFromTheControlPlane(t *testing.T) {
	t.Parallel()
	for _, late := range []bool{false, true} {
		a, b := newBox(t, served), newBox(t, served)
		r, s := controlled(t)
		s.apply([]resource.Change{endpointChange("a", a.ln.Addr().String(), resource.EndpointReady),
			endpointChange("b", b.ln.Addr().String(), resource.EndpointReady)}, false)
		endpointsInUse(t, r, map[string]*box{"a": a, "b": b})
		told := time.Now()
		s.apply([]resource.Change{endpointChange("a", a.ln.Addr().String(), resource.EndpointDraining)}, late)
		grace := r.cfg.Settings.Policy.DrainGrace
		if late {
			grace = 0
		}
		lastSend(t, r, b, func() bool { return time.Since(told) >= grace })
		before := len(a.requests())
		n := 0
		lastSend(t, r, b, func() bool { n++; return n > 100 })
		if got := len(a.requests()) - before; got > 0 {
			t.Errorf("late %v: %d requests after the grace", late, got)
		}
	}
}

func TestShareChanges(t *testing.T) {
	changes := []resource.Change{tenantChange("a", 12), tenantChange("b", 0), deletion(resource.KindTenant, "c"),
		endpointChange("e", "127.0.0.1:1", resource.EndpointReady)}
	want := []admission.ShareChange{{Tenant: "a", Share: 4}, {Tenant: "b"}, {Tenant: "c", Removed: true}}
	if got := shareChanges(serviceName, changes, 3, nil); !slices.Equal(got, want) {
		t.Errorf("%+v", got)
	}
	got := shareChanges(serviceName, changes, 3, map[string]float64{"a": 1, "old": 1})
	if want = append(want, admission.ShareChange{Tenant: "old", Removed: true}); !slices.Equal(got, want) {
		t.Errorf("with tenants known before: %+v", got)
	}
	if got := shareChanges("other", changes, 3, nil); len(got) > 0 {
		t.Errorf("of another service: %+v", got)
	}
}

// BenchmarkEndpointsHold reports the longest time for which the engine's lock is held while a first list of so many
// endpoints comes into force, and then a change of one of them. Each piece counts by the least of all plays, so that what
// else the machine does stays out of it; the worst play is reported beside it.
func BenchmarkEndpointsHold(b *testing.B) {
	set, err := wire.DecodeSettings([]byte(settingsJSON))
	if err != nil {
		b.Fatal(err)
	}
	for _, size := range []int{1, 100, 1000, 10000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var list, change holds
			for range b.N {
				e, err := engine.New(engine.Config{Settings: set.Policy, Seed: 1, Clock: engine.NewClock(), Carrier: carriers{},
					Log: slog.New(slog.DiscardHandler)})
				if err != nil {
					b.Fatal(err)
				}
				s := newEndpoints(e, serviceName, nil)
				e.Follow(s, &engine.List{})
				var all []resource.Change
				for i := range size {
					all = append(all, endpointChange(fmt.Sprint("be-", i), fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255), resource.EndpointReady))
				}
				list.play(s, all)
				all[0].Resource.Endpoint.Zone = "south"
				change.play(s, all[:1])
				e.Stop()
			}
			list.report(b, "list")
			change.report(b, "change")
		})
	}
}

// holds are how long each piece held the lock, in the best play and over all of them.
type holds struct {
	least []time.Duration
	worst time.Duration
}

func (h *holds) play(s *endpoints, changes []resource.Change) {
	for i, piece := range s.pieces(changes) {
		begun := time.Now()
		s.tell(piece, false)
		took := time.Since(begun)
		if i == len(h.least) {
			h.least = append(h.least, took)
		}
		h.least[i] = min(h.least[i], took)
		h.worst = max(h.worst, took)
	}
}

func (h *holds) report(b *testing.B, what string) {
	b.ReportMetric(slices.Max(h.least).Seconds()*1000, "longest-ms/"+what)
	b.ReportMetric(h.worst.Seconds()*1000, "worst-ms/"+what)
}
