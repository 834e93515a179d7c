package policy

import (
	"testing"
	"time"
)

// A third of the fleet told to drain at once, with successors seconds away: what all nodes stop using in the same
// instant is missing. A box goes on serving for a part of its grace, and only where this node is sure when it was told.
func TestDrainingBackendServesPartOfGrace(t *testing.T) {
	const grace = 2 * time.Second
	leaving := Entry{ID: 1, Zone: "a", State: Draining}
	for _, c := range []struct {
		name        string
		mustAsk     bool     // the list is asked for: what is told may have counted as told before
		hasAnswered bool     // it has answered this process, which so was there before the list changed
		list        ListKind // how it is told
		repeated    bool     // and told once more, later
		after       time.Duration
		sent        bool
	}{
		{"soon after", false, true, ListDelta, false, 100 * time.Millisecond, true},
		{"late in its grace", false, true, ListDelta, false, 1300 * time.Millisecond, false},
		{"past its grace", false, true, ListDelta, false, grace + time.Millisecond, false},
		{"a list that is asked for", true, true, ListDelta, false, 100 * time.Millisecond, false},
		{"a node that has just started", false, false, ListDelta, false, 100 * time.Millisecond, false},
		{"a whole list, whose news may be old", false, true, ListFull, false, 100 * time.Millisecond, false},
		{"told twice: the second telling begins no new grace", false, true, ListDelta, true, 1100 * time.Millisecond, false},
	} {
		b := newTestBalancer(t, settings(func(s *Settings) { s.DrainGrace, s.MustAsk = grace, c.mustAsk }), Entry{ID: 1, Zone: "a"})
		if c.hasAnswered {
			endAttempt(b, t0, sendRequest(b, t0, "first", "top"), OK, Load{Known: true})
		}
		b.Handle(t0, &Event{Kind: EvList, List: c.list, Entries: []Entry{leaving}}, nil)
		if c.repeated {
			b.Handle(t0+time.Second, &Event{Kind: EvList, List: c.list, Entries: []Entry{leaving}}, nil)
		}
		if got := sendRequest(b, t0+c.after, "second", "top").Kind == ActSend; got != c.sent {
			t.Errorf("%s: sent %v, want %v", c.name, got, c.sent)
		}
	}
}
