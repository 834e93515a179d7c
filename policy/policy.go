// Package policy makes the decisions of one load balancer node: which backend a request goes to, which requests are
// refused and which are retried or hedged. Settings, events and actions are in api.go, the state of a node in state.go.
//
// Each backend has a mode, after Abaev et al., "Simulation of Overload Control in SIP Server Networks": normal,
// overload (each request is diverted with probability q: sent to a normal backend, or refused without one) and discard
// (nothing is sent).
package policy

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"craneglade/internal/cold"
	"craneglade/internal/health"
)

// H and R are the thresholds between a backend's modes, see thresholdH and thresholdR.
const (
	onsetFraction     = 0.90 // H as a fraction of R
	abatementFraction = 0.78 // L, below which a backend is normal again, as a fraction of R

	// H is at most this fraction of the lowest occupancy that drew Full: reports show an occupancy too late.
	fullFraction = 0.80

	minH            = 1.6 // H is never lower: the noise of single requests would decide the modes
	weightExponent  = 8   // a backend's weight in the draw falls with this power of its expected delay
	localZoneWeight = 1.5 // factor on the weight of a backend in this node's zone

	// Reports are older than most requests last, so only a mean of the other nodes' load at a backend is known.
	othersDecaySeconds = 3.0

	// The mean of the other nodes' load over all backends moves faster: this is divided by the nodes per backend.
	meanLoadDecaySeconds = 9.0

	// A mean starts as if this many samples of 0 came before the first; fewer recent answers are no evidence.
	minSamples = 2.0

	trendDecaySeconds       = 0.7  // about the age of what reports show
	reportLagSeconds        = 0.5  // about the age of a report when it is read
	reportMaxAgeSeconds     = 1.1  // about its age when the next one is read
	rateDecaySeconds        = 3.0  // of service times and rates
	reportDecaySeconds      = 2.0  // a report decays towards the mean of the recent ones
	historyDecaySeconds     = 10.0 // of class statistics and of the occupancy that drew Full
	concurrencyDecaySeconds = 60.0 // of the highest number of requests in work at once

	// Fraction of the own attempts in flight that counts as in work rather than waiting, until the first report.
	inServiceFraction = 0.5

	priorSamples          = 5.0 // weight, in requests, of a default against a backend's or a class's own latencies
	defaultServiceSeconds = 0.1 // service time before the first answer

	// Time-outs and Full answers are failures only of a backend that has not answered any request for this long.
	silenceSeconds = 1.0

	// Service times beyond this multiple of the lowest of the kind show contention, not chance.
	contentionFactor = 5.0

	// A cold backend is sent at most this fraction of Settings.FallFactor, the multiple that brings it down.
	coldTrafficFraction = 0.45

	maxQ               = 0.95 // upper bound of the diverted fraction
	maxUnsentInRow     = 10   // first attempts, before one is sent for a report
	retriesPerRequest  = 0.2  // retry tokens that each first attempt adds
	maxRetryTokens     = 10.0
	resubscribeSeconds = 1.0 // mean wait before subscribing to a lost list again

	// Fraction of the drain grace for which a draining backend is still used; the rest allows for a late notification.
	drainServeFraction = 0.6

	refreshSeconds = 0.25
)

// New returns the balancer of one node, or an error that names the first invalid setting.
func New(cfg Settings, seed uint64) (*Balancer, error) {
	return NewWithTuning(cfg, seed, DefaultTuning())
}

// NewWithTuning is like New, with tuning instead of DefaultTuning. Simulations use it.
func NewWithTuning(cfg Settings, seed uint64, tuning Tuning) (*Balancer, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{cfg: cfg, tuning: tuning, rng: rand.New(rand.NewPCG(seed, 0)), backends: map[uint32]*backend{},
		requests: map[string]*request{}, tenantByName: map[string]*tenant{},
		retryTokens: maxRetryTokens, minTarget: math.Inf(1), halfMinDeadline: math.Inf(1),
		nodesPerBackend: 1, sharingFactor: 1, loadTrend: 1}
	for i, c := range cfg.Classes {
		b.classes = append(b.classes, &class{Class: c, index: i, localFraction: 1, minRemaining: c.Deadline.Seconds()})
		if d := c.Deadline.Seconds(); d > 0 {
			b.halfMinDeadline = min(b.halfMinDeadline, d/2)
		}
		if a := c.Aim.Seconds(); a > 0 {
			b.minTarget = min(b.minTarget, a)
		}
	}
	for _, t := range cfg.Tenants {
		b.tenants = append(b.tenants, &tenant{Tenant: t})
		b.tenantByName[t.Name] = cmp.Or(b.tenantByName[t.Name], b.tenants[len(b.tenants)-1])
	}
	return b, nil
}

// Handle processes one event at the given time and appends the resulting actions to out.
func (b *Balancer) Handle(now time.Duration, ev *Event, out []Action) []Action {
	b.actions = out
	t := max(now.Seconds(), b.now) // a clock that steps back must not undo state
	b.now = t
	if b.sharingFactor > 1 {
		// The other nodes' load moves like this one's, and reports will show it only later.
		b.loadTrend = math.Pow(b.inFlightTrend.Ratio(t, b.inFlight, trendDecaySeconds, minSamples, 2),
			1-1/b.sharingFactor)
	}
	switch ev.Kind {
	case EvRequest:
		b.handleRequest(t, ev)
	case EvOutcome:
		b.handleOutcome(t, ev)
	case EvDisconnected:
		b.handleDisconnect(ev)
	case EvResponseStarted:
		b.handleResponseStart(ev)
	case EvList:
		b.applyList(t, ev)
	case EvListCurrent:
		b.noteList(t)
	case EvShared:
		b.applyShared(t, ev.Shared)
	case EvSites:
		b.gates.Set(t, ev.Zones, ev.Admit)
	case EvTimer:
		b.refresh(t)
		if b.resubscribeAt > 0 && t >= b.resubscribeAt {
			b.resubscribeAt = 0
			b.do(Action{Kind: ActSubscribe})
		}
	}
	b.hedgeOverdue(t) // after the event, which may end an overdue attempt
	// Only one timer is pending at a time, whatever timer events arrive; a lost one is set again.
	if t >= b.nextRefreshAt-1e-6 && (ev.Kind == EvTimer || t > b.nextRefreshAt+refreshSeconds) {
		b.nextRefreshAt = t + refreshSeconds
		b.do(Action{Kind: ActTimer, Token: "tick", At: toDuration(b.nextRefreshAt)})
	}
	out, b.actions = b.actions, nil
	return out
}

func (b *Balancer) do(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) log(format string, args ...any) {
	b.do(Action{Kind: ActLog, Text: fmt.Sprintf(format, args...)})
}

func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// handleRequest sends a request or refuses it at once; requests are never queued here.
func (b *Balancer) handleRequest(now float64, ev *Event) {
	if _, known := b.requests[ev.ID]; known {
		return
	}
	// A request of an unknown class must not run twice.
	c := &class{Class: Class{Name: ev.Class, Effect: Unsafe}, localFraction: 1, index: len(b.classes)}
	if i := slices.IndexFunc(b.classes, func(k *class) bool { return k.Name == ev.Class }); i >= 0 {
		c = b.classes[i]
	}
	c.requests++
	remaining := ev.Remaining.Seconds()
	r := &request{id: ev.ID, class: c, requiredProtocols: ev.RequiredProtocols, deadline: now + remaining,
		usefulUntil: now + remaining, zoneDraw: b.gates.Draw(b.rng)}
	if target := c.Aim.Seconds(); target > 0 && c.LateWorth == 0 {
		// A client's retry with less time left than any recent first try belongs to an older request: the time that the
		// client has waited for that counts against the latency target.
		if ev.ClientRetry && remaining < c.minRemaining-1e-3 {
			target -= max(0, c.Deadline.Seconds()-remaining)
		} else if !ev.ClientRetry {
			c.minRemaining = min(c.minRemaining*1.001, remaining)
		}
		r.usefulUntil = min(r.usefulUntil, now+target)
	}
	b.requests[ev.ID] = r
	b.requestCount++
	overQuota := b.drawOverQuota(ev.Tenant)
	if overQuota {
		c.overQuota++
	}
	if r.lowPriority = overQuota || c.lowPriority; r.lowPriority {
		b.lowPriorityCount++
	}
	if remaining <= 0 || r.usefulUntil <= now || !b.gates.Admits(c.Name, overQuota, b.rng) || !b.trySend(now, r) {
		b.refuseOrFail(now, r)
		return
	}
	b.retryTokens = min(maxRetryTokens, b.retryTokens+retriesPerRequest)
}

// trySend draws a backend for a request and sends it, and reports whether a backend took it. A backend in overload
// diverts the request with probability q; a diverted request draws a backend in normal mode.
func (b *Balancer) trySend(now float64, r *request) bool {
	s := b.pick(now, r, overload)
	if s != nil && s.mode == overload && b.diverts(now, s, r.lowPriority) && !b.needsReport(now) {
		s = b.pick(now, r, normal)
	}
	if len(r.attempts) == 0 {
		if s != nil && b.nodesPerBackend > b.tuning.Steep && !b.pace.Allows(now, r.lowPriority) {
			s = nil
		}
		b.pace.CountRequest(s != nil)
		b.unsentInRow++
	}
	if s != nil {
		b.send(now, r, s)
	}
	return s != nil
}

// send starts an attempt of a request at a backend.
func (b *Balancer) send(now float64, r *request, s *backend) {
	b.pace.CountSend()
	b.sends.N++
	if b.crossesAtPrice(s) {
		b.sends.Sum++
	}
	a := &r.firstAttempt
	if len(r.attempts) > 0 {
		a = &attempt{}
	} else {
		r.attempts = r.attemptsBuf[:0]
	}
	*a = attempt{backend: s, request: r, open: true, repeatGroup: s.repeatGroup(),
		occupancyAtSend: b.occupancy(s, now) + 1, sentAt: now, connectedAt: now + maxSendLagSeconds}
	r.attempts = append(r.attempts, a)
	s.attempts = append(s.attempts, a)
	if b.mayHedge(r.class) && r.open == 0 {
		r.class.hedgeable = append(r.class.hedgeable, a)
	}
	s.sentAt, b.sentAt, b.unsentInRow = now, now, 0
	b.gates.CountSend(s.Zone)
	if s.classHealth != nil && s.classRecord(b, r.class).Trial {
		s.classRecord(b, r.class).Ejected = now + health.FirstEjectionSeconds // one trial at a time
	}
	r.open++
	s.inFlight++
	b.inFlight++
	timeoutAt := r.deadline // a time-out at the target would draw a client's retry that is worth nothing
	if s.mode != normal {
		timeoutAt = r.usefulUntil // here it mostly queues, and delays requests that could still be in time
	}
	b.do(Action{Kind: ActSend, ID: r.id, Backend: s.ID, Wait: toDuration(max(timeoutAt-now, 1e-6)),
		SendDeadline: toDuration(r.retryBefore)})
}

// refuseOrFail gives the final answer: a refusal if the client may safely retry, a failure otherwise.
func (b *Balancer) refuseOrFail(now float64, r *request) {
	delete(b.requests, r.id) // no attempt is in flight
	c := r.class
	if r.mayHaveRun != nil && (c.Effect == Unsafe || c.Effect == Keyed && c.Group != GroupAll) {
		b.do(Action{Kind: ActFail, ID: r.id}) // a refusal would promise that it has not run
		return
	}
	wait := b.cfg.RetryAfter.Seconds() // after the target no retry can be in time; before it part of a queue may clear
	if now < r.usefulUntil {
		wait = min(wait, b.minTarget/4)
	}
	b.do(Action{Kind: ActRefuse, ID: r.id, Wait: toDuration(wait)})
}

// handleOutcome processes the outcome of an attempt. Late and repeated outcomes and those of unknown requests are
// ignored.
func (b *Balancer) handleOutcome(now float64, ev *Event) {
	r := b.requests[ev.ID]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].open {
		return
	}
	a := r.attempts[ev.Attempt]
	s := a.backend
	a.open = false
	r.open--
	r.done = r.done || ev.Finished
	a.connectedAt = cmp.Or(a.backend.process.Note(now, a.sentAt, ev.Contact), a.connectedAt)
	b.recordOutcome(now, s, r, a, ev)
	if r.done {
		b.endRequest(r)
		return
	}
	if r.mayHaveRun == nil && ev.Outcome.MayHaveRun() {
		r.mayHaveRun, r.retryBefore = a, now-ev.Took.Seconds()+r.class.Window.Seconds()
	}
	r.avoid = s
	if r.open > 0 {
		return // its other attempt is still in flight
	}
	if b.mayRetry(now, r) && b.trySend(now, r) {
		b.retryTokens--
	} else {
		b.refuseOrFail(now, r)
	}
}

// diverts draws whether a backend in overload diverts a request. A fraction q of all requests is diverted, low-priority
// ones first. It grows from Tuning.Divert at H to maxQ near 1 + Tuning.Ramp times H: a fixed fraction lets too many
// requests pass, or none.
func (b *Balancer) diverts(now float64, s *backend, lowPriority bool) bool {
	q := b.divertFraction(b.occupancy(s, now), b.thresholdH(s, b.thresholdR(s)))
	lowFraction := b.lowPriorityCount / max(b.requestCount, 1)
	if lowPriority {
		return b.rng.Float64()*lowFraction < q
	}
	return b.rng.Float64()*(1-lowFraction) < q-lowFraction
}

// needsReport reports whether this node has refused a row of first attempts for as long as a report stays current, so
// that a request has to be sent to bring another. Low-priority ones may all be diverted, as their fraction is known
// with a delay.
func (b *Balancer) needsReport(now float64) bool {
	return b.unsentInRow >= maxUnsentInRow && now-b.sentAt >= reportMaxAgeSeconds
}

// divertFraction is q, the fraction of all requests that a backend in overload diverts at an occupancy of n. Some
// requests always pass: without them no report would show that its queue has emptied. A node sees its own load on a
// backend at once and the other nodes' load a report later. If many nodes share a backend, a steep q makes all of them
// oscillate together, so it is flatter there.
func (b *Balancer) divertFraction(n, h float64) float64 {
	atH := b.tuning.Divert / b.sharingFactor
	return min(maxQ, atH+(1-atH)*max(0, n/h-1)/(b.tuning.Ramp*b.sharingFactor))
}

// mayRetry reports whether the rules and the retry budget allow a further attempt. Retries must never add to an
// overload: they draw a backend like first attempts do, and share a budget that only first attempts fill.
func (b *Balancer) mayRetry(now float64, r *request) bool {
	c := r.class
	return len(r.attempts) < b.cfg.MaxAttempts && now < r.usefulUntil && b.retryTokens >= 1 && (r.mayHaveRun == nil ||
		c.Effect == Safe || c.Effect == Keyed && now < r.retryBefore)
}

// recordOutcome updates the state of a backend by the outcome of an attempt there.
func (b *Balancer) recordOutcome(now float64, s *backend, r *request, a *attempt, ev *Event) {
	s.updateLagged(now)
	if !a.presumedLost {
		b.inFlight--
		s.inFlight = max(0, s.inFlight-1)
	}
	s.attempts = slices.Delete(s.attempts, 0, leadingEnded(s.attempts))
	took := max(0, ev.Took.Seconds())
	n, known := max(ev.Load.Queue, ev.Load.Occupancy, 0), ev.Load.Known
	best := r.class.bestLocalLatency
	if b.cfg.NoReports && b.cfg.Nodes > 1 && !known && ev.Outcome == OK && best > 0 {
		n, known = max(0, took/best-1), true // without reports only the latency shows the other nodes' requests
	}
	if w := ev.Load.ServiceSeconds; ev.Load.Occupancy < 0 && w > 0 && w < math.MaxInt32 &&
		b.capacityFraction(s, now) == 1 {
		// If only the queue is reported, a backend with many slots can be overloaded by the requests in work while none
		// waits. Their service times then are many times those of an idle backend.
		s.workTime = cmp.Or(s.workTime, w)
		s.workTime += (w - s.workTime) * (1 - math.Exp((s.reportAt-now)/othersDecaySeconds))
		n += max(0, s.workTime/s.baseWorkTime/contentionFactor-1)
	}
	if q, h := ev.Load.Queue, ev.Load.Occupancy; q >= 0 && h-q < math.MaxInt32 {
		s.concurrency = max(s.concurrency, h-q) // requests in work
	}
	if known && n < math.MaxInt32 { // false for NaN
		// The report moves the mean over all backends too, but this backend's estimate only by othersDecaySeconds.
		estimate := b.othersLoad.Mean*b.capacityFraction(s, now) + s.reportedExcess
		b.othersLoad.Add(now, max(0, n-s.laggedInFlight), meanLoadDecaySeconds/b.nodesPerBackend, minSamples)
		s.reportedExcess = estimate - b.othersLoad.Mean*b.capacityFraction(s, now) +
			(n-s.laggedInFlight-estimate)*(1-math.Exp((s.reportAt-now)/othersDecaySeconds))
		s.reportAt = now
	}
	switch ev.Outcome {
	case OK:
		s.lastOKAt, s.rejections = now, 0
		s.answers++
		if s.Answered(now) {
			b.log("backend %d answers again: ejection ended", s.ID)
		}
		if s.classHealth != nil && s.classRecord(b, r.class).Answered(now) {
			b.log("backend %d answers class %s again: ejection for the class ended", s.ID, r.class.Name)
		}
		b.recordLatency(s, r, a, took)
		b.presumeLost(s, a)
	case Full:
		// A draining or failing backend rejects requests with nothing waiting: that occupancy is no limit.
		if n := b.occupancy(s, now) + 1; n >= minH {
			s.minFullOccupancy = min(s.minFullOccupancy, n)
		}
		// A rejection is the freshest report there is: R is reached, whatever older reports still arrive. Otherwise a
		// full backend would look best, as requests that it rejects at once never count as in flight.
		s.fullOccupancy, s.fullAt, s.rejections = b.thresholdR(s), now, s.rejections+1
		// A draining backend rejects everything until the list shows it; an overloaded one still answers others, and
		// one without free connections answers on those that are open.
		if s.lastOKAt < now-silenceSeconds && s.rejections > minSamples {
			b.recordFailure(now, s, 1)
		}
	case TimedOut:
		if a.presumedLost { // a loss, not an overload
			s.lossAt = now
			b.recordFailure(now, s, health.DecayAttempts)
			break
		}
		// The true latency is longer, so the time-out counts double: counted once, it would make a slow backend look
		// only as slow as the time-out.
		b.recordLatency(s, r, a, 2*took)
		s.orphans++ // it may still run at the backend, until the next reports show otherwise
		// A slow backend still answers some requests; one that answered none meanwhile has failed.
		if s.lastOKAt < now-max(took, silenceSeconds) {
			b.recordFailure(now, s, health.UnreachableDecayAttempts)
		}
	case ConnectFailed:
		b.recordFailure(now, s, health.UnreachableDecayAttempts)
	case Failed, Reset:
		b.recordFailure(now, s, health.DecayAttempts)
		if ev.Outcome == Failed &&
			s.classRecord(b, r.class).Failed(now, health.UnreachableDecayAttempts, b.rng.Float64) {
			b.log("backend %d ejected for class %s for %.1f s: it fails such requests", s.ID, r.class.Name,
				s.classRecord(b, r.class).Ejected-now)
		}
	}
	s.updateMode(now, b)
}

// recordLatency counts a latency against the occupancy at the send of the attempt. The occupancy at the answer would
// make a backend that is filling up look fast, as its quick answers come first.
func (b *Balancer) recordLatency(s *backend, r *request, a *attempt, took float64) {
	s.latencySum += took
	s.occupancySum += a.occupancyAtSend
	b.recordZoneLatency(s, r.class, took)
	r.class.latency.Add(took)
}

// recordFailure counts a failed attempt, with a weight of one in decayAttempts. A failing backend can look best (fast
// errors, an empty queue), so one that fails too often is ejected, each time for longer. Requests that the others
// cannot take are then refused by their modes.
func (b *Balancer) recordFailure(now float64, s *backend, decayAttempts float64) {
	if s.Failed(now, decayAttempts, b.rng.Float64) {
		b.log("backend %d ejected for %.1f s: too many attempts failed", s.ID, s.Ejected-now)
	}
}

// applyShared applies the fleet's shared state. A recent answer seen by this node overrides an ejection by the others.
func (b *Balancer) applyShared(now float64, sh *SharedState) {
	for _, t := range b.tenants {
		t.withinQuota = sh.WithinQuota[t.Name]
	}
	for _, id := range sh.Ejected {
		if s := b.backends[id]; s != nil && s.lastOKAt < now-silenceSeconds {
			s.Ejected, s.Trial = max(s.Ejected, now+health.FirstEjectionSeconds), true
		}
	}
}

// classRecord returns the health record of one class at a backend. That of an unknown class is not kept.
func (s *backend) classRecord(b *Balancer, c *class) *health.Record {
	if c.index >= len(b.classes) {
		return &health.Record{}
	}
	if s.classHealth == nil {
		s.classHealth = make([]health.Record, len(b.classes))
	}
	return &s.classHealth[c.index]
}

// handleDisconnect ends a request whose client has disconnected.
func (b *Balancer) handleDisconnect(ev *Event) {
	if r := b.requests[ev.ID]; r != nil && !r.done {
		r.done = true
		b.endRequest(r)
	}
}

// handleResponseStart ends a request, but for the attempt whose response the client has started to receive.
func (b *Balancer) handleResponseStart(ev *Event) {
	if r := b.requests[ev.ID]; r != nil && !r.done && ev.Attempt >= 0 && ev.Attempt < len(r.attempts) {
		r.attempts[ev.Attempt].noCancel = true
		b.handleDisconnect(ev)
	}
}

// endRequest cancels the open attempts of a request that has its final answer or whose client has disconnected.
func (b *Balancer) endRequest(r *request) {
	for i, a := range r.attempts {
		if a.open && b.cfg.Cancel && !a.noCancel {
			a.noCancel = true
			b.do(Action{Kind: ActCancel, ID: r.id, Attempt: i})
		}
	}
	if r.open == 0 {
		delete(b.requests, r.id)
	}
}

// updateLagged moves laggedInFlight towards inFlight, so that it is about what was in flight when the report was made.
func (s *backend) updateLagged(now float64) {
	if now != s.laggedAt { // a draw calls it twice
		f := math.Exp((s.laggedAt - now) / reportLagSeconds)
		s.laggedInFlight += (s.inFlight - s.laggedInFlight) * (1 - f)
		s.orphans *= f
		s.laggedAt = now
	}
}

// occupancy estimates the present occupancy of a backend: the reported one, and own attempts that the report does not
// show yet. An old report decays towards the mean of recent reports of all backends: decaying to 0 would make the
// backend with the oldest report look best.
func (b *Balancer) occupancy(s *backend, now float64) float64 {
	s.updateLagged(now)
	n := max(0, (b.othersLoad.Mean*b.capacityFraction(s, now)+
		s.reportedExcess*math.Exp((s.reportAt-now)/reportDecaySeconds))*b.loadTrend+s.inFlight+s.orphans)
	if math.IsInf(s.reportAt, -1) {
		// If all of it counted as waiting, requests would be refused at a backend that works well.
		n = max(0, b.othersLoad.Mean+s.inFlight-s.laggedInFlight*inServiceFraction+s.orphans)
	}
	if s.fullOccupancy > 0 {
		n = max(n, s.fullOccupancy-(now-s.fullAt)/b.serviceTime(s)) // it cannot have completed more since
	}
	return n
}

// serviceTime returns the seconds that a backend needs per request of its occupancy: the mean of its recent answers to
// this node, which are few, combined with the service time of its kind.
func (b *Balancer) serviceTime(s *backend) float64 {
	return (s.latencySum + priorSamples*s.kindServiceTime) / (s.occupancySum + priorSamples)
}

// thresholdR returns R, from which on nothing is sent: the occupancy that a backend completes in half the shortest
// deadline, at most the lowest recent one that drew Full.
func (b *Balancer) thresholdR(s *backend) float64 {
	return max(min(s.minFullOccupancy, b.halfMinDeadline/b.serviceTime(s)), s.minThreshold()/onsetFraction,
		b.tuning.H/onsetFraction)
}

// thresholdH returns H, from which on requests are diverted. It is at most what a backend completes in a fraction of
// the shortest latency target: an answer after it is wasted work, however long the deadline.
func (b *Balancer) thresholdH(s *backend, r float64) float64 {
	if b.tuning.H > 0 {
		return b.tuning.H
	}
	h := max(min(onsetFraction*r, fullFraction*s.minFullOccupancy, b.tuning.AimPart*b.minTarget/b.serviceTime(s)),
		s.minThreshold())
	return max(minH, h*b.capacityFraction(s, b.now)) // a cold backend completes only that fraction
}

// minThreshold returns the lower bound of H: the number of requests that a backend of its kind had in work at once.
// Up to it nothing waits, however long each request takes. A few requests with nothing waiting make the service time
// look long and so H low: a node that refused requests for that would never measure a shorter one.
func (s *backend) minThreshold() float64 {
	return max(minH, min(max(s.concurrency, s.kindConcurrency), fullFraction*s.minFullOccupancy))
}

// updateMode sets the mode of a backend by its present occupancy.
func (s *backend) updateMode(now float64, b *Balancer) {
	n, r := b.occupancy(s, now), b.thresholdR(s)
	h := b.thresholdH(s, r)
	s.mode = s.mode.next(n, h*abatementFraction/onsetFraction, h, r)
	if s.mode == discard && now-max(s.reportAt, s.fullAt) > r*b.serviceTime(s) {
		s.mode = overload // requests that pass bring a new report
	}
}

// next returns the mode that follows m at an occupancy of n.
func (m mode) next(n, l, h, r float64) mode {
	switch {
	case m == normal && n < h, n < l:
		return normal
	case n >= h && (m == discard || n >= r):
		return discard
	}
	return overload
}

// capacityFraction returns the fraction of its full capacity that a backend has at least, by the time since its start.
func (b *Balancer) capacityFraction(s *backend, now float64) float64 {
	return cold.Ramp(s.launched, now, b.cfg.ColdShare, b.cfg.ColdFor.Seconds())
}

// usable reports whether a request may go to a backend, whatever its mode.
func (b *Balancer) usable(now float64, r *request, s *backend) bool {
	if s.State != Active && now >= s.usableUntil || now < s.Ejected || s.Trial && s.inFlight > 0 || s == r.avoid ||
		s.Protocols&r.requiredProtocols != r.requiredProtocols ||
		s.classHealth != nil && now < s.classRecord(b, r.class).Ejected ||
		!b.gates.Allows(now, s.Zone, r.zoneDraw) {
		return false
	}
	return r.mayRepeatAt(now, s)
}

// pick draws a backend in maxMode or a better mode from this node's subset of the fleet. It draws from the other
// backends only if none in the subset is warm and answers: when the subset is overloaded, so are the others, and a new
// connection costs them part of a request's work.
func (b *Balancer) pick(now float64, r *request, maxMode mode) *backend {
	b.pickCount++
	s, warm := b.draw(now, r, maxMode, false)
	if s == nil && !warm {
		s, _ = b.draw(now, r, maxMode, true)
	}
	return s
}

// draw draws a backend inside or outside the subset, by weights that fall with the expected delay, and reports whether
// a usable one there is warm.
func (b *Balancer) draw(now float64, r *request, maxMode mode, outsideSubset bool) (_ *backend, warm bool) {
	var chosen [2]*backend // without and with a priced cross-zone send
	var sum [2]float64
	for _, s := range b.sorted {
		if s.outsideSubset != outsideSubset {
			continue
		}
		if s.updateMode(now, b); !b.usable(now, r, s) {
			continue
		}
		capacity := b.capacityFraction(s, now)
		if warm = warm || capacity == 1 && s.answers >= minSamples; s.mode > maxMode {
			continue
		}
		if s.mode == normal && now-s.sentAt > b.probeInterval(s) && capacity == 1 {
			return s, true // its estimate is old: send one request to renew it, and no other for as long
		}
		if capacity < 1 {
			// A fixed fraction of each node's requests: the capacity fraction of what a warm one serves, times part of
			// the multiple that brings it down. No budget accumulates: those of hundreds of nodes would be spent
			// together.
			if !outsideSubset && b.rng.Float64() < s.warmShare*capacity*b.cfg.FallFactor*coldTrafficFraction {
				return s, warm
			}
			continue
		}
		// The other nodes see the same reports and choose alike, so an own attempt counts as one of each of them.
		// Otherwise many nodes would pick the same backend by chance.
		delay := b.serviceTime(s) * (b.occupancy(s, now) + 1 + s.inFlight*(b.nodesPerBackend-1))
		weight := math.Pow(1/max(delay, 1e-3), weightExponent)
		if s.Zone == b.cfg.Zone {
			weight *= localZoneWeight
		}
		i := 0
		if b.crossesAtPrice(s) {
			i = 1
		}
		sum[i] += weight
		if b.rng.Float64()*sum[i] < weight { // so each is drawn with probability weight over the total sum
			chosen[i] = s
		}
	}
	if chosen[0] == nil || chosen[1] != nil && b.rng.Float64() >= r.class.localFraction {
		return chosen[1], warm
	}
	return chosen[0], warm
}

// refresh runs every refreshSeconds: it decays the statistics and recomputes the values that requests use.
func (b *Balancer) refresh(now float64) {
	type pool struct{ latency, occupancy, answers, warm, work, reported, concurrency float64 }
	kinds, all := map[string]*pool{}, &pool{}
	dt := max(now-b.refreshedAt, 1e-3)
	// Sends may grow only as fast as fills a backend up to H before the reports show it.
	b.pace.Tick(dt, 2*b.tuning.AimPart*min(b.minTarget, 1)/(reportMaxAgeSeconds*reportMaxAgeSeconds))
	b.refreshedAt, b.firstRefreshAt = now, cmp.Or(b.firstRefreshAt, now)
	decay := math.Exp(-dt / rateDecaySeconds)
	b.pickCount, b.pickSeconds = b.pickCount*decay, b.pickSeconds*decay+rateDecaySeconds*(1-decay)
	for _, s := range b.sorted {
		s.latencySum, s.occupancySum, s.answers = s.latencySum*decay, s.occupancySum*decay, s.answers*decay
		s.minFullOccupancy *= math.Exp(dt / historyDecaySeconds)
		s.concurrency *= math.Exp(-dt / concurrencyDecaySeconds)
		k := kinds[s.Kind]
		if k == nil {
			k = &pool{}
			kinds[s.Kind] = k
		}
		for _, p := range []*pool{k, all} {
			p.latency += s.latencySum
			if s.workTime > 0 {
				p.work += s.workTime
				p.reported++
			}
			p.occupancy += s.occupancySum
			p.concurrency = max(p.concurrency, s.concurrency)
			if !s.outsideSubset && s.State == Active && now >= s.Ejected && b.capacityFraction(s, now) == 1 {
				p.answers += s.answers
				p.warm++
			}
		}
	}
	fleetServiceTime := (all.latency + priorSamples*defaultServiceSeconds) / (all.occupancy + priorSamples)
	own, others := 1.0, float64(b.cfg.Nodes-1)             // what this node and the others have in flight
	fleetRatio := float64(b.cfg.Nodes) / b.nodesPerBackend // backends in the fleet per backend in the subset
	for _, s := range b.sorted {
		k := kinds[s.Kind]
		s.kindServiceTime, s.kindConcurrency =
			(k.latency+priorSamples*fleetServiceTime)/(k.occupancy+priorSamples), k.concurrency
		if k.reported > 0 {
			s.baseWorkTime = min(s.baseWorkTime, k.work/k.reported)
		}
		own += s.laggedInFlight
		if !s.outsideSubset {
			others += max(0, b.othersLoad.Mean*b.capacityFraction(s, now)+s.reportedExcess) * fleetRatio
		}
		s.warmShare = b.pickSeconds / s.kindServiceTime / b.nodesPerBackend // one at a time, if no backend is warm
		if k.warm > 0 {
			s.warmShare = k.answers / k.warm
		} else if all.warm > 0 {
			s.warmShare = all.answers / all.warm / 2 // its kind may be slower
		}
		s.warmShare /= b.pickCount + 1
	}
	b.trafficShare = own / (own + others)
	for _, t := range b.tenants {
		t.rate, t.count = t.rate*decay+t.count/dt*(1-decay), 0
	}
	for _, c := range b.classes {
		c.localFraction = b.computeLocalFraction(c, dt)
		c.localLatency.Decay(decay)
	}
	b.remoteLatency.Decay(decay)
	b.sends.Decay(decay)
	b.rankClasses(math.Exp(-dt / historyDecaySeconds))
}
