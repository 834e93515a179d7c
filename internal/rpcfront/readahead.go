package rpcfront

import (
	"time"

	"craneglade/internal/engine"
	"craneglade/internal/sock"
)

// The messages of a connection are read as they come, so that each call can be refused when its own client's time ends. They are left in
// the kernel only while their memory is needed by calls of the connection that came before, and no longer than they can be refused in
// time.

// refuseTimePerByte is the time to read and refuse calls that wait in the kernel, for each of their bytes, in a process that is busy.
const refuseTimePerByte = 2 * time.Microsecond

// waitingCallBytes is the memory for a call of the usual size that waits.
const waitingCallBytes = 4 << 10

// consumed returns how many bytes of the connection belong to the messages that were read so far.
func (c *conn) consumed() int64 { return c.received.Position() - int64(c.in.Buffered()) }

// arrivedBy returns when the first count bytes of the connection, which were read, had arrived.
func (c *conn) arrivedBy(count int64) time.Time {
	if at, ok := c.received.ArrivedBy(count); ok {
		return at
	}
	return time.Now()
}

// awaitRoom blocks the reader while calls wait and another one could take memory that is needed to open them.
func (c *conn) awaitRoom() {
	if c.hasRoom() {
		return
	}
	c.awaitRelease(c.hasRoom, func() (time.Time, bool) { return c.received.ArrivedBy(c.consumed() + 1) })
}

// hasRoom reports whether the memory for calls that wait leaves enough to open as many as may be open, and is not more than they need: other
// connections share it.
func (c *conn) hasRoom() bool {
	opened := int(c.opened.Load())
	if c.unansweredCount() == opened { // none waits
		return true
	}
	mostOpen := int64(c.front.cfg.MaxInflight) * openCallBytes
	limit := min(c.front.cfg.Memory.ConnectionLimit(), 2*mostOpen)
	toOpen := mostOpen - int64(opened)*openCallBytes
	return !c.memoryShort.Load() && c.reserved.Load()+toOpen+waitingCallBytes <= limit
}

// awaitReservation reserves memory for the message that is being read, and reports whether it could. It blocks the reader while there is
// none and calls of the connection may return some.
func (c *conn) awaitReservation(reserve func() bool) bool {
	if reserve() {
		return true
	}
	done := false
	c.awaitRelease(func() bool {
		done = !c.memoryShort.Load() && reserve()
		return done || c.unansweredCount() == 0
	}, func() (time.Time, bool) { return c.messageArrived, true })
	return done
}

// awaitRelease blocks the reader until ready returns true, which it asks when memory was returned or a call has ended. It ends before that
// if the client has left, or once the calls that wait have to be read to be refused in time. oldest returns when the first of them
// arrived, and false if none has.
func (c *conn) awaitRelease(ready func() bool, oldest func() (time.Time, bool)) {
	c.reads.Wait(func() {
		tick := time.NewTicker(sock.ObserveInterval)
		defer tick.Stop()
		for !ready() && !c.mustRead(oldest) {
			if c.peer() == sock.PeerClosed {
				c.cancel()
				c.admitWaiting() // which drops all
				return
			}
			select {
			case <-c.released:
			case <-tick.C:
				c.received.Observe()
			}
		}
	})
}

// mustRead reports whether the calls that wait in the kernel, the oldest of which came when oldest says, have to be read now. Their
// own timeouts are not known yet.
func (c *conn) mustRead(oldest func() (time.Time, bool)) bool {
	arrived, ok := oldest()
	if !ok {
		return false
	}
	unread := c.in.Buffered() + sock.Unread(c.Conn)
	timeLeft := time.Until(arrived.Add(c.front.shortest - engine.Transit))
	return timeLeft <= time.Duration(unread)*refuseTimePerByte
}
