package rpcfront

import (
	"slices"
	"sync/atomic"

	"craneglade/internal/jsonrpc"
)

// Memory is reserved before it is used: for a message while it is received, for its calls before they are parsed, for a call
// before it is passed to the engine, and for its answer, which keeps what it needs of the call's reservation until it is written.

const (
	// openCallBytes is the memory reserved for an open call: the longest answer of a backend, and the call's state.
	openCallBytes = jsonrpc.MaxFrameBytes + callStateBytes
	// callStateBytes is the memory for the stacks and objects of a call that is waiting for its answer.
	callStateBytes = 8 << 10
	// parsedCopies is the memory for what is made of a message, as a multiple of its size: the ids that are open, the ids in the
	// answers, and the calls as sent to backends.
	parsedCopies = 3
	// memberBytes is the memory for a parsed call and an answer without a backend's result, in addition to parsedCopies.
	memberBytes = 1 << 10
	// refusedCopies is the memory for the answers that refuse all calls of a message, as a multiple of its size: ids, and
	// names that are quoted in errors.
	refusedCopies = 2
	// refusedMemberBytes is the memory for one of these answers, in addition to refusedCopies.
	refusedMemberBytes = 512
)

// Memory is the node's budget for the memory of requests and answers. Its methods are safe for concurrent use.
type Memory interface {
	// ReserveMessage reserves size bytes for a message, and reports whether they were available.
	ReserveMessage(size int64) bool
	// ReleaseMessage returns size bytes that ReserveMessage took.
	ReleaseMessage(size int64)
	// ReserveCall reserves size bytes for a call on a connection that has reserved held bytes already, and reports whether
	// they were available.
	ReserveCall(held, size int64) bool
	// ReleaseCall returns size bytes that ReserveCall took.
	ReleaseCall(size int64)
	// ConnectionLimit returns how much one connection may have reserved when it reserves more for a call.
	ConnectionLimit() int64
}

// reserveCall reserves memory for calls, and reports whether it was available.
func (c *conn) reserveCall(size int64) bool {
	c.reserving.Lock() // reserved must not grow between the check and the addition
	defer c.reserving.Unlock()
	if !c.front.cfg.Memory.ReserveCall(c.reserved.Load(), size) {
		return false
	}
	c.reserved.Add(size)
	return true
}

// releaseCall returns memory that reserveCall took.
func (c *conn) releaseCall(size int64) {
	c.front.cfg.Memory.ReleaseCall(size)
	c.reserved.Add(-size)
	c.signalReleased()
}

// signalReleased wakes the reader if it waits in awaitRelease.
func (c *conn) signalReleased() {
	select {
	case c.released <- struct{}{}:
	default: // it has been signaled already
	}
}

// messageMemory is the memory reserved for a message of a client. It has several holders and is returned when the last one
// has released it: the reader, the answer to a batch, and for each call the front and the engine.
type messageMemory struct {
	conn        *conn
	holderCount atomic.Int32

	// Written only by the reader, which is a holder.
	text     int64 // reserved for the message, and for answers that refuse its calls
	calls    int64 // reserved for what is made of it
	hasCalls bool  // calls is reserved; otherwise the calls are refused
}

// newMessageMemory returns an empty reservation with the reader as its holder.
func newMessageMemory(c *conn) *messageMemory {
	m := &messageMemory{conn: c}
	m.holderCount.Store(1)
	return m
}

// growBuffer reserves the memory for a message whose buffer grows to size bytes, and reports whether it was available. It waits while
// calls of the connection may return some.
func (m *messageMemory) growBuffer(size int) bool {
	return m.conn.awaitReservation(func() bool { return m.reserveText(int64(size)-m.text) == nil })
}

// reserveText reserves more memory for a message or for answers that refuse it. It returns jsonrpc.ErrNoMemory if there is none.
func (m *messageMemory) reserveText(more int64) error {
	c := m.conn
	c.reserving.Lock()
	defer c.reserving.Unlock()
	if !c.front.cfg.Memory.ReserveMessage(more) {
		return jsonrpc.ErrNoMemory
	}
	m.text += more
	c.reserved.Add(more)
	return nil
}

// trim returns a complete message in a buffer of its size, if its calls have to wait, and returns the memory that this saves: many may wait.
func (m *messageMemory) trim(frame []byte) []byte {
	saved := m.text - int64(len(frame))
	if saved <= 0 || int(m.conn.opened.Load()) < m.conn.front.cfg.MaxInflight {
		return frame
	}
	m.text -= saved
	m.conn.front.cfg.Memory.ReleaseMessage(saved)
	m.conn.reserved.Add(-saved)
	return slices.Clone(frame)
}

// reserveCalls reserves the memory for the calls of a complete message. If it is not available, and no call of the connection may return
// some in time, the calls are refused, for which less is reserved. It returns jsonrpc.ErrNoMemory if there is not even that.
func (m *messageMemory) reserveCalls(count int) error {
	size := parsedCopies*m.text + int64(count)*memberBytes
	reserve := func() bool { return m.conn.reserveCall(size) }
	if m.text+size > m.conn.front.cfg.Memory.ConnectionLimit() {
		m.hasCalls = reserve() // waiting would not help
	} else {
		m.hasCalls = m.conn.awaitReservation(reserve)
	}
	if m.hasCalls {
		m.calls = size
		return nil
	}
	return m.reserveText(refusedCopies*m.text + int64(count)*refusedMemberBytes)
}

// retain adds holders.
func (m *messageMemory) retain(count int32) { m.holderCount.Add(count) }

// Release removes a holder. The last one returns the memory.
func (m *messageMemory) Release() {
	if m.holderCount.Add(-1) > 0 {
		return
	}
	m.conn.front.cfg.Memory.ReleaseMessage(m.text)
	m.conn.reserved.Add(-m.text)
	m.conn.releaseCall(m.calls)
}
