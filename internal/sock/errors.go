package sock

import (
	"errors"
	"net"
	"slices"
	"syscall"
)

// IsAcceptRetryable tells whether a listener may still be good after an error of its Accept: accept(2) hands on what has befallen the
// next connection, and fails for want of room that comes back. It is not where the listener is closed or was none.
func IsAcceptRetryable(err error) bool {
	return !isOneOf(err, net.ErrClosed, syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK)
}

// IsLocalFailure tells whether a socket could not be made or connected for want of something on this machine, by socket(2) and
// connect(2). Nothing has gone out to the other side, and that has no part in it.
func IsLocalFailure(err error) bool {
	return isOneOf(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN)
}

// mayPass tells whether making, binding or connecting a socket may do a moment after an error.
func mayPass(err error) bool {
	return IsLocalFailure(err) || isOneOf(err, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EADDRINUSE)
}

// isOneOf tells whether an error is one of several.
func isOneOf(err error, all ...error) bool {
	return slices.ContainsFunc(all, func(one error) bool { return errors.Is(err, one) })
}
