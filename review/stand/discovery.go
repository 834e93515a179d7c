package stand

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is a backend in the list.
type Entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
	RPC     string  `json:"rpc,omitempty"`
}

// Discovery is the agent on a node's machine: it answers at once with what it has, and a watch when there is something newer.
type Discovery struct {
	Addr string

	mu      sync.Mutex
	version int64
	changed chan struct{}
	entries map[string]Entry
	at      map[string]int64
}

// NewDiscovery serves a list.
func NewDiscovery(all []Entry) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: ln.Addr().String(), version: 1, changed: make(chan struct{}), entries: map[string]Entry{}, at: map[string]int64{}}
	for _, e := range all {
		d.entries[e.ID], d.at[e.ID] = e, 1
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/endpoints", d.serve)
	go http.Serve(ln, mux)
	return d, nil
}

// Set changes entries, as one version.
func (d *Discovery) Set(all ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for _, e := range all {
		d.entries[e.ID], d.at[e.ID] = e, d.version
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, err := strconv.ParseInt(q.Get("since"), 10, 64)
	full := err != nil
	if !full {
		wait, _ := strconv.Atoi(q.Get("timeout_ms"))
		d.mu.Lock()
		changed, newer := d.changed, d.version > since
		d.mu.Unlock()
		if !newer {
			select {
			case <-changed:
			case <-time.After(time.Duration(wait) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	out := struct {
		Version int64   `json:"version"`
		Full    bool    `json:"full"`
		Servers []Entry `json:"servers"`
	}{d.version, full, []Entry{}}
	for id, e := range d.entries {
		if full && e.State != "Gone" || !full && d.at[id] > since {
			out.Servers = append(out.Servers, e)
		}
	}
	json.NewEncoder(w).Encode(out)
}
