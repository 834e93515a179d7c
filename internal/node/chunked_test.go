package node

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"craneglade/internal/bodies"
	"craneglade/internal/message"
)

// inChunks returns a body in chunked coding, in chunks of up to size bytes.
func inChunks(body string, size int) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String() + "0\r\n\r\n"
}

// chunkedHead returns the head of the request without Content-Length and with the header lines in its place, each with its line end.
func (c testRequest) chunkedHead(lines string) string {
	c.body = ""
	return strings.Replace(c.text(), "Content-Length: 0\r\n", lines, 1)
}

const codingLine = "Transfer-Encoding: chunked\r\n"

// A chunked body reaches the backend complete, with Content-Length and without a transfer coding. The bytes after the last chunk are
// the next request.
func TestChunkedBodiesAreServed(t *testing.T) {
	t.Parallel()
	b := newStubBackend(t, echo)
	r := startNode(t, newStubDiscovery(t), settingsJSON, nil, b.entry("s-1"))
	body := quote("x").body
	largest := strings.Repeat("a door ", message.MaxBodyBytes)[:message.MaxBodyBytes]
	endless := strings.Repeat("e", 4000)
	for i, c := range []struct {
		name, lines, body, wire string
	}{
		{"one chunk", codingLine, body, inChunks(body, 100)},
		{"a byte in each", codingLine, body, inChunks(body, 1)},
		{"header in other case", "transfer-encoding: CHUNKED\r\n", body, inChunks(body, 4)},
		{"folded", "Transfer-Encoding:\r\n Chunked\r\n", body, inChunks(body, 4)},
		{"no body", codingLine, "", "0\r\n\r\n"},
		{"leading zeros in sizes", codingLine, body, "0006\r\n" + body + "\r\n00000\r\n\r\n"},
		{"size in upper case", codingLine, strings.Repeat("x", 0xab), "AB\r\n" + strings.Repeat("x", 0xab) + "\r\n0\r\n\r\n"},
		{"extensions", codingLine, body, "2;a;b=c;d=\"e;f\"\r\na \r\n4; g = h\r\ndoor\r\n0;last\r\n\r\n"},
		{"a long extension", codingLine, body, "6;" + endless + "\r\n" + body + "\r\n0\r\n\r\n"},
		{"trailers", "Trailer: X-Sum\r\n" + codingLine, body, "6\r\n" + body + "\r\n0\r\nX-Sum: 1\r\nX-Request-Id: other\r\n\r\n"},
		{"max size in one chunk", codingLine, largest, inChunks(largest, len(largest))},
		{"max size in several chunks", codingLine, largest, inChunks(largest, 999)},
		{"max size, a byte in each", codingLine, largest, inChunks(largest, 1)},
		{"an expectation", "Expect: 100-continue\r\n" + codingLine, body, inChunks(body, 4)},
	} {
		q := quote(fmt.Sprint("q", i))
		q.body = c.body
		next := view(fmt.Sprint("behind-", i))
		cl := r.dial(t)
		go io.WriteString(cl, q.chunkedHead(c.lines)+c.wire+next.text())
		resp, body := cl.readResponse()
		if strings.Contains(c.lines, "Expect") {
			if resp.StatusCode != http.StatusContinue {
				t.Errorf("%s: %d, want 100", c.name, resp.StatusCode)
			}
			resp, body = cl.readResponse()
		}
		if resp.StatusCode != 200 || body != q.echoed() {
			t.Errorf("%s: %d %.60q", c.name, resp.StatusCode, body)
		}
		if resp, body := cl.readResponse(); resp.StatusCode != 200 || body != next.echoed() {
			t.Errorf("%s: the request after it: %d %.60q", c.name, resp.StatusCode, body)
		}
		got := b.requests()
		if len(got) != 2*(i+1) {
			t.Fatalf("%s: the backend got %d requests", c.name, len(got))
		}
		in := got[2*i]
		if in.ContentLength != int64(len(c.body)) || len(in.TransferEncoding) > 0 || in.Header.Get("X-Sum")+in.Header.Get("Trailer") != "" {
			t.Errorf("%s: the backend got length %d, coding %q, headers %v", c.name, in.ContentLength, in.TransferEncoding, in.Header)
		}
	}
	r.waitReleased(t, &disk{})
}

// Pipelined requests in the connection's buffer are framed like the first one, also if one of them hides the next behind a
// conflicting length.
func TestPipelinedChunkedRequests(t *testing.T) {
	t.Parallel()
	b := newStubBackend(t, echo)
	r := startNode(t, newStubDiscovery(t), settingsJSON, nil, b.entry("s-1"))
	first, second, third := quote("first"), save("second"), quote("third")
	end := inChunks("", 1)
	cl := r.dial(t)
	cl.send(first.chunkedHead(codingLine) + inChunks(first.body, 2) + second.chunkedHead(codingLine) + inChunks(second.body, 3) +
		third.chunkedHead(fmt.Sprintf("Content-Length: %d\r\n", len(end)+len(view("hidden").text()))+codingLine) + end + view("hidden").text())
	for _, q := range []testRequest{first, second} {
		if resp, body := cl.readResponse(); resp.StatusCode != 200 || body != q.echoed() {
			t.Errorf("%s: %d %q", q.id, resp.StatusCode, body)
		}
	}
	if resp, _ := cl.readResponse(); resp.StatusCode != 400 || !resp.Close {
		t.Errorf("a length and chunks: %d, close %v", resp.StatusCode, resp.Close)
	}
	if n := len(b.requests()); n != 2 {
		t.Errorf("the backend got %d requests", n)
	}
}

// A malformed chunked body is rejected and its connection closed. Neither it nor a request hidden in it reaches a backend.
func TestMalformedChunksReachNoBackend(t *testing.T) {
	t.Parallel()
	b := newStubBackend(t, respondOK)
	r := startNode(t, newStubDiscovery(t), settingsJSON, nil, b.entry("s-1"))
	hidden := view("hidden").text()
	q := quote("x")
	chunk := "6\r\na door\r\n"
	end := "0\r\n\r\n"
	padding := "X-Padding: " + strings.Repeat("p", 6000) + "\r\n"
	for _, c := range []struct {
		name, lines, wire string
		want              int
	}{
		{"Content-Length before", "Content-Length: 6\r\n" + codingLine, chunk + end, 400},
		{"Content-Length after", codingLine + "Content-Length: 16\r\n", chunk + end, 400},
		{"a length that hides a request", fmt.Sprintf("Content-Length: %d\r\n", len(end)+len(hidden)) + codingLine, end + hidden, 400},
		{"a length, a head beyond the buffer", "Content-Length: 6\r\n" + padding + codingLine, chunk + end, 400},
		{"Content-Length in other case", "content-LENGTH:6\r\n" + codingLine, chunk + end, 400},
		{"twice", codingLine + codingLine, chunk + end, 400},
		{"twice in a line", "Transfer-Encoding: chunked, chunked\r\n", chunk + end, 400},
		{"another coding before", "Transfer-Encoding: gzip, chunked\r\n", chunk + end, 501},
		{"another coding after", "Transfer-Encoding: chunked, gzip\r\n", chunk + end, 400},
		{"an unknown coding", "Transfer-Encoding: xchunked\r\n", chunk + end, 501},
		{"a space before the colon", "Transfer-Encoding : chunked\r\n", chunk + end, 411},
		{"a space before the colon, and a length", "Content-Length: 16\r\nTransfer-Encoding : chunked\r\n", chunk + end, 400},
		{"a trailer that is a length", "Trailer: Content-Length\r\n" + codingLine, chunk + end, 400},
		{"a size that overflows", codingLine, "10000000000000006\r\na door\r\n" + end, 400},
		{"the largest size, truncated", codingLine, "ffffffffffffffff\r\na door\r\n" + end, 408},
		{"the largest size, over the limit", codingLine, "ffffffffffffffff\r\n" + strings.Repeat("x", message.MaxBodyBytes+1), 413},
		// RFC 9112, 7.1.1, allows a space here; the reader of net/http does not.
		{"a space before an extension", codingLine, "6 ;a=b\r\na door\r\n" + end, 400},
		{"a negative size", codingLine, "-6\r\na door\r\n" + end, 400},
		{"a size with a plus", codingLine, "+6\r\na door\r\n" + end, 400},
		{"a size with 0x", codingLine, "0x6\r\na door\r\n" + end, 400},
		{"no size", codingLine, "\r\na door\r\n" + end, 400},
		{"a space before the size", codingLine, " 6\r\na door\r\n" + end, 400},
		{"a size that does not end", codingLine, strings.Repeat("0", 8000), 400},
		{"an extension that does not end", codingLine, "6;" + strings.Repeat("e", 8000), 400},
		{"long extensions", codingLine, strings.Repeat("1;"+strings.Repeat("e", 3000)+"\r\nx\r\n", 20) + end, 400},
		{"a line feed alone", codingLine, "6\na door\r\n" + end, 400},
		{"a chunk longer than its size", codingLine, "5\r\na door\r\n" + end, 400},
		{"a chunk shorter than its size", codingLine, "7\r\na door\r\n" + end, 400},
		{"a trailer that does not end", codingLine, chunk + "0\r\nX-A: " + strings.Repeat("a", 8000) + "\r\n\r\n", 400},
		{"a malformed trailer", codingLine, chunk + "0\r\nnone\r\n\r\n", 400},
		{"a body over the limit", codingLine, inChunks(strings.Repeat("x", message.MaxBodyBytes+1), 1000), 413},
		{"a body over the limit in one chunk", codingLine, inChunks(strings.Repeat("x", message.MaxBodyBytes+1), 1<<20), 413},
	} {
		cl := r.dial(t)
		go io.WriteString(cl, q.chunkedHead(c.lines)+c.wire+hidden) // the node may respond and close before it has read all
		if resp, _ := cl.readResponse(); resp.StatusCode != c.want || !resp.Close {
			t.Errorf("%s: answered %d, close %v, want %d and a close", c.name, resp.StatusCode, resp.Close, c.want)
		}
		if n, err := cl.Read(make([]byte, 1)); n != 0 || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: %d more bytes, %v, want the connection closed", c.name, n, err)
		}
	}
	for _, text := range []string{view("x").text(), "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", "POST /ready HTTP/1.1\r\nHost: x\r\n\r\n"} {
		cl := r.dial(t)
		cl.send(strings.Replace(text, "\r\n\r\n", "\r\n"+codingLine+"\r\n"+end, 1) + hidden)
		if resp, _ := cl.readResponse(); resp.StatusCode != 400 || !resp.Close {
			t.Errorf("%.20q in chunks: answered %d, close %v", text, resp.StatusCode, resp.Close)
		}
	}
	if got := b.requests(); len(got) != 0 {
		t.Errorf("the backend got %d requests", len(got))
	}
	r.waitReleased(t, &disk{})
}

// If a client disconnects between two chunks, nothing reaches a backend. If it stops sending, it gets 408 after the timeout.
func TestUnfinishedChunkedBodies(t *testing.T) {
	t.Parallel()
	b := newStubBackend(t, respondOK)
	r := startNode(t, newStubDiscovery(t), settingsJSON, nil, b.entry("s-1"))
	q := quote("x")
	parts := []string{"", "6\r\na door\r\n", "6\r\na do", "6\r\na door\r\n0\r\n", "6\r\na door\r\n0\r\nX-A: b\r\n"}
	var slow []*client
	for _, sent := range parts {
		disconnected := r.dial(t)
		disconnected.send(q.chunkedHead(codingLine) + sent)
		disconnected.Close()
		half := r.dial(t)
		half.send(q.chunkedHead(codingLine) + sent)
		half.Conn.(*net.TCPConn).CloseWrite()
		if resp, _ := half.readResponse(); resp.StatusCode != 400 || !resp.Close {
			t.Errorf("%q and a close: answered %d, close %v", sent, resp.StatusCode, resp.Close)
		}
		cl := r.dial(t)
		cl.send(q.chunkedHead(codingLine) + sent)
		slow = append(slow, cl)
	}
	for i, cl := range slow {
		if resp, _ := cl.readResponse(); resp.StatusCode != 408 || !resp.Close {
			t.Errorf("%q and nothing more: answered %d, close %v", parts[i], resp.StatusCode, resp.Close)
		}
	}
	r.waitReleased(t, &disk{})
	if got := b.requests(); len(got) != 0 {
		t.Errorf("the backend got %d requests", len(got))
	}
}

// A client that waits for 100 Continue gets it, and chunks that arrive byte by byte are served.
func TestChunksByteByByte(t *testing.T) {
	t.Parallel()
	b := newStubBackend(t, echo)
	r := startNode(t, newStubDiscovery(t), settingsJSON, nil, b.entry("s-1"))
	q := save("slow")
	cl := r.dial(t)
	cl.send(q.chunkedHead("Expect: 100-continue\r\n" + codingLine))
	if resp, _ := cl.readResponse(); resp.StatusCode != http.StatusContinue {
		t.Fatalf("answered %d", resp.StatusCode)
	}
	for _, x := range []byte(inChunks(q.body, 3)) {
		cl.send(string(x)) // a write of its own, which the kernel does not delay
	}
	if resp, body := cl.readResponse(); resp.StatusCode != 200 || body != q.echoed() {
		t.Errorf("%d %q", resp.StatusCode, body)
	}
	if got := b.requests(); len(got) != 1 || got[0].Header.Get("Expect") != "" {
		t.Errorf("the backend got %d requests", len(got))
	}
}

// Bodies of unknown size are placed in each tier: memory, then disk. If the disk fails, they use memory beyond the normal share of
// their class, as their length has to be known before they are sent.
func TestChunkedBodiesUseEachTier(t *testing.T) {
	t.Parallel()
	d := &disk{}
	b := newStubBackend(t, echo)
	r := startTieredNode(t, d, b, testTimeout)
	c := r.dial(t)
	ask := func(q testRequest) (*http.Response, string) {
		c.send(q.chunkedHead(codingLine) + inChunks(q.body, 10000))
		return c.readResponse()
	}
	over := largeSave("over", 1<<20+1)
	before := r.dial(t)
	go io.WriteString(before, over.chunkedHead(codingLine)+inChunks(over.body, 10000))
	if resp, _ := before.readResponse(); resp.StatusCode != 413 || !resp.Close {
		t.Errorf("over the limit: answered %d, close %v", resp.StatusCode, resp.Close)
	}
	r.waitReleased(t, d)
	first := r.placedByTier()
	for i, x := range []struct {
		size int
		fail func()
		want [3]int64
	}{
		{50 << 10, func() {}, [3]int64{1, 0, 0}},
		{100 << 10, func() {}, [3]int64{2, 0, 0}},
		{100<<10 + 1, func() {}, [3]int64{3, 1, 0}}, // it starts in memory
		{1 << 20, func() {}, [3]int64{4, 2, 0}},
		{200 << 10, func() { d.create = syscall.ENOSPC }, [3]int64{5, 3, 0}}, // continues in memory
	} {
		d.set(x.fail)
		q := largeSave(fmt.Sprint("r", i), x.size)
		if resp, body := ask(q); resp.StatusCode != 200 || body != q.echoed() || tierDelta(first, r.placedByTier()) != x.want {
			t.Errorf("%d bytes: %d %.60q, tiers %v", x.size, resp.StatusCode, body, tierDelta(first, r.placedByTier()))
		}
		r.waitReleased(t, d)
	}
	for _, x := range []struct {
		name  string
		class string
		size  int
		want  int
	}{
		{"no disk, and more than all memory", "save", 400 << 10, 503},
		{"no disk, and not to be streamed", "quote", 200 << 10, 503},
	} {
		q := largeSave(x.name[:4], x.size)
		if q.class = x.class; q.class == "quote" {
			q.key = ""
		}
		cl := r.dial(t)
		go io.WriteString(cl, q.chunkedHead(codingLine)+inChunks(q.body, 10000))
		if resp, _ := cl.readResponse(); resp.StatusCode != x.want || !resp.Close {
			t.Errorf("%s: answered %d, close %v, want %d and a close", x.name, resp.StatusCode, resp.Close, x.want)
		}
		r.waitReleased(t, d)
	}
}

// tierDelta returns how many bodies were placed in each tier between two counts.
func tierDelta(before, after [3]int64) [3]int64 {
	return [3]int64{after[0] - before[0], after[1] - before[1], after[2] - before[2]}
}

// If the disk fails during a body of unknown size, the bytes before are lost with it. Nothing was sent to a backend, and the client may
// retry.
func TestDiskFailureDuringChunkedBody(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name   string
		fault  func(d *disk)
		status int
	}{
		{"disk full at the first write", func(d *disk) { d.write, d.writes = syscall.ENOSPC, 0 }, 200},
		{"disk full during the body", func(d *disk) { d.write, d.writes = syscall.ENOSPC, 2 }, 503},
		{"EIO on reading back", func(d *disk) { d.read = syscall.EIO }, 503},
		{"disk hangs", func(d *disk) { d.blocked = make(chan struct{}) }, 200},
	} {
		d := &disk{}
		b := newStubBackend(t, echo)
		x.fault(d)
		deadline := testTimeout // longer than any machine takes
		if d.blocked != nil {
			deadline = 20 * time.Millisecond
		}
		r := startTieredNode(t, d, b, deadline)
		q := largeSave("r1", 200<<10)
		cl := r.dial(t)
		go io.WriteString(cl, q.chunkedHead(codingLine)+inChunks(q.body, 5000))
		resp, body := cl.readResponse()
		if resp.StatusCode != x.status || x.status == 200 && body != q.echoed() || x.status == 503 && len(b.requests()) > 0 {
			t.Errorf("%s: %d %.60q, %d attempts", x.name, resp.StatusCode, body, len(b.requests()))
		}
		d.set(func() {
			if d.blocked != nil {
				close(d.blocked)
				d.blocked = nil
			}
		})
		r.waitReleased(t, d)
	}
}

// A body of unknown size uses more memory as it grows. If none is left, it is rejected and its memory is released.
func TestChunkedBodiesRespectMemoryBudget(t *testing.T) {
	t.Parallel()
	b := newStubBackend(t, echo)
	r := startNode(t, newStubDiscovery(t), settingsJSON, nil, b.entry("s-1"))
	r.bodies.SetLimits(bodies.Limits{Memory: 40 << 10, Heads: 10 * message.RequestOverheadBytes})
	blocked := r.dial(t)
	blocked.send(largeSave("held", 20<<10).chunkedHead(codingLine) + "5000\r\n" + strings.Repeat("x", 20<<10) + "\r\n")
	wait(t, "the memory of the first body", func() bool { return r.bodies.Used(bodies.Memory) == 32<<10 })
	small := largeSave("small", 5<<10)
	small.class, small.key = "quote", ""
	cl := r.dial(t)
	cl.send(small.chunkedHead(codingLine) + inChunks(small.body, 1000))
	if resp, body := cl.readResponse(); resp.StatusCode != 200 || body != small.echoed() {
		t.Errorf("a small body meanwhile: %d %.60q", resp.StatusCode, body)
	}
	wait(t, "the release of the small body", func() bool { return r.bodies.Used(bodies.Memory) == 32<<10 })
	large := largeSave("large", 10<<10)
	cl = r.dial(t)
	go io.WriteString(cl, large.chunkedHead(codingLine)+inChunks(large.body, 1000))
	if resp, _ := cl.readResponse(); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("a large body: answered %d, close %v", resp.StatusCode, resp.Close)
	}
	blocked.send("0\r\n\r\n")
	if resp, _ := blocked.readResponse(); resp.StatusCode != 200 {
		t.Errorf("the first body: answered %d", resp.StatusCode)
	}
	r.waitReleased(t, &disk{})
}
