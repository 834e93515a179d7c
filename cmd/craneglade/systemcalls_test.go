package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// momentary is how often in a row a system call fails in these tests.
const momentary = 3

// A listener survives what accept(2) may answer for a moment: whoever connects meanwhile is served by the same process.
func TestAcceptThatFailsForAMoment(t *testing.T) {
	p, calls := startWithFaults(t, nil)
	for _, errno := range []syscall.Errno{unix.ECONNABORTED, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.EPERM,
		unix.ENETDOWN, unix.ENETUNREACH, unix.EHOSTUNREACH, unix.ETIMEDOUT, unix.EINTR} {
		calls.fail(t, unix.SYS_ACCEPT4, errno)
		p.askAnew(t, "accept "+unix.ErrnoName(errno))
		calls.used(t)
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
			calls.fail(t, c.call, errno)
			p.askAnew(t, fmt.Sprintf("call %d %s", c.call, unix.ErrnoName(errno)))
			calls.used(t)
		}
	}
	p.leave(t)
}

// Interrupted waits and looks at a socket are begun again: they say nothing of a client.
func TestInterruptedSystemCalls(t *testing.T) {
	p, calls := startWithFaults(t, nil)
	for _, call := range []int{unix.SYS_EPOLL_PWAIT, unix.SYS_RECVFROM} {
		calls.fail(t, call, unix.EINTR)
		p.askAnew(t, fmt.Sprint("interrupted call ", call))
		calls.used(t)
	}
	p.leave(t)
}

// A node starts though its first sockets are refused.
func TestStartWhileSocketsAreRefused(t *testing.T) {
	const refused = 4 * momentary // package net makes some sockets to learn what the machine has
	for _, errno := range []syscall.Errno{unix.ENFILE, unix.ENOBUFS} {
		p, calls := startWithFaults(t, func(calls *callFaults) { calls.failOften(t, unix.SYS_SOCKET, errno, refused) })
		p.askAnew(t, "after the start")
		calls.used(t)
		p.leave(t)
	}
}

// startWithFaults starts a node whose system calls a test can have fail, with a backend that closes each connection. before is
// called before the start; it may be nil.
func startWithFaults(t *testing.T, before func(*callFaults)) (*program, *callFaults) {
	t.Helper()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		io.WriteString(w, "made for "+r.Header.Get("X-Request-Id"))
	}))
	t.Cleanup(backend.Close)
	d := newDiscovery(t, backend.Listener.Addr().String())
	calls := newCallFaults(t)
	if before != nil {
		before(calls)
	}
	cmd := exec.Command(builtForDeployment(t))
	cmd.Env = calls.environment()
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

// callFaults makes system calls of one process fail.
type callFaults struct{ library, file string }

// newCallFaults builds the library that is preloaded for it (testdata/faultcalls.c).
func newCallFaults(t *testing.T) *callFaults {
	t.Helper()
	const entries, size = 8, 16
	folder := t.TempDir()
	f := &callFaults{library: filepath.Join(folder, "faultcalls.so"), file: filepath.Join(folder, "table")}
	buildLibrary(t, "testdata/faultcalls.c", f.library)
	if err := os.WriteFile(f.file, make([]byte, entries*size), 0o600); err != nil {
		t.Fatal(err)
	}
	return f
}

// environment is that of a process whose calls can be made to fail.
func (f *callFaults) environment() []string {
	return append(os.Environ(), "LD_PRELOAD="+f.library, "FAULTCALLS_FILE="+f.file)
}

// fail has the next momentary calls of a kind fail with an error.
func (f *callFaults) fail(t *testing.T, call int, errno syscall.Errno) {
	t.Helper()
	f.failOften(t, call, errno, momentary)
}

// failOften has so many of the next calls of a kind fail with an error.
func (f *callFaults) failOften(t *testing.T, call int, errno syscall.Errno, times uint64) {
	t.Helper()
	var entry [16]byte
	binary.NativeEndian.PutUint32(entry[0:], uint32(call))
	binary.NativeEndian.PutUint32(entry[4:], uint32(errno))
	binary.NativeEndian.PutUint64(entry[8:], times)
	file, err := os.OpenFile(f.file, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if _, err := file.WriteAt(entry[:], 0); err != nil { // in place: the process has the file mapped
		t.Fatal(err)
	}
}

// used waits until no call is left to fail.
func (f *callFaults) used(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		table, err := os.ReadFile(f.file)
		if err != nil {
			t.Fatal(err)
		}
		if binary.NativeEndian.Uint64(table[8:]) == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the process did not make the calls that are to fail")
		}
	}
}
