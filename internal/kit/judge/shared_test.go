package judge

import (
	"fmt"
	"slices"
	"testing"

	"craneglade/internal/kit/trace"
	"craneglade/internal/shared/escrow"
)

const second = int64(1e6)

// heard judges records in the order given, a line each, of nodes n1 to n3.
func heard(recs ...trace.Record) *Verdict {
	j := New(trace.Head{Nodes: []trace.Node{{Name: "n1"}, {Name: "n2"}, {Name: "n3"}}})
	for i, r := range append(recs, trace.Record{Kind: trace.End, T: 100 * second}) {
		j.Add(i+2, r)
	}
	return j.Finish()
}

func spend(at int64, node string, own int64, loans ...trace.Loan) trace.Record {
	return trace.Record{Kind: trace.Spend, T: at, Node: node, Text: "quota/a", Own: own, Loans: loans}
}

func process(at int64, node, state string) trace.Record {
	return trace.Record{Kind: trace.Process, T: at, Node: node, State: state}
}

func TestSharedBounds(t *testing.T) {
	half := escrow.BudgetGrains / 2
	loan := func(until int64) trace.Loan { return trace.Loan{Lender: 0, Grains: half, Until: until} }
	view := func(at int64, node string, v trace.Record) trace.Record {
		v.Kind, v.T, v.Node = trace.View, at, node
		return v
	}
	up := []trace.Record{process(0, "n1", trace.NodeReady), process(0, "n2", trace.NodeReady), process(0, "n3", trace.NodeReady)}
	asks := func(node string, n int64) (out []trace.Record) { // over two seconds
		for i := range n {
			out = append(out, trace.Record{Kind: trace.Sent, T: 2 * second * i / n, ID: fmt.Sprint("r", i), Node: node, Tenant: "a", Conn: i, Timeout: second},
				trace.Record{Kind: trace.Got, T: 2*second*i/n + 1, ID: fmt.Sprint("r", i), Node: node, Conn: i, Status: 503})
		}
		return out
	}
	counted := func(life, epoch uint64, sum, from, to int64) trace.Record {
		return trace.Record{ConfirmedAlive: 1, Counts: []trace.Count{{Key: "quota/a", Node: 1, Incarnation: life, Epoch: epoch, Sum: sum, From: from, To: to}}}
	}
	for _, c := range []struct {
		name string
		recs []trace.Record
		want string // "" for nothing
	}{
		{"all of it and no more", []trace.Record{spend(1, "n1", half), spend(2, "n2", half)}, ""},
		{"more than all", []trace.Record{spend(1, "n1", half), spend(2, "n2", half+100)}, Overspent},
		{"what is lent is off its owner first", []trace.Record{spend(1, "n1", half), spend(2, "n2", half), spend(3, "n1", 0), spend(4, "n2", half, loan(9*second))}, ""},
		{"lent, and kept", []trace.Record{spend(1, "n1", half), spend(2, "n2", half), spend(4, "n2", half, loan(9*second))}, Overspent},
		{"a loan that has ended counts no more", []trace.Record{spend(1, "n2", half, loan(5)), spend(6, "n1", half)}, ""},
		{"one that has ended and is held all the same", []trace.Record{spend(1, "n1", half), spend(6, "n2", half, loan(5))}, Overspent},
		{"a process that was killed holds nothing", []trace.Record{spend(1, "n2", half, loan(9*second)), process(2, "n2", trace.Kill), spend(3, "n1", half), spend(4, "n3", half)}, ""},
		{"one that is stopped spends nothing, and holds what has not ended when it goes on", []trace.Record{spend(1, "n2", half, loan(9*second)), process(2, "n2", trace.Stopped),
			spend(3, "n1", half), process(4, "n2", trace.Resumed)}, Overspent},
		{"nor where its loan has ended meanwhile", []trace.Record{spend(1, "n2", half, loan(5)), process(2, "n2", trace.Stopped), spend(3, "n1", half), process(6, "n2", trace.Resumed)}, ""},
		{"the most that may be out", []trace.Record{view(1, "n1", trace.Record{Listed: 8, Ejected: 2, MinVotes: 2})}, ""},
		{"one more", []trace.Record{view(1, "n1", trace.Record{Listed: 8, Ejected: 3, MinVotes: 2})}, OverEjectionCeiling},
		{"by the word of one", []trace.Record{view(1, "n1", trace.Record{Listed: 8, Ejected: 1, MinVotes: 1})}, EjectedWithoutQuorum},
		{"soon after a cut", append(slices.Clone(up), trace.Record{Kind: trace.NetworkFault, T: second, Text: "cut 1", How: trace.Begin},
			trace.Record{Kind: trace.NetworkFault, T: 3 * second, Text: "cut 1", How: trace.Ended}, view(10*second, "n1", trace.Record{ConfirmedAlive: 2})), ""},
		{"long after it", append(slices.Clone(up), trace.Record{Kind: trace.NetworkFault, T: second, Text: "cut 1", How: trace.Begin},
			trace.Record{Kind: trace.NetworkFault, T: 3 * second, Text: "cut 1", How: trace.Ended}, view(16*second, "n1", trace.Record{ConfirmedAlive: 2})), NodesUnaware},
		{"while it lasts", append(slices.Clone(up), trace.Record{Kind: trace.NetworkFault, T: second, Text: "cut 1", How: trace.Begin}, view(30*second, "n1", trace.Record{ConfirmedAlive: 2})), ""},
		{"more are there than it holds possible", append(slices.Clone(up), view(1, "n1", trace.Record{ConfirmedAlive: 1, MaxAlive: 2})), MembershipOutOfBounds},
		{"fewer are there than it is sure of", append(slices.Clone(up), process(2, "n2", trace.Kill), process(2, "n3", trace.Kill),
			trace.Record{Kind: trace.NetworkFault, T: 3 * second, Text: "drop-words", How: trace.Begin}, view(10*second, "n1", trace.Record{ConfirmedAlive: 3, MaxAlive: 3}), view(20*second, "n1", trace.Record{ConfirmedAlive: 2, MaxAlive: 3})), MembershipOutOfBounds},
		{"a count that is right", append(asks("n2", 20), view(3*second, "n1", counted(1, 4, 20, 0, 2*second))), ""},
		{"a count of twice as many", append(asks("n2", 20), view(3*second, "n1", counted(1, 4, 40, 0, 2*second))), Miscounted},
		{"a count of too few", append(asks("n2", 20), view(3*second, "n1", counted(1, 4, 3, 0, 2*second))), Miscounted},
		{"a count of one that was stopped", append(asks("n2", 20), process(second, "n2", trace.Stopped), process(2*second, "n2", trace.Resumed),
			view(3*second, "n1", counted(1, 4, 3, 0, 2*second))), ""},
		{"an older word after a newer one", []trace.Record{view(1, "n1", counted(1, 9, 0, 0, 1)), view(2, "n1", counted(1, 8, 0, 0, 1))}, CountRegressed},
		{"an older life after a newer one", []trace.Record{view(1, "n1", counted(2, 1, 0, 0, 1)), view(2, "n1", counted(1, 8, 0, 0, 1))}, CountRegressed},
		{"the same of a process that knows nothing yet", []trace.Record{view(1, "n1", counted(1, 9, 0, 0, 1)), process(2, "n1", trace.Started),
			view(3, "n1", counted(1, 8, 0, 0, 1))}, ""},
		{"an old word in a calm fleet", append(slices.Clone(up), view(second, "n1", counted(1, 1, 0, 0, 1)), view(20*second, "n1", trace.Record{ConfirmedAlive: 3, RefreshInterval: 3 * second})), StaleCount},
		{"and of one that is not there", append(slices.Clone(up), view(second, "n1", counted(1, 1, 0, 0, 1)), process(2*second, "n2", trace.Kill),
			view(20*second, "n1", trace.Record{ConfirmedAlive: 2, RefreshInterval: 3 * second})), ""},
	} {
		v := heard(c.recs...)
		if c.want == "" && (len(v.Violations) > 0 || !v.Kept(SharedInBounds)) || c.want != "" && (len(v.Violations) != 1 || v.Violations[0].Name != c.want || v.Violations[0].Rule != SharedInBounds) {
			t.Errorf("%s: %+v, want %q", c.name, v.Violations, c.want)
		}
		if rules := v.Rules(); !slices.Contains(rules, SharedInBounds) {
			t.Errorf("%s: the fifth rule is not among %v", c.name, rules)
		}
	}
	if rules := heard(up...).Rules(); slices.Contains(rules, SharedInBounds) {
		t.Errorf("nodes that share nothing are held against %v", rules)
	}
}

// What a node's process did not do in time while it was stopped is excused, and nothing else of it.
func TestAStoppedProcessIsExcused(t *testing.T) {
	ask := func(at int64, id, node string) []trace.Record {
		return []trace.Record{{Kind: trace.Sent, T: at, ID: id, Node: node, Conn: at, Timeout: second / 2},
			{Kind: trace.GaveUp, T: at + second/2, ID: id, Node: node, Conn: at, Why: "time"}}
	}
	v := heard(slices.Concat([]trace.Record{process(second, "n1", trace.Stopped)}, ask(2*second, "a", "n1"), ask(2*second+1, "b", "n2"),
		[]trace.Record{process(4*second, "n1", trace.Resumed)}, ask(8*second, "c", "n1"))...)
	if v.Excused != 1 || len(v.Violations) != 2 || v.Violations[0].Request != "b" || v.Violations[1].Request != "c" {
		t.Errorf("%d excused, %+v", v.Excused, v.Violations)
	}
}
