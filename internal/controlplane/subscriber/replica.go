package subscriber

import (
	"time"

	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/resource"
)

// replica is a copy of one region's log, with the parent that streams it.
type replica struct {
	*Subscriber
	region string
	index  int
	store  *changelog.Store
	source *parent
	// freshAt is when the writer was last known to be at the store's position.
	freshAt time.Duration

	// unknownDigest is the part of the parents' digest that stems from fields and resources unknown to this version.
	unknownDigest message.Digest

	lag                 lag
	progressAt          time.Duration // when the source last sent something new, or had nothing more
	subscriptionMissing bool          // the source is at the same position, but reports nothing as sent to this subscriber
	retryPending        bool          // a request is to be repeated at retryAt
	retryAt             time.Duration
	retryTarget         resource.Position // the request is not needed once this is in force; zero if it is needed in any case
	retryCount          int               // requests scheduled since the last progress
	resync              bool              // the state in force is wrong or lacks part of the subscription; a snapshot is to replace it
	settleUntil         time.Duration     // until then messages may refer to the former subscription

	assembly        assembly
	acknowledgedAt  time.Duration
	refusal         string // why the latest state was refused
	refusedPosition resource.Position
	notedOldEpoch   uint64 // the last old epoch for which a note was added
	rollback        rollback
	counts          Counts
}

// lag tracks for how long the source has been behind a standby.
type lag struct {
	target resource.Position // position that the source has to reach
	since  time.Duration
	active bool
}

// rollback tracks for how long all parents have been behind the state in force.
type rollback struct {
	since  time.Duration
	active bool
	noted  bool
}

// subscriptionSettleTime is for how long after a change of the subscription messages may still refer to the former one.
const subscriptionSettleTime = 2 * time.Second

// step chooses the source and sends the requests that are due.
func (r *replica) step() {
	r.chooseSource()
	r.checkLogWentBack()
	r.checkProgress()
	r.updateSubscriptions()
}

// shiftTimes adds the duration of a stall of this process to the replica's times.
func (r *replica) shiftTimes(gap time.Duration) {
	r.progressAt += gap
	r.lag.since += gap
	r.rollback.since += gap
}

// handleDetach clears what was known of a parent whose connection has ended.
func (r *replica) handleDetach(p *parent) {
	p.sessions[r.index] = session{}
	if r.source == p {
		r.abortAssembly()
	}
}

// abortAssembly drops the parts of an unfinished snapshot.
func (r *replica) abortAssembly() {
	if r.assembly.active {
		r.counts.Torn++
	}
	r.assembly = assembly{}
}

// handleFilterChange adapts to a changed subscription. Resources that are no longer subscribed to are removed at once,
// without a parent.
func (r *replica) handleFilterChange(narrower bool) {
	for _, p := range r.parents {
		p.sessions[r.index].requested = modeNone
	}
	r.abortAssembly()
	r.settleUntil = r.now + subscriptionSettleTime
	r.prune()
	if !narrower {
		r.resync = true
	}
}

// digest returns the digest of the subscription as parents compute it.
func (r *replica) digest() message.Digest { return r.store.Digest(r.filter) + r.unknownDigest }

// prune removes the resources of services that are not subscribed to.
func (r *replica) prune() {
	var changes []resource.Change
	for _, existing := range r.store.Snapshot(changelog.Filter{All: true}) {
		if !r.filter.Contains(existing.Key.Service) {
			changes = append(changes, resource.Change{Resource: resource.Resource{Key: existing.Key}, Deleted: true})
		}
	}
	if len(changes) == 0 {
		return
	}
	if err := r.store.Replace(r.store.Position(), r.store.Snapshot(r.filter)); err != nil {
		r.note(TransactionRefused{r.region, "", r.store.Position(), r.store.Position(), err})
		return
	}
	r.unknownDigest = 0
	r.queueApplied(Applied{Region: r.region, Position: r.store.Position(), Snapshot: true, Changes: changes})
}

func (r *replica) queueApplied(a Applied) { r.actions.Applied = append(r.actions.Applied, a) }

// chooseSource keeps the source unless reasonToSwitch gives a reason for another parent.
func (r *replica) chooseSource() {
	r.measureLag()
	best := r.bestParent()
	if best == nil {
		return // the former source is kept until another parent is connected
	}
	if reason := r.reasonToSwitch(best); reason != "" {
		r.switchTo(best, reason)
	}
}

// bestParent returns the parent to stream from if there were no source: the most preferred of those that report the latest
// position. A parent that has reported nothing about this region is better than none.
func (r *replica) bestParent() *parent {
	var best *parent
	for _, p := range r.parents {
		if p.state != parentConnected || p == r.source && r.silent(p) {
			continue
		}
		if best == nil || r.session(p).position.Compare(r.session(best).position) > 0 {
			best = p
		}
	}
	return best
}

// preferredParent returns the most preferred parent that is stable, neither stale nor silent, or nil.
func (r *replica) preferredParent() *parent {
	for _, p := range r.parents {
		if p.stable(r.now) && !p.stale(r.now, r.cfg.Limits.StaleAfter) && !r.silent(p) {
			return p
		}
	}
	return nil
}

func (r *replica) session(p *parent) *session { return &p.sessions[r.index] }

// silent reports whether a connected parent has sent nothing about this region within SilenceTimeout.
func (r *replica) silent(p *parent) bool {
	return r.now-r.session(p).heardAt > r.cfg.Limits.SilenceTimeout
}

// reasonToSwitch returns why the source is to be replaced by the best parent, or "".
func (r *replica) reasonToSwitch(best *parent) SwitchReason {
	switch {
	case r.source == nil:
		return SwitchFirst
	case r.source.state != parentConnected:
		return SwitchLost
	case best != r.source && r.silent(r.source) && !r.silent(best):
		return SwitchSilent
	case best != r.source && r.lag.active && r.now-r.lag.since > r.cfg.Limits.MaxLag && !r.faults.ignoreLag:
		return SwitchBehind
	}
	return ""
}

// measureLag tracks for how long the source has been behind a position reported by another parent.
func (r *replica) measureLag() {
	if r.source == nil || r.source.state != parentConnected {
		r.lag = lag{}
		return
	}
	have := r.session(r.source).position
	if r.lag.active && have.Compare(r.lag.target) >= 0 {
		r.lag = lag{}
	}
	if r.lag.active {
		return
	}
	for _, p := range r.parents {
		if reported := r.session(p).position; p.state == parentConnected && reported.Compare(have) > 0 {
			r.lag = lag{target: reported, since: r.now, active: true}
			return
		}
	}
}

// switchTo makes a parent the source. The former source becomes a standby, and is not preferred until it has been stable
// again.
func (r *replica) switchTo(p *parent, reason SwitchReason) {
	note := SourceChanged{Region: r.region, To: p.candidate.Name, Reason: reason}
	if former := r.source; former != nil {
		note.From = former.candidate.Name
		if former.state == parentConnected {
			former.stableAt = r.now + r.jittered(r.cfg.Limits.ReturnAfter)
		}
		r.counts.SourceChanges++
	}
	if note.From != note.To {
		r.note(note)
	}
	r.abortAssembly()
	r.source = p
	r.lag = lag{}
	r.retryPending, r.subscriptionMissing = false, false
	r.retryCount = 0
	r.progressAt = r.now
}

// returnToPreferred switches back to a higher ranked parent that is stable and not behind the state in force or the source.
func (r *replica) returnToPreferred() {
	p := r.preferredParent()
	if p == nil || r.source == nil || p == r.source || p.rank > r.source.rank || r.assembly.active {
		return
	}
	if have := r.session(p).position; have.Compare(r.store.Position()) < 0 || have.Compare(r.session(r.source).position) < 0 {
		return
	}
	r.switchTo(p, SwitchPreferred)
}

// checkLogWentBack adds a note if all parents have been behind the state in force for longer than WentBackAfter, which is
// longer than their restart takes.
func (r *replica) checkLogWentBack() {
	ahead, first := r.aheadOfAllParents()
	if !ahead {
		r.rollback = rollback{}
		return
	}
	if !r.rollback.active {
		r.rollback = rollback{since: r.now, active: true}
	}
	if !r.rollback.noted && r.now-r.rollback.since > r.cfg.Limits.WentBackAfter {
		r.rollback.noted = true
		r.note(LogWentBack{r.region, first.candidate.Name, r.session(first).position, r.store.Position()})
	}
}

// aheadOfAllParents reports whether all parents that have reported a position are behind the state in force, and returns the
// first of them.
func (r *replica) aheadOfAllParents() (ahead bool, first *parent) {
	for _, p := range r.parents {
		s := r.session(p)
		if p.state != parentConnected || s.requested == modeNone || s.position.IsZero() {
			continue
		}
		if s.position.Compare(r.store.Position()) >= 0 {
			return false, nil
		}
		if first == nil {
			first = p
		}
	}
	return first != nil, first
}

// checkProgress schedules a new request if there was no progress for longer than CatchUpTimeout although the source is
// ahead, a snapshot is needed or incomplete, the source doesn't know the subscription, or it is silent and no other parent
// is better. This covers lost requests, and refused states, which may have been damaged in transit.
func (r *replica) checkProgress() {
	r.returnToPreferred()
	if r.source == nil || r.source.state != parentConnected || r.retryPending {
		return
	}
	more := r.session(r.source).position.Compare(r.store.Position()) > 0
	if !more && !r.resync && !r.assembly.active && !r.subscriptionMissing && !r.silent(r.source) {
		r.progressAt = r.now
		return
	}
	if r.session(r.source).requested == modeStream && r.now-r.progressAt > r.cfg.Limits.CatchUpTimeout {
		r.abortAssembly()
		r.scheduleRetry(resource.Position{})
	}
}

// scheduleRetry schedules a repeated request after a wait with jitter. The request is not sent if the target comes into
// force before.
func (r *replica) scheduleRetry(target resource.Position) {
	if r.retryPending || r.faults.neverRetry {
		return
	}
	r.retryPending, r.retryTarget = true, target
	r.retryAt = r.now + backoff(r.random, r.cfg.Limits.BackoffBase, r.cfg.Limits.BackoffLimit, r.retryCount)
	r.retryCount++
}

// updateSubscriptions requests the stream from the source and standby from the other parents, where that has not been done
// yet.
func (r *replica) updateSubscriptions() {
	for _, p := range r.parents {
		if p.state != parentConnected {
			continue
		}
		wanted := modeStandby
		if p == r.source {
			wanted = modeStream
		}
		if r.session(p).requested != wanted {
			r.sendSubscribe(p, wanted)
		}
	}
	r.sendRetry()
}

// sendRetry sends the scheduled request if it is due.
func (r *replica) sendRetry() {
	if !r.retryPending || r.now < r.retryAt || r.source == nil || r.source.state != parentConnected {
		return
	}
	if !r.resync && !r.retryTarget.IsZero() && r.store.Position().Compare(r.retryTarget) >= 0 {
		r.retryPending = false
		return
	}
	if !r.retries.take(r.now) {
		r.retryAt = r.now + backoff(r.random, r.cfg.Limits.BackoffBase, r.cfg.Limits.BackoffLimit, 1)
		return
	}
	r.counts.Resubscribes++
	r.sendSubscribe(r.source, modeStream)
}

// sendSubscribe sends a request for this region.
func (r *replica) sendSubscribe(p *parent, mode subscriptionMode) {
	m := &message.Subscribe{Region: r.region, Have: r.store.Position(), Standby: mode == modeStandby}
	if mode == modeStream {
		m.All, m.Services = r.filter.All, r.filter.Services
		m.Digest = r.digest()
		if r.resync {
			m.Have, m.Digest = resource.Position{}, 0
		}
		r.retryPending, r.subscriptionMissing = false, false
		r.progressAt = r.now
		r.abortAssembly()
	}
	r.session(p).requested = mode
	r.send(p, m)
}

// acknowledge reports the position in force to a parent.
func (r *replica) acknowledge(p *parent, refused string) {
	r.acknowledgedAt = r.now
	r.send(p, &message.Acknowledge{Region: r.region, Position: r.store.Position(), Refused: refused})
}

// recordProgress records that something from the source came into force.
func (r *replica) recordProgress() {
	r.progressAt, r.retryCount = r.now, 0
}

func (r *replica) status(now time.Duration) RegionStatus {
	status := RegionStatus{
		Region:   r.region,
		Position: r.store.Position(),
		Age:      r.Age(r.region, now),
		Refused:  r.refusal,
		Counts:   r.counts,
	}
	if r.source != nil && r.source.state == parentConnected {
		status.Source = r.source.candidate.Name
	}
	for _, p := range r.parents {
		if p.state == parentConnected && r.session(p).position.Compare(status.Position) > 0 {
			status.Behind = true
		}
	}
	return status
}
