package rpcfront

import (
	"strconv"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"craneglade/internal/engine"
	"craneglade/internal/jsonrpc"
	"craneglade/internal/rpccarrier"
	"craneglade/policy"
)

// single answers a message that is not part of a batch.
func (c *conn) single(v jsontext.Value, arrived time.Time) {
	call, id, errAnswer := c.parse(v, arrived)
	if errAnswer != nil {
		c.write(errAnswer)
		return
	}
	c.start(call, id, func(answer []byte) {
		if answer != nil {
			c.write(answer)
		}
	})
}

// parse parses a message. For an invalid one it returns the error answer, which is empty for a notification.
func (c *conn) parse(v jsontext.Value, arrived time.Time) (call *rpccarrier.Call, id jsontext.Value, errAnswer []byte) {
	m, err := jsonrpc.Parse(v, "")
	refuse := func(code int, text, reason string) []byte {
		if m.IsNotification() {
			return []byte{} // a notification gets no answer
		}
		return jsonrpc.AppendError(nil, m.ID, code, text, quote(reason))
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
	// The engine's ids include those of HTTP clients: a byte that no header can contain keeps the two apart.
	call.ID = "\x00" + strconv.FormatUint(c.front.lastCall.Add(1), 36)
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

// start passes a call to the engine once fewer than MaxInflight are open. Until then it blocks and nothing more is read, which
// slows the client down. answer is called once, with nil for a notification or a client that has disconnected.
func (c *conn) start(call *rpccarrier.Call, id jsontext.Value, answer func([]byte)) {
	f := c.front
	if !c.acquireSlot(call.Arrived.Add(call.ClientTimeout)) {
		c.finish(id, answer, jsonrpc.AppendError(nil, idOrNull(id), Refused, "too many calls are open", refusalData(refuseRetryAfter)))
		return
	}
	if f.shuttingDown.Load() {
		<-c.slots
		c.finish(id, answer, jsonrpc.AppendError(nil, idOrNull(id), Refused, "the node is leaving", refusalData(refuseRetryAfter)))
		return
	}
	c.callStarted()
	c.calls.Add(1)
	f.cfg.Engine.Submit(&call.Request) // the id is new, so this can't fail
	go func() {
		defer c.calls.Done()
		defer c.callDone()
		defer func() { <-c.slots }()
		select {
		case a := <-call.Done():
			c.finish(id, answer, encodeAnswer(id, a))
		case <-c.ctx.Done():
			f.cfg.Engine.Cancel(&call.Request)
			c.finish(id, answer, nil)
		}
	}()
}

// acquireSlot waits for a free slot for an open call and reports whether there was one before the deadline.
func (c *conn) acquireSlot(deadline time.Time) bool {
	select {
	case c.slots <- struct{}{}:
		return true
	default:
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case c.slots <- struct{}{}:
		return true
	case <-timer.C:
		return false
	}
}

// finish frees the id of a call and delivers its answer, unless it is a notification.
func (c *conn) finish(id jsontext.Value, answer func([]byte), text []byte) {
	if id == nil {
		text = nil
	} else {
		c.mu.Lock()
		delete(c.openIDs, string(id))
		c.mu.Unlock()
	}
	answer(text)
}
