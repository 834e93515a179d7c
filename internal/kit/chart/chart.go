// Package chart draws figures over time as SVG: the pages of the kit are made of them, and need no script. The classes
// of its lines (grid, axis, tick) are styled by the page.
package chart

import (
	"fmt"
	"math"
	"strings"
)

// The measures of a chart, in the units of its view box: its width, the place of its plot and that one's width.
const (
	Width, Left, right = 1040.0, 56.0, 16.0
	PlotW              = Width - Left - right
)

// Chart is a drawing with time from left to right. Its text so far is the Builder's.
type Chart struct {
	strings.Builder
	Height float64
	End    float64 // the time at the right edge, in seconds
}

// New begins a chart. Label is what it shows, for those who can't see it; the caller closes it with </svg>.
func New(height, end float64, label string) *Chart {
	s := &Chart{Height: height, End: end}
	s.Printf(`<svg viewBox="0 0 %.0f %.0f" role="img" aria-label="%s">`, Width, height, label)
	return s
}

// Printf adds markup.
func (s *Chart) Printf(format string, args ...any) { fmt.Fprintf(&s.Builder, format, args...) }

// X is the place of a time in seconds, inside the plot.
func (s *Chart) X(t float64) float64 { return Left + PlotW*min(max(t, 0), s.End)/s.End }

// Axis draws the time axis at y, and light lines up to top.
func (s *Chart) Axis(y, top float64) {
	step := nice(s.End / 12)
	for t := 0.0; t <= s.End+1e-9; t += step {
		s.Printf(`<line class="grid" x1="%.1f" x2="%.1f" y1="%.1f" y2="%.1f"/><text class="tick" x="%.1f" y="%.1f" text-anchor="middle">%g s</text>`,
			s.X(t), s.X(t), top, y, s.X(t), y+15, t)
	}
	s.Printf(`<line class="axis" x1="%.1f" x2="%.1f" y1="%.1f" y2="%.1f"/>`, Left, Left+PlotW, y, y)
}

// Scale draws the left axis from 0 to high and returns the place of a value.
func (s *Chart) Scale(bottom, top, high float64, unit string) func(float64) float64 {
	y := func(v float64) float64 { return bottom - (bottom-top)*min(v, high)/high }
	step := nice(high / 4)
	for v := 0.0; v <= high+1e-9; v += step {
		s.Printf(`<line class="grid" x1="%.1f" x2="%.1f" y1="%.1f" y2="%.1f"/><text class="tick" x="%.1f" y="%.1f" text-anchor="end">%g</text>`,
			Left, Left+PlotW, y(v), y(v), Left-6, y(v)+4, v)
	}
	s.Printf(`<text class="tick" x="%.1f" y="%.1f">%s</text>`, 4.0, top-8, unit)
	return y
}

// nice is the least of 1, 2 and 5 times a power of ten that is no less than v.
func nice(v float64) float64 {
	if v <= 0 {
		return 1
	}
	p := math.Pow(10, math.Floor(math.Log10(v)))
	for _, m := range []float64{1, 2, 5, 10} {
		if m*p >= v {
			return max(m*p, 1e-6)
		}
	}
	return 10 * p
}
