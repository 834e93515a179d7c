package discovery

import "time"

// What discovery has to tell counts as told some seconds later whether or not it arrives (PROTOCOL): 6 s after it could be
// reached, for a watch that has fallen silent 2 s after its wait, where that is later, and 4 s after a reload. The times
// below are such that a source has asked again, and been answered, before: a call that hangs, the rest behind it and the
// next call together stay under that. schedule_test.go plays every order of failures against those clocks.

// For an agent of this machine, which pushes the list: asking costs nothing.
const (
	pushWatchWait     = 2 * time.Second         // how long a watch waits for a change: a silent agent is noticed soon
	pushWatchOverrun  = time.Second             // an answer that is later than the wait by this has failed
	pushProbeLimit    = 800 * time.Millisecond  // of a short call after a failure
	pushFullListLimit = 1500 * time.Millisecond // of a call for the whole list
	pushRetryDelay    = 100 * time.Millisecond  // after a failure, half as much more or less
)

// For a discovery at which each call is work for all nodes.
const (
	pollWatchWait     = 20 * time.Second
	pollWatchJitter   = 5 * time.Second // by up to this a watch waits less, so that no two nodes ask in step
	pollWatchOverrun  = 700 * time.Millisecond
	pollProbeLimit    = 3 * time.Second // it may stand in line behind other nodes' calls
	pollFullListLimit = 3 * time.Second
)

// probeWait is how long a call waits that is to tell only what is known by now.
const probeWait = 100 * time.Millisecond

// call is one call for the list.
type call struct {
	whole bool          // for all of it; else for what changed
	wait  time.Duration // how long it waits for a change
	limit time.Duration // it has failed once it took this
}

// schedule decides what a source asks next. It is pure; its zero value has failed at nothing.
type schedule struct {
	push  bool
	whole bool // the whole list is still to be asked for
	doubt bool // a call has failed, and none was answered since: what is known may be old
	again bool // a call that was silent was followed by another at once
}

// next is the call to make; luck is a random number from 0 to 1.
func (s *schedule) next(luck float64) call {
	watchWait := pollWatchWait - time.Duration(luck*float64(pollWatchJitter))
	overrun, probeLimit, fullListLimit := pollWatchOverrun, pollProbeLimit, pollFullListLimit
	if s.push {
		watchWait = pushWatchWait
		overrun, probeLimit, fullListLimit = pushWatchOverrun, pushProbeLimit, pushFullListLimit
	}
	switch {
	case s.whole:
		return call{whole: true, limit: fullListLimit}
	case s.doubt: // whether anything was missed is to be known soon: a watch that is silent once more would not tell
		return call{wait: probeWait, limit: probeLimit}
	default:
		return call{wait: watchWait, limit: watchWait + overrun}
	}
}

// answered records that a call was answered, with a list that discovery had at a version not below the one that was asked
// from; one below counts anew, and what it has is to be asked for as a whole.
func (s *schedule) answered(behind bool) {
	s.whole, s.doubt, s.again = behind, false, false
}

// failed records that a call has failed, by silence or otherwise, and returns how long to rest before the next one. Where
// lists are not pushed the decision module says when, and ok is false; but a silence is not discovery's word that it can't
// answer, and has cost time already, so that one call follows at once.
func (s *schedule) failed(silent bool, luck float64) (rest time.Duration, ok bool) {
	s.doubt = true
	switch {
	case s.push:
		return time.Duration(float64(pushRetryDelay) * (0.5 + luck)), true
	case silent && !s.again:
		s.again = true
		return 0, true
	}
	s.again = false
	return 0, false
}
