// Package rooms holds the descriptors of a node for both of its sides, clients and boxes, at once.
package rooms

import (
	"sync"

	"craneglade/internal/admission"
)

// Rooms shares out the node's descriptors between its two sides, for use by both at once. What it decides is
// admission.Descriptors'.
type Rooms struct {
	mu    sync.Mutex
	count *admission.Descriptors
	yield [2]func() bool
}

// New returns the rooms of a node; see admission.NewDescriptors.
func New(total, floor int) *Rooms {
	return &Rooms{count: admission.NewDescriptors(total, floor)}
}

// Yields sets how a side is asked to close one of its idle connections for the other's sake, and to give its descriptor
// back at once. Set it before the rooms are used; it is called without locks of theirs.
func (r *Rooms) Yields(s admission.Side, f func() bool) { r.yield[s] = f }

// Room is one side's.
type Room struct {
	rooms *Rooms
	side  admission.Side
}

// Side returns a side's room.
func (r *Rooms) Side(s admission.Side) *Room { return &Room{r, s} }

// Take takes a descriptor, if there is one for the side.
func (r *Room) Take() bool {
	r.rooms.mu.Lock()
	defer r.rooms.mu.Unlock()
	return r.rooms.count.Take(r.side)
}

// Claim is Take that has idle connections closed for its sake where there is none: first one of the side's own, by own,
// which may be nil, then one of the other side where that holds more than it is sure of.
func (r *Room) Claim(own func() bool) bool {
	if r.Take() || own != nil && own() && r.Take() {
		return true
	}
	other := 1 - r.side
	r.rooms.mu.Lock()
	lent := r.rooms.count.Lent(other)
	r.rooms.mu.Unlock()
	return lent && r.rooms.yield[other] != nil && r.rooms.yield[other]() && r.Take()
}

// Give gives one back.
func (r *Room) Give() {
	r.rooms.mu.Lock()
	defer r.rooms.mu.Unlock()
	r.rooms.count.Give(r.side)
}
