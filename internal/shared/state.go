package shared

import (
	"cmp"
	"slices"
	"time"

	"craneglade/internal/shared/counts"
	"craneglade/internal/shared/escrow"
	"craneglade/internal/shared/judgement"
	"craneglade/internal/shared/packet"
)

// sightMemories is the age up to which another node's observation is part of the state, in judgement's Limits.Memory.
const sightMemories = 3

// State returns a frame of all that this node knows and that still counts, for a full exchange with another node, whose
// Receive takes it in. It has packet.MaxEntries entries at most.
func (r *Replica) State(now time.Duration) []byte {
	r.advance(now)
	entries := slices.Concat(r.windowEntries(), r.sightEntries())
	slices.SortFunc(entries, func(a, b packet.Entry) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Node.Number, b.Node.Number),
			cmp.Compare(a.Key, b.Key), cmp.Compare(a.Backend, b.Backend))
	})
	return packet.Frame(entries[:min(len(entries), packet.MaxEntries)]...)
}

// windowEntries returns the counts of this node and those of the others that are not stale.
func (r *Replica) windowEntries() []packet.Entry {
	var entries []packet.Entry
	for key, c := range r.localCounts {
		entries = append(entries, packet.Entry{Kind: packet.Window, Node: r.cfg.Self, Key: key, Window: c.Window})
	}
	r.table.All(func(key string, node int, told counts.TimedWindow) {
		age := r.clock.now - told.CountedAt
		if age > r.staleAfter() {
			return
		}
		from := escrow.Node{Number: node, Incarnation: told.Incarnation}
		entries = append(entries, packet.Entry{Kind: packet.Window, Node: from, Key: key, Window: told.Window, Age: age})
	})
	return entries
}

// sightEntries returns the observations of backends of this node and those of the others that are not too old.
func (r *Replica) sightEntries() []packet.Entry {
	var entries []packet.Entry
	r.pool.OwnObservations(func(key judgement.Key, sight judgement.Observation, at time.Duration) {
		entries = append(entries, packet.Entry{Kind: packet.Observation, Node: r.cfg.Self, Backend: key, Observation: sight, Age: r.clock.now - at})
	})
	r.pool.PeerObservations(func(number int, incarnation uint64, key judgement.Key, sight judgement.Observation, at time.Duration) {
		age := r.clock.now - at
		if age > sightMemories*r.cfg.Limits.DecayTime {
			return
		}
		from := escrow.Node{Number: number, Incarnation: incarnation}
		entries = append(entries, packet.Entry{Kind: packet.Observation, Node: from, Backend: key, Observation: sight, Age: age})
	})
	return entries
}
