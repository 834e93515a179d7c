package boxmodel

import (
	"math"
	"time"
)

// Budget is the fourth rule's account of one cold box: the work sent to it within any window must stay under a
// multiple of what it could do meanwhile. Requests come by chance, so that a window may hold more than its mean:
// three standard deviations of a Poisson stream of the same works (three times the root of the sum of their squares)
// are left as slack. Work counts when it arrives, whatever becomes of it.
//
// Times must not go backwards by more than the caller can bear: what is older than the window is forgotten.
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

// Excess is a window whose budget was overspent.
type Excess struct {
	From, To         time.Duration
	Sent             float64 // core-seconds
	Budget           float64 // core-seconds, slack included
	NotifiedFraction float64 // part of Sent that came from senders told of the box's start
	Tags             []int   // of the sends in the window
}

// NewBudget returns the account of a box that starts now.
func NewBudget(factor float64, window time.Duration) *Budget {
	return &Budget{factor: factor, window: window}
}

// SetCapacity notes what the box can do from at on, in cores of speed 1.
func (b *Budget) SetCapacity(at time.Duration, cores float64) {
	if n := len(b.capacities); n > 0 && b.capacities[n-1].cores == cores {
		return
	}
	b.capacities = append(b.capacities, capacityStep{at, cores})
	for len(b.capacities) > 1 && b.capacities[1].at < at-b.window {
		b.capacities = b.capacities[1:]
	}
}

// Add notes work sent by a sender that had, or had not, been told of the box's start. Where the window that ends
// here is overspent it returns that window.
func (b *Budget) Add(at time.Duration, work float64, notified bool) *Excess {
	return b.AddTagged(at, work, notified, 0)
}

// AddTagged is Send with a mark of the caller's that an Excess gives back.
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

// MaxFraction is the largest part of its budget that any window so far was sent: above 1 it was overspent.
func (b *Budget) MaxFraction() float64 { return b.maxFraction }

// availableWork is the work that the box could do between two moments. Before its first level it counts as that level: the
// window of a box that has just started is not cut short by its start.
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
