package rpcfront

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"craneglade/internal/jsonrpc"
	"craneglade/internal/sock"
	"craneglade/internal/timing"
)

const (
	frameTimeout     = 2500 * time.Millisecond // for a frame, from its first byte
	firstByteTimeout = 10 * time.Second        // for the first byte on a new connection
	lingerTimeout    = 100 * time.Millisecond  // for the client to read its last answer
	lingerBytes      = 256 << 10               // read from the client meanwhile
	maxNesting       = 128                     // levels of arrays and objects in a message
)

// conn is a connection of a client.
type conn struct {
	net.Conn
	front    *Front
	released chan struct{} // capacity 1: a call has ended or memory was returned
	ended    chan struct{} // closed when nothing of the connection is left
	reserved atomic.Int64  // memory, in bytes
	writing  sync.Mutex
	probing  sync.Mutex
	probe    *sock.Peeker    // guarded by probing
	ctx      context.Context // ends with the connection
	cancel   context.CancelFunc
	calls    sync.WaitGroup

	// Used by the reader.
	reads     timing.FairReader
	atBackend bool // the latest message was a call that waits for a backend

	// Guarded by Front.mu.
	idleElement   *list.Element // in Front.idleConns; nil if busy
	hasDescriptor bool          // it counts against the descriptor quota

	mu        sync.Mutex
	openIDs   map[string]bool // ids of open calls, in the client's notation
	openCalls int
	closing   bool // it ends once no call is open
	framing   jsonrpc.Framing
}

// closeWhenIdle makes a connection end once no call on it is open.
func (c *conn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.openCalls == 0 {
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// callStarted counts an open call; callDone ends it.
func (c *conn) callStarted() {
	c.mu.Lock()
	c.openCalls++
	first := c.openCalls == 1
	c.mu.Unlock()
	if first {
		c.front.mu.Lock()
		c.front.markBusy(c)
		c.front.mu.Unlock()
	}
}

func (c *conn) callDone() {
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openCalls--
	c.signalReleased()
	if c.openCalls > 0 {
		return
	}
	if c.hasDescriptor && c.idleElement == nil {
		c.idleElement = f.idleConns.PushBack(c)
	}
	if c.closing {
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// openCallCount returns the number of open calls.
func (c *conn) openCallCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openCalls
}

// setReadDeadline sets the read deadline, unless the connection is to end now.
func (c *conn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing || c.openCalls > 0 {
		c.SetReadDeadline(t)
	}
}

// peer returns whether the client has closed the connection. It may be used by several goroutines.
func (c *conn) peer() sock.PeerState {
	c.probing.Lock()
	defer c.probing.Unlock()
	return c.probe.Peer()
}

// mayBeClosed reports whether the client has closed the connection, or has sent so many calls ahead that it can't be known.
func (c *conn) mayBeClosed() bool { return c.peer() != sock.PeerPresent }

// serve reads calls until the connection ends or a frame is malformed.
func (c *conn) serve() {
	c.reads = timing.FairReader{Source: c.Conn, Shared: c.front.cfg.Work,
		HasInput: func() bool { return sock.Pending(c.Conn) == sock.Readable },
		Ending:   func() bool { return c.peer() == sock.PeerClosed }}
	in := bufio.NewReader(&c.reads)
	r := jsonrpc.NewReader(in)
	r.MaxNesting = maxNesting
	for first := true; ; first = false {
		wait := c.front.cfg.IdleTimeout
		if first {
			wait = firstByteTimeout
		}
		c.setReadDeadline(time.Now().Add(wait))
		if err := r.Wait(); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.mu.Lock()
				busy := c.openCalls > 0 && !c.closing
				c.mu.Unlock()
				if busy { // it waits for answers and is not idle
					continue
				}
			}
			c.reads.Finish(lingerTimeout)
			return
		}
		if !c.serveMessage(r) {
			return
		}
	}
}

// serveMessage reads a message whose first byte is available, and starts its calls. It reports whether another message can
// follow.
func (c *conn) serveMessage(r *jsonrpc.Reader) bool {
	arrived := time.Now()
	c.setReadDeadline(arrived.Add(frameTimeout))
	memory := newMessageMemory(c)
	defer memory.Release()
	r.Grow = memory.growBuffer
	frame, err := r.Next()
	c.mu.Lock()
	c.framing = r.Framing()
	c.mu.Unlock()
	c.atBackend = false
	var text jsontext.Value
	if err == nil {
		c.front.cfg.Parsing.Run(func() { text, err = jsonrpc.Value(frame) })
	}
	if err == nil && jsonrpc.IsBatch(text) {
		err = c.batch(text, arrived, memory)
	} else if err == nil {
		err = c.single(text, arrived, memory)
	}
	switch {
	case err == nil:
		if c.atBackend && c.openCallCount() <= c.front.cfg.MaxInflight/2 { // else its client sends faster than it is served
			c.reads.DropRequest()
		}
		c.reads.EndRequest(r.Buffered())
		return true
	case errors.Is(err, jsonrpc.ErrNoMemory):
		c.endAfter(refusal(jsonrpc.Null, "no memory for a message", refuseRetryAfter))
		return false
	default:
		c.endAfter(message{jsonrpc.AppendError(nil, jsonrpc.Null, jsonrpc.ParseError, "Parse error", quote(err.Error()))})
		return false
	}
}

// endAfter answers a message whose end is unknown, so that no other can be read. The connection ends once the open calls are
// answered.
func (c *conn) endAfter(m message) {
	c.write(m)
	c.reads.Wait(c.calls.Wait)
	c.linger()
}

// linger gives the client time to read its last answer. If unread data remains, closing resets the connection, and the client
// loses what it has not read yet.
func (c *conn) linger() {
	c.reads.Finish(lingerTimeout)
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.CopyN(io.Discard, c.Conn, lingerBytes)
}
