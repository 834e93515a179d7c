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

// entries returns the backends of a service, in three zones.
func entries(n int) []ListedBackend {
	all := make([]ListedBackend, n)
	for i := range all {
		all[i] = ListedBackend{ID: fmt.Sprintf("backend-%06d", i), Addr: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
			Zone: fmt.Sprint("zone-", i%3), Kind: "k", State: "Ready", StartedMS: 1}
	}
	return all
}

// BenchmarkFullList measures the first full list, applied with the engine locked while requests wait.
func BenchmarkFullList(b *testing.B) {
	for _, n := range []int{100, 1000, 5000, 20000, 170000} {
		b.Run(fmt.Sprint("backends=", n), func(b *testing.B) {
			all := entries(n)
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				e, _ := newEngine(b)
				b.StartTimer()
				e.takeList(&List{Version: 1, Full: true, Backends: all}, policy.ListFull)
				b.StopTimer()
				e.Stop()
				b.StartTimer()
			}
		})
	}
}

// BenchmarkDelta measures an update of one backend under the engine's lock. The backend alternates between draining and ready.
func BenchmarkDelta(b *testing.B) {
	for _, n := range []int{100, 1000, 5000, 20000} {
		b.Run(fmt.Sprint("backends=", n), func(b *testing.B) {
			all := entries(n)
			e, _ := newEngine(b)
			e.takeList(&List{Version: 1, Full: true, Backends: all}, policy.ListFull)
			one := all[n/2]
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				one.State = []string{"Terminating", "Ready"}[i%2]
				e.takeList(&List{Version: int64(i + 2), Backends: []ListedBackend{one}}, policy.ListDelta)
			}
			e.Stop()
		})
	}
}

// replicaState is a FleetState backed by a replica, as in internal/peers, without the network.
type replicaState struct {
	replica *shared.Replica
	now     time.Duration
}

func (s *replicaState) CountRequest(string)                         {}
func (s *replicaState) CountOverflow(string)                        {}
func (s *replicaState) RecordOutcome(judgement.Key, policy.Outcome) {}
func (s *replicaState) SetBackends(all []judgement.Backend)         { s.replica.SetBackends(all) }
func (s *replicaState) View() shared.View                           { return s.replica.View(s.now) }

// BenchmarkDeltaWithSharingOrSites is BenchmarkReplaced for a node that shares state and one that watches sites: both are passed all
// backends when one is added or removed.
func BenchmarkDeltaWithSharingOrSites(b *testing.B) {
	for _, to := range []string{"sharer", "sites"} {
		for _, n := range []int{100, 1000, 5000, 20000} {
			b.Run(fmt.Sprintf("%s/backends=%d", to, n), func(b *testing.B) {
				all := entries(n)
				e, _ := newEngine(b)
				if to == "sites" {
					e.WatchSites(siting.New(&e.settings, nil))
				} else {
					e.SetFleetState(&replicaState{shared.New(shared.Config{Name: "n0", Nodes: 1, Terms: escrow.DefaultTerms(), Limits: judgement.DefaultLimits(), BytesPerSecond: 8192, MaxDatagramBytes: 1400}, time.Hour), time.Hour})
				}
				e.takeList(&List{Version: 1, Full: true, Backends: all}, policy.ListFull)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					replaceOne(e, all, i)
				}
				e.Stop()
			})
		}
	}
}

// BenchmarkReplaced measures an update that removes a backend and adds another at its address.
func BenchmarkReplaced(b *testing.B) {
	for _, n := range []int{100, 1000, 5000, 20000} {
		b.Run(fmt.Sprint("backends=", n), func(b *testing.B) {
			all := entries(n)
			e, _ := newEngine(b)
			e.takeList(&List{Version: 1, Full: true, Backends: all}, policy.ListFull)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				replaceOne(e, all, i)
			}
			e.Stop()
		})
	}
}

// BenchmarkMassRemoval measures a list that removes 10,000 of 10,001 backends, and how long a request waits for the engine's lock
// when their grace ends.
func BenchmarkMassRemoval(b *testing.B) {
	const n = 10000
	all := entries(n + 1)
	var longest, forgetTime time.Duration
	for b.Loop() {
		b.StopTimer()
		e, _ := newEngine(b)
		e.settings.DrainGrace = 20 * time.Millisecond
		e.takeList(&List{Version: 1, Full: true, Backends: all}, policy.ListFull)
		b.StartTimer()
		e.takeList(&List{Version: 2, Full: true, Backends: all[:1]}, policy.ListFull)
		b.StopTimer()
		graceStart := time.Now()
		for known := n; known > 1; {
			start := time.Now()
			e.mu.Lock()
			waited := time.Since(start)
			known = len(e.byNumber)
			e.mu.Unlock()
			longest = max(longest, waited)
		}
		forgetTime = max(forgetTime, time.Since(graceStart))
		e.Stop()
		b.StartTimer()
	}
	b.ReportMetric(float64(longest.Microseconds()), "longest-wait-us")
	b.ReportMetric(float64(forgetTime.Microseconds()), "forgotten-us")
}

// replaceOne replaces one of the backends by another at its address.
func replaceOne(e *Engine, all []ListedBackend, i int) {
	one := &all[i%len(all)]
	leaving, fresh := *one, *one
	leaving.State = "Gone"
	fresh.ID = fmt.Sprint("fresh-", i)
	*one = fresh
	e.takeList(&List{Version: int64(i + 2), Backends: []ListedBackend{leaving, fresh}}, policy.ListDelta)
}
