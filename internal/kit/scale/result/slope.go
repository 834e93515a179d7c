package result

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Miss is how far the largest step may be from what the smaller ones foretold, as a part of that.
const Miss = 0.25

// Point is one figure at one size.
type Point struct {
	Size  int     `json:"size"` // nodes or endpoints, as the series' axis says
	Value float64 `json:"value"`
}

// Series is one figure at all sizes.
type Series struct {
	Mechanism string  `json:"mechanism"`
	Role      string  `json:"role"`
	Name      string  `json:"name"`
	Unit      string  `json:"unit"`
	Axis      string  `json:"axis"`
	Wall      bool    `json:"wall,omitempty"`
	Points    []Point `json:"points"`
	Fit       *Fit    `json:"fit,omitempty"` // nil for fewer than three sizes
}

// Fit is the straight line through a series.
type Fit struct {
	Slope     float64 `json:"slope"`      // in the figure's unit, for each further node or endpoint
	SlopeLow  float64 `json:"slope_low"`  // 95% interval; equal to Slope where the line has as many points as figures
	SlopeHigh float64 `json:"slope_high"` //
	At0       float64 `json:"at_0"`
	Foretold  float64 `json:"foretold"` // the largest size, by the line through the smaller ones
	Missed    float64 `json:"missed"`   // how far the largest is from that, as a part of it
	Marked    bool    `json:"marked"`   // it missed by more than Miss
}

// Collect gathers the figures of steps into series, in the order of their first appearance.
func Collect(steps []Step) []Series {
	type key struct{ axis, mechanism, role, name string }
	var out []Series
	at := map[key]int{}
	for _, s := range steps {
		axis, size := s.Axis()
		for _, f := range s.Figures {
			k := key{axis, f.Mechanism, f.Role, f.Name}
			i, ok := at[k]
			if !ok {
				i = len(out)
				at[k] = i
				out = append(out, Series{Mechanism: f.Mechanism, Role: f.Role, Name: f.Name, Unit: f.Unit, Axis: axis, Wall: f.Wall})
			}
			out[i].Points = append(out[i].Points, Point{size, f.Value})
		}
	}
	for i := range out {
		out[i].Fit = fit(out[i].Points)
	}
	return out
}

// fit is the line through points in the order of their sizes; nil where there are too few.
func fit(points []Point) *Fit {
	if len(points) < 3 {
		return nil
	}
	x, y := split(points)
	f := &Fit{}
	f.At0, f.Slope = stat.LinearRegression(x, y, nil, false)
	half := interval(x, y, f.At0, f.Slope)
	f.SlopeLow, f.SlopeHigh = f.Slope-half, f.Slope+half

	last := len(points) - 1
	at0, slope := stat.LinearRegression(x[:last], y[:last], nil, false)
	f.Foretold = at0 + slope*x[last]
	if f.Foretold != 0 {
		f.Missed = (y[last] - f.Foretold) / math.Abs(f.Foretold)
	}
	f.Marked = math.Abs(y[last]-f.Foretold) > Miss*math.Abs(f.Foretold)
	return f
}

// interval is half the width of the 95% interval of a line's slope, by Student's distribution.
func interval(x, y []float64, at0, slope float64) float64 {
	freedom := float64(len(x) - 2)
	if freedom < 1 {
		return 0
	}
	residual, spread, mean := 0.0, 0.0, stat.Mean(x, nil)
	for i := range x {
		off := y[i] - at0 - slope*x[i]
		residual += off * off
		spread += (x[i] - mean) * (x[i] - mean)
	}
	if spread == 0 {
		return 0
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: freedom}.Quantile(0.975)
	return t * math.Sqrt(residual/freedom/spread)
}

func split(points []Point) (x, y []float64) {
	for _, p := range points {
		x, y = append(x, float64(p.Size)), append(y, p.Value)
	}
	return x, y
}
