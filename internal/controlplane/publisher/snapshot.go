package publisher

import (
	"slices"
	"time"

	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/resource"
)

// snapshot is a snapshot in progress to one subscriber.
type snapshot struct {
	position   resource.Position
	digest     message.Digest
	remaining  []resource.Resource // not sent yet
	index      uint32              // of the next part
	startedAt  time.Duration
	progressAt time.Duration // when a part was last sent or acknowledged
	full       *fullSnapshot
}

// fullSnapshot contains all resources of a region at one position. Subscribers to all services that are sent a snapshot at
// the same time share it.
type fullSnapshot struct {
	position  resource.Position
	digest    message.Digest
	resources []resource.Resource
	users     int
}

// startSnapshot starts a snapshot, or sends Busy if MaxSnapshots are in progress.
func (p *Publisher) startSnapshot(sub *subscription) {
	p.endSnapshot(sub)
	if len(p.activeSnapshots) >= p.cfg.MaxSnapshots && !p.faults.unboundedSnapshots {
		p.sendBusy(sub)
		return
	}
	p.setState(sub, stateSnapshot)
	sub.snapshot = p.newSnapshot(sub)
	p.activeSnapshots = append(p.activeSnapshots, sub)
	p.enqueue(sub)
}

// newSnapshot returns a snapshot of the current resources of the subscription.
func (p *Publisher) newSnapshot(sub *subscription) *snapshot {
	r := sub.region
	s := &snapshot{startedAt: p.now, progressAt: p.now}
	if !sub.filter.All {
		s.position, s.digest, s.remaining = r.store.Position(), r.store.Digest(sub.filter), r.store.Snapshot(sub.filter)
		return s
	}
	if r.fullSnapshot == nil || !r.historyReaches(r.fullSnapshot.position) {
		r.fullSnapshot = &fullSnapshot{position: r.store.Position(), digest: r.store.Digest(sub.filter), resources: r.store.Snapshot(sub.filter)}
	}
	r.fullSnapshot.users++
	s.full, s.position, s.digest, s.remaining = r.fullSnapshot, r.fullSnapshot.position, r.fullSnapshot.digest, r.fullSnapshot.resources
	return s
}

// historyReaches reports whether the store's history covers the changes since a position.
func (r *region) historyReaches(from resource.Position) bool {
	_, ok := r.store.Changes(changelog.Filter{}, from)
	return ok
}

// endSnapshot ends the snapshot in progress, if there is one.
func (p *Publisher) endSnapshot(sub *subscription) {
	if sub.snapshot == nil {
		return
	}
	if full := sub.snapshot.full; full != nil {
		full.users--
		if full.users == 0 && sub.region.fullSnapshot == full {
			sub.region.fullSnapshot = nil
		}
	}
	sub.snapshot = nil
	p.activeSnapshots = slices.DeleteFunc(p.activeSnapshots, func(other *subscription) bool { return other == sub })
}

// snapshotMeanDivisor is the inverse of the weight of the latest snapshot in meanSnapshotTime.
const snapshotMeanDivisor = 8

// sendPart sends the next part of a snapshot. After the last part, deltas bring the subscriber up to date.
func (p *Publisher) sendPart(sub *subscription) {
	s := sub.snapshot
	count := partLength(s.remaining, p.cfg.PartBytes)
	part := &message.SnapshotPart{Region: sub.region.name, Position: s.position, Index: s.index, Resources: s.remaining[:count:count]}
	s.remaining = s.remaining[count:]
	s.index++
	s.progressAt = p.now
	part.Last = len(s.remaining) == 0
	if part.Last {
		part.Digest = s.digest
	}
	size := p.cfg.Size(part)
	p.sendCounted(sub, part, size, inFlight{sub.region, s.position, size, true})
	if !part.Last {
		p.enqueue(sub)
		return
	}
	p.meanSnapshotTime += (p.now - s.startedAt - p.meanSnapshotTime) / snapshotMeanDivisor
	sub.sentPosition, sub.sentDigest, sub.digestKnown = s.position, s.digest, true
	p.endSnapshot(sub)
	p.setState(sub, stateCurrent)
	if s.position != sub.region.position {
		sub.changedServices = nil
		p.setState(sub, stateChanged)
		p.enqueue(sub)
	}
}

// partLength returns how many resources fit into a part: at least one if any is left.
func partLength(remaining []resource.Resource, bytes int) int {
	size := 0
	for i := range remaining {
		size += remaining[i].Size()
		if size > bytes && i > 0 {
			return i
		}
	}
	return len(remaining)
}

// abortStalledSnapshots ends snapshots whose subscriber acknowledges nothing, so that others can start.
func (p *Publisher) abortStalledSnapshots() {
	for i := len(p.activeSnapshots) - 1; i >= 0; i-- {
		sub := p.activeSnapshots[i]
		if sub.blocked && p.now-sub.snapshot.progressAt > p.cfg.SnapshotTimeout {
			sub.blocked = false
			sub.session.release(sub.region, resource.Position{}, true)
			p.endSnapshot(sub)
			p.sendBusy(sub)
		}
	}
}
