package publisher

import (
	"slices"
	"time"

	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/resource"
)

// snapshot is what is being sent to one subscriber.
type snapshot struct {
	position   resource.Position
	digest     message.Digest
	rest       []resource.Resource // not sent yet
	index      uint32              // of the next part
	startedAt  time.Duration
	progressAt time.Duration // when a part was last sent or acknowledged
	whole      *wholeSnapshot
}

// wholeSnapshot is everything of a region at one position. Those who are sent everything at the same time share it.
type wholeSnapshot struct {
	position  resource.Position
	digest    message.Digest
	resources []resource.Resource
	users     int
}

// startSnapshot begins a snapshot, or puts the subscriber off where too many are being sent.
func (p *Publisher) startSnapshot(sub *subscription) {
	p.endSnapshot(sub)
	if len(p.snapshots) >= p.cfg.MaxSnapshots && !p.faults.unboundedSnapshots {
		p.busy(sub)
		return
	}
	p.setState(sub, stateSnapshot)
	sub.snapshot = p.newSnapshot(sub)
	p.snapshots = append(p.snapshots, sub)
	p.enqueue(sub)
}

// newSnapshot takes what the subscription holds now.
func (p *Publisher) newSnapshot(sub *subscription) *snapshot {
	r := sub.region
	s := &snapshot{startedAt: p.now, progressAt: p.now}
	if !sub.filter.All {
		s.position, s.digest, s.rest = r.store.Position(), r.store.Digest(sub.filter), r.store.Snapshot(sub.filter)
		return s
	}
	if r.whole == nil || !r.reaches(r.whole.position) {
		r.whole = &wholeSnapshot{position: r.store.Position(), digest: r.store.Digest(sub.filter), resources: r.store.Snapshot(sub.filter)}
	}
	r.whole.users++
	s.whole, s.position, s.digest, s.rest = r.whole, r.whole.position, r.whole.digest, r.whole.resources
	return s
}

// reaches reports whether a delta can be given from a position.
func (r *region) reaches(from resource.Position) bool {
	_, ok := r.store.Changes(changelog.Filter{}, from)
	return ok
}

// endSnapshot frees the place of a snapshot, if one is being sent.
func (p *Publisher) endSnapshot(sub *subscription) {
	if sub.snapshot == nil {
		return
	}
	if whole := sub.snapshot.whole; whole != nil {
		whole.users--
		if whole.users == 0 && sub.region.whole == whole {
			sub.region.whole = nil
		}
	}
	sub.snapshot = nil
	p.snapshots = slices.DeleteFunc(p.snapshots, func(other *subscription) bool { return other == sub })
}

// typicalWeight is the weight of the latest snapshot in the mean time of snapshots.
const typicalWeight = 8

// sendPart sends the next part of a snapshot. With the last one the subscriber is brought up from there by deltas.
func (p *Publisher) sendPart(sub *subscription) {
	s := sub.snapshot
	count := partLength(s.rest, p.cfg.PartBytes)
	part := &message.SnapshotPart{Region: sub.region.name, Position: s.position, Index: s.index, Resources: s.rest[:count:count]}
	s.rest = s.rest[count:]
	s.index++
	s.progressAt = p.now
	part.Last = len(s.rest) == 0
	if part.Last {
		part.Digest = s.digest
	}
	size := p.cfg.Size(part)
	p.sendCounted(sub, part, size, inFlight{sub.region, s.position, size, true})
	if !part.Last {
		p.enqueue(sub)
		return
	}
	p.typical += (p.now - s.startedAt - p.typical) / typicalWeight
	sub.told, sub.digest, sub.known = s.position, s.digest, true
	p.endSnapshot(sub)
	p.setState(sub, stateCurrent)
	if s.position != sub.region.position {
		sub.touched = nil
		p.setState(sub, stateChanged)
		p.enqueue(sub)
	}
}

// partLength is how many resources fit into a part; at least one where there is one.
func partLength(rest []resource.Resource, bytes int) int {
	size := 0
	for i := range rest {
		size += rest[i].Size()
		if size > bytes && i > 0 {
			return i
		}
	}
	return len(rest)
}

// breakOffStuck ends snapshots whose subscriber acknowledges nothing, so that they don't hold others up.
func (p *Publisher) breakOffStuck() {
	for i := len(p.snapshots) - 1; i >= 0; i-- {
		sub := p.snapshots[i]
		if sub.blocked && p.now-sub.snapshot.progressAt > p.cfg.SnapshotTimeout {
			sub.blocked = false
			sub.session.release(sub.region, resource.Position{}, true)
			p.endSnapshot(sub)
			p.busy(sub)
		}
	}
}
