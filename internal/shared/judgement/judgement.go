// Package judgement pools what the nodes of a fleet see of backends, so that all of them keep from one that is broken
// once enough of them have met it, and nobody's bad luck, lie or cut line takes one out for all.
//
// Each node tells of each backend what it tried and what failed lately, both fading. What another node tells is hearsay:
// it takes a backend out only where enough nodes agree (a quorum, and more of them than say that it answers), only up to
// a part of all backends and of each site's, and never against what this node saw itself a moment ago.
//
// There is no I/O, clock or goroutine here, and nothing is safe for concurrent use.
package judgement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Key names one life of a backend, the same at every node.
type Key uint64

// Backend is one that the list names.
type Backend struct {
	Key  Key
	Name string // for people
	Site string
}

// Limits bound what hearsay may do.
type Limits struct {
	DecayTime         time.Duration // evidence fades over this
	Quorum            int           // so many nodes at least must find a backend broken, this one counted too
	MinFailures       float64       // failures lately that make a node's verdict
	MinFailedFraction float64       // and the part of what it tried that they must be
	MaxFleetFraction  float64       // part of all backends that may be out by hearsay at a time
	MaxSiteFraction   float64       // and of one site's
	OwnSuccessWindow  time.Duration // an answer of its own within this goes before any hearsay
	EjectionTime      time.Duration // for how long a backend is out; longer while the nodes still agree
	ReportInterval    time.Duration // what is seen is told this often where it is no news
}

// DefaultLimits are the limits in service.
func DefaultLimits() Limits {
	return Limits{DecayTime: 5 * time.Second, Quorum: 2, MinFailures: 1.2, MinFailedFraction: 0.5, MaxFleetFraction: 0.25, MaxSiteFraction: 0.5, OwnSuccessWindow: time.Second,
		EjectionTime: 2 * time.Second, ReportInterval: time.Second}
}

// Observation is what one node has seen of one backend lately. A later one has a higher Seq.
type Observation struct {
	Seq    uint64
	Tried  float64 // attempts, fading
	Failed float64 // of them
}

// valid tells whether a sight can be true.
func (s Observation) valid() bool {
	ok := func(x float64) bool { return x >= 0 && x < math.MaxInt32 }
	return ok(s.Tried) && ok(s.Failed) && s.Failed <= s.Tried+1e-9
}

type verdict int8

const (
	none verdict = iota
	good
	bad
)

// seen is a sight with when it was told, by this node's clock.
type seen struct {
	Observation
	at time.Duration
}

// fade is what is left of a sight's evidence.
func (s *seen) fade(now time.Duration, l *Limits) float64 {
	return math.Exp(-max(0, now-s.at).Seconds() / l.DecayTime.Seconds())
}

func (s *seen) verdict(now time.Duration, l *Limits) verdict {
	f := s.fade(now, l)
	switch {
	case s.Failed*f >= l.MinFailures && s.Failed >= l.MinFailedFraction*s.Tried:
		return bad
	case s.Tried*f >= 0.5 && s.Failed < l.MinFailedFraction*s.Tried:
		return good
	}
	return none
}

type member struct {
	incarnation uint64
	sights      map[Key]*seen
}

type own struct {
	seen
	answered time.Duration // when it last did; negative for never
	told     verdict       // when it was last told to others,
	toldAt   time.Duration // and when that was
}

// Pool is one node's view of all evidence.
type Pool struct {
	limits  Limits
	list    map[Key]string // site, by backend
	sites   map[string]int
	own     map[Key]*own
	members map[int]*member
	out     map[Key]time.Duration // out by hearsay until then
	capped  int                   // that would be out if it were not for the ceilings, at the last decision
}

// New returns a pool without evidence.
func New(l Limits) *Pool {
	return &Pool{limits: l, list: map[Key]string{}, sites: map[string]int{}, own: map[Key]*own{}, members: map[int]*member{},
		out: map[Key]time.Duration{}}
}

// SetBackends sets the backends that there are. What is known of others is forgotten.
func (p *Pool) SetBackends(all []Backend) {
	clear(p.list)
	clear(p.sites)
	for _, b := range all {
		p.list[b.Key] = b.Site
		p.sites[b.Site]++
	}
	gone := func(k Key) bool { _, listed := p.list[k]; return !listed }
	maps.DeleteFunc(p.own, func(k Key, _ *own) bool { return gone(k) })
	maps.DeleteFunc(p.out, func(k Key, _ time.Duration) bool { return gone(k) })
	for _, m := range p.members {
		maps.DeleteFunc(m.sights, func(k Key, _ *seen) bool { return gone(k) })
	}
	p.hold()
}

// Ejected tells whether a backend is out by hearsay.
func (p *Pool) Ejected(k Key) bool {
	_, is := p.out[k]
	return is
}

// room tells whether so many may be out, and so many of a site's.
func (p *Pool) room(all int, site string, there int) bool {
	return float64(all) <= p.limits.MaxFleetFraction*float64(len(p.list)) && float64(there) <= p.limits.MaxSiteFraction*float64(p.sites[site])
}

// hold keeps the ceilings where fewer backends are listed than when some came out: those whose time is over first come back.
func (p *Pool) hold() {
	sites := map[string]int{}
	for k := range p.out {
		sites[p.list[k]]++
	}
	order := slices.SortedFunc(maps.Keys(p.out), func(a, b Key) int { return cmp.Or(cmp.Compare(p.out[a], p.out[b]), cmp.Compare(a, b)) })
	for _, k := range order {
		if site := p.list[k]; !p.room(len(p.out), site, sites[site]) {
			delete(p.out, k)
			sites[site]--
		}
	}
}

func (p *Pool) mine(now time.Duration, k Key) *own {
	o := p.own[k]
	if o == nil {
		o = &own{answered: -1, toldAt: now - p.limits.ReportInterval}
		o.at = now
		p.own[k] = o
	}
	f := o.fade(now, &p.limits)
	o.Tried, o.Failed, o.at = o.Tried*f, o.Failed*f, max(o.at, now)
	return o
}

// RecordAttempt notes an attempt of this node's own. One of a backend that is not listed is not kept.
func (p *Pool) RecordAttempt(now time.Duration, k Key, failed bool) {
	if _, listed := p.list[k]; !listed {
		return
	}
	o := p.mine(now, k)
	o.Tried++
	if failed {
		o.Failed++
	} else {
		o.answered = now
	}
}

// Merge takes in a sight of another node's that was seen at a moment, and tells whether it says anything new. One that can't
// be true is an error of its sender, and changes nothing.
func (p *Pool) Merge(number int, incarnation uint64, k Key, s Observation, at time.Duration) (fresh, possible bool) {
	if !s.valid() {
		return false, false
	}
	if _, listed := p.list[k]; !listed {
		return false, true
	}
	m := p.members[number]
	switch {
	case m == nil || incarnation > m.incarnation:
		m = &member{incarnation, map[Key]*seen{}}
		p.members[number] = m
	case incarnation < m.incarnation:
		return false, true
	}
	if old := m.sights[k]; old != nil && s.Seq <= old.Seq {
		return false, true
	}
	m.sights[k] = &seen{s, at}
	return true, true
}

// TakeUpdates is what this node has to tell of backends: those whose verdict changed first, then what it told longest ago.
// It counts as told.
func (p *Pool) TakeUpdates(now time.Duration, most int) (keys []Key, sights []Observation, urgent int) {
	type item struct {
		k      Key
		urgent bool
		at     time.Duration
	}
	var all []item
	for k, o := range p.own {
		v := o.verdict(now, &p.limits)
		changed := v != o.told && v != none
		if changed || now-o.toldAt >= p.limits.ReportInterval && o.Tried*o.fade(now, &p.limits) > 0.1 {
			all = append(all, item{k, changed, o.toldAt})
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
	for _, it := range all[:min(most, len(all))] {
		o := p.mine(now, it.k)
		o.Seq++
		o.told, o.toldAt = o.verdict(now, &p.limits), now
		keys, sights = append(keys, it.k), append(sights, o.Observation)
		if it.urgent {
			urgent++
		}
	}
	return keys, sights, urgent
}

// OwnObservations lists all that this node last told, for a full exchange.
func (p *Pool) OwnObservations(f func(k Key, s Observation, at time.Duration)) {
	for k, o := range p.own {
		if o.Seq > 0 {
			f(k, o.Observation, o.at)
		}
	}
}

// PeerObservations lists all that others told, for a full exchange.
func (p *Pool) PeerObservations(f func(number int, incarnation uint64, k Key, s Observation, at time.Duration)) {
	for n, m := range p.members {
		for k, s := range m.sights {
			f(n, m.incarnation, k, s.Observation, s.at)
		}
	}
}

// Votes are what is held for and against a backend.
type Votes struct {
	Key                Key
	Unhealthy, Healthy int  // nodes that find it broken, or that it answers; this one included
	OwnUnhealthy       bool // this node is one of the former
	Ejected            bool // by hearsay
}

// liars are the members whose word counts nothing: they find most of what they tell of broken, and most others disagree.
func (p *Pool) liars(now time.Duration) map[int]bool {
	against := map[Key][2]int{} // good and bad votes
	type tally struct{ bad, all int }
	tallies := map[int]*tally{}
	for n, m := range p.members {
		t := &tally{}
		tallies[n] = t
		for k, s := range m.sights {
			switch v := against[k]; s.verdict(now, &p.limits) {
			case good:
				against[k] = [2]int{v[0] + 1, v[1]}
				t.all++
			case bad:
				against[k] = [2]int{v[0], v[1] + 1}
				t.all++
				t.bad++
			}
		}
	}
	for k, o := range p.own {
		switch v := against[k]; o.verdict(now, &p.limits) {
		case good:
			against[k] = [2]int{v[0] + 1, v[1]}
		case bad:
			against[k] = [2]int{v[0], v[1] + 1}
		}
	}
	out := map[int]bool{}
	for n, m := range p.members {
		t := tallies[n]
		if t.bad < 3 || 2*t.bad <= t.all {
			continue
		}
		denied := 0
		for k, s := range m.sights {
			if v := against[k]; s.verdict(now, &p.limits) == bad && v[0] >= v[1] {
				denied++
			}
		}
		out[n] = 2*denied >= t.bad
	}
	return out
}

// Decide says which backends are out by hearsay, and what was counted of each that anybody finds broken, by key.
func (p *Pool) Decide(now time.Duration) (out []Key, votes []Votes) {
	liars := p.liars(now)
	tally := map[Key]*Votes{}
	count := func(k Key, v verdict) {
		if v == none {
			return
		}
		t := tally[k]
		if t == nil {
			t = &Votes{Key: k}
			tally[k] = t
		}
		if v == bad {
			t.Unhealthy++
		} else {
			t.Healthy++
		}
	}
	for n, m := range p.members {
		if !liars[n] {
			for k, s := range m.sights {
				count(k, s.verdict(now, &p.limits))
			}
		}
	}
	for k, o := range p.own {
		v := o.verdict(now, &p.limits)
		count(k, v)
		if v == bad {
			tally[k].OwnUnhealthy = true
		}
	}
	answered := func(k Key) bool {
		o := p.own[k]
		return o != nil && o.answered >= 0 && now-o.answered <= p.limits.OwnSuccessWindow
	}
	// What this node saw itself goes before what others say.
	maps.DeleteFunc(p.out, func(k Key, until time.Duration) bool { return now >= until || answered(k) })
	var agreed []*Votes
	for k, t := range tally {
		if !answered(k) && t.Unhealthy >= p.limits.Quorum && t.Unhealthy > t.Healthy {
			agreed = append(agreed, t)
		}
	}
	slices.SortFunc(agreed, func(a, b *Votes) int {
		_, x := p.out[a.Key]
		_, y := p.out[b.Key]
		if x != y {
			if x {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Unhealthy-b.Healthy, a.Unhealthy-a.Healthy), cmp.Compare(a.Key, b.Key))
	})
	sites := map[string]int{}
	for k := range p.out {
		sites[p.list[k]]++
	}
	p.capped = 0
	for _, t := range agreed {
		site := p.list[t.Key]
		if _, is := p.out[t.Key]; !is {
			if !p.room(len(p.out)+1, site, sites[site]+1) {
				p.capped++
				continue
			}
			sites[site]++
		}
		p.out[t.Key] = now + p.limits.EjectionTime
	}
	for k := range p.out {
		out = append(out, k)
	}
	slices.Sort(out)
	for _, t := range tally {
		_, t.Ejected = p.out[t.Key]
		if t.Unhealthy > 0 || t.Ejected {
			votes = append(votes, *t)
		}
	}
	slices.SortFunc(votes, func(a, b Votes) int { return cmp.Compare(a.Key, b.Key) })
	return out, votes
}

// Capped is how many more would have been out at the last decision without the ceilings.
func (p *Pool) Capped() int { return p.capped }

// Prune forgets the sights that tell nothing any more.
func (p *Pool) Prune(now time.Duration) {
	for n, m := range p.members {
		maps.DeleteFunc(m.sights, func(_ Key, s *seen) bool { return now-s.at > 10*p.limits.DecayTime })
		if len(m.sights) == 0 {
			delete(p.members, n)
		}
	}
}
