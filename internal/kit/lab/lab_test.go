package lab

import (
	"context"
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"craneglade/internal/kit/judge"
	"craneglade/internal/kit/plan"
	"craneglade/internal/kit/scenario"
	"craneglade/internal/kit/trace"
	"craneglade/policy"
)

func load(t *testing.T, name string, change ...func(*scenario.Scenario)) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Load(name)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range change {
		c(s)
	}
	return s
}

func shorten(s *scenario.Scenario) { s.Length = scenario.Duration(12 * time.Second) }

// traceText plays a scenario and returns its trace as text.
func traceText(t *testing.T, s *scenario.Scenario, seed uint64) string {
	t.Helper()
	var b strings.Builder
	o := Options{Name: "x", Plan: plan.New(s, seed), Tuning: policy.DefaultTuning()}
	w := trace.NewWriter(&b, Head(&o))
	o.Record = w.Add
	if err := Play(o); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// playJudged plays a scenario and returns the judge's verdict.
func playJudged(t *testing.T, o Options) *judge.Verdict {
	t.Helper()
	j := judge.New(Head(&o))
	line := 1
	o.Record = func(r *trace.Record) { line++; j.Add(line, *r) }
	if err := Play(o); err != nil {
		t.Fatal(err)
	}
	return j.Finish()
}

func TestSameSeedSameTrace(t *testing.T) {
	for _, name := range []string{"rolling-deploy", "lost-requests", "late-list"} {
		s := load(t, name, shorten)
		if a, b := traceText(t, s, 7), traceText(t, s, 7); a != b {
			t.Errorf("%s: two plays of seed 7 differ", name)
		} else if c := traceText(t, s, 8); a == c {
			t.Errorf("%s: seeds 7 and 8 give the same trace", name)
		}
	}
}

// These scenarios keep the rules, and every operation has exactly one end.
func TestScenariosKeepTheRules(t *testing.T) {
	for _, name := range []string{"rolling-deploy", "late-list", "slow-after-overload", "half-cold"} {
		s := load(t, name)
		d, err := PlayOnce(name, s, 3, policy.DefaultTuning())
		if err != nil {
			t.Fatal(err)
		}
		v := d.report.Verdict
		if len(v.Violations) > 0 || len(v.Undecided) > 0 || !v.Whole {
			t.Errorf("%s: %d violations, %d undecided, whole %v: %s", name, len(v.Violations), len(v.Undecided), v.Whole, d.Broken)
		}
		w := d.report.Whole
		if ended := w.InTime + w.Late + w.Refused + w.Failed + w.Unreached + w.Left; ended != w.Asked || w.Asked < 1000 {
			t.Errorf("%s: %d asked, %d ended", name, w.Asked, ended)
		}
	}
}

// Guards against a judge that misses violations in simulated traces: nodes resend unsafe requests, keep using draining
// backends, or overload cold ones.
func TestViolationsAreDetected(t *testing.T) {
	for _, c := range []struct {
		name           string
		rule           judge.Rule
		change         func(*scenario.Scenario)
		changeSettings func(*policy.Settings)
		hideUpdate     func(policy.Entry) bool
	}{
		{"rolling-deploy", judge.DrainsHonoured, func(s *scenario.Scenario) { s.Events[0].Drain = 8 * scenario.Duration(time.Second) }, nil,
			func(e policy.Entry) bool { return e.State == policy.Draining }},
		{"half-cold", judge.ColdProtected, func(s *scenario.Scenario) { s.Rules.OverloadFactor = 0.3 },
			func(p *policy.Settings) { p.ColdShare, p.FallFactor = 1, 40 }, nil},
		{"lost-requests", judge.NoDoubleEffect, shorten, func(p *policy.Settings) {
			for i := range p.Classes {
				p.Classes[i].Effect = policy.Safe
			}
		}, nil},
	} {
		s := load(t, c.name, c.change)
		o := Options{Name: c.name, Plan: plan.New(s, 5), Tuning: policy.DefaultTuning(), changeSettings: c.changeSettings, hideUpdate: c.hideUpdate}
		if v := playJudged(t, o); !v.Broken(c.rule) {
			t.Errorf("%s with wrong settings or a missed update: no violation of rule %d found", c.name, c.rule)
		}
	}
}

func TestUnsupportedEvents(t *testing.T) {
	for name, want := range map[string]string{"kill": `"term"`, "reload": `"reload"`, "bad-boxes": `"spoil"`} {
		_, err := PlayOnce(name, load(t, name), 1, policy.DefaultTuning())
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want one that names %s", name, err, want)
		}
	}
}

func TestBeliefsAgainstTrueState(t *testing.T) {
	s := load(t, "calm", shorten)
	seen, off := 0, 0.0
	o := Options{Name: "calm", Plan: plan.New(s, 1), Tuning: policy.DefaultTuning(), Record: func(*trace.Record) {},
		Belief: func(b Belief) {
			seen++
			off += math.Abs(b.Held - float64(b.TrueHeld))
			if b.H <= 0 || b.R < b.H || b.Service <= 0 || b.TrueCapacity <= 0 {
				t.Errorf("implausible belief: %+v", b)
			}
			if _, err := json.Marshal(b); err != nil {
				t.Error(err)
			}
		}}
	if err := Play(o); err != nil {
		t.Fatal(err)
	}
	if want := s.Nodes.Count * s.Backends() * 12; seen < want || off/float64(seen) > 3 {
		t.Errorf("%d beliefs, want %d at least; off by %.1f requests on average", seen, want, off/float64(seen))
	}
}

func TestSweep(t *testing.T) {
	s := load(t, "peak-short", shorten)
	worse := policy.DefaultTuning()
	worse.H = 0.5
	sweep := &Sweep{Name: "peak-short", Scenario: s, Seeds: []uint64{1, 2, 3}, Settings: []Setting{{Name: "in service", Tuning: policy.DefaultTuning()}, {Name: "h=0.5", Tuning: worse}}}
	calls := 0
	out, err := sweep.Run(context.Background(), func(played, all int) {
		if calls++; played != calls || all != 6 {
			t.Errorf("call %d says %d of %d", calls, played, all)
		}
	})
	if err != nil || calls != 6 || len(out) != 2 {
		t.Fatalf("%d outcomes, %d calls, error %v", len(out), calls, err)
	}
	against := Paired(&out[0], &out[1], func(d *PlayResult) float64 { return d.Figure })
	if !(against.Mean+against.Half < 0) || out[0].Figure.Half <= 0 {
		t.Errorf("H of half a request against the default: %v (%v, %v), want it significantly worse", against, out[0].Figure, out[1].Figure)
	}
	var page strings.Builder
	if err := sweep.Page(&page, out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"h=0.5", "<svg", "refused twice", out[0].Figure.String()} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := sweep.Run(ended, nil); err == nil {
		t.Error("a cancelled sweep returned no error")
	}
}

func TestEstimate(t *testing.T) {
	// Two-sided 95% for four values: t(3) is 3.182.
	e := NewEstimate([]float64{1, 2, 3, 4})
	if want := 3.182446 * math.Sqrt(5.0/3) / 2; e.Mean != 2.5 || math.Abs(e.Half-want) > 1e-4 {
		t.Errorf("%v ± %v, want 2.5 ± %v", e.Mean, e.Half, want)
	}
	if e := NewEstimate([]float64{7}); e.Mean != 7 || e.Half != 0 || e.N != 1 {
		t.Errorf("one value: %+v", e)
	}
}

func BenchmarkPlay(b *testing.B) {
	s, err := scenario.Load("peak-short")
	if err != nil {
		b.Fatal(err)
	}
	for i := range b.N {
		if _, err := PlayOnce("peak-short", s, uint64(i+1), policy.DefaultTuning()); err != nil {
			b.Fatal(err)
		}
	}
}
