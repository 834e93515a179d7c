package lab

import (
	"slices"
	"time"

	"craneglade/internal/kit/deployment"
	"craneglade/internal/kit/plan"
	"craneglade/internal/kit/trace"
	"craneglade/policy"
)

// want begins what one client needs.
func (w *world) want(need plan.Operation) {
	first := w.id()
	rec := w.rec(&need)
	rec.Kind, rec.ID = trace.Want, first
	w.note(rec)
	w.try(&request{id: first, need: &need, first: first})
}

func (w *world) rec(need *plan.Operation) trace.Record {
	s := w.plan.Scenario
	return trace.Record{Class: s.Classes[need.Class].Name, Tenant: s.Tenants[need.Tenant].Name, Site: s.Sites[need.Site].Name,
		Over: need.Over}
}

// front deals out a node for a client of a site.
func (w *world) front(site string) *node {
	var near []*node
	for _, n := range w.nodes {
		if n.Site == site && !n.out {
			near = append(near, n)
		}
	}
	if len(near) == 0 {
		near = slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n.out })
	}
	if len(near) == 0 {
		return nil
	}
	return near[w.rng.IntN(len(near))]
}

// try sends a request to a node, or gives the need up.
func (w *world) try(r *request) {
	r.sentAt, r.wait = w.now, w.plan.Patience(r.need, w.now)
	if r.wait == 0 {
		w.done(r, plan.Refused)
		return
	}
	n := w.front(w.plan.Scenario.Sites[r.need.Site].Name)
	if n == nil || !n.up { // its port is closed
		w.ended(r, plan.Unreachable, 0)
		return
	}
	r.life = n.life
	rec := w.rec(r.need)
	rec.Kind, rec.ID, rec.Of, rec.Try, rec.Wait, rec.Node = trace.Sent, r.id, r.first, r.try, trace.US(r.wait), n.Name
	if last := len(n.idle) - 1; last >= 0 {
		r.conn, n.idle, rec.Reused = n.idle[last], n.idle[:last], true
	} else {
		w.conns++
		r.conn = w.conns
	}
	rec.Conn = r.conn
	w.note(rec)
	w.after(w.delay(n.Site, n.Site), func() {
		if r.answered {
			return // its client left at once
		}
		if n.life != r.life {
			n.cut(r)
			return
		}
		n.requests[r.id] = r
		if n.shared != nil {
			n.shared.CountRequest(epoch+w.now, rec.Tenant)
		}
		n.handle(&policy.Event{Kind: policy.EvRequest, ID: r.id, Class: rec.Class, Tenant: rec.Tenant,
			Remaining: max(0, r.wait-(w.now-r.sentAt)-transit)})
	})
	w.at(r.sentAt+r.wait+deployment.AnswerSlack+deployment.LimitSlack+overtime, func() { w.leave(n, r, "time", plan.Failed) })
	if r.need.Impatient > 0 && r.try == 0 {
		w.after(r.need.Impatient, func() { w.leave(n, r, "impatient", plan.Abandoned) })
	}
}

// leave is a client that closes its connection before it has its answer.
func (w *world) leave(n *node, r *request, why, how string) {
	if r.answered {
		return
	}
	r.answered = true
	rec := w.rec(r.need)
	rec.Kind, rec.ID, rec.Node, rec.Conn, rec.Why = trace.GaveUp, r.id, n.Name, r.conn, why
	w.note(rec)
	if n.life == r.life {
		n.handle(&policy.Event{Kind: policy.EvDisconnected, ID: r.id})
		n.forget(r)
	}
	w.done(r, how)
}

// answered is a final answer that has come to its client.
func (w *world) answered(n *node, r *request, status int, sum string, retryAfter time.Duration) {
	rec := w.rec(r.need)
	rec.Kind, rec.ID, rec.Node, rec.Conn, rec.Status, rec.Sum = trace.Got, r.id, n.Name, r.conn, status, sum
	w.note(rec)
	if n.life == r.life {
		n.idle = append(n.idle, r.conn)
	}
	how := map[int]string{200: plan.Served, 503: plan.Refused}[status]
	if how == "" {
		how = plan.Failed
	}
	w.ended(r, how, retryAfter)
}

// ended is the end of one try: its client tries again or has done.
func (w *world) ended(r *request, how string, retryAfter time.Duration) {
	pause, again := w.plan.Again(r.need, r.try, how, retryAfter)
	if !again || w.now+pause >= r.need.At+w.plan.Scenario.Classes[r.need.Class].Deadline.D() {
		w.done(r, how)
		return
	}
	w.after(pause, func() { w.try(&request{id: w.id(), need: r.need, first: r.first, try: r.try + 1}) })
}

// done is the end of a need.
func (w *world) done(r *request, how string) {
	rec := w.rec(r.need)
	rec.Kind, rec.ID, rec.How, rec.Took = trace.Done, r.first, how, trace.US(w.now-r.need.At)
	w.note(rec)
}
