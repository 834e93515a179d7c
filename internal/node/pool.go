package node

import (
	"net"
	"syscall"
)

// waiting is what can be read from a socket at this moment.
type waiting uint8

const (
	nothing waiting = iota
	bytesThere
	ended // the other side has closed the connection, or it broke
)

// pending looks at what a socket has received, without taking any of it and without waiting.
func pending(c net.Conn) waiting {
	s, ok := c.(syscall.Conn)
	if !ok {
		return ended
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return ended
	}
	w := ended
	raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			w = bytesThere
		case err == syscall.EAGAIN:
			w = nothing
		}
	})
	return w
}
