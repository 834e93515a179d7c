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

// momentary is how often in a row a system call fails in these tests.
const momentary = 3

// A listener survives what accept(2) may answer for a moment: whoever connects meanwhile is served by the same process.
func TestAcceptThatFailsForAMoment(t *testing.T) {
	p, calls := startWithFaults(t, nil)
	for _, errno := range []syscall.Errno{unix.ECONNABORTED, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.EPERM,
		unix.ENETDOWN, unix.ENETUNREACH, unix.EHOSTUNREACH, unix.ETIMEDOUT, unix.EINTR} {
		fail(t, calls, unix.SYS_ACCEPT4, errno)
		p.askAnew(t, "accept "+unix.ErrnoName(errno))
		waitUsed(t, calls)
	}
	p.leave(t)
}

// What the machine refuses a node for a moment is no fault of a backend, and no reason to fail a request.
func TestConnectionsToBackendsThatFailForAMoment(t *testing.T) {
	p, calls := startWithFaults(t, nil)
	for _, c := range []struct {
		call   int
		errnos []syscall.Errno
	}{
		{unix.SYS_SOCKET, []syscall.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM}},
		// Not EINTR: the kernel goes on connecting behind it, where a call that never began does not.
		{unix.SYS_CONNECT, []syscall.Errno{unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENOBUFS, unix.EAGAIN}},
	} {
		for _, errno := range c.errnos {
			fail(t, calls, c.call, errno)
			p.askAnew(t, fmt.Sprintf("call %d %s", c.call, unix.ErrnoName(errno)))
			waitUsed(t, calls)
		}
	}
	p.leave(t)
}

// Interrupted waits and looks at a socket are begun again: they say nothing of a client.
func TestInterruptedSystemCalls(t *testing.T) {
	p, calls := startWithFaults(t, nil)
	for _, call := range []int{unix.SYS_EPOLL_PWAIT, unix.SYS_RECVFROM} {
		fail(t, calls, call, unix.EINTR)
		p.askAnew(t, fmt.Sprint("interrupted call ", call))
		waitUsed(t, calls)
	}
	p.leave(t)
}

// A node starts though its first sockets are refused.
func TestStartWhileSocketsAreRefused(t *testing.T) {
	const refused = 4 * momentary // package net makes some sockets to learn what the machine has
	for _, errno := range []syscall.Errno{unix.ENFILE, unix.ENOBUFS} {
		p, calls := startWithFaults(t, func(calls *processfaults.Faults) { failOften(t, calls, unix.SYS_SOCKET, errno, refused) })
		p.askAnew(t, "after the start")
		waitUsed(t, calls)
		p.leave(t)
	}
}

// startWithFaults starts a node whose system calls a test can have fail, with a backend that closes each connection. before is
// called before the start; it may be nil.
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
	cmd := exec.Command(builtForDeployment(t))
	cmd.Env = append(os.Environ(), calls.Environment()...)
	return startAs(t, cmd, d.Addr, config("")), calls
}

var asked atomic.Int64

// askAnew wants a request on a new connection served.
func (p *program) askAnew(t *testing.T, what string) {
	t.Helper()
	c := newShutdownClient(t, p.addr)
	if status := c.askFor(fmt.Sprint("r", asked.Add(1)), patience); status != http.StatusOK {
		t.Errorf("%s: answered %d, want 200\n%s", what, status, p.log.String())
	}
}

// fail has the next momentary calls of a kind fail with an error.
func fail(t *testing.T, f *processfaults.Faults, call int, errno syscall.Errno) {
	t.Helper()
	failOften(t, f, call, errno, momentary)
}

// failOften has so many of the next calls of a kind fail with an error.
func failOften(t *testing.T, f *processfaults.Faults, call int, errno syscall.Errno, times int) {
	t.Helper()
	if err := f.Fail(call, errno, times); err != nil {
		t.Fatal(err)
	}
}

// waitUsed waits until no call is left to fail.
func waitUsed(t *testing.T, f *processfaults.Faults) {
	t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		left, err := f.Remaining()
		if err != nil {
			t.Fatal(err)
		}
		if left == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the process did not make the calls that are to fail")
		}
	}
}
