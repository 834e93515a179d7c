package judge

import (
	"fmt"

	"craneglade/internal/kit/trace"
)

const (
	maxLateP99       = 25 * microsPerMilli // a run is void if the kit's sends were later than this,
	maxStallFraction = 0.05                // or if the kit was stalled for a larger fraction of the time

	histogramBuckets = 20000
	bucketWidth      = int64(100) // microseconds
)

// lateness measures how late the kit itself was, by its own records.
type lateness struct {
	stalls     []trace.Record // late heartbeats of the kit
	totalStall int64
	histogram  [histogramBuckets + 1]int // of the lateness of sends; the last bucket counts all that were later
}

// addStall records a late heartbeat of the kit.
func (l *lateness) addStall(r trace.Record) {
	l.stalls = append(l.stalls, r)
	l.totalStall += r.Late
}

// addSend records by how much a send was late.
func (l *lateness) addSend(late int64) {
	l.histogram[min(max(late, 0)/bucketWidth, histogramBuckets)]++
}

// stalledWithin returns for how long the kit was stalled between two times.
func (l *lateness) stalledWithin(from, to int64) int64 {
	sum := int64(0)
	for _, stall := range l.stalls {
		sum += max(0, min(stall.T, to)-max(stall.T-stall.Late, from))
	}
	return sum
}

// quantile returns the lateness of sends at a quantile, in microseconds.
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
			return int64(i) * bucketWidth
		}
	}
	return histogramBuckets * bucketWidth
}

// fill sets the lateness figures of a verdict on a trace of the given length, and whether the run is void.
func (l *lateness) fill(v *Verdict, length int64) {
	v.LateP50, v.LateP99 = l.quantile(0.5), l.quantile(0.99)
	if length > 0 {
		v.LagShare = float64(l.totalStall) / float64(length)
	}
	switch {
	case v.LateP99 > maxLateP99:
		v.Void = fmt.Sprintf("the kit's own sends were late: p99 %v, at most %v is allowed", duration(v.LateP99), duration(maxLateP99))
	case v.LagShare > maxStallFraction:
		v.Void = fmt.Sprintf("the kit was stalled for %.0f%% of the time, at most %.0f%% is allowed", 100*v.LagShare, 100*maxStallFraction)
	}
}
