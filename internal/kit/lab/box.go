package lab

import (
	"math/rand/v2"
	"time"

	"craneglade/internal/kit/boxmodel"
	"craneglade/internal/kit/plan"
	"craneglade/internal/kit/trace"
	"craneglade/policy"
)

// backend is one backend process and its connections.
type backend struct {
	sim          *simulation
	plan         *plan.Backend
	model        *boxmodel.Backend
	reports      *boxmodel.Reports
	started      time.Duration // 0 if it ran from the beginning
	up           bool
	draining     bool
	isolated     bool
	slow         bool
	dropFraction float64          // of its requests: neither run nor answered
	failingClass string           // requests of this class are answered with an error; "" for none
	conns        int              // open connections
	budget       *boxmodel.Budget // work that it can bear while cold; nil once it is warm
	incarnation  int              // counts its processes
	connEpoch    int              // counts how often all connections were reset; a connection of an earlier epoch is closed
	open         map[uint64]*attempt
	wakeSeq      int64 // number of the latest scheduled call to advance; earlier ones do nothing
}

// startBackend starts the process of a backend, for the first time or again.
func (sim *simulation) startBackend(i int, warm bool) {
	p := &sim.plan.Backends[i]
	spec := p.Spec
	if warm {
		spec.ColdFrom = 1
	}
	b := sim.backends[i]
	if b == nil {
		b = &backend{sim: sim, plan: p}
		sim.backends[i] = b
	}
	rng := rand.New(rand.NewPCG(p.Seed, 3))
	r := &sim.plan.Scenario.Report
	b.connEpoch++
	b.incarnation++
	b.up, b.draining, b.isolated, b.slow, b.dropFraction, b.failingClass, b.conns = true, false, false, false, 0, "", 0
	b.open = map[uint64]*attempt{}
	b.model = boxmodel.New(spec, p.Seed+uint64(b.incarnation), sim.now)
	b.reports = boxmodel.NewReports(r.Delay.D(), r.Noise, rng)
	if !warm {
		b.started = max(sim.now, 1)
	}
	b.budget = nil
	if !warm {
		b.budget = boxmodel.NewBudget(sim.plan.Scenario.Rules.OverloadFactor, sim.plan.Scenario.Rules.OverloadDuration.D())
		b.budget.SetCapacity(sim.now, b.model.Capacity())
	}
	b.recordState(trace.Ready)
	first := time.Duration(rng.Float64() * float64(r.Interval.D()))
	b.repeat(first, r.Interval.D(), func() bool { b.reports.Sample(sim.now, b.model); return true })
	b.repeat(0, loadInterval, func() bool {
		sim.note(trace.Record{Kind: trace.Load, Backend: p.ID, InFlight: b.model.InFlight(), Queue: b.model.Waiting(), Conns: b.conns,
			Cores: b.model.Capacity()})
		return true
	})
	b.repeat(0, capacityInterval, func() bool {
		if b.budget != nil && !b.model.Warm() {
			sim.note(trace.Record{Kind: trace.Capacity, Backend: p.ID, Cores: b.model.Capacity()})
			b.budget.SetCapacity(sim.now, b.model.Capacity())
		}
		return !b.model.Warm()
	})
	b.advance()
}

// repeat calls do at intervals of gap, with the model advanced to that time, until this process ends or do returns false.
func (b *backend) repeat(first, gap time.Duration, do func() bool) {
	if gap <= 0 {
		return
	}
	incarnation := b.incarnation
	var tick func()
	tick = func() {
		if b.incarnation != incarnation || !b.up {
			return
		}
		b.advance()
		if b.up && do() {
			b.sim.after(gap, tick)
		}
	}
	b.sim.after(first, tick)
}

func (b *backend) recordState(s string) {
	b.sim.note(trace.Record{Kind: trace.Backend, Backend: b.plan.ID, Site: b.plan.Site, Cell: b.plan.Cell, MachineKind: b.plan.Kind, State: s,
		Cores: b.model.Capacity(), FullCores: b.model.FullCapacity()})
}

// advance advances the model to the current time, carries out its results and state changes, and schedules the next call.
func (b *backend) advance() {
	b.model.Advance(b.sim.now)
	results, changes := b.model.TakeResults()
	collapsed := false
	for _, c := range changes {
		switch c.Kind {
		case boxmodel.BecameSlow:
			b.slow = true
			b.recordState(trace.Slow)
		case boxmodel.BecameNormal:
			b.slow = false
			b.recordState(trace.Normal)
		case boxmodel.BecameWarm:
			b.budget = nil
			b.recordState(trace.Warm)
		case boxmodel.Collapsed:
			b.recordState(trace.Collapsed)
			b.up, collapsed = false, true
		}
	}
	for _, r := range results {
		a := b.open[r.ID]
		delete(b.open, r.ID)
		if a == nil || a.ended {
			continue
		}
		switch {
		case r.Outcome == boxmodel.Lost:
			a.end(policy.Reset)
		case a.willReset || b.isolated || r.Outcome == boxmodel.Cancelled: // no response
		case r.Outcome == boxmodel.Served:
			b.reply(a, policy.OK)
		case r.Outcome == boxmodel.Failed:
			b.reply(a, policy.Failed)
		default:
			b.reply(a, policy.Full)
		}
	}
	if collapsed {
		b.resetConns()
	}
	if !b.up {
		return
	}
	if at, ok := b.model.Next(); ok {
		b.wakeSeq++
		seq := b.wakeSeq
		b.sim.at(at, func() {
			if b.wakeSeq == seq && b.up {
				b.advance()
			}
		})
	}
}

// stop ends the process: its connections are reset.
func (b *backend) stop() {
	b.model.Advance(b.sim.now)
	b.model.Stop(b.sim.now)
	b.up = false
	b.recordState(trace.Removed)
	b.advance()
	b.resetConns()
}

// resetConns ends every connection to the backend. Attempts end with a reset unless the backend is isolated.
func (b *backend) resetConns() {
	b.connEpoch++ // idle connections of the nodes belong to the epoch before
	b.conns = 0
	for _, a := range b.openInOrder() {
		delete(b.open, a.number)
		if !a.ended && !b.isolated {
			a.end(policy.Reset)
		}
	}
	if b.up {
		b.advance()
	}
}

// openInOrder lists the open attempts by node, then in the order of their sends: the order of a map is random and must
// not influence the trace.
func (b *backend) openInOrder() []*attempt {
	var out []*attempt
	for _, n := range b.sim.nodes {
		for _, a := range n.inFlight {
			if b.open[a.number] == a {
				out = append(out, a)
			}
		}
	}
	return out
}

// handleArrival handles an attempt whose last byte has arrived.
func (b *backend) handleArrival(a *attempt) {
	if b.isolated {
		return // what arrives during the isolation is lost
	}
	overhead := time.Duration(0)
	if a.newConn {
		overhead = b.sim.plan.Scenario.Conn.HandshakeWork.D()
	}
	if b.draining || a.overLimit {
		b.reply(a, policy.Full)
		return
	}
	if b.dropFraction > 0 && b.sim.rng.Float64() < b.dropFraction {
		return
	}
	if b.failingClass != "" && b.sim.plan.Scenario.Classes[a.request.op.Class].Name == b.failingClass {
		b.reply(a, policy.Failed)
		return
	}
	job := boxmodel.Job{ID: a.number, Work: a.request.op.Work.Seconds(), Overhead: overhead.Seconds(), Deadline: b.sim.now + a.timeout}
	b.open[a.number] = a
	if b.sim.resetFraction > 0 && b.sim.rng.Float64() < b.sim.resetFraction {
		a.willReset = true
	}
	b.model.Arrive(b.sim.now, job)
	b.advance()
	if a.willReset && !a.ended {
		a.end(policy.Reset)
	}
}

// reply ends an attempt after the response's delay to the node, with the load report that is current now.
func (b *backend) reply(a *attempt, o policy.Outcome) {
	load := policy.Load{Queue: -1, Occupancy: -1}
	if inFlight, waiting, ok := b.reports.Due(); ok {
		load = policy.Load{Known: true, Queue: float64(waiting), Occupancy: float64(inFlight)}
	}
	b.sim.after(b.sim.delay(b.plan.Site, a.node.Site), func() {
		if a.ended || b.sim.cut(b.plan.Site, a.node.Site) {
			return // the response is lost
		}
		rec := trace.Record{Kind: trace.Reply, Backend: b.plan.ID, Attempt: int64(a.number), ID: a.request.id}
		switch o {
		case policy.OK:
			rec.Status, rec.How, rec.Digest = 200, trace.Served, a.digest()
		case policy.Failed:
			rec.Status, rec.How = 500, trace.Failed
		default:
			rec.Status, rec.How = 503, trace.Rejected
		}
		b.sim.note(rec)
		a.load = load
		a.end(o)
	})
}
