package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"craneglade/internal/kit/processfaults"
)

// consecutiveFailures is the number of consecutive calls that fail with an injected error.
const consecutiveFailures = 3

// Transient errors of accept(2) must not stop a listener: a client that connects meanwhile is served by the same process.
func TestTransientAcceptErrors(t *testing.T) {
	p, calls := startWithFaults(t, nil)
	for _, errno := range []syscall.Errno{unix.ECONNABORTED, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.EPERM,
		unix.ENETDOWN, unix.ENETUNREACH, unix.EHOSTUNREACH, unix.ETIMEDOUT, unix.EINTR} {
		failCalls(t, calls, unix.SYS_ACCEPT4, errno)
		p.checkServedOnNewConnection(t, "accept "+unix.ErrnoName(errno))
		waitForFailures(t, calls)
	}
	p.terminate(t)
}

// Transient local errors of socket(2) and connect(2) are no failures of a backend and must not fail a request.
func TestTransientDialErrorsAreRetried(t *testing.T) {
	p, calls := startWithFaults(t, nil)
	for _, c := range []struct {
		call   int
		errnos []syscall.Errno
	}{
		{unix.SYS_SOCKET, []syscall.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM}},
		// Not EINTR: after a real one the kernel goes on connecting, which an injected one does not do.
		{unix.SYS_CONNECT, []syscall.Errno{unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENOBUFS, unix.EAGAIN}},
	} {
		for _, errno := range c.errnos {
			failCalls(t, calls, c.call, errno)
			p.checkServedOnNewConnection(t, fmt.Sprintf("call %d %s", c.call, unix.ErrnoName(errno)))
			waitForFailures(t, calls)
		}
	}
	p.terminate(t)
}

// EINTR from epoll_pwait(2) and recvfrom(2) must be retried: it says nothing about the client.
func TestEINTRIsRetried(t *testing.T) {
	p, calls := startWithFaults(t, nil)
	for _, call := range []int{unix.SYS_EPOLL_PWAIT, unix.SYS_RECVFROM} {
		failCalls(t, calls, call, unix.EINTR)
		p.checkServedOnNewConnection(t, fmt.Sprint("interrupted call ", call))
		waitForFailures(t, calls)
	}
	p.terminate(t)
}

// A node must start although its first calls of socket(2) fail.
func TestStartRetriesSocketErrors(t *testing.T) {
	const refused = 4 * consecutiveFailures // package net creates some sockets to probe the system
	for _, errno := range []syscall.Errno{unix.ENFILE, unix.ENOBUFS} {
		p, calls := startWithFaults(t, func(calls *processfaults.Faults) { failCallsTimes(t, calls, unix.SYS_SOCKET, errno, refused) })
		p.checkServedOnNewConnection(t, "after the start")
		waitForFailures(t, calls)
		p.terminate(t)
	}
}

// startWithFaults starts a node with injectable system call errors, and a backend that closes each connection after its
// response. before is called before the start; it may be nil.
func startWithFaults(t *testing.T, before func(*processfaults.Faults)) (*program, *processfaults.Faults) {
	t.Helper()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		io.WriteString(w, "made for "+r.Header.Get("X-Request-Id"))
	}))
	t.Cleanup(backend.Close)
	d := newDiscovery(t, backend.Listener.Addr().String())
	calls := newFaults(t)
	if before != nil {
		before(calls)
	}
	cmd := exec.Command(buildForDeployment(t))
	cmd.Env = append(os.Environ(), calls.Environment()...)
	return startCommand(t, cmd, d.Addr, config("")), calls
}

var requestCount atomic.Int64

// checkServedOnNewConnection fails the test unless a request on a new connection is served.
func (p *program) checkServedOnNewConnection(t *testing.T, what string) {
	t.Helper()
	c := newShutdownClient(t, p.addr)
	if status := c.requestWithDeadline(fmt.Sprint("r", requestCount.Add(1)), testTimeout); status != http.StatusOK {
		t.Errorf("%s: status %d, want 200\n%s", what, status, p.log.String())
	}
}

// failCalls makes the next consecutiveFailures calls of the given system call fail with errno.
func failCalls(t *testing.T, f *processfaults.Faults, call int, errno syscall.Errno) {
	t.Helper()
	failCallsTimes(t, f, call, errno, consecutiveFailures)
}

// failCallsTimes makes the next times calls of the given system call fail with errno.
func failCallsTimes(t *testing.T, f *processfaults.Faults, call int, errno syscall.Errno, times int) {
	t.Helper()
	if err := f.Fail(call, errno, times); err != nil {
		t.Fatal(err)
	}
}

// waitForFailures waits until all injected failures have occurred.
func waitForFailures(t *testing.T, f *processfaults.Faults) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		remaining, err := f.Remaining()
		if err != nil {
			t.Fatal(err)
		}
		if remaining == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the process did not make the calls with injected failures")
		}
	}
}
