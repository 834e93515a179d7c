package discovery

import "time"

// PROTOCOL: an update of discovery counts as received after a time, whether it arrives or not: 6 s after discovery can be
// reached again; for a watch that stops responding 2 s after its wait, if that is later; 4 s after a reload. The times below
// ensure that a source has called again and got its response by then: a call that hangs, the pause after it and the next call
// together take less. schedule_test.go checks this for random sequences of failures.

// Times for an agent on this machine, which pushes the list and where calls are cheap.
const (
	pushWatchWait     = 2 * time.Second         // how long a watch waits for a change; short, to detect an agent that does not respond
	pushWatchOverrun  = time.Second             // a watch fails if its response takes longer than its wait by this
	pushProbeLimit    = 800 * time.Millisecond  // time limit of a short call after a failure
	pushFullListLimit = 1500 * time.Millisecond // time limit of a call for the full list
	pushRetryDelay    = 100 * time.Millisecond  // after a failure, with a jitter of half of it
)

// Times for a discovery where each call competes with those of all nodes.
const (
	pollWatchWait     = 20 * time.Second
	pollWatchJitter   = 5 * time.Second // shortens a watch at random by up to this, so that nodes don't poll in step
	pollWatchOverrun  = 700 * time.Millisecond
	pollProbeLimit    = 3 * time.Second // it may be queued behind other nodes' calls
	pollFullListLimit = 3 * time.Second
)

// probeWait is the wait of a call that only asks for the changes so far.
const probeWait = 100 * time.Millisecond

// call describes one call for the list.
type call struct {
	full  bool          // for the full list; otherwise for changes
	wait  time.Duration // how long the discovery waits for a change
	limit time.Duration // time limit of the call
}

// schedule decides the next call of a source. It has no clock and does no I/O. The zero value polls and has had no failure.
type schedule struct {
	push           bool
	needFull       bool // the full list has to be requested
	afterFailure   bool // the last call has failed: the current list may be stale
	retriedTimeout bool // the last call was an immediate retry after a timeout
}

// next returns the next call; random is a random number from 0 to 1.
func (s *schedule) next(random float64) call {
	watchWait := pollWatchWait - time.Duration(random*float64(pollWatchJitter))
	overrun, probeLimit, fullListLimit := pollWatchOverrun, pollProbeLimit, pollFullListLimit
	if s.push {
		watchWait = pushWatchWait
		overrun, probeLimit, fullListLimit = pushWatchOverrun, pushProbeLimit, pushFullListLimit
	}
	switch {
	case s.needFull:
		return call{full: true, limit: fullListLimit}
	case s.afterFailure: // a short call finds missed changes soon; another watch might get no response again
		return call{wait: probeWait, limit: probeLimit}
	default:
		return call{wait: watchWait, limit: watchWait + overrun}
	}
}

// answered records that a call was answered. reset is set if the version of the response is below the one asked from: discovery
// has restarted its versions, and the full list has to be requested.
func (s *schedule) answered(reset bool) {
	s.needFull, s.afterFailure, s.retriedTimeout = reset, false, false
}

// refused records that nobody listened at discovery's address: its process is gone, and the next one there may have other versions, so
// that a watch from the current one could miss changes. The full list has to be requested.
func (s *schedule) refused() { s.needFull = true }

// failed records that a call has failed, and returns how long to pause before the next one. If lists are not pushed the policy
// decides when, and retry is false. The exception is the first timeout in a row: as it does not show that discovery is down, and
// has already taken time, one call follows at once.
func (s *schedule) failed(timedOut bool, random float64) (pause time.Duration, retry bool) {
	s.afterFailure = true
	switch {
	case s.push:
		return time.Duration(float64(pushRetryDelay) * (0.5 + random)), true
	case timedOut && !s.retriedTimeout:
		s.retriedTimeout = true
		return 0, true
	}
	s.retriedTimeout = false
	return 0, false
}
