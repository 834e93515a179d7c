package lab

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"craneglade/internal/admission"
	"craneglade/internal/kit/plan"
	"craneglade/internal/kit/trace"
	"craneglade/internal/shared"
	"craneglade/internal/shared/judgement"
	"craneglade/internal/siting"
	"craneglade/policy"
)

// node is one node: the decision module, and what carries out its actions.
type node struct {
	trace.Node
	w        *world
	bal      *policy.Balancer
	actions  []policy.Action
	requests map[string]*request
	flying   []*attempt // without an end, in the order of their sends
	index    int
	up       bool
	out      bool                    // clients know that it is down
	life     int                     // counts its processes
	known    map[uint32]policy.Entry // what the list has told it
	version  int64                   // of the list, where it asks for it
	watching bool
	heard    map[*box]time.Duration   // when its latest report came in
	ages     *admission.IdleEstimator // for how long boxes keep connections, from all of them together
	pool     map[*box]*pool
	idle     []int64 // clients' connections that wait for a request
	lastTold time.Duration
	held     []policy.Entry  // news that came while the list was silent
	timeout  time.Duration   // for a connection to a box
	shared   *shared.Replica // nil where nothing is shared
	keys     map[judgement.Key]uint32
	sites    *siting.Adapter // nil where sites are not watched
}

// pool are a node's idle connections to one box: since when each has rested, the latest last.
type pool struct {
	life int
	idle []time.Duration
	ages *admission.IdleEstimator
}

// request is one try of a client at a node.
type request struct {
	id       string
	need     *plan.Need
	try      int
	first    string
	sentAt   time.Duration
	wait     time.Duration
	conn     int64
	life     int // of its node
	attempts []*attempt
	answered bool
}

// attempt is one send to a box.
type attempt struct {
	att    uint64
	node   *node
	box    *box
	life   int           // of the box when the connection was opened
	rested time.Duration // for how long its connection had, before it was used again
	req    *request
	index  int
	sent   time.Duration
	wait   time.Duration
	fresh  bool // on a new connection
	extra  bool // past the connections that the box accepts
	begun  bool // its last byte is written
	dead   bool // it is reset, not answered
	over   bool
	load   policy.Load
}

// sum stands for the digest of a body that was made for this attempt's request.
func (a *attempt) sum() string { return fmt.Sprintf("%s/%d", a.req.id, a.att) }

func (w *world) addNode(i int, t trace.Node) error {
	n := &node{Node: t, w: w, index: i, known: map[uint32]policy.Entry{}}
	w.nodes = append(w.nodes, n)
	for i := range w.plan.Initial {
		n.known[uint32(i+1)] = w.entry(i, policy.Active)
		w.note(trace.Record{Kind: trace.Told, Node: t.Name, Box: w.plan.Boxes[i].ID, State: trace.Ready})
	}
	return n.begin()
}

// begin starts the node's process, with the list that it was told before.
func (n *node) begin() error {
	w := n.w
	set, err := settings(w.plan, n.index, n.Site)
	if err != nil {
		return err
	}
	if w.opt.tell != nil {
		w.opt.tell(&set.Policy)
	}
	n.bal, err = policy.NewWithTuning(set.Policy, w.plan.Seed<<8+uint64(n.index)+uint64(n.life)<<40, w.opt.Tuning)
	if err != nil {
		return err
	}
	if n.life > 0 && (len(w.counts.starts) == 0 || !w.counts.starting(w.now)) {
		w.counts.calls, w.counts.away = 0, 0 // those before were no start's
	}
	if n.life > 0 {
		w.counts.starts = append(w.counts.starts, w.now)
	}
	n.up, n.out, n.watching, n.timeout = true, false, false, set.ConnectTimeout
	n.requests, n.pool, n.heard = map[string]*request{}, map[*box]*pool{}, map[*box]time.Duration{}
	n.ages = admission.NewIdleEstimator(w.plan.Scenario.Conn.Idle.D(), nil)
	w.note(trace.Record{Kind: trace.Proc, Node: n.Name, State: trace.Started})
	w.note(trace.Record{Kind: trace.Proc, Node: n.Name, State: trace.Up})
	var known []policy.Entry
	for _, id := range slices.Sorted(maps.Keys(n.known)) {
		known = append(known, n.known[id])
	}
	n.share(&set.Policy)
	n.site(&set.Policy)
	n.listed()
	n.handle(&policy.Event{Kind: policy.EvList, List: policy.ListCached, Entries: known})
	return nil
}

// kill ends the process: its connections break on both sides.
func (n *node) kill() {
	if !n.up {
		return
	}
	w := n.w
	w.note(trace.Record{Kind: trace.Proc, Node: n.Name, State: trace.Kill})
	n.died()
	n.up, n.idle = false, nil
	n.life++
	life := n.life
	w.after(w.plan.Scenario.Clients.Notice.D(), func() { n.out = n.out || !n.up && n.life == life })
	for _, a := range n.flying {
		a.over = true
		if a.begun {
			a.hangUp()
		}
	}
	n.flying = nil
	for b, p := range n.pool {
		if p.life == b.life {
			b.conns -= len(p.idle)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(n.requests)) {
		if r := n.requests[id]; !r.answered {
			n.cut(r)
		}
	}
}

// cut breaks a client's connection under a request.
func (n *node) cut(r *request) {
	r.answered = true
	rec := n.w.rec(r.need)
	rec.Kind, rec.ID, rec.Node, rec.Conn, rec.Why = trace.Broke, r.id, n.Name, r.conn, "closed"
	n.w.note(rec)
	n.w.ended(r, plan.Failed, 0)
}

// revive starts the process again. Where lists are pushed, the agent beside it has kept what it was not told.
func (n *node) revive() {
	if n.up {
		return
	}
	if err := n.begin(); err != nil {
		panic(err) // the same settings were taken at the start
	}
	n.w.after(n.w.spread(), func() {
		if n.up && !n.w.hushes(n) && len(n.held) > 0 {
			n.told(n.held)
			n.held = nil
		}
	})
}

// told hands in news of the list.
func (n *node) told(news []policy.Entry) { n.take(policy.ListDelta, news) }

func (n *node) take(kind policy.ListKind, news []policy.Entry) {
	for _, e := range news {
		n.known[e.ID] = e
		for name, s := range states {
			if s == e.State {
				n.w.note(trace.Record{Kind: trace.Told, Node: n.Name, Box: n.w.plan.Boxes[e.ID-1].ID, State: name})
			}
		}
		if e.State == policy.Removed {
			delete(n.known, e.ID)
		}
	}
	n.listed()
	if n.w.opt.hide != nil {
		news = slices.DeleteFunc(news, n.w.opt.hide)
	}
	if len(news) > 0 || kind != policy.ListDelta {
		n.handle(&policy.Event{Kind: policy.EvList, List: kind, Entries: news})
	}
}

// handle hands one event to the module and carries out what it wants.
func (n *node) handle(ev *policy.Event) {
	now := epoch + n.w.now
	acts := n.bal.Handle(now, ev, n.actions[:0])
	n.actions = nil // carrying out may hand in the next event
	for i := range acts {
		a := &acts[i]
		switch a.Kind {
		case policy.ActSend:
			n.send(a)
		case policy.ActCancel:
			if r := n.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
				r.attempts[a.Attempt].giveUp(policy.Canceled)
			}
		case policy.ActRefuse:
			n.w.counts.refused(n, a.ID)
			n.finish(a.ID, 503, "", a.Wait)
		case policy.ActFail:
			n.finish(a.ID, 500, "", 0)
		case policy.ActTimer:
			token, life := a.Token, n.life
			n.w.at(a.At-epoch, func() {
				if n.life == life {
					n.handle(&policy.Event{Kind: policy.EvTimer, Token: token})
				}
			})
		case policy.ActSubscribe:
			n.watch()
		case policy.ActFetch:
			n.fetch()
		}
	}
	n.actions = acts[:0]
}

// send starts an attempt.
func (n *node) send(act *policy.Action) {
	r := n.requests[act.ID]
	if r == nil {
		return
	}
	w, b := n.w, n.w.boxes[act.Backend-1]
	w.atts++
	a := &attempt{att: uint64(w.atts), node: n, box: b, req: r, index: len(r.attempts), sent: w.now,
		wait: min(act.Wait, r.sentAt+r.wait-transit-w.now), load: policy.Load{Queue: -1, Occupancy: -1}}
	r.attempts = append(r.attempts, a)
	n.flying = append(n.flying, a)
	w.after(a.wait, func() { a.giveUp(policy.TimedOut) })
	if n.sites != nil {
		n.sites.RecordSend(epoch+w.now, act.Backend)
		if n.shared != nil && n.sites.Node.IsOverflow(b.plan.Site) {
			n.shared.CountOverflow(epoch+w.now, b.plan.Site)
		}
	}
	a.life = b.life
	a.fresh = !n.reuse(a)
	w.counts.sent(a)
	if !a.fresh {
		a.write()
		return
	}
	way := w.delay(n.Site, b.plan.Site)
	if b.silent || w.apart(n.Site, b.plan.Site) {
		w.after(n.timeout, func() { a.giveUp(policy.ConnectFailed) })
		return
	}
	w.after(way, func() {
		if a.over || b.silent || w.apart(n.Site, b.plan.Site) {
			return
		}
		up := b.up && b.life == a.life
		if up {
			b.sweep()
			b.conns++
			a.extra = b.conns > w.plan.Scenario.Conn.Max
		}
		w.after(w.delay(b.plan.Site, n.Site), func() {
			switch {
			case a.over && up:
				a.drop()
			case a.over:
			case !up:
				a.end(policy.ConnectFailed)
			default:
				a.write()
			}
		})
	})
}

// reuse takes an idle connection to the attempt's box, by the rules of the daemon's pool: the latest used, and for what
// must not be sent twice none that has rested for longer than boxes are sure to keep one.
func (n *node) reuse(a *attempt) bool {
	p := n.pool[a.box]
	if p == nil || p.life != a.box.life {
		p = &pool{life: a.box.life, ages: admission.NewIdleEstimator(n.w.plan.Scenario.Conn.Idle.D(), n.ages)}
		n.pool[a.box] = p
	}
	a.box.trim(p)
	last := len(p.idle) - 1
	if last < 0 {
		return false
	}
	rested := n.w.now - p.idle[last]
	if n.w.plan.Scenario.Classes[a.req.need.Class].Effect == "unsafe" && rested > p.ages.SafeIdle() {
		return false
	}
	p.idle, a.rested = p.idle[:last], max(rested, 1)
	return true
}

// trim closes the connections that a node has kept for as long as its pool does: a tenth before boxes close them.
func (b *box) trim(p *pool) {
	keep := b.w.plan.Scenario.Conn.Idle.D() * 9 / 10
	for p.life == b.life && len(p.idle) > 0 && b.w.now-p.idle[0] >= keep {
		p.idle = p.idle[1:]
		b.conns--
	}
}

// sweep trims all nodes' connections to the box.
func (b *box) sweep() {
	for _, n := range b.w.nodes {
		if p := n.pool[b]; n.up && p != nil {
			b.trim(p)
		}
	}
}

// write sends the request on the connection that the attempt has.
func (a *attempt) write() {
	w, b := a.node.w, a.box
	a.begun = true
	lost := w.cut(a.node.Site, b.plan.Site)
	if b.up && b.life == a.life && !b.silent && !lost {
		work := a.req.need.Work
		if a.fresh {
			work += w.plan.Scenario.Conn.Handshake.D()
		}
		if b.budget != nil {
			b.budget.Send(w.now, work.Seconds(), true)
			w.counts.cold(b, work)
		}
		w.note(trace.Record{Kind: trace.Recv, Box: b.plan.ID, Node: a.node.Name, ID: a.req.id, Att: int64(a.att), T0: trace.US(w.now),
			Class: w.plan.Scenario.Classes[a.req.need.Class].Name, Work: trace.US(work)})
	}
	w.after(w.delay(a.node.Site, b.plan.Site), func() {
		switch {
		case a.over || lost:
		case !b.up || b.life != a.life:
			a.end(policy.Reset)
		default:
			b.arrive(a)
		}
	})
}

// giveUp closes the attempt's connection.
func (a *attempt) giveUp(o policy.Outcome) {
	if a.over {
		return
	}
	if !a.begun && o == policy.TimedOut {
		o = policy.ConnectFailed
	}
	if a.begun {
		a.hangUp()
	}
	a.end(o)
}

// hangUp closes the connection under a request that the box has been sent.
func (a *attempt) hangUp() {
	w, b := a.node.w, a.box
	w.note(trace.Record{Kind: trace.Drop, Box: b.plan.ID, Node: a.node.Name, Att: int64(a.att), ID: a.req.id})
	a.drop()
	w.after(w.delay(a.node.Site, b.plan.Site), func() {
		if b.up && b.life == a.life && !b.silent && !w.cut(a.node.Site, b.plan.Site) {
			b.model.Cancel(w.now, a.att)
			b.drive()
		}
	})
}

// drop takes the attempt's connection off the box's count.
func (a *attempt) drop() {
	if a.box.life == a.life {
		a.box.conns--
	}
}

// end hands in the attempt's outcome, and passes on the answer of one that was served.
func (a *attempt) end(o policy.Outcome) {
	n, r := a.node, a.req
	a.over = true
	n.flying = slices.DeleteFunc(n.flying, func(x *attempt) bool { return x == a })
	if p := n.pool[a.box]; p != nil && p.life == a.life && a.box.life == a.life {
		switch o {
		case policy.OK, policy.Failed, policy.Full:
			if a.extra {
				a.drop()
			} else {
				p.idle = append(p.idle, n.w.now)
			}
			if a.rested > 0 {
				p.ages.RecordReuse(n.w.now, a.rested)
			}
		case policy.Reset:
			a.drop()
		}
	}
	if o == policy.OK && !r.answered {
		n.finish(r.id, 200, a.sum(), 0)
	}
	if a.load.Known {
		n.heard[a.box] = n.w.now
	}
	if n.shared != nil {
		if tells, failed := shared.Evidence(o); tells {
			n.shared.RecordOutcome(epoch+n.w.now, n.key(a.box), failed)
		}
	}
	if n.sites != nil {
		n.sites.RecordOutcome(epoch+n.w.now, uint32(n.w.number[a.box.plan.ID]+1), o, n.w.now-a.sent)
	}
	n.handle(&policy.Event{Kind: policy.EvOutcome, ID: r.id, Backend: uint32(n.w.number[a.box.plan.ID] + 1), Attempt: a.index,
		Took: n.w.now - a.sent, Finished: r.answered, Outcome: o, Load: a.load})
	n.forget(r)
}

// finish gives a request its final answer, unless it has one.
func (n *node) finish(id string, status int, sum string, retryAfter time.Duration) {
	r := n.requests[id]
	if r == nil || r.answered {
		return
	}
	r.answered = true
	n.w.after(n.w.delay(n.Site, n.Site), func() { n.w.answered(n, r, status, sum, retryAfter) })
	n.forget(r)
}

func (n *node) forget(r *request) {
	if r.answered && !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.over }) {
		delete(n.requests, r.id)
	}
}
