package stage

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Ready returns the status of an answer to GET /ready, 0 for none.
func Ready(addr string) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + addr + "/ready")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Entry is a backend in discovery's list.
type Entry struct {
	ID        string   `json:"id"`
	Addr      string   `json:"addr"`
	Zone      string   `json:"zone"`
	Kind      string   `json:"kind"`
	Cell      int      `json:"cell"`
	State     string   `json:"state"`
	Weight    float64  `json:"weight"`
	StartedMS int64    `json:"started_ms"`
	Addrs     []string `json:"addrs,omitempty"`
}

// List is a list of backends, in discovery's form.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Discovery is the stand-in for the agent on a node's machine: it answers a watch as soon as there is something newer.
type Discovery struct {
	Addr string

	stage *Stage
	mu    sync.Mutex
	list  []Entry
	log   []List // changes by version
	base  int64
	news  chan struct{}

	// Trouble, if it is set, is asked at each call: "silent" for no answer, "whole" for the whole list, or "".
	Trouble func() string
}

// NewDiscovery starts an agent with a list.
func (s *Stage) NewDiscovery(entries ...Entry) *Discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.Fail("%v", err)
	}
	d := &Discovery{Addr: l.Addr().String(), stage: s, list: entries, base: 1, news: make(chan struct{})}
	go http.Serve(l, http.HandlerFunc(d.serve))
	return d
}

// Full returns the whole list.
func (d *Discovery) Full() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fullLocked()
}

func (d *Discovery) fullLocked() List {
	return List{Version: d.base + int64(len(d.log)), Full: true, Servers: append([]Entry{}, d.list...)}
}

// Change makes a new version of the list, by one change.
func (d *Discovery) Change(entries ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range entries {
		at := -1
		for i := range d.list {
			if d.list[i].ID == e.ID {
				at = i
			}
		}
		switch {
		case e.State == "Gone" && at >= 0:
			d.list = append(d.list[:at:at], d.list[at+1:]...)
		case e.State == "Gone":
		case at >= 0:
			d.list[at] = e
		default:
			d.list = append(d.list, e)
		}
		d.stage.Logf("discovery: version %d: %s at %s is %s", d.base+int64(len(d.log))+1, e.ID, e.Addr, e.State)
	}
	d.log = append(d.log, List{Version: d.base + int64(len(d.log)) + 1, Servers: entries})
	close(d.news)
	d.news = make(chan struct{})
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	trouble := ""
	if d.Trouble != nil {
		trouble = d.Trouble()
	}
	if trouble == "silent" {
		<-r.Context().Done()
		return
	}
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	d.mu.Lock()
	version := d.base + int64(len(d.log))
	var out List
	if err != nil || since < d.base || since > version {
		out = d.fullLocked()
	} else {
		if since == version {
			news := d.news
			d.mu.Unlock()
			select {
			case <-news:
			case <-time.After(time.Duration(wait) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
			d.mu.Lock()
			version = d.base + int64(len(d.log))
		}
		if d.Trouble != nil && d.Trouble() == "silent" { // the watch has fallen silent
			d.mu.Unlock()
			<-r.Context().Done()
			return
		}
		out = List{Version: version, Servers: []Entry{}}
		for _, c := range d.log[since-d.base:] {
			out.Servers = append(out.Servers, c.Servers...)
		}
	}
	if trouble == "whole" {
		out = d.fullLocked()
	}
	d.mu.Unlock()
	text, err := json.Marshal(out)
	if err != nil {
		d.stage.Fail("%v", err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(text)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	if len(out.Servers) > 0 {
		d.stage.Logf("discovery: told version %d, full %v", out.Version, out.Full)
	}
}

// Call is a request that a backend has received whole.
type Call struct {
	Backend *Backend
	ID      string
	Class   string
	Key     string // the Idempotency-Key
	At      time.Time
	Conn    net.Conn
}

// Backend is the stand-in for one box that speaks HTTP.
type Backend struct {
	Entry Entry

	stage    *Stage
	listener *net.TCPListener
	handle   func(*Call) (status int, hold bool)
	mu       sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
	silent   bool // its machine has vanished
}

// NewBackend starts a box at the address of its entry. handle decides what a request gets: with hold it gets nothing, and its
// connection stays open and silent.
func (s *Stage) NewBackend(e Entry, handle func(*Call) (status int, hold bool)) *Backend {
	b := &Backend{Entry: e, stage: s, handle: handle, conns: map[net.Conn]bool{}}
	var err error
	for range 50 {
		var l net.Listener
		if l, err = net.Listen("tcp", e.Addr); err == nil {
			b.listener = l.(*net.TCPListener)
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		s.Fail("box %s: %v", e.ID, err)
	}
	go b.accept()
	return b
}

func (b *Backend) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		if b.closed {
			c.Close()
		}
		b.conns[c] = true
		b.mu.Unlock()
		go b.serve(c)
	}
}

func (b *Backend) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			break
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			break
		}
		b.mu.Lock()
		silent := b.silent
		b.mu.Unlock()
		if silent {
			return // nothing of what comes is received
		}
		call := &Call{Backend: b, ID: r.Header.Get("X-Request-Id"), Class: r.Header.Get("X-Class"), Key: r.Header.Get("Idempotency-Key"), At: time.Now(), Conn: c}
		status, hold := b.handle(call)
		if hold {
			return // the connection stays open and silent
		}
		body := fmt.Sprintf("answer to %s", call.ID)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nX-Load: {\"inflight\":1,\"queue\":0}\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body); err != nil {
			break
		}
	}
	b.mu.Lock()
	delete(b.conns, c)
	b.mu.Unlock()
	c.Close()
}

// StopListening closes the box's listener. Its connections stay as they are.
func (b *Backend) StopListening() { b.listener.Close() }

// Reset resets all connections of a box, as its machine does for those of before when it is back.
func (b *Backend) Reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for c := range b.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Vanish has a box say nothing more: its connections stay open and silent, and new ones are refused.
func (b *Backend) Vanish() {
	b.StopListening()
	b.mu.Lock()
	b.silent = true
	b.mu.Unlock()
}

// Die ends a box: its listener closes and its connections are reset.
func (b *Backend) Die() {
	b.StopListening()
	b.Reset()
}

// Request is a client's request over HTTP.
type Request struct {
	ID, Class, Tenant, Key string
	Deadline               time.Duration
}

// Answer is what a client got.
type Answer struct {
	Status int // 0 if the connection ended without a whole answer
	Body   string
	Err    error
	Took   time.Duration
}

// Client sends one request at a time on a connection that it keeps.
type Client struct {
	Addr string
	conn net.Conn
	in   *bufio.Reader
}

// Do sends a request and waits for its answer. If the node has closed the connection between two requests, the request is sent once
// more on a new one.
func (c *Client) Do(r Request) Answer {
	start, kept := time.Now(), c.conn != nil
	a := c.do(start, r)
	if kept && a.Err != nil && !a.IsTimeout() {
		a = c.do(start, r)
	}
	a.Took = time.Since(start)
	return a
}

func (c *Client) do(start time.Time, r Request) Answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.Addr, 2*time.Second)
		if err != nil {
			return Answer{Err: err}
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	fail := func(err error) Answer {
		c.conn.Close()
		c.conn = nil
		return Answer{Err: err}
	}
	if _, err := c.conn.Write(r.text()); err != nil {
		return fail(err)
	}
	c.conn.SetReadDeadline(start.Add(r.Deadline + 5*time.Second))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return fail(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fail(err)
	}
	if resp.Close {
		c.conn.Close()
		c.conn = nil
	}
	return Answer{Status: resp.StatusCode, Body: string(body)}
}

// Close closes the client's connection.
func (c *Client) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// IsTimeout reports whether an answer did not come in time.
func (a *Answer) IsTimeout() bool {
	var e net.Error
	return errors.As(a.Err, &e) && e.Timeout()
}

// text returns a request as it is written.
func (r *Request) text() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /api?key=7f3a HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: %s\r\nX-Deadline: %dm\r\n",
		r.ID, r.Class, r.Tenant, r.Deadline.Milliseconds())
	if r.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", r.Key)
	}
	b.WriteString("Content-Length: 4\r\n\r\nwork")
	return b.Bytes()
}
