package sites

import (
	"maps"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

func newTestNode(p *Plan, home string) *Node {
	n := NewNode(Config{Plan: p, Home: home, Classes: []Class{{"save", 10}, {"quote", 2}}, OverQuotaUtility: 0.2, ColdShare: 0.5, ColdFor: 10})
	var backends []Backend
	for i := range 24 {
		backends = append(backends, Backend{ID: uint32(i + 1), Site: []string{"tacoma", "everett", "olympia"}[i%3], Ready: true})
	}
	n.SetBackends(0, backends)
	return n
}

// loseSites has all backends of the sites time out from at on, and returns the time at which the sites are lost.
func loseSites(t *testing.T, n *Node, at float64, sites ...string) float64 {
	t.Helper()
	for _, b := range n.watch.order {
		for _, s := range sites {
			if b.Site == s {
				n.RecordSend(at, b.ID)
				n.RecordOutcome(at+0.5, b.ID, TimedOut, 0.5)
			}
		}
	}
	n.Step(at+0.5, nil)
	for _, after := range []float64{1.5, 1.6} {
		for _, id := range n.Step(at+after, nil).Probe {
			n.RecordProbe(at+after, id, false)
		}
	}
	n.Step(at+1.6, nil)
	for _, s := range sites {
		if n.watch.State(s) != Lost {
			t.Fatalf("%s is %v", s, n.watch.State(s))
		}
	}
	return at + 1.6
}

var busyDemand = []Demand{{"save", 12, 1, 0.1}, {"quote", 8, 0, 0.1}} // 20 a second at each of four nodes

// While all sites serve there are no directives.
func TestNoDirectivesWhileAllSitesServe(t *testing.T) {
	n := newTestNode(threeSites(), "tacoma")
	for at := range 100 {
		if o := n.Step(float64(at)/10, busyDemand); len(o.Zones)+len(o.Admit)+len(o.Probe) > 0 {
			t.Fatalf("%+v", o)
		}
	}
}

// Each node of a lost site may send its share of the headroom of other sites. Nodes of other sites close the lost one and
// get no rate limits.
func TestDirectivesAfterSiteLoss(t *testing.T) {
	lostNode := newTestNode(threeSites(), "tacoma")
	now := loseSites(t, lostNode, 10, "tacoma")
	lostNode.SetLiveNodes(map[string]int{"tacoma": 4})
	o := lostNode.Step(now+0.1, busyDemand)
	if z := o.Zones["tacoma"]; z.Fraction != 0 {
		t.Errorf("the lost site: %+v", z)
	}
	// Demand is 80 a second here and 60 x 80/60 at each other site, which can carry 90.
	headroom := 0.0
	for _, s := range []string{"everett", "olympia"} {
		z := o.Zones[s]
		if z.Fraction != 1 || z.Rate <= 0 {
			t.Errorf("%s: %+v", s, z)
		}
		headroom += 4 * z.Rate
	}
	if a := o.Admit["quote"]; a[0] >= 1 || o.Admit["save"][0] != 1 || o.Admit["save"][1] > 0 && a[0] == 0 {
		t.Errorf("admitted: %v", o.Admit)
	}
	if moved := 80 - 4*(1-o.Admit["quote"][0])*8 - 4*(1-o.Admit["save"][1]); headroom < moved-1 {
		t.Errorf("headroom for %.1f of %.1f", headroom, moved)
	}
	otherNode := newTestNode(threeSites(), "everett")
	now = loseSites(t, otherNode, 10, "tacoma")
	if o := otherNode.Step(now+0.1, busyDemand); len(o.Zones) != 1 || o.Zones["tacoma"].Fraction != 0 {
		t.Errorf("at another site: %+v", o.Zones)
	}
}

// Where only links are lost, each side serves its own clients: none of their requests is refused for the demand of the other
// sites until the list, or live nodes of those sites, confirm that their backends are lost.
func TestLinkLossRefusesNothing(t *testing.T) {
	n := newTestNode(threeSites(), "tacoma")
	now := loseSites(t, n, 10, "everett", "olympia")
	full := map[string][2]float64{"save": {1, 1}, "quote": {1, 1}}
	if o := n.Step(now+0.1, busyDemand); o.Zones["everett"].Fraction != 0 || !maps.Equal(o.Admit, full) {
		t.Errorf("%+v", o)
	}
	n.SetLiveNodes(map[string]int{"everett": 3})
	if o := n.Step(now+0.2, busyDemand); o.Admit["quote"][0] >= 1 {
		t.Errorf("with everett's nodes alive: %+v", o.Admit)
	}
	n.SetLiveNodes(nil)
	var backends []Backend
	for _, b := range n.watch.order {
		b.Ready = b.Site == "tacoma"
		backends = append(backends, b.Backend)
	}
	n.SetBackends(now+0.3, backends)
	if o := n.Step(now+0.4, busyDemand); o.Admit["quote"][0] >= 1 {
		t.Errorf("with the others delisted: %+v", o.Admit)
	}
}

// A node with its own share of a site's headroom keeps to that share, and to the maximum of its overflow target.
func TestHeadroomShareLimitsOverflow(t *testing.T) {
	p := threeSites()
	p.Sites[0].Overflow = []OverflowTarget{{"everett", 0.5, 4}, {"olympia", 0.5, 0}}
	n := newTestNode(p, "tacoma")
	if n.IsOverflow("everett") {
		t.Error("overflow while all sites serve")
	}
	now := loseSites(t, n, 10, "tacoma")
	before := n.Step(now+0.1, busyDemand)
	n.SetHeadroomShares(map[string]float64{"everett": 0.5, "olympia": 0.5})
	o := n.Step(now+0.2, busyDemand)
	if o.Zones["everett"].Rate != 4 || math.Abs(o.Zones["olympia"].Rate-2*before.Zones["olympia"].Rate) > 0.5 {
		t.Errorf("%+v, and equal shares are %+v", o.Zones, before.Zones)
	}
	if !n.IsOverflow("everett") || n.IsOverflow("tacoma") {
		t.Error("requests to another site are no overflow, or those to the own site are")
	}
}

// A node that reaches no site is isolated: it neither closes sites nor refuses requests.
func TestIsolatedNodeGivesNoDirectives(t *testing.T) {
	n := newTestNode(threeSites(), "tacoma")
	now := loseSites(t, n, 10, "tacoma", "everett", "olympia")
	if o := n.Step(now+0.1, busyDemand); len(o.Zones)+len(o.Admit) > 0 || !n.Isolated() {
		t.Errorf("%+v, isolated %v", o, n.Isolated())
	}
	noted := 0
	for _, x := range n.Notes() {
		if strings.Contains(x.Text, "this node is isolated") {
			noted++
		}
	}
	if noted != 1 {
		t.Errorf("it was noted %d times", noted)
	}
}

// The capacity of a site follows its listed backends and their warm-up.
func TestCapacityFollowsList(t *testing.T) {
	n := newTestNode(threeSites(), "tacoma")
	backends := []Backend{}
	for _, b := range n.watch.order {
		b.Launched = 19.9
		if b.Site == "olympia" && b.ID > 12 {
			continue // half of them are not listed
		}
		backends = append(backends, b.Backend)
	}
	n.SetBackends(20, backends)
	if got := n.availableFraction(n.cfg.Plan.Sites[1]); got > 0.51 {
		t.Errorf("cold: %.2f of its capacity", got)
	}
	if n.now = 40; n.availableFraction(n.cfg.Plan.Sites[1]) != 1 || math.Abs(n.availableFraction(n.cfg.Plan.Sites[2])-0.5) > 0.01 {
		t.Errorf("warm: %.2f and %.2f", n.availableFraction(n.cfg.Plan.Sites[1]), n.availableFraction(n.cfg.Plan.Sites[2]))
	}
}

// A site that only the plan or only the list has is noted once and gets no load.
func TestUnmatchedSitesAreIgnored(t *testing.T) {
	p := threeSites()
	p.Sites[2].Name = "seattle"
	n := newTestNode(p, "tacoma")
	now := loseSites(t, n, 10, "tacoma")
	for range 3 {
		now += 0.1
		if o := n.Step(now, busyDemand); o.Zones["seattle"].Rate > 0 {
			t.Errorf("load goes to a site without backends: %+v", o.Zones)
		}
	}
	noted := map[string]int{}
	for _, x := range n.Notes() {
		if len(x.Args) == 2 {
			noted[x.Args[1].(string)]++
		}
	}
	if noted["seattle"] != 1 || noted["olympia"] != 1 {
		t.Errorf("noted: %v", noted)
	}
}

// A limiter keeps to fractions and rates, decides alike for equal draws, and allows everything without directives.
func TestLimiter(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var g Limiter
	if !g.Allows(1, "a", g.Draw(rng)) || !g.Admits("x", true, rng) {
		t.Error("limited without directives")
	}
	g.Set(10, map[string]Zone{"a": {Fraction: 0.25, Rate: -1}, "b": {Fraction: 1, Rate: 8}}, map[string][2]float64{"x": {1, 0.5}, "y": {0, 0}})
	open, admitted := 0, 0
	for range 4000 {
		draw := g.Draw(rng)
		if g.Allows(10, "a", draw) {
			open++
		}
		if g.Admits("x", true, rng) {
			admitted++
		}
		if !g.Admits("x", false, rng) || g.Admits("y", false, rng) || !g.Admits("z", false, rng) || !g.Allows(10, "c", draw) {
			t.Fatal("a class or a zone does not follow its directive")
		}
	}
	if open < 900 || open > 1100 || admitted < 1850 || admitted > 2150 {
		t.Errorf("of 4000, %d allowed at a fraction of 0.25, %d admitted at 0.5", open, admitted)
	}
	sent := 0
	for i := range 1000 { // ten seconds
		now := 10 + float64(i)/100
		if i%50 == 0 {
			g.Set(now, map[string]Zone{"b": {Fraction: 1, Rate: 8}}, nil) // setting the same directives again adds no tokens
		}
		if g.Allows(now, "b", 0.5) {
			g.CountSend("b")
			sent++
		}
	}
	if sent < 78 || sent > 84 {
		t.Errorf("%d sends in 10 s at 8 a second", sent)
	}
}
