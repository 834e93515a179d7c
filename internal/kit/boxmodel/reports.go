package boxmodel

import (
	"math/rand/v2"
	"time"
)

// Reports are a box's load reports as its answers carry them: taken now and then, a little noisy, rounded, and late.
type Reports struct {
	late  time.Duration
	noise float64
	rng   *rand.Rand
	taken []report
}

type report struct {
	at          time.Duration
	held, queue int
}

// NewReports returns the reports of one box. late is how old a report is at the least when an answer carries it; noise
// the standard deviation of each figure, as a part of it.
func NewReports(late time.Duration, noise float64, rng *rand.Rand) *Reports {
	return &Reports{late: late, noise: noise, rng: rng}
}

// Take takes a report of the box as it stands.
func (r *Reports) Take(now time.Duration, b *Box) {
	noisy := func(n int) int { return max(0, int(float64(n)*(1+r.noise*r.rng.NormFloat64())+0.5)) }
	r.taken = append(r.taken, report{now, noisy(b.Held()), noisy(b.Waiting())})
	for len(r.taken) > 1 && r.taken[1].at <= now-r.late {
		r.taken = r.taken[1:]
	}
}

// Due is the report that an answer carries: the requests held and those of them that wait. It is false before the
// first one was taken.
func (r *Reports) Due() (held, queue int, ok bool) {
	if len(r.taken) == 0 {
		return 0, 0, false
	}
	return r.taken[0].held, r.taken[0].queue, true
}
