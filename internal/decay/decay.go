// Package decay keeps sums and means that forget. Times are in seconds, of any clock that never steps back.
package decay

import "math"

// Mean is a sum and the count behind it, both of which fade. Its zero value is empty.
type Mean struct{ Sum, N float64 }

// Add counts x once.
func (t *Mean) Add(x float64) { t.Sum, t.N = t.Sum+x, t.N+1 }

// Decay leaves the part f of both.
func (t *Mean) Decay(f float64) { t.Sum, t.N = t.Sum*f, t.N*f }

// Moments are a Tally with the sum of the squares. Its zero value is empty.
type Moments struct {
	Mean
	squares float64
}

// Add counts x once.
func (m *Moments) Add(x float64) {
	m.Mean.Add(x)
	m.squares += x * x
}

// Decay leaves the part f of all.
func (m *Moments) Decay(f float64) {
	m.Mean.Decay(f)
	m.squares *= f
}

// MeanPlus is the value so many standard deviations above the mean; 0 where fewer than one was counted.
func (m *Moments) MeanPlus(deviations float64) float64 {
	mean := m.Sum / max(m.N, 1)
	return mean + deviations*math.Sqrt(max(0, m.squares/max(m.N, 1)-mean*mean))
}

// EWMA is the mean of what came lately. Its zero value is a level of 0 that nothing told of.
type EWMA struct {
	Mean      float64
	weight    float64 // values behind it, decayed
	updatedAt float64
}

// Add takes in x. Values count for about tau, and prior values of 0 stand before the first, which would else be all.
func (l *EWMA) Add(now, x, timeConstant, prior float64) {
	l.weight = l.weight*math.Exp((l.updatedAt-now)/timeConstant) + 1
	l.updatedAt = now
	l.Mean += (x - l.Mean) / (l.weight + prior)
}

// Trend tells by how much a count stands over or under what it was lately. Its zero value starts from 0.
type Trend struct{ mean, updatedAt float64 }

// Ratio is n over its mean of the last tau, within 1/most and most. Where it is near 0, one more is chance and tells nothing;
// prior is added to the mean so that small counts swing little.
func (s *Trend) Ratio(now, n, timeConstant, prior, maxRatio float64) float64 {
	s.mean += (n - s.mean) * (1 - math.Exp((s.updatedAt-now)/timeConstant))
	s.updatedAt = now
	excess := math.Copysign(max(0, math.Abs(n-s.mean)-1/(1+s.mean)), n-s.mean)
	return min(maxRatio, max(1/maxRatio, 1+excess/(s.mean+prior)))
}
