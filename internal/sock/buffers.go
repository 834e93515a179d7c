package sock

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Sizes of the kernel's buffers for an accepted connection, in bytes; Linux uses twice as much, and limits the first by
// net.core.rmem_max. Without them buffers grow to several megabytes for each connection.
const (
	receiveBufferBytes = 256 << 10
	// sendBufferBytes bounds how much a client has to read before a blocked write continues: a third of the buffer.
	sendBufferBytes = 128 << 10
)

// setBuffers sets the buffers of a socket before it listens; accepted connections inherit them. A platform without these options
// keeps its own sizes.
func setBuffers(_, _ string, socket syscall.RawConn) error {
	return socket.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
		unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferBytes)
	})
}
