package sock

import (
	"io"
	"net"
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
