package counts

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func window(t *rapid.T, name string) Window {
	w := Window{Incarnation: rapid.Uint64Range(1, 3).Draw(t, name+" life")}
	for range rapid.IntRange(0, 12).Draw(t, name+" adds") {
		w.Add(w.Epoch+rapid.Uint64Range(0, 3).Draw(t, name+" epochs"), rapid.Uint64Range(0, 9).Draw(t, name+" n"))
	}
	return w
}

// Join gives the same window in whatever order, grouping and number windows arrive.
func TestJoinIsCommutativeAssociativeIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := window(t, "a"), window(t, "b"), window(t, "c")
		if Join(a, b) != Join(b, a) {
			t.Fatalf("Join is not commutative: %v, %v", Join(a, b), Join(b, a))
		}
		if Join(Join(a, b), c) != Join(a, Join(b, c)) {
			t.Fatal("Join is not associative")
		}
		if Join(a, a) != a || Join(Join(a, b), b) != Join(a, b) {
			t.Fatal("Join is not idempotent")
		}
	})
}

// A table that has received a node's latest window has that node's counts, whichever earlier ones were lost, duplicated or
// reordered.
func TestTableConvergesDespiteLossAndReordering(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		own, table := Window{Incarnation: 1}, NewTable()
		var sent []Window
		epoch := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			epoch += rapid.Uint64Range(0, 2).Draw(t, "epochs")
			own.Add(epoch, rapid.Uint64Range(0, 5).Draw(t, "n"))
			sent = append(sent, own)
			if rapid.Bool().Draw(t, "arrives") { // any window that was ever sent, any number of times
				table.Merge("k", 4, sent[rapid.IntRange(0, len(sent)-1).Draw(t, "which")], 0)
			}
		}
		table.Merge("k", 4, own, time.Second)
		if got, _ := table.Get("k", 4); got.Window != own {
			t.Fatalf("table has %v, node counted %v", got.Window, own)
		}
		if table.Merge("k", 4, own, time.Second) {
			t.Fatal("a window that is known already is reported as a change")
		}
	})
}

func TestRates(t *testing.T) {
	w := Window{}
	if w.Rate() >= 0 {
		t.Errorf("rate of a window with no closed epoch: %v, want a negative one", w.Rate())
	}
	for e := range uint64(20) {
		w.Add(e, 5)
	}
	if got := w.Rate(); got != 10 {
		t.Errorf("5 in each half second: rate %v, want 10", got)
	}
	w.Add(25, 1)
	if got := w.Rate(); got >= 10 || got <= 0 {
		t.Errorf("after 2.5 s without requests: rate %v, want one between 0 and 10", got)
	}
	later := Window{Incarnation: 1}
	later.Add(2, 1)
	if got := Join(w, later); got != later {
		t.Errorf("a later incarnation does not replace an earlier one: %v", got)
	}
	table := NewTable()
	table.Merge("k", 1, w, time.Second)
	table.Prune(5*time.Second, 3*time.Second)
	if _, ok := table.Get("k", 1); ok || len(table.keys) > 0 {
		t.Error("an old window is not pruned")
	}
}
