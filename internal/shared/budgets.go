package shared

import (
	"maps"
	"slices"
	"strings"
	"time"

	"craneglade/internal/shared/escrow"
	"craneglade/internal/shared/packet"
)

// The name of a budget, and of the count that its shares follow, is a prefix and what the budget is for.
const (
	quotaPrefix    = "quota/" // and a tenant: its quota
	overflowPrefix = "cross/" // and a site: the load of lost sites that it can take
)

// isBudget reports whether the settings have a budget of this name.
func (r *Replica) isBudget(name string) bool {
	if tenant, is := strings.CutPrefix(name, quotaPrefix); is {
		return r.cfg.Quotas[tenant] > 0
	}
	site, is := strings.CutPrefix(name, overflowPrefix)
	return is && slices.Contains(r.cfg.OverflowSites, site)
}

// eachBudget calls f with the name of each budget in use, in a fixed order.
func (r *Replica) eachBudget(f func(budget string)) {
	if r.cfg.Features.Crossing {
		r.eachOverflowBudget(func(budget, _ string) { f(budget) })
	}
	if r.cfg.Features.Escrow {
		r.eachQuotaBudget(func(budget, _ string) { f(budget) })
	}
}

// eachOverflowBudget calls f with the budget of each site that can take lost sites' load, ordered by site.
func (r *Replica) eachOverflowBudget(f func(budget, site string)) {
	for _, site := range slices.Sorted(slices.Values(r.cfg.OverflowSites)) {
		f(overflowPrefix+site, site)
	}
}

// eachQuotaBudget calls f with the budget of each tenant that has a quota, ordered by tenant.
func (r *Replica) eachQuotaBudget(f func(budget, tenant string)) {
	for _, tenant := range slices.Sorted(maps.Keys(r.cfg.Quotas)) {
		if r.cfg.Quotas[tenant] > 0 {
			f(quotaPrefix+tenant, tenant)
		}
	}
}

// spendableFraction returns the fraction of a budget that this node may spend.
func (r *Replica) spendableFraction(now time.Duration, budget string) float64 {
	return float64(r.ledger.Spendable(now, budget)) / float64(escrow.BudgetGrains)
}

// planLoans returns the messages that request loans that are needed here, and return those that are not.
func (r *Replica) planLoans(now time.Duration) []Message {
	var messages []Message
	r.eachBudget(func(budget string) {
		for _, message := range r.ledger.Plan(now, budget, r.demands(budget), r.staleAfter()) {
			if message.Request != nil {
				r.stats.Asked++
				messages = append(messages, r.message(message.Owner,
					packet.Entry{Kind: packet.LoanRequest, Key: budget, Nonce: message.Request.Nonce, Grains: message.Request.Grains}))
			} else {
				messages = append(messages, r.message(message.Owner, returnEntry(budget, message.Return.Nonce)))
			}
		}
	})
	return messages
}

// returnLoans ends all loans from other nodes, and returns the messages that tell them.
func (r *Replica) returnLoans(now time.Duration) []Message {
	var messages []Message
	r.eachBudget(func(budget string) {
		for _, loan := range r.ledger.Borrowed(now, budget) {
			if back, notify := r.ledger.ReturnLoan(now, budget, loan.With); notify {
				messages = append(messages, r.message(loan.With, returnEntry(budget, back.Nonce)))
			}
		}
	})
	return messages
}

func returnEntry(budget string, nonce uint64) packet.Entry {
	return packet.Entry{Kind: packet.Return, Key: budget, Nonce: nonce}
}

// receiveLoanRequest answers another node's request for a loan; false where there is no reply.
func (r *Replica) receiveLoanRequest(now time.Duration, e *packet.Entry) (reply Message, ok bool) {
	if !r.isBudget(e.Key) {
		return Message{}, false // only the other node's settings have this budget
	}
	grant, ok := r.ledger.Lend(now, escrow.LoanRequest{Budget: e.Key, From: e.Node, Nonce: e.Nonce, Grains: e.Grains})
	if !ok {
		return Message{}, false
	}
	r.stats.Lent++
	return r.message(e.Node.Number, packet.Entry{Kind: packet.Grant, Key: grant.Budget, Nonce: grant.Nonce,
		Grains: grant.Grains, To: grant.To}), true
}

// receiveGrant records another node's answer to a request for a loan.
func (r *Replica) receiveGrant(now time.Duration, e *packet.Entry) {
	if !r.isBudget(e.Key) {
		return
	}
	grant := escrow.Grant{Budget: e.Key, To: e.To, Nonce: e.Nonce, Grains: e.Grains}
	if r.ledger.AcceptGrant(now, e.Node.Number, grant) {
		r.stats.Granted++
	}
}

// receiveReturn ends loans that another node has released.
func (r *Replica) receiveReturn(now time.Duration, e *packet.Entry) {
	if r.isBudget(e.Key) {
		r.ledger.AcceptReturn(now, escrow.Return{Budget: e.Key, From: e.Node, Nonce: e.Nonce})
	}
}
