package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strings"

	"craneglade/internal/kit/scale"
	"craneglade/internal/kit/scale/hollow"
	"craneglade/internal/kit/scale/plan"
	"craneglade/internal/kit/scale/result"
)

type scaleCmd struct {
	Plan      string   `arg:"" help:"The plan, such as deploy/scale/target.toml."`
	Check     bool     `help:"Check the plan, print what it needs, and play nothing."`
	Steps     string   `default:"scale-steps" placeholder:"DIR" type:"path" help:"Where each step is saved as soon as it is measured (${default})."`
	Resume    bool     `help:"Go on with an interrupted run: steps that are there are not played again."`
	Part      []string `placeholder:"PART,..." help:"Only these parts: list, mesh, control, faults."`
	Processes bool     `help:"Play only the plan's real processes: a writer, relays, hosts of hollow nodes and daemons with requests, on loopback."`

	JSON  string `placeholder:"FILE" type:"path" help:"Write all figures and slopes as JSON."`
	HTML  string `placeholder:"FILE" type:"path" help:"Write charts and the table as one page that needs nothing else."`
	Quiet bool   `short:"q" help:"Show no progress."`
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
	o := scale.Options{File: c.Plan, Plan: p, Parts: c.Part, Dir: c.Steps, Resume: c.Resume, Progress: func(line string) {
		if !c.Quiet {
			fmt.Fprintln(a.err, line)
		}
	}}
	if c.Processes {
		if p.Processes.Hosts == 0 {
			return usage("%s: there is no [processes] with hosts in it", c.Plan)
		}
		if o.Program, err = os.Executable(); err != nil {
			return err
		}
		o.Parts = []string{scale.PartProcesses}
	}
	report, err := scale.Run(ctx, o)
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
			s.Nodes, s.Endpoints, s.Services, s.Routes, p.TenantCount(s), s.Tenants, p.EstimatedMemory(s)>>20)
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

// scaleHostCmd is a process of a scale run. Its input is held open by who started it.
type scaleHostCmd struct {
	Config string `arg:"" type:"path" help:"What the host is told."`
}

// Run hosts hollow nodes until ctx or standard input ends.
func (c scaleHostCmd) Run(ctx context.Context, a *app) error {
	text, err := os.ReadFile(c.Config)
	if err != nil {
		return exit{ExitUsage, err}
	}
	var cfg hollow.HostConfig
	if err := json.Unmarshal(text, &cfg); err != nil {
		return usage("%s: %w", c.Config, err)
	}
	return hollow.Run(ctx, &cfg, os.Stdin, a.out, slog.New(slog.NewTextHandler(a.err, &slog.HandlerOptions{Level: slog.LevelWarn})))
}
