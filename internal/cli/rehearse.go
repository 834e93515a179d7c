package cli

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/term"

	"craneglade/internal/kit/plan"
	"craneglade/internal/kit/report"
	"craneglade/internal/kit/run"
	"craneglade/internal/kit/scenario"
)

type outputs struct {
	JSON string `placeholder:"FILE" type:"path" help:"Write the report as JSON."`
	HTML string `placeholder:"FILE" type:"path" help:"Write the report as one page that needs nothing else."`
}

type rehearseCmd struct {
	Scenario string   `arg:"" optional:"" default:"opening" help:"A shipped scenario, or a file that ends in .toml."`
	List     bool     `help:"List the shipped scenarios."`
	Show     bool     `help:"Print a shipped scenario, to start a file of one's own from."`
	Seed     uint64   `help:"Play the day that this number gives. Without it: the scenario's own, else one drawn now."`
	Trace    string   `placeholder:"FILE" type:"path" help:"Keep the trace."`
	Logs     string   `placeholder:"DIR" type:"path" help:"Keep the nodes' configurations and logs."`
	Node     []string `placeholder:"ARG" sep:"none" help:"Rehearse another program in place of this daemon; once for its name and once for each argument."`
	Quiet    bool     `short:"q" help:"Show no progress."`
	Plan     bool     `help:"Print all that would happen, and play nothing."`

	outputs `embed:""`
}

func isJSON(file string) bool { return strings.HasSuffix(file, ".json") }

// loadScenario reads a scenario. An error has the status ExitUsage.
func loadScenario(name string) (*scenario.Scenario, error) {
	s, err := scenario.Load(name)
	if err != nil {
		return nil, exitError{ExitUsage, err}
	}
	return s, nil
}

// Run runs a rehearsal and reports its verdict.
func (c rehearseCmd) Run(ctx context.Context, a *app) error {
	if c.List {
		return c.list(a.out)
	}
	if c.Show {
		text, err := scenario.Text(c.Scenario)
		if err != nil {
			return exitError{ExitUsage, err}
		}
		_, err = a.out.Write(text)
		return err
	}
	s, err := loadScenario(c.Scenario)
	if err != nil {
		return err
	}
	if s.List.MaxCalls > 0 {
		return usageError("list.calls: only the laboratory plays a list of fixed capacity: use lab, or leave it out")
	}
	seed := c.Seed
	if seed == 0 {
		seed = s.Seed
	}
	if seed == 0 {
		seed = rand.Uint64N(1e9) + 1
	}
	p := plan.New(s, seed)
	if c.Plan {
		out := bufio.NewWriter(a.out)
		return errors.Join(p.Write(out), out.Flush())
	}
	command := c.Node
	if len(command) == 0 {
		self, err := os.Executable()
		if err != nil {
			return fmt.Errorf("locate the craneglade executable: %w", err)
		}
		command = []string{self, "serve"}
	}
	dir := c.Logs
	if dir == "" {
		if dir, err = os.MkdirTemp("", "craneglade-"); err != nil {
			return err
		}
		defer os.RemoveAll(dir) // created above by MkdirTemp
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return exitError{ExitUsage, err}
	}
	file, keepTrace, err := c.openTrace()
	if err != nil {
		return exitError{ExitUsage, err}
	}
	defer file.Close()
	name := strings.TrimSuffix(filepath.Base(c.Scenario), ".toml")
	progress := &progressView{out: a.out, quiet: c.Quiet, terminal: isTerminal(a.out)}
	progress.printf("%s, seed %d: %d nodes, %d boxes, %v", name, seed, s.Nodes.Count, s.Backends(), s.Length)
	cost, err := run.Play(ctx, run.Options{Name: name, Plan: p, Command: command, Dir: dir, Trace: file, Progress: progress.status, Note: progress.note})
	progress.end()
	if err != nil {
		return err
	}
	if _, err := file.Seek(0, io.SeekStart); err != nil {
		return err
	}
	rep, err := report.Read(file)
	if err != nil {
		return err
	}
	rep.Kit = cost
	err = c.finish(a, rep)
	if status := (exitError{}); !keepTrace {
		if errors.As(err, &status) && status.status != ExitUsage {
			fmt.Fprintf(a.out, "\nthe trace is kept: %s\n", file.Name())
		} else {
			os.Remove(file.Name())
		}
	}
	return err
}

func (c rehearseCmd) list(w io.Writer) error {
	for _, name := range scenario.Names() {
		s, err := scenario.Load(name)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "%-20s %6s  %s\n", name, s.Length, s.Title); err != nil {
			return err
		}
	}
	return nil
}

// openTrace creates the trace file and reports whether the user requested it.
func (c rehearseCmd) openTrace() (*os.File, bool, error) {
	if c.Trace == "" {
		f, err := os.CreateTemp("", "craneglade-*.trace")
		return f, false, err
	}
	f, err := os.Create(c.Trace)
	return f, true, err
}

// finish writes the report and turns the verdict into an exit status.
func (o outputs) finish(a *app, rep *report.Report) error {
	if err := rep.Text(a.out); err != nil {
		return err
	}
	for _, f := range []struct {
		path  string
		write func(io.Writer) error
	}{{o.JSON, rep.JSON}, {o.HTML, rep.HTML}} {
		if f.path == "" {
			continue
		}
		if err := save(f.path, f.write); err != nil {
			return exitError{ExitUsage, err}
		}
	}
	v := rep.Verdict
	switch {
	case v.Crashes > 0:
		return exitError{status: ExitFailure}
	case v.Void != "" || !v.Whole:
		return exitError{status: ExitInconclusive}
	case len(v.Violations) > 0:
		return exitError{status: ExitFailure}
	case len(v.Undecided) > 0:
		return exitError{status: ExitInconclusive}
	}
	return nil
}

func save(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}

type judgeCmd struct {
	Trace string `arg:"" help:"The trace that a rehearsal kept."`

	outputs `embed:""`
}

// Run judges a trace.
func (c judgeCmd) Run(a *app) error {
	f, err := os.Open(c.Trace)
	if err != nil {
		return exitError{ExitUsage, err}
	}
	defer f.Close()
	rep, err := report.Read(f)
	if err != nil {
		return usageError("%s: %w", c.Trace, err)
	}
	return c.finish(a, rep)
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	return ok && term.IsTerminal(int(f.Fd()))
}

// progressView shows the progress of a rehearsal: a status line that is redrawn on a terminal, a new line each second elsewhere.
type progressView struct {
	out             io.Writer
	quiet, terminal bool
	drawn           bool
	last            run.Status
}

func (v *progressView) printf(format string, args ...any) {
	if !v.quiet {
		v.clear()
		fmt.Fprintf(v.out, format+"\n", args...)
	}
}

func (v *progressView) note(text string) { v.printf("        * %s", text) }

// clear erases the status line.
func (v *progressView) clear() {
	if v.drawn {
		fmt.Fprint(v.out, "\r\x1b[K")
		v.drawn = false
	}
}

func (v *progressView) end() { v.clear() }

func (v *progressView) status(s run.Status) {
	if v.quiet {
		return
	}
	previous := v.last
	v.last = s
	ended := s.InTime + s.Late + s.Refused + s.Failed + s.Unreached - previous.InTime - previous.Late - previous.Refused - previous.Failed - previous.Unreached
	share := 100.0
	if ended > 0 {
		share = 100 * float64(s.InTime-previous.InTime) / float64(ended)
	}
	var states []string
	for _, x := range []struct {
		n    int
		name string
	}{{s.Cold, "cold"}, {s.Slow, "slow"}, {s.Draining, "leaving"}, {s.Silent, "silent"}, {s.Fallen, "fallen"}} {
		if x.n > 0 {
			states = append(states, fmt.Sprintf("%d %s", x.n, x.name))
		}
	}
	extra := ""
	if len(states) > 0 {
		extra = " (" + strings.Join(states, ", ") + ")"
	}
	text := fmt.Sprintf("%4.0f s  %4d/s asked  %5.1f%% in time  %3d refused  %3d failed  %4d open  %d nodes  %d boxes%s", min(s.At, s.Length+time.Hour).Seconds(),
		s.Requests-previous.Requests, share, s.Refused-previous.Refused, s.Failed+s.Unreached-previous.Failed-previous.Unreached, s.Open, s.Nodes, s.Backends, extra)
	if !v.terminal {
		fmt.Fprintln(v.out, text)
		return
	}
	bar := 20
	done := min(bar, int(float64(bar)*s.At.Seconds()/s.Length.Seconds()))
	fmt.Fprintf(v.out, "\r\x1b[K[%s%s] %s", strings.Repeat("=", done), strings.Repeat(" ", bar-done), text)
	v.drawn = true
}
