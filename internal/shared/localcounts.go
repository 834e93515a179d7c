package shared

import (
	"cmp"
	"slices"
	"time"

	"craneglade/internal/shared/counts"
	"craneglade/internal/shared/escrow"
	"craneglade/internal/shared/roster"
)

// localCount is this node's own count for a key.
type localCount struct {
	counts.Window
	announcedRate float64       // rate in the latest update to the other nodes
	announcedAt   time.Duration // when that was sent
}

// newLocalCounts returns the empty counts of a node. A tenant with a quota has one even if it sends no requests here: nodes
// that need more of its quota must know that this one needs none.
func newLocalCounts(cfg Config, now time.Duration) map[string]*localCount {
	longAgo := now - time.Hour // so that the first rate is sent at once
	local := map[string]*localCount{}
	add := func(key string) {
		local[key] = &localCount{Window: counts.Window{Incarnation: cfg.Self.Incarnation}, announcedAt: longAgo}
	}
	for tenant, quota := range cfg.Quotas {
		if quota > 0 {
			add(quotaPrefix + tenant)
		}
	}
	if cfg.Features.Crossing {
		for _, site := range cfg.OverflowSites {
			add(overflowPrefix + site)
		}
	}
	return local
}

// CountRequest counts a request of this node's clients.
func (r *Replica) CountRequest(now time.Duration, tenant string) {
	r.advance(now)
	r.count(quotaPrefix + tenant)
}

// CountOverflow counts a request of this node's clients that goes to another site because their own is degraded or lost.
func (r *Replica) CountOverflow(now time.Duration, site string) {
	r.advance(now)
	r.count(overflowPrefix + site)
}

// count counts a request under a key, if that has a count.
func (r *Replica) count(key string) {
	if c := r.localCounts[key]; c != nil {
		c.Add(r.epoch(), 1)
	}
}

// epoch returns the current epoch of this node's counts.
func (r *Replica) epoch() uint64 { return counts.EpochAt(r.clock.elapsed()) }

// demands returns the known rate of each member for a key, ordered by number.
func (r *Replica) demands(key string) []escrow.Demand {
	var demands []escrow.Demand
	if c := r.localCounts[key]; c != nil {
		demands = append(demands, escrow.Demand{Number: r.cfg.Self.Number, Rate: c.Rate()})
	}
	r.table.Rates(r.clock.now, key, func(node int, rate float64, age time.Duration) {
		if m, known := r.roster.Get(node); known && (m.State == roster.Dead || m.State == roster.Left) {
			return
		}
		demands = append(demands, escrow.Demand{Number: node, Rate: rate, Age: age})
	})
	slices.SortFunc(demands, func(a, b escrow.Demand) int { return cmp.Compare(a.Number, b.Number) })
	return demands
}

// totalRate estimates the rate of all nodes together for a key. Nodes of unknown rate count as the mean of the others, so
// that an isolated node limits itself to its own fraction of the quota.
func (r *Replica) totalRate(key string, localRate float64) float64 {
	sum, known := localRate, 1
	staleAfter := r.staleAfter()
	for _, d := range r.demands(key) {
		if d.Number != r.cfg.Self.Number && d.Rate >= 0 && d.Age <= staleAfter {
			sum += d.Rate
			known++
		}
	}
	return sum * float64(max(known, r.cfg.Nodes)) / float64(known)
}
