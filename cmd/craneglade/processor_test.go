package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"sync"
	"testing"
)

// What a request costs a real node, without its client and its backend: processor time of the process from its start to its
// end, by request, and what it holds while twenty clients ask. The figures are logged (docs/CAPACITY.md).
func TestProcessorOfARequest(t *testing.T) {
	const clients, each = 20, 200
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, "made for "+r.Header.Get("X-Request-Id"))
	}))
	defer backend.Close()
	discovery := newDiscovery(t, backend.Listener.Addr().String())
	p := startAs(t, exec.Command(built(t)), "", config(discovery.Addr))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
	defer client.CloseIdleConnections()
	var all sync.WaitGroup
	for c := range clients {
		all.Go(func() {
			for i := range each {
				id := fmt.Sprint("c", c, "-", i)
				req, err := http.NewRequest("GET", "http://"+p.addr+"/api", nil)
				if err != nil {
					t.Error(err)
					return
				}
				for name, value := range map[string]string{"X-Request-Id": id, "X-Class": "a", "X-Deadline": "50000m"} {
					req.Header.Set(name, value)
				}
				resp, err := client.Do(req)
				if err != nil {
					t.Error(err)
					return
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || resp.StatusCode != 200 || string(body) != "made for "+id {
					t.Errorf("%s: answered %d %q, %v", id, resp.StatusCode, body, err)
					return
				}
			}
		})
	}
	all.Wait()
	t.Logf("it holds %s and %d descriptors", p.resident(t), p.descriptors(t))
	client.CloseIdleConnections()
	p.leave(t)
	used := p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
	t.Logf("%v of processor for %d requests, %v each", used, clients*each, used/(clients*each))
}
