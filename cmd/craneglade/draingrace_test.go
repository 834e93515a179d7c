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

// A wall clock that is set back gives a drain no more grace: a request whose connection comes up once the grace is over is not
// written to the backend. The end of the grace was kept as Unix time, which then lay an hour ahead.
func TestWallClockThatIsSetBackLeavesNoGrace(t *testing.T) {
	const grace = 500 * time.Millisecond
	backend := newFullBackend(t)
	list := newNewsList(t, backend.addr)
	faults := newFaults(t)
	cmd := exec.Command(builtForDeployment(t))
	cmd.Env = append(os.Environ(), faults.Environment()...)
	text := strings.Replace(config(""), `"policy_limits"`, fmt.Sprintf(`"invariants":{"drain_grace_s":%g},"policy_limits"`, grace.Seconds()), 1)
	p := startAs(t, cmd, list.addr, text)

	status := make(chan int, 1)
	client := newShutdownClient(t, p.addr)
	go func() { status <- client.askFor("late", 4*time.Second) }()
	backend.waitForDial(t)
	list.drain(t)
	told := time.Now()
	setClock(t, faults, -time.Hour)
	time.Sleep(time.Until(told.Add(grace)))
	backend.takeConnections()

	if got := <-status; got == http.StatusOK || got == 0 {
		t.Errorf("the request is answered %d; want it refused or failed", got)
	}
	backend.waitForConnection(t) // without one the play would show nothing
	p.leave(t)                   // its connections end, and what came on them is counted
	if n := backend.receivedInAll(t); n > 0 {
		t.Errorf("%d bytes were written to a backend whose grace was over", n)
	}
}

// fullBackend takes no connection until it is told to: its listener's backlog is full, and connections to it come up late.
type fullBackend struct {
	addr     string
	listener net.Listener
	fillers  []net.Conn
	taken    atomic.Int64 // connections that it took, beside its own fillers
	ended    atomic.Int64 // those of them that have ended
	received atomic.Int64 // bytes on those
	all      sync.WaitGroup
}

func newFullBackend(t *testing.T) *fullBackend {
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
	b := &fullBackend{}
	if b.listener, err = net.FileListener(file); err != nil {
		t.Fatal(err)
	}
	b.addr = b.listener.Addr().String()
	t.Cleanup(func() {
		b.listener.Close()
		for _, c := range b.fillers {
			c.Close()
		}
		b.all.Wait()
	})
	for {
		c, err := net.DialTimeout("tcp", b.addr, 200*time.Millisecond)
		if err != nil {
			return b // it is full
		}
		b.fillers = append(b.fillers, c)
	}
}

// waitForDial waits until somebody is trying to connect.
func (b *fullBackend) waitForDial(t *testing.T) {
	t.Helper()
	const synSent = "02" // the state in /proc/net/tcp, proc(5)
	_, port, err := net.SplitHostPort(b.addr)
	if err != nil {
		t.Fatal(err)
	}
	var number int
	fmt.Sscan(port, &number)
	remote := fmt.Sprintf("0100007F:%04X", number)
	for end := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
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
			t.Fatal("nobody connects")
		}
	}
}

// takeConnections takes what there is and what comes, and counts what is written on all but the fillers.
func (b *fullBackend) takeConnections() {
	own := map[string]bool{}
	for _, c := range b.fillers {
		own[c.LocalAddr().String()] = true
	}
	b.all.Go(func() {
		for {
			c, err := b.listener.Accept()
			if err != nil {
				return
			}
			if own[c.RemoteAddr().String()] {
				c.Close()
				continue
			}
			b.taken.Add(1)
			b.all.Go(func() {
				defer c.Close()
				c.SetReadDeadline(time.Now().Add(patience))
				n, _ := io.Copy(io.Discard, c)
				b.received.Add(n)
				b.ended.Add(1)
			})
		}
	})
}

// waitForConnection waits until it has taken one.
func (b *fullBackend) waitForConnection(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(patience); b.taken.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no connection of the node came up")
		}
	}
}

// receivedInAll waits until all connections have ended, and returns the bytes that came on them.
func (b *fullBackend) receivedInAll(t *testing.T) int64 {
	t.Helper()
	for end := time.Now().Add(patience); b.ended.Load() < b.taken.Load(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a connection of the node does not end")
		}
	}
	return b.received.Load()
}

// newsList is a discovery with one backend, which it tells to drain when the test says so.
type newsList struct {
	addr string

	mu      sync.Mutex
	drained bool
	changed chan struct{} // closed by the drain
	heard   chan struct{} // closed when the node asks for what comes after the drain
}

func newNewsList(t *testing.T, backend string) *newsList {
	t.Helper()
	const ready, draining = 2, 3 // versions
	l := &newsList{changed: make(chan struct{}), heard: make(chan struct{})}
	heard := sync.OnceFunc(func() { close(l.heard) })
	over := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Query().Get("since") {
		case fmt.Sprint(ready):
			select {
			case <-l.changed:
			case <-r.Context().Done():
				return
			case <-over:
				return
			}
		case fmt.Sprint(draining):
			heard()
			select {
			case <-r.Context().Done():
			case <-over:
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
	t.Cleanup(func() { close(over) })
	l.addr = s.Listener.Addr().String()
	return l
}

// drain tells the node of the drain, and returns once it has heard.
func (l *newsList) drain(t *testing.T) {
	t.Helper()
	l.mu.Lock()
	l.drained = true
	l.mu.Unlock()
	close(l.changed)
	select {
	case <-l.heard:
	case <-time.After(patience):
		t.Fatal("the node does not ask again")
	}
}
