package sock

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// backlogPollInterval is how often CloseListener checks a listener's backlog.
const backlogPollInterval = time.Millisecond

// CloseListener closes a listener once its backlog is empty, or after timeout. The caller keeps calling Accept meanwhile. Closing a
// listener makes the kernel reset the connections in its backlog, and so lose requests that this machine had already received.
func CloseListener(listener net.Listener, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); hasPendingConnection(listener) && time.Now().Before(deadline); {
		time.Sleep(backlogPollInterval)
	}
	return listener.Close()
}

// hasPendingConnection reports whether a connection waits to be accepted.
func hasPendingConnection(listener net.Listener) bool {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	raw.Control(func(fd uintptr) { // an error means that the socket is closed
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		for err == unix.EINTR {
			n, err = unix.Poll(fds, 0)
		}
		pending = n > 0 && fds[0].Revents&unix.POLLIN != 0
	})
	return pending
}
