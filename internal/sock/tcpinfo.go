// Package sock provides socket operations that package net does not: the state that Linux keeps of a connection, and retries after
// transient local errors.
package sock

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SinceLastReceive returns the time since this machine last received data on a connection: tcpi_last_data_recv of tcp(7), which has
// the resolution of the kernel's clock tick, 1 to 10 ms. It returns 0 if that is not available.
func SinceLastReceive(c net.Conn) time.Duration {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	var age time.Duration
	raw.Control(func(fd uintptr) { // an error means that the socket is closed on this side
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age
}
