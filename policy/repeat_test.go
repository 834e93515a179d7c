package policy

import (
	"fmt"
	"testing"
	"time"

	"craneglade/internal/identity"
)

// cellSettings has a class whose repeats only the backends of a cell drop.
func cellSettings(s *Settings) { s.Classes[2].Group = GroupCell }

// newCellBalancer returns a balancer with backends 1 in cell 1 and 2 in cell 0, and the send of a keyed request to the
// first.
func newCellBalancer(t *testing.T) (*Balancer, Action) {
	t.Helper()
	first := Entry{ID: 1, Zone: "a", Cell: 1}
	b := newTestBalancer(t, settings(cellSettings), first)
	send := sendRequest(b, t0, "k", "key")
	if send.Kind != ActSend || send.Backend != 1 {
		t.Fatalf("the first attempt is %+v", send)
	}
	b.Handle(t0, &Event{Kind: EvList, List: ListDelta, Entries: []Entry{{ID: 2, Zone: "a", Cell: 0}}}, nil)
	return b, send
}

// A keyed request that may have run is repeated in the cell of its backend, and nowhere if none is left there. An update
// that removes or drains its backend without telling its cell must not move it to cell 0, and neither must one that lists
// it in another cell. Where another process may have got the attempt, the cell is not known, and there is no repeat.
func TestRepeatGroupSurvivesListUpdates(t *testing.T) {
	lateEnd, earlyEnd := t0+200*time.Millisecond, t0+100*time.Millisecond // the attempt reached its backend before, or not surely
	for name, c := range map[string]struct {
		known   bool // the cell in which the request ran
		kind    ListKind
		changes []Entry
	}{
		"removed":                    {true, ListDelta, []Entry{{ID: 1, State: Removed}}},
		"drained":                    {true, ListDelta, []Entry{{ID: 1, State: Draining}}},
		"left out":                   {true, ListFull, []Entry{{ID: 2, Zone: "a"}}},
		"replaced in place":          {true, ListDelta, []Entry{{ID: 1, Zone: "a", Launched: lateEnd}}},
		"replaced in place before":   {false, ListDelta, []Entry{{ID: 1, Zone: "a", Cell: 1, Launched: earlyEnd}}},
		"in another cell":            {false, ListDelta, []Entry{{ID: 1, Zone: "a", Cell: 0}}},
		"in a third cell":            {false, ListDelta, []Entry{{ID: 1, Zone: "a", Cell: 7}}},
		"in no known cell":           {false, ListDelta, []Entry{{ID: 1, Zone: "a", Cell: 1, CellUnknown: true}}},
		"ended after":                {true, ListDelta, []Entry{{ID: 1, State: Removed, EndedAt: lateEnd}}},
		"ended before":               {false, ListDelta, []Entry{{ID: 1, State: Removed, EndedAt: earlyEnd}}},
		"removed, told ended before": {false, ListDelta, []Entry{{ID: 1, State: Removed}, {ID: 1, State: Removed, EndedAt: earlyEnd}}},
	} {
		for candidate, usable := range map[*Entry]bool{nil: false, {ID: 3, Zone: "a", Cell: 1}: true, {ID: 3, Zone: "a", Cell: 1, CellUnknown: true}: false} {
			t.Run(fmt.Sprint(name, "/", candidate), func(t *testing.T) {
				b, send := newCellBalancer(t)
				now := t0 + 300*time.Millisecond
				for i := range c.changes {
					b.Handle(now, &Event{Kind: EvList, List: c.kind, Entries: c.changes[i : i+1]}, nil)
				}
				if candidate != nil {
					b.Handle(now, &Event{Kind: EvList, List: ListDelta, Entries: []Entry{*candidate}}, nil)
				}
				repeat := endAttempt(b, now, send, Reset, Load{})
				if wanted := usable && c.known; wanted && (repeat.Kind != ActSend || repeat.Backend != 3) {
					t.Errorf("the action is %+v, want a repeat at 3", repeat)
				} else if !wanted && repeat.Kind != ActFail {
					t.Errorf("the action is %+v, want a failure", repeat)
				}
			})
		}
	}
}

// While an attempt at a backend is late and nothing has come over its connections since, another process may have its
// address. No keyed request that may have run is repeated there, nor after a new connection there.
func TestNoRepeatWhileBackendIsSilent(t *testing.T) {
	const opened = t0 - 10*time.Second
	for name, c := range map[string]struct {
		alive   bool          // an answer has come since over a connection of before
		at      time.Duration // of the failure
		to      uint32        // backend of the attempt that fails
		opened  time.Duration // its connection
		repeats bool
	}{
		"repeat at the silent one":              {false, time.Second, 2, opened, false},
		"repeat at it before it is late":        {false, 100 * time.Millisecond, 2, opened, true},
		"repeat at one that has answered since": {true, time.Second, 2, opened, true},
		"failed on a new connection there":      {false, time.Second, 1, t0 + 900*time.Millisecond, false},
		"failed on an old connection there":     {false, time.Second, 1, opened, true},
		"failed there, answered since":          {true, time.Second, 1, t0 + 200*time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBalancer(t, settings(cellSettings), Entry{ID: 1, Zone: "a", Cell: 1})
			end := func(now time.Duration, send Action, o Outcome, connected time.Duration) Action {
				return lastAction(b.Handle(now, &Event{Kind: EvOutcome, ID: send.ID, Backend: send.Backend, Outcome: o, Finished: o == OK,
					Contact: identity.Contact{Kind: identity.Answered, At: connected}}, nil))
			}
			end(t0, sendRequest(b, t0, "before", "low"), OK, opened)
			sendRequest(b, t0, "late", "low")
			failing := Entry{ID: c.to, Zone: "a", Cell: 1}
			other := Entry{ID: 3 - c.to, Zone: "a", Cell: 1}
			if c.to == 2 { // the only one that takes the request
				b.Handle(t0, &Event{Kind: EvList, List: ListDelta, Entries: []Entry{{ID: 1, State: Draining}, failing}}, nil)
			}
			send := sendRequest(b, t0+c.at-50*time.Millisecond, "k", "key")
			if send.Kind != ActSend || send.Backend != c.to {
				t.Fatalf("the first attempt is %+v", send)
			}
			b.Handle(t0+c.at, &Event{Kind: EvList, List: ListDelta, Entries: []Entry{other}}, nil)
			if c.alive {
				b.backends[1].process.Answered((t0 + c.at/2).Seconds(), opened.Seconds())
			}
			setEstimate(b.backends[1], t0+c.at, 0)
			repeat := end(t0+c.at, send, Failed, c.opened)
			if c.repeats && (repeat.Kind != ActSend || repeat.Backend != other.ID) || !c.repeats && repeat.Kind != ActFail {
				t.Errorf("the action is %+v", repeat)
			}
		})
	}
}
