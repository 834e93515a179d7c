package policy

import (
	"testing"
	"time"
)

// When a third of the fleet starts to drain at once, seconds before its successors are listed, its capacity is missing
// if all nodes stop using it at the same instant. So a draining backend still serves for a part of its grace, but only
// if the node knows when the drain was announced.
func TestDrainingBackendServesPartOfGrace(t *testing.T) {
	const grace = 2 * time.Second
	leaving := Entry{ID: 1, Zone: "a", State: Draining}
	for _, c := range []struct {
		name        string
		mustAsk     bool     // the list comes on request: the drain may have been announced earlier
		hasAnswered bool     // it has answered this node, which so ran before the list changed
		list        ListKind // the list that announces the drain
		repeated    bool     // and announces it again later
		after       time.Duration
		sent        bool
	}{
		{"soon after", false, true, ListDelta, false, 100 * time.Millisecond, true},
		{"late in its grace", false, true, ListDelta, false, 1300 * time.Millisecond, false},
		{"after its grace", false, true, ListDelta, false, grace + time.Millisecond, false},
		{"a list on request", true, true, ListDelta, false, 100 * time.Millisecond, false},
		{"a node that has just started", false, false, ListDelta, false, 100 * time.Millisecond, false},
		{"a full list, whose changes may be old", false, true, ListFull, false, 100 * time.Millisecond, false},
		{"announced twice: the second time starts no new grace", false, true, ListDelta, true, 1100 * time.Millisecond, false},
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
