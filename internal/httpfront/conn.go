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
	clientLeft        closeReason = "its client left before its answer"
	nothingCame       closeReason = "no request came on it"
	noRequest         closeReason = "what came on it was no request"
	dropped           closeReason = "it made room for another, or the node ends"
	idIsOpen          closeReason = "its request had the id of an open one"
	answerNotTaken    closeReason = "its client did not take its answer"
	lastAnswer        closeReason = "its last answer was given"
	endedBehindAnswer closeReason = "it made room behind its answer, or the node ends"
)

// clientConn is one connection of a client.
type clientConn struct {
	net.Conn
	start time.Time
	cap   io.LimitedReader // between the socket and in: nobody sends without end
	in    *bufio.Reader
	// framing looks at what is read from the socket, beside in.
	framing framing
	over    bool // there were too many already when it came
	extra   bool // it is one of those beyond the room

	look    *sock.Peeker // for the connection's own goroutine
	seen    lastLook     // for attempts
	used    bool         // a request on it has been answered
	flooded []byte       // where what came behind a request and can't be kept was read to; nil where nothing was dropped

	// Guarded by clients.mu.
	account admission.Conn
	closing bool // it made room for another, or the node leaves
	granted bool // it has a descriptor of the room
}

// more reads some of what comes behind a request.
func (c *clientConn) more() error {
	if n := c.in.Buffered(); n < c.in.Size() {
		_, err := c.in.Peek(n + 1)
		return err
	}
	if c.flooded == nil {
		c.flooded = make([]byte, 16<<10)
	}
	_, err := c.Conn.Read(c.flooded)
	return err
}

// left tells, without waiting, whether the client has closed its connection behind the request that was read.
func (c *clientConn) left() bool {
	for read := 0; read < floodSize; read += len(c.flooded) {
		switch c.look.Pending() {
		case sock.Empty:
			return false
		case sock.Closed:
			return true
		}
		c.SetReadDeadline(time.Time{}) // what bounded the request's reading, or made room for another, is no close
		if c.more() != nil {
			return true
		}
	}
	return false
}

// lastLook is a look at a connection for several goroutines.
type lastLook struct {
	mu   sync.Mutex
	look *sock.Peeker
}

// ended tells, without waiting, whether the other side has closed its connection and all that it sent before was read.
func (l *lastLook) ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.look.Pending() == sock.Closed
}

// watch reads on while a request is being answered, and tells whether the client has closed its connection; not where a
// deadline in the past ends it.
func (c *clientConn) watch() (gone bool) {
	for read := 0; ; read += len(c.flooded) {
		if err := c.more(); err != nil {
			return !errors.Is(err, os.ErrDeadlineExceeded)
		}
		if read >= floodSize {
			time.Sleep(floodRest)
		}
	}
}
