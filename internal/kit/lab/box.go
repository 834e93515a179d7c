package lab

import (
	"math/rand/v2"
	"time"

	"craneglade/internal/kit/boxmodel"
	"craneglade/internal/kit/plan"
	"craneglade/internal/kit/trace"
	"craneglade/policy"
)

// box is one box process with its network side.
type box struct {
	w        *world
	plan     *plan.Backend
	model    *boxmodel.Box
	reports  *boxmodel.Reports
	started  time.Duration // 0 for one that was there from the beginning
	up       bool
	draining bool
	silent   bool
	slow     bool
	loses    float64          // part of its requests that it forgets
	fails    string           // the class that it fails, if any
	conns    int              // that it holds
	budget   *boxmodel.Budget // of its cold start; nil once it is warm
	runs     int              // counts its processes
	life     int              // counts the times that all its connections ended; those of an earlier one are worth nothing
	open     map[uint64]*attempt
	woken    int64 // marks the latest call to drive; earlier ones that are still set do nothing
}

// start starts the process of a box, for the first time or again.
func (w *world) start(i int, warm bool) {
	p := &w.plan.Backends[i]
	spec := p.Spec
	if warm {
		spec.ColdFrom = 1
	}
	b := w.boxes[i]
	if b == nil {
		b = &box{w: w, plan: p}
		w.boxes[i] = b
	}
	rng := rand.New(rand.NewPCG(p.Seed, 3))
	r := &w.plan.Scenario.Report
	b.life++
	b.runs++
	b.up, b.draining, b.silent, b.slow, b.loses, b.fails, b.conns = true, false, false, false, 0, "", 0
	b.open = map[uint64]*attempt{}
	b.model = boxmodel.New(spec, p.Seed+uint64(b.runs), w.now)
	b.reports = boxmodel.NewReports(r.Late.D(), r.Noise, rng)
	if !warm {
		b.started = max(w.now, 1)
	}
	b.budget = nil
	if !warm {
		b.budget = boxmodel.NewBudget(w.plan.Scenario.Rules.FallFactor, w.plan.Scenario.Rules.FallFor.D())
		b.budget.SetCapacity(w.now, b.model.Capacity())
	}
	b.state(trace.Ready)
	first := time.Duration(rng.Float64() * float64(r.Every.D()))
	b.every(first, r.Every.D(), func() bool { b.reports.Take(w.now, b.model); return true })
	b.every(0, loadEvery, func() bool {
		w.note(trace.Record{Kind: trace.Load, Box: p.ID, Held: b.model.Held(), Queue: b.model.Waiting(), Conns: b.conns,
			Cores: b.model.Capacity()})
		return true
	})
	b.every(0, capEvery, func() bool {
		if b.budget != nil && !b.model.Warm() {
			w.note(trace.Record{Kind: trace.Cap, Box: p.ID, Cores: b.model.Capacity()})
			b.budget.SetCapacity(w.now, b.model.Capacity())
		}
		return !b.model.Warm()
	})
	b.drive()
}

// every calls do at times apart, with the model up to the time, for as long as this process lives and do wants it.
func (b *box) every(first, gap time.Duration, do func() bool) {
	if gap <= 0 {
		return
	}
	runs := b.runs
	var tick func()
	tick = func() {
		if b.runs != runs || !b.up {
			return
		}
		b.drive()
		if b.up && do() {
			b.w.after(gap, tick)
		}
	}
	b.w.after(first, tick)
}

func (b *box) state(s string) {
	b.w.note(trace.Record{Kind: trace.Box, Box: b.plan.ID, Site: b.plan.Site, Cell: b.plan.Cell, Kit: b.plan.Kind, State: s,
		Cores: b.model.Capacity(), Full: b.model.Full()})
}

// drive brings the model up to the time, carries out what it has done, and sets when to do so again.
func (b *box) drive() {
	b.model.Advance(b.w.now)
	results, changes := b.model.Take()
	fell := false
	for _, c := range changes {
		switch c.What {
		case boxmodel.TurnedSlow:
			b.slow = true
			b.state(trace.Slow)
		case boxmodel.TurnedNormal:
			b.slow = false
			b.state(trace.Normal)
		case boxmodel.TurnedWarm:
			b.budget = nil
			b.state(trace.Warm)
		case boxmodel.FellOver:
			b.state(trace.Fallen)
			b.up, fell = false, true
		}
	}
	for _, r := range results {
		a := b.open[r.ID]
		delete(b.open, r.ID)
		if a == nil || a.over {
			continue
		}
		switch {
		case r.Outcome == boxmodel.Lost:
			a.end(policy.Reset)
		case a.dead || b.silent || r.Outcome == boxmodel.Cancelled: // nothing is said
		case r.Outcome == boxmodel.Served:
			b.reply(a, policy.OK)
		case r.Outcome == boxmodel.Failed:
			b.reply(a, policy.Failed)
		default:
			b.reply(a, policy.Full)
		}
	}
	if fell {
		b.reset()
	}
	if !b.up {
		return
	}
	if at, ok := b.model.Next(); ok {
		b.woken++
		mine := b.woken
		b.w.at(at, func() {
			if b.woken == mine && b.up {
				b.drive()
			}
		})
	}
}

// stop ends the process: what it holds is reset.
func (b *box) stop() {
	b.model.Advance(b.w.now)
	b.model.Stop(b.w.now)
	b.up = false
	b.state(trace.Gone)
	b.drive()
	b.reset()
}

// reset ends every connection to it.
func (b *box) reset() {
	b.life++ // connections kept by nodes are of the life before
	b.conns = 0
	for _, a := range b.sorted() {
		delete(b.open, a.att)
		if !a.over && !b.silent {
			a.end(policy.Reset)
		}
	}
	if b.up {
		b.drive()
	}
}

// sorted lists what is open here in the order of its coming: the order of a map must not decide anything.
func (b *box) sorted() []*attempt {
	var out []*attempt
	for _, n := range b.w.nodes {
		for _, a := range n.flying {
			if b.open[a.att] == a {
				out = append(out, a)
			}
		}
	}
	return out
}

// arrive takes in an attempt whose last byte has come.
func (b *box) arrive(a *attempt) {
	if b.silent {
		return // what comes while it is cut off comes nowhere
	}
	extra := time.Duration(0)
	if a.fresh {
		extra = b.w.plan.Scenario.Conn.Handshake.D()
	}
	if b.draining || a.extra {
		b.reply(a, policy.Full)
		return
	}
	if b.loses > 0 && b.w.rng.Float64() < b.loses {
		return
	}
	if b.fails != "" && b.w.plan.Scenario.Classes[a.req.need.Class].Name == b.fails {
		b.reply(a, policy.Failed)
		return
	}
	job := boxmodel.Job{ID: a.att, Work: a.req.need.Work.Seconds(), Extra: extra.Seconds(), Until: b.w.now + a.wait}
	b.open[a.att] = a
	if b.w.resets > 0 && b.w.rng.Float64() < b.w.resets {
		a.dead = true
	}
	b.model.Arrive(b.w.now, job)
	b.drive()
	if a.dead && !a.over {
		a.end(policy.Reset)
	}
}

// reply answers an attempt once its answer has come as far as the node.
func (b *box) reply(a *attempt, o policy.Outcome) {
	load := policy.Load{Queue: -1, Occupancy: -1}
	if held, queue, ok := b.reports.Due(); ok {
		load = policy.Load{Known: true, Queue: float64(queue), Occupancy: float64(held)}
	}
	b.w.after(b.w.delay(b.plan.Site, a.node.Site), func() {
		if a.over || b.w.cut(b.plan.Site, a.node.Site) {
			return // it is lost on the way
		}
		rec := trace.Record{Kind: trace.Reply, Box: b.plan.ID, Att: int64(a.att), ID: a.req.id}
		switch o {
		case policy.OK:
			rec.Status, rec.How, rec.Sum = 200, trace.Served, a.sum()
		case policy.Failed:
			rec.Status, rec.How = 500, trace.Failed
		default:
			rec.Status, rec.How = 503, trace.Turned
		}
		b.w.note(rec)
		a.load = load
		a.end(o)
	})
}
