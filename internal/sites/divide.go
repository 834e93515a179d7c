package sites

import (
	"math"
	"slices"
)

// Availability is how a site stands on a day.
type Availability struct {
	Degraded bool    // it does not carry its own load by itself: lost, or on its way back
	Fraction float64 // of its capacity that is there now, by boxes, their warmth and, where it returns, the step that it is at
}

// Division says who carries what. Rates are in mean requests a second; sites are by their places in the plan, kinds by
// theirs in what was asked.
type Division struct {
	Admitted [][]float64 // by site and kind: part of its clients' requests that is admitted
	Own      []float64   // by site: what it carries of its own clients' load,
	Moved    []float64   // and of others'
	Headroom []float64   // by site: what others may bring at most
	Flows    [][]float64 // from, to: what goes there
	MaxFlows [][]float64 // from, to: what may go there at most
	Limit    []float64   // by site: its capacity now, filled as far as the plan goes
	Refused  []float64   // by kind, over all sites
	Asked    []float64
}

// Divide divides what all sites' clients ask for, by site and kind, among the sites as they stand. order is that of
// refusal. What can't be carried anywhere is refused in that order, over the whole fleet alike; where the ways out of a
// site do not take what could be carried elsewhere, more of that site's own, in the same order. A way's part is kept where
// there is room; what does not fit one way goes by the others of the plan.
func (p *Plan) Divide(states []Availability, asked [][]float64, order []int) *Division {
	n, kinds := len(p.Sites), len(order)
	d := &Division{Own: make([]float64, n), Moved: make([]float64, n), Headroom: make([]float64, n), Limit: make([]float64, n),
		Refused: make([]float64, kinds), Asked: make([]float64, kinds)}
	total := 0.0
	for i, s := range p.Sites {
		d.Limit[i] = s.Capacity * p.MaxUtilization * min(1, max(0, states[i].Fraction))
		total += d.Limit[i]
		d.Flows, d.MaxFlows = append(d.Flows, make([]float64, n)), append(d.MaxFlows, make([]float64, n))
	}
	for i := range n {
		for k := range kinds {
			d.Asked[k] += asked[i][k]
		}
	}
	admitted := admitByPriority(total, d.Asked, order)
	overflow := make([]float64, n) // what each site has to move
	for i, s := range p.Sites {
		d.Admitted = append(d.Admitted, slices.Clone(admitted))
		own := dot(admitted, asked[i])
		if states[i].Degraded {
			d.Own[i] = min(own, d.Limit[i])
			overflow[i] = own - d.Own[i]
			continue
		}
		d.Own[i] = own
		d.Headroom[i] = max(0, d.Limit[i]-max(own, s.Reserve*s.Capacity*min(1, states[i].Fraction)))
	}
	d.distribute(p, states, overflow)
	for i := range n {
		if overflow[i] > 1e-9 { // its ways are full: more of its own is refused
			d.Admitted[i] = admitByPriority(d.Own[i]+sum(d.Flows[i]), asked[i], order)
		}
		for k := range kinds {
			d.Refused[k] += asked[i][k] * (1 - d.Admitted[i][k])
		}
	}
	return d
}

// distribute sends what sites have to move by their ways, and leaves in out what found no room.
func (d *Division) distribute(p *Plan, states []Availability, overflow []float64) {
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
		targets := p.overflowTargets(from, states, d.Headroom)
		for _, w := range targets {
			// Room is divided by what each site has to move, so that none comes first.
			to := p.index(w.Site)
			d.MaxFlows[from][to] = d.Headroom[to] * overflow[from] / total
			if w.Most > 0 {
				d.MaxFlows[from][to] = min(d.MaxFlows[from][to], w.Most)
			}
		}
		// What is left after each way has had its part is offered to all that have room, until none has.
		remaining := overflow[from]
		for range len(targets) + 1 {
			weight := 0.0
			for _, w := range targets {
				if to := p.index(w.Site); d.MaxFlows[from][to]-d.Flows[from][to] > 1e-9 {
					weight += w.Part
				}
			}
			if weight <= 0 || remaining <= 1e-9 {
				break
			}
			round := remaining
			for _, w := range targets {
				to := p.index(w.Site)
				x := min(round*w.Part/weight, d.MaxFlows[from][to]-d.Flows[from][to], headroom[to])
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

// overflowTargets are a site's ways to those that carry load of their own, as the plan has them, else by room.
func (p *Plan) overflowTargets(from int, states []Availability, headroom []float64) (targets []OverflowTarget) {
	for _, w := range p.Sites[from].Overflow {
		if !states[p.index(w.Site)].Degraded {
			targets = append(targets, w)
		}
	}
	if len(p.Sites[from].Overflow) > 0 {
		return targets
	}
	for to, s := range p.Sites {
		if to != from && !states[to].Degraded && headroom[to] > 0 {
			targets = append(targets, OverflowTarget{Site: s.Name, Part: headroom[to]})
		}
	}
	return targets
}

// admitByPriority admits as much of what is asked as there is room for: all of some kinds, part of one, and none of those that come
// before it in the order of refusal.
func admitByPriority(capacity float64, asked []float64, order []int) []float64 {
	admit := make([]float64, len(asked))
	for _, k := range slices.Backward(order) {
		if asked[k] > capacity {
			admit[k] = max(0, capacity) / asked[k]
			break // and none of the others, asked for or not
		}
		admit[k] = 1
		capacity -= asked[k]
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

// MaxLoadFactor is the multiple of what is asked at which requests begin to be refused with the sites as they stand; infinite
// where nothing is asked. It is exact to a thousandth.
func (p *Plan) MaxLoadFactor(states []Availability, asked [][]float64, order []int) float64 {
	refusesAt := func(factor float64) bool {
		more := make([][]float64, len(asked))
		for i := range asked {
			for _, x := range asked[i] {
				more[i] = append(more[i], x*factor)
			}
		}
		return sum(p.Divide(states, more, order).Refused) > 1e-6*factor
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
