package escrow

import (
	"cmp"
	"slices"
	"time"
)

// Demand is what a member would use of a budget, as far as it is known here.
type Demand struct {
	Number int
	Rate   float64       // in any unit, the same for all; negative for one that is not known
	Age    time.Duration // of what is known
}

const (
	lenders = 4    // asked at a time
	margin  = 1.25 // more than a node's share by demand is left to it, as demand moves
	worth   = 64   // parts of a node's own: an ask for less is not worth its messages
)

// Shares are the members' parts of a budget by demand, in grains, by their numbers. Members of whom nothing is known, or
// nothing new for longer than fresh, need what they own. All together they are a budget at most.
func Shares(all []Demand, nodes int, fresh time.Duration) []int64 {
	out, rates := make([]int64, nodes), make([]float64, nodes)
	for i := range rates {
		rates[i] = -1
	}
	for _, d := range all {
		if d.Rate >= 0 && d.Age <= fresh && d.Number >= 0 && d.Number < nodes {
			rates[d.Number] = d.Rate
		}
	}
	free, sum := BudgetGrains, 0.0
	for i, r := range rates {
		out[i] = Base(i, nodes)
		if r < 0 {
			free -= out[i]
		} else {
			sum += r
		}
	}
	for i, r := range rates {
		if r >= 0 && sum > 0 {
			out[i] = int64(float64(free) * (r / sum))
		}
	}
	return out
}

// OwnerMessage is one thing to tell an owner: an ask, or what is given back.
type OwnerMessage struct {
	Owner   int
	Request *LoanRequest
	Return  *Return
}

// Plan says whom to ask for what, and what to give back, by demand. It sets the node's own need. Called again within a
// short time it repeats nothing: what is held is renewed after half of its term.
func (l *Ledger) Plan(now time.Duration, budget string, all []Demand, fresh time.Duration) []OwnerMessage {
	l.advance(now)
	b := l.book(budget)
	shares := Shares(all, l.nodes, fresh)
	needs := func(number int) int64 {
		if number < 0 || number >= l.nodes {
			return 0
		}
		return int64(margin * float64(shares[number]))
	}
	l.SetNeed(budget, needs(l.self.Number))
	var orders []OwnerMessage
	lack := needs(l.self.Number) - b.base
	if lack <= b.base/worth {
		for _, h := range l.Borrowed(now, budget) {
			if back, tell := l.ReturnLoan(now, budget, h.With); tell {
				orders = append(orders, OwnerMessage{Owner: h.With, Return: &back})
			}
		}
		return orders
	}
	type spare struct {
		owner  int
		grains int64
	}
	var owners []spare
	for _, d := range all {
		if d.Number == l.self.Number || d.Rate < 0 || d.Age > fresh {
			continue
		}
		base := Base(d.Number, l.nodes)
		n := min(base-needs(d.Number), base-int64(l.terms.NeverLent*float64(base)))
		if h, ok := b.held[d.Number]; n > base/worth || ok {
			owners = append(owners, spare{d.Number, max(n, h.grains)})
		}
	}
	// Whoever has lent already first: a loan that is renewed costs no more than a new one, and leaves the others alone.
	slices.SortFunc(owners, func(x, y spare) int {
		_, hx := b.held[x.owner]
		_, hy := b.held[y.owner]
		if hx != hy {
			if hx {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(y.grains, x.grains), cmp.Compare(x.owner, y.owner))
	})
	asks := 0
	for _, o := range owners {
		if lack <= 0 {
			if _, holds := b.held[o.owner]; holds {
				if back, tell := l.ReturnLoan(now, budget, o.owner); tell {
					orders = append(orders, OwnerMessage{Owner: o.owner, Return: &back})
				}
			}
			continue
		}
		want := min(lack, o.grains)
		lack -= want
		h, holds := b.held[o.owner]
		if l.RequestPending(now, budget, o.owner) && now-b.asks[o.owner].at < l.terms.Term/6 {
			continue // its answer may be on its way
		}
		if holds && h.until-now > l.terms.Term/2 && h.grains >= want*3/4 || asks == lenders {
			continue
		}
		asks++
		a := l.RequestLoan(now, budget, o.owner, want)
		orders = append(orders, OwnerMessage{Owner: o.owner, Request: &a})
	}
	return orders
}
