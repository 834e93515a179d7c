package sock

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// receiverPair returns both ends of a connection, and a Receiver for the second one whose kernel says that the latest data waited for as
// long as is stored in waited.
func receiverPair(t *testing.T) (client net.Conn, server net.Conn, r *Receiver, waited *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if client, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	if server, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	waited = &atomic.Int64{}
	return client, server, NewReceiver(server, func(net.Conn) time.Duration { return time.Duration(waited.Load()) }), waited
}

// waitUnread waits until a number of bytes can be read.
func waitUnread(t *testing.T, c net.Conn, bytes int) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); Unread(c) != bytes; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are unread, want %d", Unread(c), bytes)
		}
	}
}

// What waits in the kernel counts from when it was observed, also if more has come before it is read.
func TestReceiverTellsArrivalOfWhatWaited(t *testing.T) {
	t.Parallel()
	client, server, r, waited := receiverPair(t)
	io.WriteString(client, "first")
	waitUnread(t, server, len("first"))
	waited.Store(int64(time.Hour))
	before := time.Now()
	r.Observe()
	after := time.Now()
	io.WriteString(client, "second")
	waitUnread(t, server, len("firstsecond"))
	waited.Store(0)
	if _, err := io.ReadFull(r, make([]byte, len("firstsecond"))); err != nil {
		t.Fatal(err)
	}
	if at, ok := r.ArrivedBy(int64(len("first"))); !ok || at.Before(before.Add(-time.Hour)) || at.After(after.Add(-time.Hour)) {
		t.Errorf("the first bytes arrived %v, %v; want an hour before %v", at, ok, after)
	}
	if at, ok := r.ArrivedBy(int64(len("firstsecond"))); !ok || at.Before(after) || at.After(time.Now()) {
		t.Errorf("the others arrived %v, %v; want after %v", at, ok, after)
	}
	if at, ok := r.ArrivedBy(int64(len("firstsecond") + 1)); ok {
		t.Errorf("what has not come arrived %v", at)
	}
	if r.Position() != int64(len("firstsecond")) {
		t.Errorf("%d bytes were read", r.Position())
	}
}

// Watch observes each arrival, reads nothing, and notices a close behind unread data. A read deadline ends it.
func TestReceiverWatch(t *testing.T) {
	t.Parallel()
	client, server, r, waited := receiverPair(t)
	server.SetReadDeadline(time.Unix(1, 0))
	if state := r.Watch(); state != PeerPresent {
		t.Errorf("after the deadline: %v", state)
	}
	server.SetReadDeadline(time.Time{})
	ended := make(chan PeerState, 1)
	go func() { ended <- r.Watch() }()
	waited.Store(int64(time.Hour))
	io.WriteString(client, "first")
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		if at, ok := r.ArrivedBy(1); ok {
			if time.Since(at) < time.Hour {
				t.Errorf("arrived %v", at)
			}
			break
		}
		if time.Now().After(end) {
			t.Fatal("the arrival was not observed")
		}
	}
	client.Close()
	if state := <-ended; state != PeerClosed {
		t.Errorf("after the close: %v", state)
	}
	if text, err := io.ReadAll(r); string(text) != "first" || err != nil {
		t.Errorf("read %q, %v", text, err)
	}
}

// ObserveWhile observes what arrives while a function runs that reads nothing.
func TestReceiverObservesWhile(t *testing.T) {
	t.Parallel()
	client, _, r, _ := receiverPair(t)
	for _, text := range []string{"first", "second"} {
		r.ObserveWhile(func() {
			io.WriteString(client, text)
			for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
				if _, ok := r.ArrivedBy(r.Position() + int64(len(text))); ok {
					return
				}
				if time.Now().After(end) {
					t.Fatal("the arrival was not observed")
				}
			}
		})
		if _, err := io.ReadFull(r, make([]byte, len(text))); err != nil {
			t.Fatal(err)
		}
	}
}
