package policy

import (
	"fmt"
	"testing"
	"time"

	"craneglade/internal/health"
	"craneglade/internal/subset"
)

// newFleetBalancer returns the balancer of one of 80 nodes with 60 backends in three zones, and the backends.
func newFleetBalancer(t *testing.T, change ...func(*Settings)) (*Balancer, []*backend) {
	t.Helper()
	var entries []Entry
	for i := range 60 {
		entries = append(entries, Entry{ID: uint32(i + 1), Hash: subset.Hash(fmt.Sprint(i)), Zone: string("abc"[i%3]), Kind: "k"})
	}
	change = append([]func(*Settings){func(s *Settings) { s.Nodes, s.Number, s.Copies = 80, 5, true }}, change...)
	b := newTestBalancer(t, settings(change...), entries...)
	return b, b.sorted
}

// A node with one request in ten seconds gets no answers in between, which must not count as lost attempts or failures.
func TestSparseTrafficIsNoSignOfLoss(t *testing.T) {
	b, backends := newFleetBalancer(t)
	now, sends := t0, 0
	for i := range 60 {
		now += 10 * time.Second
		send := sendRequest(b, now, fmt.Sprint("r", i), "top")
		if send.Kind != ActSend {
			t.Fatalf("request %d to an idle fleet: %v", i, send.Kind)
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
		endAttempt(b, now, send, OK, Load{Known: true, Queue: 0, Occupancy: 1})
	}
	if sends != 60 {
		t.Errorf("%d sends for 60 requests: attempts were presumed lost", sends)
	}
	for _, s := range backends {
		if s.Bad > 0 || s.Ejected > now.Seconds() {
			t.Errorf("backend %d counts as failing (%.2f)", s.ID, s.Bad)
		}
	}
}

// A keyed request that may have run is retried within its group only. If the subset of the node has no other usable
// backend of that zone, the retry leaves the subset, but never the group.
func TestKeyedRetryLeavesSubsetNotGroup(t *testing.T) {
	for _, window := range []time.Duration{time.Second, 40 * time.Millisecond} {
		b, backends := newFleetBalancer(t, func(s *Settings) { s.Classes[2].Window = window })
		now := t0 + time.Minute
		first := uint32(0)
		for _, s := range backends {
			setEstimate(s, now, 0)
			s.answers = 17
			if s.Zone == "a" && !s.outsideSubset && first == 0 {
				first = s.ID
			} else if !s.outsideSubset {
				s.Ejected = now.Seconds() + 3600
			}
		}
		b.retryTokens = 10
		send := sendRequest(b, now, "k", "key")
		if send.Backend != first {
			t.Fatalf("sent to %d, want the only usable one of the subset, %d", send.Backend, first)
		}
		retry := endAttempt(b, now+50*time.Millisecond, send, Failed, Load{Known: true})
		if window < 50*time.Millisecond {
			if retry.Kind == ActSend || retry.Kind == ActRefuse {
				t.Errorf("after its window the action is %v, want a failure: it may have run", retry.Kind)
			}
			continue
		}
		if retry.Kind != ActSend || retry.Backend == first || b.backends[retry.Backend].Zone != "a" {
			t.Errorf("retry %+v, want another backend of zone a", retry)
		}
	}
}

// A backend without free connections rejects requests on new ones, though nothing waits there, and answers requests on
// open ones. It is not failing: it is avoided for a moment after each rejection, and then used again.
func TestFullConnectionTableIsNeitherEjectedNorFlooded(t *testing.T) {
	b, backends := newFleetBalancer(t)
	now := t0 + time.Minute
	var full *backend
	inSubset, _ := splitSubset(b)
	for _, s := range backends {
		setEstimate(s, now, 0)
		s.answers = 17
		if !s.outsideSubset && full == nil {
			full = s
		}
	}
	simulate := func(from, to time.Duration, rejected int) (n int) { // so many of three are rejected
		for at := from; at < to; at += 50 * time.Millisecond {
			send := sendRequest(b, at, fmt.Sprint("r", at), "low")
			for tries := 0; send.Kind == ActSend && tries < 3; tries++ {
				send.Attempt = tries
				if send.Backend != full.ID {
					endAttempt(b, at, send, OK, Load{Known: true, Occupancy: 1})
					break
				}
				o := OK
				if n++; n%3 < rejected {
					o = Full
				}
				if send = endAttempt(b, at, send, o, Load{Known: true, Occupancy: 1}); full.Ejected > at.Seconds() {
					t.Fatalf("it was ejected after %d requests: failures %.2f", n, full.Bad)
				}
			}
			b.Handle(at+40*time.Millisecond, &Event{Kind: EvTimer, Token: "tick"}, nil)
		}
		return n
	}
	rejected := simulate(now, now+10*time.Second, 2)
	if fair := 200 / len(inSubset); rejected == 0 || rejected > 2*fair {
		t.Errorf("%d of 200 requests went to a backend that rejects most, a fair share is %d", rejected, fair)
	}
	if n := simulate(now+10*time.Second, now+30*time.Second, 0); n < 400/2/len(inSubset) {
		t.Errorf("%d of 400 requests are sent there once it has free connections again", n)
	}
}

// Without a report, the occupancy of a cold backend is estimated as its capacity's fraction of the mean: with the mean
// of warm ones it would count as overloaded from its start, and stay empty.
func TestColdBackendOccupancyIsScaled(t *testing.T) {
	b, backends := newFleetBalancer(t)
	now := t0 + time.Minute
	for _, s := range backends {
		setEstimate(s, now, 0)
	}
	b.othersLoad.Mean = 4.8 // below H of a warm backend (6, with R at 20), above that of a cold one
	var cold []*backend
	for _, s := range backends[:20] {
		cold = append(cold, s)
	}
	sendDelta(b, now, cold, Active, now)
	for _, x := range b.Snapshot(now + 300*time.Millisecond) {
		if warm := x.Ramp == 1; warm && x.Held < 4.5 || !warm && (x.Held > 4.8*x.Ramp+0.01 || x.Held <= 0) {
			t.Errorf("backend %d, at %.2f of its capacity, has an estimated occupancy of %.2f", x.ID, x.Ramp, x.Held)
		}
	}
}

// Invalid settings give one error line. A node number beyond the number of nodes is valid, and has a subset like any
// other.
func TestNodeNumberOutOfRange(t *testing.T) {
	if _, err := New(settings(func(s *Settings) { s.Nodes = 0 }), 1); err == nil || err.Error() != "policy: Nodes: 0 is below 1" {
		t.Errorf("no nodes: %v", err)
	}
	if _, err := New(settings(func(s *Settings) { s.Number = -1 }), 1); err == nil {
		t.Error("a negative node number is accepted")
	}
	for _, number := range []int{79, 80, 5000} {
		b, _ := newFleetBalancer(t, func(s *Settings) { s.Number = number })
		if inSubset, _ := splitSubset(b); len(inSubset) != 6 {
			t.Errorf("node %d of 80 has a subset of %d, want 6: 4 of its zone and one of each other zone", number, len(inSubset))
		}
	}
}

// The shared state sets the fraction of a tenant's requests within its quota, and ejects backends that the other nodes
// report as failing, unless they have just answered this node.
func TestSharedState(t *testing.T) {
	set := Settings{Nodes: 4, MaxAttempts: 2, Classes: []Class{{Name: "c", Effect: Safe}},
		Tenants: []Tenant{{"greedy", 40}}, OverShare: 0.2}
	countOverQuota := func(sh *SharedState) int {
		b, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		b.Handle(t0, &Event{Kind: EvShared, Shared: sh}, nil)
		b.tenants[0].rate = 100
		n := 0
		for range 1000 {
			if b.drawOverQuota("greedy") {
				n++
			}
		}
		return n
	}
	if n := countOverQuota(&SharedState{WithinQuota: map[string]float64{"greedy": 0.3}}); n < 600 || n > 800 {
		t.Errorf("%d of 1000 over quota with three tenths within it, want about 700", n)
	}
	if n := countOverQuota(&SharedState{WithinQuota: map[string]float64{"greedy": 1e-9}}); n < 990 {
		t.Errorf("%d of 1000 over quota with none within it", n)
	}
	b, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Handle(t0, &Event{Kind: EvList, List: ListFull, Entries: []Entry{{ID: 1}, {ID: 2}}}, nil)
	now := t0 + 2*time.Second
	b.backends[1].lastOKAt, b.backends[2].lastOKAt = now.Seconds(), 0
	b.Handle(now, &Event{Kind: EvShared, Shared: &SharedState{Ejected: []uint32{1, 2, 99}}}, nil)
	for range 50 {
		if s := b.pick(now.Seconds(), &request{class: b.classes[0]}, overload); s == nil || s.ID != 1 {
			t.Fatalf("%+v is picked, want the one that has just answered here", s)
		}
	}
	if s := b.backends[2]; s.Ejected < now.Seconds()+health.FirstEjectionSeconds || !s.Trial {
		t.Errorf("ejected for %.1f s, trial %v", s.Ejected-now.Seconds(), s.Trial)
	}
}
