package scale

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"craneglade/internal/kit/scale/guard"
	"craneglade/internal/kit/scale/plan"
	"craneglade/internal/kit/scale/result"
)

const smallPlan = `seed = 3
[fleet]
regions = 2
zones = 2
relays_per_zone = 2
nodes_per_service = 4
[rates]
changes_per_day = 400000
restarts_per_day = 400000
settle = "90s"
measure = "10s"
[[step]]
nodes = 4
endpoints = 40
services = 8
routes = 8
tenants = 20
[[step]]
nodes = 8
endpoints = 80
services = 16
routes = 16
tenants = 40
[mesh]
tenants = [2]
[list]
sizes = [10]
[[fault]]
kind = "stall"
length = "5s"
part = 0.2
heal = "10s"
`

func options(t *testing.T, dir string) Options {
	t.Helper()
	p, err := plan.Parse("tiny.toml", []byte(smallPlan))
	if err != nil {
		t.Fatal(err)
	}
	return Options{File: "tiny.toml", Plan: p, Dir: dir, Progress: func(string) {}}
}

func TestAllPartsRunAndStepsAreSaved(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "steps")
	r, err := Run(context.Background(), options(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	if !result.Passed(r.Steps) {
		t.Errorf("checks failed: %+v", r.Steps)
	}
	saved, err := result.Read(dir)
	if err != nil || len(saved) != 6 || len(r.Steps) != 6 { // a list, two of the mesh, two of the control plane, a fault
		t.Errorf("%d steps saved, %d reported: %v", len(saved), len(r.Steps), err)
	}
}

func TestInterruptedRunResumes(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "steps")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o, progressLines := options(t, dir), 0
	o.Progress = func(string) {
		if progressLines++; progressLines == 3 {
			cancel()
		}
	}
	r, err := Run(ctx, o)
	if !errors.Is(err, context.Canceled) || len(r.Steps) != 3 {
		t.Fatalf("%d steps, %v", len(r.Steps), err)
	}
	if saved, err := result.Read(dir); err != nil || len(saved) != 3 {
		t.Fatalf("%d steps saved, %v", len(saved), err)
	}
	o = options(t, dir)
	var inUse *InUseError
	if _, err := Run(context.Background(), o); !errors.As(err, &inUse) {
		t.Errorf("a directory in use: %v", err)
	}
	before := modificationTimes(t, dir)
	o.Resume = true
	if r, err = Run(context.Background(), o); err != nil || len(r.Steps) != 6 {
		t.Fatalf("resumed: %d steps, %v", len(r.Steps), err)
	}
	for name, at := range before {
		if modificationTimes(t, dir)[name] != at {
			t.Errorf("%s was measured again", name)
		}
	}
}

func modificationTimes(t *testing.T, dir string) map[string]int64 {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]int64{}
	for _, e := range entries {
		info, err := e.Info()
		if err != nil {
			t.Fatal(err)
		}
		out[e.Name()] = info.ModTime().UnixNano()
	}
	return out
}

func TestMemoryLimitEndsRun(t *testing.T) {
	o := options(t, filepath.Join(t.TempDir(), "steps"))
	o.Plan.Limits.Memory = 1 << 20 // less than any program takes; the plan's estimate has been checked before
	_, err := Run(context.Background(), o)
	var over *guard.LimitError
	if !errors.As(err, &over) {
		t.Fatalf("got %v, want a LimitError", err)
	}
}

func TestResumeRejectsStepsOfAnotherPlan(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "steps")
	if _, err := Run(context.Background(), options(t, dir)); err != nil {
		t.Fatal(err)
	}
	o := options(t, dir)
	o.Resume = true
	o.Plan.Digest = "another"
	var mismatch *PlanMismatchError
	if _, err := Run(context.Background(), o); !errors.As(err, &mismatch) {
		t.Errorf("resumed with another plan: %v", err)
	}
}
