package policy

import (
	"fmt"
	"testing"
	"time"

	"craneglade/internal/subset"
)

// A node of 80 works with a part of 60 backends. Where that is of no use its requests go to others; where it is
// crowded, they don't: all nodes' parts are then, and connections to strangers made a crowd of every backend
// (docs/fleet-test.md).
func TestANodeWhosePartIsOfNoUseTakesTheRest(t *testing.T) {
	now := t0 + time.Minute
	for _, c := range []struct {
		name string
		does func(b *Balancer, part, rest []*backend) // to the part, or to both
		most int                                      // of 100 requests that go unsent
		keep bool                                     // what is beyond the part must get nothing
	}{
		{"crowded", func(_ *Balancer, part, _ []*backend) { crowd(part, now) }, 100, true},
		{"ejected", func(_ *Balancer, part, _ []*backend) {
			for _, s := range part {
				s.Ejected = now.Seconds() + 60
			}
		}, 0, false},
		{"crowded but for one, which is ejected", func(_ *Balancer, part, _ []*backend) {
			crowd(part[1:], now)
			part[0].Ejected = now.Seconds() + 60
		}, 100, true},
		{"gone", func(b *Balancer, part, _ []*backend) { tell(b, now, part, Removed, 0) }, 0, false},
		{"cold", func(b *Balancer, part, _ []*backend) { tell(b, now, part, Active, now) }, 0, false},
		{"crowded, and all others cold", func(b *Balancer, part, rest []*backend) {
			tell(b, now, rest, Active, now)
			crowd(part, now)
		}, 100, true},
	} {
		var entries []Entry
		for i := range 60 {
			entries = append(entries, Entry{ID: uint32(i + 1), Hash: subset.Hash(fmt.Sprint(i)), Zone: "a", Kind: "k"})
		}
		b := node(t, settings(func(s *Settings) { s.Nodes, s.Number = 80, 5 }), entries...)
		part, rest := divided(b)
		if len(part) != 9 {
			t.Fatalf("a part of %d, want 9 of 60", len(part))
		}
		for _, s := range b.sorted {
			fix(s, now, 0)
			s.answers = 60
		}
		b.pickCount, b.refreshedAt = 100, now.Seconds() // so that a cold backend's part of them is far from nothing
		was := map[uint32]bool{}
		for _, s := range rest {
			was[s.ID] = true
		}
		c.does(b, part, rest)
		unsent := 0
		for i := range 100 {
			send := ask(b, now, fmt.Sprint("r", i), "top")
			if send.Kind != ActSend {
				unsent++
				continue
			}
			if c.keep && was[send.Backend] {
				t.Errorf("%s: a backend beyond the part was sent a request", c.name)
			}
			outcome(b, now, send, OK, Load{Known: true})
		}
		if unsent > c.most {
			t.Errorf("%s: %d of 100 requests are not sent", c.name, unsent)
		}
		if again, _ := divided(b); c.name == "gone" && len(again) != 8 {
			t.Errorf("%s: a part of %d afterwards, want it filled up to 8 of 51", c.name, len(again))
		}
	}
}

func divided(b *Balancer) (part, rest []*backend) {
	for _, s := range b.sorted {
		if s.outsideSubset {
			rest = append(rest, s)
		} else {
			part = append(part, s)
		}
	}
	return part, rest
}

func crowd(all []*backend, now time.Duration) {
	for _, s := range all {
		fix(s, now, 1000)
	}
}

func tell(b *Balancer, now time.Duration, all []*backend, state State, launched time.Duration) {
	var entries []Entry
	for _, s := range all {
		e := s.Entry
		e.State, e.Launched = state, launched
		entries = append(entries, e)
	}
	b.Handle(now, &Event{Kind: EvList, List: ListDelta, Entries: entries}, nil)
}
