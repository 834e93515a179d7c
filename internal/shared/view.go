package shared

import (
	"time"

	"craneglade/internal/shared/judgement"
)

const (
	// viewValidity is how long a view may be acted on, where no loan ends before.
	viewValidity = 2 * stepInterval
	// minWithin is the fraction in a view where nothing of a quota is left: 0 would say that nothing is known.
	minWithin = 1e-9
)

// View is what the node may act on until Until.
type View struct {
	QuotaFractions map[string]float64 // by tenant: fraction of its requests here that lie within its quota; nil where that is not shared
	OverflowShares map[string]float64 // by site: fraction of the load of lost sites that this node may send there; nil where that is not shared
	LiveNodes      map[string]int     // by site: nodes that are surely there
	Ejected        []judgement.Key    // backends that enough nodes find broken
	ValidUntil     time.Duration
}

// View returns what may be acted on now.
func (r *Replica) View(now time.Duration) View {
	r.advance(now)
	v := View{ValidUntil: now + viewValidity, LiveNodes: map[string]int{}}
	for site, count := range r.roster.Sites(r.clock.now) {
		v.LiveNodes[site] = count.Lower
	}
	if r.cfg.Use.Quotas || r.cfg.Use.Escrow {
		r.viewQuotas(now, &v)
	}
	if r.cfg.Use.Crossing {
		r.viewCrossing(now, &v)
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
	r.eachQuota(func(budget, tenant string) {
		localRate := r.localCounts[budget].Rate()
		if localRate < 0 {
			return // it has counted nothing yet
		}
		var allowed, rate float64
		if r.cfg.Use.Escrow { // this node's part, against its own requests
			allowed = r.cfg.Quotas[tenant] * r.viewPart(now, budget, v)
			rate = localRate
		} else { // the whole, against the requests of all nodes
			allowed = r.cfg.Quotas[tenant]
			rate = r.totalRate(budget, localRate)
		}
		v.QuotaFractions[tenant] = max(minWithin, min(1, allowed/max(rate, minWithin)))
	})
}

// viewCrossing sets this node's part of the load that may go to each site.
func (r *Replica) viewCrossing(now time.Duration, v *View) {
	v.OverflowShares = map[string]float64{}
	r.eachCrossing(func(budget, site string) { v.OverflowShares[site] = r.viewPart(now, budget, v) })
}

// viewPart is what this node may spend of a budget, as a fraction of the whole. The view ends when that falls.
func (r *Replica) viewPart(now time.Duration, budget string, v *View) float64 {
	if until, falls := r.ledger.NextExpiry(now, budget); falls {
		v.ValidUntil = min(v.ValidUntil, until)
	}
	return r.spendablePart(now, budget)
}
