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

// Run runs the plan. An interrupted run reports the steps measured so far.
func (c scaleCmd) Run(ctx context.Context, a *app) error {
	p, err := plan.Load(c.Plan)
	if err != nil {
		return exitError{ExitUsage, err}
	}
	for _, part := range c.Part {
		if !slices.Contains(scale.Parts(), part) {
			return usageError("--part: %q is none of %s", part, strings.Join(scale.Parts(), ", "))
		}
	}
	if c.Check {
		return c.printNeeds(a, p)
	}
	o := scale.Options{File: c.Plan, Plan: p, Parts: c.Part, Dir: c.Steps, Resume: c.Resume, Progress: func(line string) {
		if !c.Quiet {
			fmt.Fprintln(a.err, line)
		}
	}}
	if c.Processes {
		if p.Processes.Hosts == 0 {
			return usageError("%s: no [processes] table with hosts", c.Plan)
		}
		if o.Program, err = os.Executable(); err != nil {
			return err
		}
		o.Parts = []string{scale.PartProcesses}
	}
	report, err := scale.Run(ctx, o)
	var inUse *scale.InUseError
	if errors.As(err, &inUse) || report == nil {
		return exitError{ExitUsage, err}
	}
	if writeErr := c.write(a, report); writeErr != nil {
		return exitError{ExitUsage, errors.Join(err, writeErr)}
	}
	switch {
	case ctx.Err() != nil:
		return fmt.Errorf("interrupted: %d steps are in %s", len(report.Steps), c.Steps)
	case err != nil:
		return err
	case !result.Passed(report.Steps):
		return exitError{status: ExitFailure}
	}
	return nil
}

// printNeeds prints the size and estimated memory of each step, and the plan's limits.
func (c scaleCmd) printNeeds(a *app, p *plan.Plan) error {
	for _, s := range p.Steps {
		fmt.Fprintf(a.out, "%d nodes, %d endpoints, %d services, %d routes, %d of %d tenants: about %d MiB\n",
			s.Nodes, s.Endpoints, s.Services, s.Routes, p.TenantCount(s), s.Tenants, p.EstimatedMemory(s)>>20)
	}
	fmt.Fprintf(a.out, "limits: %d MiB, %d processes\n", p.Limits.Memory>>20, p.Limits.Processes)
	return nil
}

// write writes the report as a table, and as JSON and HTML where requested.
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

// scaleHostCmd is a child process of a scale run. Its parent keeps its standard input open.
type scaleHostCmd struct {
	Config string `arg:"" type:"path" help:"What the host is told."`
}

// Run hosts hollow nodes until ctx is cancelled or standard input ends.
func (c scaleHostCmd) Run(ctx context.Context, a *app) error {
	text, err := os.ReadFile(c.Config)
	if err != nil {
		return exitError{ExitUsage, err}
	}
	var cfg hollow.HostConfig
	if err := json.Unmarshal(text, &cfg); err != nil {
		return usageError("%s: %w", c.Config, err)
	}
	return hollow.Run(ctx, &cfg, os.Stdin, a.out, slog.New(slog.NewTextHandler(a.err, &slog.HandlerOptions{Level: slog.LevelWarn})))
}
