package subscriber

import (
	"slices"
	"time"

	"craneglade/internal/controlplane/parents"
	"craneglade/internal/controlplane/resource"
)

const (
	wantedParents = 2 // one streams, one is on standby
	maxParents    = 3 // while a better one is tried before the worse is left
)

type parentState uint8

const (
	parentIdle parentState = iota
	parentConnecting
	parentConnected
)

// parent is a candidate with what is known of it.
type parent struct {
	candidate parents.Candidate
	rank      int
	state     parentState
	since     time.Duration // in its state
	heardAt   time.Duration
	failures  int // in a row
	retryAt   time.Duration
	settledAt time.Duration // when it is preferred again, if nothing happens until then
	skipped   bool          // the next message held what this version doesn't know
	sessions  []session     // by the index of the region
}

// session is what a parent has told of one region on this connection.
type session struct {
	asked    subscription
	position resource.Position
	heardAt  time.Duration
	freshAt  time.Duration // when the writer was known to stand at position
}

// subscription is what a parent was asked for.
type subscription uint8

const (
	askedNothing subscription = iota
	askedStandby
	askedStream
)

func (p *parent) live() bool { return p.state != parentIdle }

// settled reports whether the parent was stable for long enough to be preferred again.
func (p *parent) settled(now time.Duration) bool {
	return p.state == parentConnected && now >= p.settledAt
}

// stale reports whether what the parent has of some region is too old for it to be of use.
func (p *parent) stale(now, limit time.Duration) bool {
	if p.state != parentConnected || now-p.since <= limit {
		return false
	}
	for i := range p.sessions {
		if now-p.sessions[i].freshAt > limit {
			return true
		}
	}
	return false
}

// excuse moves the parent's times by a stall of this process.
func (p *parent) excuse(gap time.Duration) {
	p.heardAt += gap
	p.since += gap
	for i := range p.sessions {
		p.sessions[i].heardAt += gap
	}
}

// SetCandidates replaces those that may serve as parents. Connections to candidates that stay are kept.
func (s *Subscriber) SetCandidates(now time.Duration, all []parents.Candidate) {
	s.advance(now)
	former := s.byName
	s.parents, s.byName = s.parents[:0:0], make(map[string]*parent, len(all))
	for rank, candidate := range parents.Rank(s.cfg.Name, s.cfg.Zone, all) {
		p := former[candidate.Name]
		if p == nil || p.candidate.Address != candidate.Address {
			p = &parent{sessions: make([]session, len(s.replicas))}
		}
		p.candidate, p.rank = candidate, rank
		s.parents = append(s.parents, p)
		s.byName[candidate.Name] = p
	}
	for name, p := range former {
		if s.byName[name] != p && p.live() {
			s.close(p)
		}
	}
}

// Connected tells that the connection to a parent stands.
func (s *Subscriber) Connected(now time.Duration, name string) {
	s.advance(now)
	p := s.byName[name]
	if p == nil || p.state == parentConnected {
		return
	}
	s.started = true
	p.state, p.since, p.heardAt = parentConnected, s.now, s.now
	p.settledAt = s.now + s.jittered(s.cfg.Limits.ReturnAfter)
	p.skipped = false
	for i := range p.sessions {
		p.sessions[i] = session{heardAt: s.now, freshAt: s.now}
	}
}

// Disconnected tells that the connection to a parent has ended, or could not be made.
func (s *Subscriber) Disconnected(now time.Duration, name string) {
	s.advance(now)
	p := s.byName[name]
	if p == nil || !p.live() {
		return
	}
	if p.state == parentConnected {
		s.note(ParentLost{name, LossDisconnected})
	}
	s.failed(p)
}

// jittered is between once and twice a time.
func (s *Subscriber) jittered(d time.Duration) time.Duration {
	return d + time.Duration(s.random.Float64()*float64(d))
}

// failed makes a parent wait before it is connected to again.
func (s *Subscriber) failed(p *parent) {
	if p.settled(s.now) {
		p.failures = 0
	}
	p.retryAt = s.now + backoff(s.random, s.cfg.Limits.BackoffBase, s.cfg.Limits.BackoffLimit, p.failures)
	p.failures++
	s.detach(p)
}

// close gives up a connection.
func (s *Subscriber) close(p *parent) {
	name := p.candidate.Name
	s.actions.Send = slices.DeleteFunc(s.actions.Send, func(o Outgoing) bool { return o.Parent == name })
	s.actions.Close = append(s.actions.Close, name)
	s.detach(p)
}

// detach forgets what was known of a connection that has ended.
func (s *Subscriber) detach(p *parent) {
	p.state, p.since = parentIdle, s.now
	for _, r := range s.replicas {
		r.detached(p)
	}
}

// giveUpSilent closes connections that are of no use any more.
func (s *Subscriber) giveUpSilent() {
	limits := &s.cfg.Limits
	for _, p := range s.parents {
		switch {
		case p.state == parentConnecting && s.now-p.since > limits.ConnectTimeout:
			s.failed(p)
			s.actions.Close = append(s.actions.Close, p.candidate.Name)
		case p.state == parentConnected && s.now-p.heardAt > limits.SilenceTimeout && !s.faults.keepSilentParent:
			s.note(ParentLost{p.candidate.Name, LossSilent})
			s.failed(p)
			s.close(p)
		}
	}
}

// keepConnections connects to the two best candidates that can be reached. Before a worse one is left for a better one,
// the better has to have been stable.
func (s *Subscriber) keepConnections() {
	for s.connectOne() {
	}
	s.closeSurplus()
}

// connectOne begins a connection where one more is wanted.
func (s *Subscriber) connectOne() bool {
	live, useful, worst := 0, 0, -1
	var idle *parent
	for _, p := range s.parents {
		if p.live() {
			live++
			worst = p.rank
			if !p.stale(s.now, s.cfg.Limits.StaleAfter) {
				useful++
			}
		} else if idle == nil && s.now >= p.retryAt {
			idle = p
		}
	}
	if idle == nil || live >= maxParents || useful >= wantedParents && idle.rank > worst {
		return false
	}
	if !s.budget.take(s.now) {
		return false
	}
	idle.state, idle.since = parentConnecting, s.now
	s.actions.Connect = append(s.actions.Connect, idle.candidate)
	return true
}

// closeSurplus leaves one of three parents: one whose state is too old, or the worst once the two better ones are stable.
// A parent from which a region is streamed is never left.
func (s *Subscriber) closeSurplus() {
	live, settled := 0, 0 // settled of those before the last
	var stale, last *parent
	for _, p := range s.parents {
		if !p.live() {
			continue
		}
		if last != nil && last.settled(s.now) && !last.stale(s.now, s.cfg.Limits.StaleAfter) {
			settled++
		}
		live++
		last = p
		if p.stale(s.now, s.cfg.Limits.StaleAfter) && !s.isSource(p) {
			stale = p
		}
	}
	switch {
	case live < maxParents:
	case stale != nil:
		s.note(ParentLost{stale.candidate.Name, LossStale})
		s.failed(stale)
		s.close(stale)
	case settled >= wantedParents && last.state == parentConnected && !s.isSource(last):
		s.close(last)
	}
}

// isSource reports whether a region's log is streamed from the parent.
func (s *Subscriber) isSource(p *parent) bool {
	return slices.ContainsFunc(s.replicas, func(r *replica) bool { return r.source == p })
}

// noteAlone notes once that no parent is connected.
func (s *Subscriber) noteAlone() {
	alone := !slices.ContainsFunc(s.parents, func(p *parent) bool { return p.state == parentConnected })
	if alone && !s.alone && s.started {
		s.note(NoParent{})
	}
	s.alone = alone
}
