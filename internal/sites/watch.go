package sites

import (
	"fmt"
	"math"
	"slices"
)

// State is the health state of a site as one node sees it.
type State uint8

const (
	Serving   State = iota // its backends answer
	Suspected              // some of its backends don't answer, and no other has answered since
	Lost                   // none of its backends answers, or the list has none of them ready
	Returning              // it answers again, and gets its load back in steps
)

func (s State) String() string { return [...]string{"serving", "in doubt", "lost", "returning"}[s] }

// Outcome is the outcome of an attempt, as evidence of whether the backend is up.
type Outcome uint8

const (
	Answered      Outcome = iota // any response
	ConnectFailed                // no connection was established
	TimedOut                     // no response in time
	Reset                        // the connection was lost
	Inconclusive                 // cancelled or never sent: no evidence
)

// The thresholds for changes of a site's state. docs/design/site-loss.md has their cost and error rates.
const (
	lossQuorum             = 3    // silent backends that indicate a loss; all of them where the site has fewer
	timeoutFactor          = 4.0  // a backend may take this many times the mean latency to answer,
	minTimeoutSeconds      = 0.25 // but at least this long, since a pause of the backend can last as long,
	maxTimeoutSeconds      = 1.0  // and at most this long
	latencyDecayAnswers    = 50.0 // answers over which the mean latency decays
	initialLatencySeconds  = 0.1  // mean latency before the first answer
	probeIntervalSeconds   = 0.5  // between probes of a lost site
	confirmIntervalSeconds = 0.25 // between probes that distinguish a loss from an overload
	unreachableQuorum      = 2    // backends without a connection that confirm a loss; all of them where the site has fewer
	hangSeconds            = 4.0  // a site that accepts connections but is silent for this long is lost too
	minStepSeconds         = 0.5  // of a step of the return
	minStepAnswers         = 2    // that a step needs: a lack of evidence does not count as health
	maxStepFailureFraction = 0.2  // of a step's attempts; above it the return goes back a step
	minStepAttempts        = 5    // in a step before maxStepFailureFraction applies
	stepBackPauseSeconds   = 2.0  // before the next step after a step back
	lossCountResetSeconds  = 60.0 // a loss this long after the last return counts as the first one
	firstHoldSeconds       = 2.0  // hold time of a site at its second loss in a row, doubled with each further one
	maxHoldSeconds         = 30.0 // of the hold time
)

// recoverySteps are the fractions of its normal load that a returning site gets.
var recoverySteps = []float64{0.2, 0.5, 1}

// Backend is a backend as in the list.
type Backend struct {
	ID       uint32
	Site     string
	Ready    bool    // it takes new requests
	Launched float64 // time of its start; 0 for long ago
}

// Change is a change of a site's state.
type Change struct {
	Site     string
	From, To State
	Reason   string
}

type backendState struct {
	Backend
	inFlight     int
	waitingSince float64 // start of the wait for its next answer; below 0 if none is due
	failedSince  float64 // first failure since its last answer; below 0 if there is none
	probeFailed  bool    // the failure is that of a probe, not of an attempt
}

// silentSince returns since when a backend has failed to give an answer that was due, and false if it has not failed and
// has not been waited for longer than timeout. An answer is due after latency.
func (b *backendState) silentSince(now, latency, timeout float64) (float64, bool) {
	switch {
	case b.failedSince >= 0:
		return b.failedSince, true
	case b.waitingSince >= 0 && now-b.waitingSince > timeout:
		return b.waitingSince + latency, true
	}
	return 0, false
}

type siteState struct {
	state            State
	since            float64
	reason           string
	lastAnswer       float64 // time of the last answer
	latency          float64 // mean latency of answers
	losses           int     // in a row
	recoveredAt      float64 // end of its last return
	heldUntil        float64 // no probe and no return before this
	probedAt         float64 // time of the last probe
	nextProbe        int     // index of the backend to probe, in turn
	step             int
	stepStart        float64
	pausedUntil      float64 // no next step before this
	answers          int     // answered attempts in this step
	failures         int     // failed attempts in this step
	haltReason       string  // why the return does not proceed
	unreachable      int     // backends in a row to which no connection was established, since one was or a backend answered
	lastUnreachable  uint32  // the latest of them
	delisted         bool    // the list has had none of its backends ready since the loss
	suspectAttempts  int     // attempts since a backend of the site fell silent
	lossAttempts     int     // attempts that were spent until its last loss was detected
	detectionSeconds float64 // time from the first silent backend to the detection
}

// Watch derives the state of each site from the outcomes of this node's attempts and from the list.
type Watch struct {
	now      float64
	backends map[uint32]*backendState
	order    []*backendState // by id
	sites    map[string]*siteState
}

// NewWatch returns a watch without backends.
func NewWatch() *Watch {
	return &Watch{backends: map[uint32]*backendState{}, sites: map[string]*siteState{}}
}

func (w *Watch) advance(now float64) { w.now = max(w.now, now) }

// SetBackends replaces the list of backends.
func (w *Watch) SetBackends(now float64, backends []Backend) {
	w.advance(now)
	old := w.backends
	w.backends, w.order = make(map[uint32]*backendState, len(backends)), w.order[:0]
	for _, b := range backends {
		x := old[b.ID]
		if x == nil || x.Launched != b.Launched {
			x = &backendState{waitingSince: -1, failedSince: -1}
		}
		x.Backend = b
		w.backends[b.ID] = x
		w.order = append(w.order, x)
		if w.sites[b.Site] == nil {
			w.sites[b.Site] = &siteState{since: w.now, lastAnswer: w.now, latency: initialLatencySeconds, recoveredAt: math.Inf(-1)}
		}
	}
	slices.SortFunc(w.order, func(a, b *backendState) int { return int(int64(a.ID) - int64(b.ID)) })
}

// RecordSend records the start of an attempt at a backend.
func (w *Watch) RecordSend(now float64, id uint32) {
	w.advance(now)
	b := w.backends[id]
	if b == nil {
		return
	}
	if b.inFlight++; b.waitingSince < 0 {
		b.waitingSince = w.now
	}
	w.sites[b.Site].suspectAttempts++
}

// RecordOutcome records the outcome of an attempt and the seconds that it took.
func (w *Watch) RecordOutcome(now float64, id uint32, outcome Outcome, took float64) {
	w.advance(now)
	b := w.backends[id]
	if b == nil {
		return
	}
	s := w.sites[b.Site]
	b.inFlight = max(0, b.inFlight-1)
	switch outcome {
	case Answered:
		b.waitingSince, b.failedSince, b.probeFailed = -1, -1, false
		if b.inFlight > 0 {
			b.waitingSince = w.now
		}
		s.lastAnswer, s.unreachable = w.now, 0
		s.answers++
		s.latency += (took - s.latency) / latencyDecayAnswers
	case ConnectFailed, TimedOut, Reset:
		if outcome == ConnectFailed {
			s.countUnreachable(id)
		}
		if b.failedSince < 0 { // the failure dates from when the answer was due
			b.failedSince = w.now - max(0, took-s.latency)
		}
		s.failures++
	}
	if b.inFlight == 0 {
		b.waitingSince = -1
	}
}

// countUnreachable counts a backend to which no connection was established.
func (s *siteState) countUnreachable(id uint32) {
	if s.unreachable == 0 || id != s.lastUnreachable {
		s.unreachable++
		s.lastUnreachable = id
	}
}

// RecordProbe records whether a connection that Update asked for was established.
func (w *Watch) RecordProbe(now float64, id uint32, up bool) (changes []Change) {
	w.advance(now)
	b := w.backends[id]
	if b == nil {
		return nil
	}
	s := w.sites[b.Site]
	switch {
	case !up:
		s.countUnreachable(id)
		if b.failedSince < 0 {
			b.failedSince, b.probeFailed = w.now, true
		}
	case s.state == Lost:
		w.clearFailures(b.Site)
		s.unreachable = 0
		changes = w.setState(changes, b.Site, Returning, "a connection to it was established")
	default:
		s.unreachable = 0
		if b.probeFailed {
			b.failedSince, b.probeFailed = -1, false
		}
	}
	return changes
}

// clearFailures forgets the failures and pending answers of a site's backends.
func (w *Watch) clearFailures(name string) {
	for _, b := range w.order {
		if b.Site == name {
			b.waitingSince, b.failedSince, b.probeFailed = -1, -1, false
		}
	}
}

func (w *Watch) setState(changes []Change, name string, to State, reason string) []Change {
	s := w.sites[name]
	c := Change{name, s.state, to, reason}
	s.state, s.since, s.reason, s.haltReason = to, w.now, reason, ""
	switch to {
	case Lost:
		if c.From == Returning || w.now-s.recoveredAt < lossCountResetSeconds {
			s.losses++
		} else {
			s.losses = 1
		}
		s.heldUntil = w.now
		if s.losses > 1 {
			s.heldUntil += min(maxHoldSeconds, firstHoldSeconds*math.Pow(2, float64(s.losses-2)))
		}
	case Returning:
		w.startStep(s, 0)
	case Serving:
		s.recoveredAt, s.delisted = w.now, false
	}
	return append(changes, c)
}

// startStep starts a step of a return.
func (w *Watch) startStep(s *siteState, step int) {
	s.step, s.stepStart, s.answers, s.failures = step, w.now, 0, 0
}

// siteNames returns the names of all known sites, sorted.
func (w *Watch) siteNames() []string {
	var out []string
	for name := range w.sites {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Update advances the state of all sites to now, and returns the changes and the backends to probe with a connection.
func (w *Watch) Update(now float64) (changes []Change, probe []uint32) {
	w.advance(now)
	for _, name := range w.siteNames() {
		s := w.sites[name]
		ready, silentSince := w.evidence(name, s)
		quorum := min(lossQuorum, ready)
		// silentQuorum reports whether no backend has answered since n of them fell silent. One that fails by itself has been
		// silent for longer than that: others have answered since.
		silentQuorum := func(n int) bool { return n > 0 && len(silentSince) >= n && s.lastAnswer < silentSince[n-1] }
		timedOut := silentQuorum(quorum) && w.now-silentSince[quorum-1] >= s.answerTimeout()
		// Attempts time out in an overload as in a loss, but the kernels of overloaded backends still accept connections.
		unresponsive := timedOut && (s.unreachable >= min(unreachableQuorum, ready) || w.now-silentSince[quorum-1] >= hangSeconds)
		// A node that sends little to a site, or has ejected its failing backends one by one, gets too little evidence from
		// attempts. It probes the site instead.
		if (timedOut || silentQuorum(min(2, quorum))) && !unresponsive && s.state != Lost && w.now-s.probedAt >= confirmIntervalSeconds {
			for range unreachableQuorum {
				if id, ok := w.nextBackend(name, s); ok {
					probe = append(probe, id)
				}
			}
		}
		s.delisted = s.delisted || s.state >= Lost && ready == 0
		switch s.state {
		case Serving, Suspected:
			switch {
			case ready == 0 && s.everSeen():
				changes = w.setState(changes, name, Lost, "the list has none of its backends ready")
			case unresponsive:
				s.detectionSeconds = w.now - silentSince[0]
				s.lossAttempts = s.suspectAttempts
				changes = w.setState(changes, name, Lost, fmt.Sprintf("%d backends do not answer, and none has answered for %.2f s", len(silentSince), w.now-s.lastAnswer))
			case s.state == Serving && silentQuorum(min(2, quorum)):
				changes = w.setState(changes, name, Suspected, fmt.Sprintf("%d backends do not answer", len(silentSince)))
			case s.state == Suspected && !silentQuorum(min(2, quorum)):
				changes = w.setState(changes, name, Serving, "its backends answer")
			}
			if len(silentSince) == 0 {
				s.suspectAttempts = 0
			}
		case Lost:
			if s.lastAnswer > s.since && ready > 0 && w.now >= s.heldUntil {
				w.clearFailures(name)
				changes = w.setState(changes, name, Returning, "its backends answered")
			} else if id, ok := w.probeTarget(name, s); ok {
				probe = append(probe, id)
			}
		case Returning:
			changes = w.advanceRecovery(changes, name, s, ready, unresponsive)
		}
	}
	return changes, probe
}

// everSeen reports whether the site has been listed after time 0, or has been sent an attempt.
func (s *siteState) everSeen() bool { return s.lastAnswer > 0 || s.suspectAttempts > 0 }

// answerTimeout returns the time after which a backend of the site that does not answer counts as silent.
func (s *siteState) answerTimeout() float64 {
	return min(maxTimeoutSeconds, max(minTimeoutSeconds, timeoutFactor*s.latency))
}

// evidence returns the number of a site's ready backends and, sorted, since when the silent ones among them are.
func (w *Watch) evidence(name string, s *siteState) (ready int, silentSince []float64) {
	for _, b := range w.order {
		if b.Site != name || !b.Ready {
			continue
		}
		ready++
		if since, silent := b.silentSince(w.now, s.latency, s.answerTimeout()); silent {
			silentSince = append(silentSince, since)
		}
	}
	slices.Sort(silentSince)
	return ready, silentSince
}

// probeTarget returns the backend of a lost site to probe now, and false if none is due.
func (w *Watch) probeTarget(name string, s *siteState) (uint32, bool) {
	if w.now < s.heldUntil || w.now-s.probedAt < probeIntervalSeconds {
		return 0, false
	}
	return w.nextBackend(name, s)
}

// nextBackend returns the next ready backend of a site to probe, in turn, and records the time of the probe.
func (w *Watch) nextBackend(name string, s *siteState) (uint32, bool) {
	var ready []uint32
	for _, b := range w.order {
		if b.Site == name && b.Ready {
			ready = append(ready, b.ID)
		}
	}
	if len(ready) == 0 {
		return 0, false
	}
	s.probedAt = w.now
	s.nextProbe++
	return ready[s.nextProbe%len(ready)], true
}

// advanceRecovery moves a return one step on or back, ends it, or leaves it at its step.
func (w *Watch) advanceRecovery(changes []Change, name string, s *siteState, ready int, unresponsive bool) []Change {
	attempts := s.answers + s.failures
	switch {
	case ready == 0:
		return w.setState(changes, name, Lost, "the list has none of its backends ready")
	case unresponsive:
		return w.setState(changes, name, Lost, "no backend answered during its return")
	case attempts >= minStepAttempts && float64(s.failures) > maxStepFailureFraction*float64(attempts):
		s.haltReason = fmt.Sprintf("%d of %d attempts were not answered", s.failures, attempts)
		s.pausedUntil = w.now + stepBackPauseSeconds
		w.startStep(s, max(0, s.step-1))
	case w.now < s.pausedUntil || w.now-s.stepStart < minStepSeconds:
	case s.answers < minStepAnswers:
		s.haltReason = fmt.Sprintf("%d answers in this step, at least %d needed", s.answers, minStepAnswers)
	case s.step == len(recoverySteps)-1:
		return w.setState(changes, name, Serving, "its return is complete")
	default:
		s.haltReason = ""
		w.startStep(s, s.step+1)
	}
	return changes
}

// Fraction returns the fraction of its normal load that a site may get from this node now.
func (w *Watch) Fraction(name string) float64 {
	switch s := w.sites[name]; {
	case s == nil:
		return 1
	case s.state == Lost:
		return 0
	case s.state == Returning:
		return recoverySteps[s.step]
	}
	return 1
}

// Delisted reports whether the list has had none of a site's backends ready at some time since the site was lost. While the
// list still has some ready, the loss may be one of links.
func (w *Watch) Delisted(name string) bool {
	s := w.sites[name]
	return s != nil && s.delisted
}

// State returns the state of a site; Serving for an unknown one.
func (w *Watch) State(name string) State {
	if s := w.sites[name]; s != nil {
		return s.state
	}
	return Serving
}
