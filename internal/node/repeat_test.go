package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"craneglade/internal/engine"
	"craneglade/internal/jsonrpc"
	"craneglade/internal/wire"
	"craneglade/policy"
)

// arrival is longer than the policy allows an attempt to be under way to its backend.
const arrival = 200 * time.Millisecond

// cellSettings has the class save repeated within a cell only.
func cellSettings(t *testing.T) func(*Config) {
	t.Helper()
	set, err := wire.DecodeSettings([]byte(strings.Replace(settingsJSON, `"group":"zone"`, `"group":"cell"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	return func(c *Config) { c.Settings = set }
}

// inCell returns the entry of a backend in a cell, with the rest of its description.
func (b *rpcBackend) inCell(id string, cell int64) engine.ListedBackend {
	e := b.entry(id)
	e.Cell = cell
	return e
}

// newSilentRPCBackend returns a backend that has taken a request or call once taken is closed, and that ends its connection without an
// answer when reset is called.
func newSilentRPCBackend(t *testing.T) (b *rpcBackend, taken chan struct{}, reset func()) {
	t.Helper()
	release, reset := gate()
	taken, markTaken := gate()
	t.Cleanup(reset)
	b = newRPCBackend(t, func(net.Conn, jsonrpc.Message) bool {
		markTaken()
		<-release
		return false
	})
	b.http.respond = func(net.Conn, *http.Request, int) bool {
		markTaken()
		<-release
		return false
	}
	return b, taken, reset
}

// A keyed request that may have run must be repeated in its cell alone, whatever an update says of its backend meanwhile: the removal of
// a backend must not lose its zone and cell, which then count as cell 0.
func TestRepeatStaysInCellAfterListUpdate(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(old engine.ListedBackend) engine.ListedBackend{
		"another id at its address": func(old engine.ListedBackend) engine.ListedBackend {
			old.ID, old.StartedMS = "s-9", time.Now().UnixMilli()
			return old
		},
		"its id at another address": func(old engine.ListedBackend) engine.ListedBackend {
			old.Addr, old.RPC = "127.0.0.1:1", "127.0.0.1:1"
			return old
		},
		"another start": func(old engine.ListedBackend) engine.ListedBackend {
			old.StartedMS, old.Cell = time.Now().UnixMilli(), 0
			return old
		},
		"gone without zone and cell": func(old engine.ListedBackend) engine.ListedBackend {
			return engine.ListedBackend{ID: old.ID, State: "Gone"}
		},
		"draining without zone and cell": func(old engine.ListedBackend) engine.ListedBackend {
			return engine.ListedBackend{ID: old.ID, State: "Terminating", StartedMS: old.StartedMS}
		},
	} {
		for _, protocol := range []string{"http", "rpc"} {
			t.Run(name+"/"+protocol, func(t *testing.T) {
				t.Parallel()
				silent, taken, reset := newSilentRPCBackend(t)
				same, other := newRPCBackend(t, respondRPC), newRPCBackend(t, respondRPC)
				old := silent.inCell("s-1", 1)
				r, addr := startRPCNodeWith(t, cellSettings(t), nil, old)
				if protocol == "http" {
					addr = r.addr
				}
				c := dialRPC(t, addr)
				if protocol == "http" {
					c.send(save("k").text())
				} else {
					c.send(`{"jsonrpc":"2.0","id":1,"method":"saveConfig","params":{"key":"k"}}` + "\n")
				}
				<-taken
				time.Sleep(arrival) // an attempt may reach its backend later than its send
				changed := change(old)
				list := engine.List{Version: 2, Backends: []engine.ListedBackend{changed, same.inCell("s-2", 1), other.inCell("s-3", 0)}}
				r.engine.UpdateList(r.listSource, &list, policy.ListDelta, func(int64) bool { return true })
				reset()
				wait(t, "the end of the request", func() bool { return r.engine.OpenRequests() == 0 })
				if n := len(other.http.requests()) + other.calls("saveConfig"); n != 0 {
					t.Errorf("a backend of another cell got %d repeats", n)
				}
				if n := len(same.http.requests()) + same.calls("saveConfig"); n != 1 {
					t.Errorf("the other backend of the cell got %d repeats, want 1", n)
				}
			})
		}
	}
}

// Once a connection to a backend was refused, or nothing came over one any more, its process may have ended, and what answers at its address
// later is not listed yet. It may be of another cell: a keyed request that it may have run must not be repeated by the cell of the one before.
func TestNoRepeatAfterUnknownProcess(t *testing.T) {
	t.Parallel()
	mute := listenWithoutAccept(t, "tcp", "127.0.0.1:0")
	refuse := func(string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	for evidence, firstDial := range map[string]func(addr string) (net.Conn, error){
		"refused": refuse,
		"silent":  func(string) (net.Conn, error) { return net.Dial("tcp", mute) },
		"none":    func(addr string) (net.Conn, error) { return net.Dial("tcp", addr) },
	} {
		for _, protocol := range []string{"http", "rpc"} {
			t.Run(protocol+"/"+evidence, func(t *testing.T) {
				t.Parallel()
				silent, taken, reset := newSilentRPCBackend(t)
				same := newRPCBackend(t, respondRPC)
				var dials atomic.Int32
				configure := func(c *Config) {
					cellSettings(t)(c)
					c.dial = func(_ context.Context, addr string) (net.Conn, error) {
						if dials.Add(1) == 1 {
							return firstDial(addr)
						}
						return net.Dial("tcp", addr)
					}
				}
				r, addr := startRPCNodeWith(t, configure, nil, silent.inCell("s-1", 1))
				if protocol == "http" {
					addr = r.addr
				}
				sendUntilTaken(t, addr, protocol, taken)
				list := engine.List{Version: 2, Backends: []engine.ListedBackend{same.inCell("s-2", 1)}}
				r.engine.UpdateList(r.listSource, &list, policy.ListDelta, func(int64) bool { return true })
				reset()
				wait(t, "the end of the request", func() bool { return r.engine.OpenRequests() == 0 })
				want := 0
				if evidence == "none" {
					want = 1
				}
				if n := len(same.http.requests()) + same.calls("saveConfig"); n != want {
					t.Errorf("the other backend of the cell got %d repeats, want %d", n, want)
				}
			})
		}
	}
}

// sendUntilTaken sends keyed requests, each after the answer to the one before, until one is taken. The first one waits for 300 ms only.
func sendUntilTaken(t *testing.T, addr, protocol string, taken chan struct{}) {
	t.Helper()
	for id, deadline := 0, 300; ; id, deadline = id+1, 50000 {
		c := dialRPC(t, addr)
		if protocol == "http" {
			q := save(fmt.Sprint("k", id))
			q.deadline = fmt.Sprint(deadline, "m")
			c.send(q.text())
		} else {
			c.send(fmt.Sprintf(`{"jsonrpc":"2.0","id":1,"method":"saveConfig","params":{"key":"k%d","deadline_ms":%d}}`+"\n", id, deadline))
		}
		answered := make(chan struct{})
		go func() {
			c.in.Peek(1)
			close(answered)
		}()
		select {
		case <-taken:
			return
		case <-answered:
		}
	}
}
