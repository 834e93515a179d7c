package stand

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Call is a JSON-RPC call as a backend received it.
type Call struct {
	At      time.Duration // when its last byte was read
	Backend string
	Method  string
	Params  map[string]any
}

// Backend is a backend that speaks JSON-RPC 2.0 over TCP, one text a line. It runs several calls at a time, in the order in
// which they came; the others wait.
type Backend struct {
	ID, Addr string
	c        *Case
	cores    chan struct{}

	mu      sync.Mutex
	work    func(n int, params map[string]any) time.Duration // how long call n takes
	answer  func(n int) string                               // what it answers: a JSON string's content
	calls   []Call
	held    int
	hung    bool
	resumed chan struct{}
}

// NewBackend starts a backend with some cores, on which a call takes 60 to 110 ms.
func NewBackend(c *Case, id string, cores int) (*Backend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Backend{ID: id, Addr: ln.Addr().String(), c: c, cores: make(chan struct{}, cores),
		work:   func(n int, _ map[string]any) time.Duration { return time.Duration(60+7*n%50) * time.Millisecond },
		answer: func(int) string { return "done" }, resumed: make(chan struct{})}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b, nil
}

// SetWork sets how long calls take.
func (b *Backend) SetWork(work func(n int, params map[string]any) time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work = work
}

// SetAnswer sets what calls are answered with.
func (b *Backend) SetAnswer(answer func(n int) string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answer = answer
}

// Hang stops the backend: it reads, runs and answers nothing until Resume, and its connections stay open.
func (b *Backend) Hang() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hung = true
	b.c.Log("backend %s hangs", b.ID)
}

// Resume ends Hang.
func (b *Backend) Resume() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hung {
		b.hung = false
		close(b.resumed)
		b.resumed = make(chan struct{})
		b.c.Log("backend %s goes on", b.ID)
	}
}

// wait waits while the backend hangs.
func (b *Backend) wait() {
	for {
		b.mu.Lock()
		hung, resumed := b.hung, b.resumed
		b.mu.Unlock()
		if !hung {
			return
		}
		<-resumed
	}
}

// Calls returns the calls that came so far.
func (b *Backend) Calls() []Call {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Call(nil), b.calls...)
}

func (b *Backend) serve(conn net.Conn) {
	defer conn.Close()
	var writing sync.Mutex
	in := bufio.NewReaderSize(conn, 128<<10)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		b.wait()
		at := b.c.Now()
		var m struct {
			ID     json.RawMessage `json:"id"`
			Method string          `json:"method"`
			Params map[string]any  `json:"params"`
		}
		if json.Unmarshal([]byte(line), &m) != nil || m.Method == "" {
			return
		}
		b.mu.Lock()
		b.calls = append(b.calls, Call{At: at, Backend: b.ID, Method: m.Method, Params: m.Params})
		n, work := len(b.calls), b.work
		b.held++
		b.mu.Unlock()
		b.c.Log("backend %s: got %s %v", b.ID, m.Method, m.Params)
		go func() {
			b.cores <- struct{}{}
			time.Sleep(work(n, m.Params))
			<-b.cores
			b.wait()
			b.mu.Lock()
			b.held--
			held, answer := b.held, b.answer(n)
			b.mu.Unlock()
			text := fmt.Sprintf(`{"jsonrpc":"2.0","id":%s,"result":%q,"craneglade":{"load":{"inflight":%d,"queue":%d}}}`+"\n", m.ID, answer, held, max(0, held-cap(b.cores)))
			writing.Lock()
			defer writing.Unlock()
			_, err := conn.Write([]byte(text))
			b.c.Log("backend %s: answered %v with %d bytes, %v", b.ID, m.Params, len(answer), err)
		}()
	}
}

// Entry returns the backend's entry in the list.
func (b *Backend) Entry(zone string) Entry {
	return Entry{ID: b.ID, Addr: b.Addr, Zone: zone, Kind: "gen-a", State: "Ready", Weight: 1, RPC: b.Addr}
}

// RPCSettings returns the [jsonrpc] part of a node's own settings, with the methods sendQuote and saveConfig.
func RPCSettings(listen string, extra ...string) string {
	return "[jsonrpc]\nlisten = \"" + listen + "\"\nbeside = true\n" + strings.Join(extra, "\n") + `
[[jsonrpc.method]]
name = "saveConfig"
class = "save-config"
key = "/key"
tenant = "/dealer"

[[jsonrpc.method]]
name = "sendQuote"
class = "send-quote"
tenant = "/dealer"
`
}
