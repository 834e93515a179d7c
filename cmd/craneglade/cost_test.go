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

// Logs the processor time of a node per request, from its start to its exit and without client and backend, and its memory and
// descriptors with twenty clients, for docs/CAPACITY.md.
func TestRequestProcessorTime(t *testing.T) {
	const clients, requestsPerClient = 20, 200
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, "made for "+r.Header.Get("X-Request-Id"))
	}))
	defer backend.Close()
	discovery := newDiscovery(t, backend.Listener.Addr().String())
	p := startCommand(t, exec.Command(buildProgram(t)), "", config(discovery.Addr))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	for c := range clients {
		wg.Go(func() {
			for i := range requestsPerClient {
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
					t.Errorf("%s: status %d, body %q, %v", id, resp.StatusCode, body, err)
					return
				}
			}
		})
	}
	wg.Wait()
	t.Logf("resident memory %s, %d open descriptors", p.residentMemory(t), p.openDescriptors(t))
	client.CloseIdleConnections()
	p.terminate(t)
	used := p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
	t.Logf("%v of processor time for %d requests, %v each", used, clients*requestsPerClient, used/(clients*requestsPerClient))
}
