package engine

import (
	"slices"
	"sync/atomic"
	"time"

	"craneglade/internal/membership"
	"craneglade/internal/shared"
	"craneglade/internal/shared/judgement"
	"craneglade/policy"
)

// ListedBackend is a backend as a list describes it. Backend is the runtime object.
type ListedBackend = membership.Backend

// ProtocolRPC is the bit for JSON-RPC in policy.Entry.Protocols and Request.RequiredProtocols.
const ProtocolRPC = 1

// List is a full backend list or a delta, in the format of PROTOCOL.
type List struct {
	Version  int64           `json:"version"`
	Full     bool            `json:"full"`
	Backends []ListedBackend `json:"servers"`
	// AfterOutage is set if requests for the list failed before it arrived: its updates may have been in force for a while, so
	// that a drain in it may have no grace left.
	AfterOutage bool `json:"-"`

	owners map[string]string // by ID of a backend that has lost an address: ID of the process that has it
}

// Backend is the runtime object of one backend process. A restart or a change of address gives a new one.
type Backend struct {
	Number       uint32 // its number in the policy
	ID           string // its ID in the list
	Addr         string
	Zone         string
	RPC          string
	CarrierState any // private to the HTTP carrier

	addrs        atomic.Pointer[[]string]
	startedMS    int64         // start time by the list, in Unix milliseconds
	launched     time.Duration // start time by the engine's clock; 0 for long ago
	key          judgement.Key
	removed      bool                      // not on the list any more; guarded by Engine.mu
	countedOpen  bool                      // counted in Engine.listed as taking new requests; guarded by Engine.mu
	removals     int                       // times it was removed from the list; guarded by Engine.mu
	ended        bool                      // another process has its address; guarded by Engine.mu
	writesStopAt atomic.Pointer[time.Time] // nothing new may be written to it from then on; nil for none
}

// newBackend returns the Backend for a list entry.
func newBackend(number uint32, s *ListedBackend) *Backend {
	return &Backend{Number: number, ID: s.ID, Addr: s.Addr, Zone: s.Zone, RPC: s.RPC, startedMS: s.StartedMS, key: shared.Key(s.ID, s.StartedMS)}
}

// listedStart returns its start time by the list, since the Unix epoch.
func (b *Backend) listedStart() time.Duration { return time.Duration(b.startedMS) * time.Millisecond }

// Addrs returns all addresses of a backend that has several, else nil.
func (b *Backend) Addrs() []string {
	if p := b.addrs.Load(); p != nil {
		return *p
	}
	return nil
}

// SetAddrs sets all addresses of the backend. With fewer than two it is reached at Addr alone.
func (b *Backend) SetAddrs(addrs []string) {
	if len(addrs) < 2 {
		b.addrs.Store(nil)
		return
	}
	b.addrs.Store(&addrs)
}

// WritesStopped reports whether nothing new may be written to the backend, as its drain grace is over.
func (b *Backend) WritesStopped() bool {
	stop := b.writesStopAt.Load()
	return stop != nil && !time.Now().Before(*stop)
}

// StopWritesAt forbids new writes to the backend from t on. An earlier time that was set before stays.
func (b *Backend) StopWritesAt(t time.Time) {
	for old := b.writesStopAt.Load(); (old == nil || t.Before(*old)) && !b.writesStopAt.CompareAndSwap(old, &t); old = b.writesStopAt.Load() {
	}
}

// ResumeWrites reverts StopWritesAt.
func (b *Backend) ResumeWrites() { b.writesStopAt.Store(nil) }

// SetSource sets the source of lists. The list known is in force until the source delivers one.
func (e *Engine) SetSource(s Source, known *List) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.source = s
	// The event for the list can start a watch, whose answer must not be applied before the list.
	e.applyList(known, policy.ListCached)
	if !e.settings.MustAsk {
		s.Watch() // with MustAsk the policy decides when to poll
	}
}

// ReplaceSource switches to another source and starts its watch. The backends stay until it delivers a list.
func (e *Engine) ReplaceSource(s Source) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() == nil {
		e.source = s
		s.Watch()
	}
}

// Version returns the version of the current list.
func (e *Engine) Version() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// UpdateList applies a list from s, unless s is not the current source. It calls fresh with the version of the current list
// and applies l only if fresh returns true.
func (e *Engine) UpdateList(s Source, l *List, kind policy.ListKind, fresh func(known int64) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.source != s || e.ctx.Err() != nil {
		return
	}
	e.refreshList()
	if fresh(e.version) {
		e.applyList(l, kind)
	} else {
		e.handle(e.clock.Now(), &policy.Event{Kind: policy.EvListCurrent})
	}
}

// SourceFailed reports that a watch or fetch of s has failed. The policy decides when to retry.
func (e *Engine) SourceFailed(s Source) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.source == s && e.ctx.Err() == nil {
		e.handle(e.clock.Now(), &policy.Event{Kind: policy.EvList, List: policy.ListFailed})
	}
}

// Ready reports whether any listed backend takes new requests.
func (e *Engine) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listed.open > 0
}

// replaced ends the use of a backend whose process is gone, as another one has its address: an attempt that was decided for it
// would reach that one.
func (e *Engine) replaced(b *Backend) {
	b.StopWritesAt(time.Now())
	e.carrier.Retire(b)
}

// drain stops new writes to a backend in time before its drain grace, counted from now, is over.
func (e *Engine) drain(b *Backend) {
	b.StopWritesAt(time.Now().Add(writableFor(e.settings.DrainGrace)))
}

// writableFor returns how long new requests may be written to a backend after the update of its drain was read: the grace less
// two stalls, one before the process reads the update and one between the last check of the clock and the write. At least a
// tenth of the grace is reserved.
func writableFor(grace time.Duration) time.Duration {
	return max(0, min(grace*9/10, grace-2*maxStall))
}

// remove takes a backend off the list. It stays known until its grace is over, because the policy may keep the last backends
// when a list comes empty, and a backend that is listed again keeps its number and connections. The caller has to call
// scheduleForget.
func (e *Engine) remove(b *Backend) {
	if b.removed {
		return
	}
	b.removed = true
	b.removals++
	e.listed.remove(b)
	e.drain(b)
	e.removed = append(e.removed, removal{b, b.removals})
}

// removal records that a backend was removed from the list; nth is its value of removals then.
type removal struct {
	backend *Backend
	nth     int
}

// forgetBatchSize is the number of backends that are forgotten per acquisition of the engine's lock, so that requests don't
// wait for all of them.
const forgetBatchSize = 64

// scheduleForget has the backends removed since its last call forgotten when their grace is over. e.mu must be held.
func (e *Engine) scheduleForget() {
	if len(e.removed) == 0 {
		return
	}
	all := e.removed
	e.removed = nil
	time.AfterFunc(e.settings.DrainGrace, func() {
		for some := range slices.Chunk(all, forgetBatchSize) {
			e.forgetBackends(some)
		}
	})
}

// forgetBackends forgets those removed backends that were not listed again.
func (e *Engine) forgetBackends(all []removal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, d := range all {
		b := d.backend
		if !b.removed || b.removals != d.nth {
			continue // listed again meanwhile
		}
		if e.byID[b.ID] == b {
			delete(e.byID, b.ID)
		}
		if e.byNumber[b.Number] == b {
			delete(e.byNumber, b.Number)
		}
		e.carrier.Retire(b)
	}
}
