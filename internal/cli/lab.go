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

// Run plays the laboratory.
func (c labCmd) Run(ctx context.Context, a *app) error {
	s, err := load(c.Scenario)
	if err != nil {
		return err
	}
	if c.Seeds < 1 || c.Seeds > 100000 {
		return usage("--seeds: %d is outside 1 to 100000", c.Seeds)
	}
	sets, err := c.settings()
	if err != nil {
		return err
	}
	sweep := &lab.Sweep{Name: strings.TrimSuffix(filepath.Base(c.Scenario), ".toml"), Scenario: s, Settings: sets, Workers: c.Workers}
	if c.Trace != "" || c.Beliefs != "" || c.Counts || c.Chart != "" {
		return c.one(a, sweep)
	}
	for i := range c.Seeds {
		sweep.Seeds = append(sweep.Seeds, c.Seed+uint64(i))
	}
	live := isTerminal(a.out)
	out, err := sweep.Run(ctx, func(played, all int) {
		if live {
			fmt.Fprintf(a.out, "\r\x1b[K%d of %d days", played, all)
		}
	})
	if live {
		fmt.Fprint(a.out, "\r\x1b[K")
	}
	if err != nil {
		return exit{ExitUsage, err}
	}
	if err := table(a.out, sweep, out); err != nil {
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
			return exit{ExitUsage, err}
		}
	}
	for _, o := range out {
		if o.Broken > 0 {
			return exit{status: ExitBroken}
		}
	}
	return nil
}

// table writes the outcomes for a terminal.
func table(w io.Writer, s *lab.Sweep, out []lab.Outcome) error {
	fmt.Fprintf(w, "%s, seeds %d to %d; 95%% intervals\n\n", s.Name, s.Seeds[0], s.Seeds[len(s.Seeds)-1])
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "setting\tfigure\tagainst the first\tworth in time\trefused\trefused twice\trules\tworth in time by window\n")
	for i := range out {
		o := &out[i]
		rules := "kept"
		if o.Broken > 0 {
			rules = fmt.Sprintf("BROKEN in %d", o.Broken)
		}
		against := lab.Paired(&out[0], o, func(d *lab.Day) float64 { return d.Figure })
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
			fmt.Fprintf(t, "\t%v", o.Costs[i].Is)
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

// one plays the first seed with the first setting and keeps what it was asked for.
func (c labCmd) one(a *app, s *lab.Sweep) (err error) {
	o := lab.Options{Name: s.Name, Plan: plan.New(s.Scenario, c.Seed), Tuning: s.Settings[0].Tuning, Sharing: s.Settings[0].Share, Record: func(*trace.Record) {}}
	if c.Trace != "" {
		f, err := os.Create(c.Trace)
		if err != nil {
			return exit{ExitUsage, err}
		}
		w := trace.NewWriter(f, lab.Head(&o))
		defer func() { err = errors.Join(err, w.Close(), f.Close()) }()
		o.Record = w.Add
	}
	if c.Beliefs != "" {
		f, err := os.Create(c.Beliefs)
		if err != nil {
			return exit{ExitUsage, err}
		}
		buf := bufio.NewWriter(f)
		enc := json.NewEncoder(buf)
		var bad error
		o.Belief = func(b lab.Belief) {
			if bad == nil {
				bad = enc.Encode(b)
			}
		}
		defer func() { err = errors.Join(err, bad, buf.Flush(), f.Close()) }()
	}
	o.Counts = &lab.Counts{}
	if err := lab.Play(o); err != nil {
		return exit{ExitUsage, err}
	}
	if c.Chart != "" {
		if err := save(c.Chart, o.Counts.Chart); err != nil {
			return exit{ExitUsage, err}
		}
	}
	if c.Counts {
		return counted(a.out, o.Counts)
	}
	return nil
}

// counted writes what the nodes did by second, for a terminal.
func counted(w io.Writer, c *lab.Counts) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "second\tattempts\tnew conns\tshaken s\tacross\tcold s\tbudget\tuntried\ttried\tlist\twhole\taway\treport s\tno report\topen\topen p99\theld\tbelieved\t")
	for i := range c.Seconds {
		s := &c.Seconds[i]
		fmt.Fprintf(t, "%d\t%d\t%d\t%.1f\t%d\t%.1f\t%.2f\t%d\t%d\t%d\t%d\t%d\t%.2f\t%d\t%.1f\t%.0f\t%.2f\t%.2f\t\n", s.At, s.Attempts, s.NewConns, s.Shaken,
			s.Crossing, s.Cold, s.ColdUsed, s.Untried, s.Tried, s.Asked, s.Whole, s.Away, s.Age, s.Unheard, s.Open, s.OpenP99, s.Held, s.Believed)
	}
	return t.Flush()
}

// figures are what a setting can change.
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

// change sets one figure of a tuning.
func change(t *policy.Tuning, flag, name, value string) error {
	for _, f := range figures {
		if f.name != name {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(v) || v < f.min || v > f.max {
			return usage("%s: %s=%s is no number from %g to %g", flag, name, value, f.min, f.max)
		}
		*f.of(t) = v
		return nil
	}
	return usage("%s: %q is none of %s", flag, name, figureNames())
}

// settings are those that the command line asks for.
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
				return nil, usage("--set: %q is not of the form figure=value", part)
			}
			if err := change(&s.Tuning, "--set", name, value); err != nil {
				return nil, err
			}
		}
		out = append(out, s)
	}
	var plans []*lab.Siting
	for _, file := range c.Sites {
		own, err := settings.Load(file)
		if err != nil {
			return nil, exit{ExitUsage, err}
		}
		if !own.Sites.On() {
			return nil, usage("--sites: %s has no [[sites.site]], and no sites.watch = true", file)
		}
		plans = append(plans, &lab.Siting{Plan: own.Sites.Plan})
		out = append(out, lab.Setting{Name: "sites " + filepath.Base(file), Tuning: policy.DefaultTuning(), Sites: plans[len(plans)-1]})
	}
	for _, text := range c.Share {
		use, err := settings.ParseFeatures(strings.Split(text, ","))
		if err != nil {
			return nil, usage("--share: %w", err)
		}
		if c.Loss < 0 || c.Loss >= 1 {
			return nil, usage("--loss: %v is outside 0 to 1", c.Loss)
		}
		set := lab.Setting{Name: "share " + text, Tuning: policy.DefaultTuning(), Share: &lab.Sharing{Use: use, Loss: c.Loss, BytesPS: settings.DefaultBytesPerSecond}}
		if use.Crossing {
			if len(plans) == 0 || plans[0].Plan == nil {
				return nil, usage("--share: crossing needs a plan: --sites FILE")
			}
			set.Sites = plans[0]
		}
		out = append(out, set)
	}
	var grid []lab.Setting
	for _, text := range c.Grid {
		name, values, ok := strings.Cut(text, "=")
		if !ok {
			return nil, usage("--grid: %q is not of the form figure=value,value", text)
		}
		from := grid
		if from == nil {
			from = []lab.Setting{{Tuning: policy.DefaultTuning()}}
		}
		grid = nil
		for _, s := range from {
			for _, v := range strings.Split(values, ",") {
				n := lab.Setting{Name: strings.TrimPrefix(s.Name+","+name+"="+v, ","), Tuning: s.Tuning}
				if err := change(&n.Tuning, "--grid", name, v); err != nil {
					return nil, err
				}
				grid = append(grid, n)
			}
		}
	}
	if out = append(out, grid...); len(out) == 0 {
		return nil, usage("--only: no setting is left: give --set, --share or --grid")
	}
	return out, nil
}
