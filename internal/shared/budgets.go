package shared

import (
	"maps"
	"slices"
	"strings"
	"time"

	"craneglade/internal/shared/escrow"
	"craneglade/internal/shared/packet"
)

// A budget, and the count by which its parts move, is named by a prefix and what it is for.
const (
	quotaPrefix = "quota/" // and a tenant: its quota
	crossPrefix = "cross/" // and a site: the load of lost sites that may go there
)

// isBudget reports whether the settings have a budget of this name.
func (r *Replica) isBudget(name string) bool {
	if tenant, is := strings.CutPrefix(name, quotaPrefix); is {
		return r.cfg.Quotas[tenant] > 0
	}
	site, is := strings.CutPrefix(name, crossPrefix)
	return is && slices.Contains(r.cfg.OverflowSites, site)
}

// eachBudget calls f with the name of each budget that is used, in a fixed order.
func (r *Replica) eachBudget(f func(budget string)) {
	if r.cfg.Use.Crossing {
		r.eachCrossing(func(budget, _ string) { f(budget) })
	}
	if r.cfg.Use.Escrow {
		r.eachQuota(func(budget, _ string) { f(budget) })
	}
}

// eachCrossing calls f with the budget of each site that may get lost sites' load, in the order of their names.
func (r *Replica) eachCrossing(f func(budget, site string)) {
	for _, site := range slices.Sorted(slices.Values(r.cfg.OverflowSites)) {
		f(crossPrefix+site, site)
	}
}

// eachQuota calls f with the budget of each tenant that has a quota, in the order of their names.
func (r *Replica) eachQuota(f func(budget, tenant string)) {
	for _, tenant := range slices.Sorted(maps.Keys(r.cfg.Quotas)) {
		if r.cfg.Quotas[tenant] > 0 {
			f(quotaPrefix+tenant, tenant)
		}
	}
}

// spendablePart is what this node may spend of a budget, as a fraction of the whole.
func (r *Replica) spendablePart(now time.Duration, budget string) float64 {
	return float64(r.ledger.Spendable(now, budget)) / float64(escrow.BudgetGrains)
}

// planLoans returns the messages that ask owners for parts of budgets that are needed here, and give back those that are
// not.
func (r *Replica) planLoans(now time.Duration) []Message {
	var messages []Message
	r.eachBudget(func(budget string) {
		for _, order := range r.ledger.Plan(now, budget, r.demands(budget), r.staleAfter()) {
			if order.Request != nil {
				r.stats.Asked++
				messages = append(messages, r.message(order.Owner,
					packet.Entry{Kind: packet.LoanRequest, Key: budget, Nonce: order.Request.Nonce, Grains: order.Request.Grains}))
			} else {
				messages = append(messages, r.message(order.Owner, returnEntry(budget, order.Return.Nonce)))
			}
		}
	})
	return messages
}

// returnLoans gives back all that this node holds of other nodes' parts, and returns the messages that say so.
func (r *Replica) returnLoans(now time.Duration) []Message {
	var messages []Message
	r.eachBudget(func(budget string) {
		for _, loan := range r.ledger.Borrowed(now, budget) {
			if back, tell := r.ledger.ReturnLoan(now, budget, loan.With); tell {
				messages = append(messages, r.message(loan.With, returnEntry(budget, back.Nonce)))
			}
		}
	})
	return messages
}

func returnEntry(budget string, nonce uint64) packet.Entry {
	return packet.Entry{Kind: packet.Return, Key: budget, Nonce: nonce}
}

// receiveAsk lends a part of a budget to a node that asks for it; false where it gets nothing.
func (r *Replica) receiveAsk(now time.Duration, e *packet.Entry) (reply Message, ok bool) {
	if !r.isBudget(e.Key) {
		return Message{}, false // another node's settings have it
	}
	grant, ok := r.ledger.Lend(now, escrow.LoanRequest{Budget: e.Key, From: e.Node, Nonce: e.Nonce, Grains: e.Grains})
	if !ok {
		return Message{}, false
	}
	r.stats.Lent++
	return r.message(e.Node.Number, packet.Entry{Kind: packet.Grant, Key: grant.Budget, Nonce: grant.Nonce,
		Grains: grant.Grains, To: grant.To}), true
}

// receiveGrant takes what an owner has lent to this node.
func (r *Replica) receiveGrant(now time.Duration, e *packet.Entry) {
	if !r.isBudget(e.Key) {
		return
	}
	grant := escrow.Grant{Budget: e.Key, To: e.To, Nonce: e.Nonce, Grains: e.Grains}
	if r.ledger.AcceptGrant(now, e.Node.Number, grant) {
		r.stats.Granted++
	}
}

// receiveReturn takes back what this node has lent.
func (r *Replica) receiveReturn(now time.Duration, e *packet.Entry) {
	if r.isBudget(e.Key) {
		r.ledger.AcceptReturn(now, escrow.Return{Budget: e.Key, From: e.Node, Nonce: e.Nonce})
	}
}
