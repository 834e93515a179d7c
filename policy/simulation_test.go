package policy_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"craneglade/policy"
)

const ms = time.Millisecond

func testSettings(nodes int, mustAsk bool) policy.Settings {
	return policy.Settings{
		Zone: "east", Nodes: nodes, MustAsk: mustAsk, MustAskIn: 10 * time.Second,
		Classes: []policy.Class{
			{Name: "read", Aim: 400 * ms, Deadline: time.Second, Worth: 10, Effect: policy.Safe},
			{Name: "put", Aim: 300 * ms, Deadline: time.Second, Worth: 1, Effect: policy.Keyed,
				Group: policy.GroupZone, Window: 120 * ms},
			{Name: "note", Aim: 300 * ms, Deadline: time.Second, Worth: 1, Effect: policy.Keyed,
				Group: policy.GroupCell, Window: 90 * ms},
			{Name: "mark", Aim: 300 * ms, Deadline: time.Second, Worth: 1, Effect: policy.Keyed,
				Group: policy.GroupAll, Window: 600 * ms},
			{Name: "pay", Aim: 400 * ms, Deadline: 2 * time.Second, Worth: 2, Effect: policy.Unsafe},
		},
		MaxAttempts: 4, Cancel: true, RetryAfter: time.Second, DrainGrace: 500 * ms,
		ColdShare: 0.3, ColdFor: 8 * time.Second, FallFactor: 3, FallFor: time.Second,
	}
}

// The simulation runs real balancers against simulated backends and clients and checks the four rules by its own
// accounting, which shares no code with the policy.

type scheduledEvent struct {
	at   time.Duration
	seq  int
	node int
	ev   policy.Event
}

type eventQueue []scheduledEvent

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(scheduledEvent)) }
func (a *eventQueue) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

type attemptState struct {
	server     policy.Entry
	at         time.Duration
	open       bool
	mayHaveRun bool
}

type requestState struct {
	class        policy.Class
	deadline     time.Duration
	attempts     []attemptState
	answers      int
	disconnected bool
}

type testBackend struct {
	policy.Entry
	inFlight  int
	failure   int // 0 none, 1 errors, 2 no answers, 3 no connection
	sentAt    []time.Duration
	drainedAt []time.Duration // per node: when it was notified that this one drains or is removed; 0: not
}

type simulation struct {
	t          *testing.T
	rng        *rand.Rand
	set        policy.Settings
	nodes      []*policy.Balancer
	backends   map[uint32]*testBackend
	ids        []uint32
	requests   []map[string]*requestState
	queue      eventQueue
	seq        int
	actions    []policy.Action
	sent       int
	hedges     int // attempts sent while another one of the request was in flight
	violations int
}

func (w *simulation) violation(format string, args ...any) {
	w.violations++
	if w.violations < 10 {
		w.t.Errorf(format, args...)
	}
}

func (w *simulation) schedule(at time.Duration, node int, ev policy.Event) {
	w.seq++
	heap.Push(&w.queue, scheduledEvent{at, w.seq, node, ev})
}

func (w *simulation) sendList(at time.Duration, node int, kind policy.ListKind, entries ...policy.Entry) {
	w.schedule(at, node, policy.Event{Kind: policy.EvList, List: kind, Entries: entries})
}

// simulate runs nodes against backends, with rate requests per second at each node.
func simulate(t *testing.T, seed uint64, nodes, backends int, rate float64, length time.Duration) *simulation {
	w := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 7)), backends: map[uint32]*testBackend{},
		set: testSettings(nodes, seed%2 == 0)}
	w.set.Copies = seed%3 > 0
	start := time.Hour
	var list []policy.Entry
	for i := 0; i < backends; i++ {
		e := policy.Entry{ID: uint32(100 + i*7), Zone: []string{"east", "west"}[i%2], Cell: int64(i % 4), Kind: "k"}
		w.backends[e.ID] = &testBackend{Entry: e, drainedAt: make([]time.Duration, nodes)}
		w.ids = append(w.ids, e.ID)
		list = append(list, e)
	}
	for n := 0; n < nodes; n++ {
		b, err := policy.New(w.set, seed+uint64(n))
		if err != nil {
			t.Fatal(err)
		}
		w.nodes = append(w.nodes, b)
		w.requests = append(w.requests, map[string]*requestState{})
		w.sendList(start, n, policy.ListCached, list...)
		at, i := start, 0
		for at < start+length {
			at += time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second))
			i++
			c := w.set.Classes[w.rng.IntN(len(w.set.Classes))]
			remaining := time.Duration(float64(c.Deadline) * (0.3 + 0.7*w.rng.Float64()))
			if w.rng.IntN(100) == 0 {
				remaining = 0
			}
			id := fmt.Sprintf("r%d-%d", n, i)
			w.schedule(at, n, policy.Event{Kind: policy.EvRequest, ID: id, Class: c.Name, Remaining: remaining, ClientRetry: w.rng.IntN(4) == 0})
			if w.rng.IntN(50) == 0 {
				w.schedule(at+time.Duration(w.rng.Int64N(int64(300*ms))), n, policy.Event{Kind: policy.EvDisconnected, ID: id})
			}
		}
	}
	// Faults: failing backends, drains with cold successors, lost lists.
	for at := start + time.Second; at < start+length; at += 2 * time.Second {
		id := w.ids[w.rng.IntN(len(w.ids))]
		switch w.rng.IntN(4) {
		case 0:
			w.backends[id].failure = w.rng.IntN(4)
		case 1:
			old := w.backends[id].Entry
			old.State = policy.Draining
			fresh := old
			fresh.ID, fresh.State, fresh.Launched = uint32(10000+len(w.ids)), policy.Active, at
			w.backends[fresh.ID] = &testBackend{Entry: fresh, drainedAt: make([]time.Duration, nodes)}
			w.ids = append(w.ids, fresh.ID)
			for n := range w.nodes {
				late := at + time.Duration(w.rng.Int64N(int64(time.Second)))
				w.sendList(late, n, policy.ListDelta, old, fresh)
				old.State = policy.Removed
				w.sendList(late+time.Second, n, policy.ListDelta, old)
				old.State = policy.Draining
			}
		case 2:
			for n := range w.nodes {
				w.sendList(at, n, policy.ListFailed)
			}
		}
	}
	var out []policy.Action
	for len(w.queue) > 0 {
		h := heap.Pop(&w.queue).(scheduledEvent)
		if h.at > start+length+5*time.Second {
			break
		}
		w.recordEvent(&h)
		out = w.nodes[h.node].Handle(h.at, &h.ev, out[:0])
		for _, a := range out {
			w.apply(h.at, h.node, a)
		}
		w.actions = append(w.actions, out...)
	}
	for n, requests := range w.requests {
		for id, a := range requests {
			if a.answers == 0 && !a.disconnected {
				w.violation("rule 1: node %d: no answer to %s", n, id)
			}
		}
	}
	return w
}

// recordEvent records an event that a node is about to handle.
func (w *simulation) recordEvent(h *scheduledEvent) {
	asks := w.requests[h.node]
	switch ev := &h.ev; ev.Kind {
	case policy.EvRequest:
		for _, c := range w.set.Classes {
			if c.Name == ev.Class {
				asks[ev.ID] = &requestState{class: c, deadline: h.at + ev.Remaining}
			}
		}
	case policy.EvDisconnected:
		asks[ev.ID].disconnected = true
	case policy.EvOutcome:
		a := asks[ev.ID]
		if ev.Attempt >= len(a.attempts) || !a.attempts[ev.Attempt].open {
			return // an outcome repeated on purpose
		}
		tr := &a.attempts[ev.Attempt]
		tr.open = false
		w.backends[ev.Backend].inFlight--
		tr.mayHaveRun = ev.Outcome != policy.Full && ev.Outcome != policy.ConnectFailed && ev.Outcome != policy.NeverSent
		if ev.Outcome == policy.OK && a.answers == 0 {
			a.answers++
		}
		ev.Finished = a.answers > 0 || a.disconnected
	case policy.EvList:
		for _, e := range ev.Entries {
			b := w.backends[e.ID]
			if e.State == policy.Active {
				b.drainedAt[h.node] = 0
			} else if b.drainedAt[h.node] == 0 {
				b.drainedAt[h.node] = h.at
			}
		}
	}
}

// apply carries out an action and checks it.
func (w *simulation) apply(now time.Duration, node int, act policy.Action) {
	if act.Kind == policy.ActTimer {
		w.schedule(max(act.At, now+1), node, policy.Event{Kind: policy.EvTimer, Token: act.Token})
		return
	}
	a := w.requests[node][act.ID]
	switch act.Kind {
	case policy.ActSend:
		w.send(now, node, a, act)
	case policy.ActRefuse, policy.ActFail:
		if a.answers++; a.answers > 1 || a.disconnected {
			w.violation("rule 1: %s answered %d times (client disconnected: %v)", act.ID, a.answers, a.disconnected)
		}
		if now > a.deadline+20*ms {
			w.violation("rule 1: %s answered %v after its client's deadline", act.ID, now-a.deadline)
		}
		if act.Kind == policy.ActRefuse && a.class.Effect != policy.Safe &&
			!(a.class.Effect == policy.Keyed && a.class.Group == policy.GroupAll) {
			for _, tr := range a.attempts {
				if tr.mayHaveRun || tr.open {
					w.violation("rule 2: %s (%s) refused though it may have run", act.ID, a.class.Name)
				}
			}
		}
	}
}

func (w *simulation) send(now time.Duration, node int, a *requestState, act policy.Action) {
	w.sent++
	b := w.backends[act.Backend]
	if a.answers > 0 || a.disconnected {
		w.violation("rule 1: %s sent after its final answer", act.ID)
	}
	if d := b.drainedAt[node]; d > 0 && now > d+w.set.DrainGrace {
		w.violation("rule 3: %s sent to %d, which started to drain %v ago", act.ID, act.Backend, now-d)
	}
	if len(a.attempts) >= w.set.MaxAttempts {
		w.violation("%s: attempt %d of %d", act.ID, len(a.attempts)+1, w.set.MaxAttempts)
	}
	for _, previous := range a.attempts {
		if previous.open {
			if !w.set.Copies || a.class.Effect == policy.Unsafe {
				w.violation("rule 2: %s has two attempts in flight", act.ID)
			}
			w.hedges++
		}
		if !previous.mayHaveRun && !previous.open {
			continue
		}
		c := a.class
		switch {
		case c.Effect == policy.Unsafe:
			w.violation("rule 2: unsafe %s sent again", act.ID)
		case c.Effect == policy.Keyed && now > previous.at+c.Window:
			w.violation("rule 2: %s sent again %v after an attempt, window %v", act.ID, now-previous.at, c.Window)
		case c.Effect == policy.Keyed && c.Group == policy.GroupZone && previous.server.Zone != b.Zone:
			w.violation("rule 2: %s sent again to another zone", act.ID)
		case c.Effect == policy.Keyed && c.Group == policy.GroupCell && previous.server.Cell != b.Cell:
			w.violation("rule 2: %s sent again to another cell", act.ID)
		}
	}
	a.attempts = append(a.attempts, attemptState{server: b.Entry, at: now, open: true})
	b.inFlight++
	b.sentAt = append(b.sentAt, now)

	outcome, took := policy.OK, time.Duration(float64(8*ms)*w.rng.ExpFloat64()*float64(4+b.inFlight))
	switch {
	case b.failure == 1 || w.rng.IntN(200) == 0:
		outcome, took = policy.Failed, 2*ms
	case b.failure == 2:
		took = time.Hour
	case b.failure == 3:
		outcome, took = policy.ConnectFailed, 100*ms
	case b.inFlight > 20:
		outcome, took = policy.Full, ms
	case w.rng.IntN(25) == 0 && b.ID%2 == 0: // lost silently
		took = time.Hour
	case w.rng.IntN(300) == 0:
		outcome, took = policy.Reset, 5*ms
	case w.rng.IntN(500) == 0:
		outcome, took = policy.NeverSent, 0
	}
	limit := a.deadline - now
	if act.Wait > 0 {
		limit = min(limit, act.Wait)
	}
	if took > limit {
		outcome, took = policy.TimedOut, max(limit, 0)
	}
	ev := policy.Event{Kind: policy.EvOutcome, ID: act.ID, Backend: act.Backend, Attempt: len(a.attempts) - 1,
		Took: took, Outcome: outcome}
	if outcome == policy.OK {
		ev.Load = policy.Load{Known: true, Queue: float64(max(0, b.inFlight-4)), Occupancy: float64(b.inFlight)}
		switch w.rng.IntN(40) {
		case 0: // an invalid report
			odd := []float64{math.NaN(), math.Inf(1), -1e300, 1e300}
			ev.Load.Queue, ev.Load.Occupancy, ev.Load.ServiceSeconds = odd[w.rng.IntN(4)], odd[w.rng.IntN(4)], odd[w.rng.IntN(4)]
		case 1: // only the queue and the service time
			ev.Load.Occupancy, ev.Load.ServiceSeconds = -1, took.Seconds()
		}
	}
	w.schedule(now+took, node, ev)
	if w.rng.IntN(50) == 0 {
		w.schedule(now+took+ms, node, ev) // the same outcome again
	}
}

func TestRulesHoldInRandomRuns(t *testing.T) {
	copies := 0
	for seed := uint64(1); seed <= 12; seed++ {
		nodes, rate := []int{1, 2, 3, 40}[seed%4], []float64{20, 120, 500}[seed%3]
		if nodes > 3 {
			rate /= 20
		}
		w := simulate(t, seed, nodes, 6, rate, 20*time.Second)
		if w.sent < 300 {
			t.Errorf("seed %d: only %d attempts, want at least 300", seed, w.sent)
		}
		w.checkCold()
		if !w.set.Copies && w.hedges > 0 {
			t.Errorf("seed %d: %d hedges, which are not allowed", seed, w.hedges)
		}
		copies += w.hedges
	}
	if copies < 50 {
		t.Errorf("only %d hedges in all runs, want at least 50", copies)
	}
}

// checkCold checks rule 4 by the sends alone. A warm simulated backend completes about 125 attempts per second; all
// nodes together must stay below FallFactor times the capacity of a cold one.
func (w *simulation) checkCold() {
	const warm = 125.0
	for _, id := range w.ids {
		b := w.backends[id]
		if b.Launched == 0 {
			continue
		}
		for i, first := range b.sentAt {
			n := 0
			for _, at := range b.sentAt[i:] {
				if at > first+w.set.FallFor {
					break
				}
				n++
			}
			age := (first + w.set.FallFor - b.Launched).Seconds()
			share := math.Min(1, w.set.ColdShare+(1-w.set.ColdShare)*age/w.set.ColdFor.Seconds())
			if limit := w.set.FallFactor * share * warm * w.set.FallFor.Seconds(); float64(n) > limit {
				w.violation("rule 4: %d attempts in a window at %d, %.1f s old; at most %.0f", n, id, age, limit)
				break
			}
		}
	}
}

func TestSameEventsSameActions(t *testing.T) {
	a := simulate(t, 5, 2, 6, 120, 5*time.Second)
	b := simulate(t, 5, 2, 6, 120, 5*time.Second)
	if len(a.actions) < 1000 {
		t.Fatalf("only %d actions", len(a.actions))
	}
	if !reflect.DeepEqual(a.actions, b.actions) {
		t.Error("two runs of the same events differ")
	}
}
