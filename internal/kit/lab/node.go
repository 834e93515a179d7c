package lab

import (
	"fmt"
	"slices"
	"time"

	"craneglade/internal/kit/plan"
	"craneglade/internal/kit/trace"
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
	pool     map[*box]*pool
	idle     []int64 // clients' connections that wait for a request
	lastTold time.Duration
	held     []policy.Entry // news that came while the list was silent
	timeout  time.Duration  // for a connection to a box
}

// pool are a node's idle connections to one box.
type pool struct{ life, idle int }

// request is one try of a client at a node.
type request struct {
	id       string
	need     *plan.Need
	try      int
	first    string
	sentAt   time.Duration
	wait     time.Duration
	conn     int64
	attempts []*attempt
	answered bool
}

// attempt is one send to a box.
type attempt struct {
	att   uint64
	node  *node
	box   *box
	life  int // of the box when the connection was opened
	req   *request
	index int
	sent  time.Duration
	wait  time.Duration
	fresh bool // on a new connection
	extra bool // past the connections that the box accepts
	begun bool // its last byte is written
	dead  bool // it is reset, not answered
	over  bool
	load  policy.Load
}

// sum stands for the digest of a body that was made for this attempt's request.
func (a *attempt) sum() string { return fmt.Sprintf("%s/%d", a.req.id, a.att) }

func (w *world) addNode(i int, t trace.Node) error {
	set, err := settings(w.plan, i, t.Site)
	if err != nil {
		return err
	}
	if w.opt.tell != nil {
		w.opt.tell(&set.Policy)
	}
	bal, err := policy.NewTuned(set.Policy, w.plan.Seed<<8+uint64(i), w.opt.Tuning)
	if err != nil {
		return err
	}
	n := &node{Node: t, w: w, bal: bal, requests: map[string]*request{}, pool: map[*box]*pool{}, timeout: set.ConnectTimeout}
	w.nodes = append(w.nodes, n)
	w.note(trace.Record{Kind: trace.Proc, Node: t.Name, State: trace.Started})
	w.note(trace.Record{Kind: trace.Proc, Node: t.Name, State: trace.Up})
	var known []policy.Entry
	for i := range w.plan.Initial {
		p := &w.plan.Boxes[i]
		known = append(known, policy.Entry{ID: uint32(i + 1), Zone: p.Site, Cell: int64(p.Cell), Kind: p.Kind})
		w.note(trace.Record{Kind: trace.Told, Node: t.Name, Box: p.ID, State: trace.Ready})
	}
	n.handle(&policy.Event{Kind: policy.EvList, List: policy.ListCached, Entries: known})
	return nil
}

// told hands in news of the list.
func (n *node) told(news []policy.Entry) {
	for _, e := range news {
		for name, s := range states {
			if s == e.State {
				n.w.note(trace.Record{Kind: trace.Told, Node: n.Name, Box: n.w.plan.Boxes[e.ID-1].ID, State: name})
			}
		}
	}
	if n.w.opt.hide != nil {
		news = slices.DeleteFunc(news, n.w.opt.hide)
	}
	if len(news) > 0 {
		n.handle(&policy.Event{Kind: policy.EvList, List: policy.ListDelta, Entries: news})
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
			n.finish(a.ID, 503, "", a.Wait)
		case policy.ActFail:
			n.finish(a.ID, 500, "", 0)
		case policy.ActTimer:
			token := a.Token
			n.w.at(a.At-epoch, func() { n.handle(&policy.Event{Kind: policy.EvTimer, Token: token}) })
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
	w, b := n.w, n.w.boxes[act.Server-1]
	w.atts++
	a := &attempt{att: uint64(w.atts), node: n, box: b, req: r, index: len(r.attempts), sent: w.now,
		wait: min(act.Wait, r.sentAt+r.wait-transit-w.now), load: policy.Load{Queue: -1, Held: -1}}
	r.attempts = append(r.attempts, a)
	n.flying = append(n.flying, a)
	w.after(a.wait, func() { a.giveUp(policy.TimedOut) })
	p := n.pool[b]
	if p == nil || p.life != b.life {
		p = &pool{life: b.life}
		n.pool[b] = p
	}
	a.life = b.life
	if p.idle > 0 {
		p.idle--
		a.write()
		return
	}
	a.fresh = true
	way := w.delay(n.Site, b.plan.Site)
	if b.silent {
		w.after(n.timeout, func() { a.giveUp(policy.ConnectFailed) })
		return
	}
	w.after(way, func() {
		if a.over || b.silent {
			return
		}
		up := b.up && b.life == a.life
		if up {
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

// write sends the request on the connection that the attempt has.
func (a *attempt) write() {
	w, b := a.node.w, a.box
	a.begun = true
	if b.up && b.life == a.life && !b.silent {
		work := a.req.need.Work
		if a.fresh {
			work += w.plan.Scenario.Conn.Handshake.D()
		}
		w.note(trace.Record{Kind: trace.Recv, Box: b.plan.ID, Node: a.node.Name, ID: a.req.id, Att: int64(a.att), T0: trace.US(w.now),
			Class: w.plan.Scenario.Classes[a.req.need.Class].Name, Work: trace.US(work)})
	}
	w.after(w.delay(a.node.Site, b.plan.Site), func() {
		switch {
		case a.over:
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
	w, b := a.node.w, a.box
	if !a.begun && o == policy.TimedOut {
		o = policy.ConnectFailed
	}
	if a.begun {
		w.note(trace.Record{Kind: trace.Drop, Box: b.plan.ID, Node: a.node.Name, Att: int64(a.att), ID: a.req.id})
		a.drop()
		w.after(w.delay(a.node.Site, b.plan.Site), func() {
			if b.up && b.life == a.life && !b.silent {
				b.model.Cancel(w.now, a.att)
				b.drive()
			}
		})
	}
	a.end(o)
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
				p.idle++
			}
		case policy.Reset:
			a.drop()
		}
	}
	if o == policy.OK && !r.answered {
		n.finish(r.id, 200, a.sum(), 0)
	}
	n.handle(&policy.Event{Kind: policy.EvOutcome, ID: r.id, Server: uint32(n.w.number[a.box.plan.ID] + 1), Attempt: a.index,
		Took: n.w.now - a.sent, Last: r.answered, Outcome: o, Load: a.load})
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
