// Package sock asks Linux what it knows of a connection beyond what package net tells.
package sock

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SinceLastReceive is how long ago the latest bytes of a connection came to this machine: Linux's tcpi_last_data_recv (tcp(7)), in
// steps of its clock of 1 to 10 ms. It is 0 where the system does not tell.
func SinceLastReceive(c net.Conn) time.Duration {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	var d time.Duration
	raw.Control(func(fd uintptr) { // an error means that it is closed here
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			d = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return d
}
