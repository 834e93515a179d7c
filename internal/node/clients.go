package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// serve answers clients on ln until ctx ends and then until all that was taken is answered.
func (n *node) serve(ctx context.Context, ln net.Listener) error {
	var longest time.Duration // that a client waits
	for _, c := range n.cfg.Settings.Policy.Classes {
		longest = max(longest, c.Deadline)
	}
	longest = cmp.Or(longest, 3*time.Second)
	limit := (n.cfg.Sockets - ownSockets) / 2
	if n.cfg.Sockets == 0 {
		limit = 1 << 20
	}
	l := &listener{Listener: ln, limit: limit, slots: make(chan struct{}, limit+limit/8), conns: map[*clientConn]time.Time{}}
	srv := &http.Server{
		Handler:           http.HandlerFunc(n.serveHTTP),
		ReadHeaderTimeout: 5 * time.Second,
		// The read deadline also runs while a request waits for its answer, and would then look like a client
		// that has left: it must be longer than any of them waits.
		ReadTimeout:    longest + 10*time.Second,
		IdleTimeout:    10 * time.Minute,
		MaxHeaderBytes: 32 << 10,
		ConnState:      l.note,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(l) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	n.leaving.Store(true)
	n.log.Info("leaving: finishing what was taken")
	end, cancel := context.WithTimeout(context.Background(), longest+acceptFor+transit)
	defer cancel()
	// Connections go on coming for a while, and clients use those that they have: each answer now tells them
	// to close, and only then is the listener closed.
	time.Sleep(acceptFor)
	// Shutdown leaves young connections open on which no request has come yet. One that came late on such a
	// connection would be cut off at the end: those go first, and their clients turn to other nodes.
	err := ln.Close()
	l.closeIdle()
	if e := srv.Shutdown(end); errors.Is(e, context.DeadlineExceeded) {
		err = errors.Join(err, srv.Close()) // the last deadline has passed
	} else if !errors.Is(e, net.ErrClosed) {
		err = errors.Join(err, e)
	}
	<-failed
	return err
}

type connKey struct{}

// listener keeps the process from running out of descriptors in accept. Past its limit the connection that
// has been idle for longest makes room; where none is idle the new one's request is refused, and far past it
// new ones wait in the backlog.
type listener struct {
	net.Listener
	limit int
	slots chan struct{}

	mu    sync.Mutex
	conns map[*clientConn]time.Time // since when each has been idle; zero while it is busy
}

func (l *listener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	raw, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	c := &clientConn{Conn: raw, l: l}
	l.mu.Lock()
	l.conns[c] = time.Now()
	var longest *clientConn
	if len(l.conns) > l.limit {
		for o, since := range l.conns {
			if o != c && !since.IsZero() && (longest == nil || since.Before(l.conns[longest])) {
				longest = o
			}
		}
		c.over = longest == nil
	}
	l.mu.Unlock()
	if longest != nil {
		longest.Close()
	}
	return c, nil
}

// closeIdle closes the connections that carry no request.
func (l *listener) closeIdle() {
	l.mu.Lock()
	var idle []*clientConn
	for c, since := range l.conns {
		if !since.IsZero() {
			idle = append(idle, c)
		}
	}
	l.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// note follows which connections are idle.
func (l *listener) note(c net.Conn, state http.ConnState) {
	cc := c.(*clientConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.conns[cc]; !open {
		return
	}
	switch state {
	case http.StateActive:
		l.conns[cc] = time.Time{}
	case http.StateIdle:
		l.conns[cc] = time.Now()
	}
}

// clientConn is a client's connection; over tells that there were too many already when it came.
type clientConn struct {
	net.Conn
	l    *listener
	once sync.Once
	over bool
}

func (c *clientConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.l.mu.Lock()
		delete(c.l.conns, c)
		c.l.mu.Unlock()
		<-c.l.slots
	})
	return err
}

func (n *node) serveHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/ready" && r.Method == http.MethodGet:
		n.serveReady(w, r)
	case r.Method != http.MethodGet && r.Method != http.MethodPost:
		n.reject(w, http.StatusMethodNotAllowed, "a request is a GET or a POST")
	default:
		n.serveAPI(w, r)
	}
}

func (n *node) serveReady(w http.ResponseWriter, _ *http.Request) {
	n.mu.Lock()
	ready := n.ready
	n.mu.Unlock()
	if !ready || n.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveAPI takes one request and gives it exactly one answer.
func (n *node) serveAPI(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	conn, _ := r.Context().Value(connKey{}).(*clientConn)
	patience, err := parseDeadline(r.Header.Get("X-Deadline"))
	switch {
	case err != nil:
		n.reject(w, http.StatusBadRequest, "X-Deadline: "+err.Error())
		return
	case r.Header.Get("X-Request-Id") == "":
		n.reject(w, http.StatusBadRequest, "X-Request-Id: missing")
		return
	case r.Header.Get("X-Class") == "":
		n.reject(w, http.StatusBadRequest, "X-Class: missing")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		n.reject(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	} else if err != nil { // cut short: what came is not what the client meant
		n.reject(w, http.StatusBadRequest, "body: "+err.Error())
		return
	}
	if conn != nil && conn.over { // nothing was sent: refusing is harmless, whatever the class
		w.Header().Set("Connection", "close")
		n.reject(w, http.StatusServiceUnavailable, "too many connections")
		return
	}
	req := n.begin(r, body, arrived, patience)
	select {
	case a := <-req.done:
		n.write(w, a)
	case <-r.Context().Done():
		n.gone(req)
	}
}

// reject answers a request that is not handed to the policy.
func (n *node) reject(w http.ResponseWriter, status int, text string) {
	n.write(w, answer{status: status, body: []byte(text + "\n")})
}

func (n *node) write(w http.ResponseWriter, a answer) {
	if n.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if t := a.header.Get("Content-Type"); t != "" {
		w.Header().Set("Content-Type", t)
	}
	if a.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	w.Write(a.body) // an error means that the client has left; its answer was this one
}

// parseDeadline reads a number and its unit: m for milliseconds or u for microseconds.
func parseDeadline(s string) (time.Duration, error) {
	unit := time.Millisecond
	digits, ok := strings.CutSuffix(s, "m")
	if !ok {
		unit = time.Microsecond
		if digits, ok = strings.CutSuffix(s, "u"); !ok {
			return 0, fmt.Errorf("%q has no unit m or u", s)
		}
	}
	f, err := strconv.ParseFloat(digits, 64)
	if err != nil || !(f > 0 && f <= 1e12) {
		return 0, fmt.Errorf("%q is no time", s)
	}
	return time.Duration(f * float64(unit)), nil
}
