// Package decay keeps decaying sums and means. Times are in seconds of any monotonic clock.
package decay

import "math"

// Mean is a mean kept as a sum and a count, which both decay. Its zero value is empty.
type Mean struct{ Sum, N float64 }

// Add counts x once.
func (m *Mean) Add(x float64) { m.Sum, m.N = m.Sum+x, m.N+1 }

// Decay multiplies both by f.
func (m *Mean) Decay(f float64) { m.Sum, m.N = m.Sum*f, m.N*f }

// Moments is a Mean with the sum of the squares. Its zero value is empty.
type Moments struct {
	Mean
	squares float64
}

// Add counts x once.
func (m *Moments) Add(x float64) {
	m.Mean.Add(x)
	m.squares += x * x
}

// Decay multiplies all sums by f.
func (m *Moments) Decay(f float64) {
	m.Mean.Decay(f)
	m.squares *= f
}

// MeanPlus returns the value that lies a number of standard deviations above the mean. A count below 1 counts as 1.
func (m *Moments) MeanPlus(deviations float64) float64 {
	mean := m.Sum / max(m.N, 1)
	return mean + deviations*math.Sqrt(max(0, m.squares/max(m.N, 1)-mean*mean))
}

// EWMA is an exponentially weighted moving average. Its zero value is a mean of 0 without observations.
type EWMA struct {
	Mean      float64
	weight    float64 // decayed number of values
	updatedAt float64
}

// Add adds x. Values decay with timeConstant. prior is a number of values of 0 before the first, which else would be the mean
// by itself.
func (e *EWMA) Add(now, x, timeConstant, prior float64) {
	e.weight = e.weight*math.Exp((e.updatedAt-now)/timeConstant) + 1
	e.updatedAt = now
	e.Mean += (x - e.Mean) / (e.weight + prior)
}

// Trend compares a count with its recent mean. Its zero value starts from a mean of 0.
type Trend struct{ mean, updatedAt float64 }

// Ratio returns the ratio of n to its mean over timeConstant, within 1/maxRatio and maxRatio. A difference up to 1/(1+mean)
// is ignored: with a mean near 0, one more is chance. prior is added to the mean so that small counts vary little.
func (t *Trend) Ratio(now, n, timeConstant, prior, maxRatio float64) float64 {
	t.mean += (n - t.mean) * (1 - math.Exp((t.updatedAt-now)/timeConstant))
	t.updatedAt = now
	excess := math.Copysign(max(0, math.Abs(n-t.mean)-1/(1+t.mean)), n-t.mean)
	return min(maxRatio, max(1/maxRatio, 1+excess/(t.mean+prior)))
}
