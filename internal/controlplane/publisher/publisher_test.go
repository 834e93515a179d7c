package publisher

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/resource"
)

const north = "north"

var everything = changelog.Filter{All: true}

func at(epoch, version uint64) resource.Position {
	return resource.Position{Epoch: epoch, Version: version}
}

func service(name string) resource.Resource {
	return resource.Resource{Key: resource.Key{Service: name, Kind: resource.KindService, Name: name},
		Service: &resource.Service{Region: north, MaxAttempts: 3}}
}

func tenant(service, name string, quota float64) resource.Resource {
	return resource.Resource{Key: resource.Key{Service: service, Kind: resource.KindTenant, Name: name}, Tenant: &resource.Tenant{Quota: quota}}
}

func set(all ...resource.Resource) []resource.Change {
	var changes []resource.Change
	for _, r := range all {
		changes = append(changes, resource.Change{Resource: r})
	}
	return changes
}

// harness is a publisher of one log with the services cart and pay.
type harness struct {
	t   *testing.T
	p   *Publisher
	now time.Duration
	log *changelog.Store
}

func newHarness(t *testing.T, cfg Config) *harness {
	h := &harness{t: t, now: time.Hour, log: changelog.NewStore(north, changelog.Limits{Transactions: 4})}
	h.append(1, set(service("cart"), service("pay"), tenant("cart", "t", 1))...)
	h.p = New(cfg)
	h.p.Publish(h.log)
	h.p.Step(h.now)
	return h
}

func (h *harness) append(epoch uint64, changes ...resource.Change) {
	h.t.Helper()
	if _, err := h.log.Append(epoch, changes); err != nil {
		h.t.Fatal(err)
	}
}

// step returns the messages sent to one session, or to all sessions if id is 0.
func (h *harness) step(id SessionID) []message.Message {
	var sent []message.Message
	for _, o := range h.p.Step(h.now) {
		if o.Session == id || id == 0 {
			sent = append(sent, o.Message)
		}
	}
	return sent
}

// advance moves the clock forward and returns the messages sent to one session.
func (h *harness) advance(d time.Duration, id SessionID) []message.Message {
	var sent []message.Message
	for end := h.now + d; h.now < end; {
		h.now = min(end, max(h.p.Next(h.now), h.now+time.Millisecond))
		sent = append(sent, h.step(id)...)
	}
	return sent
}

func (h *harness) connect(id SessionID, m *message.Subscribe) []message.Message {
	h.t.Helper()
	h.p.Connected(h.now, id)
	return h.subscribe(id, m)
}

func (h *harness) subscribe(id SessionID, m *message.Subscribe) []message.Message {
	h.t.Helper()
	m.Region = north
	if err := h.p.Receive(h.now, id, m); err != nil {
		h.t.Fatal(err)
	}
	return h.step(id)
}

func (h *harness) acknowledge(id SessionID, position resource.Position, refused string) {
	h.t.Helper()
	if err := h.p.Receive(h.now, id, &message.Acknowledge{Region: north, Position: position, Refused: refused}); err != nil {
		h.t.Fatal(err)
	}
}

func ofType[M message.Message](sent []message.Message) (found []M) {
	for _, m := range sent {
		if m, ok := m.(M); ok {
			found = append(found, m)
		}
	}
	return found
}

func current(h *harness, f changelog.Filter) *message.Subscribe {
	return &message.Subscribe{All: f.All, Services: f.Services, Have: h.log.Position(), Digest: h.log.Digest(f)}
}

var cart = changelog.Filter{Services: []string{"cart"}}

// TestCatchUpByPosition checks whether a new subscriber gets a delta, a snapshot or neither, by the position and digest that
// it reports.
func TestCatchUpByPosition(t *testing.T) {
	for name, c := range map[string]struct {
		have      func(h *harness) (resource.Position, message.Digest)
		delta     bool
		snapshot  bool
		sentIsAll bool // the first heartbeat reports the log's position as sent
	}{
		"nothing":             {func(*harness) (resource.Position, message.Digest) { return at(0, 0), 0 }, false, true, false},
		"the latest position": {func(h *harness) (resource.Position, message.Digest) { return h.log.Position(), h.log.Digest(cart) }, false, false, true},
		"the latest position, with another digest":   {func(h *harness) (resource.Position, message.Digest) { return h.log.Position(), 7 }, false, true, false},
		"a position in history":                      {func(*harness) (resource.Position, message.Digest) { return at(1, 5), 7 }, true, false, false},
		"a position before it":                       {func(*harness) (resource.Position, message.Digest) { return at(1, 1), 7 }, false, true, false},
		"a position before it, with the same digest": {func(h *harness) (resource.Position, message.Digest) { return at(1, 1), h.log.Digest(cart) }, true, false, false},
		"a position not in the log":                  {func(*harness) (resource.Position, message.Digest) { return at(0, 5), 7 }, false, true, false},
		"a later position":                           {func(*harness) (resource.Position, message.Digest) { return at(1, 99), 7 }, false, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, Config{})
			for i := range 5 {
				h.append(1, set(tenant("cart", "t", float64(i)))...)
			}
			have, digest := c.have(h)
			sent := h.connect(1, &message.Subscribe{Services: cart.Services, Have: have, Digest: digest})
			sent = append(sent, h.step(1)...)
			deltas, parts, heartbeats := ofType[*message.Delta](sent), ofType[*message.SnapshotPart](sent), ofType[*message.Heartbeat](sent)
			if len(deltas) > 0 != c.delta || len(parts) > 0 != c.snapshot {
				t.Fatalf("%d deltas, %d parts", len(deltas), len(parts))
			}
			if len(heartbeats) != 1 || heartbeats[0].Position != h.log.Position() || (heartbeats[0].Sent == h.log.Position()) != c.sentIsAll {
				t.Errorf("heartbeats %+v", heartbeats)
			}
			if c.delta && (deltas[0].From != have || deltas[0].To != h.log.Position() || deltas[0].Digest != h.log.Digest(cart)) {
				t.Errorf("delta %+v", deltas[0])
			}
			if c.snapshot && !reflect.DeepEqual(parts[0].Resources, h.log.Snapshot(cart)) {
				t.Errorf("part %+v", parts[0])
			}
		})
	}
}

// TestSubscriberAheadOfLogGetsOnlyHeartbeats: a subscriber ahead of the store is sent no delta and no snapshot until the
// store has reached its position.
func TestSubscriberAheadOfLogGetsOnlyHeartbeats(t *testing.T) {
	h := newHarness(t, Config{})
	h.connect(1, &message.Subscribe{All: true, Have: at(1, 3), Digest: 7})
	h.append(1, set(tenant("cart", "t", 2))...)
	sent := h.advance(10*time.Second, 1)
	if heartbeats := ofType[*message.Heartbeat](sent); len(heartbeats) != len(sent) || len(heartbeats) != 10 || !heartbeats[9].Sent.IsZero() {
		t.Fatalf("%d messages, %d heartbeats", len(sent), len(heartbeats))
	}
	h.append(1, set(tenant("cart", "t", 3))...)
	h.append(1, set(tenant("cart", "t", 4))...)
	if deltas := ofType[*message.Delta](h.advance(2*time.Second, 1)); len(deltas) != 1 || deltas[0].From != at(1, 3) || deltas[0].To != at(1, 4) {
		t.Errorf("deltas %+v", deltas)
	}
}

// TestChangeReachesOnlyItsSubscribers: the other subscribers get no delta, and their heartbeats report the new position as
// sent.
func TestChangeReachesOnlyItsSubscribers(t *testing.T) {
	h := newHarness(t, Config{})
	pay := changelog.Filter{Services: []string{"pay"}}
	h.connect(1, current(h, cart))
	h.connect(2, current(h, pay))
	h.connect(3, current(h, everything))
	h.connect(4, current(h, changelog.Filter{}))
	standby := current(h, changelog.Filter{})
	standby.Standby = true
	h.connect(5, standby)
	h.append(1, set(tenant("cart", "t", 9))...)
	to := map[SessionID]int{}
	for _, o := range h.p.Step(h.now) {
		if delta, ok := o.Message.(*message.Delta); ok && delta.From == at(1, 1) && delta.To == at(1, 2) && len(delta.Changes) == 1 {
			to[o.Session]++
		}
	}
	if want := map[SessionID]int{1: 1, 3: 1}; !reflect.DeepEqual(to, want) {
		t.Errorf("deltas to %v, want %v", to, want)
	}
	heartbeat := ofType[*message.Heartbeat](h.advance(time.Second, 2))[0]
	if heartbeat.Sent != at(1, 2) || heartbeat.Digest != h.log.Digest(pay) {
		t.Errorf("heartbeat %+v", heartbeat)
	}
	if heartbeat := ofType[*message.Heartbeat](h.advance(time.Second, 5))[0]; !heartbeat.Sent.IsZero() || heartbeat.Position != at(1, 2) {
		t.Errorf("heartbeat of a standby %+v", heartbeat)
	}
	h.append(1, set(tenant("pay", "t", 9))...)
	if delta := ofType[*message.Delta](h.step(2)); len(delta) != 1 || delta[0].From != at(1, 2) {
		t.Errorf("delta %+v, want one from the position of the heartbeat", delta)
	}
}

// TestHeartbeatAge: heartbeats carry the age reported by the owner of the store.
func TestHeartbeatAge(t *testing.T) {
	start := time.Hour
	h := newHarness(t, Config{Age: func(name string, now time.Duration) time.Duration { return now - start + time.Duration(len(name)) }})
	h.connect(1, current(h, cart))
	heartbeats := ofType[*message.Heartbeat](h.advance(3*time.Second, 1))
	if got := heartbeats[len(heartbeats)-1].Age; got != 3*time.Second+time.Duration(len(north)) {
		t.Errorf("age %s", got)
	}
}

// TestRefusedStateIsNotResent: after a refusal the subscriber gets the next state that differs, as a delta from its last
// good position. Until then heartbeats report no position as sent.
func TestRefusedStateIsNotResent(t *testing.T) {
	h := newHarness(t, Config{})
	h.connect(1, current(h, cart))
	h.append(1, set(tenant("cart", "t", 2))...)
	h.step(1)
	h.acknowledge(1, at(1, 1), "line")
	h.append(1, set(tenant("pay", "t", 2))...) // not subscribed to
	sent := h.advance(3*time.Second, 1)
	if heartbeats := ofType[*message.Heartbeat](sent); len(heartbeats) != len(sent) || !heartbeats[0].Sent.IsZero() {
		t.Fatalf("sent %+v", sent)
	}
	if status := h.p.Subscribers()[0]; status.Refused != "line" || status.State != "refused" || status.Position != at(1, 1) {
		t.Errorf("status %+v", status)
	}
	h.append(1, set(tenant("cart", "t", 3))...)
	deltas := ofType[*message.Delta](h.step(1))
	if len(deltas) != 1 || deltas[0].From != at(1, 1) || deltas[0].To != at(1, 4) || len(deltas[0].Changes) != 1 {
		t.Errorf("deltas %+v", deltas)
	}
}

// TestOversizedDeltaBecomesSnapshot: the largest transaction is sent as a delta; changes that don't fit into a frame are
// sent as a snapshot.
func TestOversizedDeltaBecomesSnapshot(t *testing.T) {
	h := newHarness(t, Config{})
	h.connect(1, current(h, cart))
	many := func(round int) (changes []resource.Change) {
		for i := range resource.MaxChanges {
			changes = append(changes, set(tenant("cart", fmt.Sprintf("%060d-%d", i, round), 1))...)
		}
		return changes
	}
	h.append(1, many(0)...)
	if deltas := ofType[*message.Delta](h.step(1)); len(deltas) != 1 || len(deltas[0].Changes) != resource.MaxChanges {
		t.Fatalf("%d deltas", len(deltas))
	}
	h.acknowledge(1, h.log.Position(), "")
	h.now += 10 * time.Second
	h.append(1, many(1)...)
	h.append(1, many(2)...)
	h.append(1, many(3)...)
	h.append(1, many(4)...)
	sent := h.step(1)
	if deltas, parts := ofType[*message.Delta](sent), ofType[*message.SnapshotPart](sent); len(deltas) != 0 || len(parts) == 0 {
		t.Errorf("%d deltas, %d parts", len(deltas), len(parts))
	}
}

// TestUnacknowledgedWindow: a session that acknowledges nothing is sent no more than MaxUnacknowledgedBytes, and sending
// resumes with its acknowledgement.
func TestUnacknowledgedWindow(t *testing.T) {
	h := newHarness(t, Config{MaxUnacknowledgedBytes: 200})
	h.connect(1, current(h, cart))
	sent := 0
	for i := range 20 {
		h.append(1, set(tenant("cart", "t", float64(i+2)))...)
		sent += len(ofType[*message.Delta](h.step(1)))
	}
	if sent < 2 || sent > 4 {
		t.Fatalf("%d deltas into a window of 200 bytes", sent)
	}
	last := at(1, uint64(1+sent))
	h.acknowledge(1, last, "")
	got := h.advance(time.Second, 1)
	if parts, deltas := ofType[*message.SnapshotPart](got), ofType[*message.Delta](got); len(parts)+len(deltas) != 1 {
		t.Errorf("after an acknowledgement %d parts, %d deltas", len(parts), len(deltas))
	}
}

// TestSnapshotInParts: the parts contain all resources in order, wait for acknowledgements, and are followed by a delta with
// the changes made during the snapshot.
func TestSnapshotInParts(t *testing.T) {
	h := newHarness(t, Config{PartBytes: 100, MaxUnacknowledgedBytes: 250})
	for i := range 50 {
		h.append(1, set(tenant("cart", fmt.Sprintf("t%02d", i), 1))...)
	}
	want, digest, position := h.log.Snapshot(cart), h.log.Digest(cart), h.log.Position()
	parts := ofType[*message.SnapshotPart](h.connect(1, &message.Subscribe{Services: cart.Services}))
	if len(parts) > 3 {
		t.Fatalf("%d parts without an acknowledgement", len(parts))
	}
	h.append(1, set(tenant("cart", "later", 1))...)
	var deltas []*message.Delta
	for range 100 {
		h.acknowledge(1, at(0, 0), "")
		sent := h.step(1)
		parts = append(parts, ofType[*message.SnapshotPart](sent)...)
		deltas = append(deltas, ofType[*message.Delta](sent)...)
	}
	var got []resource.Resource
	for i, part := range parts {
		if part.Index != uint32(i) || part.Last != (i == len(parts)-1) || part.Position != position {
			t.Fatalf("part %d: %+v", i, part)
		}
		got = append(got, part.Resources...)
	}
	if len(parts) < 10 || !reflect.DeepEqual(got, want) || parts[len(parts)-1].Digest != digest {
		t.Errorf("%d parts with %d resources, want %d", len(parts), len(got), len(want))
	}
	if len(deltas) != 1 || deltas[0].From != position || deltas[0].To != h.log.Position() {
		t.Errorf("deltas %+v", deltas)
	}
	if h.p.ActiveSnapshots() != 0 {
		t.Errorf("%d snapshots in progress", h.p.ActiveSnapshots())
	}
}

// TestStalledSnapshotFreesItsSlot: a subscriber that stops acknowledging must not block the snapshots of others.
func TestStalledSnapshotFreesItsSlot(t *testing.T) {
	h := newHarness(t, Config{PartBytes: 30, MaxUnacknowledgedBytes: 50, MaxSnapshots: 1})
	h.connect(1, &message.Subscribe{All: true})
	if busy := ofType[*message.Busy](h.connect(2, &message.Subscribe{All: true})); len(busy) != 1 {
		t.Fatal("two snapshots in progress at the same time")
	}
	sent := h.advance(DefaultConfig().SnapshotTimeout+2*time.Second, 1)
	if len(ofType[*message.Busy](sent)) != 1 || h.p.ActiveSnapshots() != 0 {
		t.Fatalf("%d snapshots in progress", h.p.ActiveSnapshots())
	}
	if parts := ofType[*message.SnapshotPart](h.subscribe(2, &message.Subscribe{All: true})); len(parts) == 0 {
		t.Error("the slot was not freed")
	}
}

// TestSimultaneousStartBoundsSnapshots: 390 subscribers start within one second without state. At most MaxSnapshots are
// served at the same time, the others retry at spread-out times, and all have their snapshot within a minute.
func TestSimultaneousStartBoundsSnapshots(t *testing.T) {
	const subscribers, maxSnapshots = 390, 8
	h := newHarness(t, Config{MaxSnapshots: maxSnapshots, PartBytes: 2000, SessionBurstBytes: 4000, SessionBytesPerSecond: 20_000, Seed: 3})
	for i := range 200 {
		h.append(1, set(tenant("cart", fmt.Sprintf("t%03d", i), 1))...)
	}
	start := h.now
	subscribeAt := map[SessionID]time.Duration{}
	for i := range subscribers {
		id := SessionID(i + 1)
		h.p.Connected(h.now, id)
		subscribeAt[id] = start + time.Duration(i)*time.Second/subscribers
	}
	served, busyReplies, waits := 0, 0, map[time.Duration]bool{}
	for served < subscribers && h.now < start+5*time.Minute {
		for id := SessionID(1); id <= subscribers; id++ {
			if due, waits := subscribeAt[id]; waits && due <= h.now {
				delete(subscribeAt, id)
				if err := h.p.Receive(h.now, id, &message.Subscribe{Region: north, All: true}); err != nil {
					t.Fatal(err)
				}
			}
		}
		for _, o := range slices.Clone(h.p.Step(h.now)) {
			switch m := o.Message.(type) {
			case *message.Busy:
				busyReplies++
				waits[m.RetryAfter] = true
				subscribeAt[o.Session] = h.now + m.RetryAfter
			case *message.SnapshotPart:
				if m.Last {
					served++
				}
				_ = h.p.Receive(h.now, o.Session, &message.Acknowledge{Region: north, Position: m.Position})
			}
		}
		if running := h.p.ActiveSnapshots(); running > maxSnapshots {
			t.Fatalf("%d snapshots in progress at the same time", running)
		}
		h.now += 10 * time.Millisecond
	}
	took := h.now - start
	t.Logf("%d served in %s, %d Busy replies with %d different waits", served, took, busyReplies, len(waits))
	if served != subscribers || took > time.Minute {
		t.Errorf("%d served in %s", served, took)
	}
	if busyReplies > 4*subscribers || len(waits) < busyReplies*9/10 {
		t.Errorf("%d Busy replies with %d different waits", busyReplies, len(waits))
	}
}

// TestByteBudget: the process stays within its bytes per second whatever is queued, and a change is sent ahead of snapshots.
func TestByteBudget(t *testing.T) {
	const rate, burst = 10_000, 2_000
	h := newHarness(t, Config{BytesPerSecond: rate, BurstBytes: burst, PartBytes: 500, Size: EstimateSize})
	for i := range 300 {
		h.append(1, set(tenant("cart", fmt.Sprintf("t%03d", i), 1))...)
	}
	for id := range SessionID(8) {
		h.p.Connected(h.now, id+1)
		_ = h.p.Receive(h.now, id+1, &message.Subscribe{Region: north, All: true})
	}
	h.connect(100, current(h, changelog.Filter{Services: []string{"pay"}}))
	bytes, start, delayed := 0, h.now, time.Duration(-1)
	for h.now < start+10*time.Second {
		if h.now == start+2*time.Second {
			h.append(1, set(tenant("pay", "t", 1))...)
		}
		for _, o := range h.p.Step(h.now) {
			bytes += EstimateSize(o.Message)
			if delta, ok := o.Message.(*message.Delta); ok && o.Session == 100 && len(delta.Changes) > 0 {
				delayed = h.now - start - 2*time.Second
			}
		}
		for id := range SessionID(8) {
			_ = h.p.Receive(h.now, id+1, &message.Acknowledge{Region: north})
		}
		h.now += 50 * time.Millisecond
	}
	if maxBytes := burst + 10*rate + 1000; bytes > maxBytes || bytes < maxBytes/2 {
		t.Errorf("%d bytes in 10 s, at most %d", bytes, maxBytes)
	}
	if delayed < 0 || delayed > time.Second {
		t.Errorf("the change was sent after %s", delayed)
	}
}

// TestReplacedStore: the history of a store that was replaced by a snapshot doesn't reach back to the subscribers'
// positions. Those whose services are unchanged are sent an empty delta with the new position, the others a snapshot.
func TestReplacedStore(t *testing.T) {
	h := newHarness(t, Config{})
	pay := changelog.Filter{Services: []string{"pay"}}
	h.connect(1, current(h, cart))
	h.connect(2, current(h, pay))
	if err := h.log.Replace(at(2, 1), []resource.Resource{service("cart"), service("pay"), tenant("cart", "t", 5)}); err != nil {
		t.Fatal(err)
	}
	var parts, empty []SessionID
	for _, o := range h.p.Step(h.now) {
		switch m := o.Message.(type) {
		case *message.SnapshotPart:
			parts = append(parts, o.Session)
		case *message.Delta:
			if len(m.Changes) == 0 && m.From == at(1, 1) && m.To == at(2, 1) {
				empty = append(empty, o.Session)
			}
		}
	}
	if !slices.Equal(parts, []SessionID{1}) || !slices.Equal(empty, []SessionID{2}) {
		t.Errorf("snapshots to %v, empty deltas to %v", parts, empty)
	}
}

// TestSubscribeBeforePublish: a session that subscribed before the log was published gets it once it is.
func TestSubscribeBeforePublish(t *testing.T) {
	h := newHarness(t, Config{})
	h.p = New(Config{})
	if sent := h.connect(1, &message.Subscribe{All: true}); len(sent) != 0 {
		t.Errorf("sent %+v without a log", sent)
	}
	h.p.Publish(h.log)
	if parts := ofType[*message.SnapshotPart](h.step(1)); len(parts) != 1 {
		t.Errorf("%d parts", len(parts))
	}
}

func TestInvalidMessages(t *testing.T) {
	for name, m := range map[string]message.Message{
		"none":               nil,
		"a delta":            &message.Delta{Region: north},
		"a heartbeat":        &message.Heartbeat{Region: north},
		"unsorted services":  &message.Subscribe{Region: north, Services: []string{"b", "a\n"}},
		"a repeated service": &message.Subscribe{Region: north, Services: []string{"a", "a"}},
		"too many services":  &message.Subscribe{Region: north, Services: make([]string, MaxServices+1)},
		"an acknowledgement of an unknown region": &message.Acknowledge{Region: strings.Repeat("x\n", 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, Config{})
			h.connect(1, current(h, cart))
			err := h.p.Receive(h.now, 1, m)
			var invalid *InvalidMessageError
			if !errors.As(err, &invalid) || strings.Contains(err.Error(), "\n") || len(err.Error()) > 400 {
				t.Errorf("error %v", err)
			}
			h.append(1, set(tenant("cart", "t", 7))...)
			if deltas := ofType[*message.Delta](h.step(1)); len(deltas) != 1 {
				t.Error("no delta after the invalid message")
			}
		})
	}
	h := newHarness(t, Config{})
	if err := h.p.Receive(h.now, 77, &message.Subscribe{Region: north}); err == nil {
		t.Error("message accepted on a session that is not connected")
	}
	h.p.Connected(h.now, 1)
	for i := range MaxRegions + 1 {
		err := h.p.Receive(h.now, 1, &message.Subscribe{Region: fmt.Sprint("region-", i)})
		if (err != nil) != (i == MaxRegions) {
			t.Errorf("region %d: %v", i, err)
		}
	}
}

// TestEndedSessionsLeaveNoState: sessions that end in any state leave nothing in the queues and indexes.
func TestEndedSessionsLeaveNoState(t *testing.T) {
	h := newHarness(t, Config{MaxSnapshots: 2, PartBytes: 30, MaxUnacknowledgedBytes: 50})
	for id := range SessionID(50) {
		h.connect(id+1, &message.Subscribe{All: id%2 == 0, Services: cart.Services, Standby: id%5 == 0})
		h.subscribe(id+1, &message.Subscribe{All: id%3 == 0, Services: cart.Services})
	}
	for id := range SessionID(50) {
		h.p.Disconnected(h.now, id+1)
	}
	if sent := h.advance(5*time.Second, 0); len(sent) != 0 {
		t.Errorf("%d messages", len(sent))
	}
	r := h.p.regions[0]
	if len(h.p.sessions)+h.p.heartbeatQueue.len()+len(h.p.activeSnapshots)+h.p.waitingCount+len(h.p.throttled) != 0 {
		t.Errorf("kept: %d sessions, %d heartbeats, %d snapshots, %d waiting, %d throttled", len(h.p.sessions), h.p.heartbeatQueue.len(), len(h.p.activeSnapshots), h.p.waitingCount, len(h.p.throttled))
	}
	if len(r.subscriptions)+len(r.byService)+len(r.fullSubscriptions) != 0 || r.fullSnapshot != nil {
		t.Errorf("kept: %d subscriptions, %d services, %d to all services", len(r.subscriptions), len(r.byService), len(r.fullSubscriptions))
	}
}

// benchmarkFleet returns a publisher whose sessions subscribe to 100 of 9,300 services each.
func benchmarkFleet(b *testing.B, sessions int) (*Publisher, *changelog.Store) {
	const services, perSession = 9300, 100
	log := changelog.NewStore(north, changelog.Limits{})
	var all []resource.Resource
	for i := range services {
		all = append(all, service(fmt.Sprintf("service-%05d", i)))
	}
	if err := log.Replace(at(1, 1), all); err != nil {
		b.Fatal(err)
	}
	p := New(Config{})
	p.Publish(log)
	for id := range sessions {
		f := changelog.Filter{}
		for i := range perSession {
			f.Services = append(f.Services, fmt.Sprintf("service-%05d", (id*37+i*93)%services))
		}
		slices.Sort(f.Services)
		p.Connected(0, SessionID(id))
		if err := p.Receive(0, SessionID(id), &message.Subscribe{Region: north, Services: f.Services, Have: at(1, 1), Digest: log.Digest(f)}); err != nil {
			b.Fatal(err)
		}
	}
	p.Step(0)
	return p, log
}

var fleetSizes = []int{400, 6000}

// BenchmarkStepTransaction measures one change of a tenant, sent to the sessions that subscribe to its service.
func BenchmarkStepTransaction(b *testing.B) {
	for _, sessions := range fleetSizes {
		b.Run(fmt.Sprint(sessions), func(b *testing.B) {
			p, log := benchmarkFleet(b, sessions)
			sent := 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				name := fmt.Sprintf("service-%05d", i*7%9300)
				if _, err := log.Append(1, set(tenant(name, "t", float64(i)))); err != nil {
					b.Fatal(err)
				}
				out := p.Step(0)
				sent += len(out)
				for _, o := range out {
					_ = p.Receive(0, o.Session, &message.Acknowledge{Region: north, Position: log.Position()})
				}
				p.bucket.tokens = p.bucket.burst
			}
			b.ReportMetric(float64(sent)/float64(b.N), "messages/op")
		})
	}
}

// BenchmarkStepBroadcast measures one change of a service that every session subscribes to.
func BenchmarkStepBroadcast(b *testing.B) {
	for _, sessions := range fleetSizes {
		b.Run(fmt.Sprint(sessions), func(b *testing.B) {
			p, log := benchmarkFleet(b, 0)
			f := changelog.Filter{}
			for i := range 100 {
				f.Services = append(f.Services, fmt.Sprintf("service-%05d", i))
			}
			for id := range sessions {
				p.Connected(0, SessionID(id))
				if err := p.Receive(0, SessionID(id), &message.Subscribe{Region: north, Services: f.Services, Have: at(1, 1), Digest: log.Digest(f)}); err != nil {
					b.Fatal(err)
				}
			}
			p.Step(0)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, err := log.Append(1, set(tenant("service-00050", "t", float64(i)))); err != nil {
					b.Fatal(err)
				}
				out := p.Step(0)
				if len(out) != sessions {
					b.Fatalf("%d messages", len(out))
				}
				for _, o := range out {
					_ = p.Receive(0, o.Session, &message.Acknowledge{Region: north, Position: log.Position()})
					p.sessions[o.Session].bucket.tokens = p.cfg.SessionBurstBytes
				}
				p.bucket.tokens = p.bucket.burst
			}
		})
	}
}

// BenchmarkStepHeartbeats measures one heartbeat to each session.
func BenchmarkStepHeartbeats(b *testing.B) {
	for _, sessions := range fleetSizes {
		b.Run(fmt.Sprint(sessions), func(b *testing.B) {
			p, _ := benchmarkFleet(b, sessions)
			now := time.Duration(0)
			b.ReportAllocs()
			for b.Loop() {
				now += p.cfg.HeartbeatInterval
				if out := p.Step(now); len(out) != sessions {
					b.Fatalf("%d messages", len(out))
				}
			}
		})
	}
}

// BenchmarkStepIdle measures a step with nothing to send.
func BenchmarkStepIdle(b *testing.B) {
	p, _ := benchmarkFleet(b, 6000)
	b.ReportAllocs()
	for b.Loop() {
		p.Step(0)
	}
}
