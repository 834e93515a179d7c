package stand

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"craneglade/internal/kit/trace"
)

// Entry is one backend in the list, as the discovery protocol encodes it.
type Entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"` // Ready, Terminating or Gone
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`    // Unix time in ms; 0: unknown, long ago
	RPC     string  `json:"rpc,omitempty"` // address for JSON-RPC, if any
}

// List is a full list or a delta, as the discovery protocol encodes it.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Agent is the list as one node sees it. In push mode it is the agent on the node's machine: a change counts as
// notified when the agent gets it. In polled mode it is the service: a change counts as notified when a response with it
// is written.
type Agent struct {
	node   string
	polled bool
	clock  Clock
	out    *trace.Writer

	mu         sync.Mutex
	version    int64
	entries    map[string]versionedEntry
	changed    chan struct{}            // closed at the next change
	paused     chan struct{}            // closed by Resume; nil while not paused
	pending    []Entry                  // changes that came while it was paused
	notBefore  time.Duration            // a notification before this time counts as made at this time
	notified   map[string]string        // by backend, the latest state and start time that was notified
	notifiedAt map[string]time.Duration // by backend, the latest time at which a notification counts
}

type versionedEntry struct {
	Entry
	version int64
}

// NewAgent returns the list of one node. The node has the entries of known from the start.
func NewAgent(node string, ask bool, clock Clock, out *trace.Writer, known []Entry) *Agent {
	a := &Agent{node: node, polled: ask, clock: clock, out: out, version: 1, entries: map[string]versionedEntry{},
		changed: make(chan struct{}), notified: map[string]string{}, notifiedAt: map[string]time.Duration{}}
	for _, e := range known {
		a.entries[e.ID] = versionedEntry{e, 1}
		a.recordNotified(&e)
	}
	return a
}

// recordNotified records that the node has been notified of a backend's state. The caller holds a.mu or has the only
// reference.
func (a *Agent) recordNotified(e *Entry) {
	state := e.State + " " + strconv.FormatInt(e.Started, 10)
	if a.notified[e.ID] == state {
		return
	}
	a.notified[e.ID] = state
	now := a.clock.Now()
	if e.State != trace.Ready {
		a.recordNotifiedAt(max(now, a.notBefore), e)
		return
	}
	// A backend that is ready may get requests as soon as the node can know of it. If an earlier state counts only later
	// than now, ready is recorded a second time for that moment, so that it stays the latest state.
	pending := a.notifiedAt[e.ID]
	a.recordNotifiedAt(now, e)
	if pending > now {
		a.recordNotifiedAt(pending, e)
	}
}

// recordNotifiedAt records that a backend's state counts as notified at a time.
func (a *Agent) recordNotifiedAt(at time.Duration, e *Entry) {
	a.notifiedAt[e.ID] = max(a.notifiedAt[e.ID], at)
	a.out.Add(&trace.Record{Kind: trace.Notified, T: trace.Microseconds(at), Node: a.node, Backend: e.ID, State: e.State})
}

// Apply applies a change to the list, after Resume if the list is paused.
func (a *Agent) Apply(e Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.paused != nil {
		a.pending = append(a.pending, e)
		return
	}
	a.apply(e)
}

func (a *Agent) apply(e Entry) {
	a.version++
	a.entries[e.ID] = versionedEntry{e, a.version}
	if !a.polled {
		a.recordNotified(&e)
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// Pause stops the list from answering and from applying changes, until Resume.
func (a *Agent) Pause() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.paused == nil {
		a.paused = make(chan struct{})
	}
}

// Resume ends Pause and applies the changes that came meanwhile.
func (a *Agent) Resume() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.paused == nil {
		return
	}
	for _, e := range a.pending {
		a.apply(e)
	}
	a.pending = nil
	close(a.paused)
	a.paused = nil
}

// DelayNotifications makes drains and removals count as notified after d from now at the earliest: a node whose
// discovery address has just changed gets that long to find the new one.
func (a *Agent) DelayNotifications(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notBefore = a.clock.Now() + d
}

// InitialList returns the list that a new process of the node is started with. All of it counts as notified now, even
// within the delay that DelayNotifications gave an earlier process.
func (a *Agent) InitialList() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notBefore = 0
	for _, id := range slices.Sorted(maps.Keys(a.entries)) {
		e := a.entries[id].Entry
		delete(a.notified, id)
		a.recordNotified(&e)
	}
	return a.changesSince(0, true)
}

// List returns the full list.
func (a *Agent) List() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changesSince(0, true)
}

// changesSince returns what has changed after a version, or the full list. The caller holds a.mu.
func (a *Agent) changesSince(version int64, full bool) List {
	l := List{Version: a.version, Full: full, Servers: []Entry{}}
	for _, e := range a.entries {
		if full && e.State != trace.Removed || !full && e.version > version {
			l.Servers = append(l.Servers, e.Entry)
		}
	}
	return l
}

// ServeHTTP answers GET /v1/endpoints, as a fetch or as a long poll.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	q := r.URL.Query()
	since, err := strconv.ParseInt(q.Get("since"), 10, 64)
	watch := err == nil
	ms, _ := strconv.ParseInt(q.Get("timeout_ms"), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(max(ms, 0), 60000))*time.Millisecond)
	defer cancel()
	for {
		a.mu.Lock()
		paused, changed, newer := a.paused, a.changed, !watch || a.version > since
		var l List
		if paused == nil && (newer || ctx.Err() != nil) {
			l = a.changesSince(since, !watch || since > a.version)
		}
		a.mu.Unlock()
		if paused != nil {
			if a.polled {
				http.Error(w, "the list is down", http.StatusServiceUnavailable)
				return
			}
			select {
			case <-paused:
			case <-r.Context().Done():
				return
			}
			continue
		}
		if newer || ctx.Err() != nil {
			a.write(w, l)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if r.Context().Err() != nil {
				return
			}
		}
	}
}

func (a *Agent) write(w http.ResponseWriter, l List) {
	w.Header().Set("Content-Type", "application/json")
	if json.NewEncoder(w).Encode(l) != nil || !a.polled {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range l.Servers {
		a.recordNotified(&l.Servers[i])
	}
}

// AgentServer serves an Agent at one address.
type AgentServer struct {
	Addr string
	srv  *http.Server
	ln   net.Listener
	done chan struct{}
}

// ServeAgent serves a on ln until Close or CloseAfter.
func ServeAgent(a *Agent, ln net.Listener) *AgentServer {
	s := &AgentServer{Addr: ln.Addr().String(), srv: &http.Server{Handler: a}, ln: ln, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		if err := s.srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return // the server has ended: calls of the node fail from now on
		}
	}()
	return s
}

// CloseAfter stops accepting connections now and closes the open ones after d.
func (s *AgentServer) CloseAfter(d time.Duration) {
	s.ln.Close()
	time.AfterFunc(d, func() { s.srv.Close() })
}

// Close closes the listener and all connections, and waits for the server to end.
func (s *AgentServer) Close() {
	s.srv.Close()
	s.ln.Close()
	<-s.done
}
