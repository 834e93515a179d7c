package subscriber

import (
	"time"

	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/resource"
)

// replica is one region's log with the parent that streams it.
type replica struct {
	*Subscriber
	region string
	index  int
	store  *changelog.Store
	source *parent
	// freshAt is when the writer was known to stand at the store's position.
	freshAt time.Duration

	// unread is the part of the parents' digest that stems from fields and resources which this version doesn't know.
	unread message.Digest

	lag        lag
	progressAt time.Duration // when the source last brought something, or had nothing more
	unserved   bool          // the source stands where this replica does, and doesn't take it for a subscriber
	askAgain   bool          // at askAt
	askAt      time.Duration
	askTo      resource.Position // not needed any more once this is in force; zero for at any rate
	attempts   int               // requests repeated since the last progress
	resync     bool              // what is in force is wrong, or not all of the subscription: a snapshot is to replace it
	settlesAt  time.Duration     // until then messages may be about the subscription before

	assembly     assembly
	acknowledged time.Duration
	refused      string // why the latest state was not taken
	refusedAt    resource.Position
	fencedEpoch  uint64 // the latest old epoch that was noted
	behind       behind
	counts       Counts
}

// lag is a standby that is ahead of the source.
type lag struct {
	target resource.Position // that the source has to reach
	since  time.Duration
	active bool
}

// behind is that all parents are behind what is in force.
type behind struct {
	since  time.Duration
	active bool
	noted  bool
}

// settleTime is for how long after a changed subscription messages may still be about the one before.
const settleTime = 2 * time.Second

// step chooses the source and asks parents for what they don't know yet.
func (r *replica) step() {
	r.chooseSource()
	r.checkLogWentBack()
	r.checkProgress()
	r.askParents()
}

// excuse moves the replica's times by a stall of this process.
func (r *replica) excuse(gap time.Duration) {
	r.progressAt += gap
	r.lag.since += gap
	r.behind.since += gap
}

// detached forgets a parent whose connection has ended.
func (r *replica) detached(p *parent) {
	p.sessions[r.index] = session{}
	if r.source == p {
		r.breakOff()
	}
}

// breakOff drops the parts of a snapshot that was not finished.
func (r *replica) breakOff() {
	if r.assembly.active {
		r.counts.Torn++
	}
	r.assembly = assembly{}
}

// refilter adapts to a changed subscription. What is subscribed to no longer goes at once, without a parent.
func (r *replica) refilter(narrower bool) {
	for _, p := range r.parents {
		p.sessions[r.index].asked = askedNothing
	}
	r.breakOff()
	r.settlesAt = r.now + settleTime
	r.prune()
	if !narrower {
		r.resync = true
	}
}

// digest is that of the subscription as parents have it.
func (r *replica) digest() message.Digest { return r.store.Digest(r.filter) + r.unread }

// prune drops resources of services that are not subscribed to.
func (r *replica) prune() {
	var changes []resource.Change
	for _, held := range r.store.Snapshot(changelog.Filter{All: true}) {
		if !r.filter.Contains(held.Key.Service) {
			changes = append(changes, resource.Change{Resource: resource.Resource{Key: held.Key}, Deleted: true})
		}
	}
	if len(changes) == 0 {
		return
	}
	if err := r.store.Replace(r.store.Position(), r.store.Snapshot(r.filter)); err != nil {
		r.note(TransactionRefused{r.region, "", r.store.Position(), r.store.Position(), err})
		return
	}
	r.unread = 0
	r.applied(Applied{Region: r.region, Position: r.store.Position(), Snapshot: true, Changes: changes})
}

func (r *replica) applied(a Applied) { r.actions.Applied = append(r.actions.Applied, a) }

// chooseSource keeps the source unless another parent is better by one of the reasons of a SwitchReason.
func (r *replica) chooseSource() {
	r.measureLag()
	best := r.bestParent()
	if best == nil {
		return // the source of before is remembered until another is there
	}
	if reason := r.reasonToSwitch(best); reason != "" {
		r.switchTo(best, reason)
	}
}

// bestParent is the parent to stream from if there were no source: the most preferred of those that know the latest
// position. A parent that was not heard of this region is better than none.
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

// preferredParent is the most preferred parent that was stable, or nil.
func (r *replica) preferredParent() *parent {
	for _, p := range r.parents {
		if p.settled(r.now) && !p.stale(r.now, r.cfg.Limits.StaleAfter) && !r.silent(p) {
			return p
		}
	}
	return nil
}

func (r *replica) session(p *parent) *session { return &p.sessions[r.index] }

// silent reports whether a connected parent says nothing about this region.
func (r *replica) silent(p *parent) bool {
	return r.now-r.session(p).heardAt > r.cfg.Limits.SilenceTimeout
}

// reasonToSwitch is why the best parent is to be the source, or "".
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

// measureLag follows for how long the source has been behind what another parent has told.
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
		if told := r.session(p).position; p.state == parentConnected && told.Compare(have) > 0 {
			r.lag = lag{target: told, since: r.now, active: true}
			return
		}
	}
}

// switchTo makes a parent the source. The former goes on as standby, and isn't preferred before it was stable again.
func (r *replica) switchTo(p *parent, reason SwitchReason) {
	note := SourceChanged{Region: r.region, To: p.candidate.Name, Reason: reason}
	if former := r.source; former != nil {
		note.From = former.candidate.Name
		if former.state == parentConnected {
			former.settledAt = r.now + r.jittered(r.cfg.Limits.ReturnAfter)
		}
		r.counts.SourceChanges++
	}
	if note.From != note.To {
		r.note(note)
	}
	r.breakOff()
	r.source = p
	r.lag = lag{}
	r.askAgain, r.unserved = false, false
	r.attempts = 0
	r.progressAt = r.now
}

// returnToPreferred goes back to a better parent that was stable and has what is in force here.
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

// checkLogWentBack notes where all parents are behind what is in force for longer than a restart of theirs takes.
func (r *replica) checkLogWentBack() {
	ahead, first := r.aheadOfAll()
	if !ahead {
		r.behind = behind{}
		return
	}
	if !r.behind.active {
		r.behind = behind{since: r.now, active: true}
	}
	if !r.behind.noted && r.now-r.behind.since > r.cfg.Limits.WentBackAfter {
		r.behind.noted = true
		r.note(LogWentBack{r.region, first.candidate.Name, r.session(first).position, r.store.Position()})
	}
}

// aheadOfAll reports whether all parents that were heard of this region are behind what is in force, and names the first.
func (r *replica) aheadOfAll() (ahead bool, first *parent) {
	for _, p := range r.parents {
		s := r.session(p)
		if p.state != parentConnected || s.asked == askedNothing || s.position.IsZero() {
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

// checkProgress asks again where the source has more than is in force and sends nothing of it, where a snapshot stopped in
// the middle, or where it is silent and nobody is better. A request that was lost shows by the same, and a state that was
// refused is asked for again, as what was wrong may have been on the way.
func (r *replica) checkProgress() {
	r.returnToPreferred()
	if r.source == nil || r.source.state != parentConnected || r.askAgain {
		return
	}
	more := r.session(r.source).position.Compare(r.store.Position()) > 0
	if !more && !r.resync && !r.assembly.active && !r.unserved && !r.silent(r.source) {
		r.progressAt = r.now
		return
	}
	if r.session(r.source).asked == askedStream && r.now-r.progressAt > r.cfg.Limits.CatchUpTimeout {
		r.breakOff()
		r.ask(resource.Position{})
	}
}

// ask schedules a request to be repeated, after a jittered wait. It isn't sent if the position comes into force before.
func (r *replica) ask(unless resource.Position) {
	if r.askAgain || r.faults.neverAskAgain {
		return
	}
	r.askAgain, r.askTo = true, unless
	r.askAt = r.now + backoff(r.random, r.cfg.Limits.BackoffBase, r.cfg.Limits.BackoffLimit, r.attempts)
	r.attempts++
}

// askParents sends each parent what it is to know: the source the subscription, the others that they are on standby.
func (r *replica) askParents() {
	for _, p := range r.parents {
		if p.state != parentConnected {
			continue
		}
		wanted := askedStandby
		if p == r.source {
			wanted = askedStream
		}
		if r.session(p).asked != wanted {
			r.subscribeAt(p, wanted)
		}
	}
	r.repeat()
}

// repeat sends a request that was scheduled.
func (r *replica) repeat() {
	if !r.askAgain || r.now < r.askAt || r.source == nil || r.source.state != parentConnected {
		return
	}
	if !r.resync && !r.askTo.IsZero() && r.store.Position().Compare(r.askTo) >= 0 {
		r.askAgain = false
		return
	}
	if !r.budget.take(r.now) {
		r.askAt = r.now + backoff(r.random, r.cfg.Limits.BackoffBase, r.cfg.Limits.BackoffLimit, 1)
		return
	}
	r.counts.Resubscribes++
	r.subscribeAt(r.source, askedStream)
}

// subscribeAt sends a request for this region.
func (r *replica) subscribeAt(p *parent, as subscription) {
	m := &message.Subscribe{Region: r.region, Have: r.store.Position(), Standby: as == askedStandby}
	if as == askedStream {
		m.All, m.Services = r.filter.All, r.filter.Services
		m.Digest = r.digest()
		if r.resync {
			m.Have, m.Digest = resource.Position{}, 0
		}
		r.askAgain, r.unserved = false, false
		r.progressAt = r.now
		r.breakOff()
	}
	r.session(p).asked = as
	r.send(p, m)
}

// acknowledge tells the source what is in force.
func (r *replica) acknowledge(p *parent, refused string) {
	r.acknowledged = r.now
	r.send(p, &message.Acknowledge{Region: r.region, Position: r.store.Position(), Refused: refused})
}

// progress notes that the source brought something into force.
func (r *replica) progress() {
	r.progressAt, r.attempts = r.now, 0
}

func (r *replica) status(now time.Duration) RegionStatus {
	status := RegionStatus{
		Region:   r.region,
		Position: r.store.Position(),
		Age:      r.Age(r.region, now),
		Refused:  r.refused,
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
