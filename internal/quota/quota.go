// Package quota shares the file descriptors of a node between client connections and backend connections.
package quota

import (
	"sync"

	"craneglade/internal/admission"
)

// Quotas shares the node's descriptors between its two sides, clients and backends. It is safe for concurrent use. The decisions
// are those of admission.Descriptors.
type Quotas struct {
	mu          sync.Mutex
	descriptors *admission.Descriptors
	reclaim     [2]func() bool
}

// New returns the quotas of a node. The parameters are those of admission.NewDescriptors.
func New(total, floor int) *Quotas {
	return &Quotas{descriptors: admission.NewDescriptors(total, floor)}
}

// SetReclaim sets the function that closes one of a side's idle connections, so that the other side can use its descriptor. f has to
// release the descriptor before it returns, and reports whether it closed a connection. Call SetReclaim before the quotas are used.
// f is called without the lock of Quotas.
func (r *Quotas) SetReclaim(s admission.Side, f func() bool) { r.reclaim[s] = f }

// Quota is the quota of one side.
type Quota struct {
	quotas *Quotas
	side   admission.Side
}

// Side returns the quota of a side.
func (r *Quotas) Side(s admission.Side) *Quota { return &Quota{r, s} }

// Acquire reserves a descriptor and reports whether one was available for the side.
func (r *Quota) Acquire() bool {
	r.quotas.mu.Lock()
	defer r.quotas.mu.Unlock()
	return r.quotas.descriptors.Take(r.side)
}

// AcquireOrReclaim is Acquire, but closes an idle connection if no descriptor is available: first one of the side itself, by
// reclaimOwn, which may be nil, then one of the other side, if that uses more descriptors than it is guaranteed.
func (r *Quota) AcquireOrReclaim(reclaimOwn func() bool) bool {
	if r.Acquire() || reclaimOwn != nil && reclaimOwn() && r.Acquire() {
		return true
	}
	other := 1 - r.side
	r.quotas.mu.Lock()
	aboveFloor := r.quotas.descriptors.AboveFloor(other)
	r.quotas.mu.Unlock()
	return aboveFloor && r.quotas.reclaim[other] != nil && r.quotas.reclaim[other]() && r.Acquire()
}

// Release returns a descriptor.
func (r *Quota) Release() {
	r.quotas.mu.Lock()
	defer r.quotas.mu.Unlock()
	r.quotas.descriptors.Give(r.side)
}
