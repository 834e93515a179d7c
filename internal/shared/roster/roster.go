// Package roster knows who is in the fleet, as far as this node has heard: every member with the age of the latest word
// from it, and how many there are as bounds, never as a bare number. Whether a member answers is found out elsewhere, by
// a library that keeps to SWIM; this package decides what to make of it.
//
// There is no I/O, clock or goroutine here, and nothing is safe for concurrent use.
package roster

import (
	"cmp"
	"slices"
	"time"
)

// State is a member's standing.
type State uint8

const (
	Alive     State = iota // it was heard of lately
	Suspected              // it is said to be there, and has said nothing itself for a while
	Dead                   // the others have given it up
	Left                   // it has said goodbye
)

func (s State) String() string { return [...]string{"alive", "doubted", "dead", "left"}[s] }

// Member is one node of the fleet.
type Member struct {
	Name        string
	Number      int // among the nodes that the settings tell of
	Incarnation uint64
	Site        string
	State       State
	LastHeard   time.Duration // when the latest word from it was said, by this node's clock
}

// Count is how many nodes there are: Lower that are surely there, Upper that there may be. Age is that of the oldest word
// that Lower counts on.
type Count struct {
	Lower, Upper int
	Age          time.Duration
}

// Roster is one node's view of the fleet, itself included.
type Roster struct {
	self    Member
	nodes   int           // that the settings tell of
	fresh   time.Duration // a member that was heard within this is surely there
	members map[int]*Member
}

// New returns the view of a node that has heard nobody. Fresh is for how long after its latest word a member counts as
// surely there.
func New(self Member, nodes int, fresh time.Duration) *Roster {
	return &Roster{self: self, nodes: nodes, fresh: fresh, members: map[int]*Member{}}
}

// SetStaleAfter sets for how long after its latest word a member counts as surely there.
func (r *Roster) SetStaleAfter(d time.Duration) { r.fresh = d }

// UpdateResult is what becomes of news of a member.
type UpdateResult uint8

const (
	Unchanged UpdateResult = iota // nothing but its age is new
	Joined                        // it was not there before, or not as alive
	Restarted                     // it is a later life under its number
	Stale                         // an earlier life than the one that is known: to be ignored
	Conflict                      // another node has the number: to be ignored, and told to somebody
)

// Update takes in a word from a member, said at a moment. Nothing that a life says counts once a later one was heard of.
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
	case old.Name != m.Name && old.State == Alive && at-old.LastHeard < r.fresh:
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

// SetIncarnation has this node live on under a later incarnation.
func (r *Roster) SetIncarnation(incarnation uint64) { r.self.Incarnation = incarnation }

// Accepts tells whether what a life under a number says is to be believed: not where a later one is known.
func (r *Roster) Accepts(number int, incarnation uint64) bool {
	old := r.members[number]
	return number != r.self.Number && (old == nil || incarnation >= old.Incarnation)
}

// RecordContact notes a word that a member said at a moment, in anything that came from it, and tells whether it is of a later life than
// was known: who restarts quickly is not always found out otherwise, as others may pass its words on before it has joined anew.
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

// SetState notes a member's standing, and tells whether that is new. It counts for the named life only; one that has left is
// not dead.
func (r *Roster) SetState(number int, incarnation uint64, s State) bool {
	old := r.members[number]
	if old == nil || old.Incarnation != incarnation || old.State == s || old.State == Left && s != Alive {
		return false
	}
	old.State = s
	return true
}

// Members lists all others as they stand now, by number.
func (r *Roster) Members(now time.Duration) []Member {
	out := make([]Member, 0, len(r.members))
	for _, m := range r.members {
		x := *m
		if x.State == Alive && now-x.LastHeard > r.fresh {
			x.State = Suspected
		}
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Number, b.Number) })
	return out
}

// PeerCount is how many others were ever heard of.
func (r *Roster) PeerCount() int { return len(r.members) }

// Get is a member by its number; false where nobody was heard under it.
func (r *Roster) Get(number int) (Member, bool) {
	if m := r.members[number]; m != nil {
		return *m, true
	}
	return Member{}, false
}

// Count counts the whole fleet. A member that says nothing may be there all the same: only one that has left, or is told
// to be dead by now, is not, and of those the settings count there may be as many again under their numbers.
func (r *Roster) Count(now time.Duration) Count {
	c := Count{Lower: 1, Upper: max(r.nodes, 1)}
	beyond := 0
	for _, m := range r.members {
		if m.Number < 0 || m.Number >= r.nodes {
			beyond++
		}
		if age := now - m.LastHeard; m.State == Alive && age <= r.fresh {
			c.Lower++
			c.Age = max(c.Age, age)
		}
	}
	c.Upper = max(c.Upper+beyond, c.Lower)
	return c
}

// Sites counts by site: Upper is who was ever heard of there and has not left.
func (r *Roster) Sites(now time.Duration) map[string]Count {
	out := map[string]Count{r.self.Site: {Lower: 1, Upper: 1}}
	for _, m := range r.members {
		c := out[m.Site]
		if m.State != Left {
			c.Upper++
		}
		if age := now - m.LastHeard; m.State == Alive && age <= r.fresh {
			c.Lower++
			c.Age = max(c.Age, age)
		}
		out[m.Site] = c
	}
	return out
}
