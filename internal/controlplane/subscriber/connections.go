package subscriber

import (
	"slices"
	"time"

	"craneglade/internal/controlplane/parents"
	"craneglade/internal/controlplane/resource"
)

const (
	targetParents = 2 // one streams, the other is on standby
	maxParents    = 3 // while a better candidate is connected before a worse one is closed
)

type parentState uint8

const (
	parentIdle parentState = iota
	parentConnecting
	parentConnected
)

// parent is a candidate with the state of its connection.
type parent struct {
	candidate  parents.Candidate
	rank       int
	state      parentState
	stateSince time.Duration // when state was entered
	heardAt    time.Duration
	failures   int // consecutive
	retryAt    time.Duration
	stableAt   time.Duration // when it counts as stable; set when it connects and when it is replaced as a source
	skipped    bool          // the next message contained fields or resources unknown to this version
	sessions   []session     // by replica.index
}

// session is the state of one region on the connection to a parent.
type session struct {
	requested subscriptionMode
	position  resource.Position
	heardAt   time.Duration
	freshAt   time.Duration // when the writer was known to be at position
}

// subscriptionMode is what was requested from a parent.
type subscriptionMode uint8

const (
	modeNone subscriptionMode = iota
	modeStandby
	modeStream
)

func (p *parent) live() bool { return p.state != parentIdle }

// stable reports whether the parent has been connected for long enough to be preferred again.
func (p *parent) stable(now time.Duration) bool {
	return p.state == parentConnected && now >= p.stableAt
}

// stale reports whether the parent's state of some region is too old to be useful.
func (p *parent) stale(now, limit time.Duration) bool {
	if p.state != parentConnected || now-p.stateSince <= limit {
		return false
	}
	for i := range p.sessions {
		if now-p.sessions[i].freshAt > limit {
			return true
		}
	}
	return false
}

// shiftTimes adds the duration of a stall of this process to the parent's times, so that the stall doesn't count as silence
// of the parent.
func (p *parent) shiftTimes(gap time.Duration) {
	p.heardAt += gap
	p.stateSince += gap
	for i := range p.sessions {
		p.sessions[i].heardAt += gap
	}
}

// SetCandidates replaces the candidates for parents. Connections to candidates that remain, with the same address, are kept.
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
			s.closeConnection(p)
		}
	}
}

// Connected reports that the connection to a parent is established.
func (s *Subscriber) Connected(now time.Duration, name string) {
	s.advance(now)
	p := s.byName[name]
	if p == nil || p.state == parentConnected {
		return
	}
	s.everConnected = true
	p.state, p.stateSince, p.heardAt = parentConnected, s.now, s.now
	p.stableAt = s.now + s.jittered(s.cfg.Limits.ReturnAfter)
	p.skipped = false
	for i := range p.sessions {
		p.sessions[i] = session{heardAt: s.now, freshAt: s.now}
	}
}

// Disconnected reports that the connection to a parent has ended or could not be made.
func (s *Subscriber) Disconnected(now time.Duration, name string) {
	s.advance(now)
	p := s.byName[name]
	if p == nil || !p.live() {
		return
	}
	if p.state == parentConnected {
		s.note(ParentLost{name, LossDisconnected})
	}
	s.scheduleReconnect(p)
}

// jittered returns a random duration between d and twice d.
func (s *Subscriber) jittered(d time.Duration) time.Duration {
	return d + time.Duration(s.random.Float64()*float64(d))
}

// scheduleReconnect detaches a parent and sets when it may be connected to again.
func (s *Subscriber) scheduleReconnect(p *parent) {
	if p.stable(s.now) {
		p.failures = 0
	}
	p.retryAt = s.now + backoff(s.random, s.cfg.Limits.BackoffBase, s.cfg.Limits.BackoffLimit, p.failures)
	p.failures++
	s.detach(p)
}

// closeConnection closes the connection to a parent and drops what was to be sent on it.
func (s *Subscriber) closeConnection(p *parent) {
	name := p.candidate.Name
	s.actions.Send = slices.DeleteFunc(s.actions.Send, func(o Outgoing) bool { return o.Parent == name })
	s.actions.Close = append(s.actions.Close, name)
	s.detach(p)
}

// detach clears the state of a connection that has ended.
func (s *Subscriber) detach(p *parent) {
	p.state, p.stateSince = parentIdle, s.now
	for _, r := range s.replicas {
		r.handleDetach(p)
	}
}

// closeUnresponsive closes connections that were not established within ConnectTimeout, and those of parents that were
// silent for longer than SilenceTimeout.
func (s *Subscriber) closeUnresponsive() {
	limits := &s.cfg.Limits
	for _, p := range s.parents {
		switch {
		case p.state == parentConnecting && s.now-p.stateSince > limits.ConnectTimeout:
			s.scheduleReconnect(p)
			s.actions.Close = append(s.actions.Close, p.candidate.Name)
		case p.state == parentConnected && s.now-p.heardAt > limits.SilenceTimeout && !s.faults.keepSilentParent:
			s.note(ParentLost{p.candidate.Name, LossSilent})
			s.scheduleReconnect(p)
			s.closeConnection(p)
		}
	}
}

// maintainConnections connects to the two highest ranked candidates that can be reached. A lower ranked parent is closed
// only once the higher ranked ones are stable.
func (s *Subscriber) maintainConnections() {
	for s.connectOne() {
	}
	s.closeSurplus()
}

// connectOne starts a connection if one more is wanted.
func (s *Subscriber) connectOne() bool {
	live, fresh, worstRank := 0, 0, -1
	var idle *parent
	for _, p := range s.parents {
		if p.live() {
			live++
			worstRank = p.rank
			if !p.stale(s.now, s.cfg.Limits.StaleAfter) {
				fresh++
			}
		} else if idle == nil && s.now >= p.retryAt {
			idle = p
		}
	}
	if idle == nil || live >= maxParents || fresh >= targetParents && idle.rank > worstRank {
		return false
	}
	if !s.retries.take(s.now) {
		return false
	}
	idle.state, idle.stateSince = parentConnecting, s.now
	s.actions.Connect = append(s.actions.Connect, idle.candidate)
	return true
}

// closeSurplus closes one of three parents: one whose state is stale, or the lowest ranked once the two above it are stable.
// A parent that streams a region is never closed.
func (s *Subscriber) closeSurplus() {
	live, stableCount := 0, 0 // stableCount excludes the last
	var stale, last *parent
	for _, p := range s.parents {
		if !p.live() {
			continue
		}
		if last != nil && last.stable(s.now) && !last.stale(s.now, s.cfg.Limits.StaleAfter) {
			stableCount++
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
		s.scheduleReconnect(stale)
		s.closeConnection(stale)
	case stableCount >= targetParents && last.state == parentConnected && !s.isSource(last):
		s.closeConnection(last)
	}
}

// isSource reports whether a parent streams a region's log.
func (s *Subscriber) isSource(p *parent) bool {
	return slices.ContainsFunc(s.replicas, func(r *replica) bool { return r.source == p })
}

// noteNoParent adds a note when no parent is connected any more.
func (s *Subscriber) noteNoParent() {
	noParent := !slices.ContainsFunc(s.parents, func(p *parent) bool { return p.state == parentConnected })
	if noParent && !s.noParent && s.everConnected {
		s.note(NoParent{})
	}
	s.noParent = noParent
}
