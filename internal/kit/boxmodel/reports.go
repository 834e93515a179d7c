package boxmodel

import (
	"math/rand/v2"
	"time"
)

// Reports are the load reports of a backend as its responses carry them: sampled at intervals, noisy, rounded and late.
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

// NewReports returns the reports of one backend. delay is the least age at which a sample replaces an older one in
// responses; noise is the relative standard deviation of each figure.
func NewReports(delay time.Duration, noise float64, rng *rand.Rand) *Reports {
	return &Reports{delay: delay, noise: noise, rng: rng}
}

// Sample takes a report of the current state of a backend.
func (r *Reports) Sample(now time.Duration, b *Backend) {
	noisy := func(n int) int { return max(0, int(float64(n)*(1+r.noise*r.rng.NormFloat64())+0.5)) }
	r.samples = append(r.samples, report{now, noisy(b.InFlight()), noisy(b.Waiting())})
	for len(r.samples) > 1 && r.samples[1].at <= now-r.delay {
		r.samples = r.samples[1:]
	}
}

// Due returns the report that a response carries: the requests in flight, and how many of them wait. The last result is
// false before the first sample.
func (r *Reports) Due() (inFlight, waiting int, ok bool) {
	if len(r.samples) == 0 {
		return 0, 0, false
	}
	return r.samples[0].inFlight, r.samples[0].waiting, true
}
