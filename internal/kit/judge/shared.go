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

// This file checks rule 5. It adds up over the fleet what each node reports that it may spend or believes, and checks the
// result against fleet-wide bounds. No node knows these sums.

// Times are in microseconds.
const (
	membershipDelay       = int64(12e6) // after this long without faults between them nodes have to know of each other
	seedRetryDelay        = int64(3e6)  // a seed that is not among the members is contacted again after this
	resumeSlack           = int64(1e6)  // a process has caught up this long after it was resumed
	roundingGrains        = 2           // per node: what rounding may add
	endedNodeDelay        = int64(15e6) // how long an ended node may still be counted as alive
	countSlack            = int64(4e5)  // between a client's send and the time at which its node counts it
	maxClockLead          = int64(2e5)  // a count that ends further in the future comes from a clock that was set
	requestTimesRetention = int64(60e6) // how long the times of requests are kept
)

// span is a time span; to is 0 while it lasts.
type span struct{ from, to int64 }

// spendable is what a node reports that it may spend of a budget.
type spendable struct {
	own        int64
	loans      []trace.Loan
	reportedAt int64
	line       int
}

// sharedState is what nodes reported of the state that they share.
type sharedState struct {
	budgets        map[string]map[string]spendable        // by budget and node
	overspent      map[string]bool                        // budgets that are overspent now, so that each time gives one violation
	lastViews      map[string]trace.Record                // the latest of each node
	unaware        map[string]bool                        // nodes that don't know of all others now
	faults         map[string]bool                        // active faults between nodes
	calmSince      int64                                  // the last change of a fault or of a process
	requestTimes   map[nodeTenant][]int64                 // of requests at a node for a tenant
	receivedCounts map[string]map[nodeTenant]countVersion // the latest counts of others that a node has received
}

type nodeTenant struct{ node, tenant string }

type countVersion struct {
	incarnation, epoch uint64
	receivedAt         int64
}

func newSharedState() sharedState {
	return sharedState{map[string]map[string]spendable{}, map[string]bool{}, map[string]trace.Record{}, map[string]bool{}, map[string]bool{}, 0,
		map[nodeTenant][]int64{}, map[string]map[nodeTenant]countVersion{}}
}

// excusedByStop reports whether a violation is a delay of a node whose process was stopped then and could not act in time.
func (j *Judge) excusedByStop(v *Violation) bool {
	if v.Name != NoAnswer && v.Name != LateAnswer && v.Name != SentToDraining && v.Name != SentAfterEnd {
		return false
	}
	return slices.ContainsFunc(j.node(v.Node).stops, func(s span) bool {
		return v.At >= s.from-resumeSlack && (s.to == 0 || v.At <= s.to+resumeSlack)
	})
}

// sharingProcessChanged tracks how a node's process changes what it shares.
func (j *Judge) sharingProcessChanged(r lineRecord) {
	n := j.node(r.Node)
	switch r.State {
	case trace.Stopped:
		n.stops = append(n.stops, span{r.T, 0})
	case trace.Resumed:
		if count := len(n.stops); count > 0 && n.stops[count-1].to == 0 {
			n.stops[count-1].to = r.T
			for budget := range j.shared.budgets {
				j.checkBudget(r, budget)
			}
		}
	case trace.NodeReady:
		n.ready = true
	case trace.Started, trace.Kill, trace.Crashed, trace.Exited, trace.Term:
		n.ready = false
		if r.State == trace.Started {
			delete(j.shared.receivedCounts, r.Node) // a new process has received no counts yet
		} else if r.State != trace.Term {
			n.endedAt = r.T
		}
		if r.State != trace.Term { // after SIGTERM a node still serves and spends
			for _, nodes := range j.shared.budgets {
				delete(nodes, r.Node)
			}
		}
	default:
		return
	}
	j.shared.calmSince = max(j.shared.calmSince, r.T)
}

// isStopped reports whether a node's process is stopped (SIGSTOP).
func (j *Judge) isStopped(name string) bool {
	s := j.node(name).stops
	return len(s) > 0 && s[len(s)-1].to == 0
}

func (j *Judge) recordSpendable(r lineRecord) {
	j.verdict.SharingRecords++
	nodes := j.shared.budgets[r.Text]
	if nodes == nil {
		nodes = map[string]spendable{}
		j.shared.budgets[r.Text] = nodes
	}
	nodes[r.Node] = spendable{r.Own, r.Loans, r.T, r.line}
	j.checkBudget(r, r.Text)
}

// checkBudget checks the sum of what all nodes may spend of a budget now against the budget. A loan counts until it expires,
// and also in the report in which its holder lists it.
func (j *Judge) checkBudget(r lineRecord, budget string) {
	sum, text, lines := int64(0), "", []int(nil)
	nodes := j.shared.budgets[budget]
	for _, name := range slices.Sorted(maps.Keys(nodes)) {
		s := nodes[name]
		if j.isStopped(name) {
			continue
		}
		n := s.own
		for _, l := range s.loans {
			if l.Until > r.T || s.reportedAt == r.T {
				n += l.Grains
			}
		}
		sum += n
		text += fmt.Sprintf(", %s %.2f%%", name, 100*float64(n)/float64(escrow.BudgetGrains))
		lines = append(lines, s.line)
	}
	isOverspent := sum > escrow.BudgetGrains+roundingGrains*int64(len(nodes))
	if isOverspent && !j.shared.overspent[budget] {
		j.addViolation(Violation{Rule: SharedInBounds, Name: Overspent, At: r.T, Node: r.Node, Lines: lines,
			Text: fmt.Sprintf("%.2f%% of %s can be spent at once: %s", 100*float64(sum)/float64(escrow.BudgetGrains), budget, text[2:])})
	}
	j.shared.overspent[budget] = isOverspent
}

func (j *Judge) checkView(r lineRecord) {
	j.verdict.SharingRecords++
	j.checkAwareness(r)
	j.checkMembership(r)
	for _, c := range r.Counts {
		j.checkCount(r, c)
	}
	j.checkCountAge(r)
	previous := j.shared.lastViews[r.Node]
	j.shared.lastViews[r.Node] = r.Record
	l := judgement.DefaultLimits()
	if maxEjected := int(math.Floor(l.MaxFleetFraction * float64(r.Listed))); r.Ejected > maxEjected && previous.Ejected <= maxEjected {
		j.addViolation(Violation{Rule: SharedInBounds, Name: OverEjectionCeiling, At: r.T, Node: r.Node, Lines: []int{r.line},
			Text: fmt.Sprintf("%d of %d boxes are out by hearsay, and %d are the most", r.Ejected, r.Listed, maxEjected)})
	}
	if r.Ejected > 0 && r.MinVotes < l.Quorum && (previous.Ejected == 0 || previous.MinVotes >= l.Quorum) {
		j.addViolation(Violation{Rule: SharedInBounds, Name: EjectedWithoutQuorum, At: r.T, Node: r.Node, Lines: []int{r.line},
			Text: fmt.Sprintf("a box is out by the word of %d nodes, and %d are the least", r.MinVotes, l.Quorum)})
	}
}

// checkAwareness checks that a node knows of all others once there has been no fault between nodes for long enough.
func (j *Judge) checkAwareness(r lineRecord) {
	// Information older than three refresh intervals is outdated, and a seed is contacted again after 3 s.
	if delay := max(membershipDelay, 3*r.RefreshInterval+seedRetryDelay); len(j.shared.faults) > 0 || r.T-j.shared.calmSince < delay || !j.node(r.Node).ready {
		return
	}
	ready := 0
	for _, n := range j.nodes {
		if n.ready {
			ready++
		}
	}
	if r.ConfirmedAlive == ready {
		delete(j.shared.unaware, r.Node)
		return
	}
	if !j.shared.unaware[r.Node] {
		j.shared.unaware[r.Node] = true
		j.addViolation(Violation{Rule: SharedInBounds, Name: NodesUnaware, At: r.T, Node: r.Node, Lines: []int{r.line},
			Text: fmt.Sprintf("it is sure of %d nodes, and %d are up, %v after the last trouble between them", r.ConfirmedAlive, ready, rounded(r.T-j.shared.calmSince))})
	}
}

// checkMembership checks a node's bounds on the number of live nodes against the nodes that are up.
func (j *Judge) checkMembership(r lineRecord) {
	ready, possible := 0, 0
	for _, n := range j.nodes {
		if n.ready {
			ready++
		}
		if n.ready || n.startedAt > n.endedAt || n.endedAt > 0 && r.T-n.endedAt < endedNodeDelay {
			possible++
		}
	}
	if r.MaxAlive > 0 && (ready > r.MaxAlive || r.ConfirmedAlive > possible) {
		j.addViolation(Violation{Rule: SharedInBounds, Name: MembershipOutOfBounds, At: r.T, Node: r.Node, Lines: []int{r.line},
			Text: fmt.Sprintf("it holds %d to %d nodes possible, and %d are up, %d were lately", r.ConfirmedAlive, r.MaxAlive, ready, possible)})
	}
}

// recordRequestTime records the time of a request at a node.
func (j *Judge) recordRequestTime(r lineRecord) {
	k := nodeTenant{r.Node, r.Tenant}
	times := append(j.shared.requestTimes[k], r.T)
	if oldest := r.T - requestTimesRetention; times[0] < oldest {
		i, _ := slices.BinarySearch(times, oldest)
		times = slices.Delete(times, 0, i)
	}
	j.shared.requestTimes[k] = times
}

// requestsBetween returns how many requests for a tenant a node got between two times.
func (j *Judge) requestsBetween(k nodeTenant, from, to int64) int64 {
	times := j.shared.requestTimes[k]
	a, _ := slices.BinarySearch(times, from)
	b, _ := slices.BinarySearch(times, to)
	return int64(max(0, b-a))
}

// checkCount checks a count that a node received from another one against the previous one and against the requests that the
// other one got.
func (j *Judge) checkCount(r lineRecord, c trace.Count) {
	if c.Node < 0 || c.Node >= len(j.head.Nodes) {
		return
	}
	counter := j.head.Nodes[c.Node].Name
	_, tenant, _ := strings.Cut(c.Key, "/")
	k := nodeTenant{counter, tenant}
	known := j.shared.receivedCounts[r.Node]
	if known == nil {
		known = map[nodeTenant]countVersion{}
		j.shared.receivedCounts[r.Node] = known
	}
	previous := known[k]
	known[k] = countVersion{c.Incarnation, c.Epoch, r.T}
	if c.Incarnation < previous.incarnation || c.Incarnation == previous.incarnation && c.Epoch < previous.epoch {
		j.addViolation(Violation{Rule: SharedInBounds, Name: CountRegressed, At: r.T, Node: r.Node, Lines: []int{r.line},
			Text: fmt.Sprintf("of node %s it knew life %d, epoch %d of %s, and now life %d, epoch %d", counter, previous.incarnation, previous.epoch, c.Key, c.Incarnation, c.Epoch)})
		return
	}
	unreliable := slices.ContainsFunc(j.node(counter).stops, func(s span) bool { return s.from <= c.To && (s.to == 0 || s.to >= c.From-resumeSlack) })
	if unreliable || c.To > r.T+maxClockLead || c.From < r.T-requestTimesRetention {
		return // counted only after it was resumed, by a clock that was set, or too old to check
	}
	minRequests, maxRequests := j.requestsBetween(k, c.From+countSlack, c.To-countSlack), j.requestsBetween(k, c.From-countSlack, c.To+countSlack)
	if c.Sum > maxRequests+1 || c.Sum < minRequests*3/4-2 {
		j.addViolation(Violation{Rule: SharedInBounds, Name: Miscounted, At: r.T, Node: r.Node, Lines: []int{r.line},
			Text: fmt.Sprintf("node %s is said to have been asked %d times for %s within %v before %v, and was %d to %d times", counter, c.Sum, tenant,
				rounded(c.To-c.From), duration(c.To).Round(time.Millisecond), minRequests, maxRequests)})
	}
}

// checkCountAge checks that the counts a node has received of running nodes are recent once there has been no fault between
// nodes for long enough.
func (j *Judge) checkCountAge(r lineRecord) {
	if len(j.shared.faults) > 0 || r.T-j.shared.calmSince < membershipDelay || !j.node(r.Node).ready || r.RefreshInterval == 0 {
		return
	}
	known := j.shared.receivedCounts[r.Node]
	for _, k := range slices.SortedFunc(maps.Keys(known), func(a, b nodeTenant) int { return cmp.Or(cmp.Compare(a.node, b.node), cmp.Compare(a.tenant, b.tenant)) }) {
		version := known[k]
		if n := j.node(k.node); !n.ready || version.receivedAt == 0 || r.T-version.receivedAt < max(membershipDelay, 4*r.RefreshInterval) {
			continue
		}
		known[k] = countVersion{version.incarnation, version.epoch, r.T} // reports each outage once
		j.addViolation(Violation{Rule: SharedInBounds, Name: StaleCount, At: r.T, Node: r.Node, Lines: []int{r.line},
			Text: fmt.Sprintf("its latest word of node %s's count of %s is %v old", k.node, k.tenant, rounded(r.T-version.receivedAt))})
	}
}

// networkChanged tracks the faults between nodes.
func (j *Judge) networkChanged(r lineRecord) {
	j.shared.calmSince = r.T
	if r.How == trace.Ended {
		delete(j.shared.faults, r.Text)
	} else {
		j.shared.faults[r.Text] = true
	}
}
