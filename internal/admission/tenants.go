package admission

import (
	"math"
	"time"
)

const (
	tenantMemory = 3 * time.Second // over which a tenant's rate is taken
	tenantFrom   = 5.0             // requests of a tenant lately, below which its rate says nothing
)

// Tenants tells which tenants ask for more than their share of this node, so that theirs are the first connections to
// make room. What becomes of their requests is the decision module's.
type Tenants struct {
	shares map[string]float64 // requests a second
	seen   map[string]*rate
}

type rate struct {
	n  float64 // decayed count
	at time.Duration
}

// NewTenants returns the account of shares in requests a second. A tenant without one is never past it.
func NewTenants(shares map[string]float64) *Tenants {
	return &Tenants{shares: shares, seen: map[string]*rate{}}
}

// ShareChange sets a tenant's share of this node in requests a second, or takes it away.
type ShareChange struct {
	Tenant  string
	Share   float64
	Removed bool
}

// Change sets and takes away shares. What was counted of a tenant that keeps one stays.
func (t *Tenants) Change(changes []ShareChange) {
	for _, c := range changes {
		if c.Removed {
			delete(t.shares, c.Tenant)
			delete(t.seen, c.Tenant)
		} else {
			t.shares[c.Tenant] = c.Share
		}
	}
}

// Count counts a request and tells whether its tenant is past its share.
func (t *Tenants) Count(now time.Duration, tenant string) bool {
	share, ok := t.shares[tenant]
	if !ok {
		return false
	}
	r := t.seen[tenant] // bounded by the shares
	if r == nil {
		r = &rate{at: now}
		t.seen[tenant] = r
	}
	r.n = r.n*math.Exp(-float64(max(0, now-r.at))/float64(tenantMemory)) + 1
	r.at = max(r.at, now)
	return r.n >= tenantFrom && r.n/tenantMemory.Seconds() > share
}
