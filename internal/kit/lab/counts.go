package lab

import (
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Counts are the totals of all nodes in a play, by second and over the whole play.
type Counts struct {
	Seconds []Second `json:"seconds"`

	NewConns                 float64 `json:"new_connections_an_attempt"`
	HandshakeFraction        float64 `json:"handshake_part_of_work"` // fraction of all work sent
	OpenMean                 float64 `json:"open_connections_mean"`  // per backend, over all backends and seconds
	OpenP99                  float64 `json:"open_connections_p99"`
	OpenMax                  float64 `json:"open_connections_most"`
	ListCalls                float64 `json:"list_calls_a_node"` // per node, in the 10 s after each restart of nodes; in the whole play if there is none
	ListCallsRejected        float64 `json:"list_calls_turned_away_a_node"`
	ColdBudgetMax            float64 `json:"cold_budget_worst"` // maximum ratio of work sent to a cold backend's budget over all windows; 1 is the whole budget
	AttemptsToIsolated       float64 `json:"attempts_at_boxes_cut_off"`
	SharedBytesPerNodeSecond float64 `json:"shared_bytes_a_node_a_second"`
	LoadP99ToMean            float64 `json:"work_p99_to_mean"` // of the work sent to warm backends per second, relative to their full capacity; mean over the seconds

	nodeStarts         []time.Duration
	openSamples        []float64
	loadSpreads        []float64
	callsAfterStart    float64 // calls while nodesStarting
	rejectedAfterStart float64
	workSent           time.Duration
	handshakeWork      time.Duration
	workThisSecond     map[*backend]time.Duration // work sent to each backend
}

// Second is the totals of one second of a play, over the whole fleet.
type Second struct {
	At                   int     `json:"at"` // seconds since the start of the traffic
	Attempts             int     `json:"attempts"`
	NewConns             int     `json:"new_connections"`
	HandshakeCoreSeconds float64 `json:"handshake_core_seconds"`
	CrossSite            int     `json:"across_sites"`
	ColdCoreSeconds      float64 `json:"cold_core_seconds"` // work sent to cold backends
	ColdBudgetUsed       float64 `json:"cold_budget_used"`  // Counts.ColdBudgetMax so far
	RefusedUntried       int     `json:"refused_untried"`   // refusals without an attempt
	RefusedTried         int     `json:"refused_tried"`     // refusals after attempts, none of which ran
	ListCalls            int     `json:"list_calls"`
	FullLists            int     `json:"whole_lists"` // of the list calls, those for the full list
	ListCallsRejected    int     `json:"list_calls_turned_away"`
	ReportAgeSeconds     float64 `json:"report_age_s"` // mean age of the latest report of the backend that is chosen
	WithoutReport        int     `json:"without_report"`
	Open                 float64 `json:"open_connections"` // per backend, mean over those in service
	OpenP99              float64 `json:"open_connections_p99"`
	InFlight             float64 `json:"held"` // requests per backend, mean of the true numbers
	BelievedInFlight     float64 `json:"held_believed"`

	reportAgeSum float64
}

func (c *Counts) prepare(sim *simulation) {
	for at := range int((sim.plan.Scenario.Length.D() + drainTime) / time.Second) {
		c.Seconds = append(c.Seconds, Second{At: at})
	}
	c.workThisSecond = map[*backend]time.Duration{}
}

// current returns the current second of a play.
func (c *Counts) current(sim *simulation) *Second {
	return &c.Seconds[min(int(sim.now/time.Second), len(c.Seconds)-1)]
}

// recordAttempt counts an attempt whose connection has been chosen.
func (c *Counts) recordAttempt(a *attempt) {
	sim, s := a.node.sim, c.current(a.node.sim)
	s.Attempts++
	if a.backend.isolated || sim.partitioned(a.node.Site, a.backend.plan.Site) {
		c.AttemptsToIsolated++
	}
	work := a.request.op.Work
	if a.newConn {
		handshake := sim.plan.Scenario.Conn.HandshakeWork.D()
		s.NewConns++
		s.HandshakeCoreSeconds += handshake.Seconds()
		c.handshakeWork += handshake
		work += handshake
	}
	c.workSent += work
	c.workThisSecond[a.backend] += work
	if a.backend.plan.Site != a.node.Site {
		s.CrossSite++
	}
	if at, ok := a.node.reportedAt[a.backend]; ok {
		s.reportAgeSum += (sim.now - at).Seconds()
	} else {
		s.WithoutReport++
	}
}

// recordColdWork counts work sent to a cold backend.
func (c *Counts) recordColdWork(b *backend, work time.Duration) {
	s := c.current(b.sim)
	s.ColdCoreSeconds += work.Seconds()
	c.ColdBudgetMax = max(c.ColdBudgetMax, b.budget.MaxFraction())
}

func (c *Counts) recordRefusal(n *node, id string) {
	r, s := n.requests[id], c.current(n.sim)
	if r != nil && len(r.attempts) > 0 {
		s.RefusedTried++
	} else {
		s.RefusedUntried++
	}
}

func (c *Counts) recordListCall(l *listCall) {
	s := c.current(l.node.sim)
	s.ListCalls++
	if l.sinceVersion < 0 {
		s.FullLists++
	}
	if c.nodesStarting(l.node.sim.now) {
		c.callsAfterStart++
	}
}

func (c *Counts) recordRejectedCall(l *listCall) {
	c.current(l.node.sim).ListCallsRejected++
	if c.nodesStarting(l.node.sim.now) {
		c.rejectedAfterStart++
	}
}

// nodesStarting reports whether a node has restarted in the last 10 s. It is true until the first restart, so that a play
// without one counts throughout.
func (c *Counts) nodesStarting(now time.Duration) bool {
	return len(c.nodeStarts) == 0 || now-c.nodeStarts[len(c.nodeStarts)-1] < 10*time.Second
}

// sampleBackends records connections and load of all backends once a second.
func (sim *simulation) sampleBackends() {
	c := sim.counts
	s := c.current(sim)
	var open, load []float64
	inFlight, up := 0.0, 0.0
	for _, b := range sim.backends {
		if b == nil || !b.up || b.isolated {
			continue
		}
		b.closeAllExpired()
		open = append(open, float64(b.conns))
		inFlight, up = inFlight+float64(b.model.InFlight()), up+1
		if b.budget == nil && !b.draining && !b.slow {
			load = append(load, c.workThisSecond[b].Seconds()/b.model.FullCapacity())
		}
	}
	clear(c.workThisSecond)
	if len(open) > 0 {
		slices.Sort(open)
		s.Open, s.OpenP99, s.InFlight = stat.Mean(open, nil), stat.Quantile(0.99, stat.Empirical, open, nil), inFlight/up
		c.openSamples = append(c.openSamples, open...)
	}
	if mean := stat.Mean(load, nil); len(load) > 0 && mean > 0 && sim.now <= sim.plan.Scenario.Length.D() {
		slices.Sort(load)
		c.loadSpreads = append(c.loadSpreads, stat.Quantile(0.99, stat.Empirical, load, nil)/mean)
	}
	s.ColdBudgetUsed = c.ColdBudgetMax
	believed, seen := 0.0, 0.0
	for _, n := range sim.nodes {
		if !n.up {
			continue
		}
		for _, x := range n.balancer.Snapshot(epoch + sim.now) {
			if !x.Wide {
				believed, seen = believed+x.Held, seen+1
			}
		}
	}
	s.BelievedInFlight = believed / max(1, seen)
	sim.after(time.Second, sim.sampleBackends)
}

// finish computes the figures of the whole play.
func (c *Counts) finish(sim *simulation) {
	attempts, conns := 0, 0
	for i := range c.Seconds {
		s := &c.Seconds[i]
		attempts, conns = attempts+s.Attempts, conns+s.NewConns
		if heard := s.Attempts - s.WithoutReport; heard > 0 {
			s.ReportAgeSeconds = s.reportAgeSum / float64(heard)
		}
	}
	c.NewConns = float64(conns) / float64(max(1, attempts))
	c.HandshakeFraction = c.handshakeWork.Seconds() / math.Max(1e-9, c.workSent.Seconds())
	slices.Sort(c.openSamples)
	if len(c.openSamples) > 0 {
		c.OpenMean, c.OpenP99, c.OpenMax = stat.Mean(c.openSamples, nil), stat.Quantile(0.99, stat.Empirical, c.openSamples, nil), c.openSamples[len(c.openSamples)-1]
	}
	if len(c.loadSpreads) > 0 {
		c.LoadP99ToMean = stat.Mean(c.loadSpreads, nil)
	}
	c.ListCalls, c.ListCallsRejected = c.callsAfterStart/float64(len(sim.nodes)), c.rejectedAfterStart/float64(len(sim.nodes))
	c.SharedBytesPerNodeSecond /= float64(len(sim.nodes)) * max(1, sim.now.Seconds())
	c.openSamples, c.loadSpreads, c.workThisSecond = nil, nil, nil
}
