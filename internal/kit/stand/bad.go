package stand

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"craneglade/internal/kit/scenario"
	"craneglade/internal/kit/trace"
)

// StartBadClient runs one client that sends a malformed, incomplete or abusive request of a kind to a node (from 1).
// The node has to answer with an error or close the connection within 3 s; one kind is a well-formed health check.
func (c *Clients) StartBadClient(ctx context.Context, node int, kind string) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.runBadClient(ctx, node, kind)
	}()
}

const badRequestHead = "POST /api?key=bad&w=1000 HTTP/1.1\r\nHost: backend.local\r\nX-Tenant: nobody\r\n"

// badRequest returns what a bad client sends first, and whether it then floods the connection with header lines.
func (c *Clients) badRequest(kind, stolenID string) (string, bool) {
	s := c.plan.Scenario
	class := s.Classes[0]
	head := badRequestHead + "X-Class: " + class.Name + "\r\n"
	if class.Effect == "keyed" {
		head += "Idempotency-Key: bad\r\n"
	}
	id, deadline := "X-Request-Id: bad-"+stolenID+"\r\n", "X-Deadline: 800m\r\n"
	switch kind {
	case "garbage":
		return "\x16\x03\x01 not a request at all\r\n\r\n", false
	case "endless-head":
		return head, true
	case "negative-length":
		return head + id + deadline + "Content-Length: -1\r\n\r\n", false
	case "huge-length":
		return head + id + deadline + "Content-Length: 60000000\r\n\r\n", true
	case "both-lengths":
		hidden := head + "X-Request-Id: hidden-" + stolenID + "\r\n" + deadline + "Content-Length: 0\r\n\r\n"
		return head + id + deadline + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, false
	case "no-id":
		return head + deadline + "Content-Length: 0\r\n\r\n", false
	case "no-class":
		return badRequestHead + "X-Class: no-such-class\r\n" + id + deadline + "Content-Length: 0\r\n\r\n", false
	case "bad-deadline":
		return head + id + "X-Deadline: soon\r\nContent-Length: 0\r\n\r\n", false
	case "half":
		return head + id + deadline + "Content-Length: 50\r\n\r\nhalf of it", false
	case scenario.HealthCheck:
		return "GET /ready HTTP/1.1\r\nHost: backend.local\r\n\r\n", false
	case "open-id":
		return head + "X-Request-Id: " + stolenID + "\r\n" + deadline + "Content-Length: 0\r\n\r\n", false
	}
	return "", false // the client sends nothing
}

func (c *Clients) runBadClient(ctx context.Context, node int, kind string) {
	c.mu.Lock()
	target := c.nodes[node-1]
	addr, stolenID := target.addr, "none"
	if n := len(target.openIDs); n > 0 {
		stolenID = target.openIDs[n-1]
	} else if kind == "open-id" {
		kind = "no-id" // no request is open, so there is no id to reuse
	}
	c.mu.Unlock()
	dialing, cancel := context.WithTimeout(ctx, connectTimeout)
	conn, err := c.dial(dialing, addr)
	cancel()
	if err != nil {
		return
	}
	defer conn.Close()
	start := time.Now()
	text, keepSending := c.badRequest(kind, stolenID)
	how := "nothing"
	if text != "" {
		conn.SetDeadline(start.Add(badClientTimeout))
		if _, err := io.WriteString(conn, text); err != nil {
			how = "closed"
		}
		if kind == "half" {
			if t, ok := conn.(interface{ CloseWrite() error }); ok {
				t.CloseWrite()
			}
		}
	}
	if keepSending {
		go floodHeaders(conn)
	}
	// A client that sends nothing has to be disconnected by the node; it waits just as long as the node may take.
	conn.SetReadDeadline(start.Add(badClientTimeout))
	in := bufio.NewReader(conn)
	status := 0
	if resp, err := http.ReadResponse(in, nil); err == nil {
		status = resp.StatusCode
	} else if !errors.Is(err, os.ErrDeadlineExceeded) && how == "nothing" {
		var ne net.Error
		if !errors.As(err, &ne) || !ne.Timeout() {
			how = "closed"
		}
	}
	switch {
	case kind == scenario.HealthCheck:
		how = strconv.Itoa(status)
		if status == 200 || status == 503 {
			how = "answered"
		}
		io.Copy(io.Discard, in) // keeps the connection until the deadline
	case status == 200:
		how = "served"
	case status >= 400:
		how = "error"
	}
	id := ""
	if kind == "open-id" {
		id = stolenID
	}
	c.out.Add(&trace.Record{Kind: trace.InvalidClient, T: c.clock.us(), Node: target.Name, How: how, Why: kind, ID: id, Status: status,
		Took: time.Since(start).Microseconds()})
}

// floodHeaders sends header lines until the connection ends, 60 MB at most.
func floodHeaders(conn net.Conn) {
	noise := strings.Repeat("X-Noise: noise\r\n", 512)
	for range 8000 { // 60 MB
		if _, err := io.WriteString(conn, noise); err != nil {
			return
		}
	}
}
