package policy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"craneglade/internal/subset"
)

// If backends report no load, latencies many times the lowest ones show an overload. If they do report, or the attempt
// failed, its latency is not used for that.
func TestLatencyShowsOverloadWithoutReports(t *testing.T) {
	for _, c := range []struct {
		name      string
		noReports bool
		outcome   Outcome
		took      time.Duration
		occupancy float64 // by the other nodes, about
		mode      mode
	}{
		{"quick answers", true, OK, 25 * time.Millisecond, 0, normal},
		{"slow answers", true, OK, 500 * time.Millisecond, 19, overload},
		{"slow answers from backends that report", false, OK, 500 * time.Millisecond, 0, normal},
		{"slow failures", true, Failed, 500 * time.Millisecond, 0, normal},
	} {
		b := newTestBalancer(t, settings(func(s *Settings) { s.NoReports = c.noReports }), Entry{ID: 1, Zone: "a"})
		s := b.backends[1]
		now := t0
		answer := func(outcome Outcome, took time.Duration) {
			now += 50 * time.Millisecond
			if send := sendRequest(b, now, now.String(), "top"); send.Kind == ActSend { // not refused
				b.Handle(now, &Event{Kind: EvOutcome, ID: send.ID, Took: took, Outcome: outcome, Finished: true}, nil)
			}
			b.Handle(now, &Event{Kind: EvTimer, Token: "tick"}, nil)
		}
		for range 200 {
			answer(OK, 25*time.Millisecond)
		}
		for range 400 {
			answer(c.outcome, c.took)
		}
		s.inFlight, s.laggedInFlight, s.orphans = 0, 0, 0
		s.updateMode(now.Seconds(), b)
		if n := b.occupancy(s, now.Seconds()); n < c.occupancy*0.9-0.1 || n > c.occupancy*1.1+0.1 || s.mode != c.mode {
			t.Errorf("%s: occupancy %.2f in mode %d, want about %.0f in %d", c.name, n, s.mode, c.occupancy, c.mode)
		}
	}
}

// A single node has all load on its backends in its own count. It must not take one answer that was held up for the load
// of other nodes: it refused every request for a second after it.
func TestSingleNodeServesAfterSlowAnswer(t *testing.T) {
	const quick, slow, pause = time.Millisecond, 4 * time.Second, 5 * time.Millisecond
	b := newTestBalancer(t, settings(func(s *Settings) {
		s.NoReports, s.Nodes = true, 1
		s.Classes = []Class{{Name: "top", Aim: 20 * time.Second, Deadline: 60 * time.Second, Effect: Safe, Group: GroupAll, Worth: 1}}
	}), Entry{ID: 1, Zone: "a"})
	now := t0
	wait := func(d time.Duration) {
		now += d
		b.Handle(now, &Event{Kind: EvTimer, Token: "tick"}, nil)
	}
	refused := 0
	ask := func(took time.Duration) {
		wait(pause)
		send := lastAction(b.Handle(now, &Event{Kind: EvRequest, ID: now.String(), Class: "top", Remaining: 50 * time.Second}, nil))
		if send.Kind != ActSend {
			refused++
			return
		}
		wait(took)
		b.Handle(now, &Event{Kind: EvOutcome, ID: send.ID, Backend: send.Backend, Took: took, Outcome: OK, Finished: true}, nil)
	}
	for range 100 {
		ask(quick)
	}
	ask(slow)
	for range 200 {
		ask(quick)
	}
	if refused > 0 {
		t.Errorf("refused %d requests while no other was in flight", refused)
	}
}

// overloadedFleet simulates nodes that share backends without load reports. Each backend serves in order of arrival.
type overloadedFleet struct {
	nodes     []*Balancer
	busyUntil [][]time.Duration // by backend and core: when its work is done
	queue     []dueEvent        // a heap by time
	number    int               // of events so far; orders those of the same time
	random    *rand.Rand
	inTime    int // answers within the latency target
}

type dueEvent struct {
	at     time.Duration
	number int
	node   int
	event  Event
}

func (f *overloadedFleet) Len() int      { return len(f.queue) }
func (f *overloadedFleet) Swap(i, j int) { f.queue[i], f.queue[j] = f.queue[j], f.queue[i] }
func (f *overloadedFleet) Push(x any)    { f.queue = append(f.queue, x.(dueEvent)) }
func (f *overloadedFleet) Less(i, j int) bool {
	return f.queue[i].at < f.queue[j].at || f.queue[i].at == f.queue[j].at && f.queue[i].number < f.queue[j].number
}
func (f *overloadedFleet) Pop() any {
	x := f.queue[len(f.queue)-1]
	f.queue = f.queue[:len(f.queue)-1]
	return x
}

func (f *overloadedFleet) add(at time.Duration, node int, event Event) {
	f.number++
	heap.Push(f, dueEvent{at, f.number, node, event})
}

const (
	overloadedMeanWork = 25 * time.Millisecond // mean service time of a request
	overloadedCores    = 2
	overloadedTarget   = 190 * time.Millisecond
	overloadedDeadline = 440 * time.Millisecond
	overloadedStart    = 50 * 365 * 24 * time.Hour // as with a clock that started long ago
)

// send has a backend serve an attempt, even if its node no longer waits for it.
func (f *overloadedFleet) send(now time.Duration, node int, send Action) {
	cores := f.busyUntil[send.Backend]
	core := slices.Index(cores, slices.Min(cores))
	work := time.Duration(float64(overloadedMeanWork) * (0.5 + f.random.Float64()))
	cores[core] = max(now, cores[core]) + work
	end, outcome := cores[core], OK
	if end > now+send.Wait {
		end, outcome = now+send.Wait, TimedOut
	}
	f.add(end, node, Event{Kind: EvOutcome, ID: send.ID, Backend: send.Backend, Took: end - now, Outcome: outcome, Finished: true})
	if outcome == OK && end-now <= overloadedTarget {
		f.inTime++
	}
}

// simulate runs one second for each load, a fraction of the backends' capacity. It returns the answers in time of the
// last five seconds as a fraction of the capacity.
func (f *overloadedFleet) simulate(load ...float64) float64 {
	capacity := float64(len(f.busyUntil)*overloadedCores) / overloadedMeanWork.Seconds()
	for second, fraction := range load {
		n := int(fraction * capacity)
		for i := range n {
			at := overloadedStart + time.Duration(float64(time.Second)*(float64(second)+float64(i)/float64(n)))
			f.add(at, f.random.IntN(len(f.nodes)), Event{Kind: EvRequest, ID: fmt.Sprint(second, "-", i), Class: "only", Remaining: overloadedDeadline})
		}
	}
	const counted = 5
	end := overloadedStart + time.Duration(len(load))*time.Second
	for len(f.queue) > 0 {
		next := heap.Pop(f).(dueEvent)
		if next.at > end {
			break
		}
		if next.at < end-counted*time.Second {
			f.inTime = 0
		}
		for _, action := range f.nodes[next.node].Handle(next.at, &next.event, nil) {
			switch action.Kind {
			case ActSend:
				f.send(next.at, next.node, action)
			case ActTimer:
				f.add(action.At, next.node, Event{Kind: EvTimer, Token: action.Token})
			}
		}
	}
	return float64(f.inTime) / (capacity * counted)
}

// If many nodes share backends that report no load, one attempt of each node overloads them, and each node sees only
// its own few. It has to go by latencies, or backends stay so full that almost no answer is in time.
func TestManyNodesAnswerInTimeWithoutReports(t *testing.T) {
	const nodes, backends = 32, 12
	var entries []Entry
	for i := range backends {
		entries = append(entries, Entry{ID: uint32(i), Hash: subset.Hash(fmt.Sprint(i)), Kind: "k"})
	}
	f := &overloadedFleet{random: rand.New(rand.NewPCG(1, 2))}
	for range backends {
		f.busyUntil = append(f.busyUntil, make([]time.Duration, overloadedCores))
	}
	for number := range nodes {
		b, err := New(Settings{Nodes: nodes, Number: number, NoReports: true, MaxAttempts: 4, Cancel: true,
			Classes: []Class{{Name: "only", Aim: overloadedTarget, Deadline: overloadedDeadline, Worth: 4, LateWorth: 0.1}}}, uint64(number))
		if err != nil {
			t.Fatal(err)
		}
		f.nodes = append(f.nodes, b)
		f.add(overloadedStart, number, Event{Kind: EvList, List: ListFull, Entries: entries})
		f.add(overloadedStart, number, Event{Kind: EvTimer, Token: "tick"})
	}
	quiet, burst := 0.6, 1.5
	if got := f.simulate(quiet, quiet, quiet, quiet, quiet, burst, burst, burst, burst, burst, burst, burst, burst); got < 0.8 {
		t.Errorf("under a burst %.2f of the capacity is answered in time", got)
	}
}
