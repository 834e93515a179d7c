package main

// These tests guard against answers after the client's time to requests that wait on their connection, and against sending them to a
// backend after that. The time of a request that came together with others once counted from the answer to the one before, and what did
// not fit into a buffer was dropped.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	waitingRequests = 16
	waitingPatience = time.Second
	backendTime     = 150 * time.Millisecond
	lateSlack       = 150 * time.Millisecond // for the clocks and stalls of both sides (the users' terms)
)

// timedBackend is an HTTP backend that takes backendTime for a request, and records when the latest one of each id has come.
type timedBackend struct {
	mu     sync.Mutex
	latest map[string]time.Time
}

func (b *timedBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	b.latest[r.Header.Get("X-Request-Id")] = time.Now()
	b.mu.Unlock()
	time.Sleep(backendTime)
	echoRequestID(w, r)
}

// A client sends more requests at once on a connection than can be answered in turn. Each is answered before it is lost, and none is sent
// to a backend after its client's time.
func TestWaitingRequestsAreNeitherLateNorSentLate(t *testing.T) {
	for name, c := range map[string]struct {
		limits limits
		body   int
	}{
		"small requests":   {scoredLimits, 0},
		"large requests":   {scoredLimits, 5000},
		"the least memory": {smallLimits, 5000},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend := &timedBackend{latest: map[string]time.Time{}}
			p, _ := startLimitedNode(t, c.limits, backend.ServeHTTP)
			stalls := startStallMeter(t)
			conn, err := net.Dial("tcp", p.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(testTimeout))
			var text strings.Builder
			for id := range waitingRequests {
				fmt.Fprintf(&text, "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: waiting-%d\r\nX-Class: save\r\nX-Deadline: %dm\r\nContent-Length: %d\r\n\r\n%s",
					id, waitingPatience.Milliseconds(), c.body, strings.Repeat("b", c.body))
			}
			if _, err := io.WriteString(conn, text.String()); err != nil {
				t.Fatal(err)
			}
			written := time.Now()
			in := bufio.NewReader(conn)
			served := 0
			for id := range waitingRequests {
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Fatalf("request %d: %v\n%s", id, err, p.log.String())
				}
				io.Copy(io.Discard, resp.Body)
				if resp.StatusCode == http.StatusOK {
					served++
				}
				if after := time.Since(written) - waitingPatience; after > lostAfter+stalls.total() {
					t.Errorf("request %d was answered with %d, %v after its client's time", id, resp.StatusCode, after)
				}
			}
			t.Logf("%d of %d requests were served, all answered after %v", served, waitingRequests, time.Since(written))
			if served == 0 {
				t.Error("no request was served")
			}
			backend.mu.Lock()
			defer backend.mu.Unlock()
			for id, at := range backend.latest {
				if after := at.Sub(written) - waitingPatience; after > lateSlack+stalls.total() {
					t.Errorf("%s was sent to a backend %v after its client's time", id, after)
				}
			}
		})
	}
}
