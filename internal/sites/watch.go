package sites

import (
	"fmt"
	"math"
	"slices"
)

// State is how a site stands, as one node sees it.
type State uint8

const (
	Serving   State = iota // its backends answer
	Suspected              // some of its boxes say nothing, and none has answered since
	Lost                   // nobody there answers, or the list has taken all of it off
	Returning              // it answers again, and gets its load back a step at a time
)

func (s State) String() string { return [...]string{"serving", "in doubt", "lost", "returning"}[s] }

// Outcome is what became of an attempt, as far as it tells whether anybody is there.
type Outcome uint8

const (
	Answered      Outcome = iota // something came back, whatever it says
	ConnectFailed                // no connection came up
	TimedOut                     // nothing came back in time
	Reset                        // the connection broke
	Inconclusive                 // it was given up, or never made: it tells nothing
)

// The rules by which a site's standing changes. What they cost and how often they err is in docs/design/site-loss.md.
const (
	lossQuorum             = 3    // boxes that say nothing, or all that there are where there are fewer, tell of a site's loss
	timeoutFactor          = 4.0  // times the usual answer's time that a box may owe one
	minTimeoutSeconds      = 0.25 // but no less than this, which a pause may last
	maxTimeoutSeconds      = 1.0  // and no more than this
	latencyDecayAnswers    = 50.0 // answers over which the usual time is remembered
	initialLatencySeconds  = 0.1  // before there was any
	probeIntervalSeconds   = 0.5  // between two connections to a lost site that are tried
	confirmIntervalSeconds = 0.25 // and between those that are to tell a loss from a crowd
	unreachableQuorum      = 2    // boxes, or all, to which none came up tell that it is a loss
	hangSeconds            = 4.0  // where connections come up, and nothing else for so long, it is one too
	minStepSeconds         = 0.5  // that a step of the return lasts at least
	minStepAnswers         = 2    // answers that a step needs: health that is missing is not health
	maxStepFailureFraction = 0.2  // part of a step's attempts that nobody answers at which it goes back
	minStepAttempts        = 5    // attempts from which on that part counts
	stepBackPauseSeconds   = 2.0  // after a step back nothing moves on for so long
	lossCountResetSeconds  = 60.0 // a loss longer after the last return than this counts as the first
	firstHoldSeconds       = 2.0  // for how long a site that is lost again is held out, doubled each time
	maxHoldSeconds         = 30.0 // up to this
)

// recoverySteps are the parts of its load that a returning site gets.
var recoverySteps = []float64{0.2, 0.5, 1}

// Backend is one box as the list has it.
type Backend struct {
	ID       uint32
	Site     string
	Ready    bool    // it may be sent something new
	Launched float64 // 0 for one that started long ago
}

// Change is a site's new standing.
type Change struct {
	Site     string
	From, To State
	Reason   string
}

type backendState struct {
	Backend
	inFlight     int
	waitingSince float64 // since when it owes an answer; below 0 where it owes none
	failedSince  float64 // when it first failed since its last answer; below 0 where it has not
	probeFailed  bool    // that it failed is known by a connection that did not come up, and by no attempt
}

// silentSince is since when a box has said nothing though an answer was due; false where it has not been silent for longer
// than wait. due is after what time an answer is.
func (b *backendState) silentSince(now, due, wait float64) (float64, bool) {
	switch {
	case b.failedSince >= 0:
		return b.failedSince, true
	case b.waitingSince >= 0 && now-b.waitingSince > wait:
		return b.waitingSince + due, true
	}
	return 0, false
}

type siteState struct {
	state            State
	since            float64
	reason           string
	lastAnswer       float64 // when it last did
	latency          float64 // time of an answer
	losses           int     // in a row
	recoveredAt      float64 // when it last was back whole
	heldUntil        float64 // nothing is tried there until then
	probedAt         float64 // when a connection was last tried,
	nextProbe        int     // and which box is tried next
	step             int
	stepStart        float64
	pausedUntil      float64 // no step on before this
	answers          int     // attempts of this step that were answered,
	failures         int     // and that were not
	haltReason       string  // why the return stands still
	unreachable      int     // boxes in a row to which no connection came up, since one did or anything was answered,
	lastUnreachable  uint32  // the latest of them
	delisted         bool    // the list has had none of its boxes ready since it was lost
	suspectAttempts  int     // attempts since the first sign of its loss
	lossAttempts     int     // attempts that its last loss took to be seen
	detectionSeconds float64 // and how long that was, from the first sign on
}

// Watch holds each site's standing from what this node meets itself.
type Watch struct {
	now   float64
	boxes map[uint32]*backendState
	order []*backendState // by id
	sites map[string]*siteState
}

// NewWatch returns a watch that knows no box.
func NewWatch() *Watch {
	return &Watch{boxes: map[uint32]*backendState{}, sites: map[string]*siteState{}}
}

func (w *Watch) advance(now float64) { w.now = max(w.now, now) }

// ApplyList sets the boxes that there are.
func (w *Watch) ApplyList(now float64, boxes []Backend) {
	w.advance(now)
	old := w.boxes
	w.boxes, w.order = make(map[uint32]*backendState, len(boxes)), w.order[:0]
	for _, b := range boxes {
		x := old[b.ID]
		if x == nil || x.Launched != b.Launched {
			x = &backendState{waitingSince: -1, failedSince: -1}
		}
		x.Backend = b
		w.boxes[b.ID] = x
		w.order = append(w.order, x)
		if w.sites[b.Site] == nil {
			w.sites[b.Site] = &siteState{since: w.now, lastAnswer: w.now, latency: initialLatencySeconds, recoveredAt: math.Inf(-1)}
		}
	}
	slices.SortFunc(w.order, func(a, b *backendState) int { return int(int64(a.ID) - int64(b.ID)) })
}

// RecordSend notes that an attempt at a box begins.
func (w *Watch) RecordSend(now float64, id uint32) {
	w.advance(now)
	b := w.boxes[id]
	if b == nil {
		return
	}
	if b.inFlight++; b.waitingSince < 0 {
		b.waitingSince = w.now
	}
	w.sites[b.Site].suspectAttempts++
}

// RecordOutcome notes what became of an attempt, that took so long.
func (w *Watch) RecordOutcome(now float64, id uint32, r Outcome, took float64) {
	w.advance(now)
	b := w.boxes[id]
	if b == nil {
		return
	}
	s := w.sites[b.Site]
	b.inFlight = max(0, b.inFlight-1)
	switch r {
	case Answered:
		b.waitingSince, b.failedSince, b.probeFailed = -1, -1, false
		if b.inFlight > 0 {
			b.waitingSince = w.now
		}
		s.lastAnswer, s.unreachable = w.now, 0
		s.answers++
		s.latency += (took - s.latency) / latencyDecayAnswers
	case ConnectFailed, TimedOut, Reset:
		if r == ConnectFailed {
			s.countUnreachable(id)
		}
		if b.failedSince < 0 { // what was sent just before a site went was due just after
			b.failedSince = w.now - max(0, took-s.latency)
		}
		s.failures++
	}
	if b.inFlight == 0 {
		b.waitingSince = -1
	}
}

// countUnreachable counts a box to which no connection came up.
func (s *siteState) countUnreachable(id uint32) {
	if s.unreachable == 0 || id != s.lastUnreachable {
		s.unreachable++
		s.lastUnreachable = id
	}
}

// RecordProbe notes whether a connection to a box came up, that Look had asked for.
func (w *Watch) RecordProbe(now float64, id uint32, up bool) (changes []Change) {
	w.advance(now)
	b := w.boxes[id]
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
		changes = w.setState(changes, b.Site, Returning, "a connection to it came up")
	default:
		s.unreachable = 0
		if b.probeFailed {
			b.failedSince, b.probeFailed = -1, false
		}
	}
	return changes
}

// clearFailures forgets what boxes of a site owe.
func (w *Watch) clearFailures(name string) {
	for _, b := range w.order {
		if b.Site == name {
			b.waitingSince, b.failedSince, b.probeFailed = -1, -1, false
		}
	}
}

func (w *Watch) setState(changes []Change, name string, to State, why string) []Change {
	s := w.sites[name]
	c := Change{name, s.state, to, why}
	s.state, s.since, s.reason, s.haltReason = to, w.now, why, ""
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

// startStep begins a step of a return.
func (w *Watch) startStep(s *siteState, step int) {
	s.step, s.stepStart, s.answers, s.failures = step, w.now, 0, 0
}

// siteNames are the sites that are known, in order.
func (w *Watch) siteNames() []string {
	var out []string
	for name := range w.sites {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Update brings every site's standing up to the time, and says to which boxes a connection is to be tried.
func (w *Watch) Update(now float64) (changes []Change, probe []uint32) {
	w.advance(now)
	for _, name := range w.siteNames() {
		s := w.sites[name]
		ready, silent := w.evidence(name, s)
		need := min(lossQuorum, ready)
		// Nobody has answered since as many as it takes fell silent: one that is bad by itself has been for long.
		silentBeyond := func(n int) bool { return n > 0 && len(silent) >= n && s.lastAnswer < silent[n-1] }
		quiet := silentBeyond(need) && w.now-silent[need-1] >= s.answerTimeout()
		// A crowd times out as a loss does. Connections tell: the kernels of a crowd's boxes still take them.
		unresponsive := quiet && (s.unreachable >= min(unreachableQuorum, ready) || w.now-silent[need-1] >= hangSeconds)
		// A node that sends little to a site, or has left its bad boxes out one by one, asks what it has no answer of.
		if (quiet || silentBeyond(min(2, need))) && !unresponsive && s.state != Lost && w.now-s.probedAt >= confirmIntervalSeconds {
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
				changes = w.setState(changes, name, Lost, "the list has none of its boxes ready")
			case unresponsive:
				s.detectionSeconds = w.now - silent[0]
				s.lossAttempts = s.suspectAttempts
				changes = w.setState(changes, name, Lost, fmt.Sprintf("%d boxes say nothing, and none has answered for %.2f s", len(silent), w.now-s.lastAnswer))
			case s.state == Serving && silentBeyond(min(2, need)):
				changes = w.setState(changes, name, Suspected, fmt.Sprintf("%d boxes say nothing", len(silent)))
			case s.state == Suspected && !silentBeyond(min(2, need)):
				changes = w.setState(changes, name, Serving, "it answers")
			}
			if len(silent) == 0 {
				s.suspectAttempts = 0
			}
		case Lost:
			if s.lastAnswer > s.since && ready > 0 && w.now >= s.heldUntil {
				w.clearFailures(name)
				changes = w.setState(changes, name, Returning, "it answered")
			} else if id, ok := w.probeTarget(name, s); ok {
				probe = append(probe, id)
			}
		case Returning:
			changes = w.advanceRecovery(changes, name, s, ready, unresponsive)
		}
	}
	return changes, probe
}

// everSeen tells whether the site ever had a box ready here.
func (s *siteState) everSeen() bool { return s.lastAnswer > 0 || s.suspectAttempts > 0 }

// answerTimeout is for how long a box of the site may owe an answer.
func (s *siteState) answerTimeout() float64 {
	return min(maxTimeoutSeconds, max(minTimeoutSeconds, timeoutFactor*s.latency))
}

// evidence counts a site's boxes that may be used, and lists since when those of them that say nothing do, in order.
func (w *Watch) evidence(name string, s *siteState) (ready int, silent []float64) {
	for _, b := range w.order {
		if b.Site != name || !b.Ready {
			continue
		}
		ready++
		if at, is := b.silentSince(w.now, s.latency, s.answerTimeout()); is {
			silent = append(silent, at)
		}
	}
	slices.Sort(silent)
	return ready, silent
}

// probeTarget is the box of a lost site to which a connection is to be tried now, in turns.
func (w *Watch) probeTarget(name string, s *siteState) (uint32, bool) {
	if w.now < s.heldUntil || w.now-s.probedAt < probeIntervalSeconds {
		return 0, false
	}
	return w.nextBackend(name, s)
}

// nextBackend is the next of a site's boxes to which a connection is tried.
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

// advanceRecovery moves a return on, back or nowhere.
func (w *Watch) advanceRecovery(changes []Change, name string, s *siteState, ready int, unresponsive bool) []Change {
	attempts := s.answers + s.failures
	switch {
	case ready == 0:
		return w.setState(changes, name, Lost, "the list has none of its boxes ready")
	case unresponsive:
		return w.setState(changes, name, Lost, "nobody answers there again")
	case attempts >= minStepAttempts && float64(s.failures) > maxStepFailureFraction*float64(attempts):
		s.haltReason = fmt.Sprintf("%d of %d attempts were not answered", s.failures, attempts)
		s.pausedUntil = w.now + stepBackPauseSeconds
		w.startStep(s, max(0, s.step-1))
	case w.now < s.pausedUntil || w.now-s.stepStart < minStepSeconds:
	case s.answers < minStepAnswers:
		s.haltReason = fmt.Sprintf("%d answers in this step, and %d are the least", s.answers, minStepAnswers)
	case s.step == len(recoverySteps)-1:
		return w.setState(changes, name, Serving, "its return is over")
	default:
		s.haltReason = ""
		w.startStep(s, s.step+1)
	}
	return changes
}

// Fraction is the part of its usual load that a site may get from here now.
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

// Delisted tells whether the list has had none of a site's boxes ready since it was lost. While it still tells them as ready it
// may be the links to them that are lost.
func (w *Watch) Delisted(name string) bool {
	s := w.sites[name]
	return s != nil && s.delisted
}

// State is a site's standing.
func (w *Watch) State(name string) State {
	if s := w.sites[name]; s != nil {
		return s.state
	}
	return Serving
}
