// Package escrow divides budgets among the nodes of a fleet so that what all of them may spend together never passes a
// budget, whatever is lost, doubled, reordered or late, whoever is cut off, stalls or starts again.
//
// A budget is Whole grains. Node i of n owns a fixed part of them, by numbers that the settings tell every node, so that
// owning takes no message. An owner lends grains to a node that needs more, for a term. The borrower counts the term from
// the moment at which it asked, the lender from the moment at which it lent, with the drift of both clocks on top: a
// loan ends at the borrower first. Until its end a lent grain is out, whether or not the loan ever arrived. After a start
// a node leaves alone what a life before it may have lent, for as long as such a loan can last.
//
// There is no I/O, clock or goroutine here: the caller tells the time, as a span since any moment of its own that never
// jumps in its life. It may jump all the same, within what Ledger.advance says. Nothing here is safe for concurrent use.
package escrow

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// BudgetGrains is a budget in grains.
const BudgetGrains = int64(1) << 20

// Terms say for how long parts are lent. The zero value is of no use; Usual is.
type Terms struct {
	Term       time.Duration // of a loan, by the borrower's clock, from its asking on
	Drift      float64       // by how much, as a part, a clock may run faster or slower than true
	MaxStepGap time.Duration // between two steps of one node; after a longer one it is not known how much time has passed
	NeverLent  float64       // part of what a node owns that it never lends
}

// DefaultTerms are the terms in service.
func DefaultTerms() Terms {
	return Terms{Term: 3 * time.Second, Drift: 0.05, MaxStepGap: time.Second, NeverLent: 0.25}
}

// out is for how long a lender counts a loan as out, by its own clock: the whole term on the slowest clock of a borrower,
// read on the fastest clock of a lender, and one step that may have gone by unseen.
func (t Terms) out() time.Duration {
	return time.Duration(float64(t.Term)*(1+t.Drift)/(1-t.Drift)) + t.MaxStepGap
}

// Base is what node number of so many owns of a budget. The parts of all add up to Whole; a number outside the fleet owns
// nothing.
func Base(number, nodes int) int64 {
	if number < 0 || number >= nodes {
		return 0
	}
	i, n := int64(number), int64(nodes)
	return BudgetGrains*(i+1)/n - BudgetGrains*i/n
}

// Node names one life of a node.
type Node struct {
	Number      int
	Incarnation uint64 // higher in each later life under a number
}

// LoanRequest asks an owner for grains. A later ask of one life has a higher Nonce, and stands for what was lent before too.
type LoanRequest struct {
	Budget string
	From   Node
	Nonce  uint64
	Grains int64
}

// Grant answers an ask, with what was lent; 0 for nothing. It names the life that asked: a later one counts its asks
// from the start again.
type Grant struct {
	Budget string
	To     Node
	Nonce  uint64
	Grains int64
}

// Return tells an owner that its borrower holds nothing any more of what was lent up to Nonce.
type Return struct {
	Budget string
	From   Node
	Nonce  uint64
}

// Loan is what another node holds of this one's grains, or this one of another's.
type Loan struct {
	With   int // the other node's number
	Grains int64
	Until  time.Duration
}

type lent struct {
	nonce  uint64
	grains int64
	until  time.Duration
}

// debtor is one life that was lent to. It holds one of the loans at a time, and which one its owner does not know.
type debtor struct {
	latest uint64 // nonce
	loans  []lent
}

func (d *debtor) out() (most int64) {
	for _, l := range d.loans {
		most = max(most, l.grains)
	}
	return most
}

type asked struct {
	nonce uint64
	at    time.Duration
	want  int64
}

type book struct {
	base    int64
	need    int64 // the owner keeps so much of its own if it can
	debtors map[Node]*debtor
	asks    map[int]asked // the latest to each owner that was not answered
	held    map[int]lent  // by owner
	nonces  map[int]uint64
}

// Ledger is one node's account of every budget.
type Ledger struct {
	terms  Terms
	self   Node
	nodes  int
	nonce  uint64
	now    time.Duration
	shyFor time.Duration // what a life before this one may have lent is out until then
	books  map[string]*book
}

// New returns the ledger of a node that has just started.
func New(terms Terms, self Node, nodes int, now time.Duration) *Ledger {
	return &Ledger{terms: terms, self: self, nodes: nodes, now: now, shyFor: now + terms.out(), books: map[string]*book{}}
}

func (l *Ledger) book(budget string) *book {
	b := l.books[budget]
	if b == nil {
		b = &book{base: Base(l.self.Number, l.nodes), debtors: map[Node]*debtor{}, asks: map[int]asked{}, held: map[int]lent{},
			nonces: map[int]uint64{}}
		l.books[budget] = b
	}
	return b
}

// advance takes the ledger to a moment. Where the clock went back, or further on than a step is long, nobody knows how
// much time has passed: for what others hold of this node's grains none did, for what it holds of theirs all of it.
func (l *Ledger) advance(now time.Duration) {
	gap := now - l.now
	l.now = now
	back := gap < 0
	shift := time.Duration(0)
	if back || gap > l.terms.MaxStepGap {
		shift = gap
		l.shyFor += shift
	}
	for _, b := range l.books {
		for who, d := range b.debtors {
			for i := range d.loans {
				d.loans[i].until += shift
			}
			d.loans = slices.DeleteFunc(d.loans, func(x lent) bool { return now >= x.until })
			if len(d.loans) == 0 {
				delete(b.debtors, who) // a late ask that is lent to again is out for a term, and nobody holds it
			}
		}
		if back {
			clear(b.held)
			clear(b.asks)
		}
		maps.DeleteFunc(b.held, func(_ int, x lent) bool { return now >= x.until })
		maps.DeleteFunc(b.asks, func(_ int, a asked) bool { return now >= a.at+l.terms.Term })
	}
}

// lendable is the part of its own that a node may ever lend.
func (l *Ledger) lendable(b *book) int64 { return b.base - int64(l.terms.NeverLent*float64(b.base)) }

// own is what a node has of its own now.
func (l *Ledger) own(b *book) int64 {
	n := b.base
	if l.now < l.shyFor {
		n -= l.lendable(b)
	}
	for _, d := range b.debtors {
		n -= d.out()
	}
	return max(0, n)
}

// Spendable is what the node may spend of a budget now, in grains.
func (l *Ledger) Spendable(now time.Duration, budget string) int64 {
	l.advance(now)
	b := l.book(budget)
	n := l.own(b)
	for _, h := range b.held {
		n += h.grains
	}
	return n
}

// NextExpiry is when what is spendable falls next by time alone, without a message; false where it does not.
func (l *Ledger) NextExpiry(now time.Duration, budget string) (time.Duration, bool) {
	l.advance(now)
	first, any := time.Duration(0), false
	for _, h := range l.book(budget).held {
		if !any || h.until < first {
			first, any = h.until, true
		}
	}
	return first, any
}

// SetNeed tells what the node could use of a budget: of its own it lends no more than what is beyond.
func (l *Ledger) SetNeed(budget string, grains int64) {
	l.book(budget).need = min(max(grains, 0), BudgetGrains)
}

// RequestLoan makes an ask to an owner, which stands until it is answered or a term is over.
func (l *Ledger) RequestLoan(now time.Duration, budget string, owner int, want int64) LoanRequest {
	l.advance(now)
	b := l.book(budget)
	l.nonce++
	b.nonces[owner] = l.nonce
	b.asks[owner] = asked{l.nonce, now, want}
	return LoanRequest{budget, l.self, l.nonce, want}
}

// RequestPending tells whether an ask to an owner is out.
func (l *Ledger) RequestPending(now time.Duration, budget string, owner int) bool {
	l.advance(now)
	_, out := l.book(budget).asks[owner]
	return out
}

// Lend answers an ask; false for one that is not answered: a doubled or late one of before a later one. An ask that came
// before gets the answer that it got then, and nothing more is lent for it.
func (l *Ledger) Lend(now time.Duration, a LoanRequest) (Grant, bool) {
	l.advance(now)
	b := l.book(a.Budget)
	d := b.debtors[a.From]
	if d != nil && a.Nonce <= d.latest {
		if i := slices.IndexFunc(d.loans, func(x lent) bool { return x.nonce == a.Nonce }); i >= 0 {
			return Grant{a.Budget, a.From, a.Nonce, d.loans[i].grains}, true
		}
		return Grant{}, false
	}
	if now < l.shyFor || a.From.Number == l.self.Number {
		return Grant{a.Budget, a.From, a.Nonce, 0}, true
	}
	free := l.lendable(b)
	for who, o := range b.debtors {
		if who != a.From { // what this one holds already it holds no longer once it has the new
			free -= o.out()
		}
	}
	grains := max(0, min(a.Grains, free, b.base-b.need-(l.lendable(b)-free)))
	if grains == 0 {
		return Grant{a.Budget, a.From, a.Nonce, 0}, true
	}
	if d == nil {
		d = &debtor{}
		b.debtors[a.From] = d
	}
	d.latest = a.Nonce
	d.loans = append(d.loans, lent{a.Nonce, grains, now + l.terms.out()})
	return Grant{a.Budget, a.From, a.Nonce, grains}, true
}

// AcceptGrant takes an owner's answer, and tells whether it was one to the latest ask. The term runs from that ask on.
func (l *Ledger) AcceptGrant(now time.Duration, owner int, g Grant) bool {
	l.advance(now)
	b := l.book(g.Budget)
	a, out := b.asks[owner]
	if !out || a.nonce != g.Nonce || g.To != l.self {
		return false
	}
	delete(b.asks, owner)
	if until := a.at + l.terms.Term; g.Grains > 0 && now < until {
		b.held[owner] = lent{g.Nonce, min(g.Grains, a.want), until}
	}
	return true
}

// ReturnLoan ends what is held of an owner, and any ask to it; false where there is nothing to tell the owner.
func (l *Ledger) ReturnLoan(now time.Duration, budget string, owner int) (Return, bool) {
	l.advance(now)
	b := l.book(budget)
	_, holds := b.held[owner]
	_, asks := b.asks[owner]
	delete(b.held, owner)
	delete(b.asks, owner)
	return Return{budget, l.self, b.nonces[owner]}, holds || asks
}

// AcceptReturn takes back what a borrower holds no more.
func (l *Ledger) AcceptReturn(now time.Duration, r Return) {
	l.advance(now)
	d := l.book(r.Budget).debtors[r.From]
	if d == nil {
		return
	}
	d.latest = max(d.latest, r.Nonce)
	d.loans = slices.DeleteFunc(d.loans, func(x lent) bool { return x.nonce <= r.Nonce })
	if len(d.loans) == 0 {
		delete(l.book(r.Budget).debtors, r.From)
	}
}

// Borrowed lists what is held of other owners, by their number.
func (l *Ledger) Borrowed(now time.Duration, budget string) []Loan {
	l.advance(now)
	var out []Loan
	for owner, h := range l.book(budget).held {
		out = append(out, Loan{owner, h.grains, h.until})
	}
	return sorted(out)
}

// Lent lists what is out of this node's own, by borrower. Lives of one number are listed apart.
func (l *Ledger) Lent(now time.Duration, budget string) []Loan {
	l.advance(now)
	var out []Loan
	for who, d := range l.book(budget).debtors {
		x := Loan{With: who.Number, Grains: d.out()}
		for _, y := range d.loans {
			x.Until = max(x.Until, y.until)
		}
		out = append(out, x)
	}
	return sorted(out)
}

func sorted(all []Loan) []Loan {
	slices.SortFunc(all, func(a, b Loan) int {
		return cmp.Or(cmp.Compare(a.With, b.With), cmp.Compare(a.Grains, b.Grains), cmp.Compare(a.Until, b.Until))
	})
	return all
}
