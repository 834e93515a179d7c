package sites

import (
	"fmt"
	"math"
	"slices"
)

// Standing is how a site stands, as one node sees it.
type Standing uint8

const (
	Serving   Standing = iota // its backends answer
	Doubted                   // some of its boxes say nothing, and none has answered since
	Lost                      // nobody there answers, or the list has taken all of it off
	Returning                 // it answers again, and gets its load back a step at a time
)

func (s Standing) String() string { return [...]string{"serving", "in doubt", "lost", "returning"}[s] }

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
	quorum     = 3    // boxes that say nothing, or all that there are where there are fewer, tell of a site's loss
	patience   = 4.0  // times the usual answer's time that a box may owe one
	patient    = 0.25 // but no less than this, which a pause may last
	patientAt  = 1.0  // and no more than this
	typicalN   = 50.0 // answers over which the usual time is remembered
	firstGuess = 0.1  // before there was any
	probeGap   = 0.5  // between two connections to a lost site that are tried
	askGap     = 0.25 // and between those that are to tell a loss from a crowd
	cutOff     = 2    // boxes, or all, to which none came up tell that it is a loss
	hung       = 4.0  // where connections come up, and nothing else for so long, it is one too
	stepTime   = 0.5  // that a step of the return lasts at least
	stepLeast  = 2    // answers that a step needs: health that is missing is not health
	stepBad    = 0.2  // part of a step's attempts that nobody answers at which it goes back
	stepTries  = 5    // attempts from which on that part counts
	waitAfter  = 2.0  // after a step back nothing moves on for so long
	calmAfter  = 60.0 // a loss longer after the last return than this counts as the first
	holdFirst  = 2.0  // for how long a site that is lost again is held out, doubled each time
	holdMost   = 30.0 // up to this
)

// steps are the parts of its load that a returning site gets.
var steps = []float64{0.2, 0.5, 1}

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
	From, To Standing
	Why      string
}

type watched struct {
	Backend
	open   int
	owes   float64 // since when it owes an answer; below 0 where it owes none
	failed float64 // when it first failed since its last answer; below 0 where it has not
	tried  bool    // that it failed is known by a connection that did not come up, and by no attempt
}

// silentFrom is since when a box has said nothing though an answer was due; false where it has not been silent for longer
// than wait. due is after what time an answer is.
func (b *watched) silentFrom(now, due, wait float64) (float64, bool) {
	switch {
	case b.failed >= 0:
		return b.failed, true
	case b.owes >= 0 && now-b.owes > wait:
		return b.owes + due, true
	}
	return 0, false
}

type site struct {
	standing Standing
	since    float64
	why      string
	answered float64 // when it last did
	typical  float64 // time of an answer
	losses   int     // in a row
	back     float64 // when it last was back whole
	held     float64 // nothing is tried there until then
	probed   float64 // when a connection was last tried,
	next     int     // and which box is tried next
	step     int
	stepAt   float64
	stays    float64 // no step on before this
	good     int     // attempts of this step that were answered,
	bad      int     // and that were not
	halted   string  // why the return stands still
	unreach  int     // boxes in a row to which no connection came up, since one did or anything was answered,
	nobodyAt uint32  // the latest of them
	gone     bool    // the list has had none of its boxes ready since it was lost
	spent    int     // attempts since the first sign of its loss
	fell     int     // attempts that its last loss took to be seen
	took     float64 // and how long that was, from the first sign on
}

// Watch holds each site's standing from what this node meets itself.
type Watch struct {
	now   float64
	boxes map[uint32]*watched
	order []*watched // by id
	sites map[string]*site
}

// NewWatch returns a watch that knows no box.
func NewWatch() *Watch { return &Watch{boxes: map[uint32]*watched{}, sites: map[string]*site{}} }

func (w *Watch) at(now float64) { w.now = max(w.now, now) }

// Listed sets the boxes that there are.
func (w *Watch) Listed(now float64, boxes []Backend) {
	w.at(now)
	old := w.boxes
	w.boxes, w.order = make(map[uint32]*watched, len(boxes)), w.order[:0]
	for _, b := range boxes {
		x := old[b.ID]
		if x == nil || x.Launched != b.Launched {
			x = &watched{owes: -1, failed: -1}
		}
		x.Backend = b
		w.boxes[b.ID] = x
		w.order = append(w.order, x)
		if w.sites[b.Site] == nil {
			w.sites[b.Site] = &site{since: w.now, answered: w.now, typical: firstGuess, back: math.Inf(-1)}
		}
	}
	slices.SortFunc(w.order, func(a, b *watched) int { return int(int64(a.ID) - int64(b.ID)) })
}

// Sent notes that an attempt at a box begins.
func (w *Watch) Sent(now float64, id uint32) {
	w.at(now)
	b := w.boxes[id]
	if b == nil {
		return
	}
	if b.open++; b.owes < 0 {
		b.owes = w.now
	}
	w.sites[b.Site].spent++
}

// Ended notes what became of an attempt, that took so long.
func (w *Watch) Ended(now float64, id uint32, r Outcome, took float64) {
	w.at(now)
	b := w.boxes[id]
	if b == nil {
		return
	}
	s := w.sites[b.Site]
	b.open = max(0, b.open-1)
	switch r {
	case Answered:
		b.owes, b.failed, b.tried = -1, -1, false
		if b.open > 0 {
			b.owes = w.now
		}
		s.answered, s.unreach = w.now, 0
		s.good++
		s.typical += (took - s.typical) / typicalN
	case ConnectFailed, TimedOut, Reset:
		if r == ConnectFailed {
			s.nobody(id)
		}
		if b.failed < 0 { // what was sent just before a site went was due just after
			b.failed = w.now - max(0, took-s.typical)
		}
		s.bad++
	}
	if b.open == 0 {
		b.owes = -1
	}
}

// nobody counts a box to which no connection came up.
func (s *site) nobody(id uint32) {
	if s.unreach == 0 || id != s.nobodyAt {
		s.unreach++
		s.nobodyAt = id
	}
}

// Probed notes whether a connection to a box came up, that Look had asked for.
func (w *Watch) Probed(now float64, id uint32, up bool) (changes []Change) {
	w.at(now)
	b := w.boxes[id]
	if b == nil {
		return nil
	}
	s := w.sites[b.Site]
	switch {
	case !up:
		s.nobody(id)
		if b.failed < 0 {
			b.failed, b.tried = w.now, true
		}
	case s.standing == Lost:
		w.clear(b.Site)
		s.unreach = 0
		changes = w.turn(changes, b.Site, Returning, "a connection to it came up")
	default:
		s.unreach = 0
		if b.tried {
			b.failed, b.tried = -1, false
		}
	}
	return changes
}

// clear forgets what boxes of a site owe.
func (w *Watch) clear(name string) {
	for _, b := range w.order {
		if b.Site == name {
			b.owes, b.failed, b.tried = -1, -1, false
		}
	}
}

func (w *Watch) turn(changes []Change, name string, to Standing, why string) []Change {
	s := w.sites[name]
	c := Change{name, s.standing, to, why}
	s.standing, s.since, s.why, s.halted = to, w.now, why, ""
	switch to {
	case Lost:
		if c.From == Returning || w.now-s.back < calmAfter {
			s.losses++
		} else {
			s.losses = 1
		}
		s.held = w.now
		if s.losses > 1 {
			s.held += min(holdMost, holdFirst*math.Pow(2, float64(s.losses-2)))
		}
	case Returning:
		w.begin(s, 0)
	case Serving:
		s.back, s.gone = w.now, false
	}
	return append(changes, c)
}

// begin begins a step of a return.
func (w *Watch) begin(s *site, step int) { s.step, s.stepAt, s.good, s.bad = step, w.now, 0, 0 }

// names are the sites that are known, in order.
func (w *Watch) names() []string {
	var out []string
	for name := range w.sites {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Look brings every site's standing up to the time, and says to which boxes a connection is to be tried.
func (w *Watch) Look(now float64) (changes []Change, probe []uint32) {
	w.at(now)
	for _, name := range w.names() {
		s := w.sites[name]
		ready, silent := w.evidence(name, s)
		need := min(quorum, ready)
		// Nobody has answered since as many as it takes fell silent: one that is bad by itself has been for long.
		since := func(n int) bool { return n > 0 && len(silent) >= n && s.answered < silent[n-1] }
		quiet := since(need) && w.now-silent[need-1] >= s.wait()
		// A crowd times out as a loss does. Connections tell: the kernels of a crowd's boxes still take them.
		dead := quiet && (s.unreach >= min(cutOff, ready) || w.now-silent[need-1] >= hung)
		// A node that sends little to a site, or has left its bad boxes out one by one, asks what it has no answer of.
		if (quiet || since(min(2, need))) && !dead && s.standing != Lost && w.now-s.probed >= askGap {
			for range cutOff {
				if id, ok := w.nextBox(name, s); ok {
					probe = append(probe, id)
				}
			}
		}
		s.gone = s.gone || s.standing >= Lost && ready == 0
		switch s.standing {
		case Serving, Doubted:
			switch {
			case ready == 0 && s.seen():
				changes = w.turn(changes, name, Lost, "the list has none of its boxes ready")
			case dead:
				s.took = w.now - silent[0]
				s.fell = s.spent
				changes = w.turn(changes, name, Lost, fmt.Sprintf("%d boxes say nothing, and none has answered for %.2f s", len(silent), w.now-s.answered))
			case s.standing == Serving && since(min(2, need)):
				changes = w.turn(changes, name, Doubted, fmt.Sprintf("%d boxes say nothing", len(silent)))
			case s.standing == Doubted && !since(min(2, need)):
				changes = w.turn(changes, name, Serving, "it answers")
			}
			if len(silent) == 0 {
				s.spent = 0
			}
		case Lost:
			if s.answered > s.since && ready > 0 && w.now >= s.held {
				w.clear(name)
				changes = w.turn(changes, name, Returning, "it answered")
			} else if id, ok := w.toProbe(name, s); ok {
				probe = append(probe, id)
			}
		case Returning:
			changes = w.ramp(changes, name, s, ready, dead)
		}
	}
	return changes, probe
}

// seen tells whether the site ever had a box ready here.
func (s *site) seen() bool { return s.answered > 0 || s.spent > 0 }

// wait is for how long a box of the site may owe an answer.
func (s *site) wait() float64 { return min(patientAt, max(patient, patience*s.typical)) }

// evidence counts a site's boxes that may be used, and lists since when those of them that say nothing do, in order.
func (w *Watch) evidence(name string, s *site) (ready int, silent []float64) {
	for _, b := range w.order {
		if b.Site != name || !b.Ready {
			continue
		}
		ready++
		if at, is := b.silentFrom(w.now, s.typical, s.wait()); is {
			silent = append(silent, at)
		}
	}
	slices.Sort(silent)
	return ready, silent
}

// toProbe is the box of a lost site to which a connection is to be tried now, in turns.
func (w *Watch) toProbe(name string, s *site) (uint32, bool) {
	if w.now < s.held || w.now-s.probed < probeGap {
		return 0, false
	}
	return w.nextBox(name, s)
}

// nextBox is the next of a site's boxes to which a connection is tried.
func (w *Watch) nextBox(name string, s *site) (uint32, bool) {
	var ready []uint32
	for _, b := range w.order {
		if b.Site == name && b.Ready {
			ready = append(ready, b.ID)
		}
	}
	if len(ready) == 0 {
		return 0, false
	}
	s.probed = w.now
	s.next++
	return ready[s.next%len(ready)], true
}

// ramp moves a return on, back or nowhere.
func (w *Watch) ramp(changes []Change, name string, s *site, ready int, dead bool) []Change {
	tried := s.good + s.bad
	switch {
	case ready == 0:
		return w.turn(changes, name, Lost, "the list has none of its boxes ready")
	case dead:
		return w.turn(changes, name, Lost, "nobody answers there again")
	case tried >= stepTries && float64(s.bad) > stepBad*float64(tried):
		s.halted = fmt.Sprintf("%d of %d attempts were not answered", s.bad, tried)
		s.stays = w.now + waitAfter
		w.begin(s, max(0, s.step-1))
	case w.now < s.stays || w.now-s.stepAt < stepTime:
	case s.good < stepLeast:
		s.halted = fmt.Sprintf("%d answers in this step, and %d are the least", s.good, stepLeast)
	case s.step == len(steps)-1:
		return w.turn(changes, name, Serving, "its return is over")
	default:
		s.halted = ""
		w.begin(s, s.step+1)
	}
	return changes
}

// Part is the part of its usual load that a site may get from here now.
func (w *Watch) Part(name string) float64 {
	switch s := w.sites[name]; {
	case s == nil:
		return 1
	case s.standing == Lost:
		return 0
	case s.standing == Returning:
		return steps[s.step]
	}
	return 1
}

// Gone tells whether the list has had none of a site's boxes ready since it was lost. While it still tells them as ready it
// may be the links to them that are lost.
func (w *Watch) Gone(name string) bool {
	s := w.sites[name]
	return s != nil && s.gone
}

// Of is a site's standing.
func (w *Watch) Of(name string) Standing {
	if s := w.sites[name]; s != nil {
		return s.standing
	}
	return Serving
}
