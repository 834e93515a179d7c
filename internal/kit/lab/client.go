package lab

import (
	"slices"
	"time"

	"craneglade/internal/kit/deployment"
	"craneglade/internal/kit/plan"
	"craneglade/internal/kit/trace"
	"craneglade/policy"
)

// startOperation begins what one client needs.
func (w *simulation) startOperation(need plan.Operation) {
	first := w.id()
	rec := w.newRecord(&need)
	rec.Kind, rec.ID = trace.Want, first
	w.note(rec)
	w.tryRequest(&request{id: first, op: &need, firstID: first})
}

func (w *simulation) newRecord(need *plan.Operation) trace.Record {
	s := w.plan.Scenario
	return trace.Record{Class: s.Classes[need.Class].Name, Tenant: s.Tenants[need.Tenant].Name, Site: s.Sites[need.Site].Name,
		Over: need.Over}
}

// pickNode deals out a node for a client of a site.
func (w *simulation) pickNode(site string) *node {
	var near []*node
	for _, n := range w.nodes {
		if n.Site == site && !n.markedDown {
			near = append(near, n)
		}
	}
	if len(near) == 0 {
		near = slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n.markedDown })
	}
	if len(near) == 0 {
		return nil
	}
	return near[w.rng.IntN(len(near))]
}

// tryRequest sends a request to a node, or gives the need up.
func (w *simulation) tryRequest(r *request) {
	r.sentAt, r.timeout = w.now, w.plan.TryTimeout(r.op, w.now)
	if r.timeout == 0 {
		w.finishOperation(r, plan.Refused)
		return
	}
	n := w.pickNode(w.plan.Scenario.Sites[r.op.Site].Name)
	if n == nil || !n.up { // its port is closed
		w.endTry(r, plan.Unreachable, 0)
		return
	}
	r.incarnation = n.incarnation
	rec := w.newRecord(r.op)
	rec.Kind, rec.ID, rec.Of, rec.Try, rec.Wait, rec.Node = trace.Sent, r.id, r.firstID, r.try, trace.US(r.timeout), n.Name
	if last := len(n.idle) - 1; last >= 0 {
		r.conn, n.idle, rec.Reused = n.idle[last], n.idle[:last], true
	} else {
		w.connCount++
		r.conn = w.connCount
	}
	rec.Conn = r.conn
	w.note(rec)
	w.after(w.delay(n.Site, n.Site), func() {
		if r.ended {
			return // its client left at once
		}
		if n.incarnation != r.incarnation {
			n.breakClientConn(r)
			return
		}
		n.requests[r.id] = r
		if n.shared != nil {
			n.shared.CountRequest(epoch+w.now, rec.Tenant)
		}
		n.handle(&policy.Event{Kind: policy.EvRequest, ID: r.id, Class: rec.Class, Tenant: rec.Tenant,
			Remaining: max(0, r.timeout-(w.now-r.sentAt)-returnTransit)})
	})
	w.at(r.sentAt+r.timeout+deployment.AnswerSlack+deployment.LimitSlack+lingerTime, func() { w.abandon(n, r, "time", plan.Failed) })
	if r.op.Impatient > 0 && r.try == 0 {
		w.after(r.op.Impatient, func() { w.abandon(n, r, "impatient", plan.Abandoned) })
	}
}

// abandon is a client that closes its connection before it has its answer.
func (w *simulation) abandon(n *node, r *request, why, how string) {
	if r.ended {
		return
	}
	r.ended = true
	rec := w.newRecord(r.op)
	rec.Kind, rec.ID, rec.Node, rec.Conn, rec.Why = trace.GaveUp, r.id, n.Name, r.conn, why
	w.note(rec)
	if n.incarnation == r.incarnation {
		n.handle(&policy.Event{Kind: policy.EvDisconnected, ID: r.id})
		n.forget(r)
	}
	w.finishOperation(r, how)
}

// deliverResponse is a final answer that has come to its client.
func (w *simulation) deliverResponse(n *node, r *request, status int, sum string, retryAfter time.Duration) {
	rec := w.newRecord(r.op)
	rec.Kind, rec.ID, rec.Node, rec.Conn, rec.Status, rec.Sum = trace.Got, r.id, n.Name, r.conn, status, sum
	w.note(rec)
	if n.incarnation == r.incarnation {
		n.idle = append(n.idle, r.conn)
	}
	how := map[int]string{200: plan.Served, 503: plan.Refused}[status]
	if how == "" {
		how = plan.Failed
	}
	w.endTry(r, how, retryAfter)
}

// endTry is the end of one try: its client tries again or has done.
func (w *simulation) endTry(r *request, how string, retryAfter time.Duration) {
	pause, again := w.plan.Retry(r.op, r.try, how, retryAfter)
	if !again || w.now+pause >= r.op.At+w.plan.Scenario.Classes[r.op.Class].Deadline.D() {
		w.finishOperation(r, how)
		return
	}
	w.after(pause, func() { w.tryRequest(&request{id: w.id(), op: r.op, firstID: r.firstID, try: r.try + 1}) })
}

// finishOperation is the end of a need.
func (w *simulation) finishOperation(r *request, how string) {
	rec := w.newRecord(r.op)
	rec.Kind, rec.ID, rec.How, rec.Took = trace.Done, r.firstID, how, trace.US(w.now-r.op.At)
	w.note(rec)
}
