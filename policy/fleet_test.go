package policy

import (
	"fmt"
	"testing"
	"time"

	"craneglade/internal/health"
	"craneglade/internal/subset"
)

// many is a node of 80 over 60 backends in three zones, and its backends.
func many(t *testing.T, change ...func(*Settings)) (*Balancer, []*server) {
	t.Helper()
	var entries []Entry
	for i := range 60 {
		entries = append(entries, Entry{ID: uint32(i + 1), Place: subset.Hash(fmt.Sprint(i)), Zone: string("abc"[i%3]), Kind: "k"})
	}
	change = append([]func(*Settings){func(s *Settings) { s.Nodes, s.Number, s.Copies = 80, 5, true }}, change...)
	b := node(t, settings(change...), entries...)
	return b, b.order
}

// A node with one request in ten seconds hears of nothing in between: that is no sign of anything.
func TestARequestInTenSeconds(t *testing.T) {
	b, all := many(t)
	now, sends := t0, 0
	for i := range 60 {
		now += 10 * time.Second
		send := ask(b, now, fmt.Sprint("r", i), "top")
		if send.Kind != ActSend {
			t.Fatalf("request %d at an idle fleet: %v", i, send.Kind)
		}
		sends++
		for k := range 6 { // a slow answer, 300 ms: timers run meanwhile
			for _, a := range b.Handle(now+time.Duration(k)*50*time.Millisecond, &Event{Kind: EvTimer, Token: "tick"}, nil) {
				if a.Kind == ActSend {
					sends++
				}
			}
		}
		now += 300 * time.Millisecond
		outcome(b, now, send, OK, Load{Known: true, Queue: 0, Held: 1})
	}
	if sends != 60 {
		t.Errorf("%d sends for 60 requests: what was only unheard of was taken for lost", sends)
	}
	for _, s := range all {
		if s.Bad > 0 || s.Ejected > now.Seconds() {
			t.Errorf("backend %d is held to be bad (%.2f)", s.ID, s.Bad)
		}
	}
}

// A keyed request that may have run goes again to its group only, also where the node's part has one backend of that
// zone that is any good: beyond the part, but never beyond the group.
func TestAKeyedRepeatLeavesThePartNotItsGroup(t *testing.T) {
	for _, window := range []time.Duration{time.Second, 40 * time.Millisecond} {
		b, all := many(t, func(s *Settings) { s.Classes[2].Window = window })
		now := t0 + time.Minute
		first := uint32(0)
		for _, s := range all {
			fix(s, now, 0)
			s.served = 17
			if s.Zone == "a" && !s.wide && first == 0 {
				first = s.ID
			} else if !s.wide {
				s.Ejected = now.Seconds() + 3600
			}
		}
		b.retries = 10
		send := ask(b, now, "k", "key")
		if send.Server != first {
			t.Fatalf("sent to %d, want the one of its part in order, %d", send.Server, first)
		}
		again := outcome(b, now+50*time.Millisecond, send, Failed, Load{Known: true})
		if window < 50*time.Millisecond {
			if again.Kind == ActSend || again.Kind == ActRefuse {
				t.Errorf("after its window it ends with %v: it may have run", again.Kind)
			}
			continue
		}
		if again.Kind != ActSend || again.Server == first || b.servers[again.Server].Zone != "a" {
			t.Errorf("it goes on with %+v, want another backend of zone a", again)
		}
	}
}

// A backend whose connections are all taken turns away what comes on a new one, though nothing waits there, and answers
// what comes on one that is kept. It is not broken: it is left alone for a moment after each, and then used again.
func TestABackendWithAFullTableIsNeitherEjectedNorHammered(t *testing.T) {
	b, all := many(t)
	now := t0 + time.Minute
	var full *server
	part, _ := divided(b)
	for _, s := range all {
		fix(s, now, 0)
		s.served = 17
		if !s.wide && full == nil {
			full = s
		}
	}
	got := func(from, to time.Duration, turned int) (n int) { // so many of three are turned away
		for at := from; at < to; at += 50 * time.Millisecond {
			send := ask(b, at, fmt.Sprint("r", at), "low")
			for tries := 0; send.Kind == ActSend && tries < 3; tries++ {
				send.Attempt = tries
				if send.Server != full.ID {
					outcome(b, at, send, OK, Load{Known: true, Held: 1})
					break
				}
				o := OK
				if n++; n%3 < turned {
					o = Full
				}
				if send = outcome(b, at, send, o, Load{Known: true, Held: 1}); full.Ejected > at.Seconds() {
					t.Fatalf("it counts as broken after %d requests: %.2f", n, full.Bad)
				}
			}
			b.Handle(at+40*time.Millisecond, &Event{Kind: EvTimer, Token: "tick"}, nil)
		}
		return n
	}
	turned := got(now, now+10*time.Second, 2)
	if fair := 200 / len(part); turned == 0 || turned > 2*fair {
		t.Errorf("%d of 200 requests went to a backend that turns most away, a fair share is %d", turned, fair)
	}
	if n := got(now+10*time.Second, now+30*time.Second, 0); n < 400/2/len(part) {
		t.Errorf("%d of 400 requests are sent there once its table has room again", n)
	}
}

// A cold backend that this node has heard nothing of is believed to hold its part of what the others do: taken for as
// crowded as a warm one it would be in overload from its start, and empty.
func TestAColdBackendIsNotBelievedAsCrowdedAsAWarmOne(t *testing.T) {
	b, all := many(t)
	now := t0 + time.Minute
	for _, s := range all {
		fix(s, now, 0)
	}
	b.level.Mean = 4.8 // of 20 that a warm one may hold here, in 10 of which it is in overload
	var cold []*server
	for _, s := range all[:20] {
		cold = append(cold, s)
	}
	tell(b, now, cold, Active, now)
	for _, x := range b.Snapshot(now + 300*time.Millisecond) {
		if warm := x.Ramp == 1; warm && x.Held < 4.5 || !warm && (x.Held > 4.8*x.Ramp+0.01 || x.Held <= 0) {
			t.Errorf("backend %d, at %.2f of its capacity, is believed to hold %.2f", x.ID, x.Ramp, x.Held)
		}
	}
}

// Settings that make no sense get one line; a number outside the tier is taken as it is, and has a part like any other.
func TestNumbersOutsideTheTier(t *testing.T) {
	if _, err := New(settings(func(s *Settings) { s.Nodes = 0 }), 1); err == nil || err.Error() != "policy: Nodes: 0 is below 1" {
		t.Errorf("no nodes: %v", err)
	}
	if _, err := New(settings(func(s *Settings) { s.Number = -1 }), 1); err == nil {
		t.Error("a negative number is taken")
	}
	for _, number := range []int{79, 80, 5000} {
		b, _ := many(t, func(s *Settings) { s.Number = number })
		if part, _ := divided(b); len(part) != 6 {
			t.Errorf("node %d of 80 has a part of %d, want 6: 4 at home and one of each other zone", number, len(part))
		}
	}
}

// What the nodes know together: a tenant's share is what this node was told, and a backend that the others find broken
// gets nothing for a while, unless it has answered here a moment ago.
func TestWhatTheFleetKnows(t *testing.T) {
	set := Settings{Nodes: 4, MaxAttempts: 2, Classes: []Class{{Name: "c", Effect: Safe}},
		Tenants: []Tenant{{"greedy", 40}}, OverShare: 0.2}
	over := func(sh *Shared) int {
		b, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(t0, &Event{Kind: EvShared, Shared: sh}, nil)
		b.tenants[0].rate = 100
		n := 0
		for range 1000 {
			if b.overShare("greedy") {
				n++
			}
		}
		return n
	}
	if n := over(&Shared{Within: map[string]float64{"greedy": 0.3}}); n < 600 || n > 800 {
		t.Errorf("%d of 1000 past a share of three tenths, want about 700", n)
	}
	if n := over(&Shared{Within: map[string]float64{"greedy": 1e-9}}); n < 990 {
		t.Errorf("%d of 1000 past no share at all", n)
	}
	b, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Handle(t0, &Event{Kind: EvList, List: ListFull, Entries: []Entry{{ID: 1}, {ID: 2}}}, nil)
	now := t0 + 2*time.Second
	b.servers[1].lastOK, b.servers[2].lastOK = now.Seconds(), 0
	b.Handle(now, &Event{Kind: EvShared, Shared: &Shared{Out: []uint32{1, 2, 99}}}, nil)
	for range 50 {
		if s := b.pick(now.Seconds(), &request{class: b.classes[0]}, overload); s == nil || s.ID != 1 {
			t.Fatalf("%+v is drawn, want the one that has just answered here", s)
		}
	}
	if s := b.servers[2]; s.Ejected < now.Seconds()+health.FirstEjectionSeconds || !s.Trial {
		t.Errorf("it is out until %.1f, trial %v", s.Ejected-now.Seconds(), s.Trial)
	}
}
