package policy_test

import (
	"fmt"
	"testing"
	"time"

	"craneglade/policy"
)

// BenchmarkDecision measures one request and its outcome in fleets of several sizes: see docs/design/thresholds.md and
// docs/design/fleet.md.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ backends, nodes int }{{12, 3}, {120, 3}, {60, 80}, {1000, 80},
		{1000, 3}, {10000, 3}, {10000, 80}, {10000, 300}, {10000, 5900}} {
		backends := size.backends
		b.Run(fmt.Sprintf("boxes=%d/nodes=%d", backends, size.nodes), func(b *testing.B) {
			bal, err := policy.New(testSettings(size.nodes, false), 1)
			if err != nil {
				b.Fatal(err)
			}
			var list []policy.Entry
			for i := range backends {
				list = append(list, policy.Entry{ID: uint32(i + 1), Hash: uint64(i) << 40, Zone: []string{"east", "west"}[i%2], Kind: "k"})
			}
			now := time.Hour
			out := bal.Handle(now, &policy.Event{Kind: policy.EvList, List: policy.ListCached, Entries: list}, nil)
			b.ReportAllocs()
			for i := range b.N {
				now += time.Millisecond
				id := fmt.Sprint("r", i)
				out = bal.Handle(now, &policy.Event{Kind: policy.EvRequest, ID: id, Class: "read", Remaining: time.Second}, out[:0])
				for _, a := range out {
					if a.Kind == policy.ActSend {
						bal.Handle(now+40*time.Millisecond, &policy.Event{Kind: policy.EvOutcome, ID: id, Backend: a.Backend, Took: 40 * time.Millisecond,
							Finished: true, Outcome: policy.OK, Load: policy.Load{Known: true, Occupancy: 2}}, nil)
					}
				}
			}
		})
	}
}

// BenchmarkList measures list updates: a full list of backends that are all known, and a delta of one.
func BenchmarkList(b *testing.B) {
	for _, backends := range []int{18, 200, 1000, 5000, 20000} {
		var list []policy.Entry
		for i := range backends {
			list = append(list, policy.Entry{ID: uint32(i + 1), Hash: uint64(i) << 40, Zone: []string{"east", "west"}[i%2], Kind: "k"})
		}
		bal, err := policy.New(testSettings(300, false), 1)
		if err != nil {
			b.Fatal(err)
		}
		for _, kind := range []struct {
			name    string
			kind    policy.ListKind
			entries []policy.Entry
		}{{"full", policy.ListFull, list}, {"delta", policy.ListDelta, list[:1]}} {
			b.Run(fmt.Sprintf("%s/boxes=%d", kind.name, backends), func(b *testing.B) {
				now := time.Hour
				bal.Handle(now, &policy.Event{Kind: policy.EvList, List: policy.ListFull, Entries: list}, nil)
				b.ReportAllocs()
				for b.Loop() {
					now += time.Millisecond
					bal.Handle(now, &policy.Event{Kind: policy.EvList, List: kind.kind, Entries: kind.entries}, nil)
				}
			})
		}
	}
}

// BenchmarkTenants measures one request and its outcome with many tenants that have quotas.
func BenchmarkTenants(b *testing.B) {
	for _, tenants := range []int{4, 100, 1000, 10000, 100000, 1500000} {
		b.Run(fmt.Sprint("tenants=", tenants), func(b *testing.B) {
			set := testSettings(3, false)
			set.OverShare = 0.5
			for i := range tenants {
				set.Tenants = append(set.Tenants, policy.Tenant{Name: fmt.Sprintf("tenant-%07d", i), QuotaPerS: 1e6})
			}
			bal, err := policy.New(set, 1)
			if err != nil {
				b.Fatal(err)
			}
			list := []policy.Entry{{ID: 1, Zone: "east", Kind: "k"}, {ID: 2, Zone: "west", Kind: "k"}}
			now := time.Hour
			out := bal.Handle(now, &policy.Event{Kind: policy.EvList, List: policy.ListCached, Entries: list}, nil)
			last := set.Tenants[tenants-1].Name
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += time.Millisecond
				id := fmt.Sprint("r", i)
				out = bal.Handle(now, &policy.Event{Kind: policy.EvRequest, ID: id, Class: "read", Tenant: last, Remaining: time.Second}, out[:0])
				for _, a := range out {
					if a.Kind == policy.ActSend {
						bal.Handle(now+40*time.Millisecond, &policy.Event{Kind: policy.EvOutcome, ID: id, Backend: a.Backend, Took: 40 * time.Millisecond,
							Finished: true, Outcome: policy.OK, Load: policy.Load{Known: true, Occupancy: 2}}, nil)
					}
				}
			}
		})
	}
}
