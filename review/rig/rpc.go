package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Call is a JSON-RPC call as a backend got it.
type Call struct {
	Method string
	Params json.RawMessage
	At     time.Time // when its last byte had come
}

// Backend is a stand-in for a backend that speaks JSON-RPC: it has cores, and calls wait for one.
type Backend struct {
	ID  string
	RPC string
	// Work returns how long a call keeps a core, and its result.
	Work func(Call) (time.Duration, json.RawMessage)

	http     string
	cores    chan struct{}
	mu       sync.Mutex
	calls    []Call
	inFlight int
	running  int
}

// StartBackend starts a backend.
func (e *Env) StartBackend(id string, cores int, work func(Call) (time.Duration, json.RawMessage)) (*Backend, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	web, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Backend{ID: id, RPC: ln.Addr().String(), Work: work, http: web.Addr().String(), cores: make(chan struct{}, cores)}
	srv := &http.Server{Handler: http.NotFoundHandler()}
	go srv.Serve(web)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	e.AtEnd(func() {
		ln.Close()
		srv.Close()
	})
	return b, nil
}

// Server returns the backend's entry in the list.
func (b *Backend) Server() Server {
	return Server{ID: b.ID, Addr: b.http, Zone: "tacoma", Kind: "gen-a", State: "Ready", Weight: 1, RPC: b.RPC}
}

// Calls returns the calls so far.
func (b *Backend) Calls() []Call {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Call(nil), b.calls...)
}

// serve answers the calls on a connection, each when its work is done.
func (b *Backend) serve(c net.Conn) {
	defer c.Close()
	var writing sync.Mutex
	for in := json.NewDecoder(c); ; {
		var m struct {
			ID     json.RawMessage `json:"id"`
			Method string          `json:"method"`
			Params json.RawMessage `json:"params"`
		}
		if in.Decode(&m) != nil {
			return
		}
		call := Call{m.Method, m.Params, time.Now()}
		b.mu.Lock()
		b.calls = append(b.calls, call)
		b.inFlight++
		b.mu.Unlock()
		go func() {
			result, load := b.run(call)
			writing.Lock()
			defer writing.Unlock()
			fmt.Fprintf(c, `{"jsonrpc":"2.0","id":%s,"result":%s,"craneglade":{"load":%s}}`+"\n", m.ID, result, load)
		}()
	}
}

// run does the work of a call and returns its result and a load report.
func (b *Backend) run(call Call) (result json.RawMessage, load string) {
	work, result := b.Work(call)
	b.cores <- struct{}{}
	b.mu.Lock()
	b.running++
	b.mu.Unlock()
	time.Sleep(work)
	<-b.cores
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	b.inFlight--
	return result, fmt.Sprintf(`{"inflight":%d,"queue":%d}`, b.inFlight, max(0, b.inFlight-b.running))
}

// StartBoxes starts backends, and a discovery that lists them. work is called with the place of a backend among them.
func (e *Env) StartBoxes(count, cores int, work func(at int, call Call) (time.Duration, json.RawMessage)) (boxes []*Backend, d *Discovery, err error) {
	var servers []Server
	for i := range count {
		b, err := e.StartBackend(fmt.Sprintf("box-%02d", i+1), cores, func(call Call) (time.Duration, json.RawMessage) { return work(i, call) })
		if err != nil {
			return nil, nil, err
		}
		boxes, servers = append(boxes, b), append(servers, b.Server())
	}
	d, err = e.StartDiscovery(servers)
	return boxes, d, err
}
