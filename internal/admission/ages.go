package admission

import (
	"math"
	"time"
)

// IdleEstimator learns for how long a box keeps a connection that rests. What a box tells is the longest; many close sooner,
// and a request that is written to a connection which the box has given up ends as a reset that may have run.
//
// It counts, by the time for which a connection had rested before it was used again, how many held and how many broke
// without a byte. Resets that have nothing to do with rest strike young connections as often as old ones: only what
// goes beyond their share is the rest's doing.
type IdleEstimator struct {
	told   time.Duration  // 0 when it is not told
	all    *IdleEstimator // what was learnt from all boxes together: for one of which too little is known
	cells  [ageCells]ageCell
	halved time.Duration
}

type ageCell struct{ held, broke float64 }

const (
	ageCells   = 24
	firstAge   = 50 * time.Millisecond // younger ones are in the first cell
	ageFactor  = 1.5
	enough     = 3    // breaks that make a case
	doubt      = 3    // uses that held, added to each cell: a few breaks in a thin one prove little
	tooMany    = 0.3  // share of breaks beyond the usual from which a connection is not worth keeping
	notSure    = 0.05 // and from which nothing that must not be repeated goes out on it
	trusted    = time.Second
	forgetting = time.Minute // what was learnt counts half after this
)

// NewIdleEstimator returns what is known of a box that tells an idle time of told. all, which may be nil, learns along.
func NewIdleEstimator(told time.Duration, all *IdleEstimator) *IdleEstimator {
	return &IdleEstimator{told: told, all: all}
}

// youngest holds the lower edge of each cell.
var youngest = func() (edges [ageCells]time.Duration) {
	for i := 1; i < ageCells; i++ {
		edges[i] = time.Duration(float64(firstAge) * math.Pow(ageFactor, float64(i-1)))
	}
	return edges
}()

func ageIndex(age time.Duration) int {
	i := 0
	for i+1 < ageCells && age >= youngest[i+1] {
		i++
	}
	return i
}

func (a *IdleEstimator) count(now, age time.Duration, held, broke float64) {
	if a.halved == 0 {
		a.halved = now
	}
	for now-a.halved >= forgetting {
		a.halved += forgetting
		for i := range a.cells {
			a.cells[i].held /= 2
			a.cells[i].broke /= 2
		}
	}
	c := &a.cells[ageIndex(age)]
	c.held += held
	c.broke += broke
	if a.all != nil {
		a.all.count(now, age, held, broke)
	}
}

// RecordReuse notes that a connection which had rested for age carried another request.
func (a *IdleEstimator) RecordReuse(now, age time.Duration) { a.count(now, age, 1, 0) }

// RecordReset notes that one ended without a byte.
func (a *IdleEstimator) RecordReset(now, age time.Duration) { a.count(now, age, 0, 1) }

// source is where to look: the box's own account once it has a case, else that of all.
func (a *IdleEstimator) source() *IdleEstimator {
	broke := 0.0
	for _, c := range a.cells {
		broke += c.broke
	}
	if broke < enough && a.all != nil {
		return a.all
	}
	return a
}

// split is the youngest cell from which on breaks are more than a share beyond what younger ones see; ageCells if none.
func (a *IdleEstimator) split(beyond, least float64) int {
	var held, broke float64
	for _, c := range a.cells {
		held += c.held
		broke += c.broke
	}
	var youngHeld, youngBroke float64
	for i, c := range a.cells {
		usual := youngBroke / (youngHeld + youngBroke + 5) // with nothing known none are usual
		here := c
		if i+1 < ageCells {
			here.held, here.broke = here.held+a.cells[i+1].held, here.broke+a.cells[i+1].broke
		}
		// The first cell is what is usual: what breaks there has hardly rested.
		if i > 0 && broke >= least && c.broke > 0 && here.broke/(here.held+here.broke+doubt) > usual+beyond && broke/(held+broke) > usual+beyond {
			return i
		}
		held, broke = held-c.held, broke-c.broke
		youngHeld, youngBroke = youngHeld+c.held, youngBroke+c.broke
	}
	return ageCells
}

// MaxIdle is for how long a connection is worth keeping: nine tenths of what is told, or less where it is learnt that
// most do not hold.
func (a *IdleEstimator) MaxIdle() time.Duration {
	d := time.Duration(math.MaxInt64)
	if a.told > 0 {
		d = a.told * 9 / 10
	}
	if i := a.source().split(tooMany, enough); i < ageCells {
		d = min(d, max(youngest[i]*9/10, firstAge))
	}
	return d
}

// SafeIdle is for how long a connection may have rested that is to carry what must not be repeated: a second where nothing
// is known, longer as older ones are seen to hold, shorter where they break.
func (a *IdleEstimator) SafeIdle() time.Duration {
	s := a.source()
	d := trusted
	for i, c := range s.cells {
		if c.held >= enough {
			d = max(d, youngest[i])
		}
	}
	if i := s.split(notSure, 1); i < ageCells {
		d = min(d, youngest[i]*9/10)
	}
	return min(d, a.MaxIdle())
}
