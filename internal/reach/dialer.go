package reach

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// ErrStopped is a connecting that Dial's allowed has ended.
var ErrStopped = errors.New("no connection to the box is wanted any more")

// Dialer connects to boxes that have several addresses. Its methods may be called at once.
type Dialer struct {
	Base func(ctx context.Context, network, address string) (net.Conn, error)
	Now  func() time.Duration // of any start
	// AcquireDescriptor takes a descriptor for a connection beside the first of a race, and Give gives it back; nil for no bound.
	AcquireDescriptor func() bool
	ReleaseDescriptor func()

	mu     sync.Mutex
	memory History
}

// Dial connects to one of a box's addresses within ctx, which has a deadline, and returns which. Losers are closed before it returns.
// Where allowed says no, no further address is begun and nothing is returned.
func (d *Dialer) Dial(ctx context.Context, addrs []string, allowed func() bool) (net.Conn, string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		place int // in the order
		addr  string
		conn  net.Conn
		err   error
		extra bool
	}
	now := d.Now()
	d.mu.Lock()
	order := d.memory.Order(now, addrs)
	d.mu.Unlock()
	end := now + time.Hour
	if t, ok := ctx.Deadline(); ok {
		end = now + time.Until(t)
	}
	race := NewDialSchedule(now, end, len(order))
	ended := make(chan result, len(order)) // nobody who ends late waits
	open := 0
	begun := make([]bool, len(order)) // and not ended
	finish := func() {                // what is under way loses
		cancel()
		for ; open > 0; open-- {
			r := <-ended
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
			finish()
			return nil, "", ErrStopped
		}
		i, begin, wait, over := race.Next(d.Now())
		if over {
			return nil, "", failed
		}
		if begin {
			extra := open > 0 && d.AcquireDescriptor != nil
			if extra && !d.AcquireDescriptor() {
				race.AttemptFailed(d.Now() + AttemptDelay) // no room to try it beside the others
				failed = errors.Join(failed, errors.New("no descriptor for a second address"))
				continue
			}
			open++
			begun[i] = true
			go func() {
				network, address, err := Network(order[i])
				var c net.Conn
				if err == nil {
					c, err = d.Base(ctx, network, address)
				}
				ended <- result{i, order[i], c, err, extra}
			}()
			continue
		}
		var due <-chan time.Time
		if wait > 0 {
			timer.Reset(wait)
			due = timer.C
		}
		select {
		case r := <-ended:
			open--
			begun[r.place] = false
			if r.extra && r.err != nil {
				d.ReleaseDescriptor()
			}
			if r.err != nil {
				if ctx.Err() == nil {
					d.note((*History).RecordFailure, r.addr)
				}
				failed = errors.Join(failed, r.err)
				race.AttemptFailed(d.Now())
				break
			}
			for i, under := range begun[:r.place] {
				if under { // it began earlier, and is not up yet
					d.note((*History).RecordFailure, order[i])
				}
			}
			finish()
			if r.extra { // the race's first descriptor is the winner's now
				d.ReleaseDescriptor()
			}
			if !allowed() {
				r.conn.Close()
				return nil, "", ErrStopped
			}
			return r.conn, r.addr, nil
		case <-due:
		case <-ctx.Done():
			finish()
			return nil, "", ctx.Err()
		}
	}
}

// note tells the memory of what became of an address.
func (d *Dialer) note(of func(*History, time.Duration, string), addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	of(&d.memory, d.Now(), addr)
}

// RecordFailure notes that a connection broke before a request was written to it whole.
func (d *Dialer) RecordFailure(addr string) { d.note((*History).RecordFailure, addr) }

// RecordSilence notes that an attempt ended by its time with nothing from an address.
func (d *Dialer) RecordSilence(addr string) { d.note((*History).RecordSilence, addr) }

// RecordAnswer notes that something came back from an address.
func (d *Dialer) RecordAnswer(addr string) { d.note((*History).RecordAnswer, addr) }
