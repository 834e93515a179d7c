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

const testTimeout = 30 * time.Second

var testKey = bytes.Repeat([]byte{7}, 16)

// logBuffer is a log that can be read while it is written.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// testProcess is a process under test with its log.
type testProcess struct {
	*Process
	t       *testing.T
	log     *logBuffer
	address string
	stop    context.CancelFunc
	done    chan struct{}
}

// startProcess runs a process until the test ends, and fails the test if its goroutines do not end then.
func startProcess(t *testing.T, cfg Config, listens bool) *testProcess {
	t.Helper()
	h := &testProcess{t: t, log: &logBuffer{}, done: make(chan struct{})}
	cfg.Keys, cfg.Cluster, cfg.Log = [][]byte{testKey}, "test", slog.New(slog.NewTextHandler(h.log, nil))
	if cfg.Clock == nil {
		cfg.Clock = monotonicClock()
	}
	if cfg.StaleAfter == 0 {
		cfg.StaleAfter = testTimeout
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
		defer close(h.done)
		h.Run(ctx, ln)
	}()
	t.Cleanup(func() {
		cancel()
		select {
		case <-h.done:
		case <-time.After(testTimeout):
			t.Error("the process does not stop")
		}
	})
	return h
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// parent is a test process that publishes the log of a region.
type parent struct {
	*testProcess
	store *changelog.Store
}

func newParent(t *testing.T, maxSubscribers int) *parent {
	t.Helper()
	store := changelog.NewStore("north", changelog.Limits{})
	p := publisher.New(publisher.Config{HeartbeatInterval: 20 * time.Millisecond})
	p.Publish(store)
	return &parent{startProcess(t, Config{Name: "parent", Publisher: p, MaxSubscribers: maxSubscribers}, true), store}
}

// set changes the quota of a tenant of the service "a", and creates both on the first call.
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

// childConfig returns the configuration of a process that subscribes to a parent at an address.
func childConfig(address string, applied func(Update)) Config {
	s := subscriber.New(subscriber.Config{Name: "child", Regions: []string{"north"}, Filter: changelog.Filter{Services: []string{"a"}},
		Candidates: []parents.Candidate{{Name: "parent", Address: address}}, Limits: LimitsFor(time.Second)}, 0)
	return Config{Name: "child", Subscribers: []*subscriber.Subscriber{s}, Applied: applied}
}

func TestChangesReachSubscriber(t *testing.T) {
	p := newParent(t, 10)
	updates := make(chan Update, 100)
	c := startProcess(t, childConfig(p.address, func(n Update) { updates <- n }), false)
	for i := range 5 {
		p.set(float64(i))
		eventually(t, "the change", func() bool {
			n := <-updates
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
		t.Errorf("the log of the child, want one line about its source:\n%s", text)
	}
	c.stop()
	<-c.done
	eventually(t, "the end of the session at the parent", func() bool { return len(p.Status().Names) == 0 })
}

// The Applied callback may be slow: it must run without the lock, so that the process still receives and reports its status.
func TestUpdatesAreAppliedWithoutLock(t *testing.T) {
	p := newParent(t, 10)
	applying, release := make(chan struct{}), make(chan struct{})
	c := startProcess(t, childConfig(p.address, func(Update) {
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

// Updates that arrive after a long silence may have been published a while ago, and must be marked Late.
func TestUpdatesAfterSilenceAreLate(t *testing.T) {
	p := newParent(t, 10)
	updates := make(chan Update, 100)
	var mu sync.Mutex
	var offset time.Duration
	clock := monotonicClock()
	cfg := childConfig(p.address, func(n Update) { updates <- n })
	cfg.StaleAfter = 10 * time.Second
	cfg.Clock = func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return clock() + offset
	}
	startProcess(t, cfg, false)
	p.set(1)
	if n := <-updates; n.Late {
		t.Error("the first update is late")
	}
	mu.Lock()
	offset = time.Minute // as if the process was stopped and woken
	mu.Unlock()
	p.set(2)
	if n := <-updates; !n.Late {
		t.Error("the update after a minute's silence is not late")
	}
}

// A process with another name than configured for its address must not be used as a parent; host names are not resolved.
func TestParentWithOtherNameIsRejected(t *testing.T) {
	p := newParent(t, 10)
	s := subscriber.New(subscriber.Config{Name: "child", Regions: []string{"north"}, Filter: changelog.Filter{All: true},
		Candidates: []parents.Candidate{{Name: "other", Address: p.address}, {Name: "nowhere", Address: "name.example:1"}}, Limits: LimitsFor(time.Second)}, 0)
	c := startProcess(t, Config{Name: "child", Subscribers: []*subscriber.Subscriber{s}}, false)
	eventually(t, "a log line about the name", func() bool {
		return strings.Contains(c.log.String(), `peer name differs from the configured name`)
	})
	if got := c.Status().Parents[0].Connected; len(got) > 0 {
		t.Errorf("connected to %q", got)
	}
}

// dialSession opens a session as a subscriber, with a greeting of a later version.
func dialSession(t *testing.T, address, name string) *frame.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	c, err := frame.Dial(conn, frame.Config{Keys: [][]byte{testKey}, Cluster: "test", Handshake: testTimeout, ReadTimeout: testTimeout, WriteTimeout: testTimeout})
	if err != nil {
		t.Fatal(err)
	}
	greeting := append([]byte{1<<3 | 2, byte(len(name))}, name...)
	if err := c.Write(append(greeting, 15<<3, 1)); err != nil { // an unknown field
		t.Fatal(err)
	}
	return c
}

func TestSubscribersOverLimitAreRejected(t *testing.T) {
	p := newParent(t, 1)
	first := dialSession(t, p.address, "first")
	if _, err := first.Read(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the first", func() bool { return len(p.Status().Names) == 1 })
	second := dialSession(t, p.address, "second")
	var err error
	for err == nil {
		_, err = second.Read()
	}
	if s := p.Status(); s.Counts.Rejected != 1 || len(s.Names) != 1 || s.Counts.FailedHandshakes > 0 {
		t.Errorf("%+v", s)
	}
}

// Connections beyond maxHandshakes wait for a free handshake slot, here until the earlier handshakes time out. None may be
// rejected.
func TestConnectionsWaitForHandshakeSlot(t *testing.T) {
	t.Parallel()
	p := newParent(t, 10)
	for range maxHandshakes {
		conn, err := net.Dial("tcp", p.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	dialSession(t, p.address, "late")
	eventually(t, "the late one", func() bool { return len(p.Status().Names) == 1 })
	if s := p.Status(); s.Counts.Rejected != 0 {
		t.Errorf("%d were rejected", s.Counts.Rejected)
	}
}

// Undecodable messages are counted, dropped and logged in one line; the session must continue.
func TestUnreadableMessagesAreDropped(t *testing.T) {
	p := newParent(t, 10)
	c := dialSession(t, p.address, "client")
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
		t.Errorf("%d log lines about it", n)
	}
}

func TestInvalidGreetingsAreRejected(t *testing.T) {
	p := newParent(t, 10)
	for _, name := range []string{"", "two words", "a\nline", strings.Repeat("x", 127) + "é"} {
		c := dialSession(t, p.address, name)
		var err error
		for err == nil {
			_, err = c.Read()
		}
	}
	eventually(t, "strangers", func() bool { return p.Status().Counts.FailedHandshakes == 4 })
}

// A session whose peer does not read must end once its send queue is full, without blocking the sender.
func TestSlowReaderIsDisconnected(t *testing.T) {
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
	cfg := frame.Config{Keys: [][]byte{testKey}, Cluster: "test", Handshake: testTimeout, ReadTimeout: testTimeout, WriteTimeout: testTimeout}
	process := NewProcess(Config{Name: "here", Keys: cfg.Keys, Cluster: cfg.Cluster, Clock: monotonicClock(), Log: slog.New(slog.DiscardHandler)})
	var s *session
	var accepted sync.WaitGroup
	accepted.Go(func() {
		framed, err := frame.Accept(far, cfg)
		if err == nil {
			s, err = exchangeGreetings(framed, process, roleSubscriber, nil)
		}
		if err != nil {
			t.Error(err)
		}
	})
	framed, err := frame.Dial(near, cfg)
	if err == nil {
		err = framed.Write([]byte{1<<3 | 2, 4, 's', 'l', 'o', 'w'})
	}
	accepted.Wait()
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

// The times of a subscriber are scaled in proportion to the silence after which it abandons a parent.
func TestLimitsFor(t *testing.T) {
	defaults, half := subscriber.DefaultLimits(), LimitsFor(subscriber.DefaultLimits().SilenceTimeout/2)
	if got := LimitsFor(defaults.SilenceTimeout); got != defaults {
		t.Errorf("%+v", got)
	}
	if half.MaxLag != defaults.MaxLag/2 || half.BackoffLimit != defaults.BackoffLimit/2 || half.ConnectTimeout != defaults.ConnectTimeout || half.RetriesPerSecond != defaults.RetriesPerSecond*2 {
		t.Errorf("%+v", half)
	}
}

func TestLogThrottle(t *testing.T) {
	log := &logBuffer{}
	var now time.Duration
	throttle := newLogThrottle(slog.New(slog.NewTextHandler(log, nil)), func() time.Duration { return now })
	for range 5 {
		throttle.warn("one")
		throttle.warn("another")
	}
	now = logThrottleInterval
	throttle.warn("one")
	if text := log.String(); strings.Count(text, "msg=one") != 2 || strings.Count(text, "msg=another") != 1 || !strings.Contains(text, "omitted=4") {
		t.Error(fmt.Sprint("the log is\n", text))
	}
}

// A parent of a later version sends fields unknown to this version and includes them in its digest. The state must be
// applied despite the mismatch, and not be requested repeatedly.
func TestParentOfLaterVersion(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	subscribes := make(chan *message.Subscribe, 100)
	go serveLaterVersion(ln, subscribes)
	updates := make(chan Update, 10)
	c := startProcess(t, childConfig(ln.Addr().String(), func(n Update) { updates <- n }), false)
	select {
	case n := <-updates:
		if len(n.Changes) != 1 || n.Position != (resource.Position{Epoch: 1, Version: 1}) {
			t.Errorf("%+v", n)
		}
	case <-time.After(testTimeout):
		t.Fatalf("no update was applied; the state: %+v", c.Status().Parents)
	}
	if len(subscribes) != 1 {
		t.Errorf("subscribed to the log %d times", len(subscribes))
	}
}

// serveLaterVersion answers subscriptions on the first connection of ln with a snapshot that contains unknown fields.
func serveLaterVersion(ln net.Listener, subscribes chan<- *message.Subscribe) {
	raw, err := ln.Accept()
	if err != nil {
		return
	}
	defer raw.Close()
	conn, err := frame.Accept(raw, frame.Config{Keys: [][]byte{testKey}, Cluster: "test", Handshake: testTimeout, ReadTimeout: testTimeout, WriteTimeout: testTimeout})
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
			conn.Write(encodeGreeting("parent", roleSubscriber))
			continue
		}
		messages, _, _ := message.Decode(text)
		for _, m := range messages {
			if subscribe, ok := m.(*message.Subscribe); ok {
				subscribes <- subscribe
				conn.Write(later)
			}
		}
	}
}

// withUnknownFields adds an unknown field to each message of a frame.
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
