// Command proxy is a small plain load balancer for the kit's own proof, with a switch for each way to break a rule.
// PROXY_FAULT names the fault; without it the proxy keeps all rules. It is not shipped: nothing but the proof builds
// it. What it does wrong on purpose it says on standard error, with the moment: "planted <Unix ns> <request> <box>".
package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	often = 0.03                  // part of the requests that a fault strikes, where it can choose
	early = 40 * time.Millisecond // before its client's deadline a request is given up
)

type server struct {
	ID      string `json:"id"`
	Addr    string `json:"addr"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
	Started int64  `json:"started_ms"`
}

type list struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []server `json:"servers"`
}

type proxy struct {
	fault  string
	window time.Duration
	mu     sync.Mutex
	boxes  map[string]server
	seen   map[string]time.Time // when a box was first listed
	last   []byte               // the body of some other request's answer
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "proxy:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	var cfg struct {
		Known    list
		Settings struct {
			Grades []struct {
				Window float64 `json:"repeat_window_s"`
			}
		}
	}
	text, err := os.ReadFile(os.Getenv("GW_CONFIG"))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, &cfg); err != nil {
		return err
	}
	p := &proxy{fault: os.Getenv("PROXY_FAULT"), boxes: map[string]server{}, seen: map[string]time.Time{}}
	for _, g := range cfg.Settings.Grades {
		p.window = max(p.window, time.Duration(g.Window*float64(time.Second)))
	}
	p.take(&cfg.Known, true)
	go p.follow(ctx, os.Getenv("GW_DISCOVERY"), cfg.Known.Version)
	ln, err := net.Listen("tcp", os.Getenv("GW_LISTEN"))
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: p}
	go func() {
		<-ctx.Done()
		time.Sleep(400 * time.Millisecond) // the front notices only after a while
		end, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		srv.Shutdown(end)
		os.Exit(0)
	}()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	select {}
}

// connectTime is for how long a connection may take to come up. To a box that is cut off the kernel would try again a second
// later, and what is planted would happen that long after it was told.
const connectTime = 200 * time.Millisecond

func (p *proxy) planted(id, box string) {
	fmt.Fprintf(os.Stderr, "planted %d %s %s\n", time.Now().UnixNano(), or(id), or(box))
}

func or(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func (p *proxy) strikes(fault string) bool { return p.fault == fault && rand.Float64() < often }

// follow keeps the list.
func (p *proxy) follow(ctx context.Context, addr string, version int64) {
	for ctx.Err() == nil {
		resp, err := http.Get(fmt.Sprintf("http://%s/v1/endpoints?since=%d&timeout_ms=1000", addr, version))
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		var l list
		err = json.NewDecoder(resp.Body).Decode(&l)
		resp.Body.Close()
		if err == nil && l.Version >= version {
			version = l.Version
			p.take(&l, l.Full)
		}
	}
}

func (p *proxy) take(l *list, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if full {
		clear(p.boxes)
	}
	for _, s := range l.Servers {
		if _, ok := p.seen[s.ID]; !ok {
			p.seen[s.ID] = time.Now()
		}
		if p.fault == "drain" && s.State == "Terminating" {
			if _, ok := p.boxes[s.ID]; ok {
				continue // as if nobody had said so
			}
		}
		if s.State == "Ready" {
			p.boxes[s.ID] = s
		} else {
			delete(p.boxes, s.ID)
		}
	}
}

// pick draws a box that was not tried, in a zone if one is named. Cold ones get little.
func (p *proxy) pick(tried map[string]bool, zone, not string) (server, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best server
	top := 0.0
	for _, s := range p.boxes {
		if tried[s.ID] || zone != "" && s.Zone != zone || not != "" && s.Zone == not {
			continue
		}
		w := 0.05 + rand.Float64()
		age := time.Since(p.seen[s.ID])
		if s.Started > 0 && age < 8*time.Second {
			w *= 0.3
			if p.fault == "cold" {
				w = 10 + float64(s.Started%1e6)
			}
		}
		if w > top {
			best, top = s, w
		}
	}
	return best, top > 0
}

// outcome is how an attempt ended.
type outcome int

const (
	served  outcome = iota
	never           // it never ran
	mayHave         // it may have run
)

// try sends a request once, on a connection of its own.
func (p *proxy) try(ctx context.Context, s server, r *http.Request, body []byte) (outcome, []byte) {
	conn, err := (&net.Dialer{Timeout: connectTime}).DialContext(ctx, "tcp", s.Addr)
	if err != nil {
		return never, nil
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: backend.local\r\n", r.Method, r.URL.RequestURI())
	for _, h := range []string{"X-Request-Id", "Idempotency-Key", "X-Class", "X-Deadline", "X-Tenant"} {
		if v := r.Header.Get(h); v != "" {
			fmt.Fprintf(&b, "%s: %s\r\n", h, v)
		}
	}
	if r.Method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	if n, err := conn.Write(b.Bytes()); err != nil && n < b.Len() {
		return never, nil
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		return mayHave, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return mayHave, nil
	case resp.StatusCode == 200:
		return served, answer
	case resp.Header.Get("X-Not-Run") == "1":
		return never, nil
	}
	return mayHave, nil
}

func (p *proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/ready" {
		return
	}
	id, class := r.Header.Get("X-Request-Id"), r.Header.Get("X-Class")
	us, err := strconv.ParseInt(strings.TrimSuffix(r.Header.Get("X-Deadline"), "u"), 10, 64)
	body, err2 := io.ReadAll(io.LimitReader(r.Body, 64<<10))
	if id == "" || err != nil || err2 != nil || class == "" {
		http.Error(w, "not a request of this service", http.StatusBadRequest)
		return
	}
	wait := time.Duration(us) * time.Microsecond
	end := time.Now().Add(wait)
	ctx, cancel := context.WithDeadline(r.Context(), end.Add(-early))
	defer cancel()
	keyed := r.Header.Get("Idempotency-Key") != ""
	unsafe := r.Method == http.MethodPost && !keyed
	switch {
	case p.strikes("hang"):
		time.AfterFunc(time.Until(end), func() { p.planted(id, "") }) // that is when it is due
		<-r.Context().Done()
		return
	case p.strikes("crash"):
		p.planted("", "")
		os.Exit(3)
	case p.strikes("drop"):
		p.planted(id, "")
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			c.Close()
		}
		return
	case p.strikes("invent"):
		p.planted(id, "")
		io.WriteString(w, `{"saved":true}`)
		return
	}
	answer, status := p.serve(ctx, r, id, body, keyed, unsafe)
	p.mu.Lock()
	other := p.last
	if status == 200 {
		p.last = answer
	}
	p.mu.Unlock()
	switch {
	case status == 200 && other != nil && p.strikes("swap"):
		p.planted(id, "")
		answer = other
	case p.strikes("late"):
		time.Sleep(time.Until(end)) // that is when it becomes late
		p.planted(id, "")
		time.Sleep(150 * time.Millisecond)
	}
	if status == 200 && p.strikes("twice") {
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
			time.Sleep(20 * time.Millisecond)
			p.planted(id, "")
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
			c.Close()
		}
		return
	}
	if status != 200 {
		http.Error(w, http.StatusText(status), status)
	} else {
		w.Write(answer)
	}
	if status == 200 && r.Method == http.MethodGet && p.fault == "after" && rand.Float64() < 10*often {
		w.(http.Flusher).Flush()
		go func() {
			time.Sleep(120 * time.Millisecond)
			if s, ok := p.pick(nil, p.zone(answer), ""); ok {
				p.planted(id, s.ID)
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				p.try(ctx, s, r, body)
			}
		}()
	}
}

// zone is that of the box that made an answer.
func (p *proxy) zone(answer []byte) string {
	var a struct{ Box string }
	json.Unmarshal(answer, &a)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.boxes[a.Box].Zone
}

// serve tries boxes as the rules allow, and as the fault has it.
func (p *proxy) serve(ctx context.Context, r *http.Request, id string, body []byte, keyed, unsafe bool) ([]byte, int) {
	tried := map[string]bool{}
	zone, not := "", ""
	var first time.Time // of the attempts that may have run
	for range 3 {
		s, ok := p.pick(tried, zone, not)
		if !ok {
			break
		}
		tried[s.ID] = true
		begun := time.Now()
		switch {
		case !first.IsZero() && unsafe, zone == "" && not != "", !first.IsZero() && keyed && time.Since(first) > p.window:
			p.planted(id, s.ID)
		case p.fault == "drain" || p.fault == "cold":
			p.planted(id, s.ID)
		}
		out, answer := p.try(ctx, s, r, body)
		if out == served {
			return answer, 200
		}
		if ctx.Err() != nil {
			return nil, 500
		}
		over := keyed && !first.IsZero() && p.fault != "window" && time.Since(first) > p.window-20*time.Millisecond
		if out == never && over { // a connection that did not come up has taken the window
			return nil, 500
		}
		if out == never {
			continue
		}
		if first.IsZero() {
			first = begun
		}
		switch {
		case unsafe && p.fault == "unsafe":
		case unsafe && p.fault == "refuse":
			p.planted(id, s.ID)
			return nil, 503
		case unsafe:
			return nil, 500
		case !keyed: // safe
		case keyed && p.fault == "window":
			zone = s.Zone
			time.Sleep(time.Until(first.Add(p.window + 100*time.Millisecond)))
		case keyed && time.Since(first) > p.window-20*time.Millisecond:
			return nil, 500
		case keyed && p.fault == "group":
			not = s.Zone
		default:
			zone = s.Zone
		}
	}
	if first.IsZero() {
		return nil, 503
	}
	return nil, 500
}
