package rig

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Sleep waits more precisely than time.Sleep, which may take a millisecond longer.
func Sleep(d time.Duration) {
	for end := time.Now().Add(d); d > 0; d = time.Until(end) {
		t := unix.NsecToTimespec(int64(d))
		unix.Nanosleep(&t, nil) // an interrupted sleep goes on with the rest
	}
}

// HTTPBackend is a stand-in for a backend that speaks HTTP, behind a link to another site.
type HTTPBackend struct {
	ID   string
	Zone string
	// Work is how long a request takes.
	Work time.Duration
	// CopyShare is the share of the answers that come a second time, at a random time from CopyFrom to CopyWithin after the first
	// one, and only where no further request has come on the connection.
	CopyShare            float64
	CopyFrom, CopyWithin time.Duration

	addr string // of the link
	env  *Env

	mu      sync.Mutex
	copies  map[string]time.Duration   // by the request's id: how long after the first answer the second one was sent
	carried map[string][]time.Duration // by the request's id: how long the link took for each answer to it
}

// Link is how long bytes take from one site to another, one way: Base and up to Jitter more or less.
type Link struct{ Base, Jitter time.Duration }

func (l Link) draw() time.Duration {
	return l.Base + time.Duration((2*rand.Float64()-1)*float64(l.Jitter))
}

// StartHTTPBackend starts a backend and the link to it.
func (e *Env) StartHTTPBackend(b *HTTPBackend, link Link) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.addr, b.env, b.copies, b.carried = front.Addr().String(), e, map[string]time.Duration{}, map[string][]time.Duration{}
	e.AtEnd(func() {
		ln.Close()
		front.Close()
	})
	go acceptAll(ln, b.serve)
	go acceptAll(front, func(c net.Conn) { link.forward(c, ln.Addr().String(), b.noteCarried) })
	return nil
}

func acceptAll(ln net.Listener, serve func(net.Conn)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go serve(c)
	}
}

// Server returns the backend's entry in the list.
func (b *HTTPBackend) Server() Server {
	return Server{ID: b.ID, Addr: b.addr, Zone: b.Zone, Kind: "gen-a", State: "Ready", Weight: 1}
}

// Copies returns, by the id of the request, how long after its first answer each second answer was sent.
func (b *HTTPBackend) Copies() map[string]time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.copies)
}

// Carried returns how long the link took for each answer to a request.
func (b *HTTPBackend) Carried(id string) []time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.carried[id])
}

// noteCarried records how long the link took for some bytes towards the node.
func (b *HTTPBackend) noteCarried(data []byte, took time.Duration) {
	_, rest, ok := bytes.Cut(data, []byte(answerStart))
	if id, _, whole := bytes.Cut(rest, []byte(`"`)); ok && whole {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.carried[string(id)] = append(b.carried[string(id)], took)
	}
}

// forward connects a client of the link with its other end until both directions have ended. It reports how long it took for
// what it carries back.
func (l Link) forward(c net.Conn, to string, carried func([]byte, time.Duration)) {
	defer c.Close()
	Sleep(l.draw())
	other, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer other.Close()
	var both sync.WaitGroup
	both.Go(func() { l.pipe(c, other, func([]byte, time.Duration) {}) })
	both.Go(func() { l.pipe(other, c, carried) })
	both.Wait()
}

// pipe carries bytes in one direction. They stay in order; an end takes the time of the link too.
func (l Link) pipe(from, to net.Conn, carried func([]byte, time.Duration)) {
	type chunk struct {
		data    []byte
		at, due time.Time
	}
	chunks := make(chan chunk, 1024)
	go func() {
		defer close(chunks)
		for {
			data := make([]byte, 32<<10)
			n, err := from.Read(data)
			at := time.Now()
			chunks <- chunk{data[:n], at, at.Add(l.draw())}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		Sleep(time.Until(c.due))
		if len(c.data) > 0 {
			to.Write(c.data) // an error shows up in the next read
			carried(c.data, time.Since(c.at))
		}
	}
	if t, ok := to.(*net.TCPConn); ok {
		t.CloseWrite()
	}
}

// serve answers the requests of a connection, one at a time.
func (b *HTTPBackend) serve(c net.Conn) {
	defer c.Close()
	requests := make(chan *http.Request, 16)
	var came atomic.Int64
	go func() {
		defer close(requests)
		for in := bufio.NewReader(c); ; {
			if _, err := in.Peek(1); err != nil {
				return
			}
			came.Add(1) // from its first byte on it waits
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			requests <- r
		}
	}()
	for r := range requests {
		id := r.Header.Get("X-Request-Id")
		if id == "" {
			io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		Sleep(b.Work)
		answer := Answered(id)
		var text bytes.Buffer
		fmt.Fprintf(&text, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
		seen := came.Load()
		if _, err := c.Write(text.Bytes()); err != nil {
			return
		}
		answered := time.Now()
		if rand.Float64() >= b.CopyShare || seen != came.Load() {
			continue
		}
		Sleep(b.CopyFrom + rand.N(b.CopyWithin-b.CopyFrom))
		if seen != came.Load() {
			continue // a request waits on the connection
		}
		if _, err := c.Write(text.Bytes()); err != nil {
			return
		}
		after := time.Since(answered)
		b.env.Log("%s sends its answer to %s a second time, %v after the first", b.ID, id, after.Round(10*time.Microsecond))
		b.mu.Lock()
		b.copies[id] = after
		b.mu.Unlock()
	}
}

// answerStart is how the body of an answer begins; the id of its request follows.
const answerStart = `{"saved":"`

// Answered returns the body of the answer to a request.
func Answered(id string) string { return answerStart + id + `"}` }

// AnswerOf returns the id of the request that the body of an answer is for.
func AnswerOf(body string) string {
	return strings.TrimSuffix(strings.TrimPrefix(body, answerStart), `"}`)
}
