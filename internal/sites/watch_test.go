package sites

import (
	"math/rand/v2"
	"testing"
)

// simulation drives a watch: requests go to random backends at a fixed rate. Each is answered after latency or, at a dead
// backend, times out after 0.5 s.
type simulation struct {
	t               *testing.T
	w               *Watch
	rng             *rand.Rand
	now             float64
	backends        []Backend
	dead            map[uint32]bool
	rate            float64
	followFraction  bool    // sends follow Watch.Fraction
	latency         float64 // of an answer
	timeoutFraction float64 // fraction of requests that time out instead
	acceptsConns    bool    // dead backends accept connections
	pending         []testAttempt
	changes         []Change
	probes          int
	wastedSends     int // sends to dead backends
}

type testAttempt struct {
	id      uint32
	sent    float64
	end     float64
	outcome Outcome
}

func newSimulation(t *testing.T, rate float64) *simulation {
	p := &simulation{t: t, w: NewWatch(), rng: rand.New(rand.NewPCG(1, 2)), now: 1000, dead: map[uint32]bool{}, rate: rate, followFraction: true, latency: 0.1}
	for i := range 24 {
		p.backends = append(p.backends, Backend{ID: uint32(i + 1), Site: []string{"tacoma", "everett", "olympia"}[i%3], Ready: true})
	}
	p.w.SetBackends(p.now, p.backends)
	return p
}

func (p *simulation) forSite(site string, f func(*Backend)) {
	for i := range p.backends {
		if p.backends[i].Site == site {
			f(&p.backends[i])
		}
	}
}

func (p *simulation) kill(site string) { p.forSite(site, func(b *Backend) { p.dead[b.ID] = true }) }
func (p *simulation) revive(site string) {
	p.forSite(site, func(b *Backend) { delete(p.dead, b.ID) })
}

func (p *simulation) run(seconds float64) {
	const dt = 0.01
	for end := p.now + seconds; p.now < end; p.now += dt {
		if p.rng.Float64() < p.rate*dt {
			if b := &p.backends[p.rng.IntN(len(p.backends))]; b.Ready && (!p.followFraction || p.rng.Float64() < p.w.Fraction(b.Site)) {
				a := testAttempt{b.ID, p.now, p.now + p.latency, Answered}
				if p.rng.Float64() < p.timeoutFraction {
					a.end, a.outcome = p.now+0.4, TimedOut
				}
				if p.dead[b.ID] {
					a.end, a.outcome = p.now+0.5, TimedOut
					p.wastedSends++
				}
				p.w.RecordSend(p.now, b.ID)
				p.pending = append(p.pending, a)
			}
		}
		var pending []testAttempt
		for _, a := range p.pending {
			if a.end > p.now {
				pending = append(pending, a)
				continue
			}
			if a.outcome == Answered && p.dead[a.id] {
				a.outcome = TimedOut // the backend died in the meantime
			}
			p.w.RecordOutcome(p.now, a.id, a.outcome, a.end-a.sent)
		}
		p.pending = pending
		if int(p.now/dt)%10 == 0 {
			changes, probe := p.w.Update(p.now)
			p.changes = append(p.changes, changes...)
			for _, id := range probe {
				p.probes++
				p.changes = append(p.changes, p.w.RecordProbe(p.now, id, !p.dead[id] || p.acceptsConns && p.w.State("tacoma") != Lost)...)
			}
		}
	}
}

func (p *simulation) wantState(site string, s State) {
	p.t.Helper()
	if got := p.w.State(site); got != s {
		p.t.Fatalf("%s is %v, want %v: %v", site, got, s, p.changes)
	}
}

// A site that stops answering is lost after few requests, and other sites are not.
func TestSilentSiteIsLost(t *testing.T) {
	p := newSimulation(t, 30)
	p.run(5)
	p.kill("tacoma")
	p.wastedSends = 0
	p.run(3)
	p.wantState("tacoma", Lost)
	p.wantState("everett", Serving)
	if p.wastedSends > 20 {
		t.Errorf("%d requests were sent to it before", p.wastedSends)
	}
	before := p.wastedSends
	p.run(20)
	if p.wastedSends != before || p.probes < 30 {
		t.Errorf("%d more requests were sent there, %d connections tried", p.wastedSends-before, p.probes)
	}
}

// A returning site gets its load back in steps, which never fall without a failure.
func TestReturnIsStepwise(t *testing.T) {
	p := newSimulation(t, 60)
	p.run(5)
	p.kill("tacoma")
	p.run(5)
	p.revive("tacoma")
	last, seen := 0.0, map[float64]bool{}
	for range 40 {
		p.run(0.1)
		fraction := p.w.Fraction("tacoma")
		if fraction < last {
			t.Fatalf("fraction %.2f after %.2f", fraction, last)
		}
		last, seen[fraction] = fraction, true
	}
	p.wantState("tacoma", Serving)
	if len(seen) < len(recoverySteps) {
		t.Errorf("its fractions were %v", seen)
	}
}

// Failing backends, missing demand, an overload, or a late list without a third of a site are not taken for its loss.
func TestNoFalseAlarm(t *testing.T) {
	for name, fault := range map[string]func(p *simulation){
		"one failing backend": func(p *simulation) { p.dead[1] = true; p.run(60) },
		"half of it failing":  func(p *simulation) { p.dead[1], p.dead[4], p.dead[7], p.dead[10] = true, true, true, true; p.run(60) },
		"no demand":           func(p *simulation) { p.rate = 0; p.run(60) },
		"overload": func(p *simulation) {
			for _, x := range [][2]float64{{0.2, 0}, {0.3, 0.3}, {0.38, 0.6}, {0.39, 0.85}} {
				p.latency, p.timeoutFraction = x[0], x[1]
				p.run(3)
			}
		},
		"list late with a third of it": func(p *simulation) {
			for id := range 3 {
				p.dead[uint32(1+3*id)] = true
			}
			p.run(5)
			for i := range p.backends {
				p.backends[i].Ready = !p.dead[p.backends[i].ID]
			}
			p.w.SetBackends(p.now, p.backends)
			p.run(20)
		},
	} {
		p := newSimulation(t, 30)
		p.run(5)
		fault(p)
		for _, c := range p.changes {
			if c.To == Lost {
				t.Errorf("%s: %v", name, c)
			}
		}
	}
}

// A flapping site has a longer hold time after each loss, until it has served for lossCountResetSeconds.
func TestFlappingSiteIsHeldLonger(t *testing.T) {
	p := newSimulation(t, 60)
	p.run(5)
	var holds []float64
	for range 4 {
		p.kill("tacoma")
		p.run(2.5)
		p.wantState("tacoma", Lost)
		p.revive("tacoma")
		from := p.now
		for p.w.State("tacoma") == Lost && p.now < from+60 {
			p.run(0.1)
		}
		holds = append(holds, p.now-from)
		p.run(1)
	}
	for i := 2; i < len(holds); i++ {
		if holds[i] < holds[i-1]+1 {
			t.Errorf("lost for %.1f s after it was back", holds)
		}
	}
	p.run(5 + lossCountResetSeconds)
	p.kill("tacoma")
	p.run(3)
	p.revive("tacoma")
	p.run(1)
	if s := p.w.State("tacoma"); s == Lost {
		t.Error("after a minute without a loss its hold time is as long as before")
	}
}

// A return with failures goes back a step and pauses.
func TestFailuresRevertReturnStep(t *testing.T) {
	p := newSimulation(t, 200)
	p.run(5)
	p.kill("tacoma")
	p.run(3)
	p.revive("tacoma")
	for range 100 {
		if p.run(0.05); p.w.sites["tacoma"].step == 1 && p.w.State("tacoma") == Returning {
			break
		}
	}
	p.dead[1], p.dead[4], p.dead[7] = true, true, true // three of eight
	p.run(1.5)
	if s := p.w.sites["tacoma"]; s.step != 0 || s.haltReason == "" {
		t.Errorf("step %d, halt reason %q: %v", s.step, s.haltReason, p.changes)
	}
}

// The list alone, without any requests, can remove a site and restore it.
func TestListRemovesAndRestoresSite(t *testing.T) {
	p := newSimulation(t, 0)
	p.run(1)
	p.forSite("tacoma", func(b *Backend) { b.Ready = false })
	p.w.SetBackends(p.now, p.backends)
	p.run(0.5)
	p.wantState("tacoma", Lost)
	p.forSite("tacoma", func(b *Backend) { b.Ready, b.Launched = true, p.now })
	p.w.SetBackends(p.now, p.backends)
	p.run(1)
	p.wantState("tacoma", Returning)
}

// A node with evidence from only two backends of a site probes the others with connections.
func TestLossIsFoundWithFewRequests(t *testing.T) {
	w := NewWatch()
	var backends []Backend
	for id := range uint32(8) {
		backends = append(backends, Backend{ID: id + 1, Site: "a", Ready: true})
	}
	w.SetBackends(0, backends)
	for _, id := range []uint32{1, 2} {
		w.RecordSend(10, id)
		w.RecordOutcome(10.5, id, TimedOut, 0.5)
	}
	now := 10.5
	for ; now < 13 && w.State("a") != Lost; now += 0.1 {
		_, probe := w.Update(now)
		for _, id := range probe {
			w.RecordProbe(now, id, false)
		}
	}
	if w.State("a") != Lost {
		t.Errorf("it is %v", w.State("a"))
	}
	v := NewWatch()
	v.SetBackends(0, backends)
	for _, id := range []uint32{1, 2} {
		v.RecordSend(10, id)
		v.RecordOutcome(10.5, id, TimedOut, 0.5)
	}
	for now := 10.5; now < 14; now += 0.1 {
		_, probe := v.Update(now)
		for _, id := range probe {
			v.RecordProbe(now, id, id > 2)
		}
	}
	if v.State("a") == Lost {
		t.Error("two failing backends of eight are taken for a lost site")
	}
}

// A site whose backends accept connections but don't answer is lost too, after a longer time.
func TestHangingSiteIsLost(t *testing.T) {
	p := newSimulation(t, 30)
	p.run(5)
	p.kill("tacoma")
	p.acceptsConns = true
	p.run(3)
	if s := p.w.State("tacoma"); s == Lost {
		t.Error("it is lost too early, while its backends accept connections")
	}
	p.run(3)
	p.wantState("tacoma", Lost)
}

// A site of one backend is lost with it; a site that was never ready is not.
func TestSingleBackendSite(t *testing.T) {
	w := NewWatch()
	w.SetBackends(0, []Backend{{ID: 1, Site: "a", Ready: true}, {ID: 2, Site: "b"}})
	w.RecordSend(10, 1)
	w.RecordOutcome(10.5, 1, TimedOut, 0.5)
	changes, probe := w.Update(10.9)
	if len(probe) == 0 || len(changes) > 0 && changes[0].To == Lost {
		t.Fatalf("%v, probes %v: no connection was tried", changes, probe)
	}
	w.RecordProbe(11, 1, false)
	changes, _ = w.Update(11)
	if len(changes) != 1 || changes[0].Site != "a" || changes[0].To != Lost || w.State("b") != Serving {
		t.Errorf("%v", changes)
	}
}
