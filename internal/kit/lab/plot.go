package lab

import (
	"bytes"
	"fmt"
	"io"
	"strconv"

	charts "github.com/wcharczuk/go-chart/v2"
	"github.com/wcharczuk/go-chart/v2/drawing"
)

// chartLine is one line of a panel.
type chartLine struct {
	name  string
	value func(*Second) float64
}

// panels are the charts of a play's counts, one below the other with the same time axis.
var panels = []struct {
	unit  string
	lines []chartLine
}{
	{"a second", []chartLine{
		{"attempts", func(s *Second) float64 { return float64(s.Attempts) }},
		{"new connections", func(s *Second) float64 { return float64(s.NewConns) }},
		{"refused", func(s *Second) float64 { return float64(s.RefusedUntried + s.RefusedTried) }},
		{"across sites", func(s *Second) float64 { return float64(s.CrossSite) }}}},
	{"at a box", []chartLine{
		{"requests held", func(s *Second) float64 { return s.InFlight }},
		{"held, as believed", func(s *Second) float64 { return s.BelievedInFlight }},
		{"open connections", func(s *Second) float64 { return s.Open }},
		{"open connections, p99", func(s *Second) float64 { return s.OpenP99 }}}},
	{"core-seconds a second", []chartLine{
		{"handshakes", func(s *Second) float64 { return s.HandshakeCoreSeconds }},
		{"work at cold boxes", func(s *Second) float64 { return s.ColdCoreSeconds }}}},
	{"list calls a second", []chartLine{
		{"asked", func(s *Second) float64 { return float64(s.ListCalls) }},
		{"turned away", func(s *Second) float64 { return float64(s.ListCallsRejected) }}}},
}

const panelWidth, panelHeight = 1040, 260

// Chart writes the counts by second as an SVG image.
func (c *Counts) Chart(w io.Writer) error {
	var out bytes.Buffer
	var ticks []charts.Tick
	for i := 0; i < len(c.Seconds); i += 2 {
		ticks = append(ticks, charts.Tick{Value: float64(i), Label: strconv.Itoa(i)})
	}
	fmt.Fprintf(&out, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %d %d">`, panelWidth, panelHeight*len(panels))
	for i, panel := range panels {
		g := charts.Chart{Width: panelWidth, Height: panelHeight, Background: charts.Style{Padding: charts.Box{Top: 16, Left: 170, Right: 16, Bottom: 8}},
			XAxis: charts.XAxis{Name: "seconds since the traffic began", Ticks: ticks},
			YAxis: charts.YAxis{Name: panel.unit, Range: &charts.ContinuousRange{}, ValueFormatter: charts.IntValueFormatter}}
		maxValue := 1.0
		for k, l := range panel.lines {
			s := charts.ContinuousSeries{Name: l.name, Style: charts.Style{StrokeColor: drawing.ColorFromHex(colours[k][1:]), StrokeWidth: 2}}
			for j := range c.Seconds {
				v := l.value(&c.Seconds[j])
				s.XValues, s.YValues, maxValue = append(s.XValues, float64(c.Seconds[j].At)), append(s.YValues, v), max(maxValue, v)
			}
			g.Series = append(g.Series, s)
		}
		g.YAxis.Range.SetMax(maxValue * 1.05)
		g.Elements = []charts.Renderable{charts.LegendLeft(&g)}
		fmt.Fprintf(&out, `<svg y="%d" width="%d" height="%d">`, i*panelHeight, panelWidth, panelHeight)
		if err := g.Render(charts.SVG, &out); err != nil {
			return fmt.Errorf("chart: %w", err)
		}
		out.WriteString(`</svg>`)
	}
	out.WriteString(`</svg>`)
	_, err := out.WriteTo(w)
	return err
}
