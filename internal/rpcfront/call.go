package rpcfront

import (
	"strconv"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"craneglade/internal/engine"
	"craneglade/internal/jsonrpc"
	"craneglade/internal/rpccarrier"
	"craneglade/internal/sock"
	"craneglade/policy"
)

// noMemoryForCall is the text of the error of a call that is refused for lack of memory.
const noMemoryForCall = "no memory for a call"

// single answers a message that is not part of a batch. An error means that there is no memory to answer it.
func (c *conn) single(v jsontext.Value, arrived time.Time, memory *messageMemory) error {
	if err := memory.reserveCalls(1); err != nil {
		return err
	}
	var call *rpccarrier.Call
	var id jsontext.Value
	var errAnswer message
	c.front.cfg.Parsing.Run(func() { call, id, errAnswer = c.parse(v, arrived) })
	if call == nil {
		c.write(errAnswer)
		return nil
	}
	c.atBackend = c.start(call, id, memory, func(answer message, size int64) {
		c.write(answer)
		c.releaseCall(size)
	})
	return nil
}

// parse parses a message. For an invalid one call is nil, and errAnswer is the answer, nil for a notification.
func (c *conn) parse(v jsontext.Value, arrived time.Time) (call *rpccarrier.Call, id jsontext.Value, errAnswer message) {
	m, err := jsonrpc.Parse(v, "")
	refuse := func(code int, text, reason string) message {
		if m.IsNotification() {
			return nil // a notification gets no answer
		}
		return message{jsonrpc.AppendError(nil, m.ID, code, text, quote(reason))}
	}
	if err != nil {
		m.ID = idOrNull(m.ID) // an invalid request is not a notification, even without an id
		return nil, nil, refuse(jsonrpc.InvalidRequest, "Invalid Request", err.Error())
	}
	if m.Method == "" && (m.Result != nil || m.Error != nil) {
		m.ID = jsonrpc.Null
		return nil, nil, refuse(jsonrpc.InvalidRequest, "Invalid Request", "nothing was asked of this client")
	}
	method, ok := c.front.cfg.Methods[m.Method]
	if !ok {
		return nil, nil, refuse(jsonrpc.MethodNotFound, "Method not found", m.Method)
	}
	call = &rpccarrier.Call{Method: m.Method, Params: m.Params, Request: engine.Request{Class: method.Class,
		Arrived: arrived, ClientTimeout: method.ClientTimeout, RequiredProtocols: engine.ProtocolRPC}}
	call.Payload = call
	call.ID = c.front.idPrefix + strconv.FormatUint(c.front.lastCall.Add(1), 36)
	if method.Tenant != "" {
		if t, ok := jsonrpc.Find(m.Params, method.Tenant); ok {
			call.Tenant, _ = jsonrpc.Text(t)
		}
	}
	if method.Key != "" {
		if k, ok := jsonrpc.Find(m.Params, method.Key); ok {
			call.Key, _ = jsonrpc.Text(k)
		}
	}
	effect, _ := c.front.cfg.Engine.Effect(method.Class)
	if effect == policy.Keyed && call.Key == "" {
		return nil, nil, refuse(jsonrpc.InvalidParams, "Invalid params", "no idempotency key at "+string(method.Key))
	}
	if method.Deadline != "" {
		if d, ok := jsonrpc.Find(m.Params, method.Deadline); ok {
			ms, err := strconv.ParseFloat(string(d), 64)
			if err != nil || !(ms > 0 && ms <= 1e9) {
				return nil, nil, refuse(jsonrpc.InvalidParams, "Invalid params", "the deadline is milliseconds above 0")
			}
			call.ClientTimeout = min(call.ClientTimeout, time.Duration(ms*float64(time.Millisecond)))
		}
	}
	if m.IsNotification() {
		return call, nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.ID.Kind() != 'n' {
		if c.openIDs[string(m.ID)] {
			// With the same id the client would take this for the answer of the open call.
			m.ID = jsonrpc.Null
			return nil, nil, refuse(jsonrpc.InvalidRequest, "Invalid Request", "a call with this id is open")
		}
		c.openIDs[string(m.ID)] = true
	}
	return call, m.ID, nil
}

// start passes a call to the engine once admit allows it. Until then it blocks and nothing more is read, which slows the client
// down. answer is called once, with nil for a notification or a client that has disconnected; size bytes are reserved for the
// answer, which the callee has to return. start reports whether the call was not answered at once.
func (c *conn) start(call *rpccarrier.Call, id jsontext.Value, memory *messageMemory, answer func(m message, size int64)) (atBackend bool) {
	f := c.front
	refuse := func(text string) (atBackend bool) {
		c.finish(id, refusal(id, text, refuseRetryAfter), 0, answer)
		return false
	}
	if !memory.hasCalls {
		return refuse(noMemoryForCall)
	}
	if reason := c.admit(call.Arrived.Add(call.ClientTimeout)); reason != "" {
		return refuse(reason)
	}
	if reason := c.reasonToRefuse(); reason != "" {
		c.releaseCall(openCallBytes)
		return refuse(reason)
	}
	call.Disconnected = c.mayBeClosed
	memory.retain(2) // by the engine and by the goroutine below
	call.Memory = memory
	c.callStarted()
	c.calls.Add(1)
	f.cfg.Engine.Submit(&call.Request) // the id is new, so this can't fail
	atBackend = len(call.Done()) == 0
	go func() {
		defer c.calls.Done()
		defer c.callDone()
		defer memory.Release()
		select {
		case a := <-call.Done():
			m, size := encodeAnswer(id, a)
			c.releaseCall(openCallBytes - size)
			c.finish(id, m, size, answer)
		case <-c.ctx.Done():
			f.cfg.Engine.Cancel(&call.Request)
			c.releaseCall(openCallBytes)
			c.finish(id, nil, 0, answer)
		}
	}()
	return atBackend
}

// reasonToRefuse returns why a call that memory is reserved for may not be passed to the engine, or "". A client that has closed the
// connection does not get the answer, but its other open calls then end too.
func (c *conn) reasonToRefuse() string {
	if c.front.shuttingDown.Load() {
		return "the node is leaving"
	}
	switch c.peer() {
	case sock.PeerClosed:
		c.cancel()
		return "the client has left"
	case sock.PeerUnknown:
		return "too many calls are sent ahead"
	}
	return ""
}

// admit waits until the connection may have another open call: fewer than MaxInflight are open and memory for it is reserved. It
// returns the reason if neither is so before the deadline, or if memory is used up that no open call of this connection will
// return.
func (c *conn) admit(deadline time.Time) (refused string) {
	var timer *time.Timer
	expired := false
	for {
		open := c.openCallCount()
		if open < c.front.cfg.MaxInflight {
			if c.reserveCall(openCallBytes) {
				return ""
			}
			if open == 0 {
				return noMemoryForCall
			}
		}
		if timer == nil {
			timer = time.NewTimer(time.Until(deadline))
			defer timer.Stop()
		}
		c.reads.Wait(func() {
			select {
			case <-c.released:
			case <-timer.C:
				expired = true
			}
		})
		if expired {
			return "too many calls are open"
		}
	}
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
