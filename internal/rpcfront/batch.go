package rpcfront

import (
	"fmt"
	"sync"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"craneglade/internal/jsonrpc"
	"craneglade/internal/rpccarrier"
)

// memberCall is a call that is a member of a batch.
type memberCall struct {
	call  *rpccarrier.Call
	id    jsontext.Value
	index int // in the batch
}

// batch answers the members of a batch with one array, in time for the shortest deadline among them. Members that miss it fail
// individually. An error means that the batch is malformed, or that there is no memory to answer it.
func (c *conn) batch(text jsontext.Value, memory *messageMemory) (err error) {
	f, count := c.front, 0
	f.cfg.Parsing.Run(func() { count, err = jsonrpc.CountMembers(text) })
	if err != nil {
		return err
	}
	if count == 0 || count > f.cfg.MaxBatch {
		c.writeFromReader(message{jsonrpc.AppendError(nil, jsonrpc.Null, jsonrpc.InvalidRequest, "Invalid Request",
			quote(fmt.Sprintf("a batch has 1 to %d members", f.cfg.MaxBatch)))})
		return nil
	}
	if err := memory.reserveCalls(count); err != nil {
		return err
	}
	b := &batchAnswer{conn: c, memory: memory, pending: 1, parts: make([]message, count)}
	var calls []memberCall
	f.cfg.Parsing.Run(func() { calls, err = c.parseBatch(text, b) })
	if err != nil {
		return err
	}
	memory.retain(1) // by the answer to the batch
	shortest := shortestTimeout(calls)
	for _, m := range calls {
		m.call.ClientTimeout = shortest
		b.addPending()
		c.start(m.call, m.id, memory, func(answer message, size int64) { b.set(m.index, answer, size) })
	}
	c.received.ObserveWhile(func() { b.set(-1, nil, 0) }) // which writes the answer if no call is left
	return nil
}

// parseBatch returns the calls of a batch, in order. It answers members that are invalid, and all calls if there is no memory for
// them: those are not kept until the others are parsed.
func (c *conn) parseBatch(text jsontext.Value, b *batchAnswer) (calls []memberCall, err error) {
	members, err := jsonrpc.Members(text)
	if err != nil {
		return nil, err
	}
	for i, v := range members {
		call, id, errAnswer := c.parse(v)
		switch {
		case call == nil:
			b.parts[i] = errAnswer
		case !b.memory.hasCalls:
			b.addPending()
			c.start(call, id, b.memory, func(answer message, size int64) { b.set(i, answer, size) })
		default:
			calls = append(calls, memberCall{call, id, i})
		}
	}
	return calls, nil
}

// shortestTimeout returns the shortest client timeout of calls, or 0 if there are none.
func shortestTimeout(calls []memberCall) time.Duration {
	shortest := time.Duration(0)
	for i, m := range calls {
		if i == 0 || m.call.ClientTimeout < shortest {
			shortest = m.call.ClientTimeout
		}
	}
	return shortest
}

// batchAnswer collects the answers to the members of a batch.
type batchAnswer struct {
	conn    *conn
	memory  *messageMemory
	mu      sync.Mutex
	pending int
	parts   []message // by member; nil for a notification
	size    int64     // memory reserved for parts
}

func (b *batchAnswer) addPending() {
	b.mu.Lock()
	b.pending++
	b.mu.Unlock()
}

// set sets the answer to member i, for which size bytes are reserved. The last call writes the array and returns the memory of
// all answers.
func (b *batchAnswer) set(i int, answer message, size int64) {
	b.mu.Lock()
	if i >= 0 {
		b.parts[i] = answer
	}
	b.size += size
	b.pending--
	last := b.pending == 0
	b.mu.Unlock()
	if !last {
		return
	}
	b.conn.write(b.array())
	b.conn.releaseCall(b.size)
	b.memory.Release()
}

// array returns the array of all answers, nil if there are none: a batch of notifications only gets no answer.
func (b *batchAnswer) array() message {
	var out message
	separator := []byte{'['}
	for _, p := range b.parts {
		if len(p) == 0 { // a notification
			continue
		}
		out = append(append(out, separator), p...)
		separator = []byte{','}
	}
	if out == nil {
		return nil
	}
	return append(out, []byte{']'})
}
