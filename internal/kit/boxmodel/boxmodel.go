// Package boxmodel is a box's insides: cores, slots, a waiting room, a cold start, pauses, and the way an overloaded
// one turns slow and stays so. It has no clock, no goroutine and no I/O: its caller tells it the time and asks when
// it wants to be told again. The same spec, seed and calls give the same results.
//
// The model is one of rates. Between two calls every request in work gets an equal part of what the box can do at
// that moment, which is at most one core; the rate is held for at most Step, so that warming, pauses and slow spells
// are followed closely.
package boxmodel

import (
	"math"
	"math/rand/v2"
	"time"
)

// Step is the longest time for which the model holds a rate.
const Step = 20 * time.Millisecond

// Spec says what a box is. Work is in core-seconds: seconds on one core of speed 1.
type Spec struct {
	Cores        int
	Speed        float64 // of a core; 1 is the usual one
	Slots        int     // requests in work at a time
	Queue        int     // requests that may wait; more are turned away
	Thrash       float64 // part of the capacity that is lost when it holds twice ThrashAt a core; less in proportion
	ThrashAt     float64 // requests held for each core from which it works less well; 0: never
	ColdFrom     float64 // part of the capacity at the start; 1 for one that starts warm
	Cold         time.Duration
	WarmByWork   bool          // it warms with the work it does, but no slower than evenly over Cold
	PauseEvery   time.Duration // on average; 0: never
	Pause        time.Duration // all work stands still for this long
	ErrorRate    float64       // part of the requests that end in an error after their work
	Noise        float64       // spread of the work of one attempt about what was asked: a standard deviation
	CancelQueued bool          // a cancelled request that waits is dropped
	CancelRuns   bool          // one that runs is, too
	DropsExpired bool          // one that waits past its deadline is turned away
	Choke        Choke
	Fall         Fall
}

// Choke makes a box that is crowded for too long slow, and keeps it so.
type Choke struct {
	At     float64       // crowded is holding more than cores + At x sqrt(cores), in the mean of Over; 0: never
	Over   time.Duration // the time that counts for it
	Slower float64       // by this factor
	Below  float64       // it recovers when its cores were busy below this part
	Rest   time.Duration // for this long,
	Most   time.Duration // or after this at the latest
}

// Fall is how a cold box is pushed over: more than Factor times what it can do, sent for For.
type Fall struct {
	Factor float64 // 0: never
	For    time.Duration
}

// Job is one request.
type Job struct {
	ID       uint64 // the caller's own name for it
	Work     float64
	Overhead float64       // work beside it that nobody answers for, such as a handshake
	Deadline time.Duration // its deadline; 0 for none
}

// Outcome says how a request ended.
type Outcome uint8

const (
	Served    Outcome = iota // its work is done
	Failed                   // its work is done and an error came of it
	QueueFull                // turned away: no room
	Expired                  // turned away: its time was up while it waited
	Cancelled                // dropped at its sender's wish
	Lost                     // the box stopped
)

// Result is how and when a request ended.
type Result struct {
	ID      uint64
	At      time.Duration
	Outcome Outcome
}

// ChangeKind is something that happened to the box as a whole.
type ChangeKind uint8

const (
	BecameSlow   ChangeKind = iota // it works at a part of its speed
	BecameNormal                   // it works at its own speed again
	BecameWarm                     // it has reached its full capacity
	Collapsed                      // it failed under its load
)

// Change is a Change and its time.
type Change struct {
	At   time.Duration
	Kind ChangeKind
}

type activeJob struct {
	Job
	remaining float64
}

// Backend is a box's state.
type Backend struct {
	spec     Spec
	rng      *rand.Rand
	started  time.Duration
	now      time.Duration
	down     bool
	warm     bool
	workDone float64 // work done since the start

	running []*activeJob
	waiting []*activeJob

	pauseAt, pauseEnd      time.Duration
	slowSince              time.Duration // 0: not slow
	slow                   bool
	wasSlow                bool
	slowdown               float64 // a factor from outside
	occupancy, utilization movingMean
	budget                 *Budget

	results []Result
	changes []Change
}

// New returns a box that starts at now. One with ColdFrom 1 is warm.
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

// FullCapacity is what the box can do when it is warm and nothing ails it, in cores of speed 1.
func (b *Backend) FullCapacity() float64 { return float64(b.spec.Cores) * b.spec.Speed }

// Capacity is what it can do now, in cores of speed 1; crowding and pauses do not count.
func (b *Backend) Capacity() float64 {
	c := b.FullCapacity() * b.warmFraction() / b.slowdown
	if b.slow {
		c /= b.spec.Choke.Slower
	}
	return c
}

// warmFraction is the part of the full capacity that warming leaves.
func (b *Backend) warmFraction() float64 {
	if b.warm {
		return 1
	}
	s := float64(b.now-b.started) / float64(b.spec.Cold)
	if b.spec.WarmByWork {
		// The work that takes a box with all to do from cold to warm in half the stated time.
		s = max(s, b.workDone/(b.FullCapacity()*(1+b.spec.ColdFrom)/2*b.spec.Cold.Seconds()/2))
	}
	return min(1, b.spec.ColdFrom+(1-b.spec.ColdFrom)*s)
}

// Warm tells whether the box is at its full capacity.
func (b *Backend) Warm() bool { return b.warm }

// Down tells whether the box has fallen over or was stopped.
func (b *Backend) Down() bool { return b.down }

// InFlight is the number of requests in work or waiting.
func (b *Backend) InFlight() int { return len(b.running) + len(b.waiting) }

// Waiting is the number of requests that wait for a worker.
func (b *Backend) Waiting() int { return len(b.waiting) }

// SetSlowdown makes the box slower by a factor until it is called again with 1.
func (b *Backend) SetSlowdown(now time.Duration, factor float64) {
	b.Advance(now)
	b.slowdown = max(factor, 0.01)
	if factor == 1 {
		b.changes = append(b.changes, Change{now, BecameNormal})
	} else {
		b.changes = append(b.changes, Change{now, BecameSlow})
	}
}

// Arrive hands in a request. It ends at once where there is no room for it; every request that was handed in ends
// exactly once, as the results of Advance tell.
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

// Cancel drops a request whose sender has gone, where the box does that. It tells nothing where the request is over.
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

// Stop ends the box: all that it holds is lost.
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

// rate is the work done for each running request in a second.
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

// Next is when the box wants to be advanced at the latest. The second result is false while nothing is due.
func (b *Backend) Next() (time.Duration, bool) {
	if b.down {
		return 0, false
	}
	if len(b.running) == 0 {
		return b.now + Step, b.slow || !b.warm
	}
	return b.now + b.rateInterval(), true
}

// rateInterval is how long the present rates hold: to the next end of a request, pause or step.
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

// Advance brings the box up to now; a time that has passed already changes nothing.
func (b *Backend) Advance(now time.Duration) {
	for b.now < now && !b.down {
		if len(b.running) == 0 && !b.slow && b.warm && b.now >= b.pauseEnd {
			// Nothing can happen before now but the passing of time.
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

// updateSlow turns the box slow, or normal again.
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

// TakeResults returns what has ended and changed since the last call.
func (b *Backend) TakeResults() ([]Result, []Change) {
	r, c := b.results, b.changes
	b.results, b.changes = nil, nil
	return r, c
}

// movingMean is the mean of a figure over the last span, in cells of a thirtieth of it.
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
		part := min(d, time.Duration(n+1)*width-from)
		c := &w.buckets[n%int64(len(w.buckets))]
		if c.at != n {
			c.at, c.sum = n, 0
		}
		c.sum += figure * part.Seconds()
		from, d = from+part, d-part
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
