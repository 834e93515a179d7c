package lab

import (
	"testing"

	"craneglade/internal/kit/judge"
	"craneglade/internal/kit/plan"
	"craneglade/internal/kit/scenario"
	"craneglade/internal/kit/trace"
	"craneglade/policy"
)

// Three backends fail one class and serve all others. Nodes have to route that class elsewhere, with few failed requests,
// and keep using these backends for the other classes.
func TestBackendThatFailsOneClass(t *testing.T) {
	s, err := scenario.Load("one-class-fails")
	if err != nil {
		t.Fatal(err)
	}
	o := Options{Name: "one-class-fails", Plan: plan.New(s, 4), Tuning: policy.DefaultTuning()}
	failing := map[string]bool{}
	for _, st := range o.Plan.Steps {
		if st.Do == plan.FailClass && st.By > 0 {
			failing[st.Box] = true
		}
	}
	if len(failing) != 3 {
		t.Fatalf("%d backends fail a class, want 3", len(failing))
	}
	failed, quotes, line := 0, 0, 1
	j := judge.New(Head(&o))
	class := map[int64]string{}
	o.Record = func(r *trace.Record) {
		line++
		j.Add(line, *r)
		switch r.Kind {
		case trace.Received:
			class[r.Attempt] = r.Class
		case trace.Reply:
			if !failing[r.Backend] || r.T < trace.Microseconds(8e9) || r.T > trace.Microseconds(16e9) {
				break // before the nodes can know, and after the fault has ended
			}
			if r.How == trace.Failed && class[r.Attempt] == "save-config" {
				failed++
			}
			if r.How == trace.Served && class[r.Attempt] == "send-quote" {
				quotes++
			}
		}
	}
	if err := Play(o); err != nil {
		t.Fatal(err)
	}
	if v := j.Finish().Violations; len(v) > 0 {
		t.Errorf("rule violation: %+v", v[0])
	}
	// There are 2,400 requests in these 8 s; three of nine to twelve backends would fail about 450 saves.
	if failed < 3 || failed > 120 {
		t.Errorf("%d saves failed, want a few: the class is still probed", failed)
	}
	if quotes < 100 {
		t.Errorf("only %d quotes were answered by the backends that fail saves", quotes)
	}
}
