package rpcfront

import (
	"fmt"
	"sync"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"craneglade/internal/jsonrpc"
	"craneglade/internal/rpccarrier"
)

// batch answers the members of a batch with one array, in time for the shortest deadline among them. Members that miss it fail
// individually.
func (c *conn) batch(members []jsontext.Value, arrived time.Time, memory *messageMemory) {
	f := c.front
	if len(members) == 0 || len(members) > f.cfg.MaxBatch {
		c.write(message{jsonrpc.AppendError(nil, jsonrpc.Null, jsonrpc.InvalidRequest, "Invalid Request",
			quote(fmt.Sprintf("a batch has 1 to %d members", f.cfg.MaxBatch)))})
		return
	}
	memory.reserveCalls(len(members))
	memory.retain(1) // by the answer to the batch
	b := &batchAnswer{conn: c, memory: memory, pending: 1, parts: make([]message, len(members))}
	type memberCall struct {
		call *rpccarrier.Call
		id   jsontext.Value
		at   int
	}
	var calls []memberCall
	shortest := time.Duration(0)
	for i, v := range members {
		call, id, errAnswer := c.parse(v, arrived)
		if call == nil {
			b.parts[i] = errAnswer
			continue
		}
		if shortest == 0 || call.ClientTimeout < shortest {
			shortest = call.ClientTimeout
		}
		calls = append(calls, memberCall{call, id, i})
	}
	for _, x := range calls {
		x.call.ClientTimeout = shortest
		b.addPending()
		c.start(x.call, x.id, memory, func(answer message, size int64) { b.set(x.at, answer, size) })
	}
	b.set(-1, nil, 0)
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
