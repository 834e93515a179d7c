package result

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"craneglade/internal/kit/scale/plan"
)

func steps(values ...float64) []Step {
	var out []Step
	for i, v := range values {
		s := Step{Part: "control", Size: plan.Step{Nodes: []int{12, 60, 300, 1500, 5900}[i]}}
		s.Add("control plane", "node", "bytes in", "B/s", v)
		out = append(out, s)
	}
	return out
}

func TestSlopeOfStraightLine(t *testing.T) {
	f := Collect(steps(124, 220, 700, 3100, 11900))[0].Fit // 100 + 2 per node
	if math.Abs(f.Slope-2) > 1e-9 || math.Abs(f.Intercept-100) > 1e-6 || f.SlopeHigh-f.SlopeLow > 1e-6 || f.Flagged {
		t.Errorf("a straight line: %+v", f)
	}
}

func TestConfidenceIntervalContainsSlope(t *testing.T) {
	f := Collect(steps(130, 214, 704, 3090, 11903))[0].Fit
	if !(f.SlopeLow < 2 && 2 < f.SlopeHigh) || f.SlopeHigh-f.SlopeLow < 1e-6 || f.SlopeHigh-f.SlopeLow > 0.05 {
		t.Errorf("a straight line with small errors: %+v", f)
	}
}

func TestPredictionErrorOfLargestIsFlagged(t *testing.T) {
	f := Collect(steps(124, 220, 700, 3100, 15900))[0].Fit
	if !f.Flagged || math.Abs(f.Predicted-11900) > 1e-6 || math.Abs(f.PredictionError-4000.0/11900) > 1e-9 {
		t.Errorf("the largest is a third above the line: %+v", f)
	}
}

func TestSavedStepsSurviveKilledRun(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "out")
	if got, err := Read(dir); err != nil || got != nil {
		t.Fatal("a directory that does not exist", got, err)
	}
	all := steps(1, 2, 3)
	for i := len(all) - 1; i >= 0; i-- {
		if err := Save(dir, &all[i]); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "step-control-005900.json.tmp"), []byte("{"), 0o644); err != nil { // left by a run that was killed
		t.Fatal(err)
	}
	got, err := Read(dir)
	if err != nil || len(got) != 3 || got[0].Size.Nodes != 12 || got[2].Figures[0].Value != 3 {
		t.Errorf("read %v, %v", got, err)
	}
}

func TestTableAndPageShowFailures(t *testing.T) {
	all := steps(124, 220, 700, 3100, 15900)
	all[4].Check("all nodes are equal", false, "2 of 5900 differ")
	r := NewReport("p.toml", 1, all)
	var table, page strings.Builder
	if err := r.Table(&table); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"+34% MISSED", "FAILED  control, 5900 nodes: all nodes are equal: 2 of 5900 differ", "15900"} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("no %q in\n%s", want, table.String())
		}
	}
	if err := r.Page(&page); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(page.String(), "<svg") || Passed(all) {
		t.Error("the page has no chart, or a failed check passed")
	}
}

func TestCheckFlat(t *testing.T) {
	for _, c := range []struct {
		small, large float64
		want         bool
	}{{100, 119, true}, {100, 81, true}, {100, 121, false}, {100, 79, false}} {
		all := steps(c.small, c.large)
		CheckFlat(&all[0], &all[1], "node", "bytes in")
		if check := all[1].Checks[0]; check.Passed != c.want || !strings.Contains(check.Detail, "bytes in 100 and ") {
			t.Errorf("%v and %v: %+v", c.small, c.large, check)
		}
	}
	all := steps(1, 1)
	if CheckFlat(&all[0], &all[1], "node", "heap"); all[1].Checks[0].Passed {
		t.Error("a figure that was not measured counts as flat")
	}
}
