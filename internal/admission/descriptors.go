package admission

// Side is who holds a descriptor of the node.
type Side uint8

const (
	ClientSide  Side = iota // connections from clients
	BackendSide             // connections to backends
	sides
)

// Descriptors shares out the node's descriptors between its two sides. Each is sure of a floor; what lies between the
// floors goes to whoever needs it first. A floor is never lent: a side below its own can always take one more, however
// much the other one holds. Every decision is a constant amount of work.
type Descriptors struct {
	total int
	floor int
	used  [sides]int
}

// NewDescriptors returns the account of a total, of which each side is sure of floor; floor is at most half of total.
// A total of 0 means no bound.
func NewDescriptors(total, floor int) *Descriptors {
	return &Descriptors{total: total, floor: min(floor, total/2)}
}

// Take takes one for a side, if it may have one.
func (d *Descriptors) Take(s Side) bool {
	if d.total > 0 && d.used[s]+max(d.used[1-s], d.floor) >= d.total {
		return false
	}
	d.used[s]++
	return true
}

// Give gives one back.
func (d *Descriptors) Give(s Side) { d.used[s]-- }

// Used is what a side holds.
func (d *Descriptors) Used(s Side) int { return d.used[s] }

// AboveFloor tells whether a side holds more than its floor, so that one of its idle ones may go to the other.
func (d *Descriptors) AboveFloor(s Side) bool { return d.total > 0 && d.used[s] > d.floor }
