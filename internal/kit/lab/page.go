package lab

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"

	"craneglade/internal/kit/chart"
)

//go:embed page.html
var pageText string

// colours of the settings on a page; they repeat after the last.
var colours = []string{"#1f5fa8", "#d07b2a", "#1a7f37", "#8250df", "#b5474f", "#57606a", "#9a6700", "#0f7b8a"}

// maxChartLines is how many settings a chart shows: more can't be told apart by eye. The table shows all.
const maxChartLines = 8

// Page writes the outcomes of a sweep as one self-contained HTML page.
func (s *Sweep) Page(w io.Writer, out []Outcome) error {
	t, err := template.New("page").Funcs(template.FuncMap{
		"colour": func(i int) string { return colours[i%len(colours)] },
		"paired": func(o Outcome) string {
			return Paired(&out[0], &o, func(d *PlayResult) float64 { return d.Figure }).String()
		},
	}).Parse(pageText)
	if err != nil {
		return err
	}
	return t.Execute(w, struct {
		*Sweep
		Outcomes []Outcome
		Drawn    int
		Chart    template.HTML
	}{s, out, min(maxChartLines, len(out)), template.HTML(s.chart(out))})
}

// chart draws, for each setting, the requests answered in time by second, and above them the requests of the clients.
// All are means over the seeds.
func (s *Sweep) chart(out []Outcome) string {
	mean := func(o *Outcome, of func(*PlayResult) []float64) []float64 {
		var sum []float64
		for i := range o.PerSeed {
			for k, v := range of(&o.PerSeed[i]) {
				if k == len(sum) {
					sum = append(sum, 0)
				}
				sum[k] += v / float64(len(o.PerSeed))
			}
		}
		return sum
	}
	asked := mean(&out[0], func(d *PlayResult) []float64 { return d.Asked })
	c := chart.New(320, max(1, float64(len(asked))), "requests asked for and answered in time, a second")
	const top, bottom = 30.0, 290.0
	high := 1.0
	for _, v := range asked {
		high = max(high, v*1.05)
	}
	c.Axis(bottom, top)
	y := c.Scale(bottom, top, high, "requests a second")
	line := func(v []float64, style string) {
		var at []string
		for i, x := range v {
			at = append(at, fmt.Sprintf("%.1f,%.1f", c.X(float64(i)+0.5), y(x)))
		}
		c.Printf(`<polyline fill="none" %s points="%s"/>`, style, strings.Join(at, " "))
	}
	line(asked, `stroke="#1b1f24" stroke-dasharray="4 3"`)
	for i := range out[:min(maxChartLines, len(out))] {
		line(mean(&out[i], func(d *PlayResult) []float64 { return d.Served }), fmt.Sprintf(`stroke="%s" stroke-width="2"`, colours[i]))
	}
	c.Printf(`</svg>`)
	return c.String()
}
