package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// serve answers clients on ln until ctx ends and then until all that was taken is answered.
func (n *node) serve(ctx context.Context, ln net.Listener) error {
	limit := n.cfg.Sockets / 2
	if n.cfg.Sockets == 0 {
		limit = 1 << 20
	}
	l := &listener{Listener: ln, limit: limit, slots: make(chan struct{}, limit+limit/8)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", n.serveReady)
	srv := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/ready" {
				mux.ServeHTTP(w, r)
				return
			}
			n.serveAPI(w, r)
		}),
		ReadHeaderTimeout: 10 * time.Second,
		ReadTimeout:       30 * time.Second, // far longer than any deadline: it also ends the watch for clients that leave
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
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
	// Connections go on coming for a while, and clients use those that they have: each answer now tells them
	// to close, and only then is the listener closed.
	time.Sleep(acceptFor)
	longest := 3 * time.Second
	for _, c := range n.cfg.Settings.Policy.Classes {
		longest = max(longest, c.Deadline)
	}
	end, cancel := context.WithTimeout(context.Background(), longest)
	defer cancel()
	err := srv.Shutdown(end)
	if errors.Is(err, context.DeadlineExceeded) {
		err = srv.Close() // connections on which no request has come; the last deadline has passed
	}
	<-failed
	return err
}

type connKey struct{}

// listener counts the connections of clients, so that the process never runs out of descriptors in accept:
// past its limit each is answered with a refusal and closed, and far past it new ones wait in the backlog.
type listener struct {
	net.Listener
	limit int
	open  atomic.Int64
	slots chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	l.slots <- struct{}{}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	n := l.open.Add(1)
	return &clientConn{Conn: c, l: l, over: n > int64(l.limit), crowded: n > int64(l.limit*3/4)}, nil
}

type clientConn struct {
	net.Conn
	l       *listener
	once    sync.Once
	over    bool // past the limit: refuse what comes on it
	crowded bool // near the limit: close it after its answer
}

func (c *clientConn) Close() error {
	c.once.Do(func() {
		c.l.open.Add(-1)
		<-c.l.slots
	})
	return c.Conn.Close()
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
		n.refuse(w, http.StatusBadRequest, "X-Deadline: "+err.Error())
		return
	case r.Header.Get("X-Request-Id") == "":
		n.refuse(w, http.StatusBadRequest, "X-Request-Id: missing")
		return
	case r.Header.Get("X-Class") == "":
		n.refuse(w, http.StatusBadRequest, "X-Class: missing")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		n.refuse(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	} else if err != nil { // cut short: what came is not what the client meant
		n.refuse(w, http.StatusBadRequest, "body: "+err.Error())
		return
	}
	if n.leaving.Load() || conn != nil && conn.crowded {
		w.Header().Set("Connection", "close")
	}
	if conn != nil && conn.over {
		w.Header().Set("Connection", "close")
		n.refuse(w, http.StatusServiceUnavailable, "too many connections")
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

func (n *node) refuse(w http.ResponseWriter, status int, text string) {
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
