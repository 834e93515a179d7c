package sites

import (
	"math"
	"slices"
)

// Availability is the current condition of a site.
type Availability struct {
	Degraded bool    // it can't carry all of its own load: it is lost or returning
	Fraction float64 // of its capacity that is usable now, by its backends, their warm-up and the step of its return
}

// Division is a division of the load among sites. Rates are in mean requests a second. Sites are indexed as in the plan,
// kinds as in the demand.
type Division struct {
	Admitted [][]float64 // by site and kind: fraction of its clients' requests that is admitted
	Own      []float64   // by site: load of its own clients that it carries
	Moved    []float64   // by site: load of other sites' clients that it carries
	Headroom []float64   // by site: maximum load that it takes from others
	Flows    [][]float64 // from, to: load that is moved
	MaxFlows [][]float64 // from, to: maximum load that may be moved
	Limit    []float64   // by site: load that it may carry now, at the plan's utilization
	Refused  []float64   // by kind, over all sites
	Demand   []float64
}

// Divide divides the demand of all sites' clients, by site and kind, among the available sites. order is the order of
// refusal. What exceeds the capacity of the fleet is refused in that order, by the same fractions at all sites. Where the
// overflow targets of a site can't take what the fleet could carry, more of that site's own requests are refused, in the
// same order. Load goes to overflow targets by their fractions while they have headroom; what does not fit one target goes
// to the site's others.
func (p *Plan) Divide(available []Availability, demand [][]float64, order []int) *Division {
	n, kinds := len(p.Sites), len(order)
	d := &Division{Own: make([]float64, n), Moved: make([]float64, n), Headroom: make([]float64, n), Limit: make([]float64, n),
		Refused: make([]float64, kinds), Demand: make([]float64, kinds)}
	total := 0.0
	for i, s := range p.Sites {
		d.Limit[i] = s.Capacity * p.MaxUtilization * min(1, max(0, available[i].Fraction))
		total += d.Limit[i]
		d.Flows, d.MaxFlows = append(d.Flows, make([]float64, n)), append(d.MaxFlows, make([]float64, n))
	}
	for i := range n {
		for k := range kinds {
			d.Demand[k] += demand[i][k]
		}
	}
	admitted := admitByPriority(total, d.Demand, order)
	overflow := make([]float64, n) // load that each site has to move
	for i, s := range p.Sites {
		d.Admitted = append(d.Admitted, slices.Clone(admitted))
		own := dot(admitted, demand[i])
		if available[i].Degraded {
			d.Own[i] = min(own, d.Limit[i])
			overflow[i] = own - d.Own[i]
			continue
		}
		d.Own[i] = own
		d.Headroom[i] = max(0, d.Limit[i]-max(own, s.Reserve*s.Capacity*min(1, available[i].Fraction)))
	}
	d.distribute(p, available, overflow)
	for i := range n {
		if overflow[i] > 1e-9 { // its targets are full: more of its own requests are refused
			d.Admitted[i] = admitByPriority(d.Own[i]+sum(d.Flows[i]), demand[i], order)
		}
		for k := range kinds {
			d.Refused[k] += demand[i][k] * (1 - d.Admitted[i][k])
		}
	}
	return d
}

// distribute moves the overflow of sites to their targets, and leaves in overflow what does not fit.
func (d *Division) distribute(p *Plan, available []Availability, overflow []float64) {
	n := len(overflow)
	total := sum(overflow)
	if total <= 0 {
		return
	}
	headroom := slices.Clone(d.Headroom)
	for from := range n {
		if overflow[from] <= 0 {
			continue
		}
		targets := p.overflowTargets(from, available, d.Headroom)
		for _, w := range targets {
			// Sites get headroom in proportion to their overflow, so that none has priority.
			to := p.index(w.Site)
			d.MaxFlows[from][to] = d.Headroom[to] * overflow[from] / total
			if w.MaxRate > 0 {
				d.MaxFlows[from][to] = min(d.MaxFlows[from][to], w.MaxRate)
			}
		}
		// What remains after each target got its fraction is offered to all with headroom, until none has any.
		remaining := overflow[from]
		for range len(targets) + 1 {
			weight := 0.0
			for _, w := range targets {
				if to := p.index(w.Site); d.MaxFlows[from][to]-d.Flows[from][to] > 1e-9 {
					weight += w.Fraction
				}
			}
			if weight <= 0 || remaining <= 1e-9 {
				break
			}
			pending := remaining
			for _, w := range targets {
				to := p.index(w.Site)
				x := min(pending*w.Fraction/weight, d.MaxFlows[from][to]-d.Flows[from][to], headroom[to])
				if x <= 0 {
					continue
				}
				d.Flows[from][to] += x
				d.Moved[to] += x
				headroom[to] -= x
				remaining -= x
			}
		}
		overflow[from] = remaining
	}
}

// overflowTargets returns the plan's targets of a site that aren't degraded. Where the plan has none, all sites with headroom
// are targets, in proportion to it.
func (p *Plan) overflowTargets(from int, available []Availability, headroom []float64) (targets []OverflowTarget) {
	for _, w := range p.Sites[from].Overflow {
		if !available[p.index(w.Site)].Degraded {
			targets = append(targets, w)
		}
	}
	if len(p.Sites[from].Overflow) > 0 {
		return targets
	}
	for to, s := range p.Sites {
		if to != from && !available[to].Degraded && headroom[to] > 0 {
			targets = append(targets, OverflowTarget{Site: s.Name, Fraction: headroom[to]})
		}
	}
	return targets
}

// admitByPriority returns the fraction of each kind that is admitted: all of some kinds, a fraction of one, and nothing of
// those that come before it in the order of refusal.
func admitByPriority(capacity float64, demand []float64, order []int) []float64 {
	admit := make([]float64, len(demand))
	for _, k := range slices.Backward(order) {
		if demand[k] > capacity {
			admit[k] = max(0, capacity) / demand[k]
			break // and none of the others, whether requested or not
		}
		admit[k] = 1
		capacity -= demand[k]
	}
	return admit
}

func dot(a, b []float64) (x float64) {
	for i := range a {
		x += a[i] * b[i]
	}
	return x
}

func sum(a []float64) (x float64) {
	for _, v := range a {
		x += v
	}
	return x
}

// MaxLoadFactor returns the multiple of the demand at which requests begin to be refused, or infinity where there is no
// demand. It is accurate to a thousandth.
func (p *Plan) MaxLoadFactor(available []Availability, demand [][]float64, order []int) float64 {
	refusesAt := func(factor float64) bool {
		more := make([][]float64, len(demand))
		for i := range demand {
			for _, x := range demand[i] {
				more[i] = append(more[i], x*factor)
			}
		}
		return sum(p.Divide(available, more, order).Refused) > 1e-6*factor
	}
	low, high := 0.0, 1.0
	for !refusesAt(high) {
		if low, high = high, 2*high; high > 1e6 {
			return math.Inf(1)
		}
	}
	for high-low > 0.001*high && high > 1e-6 {
		if mid := (low + high) / 2; refusesAt(mid) {
			high = mid
		} else {
			low = mid
		}
	}
	return low
}
