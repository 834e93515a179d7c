package result

import (
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	charts "github.com/wcharczuk/go-chart/v2"
)

// Report is the result of a whole run.
type Report struct {
	Plan   string   `json:"plan"` // the plan's file
	Seed   uint64   `json:"seed"`
	Steps  []Step   `json:"steps"`
	Series []Series `json:"series"`
}

// NewReport returns the report on steps. It sorts them in place.
func NewReport(file string, seed uint64, steps []Step) *Report {
	Sort(steps)
	return &Report{Plan: file, Seed: seed, Steps: steps, Series: Collect(steps)}
}

// JSON writes the report as JSON.
func (r *Report) JSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(r)
}

// Table writes the report as text tables.
func (r *Report) Table(w io.Writer) error {
	for _, axis := range []string{ByNodes, ByEndpoints} {
		if err := r.writeSeries(w, axis); err != nil {
			return err
		}
	}
	for _, s := range r.Steps {
		for _, note := range s.Notes {
			fmt.Fprintf(w, "%s: %s\n", s.Where(), note)
		}
	}
	for _, s := range r.Steps {
		for _, c := range s.Checks {
			verdict := "ok"
			if !c.Passed {
				verdict = "FAILED"
			}
			fmt.Fprintf(w, "%s  %s: %s: %s\n", verdict, s.Where(), c.Name, c.Detail)
		}
	}
	return nil
}

// Where names the step in messages.
func (s *Step) Where() string {
	axis, size := s.Axis()
	return fmt.Sprintf("%s, %d %s", s.Part, size, axis)
}

// writeSeries writes a table of the series of one axis.
func (r *Report) writeSeries(out io.Writer, axis string) error {
	sizes := r.sizes(axis)
	if len(sizes) == 0 {
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "MECHANISM\tROLE\tFIGURE\tUNIT")
	for _, n := range sizes {
		fmt.Fprintf(w, "\t%d", n)
	}
	fmt.Fprintf(w, "\tSLOPE FOR 1000 %s\t95%% INTERVAL\tLARGEST AGAINST FORETOLD\n", strings.ToUpper(axis))
	for i := range r.Series {
		s := &r.Series[i]
		if s.Axis != axis {
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s", s.Mechanism, s.Role, s.Name, s.Unit)
		for _, n := range sizes {
			fmt.Fprintf(w, "\t%s", s.valueAt(n))
		}
		fmt.Fprintln(w, "\t"+s.Fit.columns())
	}
	fmt.Fprintln(w)
	return w.Flush()
}

func (f *Fit) columns() string {
	if f == nil {
		return "-\t-\t-"
	}
	suffix := ""
	if f.Flagged {
		suffix = " MISSED"
	}
	return fmt.Sprintf("%s\t%s to %s\t%+.0f%%%s", formatValue(1000*f.Slope), formatValue(1000*f.SlopeLow), formatValue(1000*f.SlopeHigh), 100*f.PredictionError, suffix)
}

func (r *Report) sizes(axis string) []int {
	var sizes []int
	for _, s := range r.Series {
		for _, p := range s.Points {
			if s.Axis == axis && !slices.Contains(sizes, p.Size) {
				sizes = append(sizes, p.Size)
			}
		}
	}
	slices.Sort(sizes)
	return sizes
}

func (s *Series) valueAt(size int) string {
	for _, p := range s.Points {
		if p.Size == size {
			return formatValue(p.Value)
		}
	}
	return "-"
}

// formatValue formats a number with three significant digits, without an exponent unless it is very large or small.
func formatValue(v float64) string {
	switch size := math.Abs(v); {
	case v == 0:
		return "0"
	case size >= 1e6 || size < 1e-3:
		return strconv.FormatFloat(v, 'g', 3, 64)
	case size >= 100:
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'f', max(0, 2-int(math.Floor(math.Log10(math.Abs(v))))), 64)
}

// Page writes the report as an HTML page with a chart for each figure that was measured at several sizes. Both axes are
// logarithmic: size is horizontal, the figure vertical, and each mechanism is a line.
func (r *Report) Page(w io.Writer) error {
	var drawn []template.HTML
	for _, group := range r.chartGroups() {
		svg, err := drawChart(group)
		if err != nil {
			return err
		}
		drawn = append(drawn, svg)
	}
	var table strings.Builder
	if err := r.Table(&table); err != nil {
		return err
	}
	return page.Execute(w, map[string]any{"Plan": r.Plan, "Seed": r.Seed, "Charts": drawn, "Table": table.String()})
}

// chartGroups groups the series of the same axis, role and name, each group for one chart.
func (r *Report) chartGroups() [][]Series {
	var out [][]Series
	at := map[string]int{}
	for _, s := range r.Series {
		s.Points = slices.DeleteFunc(slices.Clone(s.Points), func(p Point) bool { return p.Value <= 0 })
		if len(s.Points) < 2 {
			continue
		}
		key := s.Axis + "\x00" + s.Role + "\x00" + s.Name
		i, ok := at[key]
		if !ok {
			i = len(out)
			at[key] = i
			out = append(out, nil)
		}
		out[i] = append(out[i], s)
	}
	return out
}

// drawChart renders the chart of a group as SVG.
func drawChart(group []Series) (template.HTML, error) {
	formatPower := func(v any) string { return formatValue(math.Pow(10, v.(float64))) }
	low, high := math.Inf(1), math.Inf(-1)
	g := charts.Chart{Title: fmt.Sprintf("%s: %s (%s)", group[0].Role, group[0].Name, group[0].Unit), Width: 620, Height: 300,
		Background: charts.Style{Padding: charts.Box{Top: 40, Left: 150, Right: 20, Bottom: 10}},
		XAxis:      charts.XAxis{Name: group[0].Axis, ValueFormatter: formatPower}}
	for _, s := range group {
		line := charts.ContinuousSeries{Name: s.Mechanism}
		for _, p := range s.Points {
			y := math.Log10(p.Value)
			low, high = min(low, y), max(high, y)
			line.XValues, line.YValues = append(line.XValues, math.Log10(float64(p.Size))), append(line.YValues, y)
		}
		g.Series = append(g.Series, line)
	}
	g.YAxis = charts.YAxis{ValueFormatter: formatPower, Range: &charts.ContinuousRange{Min: low - 0.2, Max: high + 0.2}}
	g.Elements = []charts.Renderable{charts.LegendLeft(&g)}
	var svg strings.Builder
	if err := g.Render(charts.SVG, &svg); err != nil {
		return "", fmt.Errorf("chart of %s: %w", group[0].Name, err)
	}
	return template.HTML(svg.String()), nil
}

var page = template.Must(template.New("scale").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Scale run</title>
<style>
body { font: 15px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 80rem; padding: 0 1rem; color: #1d2730 }
pre { overflow-x: auto; font-size: 12px } section { display: flex; flex-wrap: wrap; gap: 1rem }
</style>
<h1>Scale run of {{.Plan}}, seed {{.Seed}}</h1>
<section>{{range .Charts}}<div>{{.}}</div>{{end}}</section>
<pre>{{.Table}}</pre></html>
`))
