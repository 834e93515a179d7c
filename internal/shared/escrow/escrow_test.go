package escrow

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func TestBaseSumsToBudget(t *testing.T) {
	for _, n := range []int{1, 2, 3, 7, 60, 300, 999} {
		sum := int64(0)
		for i := -2; i < n+2; i++ {
			sum += Base(i, n)
		}
		if sum != BudgetGrains {
			t.Errorf("%d nodes: the shares add up to %d, want %d", n, sum, BudgetGrains)
		}
	}
}

// newEstablishedLedger returns the ledger of a node that has run long enough to lend, and the time.
func newEstablishedLedger(number, nodes int) (*Ledger, time.Duration) {
	l := New(DefaultTerms(), Node{number, 1}, nodes, 0)
	now := time.Duration(0)
	for ; now < DefaultTerms().lenderTerm(); now += 500 * ms {
		l.Spendable(now, "b")
	}
	return l, now
}

func TestLendAndReturn(t *testing.T) {
	lender, now := newEstablishedLedger(0, 4)
	borrower, _ := newEstablishedLedger(1, 4)
	base := Base(0, 4)
	a := borrower.RequestLoan(now, "b", 0, base/2)
	g, ok := lender.Lend(now, a)
	if !ok || g.Grains != base/2 || lender.Spendable(now, "b") != base/2 {
		t.Fatalf("lent %+v (%v), %d left", g, ok, lender.Spendable(now, "b"))
	}
	if again, ok := lender.Lend(now, a); !ok || again != g || lender.Spendable(now, "b") != base/2 {
		t.Errorf("a duplicate request got %+v (%v), %d left", again, ok, lender.Spendable(now, "b"))
	}
	if !borrower.AcceptGrant(now, 0, g) || borrower.AcceptGrant(now, 0, g) || borrower.Spendable(now, "b") != base+base/2 {
		t.Errorf("the borrower has %d", borrower.Spendable(now, "b"))
	}
	back, ok := borrower.ReturnLoan(now, "b", 0)
	if !ok || borrower.Spendable(now, "b") != base {
		t.Errorf("after the return the borrower has %d", borrower.Spendable(now, "b"))
	}
	lender.AcceptReturn(now, back)
	lender.AcceptReturn(now, back)
	if got := lender.Spendable(now, "b"); got != base {
		t.Errorf("after the return the lender has %d of %d", got, base)
	}
}

// The grains of a grant that was lost stay lent until the lender's end of the loan, and the borrower may ask again.
func TestLostGrantStaysLentUntilItsExpiry(t *testing.T) {
	lender, now := newEstablishedLedger(0, 4)
	borrower, _ := newEstablishedLedger(1, 4)
	base := Base(0, 4)
	lender.Lend(now, borrower.RequestLoan(now, "b", 0, base/2))
	second := borrower.RequestLoan(now+100*ms, "b", 0, base/4)
	if g, _ := lender.Lend(now+100*ms, second); g.Grains != base/4 {
		t.Errorf("second request: lent %d, want %d, as an incarnation has one loan at a time", g.Grains, base/4)
	}
	if got := lender.Spendable(now+200*ms, "b"); got != base-base/2 {
		t.Errorf("the lender has %d, want half: the first grant may have arrived", got)
	}
	end := now + 100*ms + DefaultTerms().lenderTerm()
	for at := now + 300*ms; at < end; at += 200 * ms {
		if got := lender.Spendable(at, "b"); got > base-base/4 {
			t.Fatalf("the lender has %d %v before the loan ends", got, end-at)
		}
	}
	if got := lender.Spendable(end, "b"); got != base {
		t.Errorf("the lender has %d of %d after the loan has ended", got, base)
	}
}

func TestStallEndsBorrowedLoansButNotLentOnes(t *testing.T) {
	node, now := newEstablishedLedger(0, 4)
	other, _ := newEstablishedLedger(1, 4)
	base := Base(0, 4)
	g, _ := other.Lend(now, node.RequestLoan(now, "b", 1, base/4))
	node.AcceptGrant(now, 1, g)
	node.Lend(now, other.RequestLoan(now, "b", 0, base/2))
	if got := node.Spendable(now, "b"); got != base-base/2+base/4 {
		t.Fatalf("before the stall: %d", got)
	}
	if got := node.Spendable(now+8*time.Second, "b"); got != base-base/2 {
		t.Errorf("after a stall of 8 s: %d, want its own grains less those that it lent", got)
	}
	if got := node.Spendable(now+3*time.Second, "b"); got != base-base/2 {
		t.Errorf("after its clock went back: %d", got)
	}
}

func TestRestartedLenderSpendsOnlyWhatIsNeverLent(t *testing.T) {
	lender, now := newEstablishedLedger(0, 4)
	borrower, _ := newEstablishedLedger(1, 4)
	base := Base(0, 4)
	g, _ := lender.Lend(now, borrower.RequestLoan(now, "b", 0, base))
	borrower.AcceptGrant(now, 0, g)
	if g.Grains != base-int64(DefaultTerms().NeverLent*float64(base)) {
		t.Errorf("lent %d of %d", g.Grains, base)
	}
	again := New(DefaultTerms(), Node{0, 2}, 4, now+100*ms)
	if got := again.Spendable(now+100*ms, "b"); got != base-g.Grains {
		t.Errorf("after the restart it has %d, want the %d that are never lent", got, base-g.Grains)
	}
	if got, _ := again.Lend(now+200*ms, LoanRequest{"b", Node{2, 1}, 1, base}); got.Grains != 0 {
		t.Errorf("after the restart it lends %d that may be lent already", got.Grains)
	}
}

// A grant to an earlier incarnation is not one to its successor, which numbers its requests from the start again.
func TestGrantToEarlierIncarnationIsRejected(t *testing.T) {
	lender, now := newEstablishedLedger(0, 4)
	first, _ := newEstablishedLedger(1, 4)
	g, _ := lender.Lend(now, first.RequestLoan(now, "b", 0, 1000))
	next := New(DefaultTerms(), Node{1, 2}, 4, now)
	next.RequestLoan(now, "b", 0, 1000)
	if next.AcceptGrant(now, 0, g) {
		t.Error("it accepted a grant to an earlier incarnation")
	}
}

func TestPlanMovesGrainsToDemand(t *testing.T) {
	const nodes = 4
	var ls []*Ledger
	var now time.Duration
	for i := range nodes {
		l, at := newEstablishedLedger(i, nodes)
		ls, now = append(ls, l), at
	}
	run := func(d []Demand, rounds int) {
		for range rounds {
			now += 250 * ms
			for _, l := range ls {
				for _, o := range l.Plan(now, "b", d, time.Second) {
					switch {
					case o.Request != nil:
						if g, ok := ls[o.Owner].Lend(now, *o.Request); ok {
							l.AcceptGrant(now, o.Owner, g)
						}
					case o.Return != nil:
						ls[o.Owner].AcceptReturn(now, *o.Return)
					}
				}
			}
		}
	}
	have := func(i int) float64 { return float64(ls[i].Spendable(now, "b")) / float64(BudgetGrains) }
	run([]Demand{{0, 90, 0}, {1, 5, 0}, {2, 5, 0}, {3, 0, 0}}, 40)
	if have(0) < 0.75 || have(1) < 0.0625 || have(0)+have(1)+have(2)+have(3) > 1 {
		t.Errorf("fractions %.3f %.3f %.3f %.3f for a demand of 90, 5, 5, 0", have(0), have(1), have(2), have(3))
	}
	run([]Demand{{0, 1, 0}, {1, 90, 0}, {2, 5, 0}, {3, 4, 0}}, 40)
	if have(1) < 0.7 || have(0) > 0.27 {
		t.Errorf("fractions %.3f %.3f after the demand moved", have(0), have(1))
	}
	// All demand is stale: after the loans' terms every node has its own share again.
	run([]Demand{{0, 1, time.Minute}, {1, 90, time.Minute}, {2, 5, time.Minute}, {3, 4, time.Minute}}, 40)
	for i := range nodes {
		if got := ls[i].Spendable(now, "b"); got != Base(i, nodes) {
			t.Errorf("node %d has %d, want its own %d", i, got, Base(i, nodes))
		}
	}
	if s := Shares([]Demand{{0, 10, 0}, {1, -1, 0}}, 4, time.Second); s[0] != Base(0, 4) || s[1] != Base(1, 4) {
		t.Errorf("with members of unknown demand the shares are %v", s)
	}
}

// network simulates nodes with their own clocks, and a network that loses, duplicates, delays and reorders messages.
type network struct {
	t            *rapid.T
	now          time.Duration
	nodes        []*simulatedNode
	inFlight     []envelope
	incarnations uint64
}

type simulatedNode struct {
	ledger       *Ledger
	number       int
	clockRate    float64
	clockOffset  time.Duration
	stalledUntil time.Duration // it does not run until then
	partition    int           // side of the network partition that it is on
}

type envelope struct {
	from, to int
	message  any
}

func (s *simulatedNode) clock(now time.Duration) time.Duration {
	return s.clockOffset + time.Duration(float64(now)*s.clockRate)
}

func (w *network) send(from, to int, message any) {
	if w.nodes[from].partition != w.nodes[to].partition {
		return
	}
	if rapid.IntRange(0, 9).Draw(w.t, "fate") < 2 {
		return
	}
	w.inFlight = append(w.inFlight, envelope{from, to, message})
	if rapid.IntRange(0, 9).Draw(w.t, "double") < 3 {
		w.inFlight = append(w.inFlight, envelope{from, to, message})
	}
}

func (w *network) deliver(f envelope) {
	s := w.nodes[f.to]
	if s.stalledUntil > w.now { // a message for a stalled node waits in its socket
		w.inFlight = append(w.inFlight, f)
		return
	}
	at := s.clock(w.now)
	switch x := f.message.(type) {
	case LoanRequest:
		if g, ok := s.ledger.Lend(at, x); ok {
			w.send(f.to, f.from, g)
		}
	case Grant:
		s.ledger.AcceptGrant(at, f.from, x)
	case Return:
		s.ledger.AcceptReturn(at, x)
	}
}

// checkSum fails the test where all running nodes together could now spend more than the budget.
func (w *network) checkSum() {
	sum, parts := int64(0), []int64(nil)
	for _, s := range w.nodes {
		if s.stalledUntil <= w.now {
			n := s.ledger.Spendable(s.clock(w.now), "b")
			sum, parts = sum+n, append(parts, n)
		}
	}
	if sum > BudgetGrains {
		w.t.Fatalf("at %v: the nodes can spend %d, and the budget is %d: %v", w.now, sum, BudgetGrains, parts)
	}
}

// TestSpendableNeverExceedsBudget checks with random scripts that the nodes together can never spend more than the budget, through lost,
// duplicated and reordered messages, partitions, restarts, stalls and clock steps.
func TestSpendableNeverExceedsBudget(t *testing.T) {
	moved := 0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "nodes")
		w := &network{t: t, incarnations: 1}
		// Beside the terms in service, some in which the clock drift is a large fraction of a term.
		terms := rapid.SampledFrom([]Terms{DefaultTerms(), {Term: time.Second, Drift: 0.25, MaxStepGap: 300 * ms, NeverLent: 0.25}}).Draw(t, "terms")
		drift := terms.Drift
		for i := range n {
			s := &simulatedNode{number: i, clockRate: rapid.SampledFrom([]float64{1 - drift, 1, 1 + drift}).Draw(t, "rate"),
				clockOffset: time.Duration(rapid.IntRange(0, 100000).Draw(t, "offset")) * ms}
			s.ledger = New(terms, Node{i, 1}, n, s.clock(0))
			w.nodes = append(w.nodes, s)
		}
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			w.now += time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * ms
			s := w.nodes[rapid.IntRange(0, n-1).Draw(t, "node")]
			running := s.stalledUntil <= w.now
			at := s.clock(w.now)
			other := rapid.IntRange(0, n-1).Draw(t, "other")
			switch rapid.IntRange(0, 11).Draw(t, "what") {
			case 0, 1, 2:
				if running {
					w.send(s.number, other, s.ledger.RequestLoan(at, "b", other, rapid.Int64Range(1, BudgetGrains).Draw(t, "want")))
				}
			case 3:
				if running {
					if back, ok := s.ledger.ReturnLoan(at, "b", other); ok {
						w.send(s.number, other, back)
					}
				}
			case 4: // a node restarts and knows nothing
				w.incarnations++
				s.ledger = New(terms, Node{s.number, w.incarnations}, n, at)
				s.stalledUntil = 0
			case 5:
				s.stalledUntil = max(s.stalledUntil, w.now+time.Duration(rapid.IntRange(100, 9000).Draw(t, "stall"))*ms)
			case 6: // its clock is stepped while it runs, by enough that it notices
				if jump := time.Duration(rapid.IntRange(-10000, 10000).Draw(t, "jump")) * ms; running && (jump < -time.Second || jump > terms.MaxStepGap) {
					s.ledger.Spendable(at, "b")
					s.clockOffset += jump
				}
			case 7:
				s.partition = rapid.IntRange(0, 1).Draw(t, "side")
			case 8:
				if running {
					var d []Demand
					for i := range n {
						d = append(d, Demand{i, float64(rapid.IntRange(0, 100).Draw(t, "demand")), 0})
					}
					for _, o := range s.ledger.Plan(at, "b", d, time.Second) {
						if o.Request != nil {
							w.send(s.number, o.Owner, *o.Request)
						} else {
							w.send(s.number, o.Owner, *o.Return)
						}
					}
				}
			default:
				for range min(len(w.inFlight), 3) {
					i := rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "which")
					f := w.inFlight[i]
					w.inFlight = slices.Delete(w.inFlight, i, i+1)
					w.deliver(f)
				}
			}
			w.checkSum()
			for _, s := range w.nodes {
				if s.stalledUntil <= w.now && len(s.ledger.Borrowed(s.clock(w.now), "b")) > 0 {
					moved++
				}
			}
		}
	})
	if moved == 0 {
		t.Error("no node ever borrowed: the scripts test nothing")
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{3, 30, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := New(DefaultTerms(), Node{1, 1}, n, 0)
			var d []Demand
			for i := range n {
				d = append(d, Demand{i, float64(i % 7), 0})
			}
			b.ReportAllocs()
			now := 10 * time.Second
			for range b.N {
				now += 250 * ms
				l.Plan(now, "b", d, time.Second)
			}
		})
	}
}
