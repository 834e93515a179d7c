// Package chart draws time series as SVG for the kit's HTML pages, which need no script. The page has to style the CSS
// classes grid, axis and tick.
package chart

import (
	"fmt"
	"math"
	"strings"
)

// Dimensions of a chart in the units of its view box: its width, the margins left and right of the plot, and the plot's
// width.
const (
	Width, Left, rightMargin = 1040.0, 56.0, 16.0
	PlotWidth                = Width - Left - rightMargin
)

// Chart is an SVG drawing with time from left to right. The Builder holds the markup so far.
type Chart struct {
	strings.Builder
	Height float64
	End    float64 // the time at the right edge, in seconds
}

// New starts a chart. The label describes it for screen readers; the caller has to add the closing </svg>.
func New(height, end float64, label string) *Chart {
	s := &Chart{Height: height, End: end}
	s.Printf(`<svg viewBox="0 0 %.0f %.0f" role="img" aria-label="%s">`, Width, height, label)
	return s
}

// Printf adds formatted markup.
func (s *Chart) Printf(format string, args ...any) { fmt.Fprintf(&s.Builder, format, args...) }

// X returns the horizontal position of a time in seconds, limited to the plot.
func (s *Chart) X(t float64) float64 { return Left + PlotWidth*min(max(t, 0), s.End)/s.End }

// Axis draws the time axis at y and grid lines up to top.
func (s *Chart) Axis(y, top float64) {
	step := roundStep(s.End / 12)
	for t := 0.0; t <= s.End+1e-9; t += step {
		s.Printf(`<line class="grid" x1="%.1f" x2="%.1f" y1="%.1f" y2="%.1f"/><text class="tick" x="%.1f" y="%.1f" text-anchor="middle">%g s</text>`,
			s.X(t), s.X(t), top, y, s.X(t), y+15, t)
	}
	s.Printf(`<line class="axis" x1="%.1f" x2="%.1f" y1="%.1f" y2="%.1f"/>`, Left, Left+PlotWidth, y, y)
}

// Scale draws the left axis from 0 to maxValue and returns the function from a value to its vertical position.
func (s *Chart) Scale(bottom, top, maxValue float64, unit string) func(float64) float64 {
	y := func(v float64) float64 { return bottom - (bottom-top)*min(v, maxValue)/maxValue }
	step := roundStep(maxValue / 4)
	for v := 0.0; v <= maxValue+1e-9; v += step {
		s.Printf(`<line class="grid" x1="%.1f" x2="%.1f" y1="%.1f" y2="%.1f"/><text class="tick" x="%.1f" y="%.1f" text-anchor="end">%g</text>`,
			Left, Left+PlotWidth, y(v), y(v), Left-6, y(v)+4, v)
	}
	s.Printf(`<text class="tick" x="%.1f" y="%.1f">%s</text>`, 4.0, top-8, unit)
	return y
}

// roundStep returns the smallest of 1, 2 and 5 times a power of ten that is at least v.
func roundStep(v float64) float64 {
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
