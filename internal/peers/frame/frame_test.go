package frame

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const testTimeout = 30 * time.Second

var (
	firstKey  = bytes.Repeat([]byte{1}, 16)
	secondKey = bytes.Repeat([]byte{2}, 32)
)

func config(cluster string, keys ...[]byte) Config {
	return Config{Keys: keys, Cluster: cluster, Handshake: testTimeout, ReadTimeout: testTimeout, WriteTimeout: testTimeout}
}

// connectedPair returns both ends of a session over loopback, with an interceptor for the frames of the dialer.
func connectedPair(t *testing.T, dialer, acceptor Config) (*Conn, *Conn, *interceptor) {
	t.Helper()
	near, far := connect(t)
	nearAcceptor, farAcceptor := connect(t)
	w := &interceptor{from: far, to: nearAcceptor}
	go io.Copy(far, nearAcceptor) // what the acceptor sends passes unchanged
	var accepted *Conn
	var acceptErr error
	var started sync.WaitGroup
	started.Go(func() { accepted, acceptErr = Accept(farAcceptor, acceptor) })
	started.Go(func() { io.CopyN(w.to, w.from, int64(helloSize)) })
	dialed, err := Dial(near, dialer)
	started.Wait()
	if err != nil || acceptErr != nil {
		t.Fatalf("dial: %v, accept: %v", err, acceptErr)
	}
	return dialed, accepted, w
}

func connect(t *testing.T) (net.Conn, net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	near, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

// interceptor reads frames from the dialer, and forwards to the acceptor what a test makes of them.
type interceptor struct{ from, to net.Conn }

func (w *interceptor) readFrame(t *testing.T) []byte {
	t.Helper()
	head := make([]byte, lengthSize)
	if _, err := io.ReadFull(w.from, head); err != nil {
		t.Fatal(err)
	}
	body := make([]byte, int(head[2])<<8|int(head[3]))
	if _, err := io.ReadFull(w.from, body); err != nil {
		t.Fatal(err)
	}
	return append(head, body...)
}

func (w *interceptor) forward(t *testing.T, frame []byte) {
	t.Helper()
	if _, err := w.to.Write(frame); err != nil {
		t.Fatal(err)
	}
}

func writeText(t *testing.T, c *Conn, text string) {
	t.Helper()
	if err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

func wantText(t *testing.T, c *Conn, text string) {
	t.Helper()
	if got, err := c.Read(); err != nil || string(got) != text {
		t.Fatalf("read %q, %v, want %q", got, err, text)
	}
}

func wantError(t *testing.T, c *Conn, what string, want error) {
	t.Helper()
	if got, err := c.Read(); !errors.Is(err, want) {
		t.Errorf("%s: read %q, %v, want %v", what, got, err, want)
	}
}

func TestMessagesGoBothWays(t *testing.T) {
	dialed, accepted, w := connectedPair(t, config("a", firstKey), config("a", firstKey))
	for _, text := range []string{"one", "", "three"} {
		writeText(t, dialed, text)
		w.forward(t, w.readFrame(t))
		wantText(t, accepted, text)
		writeText(t, accepted, "re: "+text)
		wantText(t, dialed, "re: "+text)
	}
	if dialed.Sent() != accepted.Received() || accepted.Sent() != dialed.Received() || dialed.Sent() == 0 {
		t.Errorf("sent %d and %d bytes, received %d and %d", dialed.Sent(), accepted.Sent(), dialed.Received(), accepted.Received())
	}
}

// During key rotation each side seals with its own first key and opens what the other has sealed.
func TestKeyRotation(t *testing.T) {
	dialed, accepted, w := connectedPair(t, config("a", firstKey, secondKey), config("a", secondKey, firstKey))
	writeText(t, dialed, "sealed with the first")
	w.forward(t, w.readFrame(t))
	wantText(t, accepted, "sealed with the first")
	writeText(t, accepted, "sealed with the second")
	wantText(t, dialed, "sealed with the second")
}

func TestOtherKeyOrClusterIsRejected(t *testing.T) {
	for name, stranger := range map[string]Config{"another key": config("a", secondKey), "another cluster": config("b", firstKey)} {
		dialed, accepted, w := connectedPair(t, stranger, config("a", firstKey))
		writeText(t, dialed, "hello")
		w.forward(t, w.readFrame(t))
		wantError(t, accepted, name, ErrNotAuthentic)
	}
}

func TestTamperedFramesAreRejected(t *testing.T) {
	for name, tamper := range map[string]func(t *testing.T, w *interceptor){
		"a bit turned": func(t *testing.T, w *interceptor) {
			frame := w.readFrame(t)
			frame[lengthSize+1] ^= 4
			w.forward(t, frame)
		},
		"doubled": func(t *testing.T, w *interceptor) {
			frame := w.readFrame(t)
			w.forward(t, frame)
			w.forward(t, frame)
		},
		"in another order": func(t *testing.T, w *interceptor) {
			first, second := w.readFrame(t), w.readFrame(t)
			w.forward(t, second)
			w.forward(t, first)
		},
		"one left out": func(t *testing.T, w *interceptor) {
			w.readFrame(t)
			w.forward(t, w.readFrame(t))
		},
		"too short for its seal": func(t *testing.T, w *interceptor) { w.forward(t, []byte{0, 0, 0, 3, 1, 2, 3}) },
	} {
		t.Run(name, func(t *testing.T) {
			dialed, accepted, w := connectedPair(t, config("a", firstKey), config("a", firstKey))
			writeText(t, dialed, "begun")
			w.forward(t, w.readFrame(t))
			wantText(t, accepted, "begun")
			writeText(t, dialed, "x1")
			writeText(t, dialed, "x2")
			tamper(t, w)
			if name == "doubled" {
				wantText(t, accepted, "x1")
			}
			wantError(t, accepted, name, ErrNotAuthentic)
		})
	}
}

// A frame recorded in one session is rejected in another, even if it is the first of both.
func TestReplayFromAnotherSessionIsRejected(t *testing.T) {
	dialed, _, w := connectedPair(t, config("a", firstKey), config("a", firstKey))
	writeText(t, dialed, "recorded")
	recorded := w.readFrame(t)
	_, accepted, again := connectedPair(t, config("a", firstKey), config("a", firstKey))
	again.forward(t, recorded)
	wantError(t, accepted, "a recorded frame", ErrNotAuthentic)
}

// A side rejects frames that it has sealed itself.
func TestReflectedFrameIsRejected(t *testing.T) {
	dialed, accepted, w := connectedPair(t, config("a", firstKey), config("a", firstKey))
	writeText(t, accepted, "mine")
	head := make([]byte, lengthSize+tagSize+len("mine"))
	if _, err := io.ReadFull(dialed.conn, head); err != nil {
		t.Fatal(err)
	}
	w.forward(t, head)
	wantError(t, accepted, "a reflected frame", ErrNotAuthentic)
}

func TestTruncatedFrame(t *testing.T) {
	dialed, accepted, w := connectedPair(t, config("a", firstKey), config("a", firstKey))
	writeText(t, dialed, strings.Repeat("x", 100))
	frame := w.readFrame(t)
	w.forward(t, frame[:50])
	w.to.Close()
	wantError(t, accepted, "torn", io.ErrUnexpectedEOF)
}

// The memory that an unauthenticated peer can make this side allocate is limited: a first frame is small, and every frame
// is bounded.
func TestOversizedFramesAreRejected(t *testing.T) {
	_, accepted, w := connectedPair(t, config("a", firstKey), config("a", firstKey))
	w.forward(t, []byte{0, 1, 0, 0})
	wantError(t, accepted, "a large first frame", ErrTooLarge)
	dialed, accepted, w := connectedPair(t, config("a", firstKey), config("a", firstKey))
	writeText(t, dialed, "begun")
	w.forward(t, w.readFrame(t))
	wantText(t, accepted, "begun")
	w.forward(t, []byte{0xff, 0xff, 0xff, 0xff})
	wantError(t, accepted, "a frame of 4 GiB", ErrTooLarge)
	if err := dialed.Write(make([]byte, MaxMessage+1)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("writing over the limit: %v", err)
	}
}

func TestOtherProtocolsAreRejected(t *testing.T) {
	near, far := connect(t)
	io.WriteString(near, "GET / HTTP/1.1\r\nHost: somewhere.example\r\n\r\n")
	if _, err := Accept(far, config("a", firstKey)); !errors.Is(err, ErrBadMagic) {
		t.Errorf("accepted: %v", err)
	}
	// A peer that sends nothing ends the handshake by its timeout.
	_, far = connect(t)
	cfg := config("a", firstKey)
	cfg.Handshake = time.Millisecond
	var timeout net.Error
	if _, err := Accept(far, cfg); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("accepted: %v", err)
	}
}

// A session whose other side does not read ends by the write timeout.
func TestWriteTimeout(t *testing.T) {
	cfg := config("a", firstKey)
	cfg.WriteTimeout = time.Millisecond
	dialed, _, _ := connectedPair(t, cfg, config("a", firstKey))
	var err error
	for range 1000 {
		if err = dialed.Write(make([]byte, MaxMessage)); err != nil {
			break
		}
	}
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("wrote: %v", err)
	}
}
