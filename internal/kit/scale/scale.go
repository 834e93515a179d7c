// Package scale measures fleets of several sizes: what nodes share over the mesh (package mesh), what a list of endpoints
// costs a node (endpointlist), and the control plane, also under faults (hierarchy). It reports the cost by process and by
// change, and saves each step as soon as it has been measured.
package scale

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"craneglade/internal/kit/scale/endpointlist"
	"craneglade/internal/kit/scale/guard"
	"craneglade/internal/kit/scale/hierarchy"
	"craneglade/internal/kit/scale/mesh"
	"craneglade/internal/kit/scale/plan"
	"craneglade/internal/kit/scale/processes"
	"craneglade/internal/kit/scale/result"
)

// The parts of a run.
const (
	PartList    = "list"
	PartMesh    = "mesh"
	PartControl = "control"
	PartFaults  = "faults" // after PartControl, at the largest size

	// PartProcesses runs real processes. It runs only if it is selected explicitly.
	PartProcesses = "processes"
)

// flatBaselineNodes is the smallest fleet size at which the cost of a node is compared with that at the largest size.
const flatBaselineNodes = 300

// Parts returns the parts that run by default, in their order.
func Parts() []string { return []string{PartList, PartMesh, PartControl, PartFaults} }

// Options configures a run.
type Options struct {
	File     string // name of the plan's file, for the report
	Plan     *plan.Plan
	Parts    []string // Parts() if empty
	Dir      string   // where steps are saved
	Resume   bool     // keep the steps in Dir and measure only the others
	Progress func(line string)

	Program string // path of the craneglade executable, for PartProcesses
}

// InUseError reports that a directory already holds steps.
type InUseError struct{ Dir string }

func (e *InUseError) Error() string {
	return fmt.Sprintf("%s holds steps of an earlier run: continue it with --resume, or use another directory", e.Dir)
}

// PlanMismatchError reports that a directory holds steps of another plan.
type PlanMismatchError struct{ Dir string }

func (e *PlanMismatchError) Error() string {
	return fmt.Sprintf("%s holds steps of another plan, or of this one before it was changed: use another directory", e.Dir)
}

// run is the state of a run.
type run struct {
	Options
	steps []result.Step
}

// Run executes a plan. If it ends early, by an error or with ctx, the report holds what was measured until then.
func Run(ctx context.Context, o Options) (*result.Report, error) {
	steps, err := result.Read(o.Dir)
	if err != nil {
		return nil, err
	}
	if len(steps) > 0 && !o.Resume {
		return nil, &InUseError{o.Dir}
	}
	for _, step := range steps {
		if step.Plan != o.Plan.Digest {
			return nil, &PlanMismatchError{o.Dir}
		}
	}
	if len(o.Parts) == 0 {
		o.Parts = Parts()
	}
	guarded, g := guard.Watch(ctx, guard.Limits{Memory: int64(o.Plan.Limits.Memory), Processes: o.Plan.Limits.Processes})
	r := &run{Options: o, steps: steps}
	err = r.runParts(guarded)
	peak := g.Stop()
	r.Progress(fmt.Sprintf("peak: %d MiB resident, %d processes", peak.Memory>>20, peak.Processes))
	return result.NewReport(o.File, o.Plan.Seed, r.steps), err
}

func (r *run) runParts(ctx context.Context) error {
	if r.selected(PartList) {
		for _, n := range r.Plan.List.Sizes {
			if err := r.runStep(PartList, plan.Step{Endpoints: n}, func() (*result.Step, error) { return endpointlist.Measure(ctx, n) }); err != nil {
				return err
			}
		}
	}
	if r.selected(PartMesh) {
		if err := r.runMesh(ctx); err != nil {
			return err
		}
	}
	if r.selected(PartControl) || r.selected(PartFaults) {
		if err := r.runControl(ctx); err != nil {
			return err
		}
	}
	if r.selected(PartProcesses) {
		r.Progress("starting " + processes.Summary(&r.Plan.Processes))
		size := processes.Size(r.Plan)
		return r.runStep(PartProcesses, size, func() (*result.Step, error) { return processes.Measure(ctx, r.Plan, r.Program) })
	}
	return nil
}

func (r *run) selected(part string) bool { return slices.Contains(r.Parts, part) }

func (r *run) runMesh(ctx context.Context) error {
	for _, tenants := range r.Plan.Mesh.Tenants {
		for _, size := range r.Plan.Steps {
			if r.Plan.Mesh.Skips(size.Nodes, tenants) {
				continue
			}
			measure := func() (*result.Step, error) {
				return mesh.Measure(ctx, size, tenants, int(r.Plan.Mesh.NodeBytesPerSecond))
			}
			if err := r.runStep(mesh.PartName(tenants), size, measure); err != nil {
				return err
			}
		}
	}
	return nil
}

// runControl measures the control plane at each size, and at the largest one under faults.
func (r *run) runControl(ctx context.Context) error {
	for i, size := range r.Plan.Steps {
		faults := r.Plan.Faults
		if i < len(r.Plan.Steps)-1 || !r.selected(PartFaults) {
			faults = nil
		}
		if len(faults) == 0 && (!r.selected(PartControl) || r.hasStep(PartControl, size)) {
			continue
		}
		if err := r.runHierarchy(ctx, size, faults); err != nil {
			return err
		}
	}
	return nil
}

// runHierarchy measures the control plane at one size, with faults.
func (r *run) runHierarchy(ctx context.Context, size plan.Step, faults []plan.Fault) error {
	started := time.Now()
	fleet, out, err := hierarchy.Measure(ctx, r.Plan, size)
	if err != nil {
		return r.stepError(PartControl, size, err)
	}
	if err := r.record(out, started); err != nil {
		return err
	}
	for _, f := range faults {
		started := time.Now()
		out, err := fleet.Fault(ctx, f)
		if err != nil {
			return r.stepError(f.Kind, size, err)
		}
		if err := r.record(out, started); err != nil {
			return err
		}
	}
	out = fleet.Finish()
	if baseline := r.flatBaseline(); baseline != nil && size == r.Plan.Largest() {
		result.CheckFlat(baseline, out, "node", "bytes in", "bytes out", "messages in", "messages out", "heap")
	}
	return r.record(out, started)
}

// flatBaseline returns the smallest step of the control plane with at least flatBaselineNodes nodes, other than the
// largest, or nil.
func (r *run) flatBaseline() *result.Step {
	var baseline *result.Step
	for i := range r.steps {
		s := &r.steps[i]
		if s.Part == PartControl && s.Size.Nodes >= flatBaselineNodes && s.Size != r.Plan.Largest() && (baseline == nil || s.Size.Nodes < baseline.Size.Nodes) {
			baseline = s
		}
	}
	return baseline
}

// runStep measures a step unless it has been measured already.
func (r *run) runStep(part string, size plan.Step, measure func() (*result.Step, error)) error {
	if r.hasStep(part, size) {
		return nil
	}
	started := time.Now()
	out, err := measure()
	if err != nil {
		return r.stepError(part, size, err)
	}
	return r.record(out, started)
}

func (r *run) stepError(part string, size plan.Step, err error) error {
	if errors.Is(err, context.Canceled) {
		return err
	}
	return fmt.Errorf("%s: %w", (&result.Step{Part: part, Size: size}).Where(), err)
}

// record saves a step, replacing one of the same part and size.
func (r *run) record(s *result.Step, started time.Time) error {
	s.Plan = r.Plan.Digest
	r.steps = slices.DeleteFunc(r.steps, func(old result.Step) bool { return old.Part == s.Part && old.Size == s.Size })
	r.steps = append(r.steps, *s)
	r.Progress(fmt.Sprintf("%s: measured in %.0f s", s.Where(), time.Since(started).Seconds()))
	if err := result.Save(r.Dir, s); err != nil {
		return fmt.Errorf("save: %w", err)
	}
	return nil
}

func (r *run) hasStep(part string, size plan.Step) bool {
	return slices.ContainsFunc(r.steps, func(s result.Step) bool { return s.Part == part && s.Size == size })
}
