package policy

import (
	"math"
	"time"

	"craneglade/internal/sites"
)

// Belief is a node's estimate of one backend, for logs and inspection.
type Belief struct {
	ID       uint32
	Mode     string        // normal, overload or discard
	Held     float64       // estimated occupancy: requests of all nodes in work or waiting there
	Own      float64       // this node's attempts in flight
	H, R     float64       // thresholds of overload and discard now
	Q        float64       // fraction of the requests drawn for it that it diverts now
	Service  float64       // service time in seconds per request of the occupancy
	Bad      float64       // recent fraction of failures
	Ejected  bool          // ejected, or on trial after an ejection
	Wide     bool          // not in the subset of the fleet that this node works with
	Ramp     float64       // lower bound of its fraction of the full capacity; 1 for a warm one
	ReportOf time.Duration // age of the latest report
}

// Snapshot returns the estimates of all listed backends in the order of their ids. It changes no mode.
func (b *Balancer) Snapshot(now time.Duration) []Belief {
	t := max(now.Seconds(), b.now)
	out := make([]Belief, 0, len(b.sorted))
	for _, s := range b.sorted {
		r := b.thresholdR(s)
		n, h := b.occupancy(s, t), b.thresholdH(s, r)
		out = append(out, Belief{ID: s.ID, Mode: [...]string{"normal", "overload", "discard"}[s.mode], Held: n,
			Own: s.inFlight, R: r, H: h, Q: [...]float64{0, b.divertFraction(n, h), 1}[s.mode],
			Service: b.serviceTime(s), Bad: s.Bad,
			Wide: s.outsideSubset, Ejected: t < s.Ejected || s.Trial, Ramp: b.capacityFraction(s, t),
			ReportOf: toDuration(t - s.reportAt)})
	}
	return out
}

// Demand returns the recent request rates at this node, by class.
func (b *Balancer) Demand() []sites.Demand {
	out := make([]sites.Demand, 0, len(b.classes))
	// The counts decay with each refresh, so they stand for a decayed time too.
	seconds := max(historyDecaySeconds*(1-math.Exp((b.firstRefreshAt-b.refreshedAt)/historyDecaySeconds)), 1e-3)
	for _, c := range b.classes {
		out = append(out, sites.Demand{Class: c.Name, Rate: c.requests / seconds, OverQuota: c.overQuota / seconds,
			Work: c.meanLatency()})
	}
	return out
}
