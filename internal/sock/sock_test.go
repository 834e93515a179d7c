package sock

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// Time that a request spends in the socket buffer counts against its deadline: SinceLastReceive has to include it.
func TestSinceLastReceiveCountsKernelWait(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	s, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if Pending(s) != Empty {
		t.Error("a new connection has pending data")
	}
	wait := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: did not come", what)
			}
		}
	}
	io.WriteString(c, "x")
	wait("pending data", func() bool { return Pending(s) == Readable })
	wait("60 ms since the last receive", func() bool { return SinceLastReceive(s) >= 60*time.Millisecond })
	io.WriteString(c, "y")
	wait("a shorter time after more data", func() bool { return SinceLastReceive(s) < 60*time.Millisecond })
	if _, err := io.ReadFull(s, make([]byte, 2)); err != nil {
		t.Fatal(err)
	}
	c.Close()
	wait("the close", func() bool { return Pending(s) == Closed })
}

// That nothing listens at a backend is known only if each of its addresses refused the connection.
func TestIsRefused(t *testing.T) {
	t.Parallel()
	refused := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	for name, c := range map[string]struct {
		err  error
		want bool
	}{
		"none":                      {nil, false},
		"refused":                   {refused, true},
		"wrapped":                   {fmt.Errorf("dial: %w", refused), true},
		"timed out":                 {context.DeadlineExceeded, false},
		"local":                     {syscall.EADDRNOTAVAIL, false},
		"both addresses":            {errors.Join(errors.Join(nil, refused), refused), true},
		"one address of two":        {errors.Join(errors.Join(nil, refused), syscall.ETIMEDOUT), false},
		"one address of two, first": {errors.Join(errors.Join(nil, syscall.ETIMEDOUT), refused), false},
	} {
		if got := IsRefused(c.err); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	if _, err := net.Dial("tcp", listener.Addr().String()); !IsRefused(err) {
		t.Errorf("the error of a port where nothing listens is %v", err)
	}
}
