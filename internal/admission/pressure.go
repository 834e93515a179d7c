package admission

import (
	"math"
	"time"
)

// Pressure notices that the node itself is behind, by how long requests waited in the kernel before they were read, and
// says what to refuse before anything is done for it: the cheapest classes first, more as the wait grows.
type Pressure struct {
	wait time.Duration // mean of late, the latest counting most
	at   time.Duration
}

const (
	pressureFrom = 60 * time.Millisecond  // a mean wait from which requests are refused
	pressureAll  = 300 * time.Millisecond // and from which all are
	pressureFor  = 250 * time.Millisecond // what is older than this counts for a third
	pressureStep = 0.1                    // what one request counts for at the least among many at once
)

// Observe notes how long a request had waited.
func (p *Pressure) Observe(now, waited time.Duration) {
	share := max(1-math.Exp(-float64(now-p.at)/float64(pressureFor)), pressureStep)
	p.wait += time.Duration(share * float64(waited-p.wait))
	p.at = now
}

// Shed is the part of the requests of a class to refuse: rank 0 is the cheapest of so many classes.
func (p *Pressure) Shed(now time.Duration, rank, classes int) float64 {
	wait := float64(p.wait) * math.Exp(-float64(now-p.at)/float64(pressureFor)) // nothing comes: nothing waits
	level := (wait - float64(pressureFrom)) / float64(pressureAll-pressureFrom)
	return min(max(level*float64(classes)-float64(rank), 0), 1)
}
