package shared

import (
	"time"

	"craneglade/internal/shared/judgement"
)

const (
	// viewValidity is how long a view may be acted on, unless a loan ends earlier.
	viewValidity = 2 * stepInterval
	// minQuotaFraction is the fraction in a view of a quota that has nothing left: 0 would mean unknown.
	minQuotaFraction = 1e-9
)

// View is the shared state that the node may act on until ValidUntil.
type View struct {
	QuotaFractions map[string]float64 // by tenant: fraction of its requests here that lie within its quota; nil where quotas are not shared
	OverflowShares map[string]float64 // by site: fraction of the load of lost sites that this node may send there; nil where that is not shared
	LiveNodes      map[string]int     // by site: nodes that are confirmed alive
	Ejected        []judgement.Key    // backends that a quorum of nodes finds unhealthy
	ValidUntil     time.Duration
}

// View returns the current view.
func (r *Replica) View(now time.Duration) View {
	r.advance(now)
	v := View{ValidUntil: now + viewValidity, LiveNodes: map[string]int{}}
	for site, count := range r.roster.Sites(r.clock.now) {
		v.LiveNodes[site] = count.Lower
	}
	if r.cfg.Features.Quotas || r.cfg.Features.Escrow {
		r.viewQuotas(now, &v)
	}
	if r.cfg.Features.Crossing {
		r.viewOverflow(now, &v)
	}
	for _, b := range r.backends {
		if b.ejected {
			v.Ejected = append(v.Ejected, b.Key)
		}
	}
	return v
}

// viewQuotas sets the fraction of each tenant's requests that lies within its quota.
func (r *Replica) viewQuotas(now time.Duration, v *View) {
	v.QuotaFractions = map[string]float64{}
	r.eachQuotaBudget(func(budget, tenant string) {
		localRate := r.localCounts[budget].Rate()
		if localRate < 0 {
			return // it has counted nothing yet
		}
		var allowed, rate float64
		if r.cfg.Features.Escrow { // this node's share, against its own requests
			allowed = r.cfg.Quotas[tenant] * r.viewShare(now, budget, v)
			rate = localRate
		} else { // the whole quota, against the requests of all nodes
			allowed = r.cfg.Quotas[tenant]
			rate = r.totalRate(budget, localRate)
		}
		v.QuotaFractions[tenant] = max(minQuotaFraction, min(1, allowed/max(rate, minQuotaFraction)))
	})
}

// viewOverflow sets this node's share of the load that may go to each site.
func (r *Replica) viewOverflow(now time.Duration, v *View) {
	v.OverflowShares = map[string]float64{}
	r.eachOverflowBudget(func(budget, site string) { v.OverflowShares[site] = r.viewShare(now, budget, v) })
}

// viewShare returns the fraction of a budget that this node may spend. The view ends when that falls.
func (r *Replica) viewShare(now time.Duration, budget string, v *View) float64 {
	if until, falls := r.ledger.NextExpiry(now, budget); falls {
		v.ValidUntil = min(v.ValidUntil, until)
	}
	return r.spendableFraction(now, budget)
}
