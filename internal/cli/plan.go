package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"math"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	charts "github.com/wcharczuk/go-chart/v2"
	"github.com/wcharczuk/go-chart/v2/drawing"

	"craneglade/internal/node"
	"craneglade/internal/settings"
	"craneglade/internal/sites"
)

type planCmd struct {
	SiteLoss siteLossCmd `cmd:"" name:"site-loss" help:"Work the plan for the loss of sites through, for each site and each pair, and print who carries what and what is refused."`
}

type siteLossCmd struct {
	Config string   `required:"" placeholder:"FILE" type:"path" help:"The settings with [[sites.site]] in them."`
	Class  []string `placeholder:"NAME=SHARE:WORTH[:WORK]" sep:"none" help:"A class, its part of the requests, a request's worth and its work in mean requests. Can be given again; without it and --counts all requests are alike."`
	Counts string   `placeholder:"FILE" type:"path" help:"What a running node is asked for, as craneglade fleet --json prints it, in place of --class."`
	Times  float64  `default:"1" placeholder:"X" help:"So many times the plan's loads."`
	JSON   string   `placeholder:"FILE" type:"path" help:"Write the cases as JSON."`
	HTML   string   `placeholder:"FILE" type:"path" help:"Write them as one page that needs nothing else."`
}

// Run evaluates the plan for the loss of each site and each pair of sites, and writes the results.
func (c siteLossCmd) Run(a *app) error {
	localSettings, err := settings.Load(c.Config)
	if err != nil {
		return exitError{ExitUsage, err}
	}
	p := localSettings.Sites.Plan
	if p == nil {
		return usageError("%s: no site plan: [[sites.site]] is missing", c.Config)
	}
	if !(c.Times > 0 && c.Times <= 1000) {
		return usageError("--times: %v is outside 0 to 1000", c.Times)
	}
	mix, err := c.mix()
	if err != nil {
		return err
	}
	cases, err := p.Evaluate(mix, c.Times)
	if err != nil {
		return exitError{ExitUsage, err}
	}
	if err := c.table(a.out, cases); err != nil {
		return err
	}
	if c.JSON != "" {
		if err := save(c.JSON, func(w io.Writer) error {
			enc := json.NewEncoder(w)
			enc.SetIndent("", " ")
			return enc.Encode(cases)
		}); err != nil {
			return exitError{ExitUsage, err}
		}
	}
	if c.HTML != "" {
		if err := save(c.HTML, func(w io.Writer) error { return writePlanPage(w, c.Times, cases) }); err != nil {
			return exitError{ExitUsage, err}
		}
	}
	return nil
}

// mix returns the shares of the load by kind of request.
func (c siteLossCmd) mix() ([]sites.KindShare, error) {
	if c.Counts != "" {
		return readDemand(c.Counts)
	}
	if len(c.Class) == 0 {
		return []sites.KindShare{{Kind: sites.Kind{Class: "requests", Utility: 1, Work: 1}, Share: 1}}, nil
	}
	var out []sites.KindShare
	for _, text := range c.Class {
		name, figures, ok := strings.Cut(text, "=")
		var v []float64
		for _, f := range strings.Split(figures, ":") {
			x, err := strconv.ParseFloat(f, 64)
			ok = ok && err == nil && x >= 0 && !math.IsInf(x, 0)
			v = append(v, x)
		}
		if !ok || name == "" || len(v) < 2 || len(v) > 3 {
			return nil, usageError("--class: %q is not of the form NAME=SHARE:WORTH or NAME=SHARE:WORTH:WORK", text)
		}
		work := 1.0
		if len(v) == 3 {
			work = v[2]
		}
		out = append(out, sites.KindShare{Kind: sites.Kind{Class: name, Utility: v[1], Work: work}, Share: v[0] * work})
	}
	return out, nil
}

// readDemand reads the demand by kind of request from the output of craneglade fleet --json.
func readDemand(path string) ([]sites.KindShare, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, exitError{ExitUsage, err}
	}
	defer f.Close()
	in := bufio.NewScanner(f)
	in.Buffer(nil, 16<<20)
	for in.Scan() {
		var s node.SitesStatus
		if json.Unmarshal(in.Bytes(), &s) != nil || len(s.Demand) == 0 {
			continue
		}
		var out []sites.KindShare
		for _, d := range s.Demand {
			out = append(out, sites.KindShare{Kind: sites.Kind{Class: d.Class, Utility: d.Utility, Work: d.Work}, Share: (d.Rate - d.OverQuota) * d.Work},
				sites.KindShare{Kind: sites.Kind{Class: d.Class, OverQuota: true, Utility: d.Utility * d.OverQuotaUtility, Work: d.Work}, Share: d.OverQuota * d.Work})
		}
		return out, nil
	}
	if err := in.Err(); err != nil {
		return nil, exitError{ExitUsage, err}
	}
	return nil, usageError("%s: no line with the demand of a node: use the output of craneglade fleet --json of a node that watches sites", path)
}

// lostSites names the lost sites of a case.
func lostSites(c *sites.Case) string {
	if len(c.Lost) == 0 {
		return "nothing"
	}
	return strings.Join(c.Lost, " and ")
}

func formatRefused(c *sites.Case) string {
	var parts []string
	for _, k := range c.Kinds {
		name := k.Class
		if k.OverQuota {
			name += " past shares"
		}
		parts = append(parts, fmt.Sprintf("%s %.0f%%", name, math.Max(1, 100*k.Fraction)))
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}

func formatLoadFactor(x float64) string {
	if math.IsInf(x, 1) {
		return "any"
	}
	return fmt.Sprintf("%.2f x", x)
}

func (c siteLossCmd) table(out io.Writer, cases []sites.Case) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "LOST\tCARRIED\tREFUSED\tOF WHICH KIND\tFITS UP TO")
	for _, s := range cases[0].Sites {
		fmt.Fprintf(w, "\t%s", strings.ToUpper(s.Site))
	}
	fmt.Fprintln(w)
	for i := range cases {
		x := &cases[i]
		fmt.Fprintf(w, "%s\t%.1f/s\t%.1f/s\t%s\t%s", lostSites(x), x.Carried, x.Refused, formatRefused(x), formatLoadFactor(x.MaxLoadFactor))
		for _, s := range x.Sites {
			switch {
			case s.Limit == 0:
				fmt.Fprint(w, "\tlost")
			case s.Moved > 0:
				fmt.Fprintf(w, "\t%.1f + %.1f of %.1f", s.Own, s.Moved, s.Limit)
			default:
				fmt.Fprintf(w, "\t%.1f of %.1f", s.Own, s.Limit)
			}
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// writePlanPage writes an HTML page that charts each case: each site's own and moved load, and the refused load.
func writePlanPage(w io.Writer, loadFactor float64, cases []sites.Case) error {
	type row struct {
		Lost, Carried, Refused, Kinds, Fits string
		Chart                               template.HTML
	}
	var rows []row
	maxRate := 1.0
	for _, c := range cases {
		for _, s := range c.Sites {
			maxRate = max(maxRate, s.Own+s.Moved, s.Limit)
		}
	}
	for i := range cases {
		c := &cases[i]
		g := charts.BarChart{Width: 460, Height: 220, BarWidth: 46, BarSpacing: 34, Background: charts.Style{Padding: charts.Box{Top: 18, Left: 8, Right: 8, Bottom: 28}},
			YAxis: charts.YAxis{Range: &charts.ContinuousRange{Max: maxRate * 1.05}, ValueFormatter: charts.IntValueFormatter}}
		bar := func(label string, v float64, colour string) {
			style := charts.Style{FillColor: drawing.ColorFromHex(colour), StrokeColor: drawing.ColorFromHex(colour), StrokeWidth: 1}
			g.Bars = append(g.Bars, charts.Value{Label: label, Value: v, Style: style})
		}
		for _, s := range c.Sites {
			bar(s.Site, s.Own+s.Moved, map[bool]string{false: "3b6ea5", true: "c8862a"}[s.Moved > 0])
			bar("may", s.Limit, "d0d5da")
		}
		bar("refused", c.Refused, "a33b3b")
		var svg strings.Builder
		if err := g.Render(charts.SVG, &svg); err != nil {
			return fmt.Errorf("chart: %w", err)
		}
		rows = append(rows, row{lostSites(c), fmt.Sprintf("%.1f", c.Carried), fmt.Sprintf("%.1f", c.Refused), formatRefused(c), formatLoadFactor(c.MaxLoadFactor), template.HTML(svg.String())})
	}
	return planTemplate.Execute(w, map[string]any{"Times": loadFactor, "Rows": rows})
}

var planTemplate = template.Must(template.New("plan").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>The loss of sites, worked through</title>
<style>
body { font: 15px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 62rem; padding: 0 1rem; color: #1d2730 }
h1 { font-size: 1.4rem } h2 { font-size: 1.05rem; margin: 0 0 .3rem }
section { display: flex; flex-wrap: wrap; gap: 1.5rem; align-items: center; border-top: 1px solid #d0d5da; padding: 1rem 0 }
dl { display: grid; grid-template-columns: max-content auto; gap: .15rem .8rem; margin: 0 } dt { color: #5a6772 } dd { margin: 0 }
section > div:first-child { flex: 1 1 18rem } section > div:last-child { flex: 0 0 460px; height: 220px }
</style>
<h1>The loss of sites, worked through</h1>
<p>At {{.Times}} times the plan's loads, in mean requests a second. Blue: what a site carries of its own clients; amber: with what comes from a lost site;
grey: what it may be filled to; red: refused.</p>
{{range .Rows}}<section><div><h2>Lost: {{.Lost}}</h2><dl><dt>carried</dt><dd>{{.Carried}} a second</dd><dt>refused</dt><dd>{{.Refused}} a second</dd>
<dt>of which kind</dt><dd>{{.Kinds}}</dd><dt>all is carried up to</dt><dd>{{.Fits}} this load</dd></dl></div><div>{{.Chart}}</div></section>
{{end}}</html>
`))
