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

// observationMaxDecayTimes is the age, in units of judgement's Limits.DecayTime, up to which another node's observation is
// part of the state.
const observationMaxDecayTimes = 3

// State returns a frame of everything that this node knows and that is not stale, for a full exchange with another node,
// which passes it to Receive. It has at most packet.MaxEntries entries.
func (r *Replica) State(now time.Duration) []byte {
	r.advance(now)
	entries := slices.Concat(r.windowEntries(), r.observationEntries())
	slices.SortFunc(entries, func(a, b packet.Entry) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Node.Number, b.Node.Number),
			cmp.Compare(a.Key, b.Key), cmp.Compare(a.Backend, b.Backend))
	})
	return packet.Frame(entries[:min(len(entries), packet.MaxEntries)]...)
}

// windowEntries returns the counts of this node, and those of other nodes that are not stale.
func (r *Replica) windowEntries() []packet.Entry {
	var entries []packet.Entry
	for key, c := range r.localCounts {
		entries = append(entries, packet.Entry{Kind: packet.Window, Node: r.cfg.Self, Key: key, Window: c.Window})
	}
	r.table.All(func(key string, node int, window counts.TimedWindow) {
		age := r.clock.now - window.CountedAt
		if age > r.staleAfter() {
			return
		}
		from := escrow.Node{Number: node, Incarnation: window.Incarnation}
		entries = append(entries, packet.Entry{Kind: packet.Window, Node: from, Key: key, Window: window.Window, Age: age})
	})
	return entries
}

// observationEntries returns the observations of this node, and those of other nodes that are not too old.
func (r *Replica) observationEntries() []packet.Entry {
	var entries []packet.Entry
	r.pool.OwnObservations(func(key judgement.Key, observation judgement.Observation, at time.Duration) {
		entries = append(entries, packet.Entry{Kind: packet.Observation, Node: r.cfg.Self, Backend: key, Observation: observation, Age: r.clock.now - at})
	})
	r.pool.PeerObservations(func(number int, incarnation uint64, key judgement.Key, observation judgement.Observation, at time.Duration) {
		age := r.clock.now - at
		if age > observationMaxDecayTimes*r.cfg.Limits.DecayTime {
			return
		}
		node := escrow.Node{Number: number, Incarnation: incarnation}
		entries = append(entries, packet.Entry{Kind: packet.Observation, Node: node, Backend: key, Observation: observation, Age: age})
	})
	return entries
}
