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

const patience = 30 * time.Second

var (
	firstKey  = bytes.Repeat([]byte{1}, 16)
	secondKey = bytes.Repeat([]byte{2}, 32)
)

func config(cluster string, keys ...[]byte) Config {
	return Config{Keys: keys, Cluster: cluster, Handshake: patience, ReadTimeout: patience, WriteTimeout: patience}
}

// pair is the two ends of a connection on loopback, between which stands a wire that the test turns.
func pair(t *testing.T, dialer, acceptor Config) (*Conn, *Conn, *wire) {
	t.Helper()
	near, far := connect(t)
	nearAcceptor, farAcceptor := connect(t)
	w := &wire{from: far, to: nearAcceptor}
	go io.Copy(far, nearAcceptor) // what the acceptor says goes straight through
	var accepted *Conn
	var acceptErr error
	var begun sync.WaitGroup
	begun.Go(func() { accepted, acceptErr = Accept(farAcceptor, acceptor) })
	begun.Go(func() { io.CopyN(w.to, w.from, int64(helloSize)) })
	dialed, err := Dial(near, dialer)
	begun.Wait()
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

// wire takes frames from the dialer and hands to the acceptor what a test makes of them.
type wire struct{ from, to net.Conn }

func (w *wire) take(t *testing.T) []byte {
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

func (w *wire) pass(t *testing.T, frame []byte) {
	t.Helper()
	if _, err := w.to.Write(frame); err != nil {
		t.Fatal(err)
	}
}

func send(t *testing.T, c *Conn, text string) {
	t.Helper()
	if err := c.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

func want(t *testing.T, c *Conn, text string) {
	t.Helper()
	if got, err := c.Read(); err != nil || string(got) != text {
		t.Fatalf("read %q, %v, want %q", got, err, text)
	}
}

func refused(t *testing.T, c *Conn, what string, want error) {
	t.Helper()
	if got, err := c.Read(); !errors.Is(err, want) {
		t.Errorf("%s: read %q, %v, want %v", what, got, err, want)
	}
}

func TestMessagesGoBothWays(t *testing.T) {
	dialed, accepted, w := pair(t, config("a", firstKey), config("a", firstKey))
	for _, text := range []string{"one", "", "three"} {
		send(t, dialed, text)
		w.pass(t, w.take(t))
		want(t, accepted, text)
		send(t, accepted, "re: "+text)
		want(t, dialed, "re: "+text)
	}
	if dialed.Sent() != accepted.Received() || accepted.Sent() != dialed.Received() || dialed.Sent() == 0 {
		t.Errorf("sent %d and %d bytes, received %d and %d", dialed.Sent(), accepted.Sent(), dialed.Received(), accepted.Received())
	}
}

// While keys are changed each side seals with its own first key, and opens what the other one has sealed.
func TestKeysAreChanged(t *testing.T) {
	dialed, accepted, w := pair(t, config("a", firstKey, secondKey), config("a", secondKey, firstKey))
	send(t, dialed, "sealed with the first")
	w.pass(t, w.take(t))
	want(t, accepted, "sealed with the first")
	send(t, accepted, "sealed with the second")
	want(t, dialed, "sealed with the second")
}

func TestStrangersAreRefused(t *testing.T) {
	for name, stranger := range map[string]Config{"another key": config("a", secondKey), "another cluster": config("b", firstKey)} {
		dialed, accepted, w := pair(t, stranger, config("a", firstKey))
		send(t, dialed, "hello")
		w.pass(t, w.take(t))
		refused(t, accepted, name, ErrNotAuthentic)
	}
}

func TestSpoiltFrames(t *testing.T) {
	for name, turn := range map[string]func(t *testing.T, w *wire){
		"a bit turned": func(t *testing.T, w *wire) {
			frame := w.take(t)
			frame[lengthSize+1] ^= 4
			w.pass(t, frame)
		},
		"doubled": func(t *testing.T, w *wire) {
			frame := w.take(t)
			w.pass(t, frame)
			w.pass(t, frame)
		},
		"in another order": func(t *testing.T, w *wire) {
			first, second := w.take(t), w.take(t)
			w.pass(t, second)
			w.pass(t, first)
		},
		"one left out": func(t *testing.T, w *wire) {
			w.take(t)
			w.pass(t, w.take(t))
		},
		"too short for its seal": func(t *testing.T, w *wire) { w.pass(t, []byte{0, 0, 0, 3, 1, 2, 3}) },
	} {
		t.Run(name, func(t *testing.T) {
			dialed, accepted, w := pair(t, config("a", firstKey), config("a", firstKey))
			send(t, dialed, "begun")
			w.pass(t, w.take(t))
			want(t, accepted, "begun")
			send(t, dialed, "x1")
			send(t, dialed, "x2")
			turn(t, w)
			if name == "doubled" {
				want(t, accepted, "x1")
			}
			refused(t, accepted, name, ErrNotAuthentic)
		})
	}
}

// A frame of an earlier session is not taken in a later one, also where it is the first of both.
func TestFramesOfAnotherSession(t *testing.T) {
	dialed, _, w := pair(t, config("a", firstKey), config("a", firstKey))
	send(t, dialed, "recorded")
	recorded := w.take(t)
	_, accepted, again := pair(t, config("a", firstKey), config("a", firstKey))
	again.pass(t, recorded)
	refused(t, accepted, "a recorded frame", ErrNotAuthentic)
}

// What one side has sealed is not taken back by it.
func TestReflectedFrames(t *testing.T) {
	dialed, accepted, w := pair(t, config("a", firstKey), config("a", firstKey))
	send(t, accepted, "mine")
	head := make([]byte, lengthSize+tagSize+len("mine"))
	if _, err := io.ReadFull(dialed.conn, head); err != nil {
		t.Fatal(err)
	}
	w.pass(t, head)
	refused(t, accepted, "a reflected frame", ErrNotAuthentic)
}

func TestTornFrames(t *testing.T) {
	dialed, accepted, w := pair(t, config("a", firstKey), config("a", firstKey))
	send(t, dialed, strings.Repeat("x", 100))
	frame := w.take(t)
	w.pass(t, frame[:50])
	w.to.Close()
	refused(t, accepted, "torn", io.ErrUnexpectedEOF)
}

// A stranger can't have this side keep much memory: a first frame is small, and any frame bounded.
func TestLargeFrames(t *testing.T) {
	_, accepted, w := pair(t, config("a", firstKey), config("a", firstKey))
	w.pass(t, []byte{0, 1, 0, 0})
	refused(t, accepted, "a large first frame", ErrTooLarge)
	dialed, accepted, w := pair(t, config("a", firstKey), config("a", firstKey))
	send(t, dialed, "begun")
	w.pass(t, w.take(t))
	want(t, accepted, "begun")
	w.pass(t, []byte{0xff, 0xff, 0xff, 0xff})
	refused(t, accepted, "a frame of 4 GiB", ErrTooLarge)
	if err := dialed.Write(make([]byte, MaxMessage+1)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("writing over the limit: %v", err)
	}
}

func TestOtherProtocols(t *testing.T) {
	near, far := connect(t)
	io.WriteString(near, "GET / HTTP/1.1\r\nHost: somewhere.example\r\n\r\n")
	if _, err := Accept(far, config("a", firstKey)); !errors.Is(err, ErrBadMagic) {
		t.Errorf("accepted: %v", err)
	}
	// Nothing at all, for as long as a handshake may take.
	_, far = connect(t)
	cfg := config("a", firstKey)
	cfg.Handshake = time.Millisecond
	var timeout net.Error
	if _, err := Accept(far, cfg); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("accepted: %v", err)
	}
}

// A session whose other side has stopped reading ends by the deadline of a write.
func TestNobodyReads(t *testing.T) {
	cfg := config("a", firstKey)
	cfg.WriteTimeout = time.Millisecond
	dialed, _, _ := pair(t, cfg, config("a", firstKey))
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
