// Package roster has the members of the fleet as this node knows them: each with the age of the latest message from it, and
// the number of nodes as bounds, never as a single number. Failure detection is left to a SWIM library; this package keeps
// the state that follows from its events.
//
// The package has no I/O, clock or goroutines. Nothing in it is safe for concurrent use.
package roster

import (
	"cmp"
	"slices"
	"time"
)

// State is the state of a member.
type State uint8

const (
	Alive     State = iota // not known to be dead or left
	Suspected              // alive, but not heard from within staleAfter
	Dead                   // the failure detector of the fleet has declared it dead
	Left                   // it has announced that it leaves
)

// String returns the name of the state as reports and logs have it.
func (s State) String() string { return [...]string{"alive", "doubted", "dead", "left"}[s] }

// Member is one node of the fleet.
type Member struct {
	Name        string
	Number      int // among the nodes that the settings name
	Incarnation uint64
	Site        string
	State       State
	LastHeard   time.Duration // when the latest message from it was sent, by this node's clock
}

// Count is the number of nodes: at least Lower, which are confirmed alive, and at most Upper. Age is the age of the oldest
// message that Lower depends on.
type Count struct {
	Lower, Upper int
	Age          time.Duration
}

// Roster is one node's view of the fleet, itself included.
type Roster struct {
	self       Member
	configured int           // number of nodes that the settings name
	staleAfter time.Duration // a member heard from within this time is confirmed alive
	members    map[int]*Member
}

// New returns the view of a node that has heard from no other. A member is confirmed alive for staleAfter after its latest
// message.
func New(self Member, configured int, staleAfter time.Duration) *Roster {
	return &Roster{self: self, configured: configured, staleAfter: staleAfter, members: map[int]*Member{}}
}

// SetStaleAfter sets for how long after its latest message a member is confirmed alive.
func (r *Roster) SetStaleAfter(d time.Duration) { r.staleAfter = d }

// UpdateResult is the effect of an update about a member.
type UpdateResult uint8

const (
	Unchanged UpdateResult = iota // at most its age is new
	Joined                        // it was unknown, or not alive
	Restarted                     // it has a later incarnation
	Stale                         // an earlier incarnation than the known one: ignored
	Conflict                      // another node has its number: ignored, and to be reported
)

// Update records that a member was heard from at a time. Once a later incarnation is known, messages of earlier ones are
// ignored.
func (r *Roster) Update(m Member, at time.Duration) UpdateResult {
	if m.Number == r.self.Number {
		if m.Name == r.self.Name && m.Incarnation <= r.self.Incarnation {
			return Stale
		}
		return Conflict
	}
	old := r.members[m.Number]
	switch {
	case old == nil:
		m.LastHeard = at
		r.members[m.Number] = &m
		return Joined
	case old.Name != m.Name && old.State == Alive && at-old.LastHeard < r.staleAfter:
		return Conflict
	case m.Incarnation < old.Incarnation:
		return Stale
	case m.Incarnation > old.Incarnation:
		m.LastHeard, m.State = at, Alive
		*old = m
		return Restarted
	}
	old.LastHeard = max(old.LastHeard, at)
	if old.State != Alive {
		old.State = Alive
		return Joined
	}
	return Unchanged
}

// SetIncarnation sets this node's own incarnation.
func (r *Roster) SetIncarnation(incarnation uint64) { r.self.Incarnation = incarnation }

// Accepts reports whether messages of an incarnation of a node are to be accepted: not if a later one is known, or if the
// number is this node's own.
func (r *Roster) Accepts(number int, incarnation uint64) bool {
	old := r.members[number]
	return number != r.self.Number && (old == nil || incarnation >= old.Incarnation)
}

// RecordContact records that a member sent a message at a time, and reports whether it is of a later incarnation than was
// known. A member that restarts quickly may only be noticed this way, as others can forward its messages before it has
// joined again.
func (r *Roster) RecordContact(number int, incarnation uint64, at time.Duration) (later bool) {
	old := r.members[number]
	switch {
	case old == nil || incarnation < old.Incarnation:
	case incarnation > old.Incarnation:
		old.Incarnation, old.LastHeard, old.State = incarnation, at, Alive
		return true
	default:
		old.LastHeard = max(old.LastHeard, at)
	}
	return false
}

// SetState sets a member's state, and reports whether it has changed. It applies to the given incarnation only. A member
// that has left does not become dead.
func (r *Roster) SetState(number int, incarnation uint64, s State) bool {
	old := r.members[number]
	if old == nil || old.Incarnation != incarnation || old.State == s || old.State == Left && s != Alive {
		return false
	}
	old.State = s
	return true
}

// Members returns the state of all other members now, ordered by number.
func (r *Roster) Members(now time.Duration) []Member {
	out := make([]Member, 0, len(r.members))
	for _, m := range r.members {
		x := *m
		if x.State == Alive && now-x.LastHeard > r.staleAfter {
			x.State = Suspected
		}
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Number, b.Number) })
	return out
}

// PeerCount returns how many other members were ever heard from.
func (r *Roster) PeerCount() int { return len(r.members) }

// Get returns the member with a number; false where none is known.
func (r *Roster) Get(number int) (Member, bool) {
	if m := r.members[number]; m != nil {
		return *m, true
	}
	return Member{}, false
}

// Count returns the bounds of the fleet's size. A member that is silent, dead or has left still counts towards Upper if the
// settings name its number, as another node may run under that number; Upper also counts every member whose number the
// settings do not name.
func (r *Roster) Count(now time.Duration) Count {
	c := Count{Lower: 1, Upper: max(r.configured, 1)}
	unconfigured := 0
	for _, m := range r.members {
		if m.Number < 0 || m.Number >= r.configured {
			unconfigured++
		}
		if age := now - m.LastHeard; m.State == Alive && age <= r.staleAfter {
			c.Lower++
			c.Age = max(c.Age, age)
		}
	}
	c.Upper = max(c.Upper+unconfigured, c.Lower)
	return c
}

// Sites returns the bounds by site: Upper counts the members that were ever heard from there and have not left.
func (r *Roster) Sites(now time.Duration) map[string]Count {
	out := map[string]Count{r.self.Site: {Lower: 1, Upper: 1}}
	for _, m := range r.members {
		c := out[m.Site]
		if m.State != Left {
			c.Upper++
		}
		if age := now - m.LastHeard; m.State == Alive && age <= r.staleAfter {
			c.Lower++
			c.Age = max(c.Age, age)
		}
		out[m.Site] = c
	}
	return out
}
