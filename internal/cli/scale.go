package cli

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"craneglade/internal/kit/scale"
	"craneglade/internal/kit/scale/plan"
	"craneglade/internal/kit/scale/result"
)

type scaleCmd struct {
	Plan   string   `arg:"" type:"path" help:"The plan, such as deploy/scale/target.toml."`
	Check  bool     `help:"Check the plan, print what it needs, and play nothing."`
	Steps  string   `default:"scale-steps" placeholder:"DIR" type:"path" help:"Where each step is saved as soon as it is measured (${default})."`
	Resume bool     `help:"Go on with an interrupted run: steps that are there are not played again."`
	Part   []string `placeholder:"PART,..." help:"Only these parts: list, mesh, control, faults."`
	JSON   string   `placeholder:"FILE" type:"path" help:"Write all figures and slopes as JSON."`
	HTML   string   `placeholder:"FILE" type:"path" help:"Write charts and the table as one page that needs nothing else."`
	Quiet  bool     `short:"q" help:"Show no progress."`
}

// Run plays a scale run. An interruption keeps the steps that are measured, and reports these.
func (c scaleCmd) Run(ctx context.Context, a *app) error {
	p, err := plan.Load(c.Plan)
	if err != nil {
		return exit{ExitUsage, err}
	}
	for _, part := range c.Part {
		if !slices.Contains(scale.Parts(), part) {
			return usage("--part: %q is none of %s", part, strings.Join(scale.Parts(), ", "))
		}
	}
	if c.Check {
		return c.need(a, p)
	}
	report, err := scale.Play(ctx, scale.Options{File: c.Plan, Plan: p, Parts: c.Part, Dir: c.Steps, Resume: c.Resume, Tell: func(line string) {
		if !c.Quiet {
			fmt.Fprintln(a.err, line)
		}
	}})
	var inUse *scale.InUseError
	if errors.As(err, &inUse) || report == nil {
		return exit{ExitUsage, err}
	}
	if wrong := c.write(a, report); wrong != nil {
		return exit{ExitUsage, errors.Join(err, wrong)}
	}
	switch {
	case ctx.Err() != nil:
		return fmt.Errorf("interrupted: %d steps are in %s", len(report.Steps), c.Steps)
	case err != nil:
		return err
	case !result.Passed(report.Steps):
		return exit{status: ExitBroken}
	}
	return nil
}

// need prints what a plan needs of the machine.
func (c scaleCmd) need(a *app, p *plan.Plan) error {
	for _, s := range p.Steps {
		fmt.Fprintf(a.out, "%d nodes, %d endpoints, %d services, %d routes, %d of %d tenants: about %d MiB\n",
			s.Nodes, s.Endpoints, s.Services, s.Routes, p.Tenants(s), s.Tenants, p.Memory(s)>>20)
	}
	fmt.Fprintf(a.out, "limits: %d MiB, %d processes\n", p.Limits.Memory>>20, p.Limits.Processes)
	return nil
}

// write writes the report wherever it was asked for.
func (c scaleCmd) write(a *app, r *result.Report) error {
	err := r.Table(a.out)
	if c.JSON != "" {
		err = errors.Join(err, save(c.JSON, r.JSON))
	}
	if c.HTML != "" {
		err = errors.Join(err, save(c.HTML, r.Page))
	}
	return err
}
