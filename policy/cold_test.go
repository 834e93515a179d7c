package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// coldFleet simulates nodes and a few backends in virtual time; two of the backends start cold under traffic.
type coldFleet struct {
	set      Settings
	rng      *rand.Rand
	nodes    []*Balancer
	queue    coldEventQueue
	backends map[uint32]*coldBackend
	seq      int
}

type coldBackend struct {
	entry    Entry
	inFlight float64
	sentAt   []float64 // times of the attempts sent to it, in seconds
}

type coldEvent struct {
	at   float64
	seq  int
	node int
	ev   Event
}

type coldEventQueue []coldEvent

func (a coldEventQueue) Len() int { return len(a) }
func (a coldEventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a coldEventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *coldEventQueue) Push(x any)   { *a = append(*a, x.(coldEvent)) }
func (a *coldEventQueue) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

const (
	coldCores = 4.0
	coldWork  = 0.05 // core seconds per request on average
	coldStart = 8.0  // when the cold ones start, in seconds
)

func (f *coldFleet) add(at float64, node int, ev Event) {
	f.seq++
	heap.Push(&f.queue, coldEvent{at, f.seq, node, ev})
}

// capacity returns the average requests per second that a backend can serve at a given time.
func (f *coldFleet) capacity(b *coldBackend, at float64) float64 {
	ramp := 1.0
	if b.entry.Launched > 0 {
		age := at - (b.entry.Launched - t0).Seconds()
		ramp = min(1, f.set.ColdShare+(1-f.set.ColdShare)*max(0, age)/f.set.ColdFor.Seconds())
	}
	return ramp * coldCores / coldWork
}

// simulate runs nodes with warm backends and two cold ones, at a load that is a fraction of the warm ones' capacity.
// With replaced, the warm ones are removed a second after the cold ones start. It returns the highest number of sends
// to a cold backend in a window, as a fraction of its budget: N + 2 x root of N + 2 for an allowed mean of N.
func (f *coldFleet) simulate(nodes, warm int, loadFraction float64, replaced bool, end float64) (worst float64, sent int) {
	f.backends = map[uint32]*coldBackend{}
	var listed []Entry
	for i := range warm + 2 {
		b := &coldBackend{entry: Entry{ID: uint32(i + 1), Hash: uint64(i+1) * 0x9e3779b97f4a7c15, Zone: "a", Kind: "k"}}
		f.backends[b.entry.ID] = b
		if i < warm {
			listed = append(listed, b.entry)
		} else {
			b.entry.Launched = t0 + toDuration(coldStart)
		}
	}
	weight, sum := make([]float64, nodes), 0.0
	for i := range weight { // uneven: some nodes get several times the mean traffic
		weight[i] = 0.2 + f.rng.ExpFloat64()
		sum += weight[i]
	}
	rate := loadFraction * float64(warm) * coldCores / coldWork
	for i := range nodes {
		f.set.Nodes, f.set.Number = nodes, i
		b, err := New(f.set, f.rng.Uint64())
		if err != nil {
			panic(err)
		}
		f.nodes = append(f.nodes, b)
		f.add(0, i, Event{Kind: EvList, List: ListCached, Entries: listed})
		f.add(f.rng.ExpFloat64()*sum/weight[i]/rate, i, Event{Kind: EvRequest})
		notifiedAt := coldStart + f.rng.Float64()*1.4
		for id := warm + 1; id <= warm+2; id++ {
			f.add(notifiedAt, i, Event{Kind: EvList, List: ListDelta, Entries: []Entry{f.backends[uint32(id)].entry}})
		}
		if replaced {
			for _, e := range listed {
				e.State = Removed
				f.add(notifiedAt+1, i, Event{Kind: EvList, List: ListDelta, Entries: []Entry{e}})
			}
		}
	}
	var out []Action
	for n := 0; len(f.queue) > 0; n++ {
		e := heap.Pop(&f.queue).(coldEvent)
		if e.at > end {
			break
		}
		if e.ev.Kind == EvRequest {
			e.ev = Event{Kind: EvRequest, ID: fmt.Sprint("r", n), Class: "c", Remaining: time.Second}
			f.add(e.at+f.rng.ExpFloat64()*sum/weight[e.node]/rate, e.node, Event{Kind: EvRequest})
		}
		if e.ev.Kind == EvOutcome {
			b := f.backends[e.ev.Backend]
			b.inFlight--
			e.ev.Load = Load{Known: true, Occupancy: b.inFlight, Queue: max(0, b.inFlight-coldCores)}
		}
		out = f.nodes[e.node].Handle(t0+toDuration(e.at), &e.ev, out[:0])
		for _, a := range out {
			switch a.Kind {
			case ActTimer:
				f.add(max((a.At-t0).Seconds(), e.at+1e-6), e.node, Event{Kind: EvTimer, Token: a.Token})
			case ActSend:
				b := f.backends[a.Backend]
				b.sentAt = append(b.sentAt, e.at)
				b.inFlight++
				took := coldWork * f.rng.ExpFloat64() * max(1, b.inFlight/coldCores) * coldCores / coldWork / f.capacity(b, e.at)
				ev := Event{Kind: EvOutcome, ID: a.ID, Backend: a.Backend, Attempt: 0, Took: toDuration(took), Finished: true}
				if took > a.Wait.Seconds() {
					ev.Took, ev.Outcome, ev.Finished = a.Wait, TimedOut, false
				}
				f.add(e.at+ev.Took.Seconds(), e.node, ev)
			}
		}
	}
	window := f.set.FallFor.Seconds()
	for id := warm + 1; id <= warm+2; id++ {
		b := f.backends[uint32(id)]
		sent += len(b.sentAt)
		for from, to := 0, 0; to < len(b.sentAt); to++ { // each window that ends with a send
			for b.sentAt[to]-b.sentAt[from] > window {
				from++
			}
			// The number that the settings allow. The capacity grows evenly, so its mean over the window is that at the
			// middle of the window.
			n := f.set.FallFactor * window * f.capacity(b, b.sentAt[to]-window/2)
			worst = max(worst, float64(to-from+1)/(n+2*math.Sqrt(n)+2))
		}
	}
	return worst, sent
}

// All nodes together stay within the budget of a cold backend in every window, whatever their number, however uneven
// their traffic, and although they learn of it at different times.
func TestColdBudgetOverAllNodes(t *testing.T) {
	t.Parallel()
	for _, set := range []struct {
		share, factor float64
		warm, window  time.Duration
	}{
		{0.32, 4, 7800 * time.Millisecond, 1500 * time.Millisecond},
		{0.13, 2.5, 23 * time.Second, 2 * time.Second},
		{0.25, 3, 14 * time.Second, 1800 * time.Millisecond},
	} {
		for _, nodes := range []int{3, 20, 30} {
			for _, warm := range []int{-2, 2, 8} { // below 0: the warm ones are replaced by the cold ones
				replaced := warm < 0
				warm = max(warm, -warm)
				name := fmt.Sprintf("%d nodes, %d warm (replaced %v), multiple %v", nodes, warm, replaced, set.factor)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					worst, sent := 0.0, 0
					for seed := range uint64(2) {
						for _, load := range []float64{0.5, 0.85, 1.3} {
							f := &coldFleet{rng: rand.New(rand.NewPCG(seed, uint64(nodes))), set: Settings{MaxAttempts: 1, Cancel: true,
								DrainGrace: 2 * time.Second, ColdShare: set.share, ColdFor: set.warm, FallFactor: set.factor, FallFor: set.window,
								Classes: []Class{{Name: "c", Aim: 400 * time.Millisecond, Deadline: time.Second, Worth: 1}}}}
							w, n := f.simulate(nodes, warm, load, replaced, coldStart+5)
							worst, sent = max(worst, w), sent+n
						}
					}
					t.Logf("%s: %.2f of the budget at the worst moment, %d sends", name, worst, sent)
					if worst > 1 {
						t.Errorf("%.2f times the budget was sent at the worst moment", worst)
					}
					if sent == 0 {
						t.Error("no cold backend was sent a request: nothing is tested")
					}
				})
			}
		}
	}
}
