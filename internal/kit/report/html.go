package report

import (
	"cmp"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"strings"

	"craneglade/internal/kit/chart"
	"craneglade/internal/kit/judge"
)

//go:embed page.html
var pageText string

// HTML writes the report as a self-contained page: styles and charts are embedded, and there is no script.
func (r *Report) HTML(w io.Writer) error {
	t, err := template.New("page").Funcs(template.FuncMap{
		"pct":   func(v float64) string { return fmt.Sprintf("%.1f%%", 100*v) },
		"f0":    func(v float64) string { return fmt.Sprintf("%.0f", v) },
		"f3":    func(v float64) string { return fmt.Sprintf("%.3f", v) },
		"ms":    func(us int64) string { return duration(us).String() },
		"sec":   func(us int64) string { return fmt.Sprintf("%.3f", r.seconds(us)) },
		"lines": func(n []int) string { return joinNumbers(n, 8) },
		"ints":  func(v judge.Rule) int { return int(v) },
	}).Parse(pageText)
	if err != nil {
		return err
	}
	type rule struct {
		N          int
		Name, Word string
	}
	var rules []rule
	for _, x := range r.Verdict.Rules() {
		word := "kept"
		if r.Verdict.Broken(x) {
			word = "broken"
		} else if !r.Verdict.Kept(x) {
			word = "undecided"
		}
		rules = append(rules, rule{int(x), x.String(), word})
	}
	return t.Execute(w, struct {
		*Report
		Rules                  []rule
		Answers, Latency, Lane template.HTML
	}{r, rules, template.HTML(r.outcomeChart()), template.HTML(r.latencyChart()), template.HTML(r.backendChart())})
}

// seconds converts the trace's time to seconds since the traffic started.
func (r *Report) seconds(us int64) float64 { return float64(us-r.Begin) / 1e6 }

const (
	left      = chart.Left
	plotWidth = chart.PlotWidth
)

// newChart returns a chart whose time axis covers the run.
func (r *Report) newChart(height float64, label string) *chart.Chart {
	end := max(r.Seconds, float64(len(r.PerSecond)), 1)
	for _, b := range r.Backends {
		if n := len(b.Spans); n > 0 {
			end = max(end, b.Spans[n-1].To)
		}
	}
	return chart.New(height, math.Ceil(end), label)
}

// drawEvents draws events as numbered vertical lines and violations as red ones.
func (r *Report) drawEvents(s *chart.Chart, top, bottom float64) {
	last := -100.0
	row := 0.0
	for i, e := range r.Events {
		x := s.X(e.At)
		if x-last < 16 {
			row = math.Mod(row+1, 3)
		} else {
			row = 0
		}
		last = x
		s.Printf(`<g><title>%.1f s: %s</title><line class="event" x1="%.1f" x2="%.1f" y1="%.1f" y2="%.1f"/><circle class="dot" cx="%.1f" cy="%.1f" r="7"/><text class="num" x="%.1f" y="%.1f" text-anchor="middle">%d</text></g>`,
			e.At, template.HTMLEscapeString(e.Text), x, x, top, bottom, x, top+7+row*15, x, top+10.5+row*15, i+1)
	}
	for _, v := range r.Verdict.Violations {
		x := s.X(r.seconds(v.At))
		s.Printf(`<g><title>%s</title><line class="broken" x1="%.1f" x2="%.1f" y1="%.1f" y2="%.1f"/></g>`, template.HTMLEscapeString(r.Line(v)), x, x, top, bottom)
	}
}

var outcomes = []struct {
	class, name string
	of          func(Second) int
}{
	{"intime", "in time", func(s Second) int { return s.InTime }},
	{"late", "late", func(s Second) int { return s.Late }},
	{"refused", "refused", func(s Second) int { return s.Refused }},
	{"failed", "failed, unreached or left", func(s Second) int { return s.Failed }},
}

// outcomeChart draws the requests of each second by outcome.
func (r *Report) outcomeChart() string {
	s := r.newChart(280, "requests a second by what became of them")
	const top, bottom = 44.0, 250.0
	maxRate := 1.0
	for _, p := range r.PerSecond {
		maxRate = max(maxRate, float64(p.Asked))
	}
	s.Axis(bottom, top)
	y := s.Scale(bottom, top, math.Ceil(maxRate*1.05), "requests a second")
	bar := plotWidth / s.End
	for i, p := range r.PerSecond {
		sum := 0.0
		for _, k := range outcomes {
			n := float64(k.of(p))
			if n == 0 {
				continue
			}
			s.Printf(`<rect class="%s" x="%.1f" y="%.1f" width="%.1f" height="%.1f"><title>%d s: %d %s of %d</title></rect>`, k.class, s.X(float64(i))+0.5,
				y(sum+n), max(bar-1, 0.5), y(sum)-y(sum+n), i, int(n), k.name, p.Asked)
			sum += n
		}
	}
	r.drawEvents(s, top, bottom)
	for i, k := range outcomes {
		s.Printf(`<rect class="%s" x="%.1f" y="8" width="12" height="12"/><text class="tick" x="%.1f" y="18">%s</text>`, k.class, left+240+float64(i)*130,
			left+257+float64(i)*130, k.name)
	}
	s.Printf(`</svg>`)
	return s.String()
}

// latencyChart draws the latency of served requests by second.
func (r *Report) latencyChart() string {
	s := r.newChart(220, "latency of served requests by second")
	const top, bottom = 30.0, 190.0
	maxLatency := 50.0
	for _, p := range r.PerSecond {
		maxLatency = max(maxLatency, p.P95)
	}
	s.Axis(bottom, top)
	y := s.Scale(bottom, top, math.Ceil(maxLatency*1.05), "ms")
	line := func(class string, of func(Second) float64) {
		var at []string
		for i, p := range r.PerSecond {
			if v := of(p); v > 0 {
				at = append(at, fmt.Sprintf("%.1f,%.1f", s.X(float64(i)+0.5), y(v)))
			}
		}
		s.Printf(`<polyline class="%s" points="%s"/>`, class, strings.Join(at, " "))
	}
	line("p95", func(p Second) float64 { return p.P95 })
	line("p50", func(p Second) float64 { return p.P50 })
	s.Printf(`<line class="p50" x1="%.0f" x2="%.0f" y1="14" y2="14"/><text class="tick" x="%.0f" y="18">median</text><line class="p95" x1="%.0f" x2="%.0f" y1="14" y2="14"/><text class="tick" x="%.0f" y="18">95th percentile</text>`,
		left+240, left+264, left+270, left+370, left+394, left+400)
	for _, v := range r.Verdict.Violations {
		s.Printf(`<line class="broken" x1="%.1f" x2="%.1f" y1="%.1f" y2="%.1f"/>`, s.X(r.seconds(v.At)), s.X(r.seconds(v.At)), top, bottom)
	}
	s.Printf(`</svg>`)
	return s.String()
}

// backendChart draws the states and the load of the backends, one below the other.
func (r *Report) backendChart() string {
	const laneHeight, siteHeight, top = 24.0, 18.0, 28.0
	backends := slices.Clone(r.Backends)
	slices.SortStableFunc(backends, func(a, b Backend) int { return cmp.Compare(a.Site, b.Site) })
	sites := 0
	for i := range backends {
		if i == 0 || backends[i].Site != backends[i-1].Site {
			sites++
		}
	}
	s := r.newChart(top+laneHeight*float64(len(backends))+siteHeight*float64(sites)+26, "state and load of each box")
	maxInFlight := 8
	for _, b := range backends {
		for _, p := range b.Load {
			maxInFlight = max(maxInFlight, p.InFlight)
		}
	}
	bottom := top + laneHeight*float64(len(backends)) + siteHeight*float64(sites)
	s.Axis(bottom, top)
	nextY, site := top, ""
	for _, b := range backends {
		if b.Site != site {
			site = b.Site
			s.Printf(`<text class="site" x="4" y="%.1f">%s</text>`, nextY+13, template.HTMLEscapeString(site))
			nextY += siteHeight
		}
		y := nextY
		nextY += laneHeight
		s.Printf(`<text class="lane" x="%.1f" y="%.1f" text-anchor="end">%s</text><g><title>%s, %s, %s: %d attempts, %d served, %d turned away, %d failed, spoilt or reset</title>`,
			left-4, y+16, strings.TrimPrefix(b.ID, "s-")[:min(8, len(b.ID)-2)], b.ID, b.Kind, b.Site, b.Attempts, b.Served, b.Rejected, b.Failed)
		for _, p := range b.Spans {
			s.Printf(`<rect class="st-%s" x="%.1f" y="%.1f" width="%.1f" height="%.1f"/>`, p.State, s.X(p.From), y+2, max(s.X(p.To)-s.X(p.From), 0.5), laneHeight-4)
		}
		s.Printf(`</g>`)
		if len(b.Load) > 1 {
			var at []string
			for _, p := range b.Load {
				at = append(at, fmt.Sprintf("%.1f,%.1f", s.X(p.At), y+laneHeight-3-(laneHeight-6)*float64(p.InFlight)/float64(maxInFlight)))
			}
			s.Printf(`<polyline class="held" points="%s"/>`, strings.Join(at, " "))
		}
		for _, v := range r.Verdict.Violations {
			if v.Box == b.ID {
				s.Printf(`<circle class="hit" cx="%.1f" cy="%.1f" r="5"><title>%s</title></circle>`, s.X(r.seconds(v.At)), y+laneHeight/2, template.HTMLEscapeString(r.Line(v)))
			}
		}
	}
	x := left
	for _, k := range []string{"normal", "cold", "slow", "Terminating", "silent", "fallen"} {
		name := strings.ToLower(strings.Replace(k, "Terminating", "leaving", 1))
		s.Printf(`<rect class="st-%s" x="%.1f" y="4" width="14" height="14"/><text class="tick" x="%.1f" y="15">%s</text>`, k, x, x+18, name)
		x += 90
	}
	s.Printf(`<line class="held" x1="%.1f" x2="%.1f" y1="11" y2="11"/><text class="tick" x="%.1f" y="15">requests held (full height: %d)</text></svg>`, x, x+24, x+30, maxInFlight)
	return s.String()
}
