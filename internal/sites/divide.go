package sites

import (
	"math"
	"slices"
)

// State is how a site stands on a day.
type State struct {
	Short bool    // it does not carry its own load by itself: lost, or on its way back
	Part  float64 // of its capacity that is there now, by boxes, their warmth and, where it returns, the step that it is at
}

// Division says who carries what. Rates are in mean requests a second; sites are by their places in the plan, kinds by
// theirs in what was asked.
type Division struct {
	Admit   [][]float64 // by site and kind: part of its clients' requests that is admitted
	Own     []float64   // by site: what it carries of its own clients' load,
	Moved   []float64   // and of others'
	Room    []float64   // by site: what others may bring at most
	Moves   [][]float64 // from, to: what goes there
	Most    [][]float64 // from, to: what may go there at most
	Full    []float64   // by site: its capacity now, filled as far as the plan goes
	Refused []float64   // by kind, over all sites
	Asked   []float64
}

// Divide divides what all sites' clients ask for, by site and kind, among the sites as they stand. order is that of
// refusal. What can't be carried anywhere is refused in that order, over the whole fleet alike; where the ways out of a
// site do not take what could be carried elsewhere, more of that site's own, in the same order. A way's part is kept where
// there is room; what does not fit one way goes by the others of the plan.
func (p *Plan) Divide(states []State, asked [][]float64, order []int) *Division {
	n, kinds := len(p.Sites), len(order)
	d := &Division{Own: make([]float64, n), Moved: make([]float64, n), Room: make([]float64, n), Full: make([]float64, n),
		Refused: make([]float64, kinds), Asked: make([]float64, kinds)}
	whole := 0.0
	for i, s := range p.Sites {
		d.Full[i] = s.Capacity * p.MaxUtilization * min(1, max(0, states[i].Part))
		whole += d.Full[i]
		d.Moves, d.Most = append(d.Moves, make([]float64, n)), append(d.Most, make([]float64, n))
	}
	for i := range n {
		for k := range kinds {
			d.Asked[k] += asked[i][k]
		}
	}
	everywhere := fill(whole, d.Asked, order)
	out := make([]float64, n) // what each site has to move
	for i, s := range p.Sites {
		d.Admit = append(d.Admit, slices.Clone(everywhere))
		own := dot(everywhere, asked[i])
		if states[i].Short {
			d.Own[i] = min(own, d.Full[i])
			out[i] = own - d.Own[i]
			continue
		}
		d.Own[i] = own
		d.Room[i] = max(0, d.Full[i]-max(own, s.Reserve*s.Capacity*min(1, states[i].Part)))
	}
	d.move(p, states, out)
	for i := range n {
		if out[i] > 1e-9 { // its ways are full: more of its own is refused
			d.Admit[i] = fill(d.Own[i]+sum(d.Moves[i]), asked[i], order)
		}
		for k := range kinds {
			d.Refused[k] += asked[i][k] * (1 - d.Admit[i][k])
		}
	}
	return d
}

// move sends what sites have to move by their ways, and leaves in out what found no room.
func (d *Division) move(p *Plan, states []State, out []float64) {
	n := len(out)
	all := sum(out)
	if all <= 0 {
		return
	}
	left := slices.Clone(d.Room)
	for from := range n {
		if out[from] <= 0 {
			continue
		}
		ways := p.ways(from, states, d.Room)
		for _, w := range ways {
			// Room is divided by what each site has to move, so that none comes first.
			to := p.index(w.Site)
			d.Most[from][to] = d.Room[to] * out[from] / all
			if w.Most > 0 {
				d.Most[from][to] = min(d.Most[from][to], w.Most)
			}
		}
		// What is left after each way has had its part is offered to all that have room, until none has.
		rest := out[from]
		for range len(ways) + 1 {
			parts := 0.0
			for _, w := range ways {
				if to := p.index(w.Site); d.Most[from][to]-d.Moves[from][to] > 1e-9 {
					parts += w.Part
				}
			}
			if parts <= 0 || rest <= 1e-9 {
				break
			}
			now := rest
			for _, w := range ways {
				to := p.index(w.Site)
				x := min(now*w.Part/parts, d.Most[from][to]-d.Moves[from][to], left[to])
				if x <= 0 {
					continue
				}
				d.Moves[from][to] += x
				d.Moved[to] += x
				left[to] -= x
				rest -= x
			}
		}
		out[from] = rest
	}
}

// ways are a site's ways to those that carry load of their own, as the plan has them, else by room.
func (p *Plan) ways(from int, states []State, room []float64) (ways []OverflowTarget) {
	for _, w := range p.Sites[from].Overflow {
		if !states[p.index(w.Site)].Short {
			ways = append(ways, w)
		}
	}
	if len(p.Sites[from].Overflow) > 0 {
		return ways
	}
	for to, s := range p.Sites {
		if to != from && !states[to].Short && room[to] > 0 {
			ways = append(ways, OverflowTarget{Site: s.Name, Part: room[to]})
		}
	}
	return ways
}

// fill admits as much of what is asked as there is room for: all of some kinds, part of one, and none of those that come
// before it in the order of refusal.
func fill(room float64, asked []float64, order []int) []float64 {
	admit := make([]float64, len(asked))
	for _, k := range slices.Backward(order) {
		if asked[k] > room {
			admit[k] = max(0, room) / asked[k]
			break // and none of the others, asked for or not
		}
		admit[k] = 1
		room -= asked[k]
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

// Fits is the multiple of what is asked at which requests begin to be refused with the sites as they stand; infinite
// where nothing is asked. It is exact to a thousandth.
func (p *Plan) Fits(states []State, asked [][]float64, order []int) float64 {
	refuses := func(by float64) bool {
		more := make([][]float64, len(asked))
		for i := range asked {
			for _, x := range asked[i] {
				more[i] = append(more[i], x*by)
			}
		}
		return sum(p.Divide(states, more, order).Refused) > 1e-6*by
	}
	low, high := 0.0, 1.0
	for !refuses(high) {
		if low, high = high, 2*high; high > 1e6 {
			return math.Inf(1)
		}
	}
	for high-low > 0.001*high && high > 1e-6 {
		if mid := (low + high) / 2; refuses(mid) {
			high = mid
		} else {
			low = mid
		}
	}
	return low
}
