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

// single answers a message that is not part of a batch. An error means that there is no memory to answer it.
func (c *conn) single(v jsontext.Value, memory *messageMemory) error {
	if err := memory.reserveCalls(1); err != nil {
		return err
	}
	var call *rpccarrier.Call
	var id jsontext.Value
	var errAnswer message
	c.front.cfg.Parsing.Run(func() { call, id, errAnswer = c.parse(v) })
	if call == nil {
		c.writeFromReader(errAnswer)
		return nil
	}
	c.atBackend = c.start(call, id, memory, func(answer message, size int64) {
		c.write(answer)
		c.releaseCall(size)
	})
	return nil
}

// parse parses a message. For an invalid one call is nil, and errAnswer is the answer, nil for a notification.
func (c *conn) parse(v jsontext.Value) (call *rpccarrier.Call, id jsontext.Value, errAnswer message) {
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
		Arrived: c.messageArrived, ClientTimeout: method.ClientTimeout, RequiredProtocols: engine.ProtocolRPC}}
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
