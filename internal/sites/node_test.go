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
	var boxes []Backend
	for i := range 24 {
		boxes = append(boxes, Backend{ID: uint32(i + 1), Site: []string{"tacoma", "everett", "olympia"}[i%3], Ready: true})
	}
	n.ApplyList(0, boxes)
	return n
}

// loseSites has boxes of a site say nothing, from at on, and returns when that is known.
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

// Where all sites serve there is nothing to follow.
func TestNoDirectivesWhileAllSitesServe(t *testing.T) {
	n := newTestNode(threeSites(), "tacoma")
	for at := range 100 {
		if o := n.Step(float64(at)/10, busyDemand); len(o.Zones)+len(o.Admit)+len(o.Probe) > 0 {
			t.Fatalf("%+v", o)
		}
	}
}

// Of a lost site's load each of its nodes may send its part of the room that others have; nodes elsewhere close the site
// and are told no limit.
func TestDirectivesAfterSiteLoss(t *testing.T) {
	lostNode := newTestNode(threeSites(), "tacoma")
	now := loseSites(t, lostNode, 10, "tacoma")
	lostNode.SetLiveNodes(map[string]int{"tacoma": 4})
	o := lostNode.Step(now+0.1, busyDemand)
	if z := o.Zones["tacoma"]; z.Fraction != 0 {
		t.Errorf("the lost site: %+v", z)
	}
	// 80 a second here, 60 x 80/60 there: 90 each can carry, of which their own clients ask for all but what is refused.
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
		t.Errorf("room for %.1f of %.1f", headroom, moved)
	}
	otherNode := newTestNode(threeSites(), "everett")
	now = loseSites(t, otherNode, 10, "tacoma")
	if o := otherNode.Step(now+0.1, busyDemand); len(o.Zones) != 1 || o.Zones["tacoma"].Fraction != 0 {
		t.Errorf("elsewhere: %+v", o.Zones)
	}
}

// Where only links are lost each side has its own clients: nothing of theirs is refused for the others' sake, until the list or
// the others' nodes tell that their boxes are gone.
func TestLinkLossRefusesNothing(t *testing.T) {
	n := newTestNode(threeSites(), "tacoma")
	now := loseSites(t, n, 10, "everett", "olympia")
	full := map[string][2]float64{"save": {1, 1}, "quote": {1, 1}}
	if o := n.Step(now+0.1, busyDemand); o.Zones["everett"].Fraction != 0 || !maps.Equal(o.Admit, full) {
		t.Errorf("%+v", o)
	}
	n.SetLiveNodes(map[string]int{"everett": 3})
	if o := n.Step(now+0.2, busyDemand); o.Admit["quote"][0] >= 1 {
		t.Errorf("with everett's nodes there: %+v", o.Admit)
	}
	n.SetLiveNodes(nil)
	var boxes []Backend
	for _, b := range n.watch.order {
		b.Ready = b.Site == "tacoma"
		boxes = append(boxes, b.Backend)
	}
	n.ApplyList(now+0.3, boxes)
	if o := n.Step(now+0.4, busyDemand); o.Admit["quote"][0] >= 1 {
		t.Errorf("with the others off the list: %+v", o.Admit)
	}
}

// A node that is told its own part of what may go to a site keeps to that, and to what its way takes.
func TestHeadroomShareLimitsOverflow(t *testing.T) {
	p := threeSites()
	p.Sites[0].Overflow = []OverflowTarget{{"everett", 0.5, 4}, {"olympia", 0.5, 0}}
	n := newTestNode(p, "tacoma")
	if n.IsOverflow("everett") {
		t.Error("load crosses in peace")
	}
	now := loseSites(t, n, 10, "tacoma")
	before := n.Step(now+0.1, busyDemand)
	n.SetHeadroomShares(map[string]float64{"everett": 0.5, "olympia": 0.5})
	o := n.Step(now+0.2, busyDemand)
	if o.Zones["everett"].Rate != 4 || math.Abs(o.Zones["olympia"].Rate-2*before.Zones["olympia"].Rate) > 0.5 {
		t.Errorf("%+v, and an equal part is %+v", o.Zones, before.Zones)
	}
	if !n.IsOverflow("everett") || n.IsOverflow("tacoma") {
		t.Error("what goes to another site is not the lost one's load, or what goes home is")
	}
}

// A node that reaches nobody anywhere is cut off itself, and neither closes sites nor refuses anything for it.
func TestIsolatedNodeGivesNoDirectives(t *testing.T) {
	n := newTestNode(threeSites(), "tacoma")
	now := loseSites(t, n, 10, "tacoma", "everett", "olympia")
	if o := n.Step(now+0.1, busyDemand); len(o.Zones)+len(o.Admit) > 0 || !n.Isolated() {
		t.Errorf("%+v, alone %v", o, n.Isolated())
	}
	noted := 0
	for _, x := range n.Notes() {
		if strings.Contains(x.Text, "cut off itself") {
			noted++
		}
	}
	if noted != 1 {
		t.Errorf("it was said %d times", noted)
	}
}

// Half-cold boxes carry half: capacity is what is on the list and warm.
func TestCapacityFollowsList(t *testing.T) {
	n := newTestNode(threeSites(), "tacoma")
	boxes := []Backend{}
	for _, b := range n.watch.order {
		b.Launched = 19.9
		if b.Site == "olympia" && b.ID > 12 {
			continue // half of them are not there
		}
		boxes = append(boxes, b.Backend)
	}
	n.ApplyList(20, boxes)
	if got := n.availableFraction(n.cfg.Plan.Sites[1]); got > 0.51 {
		t.Errorf("cold: %.2f of its capacity", got)
	}
	if n.now = 40; n.availableFraction(n.cfg.Plan.Sites[1]) != 1 || math.Abs(n.availableFraction(n.cfg.Plan.Sites[2])-0.5) > 0.01 {
		t.Errorf("warm: %.2f and %.2f", n.availableFraction(n.cfg.Plan.Sites[1]), n.availableFraction(n.cfg.Plan.Sites[2]))
	}
}

// What only the plan knows, or only the list, is said once and counts for nothing.
func TestUnmatchedSitesAreIgnored(t *testing.T) {
	p := threeSites()
	p.Sites[2].Name = "seattle"
	n := newTestNode(p, "tacoma")
	now := loseSites(t, n, 10, "tacoma")
	for range 3 {
		now += 0.1
		if o := n.Step(now, busyDemand); o.Zones["seattle"].Rate > 0 {
			t.Errorf("load goes where nobody is: %+v", o.Zones)
		}
	}
	noted := map[string]int{}
	for _, x := range n.Notes() {
		if len(x.Args) == 2 {
			noted[x.Args[1].(string)]++
		}
	}
	if noted["seattle"] != 1 || noted["olympia"] != 1 {
		t.Errorf("said: %v", noted)
	}
}

// Gates hold parts and rates, draw the same for one request each time, and let all through without orders.
func TestLimiter(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var g Limiter
	if !g.Allows(1, "a", g.Draw(rng)) || !g.Admits("x", true, rng) {
		t.Error("closed without orders")
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
			t.Fatal("a class or a zone is not as it was told")
		}
	}
	if open < 900 || open > 1100 || admitted < 1850 || admitted > 2150 {
		t.Errorf("%d of 4000 to a quarter, %d admitted to a half", open, admitted)
	}
	sent := 0
	for i := range 1000 { // ten seconds
		now := 10 + float64(i)/100
		if i%50 == 0 {
			g.Set(now, map[string]Zone{"b": {Fraction: 1, Rate: 8}}, nil) // the same once more gives nothing anew
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
