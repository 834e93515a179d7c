// Package quota holds the descriptors of a node for both of its sides, clients and boxes, at once.
package quota

import (
	"sync"

	"craneglade/internal/admission"
)

// Quotas shares out the node's descriptors between its two sides, for use by both at once. What it decides is
// admission.Descriptors'.
type Quotas struct {
	mu    sync.Mutex
	count *admission.Descriptors
	yield [2]func() bool
}

// New returns the quotas of a node; see admission.NewDescriptors.
func New(total, floor int) *Quotas {
	return &Quotas{count: admission.NewDescriptors(total, floor)}
}

// Yields sets how a side is asked to close one of its idle connections for the other's sake, and to give its descriptor
// back at once. Set it before the quotas are used; it is called without locks of theirs.
func (r *Quotas) Yields(s admission.Side, f func() bool) { r.yield[s] = f }

// Quota is one side's.
type Quota struct {
	all  *Quotas
	side admission.Side
}

// Side returns a side's quota.
func (r *Quotas) Side(s admission.Side) *Quota { return &Quota{r, s} }

// Take takes a descriptor, if there is one for the side.
func (r *Quota) Take() bool {
	r.all.mu.Lock()
	defer r.all.mu.Unlock()
	return r.all.count.Take(r.side)
}

// Claim is Take that has idle connections closed for its sake where there is none: first one of the side's own, by own,
// which may be nil, then one of the other side where that holds more than it is sure of.
func (r *Quota) Claim(own func() bool) bool {
	if r.Take() || own != nil && own() && r.Take() {
		return true
	}
	other := 1 - r.side
	r.all.mu.Lock()
	lent := r.all.count.AboveFloor(other)
	r.all.mu.Unlock()
	return lent && r.all.yield[other] != nil && r.all.yield[other]() && r.Take()
}

// Give gives one back.
func (r *Quota) Give() {
	r.all.mu.Lock()
	defer r.all.mu.Unlock()
	r.all.count.Give(r.side)
}
