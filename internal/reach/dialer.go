package reach

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// ErrStopped is returned by Dial if its allowed function reports false.
var ErrStopped = errors.New("connection to the backend is no longer wanted")

// Dialer connects to backends that have several addresses. It is safe for concurrent use.
type Dialer struct {
	Base func(ctx context.Context, network, address string) (net.Conn, error)
	Now  func() time.Duration // monotonic, from any origin
	// AcquireDescriptor reserves a file descriptor for each connection that Dial opens beside its first one, and reports whether
	// one was free. ReleaseDescriptor returns it. Both are nil for no limit.
	AcquireDescriptor func() bool
	ReleaseDescriptor func()

	mu      sync.Mutex
	history History
}

// Dial connects to one of a backend's addresses and returns the connection and its address. The deadline of ctx bounds it. All
// other connections are closed before it returns. When allowed reports false it dials no further address and returns ErrStopped.
func (d *Dialer) Dial(ctx context.Context, addrs []string, allowed func() bool) (net.Conn, string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		place int // index in order
		addr  string
		conn  net.Conn
		err   error
		extra bool
	}
	now := d.Now()
	d.mu.Lock()
	order := d.history.Order(now, addrs)
	d.mu.Unlock()
	end := now + time.Hour
	if t, ok := ctx.Deadline(); ok {
		end = now + time.Until(t)
	}
	schedule := NewDialSchedule(now, end, len(order))
	results := make(chan result, len(order)) // buffered, so that no dial blocks when it ends
	open := 0
	running := make([]bool, len(order)) // by index in order
	cancelRunning := func() {           // cancels and closes all dials that are still running
		cancel()
		for ; open > 0; open-- {
			r := <-results
			if r.conn != nil {
				r.conn.Close()
			}
			if r.extra {
				d.ReleaseDescriptor()
			}
		}
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	var failed error
	for {
		if !allowed() {
			cancelRunning()
			return nil, "", ErrStopped
		}
		i, start, wait, done := schedule.Next(d.Now())
		if done {
			return nil, "", failed
		}
		if start {
			extra := open > 0 && d.AcquireDescriptor != nil
			if extra && !d.AcquireDescriptor() {
				schedule.AttemptFailed(d.Now() + AttemptDelay) // can't dial it beside the others
				failed = errors.Join(failed, errors.New("no descriptor for a second address"))
				continue
			}
			open++
			running[i] = true
			go func() {
				network, address, err := Network(order[i])
				var c net.Conn
				if err == nil {
					c, err = d.Base(ctx, network, address)
				}
				results <- result{i, order[i], c, err, extra}
			}()
			continue
		}
		var due <-chan time.Time
		if wait > 0 {
			timer.Reset(wait)
			due = timer.C
		}
		select {
		case r := <-results:
			open--
			running[r.place] = false
			if r.extra && r.err != nil {
				d.ReleaseDescriptor()
			}
			if r.err != nil {
				if ctx.Err() == nil {
					d.note((*History).RecordFailure, r.addr)
				}
				failed = errors.Join(failed, r.err)
				schedule.AttemptFailed(d.Now())
				break
			}
			for i, stillRunning := range running[:r.place] {
				if stillRunning { // it started earlier and is not connected yet
					d.note((*History).RecordFailure, order[i])
				}
			}
			cancelRunning()
			if r.extra { // the first dial's descriptor, now free, counts for this connection
				d.ReleaseDescriptor()
			}
			if !allowed() {
				r.conn.Close()
				return nil, "", ErrStopped
			}
			return r.conn, r.addr, nil
		case <-due:
		case <-ctx.Done():
			cancelRunning()
			return nil, "", ctx.Err()
		}
	}
}

// note records an event of an address in the history.
func (d *Dialer) note(record func(*History, time.Duration, string), addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	record(&d.history, d.Now(), addr)
}

// RecordFailure records that a connection broke before a request was completely written to it.
func (d *Dialer) RecordFailure(addr string) { d.note((*History).RecordFailure, addr) }

// RecordSilence records that an attempt timed out without any response from an address.
func (d *Dialer) RecordSilence(addr string) { d.note((*History).RecordSilence, addr) }

// RecordAnswer records a response from an address.
func (d *Dialer) RecordAnswer(addr string) { d.note((*History).RecordAnswer, addr) }
