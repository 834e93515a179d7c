package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// A wall clock set back by an hour must not extend the drain grace: a request whose connection is established after the grace is
// not written to the backend. The end of the grace was once kept as Unix time, which the clock step moved an hour ahead.
func TestWallClockSetBackDoesNotExtendGrace(t *testing.T) {
	const grace = 500 * time.Millisecond
	backend := newFullBacklogBackend(t)
	list := newDrainDiscovery(t, backend.addr)
	faults := newFaults(t)
	cmd := exec.Command(buildForDeployment(t))
	cmd.Env = append(os.Environ(), faults.Environment()...)
	text := strings.Replace(config(""), `"policy_limits"`, fmt.Sprintf(`"invariants":{"drain_grace_s":%g},"policy_limits"`, grace.Seconds()), 1)
	p := startCommand(t, cmd, list.addr, text)

	status := make(chan int, 1)
	client := newShutdownClient(t, p.addr)
	go func() { status <- client.requestWithDeadline("late", 4*time.Second) }()
	backend.waitForDial(t)
	list.drain(t)
	drainedAt := time.Now()
	setClock(t, faults, -time.Hour)
	time.Sleep(time.Until(drainedAt.Add(grace)))
	backend.acceptConnections()

	if got := <-status; got == http.StatusOK || got == 0 {
		t.Errorf("status %d, want the request refused or failed", got)
	}
	backend.waitForConnection(t) // without one the test proves nothing
	p.terminate(t)               // closes its connections, so that their bytes are counted
	if n := backend.totalReceived(t); n > 0 {
		t.Errorf("%d bytes written to a backend after its grace", n)
	}
}

// fullBacklogBackend is a backend with a full accept backlog: connections to it are not established until acceptConnections.
type fullBacklogBackend struct {
	addr     string
	listener net.Listener
	fillers  []net.Conn
	accepted atomic.Int64 // connections, without its own fillers
	closed   atomic.Int64 // of the accepted ones
	received atomic.Int64 // bytes on the accepted ones
	wg       sync.WaitGroup
}

func newFullBacklogBackend(t *testing.T) *fullBacklogBackend {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	b := &fullBacklogBackend{}
	if b.listener, err = net.FileListener(file); err != nil {
		t.Fatal(err)
	}
	b.addr = b.listener.Addr().String()
	t.Cleanup(func() {
		b.listener.Close()
		for _, c := range b.fillers {
			c.Close()
		}
		b.wg.Wait()
	})
	for {
		c, err := net.DialTimeout("tcp", b.addr, 200*time.Millisecond)
		if err != nil {
			return b // the backlog is full
		}
		b.fillers = append(b.fillers, c)
	}
}

// waitForDial waits until a connection attempt is pending.
func (b *fullBacklogBackend) waitForDial(t *testing.T) {
	t.Helper()
	const synSent = "02" // state in /proc/net/tcp, proc(5)
	_, port, err := net.SplitHostPort(b.addr)
	if err != nil {
		t.Fatal(err)
	}
	var portNumber int
	fmt.Sscan(port, &portNumber)
	remote := fmt.Sprintf("0100007F:%04X", portNumber)
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		table, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(table)) {
			if f := strings.Fields(line); len(f) > 3 && f[2] == remote && f[3] == synSent {
				return
			}
		}
		if time.Now().After(end) {
			t.Fatal("no pending connection to the backend")
		}
	}
}

// acceptConnections accepts pending and new connections and counts the bytes received on all but the fillers.
func (b *fullBacklogBackend) acceptConnections() {
	fillerAddrs := map[string]bool{}
	for _, c := range b.fillers {
		fillerAddrs[c.LocalAddr().String()] = true
	}
	b.wg.Go(func() {
		for {
			c, err := b.listener.Accept()
			if err != nil {
				return
			}
			if fillerAddrs[c.RemoteAddr().String()] {
				c.Close()
				continue
			}
			b.accepted.Add(1)
			b.wg.Go(func() {
				defer c.Close()
				c.SetReadDeadline(time.Now().Add(testTimeout))
				n, _ := io.Copy(io.Discard, c)
				b.received.Add(n)
				b.closed.Add(1)
			})
		}
	})
}

// waitForConnection waits until a connection other than the fillers is accepted.
func (b *fullBacklogBackend) waitForConnection(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(testTimeout); b.accepted.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no connection from the node")
		}
	}
}

// totalReceived waits until all accepted connections are closed and returns the bytes received on them.
func (b *fullBacklogBackend) totalReceived(t *testing.T) int64 {
	t.Helper()
	for end := time.Now().Add(testTimeout); b.closed.Load() < b.accepted.Load(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a connection from the node was not closed")
		}
	}
	return b.received.Load()
}

// drainDiscovery is a discovery server with one backend, which starts to drain when the test calls drain.
type drainDiscovery struct {
	addr string

	mu      sync.Mutex
	drained bool
	changed chan struct{} // closed by drain
	polled  chan struct{} // closed when the node polls for updates after the drain
}

func newDrainDiscovery(t *testing.T, backend string) *drainDiscovery {
	t.Helper()
	const ready, draining = 2, 3 // versions of the list
	l := &drainDiscovery{changed: make(chan struct{}), polled: make(chan struct{})}
	polled := sync.OnceFunc(func() { close(l.polled) })
	closing := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Query().Get("since") {
		case fmt.Sprint(ready):
			select {
			case <-l.changed:
			case <-r.Context().Done():
				return
			case <-closing:
				return
			}
		case fmt.Sprint(draining):
			polled()
			select {
			case <-r.Context().Done():
			case <-closing:
			}
			return
		}
		version, state := ready, "Ready"
		l.mu.Lock()
		if l.drained {
			version, state = draining, "Terminating"
		}
		l.mu.Unlock()
		json.NewEncoder(w).Encode(map[string]any{"version": version, "full": version == ready, "servers": []map[string]any{
			{"id": "s-1", "addr": backend, "zone": "n", "kind": "k", "state": state}}})
	}))
	t.Cleanup(s.Close)
	t.Cleanup(func() { close(closing) })
	l.addr = s.Listener.Addr().String()
	return l
}

// drain announces the drain and returns once the node has received it.
func (l *drainDiscovery) drain(t *testing.T) {
	t.Helper()
	l.mu.Lock()
	l.drained = true
	l.mu.Unlock()
	close(l.changed)
	select {
	case <-l.polled:
	case <-time.After(testTimeout):
		t.Fatal("the node did not poll again")
	}
}
