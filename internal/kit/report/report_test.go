package report

import (
	"bytes"
	"encoding/json"
	"math"
	"strings"
	"testing"

	"craneglade/internal/kit/trace"
)

// sample returns a trace of four requests of two classes, with one cold backend and one violation.
func sample(t *testing.T) []byte {
	t.Helper()
	var b bytes.Buffer
	w := trace.NewWriter(&b, trace.Head{Scenario: "sample<x>", Seed: 4, Length: 2e6, OverQuotaUtility: 0.5,
		Rules: trace.Rules{AnswerSlack: 20e3, DrainGrace: 2e6, OverloadFactor: 4, OverloadDuration: 15e5, Slack: 50e3},
		Classes: []trace.Class{{Name: "save", Effect: "keyed", Group: "site", Window: 6e5, LatencyTarget: 4e5, Utility: 10},
			{Name: "quote", Effect: "unsafe", LatencyTarget: 5e5, Utility: 2}},
		Nodes: []trace.Node{{Name: "n1", Site: "a"}}})
	for _, r := range []trace.Record{
		{Kind: trace.Process, T: 10, Node: "n1", State: trace.Started},
		{Kind: trace.Backend, T: 20, Backend: "s-00000001", Site: "a", MachineKind: "gen", State: trace.Ready, Cores: 4, FullCores: 4},
		{Kind: trace.Event, T: 1e6, How: trace.Begin, Text: "traffic begins"},
		{Kind: trace.Event, T: 15e5, Text: "a deploy & more"},
		{Kind: trace.Backend, T: 15e5, Backend: "s-00000002", Site: "b", MachineKind: "gen", State: trace.Ready, Cores: 1, FullCores: 4},
		{Kind: trace.Load, T: 16e5, Backend: "s-00000002", InFlight: 3},
		{Kind: trace.Load, T: 18e5, Backend: "s-00000002", InFlight: 5},
		{Kind: trace.Backend, T: 2e6, Backend: "s-00000002", State: trace.Warm},
		{Kind: trace.Usage, T: 2e6, Node: "n1", Bytes: 30 << 20, Conns: 40},
		// In time, late, refused and failed; the failed one violates rule 2.
		{Kind: trace.Planned, T: 11e5, ID: "r1", Class: "save", Tenant: "t1"}, {Kind: trace.Sent, T: 11e5, ID: "r1", Class: "save", Node: "n1", Conn: 1, Timeout: 1e6},
		{Kind: trace.Received, T: 12e5, ID: "r1", Backend: "s-00000001", Node: "n1", Attempt: 1}, {Kind: trace.Reply, T: 13e5, Backend: "s-00000001", ID: "r1", Attempt: 1, How: trace.Served, Digest: "x"},
		{Kind: trace.Got, T: 131e4, ID: "r1", Node: "n1", Conn: 1, Status: 200, Digest: "x"}, {Kind: trace.Done, T: 131e4, ID: "r1", How: "served", Took: 21e4},
		{Kind: trace.Planned, T: 11e5, ID: "r2", Class: "save", Tenant: "t1", OverQuota: true}, {Kind: trace.Sent, T: 11e5, ID: "r2", Class: "save", Node: "n1", Conn: 2, Timeout: 1e6},
		{Kind: trace.Received, T: 12e5, ID: "r2", Backend: "s-00000001", Node: "n1", Attempt: 2}, {Kind: trace.Reply, T: 16e5, Backend: "s-00000001", ID: "r2", Attempt: 2, How: trace.Served, Digest: "y"},
		{Kind: trace.Got, T: 161e4, ID: "r2", Node: "n1", Conn: 2, Status: 200, Digest: "y"}, {Kind: trace.Done, T: 161e4, ID: "r2", How: "served", Took: 51e4},
		{Kind: trace.Planned, T: 21e5, ID: "r3", Class: "quote", Tenant: "t2"}, {Kind: trace.Sent, T: 21e5, ID: "r3", Class: "quote", Node: "n1", Conn: 1, Reused: true, Timeout: 1e6},
		{Kind: trace.Got, T: 211e4, ID: "r3", Node: "n1", Conn: 1, Status: 503}, {Kind: trace.Done, T: 211e4, ID: "r3", How: "refused", Took: 1e4},
		{Kind: trace.Planned, T: 22e5, ID: "r4", Class: "quote", Tenant: "t2"}, {Kind: trace.Sent, T: 22e5, ID: "r4", Class: "quote", Node: "n1", Conn: 3, Timeout: 1e6},
		{Kind: trace.Received, T: 221e4, ID: "r4", Backend: "s-00000002", Node: "n1", Attempt: 3}, {Kind: trace.Reply, T: 222e4, Backend: "s-00000002", ID: "r4", Attempt: 3, How: trace.Reset},
		{Kind: trace.Received, T: 223e4, ID: "r4", Backend: "s-00000001", Node: "n1", Attempt: 4}, {Kind: trace.Reply, T: 23e5, Backend: "s-00000001", ID: "r4", Attempt: 4, How: trace.Failed},
		{Kind: trace.Got, T: 231e4, ID: "r4", Node: "n1", Conn: 3, Status: 500}, {Kind: trace.Done, T: 231e4, ID: "r4", How: "failed", Took: 11e4},
		{Kind: trace.InvalidClient, T: 24e5, Node: "n1", How: "error", Why: "garbage"},
		{Kind: trace.Process, T: 31e5, Node: "n1", State: trace.Term},
		{Kind: trace.End, T: 32e5},
	} {
		w.Add(&r)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

func TestFigures(t *testing.T) {
	r, err := Read(bytes.NewReader(sample(t)))
	if err != nil {
		t.Fatal(err)
	}
	near := func(name string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 1e-9 {
			t.Errorf("%s: %v, want %v", name, got, want)
		}
	}
	w := r.Whole
	if w.Asked != 4 || w.InTime != 1 || w.Late != 1 || w.Refused != 1 || w.Failed != 1 {
		t.Errorf("%+v", w)
	}
	near("whole", w.Share, 10.0/(10+5+2+2)) // the second is over its tenant's quota
	near("p50", w.P50, 210)
	near("p99", w.P99, 510)
	if len(r.Classes) != 2 || len(r.Tenants) != 2 || len(r.Windows) != 1 || len(r.PerSecond) != 2 || len(r.Backends) != 2 {
		t.Fatalf("%+v", r)
	}
	near("the tenant within its share", r.Tenants[0].Share, 1)
	near("the figure", r.Figure, 0.6*10/19+0.1*10/19+0.2*0+0.1*0)
	if a := r.Attempts; a.All != 4 || a.Reset != 1 || a.Failed != 1 || a.Per != 1 {
		t.Errorf("%+v", a)
	}
	if n := r.Nodes[0]; n.Answers != 4 || n.Attempts != 4 || n.PeakMB != 30 || n.PeakFiles != 40 || n.NewConns != 3 || n.Crossing != 1 || n.Lives != 1 {
		t.Errorf("%+v", n)
	}
	if len(r.Events) != 1 || r.Events[0].At != 0.5 { // the shutdown of the node is not an event
		t.Errorf("%+v", r.Events)
	}
	cold := r.Backends[1]
	if cold.ID != "s-00000002" || len(cold.Spans) != 2 || cold.Spans[0] != (Span{"cold", 0.5, 1}) || cold.Spans[1].State != "normal" || len(cold.Load) != 2 {
		t.Errorf("%+v", cold)
	}
	if len(r.Broken) != 1 || r.Broken[0].Count != 1 || r.Broken[0].First.Request != "r4" || !strings.HasPrefix(r.Line(r.Broken[0].First), "1.230 s: rule 2, unsafe-again") {
		t.Errorf("%+v", r.Broken)
	}
}

func TestOutputFormats(t *testing.T) {
	r, err := Read(bytes.NewReader(sample(t)))
	if err != nil {
		t.Fatal(err)
	}
	var text, page, doc bytes.Buffer
	if err := r.Text(&text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"rule 2, no effect twice:           BROKEN", "rule 1, one final answer:          kept", "request r4", "garbage: 1 got an error"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("the text lacks %q:\n%s", want, text.String())
		}
	}
	if err := r.HTML(&page); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"sample&lt;x&gt;", `class="rule broken"`, `class="st-cold"`, `class="hit"`, "a deploy &amp; more", "unsafe-again", "<code>r4</code>"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	for _, no := range []string{"http://", "https://", "<script", "src=", "NaN", "Inf", "<x>"} {
		if strings.Contains(page.String(), no) {
			t.Errorf("the page holds %q", no)
		}
	}
	if err := r.JSON(&doc); err != nil {
		t.Fatal(err)
	}
	var back Report
	if err := json.Unmarshal(doc.Bytes(), &back); err != nil || back.Whole.Asked != 4 || back.Verdict.Violations[0].Name != "unsafe-again" {
		t.Errorf("%v %+v", err, back.Verdict)
	}
}

// A trace without records must still give a valid page and text.
func TestEmptyRun(t *testing.T) {
	var b, page bytes.Buffer
	w := trace.NewWriter(&b, trace.Head{Scenario: "empty"})
	w.Close()
	r, err := Read(&b)
	if err != nil {
		t.Fatal(err)
	}
	if err := r.HTML(&page); err != nil || !strings.Contains(page.String(), "cut short") || strings.Contains(page.String(), "NaN") {
		t.Errorf("%v", err)
	}
	if err := r.Text(&page); err != nil {
		t.Error(err)
	}
}
