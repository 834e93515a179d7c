package sock

import (
	"net"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
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

// PeerState says whether the other side of a connection has closed it.
type PeerState uint8

const (
	PeerPresent PeerState = iota // it has not closed the connection, as far as this machine can know
	PeerUnknown                  // so much of what it sent is unread that a close behind that may not have been sent to this machine
	PeerClosed                   // it has closed the connection or its sending side, whether or not all before that was read, or the connection failed
)

// maxUnreadBytes is how much may be unread while a close behind it is still received: below it the receive window is over half open,
// with the buffers that Listen sets, and has space for whatever the other side sends at once.
const maxUnreadBytes = receiveBufferBytes / 2

// Peer returns the state of the other side. It neither consumes data nor blocks.
func (p *Peeker) Peer() PeerState {
	switch p.Pending() {
	case Empty:
		return PeerPresent
	case Closed:
		return PeerClosed
	}
	state := PeerClosed
	p.raw.Control(func(fd uintptr) { state = peerOf(int(fd)) }) // an error means that the socket is closed on this side
	return state
}

// peerOf returns the state of the other side of a TCP socket with unread data.
func peerOf(fd int) PeerState {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err == nil && info.State != unix.BPF_TCP_ESTABLISHED {
		return PeerClosed
	}
	if queueBytes(fd, unix.SIOCINQ) > maxUnreadBytes || isBufferHalfFull(fd) {
		return PeerUnknown
	}
	return PeerPresent
}

// Indexes of socket memory information, see sock_diag(7).
const (
	memInfoReceiveUsed = 0
	memInfoReceiveSize = 1
	memInfoCount       = 9
)

// isBufferHalfFull reports whether unread data takes over half of a socket's receive buffer. Small segments take many times their size.
func isBufferHalfFull(fd int) bool {
	var info [memInfoCount]uint32
	size := uint32(unsafe.Sizeof(info))
	_, _, err := syscall.Syscall6(syscall.SYS_GETSOCKOPT, uintptr(fd), unix.SOL_SOCKET, unix.SO_MEMINFO, uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	return err == 0 && info[memInfoReceiveUsed] > info[memInfoReceiveSize]/2
}

// Unread returns the number of bytes that have arrived on a connection and were not read, 0 if that is not available.
func Unread(c net.Conn) int { return queueLength(c, unix.SIOCINQ) }

// Unsent returns the number of bytes that were written to a connection and not received by the other side's machine, 0 if that is not
// available.
func Unsent(c net.Conn) int { return queueLength(c, unix.SIOCOUTQ) }

// queueLength returns the length of one of a connection's queues in the kernel, in bytes, 0 if that is not available.
func queueLength(c net.Conn, request uint) (length int) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) { length = queueBytes(int(fd), request) }) // an error means that the socket is closed on this side
	return length
}

func queueBytes(fd int, request uint) int {
	length, err := unix.IoctlGetInt(fd, request)
	if err != nil {
		return 0
	}
	return length
}
