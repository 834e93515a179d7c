package escrow

import (
	"cmp"
	"slices"
	"time"
)

// Demand is what is known here of a member's use of a budget.
type Demand struct {
	Number int
	Rate   float64       // in any unit, the same for all; negative where unknown
	Age    time.Duration // of the rate
}

const (
	maxRequestsPerPlan = 4    // owners that one call of Plan asks
	demandMargin       = 1.25 // a node keeps this many times its share by demand, as demand changes
	minLoanDivisor     = 64   // a loan of less than 1/64 of a node's own grains is not worth its messages
)

// Shares returns the members' shares of a budget by demand, in grains, by their numbers. A member whose rate is unknown, or
// older than staleAfter, keeps what it owns. The shares add up to at most one budget.
func Shares(all []Demand, nodes int, staleAfter time.Duration) []int64 {
	out, rates := make([]int64, nodes), make([]float64, nodes)
	for i := range rates {
		rates[i] = -1
	}
	for _, d := range all {
		if d.Rate >= 0 && d.Age <= staleAfter && d.Number >= 0 && d.Number < nodes {
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

// OwnerMessage is a message to an owner: either a request or a return.
type OwnerMessage struct {
	Owner   int
	Request *LoanRequest
	Return  *Return
}

// Plan returns the requests and returns that bring this node's grains in line with the demand, and sets the node's own
// need. Called again soon it does not repeat itself. A loan is renewed after half of its term.
func (l *Ledger) Plan(now time.Duration, budget string, all []Demand, staleAfter time.Duration) []OwnerMessage {
	l.advance(now)
	b := l.account(budget)
	shares := Shares(all, l.nodes, staleAfter)
	neededBy := func(number int) int64 {
		if number < 0 || number >= l.nodes {
			return 0
		}
		return int64(demandMargin * float64(shares[number]))
	}
	l.SetNeed(budget, neededBy(l.self.Number))
	var messages []OwnerMessage
	missing := neededBy(l.self.Number) - b.base
	if missing <= b.base/minLoanDivisor {
		for _, h := range l.Borrowed(now, budget) {
			if back, notify := l.ReturnLoan(now, budget, h.With); notify {
				messages = append(messages, OwnerMessage{Owner: h.With, Return: &back})
			}
		}
		return messages
	}
	type lender struct {
		owner  int
		grains int64
	}
	var owners []lender
	for _, d := range all {
		if d.Number == l.self.Number || d.Rate < 0 || d.Age > staleAfter {
			continue
		}
		base := Base(d.Number, l.nodes)
		n := min(base-neededBy(d.Number), base-int64(l.terms.NeverLent*float64(base)))
		if h, ok := b.borrowed[d.Number]; n > base/minLoanDivisor || ok {
			owners = append(owners, lender{d.Number, max(n, h.grains)})
		}
	}
	// Owners that have lent already come first: renewing a loan costs no more than a new one, and leaves the other owners
	// alone.
	slices.SortFunc(owners, func(x, y lender) int {
		_, hx := b.borrowed[x.owner]
		_, hy := b.borrowed[y.owner]
		if hx != hy {
			if hx {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(y.grains, x.grains), cmp.Compare(x.owner, y.owner))
	})
	requests := 0
	for _, o := range owners {
		if missing <= 0 {
			if _, borrowing := b.borrowed[o.owner]; borrowing {
				if back, notify := l.ReturnLoan(now, budget, o.owner); notify {
					messages = append(messages, OwnerMessage{Owner: o.owner, Return: &back})
				}
			}
			continue
		}
		want := min(missing, o.grains)
		missing -= want
		h, borrowing := b.borrowed[o.owner]
		if l.RequestPending(now, budget, o.owner) && now-b.pending[o.owner].sentAt < l.terms.Term/6 {
			continue // its answer may be in flight
		}
		if borrowing && h.expires-now > l.terms.Term/2 && h.grains >= want*3/4 || requests == maxRequestsPerPlan {
			continue
		}
		requests++
		a := l.RequestLoan(now, budget, o.owner, want)
		messages = append(messages, OwnerMessage{Owner: o.owner, Request: &a})
	}
	return messages
}
