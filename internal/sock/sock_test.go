package sock

import (
	"io"
	"net"
	"testing"
	"time"
)

// What a request has waited for in the kernel counts against its time.
func TestWaitInTheKernel(t *testing.T) {
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
		t.Error("something is pending on a new connection")
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
	wait("bytes", func() bool { return Pending(s) == Readable })
	wait("the wait in the kernel", func() bool { return SinceLastReceive(s) >= 60*time.Millisecond })
	io.WriteString(c, "y")
	wait("a shorter one after more bytes", func() bool { return SinceLastReceive(s) < 60*time.Millisecond })
	if _, err := io.ReadFull(s, make([]byte, 2)); err != nil {
		t.Fatal(err)
	}
	c.Close()
	wait("the end", func() bool { return Pending(s) == Closed })
}
