// Package relay emulates the network between the nodes of a rehearsal. It forwards their UDP datagrams and TCP streams, and
// drops, duplicates, delays, corrupts or cuts them as configured. The faults of a datagram are drawn from a random source of
// its link, seeded and without I/O, so that they depend only on the datagrams before it on that link.
package relay

import (
	"math/rand/v2"
	"time"
)

// Fault describes the faults of a link in one direction. The zero value forwards everything unchanged.
type Fault struct {
	Cut       bool          // nothing is forwarded; streams stall, and break when the cut ends
	Drop      float64       // fraction of the datagrams that are lost
	Duplicate float64       // fraction that is delivered twice
	Corrupt   float64       // fraction with one bit flipped
	Delay     time.Duration // of each, plus a random delay of up to as much again, which reorders datagrams
}

// combine returns the effect of both faults together.
func (a Fault) combine(b Fault) Fault {
	either := func(x, y float64) float64 { return 1 - (1-x)*(1-y) }
	return Fault{a.Cut || b.Cut, either(a.Drop, b.Drop), either(a.Duplicate, b.Duplicate), either(a.Corrupt, b.Corrupt), a.Delay + b.Delay}
}

// Outcomes in an Event.
const (
	Passed     = "passed"
	Dropped    = "dropped"
	Cut        = "cut"
	Duplicated = "doubled"
	Corrupted  = "spoiled"
	Unknown    = "unknown" // sender is none of the nodes
)

// fate is how one datagram is forwarded.
type fate struct {
	outcome     string
	delays      []time.Duration // one for each copy that is delivered
	corruptByte int             // index of the byte that is changed; -1 for none
}

// link draws the fates of its datagrams in their order.
type link struct{ rng *rand.Rand }

func newLink(seed uint64, from, to int) *link {
	return &link{rand.New(rand.NewPCG(seed, uint64(from)<<20|uint64(to)))}
}

// draw takes the same number of random numbers whatever the fault, so that a fault that begins or ends doesn't change what is
// drawn for later datagrams.
func (l *link) draw(t Fault, size int) fate {
	drop, duplicate, corrupt, position := l.rng.Float64() < t.Drop, l.rng.Float64() < t.Duplicate, l.rng.Float64() < t.Corrupt, l.rng.Float64()
	jitter := [2]float64{l.rng.Float64(), l.rng.Float64()}
	delay := func(i int) time.Duration { return t.Delay + time.Duration(jitter[i]*float64(t.Delay)) }
	f := fate{outcome: Passed, corruptByte: -1}
	switch {
	case t.Cut:
		return fate{outcome: Cut, corruptByte: -1}
	case drop:
		return fate{outcome: Dropped, corruptByte: -1}
	case duplicate:
		f.outcome, f.delays = Duplicated, []time.Duration{delay(0), delay(1)}
	default:
		f.delays = []time.Duration{delay(0)}
	}
	if corrupt && size > 0 {
		f.outcome, f.corruptByte = Corrupted, int(position*float64(size))
	}
	return f
}
