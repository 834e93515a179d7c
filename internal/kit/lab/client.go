package lab

import (
	"slices"
	"time"

	"craneglade/internal/kit/deployment"
	"craneglade/internal/kit/plan"
	"craneglade/internal/kit/trace"
	"craneglade/policy"
)

// startOperation starts one client's operation.
func (sim *simulation) startOperation(op plan.Operation) {
	first := sim.id()
	rec := sim.newRecord(&op)
	rec.Kind, rec.ID = trace.Planned, first
	sim.note(rec)
	sim.tryRequest(&request{id: first, op: &op, firstID: first})
}

func (sim *simulation) newRecord(op *plan.Operation) trace.Record {
	s := sim.plan.Scenario
	return trace.Record{Class: s.Classes[op.Class].Name, Tenant: s.Tenants[op.Tenant].Name, Site: s.Sites[op.Site].Name,
		OverQuota: op.Over}
}

// pickNode returns a random node of the site, or of another site if none there is usable; nil if there is none.
func (sim *simulation) pickNode(site string) *node {
	var near []*node
	for _, n := range sim.nodes {
		if n.Site == site && !n.markedDown {
			near = append(near, n)
		}
	}
	if len(near) == 0 {
		near = slices.DeleteFunc(slices.Clone(sim.nodes), func(n *node) bool { return n.markedDown })
	}
	if len(near) == 0 {
		return nil
	}
	return near[sim.rng.IntN(len(near))]
}

// tryRequest sends a request to a node, or ends the operation if too little time is left.
func (sim *simulation) tryRequest(r *request) {
	r.sentAt, r.timeout = sim.now, sim.plan.TryTimeout(r.op, sim.now)
	if r.timeout == 0 {
		sim.finishOperation(r, plan.Refused)
		return
	}
	n := sim.pickNode(sim.plan.Scenario.Sites[r.op.Site].Name)
	if n == nil || !n.up { // the port is closed
		sim.endTry(r, plan.Unreachable, 0)
		return
	}
	r.incarnation = n.incarnation
	rec := sim.newRecord(r.op)
	rec.Kind, rec.ID, rec.FirstID, rec.Try, rec.Timeout, rec.Node = trace.Sent, r.id, r.firstID, r.try, trace.Microseconds(r.timeout), n.Name
	if last := len(n.idle) - 1; last >= 0 {
		r.conn, n.idle, rec.Reused = n.idle[last], n.idle[:last], true
	} else {
		sim.connCount++
		r.conn = sim.connCount
	}
	rec.Conn = r.conn
	sim.note(rec)
	sim.after(sim.delay(n.Site, n.Site), func() {
		if r.ended {
			return // the client has already disconnected
		}
		if n.incarnation != r.incarnation {
			n.breakClientConn(r)
			return
		}
		n.requests[r.id] = r
		if n.shared != nil {
			n.shared.CountRequest(epoch+sim.now, rec.Tenant)
		}
		n.handle(&policy.Event{Kind: policy.EvRequest, ID: r.id, Class: rec.Class, Tenant: rec.Tenant,
			Remaining: max(0, r.timeout-(sim.now-r.sentAt)-returnTransit)})
	})
	sim.at(r.sentAt+r.timeout+deployment.AnswerSlack+deployment.LimitSlack+lingerTime, func() { sim.abandon(n, r, "time", plan.Failed) })
	if r.op.Impatient > 0 && r.try == 0 {
		sim.after(r.op.Impatient, func() { sim.abandon(n, r, "impatient", plan.Abandoned) })
	}
}

// abandon is called when a client closes its connection before it has a response.
func (sim *simulation) abandon(n *node, r *request, why, how string) {
	if r.ended {
		return
	}
	r.ended = true
	rec := sim.newRecord(r.op)
	rec.Kind, rec.ID, rec.Node, rec.Conn, rec.Why = trace.GaveUp, r.id, n.Name, r.conn, why
	sim.note(rec)
	if n.incarnation == r.incarnation {
		n.handle(&policy.Event{Kind: policy.EvDisconnected, ID: r.id})
		n.forget(r)
	}
	sim.finishOperation(r, how)
}

// deliverResponse is called when a final response arrives at its client.
func (sim *simulation) deliverResponse(n *node, r *request, status int, sum string, retryAfter time.Duration) {
	rec := sim.newRecord(r.op)
	rec.Kind, rec.ID, rec.Node, rec.Conn, rec.Status, rec.Digest = trace.Got, r.id, n.Name, r.conn, status, sum
	sim.note(rec)
	if n.incarnation == r.incarnation {
		n.idle = append(n.idle, r.conn)
	}
	how := map[int]string{200: plan.Served, 503: plan.Refused}[status]
	if how == "" {
		how = plan.Failed
	}
	sim.endTry(r, how, retryAfter)
}

// endTry ends one try; the client tries again or its operation ends.
func (sim *simulation) endTry(r *request, how string, retryAfter time.Duration) {
	pause, again := sim.plan.Retry(r.op, r.try, how, retryAfter)
	if !again || sim.now+pause >= r.op.At+sim.plan.Scenario.Classes[r.op.Class].Deadline.D() {
		sim.finishOperation(r, how)
		return
	}
	sim.after(pause, func() { sim.tryRequest(&request{id: sim.id(), op: r.op, firstID: r.firstID, try: r.try + 1}) })
}

// finishOperation records the end of an operation.
func (sim *simulation) finishOperation(r *request, how string) {
	rec := sim.newRecord(r.op)
	rec.Kind, rec.ID, rec.How, rec.Took = trace.Done, r.firstID, how, trace.Microseconds(sim.now-r.op.At)
	sim.note(rec)
}
