// Package lab plays the decision module against the kit's box model in virtual time: no sockets, no goroutines, no
// clock. One play of a plan is a list of events, worked off in the order of their times; the same plan, settings and
// tuning give the same trace, record for record. What the play notes are the records of a rehearsal's trace, so that
// the kit's judge and report read a play of the laboratory as they read one of real nodes.
//
// What is played: boxes with cold starts, pauses, slow spells and falls; connections with their handshakes and the
// boxes' limit on them; load reports that are late, noisy and rounded; the box list with its lag, outages and stale
// spells, pushed or asked for at a service of fixed capacity; nodes that are killed and start again with the list that
// they had; clients that retry and lose patience. Nodes have no limits of their own here (CPU, descriptors, memory), and
// events that ask a node to end or to reload are not played: Play says so.
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
	// epoch is the clock time at which a play begins: boxes of the first list started long before.
	epoch = time.Hour
	// transit is what a node leaves for the answer's way back, as the daemon does.
	transit = 10 * time.Millisecond
	// overtime is how much longer than its time a client stays, so that a late answer is told from none.
	overtime = 200 * time.Millisecond
	// beliefEvery is how often what the nodes believe is noted.
	beliefEvery = time.Second
	loadEvery   = 500 * time.Millisecond
	capEvery    = 100 * time.Millisecond
	// settle is how long a play goes on after its last request.
	settle = 5 * time.Second
)

// Options say what to play.
type Options struct {
	Name    string // of the scenario
	Plan    *plan.Plan
	Tuning  policy.Tuning
	Record  func(*trace.Record) // called with each record of the trace; must not keep it
	Belief  func(Belief)        // called once a second for each node and box; nil for never
	Counts  *Counts             // filled by the play; nil where nobody wants them
	Sharing *Sharing            // nil for nodes that share nothing
	Sites   *Siting             // nil for nodes that do not watch sites

	// For tests of the judging: what changes the settings that nodes are told, and which news of the list they miss.
	tell func(*policy.Settings)
	hide func(policy.Entry) bool
	note func(node string, n shared.Note)
}

// Belief is what a node believes of a box at one moment, beside what is true.
type Belief struct {
	At   time.Duration // since the traffic began
	Node string
	Box  string
	policy.Belief
	TrueHeld     int     // requests in work or waiting there
	TrueWaiting  int     // those that wait
	TrueCapacity float64 // in cores of speed 1
	Slow         bool    // it has turned slow
}

// Head is the head of a play's trace.
func Head(o *Options) trace.Head {
	return deployment.Head(o.Plan, o.Name, "", nodesOf(o.Plan))
}

func nodesOf(p *plan.Plan) []trace.Node {
	var out []trace.Node
	for i := range p.Scenario.Nodes.Count {
		out = append(out, trace.Node{Name: fmt.Sprintf("n%d", i+1), Site: p.Scenario.Sites[i%len(p.Scenario.Sites)].Name})
	}
	return out
}

// world is one play.
type world struct {
	opt    *Options
	plan   *plan.Plan
	rng    *rand.Rand // of delays and chance outside boxes and nodes
	now    time.Duration
	todo   agenda
	seq    int64
	nodes  []*node
	boxes  []*box // in the order of the plan; nil before they start
	number map[string]int
	late   time.Duration // that the list is behind its usual lag
	hushed bool
	list   listd
	counts *Counts
	resets float64
	dark   map[string]bool // ways between sites that are cut, as "from>to"
	hushAt map[string]bool // sites whose nodes the list says nothing to
	atts   int64
	conns  int64
	ids    uint64
	quiet  time.Duration // when the play ends
}

// event is something that is to happen.
type event struct {
	at  time.Duration
	seq int64 // equal times: in the order in which they were set
	do  func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*a = old[:len(old)-1]
	return x
}

func (w *world) at(t time.Duration, do func()) {
	w.seq++
	heap.Push(&w.todo, event{max(t, w.now), w.seq, do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

func (w *world) note(r trace.Record) {
	r.T = trace.US(w.now)
	w.opt.Record(&r)
}

// id is a fresh request id.
func (w *world) id() string {
	w.ids++
	return fmt.Sprintf("%016x", w.ids)
}

// delay is a one-way delay between two sites.
func (w *world) delay(from, to string) time.Duration {
	n := &w.plan.Scenario.Net
	d := n.Cross
	if from == to {
		d = n.Same
	}
	return time.Duration(float64(d) * max(0.1, 1+n.Jitter*w.rng.NormFloat64()))
}

// Play plays a day. Its error names an event that the laboratory does not play, or a setting that makes no sense.
func Play(o Options) error {
	w := &world{opt: &o, plan: o.Plan, rng: rand.New(rand.NewPCG(o.Plan.Seed, 11)), number: map[string]int{}, counts: o.Counts,
		dark: map[string]bool{}, hushAt: map[string]bool{}}
	if w.counts == nil {
		w.counts = &Counts{}
	}
	w.list.w = w
	w.counts.begin(w)
	s := o.Plan.Scenario
	for i, b := range o.Plan.Backends {
		w.number[b.ID] = i
	}
	for _, st := range o.Plan.Steps {
		switch st.Do {
		case plan.Term, plan.Reload, plan.BadClient, plan.CorruptResponses, plan.Stall, plan.IsolateNode, plan.MessageFault:
			return fmt.Errorf("%v: the laboratory plays no %q: use rehearse", st.At, st.Do)
		}
	}
	w.note(trace.Record{Kind: trace.Event, How: trace.Begin, Text: "traffic begins"})
	w.boxes = make([]*box, len(o.Plan.Backends))
	for i := range o.Plan.Initial {
		w.start(i, true)
	}
	for i, n := range nodesOf(o.Plan) {
		if err := w.addNode(i, n); err != nil {
			return err
		}
	}
	w.sample()
	for _, st := range o.Plan.Steps {
		w.at(st.At, func() { w.step(&st) })
	}
	w.arrivals(o.Plan.Operations())
	if o.Belief != nil {
		w.beliefs()
	}
	w.quiet = s.Length.D() + settle
	for len(w.todo) > 0 {
		e := heap.Pop(&w.todo).(event)
		if e.at > w.quiet {
			break
		}
		w.now = e.at
		e.do()
	}
	w.note(trace.Record{Kind: trace.End})
	w.counts.finish(w)
	return nil
}

// arrivals hands in the needs, one at a time.
func (w *world) arrivals(n *plan.Operations) {
	need, ok := n.Next()
	if !ok {
		return
	}
	w.at(need.At, func() {
		w.want(need)
		w.arrivals(n)
	})
}

// step takes one step of the plan's time table.
func (w *world) step(st *plan.Step) {
	i, known := w.number[st.Box]
	var b *box
	if known {
		b = w.boxes[i]
	}
	if b != nil && !b.up && st.Do != plan.Restart {
		return // it has gone meanwhile
	}
	list := &w.plan.Scenario.List
	switch st.Do {
	case plan.Announce:
		w.note(trace.Record{Kind: trace.Event, Text: st.Text})
	case plan.Start, plan.Restart:
		w.start(i, false)
		w.publish(i, trace.Ready, list.Add.D())
	case plan.Drain:
		runs := b.runs
		w.after(time.Duration(st.By*float64(time.Second)), func() { b.draining = b.draining || b.runs == runs })
		w.publish(i, trace.Terminating, list.Lag.D())
	case plan.Exit, plan.Crash:
		b.stop()
		w.publish(i, trace.Gone, list.Lag.D())
	case plan.Slow:
		b.model.Slowed(w.now, st.By)
		b.drive()
	case plan.Isolate:
		b.silent = true
		b.state(trace.Silent)
	case plan.Reconnect:
		b.silent = false
		b.state(trace.Back)
		b.reset()
	case plan.DropRequests:
		b.loses = st.By
	case plan.FailClass:
		b.fails = ""
		if st.By > 0 {
			b.fails = st.Text
		}
	case plan.ResetRequests:
		w.resets = st.By
	case plan.CutLink:
		w.dark[st.Text] = st.By > 0
	case plan.PauseList:
		w.hushAt[st.Text] = true
		w.hushed = w.hushAt[""]
	case plan.ResumeList:
		delete(w.hushAt, st.Text)
		w.hushed = w.hushAt[""]
		for _, n := range w.nodes {
			if n.up && len(n.held) > 0 && !w.hushes(n) {
				n.told(n.held)
				n.held = nil
			}
		}
		w.list.wake()
	case plan.Kill:
		w.nodes[st.Node-1].kill()
	case plan.Revive:
		w.nodes[st.Node-1].revive()
	case plan.DelayList:
		w.late = time.Duration(st.By * float64(time.Second))
	}
}

// entry is a box as the list has it.
func (w *world) entry(i int, state policy.State) policy.Entry {
	p := &w.plan.Backends[i]
	e := policy.Entry{ID: uint32(i + 1), Hash: subset.Hash(p.ID), Zone: p.Site, Cell: int64(p.Cell), Kind: p.Kind, State: state}
	if b := w.boxes[i]; b != nil && b.started > 0 {
		e.Launched = epoch + b.started
	}
	return e
}

// publish tells all nodes of a box's state, after the list's lag and in the order of the changes.
func (w *world) publish(i int, state string, lag time.Duration) {
	e := w.entry(i, states[state])
	if w.plan.Scenario.List.Mode == "ask" {
		w.list.publish(e, w.now+lag+w.late)
		return
	}
	for _, n := range w.nodes {
		n.lastTold = max(n.lastTold, w.now+lag+w.late+w.spread())
		w.at(n.lastTold, func() {
			if w.hushes(n) || !n.up {
				n.held = append(n.held, e)
				return
			}
			n.told([]policy.Entry{e})
		})
	}
}

// hushes tells whether the list says nothing to a node.
func (w *world) hushes(n *node) bool { return w.hushed || w.hushAt[n.Site] }

// cut tells whether what goes from one site to another is lost.
func (w *world) cut(from, to string) bool { return w.dark[from+">"+to] }

// apart tells whether no connection comes up between two sites.
func (w *world) apart(a, b string) bool { return w.cut(a, b) || w.cut(b, a) }

// spread is by how much later than the first a node is told.
func (w *world) spread() time.Duration {
	return time.Duration(w.rng.Float64() * float64(w.plan.Scenario.List.Spread.D()))
}

var states = map[string]policy.State{trace.Ready: policy.Active, trace.Terminating: policy.Draining, trace.Gone: policy.Removed}

// beliefs notes once a second what every node believes of every box.
func (w *world) beliefs() {
	for _, n := range w.nodes {
		if !n.up {
			continue
		}
		for _, x := range n.bal.Snapshot(epoch + w.now) {
			b := w.boxes[x.ID-1]
			b.model.Advance(w.now)
			w.opt.Belief(Belief{At: w.now, Node: n.Name, Box: b.plan.ID, Belief: x, TrueHeld: b.model.Held(),
				TrueWaiting: b.model.Waiting(), TrueCapacity: b.model.Capacity(), Slow: b.slow})
			b.drive()
		}
	}
	w.after(beliefEvery, w.beliefs)
}

// settings are what the daemon would read of its configuration file.
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
