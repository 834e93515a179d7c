package lab

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"sync"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"craneglade/internal/kit/judge"
	"craneglade/internal/kit/plan"
	"craneglade/internal/kit/report"
	"craneglade/internal/kit/scenario"
	"craneglade/internal/kit/trace"
	"craneglade/policy"
)

// Setting is one variant of a sweep: a named tuning, with or without shared state and site plans.
type Setting struct {
	Name   string        `json:"name"`
	Tuning policy.Tuning `json:"tuning"`
	Share  *Sharing      `json:"share,omitempty"` // nil: nodes share nothing
	Sites  *Siting       `json:"-"`               // nil: nodes do not watch sites
}

// Sweep is a parameter sweep: a scenario is played with each setting and each seed.
type Sweep struct {
	Name     string
	Scenario *scenario.Scenario
	Seeds    []uint64
	Settings []Setting
	Workers  int // concurrent plays; 0: one per processor
}

// Outcome is the result of one setting over the seeds of a sweep.
type Outcome struct {
	Setting  Setting      `json:"setting"`
	Figure   Estimate     `json:"figure"`        // the weighted figure of package report, before prices
	Share    Estimate     `json:"worth_in_time"` // utility answered within the latency target / utility requested
	Windows  []Window     `json:"windows"`
	PerSeed  []PlayResult `json:"plays"`
	Broken   int          `json:"plays_with_a_broken_rule"`
	Refused  Estimate     `json:"refused"`       // fraction of the operations that ended as refused
	Twice    Estimate     `json:"refused_twice"` // of the operations with a refused try, the fraction with more than one
	Attempts Estimate     `json:"attempts_for_each_request"`
	Costs    []Cost       `json:"costs"`
}

// Cost is the estimate of one figure of Counts over the plays.
type Cost struct {
	Name     string   `json:"name"`
	Estimate Estimate `json:"is"`
}

var costMetrics = []struct {
	name string
	of   func(*Counts) float64
}{
	{"new connections an attempt", func(c *Counts) float64 { return c.NewConns }},
	{"handshakes, part of all work", func(c *Counts) float64 { return c.HandshakeFraction }},
	{"open connections a box, mean", func(c *Counts) float64 { return c.OpenMean }},
	{"open connections a box, p99", func(c *Counts) float64 { return c.OpenP99 }},
	{"open connections a box, most", func(c *Counts) float64 { return c.OpenMax }},
	{"list calls a node", func(c *Counts) float64 { return c.ListCalls }},
	{"list calls turned away a node", func(c *Counts) float64 { return c.ListCallsRejected }},
	{"attempts at boxes that are cut off", func(c *Counts) float64 { return c.AttemptsToIsolated }},
	{"bytes of shared state a node a second", func(c *Counts) float64 { return c.SharedBytesPerNodeSecond }},
	{"cold budget used at the worst moment", func(c *Counts) float64 { return c.ColdBudgetMax }},
	{"work of a box, p99 to mean", func(c *Counts) float64 { return c.LoadP99ToMean }},
}

// Window is the share of utility in time of the operations that started in one window of the play.
type Window struct {
	Name  string   `json:"name"`
	Share Estimate `json:"worth_in_time"`
}

// PlayResult holds the figures of one play.
type PlayResult struct {
	Seed                 uint64    `json:"seed"`
	Figure               float64   `json:"figure"`
	Share                float64   `json:"worth_in_time"`
	Windows              []float64 `json:"windows"`
	Broken               string    `json:"broken,omitempty"` // the first violation of a rule; "" for none
	Served               []float64 `json:"served_a_second"`
	Asked                []float64 `json:"asked_a_second"`
	Counts               *Counts   `json:"counts"`
	report               *report.Report
	refusedFraction      float64
	refusedTwiceFraction float64
}

// Estimate is a mean with its 95% confidence interval, from Student's t over the seeds.
type Estimate struct {
	Mean float64 `json:"mean"`
	Half float64 `json:"half_width"` // half the width of the interval; 0 for a single seed
	N    int     `json:"n"`
}

// String formats the mean and half the width of the interval.
func (e Estimate) String() string { return fmt.Sprintf("%.3f ±%.3f", e.Mean, e.Half) }

// NewEstimate returns the estimate of the mean from a sample.
func NewEstimate(v []float64) Estimate {
	e := Estimate{N: len(v)}
	if len(v) == 0 {
		return e
	}
	mean, dev := stat.MeanStdDev(v, nil)
	e.Mean = mean
	if len(v) > 1 {
		e.Half = distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(v) - 1)}.Quantile(0.975) * dev / math.Sqrt(float64(len(v)))
	}
	return e
}

// Paired returns the estimate of the mean difference b - a of two outcomes over the same seeds.
func Paired(a, b *Outcome, of func(*PlayResult) float64) Estimate {
	var d []float64
	for i := range min(len(a.PerSeed), len(b.PerSeed)) {
		d = append(d, of(&b.PerSeed[i])-of(&a.PerSeed[i]))
	}
	return NewEstimate(d)
}

// Run plays the whole sweep. done is called after each play, from one goroutine at a time; it may be nil.
func (s *Sweep) Run(ctx context.Context, done func(played, all int)) ([]Outcome, error) {
	type job struct{ setting, seed int }
	jobs := make(chan job)
	plays := make([][]PlayResult, len(s.Settings))
	for i := range plays {
		plays[i] = make([]PlayResult, len(s.Seeds))
	}
	workers := s.Workers
	if workers <= 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var wg sync.WaitGroup
	var mu sync.Mutex
	played := 0
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for j := range jobs {
				p, err := playSetting(s.Name, s.Scenario, s.Seeds[j.seed], s.Settings[j.setting])
				if err != nil {
					cancel(fmt.Errorf("%s, seed %d: %w", s.Settings[j.setting].Name, s.Seeds[j.seed], err))
					continue
				}
				mu.Lock()
				plays[j.setting][j.seed] = *p
				played++
				if done != nil {
					done(played, len(s.Settings)*len(s.Seeds))
				}
				mu.Unlock()
			}
		}()
	}
feed:
	for seed := range s.Seeds {
		for setting := range s.Settings {
			select {
			case jobs <- job{setting, seed}:
			case <-ctx.Done():
				break feed
			}
		}
	}
	close(jobs)
	wg.Wait()
	if err := context.Cause(ctx); err != nil {
		return nil, err
	}
	var out []Outcome
	for i, set := range s.Settings {
		out = append(out, outcome(set, plays[i]))
	}
	return out, nil
}

// PlayOnce plays one seed of a scenario with nodes that share nothing and returns its figures.
func PlayOnce(name string, s *scenario.Scenario, seed uint64, t policy.Tuning) (*PlayResult, error) {
	return playSetting(name, s, seed, Setting{Tuning: t})
}

func playSetting(name string, s *scenario.Scenario, seed uint64, set Setting) (*PlayResult, error) {
	o := Options{Name: name, Plan: plan.New(s, seed), Tuning: set.Tuning, Sharing: set.Share, Sites: set.Sites, Counts: &Counts{}}
	h := Head(&o)
	c, j := report.New(h), judge.New(h)
	line := 1
	tries := map[string]int{} // by the id of an operation's first try: how many of its tries were refused
	of := map[string]string{}
	o.Record = func(r *trace.Record) {
		line++
		c.Add(*r)
		j.Add(line, *r)
		switch {
		case r.Kind == trace.Sent:
			of[r.ID] = r.FirstID
		case r.Kind == trace.Got && r.Status == 503:
			tries[of[r.ID]]++
		}
	}
	if err := Play(o); err != nil {
		return nil, err
	}
	rep := c.Finish(j.Finish())
	p := &PlayResult{Seed: seed, Figure: rep.Figure, Share: rep.Whole.Share, Counts: o.Counts, report: rep}
	for _, w := range rep.Windows {
		p.Windows = append(p.Windows, w.Share)
	}
	for _, x := range rep.PerSecond {
		p.Asked = append(p.Asked, float64(x.Asked))
		p.Served = append(p.Served, float64(x.InTime))
	}
	if v := rep.Verdict.Violations; len(v) > 0 {
		p.Broken = rep.Line(v[0])
	}
	twice := 0
	for _, n := range tries {
		if n > 1 {
			twice++
		}
	}
	p.refusedFraction = float64(rep.Whole.Refused) / float64(max(1, rep.Whole.Asked))
	p.refusedTwiceFraction = float64(twice) / float64(max(1, len(tries)))
	return p, nil
}

func outcome(set Setting, plays []PlayResult) Outcome {
	o := Outcome{Setting: set, PerSeed: plays}
	of := func(f func(*PlayResult) float64) Estimate {
		var v []float64
		for i := range plays {
			v = append(v, f(&plays[i]))
		}
		return NewEstimate(v)
	}
	o.Figure = of(func(p *PlayResult) float64 { return p.Figure })
	o.Share = of(func(p *PlayResult) float64 { return p.Share })
	o.Refused = of(func(p *PlayResult) float64 { return p.refusedFraction })
	o.Twice = of(func(p *PlayResult) float64 { return p.refusedTwiceFraction })
	o.Attempts = of(func(p *PlayResult) float64 { return p.report.Attempts.Per })
	for _, c := range costMetrics {
		o.Costs = append(o.Costs, Cost{c.name, of(func(p *PlayResult) float64 { return c.of(p.Counts) })})
	}
	for i := range plays[0].report.Windows {
		o.Windows = append(o.Windows, Window{plays[0].report.Windows[i].Name, of(func(p *PlayResult) float64 {
			if i < len(p.Windows) {
				return p.Windows[i]
			}
			return 0
		})})
	}
	for i := range plays {
		if plays[i].Broken != "" {
			o.Broken++
		}
	}
	return o
}
