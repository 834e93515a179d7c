// Package lab is a discrete-event simulation of the policy against the kit's backend model in virtual time, without
// sockets, goroutines or a clock. Events run in the order of their times; the same plan, settings and tuning give the
// same trace, record for record. The records are those of a rehearsal's trace, so that the kit's judge and report read
// both alike.
//
// The simulation covers backends with cold starts, pauses, slow periods and collapses; connections with handshakes and
// the backends' limit on them; load reports that are late, noisy and rounded; the list with its lag, outages and stale
// periods, pushed or fetched from a service of limited capacity; nodes that are killed and start again with the list
// that they had; clients that retry and disconnect early. Nodes have no resource limits here (CPU, descriptors, memory),
// and events that ask a node to end or to reload are not supported: Play returns an error.
package lab

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"craneglade/internal/kit/deployment"
	"craneglade/internal/kit/plan"
	"craneglade/internal/kit/trace"
	"craneglade/internal/shared"
	"craneglade/internal/subset"
	"craneglade/internal/wire"
	"craneglade/policy"
)

const (
	// epoch is the policy's clock at the start of a play: backends of the first list started long before.
	epoch = time.Hour
	// returnTransit is the time that a node reserves for the response to travel back, as the daemon does.
	returnTransit = 10 * time.Millisecond
	// lingerTime is how long after its timeout a client keeps its connection, so that a late response can be told from
	// none.
	lingerTime = 200 * time.Millisecond
	// beliefInterval is how often the nodes' beliefs are reported.
	beliefInterval   = time.Second
	loadInterval     = 500 * time.Millisecond
	capacityInterval = 100 * time.Millisecond
	// drainTime is how long a play continues after the scenario's length.
	drainTime = 5 * time.Second
)

// Options say what to play.
type Options struct {
	Name    string // of the scenario
	Plan    *plan.Plan
	Tuning  policy.Tuning
	Record  func(*trace.Record) // called with each record of the trace; must not keep it
	Belief  func(Belief)        // called once a second for each node and backend; nil for never
	Counts  *Counts             // filled by the play; nil if not wanted
	Sharing *Sharing            // nil: nodes share nothing
	Sites   *Siting             // nil: nodes do not watch sites

	// For tests: changes the settings of nodes, selects list updates that nodes miss, and observes their notes.
	changeSettings func(*policy.Settings)
	hideUpdate     func(policy.Entry) bool
	onNote         func(node string, n shared.Note)
}

// Belief is what a node believes of a backend at one moment, with the true state.
type Belief struct {
	At   time.Duration // since the traffic began
	Node string
	Box  string
	policy.Belief
	TrueHeld     int     // requests that run or wait there
	TrueWaiting  int     // those that wait
	TrueCapacity float64 // in cores of speed 1
	Slow         bool    // it has turned slow
}

// Head returns the head of a play's trace.
func Head(o *Options) trace.Head {
	return deployment.Head(o.Plan, o.Name, "", planNodes(o.Plan))
}

func planNodes(p *plan.Plan) []trace.Node {
	var out []trace.Node
	for i := range p.Scenario.Nodes.Count {
		out = append(out, trace.Node{Name: fmt.Sprintf("n%d", i+1), Site: p.Scenario.Sites[i%len(p.Scenario.Sites)].Name})
	}
	return out
}

// simulation is one play.
type simulation struct {
	opt           *Options
	plan          *plan.Plan
	rng           *rand.Rand // for delays and all random draws outside of backends and nodes
	now           time.Duration
	queue         eventQueue
	seq           int64
	nodes         []*node
	backends      []*backend // in the order of the plan; nil before they start
	backendIndex  map[string]int
	extraListLag  time.Duration // beyond the list's normal lag
	listPaused    bool
	listService   listServer
	counts        *Counts
	resetFraction float64
	cutLinks      map[string]bool // directions between sites that are cut, as "from>to"
	pausedSites   map[string]bool // sites whose nodes get no list; "" for all
	attemptCount  int64
	connCount     int64
	ids           uint64
	end           time.Duration // when the play ends
}

// event is a scheduled function call.
type event struct {
	at  time.Duration
	seq int64 // events of equal time run in the order in which they were scheduled
	run func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	old := *a
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*a = old[:len(old)-1]
	return x
}

// at schedules a function call at t, or now if t has passed.
func (sim *simulation) at(t time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.queue, event{max(t, sim.now), sim.seq, do})
}

func (sim *simulation) after(d time.Duration, do func()) { sim.at(sim.now+d, do) }

// note writes a record with the current time.
func (sim *simulation) note(r trace.Record) {
	r.T = trace.Microseconds(sim.now)
	sim.opt.Record(&r)
}

// id returns a new request id.
func (sim *simulation) id() string {
	sim.ids++
	return fmt.Sprintf("%016x", sim.ids)
}

// delay draws a one-way delay between two sites.
func (sim *simulation) delay(from, to string) time.Duration {
	n := &sim.plan.Scenario.Net
	d := n.CrossSite
	if from == to {
		d = n.SameSite
	}
	return time.Duration(float64(d) * max(0.1, 1+n.Jitter*sim.rng.NormFloat64()))
}

// Play simulates one plan. It returns an error for an event that the simulation does not support and for invalid
// settings.
func Play(o Options) error {
	sim := &simulation{opt: &o, plan: o.Plan, rng: rand.New(rand.NewPCG(o.Plan.Seed, 11)), backendIndex: map[string]int{}, counts: o.Counts,
		cutLinks: map[string]bool{}, pausedSites: map[string]bool{}}
	if sim.counts == nil {
		sim.counts = &Counts{}
	}
	sim.listService.sim = sim
	sim.counts.prepare(sim)
	s := o.Plan.Scenario
	for i, b := range o.Plan.Backends {
		sim.backendIndex[b.ID] = i
	}
	for _, st := range o.Plan.Steps {
		switch st.Do {
		case plan.Term, plan.Reload, plan.BadClient, plan.CorruptResponses, plan.Stall, plan.IsolateNode, plan.MessageFault:
			return fmt.Errorf("%v: the laboratory plays no %q: use rehearse", st.At, st.Do)
		}
	}
	sim.note(trace.Record{Kind: trace.Event, How: trace.Begin, Text: "traffic begins"})
	sim.backends = make([]*backend, len(o.Plan.Backends))
	for i := range o.Plan.Initial {
		sim.startBackend(i, true)
	}
	for i, n := range planNodes(o.Plan) {
		if err := sim.addNode(i, n); err != nil {
			return err
		}
	}
	sim.sampleBackends()
	for _, st := range o.Plan.Steps {
		sim.at(st.At, func() { sim.applyStep(&st) })
	}
	sim.scheduleOperations(o.Plan.Operations())
	if o.Belief != nil {
		sim.reportBeliefs()
	}
	sim.end = s.Length.D() + drainTime
	for len(sim.queue) > 0 {
		e := heap.Pop(&sim.queue).(event)
		if e.at > sim.end {
			break
		}
		sim.now = e.at
		e.run()
	}
	sim.note(trace.Record{Kind: trace.End})
	sim.counts.finish(sim)
	return nil
}

// scheduleOperations schedules the operations, one at a time.
func (sim *simulation) scheduleOperations(n *plan.Operations) {
	op, ok := n.Next()
	if !ok {
		return
	}
	sim.at(op.At, func() {
		sim.startOperation(op)
		sim.scheduleOperations(n)
	})
}

// applyStep carries out one step of the plan.
func (sim *simulation) applyStep(st *plan.Step) {
	i, known := sim.backendIndex[st.Box]
	var b *backend
	if known {
		b = sim.backends[i]
	}
	if b != nil && !b.up && st.Do != plan.Restart {
		return // the backend has ended meanwhile
	}
	list := &sim.plan.Scenario.List
	switch st.Do {
	case plan.Announce:
		sim.note(trace.Record{Kind: trace.Event, Text: st.Text})
	case plan.Start, plan.Restart:
		sim.startBackend(i, false)
		sim.publish(i, trace.Ready, list.AddLag.D())
	case plan.Drain:
		incarnation := b.incarnation
		sim.after(time.Duration(st.By*float64(time.Second)), func() { b.draining = b.draining || b.incarnation == incarnation })
		sim.publish(i, trace.Terminating, list.Lag.D())
	case plan.Exit, plan.Crash:
		b.stop()
		sim.publish(i, trace.Removed, list.Lag.D())
	case plan.Slow:
		b.model.SetSlowdown(sim.now, st.By)
		b.advance()
	case plan.Isolate:
		b.isolated = true
		b.recordState(trace.Unresponsive)
	case plan.Reconnect:
		b.isolated = false
		b.recordState(trace.Responsive)
		b.resetConns()
	case plan.DropRequests:
		b.dropFraction = st.By
	case plan.FailClass:
		b.failingClass = ""
		if st.By > 0 {
			b.failingClass = st.Text
		}
	case plan.ResetRequests:
		sim.resetFraction = st.By
	case plan.CutLink:
		sim.cutLinks[st.Text] = st.By > 0
	case plan.PauseList:
		sim.pausedSites[st.Text] = true
		sim.listPaused = sim.pausedSites[""]
	case plan.ResumeList:
		delete(sim.pausedSites, st.Text)
		sim.listPaused = sim.pausedSites[""]
		for _, n := range sim.nodes {
			if n.up && len(n.pendingUpdates) > 0 && !sim.listPausedFor(n) {
				n.applyDelta(n.pendingUpdates)
				n.pendingUpdates = nil
			}
		}
		sim.listService.answerWaiting()
	case plan.Kill:
		sim.nodes[st.Node-1].kill()
	case plan.Revive:
		sim.nodes[st.Node-1].revive()
	case plan.DelayList:
		sim.extraListLag = time.Duration(st.By * float64(time.Second))
	}
}

// entry returns the list entry of a backend.
func (sim *simulation) entry(i int, state policy.State) policy.Entry {
	p := &sim.plan.Backends[i]
	e := policy.Entry{ID: uint32(i + 1), Hash: subset.Hash(p.ID), Zone: p.Site, Cell: int64(p.Cell), Kind: p.Kind, State: state}
	if b := sim.backends[i]; b != nil && b.started > 0 {
		e.Launched = epoch + b.started
	}
	return e
}

// publish notifies all nodes of a backend's state, after the list's lag and in the order of the changes.
func (sim *simulation) publish(i int, state string, lag time.Duration) {
	e := sim.entry(i, listStates[state])
	if sim.plan.Scenario.List.Mode == "ask" {
		sim.listService.publish(e, sim.now+lag+sim.extraListLag)
		return
	}
	for _, n := range sim.nodes {
		n.lastNotified = max(n.lastNotified, sim.now+lag+sim.extraListLag+sim.drawListSpread())
		sim.at(n.lastNotified, func() {
			if sim.listPausedFor(n) || !n.up {
				n.pendingUpdates = append(n.pendingUpdates, e)
				return
			}
			n.applyDelta([]policy.Entry{e})
		})
	}
}

// listPausedFor reports whether the list is paused for a node.
func (sim *simulation) listPausedFor(n *node) bool { return sim.listPaused || sim.pausedSites[n.Site] }

// cut reports whether traffic from one site to another is lost.
func (sim *simulation) cut(from, to string) bool { return sim.cutLinks[from+">"+to] }

// partitioned reports whether no connection can be established between two sites.
func (sim *simulation) partitioned(a, b string) bool { return sim.cut(a, b) || sim.cut(b, a) }

// drawListSpread draws how much later than the earliest possible time a node is notified.
func (sim *simulation) drawListSpread() time.Duration {
	return time.Duration(sim.rng.Float64() * float64(sim.plan.Scenario.List.Spread.D()))
}

var listStates = map[string]policy.State{trace.Ready: policy.Active, trace.Terminating: policy.Draining, trace.Removed: policy.Removed}

// reportBeliefs reports once a second what every node believes of every backend.
func (sim *simulation) reportBeliefs() {
	for _, n := range sim.nodes {
		if !n.up {
			continue
		}
		for _, x := range n.balancer.Snapshot(epoch + sim.now) {
			b := sim.backends[x.ID-1]
			b.model.Advance(sim.now)
			sim.opt.Belief(Belief{At: sim.now, Node: n.Name, Box: b.plan.ID, Belief: x, TrueHeld: b.model.InFlight(),
				TrueWaiting: b.model.Waiting(), TrueCapacity: b.model.Capacity(), Slow: b.slow})
			b.advance()
		}
	}
	sim.after(beliefInterval, sim.reportBeliefs)
}

// settings returns a node's settings as the daemon reads them from its configuration file.
func settings(p *plan.Plan, ordinal int, site string) (wire.Settings, error) {
	text, err := json.Marshal(deployment.Settings(p, ordinal, site))
	if err != nil {
		return wire.Settings{}, fmt.Errorf("settings: %w", err)
	}
	set, err := wire.DecodeSettings(text)
	if err != nil {
		return wire.Settings{}, fmt.Errorf("settings: %w", err)
	}
	return set, nil
}
