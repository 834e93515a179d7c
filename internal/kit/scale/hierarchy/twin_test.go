package hierarchy

import (
	"context"
	"math"
	"testing"
	"time"

	"craneglade/internal/kit/scale/plan"
	"craneglade/internal/kit/scale/result"
	"craneglade/internal/tomlfile"
)

// maxFlatDeviation is the relative deviation of a node's bytes and messages between sizes of the fleet that still counts as
// flat.
const maxFlatDeviation = 0.2

// smallPlan returns deploy/scale/short.toml with smaller sizes and shorter times, for a test that runs with every change.
func smallPlan(t *testing.T) *plan.Plan {
	t.Helper()
	p, err := plan.Load("../../../../deploy/scale/short.toml")
	if err != nil {
		t.Fatal(err)
	}
	p.Steps = []plan.Step{
		{Nodes: 20, Endpoints: 600, Services: 32, Routes: 128, Tenants: 640},
		{Nodes: 60, Endpoints: 1800, Services: 96, Routes: 384, Tenants: 1920},
		{Nodes: 160, Endpoints: 4800, Services: 256, Routes: 1024, Tenants: 5120},
	}
	p.Rates.Measure, p.Rates.Settle = tomlfile.Duration(20*time.Second), tomlfile.Duration(75*time.Second)
	return p
}

// figure returns the value of a figure by role and name.
func figure(t *testing.T, s *result.Step, role, name string) float64 {
	t.Helper()
	for _, f := range s.Figures {
		if f.Role == role && f.Name == name {
			return f.Value
		}
	}
	t.Fatalf("%s: no figure %s of role %s", s.Where(), name, role)
	return 0
}

func requireChecksPass(t *testing.T, s *result.Step) {
	t.Helper()
	if len(s.Checks) == 0 {
		t.Errorf("%s: no checks", s.Where())
	}
	for _, c := range s.Checks {
		if !c.Passed {
			t.Errorf("%s: %s: %s", s.Where(), c.Name, c.Detail)
		}
	}
}

// A small scale run in virtual time, checked by counts alone. It fails if the traffic of a node grows with the fleet, if a
// change is not in force at the last healthy node in time, or if a process does not have the writers' state after a fault.
func TestSmallScaleRun(t *testing.T) {
	p, ctx := smallPlan(t), context.Background()
	var smallest *result.Step
	var largest *Run
	for _, size := range p.Steps {
		r, out, err := Measure(ctx, p, size)
		if err != nil {
			t.Fatal(err)
		}
		requireChecksPass(t, out)
		if smallest == nil {
			smallest = out
		}
		largest = r
		for _, name := range []string{"bytes in", "bytes out", "messages in", "messages out"} {
			small, now := figure(t, smallest, "node", name), figure(t, out, "node", name)
			if math.Abs(now-small) > maxFlatDeviation*small {
				t.Errorf("%s of a node: %.1f at %d nodes, %.1f at %d", name, small, smallest.Size.Nodes, now, size.Nodes)
			}
		}
		if in := figure(t, out, "node", "bytes in"); in > float64(p.Rates.NodeBytesPerSecond) {
			t.Errorf("%d nodes: a node receives %.0f B/s, limit %d", size.Nodes, in, p.Rates.NodeBytesPerSecond)
		}
	}
	kinds := map[string]bool{}
	for _, f := range p.Faults {
		out, err := largest.Fault(ctx, f)
		if err != nil {
			t.Fatal(err)
		}
		requireChecksPass(t, out)
		if figure(t, out, "change", "changes made, "+f.Kind) == 0 {
			t.Errorf("no changes in %s", out.Where())
		}
		kinds[f.Kind] = true
	}
	if len(kinds) != 6 {
		t.Errorf("only the faults %v were run", kinds)
	}
}

// Two runs of one plan must give the same figures, but for times of the wall clock.
func TestRunIsDeterministic(t *testing.T) {
	p, ctx := smallPlan(t), context.Background()
	p.Rates.Measure = tomlfile.Duration(time.Second)
	var first *result.Step
	for range 2 {
		_, out, err := Measure(ctx, p, p.Steps[0])
		if err != nil {
			t.Fatal(err)
		}
		if first == nil {
			first = out
			continue
		}
		for i, f := range out.Figures {
			if !f.WallClock && f != first.Figures[i] {
				t.Errorf("%+v, in the first run %+v", f, first.Figures[i])
			}
		}
	}
}

// A node that counts as healthy stalls and misses a change. The checks must report the replica and the change.
func TestMissingChangeFailsCheck(t *testing.T) {
	p, ctx := smallPlan(t), context.Background()
	p.Rates.Measure = tomlfile.Duration(time.Second)
	r, _, err := Measure(ctx, p, p.Steps[0])
	if err != nil {
		t.Fatal(err)
	}
	n := r.network
	s := n.serviceInRegion(0)
	stalled := n.byRole[RoleNode][s.nodes[0]]
	if err := n.Append(s, s.serviceResource(n.nextGeneration())); err != nil {
		t.Fatal(err)
	}
	stalled.Stall()
	if _, err := n.converge(ctx, 8*time.Second, RoleNode); err == nil {
		t.Error("a node without the change counts as converged")
	}
	r.checkInForce(r.out, ", lost", 1, inForceLimit)
	if last := r.out.Checks[len(r.out.Checks)-1]; last.Passed {
		t.Errorf("check passed with a change that is not in force: %+v", last)
	}
}
