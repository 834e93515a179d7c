// Package health keeps how well something answers, and says when it is to be left out: after too many failures, for a
// time that grows with each time in a row, and then with one attempt at a time until one succeeds. Times are in seconds,
// of any clock that never steps back. It does no I/O.
package health

import "math"

const (
	ejectFailureFraction     = 0.5  // what failed more than this part lately is left out
	maxFailureFraction       = 0.6  // and no more is remembered: two answers bring it back
	FirstEjectionSeconds     = 1.0  // for this long at first, doubled each time,
	maxEjectionSeconds       = 8.0  // up to this
	DecayAttempts            = 10.0 // attempts over which failures are remembered, where each tells as little as an answer,
	UnreachableDecayAttempts = 4.0  // and where each tells that nobody is there
)

// Record is of one backend, or of one class at it. Its zero value has seen nothing.
type Record struct {
	Bad       float64 // part of failures lately
	Ejections int     // in a row
	Ejected   float64 // nothing is sent until then,
	Trial     bool    // then one attempt at a time until one succeeds
}

// Failed books a failure that weighs one in memory attempts, and tells whether it leaves out what the record is of. The
// time for which it does hangs on luck, drawn from 0 to 1, so that nodes do not come back together.
func (r *Record) Failed(now, decayAttempts float64, random func() float64) bool {
	r.Bad = min(maxFailureFraction, r.Bad+(1-r.Bad)/decayAttempts)
	if now < r.Ejected || !r.Trial && r.Bad < ejectFailureFraction {
		return false
	}
	r.Ejections++
	r.Ejected = now + min(maxEjectionSeconds, FirstEjectionSeconds*math.Pow(2, float64(r.Ejections-1)))*(0.75+0.5*random())
	r.Trial = true
	return true
}

// Answered books an answer, and tells whether it ends a time of being left out, as one of what was on its way may.
func (r *Record) Answered(now float64) bool {
	r.Bad *= 1 - 1/DecayAttempts
	if !r.Trial || r.Bad >= ejectFailureFraction {
		return false
	}
	r.Trial, r.Ejections, r.Ejected = false, 0, now
	return true
}
