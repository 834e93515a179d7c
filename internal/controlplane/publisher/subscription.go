package publisher

import (
	"slices"
	"time"

	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/resource"
)

// subscription is one session's subscription to one region's log.
type subscription struct {
	session      *session
	region       *region
	index        int // in region.subscriptions
	standby      bool
	filter       changelog.Filter
	state        state
	heartbeatDue bool // a heartbeat is sent with the next Step

	sentPosition    resource.Position // everything up to it was sent to the subscriber
	sentDigest      message.Digest    // of the subscribed resources at sentPosition
	digestKnown     bool              // sentDigest is valid
	changedServices []string          // services changed since sentPosition; nil if any may have
	ackedPosition   resource.Position // in force at the subscriber, as last acknowledged
	refusalReason   string

	queued   bool
	blocked  bool // until the session acknowledges a message
	snapshot *snapshot
}

// state is how a subscription is being served.
type state uint8

const (
	stateUnpublished state = iota // the region has no store yet
	stateCurrent                  // nothing subscribed to has changed since sentPosition
	stateChanged                  // a delta is due
	stateSnapshot                 // a snapshot is in progress
	stateWaiting                  // the subscriber was sent Busy and is to subscribe again
	stateAhead                    // the subscriber is ahead of the store
	stateRefused                  // the subscriber refused the latest state and gets the next one
)

func (s state) String() string {
	return [...]string{"unpublished", "current", "changed", "snapshot", "waiting", "ahead", "refused"}[s]
}

// reconcile decides how to bring a subscriber up to date from sentPosition and sentDigest.
func (p *Publisher) reconcile(sub *subscription) {
	store := sub.region.store
	if sub.standby || store == nil {
		return
	}
	if p.faults.assumeCurrent && !sub.sentPosition.IsZero() {
		p.setState(sub, stateCurrent)
		return
	}
	switch order := sub.sentPosition.Compare(store.Position()); {
	case order > 0:
		p.setState(sub, stateAhead)
	case order == 0 && (sub.sentPosition.IsZero() || sub.sentDigest == store.Digest(sub.filter)):
		p.setState(sub, stateCurrent)
	case order == 0 || sub.sentPosition.IsZero():
		p.startSnapshot(sub)
	default:
		sub.changedServices = nil
		p.setState(sub, stateChanged)
		p.enqueue(sub)
	}
}

// setState changes the state of a subscription and updates waitingCount.
func (p *Publisher) setState(sub *subscription, s state) {
	if sub.state == stateWaiting {
		p.waitingCount--
	}
	if s == stateWaiting {
		p.waitingCount++
	}
	sub.state = s
}

// remove ends a subscription.
func (p *Publisher) remove(sub *subscription) {
	p.endSnapshot(sub)
	p.setState(sub, stateUnpublished)
	sub.region.remove(sub)
	sub.session.release(sub.region, resource.Position{}, true)
	sub.blocked, sub.heartbeatDue = false, false
	sub.session.removeThrottled(p, sub)
}

// removeThrottled removes a subscription from the throttled ones. The queues skip removed subscriptions when they reach
// them.
func (s *session) removeThrottled(p *Publisher, sub *subscription) {
	p.throttled = slices.DeleteFunc(p.throttled, func(other *subscription) bool { return other == sub })
}

// markChanged records that a service of a subscription has changed; "" stands for any service.
func (p *Publisher) markChanged(sub *subscription, service string) {
	switch sub.state {
	case stateCurrent:
		sub.changedServices = sub.changedServices[:0]
		p.setState(sub, stateChanged)
	case stateChanged:
		if sub.changedServices == nil {
			return
		}
	case stateRefused:
		sub.changedServices = nil
		p.setState(sub, stateChanged)
		p.enqueue(sub)
		return
	case stateAhead:
		p.reconcile(sub)
		return
	default:
		return
	}
	if service == "" {
		sub.changedServices = nil
	} else {
		sub.changedServices = append(sub.changedServices, service)
	}
	p.enqueue(sub)
}

// handleRefusal resets sentPosition to what the subscriber has in force. The next state that differs is sent from there.
func (p *Publisher) handleRefusal(sub *subscription, inForce resource.Position) {
	if sub.standby || sub.region.store == nil {
		return
	}
	p.endSnapshot(sub)
	sub.sentPosition, sub.digestKnown = inForce, false
	p.setState(sub, stateRefused)
}

// enqueue queues a subscription that has something to send.
func (p *Publisher) enqueue(sub *subscription) {
	if sub.queued || sub.blocked || sub.session.closed {
		return
	}
	sub.queued = true
	if sub.state == stateSnapshot {
		p.partQueue.push(sub)
	} else {
		p.deltaQueue.push(sub)
	}
}

// requeueThrottled queues the throttled subscriptions whose session has budget again.
func (p *Publisher) requeueThrottled() {
	p.throttled = slices.DeleteFunc(p.throttled, func(sub *subscription) bool {
		sub.session.bucket.fill(p.now)
		if !sub.session.bucket.ready() {
			return false
		}
		p.enqueue(sub)
		return true
	})
}

// deltasPerPart is how many deltas may be sent ahead of a snapshot part that is queued: changes have priority, but snapshots
// make progress.
const deltasPerPart = 4

// sendQueued sends deltas and snapshot parts while the process has budget.
func (p *Publisher) sendQueued() {
	for p.bucket.ready() && p.deltaQueue.len()+p.partQueue.len() > 0 {
		q := &p.deltaQueue
		if p.deltaQueue.len() == 0 || p.partQueue.len() > 0 && p.deltasSincePart >= deltasPerPart {
			q = &p.partQueue
		}
		p.sendNext(q.pop())
	}
}

// sendNext sends the next message of a subscription, if its session may be sent one.
func (p *Publisher) sendNext(sub *subscription) {
	sub.queued = false
	s := sub.session
	if s.closed || sub.state != stateChanged && sub.state != stateSnapshot {
		return
	}
	if s.unacknowledgedBytes >= p.cfg.MaxUnacknowledgedBytes {
		sub.blocked = true
		return
	}
	s.bucket.fill(p.now)
	if !s.bucket.ready() {
		p.throttled = append(p.throttled, sub)
		return
	}
	if sub.state == stateSnapshot {
		p.deltasSincePart = 0
		p.sendPart(sub)
		return
	}
	p.deltasSincePart++
	p.sendDelta(sub)
}

// sendDelta sends the changes since sentPosition. If the store's history doesn't reach back that far, a subscriber whose
// digest matches the current one is sent an empty delta to the current position, and others a snapshot.
func (p *Publisher) sendDelta(sub *subscription) {
	delta, ok := p.delta(sub)
	switch {
	case !ok:
		p.startSnapshot(sub)
		return
	case delta != nil:
		size := p.cfg.Size(delta)
		if size > p.cfg.MaxDeltaBytes || len(delta.Changes) > message.MaxResources {
			p.startSnapshot(sub)
			return
		}
		p.sendCounted(sub, delta, size, inFlight{sub.region, delta.To, size, false})
		sub.sentPosition, sub.sentDigest, sub.digestKnown = delta.To, delta.Digest, true
	}
	sub.changedServices = sub.changedServices[:0]
	p.setState(sub, stateCurrent)
}

// delta returns a delta from sentPosition to the store's position. It is nil if nothing has changed within the subscription,
// and ok is false if the history doesn't reach back far enough.
func (p *Publisher) delta(sub *subscription) (delta *message.Delta, ok bool) {
	r := sub.region
	if sub.filter.All {
		if shared := r.fullDeltas[sub.sentPosition]; shared != nil {
			return shared, true
		}
	}
	filter := sub.filter
	if len(sub.changedServices) > 0 && !filter.All {
		slices.Sort(sub.changedServices)
		filter.Services = slices.Compact(sub.changedServices)
	}
	changes, ok := r.store.Changes(filter, sub.sentPosition)
	digest := r.store.Digest(sub.filter)
	same := sub.digestKnown && digest == sub.sentDigest
	if !ok && !same {
		return nil, false
	}
	if ok && len(changes) == 0 && same {
		return nil, true // the next heartbeat carries the position
	}
	if p.faults.omitDeletions {
		changes = slices.DeleteFunc(changes, func(c resource.Change) bool { return c.Deleted })
	}
	delta = &message.Delta{Region: r.name, From: sub.sentPosition, To: r.position, Changes: changes, Digest: digest}
	if sub.filter.All {
		if r.fullDeltas == nil {
			r.fullDeltas = map[resource.Position]*message.Delta{}
		}
		r.fullDeltas[sub.sentPosition] = delta
	}
	return delta, true
}

// sendCounted sends a message that counts against the budgets and the unacknowledged bytes.
func (p *Publisher) sendCounted(sub *subscription, m message.Message, size int, f inFlight) {
	p.outgoing = append(p.outgoing, Outgoing{sub.session.id, m})
	p.bucket.spend(size)
	sub.session.bucket.spend(size)
	sub.session.unacknowledgedBytes += size
	sub.session.inFlight = append(sub.session.inFlight, f)
}

// sendHeartbeats sends the heartbeats that are due, and one to each new subscription.
func (p *Publisher) sendHeartbeats() {
	for _, sub := range p.newSubscriptions {
		if sub.heartbeatDue && !sub.session.closed {
			sub.heartbeatDue = false
			p.sendHeartbeat(sub)
		}
	}
	clear(p.newSubscriptions)
	p.newSubscriptions = p.newSubscriptions[:0]
	for {
		s, ok := p.heartbeatQueue.first()
		if !ok || s.heartbeatAt > p.now && !s.closed {
			return
		}
		p.heartbeatQueue.pop()
		if s.closed {
			continue
		}
		for _, sub := range s.subscriptions {
			p.sendHeartbeat(sub)
		}
		s.heartbeatAt = p.now + p.cfg.HeartbeatInterval
		p.heartbeatQueue.push(s)
	}
}

// sendHeartbeat sends a heartbeat. It is not held back by the budgets but is charged to them.
func (p *Publisher) sendHeartbeat(sub *subscription) {
	r := sub.region
	if r.store == nil {
		return
	}
	if sub.state == stateAhead {
		p.reconcile(sub)
	}
	if r.standbyHeartbeat == nil {
		r.standbyHeartbeat = &message.Heartbeat{Region: r.name, Position: r.position, Age: max(0, p.cfg.Age(r.name, p.now))}
	}
	m := r.standbyHeartbeat
	if sub.digestKnown && (sub.state == stateCurrent || sub.state == stateChanged) {
		if sub.state == stateCurrent {
			sub.sentPosition = r.position
		}
		own := p.newHeartbeat()
		*own = message.Heartbeat{Region: r.name, Position: r.position, Sent: sub.sentPosition, Digest: sub.sentDigest, Age: m.Age}
		m = own
	}
	p.outgoing = append(p.outgoing, Outgoing{sub.session.id, m})
	p.bucket.spend(p.heartbeatBytes)
	sub.session.bucket.spend(p.heartbeatBytes)
}

// heartbeatsPerAllocation is how many heartbeats are allocated at once.
const heartbeatsPerAllocation = 64

// newHeartbeat returns a heartbeat from a block allocated at once, as thousands are sent per second.
func (p *Publisher) newHeartbeat() *message.Heartbeat {
	if len(p.unusedHeartbeats) == 0 {
		p.unusedHeartbeats = make([]message.Heartbeat, heartbeatsPerAllocation)
	}
	m := &p.unusedHeartbeats[0]
	p.unusedHeartbeats = p.unusedHeartbeats[1:]
	return m
}

// queueReply sends a message with the next Step, regardless of the budgets.
func (p *Publisher) queueReply(sub *subscription, m message.Message) {
	p.pendingReplies = append(p.pendingReplies, Outgoing{sub.session.id, m})
}

// sendBusy asks a subscriber to subscribe again later for its snapshot. The waits are random over the time that the
// snapshots ahead of it are expected to take, so that retries don't arrive all at once.
func (p *Publisher) sendBusy(sub *subscription) {
	p.setState(sub, stateWaiting)
	rounds := 1 + float64(p.waitingCount)/float64(p.cfg.MaxSnapshots)
	spread := rounds * float64(max(p.meanSnapshotTime, p.cfg.BusyRetryBase))
	wait := min(time.Duration(float64(p.cfg.BusyRetryBase)/2+p.random.Float64()*spread), maxBusyWait)
	p.queueReply(sub, &message.Busy{Region: sub.region.name, RetryAfter: wait})
}

const maxBusyWait = time.Minute
