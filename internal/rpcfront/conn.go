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

	"craneglade/internal/admission"
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
	received *sock.Receiver // what the reader reads from
	released chan struct{}  // capacity 1: a call has ended or memory was returned
	ended    chan struct{}  // closed when nothing of the connection is left
	writing  sync.Mutex
	probing  sync.Mutex
	probe    *sock.Peeker    // guarded by probing
	ctx      context.Context // ends with the connection
	cancel   context.CancelFunc
	calls    sync.WaitGroup // without an answer

	reserving   sync.Mutex   // held while memory is reserved
	reserved    atomic.Int64 // memory, in bytes
	memoryShort atomic.Bool  // the first of the waiting calls needs memory of the open ones

	opened atomic.Int64 // number of calls without an answer that were passed to the engine

	admitting sync.Mutex                        // guards the following
	waiting   admission.WaitQueue[*pendingCall] // not open yet
	refusals  timing.Turn                       // in which waiting calls are refused
	// pausedUntil is when the next call may be opened after one that the engine refused.
	pausedUntil time.Time
	held        bool        // the first waiting call waits for nextOpening alone
	wakeUp      *time.Timer // calls admitWaiting; nil until a call has waited

	// Used by the reader.
	reads          timing.FairReader
	in             *bufio.Reader // of reads
	messageArrived time.Time     // when the current message had arrived, as far as it was read
	atBackend      bool          // the latest message was a call that waits for a backend

	// Guarded by Front.mu.
	idleElement   *list.Element // in Front.idleConns; nil if busy
	hasDescriptor bool          // it counts against the descriptor quota

	mu         sync.Mutex
	openIDs    map[string]bool // ids of calls without an answer, in the client's notation
	unanswered int             // number of calls without an answer
	closing    bool            // it ends once all calls are answered
	framing    jsonrpc.Framing
}

// closeWhenIdle makes a connection end once all calls on it are answered.
func (c *conn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.unanswered == 0 {
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// callStarted counts a call that needs an answer; callDone ends it.
func (c *conn) callStarted() {
	c.mu.Lock()
	c.unanswered++
	first := c.unanswered == 1
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
	c.unanswered--
	c.signalReleased()
	if c.unanswered > 0 {
		return
	}
	if c.hasDescriptor && c.idleElement == nil {
		c.idleElement = f.idleConns.PushBack(c)
	}
	if c.closing {
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// unansweredCount returns the number of calls without an answer.
func (c *conn) unansweredCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered
}

// setReadDeadline sets the read deadline, unless the connection is to end now.
func (c *conn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing || c.unanswered > 0 {
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
	c.reads = timing.FairReader{Source: c.received, Shared: c.front.cfg.Work,
		HasInput: func() bool { return sock.Pending(c.Conn) == sock.Readable },
		Ending: func() bool {
			c.received.Observe()
			return c.peer() == sock.PeerClosed
		}}
	c.in = bufio.NewReader(&c.reads)
	r := jsonrpc.NewReader(c.in)
	r.MaxNesting = maxNesting
	for first := true; ; first = false {
		c.awaitRoom()
		wait := c.front.cfg.IdleTimeout
		if first {
			wait = firstByteTimeout
		}
		c.setReadDeadline(time.Now().Add(wait))
		if err := r.Wait(); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.mu.Lock()
				busy := c.unanswered > 0 && !c.closing
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
	c.setReadDeadline(time.Now().Add(frameTimeout))
	c.messageArrived = c.arrivedBy(c.consumed() + 1)
	memory := newMessageMemory(c)
	defer memory.Release()
	r.Grow = memory.growBuffer
	frame, err := r.Next()
	c.messageArrived = c.arrivedBy(c.consumed())
	frame = memory.trim(frame)
	c.mu.Lock()
	c.framing = r.Framing()
	c.mu.Unlock()
	c.atBackend = false
	var text jsontext.Value
	if err == nil {
		c.front.cfg.Parsing.Run(func() { text, err = jsonrpc.Value(frame) })
	}
	if err == nil && jsonrpc.IsBatch(text) {
		err = c.batch(text, memory)
	} else if err == nil {
		err = c.single(text, memory)
	}
	switch {
	case err == nil:
		if c.atBackend && c.unansweredCount() <= c.front.cfg.MaxInflight/2 { // else its client sends faster than it is served
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
