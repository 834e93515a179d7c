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
func (c *conn) batch(members []jsontext.Value, arrived time.Time) {
	f := c.front
	if len(members) == 0 || len(members) > f.cfg.MaxBatch {
		c.write(jsonrpc.AppendError(nil, jsonrpc.Null, jsonrpc.InvalidRequest, "Invalid Request",
			quote(fmt.Sprintf("a batch has 1 to %d members", f.cfg.MaxBatch))))
		return
	}
	b := &batchAnswer{conn: c, pending: 1, parts: make([][]byte, len(members))}
	type memberCall struct {
		call *rpccarrier.Call
		id   jsontext.Value
		at   int
	}
	var calls []memberCall
	shortest := time.Duration(0)
	for i, v := range members {
		call, id, errAnswer := c.parse(v, arrived)
		if errAnswer != nil {
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
		c.start(x.call, x.id, func(answer []byte) { b.set(x.at, answer) })
	}
	b.set(-1, nil)
}

// batchAnswer collects the answers to the members of a batch.
type batchAnswer struct {
	conn    *conn
	mu      sync.Mutex
	pending int
	parts   [][]byte // by member; empty for a notification
}

func (b *batchAnswer) addPending() {
	b.mu.Lock()
	b.pending++
	b.mu.Unlock()
}

func (b *batchAnswer) set(i int, answer []byte) {
	b.mu.Lock()
	if i >= 0 {
		b.parts[i] = answer
	}
	b.pending--
	last := b.pending == 0
	b.mu.Unlock()
	if !last {
		return
	}
	var out []byte
	for _, p := range b.parts {
		if len(p) == 0 { // a notification
			continue
		}
		if out == nil {
			out = append(out, '[')
		} else {
			out = append(out, ',')
		}
		out = append(out, p...)
	}
	if out != nil { // a batch of notifications only gets no answer
		b.conn.write(append(out, ']'))
	}
}
