package sock

import (
	"net"
	"syscall"
	"unsafe"
)

// ReadState says whether a socket can be read at the moment.
type ReadState uint8

const (
	Empty    ReadState = iota // no data to read, and the connection is open
	Readable                  // at least one byte can be read
	Closed                    // the other side has closed the connection, or it failed
)

// Pending returns the read state of a connection. It neither consumes data nor blocks.
func Pending(c net.Conn) ReadState { return NewPeeker(c).Pending() }

// Peeker checks the read state of one connection repeatedly without allocating memory for each check. It is for use by one goroutine
// at a time.
type Peeker struct {
	raw   syscall.RawConn // nil if the connection is not a socket
	state ReadState
	peek  func(fd uintptr)
}

// NewPeeker returns a Peeker for a connection.
func NewPeeker(c net.Conn) *Peeker {
	peeker := &Peeker{}
	if s, ok := c.(syscall.Conn); ok {
		peeker.raw, _ = s.SyscallConn()
	}
	peeker.peek = func(fd uintptr) {
		var b byte
		n, err := uintptr(0), syscall.EINTR
		for err == syscall.EINTR { // EINTR says nothing about the connection
			n, _, err = syscall.Syscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&b)), 1, syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
		}
		switch {
		case err == syscall.EAGAIN, err == syscall.ENOMEM, err == syscall.ENOBUFS:
			peeker.state = Empty
		case err == 0 && n > 0:
			peeker.state = Readable
		}
	}
	return peeker
}

// Pending returns the current read state.
func (p *Peeker) Pending() ReadState {
	p.state = Closed
	if p.raw != nil {
		p.raw.Control(p.peek) // an error means that the socket is closed on this side
	}
	return p.state
}
