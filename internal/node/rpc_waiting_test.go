package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"craneglade/internal/settings"
)

const (
	fewInflight = 2  // calls that may be open on a connection
	fewWaiting  = 10 // calls behind them
)

// startWithWaitingCalls starts a node with a client of which fewInflight calls are at a backend that does not answer until unblock is
// called. fewWaiting more wait on its connection, each with its own deadline if that is not 0.
func startWithWaitingCalls(t *testing.T, deadline time.Duration) (r *testNode, b *rpcBackend, c *client, unblock func()) {
	t.Helper()
	b, unblock = newBlockingRPCBackend(t, "sendQuote")
	r, addr := startRPCNode(t, func(j *settings.JSONRPC) { j.MaxInflight = fewInflight }, b.entry("s-1"))
	c = dialRPC(t, addr)
	for id := range fewInflight {
		c.send(fmt.Sprintf(`{"jsonrpc":"2.0","id":"open-%d","method":"sendQuote","params":{}}`, id))
	}
	wait(t, "the first calls at the backend", func() bool { return b.calls("sendQuote") == fewInflight })
	params := "{}"
	if deadline > 0 {
		params = fmt.Sprintf(`{"deadline_ms":%d}`, deadline.Milliseconds())
	}
	c.send(strings.TrimSpace(batchOf(fewWaiting/2, "sendQuote", params)))
	for id := fewWaiting / 2; id < fewWaiting; id++ {
		c.send(fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"sendQuote","params":%s}`, id, params))
	}
	return r, b, c, unblock
}

// checkWaitingRefused checks that the waiting calls are refused, in a batch and alone, and that none of them was sent.
func checkWaitingRefused(t *testing.T, b *rpcBackend, c *client) {
	t.Helper()
	refused := 0
	for refused < fewWaiting {
		got := c.line()
		n := strings.Count(got, `"code":-32001`)
		if n == 0 || n != strings.Count(got, `"jsonrpc"`) {
			t.Fatalf("answered %s", got)
		}
		refused += n
	}
	if n := b.calls("sendQuote"); n != fewInflight {
		t.Errorf("%d calls were sent, want only the first %d", n, fewInflight)
	}
}

// Calls that wait behind others of their connection were answered only once those had ended, however short their own time was.
func TestWaitingCallsAreRefusedInTheirOwnTime(t *testing.T) {
	t.Parallel()
	_, b, c, unblock := startWithWaitingCalls(t, 50*time.Millisecond)
	checkWaitingRefused(t, b, c)
	unblock()
	for range fewInflight {
		if got := c.line(); !strings.Contains(got, `"result"`) {
			t.Errorf("an open call: %s", got)
		}
	}
}

// Waiting calls are served in their order as open ones end.
func TestWaitingCallsAreServed(t *testing.T) {
	t.Parallel()
	r, b, c, unblock := startWithWaitingCalls(t, 0)
	unblock()
	served := 0
	for served < fewInflight+fewWaiting {
		got := c.line()
		n := strings.Count(got, `"result"`)
		if n == 0 || n != strings.Count(got, `"jsonrpc"`) {
			t.Fatalf("answered %s", got)
		}
		served += n
	}
	if n := b.calls("sendQuote"); n != fewInflight+fewWaiting {
		t.Errorf("%d calls were sent", n)
	}
	r.waitMemoryReturned(t, "all answers")
}

// At a shutdown waiting calls are refused at once: their client may send them to another node.
func TestWaitingCallsAreRefusedAtShutdown(t *testing.T) {
	t.Parallel()
	r, b, c, unblock := startWithWaitingCalls(t, 0)
	c.send(`{"jsonrpc":"2.0","id":"last","method":"nothing"}`) // all before it was read when it is answered
	if got := c.line(); !strings.Contains(got, "-32601") {
		t.Fatalf("answered %s", got)
	}
	r.sigterm()
	checkWaitingRefused(t, b, c)
	unblock()
	for range fewInflight {
		if got := c.line(); !strings.Contains(got, `"result"`) {
			t.Errorf("an open call: %s", got)
		}
	}
	if !c.closed() {
		t.Error("the connection stays open")
	}
}

// A client that leaves takes its waiting calls with it: none is sent, and their memory is returned.
func TestWaitingCallsOfDepartedClientAreDropped(t *testing.T) {
	t.Parallel()
	r, b, c, unblock := startWithWaitingCalls(t, 0)
	c.Close()
	r.waitMemoryReturned(t, "the client left")
	wait(t, "no open requests", func() bool { return r.engine.OpenRequests() == 0 })
	unblock()
	if n := b.calls("sendQuote"); n != fewInflight {
		t.Errorf("%d calls were sent, want only the first %d", n, fewInflight)
	}
}

// A message that can't be parsed ends its connection once the calls before it are answered, those that wait too.
func TestWaitingCallsAreAnsweredBeforeParseErrorEndsConnection(t *testing.T) {
	t.Parallel()
	r, _, c, unblock := startWithWaitingCalls(t, 0)
	c.send("]")
	if got := c.line(); !strings.Contains(got, "-32700") {
		t.Fatalf("answered %s", got)
	}
	unblock()
	for served := 0; served < fewInflight+fewWaiting; {
		served += strings.Count(c.line(), `"result"`)
	}
	if !c.closed() {
		t.Error("the connection stays open")
	}
	r.waitMemoryReturned(t, "the connection's end")
}

// Calls that wait take no more memory than as many as may be open, however many a client sends: other clients share it.
func TestWaitingCallsLeaveMemoryForOthers(t *testing.T) {
	t.Parallel()
	const limit = 2 * fewInflight * openCallBytes
	r, b, c, unblock := startWithWaitingCalls(t, 0)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for id := range 5000 {
			fmt.Fprintf(c, `{"jsonrpc":"2.0","id":%d,"method":"sendQuote","params":{}}`, fewWaiting+id) // an error shows up as missing memory
		}
	}()
	wait(t, "a connection with as many waiting calls as it may have", func() bool { return r.bodies.ReservedForRPC() > limit*9/10 })
	for range 100 {
		if reserved := r.bodies.ReservedForRPC(); reserved > limit {
			t.Fatalf("%d bytes are reserved, want %d at most", reserved, limit)
		}
		time.Sleep(time.Millisecond)
	}
	if n := b.calls("sendQuote"); n != fewInflight {
		t.Errorf("%d calls were sent", n)
	}
	c.Close()
	<-sent
	unblock()
	r.waitMemoryReturned(t, "the client left")
}
