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
	"craneglade/internal/sock"
)

// closeReason says why a connection of a client ended, for the log.
type closeReason string

const (
	clientDisconnected closeReason = "its client left before its answer"
	noFurtherRequest   closeReason = "no request came on it"
	invalidRequest     closeReason = "what came on it was no request"
	evicted            closeReason = "it made room for another, or the node ends"
	duplicateID        closeReason = "its request had the id of an open one"
	answerNotRead      closeReason = "its client did not take its answer"
	lastAnswerSent     closeReason = "its last answer was given"
	evictedAfterAnswer closeReason = "it made room behind its answer, or the node ends"
)

// clientConn is one connection of a client.
type clientConn struct {
	net.Conn
	start time.Time
	limit io.LimitedReader // between the socket and in: nobody sends without end
	in    *bufio.Reader
	// framing looks at what is read from the socket, beside in.
	framing        framing
	overLimit      bool // there were too many already when it came
	usesRejectSlot bool // it is one of those beyond the room

	probe        *sock.Look // for the connection's own goroutine
	attemptProbe closeProbe // for attempts
	answered     bool       // a request on it has been answered
	discardBuf   []byte     // where what came behind a request and can't be kept was read to; nil where nothing was dropped

	// Guarded by clients.mu.
	account       admission.Conn
	closing       bool // it made room for another, or the node leaves
	hasDescriptor bool // it has a descriptor of the room
}

// readAhead reads some of what comes behind a request.
func (c *clientConn) readAhead() error {
	if n := c.in.Buffered(); n < c.in.Size() {
		_, err := c.in.Peek(n + 1)
		return err
	}
	if c.discardBuf == nil {
		c.discardBuf = make([]byte, 16<<10)
	}
	_, err := c.Conn.Read(c.discardBuf)
	return err
}

// clientClosed tells, without waiting, whether the client has closed its connection behind the request that was read.
func (c *clientConn) clientClosed() bool {
	for read := 0; read < fastDiscardBytes; read += len(c.discardBuf) {
		switch c.probe.Pending() {
		case sock.Nothing:
			return false
		case sock.Ended:
			return true
		}
		c.SetReadDeadline(time.Time{}) // what bounded the request's reading, or made room for another, is no close
		if c.readAhead() != nil {
			return true
		}
	}
	return false
}

// closeProbe is a look at a connection for several goroutines.
type closeProbe struct {
	mu    sync.Mutex
	probe *sock.Look
}

// ended tells, without waiting, whether the other side has closed its connection and all that it sent before was read.
func (l *closeProbe) ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.probe.Pending() == sock.Ended
}

// watchForClose reads on while a request is being answered, and tells whether the client has closed its connection; not where a
// deadline in the past ends it.
func (c *clientConn) watchForClose() (closed bool) {
	for read := 0; ; read += len(c.discardBuf) {
		if err := c.readAhead(); err != nil {
			return !errors.Is(err, os.ErrDeadlineExceeded)
		}
		if read >= fastDiscardBytes {
			time.Sleep(discardPause)
		}
	}
}
