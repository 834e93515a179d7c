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

// endpointChange returns a change of one of the service's endpoints as the control plane sends it.
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

// startWithEndpoints starts a node whose endpoints a test sets.
func startWithEndpoints(t *testing.T, known ...engine.ListedBackend) (*testNode, *endpoints) {
	t.Helper()
	r := startNode(t, newStubDiscovery(t), settingsJSON, nil, known...)
	s := newEndpoints(r.engine, serviceName, known)
	r.engine.ReplaceSource(s)
	return r, s
}

// endpointsInUse returns the endpoints that the node uses, after it has checked with a few requests that no other one gets any.
func endpointsInUse(t *testing.T, r *testNode, backends map[string]*stubBackend) string {
	t.Helper()
	var used []string
	before := map[string]int{}
	for name, b := range backends {
		before[name] = len(b.requests())
		if r.backendNumber(name) != 0 {
			used = append(used, name)
		}
	}
	c := r.dial(t)
	for i := range 40 {
		if resp, _ := c.roundTrip(view(fmt.Sprint("q", i))); resp.StatusCode != 200 {
			t.Fatalf("request %d: %d", i, resp.StatusCode)
		}
	}
	for name, b := range backends {
		if got := len(b.requests()) - before[name]; got > 0 && !slices.Contains(used, name) {
			t.Errorf("%s is not in use, but got %d requests", name, got)
		}
	}
	slices.Sort(used)
	return strings.Join(used, " ")
}

func TestControlPlaneEndpoints(t *testing.T) {
	t.Parallel()
	backends := map[string]*stubBackend{"old": newStubBackend(t, respondOK), "a": newStubBackend(t, respondOK), "b": newStubBackend(t, respondOK)}
	at := func(name string) string { return backends[name].ln.Addr().String() }
	r, s := startWithEndpoints(t, backends["old"].entry("old"))
	if got := endpointsInUse(t, r, backends); got != "old" {
		t.Fatalf("before the first list: in use %q", got)
	}
	// Changes without an endpoint are not a list: the known endpoints stay.
	s.apply([]resource.Change{tenantChange("dealer", 3)}, false)
	if got := endpointsInUse(t, r, backends); got != "old" {
		t.Errorf("after changes without an endpoint: in use %q", got)
	}
	s.apply([]resource.Change{endpointChange("a", at("a"), resource.EndpointReady), endpointChange("b", at("b"), resource.EndpointReady),
		{Resource: resource.Resource{Key: resource.Key{Service: "other", Kind: resource.KindEndpoint, Name: "x"},
			Endpoint: &resource.Endpoint{Address: "127.0.0.1:1", State: resource.EndpointReady}}}}, false)
	if got := endpointsInUse(t, r, backends); got != "a b" {
		t.Errorf("after the first list: in use %q", got)
	}
	s.apply([]resource.Change{deletion(resource.KindEndpoint, "a"), deletion(resource.KindEndpoint, "never there")}, false)
	if got := endpointsInUse(t, r, backends); got != "b" {
		t.Errorf("after a deletion: in use %q", got)
	}
	// In one update: new endpoints are added before the old ones are removed, so that requests always have one.
	s.apply([]resource.Change{deletion(resource.KindEndpoint, "b"), endpointChange("a", at("a"), resource.EndpointReady)}, false)
	if got := endpointsInUse(t, r, backends); got != "a" {
		t.Errorf("after a replacement: in use %q", got)
	}
	s.confirm() // changes nothing
	if got := endpointsInUse(t, r, backends); got != "a" {
		t.Errorf("after a confirmation: in use %q", got)
	}
}

// The grace of a drain starts when it is announced. A late drain, which may have been announced a while ago, has none left.
func TestControlPlaneDrains(t *testing.T) {
	t.Parallel()
	for _, late := range []bool{false, true} {
		a, b := newStubBackend(t, respondOK), newStubBackend(t, respondOK)
		r, s := startWithEndpoints(t)
		s.apply([]resource.Change{endpointChange("a", a.ln.Addr().String(), resource.EndpointReady),
			endpointChange("b", b.ln.Addr().String(), resource.EndpointReady)}, false)
		endpointsInUse(t, r, map[string]*stubBackend{"a": a, "b": b})
		announced := time.Now()
		s.apply([]resource.Change{endpointChange("a", a.ln.Addr().String(), resource.EndpointDraining)}, late)
		grace := r.cfg.Settings.Policy.DrainGrace
		if late {
			grace = 0
		}
		lastSend(t, r, b, func() bool { return time.Since(announced) >= grace })
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
		t.Errorf("with previous tenants: %+v", got)
	}
	if got := shareChanges("other", changes, 3, nil); len(got) > 0 {
		t.Errorf("of another service: %+v", got)
	}
}

// BenchmarkEndpointsHold reports the longest time for which the engine's lock is held while a first list of endpoints is applied, and
// then a change of one of them. Of each batch it takes the shortest time of all runs, to exclude the other load of the machine, and it
// reports the longest of all runs too.
func BenchmarkEndpointsHold(b *testing.B) {
	set, err := wire.DecodeSettings([]byte(settingsJSON))
	if err != nil {
		b.Fatal(err)
	}
	for _, size := range []int{1, 100, 1000, 10000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var list, change lockTimes
			for range b.N {
				e, err := engine.New(engine.Config{Settings: set.Policy, Seed: 1, Clock: engine.NewClock(), Carrier: carriers{},
					Log: slog.New(slog.DiscardHandler)})
				if err != nil {
					b.Fatal(err)
				}
				s := newEndpoints(e, serviceName, nil)
				e.SetSource(s, &engine.List{})
				var all []resource.Change
				for i := range size {
					all = append(all, endpointChange(fmt.Sprint("be-", i), fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255), resource.EndpointReady))
				}
				list.measure(s, all)
				all[0].Resource.Endpoint.Zone = "south"
				change.measure(s, all[:1])
				e.Stop()
			}
			list.report(b, "list")
			change.report(b, "change")
		})
	}
}

// lockTimes records how long each batch held the lock: the shortest time of each, and the longest of all.
type lockTimes struct {
	best  []time.Duration
	worst time.Duration
}

func (h *lockTimes) measure(s *endpoints, changes []resource.Change) {
	for i, piece := range s.batches(changes) {
		started := time.Now()
		s.applyBatch(piece, false)
		took := time.Since(started)
		if i == len(h.best) {
			h.best = append(h.best, took)
		}
		h.best[i] = min(h.best[i], took)
		h.worst = max(h.worst, took)
	}
}

func (h *lockTimes) report(b *testing.B, what string) {
	b.ReportMetric(slices.Max(h.best).Seconds()*1000, "longest-ms/"+what)
	b.ReportMetric(h.worst.Seconds()*1000, "worst-ms/"+what)
}
