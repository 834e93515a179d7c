// Package scale plays a fleet at several sizes, and measures what each of its processes and each change costs: what nodes
// share today (package mesh), what a list of endpoints costs today (endpointlist), and the control plane, with faults
// (hierarchy). Each step is saved as soon as it is measured.
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

	// PartProcesses plays real processes. It is played only where it is asked for.
	PartProcesses = "processes"
)

// flatNodes is the size from which on a node is to cost the same.
const flatNodes = 300

// Parts are those that are played where none is asked for, in their order.
func Parts() []string { return []string{PartList, PartMesh, PartControl, PartFaults} }

// Options say what is played.
type Options struct {
	File     string // of the plan, for the report
	Plan     *plan.Plan
	Parts    []string // none for Parts()
	Dir      string   // where steps are saved
	Resume   bool     // steps that Dir holds are not played again
	Progress func(line string)

	Program string // the file of craneglade itself, for PartProcesses
}

// InUseError tells that a directory holds steps already.
type InUseError struct{ Dir string }

func (e *InUseError) Error() string {
	return fmt.Sprintf("%s holds steps of an earlier run: go on with --resume, or give another directory", e.Dir)
}

// OtherPlanError tells that a directory holds steps of another plan.
type OtherPlanError struct{ Dir string }

func (e *OtherPlanError) Error() string {
	return fmt.Sprintf("%s holds steps of another plan, or of this one before it was changed: give another directory", e.Dir)
}

// run is one run.
type run struct {
	Options
	steps []result.Step
}

// Run plays a plan. Where it ends early, by an error or with ctx, the report has what was measured until then.
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
			return nil, &OtherPlanError{o.Dir}
		}
	}
	if len(o.Parts) == 0 {
		o.Parts = Parts()
	}
	watched, g := guard.Watch(ctx, guard.Limits{Memory: int64(o.Plan.Limits.Memory), Processes: o.Plan.Limits.Processes})
	r := &run{Options: o, steps: steps}
	err = r.play(watched)
	most := g.Stop()
	r.Progress(fmt.Sprintf("at most %d MiB resident, %d processes", most.Memory>>20, most.Processes))
	return result.NewReport(o.File, o.Plan.Seed, r.steps), err
}

func (r *run) play(ctx context.Context) error {
	if r.wants(PartList) {
		for _, n := range r.Plan.List.Sizes {
			if err := r.step(PartList, plan.Step{Endpoints: n}, func() (*result.Step, error) { return endpointlist.Measure(ctx, n) }); err != nil {
				return err
			}
		}
	}
	if r.wants(PartMesh) {
		if err := r.mesh(ctx); err != nil {
			return err
		}
	}
	if r.wants(PartControl) || r.wants(PartFaults) {
		if err := r.control(ctx); err != nil {
			return err
		}
	}
	if r.wants(PartProcesses) {
		r.Progress("starting " + processes.Names(&r.Plan.Processes))
		size := processes.Size(r.Plan)
		return r.step(PartProcesses, size, func() (*result.Step, error) { return processes.Measure(ctx, r.Plan, r.Program) })
	}
	return nil
}

func (r *run) wants(part string) bool { return slices.Contains(r.Parts, part) }

func (r *run) mesh(ctx context.Context) error {
	for _, tenants := range r.Plan.Mesh.Tenants {
		for _, size := range r.Plan.Steps {
			if r.Plan.Mesh.Skips(size.Nodes, tenants) {
				continue
			}
			play := func() (*result.Step, error) { return mesh.Measure(ctx, size, tenants, int(r.Plan.Mesh.NodeBytes)) }
			if err := r.step(mesh.Part(tenants), size, play); err != nil {
				return err
			}
		}
	}
	return nil
}

// control plays the control plane at each size. The largest goes on with the faults.
func (r *run) control(ctx context.Context) error {
	for i, size := range r.Plan.Steps {
		faults := r.Plan.Faults
		if i < len(r.Plan.Steps)-1 || !r.wants(PartFaults) {
			faults = nil
		}
		if len(faults) == 0 && (!r.wants(PartControl) || r.has(PartControl, size)) {
			continue
		}
		if err := r.hierarchy(ctx, size, faults); err != nil {
			return err
		}
	}
	return nil
}

// hierarchy plays one size of the control plane, with faults.
func (r *run) hierarchy(ctx context.Context, size plan.Step, faults []plan.Fault) error {
	began := time.Now()
	played, out, err := hierarchy.Measure(ctx, r.Plan, size)
	if err != nil {
		return r.failed(PartControl, size, err)
	}
	if err := r.keep(out, began); err != nil {
		return err
	}
	for _, f := range faults {
		began := time.Now()
		out, err := played.Fault(ctx, f)
		if err != nil {
			return r.failed(f.Kind, size, err)
		}
		if err := r.keep(out, began); err != nil {
			return err
		}
	}
	out = played.Finish()
	if small := r.flatFrom(); small != nil && size == r.Plan.Largest() {
		result.CheckFlat(small, out, "node", "bytes in", "bytes out", "messages in", "messages out", "heap")
	}
	return r.keep(out, began)
}

// flatFrom is the smallest step of the control plane from which on a node is to cost the same, or nil where none was played.
func (r *run) flatFrom() *result.Step {
	var from *result.Step
	for i := range r.steps {
		s := &r.steps[i]
		if s.Part == PartControl && s.Size.Nodes >= flatNodes && s.Size != r.Plan.Largest() && (from == nil || s.Size.Nodes < from.Size.Nodes) {
			from = s
		}
	}
	return from
}

// step plays a step, unless it is there already.
func (r *run) step(part string, size plan.Step, play func() (*result.Step, error)) error {
	if r.has(part, size) {
		return nil
	}
	began := time.Now()
	out, err := play()
	if err != nil {
		return r.failed(part, size, err)
	}
	return r.keep(out, began)
}

func (r *run) failed(part string, size plan.Step, err error) error {
	if errors.Is(err, context.Canceled) {
		return err
	}
	return fmt.Errorf("%s: %w", (&result.Step{Part: part, Size: size}).Where(), err)
}

// keep saves a step, in place of one of the same part and size.
func (r *run) keep(s *result.Step, began time.Time) error {
	s.Plan = r.Plan.Digest
	r.steps = slices.DeleteFunc(r.steps, func(old result.Step) bool { return old.Part == s.Part && old.Size == s.Size })
	r.steps = append(r.steps, *s)
	r.Progress(fmt.Sprintf("%s: measured in %.0f s", s.Where(), time.Since(began).Seconds()))
	if err := result.Save(r.Dir, s); err != nil {
		return fmt.Errorf("save: %w", err)
	}
	return nil
}

func (r *run) has(part string, size plan.Step) bool {
	return slices.ContainsFunc(r.steps, func(s result.Step) bool { return s.Part == part && s.Size == size })
}
