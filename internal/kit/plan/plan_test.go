package plan

import (
	"bytes"
	"math"
	"slices"
	"testing"
	"time"

	"craneglade/internal/kit/scenario"
)

func planText(t *testing.T, s *scenario.Scenario, seed uint64) []byte {
	t.Helper()
	var b bytes.Buffer
	if err := New(s, seed).Write(&b); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// loadShort returns a scenario with 8 s of its requests and all of its steps, which do not depend on the length.
func loadShort(t *testing.T, name string) *scenario.Scenario {
	t.Helper()
	s := load(t, name)
	s.Length = min(s.Length, scenario.Duration(8*time.Second))
	return s
}

func load(t *testing.T, name string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Load(name)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestSameSeedSamePlan(t *testing.T) {
	for _, name := range scenario.Names() {
		s := loadShort(t, name)
		one, two, other := planText(t, s, 5), planText(t, loadShort(t, name), 5), planText(t, s, 6)
		if !bytes.Equal(one, two) {
			t.Errorf("%s: two plans of one seed differ", name)
		}
		if bytes.Equal(one, other) {
			t.Errorf("%s: another seed gives the same plan", name)
		}
	}
}

// The deploy of the opening replaces 93 percent of the fleet within 20 to 40 s and drains no backend twice.
func TestDeployReplacesItsFraction(t *testing.T) {
	p := New(load(t, "opening"), 3)
	drained, started := map[string]time.Duration{}, 0
	var first, last time.Duration
	for i, s := range p.Steps {
		if i > 0 && s.At < p.Steps[i-1].At {
			t.Fatalf("step %d is earlier than the one before", i)
		}
		switch s.Do {
		case Drain:
			if _, twice := drained[s.Box]; twice {
				t.Errorf("%s drains twice", s.Box)
			}
			drained[s.Box] = s.At
			last = s.At
			if first == 0 {
				first = s.At
			}
		case Start:
			started++
		case Exit:
			if s.At-drained[s.Box] != 4*time.Second {
				t.Errorf("%s had %v to finish", s.Box, s.At-drained[s.Box])
			}
		}
	}
	if len(drained) != 10 || started != 10 { // 93 percent of 11
		t.Errorf("%d of %d drained, %d started", len(drained), p.Initial, started)
	}
	if d := last - first; d < 20*time.Second || d > 40*time.Second {
		t.Errorf("the deploy took %v", d)
	}
}

func TestGrowthAndTraffic(t *testing.T) {
	s, err := scenario.Parse("grow.toml", []byte(`
length = "20s"
[traffic]
rate = 100
[[event]]
do = "grow"
at = "5s"
over = "10s"
by = 2.8
traffic_follows = 0.5
[[event]]
do = "surge"
at = "17s"
for = "2s"
by = 2
`))
	if err != nil {
		t.Fatal(err)
	}
	p := New(s, 1)
	if n := len(p.Backends) - p.Initial; n != 20 { // 1.8 times 11
		t.Errorf("%d backends added, want 20", n)
	}
	for at, want := range map[time.Duration]float64{time.Second: 100, 10 * time.Second: 145, 16 * time.Second: 190, 18 * time.Second: 380} {
		if got := p.Rate(at); math.Abs(got-want) > 1 {
			t.Errorf("at %v the rate is %v, want %v", at, got, want)
		}
	}
	n := 0
	for needs := p.Operations(); ; n++ {
		d, ok := needs.Next()
		if !ok {
			break
		}
		if d.Work <= 0 || d.At < 0 || d.At >= s.Length.D() {
			t.Fatalf("%+v", d)
		}
	}
	if want := 5*100 + 10*145 + 5*190 + 2*190; math.Abs(float64(n-want)) > 5*math.Sqrt(float64(want)) {
		t.Errorf("%d operations, want about %d", n, want)
	}
}

func TestOverQuotaIsMarked(t *testing.T) {
	s, err := scenario.Parse("over.toml", []byte(`
length = "30s"
[traffic]
rate = 200
quota_of_rate = 0.5
`))
	if err != nil {
		t.Fatal(err)
	}
	over, all := 0, 0
	for needs := New(s, 1).Operations(); ; all++ {
		d, ok := needs.Next()
		if !ok {
			break
		}
		if d.Over {
			over++
		}
	}
	if fraction := float64(over) / float64(all); fraction < 0.4 || fraction > 0.6 {
		t.Errorf("%.2f over quota, want about half", fraction)
	}
}

// Guards against events for single backends that choose one that is already draining.
func TestEventsChooseBackendsInService(t *testing.T) {
	p := New(load(t, "opening"), 9)
	drainedAt := map[string]time.Duration{}
	for _, s := range p.Steps {
		if s.Do == Drain {
			drainedAt[s.Box] = s.At
		}
	}
	n := 0
	for _, s := range p.Steps {
		if s.Do != Slow {
			continue
		}
		n++
		if at, ok := drainedAt[s.Box]; ok && at <= s.At {
			t.Errorf("%s is slow at %v and drains at %v", s.Box, s.At, at)
		}
	}
	if n != 2 {
		t.Errorf("%d slow steps", n)
	}
}

// A site is lost in the middle of a deploy: backends that start there meanwhile must be isolated until the site is back,
// and none that had crashed there may restart earlier.
func TestBackendsStartedInLostSiteAreIsolated(t *testing.T) {
	s, err := scenario.Load("site-lost-in-release")
	if err != nil {
		t.Fatal(err)
	}
	const lost, back = 10 * time.Second, 17 * time.Second
	found := 0
	for seed := uint64(1); seed <= 20; seed++ {
		p := New(s, seed)
		site := map[string]string{}
		for _, b := range p.Backends {
			site[b.ID] = b.Site
		}
		for _, st := range p.Steps {
			if st.Do == Restart && site[st.Box] == "tacoma" && st.At >= lost && st.At < back {
				t.Errorf("seed %d: backend %s, which had crashed, restarts at %v", seed, st.Box, st.At)
			}
			if st.Do != Start || site[st.Box] != "tacoma" || st.At <= lost || st.At >= back {
				continue
			}
			found++
			if !slices.ContainsFunc(p.Steps, func(x Step) bool { return x.Do == Isolate && x.Box == st.Box && x.At == st.At }) {
				t.Errorf("seed %d: backend %s starts at %v and is not isolated", seed, st.Box, st.At)
			}
		}
	}
	if found == 0 {
		t.Error("no seed starts a backend there meanwhile")
	}
}
