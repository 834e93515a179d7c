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

// node is one node: the policy, and what carries out its actions.
type node struct {
	trace.Node
	sim            *simulation
	balancer       *policy.Balancer
	actions        []policy.Action
	requests       map[string]*request
	inFlight       []*attempt // in the order of their sends
	index          int
	up             bool
	markedDown     bool                    // clients have noticed that it is down
	incarnation    int                     // counts its processes
	known          map[uint32]policy.Entry // its current list
	version        int64                   // of its list, where lists are fetched
	watching       bool
	reportedAt     map[*backend]time.Duration // when a backend's latest report arrived
	idleEstimator  *admission.IdleEstimator   // how long backends keep idle connections, estimated from all of them
	pool           map[*backend]*idlePool
	idle           []int64 // idle connections of clients
	lastNotified   time.Duration
	pendingUpdates []policy.Entry  // changes that came while the list was paused or the node down
	connectTimeout time.Duration   // for a connection to a backend
	shared         *shared.Replica // nil if nothing is shared
	keys           map[judgement.Key]uint32
	sites          *siting.Adapter // nil if sites are not watched
}

// idlePool holds a node's idle connections to one backend: since when each is idle, the latest last.
type idlePool struct {
	connEpoch     int
	idleSince     []time.Duration
	idleEstimator *admission.IdleEstimator
}

// request is one try of a client at a node.
type request struct {
	id          string
	op          *plan.Operation
	try         int
	firstID     string
	sentAt      time.Duration
	timeout     time.Duration
	conn        int64
	incarnation int // of its node
	attempts    []*attempt
	ended       bool
}

// attempt is one attempt of a request at a backend.
type attempt struct {
	number    uint64
	node      *node
	backend   *backend
	connEpoch int           // of the backend when the connection was opened
	idleFor   time.Duration // how long its reused connection had been idle; 0 for a new one
	request   *request
	index     int
	sent      time.Duration
	timeout   time.Duration
	newConn   bool // uses a new connection
	overLimit bool // its connection is beyond the backend's limit
	written   bool // the request has been sent
	willReset bool // reset instead of a response
	ended     bool
	load      policy.Load
}

// digest stands in for the digest of the response body, which is unique to the attempt.
func (a *attempt) digest() string { return fmt.Sprintf("%s/%d", a.request.id, a.number) }

func (sim *simulation) addNode(i int, t trace.Node) error {
	n := &node{Node: t, sim: sim, index: i, known: map[uint32]policy.Entry{}}
	sim.nodes = append(sim.nodes, n)
	for i := range sim.plan.Initial {
		n.known[uint32(i+1)] = sim.entry(i, policy.Active)
		sim.note(trace.Record{Kind: trace.Notified, Node: t.Name, Backend: sim.plan.Backends[i].ID, State: trace.Ready})
	}
	return n.start()
}

// start starts the node's process, with the list that the node had before.
func (n *node) start() error {
	sim := n.sim
	set, err := settings(sim.plan, n.index, n.Site)
	if err != nil {
		return err
	}
	if sim.opt.changeSettings != nil {
		sim.opt.changeSettings(&set.Policy)
	}
	n.balancer, err = policy.NewWithTuning(set.Policy, sim.plan.Seed<<8+uint64(n.index)+uint64(n.incarnation)<<40, sim.opt.Tuning)
	if err != nil {
		return err
	}
	if n.incarnation > 0 && (len(sim.counts.nodeStarts) == 0 || !sim.counts.nodesStarting(sim.now)) {
		sim.counts.callsAfterStart, sim.counts.rejectedAfterStart = 0, 0 // count only calls after a start
	}
	if n.incarnation > 0 {
		sim.counts.nodeStarts = append(sim.counts.nodeStarts, sim.now)
	}
	n.up, n.markedDown, n.watching, n.connectTimeout = true, false, false, set.ConnectTimeout
	n.requests, n.pool, n.reportedAt = map[string]*request{}, map[*backend]*idlePool{}, map[*backend]time.Duration{}
	n.idleEstimator = admission.NewIdleEstimator(sim.plan.Scenario.Conn.IdleTimeout.D(), nil)
	sim.note(trace.Record{Kind: trace.Process, Node: n.Name, State: trace.Started})
	sim.note(trace.Record{Kind: trace.Process, Node: n.Name, State: trace.NodeReady})
	var known []policy.Entry
	for _, id := range slices.Sorted(maps.Keys(n.known)) {
		known = append(known, n.known[id])
	}
	n.startSharing(&set.Policy)
	n.startSites(&set.Policy)
	n.backendsChanged()
	n.handle(&policy.Event{Kind: policy.EvList, List: policy.ListCached, Entries: known})
	return nil
}

// kill ends the process: its connections to clients and to backends break.
func (n *node) kill() {
	if !n.up {
		return
	}
	sim := n.sim
	sim.note(trace.Record{Kind: trace.Process, Node: n.Name, State: trace.Kill})
	n.notifyDead()
	n.up, n.idle = false, nil
	n.incarnation++
	incarnation := n.incarnation
	sim.after(sim.plan.Scenario.Clients.FrontNotice.D(), func() { n.markedDown = n.markedDown || !n.up && n.incarnation == incarnation })
	for _, a := range n.inFlight {
		a.ended = true
		if a.written {
			a.closeWritten()
		}
	}
	n.inFlight = nil
	for b, p := range n.pool {
		if p.connEpoch == b.connEpoch {
			b.conns -= len(p.idleSince)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(n.requests)) {
		if r := n.requests[id]; !r.ended {
			n.breakClientConn(r)
		}
	}
}

// breakClientConn ends a request because its client's connection broke.
func (n *node) breakClientConn(r *request) {
	r.ended = true
	rec := n.sim.newRecord(r.op)
	rec.Kind, rec.ID, rec.Node, rec.Conn, rec.Why = trace.Broke, r.id, n.Name, r.conn, "closed"
	n.sim.note(rec)
	n.sim.endTry(r, plan.Failed, 0)
}

// revive starts the process again. Where lists are pushed, the agent on its machine has kept the changes meanwhile.
func (n *node) revive() {
	if n.up {
		return
	}
	if err := n.start(); err != nil {
		panic(err) // the same settings were accepted at the first start
	}
	n.sim.after(n.sim.drawListSpread(), func() {
		if n.up && !n.sim.listPausedFor(n) && len(n.pendingUpdates) > 0 {
			n.applyDelta(n.pendingUpdates)
			n.pendingUpdates = nil
		}
	})
}

// applyDelta applies changes of the list.
func (n *node) applyDelta(updates []policy.Entry) { n.applyList(policy.ListDelta, updates) }

func (n *node) applyList(kind policy.ListKind, updates []policy.Entry) {
	for _, e := range updates {
		n.known[e.ID] = e
		for name, s := range listStates {
			if s == e.State {
				n.sim.note(trace.Record{Kind: trace.Notified, Node: n.Name, Backend: n.sim.plan.Backends[e.ID-1].ID, State: name})
			}
		}
		if e.State == policy.Removed {
			delete(n.known, e.ID)
		}
	}
	n.backendsChanged()
	if n.sim.opt.hideUpdate != nil {
		updates = slices.DeleteFunc(updates, n.sim.opt.hideUpdate)
	}
	if len(updates) > 0 || kind != policy.ListDelta {
		n.handle(&policy.Event{Kind: policy.EvList, List: kind, Entries: updates})
	}
}

// handle passes one event to the policy and carries out the actions that it returns.
func (n *node) handle(ev *policy.Event) {
	now := epoch + n.sim.now
	acts := n.balancer.Handle(now, ev, n.actions[:0])
	n.actions = nil // carrying out actions may call handle again
	for i := range acts {
		a := &acts[i]
		switch a.Kind {
		case policy.ActSend:
			n.send(a)
		case policy.ActCancel:
			if r := n.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
				r.attempts[a.Attempt].abandon(policy.Canceled)
			}
		case policy.ActRefuse:
			n.sim.counts.recordRefusal(n, a.ID)
			n.finish(a.ID, 503, "", a.Wait)
		case policy.ActFail:
			n.finish(a.ID, 500, "", 0)
		case policy.ActTimer:
			token, incarnation := a.Token, n.incarnation
			n.sim.at(a.At-epoch, func() {
				if n.incarnation == incarnation {
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
	sim, b := n.sim, n.sim.backends[act.Backend-1]
	sim.attemptCount++
	a := &attempt{number: uint64(sim.attemptCount), node: n, backend: b, request: r, index: len(r.attempts), sent: sim.now,
		timeout: min(act.Wait, r.sentAt+r.timeout-returnTransit-sim.now), load: policy.Load{Queue: -1, Occupancy: -1}}
	r.attempts = append(r.attempts, a)
	n.inFlight = append(n.inFlight, a)
	sim.after(a.timeout, func() { a.abandon(policy.TimedOut) })
	if n.sites != nil {
		n.sites.RecordSend(epoch+sim.now, act.Backend)
		if n.shared != nil && n.sites.Node.IsOverflow(b.plan.Site) {
			n.shared.CountOverflow(epoch+sim.now, b.plan.Site)
		}
	}
	a.connEpoch = b.connEpoch
	a.newConn = !n.reuse(a)
	sim.counts.recordAttempt(a)
	if !a.newConn {
		a.write()
		return
	}
	delay := sim.delay(n.Site, b.plan.Site)
	if b.isolated || sim.partitioned(n.Site, b.plan.Site) {
		sim.after(n.connectTimeout, func() { a.abandon(policy.ConnectFailed) })
		return
	}
	sim.after(delay, func() {
		if a.ended || b.isolated || sim.partitioned(n.Site, b.plan.Site) {
			return
		}
		up := b.up && b.connEpoch == a.connEpoch
		if up {
			b.closeAllExpired()
			b.conns++
			a.overLimit = b.conns > sim.plan.Scenario.Conn.Max
		}
		sim.after(sim.delay(b.plan.Site, n.Site), func() {
			switch {
			case a.ended && up:
				a.releaseConn()
			case a.ended:
			case !up:
				a.end(policy.ConnectFailed)
			default:
				a.write()
			}
		})
	})
}

// reuse takes an idle connection to the attempt's backend if there is one, by the rules of the daemon's pool: the most
// recently used one, and for a request that must not be sent twice none that has been idle for longer than the backend
// is known to keep one.
func (n *node) reuse(a *attempt) bool {
	p := n.pool[a.backend]
	if p == nil || p.connEpoch != a.backend.connEpoch {
		p = &idlePool{connEpoch: a.backend.connEpoch, idleEstimator: admission.NewIdleEstimator(n.sim.plan.Scenario.Conn.IdleTimeout.D(), n.idleEstimator)}
		n.pool[a.backend] = p
	}
	a.backend.closeExpired(p)
	last := len(p.idleSince) - 1
	if last < 0 {
		return false
	}
	idle := n.sim.now - p.idleSince[last]
	if n.sim.plan.Scenario.Classes[a.request.op.Class].Effect == "unsafe" && idle > p.idleEstimator.SafeIdle() {
		return false
	}
	p.idleSince, a.idleFor = p.idleSince[:last], max(idle, 1)
	return true
}

// closeExpired closes the connections in a node's pool that have reached its idle limit: nine tenths of the backends'
// idle timeout.
func (b *backend) closeExpired(p *idlePool) {
	keep := b.sim.plan.Scenario.Conn.IdleTimeout.D() * 9 / 10
	for p.connEpoch == b.connEpoch && len(p.idleSince) > 0 && b.sim.now-p.idleSince[0] >= keep {
		p.idleSince = p.idleSince[1:]
		b.conns--
	}
}

// closeAllExpired calls closeExpired for the pools of all nodes.
func (b *backend) closeAllExpired() {
	for _, n := range b.sim.nodes {
		if p := n.pool[b]; n.up && p != nil {
			b.closeExpired(p)
		}
	}
}

// write sends the request on the attempt's connection.
func (a *attempt) write() {
	sim, b := a.node.sim, a.backend
	a.written = true
	lost := sim.cut(a.node.Site, b.plan.Site)
	if b.up && b.connEpoch == a.connEpoch && !b.isolated && !lost {
		work := a.request.op.Work
		if a.newConn {
			work += sim.plan.Scenario.Conn.HandshakeWork.D()
		}
		if b.budget != nil {
			b.budget.Add(sim.now, work.Seconds(), true)
			sim.counts.recordColdWork(b, work)
		}
		sim.note(trace.Record{Kind: trace.Received, Backend: b.plan.ID, Node: a.node.Name, ID: a.request.id, Attempt: int64(a.number), T0: trace.Microseconds(sim.now),
			Class: sim.plan.Scenario.Classes[a.request.op.Class].Name, Work: trace.Microseconds(work)})
	}
	sim.after(sim.delay(a.node.Site, b.plan.Site), func() {
		switch {
		case a.ended || lost:
		case !b.up || b.connEpoch != a.connEpoch:
			a.end(policy.Reset)
		default:
			b.handleArrival(a)
		}
	})
}

// abandon ends the attempt and closes its connection. A timeout before the request is sent counts as a failed connect.
func (a *attempt) abandon(o policy.Outcome) {
	if a.ended {
		return
	}
	if !a.written && o == policy.TimedOut {
		o = policy.ConnectFailed
	}
	if a.written {
		a.closeWritten()
	}
	a.end(o)
}

// closeWritten closes the connection of a request that has been sent; the backend may cancel the request then.
func (a *attempt) closeWritten() {
	sim, b := a.node.sim, a.backend
	sim.note(trace.Record{Kind: trace.Dropped, Backend: b.plan.ID, Node: a.node.Name, Attempt: int64(a.number), ID: a.request.id})
	a.releaseConn()
	sim.after(sim.delay(a.node.Site, b.plan.Site), func() {
		if b.up && b.connEpoch == a.connEpoch && !b.isolated && !sim.cut(a.node.Site, b.plan.Site) {
			b.model.Cancel(sim.now, a.number)
			b.advance()
		}
	})
}

// releaseConn removes the attempt's connection from the backend's count.
func (a *attempt) releaseConn() {
	if a.backend.connEpoch == a.connEpoch {
		a.backend.conns--
	}
}

// end records the attempt's outcome with all that listen to it, and answers the request if it was served.
func (a *attempt) end(o policy.Outcome) {
	n, r := a.node, a.request
	a.ended = true
	n.inFlight = slices.DeleteFunc(n.inFlight, func(x *attempt) bool { return x == a })
	if p := n.pool[a.backend]; p != nil && p.connEpoch == a.connEpoch && a.backend.connEpoch == a.connEpoch {
		switch o {
		case policy.OK, policy.Failed, policy.Full:
			if a.overLimit {
				a.releaseConn()
			} else {
				p.idleSince = append(p.idleSince, n.sim.now)
			}
			if a.idleFor > 0 {
				p.idleEstimator.RecordReuse(n.sim.now, a.idleFor)
			}
		case policy.Reset:
			a.releaseConn()
		}
	}
	if o == policy.OK && !r.ended {
		n.finish(r.id, 200, a.digest(), 0)
	}
	if a.load.Known {
		n.reportedAt[a.backend] = n.sim.now
	}
	if n.shared != nil {
		if conclusive, failed := shared.Evidence(o); conclusive {
			n.shared.RecordOutcome(epoch+n.sim.now, n.key(a.backend), failed)
		}
	}
	if n.sites != nil {
		n.sites.RecordOutcome(epoch+n.sim.now, uint32(n.sim.backendIndex[a.backend.plan.ID]+1), o, n.sim.now-a.sent)
	}
	n.handle(&policy.Event{Kind: policy.EvOutcome, ID: r.id, Backend: uint32(n.sim.backendIndex[a.backend.plan.ID] + 1), Attempt: a.index,
		Took: n.sim.now - a.sent, Finished: r.ended, Outcome: o, Load: a.load})
	n.forget(r)
}

// finish sends the final response of a request, unless it has ended.
func (n *node) finish(id string, status int, sum string, retryAfter time.Duration) {
	r := n.requests[id]
	if r == nil || r.ended {
		return
	}
	r.ended = true
	n.sim.after(n.sim.delay(n.Site, n.Site), func() { n.sim.deliverResponse(n, r, status, sum, retryAfter) })
	n.forget(r)
}

// forget removes a request that has ended and has no attempt in flight.
func (n *node) forget(r *request) {
	if r.ended && !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.ended }) {
		delete(n.requests, r.id)
	}
}
