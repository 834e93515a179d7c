package judge

import (
	"fmt"

	"craneglade/internal/kit/trace"
)

const (
	maxLateP99  = 25 * microsPerMilli // a run in which the kit sent later than this is void,
	maxLagShare = 0.05                // and one in which it lagged for a larger part of the time

	histogramCells = 20000
	histogramCell  = int64(100) // microseconds
)

// lateness is how late the kit itself was, by its own account.
type lateness struct {
	lags      []trace.Record // of its heartbeat
	lagSum    int64
	histogram [histogramCells + 1]int // of sends, planned against real; the last cell has all that were later
}

// addLag records a late heartbeat.
func (l *lateness) addLag(r trace.Record) {
	l.lags = append(l.lags, r)
	l.lagSum += r.Late
}

// addSend records by how much a send was late.
func (l *lateness) addSend(late int64) {
	l.histogram[min(max(late, 0)/histogramCell, histogramCells)]++
}

// between is for how long the kit was late between two moments.
func (l *lateness) between(from, to int64) int64 {
	sum := int64(0)
	for _, lag := range l.lags {
		sum += max(0, min(lag.T, to)-max(lag.T-lag.Late, from))
	}
	return sum
}

// quantile is the lateness of sends at a quantile, in microseconds.
func (l *lateness) quantile(p float64) int64 {
	total := 0
	for _, n := range l.histogram {
		total += n
	}
	if total == 0 {
		return 0
	}
	sum := 0
	for i, n := range l.histogram {
		if sum += n; float64(sum) >= p*float64(total) {
			return int64(i) * histogramCell
		}
	}
	return histogramCells * histogramCell
}

// fill sets the verdict's figures of a trace of this length, and whether it is void.
func (l *lateness) fill(v *Verdict, length int64) {
	v.LateP50, v.LateP99 = l.quantile(0.5), l.quantile(0.99)
	if length > 0 {
		v.LagShare = float64(l.lagSum) / float64(length)
	}
	switch {
	case v.LateP99 > maxLateP99:
		v.Void = fmt.Sprintf("the kit sent late itself: p99 %v, and %v is the most", duration(v.LateP99), duration(maxLateP99))
	case v.LagShare > maxLagShare:
		v.Void = fmt.Sprintf("the kit was held up for %.0f%% of the time, and %.0f%% is the most", 100*v.LagShare, 100*maxLagShare)
	}
}
