package publisher

import (
	"slices"
	"time"

	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/resource"
)

// subscription is what one session is sent of one region's log.
type subscription struct {
	session *session
	region  *region
	index   int // in region.subscriptions
	standby bool
	filter  changelog.Filter
	state   state
	greet   bool // it gets a heartbeat with the next step

	told    resource.Position // up to which the subscriber was sent everything
	digest  message.Digest    // of the subscription at told,
	known   bool              // where it is known
	touched []string          // services that changed since told; nil for any of the subscription
	inForce resource.Position // as acknowledged
	refusal string

	queued   bool
	blocked  bool // until the session acknowledges something
	snapshot *snapshot
}

// state is how a subscription is served.
type state uint8

const (
	stateUnpublished state = iota // the region has no store yet
	stateCurrent                  // nothing of the subscription has changed since told
	stateChanged                  // a delta is to be sent
	stateSnapshot                 // a snapshot is being sent
	stateWaiting                  // the subscriber was told Busy, and is to ask again
	stateAhead                    // the subscriber is ahead of the store
	stateRefused                  // the subscriber refused the latest state, and gets the next
)

func (s state) String() string {
	return [...]string{"unpublished", "current", "changed", "snapshot", "waiting", "ahead", "refused"}[s]
}

// reconcile decides how to bring up a subscriber that stands at told with a digest.
func (p *Publisher) reconcile(sub *subscription) {
	store := sub.region.store
	if sub.standby || store == nil {
		return
	}
	if p.faults.resumeAnywhere && !sub.told.IsZero() {
		p.setState(sub, stateCurrent)
		return
	}
	switch order := sub.told.Compare(store.Position()); {
	case order > 0:
		p.setState(sub, stateAhead)
	case order == 0 && (sub.told.IsZero() || sub.digest == store.Digest(sub.filter)):
		p.setState(sub, stateCurrent)
	case order == 0 || sub.told.IsZero():
		p.startSnapshot(sub)
	default:
		sub.touched = nil
		p.setState(sub, stateChanged)
		p.enqueue(sub)
	}
}

// setState changes how a subscription is served, and keeps the number of those that wait.
func (p *Publisher) setState(sub *subscription, s state) {
	if sub.state == stateWaiting {
		p.waiting--
	}
	if s == stateWaiting {
		p.waiting++
	}
	sub.state = s
}

// remove ends a subscription.
func (p *Publisher) remove(sub *subscription) {
	p.endSnapshot(sub)
	p.setState(sub, stateUnpublished)
	sub.region.remove(sub)
	sub.session.release(sub.region, resource.Position{}, true)
	sub.blocked, sub.greet = false, false
	sub.session.dropGone(p, sub)
}

// dropGone takes a subscription from the throttled; the other queues skip it when its turn comes.
func (s *session) dropGone(p *Publisher, sub *subscription) {
	p.throttled = slices.DeleteFunc(p.throttled, func(other *subscription) bool { return other == sub })
}

// touch notes that a service of a subscription has changed, or any where service is "".
func (p *Publisher) touch(sub *subscription, service string) {
	switch sub.state {
	case stateCurrent:
		sub.touched = sub.touched[:0]
		p.setState(sub, stateChanged)
	case stateChanged:
		if sub.touched == nil {
			return
		}
	case stateRefused:
		sub.touched = nil
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
		sub.touched = nil
	} else {
		sub.touched = append(sub.touched, service)
	}
	p.enqueue(sub)
}

// refused goes back to what the subscriber has in force. It is sent the next state that differs.
func (p *Publisher) refused(sub *subscription, inForce resource.Position) {
	if sub.standby || sub.region.store == nil {
		return
	}
	p.endSnapshot(sub)
	sub.told, sub.known = inForce, false
	p.setState(sub, stateRefused)
}

// enqueue gives a subscription that has something to be sent its turn.
func (p *Publisher) enqueue(sub *subscription) {
	if sub.queued || sub.blocked || sub.session.gone {
		return
	}
	sub.queued = true
	if sub.state == stateSnapshot {
		p.parts.push(sub)
	} else {
		p.deltas.push(sub)
	}
}

// wakeThrottled gives those their turn again whose session's budget allows more.
func (p *Publisher) wakeThrottled() {
	p.throttled = slices.DeleteFunc(p.throttled, func(sub *subscription) bool {
		sub.session.bucket.fill(p.now)
		if !sub.session.bucket.ready() {
			return false
		}
		p.enqueue(sub)
		return true
	})
}

// deltasForPart is how many deltas are sent before a part of a snapshot has its turn: changes go first, and snapshots go on.
const deltasForPart = 4

// sendQueued sends deltas and parts of snapshots as far as the budget goes.
func (p *Publisher) sendQueued() {
	for p.bucket.ready() && p.deltas.len()+p.parts.len() > 0 {
		q := &p.deltas
		if p.deltas.len() == 0 || p.parts.len() > 0 && p.sinceLast >= deltasForPart {
			q = &p.parts
		}
		p.serve(q.pop())
	}
}

// serve sends one message of a subscription.
func (p *Publisher) serve(sub *subscription) {
	sub.queued = false
	s := sub.session
	if s.gone || sub.state != stateChanged && sub.state != stateSnapshot {
		return
	}
	if s.unacknowledged >= p.cfg.MaxUnacknowledgedBytes {
		sub.blocked = true
		return
	}
	s.bucket.fill(p.now)
	if !s.bucket.ready() {
		p.throttled = append(p.throttled, sub)
		return
	}
	if sub.state == stateSnapshot {
		p.sinceLast = 0
		p.sendPart(sub)
		return
	}
	p.sinceLast++
	p.sendDelta(sub)
}

// sendDelta sends what has changed since told. Where history does not reach back that far, a subscriber whose digest is
// that of now is only told the position; others get a snapshot.
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
		sub.told, sub.digest, sub.known = delta.To, delta.Digest, true
	}
	sub.touched = sub.touched[:0]
	p.setState(sub, stateCurrent)
}

// delta is what brings a subscription from told to the store's position. It is nil where nothing has changed within the
// subscription, and not ok where it can't be given.
func (p *Publisher) delta(sub *subscription) (delta *message.Delta, ok bool) {
	r := sub.region
	if sub.filter.All {
		if shared := r.deltas[sub.told]; shared != nil {
			return shared, true
		}
	}
	filter := sub.filter
	if len(sub.touched) > 0 && !filter.All {
		slices.Sort(sub.touched)
		filter.Services = slices.Compact(sub.touched)
	}
	changes, ok := r.store.Changes(filter, sub.told)
	digest := r.store.Digest(sub.filter)
	same := sub.known && digest == sub.digest
	if !ok && !same {
		return nil, false
	}
	if ok && len(changes) == 0 && same {
		return nil, true // the next heartbeat tells the position
	}
	if p.faults.omitDeleted {
		changes = slices.DeleteFunc(changes, func(c resource.Change) bool { return c.Deleted })
	}
	delta = &message.Delta{Region: r.name, From: sub.told, To: r.position, Changes: changes, Digest: digest}
	if sub.filter.All {
		if r.deltas == nil {
			r.deltas = map[resource.Position]*message.Delta{}
		}
		r.deltas[sub.told] = delta
	}
	return delta, true
}

// sendCounted sends a message that counts against the window and the budgets.
func (p *Publisher) sendCounted(sub *subscription, m message.Message, size int, f inFlight) {
	p.out = append(p.out, Outgoing{sub.session.id, m})
	p.bucket.spend(size)
	sub.session.bucket.spend(size)
	sub.session.unacknowledged += size
	sub.session.inFlight = append(sub.session.inFlight, f)
}

// heartbeats sends those that are due, and one to each new subscription.
func (p *Publisher) heartbeats() {
	for _, sub := range p.greetings {
		if sub.greet && !sub.session.gone {
			sub.greet = false
			p.beat(sub)
		}
	}
	clear(p.greetings)
	p.greetings = p.greetings[:0]
	for {
		s, ok := p.beats.first()
		if !ok || s.beatAt > p.now && !s.gone {
			return
		}
		p.beats.pop()
		if s.gone {
			continue
		}
		for _, sub := range s.subscriptions {
			p.beat(sub)
		}
		s.beatAt = p.now + p.cfg.HeartbeatInterval
		p.beats.push(s)
	}
}

// beat sends a heartbeat. It is sent whatever the budget, and counts.
func (p *Publisher) beat(sub *subscription) {
	r := sub.region
	if r.store == nil {
		return
	}
	if sub.state == stateAhead {
		p.reconcile(sub)
	}
	if r.shared == nil {
		r.shared = &message.Heartbeat{Region: r.name, Position: r.position, Age: max(0, p.cfg.Age(r.name, p.now))}
	}
	m := r.shared
	if sub.known && (sub.state == stateCurrent || sub.state == stateChanged) {
		if sub.state == stateCurrent {
			sub.told = r.position
		}
		own := p.newHeartbeat()
		*own = message.Heartbeat{Region: r.name, Position: r.position, Sent: sub.told, Digest: sub.digest, Age: m.Age}
		m = own
	}
	p.out = append(p.out, Outgoing{sub.session.id, m})
	p.bucket.spend(p.beatBytes)
	sub.session.bucket.spend(p.beatBytes)
}

// heartbeatBlock is how many heartbeats are allocated at once.
const heartbeatBlock = 64

// newHeartbeat is one of a block: there are thousands a second.
func (p *Publisher) newHeartbeat() *message.Heartbeat {
	if len(p.block) == 0 {
		p.block = make([]message.Heartbeat, heartbeatBlock)
	}
	m := &p.block[0]
	p.block = p.block[1:]
	return m
}

// answer sends a message with the next step, whatever the budget.
func (p *Publisher) answer(sub *subscription, m message.Message) {
	p.pending = append(p.pending, Outgoing{sub.session.id, m})
}

// busy tells a subscriber to come again for its snapshot. The waits are spread over the time that those before it will take,
// so that they don't all come at once.
func (p *Publisher) busy(sub *subscription) {
	p.setState(sub, stateWaiting)
	rounds := 1 + float64(p.waiting)/float64(p.cfg.MaxSnapshots)
	spread := rounds * float64(max(p.typical, p.cfg.BusyRetryBase))
	wait := min(time.Duration(float64(p.cfg.BusyRetryBase)/2+p.random.Float64()*spread), maxBusyWait)
	p.answer(sub, &message.Busy{Region: sub.region.name, RetryAfter: wait})
}

const maxBusyWait = time.Minute
