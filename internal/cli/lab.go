package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"

	"craneglade/internal/kit/lab"
	"craneglade/internal/kit/plan"
	"craneglade/internal/kit/trace"
	"craneglade/internal/settings"
	"craneglade/policy"
)

type labCmd struct {
	Scenario string   `arg:"" optional:"" default:"peak-short" help:"A shipped scenario, or a file that ends in .toml."`
	Seeds    int      `default:"10" placeholder:"N" help:"Play so many seeds."`
	Seed     uint64   `default:"1" help:"The first of them; the others follow it."`
	Set      []string `placeholder:"FIGURE=V,..." sep:"none" help:"A further setting: figures that differ from those in service, such as divert=0.8,aim_part=0.4. Can be given again. Figures: ${figures}."`
	Grid     []string `placeholder:"FIGURE=V,V,..." sep:"none" help:"Every combination of these values as a setting. Can be given again, for another figure."`
	Share    []string `placeholder:"USE,..." sep:"none" help:"A further setting: nodes that share state and use it for quotas, escrow, ejections, or nothing. Can be given again."`
	Sites    []string `placeholder:"FILE" type:"path" help:"A further setting: nodes that watch sites, with the plan for their loss in this file's [sites]. Can be given again."`
	Loss     float64  `placeholder:"PART" help:"Part of what nodes tell each other that is lost, with --share."`
	Only     bool     `help:"Leave out the setting that is in service."`
	Workers  int      `placeholder:"N" help:"Play so many days at a time; without it one for each processor."`
	Trace    string   `placeholder:"FILE" type:"path" help:"Play only the first seed with the first setting, and keep its trace, for craneglade judge."`
	Counts   bool     `help:"Play only the first seed with the first setting, and write what all nodes did together, second by second."`
	Chart    string   `placeholder:"FILE" type:"path" help:"The same, drawn as SVG."`
	Beliefs  string   `placeholder:"FILE" type:"path" help:"The same, and keep what each node believes of each box, once a second beside what is true, in JSON lines."`

	outputs `embed:""`
}

// Run simulates the scenario with each seed and setting and compares the settings.
func (c labCmd) Run(ctx context.Context, a *app) error {
	s, err := loadScenario(c.Scenario)
	if err != nil {
		return err
	}
	if c.Seeds < 1 || c.Seeds > 100000 {
		return usageError("--seeds: %d is outside 1 to 100000", c.Seeds)
	}
	labSettings, err := c.settings()
	if err != nil {
		return err
	}
	sweep := &lab.Sweep{Name: strings.TrimSuffix(filepath.Base(c.Scenario), ".toml"), Scenario: s, Settings: labSettings, Workers: c.Workers}
	if c.Trace != "" || c.Beliefs != "" || c.Counts || c.Chart != "" {
		return c.playOne(a, sweep)
	}
	for i := range c.Seeds {
		sweep.Seeds = append(sweep.Seeds, c.Seed+uint64(i))
	}
	terminal := isTerminal(a.out)
	out, err := sweep.Run(ctx, func(played, all int) {
		if terminal {
			fmt.Fprintf(a.out, "\r\x1b[K%d of %d days", played, all)
		}
	})
	if terminal {
		fmt.Fprint(a.out, "\r\x1b[K")
	}
	if err != nil {
		return exitError{ExitUsage, err}
	}
	if err := writeOutcomes(a.out, sweep, out); err != nil {
		return err
	}
	for _, f := range []struct {
		path  string
		write func(io.Writer) error
	}{{c.JSON, func(w io.Writer) error {
		enc := json.NewEncoder(w)
		enc.SetIndent("", " ")
		return enc.Encode(out)
	}}, {c.HTML, func(w io.Writer) error { return sweep.Page(w, out) }}} {
		if f.path == "" {
			continue
		}
		if err := save(f.path, f.write); err != nil {
			return exitError{ExitUsage, err}
		}
	}
	for _, o := range out {
		if o.Broken > 0 {
			return exitError{status: ExitFailure}
		}
	}
	return nil
}

// writeOutcomes writes the outcomes as text tables.
func writeOutcomes(w io.Writer, s *lab.Sweep, out []lab.Outcome) error {
	fmt.Fprintf(w, "%s, seeds %d to %d; 95%% intervals\n\n", s.Name, s.Seeds[0], s.Seeds[len(s.Seeds)-1])
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "setting\tfigure\tagainst the first\tworth in time\trefused\trefused twice\trules\tworth in time by window\n")
	for i := range out {
		o := &out[i]
		rules := "kept"
		if o.Broken > 0 {
			rules = fmt.Sprintf("BROKEN in %d", o.Broken)
		}
		against := lab.Paired(&out[0], o, func(d *lab.PlayResult) float64 { return d.Figure })
		fmt.Fprintf(t, "%s\t%v\t%+.3f ±%.3f\t%v\t%.3f\t%.3f\t%s\t", o.Setting.Name, o.Figure, against.Mean, against.Half, o.Share, o.Refused.Mean, o.Twice.Mean, rules)
		for _, x := range o.Windows {
			fmt.Fprintf(t, "%.3f ", x.Share.Mean)
		}
		fmt.Fprintln(t)
	}
	fmt.Fprint(t, "\n")
	for i := range out[0].Costs {
		fmt.Fprintf(t, "%s", out[0].Costs[i].Name)
		for _, o := range out {
			fmt.Fprintf(t, "\t%v", o.Costs[i].Estimate)
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for i := range out {
		for _, d := range out[i].PerSeed {
			if d.Broken != "" {
				fmt.Fprintf(w, "\n%s, seed %d: %s\n", out[i].Setting.Name, d.Seed, d.Broken)
			}
		}
	}
	return nil
}

// playOne simulates the first seed with the first setting and writes the requested trace, beliefs, chart and counts.
func (c labCmd) playOne(a *app, s *lab.Sweep) (err error) {
	o := lab.Options{Name: s.Name, Plan: plan.New(s.Scenario, c.Seed), Tuning: s.Settings[0].Tuning, Sharing: s.Settings[0].Share, Record: func(*trace.Record) {}}
	if c.Trace != "" {
		f, err := os.Create(c.Trace)
		if err != nil {
			return exitError{ExitUsage, err}
		}
		w := trace.NewWriter(f, lab.Head(&o))
		defer func() { err = errors.Join(err, w.Close(), f.Close()) }()
		o.Record = w.Add
	}
	if c.Beliefs != "" {
		f, err := os.Create(c.Beliefs)
		if err != nil {
			return exitError{ExitUsage, err}
		}
		buf := bufio.NewWriter(f)
		enc := json.NewEncoder(buf)
		var encodeErr error
		o.Belief = func(b lab.Belief) {
			if encodeErr == nil {
				encodeErr = enc.Encode(b)
			}
		}
		defer func() { err = errors.Join(err, encodeErr, buf.Flush(), f.Close()) }()
	}
	o.Counts = &lab.Counts{}
	if err := lab.Play(o); err != nil {
		return exitError{ExitUsage, err}
	}
	if c.Chart != "" {
		if err := save(c.Chart, o.Counts.Chart); err != nil {
			return exitError{ExitUsage, err}
		}
	}
	if c.Counts {
		return writeCounts(a.out, o.Counts)
	}
	return nil
}

// writeCounts writes the nodes' counts for each second as a text table.
func writeCounts(w io.Writer, c *lab.Counts) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "second\tattempts\tnew conns\tshaken s\tacross\tcold s\tbudget\tuntried\ttried\tlist\twhole\taway\treport s\tno report\topen\topen p99\theld\tbelieved\t")
	for i := range c.Seconds {
		s := &c.Seconds[i]
		fmt.Fprintf(t, "%d\t%d\t%d\t%.1f\t%d\t%.1f\t%.2f\t%d\t%d\t%d\t%d\t%d\t%.2f\t%d\t%.1f\t%.0f\t%.2f\t%.2f\t\n", s.At, s.Attempts, s.NewConns, s.HandshakeCoreSeconds,
			s.CrossSite, s.ColdCoreSeconds, s.ColdBudgetUsed, s.RefusedUntried, s.RefusedTried, s.ListCalls, s.FullLists, s.ListCallsRejected, s.ReportAgeSeconds, s.WithoutReport, s.Open, s.OpenP99, s.InFlight, s.BelievedInFlight)
	}
	return t.Flush()
}

// figures are the policy parameters that a setting can change, with their bounds.
var figures = []struct {
	name     string
	min, max float64
	of       func(*policy.Tuning) *float64
}{
	{"aim_part", 0.01, 10, func(t *policy.Tuning) *float64 { return &t.AimPart }},
	{"divert", 0, 1, func(t *policy.Tuning) *float64 { return &t.Divert }},
	{"h", 0, 1e6, func(t *policy.Tuning) *float64 { return &t.H }},
	{"heal", 0, 1e6, func(t *policy.Tuning) *float64 { return &t.Heal }},
	{"ramp", 0.001, 1e6, func(t *policy.Tuning) *float64 { return &t.Ramp }},
	{"overtake", 0, 1e6, func(t *policy.Tuning) *float64 { return &t.Overtake }},
}

func figureNames() string {
	var names []string
	for _, f := range figures {
		names = append(names, f.name)
	}
	return strings.Join(names, ", ")
}

// setFigure sets one figure of a tuning.
func setFigure(t *policy.Tuning, flag, name, value string) error {
	for _, f := range figures {
		if f.name != name {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(v) || v < f.min || v > f.max {
			return usageError("%s: %s=%s is not a number from %g to %g", flag, name, value, f.min, f.max)
		}
		*f.of(t) = v
		return nil
	}
	return usageError("%s: %q is none of %s", flag, name, figureNames())
}

// settings returns the settings that the flags request.
func (c labCmd) settings() ([]lab.Setting, error) {
	var out []lab.Setting
	if !c.Only {
		out = append(out, lab.Setting{Name: "in service", Tuning: policy.DefaultTuning()})
	}
	for _, text := range c.Set {
		s := lab.Setting{Name: text, Tuning: policy.DefaultTuning()}
		for _, part := range strings.Split(text, ",") {
			name, value, ok := strings.Cut(part, "=")
			if !ok {
				return nil, usageError("--set: %q is not of the form figure=value", part)
			}
			if err := setFigure(&s.Tuning, "--set", name, value); err != nil {
				return nil, err
			}
		}
		out = append(out, s)
	}
	var sitePlans []*lab.Siting
	for _, file := range c.Sites {
		localSettings, err := settings.Load(file)
		if err != nil {
			return nil, exitError{ExitUsage, err}
		}
		if !localSettings.Sites.On() {
			return nil, usageError("--sites: %s has no [[sites.site]], and no sites.watch = true", file)
		}
		sitePlans = append(sitePlans, &lab.Siting{Plan: localSettings.Sites.Plan})
		out = append(out, lab.Setting{Name: "sites " + filepath.Base(file), Tuning: policy.DefaultTuning(), Sites: sitePlans[len(sitePlans)-1]})
	}
	for _, text := range c.Share {
		use, err := settings.ParseFeatures(strings.Split(text, ","))
		if err != nil {
			return nil, usageError("--share: %w", err)
		}
		if c.Loss < 0 || c.Loss >= 1 {
			return nil, usageError("--loss: %v is outside 0 to 1", c.Loss)
		}
		setting := lab.Setting{Name: "share " + text, Tuning: policy.DefaultTuning(), Share: &lab.Sharing{Use: use, Loss: c.Loss, BytesPS: settings.DefaultBytesPerSecond}}
		if use.Crossing {
			if len(sitePlans) == 0 || sitePlans[0].Plan == nil {
				return nil, usageError("--share: crossing needs a plan: --sites FILE")
			}
			setting.Sites = sitePlans[0]
		}
		out = append(out, setting)
	}
	var grid []lab.Setting
	for _, text := range c.Grid {
		name, values, ok := strings.Cut(text, "=")
		if !ok {
			return nil, usageError("--grid: %q is not of the form figure=value,value", text)
		}
		from := grid
		if from == nil {
			from = []lab.Setting{{Tuning: policy.DefaultTuning()}}
		}
		grid = nil
		for _, s := range from {
			for _, v := range strings.Split(values, ",") {
				n := lab.Setting{Name: strings.TrimPrefix(s.Name+","+name+"="+v, ","), Tuning: s.Tuning}
				if err := setFigure(&n.Tuning, "--grid", name, v); err != nil {
					return nil, err
				}
				grid = append(grid, n)
			}
		}
	}
	if out = append(out, grid...); len(out) == 0 {
		return nil, usageError("--only: no setting is left: give --set, --share or --grid")
	}
	return out, nil
}
