// Package boxmodel models the capacity of a backend: cores, slots, a queue, a cold start, pauses, and overload that
// leaves it slow for a while. It has no clock, no goroutines and no I/O: the caller passes the time and asks with Next
// when to advance the model again. The same spec, seed and calls give the same results.
//
// All running requests progress at the same rate, an equal share of the current capacity but at most one core each. A
// rate is kept for at most Step, so that warm-up, pauses and slow periods are followed closely.
package boxmodel

import (
	"math"
	"math/rand/v2"
	"time"
)

// Step is the longest time for which the model keeps a rate.
const Step = 20 * time.Millisecond

// Spec describes a backend. Work is in core-seconds: seconds on one core of speed 1.
type Spec struct {
	Cores        int
	Speed        float64 // of a core; 1 is normal
	Slots        int     // requests that run at a time
	Queue        int     // requests that may wait; more are rejected
	Thrash       float64 // fraction of the capacity that is lost with 2*ThrashAt requests per core; proportionally less below that
	ThrashAt     float64 // requests in flight per core above which capacity is lost; 0: never
	ColdFrom     float64 // fraction of the capacity at the start; 1: starts warm
	Cold         time.Duration
	WarmByWork   bool          // work done speeds up the warm-up, which otherwise is linear over Cold
	PauseEvery   time.Duration // mean time between pauses; 0: no pauses
	Pause        time.Duration // duration of a pause, in which no work is done
	ErrorRate    float64       // fraction of the requests that end in an error after their work
	Noise        float64       // relative standard deviation of the work of an attempt
	CancelQueued bool          // a waiting request can be cancelled
	CancelRuns   bool          // a running request can be cancelled
	DropsExpired bool          // a request that is past its deadline when it would start is rejected
	Choke        Choke
	Fall         Fall
}

// Choke is a slowdown that sustained overload causes and that outlasts it. It happens at most once.
type Choke struct {
	At     float64       // overload is a mean occupancy above cores + At*sqrt(cores); 0: never
	Over   time.Duration // the time over which the mean is taken
	Slower float64       // factor by which the backend gets slower
	Below  float64       // it recovers once the mean utilization of its cores is below this
	Rest   time.Duration // over this time,
	Most   time.Duration // or after this time at the latest
}

// Fall is the overload at which a cold backend collapses: more than Factor times the work that it can do within any
// window of For; see Budget.
type Fall struct {
	Factor float64 // 0: never
	For    time.Duration
}

// Job is one request.
type Job struct {
	ID       uint64 // chosen by the caller
	Work     float64
	Overhead float64       // further work, such as a handshake; no noise applies to it
	Deadline time.Duration // 0: none
}

// Outcome says how a request ended.
type Outcome uint8

const (
	Served    Outcome = iota // its work is done
	Failed                   // its work is done and it ended in an error
	QueueFull                // rejected: no slot is free and the queue is full
	Expired                  // rejected: its deadline passed while it waited
	Cancelled                // cancelled by its sender
	Lost                     // the backend had stopped, or stopped before the end
)

// Result is how and when a request ended.
type Result struct {
	ID      uint64
	At      time.Duration
	Outcome Outcome
}

// ChangeKind is a change of the state of a backend.
type ChangeKind uint8

const (
	BecameSlow   ChangeKind = iota // it works at a fraction of its speed
	BecameNormal                   // it works at its normal speed again
	BecameWarm                     // it has reached its full capacity
	Collapsed                      // it failed under overload while cold
)

// Change is a change of a backend's state and its time.
type Change struct {
	At   time.Duration
	Kind ChangeKind
}

type activeJob struct {
	Job
	remaining float64
}

// Backend is the state of a modelled backend.
type Backend struct {
	spec     Spec
	rng      *rand.Rand
	started  time.Duration
	now      time.Duration
	down     bool
	warm     bool
	workDone float64 // core-seconds since the start

	running []*activeJob
	waiting []*activeJob

	pauseAt, pauseEnd      time.Duration
	slowSince              time.Duration // start of the latest slowdown; 0: there was none
	slow                   bool
	wasSlow                bool
	slowdown               float64 // factor set by SetSlowdown
	occupancy, utilization movingMean
	budget                 *Budget

	results []Result
	changes []Change
}

// New returns a backend that starts at now. It is warm if ColdFrom is 1 or more, or Cold is 0.
func New(spec Spec, seed uint64, now time.Duration) *Backend {
	b := &Backend{spec: spec, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), started: now, now: now, slowdown: 1}
	b.warm = spec.ColdFrom >= 1 || spec.Cold <= 0
	b.pauseAt = b.nextPause(now)
	b.occupancy, b.utilization = movingMean{span: spec.Choke.Over}, movingMean{span: spec.Choke.Rest}
	if spec.Fall.Factor > 0 && !b.warm {
		b.budget = NewBudget(spec.Fall.Factor, spec.Fall.For)
		b.budget.SetCapacity(now, b.Capacity())
	}
	return b
}

func (b *Backend) nextPause(now time.Duration) time.Duration {
	if b.spec.PauseEvery <= 0 || b.spec.Pause <= 0 {
		return math.MaxInt64
	}
	return now + time.Duration(b.rng.ExpFloat64()*float64(b.spec.PauseEvery))
}

// FullCapacity is the capacity of the warm backend without slowdown, in cores of speed 1.
func (b *Backend) FullCapacity() float64 { return float64(b.spec.Cores) * b.spec.Speed }

// Capacity is the current capacity, in cores of speed 1. Losses to thrashing and pauses are not included.
func (b *Backend) Capacity() float64 {
	c := b.FullCapacity() * b.warmFraction() / b.slowdown
	if b.slow {
		c /= b.spec.Choke.Slower
	}
	return c
}

// warmFraction is the fraction of the full capacity that the warm-up has reached.
func (b *Backend) warmFraction() float64 {
	if b.warm {
		return 1
	}
	s := float64(b.now-b.started) / float64(b.spec.Cold)
	if b.spec.WarmByWork {
		// A fully loaded backend gets warm in about half of Cold.
		s = max(s, b.workDone/(b.FullCapacity()*(1+b.spec.ColdFrom)/2*b.spec.Cold.Seconds()/2))
	}
	return min(1, b.spec.ColdFrom+(1-b.spec.ColdFrom)*s)
}

// Warm reports whether the warm-up is complete.
func (b *Backend) Warm() bool { return b.warm }

// Down reports whether the backend has collapsed or was stopped.
func (b *Backend) Down() bool { return b.down }

// InFlight is the number of requests that run or wait.
func (b *Backend) InFlight() int { return len(b.running) + len(b.waiting) }

// Waiting is the number of requests that wait for a slot.
func (b *Backend) Waiting() int { return len(b.waiting) }

// SetSlowdown makes the backend slower by a factor, until it is called with 1.
func (b *Backend) SetSlowdown(now time.Duration, factor float64) {
	b.Advance(now)
	b.slowdown = max(factor, 0.01)
	if factor == 1 {
		b.changes = append(b.changes, Change{now, BecameNormal})
	} else {
		b.changes = append(b.changes, Change{now, BecameSlow})
	}
}

// Arrive adds a request. It ends at once if it is rejected. Every request ends exactly once, with one Result in
// TakeResults.
func (b *Backend) Arrive(now time.Duration, j Job) {
	b.Advance(now)
	if b.down {
		b.finish(j.ID, Lost)
		return
	}
	if b.budget != nil && !b.warm {
		if b.budget.Add(now, j.Work+j.Overhead, true) != nil {
			b.changes = append(b.changes, Change{now, Collapsed})
			b.finish(j.ID, Lost)
			b.Stop(now)
			return
		}
	}
	work := j.Work
	if b.spec.Noise > 0 {
		s2 := math.Log(1 + b.spec.Noise*b.spec.Noise)
		work *= math.Exp(b.rng.NormFloat64()*math.Sqrt(s2) - s2/2)
	}
	n := &activeJob{Job: j, remaining: work + j.Overhead}
	switch {
	case len(b.running) < b.spec.Slots:
		b.running = append(b.running, n)
	case len(b.waiting) < b.spec.Queue:
		b.waiting = append(b.waiting, n)
	default:
		b.finish(j.ID, QueueFull)
	}
}

// Cancel cancels a request if the spec allows it. It does nothing if the request has ended.
func (b *Backend) Cancel(now time.Duration, id uint64) {
	b.Advance(now)
	if b.spec.CancelQueued {
		for i, j := range b.waiting {
			if j.ID == id {
				b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
				b.finish(id, Cancelled)
				return
			}
		}
	}
	if b.spec.CancelRuns {
		for i, j := range b.running {
			if j.ID == id {
				b.running = append(b.running[:i], b.running[i+1:]...)
				b.finish(id, Cancelled)
				b.startWaiting()
				return
			}
		}
	}
}

// Stop stops the backend: all requests in flight are lost.
func (b *Backend) Stop(now time.Duration) {
	b.down = true
	for _, j := range b.running {
		b.finish(j.ID, Lost)
	}
	for _, j := range b.waiting {
		b.finish(j.ID, Lost)
	}
	b.running, b.waiting = nil, nil
}

func (b *Backend) finish(id uint64, o Outcome) {
	b.results = append(b.results, Result{id, b.now, o})
}

func (b *Backend) startWaiting() {
	for len(b.running) < b.spec.Slots && len(b.waiting) > 0 {
		j := b.waiting[0]
		b.waiting = b.waiting[1:]
		if b.spec.DropsExpired && j.Deadline > 0 && b.now >= j.Deadline {
			b.finish(j.ID, Expired)
			continue
		}
		b.running = append(b.running, j)
	}
}

// rate is the work done for each running request, in core-seconds per second.
func (b *Backend) rate() float64 {
	if len(b.running) == 0 || b.now < b.pauseEnd {
		return 0
	}
	c := b.Capacity()
	if over := float64(b.InFlight())/float64(b.spec.Cores) - b.spec.ThrashAt; b.spec.ThrashAt > 0 && over > 0 {
		c *= 1 - b.spec.Thrash*min(1, over/b.spec.ThrashAt)
	}
	return min(c/float64(len(b.running)), c/float64(b.spec.Cores))
}

// Next returns the latest time at which Advance has to be called next. The second result is false while nothing is due.
func (b *Backend) Next() (time.Duration, bool) {
	if b.down {
		return 0, false
	}
	if len(b.running) == 0 {
		return b.now + Step, b.slow || !b.warm
	}
	return b.now + b.rateInterval(), true
}

// rateInterval is how long the current rate holds: to the next end of a request, the next start or end of a pause, or
// for Step.
func (b *Backend) rateInterval() time.Duration {
	d := Step
	if b.now < b.pauseEnd {
		return min(d, b.pauseEnd-b.now)
	}
	d = min(d, max(b.pauseAt-b.now, 1))
	if r := b.rate(); r > 0 {
		least := math.Inf(1)
		for _, j := range b.running {
			least = min(least, j.remaining)
		}
		d = min(d, max(time.Duration(math.Ceil(least/r*1e9)), 1))
	}
	return d
}

// Advance advances the model to now. A time in the past changes nothing.
func (b *Backend) Advance(now time.Duration) {
	for b.now < now && !b.down {
		if len(b.running) == 0 && !b.slow && b.warm && b.now >= b.pauseEnd {
			// Idle, warm and at normal speed: skip the steps.
			d := now - b.now
			b.occupancy.add(b.now, d, 0)
			b.utilization.add(b.now, d, 0)
			b.now = now
			for b.pauseAt < now {
				b.pauseAt = b.nextPause(b.pauseAt)
			}
			b.updateSlow()
			return
		}
		b.step(min(b.rateInterval(), now-b.now))
	}
	b.now = max(b.now, now)
}

func (b *Backend) step(d time.Duration) {
	r := b.rate()
	b.occupancy.add(b.now, d, float64(b.InFlight()))
	b.utilization.add(b.now, d, min(1, float64(len(b.running))/float64(b.spec.Cores)))
	b.now += d
	anyFinished := false
	if r > 0 {
		for _, j := range b.running {
			w := r * d.Seconds()
			j.remaining -= w
			b.workDone += w
			anyFinished = anyFinished || j.remaining <= 1e-9
		}
	}
	if anyFinished {
		keep := b.running[:0]
		for _, j := range b.running {
			if j.remaining > 1e-9 {
				keep = append(keep, j)
				continue
			}
			o := Served
			if b.spec.ErrorRate > 0 && b.rng.Float64() < b.spec.ErrorRate {
				o = Failed
			}
			b.finish(j.ID, o)
		}
		b.running = keep
		b.startWaiting()
	}
	if b.now >= b.pauseAt {
		b.pauseEnd = b.now + b.spec.Pause
		b.pauseAt = b.nextPause(b.pauseEnd)
	}
	if !b.warm {
		if b.warmFraction() >= 1 {
			b.warm, b.budget = true, nil
			b.changes = append(b.changes, Change{b.now, BecameWarm})
		} else if b.budget != nil {
			b.budget.SetCapacity(b.now, b.Capacity())
		}
	}
	b.updateSlow()
}

// updateSlow starts or ends the slowdown that Choke describes.
func (b *Backend) updateSlow() {
	c := b.spec.Choke
	if c.At <= 0 {
		return
	}
	switch {
	case b.slow:
		calm := b.now-b.slowSince >= c.Rest && b.utilization.mean(b.now) < c.Below
		if calm || b.now-b.slowSince >= c.Most {
			b.slow = false
			b.changes = append(b.changes, Change{b.now, BecameNormal})
		}
	case !b.wasSlow && b.now-b.started >= c.Over &&
		b.occupancy.mean(b.now) > float64(b.spec.Cores)+c.At*math.Sqrt(float64(b.spec.Cores)):
		b.slow, b.wasSlow, b.slowSince = true, true, b.now
		b.changes = append(b.changes, Change{b.now, BecameSlow})
	}
}

// TakeResults returns the requests that have ended and the state changes since the last call.
func (b *Backend) TakeResults() ([]Result, []Change) {
	r, c := b.results, b.changes
	b.results, b.changes = nil, nil
	return r, c
}

// movingMean is the mean of a figure over the last span, kept in 30 buckets.
type movingMean struct {
	span    time.Duration
	buckets [30]struct {
		at  int64
		sum float64 // figure x seconds
	}
}

func (w *movingMean) add(from, d time.Duration, figure float64) {
	if w.span <= 0 {
		return
	}
	width := w.span / time.Duration(len(w.buckets))
	if d > w.span {
		from, d = from+d-w.span, w.span
	}
	for d > 0 {
		n := int64(from / width)
		step := min(d, time.Duration(n+1)*width-from)
		c := &w.buckets[n%int64(len(w.buckets))]
		if c.at != n {
			c.at, c.sum = n, 0
		}
		c.sum += figure * step.Seconds()
		from, d = from+step, d-step
	}
}

func (w *movingMean) mean(now time.Duration) float64 {
	if w.span <= 0 {
		return 0
	}
	width := w.span / time.Duration(len(w.buckets))
	first := int64(now/width) - int64(len(w.buckets))
	sum := 0.0
	for i := range w.buckets {
		if w.buckets[i].at > first {
			sum += w.buckets[i].sum
		}
	}
	return sum / w.span.Seconds()
}
