package changelog

import (
	"cmp"
	"slices"

	"craneglade/internal/controlplane/resource"
)

// history is the latest transactions: from which positions a delta can be given, and which services each touched. What was
// changed is remembered by the services.
type history struct {
	limits Limits
	spans  []span // each begins where the one before ends
	bytes  int
}

// span is what a store took at once: one transaction of the writer, or several that a replica was sent as one delta.
type span struct {
	from, to resource.Position
	services []*service // that it changed, each once
	bytes    int
}

const (
	spanBytes         = 96 // a span with its list of services, about
	recentChangeBytes = 48 // a recentChange with its share of slack, about
)

// historyBytes is about what the history of a transaction takes.
func historyBytes(changes []resource.Change) int {
	total := spanBytes
	for i := range changes {
		total += recentChangeBytes + len(changes[i].Resource.Key.Name)
	}
	return total
}

// add puts a span at the end and returns those that have to go for it.
func (h *history) add(s span) (forgotten []span) {
	h.spans = append(h.spans, s)
	h.bytes += s.bytes
	count := 0
	for count < len(h.spans) && (len(h.spans)-count > h.limits.Transactions || h.bytes > h.limits.Bytes) {
		h.bytes -= h.spans[count].bytes
		count++
	}
	forgotten = slices.Clone(h.spans[:count])
	clear(h.spans[:count])
	h.spans = h.spans[count:]
	return forgotten
}

// reaches reports whether what changed after a position is known.
//
// A position within a span of one epoch is known too, where a replica was sent several transactions as one: versions grow
// by one, so a writer of that epoch stood there, and the span's changes bring its state up to the span's end.
func (h *history) reaches(from resource.Position) bool {
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

// after is the spans that changed something after a position that history reaches.
func (h *history) after(from resource.Position) []span {
	i, _ := slices.BinarySearchFunc(h.spans, from.Version+1, func(s span, v uint64) int { return cmp.Compare(s.to.Version, v) })
	return h.spans[i:]
}
