package stand

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"craneglade/internal/kit/boxmodel"
	"craneglade/internal/kit/plan"
	"craneglade/internal/kit/scenario"
	"craneglade/internal/kit/trace"
)

// waitTimeout is how long a test waits for something that has to happen: far longer than it takes on a busy machine.
const waitTimeout = 30 * time.Second

// traceBuffer is a trace that can be read while it is written.
type traceBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
	w    *trace.Writer
}

func (b *traceBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func newTraceBuffer() *traceBuffer {
	b := &traceBuffer{}
	b.w = trace.NewWriter(b, trace.Head{})
	return b
}

// records returns the records of a kind written so far.
func (b *traceBuffer) records(t *testing.T, kind string) []trace.Record {
	t.Helper()
	if err := b.w.Close(); err != nil { // flushes
		t.Fatal(err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r, err := trace.NewReader(bytes.NewReader(b.text.Bytes()))
	if err != nil {
		t.Fatal(err)
	}
	var out []trace.Record
	for {
		var rec trace.Record
		if err := r.Next(&rec); err == io.EOF {
			return out
		} else if err != nil {
			t.Fatal(err)
		}
		if rec.Kind == kind {
			out = append(out, rec)
		}
	}
}

// waitFor waits until ok returns true.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s was not seen in time", what)
		}
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// newTestBackend starts a backend with a listener for one node and returns its address.
func newTestBackend(t *testing.T, b *traceBuffer, change func(*BackendConfig)) (*Backend, string) {
	t.Helper()
	cfg := BackendConfig{ID: "b1", Site: "a", Kind: "k", Seed: 1, Delay: func(string) time.Duration { return 0 },
		Spec: boxmodel.Spec{Cores: 2, Speed: 1, Slots: 2, Queue: 1, ColdFrom: 1, CancelQueued: true, CancelRuns: true}}
	cfg.Report.Interval = 10 * time.Millisecond
	if change != nil {
		change(&cfg)
	}
	x := NewBackend(cfg, Clock{time.Now()}, b.w, &atomic.Int64{})
	ln := listen(t)
	x.Serve(ln, trace.Node{Name: "n1", Site: "a"})
	t.Cleanup(x.Stop)
	return x, ln.Addr().String()
}

type testConn struct {
	net.Conn
	in *bufio.Reader
}

func dial(t *testing.T, addr string) *testConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(waitTimeout))
	return &testConn{c, bufio.NewReader(c)}
}

func post(id string, work time.Duration) string {
	body := fmt.Sprintf(`{"id":%q}`, id)
	return fmt.Sprintf("POST /api?key=k&w=%d HTTP/1.1\r\nHost: b\r\nX-Request-Id: %s\r\nX-Class: quote\r\nX-Deadline: 900m\r\nContent-Length: %d\r\n\r\n%s",
		work.Microseconds(), id, len(body), body)
}

func (p *testConn) roundTrip(t *testing.T, text string) (*http.Response, string) {
	t.Helper()
	if _, err := io.WriteString(p, text); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(p.in, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

func TestBackendServesAndRecords(t *testing.T) {
	b := newTraceBuffer()
	x, addr := newTestBackend(t, b, nil)
	p := dial(t, addr)
	resp, body := p.roundTrip(t, post("r1", 2*time.Millisecond))
	var answer struct{ For, Box string }
	if err := json.Unmarshal([]byte(body), &answer); err != nil || answer.For != "r1" || answer.Box != "b1" || resp.StatusCode != 200 {
		t.Errorf("%d %s", resp.StatusCode, body)
	}
	if !strings.Contains(resp.Header.Get("X-Load"), `"queue":0`) {
		t.Errorf("X-Load: %q", resp.Header.Get("X-Load"))
	}
	if resp, body := p.roundTrip(t, post("r2", time.Millisecond)); resp.StatusCode != 200 || !strings.Contains(body, `"for":"r2"`) {
		t.Errorf("the second: %d %s", resp.StatusCode, body)
	}
	// A truncated request is recorded as such and not run.
	q := dial(t, addr)
	io.WriteString(q, post("r3", 0)[:60])
	q.Close()
	waitFor(t, "the half request's record", func() bool { return len(b.records(t, trace.Partial)) == 1 })
	x.Drain()
	resp, _ = p.roundTrip(t, post("r4", time.Millisecond))
	if resp.StatusCode != 503 || resp.Header.Get("X-Not-Run") != "1" {
		t.Errorf("draining: %d %v", resp.StatusCode, resp.Header)
	}
	recv, reply := b.records(t, trace.Received), b.records(t, trace.Reply)
	if len(recv) != 3 || len(reply) != 3 || recv[0].ID != "r1" || recv[0].Node != "n1" || recv[0].T0 > recv[0].T || recv[0].Work != 2000 {
		t.Fatalf("%+v\n%+v", recv, reply)
	}
	if reply[0].Digest != digest([]byte(body)) || reply[0].How != trace.Served || reply[0].Attempt != recv[0].Attempt {
		t.Errorf("%+v", reply[0])
	}
	if reply[2].How != trace.Rejected {
		t.Errorf("%+v", reply[2])
	}
}

func TestBackendRejectsMalformedRequests(t *testing.T) {
	b := newTraceBuffer()
	_, addr := newTestBackend(t, b, nil)
	for _, text := range []string{
		strings.Replace(post("r1", 0), `{"id":"r1"}`, `{"id":"r2"}`, 1),
		strings.Replace(post("r1", 0), "X-Request-Id: r1\r\n", "", 1),
		strings.Replace(post("r1", 0), "w=0", "w=x", 1),
	} {
		if resp, _ := dial(t, addr).roundTrip(t, text); resp.StatusCode != 400 {
			t.Errorf("%d for %q", resp.StatusCode, text)
		}
	}
	for _, r := range b.records(t, trace.Reply) {
		if r.How != trace.Refused || r.Why == "" {
			t.Errorf("%+v", r)
		}
	}
}

func TestBackendCancelsOnDisconnect(t *testing.T) {
	b := newTraceBuffer()
	x, addr := newTestBackend(t, b, nil)
	p := dial(t, addr)
	io.WriteString(p, post("r1", 50*time.Second))
	waitFor(t, "the request", func() bool { return x.Status().InFlight == 1 })
	p.Close()
	waitFor(t, "its end", func() bool { return x.Status().InFlight == 0 })
	waitFor(t, "the record", func() bool { return len(b.records(t, trace.Dropped)) == 1 })
}

func TestBackendRejectsOverLimits(t *testing.T) {
	b := newTraceBuffer()
	x, addr := newTestBackend(t, b, func(c *BackendConfig) { c.MaxConns = 4 })
	for i := range 3 { // two run, one waits
		io.WriteString(dial(t, addr), post(fmt.Sprint("r", i), 50*time.Second))
		waitFor(t, "the request", func() bool { return x.Status().InFlight == i+1 })
	}
	if resp, _ := dial(t, addr).roundTrip(t, post("r8", 0)); resp.StatusCode != 503 || resp.Header.Get("X-Not-Run") != "1" {
		t.Errorf("queue full: %d", resp.StatusCode)
	}
	resp, _ := dial(t, addr).roundTrip(t, post("r9", 0))
	if resp.StatusCode != 503 || resp.Header.Get("X-Not-Run") != "1" {
		t.Errorf("too many connections: %d", resp.StatusCode)
	}
}

func TestBackendFaults(t *testing.T) {
	b := newTraceBuffer()
	x, addr := newTestBackend(t, b, nil)
	x.SetFaults(1, 0)
	p := dial(t, addr)
	io.WriteString(p, post("r1", time.Millisecond))
	if _, err := p.in.ReadByte(); err == nil || err == io.EOF {
		t.Errorf("read from a reset connection: %v", err)
	}
	x.SetFaults(0, 1)
	p = dial(t, addr)
	io.WriteString(p, post("r2", time.Millisecond))
	if _, err := p.in.ReadByte(); err != nil {
		t.Errorf("no bytes of a corrupt response: %v", err)
	}
	x.SetFaults(0, 0)
	p = dial(t, addr)
	p.roundTrip(t, post("r3", time.Millisecond))
	x.Isolate()
	io.WriteString(p, post("r4", time.Millisecond))
	x.Reconnect()
	if _, err := p.in.ReadByte(); err == nil {
		t.Error("a connection from before the isolation still works")
	}
	if resp, _ := dial(t, addr).roundTrip(t, post("r5", 0)); resp.StatusCode != 200 {
		t.Errorf("after the isolation: %d", resp.StatusCode)
	}
	p = dial(t, addr)
	io.WriteString(p, post("r6", 50*time.Second))
	waitFor(t, "the request", func() bool { return x.Status().InFlight == 1 })
	x.Stop()
	if _, err := p.in.ReadByte(); err == nil || err == io.EOF {
		t.Errorf("read from a stopped process: %v, want a reset", err)
	}
	if _, err := net.Dial("tcp", addr); err == nil {
		t.Error("a stopped process still accepts connections")
	}
	how := map[string]string{}
	for _, r := range b.records(t, trace.Reply) {
		how[r.ID] = r.How
	}
	want := map[string]string{"r1": trace.Reset, "r2": trace.Malformed, "r3": trace.Served, "r5": trace.Served, "r6": trace.Reset}
	if fmt.Sprint(how) != fmt.Sprint(want) {
		t.Errorf("%v, want %v", how, want)
	}
}

// Guards against a link cut that loses the wrong direction, lets new connections through, or leaves old connections
// usable after it ends instead of resetting them.
func TestLinkCut(t *testing.T) {
	b := newTraceBuffer()
	x, addr := newTestBackend(t, b, nil)
	cut := func(in, out bool) { x.SetCuts(func(trace.Node) (bool, bool) { return in, out }) }
	p := dial(t, addr)
	p.roundTrip(t, post("r1", 0))
	cut(false, true)
	io.WriteString(p, post("r2", time.Millisecond))
	waitFor(t, "the request", func() bool { return len(b.records(t, trace.Received)) == 2 })
	waitFor(t, "its end", func() bool { return x.Status().InFlight == 0 })
	cut(true, true)
	waitFor(t, "a failed dial", func() bool {
		c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err == nil {
			t.Cleanup(func() { c.Close() })
		}
		return err != nil
	})
	cut(false, false)
	if _, err := p.in.ReadByte(); err == nil || err == io.EOF {
		t.Errorf("read from a connection from before the cut: %v, want a reset", err)
	}
	if resp, _ := dial(t, addr).roundTrip(t, post("r3", 0)); resp.StatusCode != 200 {
		t.Errorf("after the cut: %d", resp.StatusCode)
	}
	q := dial(t, addr)
	q.roundTrip(t, post("r4", 0))
	cut(true, false)
	io.WriteString(q, post("r5", 0))
	cut(false, false)
	if _, err := q.in.ReadByte(); err == nil {
		t.Error("a request that the link lost was answered")
	}
	for _, r := range b.records(t, trace.Reply) {
		if r.ID == "r2" && r.How == trace.Served {
			t.Error("a response that the link lost is recorded as served")
		}
	}
	if n := len(b.records(t, trace.Received)); n != 4 {
		t.Errorf("%d requests received, want 4", n)
	}
}

// Guards against an isolated backend whose crash closes or resets its connections before it is reachable again.
func TestCrashWhileIsolated(t *testing.T) {
	b := newTraceBuffer()
	x, addr := newTestBackend(t, b, nil)
	p := dial(t, addr)
	io.WriteString(p, post("r1", 50*time.Second))
	waitFor(t, "the request", func() bool { return x.Status().InFlight == 1 })
	x.Isolate()
	x.Crash()
	p.SetDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := p.in.ReadByte(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read during the isolation: %v, want a timeout", err)
	}
	x.Stop()
	p.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := p.in.ReadByte(); err == nil || err == io.EOF {
		t.Errorf("read after the isolation: %v, want a reset", err)
	}
}

// A dropped request is read and recorded, but neither run nor answered; the next one is served.
func TestBackendDropsRequests(t *testing.T) {
	b := newTraceBuffer()
	x, addr := newTestBackend(t, b, nil)
	x.SetDropFraction(1)
	lost := dial(t, addr)
	io.WriteString(lost, post("r1", time.Millisecond))
	waitFor(t, "the request", func() bool { return len(b.records(t, trace.Received)) == 1 })
	x.SetDropFraction(0)
	if resp, _ := dial(t, addr).roundTrip(t, post("r2", time.Millisecond)); resp.StatusCode != 200 {
		t.Errorf("the next one: %d", resp.StatusCode)
	}
	if n := len(b.records(t, trace.Reply)); n != 1 || x.Status().InFlight != 0 {
		t.Errorf("%d replies, %d in flight, want 1 and 0", n, x.Status().InFlight)
	}
}

func TestColdBackendCollapses(t *testing.T) {
	b := newTraceBuffer()
	x, addr := newTestBackend(t, b, func(c *BackendConfig) {
		c.Spec.ColdFrom, c.Spec.Cold, c.Spec.Queue, c.Spec.Fall = 0.1, time.Hour, 1000, boxmodel.Fall{Factor: 2, For: time.Second}
	})
	for i := 0; !x.Status().Collapsed && i < 500; i++ {
		if c, err := net.Dial("tcp", addr); err == nil {
			defer c.Close()
			io.WriteString(c, post(fmt.Sprint("r", i), 500*time.Millisecond))
		}
		time.Sleep(time.Millisecond)
	}
	waitFor(t, "the fall", func() bool { return x.Status().Collapsed })
	waitFor(t, "its record", func() bool {
		for _, r := range b.records(t, trace.Backend) {
			if r.State == trace.Collapsed {
				return true
			}
		}
		return false
	})
}

func entry(id, state string) Entry {
	return Entry{ID: id, Addr: "127.0.0.1:1", Zone: "a", State: state}
}

func fetch(t *testing.T, addr, query string) (List, int) {
	t.Helper()
	resp, err := http.Get("http://" + addr + "/v1/endpoints" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var l List
	if resp.StatusCode == 200 {
		if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
			t.Fatal(err)
		}
	}
	return l, resp.StatusCode
}

func TestAgentLongPoll(t *testing.T) {
	b := newTraceBuffer()
	a := NewAgent("n1", false, Clock{time.Now()}, b.w, []Entry{entry("b1", "Ready"), entry("b2", "Ready")})
	s := ServeAgent(a, listen(t))
	defer s.Close()
	if l, _ := fetch(t, s.Addr, ""); !l.Full || len(l.Servers) != 2 || l.Version != 1 {
		t.Errorf("%+v", l)
	}
	if l, _ := fetch(t, s.Addr, "?since=1&timeout_ms=5"); l.Full || len(l.Servers) != 0 || l.Version != 1 {
		t.Errorf("a watch with nothing new: %+v", l)
	}
	got := make(chan List, 1)
	go func() {
		l, _ := fetch(t, s.Addr, "?since=1&timeout_ms=60000")
		got <- l
	}()
	a.Apply(entry("b1", "Terminating"))
	if l := <-got; l.Full || len(l.Servers) != 1 || l.Servers[0].State != "Terminating" || l.Version != 2 {
		t.Errorf("%+v", l)
	}
	// A change that comes during the pause is applied and notified only after it.
	a.Pause()
	a.Apply(entry("b1", "Gone"))
	if n := len(b.records(t, trace.Notified)); n != 3 {
		t.Errorf("%d notifications during the pause, want 3", n)
	}
	go func() {
		l, _ := fetch(t, s.Addr, "?since=2&timeout_ms=10")
		got <- l
	}()
	a.Resume()
	if l := <-got; l.Version != 3 || len(l.Servers) != 1 {
		t.Errorf("%+v", l)
	}
	if l, _ := fetch(t, s.Addr, ""); len(l.Servers) != 1 {
		t.Errorf("a full list has a removed backend: %+v", l)
	}
	notified := b.records(t, trace.Notified)
	if len(notified) != 4 || notified[3].State != "Gone" || notified[3].Node != "n1" {
		t.Errorf("%+v", notified)
	}
	a.DelayNotifications(time.Hour)
	a.Apply(entry("b2", "Gone"))
	if notified := b.records(t, trace.Notified); notified[4].T < time.Hour.Microseconds() {
		t.Errorf("notified at %d us, before the delay is over", notified[4].T)
	}
}

func TestPolledAgent(t *testing.T) {
	b := newTraceBuffer()
	a := NewAgent("n1", true, Clock{time.Now()}, b.w, []Entry{entry("b1", "Ready")})
	s := ServeAgent(a, listen(t))
	defer s.Close()
	a.Apply(entry("b1", "Terminating"))
	if n := len(b.records(t, trace.Notified)); n != 1 {
		t.Errorf("%d notifications before the first poll, want 1", n)
	}
	fetch(t, s.Addr, "?since=1&timeout_ms=5")
	waitFor(t, "the record", func() bool { return len(b.records(t, trace.Notified)) == 2 })
	a.Pause()
	if _, status := fetch(t, s.Addr, ""); status != 503 {
		t.Errorf("status while paused: %d, want 503", status)
	}
}

// clients starts clients against a stand-in for a node: handle serves each connection.
func clients(t *testing.T, b *traceBuffer, settings string, handle func(c net.Conn, in *bufio.Reader)) *Clients {
	t.Helper()
	s, err := scenario.Parse("t.toml", []byte("length = \"1s\"\n[clients]\nbackoff = \"none\"\nimpatient = 0.0\nretries = 2\n"+settings))
	if err != nil {
		t.Fatal(err)
	}
	ln := listen(t)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer c.Close()
				handle(c, bufio.NewReader(c))
			}()
		}
	}()
	dialer := func(ctx context.Context, addr string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}
	c := NewClients(plan.New(s, 1), []trace.Node{{Name: "n1", Site: "tacoma"}}, dialer, Clock{time.Now()}, b.w, 70*time.Millisecond)
	c.SetNode(0, ln.Addr().String(), Reachable)
	t.Cleanup(func() {
		c.Close()
		ln.Close()
		wg.Wait()
	})
	return c
}

// runOne runs one operation and returns its end record.
func runOne(t *testing.T, b *traceBuffer, c *Clients, class int) trace.Record {
	t.Helper()
	n := len(b.records(t, trace.Done))
	c.runOperation(context.Background(), plan.Operation{At: c.clock.Now(), Class: class, Work: time.Millisecond, Seed: uint64(n + 1)})
	return b.records(t, trace.Done)[n]
}

func writeResponse(c net.Conn, status int, headers, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}

const quickClasses = "[[class]]\nname = \"quote\"\neffect = \"unsafe\"\naim = \"100ms\"\ndeadline = \"300ms\"\n[[class]]\nname = \"view\"\neffect = \"safe\"\naim = \"5s\"\ndeadline = \"9s\"\n"

func TestClientsRetryOnlyHarmlessFailures(t *testing.T) {
	b := newTraceBuffer()
	var status atomic.Int64
	var ids sync.Map
	c := clients(t, b, quickClasses, func(c net.Conn, in *bufio.Reader) {
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			if _, twice := ids.LoadOrStore(r.Header.Get("X-Request-Id"), true); twice {
				t.Error("a request id was used twice")
			}
			writeResponse(c, int(status.Load()), "", "body")
		}
	})
	for _, x := range []struct {
		class, status int
		how           string
		tries         int
	}{{0, 200, "served", 1}, {0, 503, "refused", 3}, {0, 500, "failed", 1}, {1, 500, "failed", 3}, {1, 429, "refused", 3}} {
		status.Store(int64(x.status))
		before := len(b.records(t, trace.Sent))
		done := runOne(t, b, c, x.class)
		sent := b.records(t, trace.Sent)[before:]
		if done.How != x.how || len(sent) != x.tries {
			t.Errorf("%+v: %s after %d tries", x, done.How, len(sent))
		}
		for i, s := range sent {
			if s.Try != i || s.FirstID != sent[0].ID || s.Timeout <= 0 {
				t.Errorf("%+v", s)
			}
		}
	}
	got := b.records(t, trace.Got)
	if got[0].Digest != digest([]byte("body")) || got[0].T0 > got[0].T {
		t.Errorf("%+v", got[0])
	}
}

// A request that crosses the close of an idle connection is sent once more, under the same id. A close after the request
// was read is recorded differently, so that a node that drops requests cannot pass for such a crossing.
func TestClientsResendAfterCrossedClose(t *testing.T) {
	b := newTraceBuffer()
	var n atomic.Int64
	c := clients(t, b, quickClasses, func(c net.Conn, in *bufio.Reader) {
		http.ReadRequest(in)
		writeResponse(c, 200, "", "body")
		if n.Add(1) == 1 {
			in.Peek(1)
			c.(*net.TCPConn).SetLinger(0) // the kernel also resets a connection that is closed with unread bytes
			return
		}
		if _, err := http.ReadRequest(in); err == nil {
			return // closes after reading the request
		}
	})
	for range 2 {
		if how := runOne(t, b, c, 1).How; how != "served" {
			t.Fatalf("ended as %s, want served", how)
		}
	}
	sent, broke := b.records(t, trace.Sent), b.records(t, trace.Broke)
	if len(sent) != 3 || sent[1].ID != sent[2].ID || !sent[1].Reused || !sent[2].Resent || sent[2].Reused || len(broke) != 1 || broke[0].How == trace.RequestRead {
		t.Fatalf("%+v\n%+v", sent, broke)
	}
	runOne(t, b, c, 1)
	if broke := b.records(t, trace.Broke); len(broke) < 2 || broke[1].How != trace.RequestRead {
		t.Errorf("a close after the request was read is recorded as %+v", broke)
	}
}

// Bytes sent to a closed socket are answered with a reset, which arrives after the end of the stream. A peer that has
// only shut down its sending side sends none, and counts as having read them.
func TestResetAfterEndOfStream(t *testing.T) {
	for _, read := range []bool{false, true} {
		ln := listen(t)
		defer ln.Close()
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		s, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		if read {
			s.(*net.TCPConn).CloseWrite()
		} else {
			s.Close()
		}
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Fatalf("%v, want the end", err)
		}
		io.WriteString(c, "a request that crosses the close")
		if k := (&clientConn{Conn: c}); k.requestWasRead() != read {
			t.Errorf("read by the other side: %v, detected as %v", read, !read)
		}
	}
}

func TestClientsDetectUnsolicitedResponse(t *testing.T) {
	b := newTraceBuffer()
	c := clients(t, b, quickClasses, func(c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		writeResponse(c, 200, "", "body")
		time.Sleep(5 * time.Millisecond)
		writeResponse(c, 200, "", "more")
		in.Peek(1)
	})
	runOne(t, b, c, 1)
	waitFor(t, "the record", func() bool { return len(b.records(t, trace.Extra)) == 1 })
}

func TestClientsDisconnectAfterTimeout(t *testing.T) {
	b := newTraceBuffer()
	left := make(chan struct{}, 1)
	c := clients(t, b, quickClasses, func(c net.Conn, in *bufio.Reader) {
		http.ReadRequest(in)
		io.Copy(io.Discard, in) // until the client disconnects
		left <- struct{}{}
	})
	if done := runOne(t, b, c, 0); done.How != "failed" {
		t.Errorf("%+v", done)
	}
	<-left
	gave := b.records(t, trace.GaveUp)
	if len(gave) != 1 || gave[0].Why != "time" {
		t.Fatalf("%+v", gave)
	}
	if sent := b.records(t, trace.Sent)[0]; gave[0].T < sent.T+sent.Timeout+70_000 {
		t.Errorf("disconnected %d us after sending with a timeout of %d us: a late response would pass for none", gave[0].T-sent.T, sent.Timeout)
	}
	c.SetNode(0, "127.0.0.1:1", Unreachable)
	if done := runOne(t, b, c, 0); done.How != "unreachable" {
		t.Errorf("with no node: %+v", done)
	}
}

func TestBadClientsDistinguishErrorFromClose(t *testing.T) {
	for _, x := range []struct {
		name, how string
		handle    func(c net.Conn, in *bufio.Reader)
	}{
		{"an error", "error", func(c net.Conn, in *bufio.Reader) { writeResponse(c, 400, "Connection: close\r\n", "bad") }},
		{"a close", "closed", func(c net.Conn, in *bufio.Reader) {}},
		{"served", "served", func(c net.Conn, in *bufio.Reader) { writeResponse(c, 200, "", "thanks") }},
	} {
		b := newTraceBuffer()
		c := clients(t, b, quickClasses, x.handle)
		for _, kind := range scenario.InvalidClientKinds {
			c.runBadClient(context.Background(), 1, kind)
		}
		bad := b.records(t, trace.InvalidClient)
		if len(bad) != len(scenario.InvalidClientKinds) {
			t.Errorf("%s: %d records", x.name, len(bad))
		}
		for _, r := range bad {
			if r.How != x.how && !(x.how == "error" && r.How == "closed") { // a reset may overtake the error
				t.Errorf("%s: %s is recorded as %s", x.name, r.Why, r.How)
			}
		}
	}
}

// After a reload a drain counts as notified only once the node has had time to find its discovery. A backend that is
// ready again counts at once, and an earlier drain must not count after that. A new process is notified of everything
// at its start.
func TestReadyCountsAsNotifiedAtOnce(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	w := trace.NewWriter(&out, trace.Head{})
	clock := Clock{Start: time.Now()}
	a := NewAgent("n1", false, clock, w, nil)
	const delay = time.Hour
	a.DelayNotifications(delay)
	a.Apply(Entry{ID: "b", State: trace.Terminating})
	a.Apply(Entry{ID: "b", State: trace.Ready, Started: 1})
	a.Apply(Entry{ID: "c", State: trace.Terminating})
	a.InitialList() // a new process is notified at once
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	type notification struct {
		box, state string
		late       bool
	}
	var got []notification
	for line := range strings.Lines(out.String()) {
		var r trace.Record
		if err := json.Unmarshal([]byte(line), &r); err != nil {
			t.Fatal(err)
		}
		if r.Kind == trace.Notified {
			got = append(got, notification{r.Backend, r.State, r.T > delay.Microseconds()/2})
		}
	}
	want := []notification{{"b", trace.Terminating, true}, {"b", trace.Ready, false}, {"b", trace.Ready, true}, {"c", trace.Terminating, true},
		{"b", trace.Ready, false}, {"b", trace.Ready, true}, {"c", trace.Terminating, false}}
	if !slices.Equal(got, want) {
		t.Errorf("notified %v, want %v", got, want)
	}
}
