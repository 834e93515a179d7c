package rpcfront

import (
	"sync/atomic"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"craneglade/internal/engine"
	"craneglade/internal/rpccarrier"
	"craneglade/internal/sock"
)

// Why a call is refused that was not passed to the engine.
const (
	noMemoryForCall  = "no memory for a call"
	tooManyOpen      = "too many calls are open"
	tooManySentAhead = "too many calls are sent ahead"
	clientHasLeft    = "the client has left"
	nodeIsLeaving    = "the node is leaving"
)

// minCallTime is the least time that the node needs for a call. A call that waits behind others is refused so much earlier for each of
// them, as it could not be answered in time: else all that came at once would be refused at the last moment.
const minCallTime = 25 * time.Microsecond

// maxRefusalPause is how long the next waiting call is held after the engine has refused one, where as many as possible are open. The engine
// may take more as they end, and must not go through all that wait meanwhile. With fewer open calls it is shorter, so that others open soon.
const maxRefusalPause = 200 * time.Microsecond

// refusalPause returns the pause after a refusal by the engine while opened of limit calls are open.
func refusalPause(opened, limit int) time.Duration {
	part := float64(opened) / float64(limit)
	return time.Duration(part * part * float64(maxRefusalPause))
}

// pendingCall is a call of a client that has no answer yet.
type pendingCall struct {
	call      *rpccarrier.Call
	id        jsontext.Value // nil for a notification
	memory    *messageMemory
	answer    func(m message, size int64) // called once, see start
	atBackend atomic.Bool                 // the engine took it
}

// start passes a call to the engine once the connection may have another one open. Until then it waits in memory that is reserved,
// and is refused when its client's time ends; the messages that follow are read meanwhile. answer is called once, with nil for a
// notification or a client that has disconnected; size bytes are reserved for the answer, which the callee has to return. start
// reports whether the call is at a backend.
func (c *conn) start(call *rpccarrier.Call, id jsontext.Value, memory *messageMemory, answer func(m message, size int64)) (atBackend bool) {
	if !memory.hasCalls {
		c.finish(id, refusal(id, noMemoryForCall, refuseRetryAfter), 0, answer)
		return false
	}
	p := &pendingCall{call: call, id: id, memory: memory, answer: answer}
	memory.retain(1)
	c.callStarted()
	c.calls.Add(1)
	if m, refused := c.openOrQueue(p); refused {
		c.received.ObserveWhile(func() { c.refuse(p, m) }) // the reader is the caller
	}
	return p.atBackend.Load()
}

// openOrQueue passes a call to the engine, or adds it to the calls that wait. It reports whether the call is refused instead, with the
// answer.
func (c *conn) openOrQueue(p *pendingCall) (m message, refused bool) {
	c.admitting.Lock()
	defer c.admitting.Unlock()
	if c.waiting.Len() == 0 {
		if state, m := c.tryOpen(p); state != callWaits {
			return m, state == callRefused
		}
	}
	behind := time.Duration(c.waiting.Len()) * minCallTime
	c.waiting.Push(p, p.call.Arrived.Add(p.call.ClientTimeout-engine.Transit-behind))
	c.setWakeUp()
	return nil, false
}

// admitWaiting passes waiting calls to the engine, the first ones first, while the connection may have more open calls, and answers those
// that are refused. It is called, by others than the reader, whenever that may have changed.
func (c *conn) admitWaiting() {
	for begun := time.Now(); c.admitOrRefuse(); begun = time.Now() {
		c.admitting.Lock()
		c.refusals.Account(time.Since(begun))
		c.admitting.Unlock()
	}
}

// admitOrRefuse passes waiting calls to the engine up to the first one that is refused, which it answers. It reports false if none was
// refused, and all others have to wait.
func (c *conn) admitOrRefuse() (refused bool) {
	p, m := c.nextRefused()
	if p == nil {
		return false
	}
	c.refuse(p, m)
	return true
}

// refuse answers a call that is not open.
func (c *conn) refuse(p *pendingCall, m message) {
	c.finish(p.id, m, 0, p.answer)
	c.callEnded(p)
}

// nextRefused passes waiting calls to the engine. It returns the first one that is refused instead, with the answer, or nil when all others
// have to wait. A client that has left gets no answer.
func (c *conn) nextRefused() (p *pendingCall, m message) {
	c.admitting.Lock()
	defer c.admitting.Unlock()
	defer c.setWakeUp()
	for {
		if expired, ok := c.waiting.RemoveExpired(time.Now()); ok {
			return expired, refusal(expired.id, tooManyOpen, refuseRetryAfter)
		}
		first, ok := c.waiting.First()
		if !ok {
			c.memoryShort.Store(false)
			return nil, nil
		}
		state, m := c.tryOpen(first)
		if state == callWaits {
			return nil, nil
		}
		c.waiting.RemoveFirst()
		if state == callRefused {
			return first, m
		}
	}
}

// callState is what became of a call.
type callState uint8

const (
	callOpened  callState = iota // the engine took it
	callRefused                  // it is to be answered
	callWaits                    // neither is possible yet
)

// tryOpen passes a call to the engine if its connection may have another open call. For a refused one it returns the answer, nil if the
// client has left. c.admitting is held.
func (c *conn) tryOpen(p *pendingCall) (state callState, answer message) {
	reason, mustWait := c.admit()
	switch {
	case mustWait:
		return callWaits, nil
	case reason == clientHasLeft:
		return callRefused, nil
	case reason != "":
		return callRefused, refusal(p.id, reason, refuseRetryAfter)
	}
	return c.open(p)
}

// admit reserves what another open call needs. mustWait tells that an open call of the connection has to end first, or that other busy
// connections have their turn. reason tells why the call has to be refused. c.admitting is held.
func (c *conn) admit() (reason string, mustWait bool) {
	if c.ctx.Err() != nil {
		return clientHasLeft, false
	}
	if c.front.shuttingDown.Load() {
		return nodeIsLeaving, false
	}
	c.held = false
	opened := int(c.opened.Load())
	if opened >= c.front.cfg.MaxInflight {
		return "", true
	}
	if c.held = time.Now().Before(c.nextOpening()); c.held {
		return "", true
	}
	if !c.reserveCall(openCallBytes) {
		c.memoryShort.Store(opened > 0)
		if opened > 0 {
			return "", true
		}
		return noMemoryForCall, false
	}
	c.memoryShort.Store(false)
	switch c.peer() {
	case sock.PeerClosed: // it does not get the answer, but its other open calls then end too
		c.cancel()
		reason = clientHasLeft
	case sock.PeerUnknown:
		reason = tooManySentAhead
	}
	if reason != "" {
		c.releaseCall(openCallBytes)
	}
	return reason, false
}

// nextOpening returns when the next call may be opened, which may have passed. c.admitting is held.
func (c *conn) nextOpening() time.Time {
	if turn := c.refusals.Next(); turn.After(c.pausedUntil) {
		return turn
	}
	return c.pausedUntil
}

// setWakeUp makes admitWaiting run when the first waiting call has to be refused, or the next one may be opened. c.admitting is held.
func (c *conn) setWakeUp() {
	at, ok := c.waiting.NextDeadline()
	if next := c.nextOpening(); ok && c.held && next.Before(at) { // it may have passed since admit has looked
		at = next
	}
	switch {
	case !ok && c.wakeUp != nil:
		c.wakeUp.Stop()
	case !ok:
	case c.wakeUp == nil:
		c.wakeUp = time.AfterFunc(time.Until(at), c.admitWaiting)
	default:
		c.wakeUp.Reset(time.Until(at))
	}
}

// open passes a call to the engine, for which openCallBytes are reserved. The engine may answer at once, without a backend. c.admitting is
// held.
func (c *conn) open(p *pendingCall) (state callState, answer message) {
	p.call.Disconnected = c.mayBeClosed
	p.memory.retain(1) // by the engine
	p.call.Memory = p.memory
	c.front.cfg.Engine.Submit(&p.call.Request) // the id is new, so this can't fail
	select {
	case a := <-p.call.Done():
		c.releaseCall(openCallBytes)
		c.pausedUntil = time.Now().Add(refusalPause(int(c.opened.Load()), c.front.cfg.MaxInflight))
		answer, _ = encodeAnswer(p.id, a)
		return callRefused, answer
	default:
	}
	p.atBackend.Store(true)
	c.opened.Add(1)
	go c.awaitAnswer(p)
	return callOpened, nil
}

// awaitAnswer delivers the answer to an open call.
func (c *conn) awaitAnswer(p *pendingCall) {
	select {
	case a := <-p.call.Done():
		m, size := encodeAnswer(p.id, a)
		c.releaseCall(openCallBytes - size)
		c.finish(p.id, m, size, p.answer)
	case <-c.ctx.Done():
		c.front.cfg.Engine.Cancel(&p.call.Request)
		c.releaseCall(openCallBytes)
		c.finish(p.id, nil, 0, p.answer)
	}
	c.opened.Add(-1)
	c.callEnded(p)
	c.admitWaiting()
}

// callEnded returns what an answered call has used.
func (c *conn) callEnded(p *pendingCall) {
	p.memory.Release()
	c.callDone()
	c.calls.Done()
}

// finish frees the id of a call and delivers its answer, unless it is a notification.
func (c *conn) finish(id jsontext.Value, m message, size int64, answer func(m message, size int64)) {
	if id == nil {
		m = nil
	} else {
		c.mu.Lock()
		delete(c.openIDs, string(id))
		c.mu.Unlock()
	}
	answer(m, size)
}
