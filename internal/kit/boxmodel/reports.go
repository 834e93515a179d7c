package boxmodel

import (
	"math/rand/v2"
	"time"
)

// Reports are a box's load reports as its answers carry them: taken now and then, a little noisy, rounded, and late.
type Reports struct {
	delay   time.Duration
	noise   float64
	rng     *rand.Rand
	samples []report
}

type report struct {
	at                time.Duration
	inFlight, waiting int
}

// NewReports returns the reports of one box. late is how old a report is at the least when an answer carries it; noise
// the standard deviation of each figure, as a part of it.
func NewReports(delay time.Duration, noise float64, rng *rand.Rand) *Reports {
	return &Reports{delay: delay, noise: noise, rng: rng}
}

// Sample takes a report of the box as it stands.
func (r *Reports) Sample(now time.Duration, b *Backend) {
	noisy := func(n int) int { return max(0, int(float64(n)*(1+r.noise*r.rng.NormFloat64())+0.5)) }
	r.samples = append(r.samples, report{now, noisy(b.InFlight()), noisy(b.Waiting())})
	for len(r.samples) > 1 && r.samples[1].at <= now-r.delay {
		r.samples = r.samples[1:]
	}
}

// Due is the report that an answer carries: the requests held and those of them that wait. It is false before the
// first one was taken.
func (r *Reports) Due() (inFlight, waiting int, ok bool) {
	if len(r.samples) == 0 {
		return 0, 0, false
	}
	return r.samples[0].inFlight, r.samples[0].waiting, true
}
