// Package counts holds what the nodes of a fleet count together: one counter for each node and key, grow-only within an
// epoch of that node's clock, of which the latest epochs are kept. Windows are joined by the state that they are in, so
// that a window that comes twice, late, out of turn or not at all changes nothing that another one does not mend.
//
// There is no I/O, clock or goroutine here, and nothing is safe for concurrent use.
package counts

import (
	"math"
	"time"
)

const (
	WindowEpochs  = 8                      // that a window keeps, the open one included
	EpochDuration = 500 * time.Millisecond // by the clock of the node that counts
)

// Window is what one life of a node has counted lately. The zero value has counted nothing.
type Window struct {
	Incarnation uint64               // of the life; a later life's window replaces an earlier one's
	Epoch       uint64               // the open one, from 0 at the life's start
	Counts      [WindowEpochs]uint64 // of the epochs Epoch-i
}

// EpochAt is the epoch in which a moment lies, as a span since the start of the life.
func EpochAt(since time.Duration) uint64 { return uint64(max(0, since) / EpochDuration) }

// turn opens an epoch; what is older than the window goes.
func (w *Window) turn(epoch uint64) {
	if epoch <= w.Epoch {
		return
	}
	by := min(epoch-w.Epoch, WindowEpochs)
	copy(w.Counts[by:], w.Counts[:WindowEpochs-by])
	clear(w.Counts[:by])
	w.Epoch = epoch
}

// Add counts n in an epoch of the window's own life. One before the open epoch, by a clock that was set back, counts in
// the open one.
func (w *Window) Add(epoch, n uint64) {
	w.turn(epoch)
	if w.Counts[0] > math.MaxUint64-n {
		n = math.MaxUint64 - w.Counts[0]
	}
	w.Counts[0] += n
}

// Join is what two windows of one node tell together. It is commutative, associative and idempotent.
func Join(a, b Window) Window {
	if a.Incarnation != b.Incarnation {
		if a.Incarnation > b.Incarnation {
			return a
		}
		return b
	}
	if a.Epoch < b.Epoch {
		a, b = b, a
	}
	b.turn(a.Epoch)
	for i := range a.Counts {
		a.Counts[i] = max(a.Counts[i], b.Counts[i])
	}
	return a
}

// Closed is what was counted in the epochs that are closed and kept, and how many these are.
func (w Window) Closed() (sum, epochs uint64) {
	epochs = min(w.Epoch, WindowEpochs-1)
	for _, n := range w.Counts[1 : epochs+1] {
		sum += min(n, math.MaxUint64-sum)
	}
	return sum, epochs
}

// Rate is the mean count a second over the epochs that are closed; negative while none is.
func (w Window) Rate() float64 {
	sum, closed := w.Closed()
	if closed == 0 {
		return -1
	}
	return float64(sum) / (float64(closed) * EpochDuration.Seconds())
}

// TimedWindow is a window with the moment, by this node's clock, at which it was counted.
type TimedWindow struct {
	Window
	CountedAt time.Duration
}

// Table is what is known here of every node's windows, by key.
type Table struct {
	keys map[string]map[int]*TimedWindow
}

// NewTable returns a table in which nothing is known.
func NewTable() *Table { return &Table{keys: map[string]map[int]*TimedWindow{}} }

// Merge takes in a node's window that was counted at a moment, and tells whether it says anything new.
func (t *Table) Merge(key string, node int, w Window, at time.Duration) bool {
	nodes := t.keys[key]
	if nodes == nil {
		nodes = map[int]*TimedWindow{}
		t.keys[key] = nodes
	}
	old := nodes[node]
	if old == nil {
		nodes[node] = &TimedWindow{w, at}
		return true
	}
	joined := Join(old.Window, w)
	if joined == old.Window {
		return false
	}
	if joined.Incarnation != old.Incarnation || joined.Epoch != old.Epoch {
		old.CountedAt = at
	}
	old.Window = joined
	return true
}

// Get is what is known of a node's window; false where nothing is.
func (t *Table) Get(key string, node int) (TimedWindow, bool) {
	if w := t.keys[key][node]; w != nil {
		return *w, true
	}
	return TimedWindow{}, false
}

// Rates calls f with each node's rate for a key and the age of what is known, in no order.
func (t *Table) Rates(now time.Duration, key string, f func(node int, rate float64, age time.Duration)) {
	for node, w := range t.keys[key] {
		f(node, w.Rate(), max(0, now-w.CountedAt))
	}
}

// Prune forgets what was told longer ago than age.
func (t *Table) Prune(now, age time.Duration) {
	for key, nodes := range t.keys {
		for node, w := range nodes {
			if now-w.CountedAt > age {
				delete(nodes, node)
			}
		}
		if len(nodes) == 0 {
			delete(t.keys, key)
		}
	}
}

// All calls f with all that is known, in no order.
func (t *Table) All(f func(key string, node int, w TimedWindow)) {
	for key, nodes := range t.keys {
		for node, w := range nodes {
			f(key, node, *w)
		}
	}
}
