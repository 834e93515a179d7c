package judge

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"craneglade/internal/kit/trace"
	"craneglade/internal/shared/escrow"
	"craneglade/internal/shared/judgement"
)

// What nodes share is held against bounds over the whole fleet, by what each node says that it may do, put together from
// outside: no node knows this sum.

const (
	together = int64(12e6) // after so long with nothing between them nodes have to know of each other
	again    = int64(3e6)  // and a seed that is not among the members is asked again after
	settled  = int64(1e6)  // a process that went on has caught up by then
	tolerant = 2           // grains: what rounding may add
	lingers  = int64(15e6) // for how long after its end a node may pass for one that is there
	slop     = int64(4e5)  // between a client's send and its node's count of it
	skewed   = int64(2e5)  // a count that ends further ahead than this is by a clock that was set
	memory   = int64(60e6) // for how long it is kept what a node was asked
)

// span is from one moment to another; to is 0 while it lasts.
type span struct{ from, to int64 }

// spending is what a node says that it may spend of a budget.
type spending struct {
	own   int64
	loans []trace.Loan
	at    int64
	line  int
}

// shared is what is known of what nodes share.
type shared struct {
	budgets map[string]map[string]spending // by budget and node
	over    map[string]bool                // budgets that are overspent now: one violation for each time
	views   map[string]trace.Record        // the latest of each node
	apart   map[string]bool                // nodes that do not know of all others now
	trouble map[string]bool                // what stands between nodes now
	calm    int64                          // since when nothing has
	asks    map[asker][]int64              // when a node was asked for a tenant
	heard   map[string]map[asker]word      // by node, what it has heard of others' counts
}

type asker struct{ node, tenant string }

type word struct {
	life, epoch uint64
	at          int64
}

func newShared() shared {
	return shared{map[string]map[string]spending{}, map[string]bool{}, map[string]trace.Record{}, map[string]bool{}, map[string]bool{}, 0,
		map[asker][]int64{}, map[string]map[asker]word{}}
}

// excused tells whether a violation is of a node whose process was stopped then: it could not act in time.
func (j *Judge) excused(v *Violation) bool {
	if v.Name != NoAnswer && v.Name != LateAnswer && v.Name != SentToDraining && v.Name != SentAfterEnd {
		return false
	}
	return slices.ContainsFunc(j.node(v.Node).stops, func(s span) bool {
		return v.At >= s.from-settled && (s.to == 0 || v.At <= s.to+settled)
	})
}

// sharerChanged follows a node's process as far as what it shares goes.
func (j *Judge) sharerChanged(r lineRecord) {
	n := j.node(r.Node)
	switch r.State {
	case trace.Stopped:
		n.stops = append(n.stops, span{r.T, 0})
	case trace.Resumed:
		if k := len(n.stops); k > 0 && n.stops[k-1].to == 0 {
			n.stops[k-1].to = r.T
			for budget := range j.shared.budgets {
				j.add(r, budget)
			}
		}
	case trace.NodeReady:
		n.up = true
	case trace.Started, trace.Kill, trace.Crashed, trace.Exited, trace.Term:
		n.up = false
		if r.State == trace.Started {
			delete(j.shared.heard, r.Node) // it knows nothing yet
		} else if r.State != trace.Term {
			n.endedAt = r.T
		}
		if r.State != trace.Term { // one that is asked to end still serves, and spends
			for _, nodes := range j.shared.budgets {
				delete(nodes, r.Node)
			}
		}
	default:
		return
	}
	j.shared.calm = max(j.shared.calm, r.T)
}

// stopped tells whether a node's process stands still.
func (j *Judge) stopped(name string) bool {
	s := j.node(name).stops
	return len(s) > 0 && s[len(s)-1].to == 0
}

func (j *Judge) spend(r lineRecord) {
	j.verdict.SharingRecords++
	nodes := j.shared.budgets[r.Text]
	if nodes == nil {
		nodes = map[string]spending{}
		j.shared.budgets[r.Text] = nodes
	}
	nodes[r.Node] = spending{r.Own, r.Loans, r.T, r.line}
	j.add(r, r.Text)
}

// add holds what all nodes may spend of a budget at a moment against the budget. A loan counts until its end, and at the
// moment at which its holder says that it has it.
func (j *Judge) add(r lineRecord, budget string) {
	sum, text, lines := int64(0), "", []int(nil)
	nodes := j.shared.budgets[budget]
	for _, name := range slices.Sorted(maps.Keys(nodes)) {
		s := nodes[name]
		if j.stopped(name) {
			continue
		}
		n := s.own
		for _, l := range s.loans {
			if l.Until > r.T || s.at == r.T {
				n += l.Grains
			}
		}
		sum += n
		text += fmt.Sprintf(", %s %.2f%%", name, 100*float64(n)/float64(escrow.BudgetGrains))
		lines = append(lines, s.line)
	}
	over := sum > escrow.BudgetGrains+tolerant*int64(len(nodes))
	if over && !j.shared.over[budget] {
		j.addViolation(Violation{Rule: SharedInBounds, Name: Overspent, At: r.T, Node: r.Node, Lines: lines,
			Text: fmt.Sprintf("%.2f%% of %s can be spent at once: %s", 100*float64(sum)/float64(escrow.BudgetGrains), budget, text[2:])})
	}
	j.shared.over[budget] = over
}

func (j *Judge) view(r lineRecord) {
	j.verdict.SharingRecords++
	j.apart(r)
	j.members(r)
	for _, c := range r.Counts {
		j.count(r, c)
	}
	j.behind(r)
	old := j.shared.views[r.Node]
	j.shared.views[r.Node] = r.Record
	l := judgement.DefaultLimits()
	if most := int(math.Floor(l.MaxFleetFraction * float64(r.Listed))); r.Ejected > most && old.Ejected <= most {
		j.addViolation(Violation{Rule: SharedInBounds, Name: OverEjectionCeiling, At: r.T, Node: r.Node, Lines: []int{r.line},
			Text: fmt.Sprintf("%d of %d boxes are out by hearsay, and %d are the most", r.Ejected, r.Listed, most)})
	}
	if r.Ejected > 0 && r.MinVotes < l.Quorum && (old.Ejected == 0 || old.MinVotes >= l.Quorum) {
		j.addViolation(Violation{Rule: SharedInBounds, Name: EjectedWithoutQuorum, At: r.T, Node: r.Node, Lines: []int{r.line},
			Text: fmt.Sprintf("a box is out by the word of %d nodes, and %d are the least", r.MinVotes, l.Quorum)})
	}
}

// apart looks whether a node knows of the others, once nothing has stood between them for long.
func (j *Judge) apart(r lineRecord) {
	// What is older than three turns tells nothing of now, and a seed is asked again after 3 s.
	if bound := max(together, 3*r.RefreshInterval+again); len(j.shared.trouble) > 0 || r.T-j.shared.calm < bound || !j.node(r.Node).up {
		return
	}
	up := 0
	for _, n := range j.nodes {
		if n.up {
			up++
		}
	}
	if r.ConfirmedAlive == up {
		delete(j.shared.apart, r.Node)
		return
	}
	if !j.shared.apart[r.Node] {
		j.shared.apart[r.Node] = true
		j.addViolation(Violation{Rule: SharedInBounds, Name: NodesUnaware, At: r.T, Node: r.Node, Lines: []int{r.line},
			Text: fmt.Sprintf("it is sure of %d nodes, and %d are up, %v after the last trouble between them", r.ConfirmedAlive, up, rounded(r.T-j.shared.calm))})
	}
}

// members holds what a node believes of the fleet's size against who is there.
func (j *Judge) members(r lineRecord) {
	up, may := 0, 0
	for _, n := range j.nodes {
		if n.up {
			up++
		}
		if n.up || n.startedAt > n.endedAt || n.endedAt > 0 && r.T-n.endedAt < lingers {
			may++
		}
	}
	if r.MaxAlive > 0 && (up > r.MaxAlive || r.ConfirmedAlive > may) {
		j.addViolation(Violation{Rule: SharedInBounds, Name: MembershipOutOfBounds, At: r.T, Node: r.Node, Lines: []int{r.line},
			Text: fmt.Sprintf("it holds %d to %d nodes possible, and %d are up, %d were lately", r.ConfirmedAlive, r.MaxAlive, up, may)})
	}
}

// countAsked notes a request at a node.
func (j *Judge) countAsked(r lineRecord) {
	k := asker{r.Node, r.Tenant}
	all := append(j.shared.asks[k], r.T)
	if old := r.T - memory; all[0] < old {
		i, _ := slices.BinarySearch(all, old)
		all = slices.Delete(all, 0, i)
	}
	j.shared.asks[k] = all
}

// between is how often a node was asked for a tenant in a time.
func (j *Judge) between(k asker, from, to int64) int64 {
	all := j.shared.asks[k]
	a, _ := slices.BinarySearch(all, from)
	b, _ := slices.BinarySearch(all, to)
	return int64(max(0, b-a))
}

// count holds what a node has heard of another's count against the word before and against what that one was asked.
func (j *Judge) count(r lineRecord, c trace.Count) {
	if c.Node < 0 || c.Node >= len(j.head.Nodes) {
		return
	}
	of := j.head.Nodes[c.Node].Name
	_, tenant, _ := strings.Cut(c.Key, "/")
	k := asker{of, tenant}
	known := j.shared.heard[r.Node]
	if known == nil {
		known = map[asker]word{}
		j.shared.heard[r.Node] = known
	}
	old := known[k]
	known[k] = word{c.Incarnation, c.Epoch, r.T}
	if c.Incarnation < old.life || c.Incarnation == old.life && c.Epoch < old.epoch {
		j.addViolation(Violation{Rule: SharedInBounds, Name: CountRegressed, At: r.T, Node: r.Node, Lines: []int{r.line},
			Text: fmt.Sprintf("of node %s it knew life %d, epoch %d of %s, and now life %d, epoch %d", of, old.life, old.epoch, c.Key, c.Incarnation, c.Epoch)})
		return
	}
	late := slices.ContainsFunc(j.node(of).stops, func(s span) bool { return s.from <= c.To && (s.to == 0 || s.to >= c.From-settled) })
	if late || c.To > r.T+skewed || c.From < r.T-memory {
		return // counted once it went on, or by a clock that was set
	}
	least, most := j.between(k, c.From+slop, c.To-slop), j.between(k, c.From-slop, c.To+slop)
	if c.Sum > most+1 || c.Sum < least*3/4-2 {
		j.addViolation(Violation{Rule: SharedInBounds, Name: Miscounted, At: r.T, Node: r.Node, Lines: []int{r.line},
			Text: fmt.Sprintf("node %s is said to have been asked %d times for %s within %v before %v, and was %d to %d times", of, c.Sum, tenant,
				rounded(c.To-c.From), duration(c.To).Round(time.Millisecond), least, most)})
	}
}

// behind looks whether a node goes by old counts of others, once nothing has stood between them for long.
func (j *Judge) behind(r lineRecord) {
	if len(j.shared.trouble) > 0 || r.T-j.shared.calm < together || !j.node(r.Node).up || r.RefreshInterval == 0 {
		return
	}
	known := j.shared.heard[r.Node]
	for _, k := range slices.SortedFunc(maps.Keys(known), func(a, b asker) int { return cmp.Or(cmp.Compare(a.node, b.node), cmp.Compare(a.tenant, b.tenant)) }) {
		h := known[k]
		if n := j.node(k.node); !n.up || h.at == 0 || r.T-h.at < max(together, 4*r.RefreshInterval) {
			continue
		}
		known[k] = word{h.life, h.epoch, r.T} // once for each time
		j.addViolation(Violation{Rule: SharedInBounds, Name: StaleCount, At: r.T, Node: r.Node, Lines: []int{r.line},
			Text: fmt.Sprintf("its latest word of node %s's count of %s is %v old", k.node, k.tenant, rounded(r.T-h.at))})
	}
}

// networkChanged follows what stands between nodes.
func (j *Judge) networkChanged(r lineRecord) {
	j.shared.calm = r.T
	if r.How == trace.Ended {
		delete(j.shared.trouble, r.Text)
	} else {
		j.shared.trouble[r.Text] = true
	}
}
