// Package health does outlier ejection: after too many failures a backend, or a class at it, is ejected for a time that
// grows with each ejection in a row, and then gets one attempt at a time until its failures have decayed. Times are in
// seconds of any monotonic clock. The package does no I/O.
package health

import "math"

const (
	ejectFailureFraction     = 0.5  // from this recent fraction of failures on a backend is ejected
	maxFailureFraction       = 0.6  // upper bound of that fraction: from there two answers end an ejection
	FirstEjectionSeconds     = 1.0  // time of the first ejection, doubled with each further one in a row
	maxEjectionSeconds       = 8.0  // upper bound of the ejection time, before its random factor
	DecayAttempts            = 10.0 // attempts over which a failure decays that says as little as an answer
	UnreachableDecayAttempts = 4.0  // the same for a failure that shows that the backend is unreachable
)

// Record is the health of one backend, or of one class at it. Its zero value has no history.
type Record struct {
	Bad       float64 // recent fraction of failures
	Ejections int     // in a row
	Ejected   float64 // end of the ejection: nothing is sent before it
	Trial     bool    // ejected: once Ejected is over, one attempt at a time until Bad is low enough
}

// Failed records a failure with a weight of one in decayAttempts, and reports whether it causes an ejection. The ejection
// time depends on random, which returns a number from 0 to 1, so that nodes do not resume all at once.
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

// Answered records an answer, and reports whether it ends an ejection. Answers to attempts that were in flight at the
// ejection count too.
func (r *Record) Answered(now float64) bool {
	r.Bad *= 1 - 1/DecayAttempts
	if !r.Trial || r.Bad >= ejectFailureFraction {
		return false
	}
	r.Trial, r.Ejections, r.Ejected = false, 0, now
	return true
}
