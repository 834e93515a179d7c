package httpfront

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"craneglade/internal/admission"
	"craneglade/internal/message"
	"craneglade/internal/sock"
	"craneglade/internal/timing"
)

// closeReason is why a client connection ended, for the log.
type closeReason string

const (
	clientDisconnected closeReason = "its client left before its answer"
	noFurtherRequest   closeReason = "no request came on it"
	invalidRequest     closeReason = "what came on it was no request"
	evicted            closeReason = "it made room for another, or the node ends"
	duplicateID        closeReason = "its request had the id of one that is open or may have run"
	answerNotRead      closeReason = "its client did not take its answer"
	lastAnswerSent     closeReason = "its last answer was given"
	evictedAfterAnswer closeReason = "it made room behind its answer, or the node ends"
)

// clientConn is a connection of a client.
type clientConn struct {
	net.Conn
	start time.Time
	limit io.LimitedReader // between the socket and head: limits what is read
	head  headBuffer       // between limit and in
	in    *bufio.Reader
	// framing scans the bytes that in reads from the socket.
	framing        framing
	overLimit      bool // its request is refused, as there are too many connections
	usesRejectSlot bool // it has a reject slot instead of a descriptor from the quota

	received     *sock.Receiver // what reads reads from
	probe        *sock.Peeker   // used by the connection's own goroutine
	attemptProbe closeProbe     // used by attempts
	answered     bool           // a request on it was answered
	waited       bool           // the last request had to wait for its answer
	reads        timing.FairReader
	discarded    bool // data that followed a request was discarded, so that no further request can be read

	// Guarded by Front.mu.
	account          admission.Conn
	closing          bool // it was evicted for another, or the node shuts down
	hasDescriptor    bool // it counts against the descriptor quota
	usesEvictionSlot bool // it has a reject slot until it is closed, as another connection has got its descriptor
}

// newClientConn returns a connection from which nothing was read.
func (s *Front) newClientConn(conn net.Conn) *clientConn {
	c := &clientConn{Conn: conn, start: time.Now(), probe: sock.NewPeeker(conn), attemptProbe: closeProbe{probe: sock.NewPeeker(conn)},
		received: sock.NewReceiver(conn, s.sinceLastReceive)}
	c.reads = timing.FairReader{Source: c.received, Shared: s.work,
		HasInput: func() bool { return c.probe.Pending() == sock.Readable },
		Ending: func() bool {
			c.received.Observe()
			return c.probe.Peer() == sock.PeerClosed || s.isEvicted(c)
		}}
	c.limit.R, c.limit.N = scanningReader{&c.reads, &c.framing}, message.MaxHeadBytes
	c.head = headBuffer{source: &c.limit, memory: s.bodies}
	c.in = bufio.NewReader(&c.head)
	c.account.Owner, c.account.From = c, host(conn.RemoteAddr())
	return c
}

// readAhead reads data that follows a request, of which it keeps what the buffer has space for. It returns the number of bytes read.
func (c *clientConn) readAhead() (n int, err error) {
	if c.in.Buffered() == c.in.Size() {
		c.discarded = true
		c.in.Discard(c.in.Buffered())
	}
	c.limit.N = int64(c.in.Size()) // the limit is on requests and must not look like a close
	before := c.in.Buffered()
	_, err = c.in.Peek(before + 1)
	return c.in.Buffered() - before, err
}

// isBuffered reports whether a part of the next request was read.
func (c *clientConn) isBuffered() bool { return c.in.Buffered()+len(c.head.unread()) > 0 }

// consumed returns how many bytes of the connection belong to the requests that were read so far.
func (c *clientConn) consumed() int64 {
	return c.received.Position() - int64(c.in.Buffered()+len(c.head.unread()))
}

// arrivedBy returns when the first count bytes of the connection, which were read, had arrived.
func (c *clientConn) arrivedBy(count int64) time.Time {
	if at, ok := c.received.ArrivedBy(count); ok {
		return at
	}
	return time.Now()
}

// peerAfterRequest returns, without blocking, whether the client has closed the connection after the request that was read. If so much
// follows the request that this can't be known, it discards up to fastDiscardBytes of that.
func (c *clientConn) peerAfterRequest() sock.PeerState {
	state := c.probe.Peer()
	if state != sock.PeerUnknown {
		return state
	}
	c.SetReadDeadline(time.Time{}) // an expired deadline, of reading the request or of an eviction, must not count as a close
	if err := c.discardArrived(fastDiscardBytes); err != nil {
		return sock.PeerClosed
	}
	return c.probe.Peer()
}

// discardArrived reads what has arrived behind a request, up to limit bytes. The kernel may accept more only once all of it was read.
func (c *clientConn) discardArrived(limit int) error {
	for read := 0; read < limit && c.probe.Pending() == sock.Readable; {
		n, err := c.readAhead()
		if err != nil {
			return err
		}
		read += n
	}
	return nil
}

// closeProbe checks a connection for a close. It may be used by several goroutines.
type closeProbe struct {
	mu    sync.Mutex
	probe *sock.Peeker
}

// peer returns, without blocking, whether the client has closed the connection.
func (l *closeProbe) peer() sock.PeerState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.probe.Peer()
}

// closed reports whether the client has certainly closed the connection.
func (l *closeProbe) closed() bool { return l.peer() == sock.PeerClosed }

// mayBeClosed reports whether the client has closed the connection, or sends so much behind its request that it can't be known.
func (l *closeProbe) mayBeClosed() bool { return l.peer() != sock.PeerPresent }

// closedBehind returns a function that reports whether the client has closed the connection behind a body that is read by the attempt
// itself. A body that is not whole is no such: the attempt finds out, and the client is told.
func (c *clientConn) closedBehind(body *message.Body) func() bool {
	return func() bool {
		return c.attemptProbe.closed() && int64(c.in.Buffered()+len(c.head.unread())+sock.Unread(c.Conn)) >= body.Remaining()
	}
}

// watchForClose watches the connection while a request is being answered and reports whether the client closed it. Further requests
// stay in the kernel; what is more than that is read and discarded. A read deadline in the past ends it and is not a close.
func (c *clientConn) watchForClose() (closed bool) {
	for {
		if state := c.received.Watch(); state != sock.PeerUnknown {
			return state == sock.PeerClosed
		}
		if err := c.discardArrived(fastDiscardBytes); err != nil {
			return !errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
}
