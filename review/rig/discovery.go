package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Server is an entry of the list of backends.
type Server struct {
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

// List is an answer of discovery.
type List struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []Server `json:"servers"`
}

// Discovery is a stand-in for the agent of discovery on the node's machine.
type Discovery struct {
	Addr string

	mu      sync.Mutex
	version int64
	servers []Server
	changed chan struct{} // closed with the next change
}

// StartDiscovery starts an agent that has a list.
func (e *Env) StartDiscovery(servers []Server) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: ln.Addr().String(), version: 1, servers: servers, changed: make(chan struct{})}
	srv := &http.Server{Handler: http.HandlerFunc(d.answer)}
	go srv.Serve(ln)
	e.AtEnd(func() { srv.Close() })
	return d, nil
}

// answer answers a call for the whole list or a watch.
func (d *Discovery) answer(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	timeout := time.After(min(time.Duration(wait)*time.Millisecond, time.Minute))
	out := List{}
	for waiting := true; waiting; {
		d.mu.Lock()
		changed := d.changed
		out = List{Version: d.version, Full: true, Servers: d.servers}
		d.mu.Unlock()
		if waiting = err == nil && out.Version <= since; !waiting {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			out.Full, out.Servers, waiting = false, []Server{}, false
		}
	}
	json.NewEncoder(w).Encode(out) // the watcher may have left
}
