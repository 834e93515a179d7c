package timing

import (
	"io"
	"sync"
	"time"

	"craneglade/internal/admission"
)

const (
	fairSlice    = time.Millisecond      // of work, after which a busy connection pauses
	maxSliceWork = 10 * time.Millisecond // the most that a slice counts for
	// A time counts as work up to maxRequestWork and maxWorkPerByte for what was read for it. What took longer has waited, for a processor
	// or in a write: a client that sends little must not pay for a process that was held up.
	maxRequestWork = 250 * time.Microsecond
	maxWorkPerByte = 100 * time.Nanosecond
	// A pausing connection checks a few times whether it is to end, at intervals within these bounds: each check costs system calls,
	// and thousands may pause. Its reader may observe meanwhile what arrives, with an error of up to an interval.
	pauseChecks      = 8
	minCheckInterval = 5 * time.Millisecond
	maxCheckInterval = 40 * time.Millisecond
	// busyPart is the part of the time for which a connection has to be worked for to be busy, also if all that has arrived was read.
	busyPart = 1.0 / 32
)

// SharedWork lets the busy connections of a node take turns. It is safe for concurrent use. A nil one never delays.
type SharedWork struct {
	start time.Time
	mu    sync.Mutex
	share *admission.WorkShare
}

// NewSharedWork returns the SharedWork of a node that may use a number of processors, or a part of one.
func NewSharedWork(processors float64) *SharedWork {
	return &SharedWork{start: time.Now(), share: admission.NewWorkShare(processors)}
}

// reserve accounts for work of a connection that has more to do, and returns how long it has to pause before that.
func (s *SharedWork) reserve(worked time.Duration) time.Duration {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Since(s.start)
	return s.share.Reserve(now, min(worked, maxSliceWork)) - now
}

// FairReader is the reader of a connection whose other side may send faster than it is served. All that the connection's goroutine does
// between two reads counts as work for it, unless the request is dropped. After a slice of work a busy connection pauses before it reads on.
// Without that, a few such connections keep every processor occupied. The Go scheduler then looks for input of others only every 10 ms,
// and each step of their requests waits for all goroutines that are ready. A FairReader is used by one goroutine at a time.
type FairReader struct {
	Source   io.Reader   // the connection
	Shared   *SharedWork // what the node's busy connections have in common
	HasInput func() bool // reports, without blocking, whether more has arrived
	Ending   func() bool // reports, without blocking, whether the connection is to end, which ends a pause

	worked    time.Duration // since the slice began
	ended     time.Duration // the part of worked that was for requests that have ended
	since     time.Time     // when the slice began
	accounted time.Time     // until when work is in worked
	unserved  int           // bytes that were read since the last request ended
	filled    bool          // the last read filled its buffer, so that more may have arrived
}

// Read reads from the connection, after a pause if the other side sends faster than it is served.
func (f *FairReader) Read(p []byte) (int, error) {
	f.account()
	if f.worked >= fairSlice && f.isBehind() {
		f.takeTurn()
	}
	n, err := f.Source.Read(p)
	f.filled = n == len(p)
	f.unserved += n
	f.skip()
	return n, err
}

// EndRequest is called between requests, and pauses if the connection is busy: also if it is worked for during much of the time, though
// all that has arrived was read. hasMore tells that some of the next request was read.
func (f *FairReader) EndRequest(hasMore bool) {
	f.account()
	f.unserved, f.ended = 0, f.worked
	if f.worked < fairSlice {
		return
	}
	if hasMore || f.isBehind() || float64(f.worked) > busyPart*float64(time.Since(f.since)) {
		f.takeTurn()
	} else {
		f.beginSlice()
	}
}

// isBehind reports whether more has arrived than was read.
func (f *FairReader) isBehind() bool { return f.filled && f.HasInput() }

// takeTurn waits for the connection's turn, and begins a slice.
func (f *FairReader) takeTurn() {
	f.pause(f.Shared.reserve(f.worked))
	f.beginSlice()
}

func (f *FairReader) beginSlice() { f.worked, f.ended, f.since = 0, 0, time.Now() }

// account counts the time since the last call of a method as work.
func (f *FairReader) account() {
	now := time.Now()
	if f.accounted.IsZero() { // the first call
		f.accounted, f.since = now, now
	}
	f.worked += min(now.Sub(f.accounted), maxRequestWork+time.Duration(f.unserved)*maxWorkPerByte)
	f.accounted = now
}

// DropRequest drops the work for the current request, before EndRequest: how fast such requests come is bounded by others.
func (f *FairReader) DropRequest() {
	f.worked = f.ended
	f.skip()
}

// skip drops the time since the last call of a method.
func (f *FairReader) skip() { f.accounted = time.Now() }

// Wait calls wait, whose time does not count as work.
func (f *FairReader) Wait(wait func()) {
	f.account()
	wait()
	f.skip()
}

// Finish is called before the connection is closed. It pauses, for limit at most, if more has arrived: the other side may go on with
// another connection.
func (f *FairReader) Finish(limit time.Duration) {
	f.account()
	if f.HasInput() {
		f.pause(min(f.Shared.reserve(f.worked), limit))
	}
	f.worked = 0
}

// pause waits for d, or until the connection is to end.
func (f *FairReader) pause(d time.Duration) {
	end := time.Now().Add(d)
	interval := min(max(d/pauseChecks, minCheckInterval), maxCheckInterval)
	for ; d > 0 && !f.Ending(); d = time.Until(end) {
		time.Sleep(min(d, interval))
	}
	f.skip()
}
