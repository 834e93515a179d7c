package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"craneglade/internal/bodies"
	"craneglade/internal/message"
)

// longText is text of a length in which no part is like another.
func longText(length int) string {
	var b strings.Builder
	for i := 0; b.Len() < length; i++ {
		fmt.Fprintf(&b, "%d ", i)
	}
	return b.String()[:length]
}

const (
	okHead      = "HTTP/1.1 200 OK\r\n"
	closingHead = okHead + "Connection: close\r\n\r\n"
	chunkedHead = okHead + "Transfer-Encoding: chunked\r\n\r\n"
)

func sizedHead(length int) string { return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", okHead, length) }

// A long answer is served whole in any form, or not at all: one that breaks off or is too long is no answer, also where
// only its connection's end tells its own.
func TestLongAnswers(t *testing.T) {
	t.Parallel()
	long := longText(200 << 10)
	longest := longText(message.LongestBody)
	// As many informational heads as an answer may have: they must not use up what its body may take.
	hints := strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </"+strings.Repeat("a", 900)+">\r\n\r\n", 15)
	type end func(c *net.TCPConn)
	closes := func(c *net.TCPConn) { c.Close() }
	resets := func(c *net.TCPConn) { c.SetLinger(0); c.Close() }
	for _, c := range []struct {
		name, text string
		end        end
		want       string // "" for no answer
	}{
		{"sized", sizedHead(len(long)) + long, nil, long},
		{"chunks", chunkedHead + inChunks(long, 1000), nil, long},
		{"no length", closingHead + long, closes, long},
		{"the longest, sized", sizedHead(len(longest)) + longest, nil, longest},
		{"the longest in chunks", chunkedHead + inChunks(longest, 1<<16), nil, longest},
		{"the longest, no length", closingHead + longest, closes, longest},
		{"hints, no length", hints + closingHead + longest, closes, longest},
		{"hints, the usual size, no length", hints + closingHead + longest[:message.UsualBody], closes, longest[:message.UsualBody]},
		{"small chunks", chunkedHead + inChunks(long[:16<<10], 1), nil, long[:16<<10]},
		{"sized, ended", sizedHead(len(long)) + long[:len(long)-1], closes, ""},
		{"sized, reset", sizedHead(len(long)) + long[:len(long)-1], resets, ""},
		{"chunks, ended", chunkedHead + strings.TrimSuffix(inChunks(long, 1000), "0\r\n\r\n"), closes, ""},
		{"no length, reset", closingHead + long, resets, ""},
		{"too long, sized", sizedHead(len(longest)+1) + longest + "x", nil, ""},
		{"too long in chunks", chunkedHead + inChunks(longest+"x", 1<<16), nil, ""},
		{"too long, no length", closingHead + longest + "x", closes, ""},
		{"far too long, no length", closingHead + strings.Repeat(longest, 12), closes, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newBox(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				io.WriteString(conn, c.text)
				if c.end != nil {
					c.end(conn.(*net.TCPConn))
				}
				return c.end == nil
			})
			r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
			resp, body := r.dial(t).ask(quote("q"))
			if served := resp.StatusCode == 200; served != (c.want != "") || served && body != c.want {
				t.Errorf("answered %d, %d bytes, want %d", resp.StatusCode, len(body), len(c.want))
			}
			if n := len(b.requests()); n != 1 {
				t.Errorf("the backend got %d requests, want 1", n)
			}
			r.empty(t, &disk{})
		})
	}
}

// A long answer that breaks off is held until it is whole: what may go again does, and its client gets the second alone.
func TestLongAnswerThatBreaksGoesAgain(t *testing.T) {
	t.Parallel()
	long := longText(200 << 10)
	broke := make(chan struct{}, 1)
	broke <- struct{}{}
	answer := func(c net.Conn, _ *http.Request, _ int) bool {
		select {
		case <-broke:
			io.WriteString(c, sizedHead(len(long))+long[:len(long)/2])
			return false
		default:
			return reply(c, 200, "", long)
		}
	}
	r := newRig(t, newRegistry(t), settingsJSON, nil, newBox(t, answer).entry("s-1"), newBox(t, answer).entry("s-2"))
	if resp, body := r.dial(t).ask(view("v")); resp.StatusCode != 200 || body != long {
		t.Errorf("answered %d, %d bytes", resp.StatusCode, len(body))
	}
	if len(broke) != 0 {
		t.Error("no answer broke off")
	}
}

// Where no room is left for a long answer it is passed on while it comes if its length is told, and is none otherwise.
func TestLongAnswersWithoutRoom(t *testing.T) {
	t.Parallel()
	long := longText(200 << 10)
	for _, c := range []struct {
		name, text string
		closes     bool
		want       int
	}{
		{"sized", sizedHead(len(long)) + long, false, 200},
		{"chunks", chunkedHead + inChunks(long, 1000), false, 500},
		{"no length", closingHead + long, true, 500},
		{"the usual size, no length", closingHead + long[:message.UsualBody], true, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newBox(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				io.WriteString(conn, c.text)
				return !c.closes
			})
			r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
			r.bodies.SetLimits(bodies.Limits{Memory: 128 << 10, Heads: 64 << 10})
			resp, body := r.dial(t).ask(quote("q"))
			if resp.StatusCode != c.want || c.want == 200 && !strings.HasSuffix(c.text, body) {
				t.Errorf("answered %d, %d bytes, want %d", resp.StatusCode, len(body), c.want)
			}
			r.empty(t, &disk{})
		})
	}
}

// Long requests take no more than half of the room: the next is refused, harmlessly, and those of the usual size are served.
func TestLongRequestsLeaveRoom(t *testing.T) {
	t.Parallel()
	release, let := gate()
	defer let()
	b := newBox(t, func(c net.Conn, r *http.Request, nth int) bool {
		if strings.HasPrefix(r.Header.Get("X-Request-Id"), "held") {
			<-release
		}
		return echo(c, r, nth)
	})
	r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
	r.bodies.SetLimits(bodies.Limits{Memory: 1 << 20, Heads: 10 * message.HeadCost})
	held := make([]*client, 2)
	for i := range held {
		held[i] = r.dial(t)
		held[i].send(big(fmt.Sprint("held-", i), 200<<10).text())
	}
	wait(t, "two at the backend", func() bool { return len(b.requests()) == 2 })
	if resp, _ := r.dial(t).ask(big("third", 200<<10)); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("a third long one: %d", resp.StatusCode)
	}
	chunked := big("chunked", 200<<10)
	cl := r.dial(t)
	cl.send(chunked.chunkedHead(codingLine) + inChunks(chunked.body, 1<<16))
	if resp, _ := cl.answer(); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("a third in chunks: %d", resp.StatusCode)
	}
	usual := big("usual", message.UsualBody)
	if resp, body := r.dial(t).ask(usual); resp.StatusCode != 200 || body != usual.echoed() {
		t.Errorf("one of the usual size: %d", resp.StatusCode)
	}
	let()
	for i, c := range held {
		if resp, body := c.answer(); resp.StatusCode != 200 || body != big(fmt.Sprint("held-", i), 200<<10).echoed() {
			t.Errorf("held %d: %d", i, resp.StatusCode)
		}
	}
	r.empty(t, &disk{})
}
