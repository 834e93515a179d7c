package node

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"craneglade/internal/jsonrpc"
	"craneglade/internal/settings"
)

const (
	smallMemoryMB = 2
	// mostOpenCalls is for how many open calls one connection can have memory with smallMemoryMB: 3/8 of the 640 KiB for
	// JSON-RPC, and 72 KiB for a call.
	mostOpenCalls = 3
	openCallBytes = 72 << 10 // reserved for an open call: the longest answer, 64 KiB, and the call itself
)

func withMemory(mb int) func(*Config) { return func(c *Config) { c.MemoryMB = mb } }

// waitMemoryReturned waits until no memory is reserved for JSON-RPC.
func (r *testNode) waitMemoryReturned(t *testing.T, after string) {
	t.Helper()
	wait(t, "all memory for JSON-RPC returned after "+after, func() bool { return r.bodies.ReservedForRPC() == 0 })
}

// respondLong answers each call with a result of size bytes.
func respondLong(size int) func(net.Conn, jsonrpc.Message) bool {
	result := strings.Repeat("x", size)
	return func(c net.Conn, m jsonrpc.Message) bool {
		return writeLine(c, `{"jsonrpc":"2.0","id":%s,"result":"%s"}`, m.ID, result)
	}
}

// batchOf returns a batch of calls with ids from 0.
func batchOf(size int, method, params string) string {
	members := make([]string, size)
	for i := range members {
		members[i] = fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":%q,"params":%s}`, i, method, params)
	}
	return "[" + strings.Join(members, ",") + "]\n"
}

type rpcAnswer struct {
	ID     *int
	Result json.RawMessage
	Error  *struct{ Code int }
}

// The answers to a batch were kept in memory that no budget counted, so that hundreds of long ones took a node over its memory limit. Members for
// whose answers there is no memory are refused before they are sent, each under its own id.
func TestBatchMembersWithoutMemoryAreRefusedUnsent(t *testing.T) {
	t.Parallel()
	const members, answerBytes = 100, 50_000
	b := newRPCBackend(t, respondLong(answerBytes))
	r, addr := startRPCNodeWith(t, withMemory(smallMemoryMB), nil, b.entry("s-1"))
	c := dialRPC(t, addr)
	c.send(batchOf(members, "sendQuote", "{}"))
	var all []rpcAnswer
	if err := json.Unmarshal([]byte(c.line()), &all); err != nil {
		t.Fatal(err)
	}
	served := 0
	answered := map[int]bool{}
	for _, a := range all {
		if a.ID == nil || answered[*a.ID] {
			t.Fatalf("an answer without an id or a second one: %+v", a)
		}
		answered[*a.ID] = true
		if a.Error == nil {
			served++
		} else if a.Error.Code != -32001 {
			t.Errorf("call %d failed with %d", *a.ID, a.Error.Code)
		}
	}
	if len(answered) != members {
		t.Errorf("%d of %d calls were answered", len(answered), members)
	}
	if sent := b.calls("sendQuote"); sent != served || served == 0 {
		t.Errorf("%d calls were served and %d sent", served, sent)
	}
	if limit := r.bodies.RPCLimit(); int64(served)*answerBytes > limit {
		t.Errorf("%d answers of %d bytes were kept, with %d bytes of memory for JSON-RPC", served, answerBytes, limit)
	}
	r.waitMemoryReturned(t, "the batch")
}

// A call without memory waits while other calls of its connection are open, as their answers may need less than is reserved.
func TestCallsWaitForMemoryOfOpenCalls(t *testing.T) {
	t.Parallel()
	const calls = 30
	b, unblock := newBlockingRPCBackend(t, "view")
	r, addr := startRPCNodeWith(t, withMemory(smallMemoryMB), nil, b.entry("s-1"))
	c := dialRPC(t, addr)
	c.send(batchOf(calls, "view", "[1]"))
	wait(t, "a call at the backend", func() bool { return b.calls("view") > 0 })
	wait(t, "a connection whose share of memory is used up", func() bool { return r.bodies.ReservedForRPC()+openCallBytes > r.bodies.RPCLimit()*3/8 })
	if n := b.calls("view"); n > mostOpenCalls {
		t.Errorf("%d calls are open, with memory for %d", n, mostOpenCalls)
	}
	unblock()
	var all []rpcAnswer
	if err := json.Unmarshal([]byte(c.line()), &all); err != nil {
		t.Fatal(err)
	}
	refused := slices.ContainsFunc(all, func(a rpcAnswer) bool { return a.Error != nil })
	if len(all) != calls || refused {
		t.Errorf("%d answers, some refused: %v", len(all), refused)
	}
	r.waitMemoryReturned(t, "the batch")
}

// A client with many long answers leaves memory for the calls of other clients, and for requests over HTTP.
func TestLongAnswersLeaveMemoryForOtherClients(t *testing.T) {
	t.Parallel()
	b, unblock := newBlockingRPCBackend(t, "sendQuote")
	r, addr := startRPCNodeWith(t, withMemory(smallMemoryMB), nil, b.entry("s-1"))
	greedy := dialRPC(t, addr)
	greedy.send(batchOf(50, "sendQuote", "{}"))
	wait(t, "the greedy client's share of memory to be used up", func() bool { return r.bodies.ReservedForRPC()+openCallBytes > r.bodies.RPCLimit()*3/8 })
	other := dialRPC(t, addr)
	other.send(`{"jsonrpc":"2.0","id":1,"method":"sum","params":[1]}`)
	if got := other.line(); !sameJSON(got, `{"jsonrpc":"2.0","id":1,"result":1}`) {
		t.Errorf("the other client: %s", got)
	}
	if resp, _ := r.dial(t).roundTrip(view("v")); resp.StatusCode != 200 {
		t.Errorf("over HTTP: %d", resp.StatusCode)
	}
	unblock()
	greedy.line()
	r.waitMemoryReturned(t, "the batch")
}

// A message for which there is no memory is refused, and its connection ends, as the rest of the message is not read.
func TestMessageWithoutMemoryIsRefused(t *testing.T) {
	t.Parallel()
	b := newRPCBackend(t, respondRPC)
	r, addr := startRPCNodeWith(t, withMemory(smallMemoryMB), nil, b.entry("s-1"))
	unfinished := `{"jsonrpc":"2.0","id":1,"method":"sum","params":["` + strings.Repeat("x", 60_000)
	var others []*client
	for r.bodies.ReservedForRPC() <= r.bodies.RPCLimit()/2-jsonrpc.MaxFrameBytes {
		before := r.bodies.ReservedForRPC()
		c := dialRPC(t, addr)
		c.send(unfinished)
		others = append(others, c)
		wait(t, "memory for the message", func() bool { return r.bodies.ReservedForRPC() >= before+60_000 })
	}
	c := dialRPC(t, addr)
	c.send(unfinished)
	if got := c.line(); !strings.Contains(got, "-32001") || !strings.Contains(got, `"id":null`) {
		t.Errorf("answered %s", got)
	}
	if !c.closed() {
		t.Error("the connection stays open")
	}
	for _, c := range others {
		c.Close()
	}
	r.waitMemoryReturned(t, "the clients left")
	d := dialRPC(t, addr)
	d.send(`{"jsonrpc":"2.0","id":1,"method":"sum","params":[1]}`)
	if got := d.line(); !sameJSON(got, `{"jsonrpc":"2.0","id":1,"result":1}`) {
		t.Errorf("then: %s", got)
	}
}

// Each way in which a message or a call ends returns its memory.
func TestRPCMemoryIsReturned(t *testing.T) {
	t.Parallel()
	const open = `{"jsonrpc":"2.0","id":1,"method":"sendQuote","params":{}}`
	for _, x := range []struct {
		name, send string
		answers    int
	}{
		{"a call", `{"jsonrpc":"2.0","id":1,"method":"sum","params":[1]}`, 1},
		{"an application error", `{"jsonrpc":"2.0","id":1,"method":"view","params":{}}`, 1},
		{"a notification", `{"jsonrpc":"2.0","method":"update","params":[1]}`, 0},
		{"a batch", batchOf(20, "sum", "[1]"), 1},
		{"a batch of notifications", `[{"jsonrpc":"2.0","method":"update","params":[1]},{"jsonrpc":"2.0","method":"update","params":[1]}]`, 0},
		{"a batch with invalid members", `[1,{"jsonrpc":"2.0","id":2,"method":"nothing"},{"jsonrpc":"2.0","id":3,"method":"sum","params":[1]}]`, 1},
		{"an empty batch", `[]`, 1},
		{"too large a batch", batchOf(200, "sum", "[1]"), 1},
		{"invalid JSON", `{"jsonrpc":"2.0",]`, 1},
		{"a deadline that ends before the answer", `{"jsonrpc":"2.0","id":1,"method":"sendQuote","params":{"deadline_ms":100}}`, 1},
		{"a second call with an open id", open + open, 1},
		{"a client that leaves during a call", open, 0},
		{"a client that leaves during a batch", batchOf(30, "sendQuote", "{}"), 0},
		{"a client that leaves during a message", `{"jsonrpc":"2.0","id":1`, 0},
		{"a client that leaves before it reads its answer", batchOf(90, "saveConfig", `{"key":"k"}`), 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			longAnswer := respondLong(60_000)
			b := newRPCBackend(t, func(c net.Conn, m jsonrpc.Message) bool {
				switch m.Method {
				case "sendQuote":
					return true // not answered
				case "view":
					return writeLine(c, `{"jsonrpc":"2.0","id":%s,"error":{"code":7,"message":"no such design"}}`, m.ID)
				case "saveConfig":
					return longAnswer(c, m)
				}
				return respondRPC(c, m)
			})
			r, addr := startRPCNodeWith(t, withMemory(64), nil, b.entry("s-1"))
			c := dialRPC(t, addr)
			c.send(x.send)
			wait(t, "memory for the message, or its answer", func() bool { return r.bodies.ReservedForRPC() > 0 || x.answers > 0 || b.calls("update") > 0 })
			for range x.answers {
				c.line()
			}
			if x.answers == 0 {
				c.Close()
			}
			if x.name == "a second call with an open id" {
				c.Close()
			}
			r.waitMemoryReturned(t, x.name)
			wait(t, "no open requests", func() bool { return r.engine.OpenRequests() == 0 })
		})
	}
}

// A shutdown that fails open calls, and a backend that dies, return the memory of their calls.
func TestRPCMemoryIsReturnedAfterFailures(t *testing.T) {
	t.Parallel()
	t.Run("backend dies", func(t *testing.T) {
		t.Parallel()
		b := newRPCBackend(t, func(_ net.Conn, m jsonrpc.Message) bool { return m.Method != "sendQuote" })
		r, addr := startRPCNodeWith(t, withMemory(64), nil, b.entry("s-1"))
		c := dialRPC(t, addr)
		c.send(batchOf(50, "sendQuote", "{}"))
		c.line()
		r.waitMemoryReturned(t, "the backend closed the connection")
	})
	t.Run("shutdown", func(t *testing.T) {
		t.Parallel()
		b := newRPCBackend(t, func(net.Conn, jsonrpc.Message) bool { return true })
		r, addr := startRPCNodeWith(t, withMemory(64), nil, b.entry("s-1"))
		c := dialRPC(t, addr)
		c.send(batchOf(50, "sendQuote", "{}"))
		wait(t, "the calls at the backend", func() bool { return b.calls("sendQuote") == 50 })
		r.sigterm()
		c.SetDeadline(time.Now().Add(testTimeout))
		c.line() // at the end of the shutdown's schedule
		r.waitMemoryReturned(t, "the shutdown")
	})
}

// A backend's answer is kept without the rest of the message that it came in.
func TestShortResultInLongMessage(t *testing.T) {
	t.Parallel()
	padding := strings.Repeat("x", 50_000)
	b := newRPCBackend(t, func(c net.Conn, m jsonrpc.Message) bool {
		return writeLine(c, `{"jsonrpc":"2.0","id":%s,"result":1,"padding":"%s"}`, m.ID, padding)
	})
	const members = 100
	r, addr := startRPCNodeWith(t, withMemory(smallMemoryMB), func(j *settings.JSONRPC) { j.MaxInflight = 2 }, b.entry("s-1"))
	c := dialRPC(t, addr)
	c.send(batchOf(members, "sum", "[1]"))
	var all []rpcAnswer
	if err := json.Unmarshal([]byte(c.line()), &all); err != nil {
		t.Fatal(err)
	}
	for _, a := range all {
		if a.Error != nil {
			t.Fatalf("call %d was refused: short results are counted with the length of their messages", *a.ID)
		}
	}
	r.waitMemoryReturned(t, "the batch")
}
