package escrow

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func TestBasesAddUpToTheWhole(t *testing.T) {
	for _, n := range []int{1, 2, 3, 7, 60, 300, 999} {
		sum := int64(0)
		for i := -2; i < n+2; i++ {
			sum += Base(i, n)
		}
		if sum != BudgetGrains {
			t.Errorf("%d nodes own %d of %d", n, sum, BudgetGrains)
		}
	}
}

// settled is a ledger whose first moments are over.
func settled(number, nodes int) (*Ledger, time.Duration) {
	l := New(DefaultTerms(), Node{number, 1}, nodes, 0)
	now := time.Duration(0)
	for ; now < DefaultTerms().out(); now += 500 * ms {
		l.Spendable(now, "b")
	}
	return l, now
}

func TestALoanGoesOverAndComesBack(t *testing.T) {
	lender, now := settled(0, 4)
	borrower, _ := settled(1, 4)
	base := Base(0, 4)
	a := borrower.RequestLoan(now, "b", 0, base/2)
	g, ok := lender.Lend(now, a)
	if !ok || g.Grains != base/2 || lender.Spendable(now, "b") != base/2 {
		t.Fatalf("lent %+v (%v), left %d", g, ok, lender.Spendable(now, "b"))
	}
	if again, ok := lender.Lend(now, a); !ok || again != g || lender.Spendable(now, "b") != base/2 {
		t.Errorf("a doubled ask got %+v (%v), left %d", again, ok, lender.Spendable(now, "b"))
	}
	if !borrower.AcceptGrant(now, 0, g) || borrower.AcceptGrant(now, 0, g) || borrower.Spendable(now, "b") != base+base/2 {
		t.Errorf("the borrower has %d", borrower.Spendable(now, "b"))
	}
	back, ok := borrower.ReturnLoan(now, "b", 0)
	if !ok || borrower.Spendable(now, "b") != base {
		t.Errorf("after giving back the borrower has %d", borrower.Spendable(now, "b"))
	}
	lender.AcceptReturn(now, back)
	lender.AcceptReturn(now, back)
	if got := lender.Spendable(now, "b"); got != base {
		t.Errorf("the lender has %d of %d again", got, base)
	}
}

// A lost answer is out for its owner until its end, and the ask may be made again.
func TestALostGrantIsOutForItsTerm(t *testing.T) {
	lender, now := settled(0, 4)
	borrower, _ := settled(1, 4)
	base := Base(0, 4)
	lender.Lend(now, borrower.RequestLoan(now, "b", 0, base/2))
	second := borrower.RequestLoan(now+100*ms, "b", 0, base/4)
	if g, _ := lender.Lend(now+100*ms, second); g.Grains != base/4 {
		t.Errorf("lent %d again, want %d: the one life holds one loan", g.Grains, base/4)
	}
	if got := lender.Spendable(now+200*ms, "b"); got != base-base/2 {
		t.Errorf("%d are the lender's, want half: the first grant may have arrived", got)
	}
	end := now + 100*ms + DefaultTerms().out()
	for at := now + 300*ms; at < end; at += 200 * ms {
		if got := lender.Spendable(at, "b"); got > base-base/4 {
			t.Fatalf("%d are the lender's %v before the loan's end", got, end-at)
		}
	}
	if got := lender.Spendable(end, "b"); got != base {
		t.Errorf("%d of %d are the lender's after the loan's end", got, base)
	}
}

func TestAStallEndsWhatIsHeldAndNotWhatIsLent(t *testing.T) {
	node, now := settled(0, 4)
	other, _ := settled(1, 4)
	base := Base(0, 4)
	g, _ := other.Lend(now, node.RequestLoan(now, "b", 1, base/4))
	node.AcceptGrant(now, 1, g)
	node.Lend(now, other.RequestLoan(now, "b", 0, base/2))
	if got := node.Spendable(now, "b"); got != base-base/2+base/4 {
		t.Fatalf("%d before the stall", got)
	}
	if got := node.Spendable(now+8*time.Second, "b"); got != base-base/2 {
		t.Errorf("%d after 8 s in which it did not run, want its own less what it lent", got)
	}
	if got := node.Spendable(now+3*time.Second, "b"); got != base-base/2 {
		t.Errorf("%d after its clock went back", got)
	}
}

func TestALaterLifeKeepsToWhatWasNeverLent(t *testing.T) {
	lender, now := settled(0, 4)
	borrower, _ := settled(1, 4)
	base := Base(0, 4)
	g, _ := lender.Lend(now, borrower.RequestLoan(now, "b", 0, base))
	borrower.AcceptGrant(now, 0, g)
	if g.Grains != base-int64(DefaultTerms().NeverLent*float64(base)) {
		t.Errorf("lent %d of %d", g.Grains, base)
	}
	again := New(DefaultTerms(), Node{0, 2}, 4, now+100*ms)
	if got := again.Spendable(now+100*ms, "b"); got != base-g.Grains {
		t.Errorf("the next life has %d, want the %d that were never lent", got, base-g.Grains)
	}
	if got, _ := again.Lend(now+200*ms, LoanRequest{"b", Node{2, 1}, 1, base}); got.Grains != 0 {
		t.Errorf("the next life lends %d that may be out", got.Grains)
	}
}

// An answer to an ask of an earlier life is none to that life's successor, which counts its asks from the start again.
func TestAGrantIsForTheLifeThatAsked(t *testing.T) {
	lender, now := settled(0, 4)
	first, _ := settled(1, 4)
	g, _ := lender.Lend(now, first.RequestLoan(now, "b", 0, 1000))
	next := New(DefaultTerms(), Node{1, 2}, 4, now)
	next.RequestLoan(now, "b", 0, 1000)
	if next.AcceptGrant(now, 0, g) {
		t.Error("it took the grant of the life before it")
	}
}

func TestPlanMovesPartsToWhereTheDemandIs(t *testing.T) {
	const nodes = 4
	var ls []*Ledger
	var now time.Duration
	for i := range nodes {
		l, at := settled(i, nodes)
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
		t.Errorf("parts %.3f %.3f %.3f %.3f for a demand of 90, 5, 5, 0", have(0), have(1), have(2), have(3))
	}
	run([]Demand{{0, 1, 0}, {1, 90, 0}, {2, 5, 0}, {3, 4, 0}}, 40)
	if have(1) < 0.7 || have(0) > 0.27 {
		t.Errorf("parts %.3f %.3f after the demand moved on", have(0), have(1))
	}
	// Nobody tells anything any more: every node has its own again, after the terms.
	run([]Demand{{0, 1, time.Minute}, {1, 90, time.Minute}, {2, 5, time.Minute}, {3, 4, time.Minute}}, 40)
	for i := range nodes {
		if got := ls[i].Spendable(now, "b"); got != Base(i, nodes) {
			t.Errorf("node %d has %d of its %d", i, got, Base(i, nodes))
		}
	}
	if s := Shares([]Demand{{0, 10, 0}, {1, -1, 0}}, 4, time.Second); s[0] != Base(0, 4) || s[1] != Base(1, 4) {
		t.Errorf("beside members of whom nothing is known the shares are %v", s)
	}
}

// world plays nodes with clocks of their own, and a network that loses, doubles, delays and turns round what it carries.
type world struct {
	t      *rapid.T
	now    time.Duration
	nodes  []*seat
	flying []flight
	lives  uint64
}

type seat struct {
	l      *Ledger
	number int
	rate   float64
	offset time.Duration
	stall  time.Duration // until then it does not run
	cut    int           // the side of a partition that it is on
}

type flight struct {
	from, to int
	what     any
}

func (s *seat) clock(now time.Duration) time.Duration {
	return s.offset + time.Duration(float64(now)*s.rate)
}

func (w *world) send(from, to int, what any) {
	if w.nodes[from].cut != w.nodes[to].cut {
		return
	}
	if rapid.IntRange(0, 9).Draw(w.t, "fate") < 2 {
		return
	}
	w.flying = append(w.flying, flight{from, to, what})
	if rapid.IntRange(0, 9).Draw(w.t, "double") < 3 {
		w.flying = append(w.flying, flight{from, to, what})
	}
}

func (w *world) deliver(f flight) {
	s := w.nodes[f.to]
	if s.stall > w.now { // what comes meanwhile waits in its socket
		w.flying = append(w.flying, f)
		return
	}
	at := s.clock(w.now)
	switch x := f.what.(type) {
	case LoanRequest:
		if g, ok := s.l.Lend(at, x); ok {
			w.send(f.to, f.from, g)
		}
	case Grant:
		s.l.AcceptGrant(at, f.from, x)
	case Return:
		s.l.AcceptReturn(at, x)
	}
}

// check holds what all nodes that run could spend at this moment against the budget.
func (w *world) check() {
	sum, parts := int64(0), []int64(nil)
	for _, s := range w.nodes {
		if s.stall <= w.now {
			n := s.l.Spendable(s.clock(w.now), "b")
			sum, parts = sum+n, append(parts, n)
		}
	}
	if sum > BudgetGrains {
		w.t.Fatalf("at %v %d of %d can be spent: %v", w.now, sum, BudgetGrains, parts)
	}
}

// TestTheSumHolds is the proof by scripts: whatever happens between the nodes, the parts that can be spent at one moment
// never add up to more than the budget.
func TestTheSumHolds(t *testing.T) {
	moved := 0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "nodes")
		w := &world{t: t, lives: 1}
		// Beside the terms in service some in which the drift of the clocks is a good part of a term.
		terms := rapid.SampledFrom([]Terms{DefaultTerms(), {Term: time.Second, Drift: 0.25, MaxStepGap: 300 * ms, NeverLent: 0.25}}).Draw(t, "terms")
		drift := terms.Drift
		for i := range n {
			s := &seat{number: i, rate: rapid.SampledFrom([]float64{1 - drift, 1, 1 + drift}).Draw(t, "rate"),
				offset: time.Duration(rapid.IntRange(0, 100000).Draw(t, "offset")) * ms}
			s.l = New(terms, Node{i, 1}, n, s.clock(0))
			w.nodes = append(w.nodes, s)
		}
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			w.now += time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * ms
			s := w.nodes[rapid.IntRange(0, n-1).Draw(t, "node")]
			awake := s.stall <= w.now
			at := s.clock(w.now)
			other := rapid.IntRange(0, n-1).Draw(t, "other")
			switch rapid.IntRange(0, 11).Draw(t, "what") {
			case 0, 1, 2:
				if awake {
					w.send(s.number, other, s.l.RequestLoan(at, "b", other, rapid.Int64Range(1, BudgetGrains).Draw(t, "want")))
				}
			case 3:
				if awake {
					if back, ok := s.l.ReturnLoan(at, "b", other); ok {
						w.send(s.number, other, back)
					}
				}
			case 4: // a life ends, and the next one begins with nothing known
				w.lives++
				s.l = New(terms, Node{s.number, w.lives}, n, at)
				s.stall = 0
			case 5:
				s.stall = max(s.stall, w.now+time.Duration(rapid.IntRange(100, 9000).Draw(t, "stall"))*ms)
			case 6: // its clock is set while it runs; what is beyond a gap it notices
				if jump := time.Duration(rapid.IntRange(-10000, 10000).Draw(t, "jump")) * ms; awake && (jump < -time.Second || jump > terms.MaxStepGap) {
					s.l.Spendable(at, "b")
					s.offset += jump
				}
			case 7:
				s.cut = rapid.IntRange(0, 1).Draw(t, "side")
			case 8:
				if awake {
					var d []Demand
					for i := range n {
						d = append(d, Demand{i, float64(rapid.IntRange(0, 100).Draw(t, "demand")), 0})
					}
					for _, o := range s.l.Plan(at, "b", d, time.Second) {
						if o.Request != nil {
							w.send(s.number, o.Owner, *o.Request)
						} else {
							w.send(s.number, o.Owner, *o.Return)
						}
					}
				}
			default:
				for range min(len(w.flying), 3) {
					i := rapid.IntRange(0, len(w.flying)-1).Draw(t, "which")
					f := w.flying[i]
					w.flying = slices.Delete(w.flying, i, i+1)
					w.deliver(f)
				}
			}
			w.check()
			for _, s := range w.nodes {
				if s.stall <= w.now && len(s.l.Borrowed(s.clock(w.now), "b")) > 0 {
					moved++
				}
			}
		}
	})
	if moved == 0 {
		t.Error("no loan was ever held: the scripts test nothing")
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
