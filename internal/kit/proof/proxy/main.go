// Command proxy is a minimal load balancer for the tests of package proof, with a planted fault for each rule to break.
// PROXY_FAULT names the fault; without it the proxy keeps all rules. It is not shipped: only those tests build it. It
// logs each planted fault to standard error: "planted <Unix ns> <request> <backend>".
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
	faultRate      = 0.03                  // fraction of the requests for a fault that can occur at any of them
	deadlineMargin = 40 * time.Millisecond // a request is abandoned this long before its deadline
)

type backend struct {
	ID      string `json:"id"`
	Addr    string `json:"addr"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
	Started int64  `json:"started_ms"`
}

type list struct {
	Version  int64     `json:"version"`
	Full     bool      `json:"full"`
	Backends []backend `json:"servers"`
}

type proxy struct {
	fault      string
	window     time.Duration
	mu         sync.Mutex
	backends   map[string]backend
	firstSeen  map[string]time.Time // when a backend was first listed
	lastAnswer []byte               // body of the latest served answer
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
	p := &proxy{fault: os.Getenv("PROXY_FAULT"), backends: map[string]backend{}, firstSeen: map[string]time.Time{}}
	for _, g := range cfg.Settings.Grades {
		p.window = max(p.window, time.Duration(g.Window*float64(time.Second)))
	}
	p.apply(&cfg.Known, true)
	go p.pollList(ctx, os.Getenv("GW_DISCOVERY"), cfg.Known.Version)
	ln, err := net.Listen("tcp", os.Getenv("GW_LISTEN"))
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: p}
	go func() {
		<-ctx.Done()
		time.Sleep(400 * time.Millisecond) // clients keep connecting until the front notices
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

// connectTimeout bounds connection set-up. The kernel retries a SYN to a backend that is cut off after a second: a planted fault
// would then happen that long after it was logged.
const connectTimeout = 200 * time.Millisecond

func (p *proxy) planted(id, backendID string) {
	fmt.Fprintf(os.Stderr, "planted %d %s %s\n", time.Now().UnixNano(), orDash(id), orDash(backendID))
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func (p *proxy) drawFault(fault string) bool { return p.fault == fault && rand.Float64() < faultRate }

// pollList keeps the list of backends up to date by long polling.
func (p *proxy) pollList(ctx context.Context, addr string, version int64) {
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
			p.apply(&l, l.Full)
		}
	}
}

func (p *proxy) apply(l *list, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if full {
		clear(p.backends)
	}
	for _, s := range l.Backends {
		if _, ok := p.firstSeen[s.ID]; !ok {
			p.firstSeen[s.ID] = time.Now()
		}
		if p.fault == "drain" && s.State == "Terminating" {
			if _, ok := p.backends[s.ID]; ok {
				continue // ignore the drain
			}
		}
		if s.State == "Ready" {
			p.backends[s.ID] = s
		} else {
			delete(p.backends, s.ID)
		}
	}
}

// pick draws a backend that was not tried, in zone or outside notZone where these are set. Cold backends are drawn less often.
func (p *proxy) pick(tried map[string]bool, zone, notZone string) (backend, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best backend
	bestWeight := 0.0
	for _, s := range p.backends {
		if tried[s.ID] || zone != "" && s.Zone != zone || notZone != "" && s.Zone == notZone {
			continue
		}
		weight := 0.05 + rand.Float64()
		age := time.Since(p.firstSeen[s.ID])
		if s.Started > 0 && age < 8*time.Second {
			weight *= 0.3
			if p.fault == "cold" {
				weight = 10 + float64(s.Started%1e6)
			}
		}
		if weight > bestWeight {
			best, bestWeight = s, weight
		}
	}
	return best, bestWeight > 0
}

// outcome is how an attempt ended.
type outcome int

const (
	served     outcome = iota
	neverRan           // the request can't have run
	mayHaveRun         // the request may have run
)

// try sends a request once, on a new connection.
func (p *proxy) try(ctx context.Context, s backend, r *http.Request, body []byte) (outcome, []byte) {
	conn, err := (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, "tcp", s.Addr)
	if err != nil {
		return neverRan, nil
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
		return neverRan, nil
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		return mayHaveRun, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return mayHaveRun, nil
	case resp.StatusCode == 200:
		return served, answer
	case resp.Header.Get("X-Not-Run") == "1":
		return neverRan, nil
	}
	return mayHaveRun, nil
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
	timeout := time.Duration(us) * time.Microsecond
	end := time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(r.Context(), end.Add(-deadlineMargin))
	defer cancel()
	keyed := r.Header.Get("Idempotency-Key") != ""
	unsafe := r.Method == http.MethodPost && !keyed
	switch {
	case p.drawFault("hang"):
		time.AfterFunc(time.Until(end), func() { p.planted(id, "") }) // the answer is missing from the deadline on
		<-r.Context().Done()
		return
	case p.drawFault("crash"):
		p.planted("", "")
		os.Exit(3)
	case p.drawFault("drop"):
		p.planted(id, "")
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			c.Close()
		}
		return
	case p.drawFault("invent"):
		p.planted(id, "")
		io.WriteString(w, `{"saved":true}`)
		return
	}
	answer, status := p.serve(ctx, r, id, body, keyed, unsafe)
	p.mu.Lock()
	other := p.lastAnswer
	if status == 200 {
		p.lastAnswer = answer
	}
	p.mu.Unlock()
	switch {
	case status == 200 && other != nil && p.drawFault("swap"):
		p.planted(id, "")
		answer = other
	case p.drawFault("late"):
		time.Sleep(time.Until(end)) // the answer is late from the deadline on
		p.planted(id, "")
		time.Sleep(150 * time.Millisecond)
	}
	if status == 200 && p.drawFault("twice") {
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
	if status == 200 && r.Method == http.MethodGet && p.fault == "after" && rand.Float64() < 10*faultRate {
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

// zone returns the zone of the backend that made an answer.
func (p *proxy) zone(answer []byte) string {
	var a struct{ Box string }
	json.Unmarshal(answer, &a)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backends[a.Box].Zone
}

// serve tries up to three backends as the rules and the planted fault have it, and returns the answer and its status.
func (p *proxy) serve(ctx context.Context, r *http.Request, id string, body []byte, keyed, unsafe bool) ([]byte, int) {
	tried := map[string]bool{}
	zone, notZone := "", ""
	var firstMayHaveRun time.Time // start of the first attempt that may have run
	for range 3 {
		s, ok := p.pick(tried, zone, notZone)
		if !ok {
			break
		}
		tried[s.ID] = true
		started := time.Now()
		switch {
		case !firstMayHaveRun.IsZero() && unsafe, zone == "" && notZone != "", !firstMayHaveRun.IsZero() && keyed && time.Since(firstMayHaveRun) > p.window:
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
		windowOver := keyed && !firstMayHaveRun.IsZero() && p.fault != "window" && time.Since(firstMayHaveRun) > p.window-20*time.Millisecond
		if out == neverRan && windowOver { // the window passed during a failed connect
			return nil, 500
		}
		if out == neverRan {
			continue
		}
		if firstMayHaveRun.IsZero() {
			firstMayHaveRun = started
		}
		switch {
		case unsafe && p.fault == "unsafe":
		case unsafe && p.fault == "refuse":
			p.planted(id, s.ID)
			return nil, 503
		case unsafe:
			return nil, 500
		case !keyed: // safe: may be repeated on any backend
		case keyed && p.fault == "window":
			zone = s.Zone
			time.Sleep(time.Until(firstMayHaveRun.Add(p.window + 100*time.Millisecond)))
		case keyed && time.Since(firstMayHaveRun) > p.window-20*time.Millisecond:
			return nil, 500
		case keyed && p.fault == "group":
			notZone = s.Zone
		default:
			zone = s.Zone
		}
	}
	if firstMayHaveRun.IsZero() {
		return nil, 503
	}
	return nil, 500
}
