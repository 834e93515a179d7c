package judge

import (
	"fmt"
	"slices"
	"testing"

	"craneglade/internal/kit/trace"
	"craneglade/internal/shared/escrow"
)

const second = int64(1e6)

// sharedVerdictOf checks records of nodes n1 to n3, in the given order, one per line.
func sharedVerdictOf(recs ...trace.Record) *Verdict {
	j := New(trace.Head{Nodes: []trace.Node{{Name: "n1"}, {Name: "n2"}, {Name: "n3"}}})
	for i, r := range append(recs, trace.Record{Kind: trace.End, T: 100 * second}) {
		j.Add(i+2, r)
	}
	return j.Finish()
}

func spendRecord(at int64, node string, own int64, loans ...trace.Loan) trace.Record {
	return trace.Record{Kind: trace.Spend, T: at, Node: node, Text: "quota/a", Own: own, Loans: loans}
}

func processAt(at int64, node, state string) trace.Record {
	return trace.Record{Kind: trace.Process, T: at, Node: node, State: state}
}

func TestSharedBounds(t *testing.T) {
	half := escrow.BudgetGrains / 2
	loan := func(until int64) trace.Loan { return trace.Loan{Lender: 0, Grains: half, Until: until} }
	view := func(at int64, node string, v trace.Record) trace.Record {
		v.Kind, v.T, v.Node = trace.View, at, node
		return v
	}
	allReady := []trace.Record{processAt(0, "n1", trace.NodeReady), processAt(0, "n2", trace.NodeReady), processAt(0, "n3", trace.NodeReady)}
	requests := func(node string, n int64) (out []trace.Record) { // spread over two seconds
		for i := range n {
			out = append(out, trace.Record{Kind: trace.Sent, T: 2 * second * i / n, ID: fmt.Sprint("r", i), Node: node, Tenant: "a", Conn: i, Timeout: second},
				trace.Record{Kind: trace.Got, T: 2*second*i/n + 1, ID: fmt.Sprint("r", i), Node: node, Conn: i, Status: 503})
		}
		return out
	}
	counted := func(incarnation, epoch uint64, sum, from, to int64) trace.Record {
		return trace.Record{ConfirmedAlive: 1, Counts: []trace.Count{{Key: "quota/a", Node: 1, Incarnation: incarnation, Epoch: epoch, Sum: sum, From: from, To: to}}}
	}
	for _, c := range []struct {
		name string
		recs []trace.Record
		want string // the violation; "" for none
	}{
		{"exactly the budget", []trace.Record{spendRecord(1, "n1", half), spendRecord(2, "n2", half)}, ""},
		{"more than the budget", []trace.Record{spendRecord(1, "n1", half), spendRecord(2, "n2", half+100)}, Overspent},
		{"lender gives up its share before the loan", []trace.Record{spendRecord(1, "n1", half), spendRecord(2, "n2", half), spendRecord(3, "n1", 0), spendRecord(4, "n2", half, loan(9*second))}, ""},
		{"lender keeps what it lent", []trace.Record{spendRecord(1, "n1", half), spendRecord(2, "n2", half), spendRecord(4, "n2", half, loan(9*second))}, Overspent},
		{"expired loan is not counted", []trace.Record{spendRecord(1, "n2", half, loan(5)), spendRecord(6, "n1", half)}, ""},
		{"expired loan is still reported", []trace.Record{spendRecord(1, "n1", half), spendRecord(6, "n2", half, loan(5))}, Overspent},
		{"killed process spends nothing", []trace.Record{spendRecord(1, "n2", half, loan(9*second)), processAt(2, "n2", trace.Kill), spendRecord(3, "n1", half), spendRecord(4, "n3", half)}, ""},
		{"resumed process still has its loan", []trace.Record{spendRecord(1, "n2", half, loan(9*second)), processAt(2, "n2", trace.Stopped),
			spendRecord(3, "n1", half), processAt(4, "n2", trace.Resumed)}, Overspent},
		{"resumed process with an expired loan", []trace.Record{spendRecord(1, "n2", half, loan(5)), processAt(2, "n2", trace.Stopped), spendRecord(3, "n1", half), processAt(6, "n2", trace.Resumed)}, ""},
		{"ejections at the ceiling", []trace.Record{view(1, "n1", trace.Record{Listed: 8, Ejected: 2, MinVotes: 2})}, ""},
		{"ejections over the ceiling", []trace.Record{view(1, "n1", trace.Record{Listed: 8, Ejected: 3, MinVotes: 2})}, OverEjectionCeiling},
		{"ejection by one vote", []trace.Record{view(1, "n1", trace.Record{Listed: 8, Ejected: 1, MinVotes: 1})}, EjectedWithoutQuorum},
		{"unaware soon after a cut", append(slices.Clone(allReady), trace.Record{Kind: trace.NetworkFault, T: second, Text: "cut 1", How: trace.Begin},
			trace.Record{Kind: trace.NetworkFault, T: 3 * second, Text: "cut 1", How: trace.Ended}, view(10*second, "n1", trace.Record{ConfirmedAlive: 2})), ""},
		{"unaware long after a cut", append(slices.Clone(allReady), trace.Record{Kind: trace.NetworkFault, T: second, Text: "cut 1", How: trace.Begin},
			trace.Record{Kind: trace.NetworkFault, T: 3 * second, Text: "cut 1", How: trace.Ended}, view(16*second, "n1", trace.Record{ConfirmedAlive: 2})), NodesUnaware},
		{"unaware during a cut", append(slices.Clone(allReady), trace.Record{Kind: trace.NetworkFault, T: second, Text: "cut 1", How: trace.Begin}, view(30*second, "n1", trace.Record{ConfirmedAlive: 2})), ""},
		{"more nodes up than believed possible", append(slices.Clone(allReady), view(1, "n1", trace.Record{ConfirmedAlive: 1, MaxAlive: 2})), MembershipOutOfBounds},
		{"fewer nodes up than confirmed", append(slices.Clone(allReady), processAt(2, "n2", trace.Kill), processAt(2, "n3", trace.Kill),
			trace.Record{Kind: trace.NetworkFault, T: 3 * second, Text: "drop-words", How: trace.Begin}, view(10*second, "n1", trace.Record{ConfirmedAlive: 3, MaxAlive: 3}), view(20*second, "n1", trace.Record{ConfirmedAlive: 2, MaxAlive: 3})), MembershipOutOfBounds},
		{"exact count", append(requests("n2", 20), view(3*second, "n1", counted(1, 4, 20, 0, 2*second))), ""},
		{"count of twice as many", append(requests("n2", 20), view(3*second, "n1", counted(1, 4, 40, 0, 2*second))), Miscounted},
		{"count of too few", append(requests("n2", 20), view(3*second, "n1", counted(1, 4, 3, 0, 2*second))), Miscounted},
		{"count of a node that was stopped", append(requests("n2", 20), processAt(second, "n2", trace.Stopped), processAt(2*second, "n2", trace.Resumed),
			view(3*second, "n1", counted(1, 4, 3, 0, 2*second))), ""},
		{"older epoch after a newer one", []trace.Record{view(1, "n1", counted(1, 9, 0, 0, 1)), view(2, "n1", counted(1, 8, 0, 0, 1))}, CountRegressed},
		{"older incarnation after a newer one", []trace.Record{view(1, "n1", counted(2, 1, 0, 0, 1)), view(2, "n1", counted(1, 8, 0, 0, 1))}, CountRegressed},
		{"older epoch at a restarted process", []trace.Record{view(1, "n1", counted(1, 9, 0, 0, 1)), processAt(2, "n1", trace.Started),
			view(3, "n1", counted(1, 8, 0, 0, 1))}, ""},
		{"stale count without faults", append(slices.Clone(allReady), view(second, "n1", counted(1, 1, 0, 0, 1)), view(20*second, "n1", trace.Record{ConfirmedAlive: 3, RefreshInterval: 3 * second})), StaleCount},
		{"stale count of a killed node", append(slices.Clone(allReady), view(second, "n1", counted(1, 1, 0, 0, 1)), processAt(2*second, "n2", trace.Kill),
			view(20*second, "n1", trace.Record{ConfirmedAlive: 2, RefreshInterval: 3 * second})), ""},
	} {
		v := sharedVerdictOf(c.recs...)
		if c.want == "" && (len(v.Violations) > 0 || !v.Kept(SharedInBounds)) || c.want != "" && (len(v.Violations) != 1 || v.Violations[0].Name != c.want || v.Violations[0].Rule != SharedInBounds) {
			t.Errorf("%s: %+v, want %q", c.name, v.Violations, c.want)
		}
		if rules := v.Rules(); !slices.Contains(rules, SharedInBounds) {
			t.Errorf("%s: the fifth rule is not among %v", c.name, rules)
		}
	}
	if rules := sharedVerdictOf(allReady...).Rules(); slices.Contains(rules, SharedInBounds) {
		t.Errorf("nodes that share nothing are checked against %v", rules)
	}
}

// Delays of a node while its process is stopped are excused; delays of other nodes and later ones are not.
func TestStoppedProcessIsExcused(t *testing.T) {
	timedOut := func(at int64, id, node string) []trace.Record {
		return []trace.Record{{Kind: trace.Sent, T: at, ID: id, Node: node, Conn: at, Timeout: second / 2},
			{Kind: trace.GaveUp, T: at + second/2, ID: id, Node: node, Conn: at, Why: "time"}}
	}
	v := sharedVerdictOf(slices.Concat([]trace.Record{processAt(second, "n1", trace.Stopped)}, timedOut(2*second, "a", "n1"), timedOut(2*second+1, "b", "n2"),
		[]trace.Record{processAt(4*second, "n1", trace.Resumed)}, timedOut(8*second, "c", "n1"))...)
	if v.Excused != 1 || len(v.Violations) != 2 || v.Violations[0].Request != "b" || v.Violations[1].Request != "c" {
		t.Errorf("%d excused, %+v", v.Excused, v.Violations)
	}
}
