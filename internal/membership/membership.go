// Package membership decides which boxes are in the fleet and where each stands, from the box list and from any number of
// further sources that name boxes, such as the SRV records of a site. It has no clock, no I/O and no goroutine, and is not
// safe for concurrent use: its caller tells it the time, in any unit that never steps back, and what a source said.
//
// The rule on disagreement is the table Rule. What it is for: a box that any source calls draining or gone gets nothing new
// once the grace is over, counted from the first source that told this node; and no source that is silent or broken empties
// the fleet by its silence.
package membership

import (
	"cmp"
	"slices"
	"time"
)

// Box is one process in a list. The JSON names are PROTOCOL's.
type Box struct {
	ID        string `json:"id"`
	Addr      string `json:"addr"`
	Zone      string `json:"zone"`
	Kind      string `json:"kind"`
	Cell      int64  `json:"cell"`
	State     string `json:"state"` // Ready, Gone, and anything else for one that gets nothing new
	StartedMS int64  `json:"started_ms"`
	RPC       string `json:"rpc"` // where it speaks JSON-RPC; "" for a box that does not. Beyond PROTOCOL

	// Addrs are all addresses at which the box answers, Addr among them: IP addresses with ports, or "unix:" and a path. Empty for
	// Addr alone. Beyond PROTOCOL.
	Addrs []string `json:"addrs"`
}

// States of a box in a list.
const (
	Ready    = "Ready"
	Draining = "Terminating"
	Gone     = "Gone"
)

// Word is what one source says of a box now.
type Word uint8

const (
	Silent    Word = iota // nothing, or it has lost its say
	Named                 // it is there
	Withdrawn             // it drains, or was named and is not any more
)

// Rule is the whole rule on disagreement: what the box list says, by what the other sources say together. Other sources
// together say Withdrawn as soon as one of them does. Silent of the list means that it does not know the box.
var Rule = [3][3]struct {
	Use bool   // new requests may go there
	Why string // one line for operators
}{
	Silent: {
		Silent:    {false, "no source knows it"},
		Named:     {false, "only names know it: nothing tells its kind and start"}, // used while the list has lost its say
		Withdrawn: {false, "the names took it back"},
	},
	Named: {
		Silent:    {true, "the list has it"},
		Named:     {true, "all sources have it"},
		Withdrawn: {false, "the names took it back before the list did"},
	},
	Withdrawn: {
		Silent:    {false, "the list says that it drains or is gone"},
		Named:     {false, "the list says that it drains or is gone, the names are behind"},
		Withdrawn: {false, "all sources say that it drains or is gone"},
	},
}

// Config are the figures of a fleet, in the caller's unit of time.
type Config struct {
	Hold  time.Duration // a source that said nothing for so long loses its say
	Doubt time.Duration // for so long a withdrawal of most of a source waits to be taken back; part of the grace
	Calm  time.Duration // how long a box that flaps stays out at first, doubled each time
}

const (
	few      = 3 // a source that named fewer can't withdraw most of the fleet
	flaps    = 3 // returns within memory that are not damped
	memory   = 60 * time.Second
	calmMost = 8 // times Calm at most
)

// Standing is where a box stands, and why.
type Standing struct {
	Box    Box
	Use    bool
	Why    string
	Source string        // that decided
	Told   time.Duration // when it first told
}

// member is what is known of the box at one address.
type member struct {
	box     Box // as the list has it, or as names make it up
	list    Word
	listAt  time.Duration // since when the list says so
	names   map[string]word
	use     bool
	why     string
	source  string
	told    time.Duration
	returns []time.Duration // moments lately at which it came back
	calm    time.Duration   // until then it stays out
	calmed  bool            // and this return has been counted
}

type word struct {
	is Word
	at time.Duration // since when
}

// source is one that names boxes.
type source struct {
	heard   time.Duration
	has     map[string]bool // addresses that it named last
	pending []string        // addresses whose withdrawal is doubted
	until   time.Duration   // and until when
	since   time.Duration   // when it was told
}

// Fleet is what is known of all boxes.
type Fleet struct {
	cfg      Config
	members  map[string]*member // by address
	byID     map[string]string  // addresses of what the list has
	alias    map[string]string  // further addresses of boxes, to the one that they are known by
	sources  map[string]*source
	listAt   time.Duration
	swept    time.Duration // when boxes were last forgotten
	listSays bool          // the list has its say
}

// New returns a fleet of no box.
func New(cfg Config) *Fleet {
	return &Fleet{cfg: cfg, members: map[string]*member{}, byID: map[string]string{}, alias: map[string]string{}, sources: map[string]*source{}, listSays: true}
}

// List takes in the box list, or a change of it, and returns the boxes whose standing follows anew: all that it names, and
// others that changed by it. A full list is the whole of it. The state of a box there is that of its standing.
func (f *Fleet) List(now time.Duration, full bool, boxes []Box) []Standing {
	back := !f.listSays
	f.listAt, f.listSays = now, true
	touched := map[string]bool{}
	if full {
		there := map[string]bool{}
		for i := range boxes {
			there[boxes[i].ID] = true
		}
		for id, addr := range f.byID {
			if !there[id] {
				f.say(now, f.members[addr], Withdrawn)
				f.members[addr].box.State = Gone
				delete(f.byID, id)
				touched[addr] = true
			}
		}
	}
	for _, b := range boxes {
		if old, ok := f.byID[b.ID]; ok && old != b.Addr && b.Addr != "" {
			// The same name at another address is another process; what was at the old one is gone.
			f.say(now, f.members[old], Withdrawn)
			f.members[old].box.State = Gone
			touched[old] = true
		} else if ok {
			b.Addr = old
		} else if b.Addr == "" {
			continue // the end of a box that was never known here
		}
		m := f.at(b.Addr)
		if m.list != Silent && b.State == Ready && (b.ID != m.box.ID || b.StartedMS > m.box.StartedMS) {
			// A new process, under the old name or another: what was withdrawn was its predecessor.
			if m.box.ID != b.ID {
				delete(f.byID, m.box.ID)
			}
			f.renew(now, b.Addr)
			m = f.at(b.Addr)
		}
		for _, a := range m.box.Addrs {
			delete(f.alias, a)
		}
		for _, a := range b.Addrs {
			if a != b.Addr {
				f.alias[a] = b.Addr
			}
		}
		m.box = b
		f.byID[b.ID] = b.Addr
		is := Named
		if b.State != Ready {
			is = Withdrawn
		}
		f.say(now, m, is)
		if b.State == Gone {
			delete(f.byID, b.ID)
		}
		touched[b.Addr] = true
	}
	if back || full {
		for addr := range f.members { // once the list is back, what names alone had put in goes out again
			touched[addr] = true
		}
	}
	return f.decide(now, touched, true)
}

// Heard notes that the list's source has answered, also where nothing is new. It returns the boxes whose standing changed.
func (f *Fleet) Heard(now time.Duration) []Standing {
	f.listAt = now
	if f.listSays {
		return nil
	}
	f.listSays = true
	touched := map[string]bool{}
	for addr, m := range f.members {
		if m.list == Silent { // what names alone had put in goes out again
			touched[addr] = true
		}
	}
	return f.decide(now, touched, false)
}

// renew forgets what any source said of the process that was at an address.
func (f *Fleet) renew(now time.Duration, addr string) {
	old := f.members[addr]
	f.members[addr] = &member{names: map[string]word{}, use: old.use, returns: old.returns, calm: old.calm, calmed: old.calmed}
	for name, s := range f.sources {
		s.pending = slices.DeleteFunc(s.pending, func(a string) bool { return a == addr })
		if s.has[addr] {
			f.members[addr].names[name] = word{Named, now}
		}
	}
}

// Names takes in the whole answer of a source that names boxes by address and nothing else, and returns the boxes whose
// standing changed. Where the source has withdrawn more than half of what it named, ask is set: it is doubted, and to be
// asked again at once. Unless it takes that back, it stands from Config.Doubt on, counted as told now.
func (f *Fleet) Names(now time.Duration, name string, boxes []Box) (changed []Standing, ask bool) {
	s := f.sources[name]
	if s == nil {
		s = &source{has: map[string]bool{}}
		f.sources[name] = s
	}
	s.heard = now
	has := make(map[string]bool, len(boxes))
	touched := map[string]bool{}
	f.confirm(now, name, s, touched)
	for _, b := range boxes {
		if a, ok := f.alias[b.Addr]; ok {
			b.Addr = a // another address of a box that the list knows
		}
		has[b.Addr] = true
		m := f.at(b.Addr)
		if m.list == Silent && m.box.ID == "" {
			m.box = b
		}
		if w := m.names[name]; w.is != Named {
			m.names[name] = word{Named, now}
			touched[b.Addr] = true
		}
	}
	var out []string
	for addr := range s.has {
		if !has[addr] {
			out = append(out, addr)
		}
	}
	slices.Sort(out)
	out = append(out, slices.DeleteFunc(s.pending, func(addr string) bool { return has[addr] })...)
	switch {
	case len(out) == 0:
		s.pending, s.until = nil, 0
	case s.until != 0:
		s.pending = out // it has not taken all back yet
	case len(s.has) >= few && 2*len(out) > len(s.has):
		s.pending, s.since, s.until = out, now, now+f.cfg.Doubt
		ask = true
	default:
		for _, addr := range out {
			f.withdraw(name, addr, now, touched)
		}
	}
	s.has = has
	return f.decide(now, touched, false), ask
}

// confirm has a doubted withdrawal stand once the doubt is over, counted from the first telling.
func (f *Fleet) confirm(now time.Duration, name string, s *source, touched map[string]bool) {
	if s.until == 0 || now < s.until {
		return
	}
	for _, addr := range s.pending {
		f.withdraw(name, addr, s.since, touched)
	}
	s.pending, s.until = nil, 0
}

func (f *Fleet) withdraw(name, addr string, at time.Duration, touched map[string]bool) {
	if m := f.members[addr]; m != nil {
		m.names[name] = word{Withdrawn, at}
		touched[addr] = true
	}
}

// Tick lets time pass: doubts end, sources lose their say, boxes that flapped come back. It returns the boxes whose standing
// changed.
func (f *Fleet) Tick(now time.Duration) []Standing {
	touched := map[string]bool{}
	for name, s := range f.sources {
		f.confirm(now, name, s, touched)
		if f.cfg.Hold > 0 && now-s.heard >= f.cfg.Hold && len(s.has) > 0 {
			// It is believed in nothing more. What it withdrew before was told and stays so until the list tells a new
			// process, or the source is back.
			for addr := range s.has {
				if m := f.members[addr]; m.names[name].is == Named {
					delete(m.names, name)
					touched[addr] = true
				}
			}
			s.has = map[string]bool{}
		}
	}
	if f.listSays && f.cfg.Hold > 0 && now-f.listAt >= f.cfg.Hold {
		f.listSays = false // its boxes stay as they were; those that only names know come in
		for addr, m := range f.members {
			if m.list == Silent {
				touched[addr] = true
			}
		}
	}
	for addr, m := range f.members {
		if m.calm != 0 && now >= m.calm {
			m.calm = 0
			touched[addr] = true
		}
	}
	return f.decide(now, touched, false)
}

// Next is when Tick is due at the latest; 0 for never.
func (f *Fleet) Next() time.Duration {
	next := time.Duration(0)
	due := func(t time.Duration) {
		if next == 0 || t < next {
			next = t
		}
	}
	for _, s := range f.sources {
		if s.until != 0 {
			due(s.until)
		}
		if f.cfg.Hold > 0 && len(s.has) > 0 {
			due(s.heard + f.cfg.Hold)
		}
	}
	if f.cfg.Hold > 0 && f.listSays {
		due(f.listAt + f.cfg.Hold)
	}
	for _, m := range f.members {
		if m.calm != 0 {
			due(m.calm)
		}
	}
	return next
}

// All is every box that some source speaks of, by address.
func (f *Fleet) All() []Standing {
	out := make([]Standing, 0, len(f.members))
	for _, m := range f.members {
		out = append(out, m.standing())
	}
	slices.SortFunc(out, func(a, b Standing) int { return cmp.Compare(a.Box.Addr, b.Box.Addr) })
	return out
}

func (f *Fleet) at(addr string) *member {
	m := f.members[addr]
	if m == nil {
		m = &member{names: map[string]word{}}
		f.members[addr] = m
	}
	return m
}

func (f *Fleet) say(now time.Duration, m *member, is Word) {
	if m.list != is {
		m.list, m.listAt = is, now
	}
}

// decide applies the rule to the boxes at some addresses. It returns those whose standing changed, and with all also the
// others.
func (f *Fleet) decide(now time.Duration, touched map[string]bool, all bool) []Standing {
	addrs := make([]string, 0, len(touched))
	for addr := range touched {
		addrs = append(addrs, addr)
	}
	f.forget(now)
	slices.Sort(addrs) // two runs hand over the same
	var out []Standing
	for _, addr := range addrs {
		m := f.members[addr]
		if m == nil {
			continue // just forgotten
		}
		was := m.use
		others, who, at := m.others()
		row := Rule[m.list][others]
		m.use, m.why, m.source, m.told = row.Use, row.Why, "list", m.listAt
		switch {
		case m.list == Silent && others == Named && !f.listSays:
			m.use, m.why, m.source, m.told = true, "only names know it, and the list has lost its say", who, at
		case m.list == Silent, others == Withdrawn && (m.list != Withdrawn || at < m.listAt):
			m.source, m.told = who, at // the first that told
		}
		if m.use && !was && !m.calmed {
			f.returned(now, m)
		}
		if m.use && now < m.calm {
			m.use, m.why = false, "it came and went too often lately"
		} else {
			m.calmed = false // it is back, or has gone once more
		}
		if cur, ok := f.byID[m.box.ID]; ok && cur != addr {
			continue // its name stands for another process by now
		}
		if all && (m.list != Silent || m.use) || m.use != was {
			out = append(out, m.standing())
		}
	}
	return out
}

// others is what the sources other than the list say of a box together, which of them decides, and since when.
func (m *member) others() (is Word, who string, at time.Duration) {
	for name, w := range m.names {
		if w.is > is || w.is == is && (w.at < at || w.at == at && name < who) {
			is, who, at = w.is, name, w.at
		}
	}
	return is, who, at
}

// returned notes that a box came back, and keeps it out for a while where it did so too often. Only coming back is damped;
// going never is.
func (f *Fleet) returned(now time.Duration, m *member) {
	m.returns = slices.DeleteFunc(m.returns, func(t time.Duration) bool { return t <= now-memory })
	m.returns = append(m.returns, now)
	if over := len(m.returns) - 1 - flaps; over > 0 && f.cfg.Calm > 0 && now >= m.calm {
		m.calmed = true
		m.calm = now + f.cfg.Calm*time.Duration(min(calmMost, 1<<min(over-1, 8)))
	}
}

// forget drops boxes that nobody speaks of any more, once their flapping is forgotten too. It looks at all of them, and so
// seldom.
func (f *Fleet) forget(now time.Duration) {
	if now-f.swept < memory {
		return
	}
	f.swept = now
	for addr, m := range f.members {
		named := false
		for _, w := range m.names {
			named = named || w.is == Named || now-w.at < memory
		}
		if !named && !m.use && m.calm == 0 && (m.list == Silent || m.box.State == Gone && now-m.listAt >= memory) {
			for _, a := range m.box.Addrs {
				delete(f.alias, a)
			}
			delete(f.members, addr)
		}
	}
}

func (m *member) standing() Standing {
	s := Standing{Box: m.box, Use: m.use, Why: m.why, Source: m.source, Told: m.told}
	switch {
	case m.use:
		s.Box.State = Ready
	case s.Box.State == Ready:
		s.Box.State = Draining
	}
	return s
}
