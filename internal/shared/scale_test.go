package shared

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"craneglade/internal/shared/counts"
	"craneglade/internal/shared/escrow"
	"craneglade/internal/shared/judgement"
	"craneglade/internal/shared/packet"
)

// allowedBytesPerSecond is what a node of the target size may send for control traffic.
const allowedBytesPerSecond = 8 << 10

// replicaWithAllCounts returns the replica of one of n nodes that has received the counts of all others for each tenant,
// and the heap that it uses. None of that waits to be forwarded.
func replicaWithAllCounts(tb testing.TB, nodes, tenants int) (r *Replica, now time.Duration, heap uint64) {
	tb.Helper()
	before := heapInUse()
	cfg := config(0, nodes, 1)
	cfg.Features, cfg.BytesPerSecond = Features{Quotas: true}, allowedBytesPerSecond
	cfg.Quotas = map[string]float64{}
	for i := range tenants {
		cfg.Quotas[fmt.Sprint("tenant-", i)] = quotaPerSecond
	}
	now = time.Hour
	r = New(cfg, now)
	for i := 1; i < nodes; i++ {
		other := config(i, nodes, 1)
		meta := packet.Meta{Node: other.Self, Site: other.Site}.Encode()
		if err := r.MemberJoined(now, other.Name, meta); err != nil {
			tb.Fatal(err)
		}
	}
	now += 10 * time.Second
	r.Step(now) // sets the repeat interval by the fleet's size
	for i := 1; i < nodes; i++ {
		for tenant := range cfg.Quotas {
			w := counts.Window{Incarnation: 1, Epoch: 20, Counts: [counts.WindowEpochs]uint64{1, 20, 20, 20, 20, 20, 20, 20}}
			frame := packet.Frame(packet.Entry{Kind: packet.Window, Node: escrow.Node{Number: i, Incarnation: 1}, Key: quotaPrefix + tenant, Window: w})
			if _, err := r.Receive(now, frame); err != nil {
				tb.Fatal(err)
			}
		}
		r.ordinaryQueue.Reset()
	}
	r.Notes()
	return r, now, heapInUse() - before
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

var fleetSizes = []struct{ nodes, tenants int }{
	{12, 4}, {60, 4}, {300, 4}, {1500, 4}, {5900, 4},
	{12, 100}, {60, 100}, {300, 100}, {1500, 100}, {5900, 100},
	{12, 1000}, {60, 1000}, {300, 1000}, {1500, 1000},
}

// BenchmarkFlat measures what the flat mesh costs a node that has heard from all others: a Step, a View (which is taken
// with the engine locked), the heap, the repeat interval, and the bytes of its side of a full exchange.
func BenchmarkFlat(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("nodes=%d/tenants=%d", size.nodes, size.tenants), func(b *testing.B) {
			r, now, heap := replicaWithAllCounts(b, size.nodes, size.tenants)
			entries := len(r.State(now))
			b.Run("step", func(b *testing.B) {
				for b.Loop() { // the time stands still, as the received counts would expire otherwise
					r.Step(now)
					r.ordinaryQueue.Reset()
				}
				b.ReportMetric(float64(heap), "heap-B")
				b.ReportMetric(r.RepeatInterval().Seconds(), "interval-s")
				b.ReportMetric(float64(entries), "whole-B")
			})
			b.Run("view", func(b *testing.B) {
				for b.Loop() {
					r.View(now)
				}
			})
		})
	}
}

// The age of the other nodes' counts that a node uses, and how many it has at all, with all bytes that are allowed and no
// loss, in virtual time. More than a dozen nodes only with -long.
func TestCountAgeByFleetSize(t *testing.T) {
	sizes := []int{12}
	if *long {
		sizes = []int{12, 30, 60, 120}
	}
	for _, n := range sizes {
		for seed := range uint64(3) {
			f := newFleet(t, n)
			f.rng = rand.New(rand.NewPCG(seed, 2))
			for i := range f.nodes {
				cfg := config(i, n, 9)
				cfg.Features, cfg.BytesPerSecond = Features{Quotas: true}, allowedBytesPerSecond
				cfg.Quotas = map[string]float64{"a": quotaPerSecond, "b": quotaPerSecond, "c": quotaPerSecond, "d": quotaPerSecond}
				f.nodes[i] = New(cfg, f.now)
				f.nodes[i].SetBackends([]judgement.Backend{})
			}
			for i := range f.nodes {
				for j := range f.nodes {
					if i != j {
						f.introduce(i, j)
					}
				}
			}
			const span = 60 * time.Second
			f.run(span, nil)
			f.bytes = 0
			var ages []float64
			for range int(span / time.Second) { // sampled each second, so as not to hit one phase by chance
				f.run(time.Second, func(i int, r *Replica) {
					if f.now%(200*time.Millisecond) == 0 || i%3 == 0 {
						r.CountRequest(f.now, "a")
					}
				})
				for _, r := range f.nodes {
					ages = append(ages, r.ages(quotaPrefix+"a", n)...)
				}
			}
			repeatInterval := f.nodes[0].RepeatInterval()
			if repeatInterval < minRepeatInterval {
				t.Errorf("%d nodes: the repeat interval %v is below the minimum", n, repeatInterval)
			}
			slices.Sort(ages)
			t.Logf("%d nodes, seed %d: repeat interval %.1f s, age p50 %.1f s, p99 %.1f s; sent %.0f bytes/s per node", n, seed,
				repeatInterval.Seconds(), ages[len(ages)/2], ages[len(ages)*99/100], float64(f.bytes)/span.Seconds()/float64(n))
		}
	}
}

// ages returns the ages in seconds of the counts of all other nodes for a key, infinite for unknown ones.
func (r *Replica) ages(key string, nodes int) (all []float64) {
	r.table.Rates(r.clock.now, key, func(_ int, _ float64, age time.Duration) { all = append(all, age.Seconds()) })
	for len(all) < nodes-1 {
		all = append(all, math.Inf(1))
	}
	return all
}
