package sock

import (
	"net"
	"syscall"
)

// Waiting is what can be read from a socket at this moment.
type Waiting uint8

const (
	Nothing Waiting = iota
	Bytes
	Ended // the other side has closed the connection, or it broke
)

// Pending looks at what a socket has received, without taking any of it and without waiting.
func Pending(c net.Conn) Waiting {
	s, ok := c.(syscall.Conn)
	if !ok {
		return Ended
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return Ended
	}
	w := Ended
	raw.Control(func(fd uintptr) { // an error means that it is closed here
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			w = Bytes
		case err == syscall.EAGAIN:
			w = Nothing
		}
	})
	return w
}
