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

// flat is by how much a node's bytes and messages may differ between sizes of the fleet, as a part.
const flat = 0.2

// twinPlan is deploy/scale/short.toml with sizes and times that a test of every change can afford.
func twinPlan(t *testing.T) *plan.Plan {
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

// figure finds one by role and name.
func figure(t *testing.T, s *result.Step, role, name string) float64 {
	t.Helper()
	for _, f := range s.Figures {
		if f.Role == role && f.Name == name {
			return f.Value
		}
	}
	t.Fatalf("%s: no figure %s of %s", s.Where(), name, role)
	return 0
}

func checkAll(t *testing.T, s *result.Step) {
	t.Helper()
	if len(s.Checks) == 0 {
		t.Errorf("%s: nothing was checked", s.Where())
	}
	for _, c := range s.Checks {
		if !c.Passed {
			t.Errorf("%s: %s: %s", s.Where(), c.Name, c.Detail)
		}
	}
}

// TestTwin is the scale run in small, by virtual time and counts alone: what a node is sent does not grow with the fleet, a
// change is in force at the last healthy node in time, and after each fault all have the writers' state.
func TestTwin(t *testing.T) {
	p, ctx := twinPlan(t), context.Background()
	var smallest *result.Step
	var largest *Run
	for _, size := range p.Steps {
		r, out, err := Measure(ctx, p, size)
		if err != nil {
			t.Fatal(err)
		}
		checkAll(t, out)
		if smallest == nil {
			smallest = out
		}
		largest = r
		for _, name := range []string{"bytes in", "bytes out", "messages in", "messages out"} {
			small, now := figure(t, smallest, "node", name), figure(t, out, "node", name)
			if math.Abs(now-small) > flat*small {
				t.Errorf("%s of a node: %.1f at %d nodes, %.1f at %d", name, small, smallest.Size.Nodes, now, size.Nodes)
			}
		}
		if in := figure(t, out, "node", "bytes in"); in > float64(p.Rates.NodeBytes) {
			t.Errorf("%d nodes: a node is sent %.0f B/s, and may be sent %d", size.Nodes, in, p.Rates.NodeBytes)
		}
	}
	kinds := map[string]bool{}
	for _, f := range p.Faults {
		out, err := largest.Fault(ctx, f)
		if err != nil {
			t.Fatal(err)
		}
		checkAll(t, out)
		if figure(t, out, "change", "changes made, "+f.Kind) == 0 {
			t.Errorf("no change was made in %s", out.Where())
		}
		kinds[f.Kind] = true
	}
	if len(kinds) != 6 {
		t.Errorf("only the faults %v were played", kinds)
	}
}

// TestSameSeedSameCounts holds that a run follows from its plan alone.
func TestSameSeedSameCounts(t *testing.T) {
	p, ctx := twinPlan(t), context.Background()
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
			if !f.Wall && f != first.Figures[i] {
				t.Errorf("%+v, and before %+v", f, first.Figures[i])
			}
		}
	}
}

// TestALostChangeIsNamed has a node stand still that counts as healthy. The checks have to name what is not in force there.
func TestALostChangeIsNamed(t *testing.T) {
	p, ctx := twinPlan(t), context.Background()
	p.Rates.Measure = tomlfile.Duration(time.Second)
	r, _, err := Measure(ctx, p, p.Steps[0])
	if err != nil {
		t.Fatal(err)
	}
	n := r.network
	s := n.serviceOf(0)
	lost := n.byRole[RoleNode][s.nodes[0]]
	if err := n.Append(s, s.own(n.nextGeneration())); err != nil {
		t.Fatal(err)
	}
	lost.Stall()
	if _, err := n.converge(ctx, 8*time.Second, RoleNode); err == nil {
		t.Error("a node without the change counts as equal")
	}
	r.inForce(r.out, ", lost", 1, inForceLimit)
	if last := r.out.Checks[len(r.out.Checks)-1]; last.Passed {
		t.Errorf("a change that is not in force passed: %+v", last)
	}
}
