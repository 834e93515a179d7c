package sock

import (
	"net"
	"syscall"
	"unsafe"
)

// ReadState is what can be read from a socket at this moment.
type ReadState uint8

const (
	Empty    ReadState = iota // no byte has come, and the connection stands
	Readable                  // at least one byte can be read
	Closed                    // the other side has closed the connection, or it broke
)

// Pending looks at what a socket has received, without taking any of it and without waiting.
func Pending(c net.Conn) ReadState { return NewPeeker(c).Pending() }

// Peeker is Pending again and again on one socket, for one goroutine at a time, without memory for each time.
type Peeker struct {
	raw  syscall.RawConn // nil for what is no socket
	seen ReadState
	look func(fd uintptr)
}

// NewPeeker returns the look at a socket.
func NewPeeker(c net.Conn) *Peeker {
	l := &Peeker{}
	if s, ok := c.(syscall.Conn); ok {
		l.raw, _ = s.SyscallConn()
	}
	l.look = func(fd uintptr) {
		var b byte
		n, err := uintptr(0), syscall.EINTR
		for err == syscall.EINTR { // an interrupted look has seen nothing, and says nothing of the other side
			n, _, err = syscall.Syscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&b)), 1, syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
		}
		switch {
		case err == syscall.EAGAIN, err == syscall.ENOMEM, err == syscall.ENOBUFS:
			l.seen = Empty
		case err == 0 && n > 0:
			l.seen = Readable
		}
	}
	return l
}

// Pending looks once.
func (l *Peeker) Pending() ReadState {
	l.seen = Closed
	if l.raw != nil {
		l.raw.Control(l.look) // an error means that it is closed here
	}
	return l.seen
}
