package subscriber

import (
	"errors"
	"fmt"

	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/resource"
)

// heartbeat takes the news of where a parent stands.
func (r *replica) heartbeat(p *parent, s *session, m *message.Heartbeat) error {
	if m.Age < 0 {
		return r.drop(p.candidate.Name, r.region, DropMalformed, fmt.Sprintf("an age of %s", m.Age))
	}
	s.position = m.Position
	s.freshAt = r.now - min(m.Age, ageUnknown) - r.waited()
	if p == r.source {
		r.unserved = m.Sent.IsZero() && m.Position == r.store.Position() && !m.Position.IsZero()
	}
	verified := true
	if p == r.source && !m.Sent.IsZero() {
		verified = r.compareSent(p, m)
	}
	if verified && !r.resync && (m.Position == r.store.Position() || r.faults.ageUnchecked) {
		r.freshAt = max(r.freshAt, s.freshAt)
	}
	if p == r.source && r.now-r.acknowledged >= r.cfg.Limits.AcknowledgeInterval {
		r.acknowledge(p, "")
	}
	return nil
}

// compareSent compares what the source has sent with what has come. It reports whether the digests agree.
func (r *replica) compareSent(p *parent, m *message.Heartbeat) bool {
	if r.resync || r.assembly.active || r.askAgain || r.now < r.settlesAt || r.faults.ignoreDigests {
		return false
	}
	inForce := r.store.Position()
	switch order := m.Sent.Compare(inForce); {
	case order < 0:
		return false
	case m.Digest == r.digest() || r.faults.moveUnchecked:
		if order > 0 {
			r.moveTo(m.Sent)
		}
		return true
	case order == 0:
		r.mismatch(p, inForce)
	default:
		r.counts.Gaps++
		r.ask(m.Sent)
	}
	return false
}

// moveTo takes a position at which nothing of the subscription has changed.
func (r *replica) moveTo(position resource.Position) {
	if err := r.store.Apply(resource.Transaction{Position: position}, r.store.Position()); err != nil {
		// A writer of a newer epoch went on from a lower version; the state is the same.
		err = r.store.Replace(position, r.store.Snapshot(r.filter))
		if err != nil {
			r.note(TransactionRefused{r.region, r.source.candidate.Name, position, r.store.Position(), err})
			return
		}
	}
	r.refused = ""
	r.progress()
}

// mismatch makes the replica ask for all of its subscription.
func (r *replica) mismatch(p *parent, at resource.Position) {
	r.counts.Mismatches++
	if !r.resync {
		r.note(DigestMismatch{r.region, p.candidate.Name, at})
	}
	r.resync = true
	r.ask(resource.Position{})
}

// busy puts off a request by as much as the source asks for.
func (r *replica) busy(p *parent, m *message.Busy) error {
	if m.RetryAfter < 0 {
		return r.drop(p.candidate.Name, r.region, DropMalformed, fmt.Sprintf("a wait of %s", m.RetryAfter))
	}
	if p != r.source {
		return nil
	}
	r.counts.Busy++
	r.breakOff()
	r.askAgain, r.askTo = true, resource.Position{}
	r.askAt = r.now + min(m.RetryAfter, r.cfg.Limits.MaxBusyWait)
	r.progressAt = r.now
	return nil
}

// delta takes a delta that follows from what is in force.
func (r *replica) delta(p *parent, s *session, m *message.Delta, skipped bool) error {
	name := p.candidate.Name
	switch {
	case s.asked == askedNothing:
		return r.drop(name, r.region, DropUnexpected, "a delta before any subscription")
	case m.To.Compare(m.From) <= 0:
		return r.drop(name, r.region, DropMalformed, fmt.Sprintf("from %s to %s", m.From, m.To))
	case len(m.Changes) > r.cfg.Limits.MaxChanges:
		return r.drop(name, r.region, DropTooLarge, fmt.Sprintf("%d changes, at most %d", len(m.Changes), r.cfg.Limits.MaxChanges))
	case p != r.source:
		return nil // on its way when another became the source
	}
	s.position = later(s.position, m.To)
	if !r.follows(p, m) {
		return nil
	}
	if service, foreign := r.foreign(m); foreign {
		if r.now < r.settlesAt {
			r.ask(m.To)
			return nil
		}
		return r.drop(name, r.region, DropNotSubscribed, shorten(service))
	}
	return r.apply(p, m, skipped)
}

// foreign finds a change outside of the subscription.
func (r *replica) foreign(m *message.Delta) (service string, found bool) {
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

// follows reports whether a delta follows exactly from what is in force. If it doesn't, what is missing is asked for.
func (r *replica) follows(p *parent, m *message.Delta) bool {
	inForce := r.store.Position()
	switch {
	case m.To.Epoch < inForce.Epoch:
		r.oldEpoch(p, m.To)
		return false
	case m.To.Compare(inForce) <= 0:
		r.counts.Duplicates++
		return false
	case r.resync || r.assembly.active:
		return false // a snapshot that is on its way holds it, or a delta follows the snapshot
	case m.From != inForce:
		r.counts.Gaps++
		r.ask(m.To)
		return false
	}
	return true
}

// oldEpoch counts news of a writer that was replaced.
func (r *replica) oldEpoch(p *parent, offered resource.Position) {
	if r.fencedEpoch != offered.Epoch {
		r.fencedEpoch = offered.Epoch
		r.note(OldEpoch{r.region, p.candidate.Name, offered, r.store.Position()})
	}
	r.counts.OldEpochs++
}

// apply brings a delta into force, whole or not at all.
func (r *replica) apply(p *parent, m *message.Delta, skipped bool) error {
	digest, changes := r.effect(m.Changes)
	if digest != m.Digest && !skipped && !r.faults.ignoreDigests {
		if err := resource.ValidateEach(m.Changes); err != nil {
			return r.refuse(p, m.To, err)
		}
		if r.now < r.settlesAt {
			r.ask(m.To)
			return nil
		}
		r.mismatch(p, m.To)
		return nil
	}
	if err := r.store.Apply(resource.Transaction{Position: m.To, Changes: m.Changes}, m.From); err != nil {
		return r.refuse(p, m.To, err)
	}
	r.counts.Deltas++
	r.takeUnread(m.Digest, skipped)
	r.inForce(p)
	if len(changes) > 0 {
		r.applied(Applied{Region: r.region, Position: m.To, Changes: changes})
	}
	return nil
}

// takeUnread keeps what a message's digest counts that could not be read.
func (r *replica) takeUnread(told message.Digest, skipped bool) {
	if skipped {
		r.counts.LaterVersions++
		r.unread = told - r.store.Digest(r.filter)
	}
}

// inForce is called when something came into force.
func (r *replica) inForce(p *parent) {
	r.refused = ""
	r.progress()
	r.acknowledge(p, "")
}

// effect is the digest after changes, and those of them that change something.
func (r *replica) effect(changes []resource.Change) (message.Digest, []resource.Change) {
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

// equal reports whether two resources of one key are the same.
func equal(a, b *resource.Resource) bool {
	return sameValue(a.Service, b.Service) && sameValue(a.Endpoint, b.Endpoint) && sameValue(a.Route, b.Route) && sameValue(a.Tenant, b.Tenant)
}

func sameValue[T comparable](a, b *T) bool {
	return a == b || a != nil && b != nil && *a == *b
}

// refuse keeps the last good state and tells the parent why.
func (r *replica) refuse(p *parent, at resource.Position, err error) error {
	if errors.Is(err, changelog.ErrGap) || errors.Is(err, changelog.ErrBehind) || errors.Is(err, changelog.ErrFenced) {
		r.counts.Duplicates++
		return nil
	}
	r.counts.Refused++
	if r.refused == "" || r.refusedAt != at {
		r.note(TransactionRefused{r.region, p.candidate.Name, at, r.store.Position(), err})
	}
	r.refused, r.refusedAt = err.Error(), at
	if r.faults.keepRefused {
		r.moveTo(at)
	}
	r.progressAt = r.now // and the wait until it is asked for again goes on growing
	r.acknowledge(p, r.refused)
	return nil
}

// assembly is the parts of a snapshot that have come.
type assembly struct {
	active    bool
	position  resource.Position
	next      uint32
	skipped   bool // a part held what this version doesn't know
	resources []resource.Resource
}

// snapshotPart takes the next part of a snapshot, and brings the snapshot into force with the last one.
func (r *replica) snapshotPart(p *parent, s *session, m *message.SnapshotPart, skipped bool) error {
	name := p.candidate.Name
	switch {
	case s.asked == askedNothing:
		return r.drop(name, r.region, DropUnexpected, "a snapshot before any subscription")
	case p != r.source:
		return nil // on its way when another became the source
	case len(r.assembly.resources)+len(m.Resources) > r.cfg.Limits.MaxResources:
		r.breakOff()
		r.ask(resource.Position{})
		return r.drop(name, r.region, DropTooLarge, fmt.Sprintf("a snapshot of over %d resources", r.cfg.Limits.MaxResources))
	}
	if r.behindInForce(p, m) {
		return nil
	}
	for i := range m.Resources {
		if service := m.Resources[i].Key.Service; !r.filter.Contains(service) {
			r.breakOff()
			return r.drop(name, r.region, DropNotSubscribed, shorten(service))
		}
	}
	if !r.continues(m) {
		return nil
	}
	r.assembly.resources = append(r.assembly.resources, m.Resources...)
	r.assembly.next++
	r.assembly.skipped = r.assembly.skipped || skipped
	r.progressAt = r.now
	if !m.Last {
		r.acknowledge(p, "")
		return nil
	}
	return r.finish(p, m)
}

// behindInForce refuses a snapshot that would take the log back, or is in force already.
func (r *replica) behindInForce(p *parent, m *message.SnapshotPart) bool {
	inForce := r.store.Position()
	order := m.Position.Compare(inForce)
	if order > 0 || order == 0 && (r.resync || r.assembly.active || inForce.IsZero()) || r.faults.acceptOldSnapshots {
		return false
	}
	if order == 0 { // a part of the last snapshot again; where the digests differ, the next heartbeat shows it
		r.counts.Duplicates++
		return true
	}
	if m.Index == 0 {
		r.counts.StaleSnapshots++
		if m.Position.Epoch < inForce.Epoch {
			r.oldEpoch(p, m.Position)
		}
	}
	return true
}

// continues reports whether a part is the next one of the snapshot that is assembled, or the first of another.
func (r *replica) continues(m *message.SnapshotPart) bool {
	a := &r.assembly
	if m.Index == 0 && !(a.active && a.position == m.Position && a.next > 0) {
		r.breakOff()
		r.assembly = assembly{active: true, position: m.Position}
		return true
	}
	if a.active && a.position == m.Position && a.next == m.Index {
		return true
	}
	if a.active && a.position == m.Position && m.Index < a.next {
		r.counts.Duplicates++
		return false
	}
	if a.active && r.faults.acceptTornSnapshots {
		return true
	}
	if a.active { // a part is missing
		r.breakOff()
		r.ask(resource.Position{})
	}
	return false
}

// finish brings a whole snapshot into force.
func (r *replica) finish(p *parent, m *message.SnapshotPart) error {
	position, all, skipped := r.assembly.position, r.assembly.resources, r.assembly.skipped
	r.assembly = assembly{}
	if message.DigestOf(all) != m.Digest && !skipped && !r.faults.ignoreDigests && !r.faults.acceptTornSnapshots {
		r.counts.Torn++
		r.ask(resource.Position{})
		return nil
	}
	changes := r.difference(all)
	if err := r.takeSnapshot(position, all, changes); err != nil {
		return r.refuse(p, position, err)
	}
	r.counts.Snapshots++
	r.unread = 0
	r.takeUnread(m.Digest, skipped)
	r.resync, r.askAgain = false, false
	r.inForce(p)
	if len(changes) > 0 {
		r.applied(Applied{Region: r.region, Position: position, Snapshot: true, Changes: changes})
	}
	return nil
}

// takeSnapshot changes the store. Where it can, it takes the difference as a transaction, so that history still reaches
// back for this process's own subscribers and they need no snapshots of their own.
func (r *replica) takeSnapshot(position resource.Position, all []resource.Resource, changes []resource.Change) error {
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

// difference is what changes when a snapshot replaces what is in force.
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
	if found < r.store.Len() && !r.faults.omitDeleted {
		changes = r.appendDeleted(changes, all)
	}
	return changes
}

// appendDeleted appends what is in force and not in a snapshot.
func (r *replica) appendDeleted(changes []resource.Change, all []resource.Resource) []resource.Change {
	kept := make(map[resource.Key]struct{}, len(all))
	for i := range all {
		kept[all[i].Key] = struct{}{}
	}
	for _, held := range r.store.Snapshot(changelog.Filter{All: true}) {
		if _, stays := kept[held.Key]; !stays {
			changes = append(changes, resource.Change{Resource: resource.Resource{Key: held.Key}, Deleted: true})
		}
	}
	return changes
}
