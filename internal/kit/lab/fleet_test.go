package lab

import (
	"testing"
	"time"

	"craneglade/internal/kit/plan"
	"craneglade/internal/kit/scenario"
	"craneglade/policy"
)

// smallFleet loads a scenario of a large fleet, scaled down: 10 s, 40 nodes, 30 backends, half of the traffic, and
// events after two seconds.
func smallFleet(t *testing.T, name string, change ...func(*scenario.Scenario)) *scenario.Scenario {
	return load(t, name, append([]func(*scenario.Scenario){func(s *scenario.Scenario) {
		s.Length = scenario.Duration(10 * time.Second)
		s.Nodes.Count, s.Traffic.Rate, s.List.MaxCalls = 40, s.Traffic.Rate/2, s.List.MaxCalls/2
		s.Fleet = []scenario.Fleet{{Kind: "gen-a", Count: 17}, {Kind: "gen-b", Count: 13}}
		var events []scenario.Event
		for _, e := range s.Events {
			e.At = scenario.Duration(2 * time.Second)
			if e.Over > 0 {
				e.Over = scenario.Duration(4 * time.Second)
			}
			if e.Action == "slow" || e.Action == "lose" || e.Action == "fail-class" {
				e.Lasts, e.Backends = scenario.Duration(6*time.Second), (e.Backends+1)/2
			}
			events = append(events, e)
		}
		s.Events = events
		if name == "fleet-herd" {
			s.Events = events[:1]
		}
	}}, change...)...)
}

// playClean plays a scenario, fails the test on any rule violation, and returns the counts. changeSettings changes the
// nodes' settings; nil for none.
func playClean(t *testing.T, s *scenario.Scenario, seed uint64, changeSettings func(*policy.Settings)) *Counts {
	t.Helper()
	o := Options{Name: "twin", Plan: plan.New(s, seed), Tuning: policy.DefaultTuning(), Counts: &Counts{}, changeSettings: changeSettings}
	v := playJudged(t, o)
	for _, x := range v.Violations {
		t.Errorf("rule %d at %v: %s %s", x.Rule, time.Duration(x.At)*time.Microsecond, x.Name, x.Text)
	}
	if len(v.Undecided) > 0 || !v.Whole {
		t.Errorf("%d undecided, whole %v: %+v", len(v.Undecided), v.Whole, v.Undecided)
	}
	return o.Counts
}

// Large fleets keep the rules and serve in time through kills, a lost site and a fast deploy. The same seed gives the
// same figures.
func TestLargeFleets(t *testing.T) {
	// The bounds lie between the figures of the policy in use and those without one of its measures: subsets, their
	// levelling, or the flatter q.
	for name, want := range map[string]struct{ share, fresh, open float64 }{
		"fleet-herd": {0.95, 0.15, 36}, "fleet-zone": {0.85, 0.22, 52}, "fleet-join": {0.96, 0.18, 50}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := smallFleet(t, name)
			d, err := PlayOnce(name, s, 3, policy.DefaultTuning())
			if err != nil {
				t.Fatal(err)
			}
			if d.Broken != "" || len(d.report.Verdict.Undecided) > 0 {
				t.Errorf("%s; undecided %+v", d.Broken, d.report.Verdict.Undecided)
			}
			if d.Share < want.share {
				t.Errorf("share of utility in time %.3f, want at least %.2f", d.Share, want.share)
			}
			if c := d.Counts; c.NewConns > want.fresh || c.ColdBudgetMax > 1 || c.OpenMax > want.open {
				t.Errorf("%.2f new connections per attempt, cold budget %.2f, at most %v connections per backend", c.NewConns, c.ColdBudgetMax, c.OpenMax)
			}
			if name != "fleet-herd" { // the scenario with kills and a list that is fetched
				return
			}
			if again, err := PlayOnce(name, s, 3, policy.DefaultTuning()); err != nil || again.Figure != d.Figure || again.Counts.NewConns != d.Counts.NewConns {
				t.Errorf("a second play differs: %v and %v, %v", d.Figure, again.Figure, err)
			}
		})
	}
}

// Guards against a cold backend that gets more than its budget because nodes disagree on their number: half of the nodes
// are configured with half as many.
func TestColdBudgetWithDisagreeingNodeCounts(t *testing.T) {
	c := playClean(t, smallFleet(t, "fleet-join"), 3, func(s *policy.Settings) {
		if s.Number%2 == 0 {
			s.Nodes /= 2
		}
	})
	if c.ColdBudgetMax == 0 || c.ColdBudgetMax > 1 {
		t.Errorf("a cold backend was sent at most %.2f of its budget, want above 0 and at most 1", c.ColdBudgetMax)
	}
}

// Most nodes start together and the list service rejects every call for 10 s. The nodes have to work with the list that
// they had and must not call without backoff.
func TestListRejectedAfterNodeStart(t *testing.T) {
	s := smallFleet(t, "fleet-herd", func(s *scenario.Scenario) {
		s.Length = scenario.Duration(14 * time.Second)
		s.List.MaxCalls = 1e-3 // one call in total
	})
	c := playClean(t, s, 3, nil)
	if c.ListCallsRejected == 0 || c.ListCalls > 10 {
		t.Errorf("%.1f calls per node in 10 s, %.1f of them rejected", c.ListCalls, c.ListCallsRejected)
	}
	attempts, refused := 0, 0
	for _, x := range c.Seconds[3:13] {
		attempts, refused = attempts+x.Attempts, refused+x.RefusedUntried+x.RefusedTried
	}
	if attempts < 5000 || refused > attempts/50 {
		t.Errorf("%d attempts and %d refusals in the 10 s", attempts, refused)
	}
}

// Guards against overload of a few backends when all nodes start in one millisecond without any observation of a backend.
// The refusals of one seed come from one or two unlucky nodes (0 to 57 of 750), so eight seeds are added up.
func TestAllNodesStartTogether(t *testing.T) {
	refused, attempts := 0, 0
	for seed := range uint64(8) {
		s := smallFleet(t, "fleet-herd", func(s *scenario.Scenario) {
			s.Events = nil
			s.Length = scenario.Duration(3 * time.Second)
		})
		c := playClean(t, s, 5+seed, nil)
		first := c.Seconds[0]
		refused, attempts = refused+first.RefusedUntried+first.RefusedTried, attempts+first.Attempts
		if c.LoadP99ToMean > 2.5 {
			t.Errorf("seed %d: the p99 of the backends' work is %.1f times the mean", 5+seed, c.LoadP99ToMean)
		}
	}
	if refused > attempts/50 {
		t.Errorf("%d of %d refused in the first second", refused, attempts)
	}
}
