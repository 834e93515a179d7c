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

func testHead() trace.Head {
	return trace.Head{Rules: trace.Rules{AnswerSlack: 20 * milli, DrainGrace: 2000 * milli, OverloadFactor: 4, OverloadDuration: 1500 * milli, Slack: 50 * milli},
		Classes: []trace.Class{{Name: "view", Effect: "safe"}, {Name: "save", Effect: "keyed", Group: "site", Window: 600 * milli},
			{Name: "log", Effect: "keyed", Group: "all", Window: 600 * milli}, {Name: "quote", Effect: "unsafe"}},
		Nodes: []trace.Node{{Name: "n1", Site: "a"}, {Name: "n2", Site: "b"}}}
}

// initialRecords returns the records that most cases start with: two nodes and three backends, two of them at one site.
func initialRecords() []trace.Record {
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

// Constructors of records, with times in milliseconds.
func sentOn(t int64, id, class string, conn, wait int64) trace.Record {
	return trace.Record{Kind: trace.Sent, T: t * milli, Node: "n1", ID: id, Class: class, Conn: conn, Timeout: wait * milli}
}
func sent(t int64, id, class string) trace.Record { return sentOn(t, id, class, 1, 1000) }
func got(t int64, id string, status int, sum string) trace.Record {
	return trace.Record{Kind: trace.Got, T: t * milli, T0: t * milli, Node: "n1", ID: id, Conn: 1, Status: status, Digest: sum}
}
func recv(t int64, att int64, backend, id string) trace.Record {
	return trace.Record{Kind: trace.Received, T: t * milli, T0: t * milli, Node: "n1", Backend: backend, ID: id, Attempt: att, Work: 70 * milli}
}
func replied(t int64, att int64, id, how, sum string) trace.Record {
	return trace.Record{Kind: trace.Reply, T: t * milli, ID: id, Attempt: att, How: how, Digest: sum}
}
func with(r trace.Record, change func(*trace.Record)) trace.Record {
	change(&r)
	return r
}
func onNode(node string, r trace.Record) trace.Record {
	r.Node = node
	return r
}
func notified(t int64, node, backend, state string) trace.Record {
	return trace.Record{Kind: trace.Notified, T: t * milli, Node: node, Backend: backend, State: state}
}
func processRecord(t int64, node, state string) trace.Record {
	return trace.Record{Kind: trace.Process, T: t * milli, Node: node, State: state}
}

// verdictOf checks records, preceded by initialRecords and followed by an end record.
func verdictOf(recs []trace.Record) *Verdict {
	j := New(testHead())
	line := 1
	for _, r := range append(initialRecords(), recs...) {
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

func TestRules(t *testing.T) {
	sentOnReusedConn := with(sent(500, "r1", "save"), func(r *trace.Record) { r.Reused = true })
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
		want string // "name node request backend @milli" for each violation, then "?" for each that is undecided
	}{
		{"served", recs{sent(10, "r1", "quote"), recv(12, 1, "b1", "r1"), replied(90, 1, "r1", trace.Served, "x"), got(92, "r1", 200, "x")}, ""},
		{"body of another request", recs{sent(10, "r1", "view"), sentOn(10, "r2", "view", 2, 1000), recv(12, 1, "b1", "r1"), recv(12, 2, "b2", "r2"),
			replied(90, 1, "r1", trace.Served, "x"), replied(90, 2, "r2", trace.Served, "y"), got(92, "r1", 200, "y"),
			with(got(93, "r2", 200, "y"), func(r *trace.Record) { r.Conn = 2 })}, "wrong-answer n1 r1  @92"},
		{"body that no backend made", recs{sent(10, "r1", "view"), got(92, "r1", 200, "z")}, "wrong-answer n1 r1  @92"},
		{"error answer with a body", recs{sent(10, "r1", "view"), got(92, "r1", 500, "z")}, ""},
		{"answer within the slack", recs{sent(10, "r1", "quote"), got(10+1000+69, "r1", 500, "")}, ""},
		{"late answer", recs{sent(10, "r1", "quote"), got(10+1000+90, "r1", 500, "")}, "late-answer n1 r1  @1010"},
		{"late answer, kit stalled as long", recs{sent(10, "r1", "quote"), {Kind: trace.Stall, T: 1100 * milli, Late: 30 * milli}, got(1100, "r1", 500, "")}, "?"},
		{"late answer, kit stalled for less", recs{sent(10, "r1", "quote"), {Kind: trace.Stall, T: 1100 * milli, Late: 10 * milli}, got(1100, "r1", 500, "")},
			"late-answer n1 r1  @1010"},
		{"late answer, kit stalled before the send", recs{{Kind: trace.Stall, T: 5 * milli, Late: 5 * milli}, sent(10, "r1", "quote"), got(1100, "r1", 500, "")},
			"late-answer n1 r1  @1010"},
		{"no answer", recs{sent(10, "r1", "quote"), gaveUp(1300, "r1", "time")}, "no-answer n1 r1  @1010"},
		{"client disconnected", recs{sent(10, "r1", "quote"), recv(12, 1, "b1", "r1"), gaveUp(50, "r1", "impatient"), replied(90, 1, "r1", trace.Served, "x")}, ""},
		{"attempt after the client disconnected", recs{sent(10, "r1", "view"), gaveUp(50, "r1", "impatient"), recv(150, 1, "b1", "r1")},
			"sent-after-end n1 r1 b1 @150"},
		{"attempt within the slack after the client disconnected", recs{sent(10, "r1", "view"), gaveUp(50, "r1", "impatient"), recv(95, 1, "b1", "r1")}, ""},
		{"attempt after the answer", recs{sent(10, "r1", "view"), recv(12, 1, "b1", "r1"), replied(90, 1, "r1", trace.Served, "x"), got(92, "r1", 200, "x"),
			recv(200, 2, "b2", "r1")}, "sent-after-end n1 r1 b2 @200"},
		{"a second answer", recs{sent(10, "r1", "view"), got(92, "r1", 500, ""), got(95, "r1", 500, "")}, "second-answer n1 r1  @95"},
		{"bytes after an answer", recs{sent(10, "r1", "view"), got(92, "r1", 500, ""), {Kind: trace.Extra, T: 93 * milli, Node: "n1", ID: "r1", Bytes: 5}},
			"second-answer n1 r1  @93"},
		{"answer repeated for the next request", recs{sent(10, "r1", "view"), recv(12, 1, "b1", "r1"), replied(90, 1, "r1", trace.Served, "x"),
			got(92, "r1", 200, "x"), sent(100, "r2", "view"), got(101, "r2", 200, "x")}, "second-answer n1 r1  @101"},
		{"body of the previous request although a backend has answered", recs{sent(10, "r1", "view"), recv(12, 1, "b1", "r1"), replied(90, 1, "r1", trace.Served, "x"),
			got(92, "r1", 200, "x"), sent(100, "r2", "view"), recv(102, 2, "b1", "r2"), replied(180, 2, "r2", trace.Served, "y"), got(182, "r2", 200, "x")},
			"wrong-answer n1 r2  @182"},
		{"connection cut off", recs{sent(10, "r1", "view"), broke(20, "r1")}, "cut-off n1 r1  @20"},
		{"idle connection closed before the request was read", recs{sentOnReusedConn, broke(501, "r1"), with(sentOn(502, "r1", "save", 2, 900), func(r *trace.Record) { r.Resent = true }),
			with(got(600, "r1", 500, ""), func(r *trace.Record) { r.Conn = 2 })}, ""},
		{"idle connection closed after the request was read", recs{sentOnReusedConn, with(broke(501, "r1"), func(r *trace.Record) { r.How = trace.RequestRead })},
			"cut-off n1 r1  @501"},
		{"idle connection closed after an attempt was sent", recs{sentOnReusedConn, recv(501, 1, "b1", "r1"), broke(502, "r1")}, "cut-off n1 r1  @502"},
		{"truncated answer", recs{sent(10, "r1", "view"), with(broke(20, "r1"), func(r *trace.Record) { r.Bytes = 70 })}, ""},
		{"invalid client was served", recs{{Kind: trace.InvalidClient, T: 9 * milli, Node: "n1", How: "served", Why: "garbage"}}, "served-bad n1   @9"},
		{"crash replaces the violations of its requests", recs{sent(10, "r1", "view"), broke(20, "r1"), processRecord(21, "n1", trace.Crashed)}, "crash n1   @21"},
		{"node killed with a request in flight", recs{sent(10, "r1", "quote"), recv(12, 1, "b1", "r1"), processRecord(20, "n1", trace.Kill), broke(21, "r1")}, ""},
		{"node killed between the backend's answer and its own", recs{sent(10, "r1", "quote"), recv(12, 1, "b1", "r1"),
			replied(20, 1, "r1", trace.Served, "x"), processRecord(20, "n1", trace.Kill), gaveUp(1300, "r1", "time")}, ""},
		{"request to a node just killed", recs{processRecord(20, "n1", trace.Kill), sent(21, "r1", "quote"), broke(22, "r1")}, ""},
		{"restarted node is checked again", recs{processRecord(20, "n1", trace.Kill), processRecord(500, "n1", trace.Started), sent(600, "r1", "quote"), broke(620, "r1")},
			"cut-off n1 r1  @620"},
		{"SIGTERM is no excuse", recs{sent(10, "r1", "quote"), processRecord(20, "n1", trace.Term), processRecord(30, "n1", trace.Exited), broke(30, "r1")},
			"cut-off n1 r1  @30"},

		{"unsafe repeated after a reset", recs{sent(10, "r1", "quote"), recv(12, 1, "b1", "r1"), replied(13, 1, "r1", trace.Reset, ""), recv(15, 2, "b2", "r1"),
			got(99, "r1", 500, "")}, "unsafe-again n1 r1 b2 @15"},
		{"unsafe repeated after a rejection", recs{sent(10, "r1", "quote"), recv(12, 1, "b1", "r1"), replied(13, 1, "r1", trace.Rejected, ""),
			recv(15, 2, "b2", "r1"), got(99, "r1", 500, "")}, ""},
		{"unsafe repeated before the rejection", recs{sent(10, "r1", "quote"), recv(12, 1, "b1", "r1"), recv(15, 2, "b2", "r1"),
			replied(16, 1, "r1", trace.Rejected, ""), got(99, "r1", 500, "")}, "unsafe-again n1 r1 b2 @15"},
		{"unsafe repeated after an incomplete first attempt", recs{sent(10, "r1", "quote"), {Kind: trace.Partial, T: 13 * milli, T0: 12 * milli, Node: "n1", Backend: "b1", ID: "r1"},
			recv(15, 2, "b2", "r1"), got(99, "r1", 500, "")}, ""},
		{"safe repeated", recs{sent(10, "r1", "view"), recv(12, 1, "b1", "r1"), recv(15, 2, "b3", "r1"), got(99, "r1", 500, "")}, ""},
		{"keyed repeated in its group", recs{sent(10, "r1", "save"), recv(12, 1, "b1", "r1"), recv(500, 2, "b2", "r1"), got(599, "r1", 500, "")}, ""},
		{"keyed repeated outside its group", recs{sent(10, "r1", "save"), recv(12, 1, "b1", "r1"), recv(15, 2, "b3", "r1"), got(99, "r1", 500, "")},
			"outside-group n1 r1 b3 @15"},
		{"keyed of group all repeated at another site", recs{sent(10, "r1", "log"), recv(12, 1, "b1", "r1"), recv(15, 2, "b3", "r1"), got(99, "r1", 500, "")}, ""},
		{"keyed repeated after the window", recs{sent(10, "r1", "save"), recv(12, 1, "b1", "r1"), recv(700, 2, "b2", "r1"), got(799, "r1", 500, "")},
			"after-window n1 r1 b2 @700"},
		{"request through two nodes", recs{with(sent(10, "r1", "quote"), func(r *trace.Record) { r.Reused = true }), recv(12, 1, "b1", "r1"), broke(20, "r1"),
			onNode("n2", sentOn(21, "r1", "quote", 2, 900)), onNode("n2", recv(25, 2, "b2", "r1")), onNode("n2", with(got(80, "r1", 500, ""), func(r *trace.Record) { r.Conn = 2 }))},
			"cut-off n1 r1  @20, unsafe-again n1 r1 b2 @25"},
		{"request through two nodes, the first killed", recs{with(sent(10, "r1", "quote"), func(r *trace.Record) { r.Reused = true }),
			recv(12, 1, "b1", "r1"), processRecord(19, "n1", trace.Kill), broke(20, "r1"), onNode("n2", sentOn(21, "r1", "quote", 2, 900)), onNode("n2", recv(25, 2, "b2", "r1")),
			onNode("n2", with(got(80, "r1", 500, ""), func(r *trace.Record) { r.Conn = 2 }))}, ""},
		{"refused by a second node after the first had crashed", recs{with(sent(10, "r1", "quote"), func(r *trace.Record) { r.Reused = true }),
			recv(12, 1, "b1", "r1"), broke(20, "r1"), onNode("n2", sentOn(21, "r1", "quote", 2, 900)),
			onNode("n2", with(got(25, "r1", 503, ""), func(r *trace.Record) { r.Conn = 2 })), processRecord(30, "n1", trace.Crashed)}, "crash n1   @30"},
		{"refused without an attempt", recs{sent(10, "r1", "quote"), got(12, "r1", 503, "")}, ""},
		{"refused after a rejection", recs{sent(10, "r1", "quote"), recv(12, 1, "b1", "r1"), replied(13, 1, "r1", trace.Rejected, ""), got(15, "r1", 503, "")}, ""},
		{"refused after it may have run", recs{sent(10, "r1", "quote"), recv(12, 1, "b1", "r1"), replied(13, 1, "r1", trace.Failed, ""), got(15, "r1", 503, "")},
			"false-refusal n1 r1 b1 @15"},
		{"refused with 429 while an attempt is in flight", recs{sent(10, "r1", "save"), recv(12, 1, "b1", "r1"), got(15, "r1", 429, "")}, "false-refusal n1 r1 b1 @15"},
		{"refused, but a repeat is harmless", recs{sent(10, "r1", "log"), recv(12, 1, "b1", "r1"), got(15, "r1", 503, "")}, ""},
		{"attempt without a request", recs{recv(12, 1, "b1", "hidden-1")}, "unasked n1 hidden-1 b1 @12"},
		{"request in a form that no client sent", recs{sent(10, "r1", "quote"), recv(12, 1, "b1", "r1"),
			{Kind: trace.Reply, T: 12 * milli, ID: "r1", Attempt: 1, Backend: "b1", How: trace.Refused, Status: 400}, got(15, "r1", 500, "")}, "unasked n1 r1 b1 @12"},
		{"invalid client with the id of an open request", recs{sent(10, "r1", "quote"), got(12, "r1", 500, ""),
			with(recv(100, 1, "b1", "r1"), func(r *trace.Record) { r.How = trace.FromInvalidClient })}, ""},

		{"attempt within the drain grace", recs{notified(10, "n1", "b1", trace.Terminating), sent(1000, "r1", "view"), recv(2050, 1, "b1", "r1"), got(2060, "r1", 500, "")}, ""},
		{"attempt after the drain grace", recs{notified(10, "n1", "b1", trace.Terminating), sentOn(2000, "r1", "view", 1, 1000), recv(2070, 1, "b1", "r1"), got(2080, "r1", 500, "")},
			"drained n1 r1 b1 @2070"},
		{"other node notified first", recs{notified(10, "n2", "b1", trace.Terminating), sentOn(2000, "r1", "view", 1, 1000), recv(2070, 1, "b1", "r1"), got(2080, "r1", 500, "")}, ""},
		{"grace starts with the notice, not with the drain", recs{{Kind: trace.Backend, T: 10 * milli, Backend: "b1", State: trace.Terminating},
			notified(6000, "n1", "b1", trace.Terminating), sent(7900, "r1", "view"), recv(7950, 1, "b1", "r1"), got(7960, "r1", 500, "")}, ""},
		{"incomplete request counts as sent", recs{notified(10, "n1", "b1", trace.Removed), {Kind: trace.Partial, T: 2200 * milli, T0: 2100 * milli, Node: "n1", Backend: "b1"}},
			"drained n1  b1 @2100"},
		{"listed again", recs{notified(10, "n1", "b1", trace.Removed), notified(500, "n1", "b1", trace.Ready), sent(3000, "r1", "view"), recv(3001, 1, "b1", "r1"),
			got(3060, "r1", 500, "")}, ""},
		{"new backend at the address of a removed one", recs{notified(10, "n1", "b1", trace.Removed), {Kind: trace.Backend, T: 20 * milli, Backend: "b9", Site: "a", State: trace.Ready, Cores: 4, FullCores: 4},
			notified(30, "n1", "b9", trace.Ready), sent(3000, "r1", "view"), recv(3001, 1, "b9", "r1"), got(3060, "r1", 500, "")}, ""},
		{"notified before its restart", recs{notified(10, "n1", "b1", trace.Removed), processRecord(3000, "n1", trace.Kill), processRecord(4000, "n1", trace.Started), sent(5000, "r1", "view"),
			recv(5001, 1, "b1", "r1"), got(5060, "r1", 500, "")}, ""},

		{"send missing", recs{got(15, "r1", 200, "x")}, "?"},
		{"outcome missing", recs{sent(10, "r1", "view")}, "?"},
	} {
		v := verdictOf(c.recs)
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
		// Records may be written in any order: a shuffle within the allowed disorder must not change the verdict.
		shuffled := slices.Clone(c.recs)
		rand.New(rand.NewPCG(1, uint64(len(c.name)))).Shuffle(len(shuffled), func(a, b int) {
			if d := shuffled[a].T - shuffled[b].T; d < maxDisorder && d > -maxDisorder && d != 0 {
				shuffled[a], shuffled[b] = shuffled[b], shuffled[a]
			}
		})
		w := verdictOf(shuffled)
		same := len(w.Violations) == len(v.Violations) && len(w.Undecided) == len(v.Undecided)
		for i := range v.Violations {
			same = same && w.Violations[i].Name == v.Violations[i].Name && w.Violations[i].At == v.Violations[i].At
		}
		if !same {
			t.Errorf("%s: the verdict depends on the order of records: %+v", c.name, w.Violations)
		}
	}
}

// coldBackend returns the records of a backend that starts with 1.2 of 4 cores at 1 s, of which both nodes are notified.
func coldBackend() []trace.Record {
	return []trace.Record{{Kind: trace.Backend, T: 1000 * milli, Backend: "c1", Site: "a", State: trace.Ready, Cores: 1.2, FullCores: 4},
		notified(1100, "n1", "c1", trace.Ready), notified(1100, "n2", "c1", trace.Ready)}
}

// coldLoad returns the records of work that both nodes send to the cold backend in turn, evenly over 1.5 s, in requests of 50
// ms.
func coldLoad(from int64, cores float64) []trace.Record {
	n := int64(cores * 1500 / 50)
	var out []trace.Record
	for i := range n {
		t := from + i*1500/n
		id := fmt.Sprintf("f%d-%d", from, i)
		out = append(out, sentOn(t, id, "view", 100+i, 1000), with(recv(t, from+i, "c1", id), func(r *trace.Record) {
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
		// 1.2 cores x 4 x 1.5 s are 7.2 core-seconds, and three standard deviations, 3 sqrt(144 x 0.05^2) = 1.8, are added.
		{"within the budget", append(coldBackend(), coldLoad(1200, 4.7)...), 0},
		{"over the budget, by both nodes together", append(coldBackend(), coldLoad(1200, 7)...), 1},
		{"warm by then", append(append(coldBackend(), trace.Record{Kind: trace.Backend, T: 1190 * milli, Backend: "c1", State: trace.Warm}), coldLoad(1200, 9)...), 0},
		{"more capacity by then", append(append(coldBackend(), trace.Record{Kind: trace.Capacity, T: 1150 * milli, Backend: "c1", Cores: 3}), coldLoad(3000, 7)...), 0},
		{"no node notified", append(coldBackend()[:1], coldLoad(1200, 9)...), 0},
		{"rejected work counts", func() []trace.Record {
			all := append(coldBackend(), coldLoad(1200, 7)...)
			for _, r := range all {
				if r.Kind == trace.Received {
					all = append(all, replied(r.T/milli, r.Attempt, r.ID, trace.Rejected, ""))
				}
			}
			return all
		}(), 1},
	} {
		v := verdictOf(c.recs)
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

func TestVoidAndTruncatedTrace(t *testing.T) {
	late := func(by int64) *Verdict {
		var recs []trace.Record
		for i := range int64(200) {
			s := sentOn(10+i*10+by, fmt.Sprint(i), "view", i, 1000)
			s.PlannedAt = (10 + i*10) * milli
			recs = append(recs, s, with(got(15+i*10+by, fmt.Sprint(i), 500, ""), func(r *trace.Record) { r.Conn = i }))
		}
		return verdictOf(recs)
	}
	if v := late(4); v.Void != "" || v.LateP99 < 4*milli || v.LateP99 > 5*milli {
		t.Errorf("sends 4 ms late: %+v", v)
	}
	if v := late(60); v.Void == "" {
		t.Error("a run with sends 60 ms late is not void")
	}
	if v := verdictOf([]trace.Record{{Kind: trace.Stall, T: 1000 * milli, Late: 200 * milli}}); v.Void == "" {
		t.Error("a run stalled for a fifth of the time is not void")
	}
	j := New(testHead())
	j.Add(2, sent(10, "r1", "view"))
	j.Add(3, got(12, "r1", 500, ""))
	if v := j.Finish(); v.Whole || v.Kept(OneAnswer) || v.Broken(OneAnswer) {
		t.Errorf("a trace without its end record: %+v", v)
	}
}

// The judge's memory must grow with the number of open requests, not with the length of the trace.
func TestMemoryBoundedByOpenRequests(t *testing.T) {
	j := New(testHead())
	line := 1
	add := func(r trace.Record) { line++; j.Add(line, r) }
	for i := range int64(60000) {
		id, at := fmt.Sprint(i), 10+i*5
		add(sentOn(at, id, "save", i, 1000))
		add(recv(at+1, i, "b1", id))
		add(replied(at+2, i, id, trace.Served, id))
		add(with(got(at+3, id, 200, id), func(r *trace.Record) { r.Conn = i }))
	}
	for name, n := range map[string]int{"requests": len(j.requests), "attempts": len(j.attempts), "bodies": len(j.bodies), "connections": len(j.lastAnswer), "waiting": len(j.pending)} {
		if n > 5000 { // 12 s of 200 requests a second, and the delay of a sweep
			t.Errorf("%d %s retained after 60000 requests", n, name)
		}
	}
	if v := j.Finish(); len(v.Violations) != 0 || v.Requests != 60000 {
		t.Errorf("%d requests, %+v", v.Requests, v.Violations)
	}
}

func TestListedViolationsAreCapped(t *testing.T) {
	var recs []trace.Record
	for i := range int64(maxListed + 50) {
		recs = append(recs, recv(10+i, i, "b1", fmt.Sprint("hidden-", i)))
	}
	v := verdictOf(recs)
	if len(v.Violations) != maxListed || v.Unlisted != 50 {
		t.Errorf("%d listed, %d more", len(v.Violations), v.Unlisted)
	}
	if w := verdictOf(recs); !reflect.DeepEqual(v, w) {
		t.Error("the same trace gave two verdicts")
	}
}

func BenchmarkJudge(b *testing.B) {
	j := New(testHead())
	b.ReportAllocs()
	for i := range int64(b.N) {
		id, at := fmt.Sprint(i), 10+i
		j.Add(1, sentOn(at, id, "save", i, 1000))
		j.Add(1, recv(at+1, i, "b1", id))
		j.Add(1, replied(at+2, i, id, trace.Served, id))
		j.Add(1, with(got(at+3, id, 200, id), func(r *trace.Record) { r.Conn = i }))
	}
}
