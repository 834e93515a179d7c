// Package rpcfront serves clients over JSON-RPC 2.0 on TCP: it reads calls, passes each to the engine and writes exactly one
// answer to each. Calls on one connection run concurrently and are answered as they finish.
package rpcfront

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"craneglade/internal/engine"
	"craneglade/internal/jsonrpc"
	"craneglade/internal/quota"
	"craneglade/internal/sock"
	"craneglade/internal/timing"
)

const (
	acceptAfterShutdown = 500 * time.Millisecond // how long connections are still accepted after the shutdown starts
	backlogTimeout      = 200 * time.Millisecond // additional time while connections wait in the backlog
	acceptRetryDelay    = 5 * time.Millisecond   // after a temporary accept error
)

// Method is the configuration of a JSON-RPC method.
type Method struct {
	Class         string
	ClientTimeout time.Duration    // default, and the maximum for Deadline
	Tenant        jsontext.Pointer // RFC 6901 pointer into params; "" for none
	Key           jsontext.Pointer // to the idempotency key
	Deadline      jsontext.Pointer // to a number of milliseconds
}

// Config configures a Front.
type Config struct {
	Engine      *engine.Engine
	Quota       *quota.Quota
	Memory      Memory
	Methods     map[string]Method
	MaxInflight int           // open calls on one connection; others wait
	MaxBatch    int           // members of a batch
	IdleTimeout time.Duration // for connections without an open call
	// Parsing bounds how many messages are parsed at the same time. That needs memory for the names of members and the levels of
	// nesting, many times the size of the message, which is not reserved.
	Parsing quota.Concurrency
	Work    *timing.SharedWork // of busy connections
	Log     *slog.Logger
}

// Front serves the connections of this node's JSON-RPC clients.
type Front struct {
	cfg          Config
	shuttingDown atomic.Bool
	idPrefix     string        // of the ids of calls
	lastCall     atomic.Uint64 // number of the latest call
	wg           sync.WaitGroup
	shortest     time.Duration // of the methods' client timeouts

	mu        sync.Mutex
	conns     map[*conn]struct{}
	idleConns list.List // of *conn, without an open call, longest idle first
}

// New returns a front. It serves nobody until Serve is called.
func New(cfg Config) *Front {
	// The engine's ids include those of HTTP clients: a byte that no header can contain keeps the two apart. Backends may be sent
	// the ids, and must not take a call for one of another node or of an earlier process of this one.
	prefix := "\x00" + strconv.FormatUint(rand.Uint64(), 36) + "-"
	f := &Front{cfg: cfg, idPrefix: prefix, conns: map[*conn]struct{}{}}
	for _, m := range cfg.Methods {
		if f.shortest == 0 || m.ClientTimeout < f.shortest {
			f.shortest = m.ClientTimeout
		}
	}
	return f
}

// Serve serves clients on ln until ctx ends, and then until all accepted calls are answered, at the latest by the end of the
// engine's shutdown schedule. Calls that arrive after ctx has ended are refused; clients may safely retry them.
func (f *Front) Serve(ctx context.Context, ln net.Listener) error {
	failed := make(chan error, 1)
	go func() { failed <- f.accept(ln) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve JSON-RPC: %w", err)
	case <-ctx.Done():
	}
	shutdown := f.cfg.Engine.Shutdown(time.Now())
	f.shuttingDown.Store(true)
	f.forEach((*conn).admitWaiting) // which refuses all
	time.Sleep(time.Until(shutdown.StartedAt.Add(acceptAfterShutdown)))
	err := sock.CloseListener(ln, backlogTimeout)
	if e := <-failed; !errors.Is(e, net.ErrClosed) {
		err = errors.Join(err, e)
	}
	f.forEach((*conn).closeWhenIdle)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.wg.Wait()
	}()
	select {
	case <-done:
		return err
	case <-time.After(time.Until(shutdown.StartedAt.Add(shutdown.CloseAfter))):
	}
	f.forEach(func(c *conn) { c.Close() })
	<-done
	return err
}

// ShuttingDown reports whether the shutdown has started.
func (f *Front) ShuttingDown() bool { return f.shuttingDown.Load() }

func (f *Front) forEach(do func(*conn)) {
	f.mu.Lock()
	all := make([]*conn, 0, len(f.conns))
	for c := range f.conns {
		all = append(all, c)
	}
	f.mu.Unlock()
	for _, c := range all {
		do(c)
	}
}

func (f *Front) accept(ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if err != nil {
			if !sock.IsAcceptRetryable(err) {
				return err
			}
			f.cfg.Log.Debug("accept failed; retrying", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := &conn{Conn: nc, front: f, received: sock.NewReceiver(nc, nil), probe: sock.NewPeeker(nc), released: make(chan struct{}, 1), ended: make(chan struct{}),
			openIDs: map[string]bool{}, refusals: timing.NewTurn(f.cfg.Work)}
		c.ctx, c.cancel = context.WithCancel(context.Background())
		if !f.cfg.Quota.AcquireOrReclaim(f.EvictIdle) {
			c.write(refusal(jsonrpc.Null, "no room for a connection", refuseRetryAfter))
			c.Close()
			continue
		}
		f.mu.Lock()
		f.conns[c], c.hasDescriptor = struct{}{}, true
		c.idleElement = f.idleConns.PushBack(c)
		f.mu.Unlock()
		f.wg.Go(func() {
			defer close(c.ended)
			c.serve()
			c.cancel()       // the client has disconnected: open calls are cancelled
			c.admitWaiting() // and waiting ones dropped
			c.calls.Wait()
			c.Close()
			f.mu.Lock()
			delete(f.conns, c)
			f.release(c)
			f.mu.Unlock()
		})
	}
}

// EvictIdle closes the connection that has been idle for longest, so that another gets its descriptor, and reports whether there was
// one. It waits until the memory of the connection is free too: its goroutine may run much later than a close takes.
func (f *Front) EvictIdle() bool {
	victim := f.removeIdle()
	if victim == nil {
		return false
	}
	victim.Close()
	<-victim.ended
	return true
}

// removeIdle returns the connection that has been idle for longest, no longer among the idle ones, or nil if there is none. Its
// descriptor is returned to the quota.
func (f *Front) removeIdle() *conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := f.idleConns.Front()
	if first == nil {
		return nil
	}
	c := first.Value.(*conn)
	f.release(c)
	return c
}

// release removes a connection from the idle ones and returns its descriptor to the quota. f.mu is held.
func (f *Front) release(c *conn) {
	f.markBusy(c)
	if c.hasDescriptor {
		c.hasDescriptor = false
		f.cfg.Quota.Release()
	}
}

// markBusy removes a connection from the idle ones. f.mu is held.
func (f *Front) markBusy(c *conn) {
	if c.idleElement != nil {
		f.idleConns.Remove(c.idleElement)
		c.idleElement = nil
	}
}
