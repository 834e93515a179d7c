// Package membership decides which backends a node may use, from the backend list and from any number of further sources
// that name backends, such as the SRV records of a site. It has no clock, no I/O and no goroutine, and is not safe for
// concurrent use: its caller tells it the time, in any unit that never steps back, and what a source said.
//
// Where sources disagree, the table Rule decides: a backend that any source calls draining or gone gets nothing new once
// the grace is over, counted from the first source that told this node; and no source that is silent or broken empties
// the fleet by its silence.
package membership

import (
	"cmp"
	"slices"
	"time"
)

// Backend is one backend process in a list. The JSON names are PROTOCOL's.
type Backend struct {
	ID        string `json:"id"`
	Addr      string `json:"addr"`
	Zone      string `json:"zone"`
	Kind      string `json:"kind"`
	Cell      int64  `json:"cell"`
	State     string `json:"state"` // Ready, Gone, and anything else for one that gets nothing new
	StartedMS int64  `json:"started_ms"`
	RPC       string `json:"rpc"` // where it speaks JSON-RPC; "" for a backend that does not. Beyond PROTOCOL

	// Addrs are all addresses at which the backend answers, Addr among them: IP addresses with ports, or "unix:" and a
	// path. Empty for Addr alone. Beyond PROTOCOL.
	Addrs []string `json:"addrs"`
}

// States of a backend in a list.
const (
	Ready    = "Ready"
	Draining = "Terminating"
	Gone     = "Gone"
)

// Config are the figures of a fleet, in the caller's unit of time.
type Config struct {
	SourceTimeout time.Duration // a source that said nothing for so long loses its say
	ConfirmDelay  time.Duration // for so long a withdrawal of most of a source waits to be taken back; part of the grace
	FlapPenalty   time.Duration // how long a backend that flaps stays out at first, doubled each time
}

// Status is where a backend stands, and why.
type Status struct {
	Backend Backend
	Use     bool
	Reason  string
	Source  string        // that decided
	Since   time.Duration // when it first told
}

// member is what is known of the backend at one address.
type member struct {
	backend Backend // as the list has it, or as names make it up
	list    Claim
	listAt  time.Duration // since when the list says so
	names   map[string]statement
	use     bool
	why     string
	source  string
	told    time.Duration
	returns []time.Duration // moments lately at which it came back
	calm    time.Duration   // until then it stays out
	calmed  bool            // and this return has been counted
}

// statement is what a source says, and since when.
type statement struct {
	is Claim
	at time.Duration
}

// Fleet is what is known of all backends.
type Fleet struct {
	cfg      Config
	members  map[string]*member // by address
	byID     map[string]string  // addresses of what the list has
	alias    map[string]string  // further addresses of backends, to the one that they are known by
	sources  map[string]*source
	listAt   time.Duration
	swept    time.Duration // when backends were last forgotten
	listSays bool          // the list has its say
}

// New returns a fleet of no backend.
func New(cfg Config) *Fleet {
	return &Fleet{
		cfg:      cfg,
		members:  map[string]*member{},
		byID:     map[string]string{},
		alias:    map[string]string{},
		sources:  map[string]*source{},
		listSays: true,
	}
}

// Tick lets time pass: doubts end, sources lose their say, backends that flapped come back. It returns the backends
// whose standing changed.
func (f *Fleet) Tick(now time.Duration) []Status {
	touched := map[string]bool{}
	for name, s := range f.sources {
		f.confirm(now, name, s, touched)
		if len(s.named) > 0 && f.isSilent(now, s.heardAt) {
			f.silenceSource(name, s, touched)
		}
	}
	if f.listSays && f.isSilent(now, f.listAt) {
		f.silenceList(touched)
	}
	for addr, m := range f.members {
		if m.calm != 0 && now >= m.calm {
			m.calm = 0
			touched[addr] = true
		}
	}
	return f.decide(now, touched, false)
}

// isSilent reports whether a source that was last heard at a moment loses its say.
func (f *Fleet) isSilent(now, heardAt time.Duration) bool {
	return f.cfg.SourceTimeout > 0 && now-heardAt >= f.cfg.SourceTimeout
}

// silenceSource takes a source's say: what it names counts no more. What it withdrew before was told and stays so until
// the list tells a new process, or the source is back.
func (f *Fleet) silenceSource(name string, s *source, touched map[string]bool) {
	for addr := range s.named {
		if m := f.members[addr]; m.names[name].is == Named {
			delete(m.names, name)
			touched[addr] = true
		}
	}
	s.named = map[string]bool{}
}

// silenceList takes the list's say: its backends stay as they were, and those that only names know come in.
func (f *Fleet) silenceList(touched map[string]bool) {
	f.listSays = false
	for addr, m := range f.members {
		if m.list == NoClaim {
			touched[addr] = true
		}
	}
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
		if s.doubtUntil != 0 {
			due(s.doubtUntil)
		}
		if f.cfg.SourceTimeout > 0 && len(s.named) > 0 {
			due(s.heardAt + f.cfg.SourceTimeout)
		}
	}
	if f.cfg.SourceTimeout > 0 && f.listSays {
		due(f.listAt + f.cfg.SourceTimeout)
	}
	for _, m := range f.members {
		if m.calm != 0 {
			due(m.calm)
		}
	}
	return next
}

// All is every backend that some source speaks of, by address.
func (f *Fleet) All() []Status {
	out := make([]Status, 0, len(f.members))
	for _, m := range f.members {
		out = append(out, m.standing())
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.Backend.Addr, b.Backend.Addr) })
	return out
}

// member returns the member at an address, from nothing if need be.
func (f *Fleet) member(addr string) *member {
	m := f.members[addr]
	if m == nil {
		m = &member{names: map[string]statement{}}
		f.members[addr] = m
	}
	return m
}
