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

// inChunks is a body in chunks of so many bytes at most.
func inChunks(body string, size int) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(size, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String() + "0\r\n\r\n"
}

// chunkedHead is the head of a request whose body has no length, with more header lines, each with its line end.
func (c call) chunkedHead(lines string) string {
	c.body = ""
	return strings.Replace(c.text(), "Content-Length: 0\r\n", lines, 1)
}

const codingLine = "Transfer-Encoding: chunked\r\n"

// A body in chunks reaches the backend whole, with its length told and without a coding; what is behind the last chunk
// is the next request.
func TestBodiesInChunksAreServed(t *testing.T) {
	t.Parallel()
	b := newBox(t, echo)
	r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
	usual := quote("x").body
	largest := strings.Repeat("a door ", message.MaxBodyBytes)[:message.MaxBodyBytes]
	endless := strings.Repeat("e", 4000)
	for i, c := range []struct {
		name, lines, body, wire string
	}{
		{"one chunk", codingLine, usual, inChunks(usual, 100)},
		{"a byte in each", codingLine, usual, inChunks(usual, 1)},
		{"other letters", "transfer-encoding: CHUNKED\r\n", usual, inChunks(usual, 4)},
		{"folded", "Transfer-Encoding:\r\n Chunked\r\n", usual, inChunks(usual, 4)},
		{"no body", codingLine, "", "0\r\n\r\n"},
		{"zeros before and behind", codingLine, usual, "0006\r\n" + usual + "\r\n00000\r\n\r\n"},
		{"size in large letters", codingLine, strings.Repeat("x", 0xab), "AB\r\n" + strings.Repeat("x", 0xab) + "\r\n0\r\n\r\n"},
		{"extensions", codingLine, usual, "2;a;b=c;d=\"e;f\"\r\na \r\n4; g = h\r\ndoor\r\n0;last\r\n\r\n"},
		{"a long extension", codingLine, usual, "6;" + endless + "\r\n" + usual + "\r\n0\r\n\r\n"},
		{"trailers", "Trailer: X-Sum\r\n" + codingLine, usual, "6\r\n" + usual + "\r\n0\r\nX-Sum: 1\r\nX-Request-Id: other\r\n\r\n"},
		{"the most, in one", codingLine, largest, inChunks(largest, len(largest))},
		{"the most, in pieces", codingLine, largest, inChunks(largest, 999)},
		{"the most, a byte in each", codingLine, largest, inChunks(largest, 1)},
		{"an expectation", "Expect: 100-continue\r\n" + codingLine, usual, inChunks(usual, 4)},
	} {
		q := quote(fmt.Sprint("q", i))
		q.body = c.body
		next := view(fmt.Sprint("behind-", i))
		cl := r.dial(t)
		go io.WriteString(cl, q.chunkedHead(c.lines)+c.wire+next.text())
		resp, body := cl.answer()
		if strings.Contains(c.lines, "Expect") {
			if resp.StatusCode != http.StatusContinue {
				t.Errorf("%s: %d, want to be told to go on", c.name, resp.StatusCode)
			}
			resp, body = cl.answer()
		}
		if resp.StatusCode != 200 || body != q.echoed() {
			t.Errorf("%s: %d %.60q", c.name, resp.StatusCode, body)
		}
		if resp, body := cl.answer(); resp.StatusCode != 200 || body != next.echoed() {
			t.Errorf("%s: the request behind it: %d %.60q", c.name, resp.StatusCode, body)
		}
		got := b.requests()
		if len(got) != 2*(i+1) {
			t.Fatalf("%s: the backend got %d requests", c.name, len(got))
		}
		in := got[2*i]
		if in.ContentLength != int64(len(c.body)) || len(in.TransferEncoding) > 0 || in.Header.Get("X-Sum")+in.Header.Get("Trailer") != "" {
			t.Errorf("%s: the backend was told a length of %d, coding %q, headers %v", c.name, in.ContentLength, in.TransferEncoding, in.Header)
		}
	}
	r.empty(t, &disk{})
}

// Requests that lie in the connection's buffer behind another are framed as the first is, also where one of them hides the
// next.
func TestChunksBehindOneAnother(t *testing.T) {
	t.Parallel()
	b := newBox(t, echo)
	r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
	first, second, third := quote("first"), save("second"), quote("third")
	end := inChunks("", 1)
	cl := r.dial(t)
	cl.send(first.chunkedHead(codingLine) + inChunks(first.body, 2) + second.chunkedHead(codingLine) + inChunks(second.body, 3) +
		third.chunkedHead(fmt.Sprintf("Content-Length: %d\r\n", len(end)+len(view("hidden").text()))+codingLine) + end + view("hidden").text())
	for _, q := range []call{first, second} {
		if resp, body := cl.answer(); resp.StatusCode != 200 || body != q.echoed() {
			t.Errorf("%s: %d %q", q.id, resp.StatusCode, body)
		}
	}
	if resp, _ := cl.answer(); resp.StatusCode != 400 || !resp.Close {
		t.Errorf("a length beside the chunks: %d, close %v", resp.StatusCode, resp.Close)
	}
	if n := len(b.requests()); n != 2 {
		t.Errorf("the backend got %d requests", n)
	}
}

// What is no body in chunks is refused, its connection is closed, and neither it nor what it hides reaches a backend.
func TestMalformedChunksReachNoBackend(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
	hidden := view("hidden").text()
	q := quote("x")
	chunk := "6\r\na door\r\n"
	end := "0\r\n\r\n"
	padding := "X-Padding: " + strings.Repeat("p", 6000) + "\r\n"
	for _, c := range []struct {
		name, lines, wire string
		want              int
	}{
		{"a length beside", "Content-Length: 6\r\n" + codingLine, chunk + end, 400},
		{"a length behind", codingLine + "Content-Length: 16\r\n", chunk + end, 400},
		{"a length that hides a request", fmt.Sprintf("Content-Length: %d\r\n", len(end)+len(hidden)) + codingLine, end + hidden, 400},
		{"a length, a head beyond the buffer", "Content-Length: 6\r\n" + padding + codingLine, chunk + end, 400},
		{"a length in other letters", "content-LENGTH:6\r\n" + codingLine, chunk + end, 400},
		{"twice", codingLine + codingLine, chunk + end, 400},
		{"twice in a line", "Transfer-Encoding: chunked, chunked\r\n", chunk + end, 400},
		{"another coding before", "Transfer-Encoding: gzip, chunked\r\n", chunk + end, 501},
		{"another coding behind", "Transfer-Encoding: chunked, gzip\r\n", chunk + end, 400},
		{"an unknown coding", "Transfer-Encoding: xchunked\r\n", chunk + end, 501},
		{"a space before the colon", "Transfer-Encoding : chunked\r\n", chunk + end, 411},
		{"a space before the colon, and a length", "Content-Length: 16\r\nTransfer-Encoding : chunked\r\n", chunk + end, 400},
		{"a trailer that is a length", "Trailer: Content-Length\r\n" + codingLine, chunk + end, 400},
		{"a size that overflows", codingLine, "10000000000000006\r\na door\r\n" + end, 400},
		{"the largest size, and little of it", codingLine, "ffffffffffffffff\r\na door\r\n" + end, 408},
		{"the largest size, and much of it", codingLine, "ffffffffffffffff\r\n" + strings.Repeat("x", message.MaxBodyBytes+1), 413},
		// RFC 9112, 7.1.1, has a reader pass over this blank; net/http's does not.
		{"a blank before an extension", codingLine, "6 ;a=b\r\na door\r\n" + end, 400},
		{"a negative size", codingLine, "-6\r\na door\r\n" + end, 400},
		{"a size with a plus", codingLine, "+6\r\na door\r\n" + end, 400},
		{"a size in C's way", codingLine, "0x6\r\na door\r\n" + end, 400},
		{"no size", codingLine, "\r\na door\r\n" + end, 400},
		{"a space before the size", codingLine, " 6\r\na door\r\n" + end, 400},
		{"a size that does not end", codingLine, strings.Repeat("0", 8000), 400},
		{"an extension that does not end", codingLine, "6;" + strings.Repeat("e", 8000), 400},
		{"much in extensions", codingLine, strings.Repeat("1;"+strings.Repeat("e", 3000)+"\r\nx\r\n", 20) + end, 400},
		{"a line feed alone", codingLine, "6\na door\r\n" + end, 400},
		{"a chunk longer than told", codingLine, "5\r\na door\r\n" + end, 400},
		{"a chunk shorter than told", codingLine, "7\r\na door\r\n" + end, 400},
		{"a trailer that does not end", codingLine, chunk + "0\r\nX-A: " + strings.Repeat("a", 8000) + "\r\n\r\n", 400},
		{"a trailer that is none", codingLine, chunk + "0\r\nnone\r\n\r\n", 400},
		{"a body over the most", codingLine, inChunks(strings.Repeat("x", message.MaxBodyBytes+1), 1000), 413},
		{"a body over the most in one chunk", codingLine, inChunks(strings.Repeat("x", message.MaxBodyBytes+1), 1<<20), 413},
	} {
		cl := r.dial(t)
		go io.WriteString(cl, q.chunkedHead(c.lines)+c.wire+hidden) // the node may answer and close before it has read all
		if resp, _ := cl.answer(); resp.StatusCode != c.want || !resp.Close {
			t.Errorf("%s: answered %d, close %v, want %d and a close", c.name, resp.StatusCode, resp.Close, c.want)
		}
		if n, err := cl.Read(make([]byte, 1)); n != 0 || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: %d more bytes, %v, want the connection closed", c.name, n, err)
		}
	}
	for _, text := range []string{view("x").text(), "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", "POST /ready HTTP/1.1\r\nHost: x\r\n\r\n"} {
		cl := r.dial(t)
		cl.send(strings.Replace(text, "\r\n\r\n", "\r\n"+codingLine+"\r\n"+end, 1) + hidden)
		if resp, _ := cl.answer(); resp.StatusCode != 400 || !resp.Close {
			t.Errorf("%.20q in chunks: answered %d, close %v", text, resp.StatusCode, resp.Close)
		}
	}
	if got := b.requests(); len(got) != 0 {
		t.Errorf("the backend got %d requests", len(got))
	}
	r.empty(t, &disk{})
}

// A client that leaves between two chunks sends nothing on; one that stops has its time, and is told.
func TestBodiesInChunksThatDoNotEnd(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
	q := quote("x")
	parts := []string{"", "6\r\na door\r\n", "6\r\na do", "6\r\na door\r\n0\r\n", "6\r\na door\r\n0\r\nX-A: b\r\n"}
	var slow []*client
	for _, sent := range parts {
		gone := r.dial(t)
		gone.send(q.chunkedHead(codingLine) + sent)
		gone.Close()
		half := r.dial(t)
		half.send(q.chunkedHead(codingLine) + sent)
		half.Conn.(*net.TCPConn).CloseWrite()
		if resp, _ := half.answer(); resp.StatusCode != 400 || !resp.Close {
			t.Errorf("%q and an end: answered %d, close %v", sent, resp.StatusCode, resp.Close)
		}
		cl := r.dial(t)
		cl.send(q.chunkedHead(codingLine) + sent)
		slow = append(slow, cl)
	}
	for i, cl := range slow {
		if resp, _ := cl.answer(); resp.StatusCode != 408 || !resp.Close {
			t.Errorf("%q and nothing more: answered %d, close %v", parts[i], resp.StatusCode, resp.Close)
		}
	}
	r.empty(t, &disk{})
	if got := b.requests(); len(got) != 0 {
		t.Errorf("the backend got %d requests", len(got))
	}
}

// A client that waits to be told to go on is told, and one whose chunks come byte by byte is served.
func TestChunksAByteAtATime(t *testing.T) {
	t.Parallel()
	b := newBox(t, echo)
	r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
	q := save("slow")
	cl := r.dial(t)
	cl.send(q.chunkedHead("Expect: 100-continue\r\n" + codingLine))
	if resp, _ := cl.answer(); resp.StatusCode != http.StatusContinue {
		t.Fatalf("answered %d", resp.StatusCode)
	}
	for _, x := range []byte(inChunks(q.body, 3)) {
		cl.send(string(x)) // a write of its own: the system does not hold it back
	}
	if resp, body := cl.answer(); resp.StatusCode != 200 || body != q.echoed() {
		t.Errorf("%d %q", resp.StatusCode, body)
	}
	if got := b.requests(); len(got) != 1 || got[0].Header.Get("Expect") != "" {
		t.Errorf("the backend got %d requests", len(got))
	}
}

// Each tier takes bodies whose size nobody told: memory, then disk, and where the disk fails, memory beyond the class's
// usual part of it, as their length has to be known before they are sent.
func TestEachTierTakesChunks(t *testing.T) {
	t.Parallel()
	d := &disk{}
	b := newBox(t, echo)
	r := tieredRig(t, d, b, patience)
	c := r.dial(t)
	ask := func(q call) (*http.Response, string) {
		c.send(q.chunkedHead(codingLine) + inChunks(q.body, 10000))
		return c.answer()
	}
	over := big("over", 1<<20+1)
	before := r.dial(t)
	go io.WriteString(before, over.chunkedHead(codingLine)+inChunks(over.body, 10000))
	if resp, _ := before.answer(); resp.StatusCode != 413 || !resp.Close {
		t.Errorf("over the most: answered %d, close %v", resp.StatusCode, resp.Close)
	}
	r.empty(t, d)
	first := r.tiers()
	for i, x := range []struct {
		size int
		fail func()
		want [3]int64
	}{
		{50 << 10, func() {}, [3]int64{1, 0, 0}},
		{100 << 10, func() {}, [3]int64{2, 0, 0}},
		{100<<10 + 1, func() {}, [3]int64{3, 1, 0}}, // it begins in memory
		{1 << 20, func() {}, [3]int64{4, 2, 0}},
		{200 << 10, func() { d.create = syscall.ENOSPC }, [3]int64{5, 3, 0}}, // goes on in memory
	} {
		d.set(x.fail)
		q := big(fmt.Sprint("r", i), x.size)
		if resp, body := ask(q); resp.StatusCode != 200 || body != q.echoed() || since(first, r.tiers()) != x.want {
			t.Errorf("%d bytes: %d %.60q, tiers %v", x.size, resp.StatusCode, body, since(first, r.tiers()))
		}
		r.empty(t, d)
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
		q := big(x.name[:4], x.size)
		if q.class = x.class; q.class == "quote" {
			q.key = ""
		}
		cl := r.dial(t)
		go io.WriteString(cl, q.chunkedHead(codingLine)+inChunks(q.body, 10000))
		if resp, _ := cl.answer(); resp.StatusCode != x.want || !resp.Close {
			t.Errorf("%s: answered %d, close %v, want %d and a close", x.name, resp.StatusCode, resp.Close, x.want)
		}
		r.empty(t, d)
	}
}

// since is what the tiers were given between two counts.
func since(before, now [3]int64) [3]int64 {
	return [3]int64{now[0] - before[0], now[1] - before[1], now[2] - before[2]}
}

// A disk that fails under a body whose size nobody told has what came before: nothing was sent, and its client may try
// again.
func TestDiskFailsUnderChunks(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name   string
		fault  func(d *disk)
		status int
	}{
		{"no room for what was read", func(d *disk) { d.write, d.writes = syscall.ENOSPC, 0 }, 200},
		{"no room in the middle", func(d *disk) { d.write, d.writes = syscall.ENOSPC, 2 }, 503},
		{"EIO on reading back", func(d *disk) { d.read = syscall.EIO }, 503},
		{"it hangs", func(d *disk) { d.hang = make(chan struct{}) }, 200},
	} {
		d := &disk{}
		b := newBox(t, echo)
		x.fault(d)
		deadline := patience // no machine is so slow
		if d.hang != nil {
			deadline = 20 * time.Millisecond
		}
		r := tieredRig(t, d, b, deadline)
		q := big("r1", 200<<10)
		cl := r.dial(t)
		go io.WriteString(cl, q.chunkedHead(codingLine)+inChunks(q.body, 5000))
		resp, body := cl.answer()
		if resp.StatusCode != x.status || x.status == 200 && body != q.echoed() || x.status == 503 && len(b.requests()) > 0 {
			t.Errorf("%s: %d %.60q, %d attempts", x.name, resp.StatusCode, body, len(b.requests()))
		}
		d.set(func() {
			if d.hang != nil {
				close(d.hang)
				d.hang = nil
			}
		})
		r.empty(t, d)
	}
}

// A body whose size nobody told takes memory as it grows. Where none is left it is refused, and what it took is given back.
func TestChunksUnderTheBudgetOfMemory(t *testing.T) {
	t.Parallel()
	b := newBox(t, echo)
	r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
	r.bodies.SetLimits(bodies.Limits{Memory: 40 << 10, Heads: 10 * message.RequestOverheadBytes})
	held := r.dial(t)
	held.send(big("held", 20<<10).chunkedHead(codingLine) + "5000\r\n" + strings.Repeat("x", 20<<10) + "\r\n")
	wait(t, "the first body's room", func() bool { return r.bodies.Used(bodies.Memory) == 32<<10 })
	small := big("small", 5<<10)
	small.class, small.key = "quote", ""
	cl := r.dial(t)
	cl.send(small.chunkedHead(codingLine) + inChunks(small.body, 1000))
	if resp, body := cl.answer(); resp.StatusCode != 200 || body != small.echoed() {
		t.Errorf("a small one beside it: %d %.60q", resp.StatusCode, body)
	}
	wait(t, "the small one's room", func() bool { return r.bodies.Used(bodies.Memory) == 32<<10 })
	large := big("large", 10<<10)
	cl = r.dial(t)
	go io.WriteString(cl, large.chunkedHead(codingLine)+inChunks(large.body, 1000))
	if resp, _ := cl.answer(); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("a large one: answered %d, close %v", resp.StatusCode, resp.Close)
	}
	held.send("0\r\n\r\n")
	if resp, _ := held.answer(); resp.StatusCode != 200 {
		t.Errorf("the first: answered %d", resp.StatusCode)
	}
	r.empty(t, &disk{})
}
