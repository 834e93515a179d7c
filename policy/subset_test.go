package policy

import (
	"fmt"
	"testing"
	"time"

	"craneglade/internal/subset"
)

// One of 80 nodes works with a subset of 60 backends. If no backend of the subset is usable its requests go to others.
// If the subset is overloaded they don't: those of all nodes are then, and connections to backends outside the subsets
// overloaded every backend (docs/fleet-test.md).
func TestUnusableSubsetFallsBackToFleet(t *testing.T) {
	now := t0 + time.Minute
	for _, c := range []struct {
		name       string
		prepare    func(b *Balancer, inSubset, others []*backend) // changes the subset or both
		maxUnsent  int                                            // of 100 requests
		subsetOnly bool                                           // no backend outside the subset may get a request
	}{
		{"overloaded", func(_ *Balancer, inSubset, _ []*backend) { overloadAll(inSubset, now) }, 100, true},
		{"ejected", func(_ *Balancer, inSubset, _ []*backend) {
			for _, s := range inSubset {
				s.Ejected = now.Seconds() + 60
			}
		}, 0, false},
		{"overloaded but for one, which is ejected", func(_ *Balancer, inSubset, _ []*backend) {
			overloadAll(inSubset[1:], now)
			inSubset[0].Ejected = now.Seconds() + 60
		}, 100, true},
		{"removed", func(b *Balancer, inSubset, _ []*backend) { sendDelta(b, now, inSubset, Removed, 0) }, 0, false},
		{"cold", func(b *Balancer, inSubset, _ []*backend) { sendDelta(b, now, inSubset, Active, now) }, 0, false},
		{"overloaded, and all others cold", func(b *Balancer, inSubset, others []*backend) {
			sendDelta(b, now, others, Active, now)
			overloadAll(inSubset, now)
		}, 100, true},
	} {
		var entries []Entry
		for i := range 60 {
			entries = append(entries, Entry{ID: uint32(i + 1), Hash: subset.Hash(fmt.Sprint(i)), Zone: "a", Kind: "k"})
		}
		b := newTestBalancer(t, settings(func(s *Settings) { s.Nodes, s.Number = 80, 5 }), entries...)
		inSubset, others := splitSubset(b)
		if len(inSubset) != 9 {
			t.Fatalf("a subset of %d, want 9 of 60", len(inSubset))
		}
		for _, s := range b.sorted {
			setEstimate(s, now, 0)
			s.answers = 60
		}
		b.pickCount, b.refreshedAt = 100, now.Seconds() // so that a cold backend gets a clear fraction of them
		outside := map[uint32]bool{}
		for _, s := range others {
			outside[s.ID] = true
		}
		c.prepare(b, inSubset, others)
		unsent := 0
		for i := range 100 {
			send := sendRequest(b, now, fmt.Sprint("r", i), "top")
			if send.Kind != ActSend {
				unsent++
				continue
			}
			if c.subsetOnly && outside[send.Backend] {
				t.Errorf("%s: a backend outside the subset was sent a request", c.name)
			}
			endAttempt(b, now, send, OK, Load{Known: true})
		}
		if unsent > c.maxUnsent {
			t.Errorf("%s: %d of 100 requests are not sent", c.name, unsent)
		}
		if again, _ := splitSubset(b); c.name == "removed" && len(again) != 8 {
			t.Errorf("%s: a subset of %d afterwards, want it filled up to 8 of 51", c.name, len(again))
		}
	}
}

func splitSubset(b *Balancer) (inSubset, others []*backend) {
	for _, s := range b.sorted {
		if s.outsideSubset {
			others = append(others, s)
		} else {
			inSubset = append(inSubset, s)
		}
	}
	return inSubset, others
}

func overloadAll(all []*backend, now time.Duration) {
	for _, s := range all {
		setEstimate(s, now, 1000)
	}
}

func sendDelta(b *Balancer, now time.Duration, all []*backend, state State, launched time.Duration) {
	var entries []Entry
	for _, s := range all {
		e := s.Entry
		e.State, e.Launched = state, launched
		entries = append(entries, e)
	}
	b.Handle(now, &Event{Kind: EvList, List: ListDelta, Entries: entries}, nil)
}
