package admission

import (
	"math"
	"time"
)

const (
	tenantTimeConstant = 3 * time.Second // decay time of a tenant's request count
	minTenantRequests  = 5.0             // recent requests below which the rate is not significant
)

// Tenants determines which tenants send more than their share of this node, so that their idle connections are evicted
// first. The policy decides on their requests.
type Tenants struct {
	shares map[string]float64 // requests per second
	rates  map[string]*requestCount
}

// requestCount is a decaying count of requests.
type requestCount struct {
	value   float64 // as of updated
	updated time.Duration
}

// NewTenants returns Tenants with the given shares in requests per second. A tenant without a share is never over
// quota.
func NewTenants(shares map[string]float64) *Tenants {
	return &Tenants{shares: shares, rates: map[string]*requestCount{}}
}

// ShareChange sets a tenant's share of this node in requests per second, or removes it.
type ShareChange struct {
	Tenant  string
	Share   float64
	Removed bool
}

// Change applies changes of shares. The request count of a tenant whose share changes is kept.
func (t *Tenants) Change(changes []ShareChange) {
	for _, c := range changes {
		if c.Removed {
			delete(t.shares, c.Tenant)
			delete(t.rates, c.Tenant)
		} else {
			t.shares[c.Tenant] = c.Share
		}
	}
}

// Count records a request and reports whether its tenant is over quota.
func (t *Tenants) Count(now time.Duration, tenant string) bool {
	share, ok := t.shares[tenant]
	if !ok {
		return false
	}
	r := t.rates[tenant] // rates has no more entries than shares
	if r == nil {
		r = &requestCount{updated: now}
		t.rates[tenant] = r
	}
	r.value = r.value*math.Exp(-float64(max(0, now-r.updated))/float64(tenantTimeConstant)) + 1
	r.updated = max(r.updated, now)
	return r.value >= minTenantRequests && r.value/tenantTimeConstant.Seconds() > share
}
