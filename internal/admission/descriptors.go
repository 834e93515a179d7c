package admission

// Side is the kind of connection that a descriptor of the node is used for.
type Side uint8

const (
	ClientSide  Side = iota // connections from clients
	BackendSide             // connections to backends
	sides
)

// Descriptors divides the node's descriptors between the two sides. Each side is guaranteed a floor, and what exceeds
// both floors goes to the side that needs it first. A side below its floor can always take one more descriptor, however
// many the other side holds. Every decision takes constant time.
type Descriptors struct {
	total int
	floor int
	used  [sides]int
}

// NewDescriptors returns Descriptors with the given total and floor of each side. A floor above half of the total is
// reduced to that. A total of 0 means no limit.
func NewDescriptors(total, floor int) *Descriptors {
	return &Descriptors{total: total, floor: min(floor, total/2)}
}

// Take reserves a descriptor for a side and reports whether it may have one.
func (d *Descriptors) Take(s Side) bool {
	if d.total > 0 && d.used[s]+max(d.used[1-s], d.floor) >= d.total {
		return false
	}
	d.used[s]++
	return true
}

// Give returns a descriptor of a side.
func (d *Descriptors) Give(s Side) { d.used[s]-- }

// Used returns the number of descriptors that a side holds.
func (d *Descriptors) Used(s Side) int { return d.used[s] }

// AboveFloor reports whether a side holds more than its floor, so that one of its idle connections may be closed for
// the other side.
func (d *Descriptors) AboveFloor(s Side) bool { return d.total > 0 && d.used[s] > d.floor }
