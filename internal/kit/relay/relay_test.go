package relay

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

const timeout = 10 * time.Second

// newNetwork creates a network of two nodes, and returns it with a function that counts its events by outcome.
func newNetwork(t *testing.T) (*Net, func() map[string]int) {
	t.Helper()
	var mu sync.Mutex
	counts := map[string]int{}
	r, err := New(2, 7, func(e Event) {
		mu.Lock()
		defer mu.Unlock()
		counts[e.Outcome]++
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r, func() map[string]int {
		mu.Lock()
		defer mu.Unlock()
		out := map[string]int{}
		for k, v := range counts {
			out[k] = v
		}
		return out
	}
}

func udp(t *testing.T, addr string) *net.UDPConn {
	t.Helper()
	a, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.ListenUDP("udp", a)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(timeout))
	return c
}

// sum adds up the counts of some outcomes.
func sum(counts map[string]int, outcomes ...string) (n int) {
	for _, h := range outcomes {
		n += counts[h]
	}
	return n
}

func send(t *testing.T, from *net.UDPConn, to string, n int) {
	t.Helper()
	a, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		t.Fatal(err)
	}
	for range n {
		if _, err := from.WriteTo([]byte("0123456789"), a); err != nil {
			t.Fatal(err)
		}
	}
}

func TestDatagrams(t *testing.T) {
	r, counts := newNetwork(t)
	one, two := udp(t, r.NodeAddr(0)), udp(t, r.NodeAddr(1))
	buf := make([]byte, 100)
	send(t, one, r.RelayAddr(1), 1)
	if n, from, err := two.ReadFrom(buf); err != nil || string(buf[:n]) != "0123456789" || from.String() != r.RelayAddr(1) {
		t.Fatalf("%q from %v, %v", buf[:n], from, err)
	}
	end := r.Inject(Fault{Drop: 1}, func(from, to int) bool { return from == 0 && to == 1 })
	send(t, one, r.RelayAddr(1), 20)
	send(t, two, r.RelayAddr(0), 1) // the other direction has no fault
	if n, _, err := one.ReadFrom(buf); err != nil || n != 10 {
		t.Fatalf("%d bytes, %v", n, err)
	}
	for deadline := time.Now().Add(timeout); counts()[Dropped] < 20; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%v", counts())
		}
	}
	end()
	end = r.Inject(Fault{Duplicate: 1, Corrupt: 1, Delay: 5 * time.Millisecond}, func(int, int) bool { return true })
	send(t, one, r.RelayAddr(1), 1)
	for range 2 {
		if n, _, err := two.ReadFrom(buf); err != nil || n != 10 || string(buf[:n]) == "0123456789" {
			t.Fatalf("%q, %v", buf[:n], err)
		}
	}
	end()
	// Datagrams from an unknown sender are not forwarded.
	stranger := udp(t, "127.0.0.1:0")
	send(t, stranger, r.RelayAddr(1), 1)
	send(t, one, r.RelayAddr(1), 1)
	if n, _, err := two.ReadFrom(buf); err != nil || string(buf[:n]) != "0123456789" {
		t.Fatalf("%q, %v", buf[:n], err)
	}
	for deadline := time.Now().Add(timeout); counts()[Unknown] < 1; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%v", counts())
		}
	}
}

func TestStreams(t *testing.T) {
	r, _ := newNetwork(t)
	ln, err := net.Listen("tcp", r.NodeAddr(1))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { io.Copy(c, c); c.Close() })
		}
	})
	defer ln.Close()
	dial := func() net.Conn {
		t.Helper()
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(r.ips[0].String())}, Timeout: timeout}
		c, err := d.Dial("tcp", r.RelayAddr(1))
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(timeout))
		return c
	}
	c := dial()
	defer c.Close()
	if _, err := c.Write([]byte("hello")); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 5)
	if _, err := io.ReadFull(c, buf); err != nil || string(buf) != "hello" {
		t.Fatalf("%q, %v", buf, err)
	}
	// A cut link keeps back what is written; the stream breaks when the cut ends.
	end := r.Inject(Fault{Cut: true}, func(from, to int) bool { return from == 0 })
	if _, err := c.Write([]byte("again")); err != nil {
		t.Fatal(err)
	}
	blocked := dial()
	defer blocked.Close()
	blocked.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := blocked.Read(buf); !isTimeout(err) {
		t.Errorf("read from a stream over a cut link: %v, want a timeout", err)
	}
	end()
	c.SetReadDeadline(time.Now().Add(timeout))
	if n, err := io.ReadFull(c, buf); err == nil || isTimeout(err) {
		t.Errorf("%q forwarded by a stream that a cut should have broken, %v", buf[:n], err)
	}
	after := dial()
	defer after.Close()
	if _, err := after.Write([]byte("later")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(after, buf); err != nil || string(buf) != "later" {
		t.Errorf("%q, %v", buf, err)
	}
}

// The same seed gives the same fates, and faults that apply at the same time combine.
func TestFaultDrawsRepeat(t *testing.T) {
	fault := Fault{Drop: 0.2, Duplicate: 0.3, Corrupt: 0.1, Delay: time.Millisecond}
	a, b := newLink(3, 0, 1), newLink(3, 0, 1)
	got := map[string]int{}
	for i := range 1000 {
		x, y := a.draw(fault, 100), b.draw(fault, 100)
		if x.outcome != y.outcome || x.corruptByte != y.corruptByte || len(x.delays) != len(y.delays) {
			t.Fatalf("%d: %+v and %+v", i, x, y)
		}
		got[x.outcome]++
		for _, d := range x.delays {
			if d < time.Millisecond || d > 2*time.Millisecond {
				t.Fatalf("delay of %v, want 1 to 2 ms", d)
			}
		}
	}
	if got[Dropped] < 150 || got[Dropped] > 250 || sum(got, Duplicated, Corrupted) < 200 {
		t.Errorf("%v", got)
	}
	both := fault.combine(Fault{Cut: true, Drop: 0.5})
	if !both.Cut || both.Drop != 0.6 || both.Delay != time.Millisecond {
		t.Errorf("%+v", both)
	}
}
