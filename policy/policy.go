// Package policy makes the decisions of one load balancer: which backend a request goes to, which are refused,
// what is tried again. Settings, events and actions are in api.go, what a node remembers in state.go.
//
// Each backend has a mode, after Abaev et al., "Simulation of Overload Control in SIP Server Networks": normal,
// overload (each request is diverted with probability q, to a normal one or refused) and discard (nothing is sent).
package policy

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"craneglade/internal/cold"
	"craneglade/internal/health"
	"craneglade/internal/subset"
)

// Times are in seconds. The constants are the design's, or middles of plateaus over unlike fleets.
const (
	onset     = 0.90 // H as a part of R
	abatement = 0.78 // L as a part of R
	roomPart  = 0.80 // and at most this part of an occupancy that drew 'full', as reports tell of it too late
	minH      = 1.6  // below this the noise of single requests would decide the modes
	sharpness = 8    // the split's weights fall with this power of the expected delay
	ownZone   = 1.5  // weight of a backend in this node's own zone
	othersTau = 3.0  // reports are older than most requests: what others add is known as a mean only
	levelTau  = 9.0  // but what all hold alike moves within this part of it: over the nodes that share a backend
	few       = 2.0  // so many that tell nothing stand before the first; fewer answers lately tell nothing either
	swingTau  = 0.7  // reports tell of about that long ago
	lagTau    = 0.5  // about how old a report is when it is read,
	reportTau = 1.1  // and when the next one is
	rateTau   = 3.0  // memory of service times and send rates
	knowTau   = 2.0  // a report fades towards the mean of the fresh ones over this
	oldTau    = 10.0 // an occupancy that drew 'full' and class shares fade over this
	slotTau   = 60.0 // and how many it has in work at once over this
	unheard   = 0.5  // so much of what is out does not wait, until a report tells what does
	prior     = 5.0  // a backend's own service time counts from this many held requests on
	guess     = 0.1  // service time before any answer was seen
	silence   = 1.0  // time-outs and "full" are failures of a backend that answered nothing for this long
	crowdAt   = 5.0  // time in work beyond this multiple of the kind's best tells of a crowd, not of chance
	coldPart  = 0.45 // of the multiple that brings a cold backend down: so much it is sent at most
	qMost     = 0.95 // q is never more
	retryPart = 0.2  // further attempts that each first one allows
	retryBank = 10.0 // and how many may be saved up
	askAgain  = 1.0  // after a lost list a node asks again within about this
	drainPart = 0.6  // of its grace a backend that is told to drain goes on serving; the rest is for late news
	tick      = 0.25 // plans are renewed this often
)

// New returns the balancer of one node, or an error that names the setting that makes no sense.
func New(set Settings, seed uint64) (*Balancer, error) { return NewTuned(set, seed, Tuned()) }

// NewTuned is New with other figures than those in service, for the laboratory.
func NewTuned(set Settings, seed uint64, tune Tuning) (*Balancer, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{set: set, tune: tune, rng: rand.New(rand.NewPCG(seed, 0)), servers: map[uint32]*server{},
		requests: map[string]*request{}, tenant: map[string]*tenant{},
		retries: retryBank, aim: math.Inf(1), half: math.Inf(1),
		sharers: 1, many: 1, swing: 1}
	for i, c := range set.Classes {
		b.classes = append(b.classes, &class{Class: c, index: i, stay: 1, least: c.Deadline.Seconds()})
		if d := c.Deadline.Seconds(); d > 0 {
			b.half = min(b.half, d/2)
		}
		if a := c.Aim.Seconds(); a > 0 {
			b.aim = min(b.aim, a)
		}
	}
	for _, t := range set.Tenants {
		b.tenants = append(b.tenants, &tenant{Tenant: t})
		b.tenant[t.Name] = cmp.Or(b.tenant[t.Name], b.tenants[len(b.tenants)-1])
	}
	return b, nil
}

// Handle takes one event at the given time and appends what is to be done to out.
func (b *Balancer) Handle(now time.Duration, ev *Event, out []Action) []Action {
	b.out = out
	t := max(now.Seconds(), b.now) // a clock that steps back must not undo what was learnt
	b.now = t
	if b.many > 1 { // what moves here now moves at the others too, and their reports will tell only then
		b.swing = math.Pow(b.drift.Ratio(t, b.flying, swingTau, few, 2), 1-1/b.many)
	}
	switch ev.Kind {
	case EvRequest:
		b.arrive(t, ev)
	case EvOutcome:
		b.ended(t, ev)
	case EvGone:
		b.gone(ev)
	case EvBegun:
		b.begun(ev)
	case EvList:
		b.list(t, ev)
	case EvShared:
		b.shared(t, ev.Shared)
	case EvSites:
		b.gates.Set(t, ev.Zones, ev.Admit)
	case EvTimer:
		b.plan(t)
		if b.askAt > 0 && t >= b.askAt {
			b.askAt = 0
			b.do(Action{Kind: ActWatch})
		}
	}
	b.overdue(t) // after the event, which may end one of them
	// One timer is out at a time, whatever timers come in; one that was lost is set anew.
	if t >= b.tickAt-1e-6 && (ev.Kind == EvTimer || t > b.tickAt+tick) {
		b.tickAt = t + tick
		b.do(Action{Kind: ActTimer, Token: "tick", At: span(b.tickAt)})
	}
	out, b.out = b.out, nil
	return out
}

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }

func (b *Balancer) log(format string, args ...any) {
	b.do(Action{Kind: ActLog, Text: fmt.Sprintf(format, args...)})
}

func span(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// arrive admits a request or refuses it at once; nothing is ever held.
func (b *Balancer) arrive(now float64, ev *Event) {
	if _, known := b.requests[ev.ID]; known {
		return
	}
	// A class never told of must be taken as one that must not run twice.
	c := &class{Class: Class{Name: ev.Class, Effect: Unsafe}, stay: 1, index: len(b.classes)}
	if i := slices.IndexFunc(b.classes, func(k *class) bool { return k.Name == ev.Class }); i >= 0 {
		c = b.classes[i]
	}
	c.requests++
	left := ev.Left.Seconds()
	r := &request{id: ev.ID, class: c, needs: ev.Needs, until: now + left, aim: now + left, luck: b.gates.Draw(b.rng)}
	if aim := c.Aim.Seconds(); aim > 0 && c.LateWorth == 0 {
		// A repeat with less time left than any first try lately tells its request's age. Past its aim it is no use.
		if ev.Repeat && left < c.least-1e-3 {
			aim -= max(0, c.Deadline.Seconds()-left)
		} else if !ev.Repeat {
			c.least = min(c.least*1.001, left)
		}
		r.aim = min(r.aim, now+aim)
	}
	b.requests[ev.ID] = r
	b.total++
	over := b.overShare(ev.Tenant)
	if over {
		c.over++
	}
	if r.lesser = over || c.lesser; r.lesser {
		b.lessers++
	}
	if left <= 0 || r.aim <= now || !b.gates.Admits(c.Name, over, b.rng) || !b.try(now, r) {
		b.finish(now, r)
		return
	}
	b.retries = min(retryBank, b.retries+retryPart)
}

// try sends a request on the ordinary path of the design, or tells that no backend takes it: draw a backend,
// let one in overload divert the request with probability q, and diverted requests draw a normal one.
func (b *Balancer) try(now float64, r *request) bool {
	s := b.pick(now, r, overload)
	if s != nil && s.mode == overload && b.diverts(now, s, r.lesser) {
		s = b.pick(now, r, normal)
	}
	if len(r.attempts) == 0 {
		if s != nil && b.sharers > b.tune.Steep && !b.pace.Allows(now, r.lesser) {
			s = nil
		}
		b.pace.CountRequest(s != nil)
	}
	if s != nil {
		b.send(now, r, s)
	}
	return s != nil
}

func (b *Balancer) send(now float64, r *request, s *server) {
	b.pace.CountSend()
	b.sends.N++
	if b.priced(s) {
		b.sends.Sum++
	}
	a := &r.first
	if len(r.attempts) > 0 {
		a = &attempt{}
	} else {
		r.attempts = r.list[:0]
	}
	*a = attempt{server: s, request: r, open: true, met: b.waiting(s, now) + 1, at: now}
	r.attempts = append(r.attempts, a)
	s.flying = append(s.flying, a)
	if b.again(r.class) && r.open == 0 {
		r.class.out = append(r.class.out, a)
	}
	s.sentAt = now
	b.gates.CountSend(s.Zone)
	if s.classes != nil && s.of(b, r.class).Trial {
		s.of(b, r.class).Ejected = now + health.FirstEjectionSeconds // one at a time
	}
	r.open++
	s.own++
	b.flying++
	until := r.until // ended at the aim, it would draw a client's retry that is worth nothing
	if s.mode != normal {
		until = r.aim // here it mostly waits, and keeps others from being in time
	}
	b.do(Action{Kind: ActSend, ID: r.id, Server: s.ID, Wait: span(max(until-now, 1e-6)), By: span(r.by)})
}

// finish gives the final answer: a refusal where the client may safely try again, a failure elsewhere.
func (b *Balancer) finish(now float64, r *request) {
	delete(b.requests, r.id) // no attempt is out: nothing more can come of it
	c := r.class
	if r.mayRun != nil && (c.Effect == Unsafe || c.Effect == Keyed && c.Group != GroupAll) {
		b.do(Action{Kind: ActFail, ID: r.id}) // it may have run: a refusal would promise too much
		return
	}
	wait := b.set.RetryAfter.Seconds() // past the aim no repeat can be in time; before it a queue clears in part
	if now < r.aim {
		wait = min(wait, b.aim/4)
	}
	b.do(Action{Kind: ActRefuse, ID: r.id, Wait: span(wait)})
}

// ended takes an attempt's outcome. Outcomes that are late, doubled or of unknown requests change nothing.
func (b *Balancer) ended(now float64, ev *Event) {
	r := b.requests[ev.ID]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].open {
		return
	}
	a := r.attempts[ev.Attempt]
	s := a.server
	a.open = false
	r.open--
	r.final = r.final || ev.Last
	b.learn(now, s, r, a, ev)
	if r.final {
		b.over(r)
		return
	}
	if r.mayRun == nil && ev.Outcome != Full && ev.Outcome != ConnectFailed && ev.Outcome != Moot {
		r.mayRun, r.by = s, now-ev.Took.Seconds()+r.class.Window.Seconds()
	}
	r.avoid = s
	if r.open > 0 {
		return // its other copy is still out
	}
	if b.mayRetry(now, r) && b.try(now, r) {
		b.retries--
	} else {
		b.finish(now, r)
	}
}

// diverts draws whether a backend in overload diverts a request. The share q of all is diverted, lesser classes first;
// it grows from Divert at H to qMost at 1 + Ramp times H, as a fixed one passes too much, or closes it to all.
func (b *Balancer) diverts(now float64, s *server, lesser bool) bool {
	q := b.q(b.waiting(s, now), b.high(s, b.limit(s)))
	part := b.lessers / max(b.total, 1)
	if lesser {
		return b.rng.Float64()*part < q
	}
	return b.rng.Float64()*(1-part) < q-part
}

// q is the part of all requests that a backend in overload diverts at an occupancy of n. Some always pass: without
// them no report would tell that it has emptied. What a node does itself to a backend it sees at once, the others'
// part a report later: where many share one, a steep q has all of them swing together, so it is flatter there.
func (b *Balancer) q(n, h float64) float64 {
	from := b.tune.Divert / b.many
	return min(qMost, from+(1-from)*max(0, n/h-1)/(b.tune.Ramp*b.many))
}

// mayRetry tells whether the rules and the budget allow a further attempt. Retries must never add to an
// overload: they take the ordinary path again, and share a budget that only first attempts fill.
func (b *Balancer) mayRetry(now float64, r *request) bool {
	c := r.class
	return len(r.attempts) < b.set.MaxAttempts && now < r.aim && b.retries >= 1 && (r.mayRun == nil ||
		c.Effect == Safe || c.Effect == Keyed && now < r.by)
}

// learn books what an outcome shows of its backend.
func (b *Balancer) learn(now float64, s *server, r *request, a *attempt, ev *Event) {
	s.settle(now)
	if !a.stray {
		b.flying--
		s.own = max(0, s.own-1)
	}
	s.flying = slices.Delete(s.flying, 0, ended(s.flying))
	took := max(0, ev.Took.Seconds())
	n, told := max(ev.Load.Queue, ev.Load.Held, 0), ev.Load.Known
	if best := r.class.best; b.set.NoReports && !told && ev.Outcome == OK && best > 0 {
		n, told = max(0, took/best-1), true // an answer's own time is all that tells of others' requests
	}
	if w := ev.Load.Work; ev.Load.Held < 0 && w > 0 && w < math.MaxInt32 && b.ramp(s, now) == 1 {
		// Where the queue alone is told, many slots hide a crowd from it: a backend chokes on what is in work
		// with nothing waiting. Requests then take many times as long as at their best.
		s.work = cmp.Or(s.work, w)
		s.work += (w - s.work) * (1 - math.Exp((s.reportAt-now)/othersTau))
		n += max(0, s.work/s.base/crowdAt-1)
	}
	if q, h := ev.Load.Queue, ev.Load.Held; q >= 0 && h-q < math.MaxInt32 {
		s.slots = max(s.slots, h-q) // so many it has in work at once
	}
	if told && n < math.MaxInt32 { // and not NaN
		held := b.level.Mean*b.ramp(s, now) + s.others // which its own report moves as slowly as before
		b.level.Add(now, max(0, n-s.ownLag), levelTau/b.sharers, few)
		s.others = held - b.level.Mean*b.ramp(s, now) + (n-s.ownLag-held)*(1-math.Exp((s.reportAt-now)/othersTau))
		s.reportAt = now
	}
	switch ev.Outcome {
	case OK:
		s.lastOK, s.turned = now, 0
		s.served++
		if s.Answered(now) {
			b.log("backend %d answers again", s.ID)
		}
		if s.classes != nil && s.of(b, r.class).Answered(now) {
			b.log("backend %d answers class %s again", s.ID, r.class.Name)
		}
		b.latency(s, r, a, took)
		b.overtaken(s, a)
	case Full:
		// A draining or broken backend turns requests away with nothing waiting: that is no limit.
		if n := b.waiting(s, now) + 1; n >= minH {
			s.room = min(s.room, n)
		}
		// Turned away is the freshest report there is: R is reached, whatever older reports still arrive.
		// Without this a full backend looks best, as what it turns away at once never counts as in flight.
		s.full, s.fullAt, s.turned = b.limit(s), now, s.turned+1
		// A draining backend turns all away until the list tells; a crowded one still answers others.
		if s.lastOK < now-silence && s.turned > few {
			b.blame(now, s, 1) // one whose connections are all taken answers what comes on those that are kept
		}
	case TimedOut:
		if a.stray { // it tells of a loss, not of a crowd
			s.lostAt = now
			b.blame(now, s, health.DecayAttempts)
			break
		}
		// The true latency is longer: as seen it would make a slow backend look as good as the time-out.
		b.latency(s, r, a, 2*took)
		s.ghosts++ // the backend may well run on with it, until the next reports tell
		// A slow backend still answers some; one that answered nothing meanwhile is not slow but out.
		if s.lastOK < now-max(took, silence) {
			b.blame(now, s, health.UnreachableDecayAttempts)
		}
	case ConnectFailed:
		b.blame(now, s, health.UnreachableDecayAttempts)
	case Failed, Reset:
		b.blame(now, s, health.DecayAttempts)
		if ev.Outcome == Failed && s.of(b, r.class).Failed(now, health.UnreachableDecayAttempts, b.rng.Float64) {
			b.log("backend %d gets no class %s for %.1f s: it fails those", s.ID, r.class.Name,
				s.of(b, r.class).Ejected-now)
		}
	}
	s.update(now, b)
}

// latency books an answer's time against the occupancy it met when it was sent. Taking the occupancy of the
// moment it came back would make a backend that is filling up look fast, as its quick answers come first.
func (b *Balancer) latency(s *server, r *request, a *attempt, took float64) {
	s.latency += took
	s.occupancy += a.met
	b.zoned(s, r.class, took)
	r.class.took.Add(took)
}

// blame counts a failed attempt. A broken backend can look best (fast errors, an empty queue), so one that fails too
// often is ejected, for a growing time; the others' modes refuse what they cannot take.
func (b *Balancer) blame(now float64, s *server, tau float64) {
	if s.Failed(now, tau, b.rng.Float64) {
		b.log("backend %d ejected for %.1f s: too many attempts failed", s.ID, s.Ejected-now)
	}
}

// shared takes in what the nodes of the fleet know together. What this one saw itself goes first.
func (b *Balancer) shared(now float64, sh *Shared) {
	for _, t := range b.tenants {
		t.told = sh.Within[t.Name]
	}
	for _, id := range sh.Out {
		if s := b.servers[id]; s != nil && s.lastOK < now-silence {
			s.Ejected, s.Trial = max(s.Ejected, now+health.FirstEjectionSeconds), true
		}
	}
}

// of is the record of one class at a backend. One of a class never told of is not kept.
func (s *server) of(b *Balancer, c *class) *health.Record {
	if c.index >= len(b.classes) {
		return &health.Record{}
	}
	if s.classes == nil {
		s.classes = make([]health.Record, len(b.classes))
	}
	return &s.classes[c.index]
}

func (b *Balancer) gone(ev *Event) {
	if r := b.requests[ev.ID]; r != nil && !r.final {
		r.final = true
		b.over(r)
	}
}

// begun leaves a request to the attempt whose answer has begun to reach the client.
func (b *Balancer) begun(ev *Event) {
	if r := b.requests[ev.ID]; r != nil && !r.final && ev.Attempt >= 0 && ev.Attempt < len(r.attempts) {
		r.attempts[ev.Attempt].called = true // never, from now on
		b.gone(ev)
	}
}

// over ends a request that has its final answer or whose client has left.
func (b *Balancer) over(r *request) {
	for i, a := range r.attempts {
		if a.open && b.set.Cancel && !a.called {
			a.called = true
			b.do(Action{Kind: ActCancel, ID: r.id, Attempt: i}) // nobody waits for this work any more
		}
	}
	if r.open == 0 {
		delete(b.requests, r.id)
	}
}

// settle moves ownLag towards own, so that it tells what was in flight when the report was made.
func (s *server) settle(now float64) {
	if now != s.ownAt { // a draw asks twice
		f := math.Exp((s.ownAt - now) / lagTau)
		s.ownLag += (s.own - s.ownLag) * (1 - f)
		s.ghosts *= f
		s.ownAt = now
	}
}

// waiting estimates the present occupancy: the report, and own sends it does not show yet. An old report fades towards
// what fresh ones show of the fleet; fading towards nothing would make the least known backend look best.
func (b *Balancer) waiting(s *server, now float64) float64 {
	s.settle(now)
	n := max(0, (b.level.Mean*b.ramp(s, now)+s.others*math.Exp((s.reportAt-now)/knowTau))*b.swing+s.own+s.ghosts)
	if math.IsInf(s.reportAt, -1) {
		n = max(0, b.level.Mean+s.own-s.ownLag*unheard+s.ghosts) // taken for a crowd, what works well would be refused
	}
	if s.full > 0 {
		n = max(n, s.full-(now-s.fullAt)/b.service(s)) // it cannot have cleared more than this
	}
	return n
}

// service is the time a backend needs for each request it holds: by its few answers here, weighed against its kind's.
func (b *Balancer) service(s *server) float64 {
	return (s.latency + prior*s.typical) / (s.occupancy + prior)
}

// limit is R: the queue a backend clears in half the shortest told deadline, capped where 'full' was met.
func (b *Balancer) limit(s *server) float64 {
	return max(min(s.room, b.half/b.service(s)), s.least()/onset, b.tune.H/onset)
}

// high is H. It never lets a backend hold more than it clears in a part of the shortest aim: an answer past
// its aim is wasted work, however long the deadline.
func (b *Balancer) high(s *server, r float64) float64 {
	if b.tune.H > 0 {
		return b.tune.H
	}
	h := max(min(onset*r, roomPart*s.room, b.tune.AimPart*b.aim/b.service(s)), s.least())
	return max(minH, h*b.ramp(s, b.now)) // a cold backend clears its part of that
}

// least is what H never falls below: as many requests as a backend of its kind was seen to have in work at once.
// Until they are exceeded nothing waits, however long each takes. A few requests with nothing waiting make the
// service time look long, and with it H low: a node that refuses for that reason would never see better.
func (s *server) least() float64 { return max(minH, min(max(s.slots, s.alike), roomPart*s.room)) }

// update moves a backend between its modes.
func (s *server) update(now float64, b *Balancer) {
	n, r := b.waiting(s, now), b.limit(s)
	h := b.high(s, r)
	s.mode = s.mode.next(n, h*abatement/onset, h, r)
	if s.mode == discard && now-max(s.reportAt, s.fullAt) > r*b.service(s) {
		s.mode = overload // passing sends bring a new report
	}
}

// next is the mode that follows at an occupancy of n.
func (m mode) next(n, l, h, r float64) mode {
	switch {
	case m == normal && n < h, n < l:
		return normal
	case n >= h && (m == discard || n >= r):
		return discard
	}
	return overload
}

// ramp is the least part of its capacity that a backend has, by the time since its start.
func (b *Balancer) ramp(s *server, now float64) float64 {
	return cold.Ramp(s.launched, now, b.set.ColdShare, b.set.ColdFor.Seconds())
}

// usable tells whether a request may go to a backend at all, whatever its mode.
func (b *Balancer) usable(now float64, r *request, s *server) bool {
	if s.State != Active && now >= s.grace || now < s.Ejected || s.Trial && s.own > 0 || s == r.avoid ||
		s.Speaks&r.needs != r.needs || s.classes != nil && now < s.of(b, r.class).Ejected ||
		!b.gates.Allows(now, s.Zone, r.luck) {
		return false
	}
	m, group := r.mayRun, r.class.Group
	return m == nil || r.class.Effect != Keyed ||
		(group != GroupZone || s.Zone == m.Zone) && (group != GroupCell || s.Cell == m.Cell)
}

// pick draws a backend in the given mode or a better one, from this node's part of the fleet. Others are for when
// none there is warm and answers: its crowd is theirs too, and a new connection costs them part of a request.
func (b *Balancer) pick(now float64, r *request, worst mode) *server {
	b.picks++
	s, warm := b.draw(now, r, worst, false)
	if s == nil && !warm {
		s, _ = b.draw(now, r, worst, true)
	}
	return s
}

// draw is pick in one part of the fleet, by weights that fall with the expected delay. It tells of warm ones.
func (b *Balancer) draw(now float64, r *request, worst mode, wide bool) (_ *server, warm bool) {
	var chosen [2]*server // here, and where it costs a crossing
	var sum [2]float64
	for _, s := range b.order {
		if s.wide != wide {
			continue
		}
		if s.update(now, b); !b.usable(now, r, s) {
			continue
		}
		ramp := b.ramp(s, now)
		if warm = warm || ramp == 1 && s.served >= few; s.mode > worst {
			continue
		}
		if s.mode == normal && now-s.sentAt > b.heal(s) && ramp == 1 {
			return s, true // what is believed of it is old: one request tells, and no more follow for as long
		}
		if ramp < 1 {
			// A fixed share of each node's requests: the ramp's part of what a warm one serves, times a part of the
			// multiple that brings it down. Nothing is saved up, which at hundreds of nodes would come due together.
			if !wide && b.rng.Float64() < s.chance*ramp*b.set.FallFactor*coldPart {
				return s, warm
			}
			continue
		}
		// Others see the same and do alike: an own attempt stands for one of each. Else many meet at one by chance.
		delay := b.service(s) * (b.waiting(s, now) + 1 + s.own*(b.sharers-1))
		weight := math.Pow(1/max(delay, 1e-3), sharpness)
		if s.Zone == b.set.Zone {
			weight *= ownZone
		}
		i := 0
		if b.priced(s) {
			i = 1
		}
		sum[i] += weight
		if b.rng.Float64()*sum[i] < weight { // so that each is drawn with its part of the whole sum
			chosen[i] = s
		}
	}
	if chosen[0] == nil || chosen[1] != nil && b.rng.Float64() >= r.class.stay {
		return chosen[1], warm
	}
	return chosen[0], warm
}

// plan runs a few times a second: it ages what was learnt and renews what the requests then use.
func (b *Balancer) plan(now float64) {
	type pool struct{ latency, occupancy, served, warm, work, told, slots float64 }
	kinds, all := map[string]*pool{}, &pool{}
	dt := max(now-b.planAt, 1e-3)
	b.pace.Tick(dt, 2*b.tune.AimPart*min(b.aim, 1)/(reportTau*reportTau)) // it fills no more than H until reports tell
	b.planAt, b.born = now, cmp.Or(b.born, now)
	f := math.Exp(-dt / rateTau)
	b.picks, b.span = b.picks*f, b.span*f+rateTau*(1-f)
	for _, s := range b.order {
		s.latency, s.occupancy, s.served = s.latency*f, s.occupancy*f, s.served*f
		s.room *= math.Exp(dt / oldTau)
		s.slots *= math.Exp(-dt / slotTau)
		k := kinds[s.Kind]
		if k == nil {
			k = &pool{}
			kinds[s.Kind] = k
		}
		for _, p := range []*pool{k, all} {
			p.latency += s.latency
			if s.work > 0 {
				p.work += s.work
				p.told++
			}
			p.occupancy += s.occupancy
			p.slots = max(p.slots, s.slots)
			if !s.wide && s.State == Active && now >= s.Ejected && b.ramp(s, now) == 1 {
				p.served += s.served
				p.warm++
			}
		}
	}
	fleet := (all.latency + prior*guess) / (all.occupancy + prior)
	own, others := 1.0, float64(b.set.Nodes-1) // what this node and the others have in flight
	each := float64(b.set.Nodes) / b.sharers   // backends for each that this node hears of
	for _, s := range b.order {
		k := kinds[s.Kind]
		s.typical, s.alike = (k.latency+prior*fleet)/(k.occupancy+prior), k.slots
		if k.told > 0 {
			s.base = min(s.base, k.work/k.told)
		}
		own += s.ownLag
		if !s.wide {
			others += max(0, b.level.Mean*b.ramp(s, now)+s.others) * each
		}
		s.chance = b.span / s.typical / b.sharers // one after the other, where no backend is warm
		if k.warm > 0 {
			s.chance = k.served / k.warm
		} else if all.warm > 0 {
			s.chance = all.served / all.warm / 2 // its kind may be the slower one
		}
		s.chance /= b.picks + 1
	}
	b.part = own / (own + others)
	for _, t := range b.tenants {
		t.rate, t.count = t.rate*f+t.count/dt*(1-f), 0
	}
	for _, c := range b.classes {
		c.stay = b.stays(c, dt)
		c.near.Decay(f)
	}
	b.far.Decay(f)
	b.sends.Decay(f)
	b.shares(math.Exp(-dt / oldTau))
}

// list follows the server list.
func (b *Balancer) list(now float64, ev *Event) {
	if ev.List == ListFailed {
		// Every node loses the list at once: ask again after a random wait, so that they do not ask together.
		wait := min(askAgain, cmp.Or(b.set.MustAskIn, time.Hour).Seconds()/3)
		b.askAt = now + wait*(0.5+b.rng.Float64())
		return
	}
	if ev.List == ListCached && b.set.MustAsk {
		b.do(Action{Kind: ActWatch})
	}
	if ev.List != ListDelta {
		grace := 0.0
		if len(ev.Entries) == 0 && len(b.order) > 0 {
			// More likely a broken list than an empty fleet: ask again, use the old one as the drain rule lets us.
			grace = now + drainPart*b.set.DrainGrace.Seconds()
			b.do(Action{Kind: ActFetch})
			b.log("the server list came empty; using the old one for its grace")
		}
		for _, s := range b.order {
			if s.State == Active {
				s.grace = grace
			}
			s.State = Left // those still listed are put back below
		}
		if grace > 0 {
			return
		}
	}
	for _, e := range ev.Entries {
		s := b.servers[e.ID]
		leaves := s != nil && s.State == Active && e.State == Leaving && ev.List == ListDelta && s.served > 0
		if s == nil || e.Launched.Seconds() > s.launched && e.State == Active {
			s = &server{launched: e.Launched.Seconds(), room: math.Inf(1), base: math.Inf(1), reportAt: now,
				ownAt: now, sentAt: now, lastOK: now}
			if b.set.QueueOnly {
				s.reportAt = math.Inf(-1) // what is in work shows in the first report only
			}
			b.servers[e.ID] = s
			b.order = append(b.order, s)
		}
		s.Entry, s.grace = e, 0
		if leaves && !b.set.MustAsk { // all nodes hear of it at once, and its successor is seconds away
			s.grace = now + drainPart*b.set.DrainGrace.Seconds()
		}
	}
	b.order = slices.DeleteFunc(b.order, func(s *server) bool { return s.State == Left || b.servers[s.ID] != s })
	// Attempts that are out keep their own hold on what goes here.
	maps.DeleteFunc(b.servers, func(_ uint32, s *server) bool { return s.State == Left })
	slices.SortFunc(b.order, func(x, y *server) int { return cmp.Compare(x.ID, y.ID) })
	in, sharers := subset.Of(len(b.order), func(i int) (string, uint64) { return b.order[i].Zone, b.order[i].Place },
		subset.Node{Number: b.set.Number, Nodes: b.set.Nodes, Zone: b.set.Zone, CrossPrice: b.set.CrossPrice})
	for i, s := range b.order {
		s.wide = !in[i]
	}
	if b.sharers = sharers; !b.set.QueueOnly { // a queue that is told alone is a crowd, and late news of it
		b.many = max(1, sharers/b.tune.Steep)
	}
	b.plan(now)
}
