package judge

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"craneglade/internal/kit/trace"
)

const milli = int64(1000)

func head() trace.Head {
	return trace.Head{Rules: trace.Rules{AnswerSlack: 20 * milli, DrainGrace: 2000 * milli, OverloadFactor: 4, OverloadDuration: 1500 * milli, Slack: 50 * milli},
		Classes: []trace.Class{{Name: "view", Effect: "safe"}, {Name: "save", Effect: "keyed", Group: "site", Window: 600 * milli},
			{Name: "log", Effect: "keyed", Group: "all", Window: 600 * milli}, {Name: "quote", Effect: "unsafe"}},
		Nodes: []trace.Node{{Name: "n1", Site: "a"}, {Name: "n2", Site: "b"}}}
}

// world is what most cases begin with: two nodes and three boxes, two of them at one site.
func world() []trace.Record {
	var out []trace.Record
	for _, n := range []string{"n1", "n2"} {
		out = append(out, trace.Record{Kind: trace.Process, T: 1, Node: n, State: trace.Started})
		for _, b := range []string{"b1", "b2", "b3"} {
			out = append(out, trace.Record{Kind: trace.Notified, T: 1, Node: n, Backend: b, State: trace.Ready})
		}
	}
	for b, site := range map[string]string{"b1": "a", "b2": "a", "b3": "b"} {
		out = append(out, trace.Record{Kind: trace.Backend, T: 1, Backend: b, Site: site, State: trace.Ready, Cores: 4, FullCores: 4})
	}
	return out
}

// Short forms of the records, with times in milliseconds.
func sentC(t int64, id, class string, conn, wait int64) trace.Record {
	return trace.Record{Kind: trace.Sent, T: t * milli, Node: "n1", ID: id, Class: class, Conn: conn, Timeout: wait * milli}
}
func asked(t int64, id, class string) trace.Record { return sentC(t, id, class, 1, 1000) }
func got(t int64, id string, status int, sum string) trace.Record {
	return trace.Record{Kind: trace.Got, T: t * milli, T0: t * milli, Node: "n1", ID: id, Conn: 1, Status: status, Digest: sum}
}
func recv(t int64, att int64, box, id string) trace.Record {
	return trace.Record{Kind: trace.Received, T: t * milli, T0: t * milli, Node: "n1", Backend: box, ID: id, Attempt: att, Work: 70 * milli}
}
func replied(t int64, att int64, id, how, sum string) trace.Record {
	return trace.Record{Kind: trace.Reply, T: t * milli, ID: id, Attempt: att, How: how, Digest: sum}
}
func with(r trace.Record, change func(*trace.Record)) trace.Record {
	change(&r)
	return r
}
func on(node string, r trace.Record) trace.Record {
	r.Node = node
	return r
}
func telling(t int64, node, box, state string) trace.Record {
	return trace.Record{Kind: trace.Notified, T: t * milli, Node: node, Backend: box, State: state}
}
func proc(t int64, node, state string) trace.Record {
	return trace.Record{Kind: trace.Process, T: t * milli, Node: node, State: state}
}

// judged judges records as they stand, between the world and an end.
func judged(recs []trace.Record) *Verdict {
	j := New(head())
	line := 1
	for _, r := range append(world(), recs...) {
		line++
		j.Add(line, r)
	}
	last := int64(0)
	for _, r := range recs {
		last = max(last, r.T)
	}
	j.Add(line+1, trace.Record{Kind: trace.End, T: last + 1})
	return j.Finish()
}

func TestCases(t *testing.T) {
	crossed := with(asked(500, "r1", "save"), func(r *trace.Record) { r.Reused = true })
	broke := func(t int64, id string) trace.Record {
		return trace.Record{Kind: trace.Broke, T: t * milli, Node: "n1", ID: id, Conn: 1, Why: "closed"}
	}
	gaveUp := func(t int64, id, why string) trace.Record {
		return trace.Record{Kind: trace.GaveUp, T: t * milli, Node: "n1", ID: id, Conn: 1, Why: why}
	}
	type recs = []trace.Record
	for _, c := range []struct {
		name string
		recs recs
		want string // "name node request box @milli" of each violation, then "?" for each that is undecided
	}{
		{"served", recs{asked(10, "r1", "quote"), recv(12, 1, "b1", "r1"), replied(90, 1, "r1", trace.Served, "x"), got(92, "r1", 200, "x")}, ""},
		{"a body made for another", recs{asked(10, "r1", "view"), sentC(10, "r2", "view", 2, 1000), recv(12, 1, "b1", "r1"), recv(12, 2, "b2", "r2"),
			replied(90, 1, "r1", trace.Served, "x"), replied(90, 2, "r2", trace.Served, "y"), got(92, "r1", 200, "y"),
			with(got(93, "r2", 200, "y"), func(r *trace.Record) { r.Conn = 2 })}, "wrong-answer n1 r1  @92"},
		{"a body that nobody made", recs{asked(10, "r1", "view"), got(92, "r1", 200, "z")}, "wrong-answer n1 r1  @92"},
		{"a failure is no body", recs{asked(10, "r1", "view"), got(92, "r1", 500, "z")}, ""},
		{"in the last moment", recs{asked(10, "r1", "quote"), got(10+1000+69, "r1", 500, "")}, ""},
		{"late", recs{asked(10, "r1", "quote"), got(10+1000+90, "r1", 500, "")}, "late-answer n1 r1  @1010"},
		{"late, but the kit was held up as long", recs{asked(10, "r1", "quote"), {Kind: trace.Stall, T: 1100 * milli, Late: 30 * milli}, got(1100, "r1", 500, "")}, "?"},
		{"late, and the kit was held up for less", recs{asked(10, "r1", "quote"), {Kind: trace.Stall, T: 1100 * milli, Late: 10 * milli}, got(1100, "r1", 500, "")},
			"late-answer n1 r1  @1010"},
		{"late, and the kit was held up before", recs{{Kind: trace.Stall, T: 5 * milli, Late: 5 * milli}, asked(10, "r1", "quote"), got(1100, "r1", 500, "")},
			"late-answer n1 r1  @1010"},
		{"none", recs{asked(10, "r1", "quote"), gaveUp(1300, "r1", "time")}, "no-answer n1 r1  @1010"},
		{"its client left", recs{asked(10, "r1", "quote"), recv(12, 1, "b1", "r1"), gaveUp(50, "r1", "impatient"), replied(90, 1, "r1", trace.Served, "x")}, ""},
		{"sent on after its client left", recs{asked(10, "r1", "view"), gaveUp(50, "r1", "impatient"), recv(150, 1, "b1", "r1")},
			"sent-after-end n1 r1 b1 @150"},
		{"the client's leaving crosses a send", recs{asked(10, "r1", "view"), gaveUp(50, "r1", "impatient"), recv(95, 1, "b1", "r1")}, ""},
		{"sent on after the answer", recs{asked(10, "r1", "view"), recv(12, 1, "b1", "r1"), replied(90, 1, "r1", trace.Served, "x"), got(92, "r1", 200, "x"),
			recv(200, 2, "b2", "r1")}, "sent-after-end n1 r1 b2 @200"},
		{"a second answer", recs{asked(10, "r1", "view"), got(92, "r1", 500, ""), got(95, "r1", 500, "")}, "second-answer n1 r1  @95"},
		{"bytes behind an answer", recs{asked(10, "r1", "view"), got(92, "r1", 500, ""), {Kind: trace.Extra, T: 93 * milli, Node: "n1", ID: "r1", Bytes: 5}},
			"second-answer n1 r1  @93"},
		{"an answer again in the next one's place", recs{asked(10, "r1", "view"), recv(12, 1, "b1", "r1"), replied(90, 1, "r1", trace.Served, "x"),
			got(92, "r1", 200, "x"), asked(100, "r2", "view"), got(101, "r2", 200, "x")}, "second-answer n1 r1  @101"},
		{"the last one's body though a box has answered", recs{asked(10, "r1", "view"), recv(12, 1, "b1", "r1"), replied(90, 1, "r1", trace.Served, "x"),
			got(92, "r1", 200, "x"), asked(100, "r2", "view"), recv(102, 2, "b1", "r2"), replied(180, 2, "r2", trace.Served, "y"), got(182, "r2", 200, "x")},
			"wrong-answer n1 r2  @182"},
		{"cut off", recs{asked(10, "r1", "view"), broke(20, "r1")}, "cut-off n1 r1  @20"},
		{"a kept connection had closed", recs{crossed, broke(501, "r1"), with(sentC(502, "r1", "save", 2, 900), func(r *trace.Record) { r.Resent = true }),
			with(got(600, "r1", 500, ""), func(r *trace.Record) { r.Conn = 2 })}, ""},
		{"a kept connection closed once the request was read", recs{crossed, with(broke(501, "r1"), func(r *trace.Record) { r.How = trace.RequestRead })},
			"cut-off n1 r1  @501"},
		{"a kept connection closed on a request that went on", recs{crossed, recv(501, 1, "b1", "r1"), broke(502, "r1")}, "cut-off n1 r1  @502"},
		{"an answer broke off", recs{asked(10, "r1", "view"), with(broke(20, "r1"), func(r *trace.Record) { r.Bytes = 70 })}, ""},
		{"a bad client was served", recs{{Kind: trace.InvalidClient, T: 9 * milli, Node: "n1", How: "served", Why: "garbage"}}, "served-bad n1   @9"},
		{"a crash takes its requests along", recs{asked(10, "r1", "view"), broke(20, "r1"), proc(21, "n1", trace.Crashed)}, "crash n1   @21"},
		{"a killed node's are the client's", recs{asked(10, "r1", "quote"), recv(12, 1, "b1", "r1"), proc(20, "n1", trace.Kill), broke(21, "r1")}, ""},
		{"a node dies between a box's answer and its own", recs{asked(10, "r1", "quote"), recv(12, 1, "b1", "r1"),
			replied(20, 1, "r1", trace.Served, "x"), proc(20, "n1", trace.Kill), gaveUp(1300, "r1", "time")}, ""},
		{"sent to a node just killed", recs{proc(20, "n1", trace.Kill), asked(21, "r1", "quote"), broke(22, "r1")}, ""},
		{"its next life is judged", recs{proc(20, "n1", trace.Kill), proc(500, "n1", trace.Started), asked(600, "r1", "quote"), broke(620, "r1")},
			"cut-off n1 r1  @620"},
		{"SIGTERM excuses nothing", recs{asked(10, "r1", "quote"), proc(20, "n1", trace.Term), proc(30, "n1", trace.Exited), broke(30, "r1")},
			"cut-off n1 r1  @30"},

		{"unsafe again after a reset", recs{asked(10, "r1", "quote"), recv(12, 1, "b1", "r1"), replied(13, 1, "r1", trace.Reset, ""), recv(15, 2, "b2", "r1"),
			got(99, "r1", 500, "")}, "unsafe-again n1 r1 b2 @15"},
		{"unsafe again after it was turned away", recs{asked(10, "r1", "quote"), recv(12, 1, "b1", "r1"), replied(13, 1, "r1", trace.Rejected, ""),
			recv(15, 2, "b2", "r1"), got(99, "r1", 500, "")}, ""},
		{"unsafe again before it was turned away", recs{asked(10, "r1", "quote"), recv(12, 1, "b1", "r1"), recv(15, 2, "b2", "r1"),
			replied(16, 1, "r1", trace.Rejected, ""), got(99, "r1", 500, "")}, "unsafe-again n1 r1 b2 @15"},
		{"unsafe again: the first never came whole", recs{asked(10, "r1", "quote"), {Kind: trace.Partial, T: 13 * milli, T0: 12 * milli, Node: "n1", Backend: "b1", ID: "r1"},
			recv(15, 2, "b2", "r1"), got(99, "r1", 500, "")}, ""},
		{"safe again", recs{asked(10, "r1", "view"), recv(12, 1, "b1", "r1"), recv(15, 2, "b3", "r1"), got(99, "r1", 500, "")}, ""},
		{"keyed again in its group", recs{asked(10, "r1", "save"), recv(12, 1, "b1", "r1"), recv(500, 2, "b2", "r1"), got(599, "r1", 500, "")}, ""},
		{"keyed again outside", recs{asked(10, "r1", "save"), recv(12, 1, "b1", "r1"), recv(15, 2, "b3", "r1"), got(99, "r1", 500, "")},
			"outside-group n1 r1 b3 @15"},
		{"keyed of all again elsewhere", recs{asked(10, "r1", "log"), recv(12, 1, "b1", "r1"), recv(15, 2, "b3", "r1"), got(99, "r1", 500, "")}, ""},
		{"keyed again after the window", recs{asked(10, "r1", "save"), recv(12, 1, "b1", "r1"), recv(700, 2, "b2", "r1"), got(799, "r1", 500, "")},
			"after-window n1 r1 b2 @700"},
		{"one id through two nodes", recs{with(asked(10, "r1", "quote"), func(r *trace.Record) { r.Reused = true }), recv(12, 1, "b1", "r1"), broke(20, "r1"),
			on("n2", sentC(21, "r1", "quote", 2, 900)), on("n2", recv(25, 2, "b2", "r1")), on("n2", with(got(80, "r1", 500, ""), func(r *trace.Record) { r.Conn = 2 }))},
			"cut-off n1 r1  @20, unsafe-again n1 r1 b2 @25"},
		{"one id through two nodes, the first of which was killed", recs{with(asked(10, "r1", "quote"), func(r *trace.Record) { r.Reused = true }),
			recv(12, 1, "b1", "r1"), proc(19, "n1", trace.Kill), broke(20, "r1"), on("n2", sentC(21, "r1", "quote", 2, 900)), on("n2", recv(25, 2, "b2", "r1")),
			on("n2", with(got(80, "r1", 500, ""), func(r *trace.Record) { r.Conn = 2 }))}, ""},
		{"refused by a second node after the first had crashed", recs{with(asked(10, "r1", "quote"), func(r *trace.Record) { r.Reused = true }),
			recv(12, 1, "b1", "r1"), broke(20, "r1"), on("n2", sentC(21, "r1", "quote", 2, 900)),
			on("n2", with(got(25, "r1", 503, ""), func(r *trace.Record) { r.Conn = 2 })), proc(30, "n1", trace.Crashed)}, "crash n1   @30"},
		{"refused, nothing sent", recs{asked(10, "r1", "quote"), got(12, "r1", 503, "")}, ""},
		{"refused after it was turned away", recs{asked(10, "r1", "quote"), recv(12, 1, "b1", "r1"), replied(13, 1, "r1", trace.Rejected, ""), got(15, "r1", 503, "")}, ""},
		{"refused after it may have run", recs{asked(10, "r1", "quote"), recv(12, 1, "b1", "r1"), replied(13, 1, "r1", trace.Failed, ""), got(15, "r1", 503, "")},
			"false-refusal n1 r1 b1 @15"},
		{"refused with 429 while it is out", recs{asked(10, "r1", "save"), recv(12, 1, "b1", "r1"), got(15, "r1", 429, "")}, "false-refusal n1 r1 b1 @15"},
		{"refused, but a repeat is harmless", recs{asked(10, "r1", "log"), recv(12, 1, "b1", "r1"), got(15, "r1", 503, "")}, ""},
		{"a hidden request", recs{recv(12, 1, "b1", "hidden-1")}, "unasked n1 hidden-1 b1 @12"},
		{"another form of a request", recs{asked(10, "r1", "quote"), recv(12, 1, "b1", "r1"),
			{Kind: trace.Reply, T: 12 * milli, ID: "r1", Attempt: 1, Backend: "b1", How: trace.Refused, Status: 400}, got(15, "r1", 500, "")}, "unasked n1 r1 b1 @12"},
		{"a bad client with an id that was open", recs{asked(10, "r1", "quote"), got(12, "r1", 500, ""),
			with(recv(100, 1, "b1", "r1"), func(r *trace.Record) { r.How = trace.FromInvalidClient })}, ""},

		{"a drain kept", recs{telling(10, "n1", "b1", trace.Terminating), asked(1000, "r1", "view"), recv(2050, 1, "b1", "r1"), got(2060, "r1", 500, "")}, ""},
		{"a drain not kept", recs{telling(10, "n1", "b1", trace.Terminating), sentC(2000, "r1", "view", 1, 1000), recv(2070, 1, "b1", "r1"), got(2080, "r1", 500, "")},
			"drained n1 r1 b1 @2070"},
		{"the other node was told later", recs{telling(10, "n2", "b1", trace.Terminating), sentC(2000, "r1", "view", 1, 1000), recv(2070, 1, "b1", "r1"), got(2080, "r1", 500, "")}, ""},
		{"the grace runs from what was told, not from the drain", recs{{Kind: trace.Backend, T: 10 * milli, Backend: "b1", State: trace.Terminating},
			telling(6000, "n1", "b1", trace.Terminating), asked(7900, "r1", "view"), recv(7950, 1, "b1", "r1"), got(7960, "r1", 500, "")}, ""},
		{"half a request counts as sent", recs{telling(10, "n1", "b1", trace.Removed), {Kind: trace.Partial, T: 2200 * milli, T0: 2100 * milli, Node: "n1", Backend: "b1"}},
			"drained n1  b1 @2100"},
		{"listed again", recs{telling(10, "n1", "b1", trace.Removed), telling(500, "n1", "b1", trace.Ready), asked(3000, "r1", "view"), recv(3001, 1, "b1", "r1"),
			got(3060, "r1", 500, "")}, ""},
		{"a new box at the address of one that has gone", recs{telling(10, "n1", "b1", trace.Removed), {Kind: trace.Backend, T: 20 * milli, Backend: "b9", Site: "a", State: trace.Ready, Cores: 4, FullCores: 4},
			telling(30, "n1", "b9", trace.Ready), asked(3000, "r1", "view"), recv(3001, 1, "b9", "r1"), got(3060, "r1", 500, "")}, ""},
		{"told before it lived", recs{telling(10, "n1", "b1", trace.Removed), proc(3000, "n1", trace.Kill), proc(4000, "n1", trace.Started), asked(5000, "r1", "view"),
			recv(5001, 1, "b1", "r1"), got(5060, "r1", 500, "")}, ""},

		{"its send is missing", recs{got(15, "r1", 200, "x")}, "?"},
		{"its end is missing", recs{asked(10, "r1", "view")}, "?"},
	} {
		v := judged(c.recs)
		var have []string
		for _, x := range v.Violations {
			have = append(have, fmt.Sprintf("%s %s %s %s @%d", x.Name, x.Node, x.Request, x.Box, x.At/milli))
			if len(x.Lines) == 0 || x.Text == "" {
				t.Errorf("%s: no evidence: %+v", c.name, x)
			}
		}
		for range v.Undecided {
			have = append(have, "?")
		}
		if got := strings.Join(have, ", "); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
		kept := v.Kept(OneAnswer) && v.Kept(NoDoubleEffect) && v.Kept(DrainsHonoured) && v.Kept(ColdProtected)
		if kept != (c.want == "") {
			t.Errorf("%s: kept %v", c.name, kept)
		}
		// Stand-ins note what they saw in any order: a shuffle within the allowed disorder changes nothing.
		shuffled := slices.Clone(c.recs)
		rand.New(rand.NewPCG(1, uint64(len(c.name)))).Shuffle(len(shuffled), func(a, b int) {
			if d := shuffled[a].T - shuffled[b].T; d < maxDisorder && d > -maxDisorder && d != 0 {
				shuffled[a], shuffled[b] = shuffled[b], shuffled[a]
			}
		})
		w := judged(shuffled)
		same := len(w.Violations) == len(v.Violations) && len(w.Undecided) == len(v.Undecided)
		for i := range v.Violations {
			same = same && w.Violations[i].Name == v.Violations[i].Name && w.Violations[i].At == v.Violations[i].At
		}
		if !same {
			t.Errorf("%s: another verdict in another order: %+v", c.name, w.Violations)
		}
	}
}

// cold is a box that starts at 1.2 of 4 cores at 1 s, of which both nodes are told.
func cold() []trace.Record {
	return []trace.Record{{Kind: trace.Backend, T: 1000 * milli, Backend: "c1", Site: "a", State: trace.Ready, Cores: 1.2, FullCores: 4},
		telling(1100, "n1", "c1", trace.Ready), telling(1100, "n2", "c1", trace.Ready)}
}

// flood is work sent to the cold box by both nodes in turn, evenly over 1.5 s, in requests of 50 milli.
func flood(from int64, cores float64) []trace.Record {
	n := int64(cores * 1500 / 50)
	var out []trace.Record
	for i := range n {
		t := from + i*1500/n
		id := fmt.Sprintf("f%d-%d", from, i)
		out = append(out, sentC(t, id, "view", 100+i, 1000), with(recv(t, from+i, "c1", id), func(r *trace.Record) {
			r.Node, r.Work = []string{"n1", "n2"}[i%2], 50*milli
		}), with(got(t+1, id, 500, ""), func(r *trace.Record) { r.Conn = 100 + i }))
	}
	return out
}

func TestColdBudget(t *testing.T) {
	for _, c := range []struct {
		name string
		recs []trace.Record
		want int
	}{
		// 1.2 cores x 4 x 1.5 s are 7.2 core-seconds, and 3 root(144 x 0.05^2) = 1.8 more for chance.
		{"within", append(cold(), flood(1200, 4.7)...), 0},
		{"over, by both nodes together", append(cold(), flood(1200, 7)...), 1},
		{"it was warm by then", append(append(cold(), trace.Record{Kind: trace.Backend, T: 1190 * milli, Backend: "c1", State: trace.Warm}), flood(1200, 9)...), 0},
		{"it could do more by then", append(append(cold(), trace.Record{Kind: trace.Capacity, T: 1150 * milli, Backend: "c1", Cores: 3}), flood(3000, 7)...), 0},
		{"nobody was told", append(cold()[:1], flood(1200, 9)...), 0},
		{"rejected work counts", func() []trace.Record {
			all := append(cold(), flood(1200, 7)...)
			for _, r := range all {
				if r.Kind == trace.Received {
					all = append(all, replied(r.T/milli, r.Attempt, r.ID, trace.Rejected, ""))
				}
			}
			return all
		}(), 1},
	} {
		v := judged(c.recs)
		if len(v.Violations) != c.want {
			t.Errorf("%s: %+v", c.name, v.Violations)
			continue
		}
		if c.want == 1 {
			x := v.Violations[0]
			if x.Rule != ColdProtected || x.Name != ColdOverload || x.Box != "c1" || x.At < 1200*milli || x.At > 2700*milli || len(x.Lines) < 100 {
				t.Errorf("%s: %+v", c.name, x)
			}
		}
	}
}

func TestVoidAndCutShort(t *testing.T) {
	late := func(by int64) *Verdict {
		var recs []trace.Record
		for i := range int64(200) {
			s := sentC(10+i*10+by, fmt.Sprint(i), "view", i, 1000)
			s.PlannedAt = (10 + i*10) * milli
			recs = append(recs, s, with(got(15+i*10+by, fmt.Sprint(i), 500, ""), func(r *trace.Record) { r.Conn = i }))
		}
		return judged(recs)
	}
	if v := late(4); v.Void != "" || v.LateP99 < 4*milli || v.LateP99 > 5*milli {
		t.Errorf("4 milli late: %+v", v)
	}
	if v := late(60); v.Void == "" {
		t.Error("60 milli late is not void")
	}
	if v := judged([]trace.Record{{Kind: trace.Stall, T: 1000 * milli, Late: 200 * milli}}); v.Void == "" {
		t.Error("held up for a fifth of the time is not void")
	}
	j := New(head())
	j.Add(2, asked(10, "r1", "view"))
	j.Add(3, got(12, "r1", 500, ""))
	if v := j.Finish(); v.Whole || v.Kept(OneAnswer) || v.Broken(OneAnswer) {
		t.Errorf("a trace without its end: %+v", v)
	}
}

// A long trace leaves nothing behind: what the judge holds is what is open, not what has been.
func TestHoldsOnlyWhatIsOpen(t *testing.T) {
	j := New(head())
	line := 1
	add := func(r trace.Record) { line++; j.Add(line, r) }
	for i := range int64(60000) {
		id, at := fmt.Sprint(i), 10+i*5
		add(sentC(at, id, "save", i, 1000))
		add(recv(at+1, i, "b1", id))
		add(replied(at+2, i, id, trace.Served, id))
		add(with(got(at+3, id, 200, id), func(r *trace.Record) { r.Conn = i }))
	}
	for name, n := range map[string]int{"requests": len(j.requests), "attempts": len(j.attempts), "bodies": len(j.bodies), "connections": len(j.lastAnswer), "waiting": len(j.pending)} {
		if n > 5000 { // 12 s of 200 a second, and a sweep's delay
			t.Errorf("%d %s held after 60000", n, name)
		}
	}
	if v := j.Finish(); len(v.Violations) != 0 || v.Requests != 60000 {
		t.Errorf("%d requests, %+v", v.Requests, v.Violations)
	}
}

func TestMostAreListed(t *testing.T) {
	var recs []trace.Record
	for i := range int64(maxListed + 50) {
		recs = append(recs, recv(10+i, i, "b1", fmt.Sprint("hidden-", i)))
	}
	v := judged(recs)
	if len(v.Violations) != maxListed || v.Unlisted != 50 {
		t.Errorf("%d listed, %d more", len(v.Violations), v.Unlisted)
	}
	if w := judged(recs); !reflect.DeepEqual(v, w) {
		t.Error("the same trace gave two verdicts")
	}
}

func BenchmarkJudge(b *testing.B) {
	j := New(head())
	b.ReportAllocs()
	for i := range int64(b.N) {
		id, at := fmt.Sprint(i), 10+i
		j.Add(1, sentC(at, id, "save", i, 1000))
		j.Add(1, recv(at+1, i, "b1", id))
		j.Add(1, replied(at+2, i, id, trace.Served, id))
		j.Add(1, with(got(at+3, id, 200, id), func(r *trace.Record) { r.Conn = i }))
	}
}
