package boxmodel

import (
	"math"
	"time"
)

// Budget checks rule 4 of the judge for one cold backend: the work sent to it within any window must not exceed a
// multiple of the work that it can do in that window. Arrivals are random, so the limit has a slack of three standard
// deviations of a Poisson stream of the same works: three times the square root of the sum of their squares. Work
// counts when it arrives, whatever its outcome.
//
// Times should not go backwards: what is older than the window is discarded.
type Budget struct {
	factor      float64
	window      time.Duration
	sends       []send
	capacities  []capacityStep
	maxFraction float64
}

type send struct {
	at       time.Duration
	work     float64
	notified bool
	tag      int
}

type capacityStep struct {
	at    time.Duration
	cores float64
}

// Excess is a window in which more work was sent than the budget allows.
type Excess struct {
	From, To         time.Duration
	Sent             float64 // core-seconds
	Budget           float64 // core-seconds, slack included
	NotifiedFraction float64 // fraction of Sent from senders that were notified of the backend's start
	Tags             []int   // tags of the sends in the window
}

// NewBudget returns the budget of a backend that has just started.
func NewBudget(factor float64, window time.Duration) *Budget {
	return &Budget{factor: factor, window: window}
}

// SetCapacity records the backend's capacity from at on, in cores of speed 1.
func (b *Budget) SetCapacity(at time.Duration, cores float64) {
	if n := len(b.capacities); n > 0 && b.capacities[n-1].cores == cores {
		return
	}
	b.capacities = append(b.capacities, capacityStep{at, cores})
	for len(b.capacities) > 1 && b.capacities[1].at < at-b.window {
		b.capacities = b.capacities[1:]
	}
}

// Add records work sent by a sender that had, or had not, been notified of the backend's start. It returns the window
// that ends then if its budget is exceeded, else nil.
func (b *Budget) Add(at time.Duration, work float64, notified bool) *Excess {
	return b.AddTagged(at, work, notified, 0)
}

// AddTagged is Add with a tag of the caller's that Excess returns.
func (b *Budget) AddTagged(at time.Duration, work float64, notified bool, tag int) *Excess {
	b.sends = append(b.sends, send{at, work, notified, tag})
	for len(b.sends) > 0 && b.sends[0].at <= at-b.window {
		b.sends = b.sends[1:]
	}
	sum, square, notifiedWork := 0.0, 0.0, 0.0
	for _, s := range b.sends {
		sum += s.work
		square += s.work * s.work
		if s.notified {
			notifiedWork += s.work
		}
	}
	limit := b.factor*b.availableWork(at-b.window, at) + 3*math.Sqrt(square)
	b.maxFraction = max(b.maxFraction, sum/limit)
	if sum <= limit {
		return nil
	}
	e := &Excess{From: at - b.window, To: at, Sent: sum, Budget: limit, NotifiedFraction: notifiedWork / sum}
	for _, s := range b.sends {
		e.Tags = append(e.Tags, s.tag)
	}
	return e
}

// MaxFraction is the largest ratio of work sent to budget over all windows so far; above 1 a budget was exceeded.
func (b *Budget) MaxFraction() float64 { return b.maxFraction }

// availableWork is the work that the backend could do between two moments. The first capacity counts for the time
// before it too, so that the window of a backend that has just started is not shorter than others.
func (b *Budget) availableWork(from, to time.Duration) float64 {
	sum := 0.0
	for i, l := range b.capacities {
		begin, end := l.at, to
		if i == 0 {
			begin = from
		}
		if i+1 < len(b.capacities) {
			end = b.capacities[i+1].at
		}
		begin, end = max(begin, from), min(end, to)
		if end > begin {
			sum += l.cores * (end - begin).Seconds()
		}
	}
	return sum
}
