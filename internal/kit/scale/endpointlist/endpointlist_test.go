package endpointlist

import (
	"context"
	"errors"
	"testing"
)

func TestListBytesGrowWithEndpoints(t *testing.T) {
	figures := map[int]map[string]float64{}
	for _, n := range []int{10, 100} {
		step, err := Measure(context.Background(), n)
		if err != nil {
			t.Fatal(err)
		}
		figures[n] = map[string]float64{}
		for _, f := range step.Figures {
			figures[n][f.Name] = f.Value
			if f.Value <= 0 && f.Name != "allocations, with its outcome" && f.Name != "heap of the engine" {
				t.Errorf("%d endpoints: %s is %v", n, f.Name, f.Value)
			}
		}
	}
	const bytes, one = "bytes of a full list", "bytes of a change of one"
	if ratio := figures[100][bytes] / figures[10][bytes]; ratio < 8 || ratio > 10 || figures[100][one] != figures[10][one] {
		t.Errorf("ten times the endpoints take %v times the bytes", ratio)
	}
}

func TestCancelledContext(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	reason := errors.New("enough")
	cancel(reason)
	if _, err := Measure(ctx, 10); !errors.Is(err, reason) {
		t.Errorf("got %v", err)
	}
}
