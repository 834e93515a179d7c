package engine

import (
	"fmt"
	"testing"
	"time"

	"craneglade/internal/shared"
	"craneglade/internal/shared/escrow"
	"craneglade/internal/shared/judgement"
	"craneglade/internal/siting"
	"craneglade/policy"
)

// entries are a service's backends, in three zones.
func entries(n int) []ListedBackend {
	all := make([]ListedBackend, n)
	for i := range all {
		all[i] = ListedBackend{ID: fmt.Sprintf("backend-%06d", i), Addr: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
			Zone: fmt.Sprint("zone-", i%3), Kind: "k", State: "Ready", StartedMS: 1}
	}
	return all
}

// BenchmarkFullList is what the first whole list costs under the engine's lock, which each request waits for.
func BenchmarkFullList(b *testing.B) {
	for _, n := range []int{100, 1000, 5000, 20000, 170000} {
		b.Run(fmt.Sprint("backends=", n), func(b *testing.B) {
			all := entries(n)
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				e, _ := newEngine(b)
				b.StartTimer()
				e.takeList(&List{Version: 1, Full: true, Servers: all}, policy.ListFull)
				b.StopTimer()
				e.Stop()
				b.StartTimer()
			}
		})
	}
}

// BenchmarkDelta is what news of one backend costs under the engine's lock: one that drains and is ready again, by turns.
func BenchmarkDelta(b *testing.B) {
	for _, n := range []int{100, 1000, 5000, 20000} {
		b.Run(fmt.Sprint("backends=", n), func(b *testing.B) {
			all := entries(n)
			e, _ := newEngine(b)
			e.takeList(&List{Version: 1, Full: true, Servers: all}, policy.ListFull)
			one := all[n/2]
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				one.State = []string{"Terminating", "Ready"}[i%2]
				e.takeList(&List{Version: int64(i + 2), Servers: []ListedBackend{one}}, policy.ListDelta)
			}
			e.Stop()
		})
	}
}

// sharing is a Sharer that a replica is behind, as in internal/peers, without the network.
type sharing struct {
	replica *shared.Replica
	now     time.Duration
}

func (s *sharing) CountRequest(string)                         {}
func (s *sharing) CountCrossSite(string)                       {}
func (s *sharing) RecordOutcome(judgement.Key, policy.Outcome) {}
func (s *sharing) SetBackends(all []judgement.Backend)         { s.replica.Listed(all) }
func (s *sharing) View() shared.View                           { return s.replica.View(s.now) }

// BenchmarkDeltaTold is BenchmarkReplaced where the node shares state, and where it watches sites: both are told all
// backends when one comes or goes.
func BenchmarkDeltaTold(b *testing.B) {
	for _, to := range []string{"sharer", "sites"} {
		for _, n := range []int{100, 1000, 5000, 20000} {
			b.Run(fmt.Sprintf("%s/backends=%d", to, n), func(b *testing.B) {
				all := entries(n)
				e, _ := newEngine(b)
				if to == "sites" {
					e.WatchSites(siting.New(&e.set, nil))
				} else {
					e.SetFleetState(&sharing{shared.New(shared.Config{Name: "n0", Nodes: 1, Terms: escrow.Usual(), Limits: judgement.Usual(), BytesPS: 8192, Datagram: 1400}, time.Hour), time.Hour})
				}
				e.takeList(&List{Version: 1, Full: true, Servers: all}, policy.ListFull)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					replaceOne(e, all, i)
				}
				e.Stop()
			})
		}
	}
}

// BenchmarkReplaced is what news of one new backend at a new address costs, and the end of another.
func BenchmarkReplaced(b *testing.B) {
	for _, n := range []int{100, 1000, 5000, 20000} {
		b.Run(fmt.Sprint("backends=", n), func(b *testing.B) {
			all := entries(n)
			e, _ := newEngine(b)
			e.takeList(&List{Version: 1, Full: true, Servers: all}, policy.ListFull)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				replaceOne(e, all, i)
			}
			e.Stop()
		})
	}
}

// BenchmarkAllGone is 10,000 backends of 10,001 that leave at once: the list that says so, and for how long a request
// finds the engine's lock taken while their grace ends.
func BenchmarkAllGone(b *testing.B) {
	const n = 10000
	all := entries(n + 1)
	var longest, took time.Duration
	for b.Loop() {
		b.StopTimer()
		e, _ := newEngine(b)
		e.set.DrainGrace = 20 * time.Millisecond
		e.takeList(&List{Version: 1, Full: true, Servers: all}, policy.ListFull)
		b.StartTimer()
		e.takeList(&List{Version: 2, Full: true, Servers: all[:1]}, policy.ListFull)
		b.StopTimer()
		begun := time.Now()
		for known := n; known > 1; {
			asked := time.Now()
			e.mu.Lock()
			waited := time.Since(asked)
			known = len(e.boxes)
			e.mu.Unlock()
			longest = max(longest, waited)
		}
		took = max(took, time.Since(begun))
		e.Stop()
		b.StartTimer()
	}
	b.ReportMetric(float64(longest.Microseconds()), "longest-wait-us")
	b.ReportMetric(float64(took.Microseconds()), "forgotten-us")
}

// replaceOne takes in that one of the backends has gone, and that another stands at its address.
func replaceOne(e *Engine, all []ListedBackend, i int) {
	one := &all[i%len(all)]
	gone, fresh := *one, *one
	gone.State = "Gone"
	fresh.ID = fmt.Sprint("fresh-", i)
	*one = fresh
	e.takeList(&List{Version: int64(i + 2), Servers: []ListedBackend{gone, fresh}}, policy.ListDelta)
}
