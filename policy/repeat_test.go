package policy

import (
	"fmt"
	"testing"
	"time"
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
// it in another cell: where it ran is not known then.
func TestRepeatGroupSurvivesListUpdates(t *testing.T) {
	for name, c := range map[string]struct {
		change Entry
		kind   ListKind
		known  bool // the cell in which the request ran
	}{
		"removed":             {Entry{ID: 1, State: Removed}, ListDelta, true},
		"drained":             {Entry{ID: 1, State: Draining}, ListDelta, true},
		"left out":            {Entry{ID: 2, Zone: "a"}, ListFull, true},
		"replaced in place":   {Entry{ID: 1, Zone: "a", Cell: 0, Launched: t0}, ListDelta, true},
		"in another cell":     {Entry{ID: 1, Zone: "a", Cell: 0}, ListDelta, false},
		"in another cell now": {Entry{ID: 1, Zone: "a", Cell: 7}, ListDelta, false},
	} {
		for _, sameCell := range []bool{false, true} {
			t.Run(fmt.Sprint(name, "/", sameCell), func(t *testing.T) {
				b, send := newCellBalancer(t)
				b.Handle(t0, &Event{Kind: EvList, List: c.kind, Entries: []Entry{c.change}}, nil)
				if sameCell {
					b.Handle(t0, &Event{Kind: EvList, List: ListDelta, Entries: []Entry{{ID: 3, Zone: "a", Cell: 1}}}, nil)
				}
				repeat := endAttempt(b, t0+50*time.Millisecond, send, Reset, Load{})
				if wanted := sameCell && c.known; wanted && (repeat.Kind != ActSend || repeat.Backend != 3) {
					t.Errorf("the action is %+v, want a repeat at 3", repeat)
				} else if !wanted && repeat.Kind != ActFail {
					t.Errorf("the action is %+v, want a failure", repeat)
				}
			})
		}
	}
}
