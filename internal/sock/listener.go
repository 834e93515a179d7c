package sock

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// backlogEvery is how often a listener's backlog is looked at.
const backlogEvery = time.Millisecond

// CloseListener closes a listener once nothing waits in its backlog, for whose connections Accept goes on being called, or after
// patience. The system resets what waits there when a listener closes, and with it requests that this machine had taken.
func CloseListener(listener net.Listener, patience time.Duration) error {
	for end := time.Now().Add(patience); connectionWaits(listener) && time.Now().Before(end); {
		time.Sleep(backlogEvery)
	}
	return listener.Close()
}

// connectionWaits tells whether a connection waits to be accepted.
func connectionWaits(listener net.Listener) bool {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	waits := false
	raw.Control(func(fd uintptr) { // an error means that it is closed
		look := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(look, 0)
		for err == unix.EINTR {
			n, err = unix.Poll(look, 0)
		}
		waits = n > 0 && look[0].Revents&unix.POLLIN != 0
	})
	return waits
}
