// Package escrow divides budgets among the nodes of a fleet so that all of them together never spend more than a budget,
// even when messages are lost, duplicated, reordered or delayed and nodes are partitioned, stall or restart.
//
// A budget has BudgetGrains grains. Node i of n owns a fixed share of them, which follows from numbers that every node has
// in its settings, so that ownership needs no messages. An owner lends grains to a node that needs more, for a term. The
// borrower counts the term from when it sent its request, the lender from when it granted it, and the lender adds the drift
// of both clocks: a loan ends at the borrower first. Until the lender's end of it a lent grain counts as lent, whether or
// not the grant arrived. After a restart a node does not spend what an earlier incarnation may have lent, for as long as
// such a loan can last.
//
// The package has no I/O, clock or goroutines. The caller passes the time, as the time since any fixed moment. It should
// not jump while the process runs; Ledger.advance says what happens if it does. Nothing here is safe for concurrent use.
package escrow

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// BudgetGrains is the size of each budget in grains.
const BudgetGrains = int64(1) << 20

// Terms are the conditions of loans. The zero value is not usable; see DefaultTerms.
type Terms struct {
	Term       time.Duration // length of a loan, by the borrower's clock, from the sending of its request
	Drift      float64       // fraction by which a clock may run faster or slower than true time
	MaxStepGap time.Duration // longest time between two calls; after a longer one the time that has passed counts as unknown
	NeverLent  float64       // fraction of what a node owns that it never lends
}

// DefaultTerms returns the terms in service.
func DefaultTerms() Terms {
	return Terms{Term: 3 * time.Second, Drift: 0.05, MaxStepGap: time.Second, NeverLent: 0.25}
}

// lenderTerm returns how long a lender counts a loan as lent, by its own clock: the whole term on the slowest clock of a
// borrower, read on the fastest clock of a lender, and one step that may have passed unseen.
func (t Terms) lenderTerm() time.Duration {
	return time.Duration(float64(t.Term)*(1+t.Drift)/(1-t.Drift)) + t.MaxStepGap
}

// Base returns the grains of a budget that node number of a fleet of nodes owns. The shares of all nodes add up to
// BudgetGrains. A number outside the fleet owns nothing.
func Base(number, nodes int) int64 {
	if number < 0 || number >= nodes {
		return 0
	}
	i, n := int64(number), int64(nodes)
	return BudgetGrains*(i+1)/n - BudgetGrains*i/n
}

// Node identifies one incarnation of a node.
type Node struct {
	Number      int
	Incarnation uint64 // higher after each restart under a number
}

// LoanRequest asks an owner for grains. A later request of the same incarnation has a higher Nonce, and its grant replaces
// the earlier loan.
type LoanRequest struct {
	Budget string
	From   Node
	Nonce  uint64
	Grains int64
}

// Grant answers a request with the grains that were lent, 0 for none. It names the incarnation that sent the request, as a
// later one numbers its requests from the start again.
type Grant struct {
	Budget string
	To     Node
	Nonce  uint64
	Grains int64
}

// Return tells an owner that its borrower has released everything that was lent up to Nonce.
type Return struct {
	Budget string
	From   Node
	Nonce  uint64
}

// Loan is a loan of this node's grains to another node, or of another node's grains to this one.
type Loan struct {
	With   int // the other node's number
	Grains int64
	Until  time.Duration
}

type loan struct {
	nonce   uint64
	grains  int64
	expires time.Duration
}

// borrower is one incarnation that was lent to. It has only one of the loans at a time, and its owner does not know which.
type borrower struct {
	latest uint64 // highest nonce seen
	loans  []loan
}

func (d *borrower) outstanding() (most int64) {
	for _, l := range d.loans {
		most = max(most, l.grains)
	}
	return most
}

type pendingRequest struct {
	nonce  uint64
	sentAt time.Duration
	grains int64
}

type account struct {
	base       int64
	reserved   int64 // grains of its own that the owner keeps for itself as far as it can
	borrowers  map[Node]*borrower
	pending    map[int]pendingRequest // the latest unanswered request to each owner
	borrowed   map[int]loan           // by owner
	lastNonces map[int]uint64
}

// Ledger is one node's accounts of all budgets.
type Ledger struct {
	terms           Terms
	self            Node
	nodes           int
	nonce           uint64
	now             time.Duration
	quarantineUntil time.Duration // until then, what an earlier incarnation may have lent counts as lent
	accounts        map[string]*account
}

// New returns the ledger of a node that has just started.
func New(terms Terms, self Node, nodes int, now time.Duration) *Ledger {
	return &Ledger{terms: terms, self: self, nodes: nodes, now: now, quarantineUntil: now + terms.lenderTerm(), accounts: map[string]*account{}}
}

func (l *Ledger) account(budget string) *account {
	b := l.accounts[budget]
	if b == nil {
		b = &account{base: Base(l.self.Number, l.nodes), borrowers: map[Node]*borrower{}, pending: map[int]pendingRequest{}, borrowed: map[int]loan{},
			lastNonces: map[int]uint64{}}
		l.accounts[budget] = b
	}
	return b
}

// advance moves the ledger to a time. Where the clock went back, or forward by more than MaxStepGap, the time that has
// passed is unknown. Each case takes the safe bound: loans to others, and the quarantine after a start, are extended as if
// no time had passed; loans from others end when the clock went back, and expire by the new time when it went forward.
func (l *Ledger) advance(now time.Duration) {
	elapsed := now - l.now
	l.now = now
	wentBack := elapsed < 0
	shift := time.Duration(0)
	if wentBack || elapsed > l.terms.MaxStepGap {
		shift = elapsed
		l.quarantineUntil += shift
	}
	for _, b := range l.accounts {
		for who, d := range b.borrowers {
			for i := range d.loans {
				d.loans[i].expires += shift
			}
			d.loans = slices.DeleteFunc(d.loans, func(x loan) bool { return now >= x.expires })
			if len(d.loans) == 0 {
				// This forgets the latest nonce. A late duplicate of a request can then be granted again: that counts as lent
				// for a term, but no borrower accepts the grant.
				delete(b.borrowers, who)
			}
		}
		if wentBack {
			clear(b.borrowed)
			clear(b.pending)
		}
		maps.DeleteFunc(b.borrowed, func(_ int, x loan) bool { return now >= x.expires })
		maps.DeleteFunc(b.pending, func(_ int, a pendingRequest) bool { return now >= a.sentAt+l.terms.Term })
	}
}

// lendable returns how much of its own a node may ever lend.
func (l *Ledger) lendable(b *account) int64 { return b.base - int64(l.terms.NeverLent*float64(b.base)) }

// availableOwn returns how much of its own a node may spend now.
func (l *Ledger) availableOwn(b *account) int64 {
	n := b.base
	if l.now < l.quarantineUntil {
		n -= l.lendable(b)
	}
	for _, d := range b.borrowers {
		n -= d.outstanding()
	}
	return max(0, n)
}

// Spendable returns the grains of a budget that the node may spend now.
func (l *Ledger) Spendable(now time.Duration, budget string) int64 {
	l.advance(now)
	b := l.account(budget)
	n := l.availableOwn(b)
	for _, h := range b.borrowed {
		n += h.grains
	}
	return n
}

// NextExpiry returns when Spendable next falls by the passing of time alone; false where it does not.
func (l *Ledger) NextExpiry(now time.Duration, budget string) (time.Duration, bool) {
	l.advance(now)
	earliest, any := time.Duration(0), false
	for _, h := range l.account(budget).borrowed {
		if !any || h.expires < earliest {
			earliest, any = h.expires, true
		}
	}
	return earliest, any
}

// SetNeed sets how many grains of a budget the node itself needs. Of its own grains it lends only those beyond this.
func (l *Ledger) SetNeed(budget string, grains int64) {
	l.account(budget).reserved = min(max(grains, 0), BudgetGrains)
}

// RequestLoan returns a request to an owner. It is pending until it is answered or a term has passed.
func (l *Ledger) RequestLoan(now time.Duration, budget string, owner int, grains int64) LoanRequest {
	l.advance(now)
	b := l.account(budget)
	l.nonce++
	b.lastNonces[owner] = l.nonce
	b.pending[owner] = pendingRequest{l.nonce, now, grains}
	return LoanRequest{budget, l.self, l.nonce, grains}
}

// RequestPending reports whether a request to an owner is pending.
func (l *Ledger) RequestPending(now time.Duration, budget string, owner int) bool {
	l.advance(now)
	_, pending := l.account(budget).pending[owner]
	return pending
}

// Lend answers a request; false for one that gets no answer: it is older than a later request of the same borrower, or its
// loan has ended. A duplicate of a request whose loan still runs gets the same answer again, and nothing more is lent for
// it.
func (l *Ledger) Lend(now time.Duration, a LoanRequest) (Grant, bool) {
	l.advance(now)
	b := l.account(a.Budget)
	d := b.borrowers[a.From]
	if d != nil && a.Nonce <= d.latest {
		if i := slices.IndexFunc(d.loans, func(x loan) bool { return x.nonce == a.Nonce }); i >= 0 {
			return Grant{a.Budget, a.From, a.Nonce, d.loans[i].grains}, true
		}
		return Grant{}, false
	}
	if now < l.quarantineUntil || a.From.Number == l.self.Number {
		return Grant{a.Budget, a.From, a.Nonce, 0}, true
	}
	free := l.lendable(b)
	for who, o := range b.borrowers {
		if who != a.From { // the new loan replaces the borrower's earlier one
			free -= o.outstanding()
		}
	}
	grains := max(0, min(a.Grains, free, b.base-b.reserved-(l.lendable(b)-free)))
	if grains == 0 {
		return Grant{a.Budget, a.From, a.Nonce, 0}, true
	}
	if d == nil {
		d = &borrower{}
		b.borrowers[a.From] = d
	}
	d.latest = a.Nonce
	d.loans = append(d.loans, loan{a.Nonce, grains, now + l.terms.lenderTerm()})
	return Grant{a.Budget, a.From, a.Nonce, grains}, true
}

// AcceptGrant records an owner's answer, and reports whether it belongs to the pending request. The term runs from when
// that request was sent.
func (l *Ledger) AcceptGrant(now time.Duration, owner int, g Grant) bool {
	l.advance(now)
	b := l.account(g.Budget)
	a, pending := b.pending[owner]
	if !pending || a.nonce != g.Nonce || g.To != l.self {
		return false
	}
	delete(b.pending, owner)
	if until := a.sentAt + l.terms.Term; g.Grains > 0 && now < until {
		b.borrowed[owner] = loan{g.Nonce, min(g.Grains, a.grains), until}
	}
	return true
}

// ReturnLoan ends a loan from an owner and any pending request to it. It reports false where the owner need not be told.
func (l *Ledger) ReturnLoan(now time.Duration, budget string, owner int) (Return, bool) {
	l.advance(now)
	b := l.account(budget)
	_, borrowed := b.borrowed[owner]
	_, pending := b.pending[owner]
	delete(b.borrowed, owner)
	delete(b.pending, owner)
	return Return{budget, l.self, b.lastNonces[owner]}, borrowed || pending
}

// AcceptReturn ends the loans that a borrower has released.
func (l *Ledger) AcceptReturn(now time.Duration, r Return) {
	l.advance(now)
	d := l.account(r.Budget).borrowers[r.From]
	if d == nil {
		return
	}
	d.latest = max(d.latest, r.Nonce)
	d.loans = slices.DeleteFunc(d.loans, func(x loan) bool { return x.nonce <= r.Nonce })
	if len(d.loans) == 0 {
		delete(l.account(r.Budget).borrowers, r.From)
	}
}

// Borrowed returns the loans from other owners, ordered by owner.
func (l *Ledger) Borrowed(now time.Duration, budget string) []Loan {
	l.advance(now)
	var out []Loan
	for owner, h := range l.account(budget).borrowed {
		out = append(out, Loan{owner, h.grains, h.expires})
	}
	return sortLoans(out)
}

// Lent returns the loans to other nodes, ordered by borrower. The incarnations of one number are listed separately.
func (l *Ledger) Lent(now time.Duration, budget string) []Loan {
	l.advance(now)
	var out []Loan
	for who, d := range l.account(budget).borrowers {
		x := Loan{With: who.Number, Grains: d.outstanding()}
		for _, y := range d.loans {
			x.Until = max(x.Until, y.expires)
		}
		out = append(out, x)
	}
	return sortLoans(out)
}

func sortLoans(all []Loan) []Loan {
	slices.SortFunc(all, func(a, b Loan) int {
		return cmp.Or(cmp.Compare(a.With, b.With), cmp.Compare(a.Grains, b.Grains), cmp.Compare(a.Until, b.Until))
	})
	return all
}
