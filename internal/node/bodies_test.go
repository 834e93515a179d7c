package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"craneglade/internal/bodies"
	"craneglade/internal/engine"
	"craneglade/internal/message"
	"craneglade/internal/settings"
	"craneglade/internal/tomlfile"
	"craneglade/policy"
)

// disk is a file system in memory that fails as a test says.
type disk struct {
	mu                  sync.Mutex
	create, write, read error
	writes              int // that still go well before write counts; -1 for any number
	hang                chan struct{}
	open                int
}

type diskFile struct {
	d    *disk
	data []byte
}

func (d *disk) set(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

func (d *disk) wait() {
	d.mu.Lock()
	h := d.hang
	d.mu.Unlock()
	if h != nil {
		<-h
	}
}

func (d *disk) Create(int64) (bodies.File, error) {
	d.wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.create != nil {
		return nil, d.create
	}
	d.open++
	return &diskFile{d: d}, nil
}

func (f *diskFile) WriteAt(p []byte, off int64) (int, error) {
	f.d.wait()
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if f.d.write != nil {
		if f.d.writes == 0 {
			return 0, f.d.write
		}
		f.d.writes--
	}
	f.data = append(f.data[:off], p...)
	return len(p), nil
}

func (f *diskFile) ReadAt(p []byte, off int64) (int, error) {
	f.d.wait()
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if f.d.read != nil {
		return 0, f.d.read
	}
	return copy(p, f.data[off:]), nil
}

func (f *diskFile) Close() error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	f.d.open--
	return nil
}

// roomForBodies is what a tieredRig's bodies have in memory, beside the heads of 60 requests.
const roomForBodies = 300 << 10

// tieredRig is a node whose saves of up to 1 MiB are kept in memory up to 100 KiB each, else on a disk of 2 MiB, else
// sent once. Quotes may be on disk, but are never streamed.
func tieredRig(t *testing.T, d *disk, b *box, wait time.Duration) *rig {
	t.Helper()
	own := &settings.File{Bodies: settings.Bodies{Memory: roomForBodies, Classes: []settings.Class{
		{Name: "save", MaxSize: 1 << 20, MaxInMemory: 100 << 10, AllowDisk: true, AllowStream: true},
		{Name: "quote", MaxSize: 1 << 20, MaxInMemory: 100 << 10, AllowDisk: true}}}}
	r := newRig(t, newRegistry(t), settingsJSON, func(c *Config) {
		c.Own = own
	}, b.entry("s-1"))
	if d != nil {
		r.bodies.UseDisk(d, settings.Disk{Workers: 4, Deadline: tomlfile.Duration(wait)})
		r.bodies.SetLimits(bodies.Limits{Memory: roomForBodies, Heads: 60 * message.HeadCost, Disk: 2 << 20})
	}
	return r
}

// tiers is how many bodies each tier was given.
func (r *rig) tiers() [3]int64 {
	b := r.bodies
	return [3]int64{b.Placed(bodies.Memory), b.Placed(bodies.Disk), b.Placed(bodies.Streamed)}
}

// empty waits until no body is held any more.
func (r *rig) empty(t *testing.T, d *disk) {
	t.Helper()
	wait(t, "the room of all bodies", func() bool {
		return r.bodies.Held() == 0 && r.bodies.Used(bodies.Memory) == 0 && r.bodies.Used(bodies.Disk) == 0
	})
	wait(t, "the close of all files", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.open == 0
	})
}

func big(id string, size int) call {
	c := save(id)
	c.body = strings.Repeat("frame "+id+" ", size/(7+len(id))+1)[:size]
	return c
}

// echo answers with the length and the end of what came, so that a body that was mixed up shows.
func echo(c net.Conn, r *http.Request, _ int) bool {
	body, _ := io.ReadAll(r.Body)
	return reply(c, 200, "", fmt.Sprintf("%s %d %x", r.Header.Get("X-Request-Id"), len(body), sum(string(body))))
}

func sum(s string) uint32 {
	h := uint32(2166136261)
	for i := range len(s) {
		h = (h ^ uint32(s[i])) * 16777619
	}
	return h
}

func (c call) echoed() string { return fmt.Sprintf("%s %d %x", c.id, len(c.body), sum(c.body)) }

func TestEachTierCarriesItsBodies(t *testing.T) {
	t.Parallel()
	d := &disk{}
	b := newBox(t, echo)
	r := tieredRig(t, d, b, patience)
	c := r.dial(t)
	for i, x := range []struct {
		size int
		want [3]int64
	}{{50 << 10, [3]int64{1, 0, 0}}, {200 << 10, [3]int64{1, 1, 0}}, {1 << 20, [3]int64{1, 2, 0}}} {
		q := big(fmt.Sprint("r", i), x.size)
		if resp, body := c.ask(q); resp.StatusCode != 200 || body != q.echoed() || r.tiers() != x.want {
			t.Errorf("%d bytes: %d %.60q, tiers %v", x.size, resp.StatusCode, body, r.tiers())
		}
	}
	// No room on disk for another: streamed, and the connection is free for the next request.
	d.set(func() { d.create = syscall.ENOSPC })
	for i := range 3 {
		q := big(fmt.Sprint("s", i), 300<<10)
		if resp, body := c.ask(q); resp.StatusCode != 200 || body != q.echoed() {
			t.Errorf("streamed: %d %.60q", resp.StatusCode, body)
		}
	}
	if r.tiers()[2] != 3 {
		t.Errorf("tiers %v", r.tiers())
	}
	if resp, _ := r.dial(t).ask(big("t", 1<<20+1)); resp.StatusCode != 413 {
		t.Errorf("over the most: %d", resp.StatusCode)
	}
	q := big("u", 200<<10)
	q.class, q.key = "quote", ""
	if resp, _ := r.dial(t).ask(q); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("a quote with no tier left: %d", resp.StatusCode)
	}
	r.empty(t, d)
}

// What is kept goes again; what was streamed does not, whatever its class, and still gets its one answer.
func TestSecondAttempts(t *testing.T) {
	t.Parallel()
	d := &disk{}
	var lose atomic.Bool
	b := newBox(t, func(c net.Conn, r *http.Request, nth int) bool {
		if lose.CompareAndSwap(true, false) {
			return false // reset: it may have run
		}
		return echo(c, r, nth)
	})
	other := newBox(t, echo)
	r := tieredRig(t, d, b, patience)
	both := &engine.List{Version: 2, Full: true, Servers: []engine.Listed{b.entry("s-1"), other.entry("s-2")}}
	r.engine.News(r.list, both, policy.ListFull, func(int64) bool { return true })
	attempts := func() int { return len(b.requests()) + len(other.requests()) }
	for _, x := range []struct {
		name     string
		size     int
		disk     error
		status   int
		attempts int
	}{{"memory", 50 << 10, nil, 200, 2}, {"disk", 200 << 10, nil, 200, 2}, {"once", 200 << 10, syscall.ENOSPC, 500, 1}} {
		d.set(func() { d.create = x.disk })
		for i := 0; ; i++ { // until the box that loses it is the one that is tried
			before := attempts()
			lose.Store(true)
			q := big(fmt.Sprintf("%s-%d", x.name, i), x.size)
			resp, body := r.dial(t).ask(q)
			if lose.Load() {
				if resp.StatusCode != 200 {
					t.Errorf("%s: %d where nothing was lost", x.name, resp.StatusCode)
				}
				continue
			}
			if resp.StatusCode != x.status || resp.StatusCode == 200 && body != q.echoed() || attempts()-before != x.attempts {
				t.Errorf("%s: %d %.60q after %d attempts", x.name, resp.StatusCode, body, attempts()-before)
			}
			break
		}
	}
	r.empty(t, d)
}

func TestDiskFailsUnderABody(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name   string
		fault  func(d *disk)
		status int
	}{
		{"no room in the middle", func(d *disk) { d.write, d.writes = syscall.ENOSPC, 3 }, 200},
		{"an error in the middle, and what was written can't be read", func(d *disk) { d.write, d.writes, d.read = syscall.EIO, 3, syscall.EIO }, 503},
		{"EIO on reading back", func(d *disk) { d.read = syscall.EIO }, 503},
		{"read-only", func(d *disk) { d.create = syscall.EROFS }, 200},
		{"it hangs", func(d *disk) { d.hang = make(chan struct{}) }, 200},
	} {
		d := &disk{}
		b := newBox(t, echo)
		x.fault(d)
		wait := patience // no machine is so slow
		if d.hang != nil {
			wait = 20 * time.Millisecond
		}
		r := tieredRig(t, d, b, wait)
		q := big("r1", 400<<10)
		resp, body := r.dial(t).ask(q)
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

// The tier is closed after a failure, known to be, and tried again later by one body.
func TestDiskIsTriedAgain(t *testing.T) {
	t.Parallel()
	d := &disk{create: syscall.ENOSPC}
	r := tieredRig(t, d, newBox(t, echo), patience)
	c := r.dial(t)
	c.ask(big("r0", 200<<10))
	d.set(func() { d.create = nil })
	wait(t, "bodies on disk", func() bool {
		q := big(fmt.Sprint("r", time.Now().UnixNano()), 200<<10)
		if resp, body := c.ask(q); resp.StatusCode != 200 || body != q.echoed() {
			t.Fatalf("%d %.60q", resp.StatusCode, body)
		}
		return r.tiers()[1] >= 4 // of which two were tried in vain
	})
}

// All tiers full at once, with a disk that fails now and then: every request gets exactly one final answer, all room is
// given back, and no total was overspent meanwhile.
func TestAllTiersFullAtOnce(t *testing.T) {
	t.Parallel()
	d := &disk{}
	hold := make(chan struct{})
	let := sync.OnceFunc(func() { close(hold) })
	defer let() // the box's end waits for its answers
	b := newBox(t, func(c net.Conn, r *http.Request, nth int) bool {
		<-hold
		return echo(c, r, nth)
	})
	r := tieredRig(t, d, b, patience)
	var wg sync.WaitGroup
	var served, refused, other atomic.Int64
	for i := range 60 {
		q := big(fmt.Sprint("r", i), []int{80 << 10, 200 << 10, 700 << 10}[i%3])
		c := r.dial(t)
		wg.Add(1)
		go func() {
			defer wg.Done()
			if _, err := io.WriteString(c, q.text()); err != nil {
				other.Add(1)
				return
			}
			resp, err := http.ReadResponse(c.in, nil)
			if err != nil {
				other.Add(1)
				return
			}
			body, _ := io.ReadAll(resp.Body)
			switch {
			case resp.StatusCode == 200 && string(body) == q.echoed():
				served.Add(1)
			case resp.StatusCode == 503:
				refused.Add(1)
			default:
				other.Add(1)
			}
			if resp.StatusCode == 200 { // nothing may follow
				c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
				if n, _ := c.in.Read(make([]byte, 1)); n > 0 {
					t.Errorf("%s: something follows its answer", q.id)
				}
			}
		}()
		if i == 30 {
			d.set(func() { d.create = syscall.EIO })
		}
	}
	wait(t, "full tiers", func() bool { n := r.tiers(); return n[0] >= 3 && n[1] >= 2 && n[0]+n[1]+n[2] >= 55 })
	memory, onDisk := r.bodies.Used(bodies.Memory), r.bodies.Used(bodies.Disk)
	if memory > roomForBodies || onDisk > 2<<20 {
		t.Errorf("%d bytes in memory and %d on disk", memory, onDisk)
	}
	let()
	wg.Wait()
	if served.Load()+refused.Load() != 60 || other.Load() != 0 || served.Load() < 20 {
		t.Errorf("%d served, %d refused, %d neither", served.Load(), refused.Load(), other.Load())
	}
	r.empty(t, d)
}

// A client that stops in the middle of a body that is streamed costs the backend nothing and is told so.
func TestClientStopsInAStreamedBody(t *testing.T) {
	t.Parallel()
	d := &disk{create: syscall.ENOSPC}
	b := newBox(t, echo)
	r := tieredRig(t, d, b, patience)
	q := big("r1", 300<<10)
	c := r.dial(t)
	c.send(q.text()[:100<<10])
	c.Conn.(*net.TCPConn).CloseWrite()
	if resp, _ := c.answer(); resp.StatusCode != 400 {
		t.Errorf("half a body: %d", resp.StatusCode)
	}
	if len(b.requests()) != 0 {
		t.Error("half a request reached the box whole")
	}
	r.empty(t, d)
}

// Without a file of our own nothing larger than the protocol's bodies is taken.
func TestUsualBodies(t *testing.T) {
	t.Parallel()
	r := newRig(t, newRegistry(t), settingsJSON, nil, newBox(t, echo).entry("s-1"))
	q := big("r1", message.MaxBody)
	if resp, body := r.dial(t).ask(q); resp.StatusCode != 200 || body != q.echoed() {
		t.Errorf("%d", resp.StatusCode)
	}
	if resp, _ := r.dial(t).ask(big("r2", message.MaxBody+1)); resp.StatusCode != 413 {
		t.Errorf("%d", resp.StatusCode)
	}
}

// Answers beyond memory are streamed: whole to a client that reads, cut visibly where the box breaks off, and no longer
// than writeTime to one that does not read.
func TestLargeAnswers(t *testing.T) {
	t.Parallel()
	large := strings.Repeat("a large price list ", 50000)
	b := newBox(t, func(c net.Conn, r *http.Request, nth int) bool {
		switch {
		case strings.HasPrefix(r.Header.Get("X-Request-Id"), "cut"):
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(large), large[:len(large)/2])
			return false
		case strings.HasPrefix(r.Header.Get("X-Request-Id"), "over"):
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 2<<20)
			return true
		}
		return reply(c, 200, "", large)
	})
	r := newRig(t, newRegistry(t), settingsJSON, func(c *Config) {
		c.Own = &settings.File{Bodies: settings.Bodies{MaxAnswer: 1 << 20}}
	}, b.entry("s-1"))
	c := r.dial(t)
	for i := range 3 {
		if resp, body := c.ask(view(fmt.Sprint("r", i))); resp.StatusCode != 200 || body != large {
			t.Errorf("%d, %d bytes of %d", resp.StatusCode, len(body), len(large))
		}
	}
	if n := b.connections(); n != 1 {
		t.Errorf("%d connections to the box: a whole answer leaves its connection sound", n)
	}
	if resp, _ := r.dial(t).ask(quote("over")); resp.StatusCode != 500 {
		t.Errorf("over the most: %d", resp.StatusCode)
	}
	c = r.dial(t)
	c.send(quote("cut").text())
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(resp.Body); err != io.ErrUnexpectedEOF || len(got) >= len(large) {
		t.Errorf("a broken answer reads as %d bytes, %v", len(got), err)
	}
	// One that never reads: its connection ends, and with it the request.
	c = r.dial(t)
	c.Conn.(*net.TCPConn).SetReadBuffer(4096)
	for i := range 2 {
		c.send(view(fmt.Sprint("deaf", i)).text())
	}
	wait(t, "the end of its request", func() bool {
		return r.engine.Open() == 0
	})
}

// With no memory left a request is told so before anything is done for it, an answer is passed on while it comes, and all
// room is given back whoever leaves when.
func TestOneTotalOfMemory(t *testing.T) {
	t.Parallel()
	release, let := gate()
	defer let()
	b := newBox(t, func(c net.Conn, r *http.Request, nth int) bool {
		if strings.HasPrefix(r.Header.Get("X-Request-Id"), "held") {
			<-release
		}
		return reply(c, 200, "", strings.Repeat("x", 30<<10))
	})
	r := newRig(t, newRegistry(t), settingsJSON, nil, b.entry("s-1"))
	r.bodies.SetLimits(bodies.Limits{Memory: 2 * message.HeadCost, Heads: message.HeadCost})
	var held []*client
	for i := range 2 {
		c := r.dial(t)
		c.send(view(fmt.Sprint("held-", i)).text())
		held = append(held, c)
	}
	wait(t, "two at the box", func() bool { return len(b.requests()) == 2 })
	// A third has room, its answer of 30 KiB has none beside it, and is streamed.
	if resp, body := r.dial(t).ask(view("third")); resp.StatusCode != 200 || len(body) != 30<<10 {
		t.Errorf("third: %d, %d bytes", resp.StatusCode, len(body))
	}
	// Its client has the last byte before the node has closed its book on it: until then its head's room is taken.
	wait(t, "the third's room", func() bool { return r.bodies.Held() <= 2*message.HeadCost })
	c := r.dial(t)
	c.send(view("held-2").text())
	wait(t, "three at the box", func() bool { return len(b.requests()) == 4 })
	if resp, _ := r.dial(t).ask(view("fourth")); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("fourth: %d", resp.StatusCode)
	}
	c.Close()
	held[0].Close()
	let()
	if resp, body := held[1].answer(); resp.StatusCode != 200 || len(body) != 30<<10 {
		t.Errorf("held: %d, %d bytes", resp.StatusCode, len(body))
	}
	r.empty(t, &disk{})
}
