package sock

import (
	"errors"
	"net"
	"slices"
	"syscall"
)

// IsAcceptRetryable reports whether Accept may succeed again after err. accept(2) returns network errors of the connection it was
// to accept, and fails while descriptors or memory are short; neither affects the listener. It returns false if the listener is
// closed or is not a listening socket.
func IsAcceptRetryable(err error) bool {
	return !isOneOf(err, net.ErrClosed, syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK)
}

// IsLocalFailure reports whether socket(2) or connect(2) failed because this machine lacks a resource, such as a descriptor, memory
// or a free port. Nothing was sent to the other side, and the error says nothing about it.
func IsLocalFailure(err error) bool {
	return isOneOf(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN)
}

// IsRefused reports whether connect(2) failed because no process listens at the address. Of several joined errors all have to say so.
func IsRefused(err error) bool {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		return !slices.ContainsFunc(joined.Unwrap(), func(e error) bool { return !IsRefused(e) })
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// isTransient reports whether creating, binding or connecting a socket may succeed if it is retried shortly after err.
func isTransient(err error) bool {
	return IsLocalFailure(err) || isOneOf(err, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EADDRINUSE)
}

// isOneOf reports whether errors.Is holds for err and any of targets.
func isOneOf(err error, targets ...error) bool {
	return slices.ContainsFunc(targets, func(target error) bool { return errors.Is(err, target) })
}
