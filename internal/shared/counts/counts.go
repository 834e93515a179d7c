// Package counts holds the request counts that the nodes of a fleet replicate: a grow-only counter (G-counter) for each
// node, key and epoch of that node's clock, of which the latest epochs are kept. Windows are merged by state, so that one
// that is duplicated, delayed, reordered or lost changes nothing that a later one does not repair.
//
// The package has no I/O, clock or goroutines. Nothing in it is safe for concurrent use.
package counts

import (
	"math"
	"time"
)

const (
	WindowEpochs  = 8                      // number of epochs that a window keeps, the open one included
	EpochDuration = 500 * time.Millisecond // by the clock of the counting node
)

// Window has the recent counts of one incarnation of a node. The zero value has counted nothing.
type Window struct {
	Incarnation uint64               // of the node; the window of a later incarnation replaces that of an earlier one
	Epoch       uint64               // the open one, counted from 0 at the start of the incarnation
	Counts      [WindowEpochs]uint64 // element i is the count of epoch Epoch-i
}

// EpochAt returns the epoch at a time since the start of the incarnation.
func EpochAt(since time.Duration) uint64 { return uint64(max(0, since) / EpochDuration) }

// advanceTo opens an epoch and drops the epochs that no longer fit into the window.
func (w *Window) advanceTo(epoch uint64) {
	if epoch <= w.Epoch {
		return
	}
	shift := min(epoch-w.Epoch, WindowEpochs)
	copy(w.Counts[shift:], w.Counts[:WindowEpochs-shift])
	clear(w.Counts[:shift])
	w.Epoch = epoch
}

// Add adds n to the count of an epoch. Where the epoch is before the open one, because the clock was set back, n is added
// to the open one. The count saturates at the largest uint64.
func (w *Window) Add(epoch, n uint64) {
	w.advanceTo(epoch)
	if w.Counts[0] > math.MaxUint64-n {
		n = math.MaxUint64 - w.Counts[0]
	}
	w.Counts[0] += n
}

// Join merges two windows of one node. It is commutative, associative and idempotent.
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
	b.advanceTo(a.Epoch)
	for i := range a.Counts {
		a.Counts[i] = max(a.Counts[i], b.Counts[i])
	}
	return a
}

// Closed returns the sum of the closed epochs that are kept, and their number.
func (w Window) Closed() (sum, epochs uint64) {
	epochs = min(w.Epoch, WindowEpochs-1)
	for _, n := range w.Counts[1 : epochs+1] {
		sum += min(n, math.MaxUint64-sum)
	}
	return sum, epochs
}

// Rate returns the mean rate per second over the closed epochs, or -1 where there is none.
func (w Window) Rate() float64 {
	sum, closed := w.Closed()
	if closed == 0 {
		return -1
	}
	return float64(sum) / (float64(closed) * EpochDuration.Seconds())
}

// TimedWindow is a window with the time, by this node's clock, at which it was counted.
type TimedWindow struct {
	Window
	CountedAt time.Duration
}

// Table has the windows of all nodes that are known here, by key.
type Table struct {
	keys map[string]map[int]*TimedWindow
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{keys: map[string]map[int]*TimedWindow{}} }

// Merge merges a node's window that was counted at a time, and reports whether it changed the table.
func (t *Table) Merge(key string, node int, window Window, at time.Duration) bool {
	nodes := t.keys[key]
	if nodes == nil {
		nodes = map[int]*TimedWindow{}
		t.keys[key] = nodes
	}
	old := nodes[node]
	if old == nil {
		nodes[node] = &TimedWindow{window, at}
		return true
	}
	joined := Join(old.Window, window)
	if joined == old.Window {
		return false
	}
	if joined.Incarnation != old.Incarnation || joined.Epoch != old.Epoch {
		old.CountedAt = at
	}
	old.Window = joined
	return true
}

// Get returns what is known of a node's window; false where nothing is.
func (t *Table) Get(key string, node int) (TimedWindow, bool) {
	if w := t.keys[key][node]; w != nil {
		return *w, true
	}
	return TimedWindow{}, false
}

// Rates calls f with each node's rate for a key and the age of its window, in no particular order.
func (t *Table) Rates(now time.Duration, key string, f func(node int, rate float64, age time.Duration)) {
	for node, w := range t.keys[key] {
		f(node, w.Rate(), max(0, now-w.CountedAt))
	}
}

// Prune removes the windows that were counted longer than age ago.
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

// All calls f with every window, in no particular order.
func (t *Table) All(f func(key string, node int, w TimedWindow)) {
	for key, nodes := range t.keys {
		for node, w := range nodes {
			f(key, node, *w)
		}
	}
}
