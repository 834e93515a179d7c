package result

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// MaxPredictionError is the relative error up to which the value at the largest size counts as predicted by the smaller
// ones.
const MaxPredictionError = 0.25

// Point is the value of a figure at one size.
type Point struct {
	Size  int     `json:"size"` // nodes or endpoints, by the series' axis
	Value float64 `json:"value"`
}

// Series is a figure at all sizes.
type Series struct {
	Mechanism string  `json:"mechanism"`
	Role      string  `json:"role"`
	Name      string  `json:"name"`
	Unit      string  `json:"unit"`
	Axis      string  `json:"axis"`
	WallClock bool    `json:"wall,omitempty"`
	Points    []Point `json:"points"`
	Fit       *Fit    `json:"fit,omitempty"` // nil for fewer than three sizes
}

// Fit is the linear regression of a series.
type Fit struct {
	Slope           float64 `json:"slope"`     // in the figure's unit, per node or endpoint
	SlopeLow        float64 `json:"slope_low"` // bounds of the 95% confidence interval
	SlopeHigh       float64 `json:"slope_high"`
	Intercept       float64 `json:"at_0"`
	Predicted       float64 `json:"foretold"` // value at the largest size, by the line through the smaller ones
	PredictionError float64 `json:"missed"`   // deviation of the measured value, relative to Predicted
	Flagged         bool    `json:"marked"`   // the error exceeds MaxPredictionError
}

// Collect groups the figures of steps into series, in the order of their first appearance.
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
				out = append(out, Series{Mechanism: f.Mechanism, Role: f.Role, Name: f.Name, Unit: f.Unit, Axis: axis, WallClock: f.WallClock})
			}
			out[i].Points = append(out[i].Points, Point{size, f.Value})
		}
	}
	for i := range out {
		out[i].Fit = fit(out[i].Points)
	}
	return out
}

// fit returns the regression line through points in the order of their sizes, or nil if there are too few.
func fit(points []Point) *Fit {
	if len(points) < 3 {
		return nil
	}
	x, y := split(points)
	f := &Fit{}
	f.Intercept, f.Slope = stat.LinearRegression(x, y, nil, false)
	halfWidth := slopeHalfWidth(x, y, f.Intercept, f.Slope)
	f.SlopeLow, f.SlopeHigh = f.Slope-halfWidth, f.Slope+halfWidth

	last := len(points) - 1
	intercept, slope := stat.LinearRegression(x[:last], y[:last], nil, false)
	f.Predicted = intercept + slope*x[last]
	if f.Predicted != 0 {
		f.PredictionError = (y[last] - f.Predicted) / math.Abs(f.Predicted)
	}
	f.Flagged = math.Abs(y[last]-f.Predicted) > MaxPredictionError*math.Abs(f.Predicted)
	return f
}

// slopeHalfWidth returns half the width of the 95% confidence interval of a slope, by Student's t-distribution.
func slopeHalfWidth(x, y []float64, intercept, slope float64) float64 {
	degreesOfFreedom := float64(len(x) - 2)
	if degreesOfFreedom < 1 {
		return 0
	}
	residual, variation, mean := 0.0, 0.0, stat.Mean(x, nil)
	for i := range x {
		deviation := y[i] - intercept - slope*x[i]
		residual += deviation * deviation
		variation += (x[i] - mean) * (x[i] - mean)
	}
	if variation == 0 {
		return 0
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: degreesOfFreedom}.Quantile(0.975)
	return t * math.Sqrt(residual/degreesOfFreedom/variation)
}

func split(points []Point) (x, y []float64) {
	for _, p := range points {
		x, y = append(x, float64(p.Size)), append(y, p.Value)
	}
	return x, y
}
