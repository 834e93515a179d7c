// Package relay stands between the nodes of a rehearsal: what they say to each other, by datagrams and over streams, goes
// through it, and it loses, doubles, delays, spoils or cuts as it is told. What becomes of a datagram is drawn without
// I/O, from a seed for each link, so that it hangs on nothing but the datagrams before it on that link.
package relay

import (
	"math/rand/v2"
	"time"
)

// Fault is what happens to what goes from one node to another. Its zero value lets everything through as it is.
type Fault struct {
	Cut       bool          // nothing comes through; streams stand still and break
	Drop      float64       // part of the datagrams that is lost
	Duplicate float64       // part that comes twice
	Corrupt   float64       // part with a byte changed
	Delay     time.Duration // of each; up to as much again by chance, so that some overtake others
}

// with is both troubles at once.
func (a Fault) with(b Fault) Fault {
	part := func(x, y float64) float64 { return 1 - (1-x)*(1-y) }
	return Fault{a.Cut || b.Cut, part(a.Drop, b.Drop), part(a.Duplicate, b.Duplicate), part(a.Corrupt, b.Corrupt), a.Delay + b.Delay}
}

// Fates, as they are told.
const (
	Passed     = "passed"
	Dropped    = "dropped"
	Cut        = "cut"
	Duplicated = "doubled"
	Corrupted  = "spoiled"
	Unknown    = "unknown" // of nobody that the relay stands for
)

// fate is what becomes of one datagram.
type fate struct {
	how    string
	delays []time.Duration // one for each time that it arrives
	spoil  int             // the byte that is changed, counted from the front; -1 for none
}

// link draws fates, in the order of its datagrams.
type link struct{ rng *rand.Rand }

func newLink(seed uint64, from, to int) *link {
	return &link{rand.New(rand.NewPCG(seed, uint64(from)<<20|uint64(to)))}
}

// draw takes the same number of draws whatever the trouble, so that one that ends leaves the others' course as it was.
func (l *link) draw(t Fault, size int) fate {
	drop, twice, spoil, at := l.rng.Float64() < t.Drop, l.rng.Float64() < t.Duplicate, l.rng.Float64() < t.Corrupt, l.rng.Float64()
	late := [2]float64{l.rng.Float64(), l.rng.Float64()}
	delay := func(i int) time.Duration { return t.Delay + time.Duration(late[i]*float64(t.Delay)) }
	f := fate{how: Passed, spoil: -1}
	switch {
	case t.Cut:
		return fate{how: Cut, spoil: -1}
	case drop:
		return fate{how: Dropped, spoil: -1}
	case twice:
		f.how, f.delays = Duplicated, []time.Duration{delay(0), delay(1)}
	default:
		f.delays = []time.Duration{delay(0)}
	}
	if spoil && size > 0 {
		f.how, f.spoil = Corrupted, int(at*float64(size))
	}
	return f
}
