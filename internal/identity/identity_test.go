package identity

import (
	"testing"
	"time"
)

// step is one event of a Record, at a time in seconds.
type step func(r *Record)

func answered(now, opened float64) step { return func(r *Record) { r.Answered(now, opened) } }
func failed(since float64) step         { return func(r *Record) { r.Failed(since) } }
func refused(at float64) step           { return func(r *Record) { r.Refused(at) } }
func ended(since float64) step          { return func(r *Record) { r.Ended(since) } }
func list(now float64) step             { return func(r *Record) { r.ListAnswered(now) } }

// A connection counts as one to the listed process only if nothing tells that this may have ended before it was opened.
func TestReaches(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		steps  []step
		opened float64
		want   bool
	}{
		"no evidence":                                   {nil, 10, true},
		"opened before a silence":                       {[]step{failed(5)}, 4, true},
		"opened after a silence":                        {[]step{failed(5)}, 6, false},
		"an old connection answers after the silence":   {[]step{failed(5), answered(7, 4)}, 6, true},
		"a new connection answers after the silence":    {[]step{failed(5), answered(7, 6)}, 6, false},
		"an old connection answered meanwhile":          {[]step{answered(7, 4), failed(5)}, 6, true},
		"and the connection is opened much later":       {[]step{answered(7, 4), failed(5)}, 80, true},
		"and one opened since that answered later":      {[]step{answered(7, 4), answered(9, 6), failed(5)}, 8, true},
		"an old connection answered before":             {[]step{answered(4, 3), failed(5)}, 6, false},
		"a new connection answered meanwhile":           {[]step{answered(7, 6), failed(5)}, 8, false},
		"two silences":                                  {[]step{failed(5), answered(9, 8), failed(7)}, 6, false},
		"refused":                                       {[]step{refused(5)}, 6, false},
		"refused, an old connection still answers":      {[]step{refused(5), answered(7, 4)}, 6, false},
		"refused, opened before":                        {[]step{refused(5)}, 4, true},
		"the list has had time to tell":                 {[]step{refused(5), answered(9, 8), list(20)}, 18, true},
		"the list has not had time to tell":             {[]step{refused(5), answered(9, 8), list(19)}, 18, false},
		"nothing answered since, which may start later": {[]step{refused(5), list(40)}, 41, false},
		"another silence before the list tells":         {[]step{failed(5), answered(9, 8), failed(10), list(20)}, 18, false},
		"the list has told of another process":          {[]step{ended(5), answered(9, 8), list(40)}, 41, false},
		"told, an old connection answers":               {[]step{ended(5), answered(9, 4)}, 10, false},
		"told, opened before":                           {[]step{ended(5)}, 4, true},
	} {
		var r Record
		for _, s := range c.steps {
			s(&r)
		}
		if got := r.Reaches(c.opened); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// The number of remembered connections is bounded, and forgetting one adds doubt only.
func TestProofsAreBounded(t *testing.T) {
	t.Parallel()
	var r Record
	for i := range 1000 {
		r.Answered(float64(10+i), float64(1+i))
	}
	if len(r.proofs) > maxProofs || cap(r.proofs) > 4*maxProofs {
		t.Errorf("%d proofs are kept, in room for %d", len(r.proofs), cap(r.proofs))
	}
}

// An attempt that got no answer casts no doubt on its own connection: that was open to the process of before.
func TestNote(t *testing.T) {
	t.Parallel()
	at := func(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
	for name, c := range map[string]struct {
		contact                Contact
		opened                 float64
		before, between, after bool // whether connections opened before the send, at 5 by that one, and later are sure
	}{
		"nothing known":            {Contact{}, 0, true, true, true},
		"written, no answer":       {Contact{Silent, at(5)}, 5, true, true, false},
		"old connection, silence":  {Contact{Silent, at(2)}, 2, true, false, false},
		"did not come up":          {Contact{Unreachable, at(5)}, 0, true, true, false},
		"refused":                  {Contact{Refused, at(5)}, 0, true, true, false},
		"abandoned or broken":      {Contact{Connected, at(5)}, 5, true, true, true},
		"answered, old connection": {Contact{Answered, at(2)}, 2, true, true, true},
	} {
		var r Record
		if opened := r.Note(8, 4, c.contact); opened != c.opened {
			t.Errorf("%s: opened at %v, want %v", name, opened, c.opened)
		}
		if before, between, after := r.Reaches(3), r.Reaches(5), r.Reaches(6); before != c.before || between != c.between || after != c.after {
			t.Errorf("%s: %v %v %v, want %v %v %v", name, before, between, after, c.before, c.between, c.after)
		}
	}
}

// A process is silent only if nothing has come since over connections opened until then, and if it has ever answered.
func TestSilent(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		steps []step
		want  bool
	}{
		"never answered":             {nil, false},
		"answered before":            {[]step{answered(4, 3)}, true},
		"answered since":             {[]step{answered(4, 3), answered(6, 2)}, false},
		"a new connection answered":  {[]step{answered(4, 3), answered(7, 6)}, true},
		"both, the old one at first": {[]step{answered(6, 3), answered(8, 7)}, false},
	} {
		var r Record
		for _, s := range c.steps {
			s(&r)
		}
		if got := r.Silent(5); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// What is not known equals nothing.
func TestGroups(t *testing.T) {
	t.Parallel()
	a := Group{Zone: "north", Cell: 1}
	for name, c := range map[string]struct {
		other      Group
		zone, cell bool
	}{
		"the same":     {a, true, true},
		"other cell":   {Group{Zone: "north", Cell: 2}, true, false},
		"other zone":   {Group{Zone: "south", Cell: 1}, false, true},
		"unknown cell": {Group{Zone: "north", Cell: 1, CellUnknown: true}, true, false},
		"unknown zone": {Group{Zone: "north", Cell: 1, ZoneUnknown: true}, false, true},
	} {
		if a.Shares(c.other, true) != c.zone || c.other.Shares(a, true) != c.zone || a.Shares(c.other, false) != c.cell || c.other.Shares(a, false) != c.cell {
			t.Errorf("%s: zone %v, cell %v", name, a.Shares(c.other, true), a.Shares(c.other, false))
		}
	}
}
