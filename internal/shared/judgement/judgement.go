// Package judgement decides on outlier ejection from the observations of all nodes of a fleet. A failing backend is ejected
// on every node once a quorum of nodes has seen it fail, and no single node that is unlucky, wrong or partitioned can eject
// one for all.
//
// Each node reports for each backend how many attempts it made and how many failed, both decaying. Other nodes' reports
// eject a backend only if a quorum of nodes finds it unhealthy and these are more than those that find it healthy; only up
// to a fraction of all backends and of each site's; and never if this node itself has had a success there a moment ago.
//
// The package has no I/O, clock or goroutines. Nothing in it is safe for concurrent use.
package judgement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Key identifies one incarnation of a backend, and is the same at every node.
type Key uint64

// Backend is a backend on the list.
type Backend struct {
	Key  Key
	Name string // for operators
	Site string
}

// Limits are the conditions and bounds of ejection.
type Limits struct {
	DecayTime         time.Duration // time constant with which evidence decays
	Quorum            int           // nodes that must find a backend unhealthy, this one included
	MinFailures       float64       // decayed failures from which a node finds a backend unhealthy,
	MinFailedFraction float64       // if they are also this fraction of its attempts
	MaxFleetFraction  float64       // fraction of all backends that may be ejected at a time
	MaxSiteFraction   float64       // fraction of one site's backends
	OwnSuccessWindow  time.Duration // a success of this node's own within this time rules out ejection
	EjectionTime      time.Duration // length of an ejection, renewed while the nodes agree
	ReportInterval    time.Duration // interval at which unchanged observations are reported
}

// DefaultLimits returns the limits in service.
func DefaultLimits() Limits {
	return Limits{DecayTime: 5 * time.Second, Quorum: 2, MinFailures: 1.2, MinFailedFraction: 0.5, MaxFleetFraction: 0.25, MaxSiteFraction: 0.5, OwnSuccessWindow: time.Second,
		EjectionTime: 2 * time.Second, ReportInterval: time.Second}
}

// Observation is what one node has recently seen of one backend. A later one has a higher Seq.
type Observation struct {
	Seq      uint64
	Attempts float64 // attempts, decayed
	Failures float64 // those of them that failed, decayed
}

// valid reports whether an observation is possible.
func (s Observation) valid() bool {
	ok := func(x float64) bool { return x >= 0 && x < math.MaxInt32 }
	return ok(s.Attempts) && ok(s.Failures) && s.Failures <= s.Attempts+1e-9
}

type verdict int8

const (
	unknown verdict = iota
	healthy
	unhealthy
)

// timedObservation is an observation with the time, by this node's clock, from which it decays.
type timedObservation struct {
	Observation
	at time.Duration
}

// decayFactor returns the fraction of an observation's evidence that remains.
func (s *timedObservation) decayFactor(now time.Duration, l *Limits) float64 {
	return math.Exp(-max(0, now-s.at).Seconds() / l.DecayTime.Seconds())
}

func (s *timedObservation) verdict(now time.Duration, l *Limits) verdict {
	f := s.decayFactor(now, l)
	switch {
	case s.Failures*f >= l.MinFailures && s.Failures >= l.MinFailedFraction*s.Attempts:
		return unhealthy
	case s.Attempts*f >= 0.5 && s.Failures < l.MinFailedFraction*s.Attempts:
		return healthy
	}
	return unknown
}

type peer struct {
	incarnation  uint64
	observations map[Key]*timedObservation
}

type ownObservation struct {
	timedObservation
	lastSuccess time.Duration // negative for never
	reported    verdict       // the verdict last reported to other nodes,
	reportedAt  time.Duration // and when
}

// Pool is the evidence that one node has, and the ejections that follow from it.
type Pool struct {
	limits       Limits
	siteOf       map[Key]string // of each listed backend
	siteSizes    map[string]int
	own          map[Key]*ownObservation
	peers        map[int]*peer
	ejectedUntil map[Key]time.Duration // when each ejection ends
	capped       int                   // backends that only the ceilings kept from ejection at the last decision
}

// New returns a pool without evidence.
func New(l Limits) *Pool {
	return &Pool{limits: l, siteOf: map[Key]string{}, siteSizes: map[string]int{}, own: map[Key]*ownObservation{}, peers: map[int]*peer{},
		ejectedUntil: map[Key]time.Duration{}}
}

// SetBackends sets the list of backends, and forgets everything about others.
func (p *Pool) SetBackends(all []Backend) {
	clear(p.siteOf)
	clear(p.siteSizes)
	for _, b := range all {
		p.siteOf[b.Key] = b.Site
		p.siteSizes[b.Site]++
	}
	removed := func(k Key) bool { _, listed := p.siteOf[k]; return !listed }
	maps.DeleteFunc(p.own, func(k Key, _ *ownObservation) bool { return removed(k) })
	maps.DeleteFunc(p.ejectedUntil, func(k Key, _ time.Duration) bool { return removed(k) })
	for _, m := range p.peers {
		maps.DeleteFunc(m.observations, func(k Key, _ *timedObservation) bool { return removed(k) })
	}
	p.enforceCeilings()
}

// Ejected reports whether a backend is ejected.
func (p *Pool) Ejected(k Key) bool {
	_, is := p.ejectedUntil[k]
	return is
}

// withinCeilings reports whether that many backends may be ejected, that many of them in a site.
func (p *Pool) withinCeilings(ejected int, site string, ejectedInSite int) bool {
	return float64(ejected) <= p.limits.MaxFleetFraction*float64(len(p.siteOf)) && float64(ejectedInSite) <= p.limits.MaxSiteFraction*float64(p.siteSizes[site])
}

// enforceCeilings ends ejections until the ceilings hold again for a list that has shrunk, starting with those that would
// end first.
func (p *Pool) enforceCeilings() {
	sites := map[string]int{}
	for k := range p.ejectedUntil {
		sites[p.siteOf[k]]++
	}
	order := slices.SortedFunc(maps.Keys(p.ejectedUntil), func(a, b Key) int {
		return cmp.Or(cmp.Compare(p.ejectedUntil[a], p.ejectedUntil[b]), cmp.Compare(a, b))
	})
	for _, k := range order {
		if site := p.siteOf[k]; !p.withinCeilings(len(p.ejectedUntil), site, sites[site]) {
			delete(p.ejectedUntil, k)
			sites[site]--
		}
	}
}

func (p *Pool) decayOwn(now time.Duration, k Key) *ownObservation {
	o := p.own[k]
	if o == nil {
		o = &ownObservation{lastSuccess: -1, reportedAt: now - p.limits.ReportInterval}
		o.at = now
		p.own[k] = o
	}
	f := o.decayFactor(now, &p.limits)
	o.Attempts, o.Failures, o.at = o.Attempts*f, o.Failures*f, max(o.at, now)
	return o
}

// RecordAttempt records an attempt of this node. Attempts at backends that are not listed are ignored.
func (p *Pool) RecordAttempt(now time.Duration, k Key, failed bool) {
	if _, listed := p.siteOf[k]; !listed {
		return
	}
	o := p.decayOwn(now, k)
	o.Attempts++
	if failed {
		o.Failures++
	} else {
		o.lastSuccess = now
	}
}

// Merge records another node's observation as of a time, and reports whether it is new and whether it is valid. An invalid
// one is its sender's error and changes nothing.
func (p *Pool) Merge(number int, incarnation uint64, k Key, s Observation, at time.Duration) (isNew, valid bool) {
	if !s.valid() {
		return false, false
	}
	if _, listed := p.siteOf[k]; !listed {
		return false, true
	}
	m := p.peers[number]
	switch {
	case m == nil || incarnation > m.incarnation:
		m = &peer{incarnation, map[Key]*timedObservation{}}
		p.peers[number] = m
	case incarnation < m.incarnation:
		return false, true
	}
	if old := m.observations[k]; old != nil && s.Seq <= old.Seq {
		return false, true
	}
	m.observations[k] = &timedObservation{s, at}
	return true, true
}

// TakeUpdates returns up to limit observations to report to other nodes, and marks them as reported: the urgent ones, whose
// verdict has changed, first, then those that were reported longest ago.
func (p *Pool) TakeUpdates(now time.Duration, limit int) (keys []Key, observations []Observation, urgent int) {
	type item struct {
		k      Key
		urgent bool
		at     time.Duration
	}
	var all []item
	for k, o := range p.own {
		v := o.verdict(now, &p.limits)
		changed := v != o.reported && v != unknown
		if changed || now-o.reportedAt >= p.limits.ReportInterval && o.Attempts*o.decayFactor(now, &p.limits) > 0.1 {
			all = append(all, item{k, changed, o.reportedAt})
		}
	}
	slices.SortFunc(all, func(a, b item) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.k, b.k))
	})
	for _, it := range all[:min(limit, len(all))] {
		o := p.decayOwn(now, it.k)
		o.Seq++
		o.reported, o.reportedAt = o.verdict(now, &p.limits), now
		keys, observations = append(keys, it.k), append(observations, o.Observation)
		if it.urgent {
			urgent++
		}
	}
	return keys, observations, urgent
}

// OwnObservations calls f with each observation that this node has reported, for a full exchange of state.
func (p *Pool) OwnObservations(f func(k Key, s Observation, at time.Duration)) {
	for k, o := range p.own {
		if o.Seq > 0 {
			f(k, o.Observation, o.at)
		}
	}
}

// PeerObservations calls f with each observation of other nodes, for a full exchange of state.
func (p *Pool) PeerObservations(f func(number int, incarnation uint64, k Key, s Observation, at time.Duration)) {
	for n, m := range p.peers {
		for k, s := range m.observations {
			f(n, m.incarnation, k, s.Observation, s.at)
		}
	}
}

// Votes are the verdicts of all nodes on a backend.
type Votes struct {
	Key                Key
	Unhealthy, Healthy int  // nodes with that verdict, this one included
	OwnUnhealthy       bool // this node is one of the former
	Ejected            bool // on this node
}

// discreditedPeers returns the nodes whose verdicts are not counted: they find at least three backends unhealthy, these are
// more than half of those that they have a verdict on, and of at least half of these at least as many nodes have a healthy
// verdict as an unhealthy one. Such a node is cut off, broken or malicious.
func (p *Pool) discreditedPeers(now time.Duration) map[int]bool {
	votes := map[Key][2]int{} // numbers of healthy and unhealthy verdicts
	type tally struct{ unhealthy, all int }
	tallies := map[int]*tally{}
	for n, m := range p.peers {
		t := &tally{}
		tallies[n] = t
		for k, s := range m.observations {
			switch v := votes[k]; s.verdict(now, &p.limits) {
			case healthy:
				votes[k] = [2]int{v[0] + 1, v[1]}
				t.all++
			case unhealthy:
				votes[k] = [2]int{v[0], v[1] + 1}
				t.all++
				t.unhealthy++
			}
		}
	}
	for k, o := range p.own {
		switch v := votes[k]; o.verdict(now, &p.limits) {
		case healthy:
			votes[k] = [2]int{v[0] + 1, v[1]}
		case unhealthy:
			votes[k] = [2]int{v[0], v[1] + 1}
		}
	}
	discredited := map[int]bool{}
	for n, m := range p.peers {
		t := tallies[n]
		if t.unhealthy < 3 || 2*t.unhealthy <= t.all {
			continue
		}
		contradicted := 0
		for k, s := range m.observations {
			if v := votes[k]; s.verdict(now, &p.limits) == unhealthy && v[0] >= v[1] {
				contradicted++
			}
		}
		discredited[n] = 2*contradicted >= t.unhealthy
	}
	return discredited
}

// Decide updates the ejections. It returns the keys of the ejected backends, and the votes on each backend that is ejected
// or that any node finds unhealthy, both ordered by key.
func (p *Pool) Decide(now time.Duration) (ejected []Key, votes []Votes) {
	discredited := p.discreditedPeers(now)
	tally := map[Key]*Votes{}
	count := func(k Key, v verdict) {
		if v == unknown {
			return
		}
		t := tally[k]
		if t == nil {
			t = &Votes{Key: k}
			tally[k] = t
		}
		if v == unhealthy {
			t.Unhealthy++
		} else {
			t.Healthy++
		}
	}
	for n, m := range p.peers {
		if !discredited[n] {
			for k, s := range m.observations {
				count(k, s.verdict(now, &p.limits))
			}
		}
	}
	for k, o := range p.own {
		v := o.verdict(now, &p.limits)
		count(k, v)
		if v == unhealthy {
			tally[k].OwnUnhealthy = true
		}
	}
	succeededLately := func(k Key) bool {
		o := p.own[k]
		return o != nil && o.lastSuccess >= 0 && now-o.lastSuccess <= p.limits.OwnSuccessWindow
	}
	// This node's own successes override the reports of others.
	maps.DeleteFunc(p.ejectedUntil, func(k Key, until time.Duration) bool { return now >= until || succeededLately(k) })
	var agreed []*Votes
	for k, t := range tally {
		if !succeededLately(k) && t.Unhealthy >= p.limits.Quorum && t.Unhealthy > t.Healthy {
			agreed = append(agreed, t)
		}
	}
	slices.SortFunc(agreed, func(a, b *Votes) int {
		_, x := p.ejectedUntil[a.Key]
		_, y := p.ejectedUntil[b.Key]
		if x != y {
			if x {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Unhealthy-b.Healthy, a.Unhealthy-a.Healthy), cmp.Compare(a.Key, b.Key))
	})
	sites := map[string]int{}
	for k := range p.ejectedUntil {
		sites[p.siteOf[k]]++
	}
	p.capped = 0
	for _, t := range agreed {
		site := p.siteOf[t.Key]
		if _, is := p.ejectedUntil[t.Key]; !is {
			if !p.withinCeilings(len(p.ejectedUntil)+1, site, sites[site]+1) {
				p.capped++
				continue
			}
			sites[site]++
		}
		p.ejectedUntil[t.Key] = now + p.limits.EjectionTime
	}
	for k := range p.ejectedUntil {
		ejected = append(ejected, k)
	}
	slices.Sort(ejected)
	for _, t := range tally {
		_, t.Ejected = p.ejectedUntil[t.Key]
		if t.Unhealthy > 0 || t.Ejected {
			votes = append(votes, *t)
		}
	}
	slices.SortFunc(votes, func(a, b Votes) int { return cmp.Compare(a.Key, b.Key) })
	return ejected, votes
}

// Capped returns how many more backends the last decision would have ejected without the ceilings.
func (p *Pool) Capped() int { return p.capped }

// Prune removes other nodes' observations whose evidence has decayed.
func (p *Pool) Prune(now time.Duration) {
	for n, m := range p.peers {
		maps.DeleteFunc(m.observations, func(_ Key, s *timedObservation) bool { return now-s.at > 10*p.limits.DecayTime })
		if len(m.observations) == 0 {
			delete(p.peers, n)
		}
	}
}
