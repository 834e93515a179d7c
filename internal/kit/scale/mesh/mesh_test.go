package mesh

import (
	"context"
	"errors"
	"testing"

	"craneglade/internal/kit/scale/plan"
	"craneglade/internal/kit/scale/result"
)

func figures(t *testing.T, s *result.Step) map[string]float64 {
	t.Helper()
	out := map[string]float64{}
	for _, f := range s.Figures {
		out[f.Name] = f.Value
	}
	return out
}

func TestCountIntervalGrowsWithFleet(t *testing.T) {
	small, err := Measure(context.Background(), plan.Step{Nodes: 12}, 4, 8<<10)
	if err != nil {
		t.Fatal(err)
	}
	large, err := Measure(context.Background(), plan.Step{Nodes: 60}, 4, 8<<10)
	if err != nil {
		t.Fatal(err)
	}
	a, b := figures(t, small), figures(t, large)
	const intervalFigure = "a count is told to all every"
	if a[intervalFigure] < 3 || b[intervalFigure] < 3*a[intervalFigure] { // five times the nodes, within the same bytes
		t.Errorf("interval of a count: %v s at 12 nodes, %v s at 60", a[intervalFigure], b[intervalFigure])
	}
	for _, f := range []map[string]float64{a, b} {
		if f["bytes in"] <= 0 || f["bytes out"] <= 0 || f["bytes out"] > 8<<10 || f["heap"] <= 0 {
			t.Errorf("figures %v", f)
		}
	}
}

func TestCancelledContext(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	reason := errors.New("enough")
	cancel(reason)
	if _, err := Measure(ctx, plan.Step{Nodes: 12}, 4, 8<<10); !errors.Is(err, reason) {
		t.Errorf("got %v", err)
	}
}
