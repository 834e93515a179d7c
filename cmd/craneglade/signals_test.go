package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Further signals during shutdown must not disturb it: accepted requests get their response, and the exit status is 0.
func TestSignalsDuringShutdown(t *testing.T) {
	for _, signals := range [][]syscall.Signal{
		{syscall.SIGTERM, syscall.SIGTERM},
		{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM},
		{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
	} {
		t.Run(fmt.Sprint(signals), func(t *testing.T) {
			received, release := make(chan struct{}), make(chan struct{})
			backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				close(received)
				<-release
				io.WriteString(w, "made for "+r.Header.Get("X-Request-Id"))
			}))
			defer backend.Close()
			d := newDiscovery(t, backend.Listener.Addr().String())
			p := startProgram(t, d.Addr, "")
			done := make(chan struct{})
			go func() {
				defer close(done)
				p.checkServed(t, "r1")
			}()
			<-received
			for _, s := range signals {
				p.cmd.Process.Signal(s)
			}
			for end := time.Now().Add(testTimeout); !strings.Contains(p.log.String(), "leaving"); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("no log line about the shutdown\n%s", p.log.String())
				}
			}
			close(release)
			<-done
			p.terminate(t)
		})
	}
}

// SIGTERM before discovery has returned a list: the program must exit with status 0.
func TestSIGTERMBeforeFirstList(t *testing.T) {
	cmd := exec.Command(buildProgram(t))
	ln, err := net.Listen("tcp", "127.0.0.1:0") // connections are established and never answered
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	known := strings.Replace(config(""), `"servers":[]`, `"servers":[{"id":"s-1","addr":"127.0.0.1:1","zone":"n","kind":"k","state":"Ready"}]`, 1)
	p := startCommand(t, cmd, ln.Addr().String(), known)
	p.terminate(t)
}

// Idle clients that use up a node's descriptors while discovery is down must not block the poll of discovery, readiness checks,
// connections to backends or refusals to clients: once discovery returns, its list is used.
func TestIdleClientsExhaustDescriptorsDuringDiscoveryOutage(t *testing.T) {
	const sockets = 96
	backend := func(name string, hits *atomic.Int64) *httptest.Server {
		return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			hits.Add(1)
			io.WriteString(w, name)
		}))
	}
	var firstHits, secondHits atomic.Int64
	first, second := backend("first", &firstHits), backend("second", &secondHits)
	defer first.Close()
	defer second.Close()
	d := newDiscovery(t, first.Listener.Addr().String())
	addr := d.Addr
	text := strings.Replace(config(""), `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), 1)
	p := startCommand(t, exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", sockets, buildProgram(t))), addr, text)
	d.Close()

	stop := make(chan struct{})
	var idleClients sync.WaitGroup
	var closedByNode atomic.Int64 // idle connections closed by the node, to free descriptors or to refuse
	for i := range 3 * sockets {
		idleClients.Go(func() {
			for {
				c, err := net.Dial("tcp", p.addr)
				if err == nil {
					if i%2 == 0 { // half of the clients send one request first
						fmt.Fprintf(c, "GET /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: idle-%d-%d\r\nX-Class: a\r\nX-Deadline: 50000m\r\n\r\n", i, time.Now().UnixNano())
					}
					ended := make(chan struct{})
					go func() {
						defer close(ended)
						io.Copy(io.Discard, c)
						closedByNode.Add(1)
					}()
					select {
					case <-ended:
					case <-stop:
					}
					c.Close()
					<-ended
				}
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond): // so that open connections, not the clients' processor use, are the load
				}
			}
		})
	}
	t.Cleanup(idleClients.Wait)
	t.Cleanup(sync.OnceFunc(func() { close(stop) }))
	waitUntil := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(testTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("timed out waiting for: %s\n%s", what, p.log.String())
			}
		}
	}
	waitUntil("full descriptor table", func() bool { return closedByNode.Load() > sockets })
	requestStatus := func(path string) (status int) {
		req, _ := http.NewRequest("GET", "http://"+p.addr+path, nil)
		req.Close = true
		for name, value := range map[string]string{"X-Request-Id": fmt.Sprint("q", time.Now().UnixNano()), "X-Class": "a", "X-Deadline": "50000m"} {
			req.Header.Set(name, value)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0 // the node closed the connection to free a descriptor: the caller retries
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	served := firstHits.Load()
	waitUntil("request served by the known backend", func() bool { return requestStatus("/api") == 200 && firstHits.Load() > served })
	waitUntil("readiness", func() bool { return requestStatus("/ready") == 200 })
	restartedAt := time.Now()
	restarted := newDiscoveryAt(t, addr, second.Listener.Addr().String(), 3)
	restarted.waitForConnection(t)
	t.Logf("discovery polled %v after its return", time.Since(restartedAt).Round(time.Millisecond))
	waitUntil("use of the new list", func() bool { requestStatus("/api"); return secondHits.Load() > 0 })
	t.Logf("new list in use %v after discovery's return", time.Since(restartedAt).Round(time.Millisecond))
	waitUntil("readiness", func() bool { return requestStatus("/ready") == 200 })
}
