package admission

import (
	"math"
	"time"
)

// Pressure detects that the node itself is overloaded, by how long requests waited in the kernel before they were read,
// and decides what fraction of each class to shed before any work is done: the lowest-ranked classes first, more as the
// wait grows.
type Pressure struct {
	wait time.Duration // exponentially weighted mean
	at   time.Duration
}

const (
	shedFromWait     = 60 * time.Millisecond  // mean wait above which requests are shed
	shedAllWait      = 300 * time.Millisecond // and above which all are
	waitTimeConstant = 250 * time.Millisecond // decay time of the mean: a sample this old has about a third of its weight
	minSampleWeight  = 0.1                    // of a sample, for requests that arrive at nearly the same time
)

// Observe records how long a request had waited.
func (p *Pressure) Observe(now, waited time.Duration) {
	weight := max(1-math.Exp(-float64(now-p.at)/float64(waitTimeConstant)), minSampleWeight)
	p.wait += time.Duration(weight * float64(waited-p.wait))
	p.at = now
}

// Shed returns the fraction of the requests of a class to shed. Rank 0 is the class to shed first, of the given number
// of classes.
func (p *Pressure) Shed(now time.Duration, rank, classes int) float64 {
	wait := float64(p.wait) * math.Exp(-float64(now-p.at)/float64(waitTimeConstant)) // without new samples the mean decays
	level := (wait - float64(shedFromWait)) / float64(shedAllWait-shedFromWait)
	return min(max(level*float64(classes)-float64(rank), 0), 1)
}
