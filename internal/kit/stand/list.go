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

// Entry is one box in the list, as PROTOCOL's discovery writes it.
type Entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"` // Ready, Terminating or Gone
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`    // Unix time; 0 for long ago
	RPC     string  `json:"rpc,omitempty"` // where it speaks JSON-RPC
}

// List is a list or a change of one, as PROTOCOL's discovery writes it.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Agent is the box list as one node sees it: in push mode the agent on its machine, which has what it was sent; in ask
// mode the service, which counts as telling a change when it has written it.
type Agent struct {
	node   string
	polled bool
	clock  Clock
	out    *trace.Writer

	mu         sync.Mutex
	version    int64
	entries    map[string]versionedEntry
	changed    chan struct{} // closed at the next change
	paused     chan struct{} // closed when it speaks again; nil while it speaks
	pending    []Entry       // changes that came while it was silent
	notBefore  time.Duration // what it is told before this counts as told then
	notified   map[string]string
	notifiedAt map[string]time.Duration // by box, the latest time at which something counts as told
}

type versionedEntry struct {
	Entry
	version int64
}

// NewAgent returns the list of one node, with what the node has had from the start.
func NewAgent(node string, ask bool, clock Clock, out *trace.Writer, known []Entry) *Agent {
	a := &Agent{node: node, polled: ask, clock: clock, out: out, version: 1, entries: map[string]versionedEntry{},
		changed: make(chan struct{}), notified: map[string]string{}, notifiedAt: map[string]time.Duration{}}
	for _, e := range known {
		a.entries[e.ID] = versionedEntry{e, 1}
		a.recordNotified(&e)
	}
	return a
}

// recordNotified notes that the node has been told of a box's state. a.mu is held, or nobody else knows a.
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
	// A box that takes requests may get them as soon as its node can know. What was told before and counts later does not
	// outlast that: it is told again behind it.
	pending := a.notifiedAt[e.ID]
	a.recordNotifiedAt(now, e)
	if pending > now {
		a.recordNotifiedAt(pending, e)
	}
}

// recordNotifiedAt notes that a box's state counts as told at a time.
func (a *Agent) recordNotifiedAt(at time.Duration, e *Entry) {
	a.notifiedAt[e.ID] = max(a.notifiedAt[e.ID], at)
	a.out.Add(&trace.Record{Kind: trace.Told, T: trace.US(at), Node: a.node, Box: e.ID, State: e.State})
}

// Apply takes in a change.
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

// Pause makes the list say nothing and hear nothing, until Speak.
func (a *Agent) Pause() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.paused == nil {
		a.paused = make(chan struct{})
	}
}

// Resume ends Hush.
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

// DelayNotifications says that what the list has to tell counts as told after d at the earliest: a node that has just been given
// another discovery gets that long to find it.
func (a *Agent) DelayNotifications(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notBefore = a.clock.Now() + d
}

// InitialList is the list that a new process of the node is started with. All of it counts as told then: what an earlier process had
// still to find after a reload is over.
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

// List is the whole list.
func (a *Agent) List() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changesSince(0, true)
}

// changesSince is what has changed after a version, or the whole list. a.mu is held.
func (a *Agent) changesSince(version int64, full bool) List {
	l := List{Version: a.version, Full: full, Servers: []Entry{}}
	for _, e := range a.entries {
		if full && e.State != trace.Gone || !full && e.version > version {
			l.Servers = append(l.Servers, e.Entry)
		}
	}
	return l
}

// ServeHTTP answers GET /v1/endpoints.
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

// AgentServer is an Agent at one address.
type AgentServer struct {
	Addr string
	srv  *http.Server
	ln   net.Listener
	done chan struct{}
}

// ServeAgent serves a on ln until Close or Leave.
func ServeAgent(a *Agent, ln net.Listener) *AgentServer {
	s := &AgentServer{Addr: ln.Addr().String(), srv: &http.Server{Handler: a}, ln: ln, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		if err := s.srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return // nothing is answered any more: the node's calls tell
		}
	}()
	return s
}

// CloseAfter takes no new connection from now on, and closes the open ones after d.
func (s *AgentServer) CloseAfter(d time.Duration) {
	s.ln.Close()
	time.AfterFunc(d, func() { s.srv.Close() })
}

// Close ends it.
func (s *AgentServer) Close() {
	s.srv.Close()
	s.ln.Close()
	<-s.done
}
