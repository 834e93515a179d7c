package subscriber

import (
	"errors"
	"fmt"

	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/resource"
)

// handleHeartbeat records a parent's position and age, and verifies the digest that the source reports.
func (r *replica) handleHeartbeat(p *parent, s *session, m *message.Heartbeat) error {
	if m.Age < 0 {
		return r.drop(p.candidate.Name, r.region, DropMalformed, fmt.Sprintf("an age of %s", m.Age))
	}
	s.position = m.Position
	s.freshAt = r.now - min(m.Age, ageUnknown) - r.maxReadDelay()
	if p == r.source {
		r.subscriptionMissing = m.Sent.IsZero() && m.Position == r.store.Position() && !m.Position.IsZero()
	}
	verified := true
	if p == r.source && !m.Sent.IsZero() {
		verified = r.verifySent(p, m)
	}
	if verified && !r.resync && (m.Position == r.store.Position() || r.faults.trustAnyAge) {
		r.freshAt = max(r.freshAt, s.freshAt)
	}
	if p == r.source && r.now-r.acknowledgedAt >= r.cfg.Limits.AcknowledgeInterval {
		r.acknowledge(p, "")
	}
	return nil
}

// verifySent compares the position and digest that the source reports as sent with the state in force. It reports whether
// the digests agree.
func (r *replica) verifySent(p *parent, m *message.Heartbeat) bool {
	if r.resync || r.assembly.active || r.retryPending || r.now < r.settleUntil || r.faults.ignoreDigests {
		return false
	}
	inForce := r.store.Position()
	switch order := m.Sent.Compare(inForce); {
	case order < 0:
		return false
	case m.Digest == r.digest() || r.faults.advanceUnverified:
		if order > 0 {
			r.advanceTo(m.Sent)
		}
		return true
	case order == 0:
		r.requestResync(p, inForce)
	default:
		r.counts.Gaps++
		r.scheduleRetry(m.Sent)
	}
	return false
}

// advanceTo moves to a position between which and the current one nothing subscribed to has changed.
func (r *replica) advanceTo(position resource.Position) {
	if err := r.store.Apply(resource.Transaction{Position: position}, r.store.Position()); err != nil {
		// A writer of a newer epoch may continue from a lower version; the state is the same.
		err = r.store.Replace(position, r.store.Snapshot(r.filter))
		if err != nil {
			r.note(TransactionRefused{r.region, r.source.candidate.Name, position, r.store.Position(), err})
			return
		}
	}
	r.refusal = ""
	r.recordProgress()
}

// requestResync requests a snapshot of the whole subscription after a digest mismatch.
func (r *replica) requestResync(p *parent, at resource.Position) {
	r.counts.Mismatches++
	if !r.resync {
		r.note(DigestMismatch{r.region, p.candidate.Name, at})
	}
	r.resync = true
	r.scheduleRetry(resource.Position{})
}

// handleBusy delays the next request by the time that the source asks for, at most MaxBusyWait.
func (r *replica) handleBusy(p *parent, m *message.Busy) error {
	if m.RetryAfter < 0 {
		return r.drop(p.candidate.Name, r.region, DropMalformed, fmt.Sprintf("a wait of %s", m.RetryAfter))
	}
	if p != r.source {
		return nil
	}
	r.counts.Busy++
	r.abortAssembly()
	r.retryPending, r.retryTarget = true, resource.Position{}
	r.retryAt = r.now + min(m.RetryAfter, r.cfg.Limits.MaxBusyWait)
	r.progressAt = r.now
	return nil
}

// handleDelta applies a delta that follows from the state in force.
func (r *replica) handleDelta(p *parent, s *session, m *message.Delta, skipped bool) error {
	name := p.candidate.Name
	switch {
	case s.requested == modeNone:
		return r.drop(name, r.region, DropUnexpected, "a delta before any subscription")
	case m.To.Compare(m.From) <= 0:
		return r.drop(name, r.region, DropMalformed, fmt.Sprintf("from %s to %s", m.From, m.To))
	case len(m.Changes) > r.cfg.Limits.MaxChanges:
		return r.drop(name, r.region, DropTooLarge, fmt.Sprintf("%d changes, at most %d", len(m.Changes), r.cfg.Limits.MaxChanges))
	case p != r.source:
		return nil // sent before another parent became the source
	}
	s.position = later(s.position, m.To)
	if !r.follows(p, m) {
		return nil
	}
	if service, unsubscribed := r.unsubscribedService(m); unsubscribed {
		if r.now < r.settleUntil {
			r.scheduleRetry(m.To)
			return nil
		}
		return r.drop(name, r.region, DropNotSubscribed, truncate(service))
	}
	return r.apply(p, m, skipped)
}

// unsubscribedService returns the service of the first change outside of the subscription.
func (r *replica) unsubscribedService(m *message.Delta) (service string, found bool) {
	for i := range m.Changes {
		if service := m.Changes[i].Resource.Key.Service; !r.filter.Contains(service) {
			return service, true
		}
	}
	return "", false
}

func later(a, b resource.Position) resource.Position {
	if b.Compare(a) > 0 {
		return b
	}
	return a
}

// follows reports whether a delta starts exactly at the position in force. If it leads to a later position from another one,
// the missing changes are requested.
func (r *replica) follows(p *parent, m *message.Delta) bool {
	inForce := r.store.Position()
	switch {
	case m.To.Epoch < inForce.Epoch:
		r.recordOldEpoch(p, m.To)
		return false
	case m.To.Compare(inForce) <= 0:
		r.counts.Duplicates++
		return false
	case r.resync || r.assembly.active:
		return false // the snapshot contains it, or a delta follows the snapshot
	case m.From != inForce:
		r.counts.Gaps++
		r.scheduleRetry(m.To)
		return false
	}
	return true
}

// recordOldEpoch counts a change by a replaced writer, and adds a note if its epoch is not the one noted last.
func (r *replica) recordOldEpoch(p *parent, offered resource.Position) {
	if r.notedOldEpoch != offered.Epoch {
		r.notedOldEpoch = offered.Epoch
		r.note(OldEpoch{r.region, p.candidate.Name, offered, r.store.Position()})
	}
	r.counts.OldEpochs++
}

// apply brings a delta into force, as a whole or not at all.
func (r *replica) apply(p *parent, m *message.Delta, skipped bool) error {
	digest, changes := r.effectiveChanges(m.Changes)
	if digest != m.Digest && !skipped && !r.faults.ignoreDigests {
		if err := resource.ValidateEach(m.Changes); err != nil {
			return r.refuse(p, m.To, err)
		}
		if r.now < r.settleUntil {
			r.scheduleRetry(m.To)
			return nil
		}
		r.requestResync(p, m.To)
		return nil
	}
	if err := r.store.Apply(resource.Transaction{Position: m.To, Changes: m.Changes}, m.From); err != nil {
		return r.refuse(p, m.To, err)
	}
	r.counts.Deltas++
	r.recordUnknownDigest(m.Digest, skipped)
	r.handleApplied(p)
	if len(changes) > 0 {
		r.queueApplied(Applied{Region: r.region, Position: m.To, Changes: changes})
	}
	return nil
}

// recordUnknownDigest records the difference between the parent's digest and that of the store if parts of the message could
// not be read.
func (r *replica) recordUnknownDigest(parentDigest message.Digest, skipped bool) {
	if skipped {
		r.counts.LaterVersions++
		r.unknownDigest = parentDigest - r.store.Digest(r.filter)
	}
}

// handleApplied is called after a delta or snapshot came into force.
func (r *replica) handleApplied(p *parent) {
	r.refusal = ""
	r.recordProgress()
	r.acknowledge(p, "")
}

// effectiveChanges returns the digest after the changes, and those of the changes that make a difference.
func (r *replica) effectiveChanges(changes []resource.Change) (message.Digest, []resource.Change) {
	digest := r.digest()
	effective := changes
	dropped := false
	for i := range changes {
		change := &changes[i]
		before, existed := r.store.Get(change.Resource.Key)
		same := existed != change.Deleted && (!existed || equal(&before, &change.Resource))
		if same {
			if !dropped {
				dropped = true
				effective = append([]resource.Change(nil), changes[:i]...)
			}
			continue
		}
		if existed {
			digest = digest.Remove(&before)
		}
		if !change.Deleted {
			digest = digest.Add(&change.Resource)
		}
		if dropped {
			effective = append(effective, *change)
		}
	}
	return digest, effective
}

// equal reports whether two resources with the same key are the same.
func equal(a, b *resource.Resource) bool {
	return sameValue(a.Service, b.Service) && sameValue(a.Endpoint, b.Endpoint) && sameValue(a.Route, b.Route) && sameValue(a.Tenant, b.Tenant)
}

func sameValue[T comparable](a, b *T) bool {
	return a == b || a != nil && b != nil && *a == *b
}

// refuse keeps the state in force and reports the error to the parent.
func (r *replica) refuse(p *parent, at resource.Position, err error) error {
	if errors.Is(err, changelog.ErrGap) || errors.Is(err, changelog.ErrNotNewer) || errors.Is(err, changelog.ErrFenced) {
		r.counts.Duplicates++
		return nil
	}
	r.counts.Refused++
	if r.refusal == "" || r.refusedPosition != at {
		r.note(TransactionRefused{r.region, p.candidate.Name, at, r.store.Position(), err})
	}
	r.refusal, r.refusedPosition = err.Error(), at
	if r.faults.advanceOnRefusal {
		r.advanceTo(at)
	}
	r.progressAt = r.now // retryCount is kept, so that the backoff continues to grow
	r.acknowledge(p, r.refusal)
	return nil
}

// assembly holds the parts of a snapshot received so far.
type assembly struct {
	active    bool
	position  resource.Position
	nextIndex uint32
	skipped   bool // a part contained fields or resources unknown to this version
	resources []resource.Resource
}

// handleSnapshotPart adds the next part of a snapshot, and brings the snapshot into force with the last part.
func (r *replica) handleSnapshotPart(p *parent, s *session, m *message.SnapshotPart, skipped bool) error {
	name := p.candidate.Name
	switch {
	case s.requested == modeNone:
		return r.drop(name, r.region, DropUnexpected, "a snapshot before any subscription")
	case p != r.source:
		return nil // sent before another parent became the source
	case len(r.assembly.resources)+len(m.Resources) > r.cfg.Limits.MaxResources:
		r.abortAssembly()
		r.scheduleRetry(resource.Position{})
		return r.drop(name, r.region, DropTooLarge, fmt.Sprintf("a snapshot of over %d resources", r.cfg.Limits.MaxResources))
	}
	if r.rejectOldSnapshot(p, m) {
		return nil
	}
	for i := range m.Resources {
		if service := m.Resources[i].Key.Service; !r.filter.Contains(service) {
			r.abortAssembly()
			return r.drop(name, r.region, DropNotSubscribed, truncate(service))
		}
	}
	if !r.acceptPart(m) {
		return nil
	}
	r.assembly.resources = append(r.assembly.resources, m.Resources...)
	r.assembly.nextIndex++
	r.assembly.skipped = r.assembly.skipped || skipped
	r.progressAt = r.now
	if !m.Last {
		r.acknowledge(p, "")
		return nil
	}
	return r.finishSnapshot(p, m)
}

// rejectOldSnapshot reports whether a snapshot is behind the state in force, or is in force already, and counts it.
func (r *replica) rejectOldSnapshot(p *parent, m *message.SnapshotPart) bool {
	inForce := r.store.Position()
	order := m.Position.Compare(inForce)
	if order > 0 || order == 0 && (r.resync || r.assembly.active || inForce.IsZero()) || r.faults.acceptOldSnapshots {
		return false
	}
	if order == 0 { // a repeated part of the last snapshot; if the digests differ, the next heartbeat shows it
		r.counts.Duplicates++
		return true
	}
	if m.Index == 0 {
		r.counts.StaleSnapshots++
		if m.Position.Epoch < inForce.Epoch {
			r.recordOldEpoch(p, m.Position)
		}
	}
	return true
}

// acceptPart reports whether a part is the next one of the snapshot being assembled, or the first of another.
func (r *replica) acceptPart(m *message.SnapshotPart) bool {
	a := &r.assembly
	if m.Index == 0 && !(a.active && a.position == m.Position && a.nextIndex > 0) {
		r.abortAssembly()
		r.assembly = assembly{active: true, position: m.Position}
		return true
	}
	if a.active && a.position == m.Position && a.nextIndex == m.Index {
		return true
	}
	if a.active && a.position == m.Position && m.Index < a.nextIndex {
		r.counts.Duplicates++
		return false
	}
	if a.active && r.faults.acceptTornSnapshots {
		return true
	}
	if a.active { // a part is missing
		r.abortAssembly()
		r.scheduleRetry(resource.Position{})
	}
	return false
}

// finishSnapshot brings an assembled snapshot into force.
func (r *replica) finishSnapshot(p *parent, m *message.SnapshotPart) error {
	position, all, skipped := r.assembly.position, r.assembly.resources, r.assembly.skipped
	r.assembly = assembly{}
	if message.DigestOf(all) != m.Digest && !skipped && !r.faults.ignoreDigests && !r.faults.acceptTornSnapshots {
		r.counts.Torn++
		r.scheduleRetry(resource.Position{})
		return nil
	}
	changes := r.difference(all)
	if err := r.storeSnapshot(position, all, changes); err != nil {
		return r.refuse(p, position, err)
	}
	r.counts.Snapshots++
	r.unknownDigest = 0
	r.recordUnknownDigest(m.Digest, skipped)
	r.resync, r.retryPending = false, false
	r.handleApplied(p)
	if len(changes) > 0 {
		r.queueApplied(Applied{Region: r.region, Position: position, Snapshot: true, Changes: changes})
	}
	return nil
}

// storeSnapshot writes a snapshot to the store. If possible it applies the difference as a transaction, so that the history
// still reaches back for this process's own subscribers and they need no snapshots.
func (r *replica) storeSnapshot(position resource.Position, all []resource.Resource, changes []resource.Change) error {
	from := r.store.Position()
	if !r.resync && !from.IsZero() {
		if r.store.Apply(resource.Transaction{Position: position, Changes: changes}, from) == nil {
			return nil
		}
	}
	if r.faults.acceptOldSnapshots && position.Compare(from) < 0 {
		*r.store = *changelog.NewStore(r.region, r.cfg.Limits.Store)
	}
	return r.store.Replace(position, all)
}

// difference returns the changes that a snapshot makes to the state in force.
func (r *replica) difference(all []resource.Resource) []resource.Change {
	var changes []resource.Change
	found := 0
	for i := range all {
		before, existed := r.store.Get(all[i].Key)
		if existed {
			found++
		}
		if !existed || !equal(&before, &all[i]) {
			changes = append(changes, resource.Change{Resource: all[i]})
		}
	}
	if found < r.store.Len() && !r.faults.omitDeletions {
		changes = r.appendDeletions(changes, all)
	}
	return changes
}

// appendDeletions appends deletions of the resources that are in force but not in a snapshot.
func (r *replica) appendDeletions(changes []resource.Change, all []resource.Resource) []resource.Change {
	kept := make(map[resource.Key]struct{}, len(all))
	for i := range all {
		kept[all[i].Key] = struct{}{}
	}
	for _, existing := range r.store.Snapshot(changelog.Filter{All: true}) {
		if _, stays := kept[existing.Key]; !stays {
			changes = append(changes, resource.Change{Resource: resource.Resource{Key: existing.Key}, Deleted: true})
		}
	}
	return changes
}
