// Package membership decides which backends a node may use, from the backend list and from any number of further sources
// that name backends, such as the SRV records of a site. It has no clock, I/O or goroutines and is not safe for concurrent
// use: its caller passes in the time, in any unit that never steps back, and the updates of the sources.
//
// If sources disagree, the table Decisions applies. A backend that any source calls draining or gone gets no new requests
// after the grace, which counts from the first source that reported it to this node. A source that times out withdraws
// nothing, so that the failure of a source can't empty the fleet.
package membership

import (
	"cmp"
	"slices"
	"time"
)

// Backend is a backend process in a list. The JSON names are those of PROTOCOL.
type Backend struct {
	ID        string `json:"id"`
	Addr      string `json:"addr"`
	Zone      string `json:"zone"`
	Kind      string `json:"kind"`
	Cell      int64  `json:"cell"`
	State     string `json:"state"` // Ready, Gone, or any other for a backend that gets no new requests
	StartedMS int64  `json:"started_ms"`
	RPC       string `json:"rpc"` // address for JSON-RPC; "" if it doesn't speak it. Not part of PROTOCOL

	// Addrs lists all addresses of the backend, including Addr: IP addresses with ports, or "unix:" and a path. It is empty
	// if there is only Addr. Not part of PROTOCOL.
	Addrs []string `json:"addrs"`

	// ZoneUnknown and CellUnknown tell that Zone or Cell does not hold for sure, or is not known. Not part of PROTOCOL.
	ZoneUnknown bool `json:"-"`
	CellUnknown bool `json:"-"`
}

// IsRestart reports whether an entry tells of another process than the one that started at a time. An update of a drain or removal may leave
// the start out.
func IsRestart(startedMS int64, b *Backend) bool {
	return b.StartedMS != startedMS && (b.StartedMS != 0 || b.State == Ready)
}

// States of a backend in a list.
const (
	Ready    = "Ready"
	Draining = "Terminating"
	Gone     = "Gone"
)

// Config configures a Fleet. Durations are in the caller's unit of time.
type Config struct {
	SourceTimeout time.Duration // a source that has not answered for so long loses its authority; 0 for never
	ConfirmDelay  time.Duration // a withdrawal of most of a source's backends takes effect after it unless revoked; deducted from the grace
	FlapPenalty   time.Duration // initial exclusion of a backend that flaps, doubled each time; 0 for none
}

// Status says whether a backend is used, and why.
type Status struct {
	Backend Backend
	Use     bool
	Reason  string
	Source  string        // the source that decided
	Since   time.Duration // when it first reported this
}

// member is the state of the backend at one address.
type member struct {
	backend       Backend // from the list, or else from the first source that names it
	list          Claim
	listSince     time.Duration // since when the list makes this claim
	claims        map[string]statement
	use           bool
	reason        string
	source        string
	since         time.Duration
	returns       []time.Duration // times of recent returns
	excludedUntil time.Duration   // end of the exclusion for flapping; 0 for none
	penalized     bool            // the current return is already counted
}

// statement is the claim of a source, and since when it makes it.
type statement struct {
	claim Claim
	since time.Duration
}

// Fleet holds the claims of all sources about all backends.
type Fleet struct {
	cfg         Config
	members     map[string]*member // by address
	byID        map[string]string  // addresses of the listed backends, by ID
	canonical   map[string]string  // maps each further address of a backend to its Addr
	sources     map[string]*source
	listHeardAt time.Duration
	lastSweep   time.Duration // when sweep last ran
	listActive  bool          // the list has not timed out
}

// New returns a fleet without backends.
func New(cfg Config) *Fleet {
	return &Fleet{
		cfg:        cfg,
		members:    map[string]*member{},
		byID:       map[string]string{},
		canonical:  map[string]string{},
		sources:    map[string]*source{},
		listActive: true,
	}
}

// Tick applies changes by time: pending withdrawals take effect, sources time out, exclusions for flapping end. It returns the
// backends whose status changed.
func (f *Fleet) Tick(now time.Duration) []Status {
	touched := map[string]bool{}
	for name, s := range f.sources {
		f.applyPending(now, name, s, touched)
		if len(s.named) > 0 && f.isExpired(now, s.heardAt) {
			f.expireSource(name, s, touched)
		}
	}
	if f.listActive && f.isExpired(now, f.listHeardAt) {
		f.expireList(touched)
	}
	for addr, m := range f.members {
		if m.excludedUntil != 0 && now >= m.excludedUntil {
			m.excludedUntil = 0
			touched[addr] = true
		}
	}
	return f.decide(now, touched, false)
}

// isExpired reports whether a source that last answered at heardAt has timed out.
func (f *Fleet) isExpired(now, heardAt time.Duration) bool {
	return f.cfg.SourceTimeout > 0 && now-heardAt >= f.cfg.SourceTimeout
}

// expireSource ends the authority of a source: backends that it names no longer count as named by it. What it withdrew before
// stays withdrawn until the list reports a new process or the source names it again.
func (f *Fleet) expireSource(name string, s *source, touched map[string]bool) {
	for addr := range s.named {
		if m := f.members[addr]; m.claims[name].claim == Named {
			delete(m.claims, name)
			touched[addr] = true
		}
	}
	s.named = map[string]bool{}
}

// expireList ends the authority of the list: its backends keep their status, and those that only other sources name are used.
func (f *Fleet) expireList(touched map[string]bool) {
	f.listActive = false
	for addr, m := range f.members {
		if m.list == NoClaim {
			touched[addr] = true
		}
	}
}

// Next returns the time at which Tick is due; 0 for never.
func (f *Fleet) Next() time.Duration {
	next := time.Duration(0)
	due := func(t time.Duration) {
		if next == 0 || t < next {
			next = t
		}
	}
	for _, s := range f.sources {
		if s.confirmAt != 0 {
			due(s.confirmAt)
		}
		if f.cfg.SourceTimeout > 0 && len(s.named) > 0 {
			due(s.heardAt + f.cfg.SourceTimeout)
		}
	}
	if f.cfg.SourceTimeout > 0 && f.listActive {
		due(f.listHeardAt + f.cfg.SourceTimeout)
	}
	for _, m := range f.members {
		if m.excludedUntil != 0 {
			due(m.excludedUntil)
		}
	}
	return next
}

// All returns the status of all known backends, sorted by address.
func (f *Fleet) All() []Status {
	out := make([]Status, 0, len(f.members))
	for _, m := range f.members {
		out = append(out, m.status())
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.Backend.Addr, b.Backend.Addr) })
	return out
}

// member returns the member at an address, creating it if there is none.
func (f *Fleet) member(addr string) *member {
	m := f.members[addr]
	if m == nil {
		m = &member{claims: map[string]statement{}}
		f.members[addr] = m
	}
	return m
}
