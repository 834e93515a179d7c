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

// Further signals while the program ends change nothing: what it has taken is answered, and it ends well.
func TestSignalsDuringShutdown(t *testing.T) {
	for _, more := range [][]syscall.Signal{
		{syscall.SIGTERM, syscall.SIGTERM},
		{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM},
		{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
	} {
		t.Run(fmt.Sprint(more), func(t *testing.T) {
			taken, release := make(chan struct{}), make(chan struct{})
			backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				close(taken)
				<-release
				io.WriteString(w, "made for "+r.Header.Get("X-Request-Id"))
			}))
			defer backend.Close()
			d := newDiscovery(t, backend.Listener.Addr().String())
			p := start(t, d.Addr, "")
			done := make(chan struct{})
			go func() {
				defer close(done)
				p.ask(t, "r1")
			}()
			<-taken
			for _, s := range more {
				p.cmd.Process.Signal(s)
			}
			for end := time.Now().Add(patience); !strings.Contains(p.log.String(), "leaving"); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("nothing logged of the end\n%s", p.log.String())
				}
			}
			close(release)
			<-done
			p.leave(t)
		})
	}
}

// SIGTERM before any list was told: requests are refused, and the program ends well.
func TestSIGTERMBeforeTheFirstList(t *testing.T) {
	cmd := exec.Command(built(t))
	ln, err := net.Listen("tcp", "127.0.0.1:0") // connections come up, and nothing is ever said
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	known := strings.Replace(config(""), `"servers":[]`, `"servers":[{"id":"s-1","addr":"127.0.0.1:1","zone":"n","kind":"k","state":"Ready"}]`, 1)
	p := startAs(t, cmd, ln.Addr().String(), known)
	p.leave(t)
}

// Idle clients that fill a node's descriptors while discovery is down take none from the call to discovery, from readiness, from a backend
// and from telling clients that there is no room; the list comes back all the same.
func TestIdleClientsFillTheDescriptorsWhileDiscoveryIsDown(t *testing.T) {
	const sockets = 96
	backend := func(name string, asked *atomic.Int64) *httptest.Server {
		return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked.Add(1)
			io.WriteString(w, name)
		}))
	}
	var one, two atomic.Int64
	first, second := backend("first", &one), backend("second", &two)
	defer first.Close()
	defer second.Close()
	d := newDiscovery(t, first.Listener.Addr().String())
	addr := d.Addr
	text := strings.Replace(config(""), `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), 1)
	p := startAs(t, exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", sockets, built(t))), addr, text)
	d.Close()

	stop := make(chan struct{})
	var crowd sync.WaitGroup
	var met atomic.Int64 // ends of idle connections, by which the node made room or refused
	for i := range 3 * sockets {
		crowd.Go(func() {
			for {
				c, err := net.Dial("tcp", p.addr)
				if err == nil {
					if i%2 == 0 { // it asks once and rests
						fmt.Fprintf(c, "GET /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: idle-%d-%d\r\nX-Class: a\r\nX-Deadline: 50000m\r\n\r\n", i, time.Now().UnixNano())
					}
					ended := make(chan struct{})
					go func() {
						defer close(ended)
						io.Copy(io.Discard, c)
						met.Add(1)
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
				case <-time.After(20 * time.Millisecond): // or the clients, and not what they hold, would be the load
				}
			}
		})
	}
	t.Cleanup(crowd.Wait)
	t.Cleanup(sync.OnceFunc(func() { close(stop) }))
	until := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(patience); !ok(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: did not come\n%s", what, p.log.String())
			}
		}
	}
	until("a full node", func() bool { return met.Load() > sockets })
	answers := func(path string) (status int) {
		req, _ := http.NewRequest("GET", "http://"+p.addr+path, nil)
		req.Close = true
		for name, value := range map[string]string{"X-Request-Id": fmt.Sprint("q", time.Now().UnixNano()), "X-Class": "a", "X-Deadline": "50000m"} {
			req.Header.Set(name, value)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0 // its connection made room for another before it spoke: the client comes again
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	served := one.Load()
	until("a request served by the backend that is known", func() bool { return answers("/api") == 200 && one.Load() > served })
	until("readiness", func() bool { return answers("/ready") == 200 })
	back := time.Now()
	again := newDiscoveryAt(t, addr, second.Listener.Addr().String(), 3)
	again.wait(t)
	t.Logf("asked %v after discovery's return", time.Since(back).Round(time.Millisecond))
	until("the list that discovery has now", func() bool { answers("/api"); return two.Load() > 0 })
	t.Logf("the new list in use %v after discovery's return", time.Since(back).Round(time.Millisecond))
	until("readiness", func() bool { return answers("/ready") == 200 })
}
