package subscriber

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
	"craneglade/internal/controlplane/parents"
	"craneglade/internal/controlplane/resource"
)

const region = "north"

var everything = changelog.Filter{All: true}

func at(epoch, version uint64) resource.Position {
	return resource.Position{Epoch: epoch, Version: version}
}

func service(name string) resource.Resource {
	return resource.Resource{Key: resource.Key{Service: name, Kind: resource.KindService, Name: name},
		Service: &resource.Service{Region: region, MaxAttempts: 3}}
}

func tenant(name string, quota float64) resource.Resource {
	return resource.Resource{Key: resource.Key{Service: "cart", Kind: resource.KindTenant, Name: name}, Tenant: &resource.Tenant{Quota: quota}}
}

func set(all ...resource.Resource) []resource.Change {
	var changes []resource.Change
	for _, r := range all {
		changes = append(changes, resource.Change{Resource: r})
	}
	return changes
}

// harness is a subscriber whose parents a, b, c, ... are played by the test, with the states of log.
type harness struct {
	t   *testing.T
	s   *Subscriber
	now time.Duration
	log *changelog.Store
	// actions returned by Step and not yet checked
	connects []string
	closes   []string
	sent     []Outgoing
	applied  []Applied
}

func newHarness(t *testing.T, candidates int) *harness {
	h := &harness{t: t, now: time.Hour, log: changelog.NewStore(region, changelog.Limits{})}
	cfg := Config{Name: "node", Regions: []string{region}, Filter: everything, Limits: DefaultLimits(), Seed: 1}
	for i := range candidates {
		cfg.Candidates = append(cfg.Candidates, parents.Candidate{Name: string(rune('a' + i))})
	}
	h.s = New(cfg, h.now)
	h.step()
	h.append(1, set(service("cart"), tenant("t", 1))...)
	return h
}

// ranked returns the candidates' names in order of rank.
func (h *harness) ranked() []string {
	var names []string
	for _, p := range h.s.parents {
		names = append(names, p.candidate.Name)
	}
	return names
}

func (h *harness) append(epoch uint64, changes ...resource.Change) resource.Transaction {
	h.t.Helper()
	t, err := h.log.Append(epoch, changes)
	if err != nil {
		h.t.Fatal(err)
	}
	return t
}

func (h *harness) step() {
	actions := h.s.Step(h.now)
	for _, c := range actions.Connect {
		h.connects = append(h.connects, c.Name)
	}
	h.closes = append(h.closes, actions.Close...)
	h.sent = append(h.sent, actions.Send...)
	h.applied = append(h.applied, actions.Applied...)
}

// advance moves the clock forward in small steps, with the given heartbeats twice a second.
func (h *harness) advance(d time.Duration, heartbeats ...func()) {
	const step = 250 * time.Millisecond
	for end := h.now + d; h.now < end; {
		h.now += step
		if h.now%(2*step) == 0 {
			for _, heartbeat := range heartbeats {
				heartbeat()
			}
		}
		h.step()
	}
}

func (h *harness) connect(names ...string) {
	for _, name := range names {
		h.s.Connected(h.now, name)
		h.step()
	}
}

func (h *harness) receive(parent string, m message.Message) error {
	err := h.s.Receive(h.now, parent, m)
	h.step()
	return err
}

func (h *harness) mustReceive(parent string, m message.Message) {
	h.t.Helper()
	if err := h.receive(parent, m); err != nil {
		h.t.Fatal(err)
	}
}

// snapshot returns the log's state in parts.
func (h *harness) snapshot(parts int) []*message.SnapshotPart {
	all := h.log.Snapshot(everything)
	var made []*message.SnapshotPart
	for i := range parts {
		part := &message.SnapshotPart{Region: region, Position: h.log.Position(), Index: uint32(i),
			Resources: all[i*len(all)/parts : (i+1)*len(all)/parts]}
		if i == parts-1 {
			part.Last, part.Digest = true, h.log.Digest(everything)
		}
		made = append(made, part)
	}
	return made
}

func (h *harness) takeSnapshot(parent string) {
	h.t.Helper()
	for _, part := range h.snapshot(1) {
		h.mustReceive(parent, part)
	}
}

// delta returns the changes of the log after a position.
func (h *harness) delta(from resource.Position) *message.Delta {
	changes, ok := h.log.Changes(everything, from)
	if !ok {
		h.t.Fatalf("history doesn't reach back to %s", from)
	}
	return &message.Delta{Region: region, From: from, To: h.log.Position(), Changes: changes, Digest: h.log.Digest(everything)}
}

// heartbeatsFrom returns a function that sends a heartbeat of a parent at the log's position.
func (h *harness) heartbeatsFrom(parent string) func() {
	return func() { _ = h.s.Receive(h.now, parent, h.heartbeat(parent, h.log.Position())) }
}

// heartbeatsAt returns a function that sends a heartbeat of a parent at another position.
func (h *harness) heartbeatsAt(parent string, position resource.Position) func() {
	return func() { _ = h.s.Receive(h.now, parent, h.heartbeat(parent, position)) }
}

func (h *harness) heartbeat(parent string, position resource.Position) *message.Heartbeat {
	m := &message.Heartbeat{Region: region, Position: position}
	if h.source() == parent && position == h.log.Position() {
		m.Sent, m.Digest = position, h.log.Digest(everything)
	}
	return m
}

func (h *harness) source() string { return h.s.Status(h.now).Regions[0].Source }

func (h *harness) region() RegionStatus { return h.s.Status(h.now).Regions[0] }

// subscribes returns the requests to stream that were sent to a parent.
func (h *harness) subscribes(parent string) []*message.Subscribe {
	var all []*message.Subscribe
	for _, o := range h.sent {
		if m, ok := o.Message.(*message.Subscribe); ok && !m.Standby && o.Parent == parent {
			all = append(all, m)
		}
	}
	return all
}

func (h *harness) expectState() {
	h.t.Helper()
	store := h.s.Store(region)
	if store.Position() != h.log.Position() || !reflect.DeepEqual(store.Snapshot(everything), h.log.Snapshot(everything)) {
		h.t.Errorf("in force at %s\n%v\nwant %s\n%v", store.Position(), store.Snapshot(everything), h.log.Position(), h.log.Snapshot(everything))
	}
}

func (h *harness) expectPosition(want resource.Position) {
	h.t.Helper()
	if got := h.s.Store(region).Position(); got != want {
		h.t.Errorf("in force at %s, want %s", got, want)
	}
}

// notes returns the notes added since the last call.
func (h *harness) notes() []Note { return h.s.Notes() }

func noted[N Note](notes []Note) (found []N) {
	for _, n := range notes {
		if n, ok := n.(N); ok {
			found = append(found, n)
		}
	}
	return found
}

// ready returns a subscriber with both parents connected and the log's state, streamed from the first.
func ready(t *testing.T, candidates int) (h *harness, first, second string) {
	h = newHarness(t, candidates)
	ranked := h.ranked()
	h.connect(ranked[0], ranked[1])
	h.takeSnapshot(ranked[0])
	h.advance(time.Second, h.heartbeatsFrom(ranked[0]), h.heartbeatsFrom(ranked[1]))
	h.expectState()
	h.sent, h.applied, h.connects, h.closes = nil, nil, nil, nil
	h.notes()
	return h, ranked[0], ranked[1]
}

func TestConnectsToTwoHighestRankedParents(t *testing.T) {
	h := newHarness(t, 5)
	ranked := h.ranked()
	if !slices.Equal(h.connects, ranked[:2]) {
		t.Fatalf("connects to %v, want %v", h.connects, ranked[:2])
	}
	h.connect(ranked[1], ranked[0])
	if h.source() != ranked[1] {
		t.Errorf("streams from %q, want the first that is connected", h.source())
	}
	standby := h.sent[len(h.sent)-1]
	if m, ok := standby.Message.(*message.Subscribe); standby.Parent != ranked[0] || !ok || !m.Standby {
		t.Errorf("the other parent was sent %+v", standby)
	}
	h.takeSnapshot(ranked[1])
	h.expectState()
}

func TestDeltaOutOfSequence(t *testing.T) {
	for name, c := range map[string]struct {
		change func(first, second *message.Delta) []*message.Delta
		want   resource.Position
		check  func(Counts) uint64
	}{
		"in order":   {func(a, b *message.Delta) []*message.Delta { return []*message.Delta{a, b} }, at(1, 3), func(c Counts) uint64 { return c.Deltas / 2 }},
		"lost":       {func(_, b *message.Delta) []*message.Delta { return []*message.Delta{b} }, at(1, 1), func(c Counts) uint64 { return c.Gaps }},
		"duplicated": {func(a, _ *message.Delta) []*message.Delta { return []*message.Delta{a, a} }, at(1, 2), func(c Counts) uint64 { return c.Duplicates }},
		"reordered":  {func(a, b *message.Delta) []*message.Delta { return []*message.Delta{b, a} }, at(1, 2), func(c Counts) uint64 { return c.Gaps }},
		"truncated": {func(a, _ *message.Delta) []*message.Delta {
			truncated := *a
			truncated.Changes = a.Changes[:1]
			return []*message.Delta{&truncated}
		}, at(1, 1), func(c Counts) uint64 { return c.Mismatches }},
	} {
		t.Run(name, func(t *testing.T) {
			h, first, _ := ready(t, 3)
			h.append(1, set(tenant("u", 1), tenant("v", 1))...)
			one := h.delta(at(1, 1))
			h.append(1, set(tenant("u", 2))...)
			two := h.delta(at(1, 2))
			for _, delta := range c.change(one, two) {
				h.mustReceive(first, delta)
			}
			h.expectPosition(c.want)
			if counts := h.region().Counts; c.check(counts) != 1 {
				t.Errorf("counts %+v", counts)
			}
		})
	}
}

// TestLostDeltaIsRequested: the request carries the subscriber's position, and is not sent if the missing delta arrives
// late.
func TestLostDeltaIsRequested(t *testing.T) {
	h, first, second := ready(t, 3)
	h.append(1, set(tenant("u", 1))...)
	lost := h.delta(at(1, 1))
	h.advance(3*time.Second, h.heartbeatsFrom(first), h.heartbeatsFrom(second)) // the heartbeats report it as sent
	requests := h.subscribes(first)
	if len(requests) != 1 || requests[0].Have != at(1, 1) || requests[0].Digest == 0 {
		t.Fatalf("requests %v", requests)
	}
	h.mustReceive(first, lost)
	h.expectState()
	h.advance(time.Minute, h.heartbeatsFrom(first), h.heartbeatsFrom(second))
	if repeated := len(h.subscribes(first)); repeated > 2 {
		t.Errorf("%d requests", repeated)
	}
}

// TestDigestMismatchForcesResync: the state differs from the parent's at the same position. A snapshot is requested, and the
// process is notified of the differences.
func TestDigestMismatchForcesResync(t *testing.T) {
	h, first, second := ready(t, 3)
	h.append(1, set(tenant("u", 1))...)
	h.append(1, set(tenant("v", 1))...)
	digest := h.log.Digest(everything)
	wrong := h.delta(at(1, 2)) // contains v only and claims to start at 1.1
	wrong.From = at(1, 1)
	wrong.Digest = message.DigestOf(append(h.s.Store(region).Snapshot(everything), tenant("v", 1)))
	h.mustReceive(first, wrong)
	h.expectPosition(at(1, 3))
	h.mustReceive(first, &message.Heartbeat{Region: region, Position: at(1, 3), Sent: at(1, 3), Digest: digest})
	if n := noted[DigestMismatch](h.notes()); len(n) != 1 || h.region().Counts.Mismatches != 1 {
		t.Fatalf("notes %v", n)
	}
	h.advance(2*time.Second, h.heartbeatsFrom(first), h.heartbeatsFrom(second))
	requests := h.subscribes(first)
	if len(requests) != 1 || !requests[0].Have.IsZero() {
		t.Fatalf("requests %+v", requests)
	}
	h.applied = nil
	h.takeSnapshot(first)
	h.expectState()
	if want := set(tenant("u", 1)); len(h.applied) != 1 || !h.applied[0].Snapshot || !reflect.DeepEqual(h.applied[0].Changes, want) {
		t.Errorf("applied %+v, want %+v", h.applied, want)
	}
}

// TestStalledParentResumesWithStaleState: a parent is closed after it was silent. When it resumes 20 s later, its old
// messages change nothing.
func TestStalledParentResumesWithStaleState(t *testing.T) {
	h, first, second := ready(t, 3)
	old := h.snapshot(1)[0]
	h.append(1, set(tenant("u", 1))...)
	oldDelta := h.delta(at(1, 1))
	h.advance(4*time.Second, h.heartbeatsFrom(second))
	if h.source() != second || !slices.Contains(h.closes, first) {
		t.Fatalf("streams from %q, closed %v", h.source(), h.closes)
	}
	if n := noted[ParentLost](h.notes()); len(n) != 1 || n[0] != (ParentLost{first, LossSilent}) {
		t.Errorf("notes %v", n)
	}
	h.mustReceive(second, h.delta(at(1, 1)))
	h.append(1, set(tenant("v", 1))...)
	h.mustReceive(second, h.delta(at(1, 2)))
	h.advance(16*time.Second, h.heartbeatsFrom(second))

	h.connect(first) // it was dialled again
	for _, m := range []message.Message{oldDelta, old, h.heartbeat(first, at(1, 1))} {
		h.mustReceive(first, m)
	}
	h.advance(2*time.Minute, h.heartbeatsAt(first, at(1, 1)), h.heartbeatsFrom(second))
	if changes := h.region().Counts.SourceChanges; h.source() != second || changes != 1 {
		t.Errorf("streams from %q after %d source changes; the other parent is behind", h.source(), changes)
	}
	h.expectState()
}

// TestLaggingSourceIsReplaced: the source sends heartbeats but is behind the standby for longer than MaxLag.
func TestLaggingSourceIsReplaced(t *testing.T) {
	h, first, second := ready(t, 2)
	h.append(1, set(tenant("u", 1))...)
	h.advance(time.Second, h.heartbeatsAt(first, at(1, 1)), h.heartbeatsFrom(second))
	if h.source() != first {
		t.Fatal("the source was replaced at once")
	}
	h.advance(2*time.Second, h.heartbeatsAt(first, at(1, 1)), h.heartbeatsFrom(second))
	if h.source() != second {
		t.Fatal("the lagging source was kept")
	}
	if requests := h.subscribes(second); len(requests) != 1 || requests[0].Have != at(1, 1) {
		t.Errorf("requests %v", requests)
	}
}

// TestBriefLagKeepsSource: parents that receive changes shortly after one another cause no failover.
func TestBriefLagKeepsSource(t *testing.T) {
	h, first, second := ready(t, 2)
	for i := range 100 {
		from := h.log.Position()
		h.append(1, set(tenant("u", float64(i)))...)
		h.mustReceive(second, h.heartbeat(second, h.log.Position()))
		h.advance(750 * time.Millisecond)
		h.mustReceive(first, h.delta(from))
	}
	if h.source() != first || h.region().Counts.SourceChanges != 0 {
		t.Errorf("streams from %q after %d changes", h.source(), h.region().Counts.SourceChanges)
	}
}

func TestBothParentsDisconnected(t *testing.T) {
	h, first, second := ready(t, 4)
	ranked := h.ranked()
	h.s.Disconnected(h.now, first)
	h.s.Disconnected(h.now, second)
	h.step()
	if !slices.Equal(h.connects, ranked[2:]) {
		t.Fatalf("connects to %v, want the next of the ranking, %v", h.connects, ranked[2:])
	}
	h.connect(ranked[2])
	if requests := h.subscribes(ranked[2]); len(requests) != 1 || requests[0].Have != at(1, 1) {
		t.Errorf("requests %v", requests)
	}
}

// TestAllParentsDisconnected: the state stays in force, its age grows, and reconnects stay within the retry budget.
func TestAllParentsDisconnected(t *testing.T) {
	h, _, _ := ready(t, 4)
	for _, name := range h.ranked() {
		h.s.Disconnected(h.now, name)
	}
	h.step()
	attempts := 0
	const outage = 10 * time.Minute
	for end := h.now + outage; h.now < end; {
		h.now = max(h.s.Next(h.now), h.now+time.Millisecond)
		h.connects = nil
		h.step()
		for _, name := range h.connects {
			attempts++
			h.s.Disconnected(h.now, name)
		}
	}
	h.expectState()
	if age := h.s.Age(region, h.now); age < outage || age > outage+5*time.Second {
		t.Errorf("the age is %s", age)
	}
	limits := DefaultLimits()
	if maxAttempts := limits.RetryBurst + int(limits.RetriesPerSecond*outage.Seconds()); attempts > maxAttempts || attempts < 40 {
		t.Errorf("%d attempts, at most %d", attempts, maxAttempts)
	}
	if n := noted[NoParent](h.notes()); len(n) != 1 {
		t.Errorf("%d notes that no parent is connected", len(n))
	}
}

// TestRetryBudget: connects stay within the budget, however many candidates there are and however fast they refuse.
func TestRetryBudget(t *testing.T) {
	h := newHarness(t, 26)
	attempts := 0
	const outage = 20 * time.Second
	for end := h.now + outage; h.now < end; h.now += 10 * time.Millisecond {
		h.step()
		refused := h.connects
		h.connects = nil
		for _, name := range refused {
			attempts++
			h.s.Disconnected(h.now, name)
		}
	}
	limits := DefaultLimits()
	if maxAttempts := limits.RetryBurst + int(limits.RetriesPerSecond*outage.Seconds()); attempts > maxAttempts || attempts < maxAttempts-2 {
		t.Errorf("%d attempts in %s, at most %d", attempts, outage, maxAttempts)
	}
}

// TestLocalStallKeepsParents: after a stall of its own the process has unread messages of its parents, and must not
// disconnect them for silence.
func TestLocalStallKeepsParents(t *testing.T) {
	h, first, second := ready(t, 3)
	h.now += 20 * time.Second
	h.step()
	if len(h.closes) != 0 {
		t.Errorf("closed %v", h.closes)
	}
	h.heartbeatsFrom(first)() // read from a buffer in which it may have been for the whole stall
	if age := h.s.Age(region, h.now); age < 20*time.Second {
		t.Errorf("the age is %s after a stall of 20 s", age)
	}
	h.advance(5*time.Second, h.heartbeatsFrom(first), h.heartbeatsFrom(second))
	if age := h.s.Age(region, h.now); age > time.Second || h.source() != first {
		t.Errorf("the age is %s, streams from %q", age, h.source())
	}
}

// TestReturnToPreferredParent: a reconnected parent is preferred only after it was stable, at a time that differs between
// subscribers.
func TestReturnToPreferredParent(t *testing.T) {
	returnTimes := map[time.Duration]bool{}
	for seed := range uint64(20) {
		h, first, second := ready(t, 2)
		h.s.random.Uint64N(seed + 1) // makes the random draws differ
		for range seed {
			h.s.random.Uint64()
		}
		h.s.Disconnected(h.now, first)
		h.step()
		h.connects = nil
		for !slices.Contains(h.connects, first) {
			h.advance(250*time.Millisecond, h.heartbeatsFrom(second))
		}
		h.connect(first)
		start := h.now
		for h.source() != first && h.now < start+2*time.Minute {
			h.advance(500*time.Millisecond, h.heartbeatsFrom(first), h.heartbeatsFrom(second))
		}
		waited := h.now - start
		if limit := DefaultLimits().ReturnAfter; waited < limit || waited > 2*limit+time.Second {
			t.Errorf("returned after %s", waited)
		}
		returnTimes[waited] = true
	}
	if len(returnTimes) < 10 {
		t.Errorf("20 subscribers return at %d different times", len(returnTimes))
	}
}

func TestOldEpochRejected(t *testing.T) {
	h, first, _ := ready(t, 2)
	h.append(2, set(tenant("u", 1))...)
	h.mustReceive(first, h.delta(at(1, 1)))
	late := &message.Delta{Region: region, From: at(2, 2), To: at(1, 3), Changes: set(tenant("late", 1))}
	if err := h.receive(first, late); err == nil {
		t.Error("no error for a malformed delta from 2.2 to 1.3")
	}
	late.From = at(1, 2)
	h.mustReceive(first, late)
	h.mustReceive(first, late)
	h.mustReceive(first, &message.SnapshotPart{Region: region, Position: at(1, 9), Last: true})
	h.expectState()
	if n := noted[OldEpoch](h.notes()); len(n) != 1 || h.region().Counts.OldEpochs != 3 {
		t.Errorf("%d notes, counts %+v", len(n), h.region().Counts)
	}
}

// TestRestoredLog: a log restored under the same epoch is refused, with one line that says what to do; under a newer epoch
// it is applied.
func TestRestoredLog(t *testing.T) {
	h, first, second := ready(t, 2)
	backup := h.log.Snapshot(everything)
	for i := range 5 {
		h.append(1, set(tenant("u", float64(i)))...)
	}
	h.mustReceive(first, h.delta(at(1, 1)))
	back := at(1, 2)
	h.advance(30*time.Second, h.heartbeatsAt(first, back), h.heartbeatsAt(second, back))
	h.mustReceive(first, &message.SnapshotPart{Region: region, Position: back, Resources: backup, Last: true, Digest: message.DigestOf(backup)})
	h.expectState()
	n := noted[LogWentBack](h.notes())
	if len(n) != 1 || !strings.Contains(n[0].String(), "restore a log under a newer epoch than 1") || strings.Contains(n[0].String(), "\n") {
		t.Fatalf("notes %v", n)
	}
	if counts := h.region().Counts; counts.StaleSnapshots != 1 {
		t.Errorf("counts %+v", counts)
	}
	restored := changelog.NewStore(region, changelog.Limits{})
	if err := restored.Replace(at(2, 2), backup); err != nil {
		t.Fatal(err)
	}
	h.log = restored
	h.takeSnapshot(first)
	h.expectState()
}

// TestInterruptedSnapshot: the state in force stays until a new request brings a complete snapshot.
func TestInterruptedSnapshot(t *testing.T) {
	for name, interrupt := range map[string]func(h *harness, first, second string){
		"the parent restarts": func(h *harness, first, _ string) { h.s.Disconnected(h.now, first); h.step() },
		"a part is lost":      func(h *harness, first, _ string) { h.mustReceive(first, h.snapshot(4)[2]) },
		"no more parts come": func(h *harness, first, second string) {
			h.advance(8*time.Second, h.heartbeatsAt(first, at(2, 9)), h.heartbeatsAt(second, at(2, 9)))
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, first, second := ready(t, 2)
			h.append(2, set(tenant("u", 1), tenant("v", 1))...)
			for _, part := range h.snapshot(4)[:1] {
				h.mustReceive(first, part)
			}
			h.sent = nil
			interrupt(h, first, second)
			h.expectPosition(at(1, 1))
			for _, part := range h.snapshot(4)[1:] { // late parts of the interrupted snapshot
				_ = h.receive(first, part)
			}
			h.expectPosition(at(1, 1))
			if h.region().Counts.Torn == 0 {
				t.Errorf("counts %+v", h.region().Counts)
			}
			h.advance(3*time.Second, h.heartbeatsAt(first, at(2, 9)), h.heartbeatsAt(second, at(2, 9)))
			source := h.source()
			if len(h.subscribes(source)) == 0 {
				t.Errorf("no request was repeated")
			}
			for _, part := range h.snapshot(4) {
				h.mustReceive(source, part)
			}
			h.expectState()
		})
	}
}

// TestLateSnapshotParts: a repeated part of a snapshot in force must not start another assembly, which would block deltas.
func TestLateSnapshotParts(t *testing.T) {
	h, first, _ := ready(t, 2)
	h.mustReceive(first, h.snapshot(2)[0])
	h.append(1, set(tenant("u", 1))...)
	h.mustReceive(first, h.delta(at(1, 1)))
	h.expectState()
}

// TestRefusedTransaction: the last good state stays, one line names the resource and the field, and a later delta from the
// last good position repairs it.
func TestRefusedTransaction(t *testing.T) {
	h, first, _ := ready(t, 2)
	bad := &message.Delta{Region: region, From: at(1, 1), To: at(1, 2), Changes: set(tenant("good", 1), tenant("bad", -1))}
	bad.Digest = h.log.Digest(everything).Add(&bad.Changes[0].Resource).Add(&bad.Changes[1].Resource)
	for range 3 {
		h.mustReceive(first, bad)
	}
	h.expectPosition(at(1, 1))
	n := noted[TransactionRefused](h.notes())
	const line = `tenant "bad" of service "cart": quota: -1 requests a second; a finite number, not negative`
	var invalid *resource.InvalidError
	if len(n) != 1 || n[0].Err.Error() != line || !errors.As(n[0].Err, &invalid) {
		t.Fatalf("notes %v", n)
	}
	ack, ok := h.sent[len(h.sent)-1].Message.(*message.Acknowledge)
	if !ok || ack.Position != at(1, 1) || ack.Refused != line || h.region().Refused != line {
		t.Errorf("acknowledged %+v", h.sent[len(h.sent)-1])
	}
	h.append(1, set(tenant("good", 1), tenant("bad", 1))...)
	h.append(1, set(tenant("later", 1))...)
	h.mustReceive(first, h.delta(at(1, 1)))
	h.expectState()
	if h.region().Refused != "" {
		t.Errorf("still refused: %s", h.region().Refused)
	}
}

// TestRefusedStateIsRequestedAgain: a refused state is requested again with growing waits, as it may have been damaged in
// transit or may stay invalid.
func TestRefusedStateIsRequestedAgain(t *testing.T) {
	h, first, second := ready(t, 2)
	h.append(1, set(tenant("u", 1))...)
	bad := h.delta(at(1, 1))
	bad.Changes = append(bad.Changes, set(tenant("bad", -1))...)
	bad.Digest = bad.Digest.Add(&bad.Changes[1].Resource)
	standbyHeartbeat := func() { h.heartbeatsAt(second, at(1, 2))() }
	sourceHeartbeat := func() { _ = h.s.Receive(h.now, first, &message.Heartbeat{Region: region, Position: at(1, 2)}) }
	requests := 0
	for end := h.now + 5*time.Minute; h.now < end; {
		h.advance(500*time.Millisecond, standbyHeartbeat, sourceHeartbeat)
		if sent := len(h.subscribes(h.source())); sent > requests {
			requests = sent
			h.mustReceive(h.source(), bad)
		}
	}
	if requests < 5 || requests > 40 {
		t.Errorf("%d requests in 5 minutes", requests)
	}
	h.mustReceive(h.source(), h.delta(at(1, 1)))
	h.expectState()
}

// TestForeignRegionChangeRefused: after a partition in which both sides changed a service, changes of it in the other
// region's log are refused.
func TestForeignRegionChangeRefused(t *testing.T) {
	h, first, _ := ready(t, 2)
	foreign := service("stolen")
	foreign.Service = &resource.Service{Region: "south", MaxAttempts: 1}
	delta := &message.Delta{Region: region, From: at(1, 1), To: at(1, 2), Changes: set(foreign), Digest: h.log.Digest(everything).Add(&foreign)}
	h.mustReceive(first, delta)
	h.expectPosition(at(1, 1))
	if n := noted[TransactionRefused](h.notes()); len(n) != 1 || !strings.Contains(n[0].String(), "only the log of its home region changes a service") {
		t.Errorf("notes %v", n)
	}
}

func TestInvalidMessages(t *testing.T) {
	for name, c := range map[string]struct {
		parent string // "" for the source
		make   func(h *harness) message.Message
		reason DropReason
	}{
		"none":                   {"", func(*harness) message.Message { return nil }, DropMalformed},
		"from an unknown parent": {"mallory", func(h *harness) message.Message { return h.heartbeat("mallory", at(9, 9)) }, DropUnknownParent},
		"of another region":      {"", func(*harness) message.Message { return &message.Heartbeat{Region: "south", Position: at(9, 9)} }, DropUnknownRegion},
		"a subscription":         {"", func(*harness) message.Message { return &message.Subscribe{Region: region} }, DropUnexpected},
		"an acknowledgement":     {"", func(*harness) message.Message { return &message.Acknowledge{Region: region} }, DropUnexpected},
		"a delta that goes back": {"", func(*harness) message.Message { return &message.Delta{Region: region, From: at(1, 3), To: at(1, 2)} }, DropMalformed},
		"a negative age":         {"", func(*harness) message.Message { return &message.Heartbeat{Region: region, Age: -1} }, DropMalformed},
		"a negative wait":        {"", func(*harness) message.Message { return &message.Busy{Region: region, RetryAfter: -1} }, DropMalformed},
		"too many changes": {"", func(h *harness) message.Message {
			return &message.Delta{Region: region, From: at(1, 1), To: at(1, 2), Changes: make([]resource.Change, 6)}
		}, DropTooLarge},
		"too many resources": {"", func(h *harness) message.Message {
			return &message.SnapshotPart{Region: region, Position: at(1, 2), Resources: make([]resource.Resource, 6)}
		}, DropTooLarge},
		"a service not subscribed to": {"", func(h *harness) message.Message {
			return &message.Delta{Region: region, From: at(1, 1), To: at(1, 2), Changes: set(service("other"))}
		}, DropNotSubscribed},
		"a snapshot with a service not subscribed to": {"", func(h *harness) message.Message {
			return &message.SnapshotPart{Region: region, Position: at(1, 2), Resources: []resource.Resource{service("other")}}
		}, DropNotSubscribed},
	} {
		t.Run(name, func(t *testing.T) {
			h, first, _ := ready(t, 2)
			h.s.Subscribe(h.now, changelog.Filter{Services: []string{"cart"}})
			h.advance(subscriptionSettleTime, h.heartbeatsFrom(first))
			h.s.cfg.Limits.MaxChanges, h.s.cfg.Limits.MaxResources = 5, 5
			h.notes()
			before := h.s.Status(h.now).Dropped
			parent := c.parent
			if parent == "" {
				parent = first
			}
			for range 100 {
				err := h.receive(parent, c.make(h))
				var dropped *DroppedError
				if !errors.As(err, &dropped) || dropped.Reason != c.reason || strings.Contains(err.Error(), "\n") {
					t.Fatalf("error %v", err)
				}
			}
			h.expectState()
			if n := noted[MessageDropped](h.notes()); len(n) != 1 || n[0].Reason != c.reason {
				t.Errorf("%d notes: %v", len(n), n)
			}
			if got := h.s.Status(h.now).Dropped - before; got != 100 {
				t.Errorf("%d messages counted as dropped", got)
			}
		})
	}
}

// TestUnknownSendersNoteTableBounded: unknown senders that each use another name add one note and one entry.
func TestUnknownSendersNoteTableBounded(t *testing.T) {
	h, _, _ := ready(t, 2)
	for i := range 1000 {
		_ = h.receive(fmt.Sprint("stranger ", i), &message.Heartbeat{Region: strings.Repeat("x", i)})
	}
	if notes := h.notes(); len(notes) != 1 || len(h.s.lastNoted) != 1 || len(notes[0].String()) > 400 {
		t.Errorf("%d notes, %d entries", len(notes), len(h.s.lastNoted))
	}
}

// TestBusyParent: the wait that Busy announces is kept, up to MaxBusyWait.
func TestBusyParent(t *testing.T) {
	h := newHarness(t, 2)
	first, second := h.ranked()[0], h.ranked()[1]
	h.connect(first, second)
	h.sent = nil
	h.mustReceive(first, &message.Busy{Region: region, RetryAfter: 20 * time.Second})
	h.advance(19*time.Second, h.heartbeatsAt(first, at(1, 1)), h.heartbeatsAt(second, at(1, 1)))
	if requests := h.subscribes(first); len(requests) != 0 {
		t.Fatalf("%d requests before the wait was over", len(requests))
	}
	h.advance(2*time.Second, h.heartbeatsAt(first, at(1, 1)), h.heartbeatsAt(second, at(1, 1)))
	if requests := h.subscribes(first); len(requests) != 1 {
		t.Fatalf("%d requests after the wait", len(requests))
	}
	h.mustReceive(first, &message.Busy{Region: region, RetryAfter: 1000 * time.Hour})
	h.sent = nil
	h.advance(DefaultLimits().MaxBusyWait+time.Second, h.heartbeatsAt(first, at(1, 1)), h.heartbeatsAt(second, at(1, 1)))
	if requests := h.subscribes(first); len(requests) != 1 {
		t.Errorf("%d requests after the longest wait", len(requests))
	}
}

// TestUnknownFieldsInDelta: the parents' digest includes fields that this version can't read. They must not be requested
// again and again, and a missed change must still be detected.
func TestUnknownFieldsInDelta(t *testing.T) {
	const unknownDigest = message.Digest(12345)
	h, first, second := ready(t, 2)
	h.append(1, set(tenant("u", 1))...)
	delta := h.delta(at(1, 1))
	delta.Digest += unknownDigest
	h.s.MarkSkipped(h.now, first)
	h.mustReceive(first, delta)
	h.expectState()
	sent := func(digest message.Digest) func() {
		return func() {
			_ = h.s.Receive(h.now, first, &message.Heartbeat{Region: region, Position: h.log.Position(), Sent: h.log.Position(), Digest: digest})
		}
	}
	h.sent = nil
	h.advance(time.Minute, sent(h.log.Digest(everything)+unknownDigest), h.heartbeatsFrom(second))
	h.append(1, set(tenant("v", 1))...)
	delta = h.delta(at(1, 2)) // contains nothing unknown
	delta.Digest += unknownDigest
	h.mustReceive(first, delta)
	h.expectState()
	if requests := h.subscribes(first); len(requests) != 0 {
		t.Errorf("requests %v", requests)
	}
	h.advance(2*time.Second, sent(h.log.Digest(everything)+unknownDigest+1), h.heartbeatsFrom(second))
	if h.region().Counts.Mismatches == 0 || len(h.subscribes(first)) == 0 {
		t.Error("the digest mismatch was not detected")
	}
}

// TestUnknownFieldsInHeartbeat: unknown fields in a heartbeat must not disable the digest check of the message after it.
func TestUnknownFieldsInHeartbeat(t *testing.T) {
	h, first, _ := ready(t, 2)
	h.s.MarkSkipped(h.now, first)
	h.heartbeatsFrom(first)()
	before := h.region().Position
	h.append(1, set(tenant("u", 1))...)
	delta := h.delta(before)
	delta.Digest++
	_ = h.s.Receive(h.now, first, delta)
	if h.region().Counts.Mismatches != 1 || h.region().Position != before {
		t.Errorf("a delta with a wrong digest: %+v", h.region())
	}
}

// TestSubscriptionChanges: resources no longer subscribed to are removed at once, new ones arrive with a snapshot.
func TestSubscriptionChanges(t *testing.T) {
	h, first, _ := ready(t, 2)
	h.append(1, set(service("pay"))...)
	h.mustReceive(first, h.delta(at(1, 1)))
	h.applied, h.sent = nil, nil
	h.s.Subscribe(h.now, changelog.Filter{Services: []string{"cart"}})
	h.step()
	want := []resource.Change{{Resource: resource.Resource{Key: service("pay").Key}, Deleted: true}}
	if len(h.applied) != 1 || !reflect.DeepEqual(h.applied[0].Changes, want) {
		t.Errorf("applied %+v", h.applied)
	}
	requests := h.subscribes(first)
	if len(requests) != 1 || requests[0].Have != at(1, 2) || requests[0].Digest != h.log.Digest(changelog.Filter{Services: []string{"cart"}}) {
		t.Fatalf("requests %+v", requests)
	}
	h.s.Subscribe(h.now, everything)
	h.step()
	requests = h.subscribes(first)
	if len(requests) != 2 || !requests[1].Have.IsZero() {
		t.Fatalf("requests %+v", requests)
	}
	h.applied = nil
	h.takeSnapshot(first)
	h.expectState()
	if len(h.applied) != 1 || !reflect.DeepEqual(h.applied[0].Changes, set(service("pay"))) {
		t.Errorf("applied %+v", h.applied)
	}
}

// TestSnapshotKeepsHistory: a replica that serves others applies a later snapshot as a transaction with the differences, so
// that its own subscribers need no snapshot.
func TestSnapshotKeepsHistory(t *testing.T) {
	h, first, _ := ready(t, 2)
	h.append(1, set(tenant("u", 1))...)
	h.append(1, resource.Change{Resource: resource.Resource{Key: tenant("t", 0).Key}, Deleted: true})
	h.takeSnapshot(first)
	h.expectState()
	want := append(set(tenant("u", 1)), resource.Change{Resource: resource.Resource{Key: tenant("t", 0).Key}, Deleted: true})
	if len(h.applied) != 1 || !reflect.DeepEqual(h.applied[0].Changes, want) {
		t.Errorf("applied %+v", h.applied)
	}
	if changes, ok := h.s.Store(region).Changes(everything, at(1, 1)); !ok || len(changes) != 2 {
		t.Errorf("history holds %v, %t", changes, ok)
	}
}

func TestCandidatesChange(t *testing.T) {
	h, first, second := ready(t, 4)
	var remaining []parents.Candidate
	for _, p := range h.s.parents {
		if p.candidate.Name != first {
			remaining = append(remaining, p.candidate)
		}
	}
	h.s.SetCandidates(h.now, remaining)
	h.step()
	if !slices.Equal(h.closes, []string{first}) || len(h.connects) != 1 || h.source() != second {
		t.Errorf("closes %v, connects to %v, streams from %q", h.closes, h.connects, h.source())
	}
	remaining[0].Address = "elsewhere"
	h.closes, h.connects = nil, nil
	h.s.SetCandidates(h.now, remaining)
	h.step()
	if !slices.Equal(h.closes, []string{remaining[0].Name}) || !slices.Contains(h.connects, remaining[0].Name) {
		t.Errorf("closes %v, connects to %v", h.closes, h.connects)
	}
}

// TestParentsIsolatedFromControl: both parents are cut off from the control processes and report growing ages. The third
// parent in the ranking is connected and becomes the source.
func TestParentsIsolatedFromControl(t *testing.T) {
	h, first, second := ready(t, 3)
	third := h.ranked()[2]
	isolatedAt := h.now
	staleHeartbeats := func(parent string) func() {
		return func() {
			m := h.heartbeat(parent, at(1, 1))
			m.Age = h.now - isolatedAt
			_ = h.s.Receive(h.now, parent, m)
		}
	}
	h.append(1, set(tenant("u", 1))...)
	h.advance(20*time.Second, staleHeartbeats(first), staleHeartbeats(second))
	if !slices.Contains(h.connects, third) {
		t.Fatalf("connects to %v, want %s", h.connects, third)
	}
	h.connect(third)
	h.advance(5*time.Second, staleHeartbeats(first), staleHeartbeats(second), h.heartbeatsFrom(third))
	if h.source() != third {
		t.Fatalf("streams from %q", h.source())
	}
	h.mustReceive(third, h.delta(at(1, 1)))
	h.expectState()
}

func TestNotesAreOneLine(t *testing.T) {
	for _, n := range []Note{
		SourceChanged{region, "", "a", SwitchFirst}, SourceChanged{region, "a", "b", SwitchBehind}, ParentLost{"a", LossStale}, NoParent{},
		TransactionRefused{region, "a", at(1, 2), at(1, 1), errors.New("why")}, LogWentBack{region, "a", at(1, 1), at(1, 2)},
		DigestMismatch{region, "a", at(1, 1)}, OldEpoch{region, "a", at(1, 1), at(2, 1)}, MessageDropped{"a\n", region, DropTooLarge, "9"},
	} {
		if line := n.String(); line == "" || strings.Contains(line, "\n") || strings.Contains(line, "%!") {
			t.Errorf("%T: %q", n, line)
		}
	}
}

func BenchmarkDelta(b *testing.B) {
	log := changelog.NewStore(region, changelog.Limits{})
	filter := changelog.Filter{}
	var all []resource.Resource
	for i := range 200 {
		name := fmt.Sprintf("service-%03d", i)
		filter.Services = append(filter.Services, name)
		all = append(all, service(name))
		for j := range 100 {
			r := tenant(fmt.Sprint("t", j), 1)
			r.Key.Service = name
			all = append(all, r)
		}
	}
	if err := log.Replace(at(1, 1), all); err != nil {
		b.Fatal(err)
	}
	s := New(Config{Name: "node", Regions: []string{region}, Filter: filter, Candidates: []parents.Candidate{{Name: "a"}}, Limits: DefaultLimits()}, 0)
	s.Step(0)
	s.Connected(0, "a")
	s.Step(0)
	_ = s.Receive(0, "a", &message.SnapshotPart{Region: region, Position: at(1, 1), Resources: all, Last: true, Digest: message.DigestOf(all)})
	s.Step(0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r := tenant("t5", float64(i+2))
		r.Key.Service = filter.Services[i%200]
		t, err := log.Append(1, set(r))
		if err != nil {
			b.Fatal(err)
		}
		m := &message.Delta{Region: region, From: at(1, t.Position.Version-1), To: t.Position, Changes: t.Changes, Digest: log.Digest(filter)}
		_ = s.Receive(0, "a", m)
		if got := s.Step(0); len(got.Applied) != 1 {
			b.Fatalf("%+v", s.Status(0))
		}
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	s := New(Config{Name: "node", Regions: []string{region}, Filter: everything, Candidates: []parents.Candidate{{Name: "a"}}, Limits: DefaultLimits()}, 0)
	s.Step(0)
	s.Connected(0, "a")
	s.Step(0)
	m := &message.Heartbeat{Region: region}
	b.ReportAllocs()
	for b.Loop() {
		_ = s.Receive(0, "a", m)
		s.Step(0)
	}
}
