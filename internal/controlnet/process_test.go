package controlnet

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/parents"
	"craneglade/internal/controlplane/publisher"
	"craneglade/internal/controlplane/resource"
	"craneglade/internal/controlplane/subscriber"
	"craneglade/internal/peers/frame"
)

const patience = 30 * time.Second

var testKey = bytes.Repeat([]byte{7}, 16)

// logText is a log that a test reads while it is written.
type logText struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logText) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logText) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// harness is a process under test with its log.
type harness struct {
	*Process
	t       *testing.T
	log     *logText
	address string
	stop    context.CancelFunc
	ended   chan struct{}
}

// started runs a process until the test ends, and wants all of its goroutines to end then.
func started(t *testing.T, cfg Config, listens bool) *harness {
	t.Helper()
	h := &harness{t: t, log: &logText{}, ended: make(chan struct{})}
	cfg.Keys, cfg.Cluster, cfg.Log = [][]byte{testKey}, "test", slog.New(slog.NewTextHandler(h.log, nil))
	if cfg.Clock == nil {
		cfg.Clock = monotonic()
	}
	if cfg.StaleAfter == 0 {
		cfg.StaleAfter = patience
	}
	var ln net.Listener
	if listens {
		var err error
		if ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		h.address = ln.Addr().String()
	}
	h.Process = NewProcess(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	go func() {
		defer close(h.ended)
		h.Run(ctx, ln)
	}()
	t.Cleanup(func() {
		cancel()
		select {
		case <-h.ended:
		case <-time.After(patience):
			t.Error("the process does not end")
		}
	})
	return h
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: did not come", what)
		}
	}
}

// parent is a process that serves the log of a region.
type parent struct {
	*harness
	store *changelog.Store
}

func newParent(t *testing.T, maxSubscribers int) *parent {
	t.Helper()
	store := changelog.NewStore("north", changelog.Limits{})
	p := publisher.New(publisher.Config{HeartbeatInterval: 20 * time.Millisecond})
	p.Publish(store)
	return &parent{started(t, Config{Name: "parent", Publisher: p, MaxSubscribers: maxSubscribers}, true), store}
}

// set changes the quota of a tenant of the service "a", which is there from the first change on.
func (p *parent) set(quota float64) {
	p.t.Helper()
	changes := []resource.Change{
		{Resource: resource.Resource{Key: resource.Key{Service: "a", Kind: resource.KindService, Name: "a"},
			Service: &resource.Service{Region: "north", MaxAttempts: 1}}},
		{Resource: resource.Resource{Key: resource.Key{Service: "a", Kind: resource.KindTenant, Name: "t"}, Tenant: &resource.Tenant{Quota: quota}}}}
	var err error
	p.Do(func() { _, err = p.store.Append(1, changes) })
	if err != nil {
		p.t.Fatal(err)
	}
}

// child is a configuration of a process that subscribes to a parent at an address.
func child(address string, applied func(Update)) Config {
	s := subscriber.New(subscriber.Config{Name: "child", Regions: []string{"north"}, Filter: changelog.Filter{Services: []string{"a"}},
		Candidates: []parents.Candidate{{Name: "parent", Address: address}}, Limits: LimitsFor(time.Second)}, 0)
	return Config{Name: "child", Subscribers: []*subscriber.Subscriber{s}, Applied: applied}
}

func TestChangesReachASubscriber(t *testing.T) {
	p := newParent(t, 10)
	news := make(chan Update, 100)
	c := started(t, child(p.address, func(n Update) { news <- n }), false)
	for i := range 5 {
		p.set(float64(i))
		eventually(t, "the change", func() bool {
			n := <-news
			return n.Position == resource.Position{Epoch: 1, Version: uint64(i + 1)} && !n.Late
		})
	}
	eventually(t, "the acknowledgement", func() bool {
		s := p.Status()
		return len(s.Subscribers) == 1 && s.Subscribers[0].Position.Version == 5 && s.Names[s.Subscribers[0].Session] == "child"
	})
	if s := c.Status(); s.Counts.Received == 0 || s.Counts.SentBytes == 0 || s.Counts.Invalid > 0 {
		t.Errorf("%+v", s.Counts)
	}
	if text := c.log.String(); strings.Count(text, "is streamed from") != 1 {
		t.Errorf("the log of the child, want one line of its source:\n%s", text)
	}
	c.stop()
	<-c.ended
	eventually(t, "the end of the session at the parent", func() bool { return len(p.Status().Names) == 0 })
}

// While news are brought into force the lock is free: the process still answers.
func TestNewsAreAppliedWithoutTheLock(t *testing.T) {
	p := newParent(t, 10)
	applying, release := make(chan struct{}), make(chan struct{})
	c := started(t, child(p.address, func(Update) {
		close(applying)
		<-release
	}), false)
	p.set(1)
	<-applying
	c.Status()
	received := c.Status().Counts.Received
	eventually(t, "further messages meanwhile", func() bool { return c.Status().Counts.Received > received })
	close(release)
}

// What comes after nothing came for long may have been told a while ago.
func TestNewsAfterASilenceAreLate(t *testing.T) {
	p := newParent(t, 10)
	news := make(chan Update, 100)
	var mu sync.Mutex
	var ahead time.Duration
	clock := monotonic()
	cfg := child(p.address, func(n Update) { news <- n })
	cfg.StaleAfter = 10 * time.Second
	cfg.Clock = func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return clock() + ahead
	}
	started(t, cfg, false)
	p.set(1)
	if n := <-news; n.Late {
		t.Error("the first news are late")
	}
	mu.Lock()
	ahead = time.Minute // as a process that was stopped wakes
	mu.Unlock()
	p.set(2)
	if n := <-news; !n.Late {
		t.Error("news after a minute's silence are not late")
	}
}

// A parent under another name than the settings say is no parent.
func TestAParentOfAnotherName(t *testing.T) {
	p := newParent(t, 10)
	s := subscriber.New(subscriber.Config{Name: "child", Regions: []string{"north"}, Filter: changelog.Filter{All: true},
		Candidates: []parents.Candidate{{Name: "other", Address: p.address}, {Name: "nowhere", Address: "name.example:1"}}, Limits: LimitsFor(time.Second)}, 0)
	c := started(t, Config{Name: "child", Subscribers: []*subscriber.Subscriber{s}}, false)
	eventually(t, "a line about the name", func() bool {
		return strings.Contains(c.log.String(), `a process has another name than the settings say`)
	})
	if got := c.Status().Parents[0].Connected; len(got) > 0 {
		t.Errorf("connected to %q", got)
	}
}

// client is the other side of a session, driven by a test.
func client(t *testing.T, address, name string) *frame.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	c, err := frame.Dial(conn, frame.Config{Keys: [][]byte{testKey}, Cluster: "test", Handshake: patience, ReadTimeout: patience, WriteTimeout: patience})
	if err != nil {
		t.Fatal(err)
	}
	greeting := append([]byte{1<<3 | 2, byte(len(name))}, name...)
	if err := c.Write(append(greeting, 15<<3, 1)); err != nil { // with a field of a later version
		t.Fatal(err)
	}
	return c
}

func TestSubscribersOverTheLimit(t *testing.T) {
	p := newParent(t, 1)
	first := client(t, p.address, "first")
	if _, err := first.Read(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the first", func() bool { return len(p.Status().Names) == 1 })
	second := client(t, p.address, "second")
	var err error
	for err == nil {
		_, err = second.Read()
	}
	if s := p.Status(); s.Counts.Rejected != 1 || len(s.Names) != 1 || s.Counts.FailedHandshakes > 0 {
		t.Errorf("%+v", s)
	}
}

// More connections at their beginning than are taken at a time wait for their turn, here until the handshakes of those
// before them time out: none is turned away.
func TestConnectionsBeyondTheHandshakesWait(t *testing.T) {
	t.Parallel()
	p := newParent(t, 10)
	for range maxHandshakes {
		conn, err := net.Dial("tcp", p.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	client(t, p.address, "late")
	eventually(t, "the late one", func() bool { return len(p.Status().Names) == 1 })
	if s := p.Status(); s.Counts.Rejected != 0 {
		t.Errorf("%d were turned away", s.Counts.Rejected)
	}
}

// What can't be read as a message is counted, dropped and told in one line, and the session goes on.
func TestUnreadableMessages(t *testing.T) {
	p := newParent(t, 10)
	c := client(t, p.address, "client")
	for range 5 {
		if err := c.Write([]byte{0xff, 0xff, 0xff}); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.Write(message.Encode(&message.Subscribe{Region: "north", All: true})); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the subscription", func() bool { return len(p.Status().Subscribers) == 1 })
	if s := p.Status(); s.Counts.Invalid != 5 || s.Names[s.Subscribers[0].Session] != "client" {
		t.Errorf("%+v", s)
	}
	if n := strings.Count(p.log.String(), "a message that can't be read was dropped"); n != 1 {
		t.Errorf("%d lines of it in the log", n)
	}
}

func TestGreetings(t *testing.T) {
	p := newParent(t, 10)
	for _, name := range []string{"", "two words", "a\nline", strings.Repeat("x", 127) + "é"} {
		c := client(t, p.address, name)
		var err error
		for err == nil {
			_, err = c.Read()
		}
	}
	eventually(t, "strangers", func() bool { return p.Status().Counts.FailedHandshakes == 4 })
}

// A session whose other side does not read ends once its queue is full, and nobody waits for it.
func TestASlowReader(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	near, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	cfg := frame.Config{Keys: [][]byte{testKey}, Cluster: "test", Handshake: patience, ReadTimeout: patience, WriteTimeout: patience}
	process := NewProcess(Config{Name: "here", Keys: cfg.Keys, Cluster: cfg.Cluster, Clock: monotonic(), Log: slog.New(slog.DiscardHandler)})
	var s *session
	var begun sync.WaitGroup
	begun.Go(func() {
		framed, err := frame.Accept(far, cfg)
		if err == nil {
			s, err = greet(framed, process, asSubscriber, nil)
		}
		if err != nil {
			t.Error(err)
		}
	})
	framed, err := frame.Dial(near, cfg)
	if err == nil {
		err = framed.Write([]byte{1<<3 | 2, 4, 's', 'l', 'o', 'w'})
	}
	begun.Wait()
	if err != nil || s == nil || s.peer != "slow" {
		t.Fatalf("%v, %+v", err, s)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.run(context.Background(), func(received) {}, func(error) {}) }()
	for range 64 {
		s.send(make([]byte, 1<<20))
	}
	if err := <-ended; err != errSlow || process.counters.slow.Load() != 1 {
		t.Errorf("ended: %v, counted %d", err, process.counters.slow.Load())
	}
}

// The times of a subscriber are in proportion to the silence after which it gives a parent up.
func TestLimitsFor(t *testing.T) {
	usual, half := subscriber.DefaultLimits(), LimitsFor(subscriber.DefaultLimits().Silence/2)
	if got := LimitsFor(usual.Silence); got != usual {
		t.Errorf("%+v", got)
	}
	if half.Lag != usual.Lag/2 || half.BackoffLimit != usual.BackoffLimit/2 || half.Connect != usual.Connect || half.RetryPerSec != usual.RetryPerSec*2 {
		t.Errorf("%+v", half)
	}
}

func TestThrottle(t *testing.T) {
	log := &logText{}
	var now time.Duration
	limited := newThrottle(slog.New(slog.NewTextHandler(log, nil)), func() time.Duration { return now })
	for range 5 {
		limited.warn("one")
		limited.warn("another")
	}
	now = throttleInterval
	limited.warn("one")
	if text := log.String(); strings.Count(text, "msg=one") != 2 || strings.Count(text, "msg=another") != 1 || !strings.Contains(text, "omitted=4") {
		t.Error(fmt.Sprint("the log is\n", text))
	}
}

// A parent of a later version sends fields that this one can't read, and counts them in its digest. The state is taken all
// the same, and not asked for again and again.
func TestAParentOfALaterVersion(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	asked := make(chan *message.Subscribe, 100)
	go serveLaterVersion(ln, asked)
	news := make(chan Update, 10)
	c := started(t, child(ln.Addr().String(), func(n Update) { news <- n }), false)
	select {
	case n := <-news:
		if len(n.Changes) != 1 || n.Position != (resource.Position{Epoch: 1, Version: 1}) {
			t.Errorf("%+v", n)
		}
	case <-time.After(patience):
		t.Fatalf("nothing came into force; the state: %+v", c.Status().Parents)
	}
	if len(asked) != 1 {
		t.Errorf("asked for the log %d times", len(asked))
	}
}

// serveLaterVersion answers the first subscription on ln with a snapshot that holds what no reader of this version knows.
func serveLaterVersion(ln net.Listener, asked chan<- *message.Subscribe) {
	raw, err := ln.Accept()
	if err != nil {
		return
	}
	defer raw.Close()
	conn, err := frame.Accept(raw, frame.Config{Keys: [][]byte{testKey}, Cluster: "test", Handshake: patience, ReadTimeout: patience, WriteTimeout: patience})
	if err != nil {
		return
	}
	all := []resource.Resource{{Key: resource.Key{Service: "a", Kind: resource.KindService, Name: "a"}, Service: &resource.Service{Region: "north", MaxAttempts: 1}}}
	part := &message.SnapshotPart{Region: "north", Position: resource.Position{Epoch: 1, Version: 1}, Last: true, Resources: all, Digest: message.DigestOf(all) + 1}
	later := withUnknownFields(message.Encode(part))
	for greeted := false; ; {
		text, err := conn.Read()
		if err != nil {
			return
		}
		if !greeted {
			greeted = true
			conn.Write(greeting("parent", asSubscriber))
			continue
		}
		messages, _, _ := message.Decode(text)
		for _, m := range messages {
			if subscribe, ok := m.(*message.Subscribe); ok {
				asked <- subscribe
				conn.Write(later)
			}
		}
	}
}

// withUnknownFields adds a field of a later version to each message of a frame.
func withUnknownFields(frame []byte) []byte {
	var later []byte
	for len(frame) > 0 {
		number, kind, tag := protowire.ConsumeTag(frame)
		size := protowire.ConsumeFieldValue(number, kind, frame[tag:])
		field := frame[:tag+size]
		frame = frame[tag+size:]
		if kind != protowire.BytesType {
			later = append(later, field...)
			continue
		}
		body, _ := protowire.ConsumeBytes(field[tag:])
		body = protowire.AppendVarint(protowire.AppendTag(bytes.Clone(body), 100, protowire.VarintType), 7)
		later = protowire.AppendBytes(protowire.AppendTag(later, number, kind), body)
	}
	return later
}
