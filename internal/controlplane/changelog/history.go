package changelog

import (
	"cmp"
	"slices"

	"craneglade/internal/controlplane/resource"
)

// history holds the latest transactions: the positions from which a delta can be computed, and the services that each
// transaction changed. The changed keys are kept in service.recentChanges.
type history struct {
	limits Limits
	spans  []span // oldest first; each starts at the end of the previous one
	bytes  int
}

// span is a step of the log that was applied at once: one transaction of the writer, or several that a replica received as
// one delta.
type span struct {
	from, to resource.Position
	services []*service // that changed, without duplicates
	bytes    int
}

const (
	spanBytes         = 96 // approximate memory of a span with its list of services
	recentChangeBytes = 48 // approximate memory of a recentChange, with unused capacity of its slice
)

// historyBytes returns the approximate memory that the history of a transaction uses.
func historyBytes(changes []resource.Change) int {
	total := spanBytes
	for i := range changes {
		total += recentChangeBytes + len(changes[i].Resource.Key.Name)
	}
	return total
}

// add appends a span and returns the oldest spans that it evicted to stay within the limits.
func (h *history) add(s span) (evicted []span) {
	h.spans = append(h.spans, s)
	h.bytes += s.bytes
	count := 0
	for count < len(h.spans) && (len(h.spans)-count > h.limits.Transactions || h.bytes > h.limits.Bytes) {
		h.bytes -= h.spans[count].bytes
		count++
	}
	evicted = slices.Clone(h.spans[:count])
	clear(h.spans[:count])
	h.spans = h.spans[count:]
	return evicted
}

// covers reports whether the history holds all changes after a position.
//
// It also covers positions inside a span of one epoch, where a replica received several transactions as one delta: versions
// increase by one, so the log was at each of these positions, and the changes of the span lead from there to its end.
func (h *history) covers(from resource.Position) bool {
	i, _ := slices.BinarySearchFunc(h.spans, from.Version, func(s span, v uint64) int { return cmp.Compare(s.to.Version, v) })
	if i == len(h.spans) {
		return false
	}
	s := &h.spans[i]
	if s.from == from || s.to == from {
		return true
	}
	oneEpoch := s.from.Epoch == s.to.Epoch && s.from.Epoch == from.Epoch
	return oneEpoch && s.from.Version < from.Version && from.Version < s.to.Version
}

// spansAfter returns the spans with changes after a position that the history covers.
func (h *history) spansAfter(from resource.Position) []span {
	i, _ := slices.BinarySearchFunc(h.spans, from.Version+1, func(s span, v uint64) int { return cmp.Compare(s.to.Version, v) })
	return h.spans[i:]
}
