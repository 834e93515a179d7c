package lab

import (
	"testing"
	"time"

	"craneglade/internal/kit/plan"
	"craneglade/internal/kit/scenario"
	"craneglade/policy"
)

// smallFleet is a short day of a large fleet: 40 nodes, 30 boxes, half of the traffic, events two seconds in.
func smallFleet(t *testing.T, name string, change ...func(*scenario.Scenario)) *scenario.Scenario {
	return load(t, name, append([]func(*scenario.Scenario){func(s *scenario.Scenario) {
		s.Length = scenario.Duration(10 * time.Second)
		s.Nodes.Count, s.Traffic.Rate, s.List.Calls = 40, s.Traffic.Rate/2, s.List.Calls/2
		s.Fleet = []scenario.Fleet{{Kind: "gen-a", Count: 17}, {Kind: "gen-b", Count: 13}}
		var events []scenario.Event
		for _, e := range s.Events {
			e.At = scenario.Duration(2 * time.Second)
			if e.Over > 0 {
				e.Over = scenario.Duration(4 * time.Second)
			}
			if e.Do == "slow" || e.Do == "lose" || e.Do == "fail-class" {
				e.For, e.Boxes = scenario.Duration(6*time.Second), (e.Boxes+1)/2
			}
			events = append(events, e)
		}
		s.Events = events
		if name == "fleet-herd" {
			s.Events = events[:1]
		}
	}}, change...)...)
}

// playClean plays a day that must keep the rules and returns its counts; tell changes what nodes are told.
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

// Large fleets keep the rules through kills, a lost site and a fast deploy, and serve; the same seed gives the same day.
func TestLargeFleets(t *testing.T) {
	// The bounds lie between what is in service and what it is without one of parts, level or the flatter q.
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
				t.Errorf("%.3f of the worth in time, want %.2f", d.Share, want.share)
			}
			if c := d.Counts; c.NewConns > want.fresh || c.ColdBudgetMax > 1 || c.OpenMax > want.open {
				t.Errorf("new connections %.2f an attempt, cold budget %.2f, %v connections at a box", c.NewConns, c.ColdBudgetMax, c.OpenMax)
			}
			if name != "fleet-herd" { // the one with kills and a list that is asked for
				return
			}
			if again, err := PlayOnce(name, s, 3, policy.DefaultTuning()); err != nil || again.Figure != d.Figure || again.Counts.NewConns != d.Counts.NewConns {
				t.Errorf("a second play differs: %v and %v, %v", d.Figure, again.Figure, err)
			}
		})
	}
}

// Nodes that disagree on how many they are keep to the cold budget together: half of them believe in half as many.
func TestColdBudgetWithDisagreeingNodeCounts(t *testing.T) {
	c := playClean(t, smallFleet(t, "fleet-join"), 3, func(s *policy.Settings) {
		if s.Number%2 == 0 {
			s.Nodes /= 2
		}
	})
	if c.ColdBudgetMax == 0 || c.ColdBudgetMax > 1 {
		t.Errorf("at the worst moment a cold box was sent %.2f of its budget", c.ColdBudgetMax)
	}
}

// A list that turns every call away for 10 s after most nodes have started together: they go on with the list that
// they had, and do not call without end.
func TestListRejectedAfterNodeStart(t *testing.T) {
	s := smallFleet(t, "fleet-herd", func(s *scenario.Scenario) {
		s.Length = scenario.Duration(14 * time.Second)
		s.List.Calls = 1e-3 // one call in all
	})
	c := playClean(t, s, 3, nil)
	if c.ListCallsRejected == 0 || c.ListCalls > 10 {
		t.Errorf("%.1f calls a node in 10 s, %.1f of them turned away", c.ListCalls, c.ListCallsRejected)
	}
	attempts, refused := 0, 0
	for _, x := range c.Seconds[3:13] {
		attempts, refused = attempts+x.Attempts, refused+x.RefusedUntried+x.RefusedTried
	}
	if attempts < 5000 || refused > attempts/50 {
		t.Errorf("%d attempts and %d refusals in the 10 s", attempts, refused)
	}
}

// Nodes that all start in one millisecond, with nothing known of any box, spread their first requests. One day's refusals
// are one or two nodes' bad luck (0 to 57 of 750): eight days tell.
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
			t.Errorf("seed %d: the busiest box gets %.1f times the mean", 5+seed, c.LoadP99ToMean)
		}
	}
	if refused > attempts/50 {
		t.Errorf("%d of %d refused in the first second", refused, attempts)
	}
}
