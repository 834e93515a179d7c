package policy

import (
	"fmt"
	"testing"
	"time"

	"craneglade/internal/sites"
)

// apart is a node of zone a with two backends there and two in b.
func apart(t *testing.T) *Balancer {
	return node(t, settings(), Entry{ID: 1, Zone: "a"}, Entry{ID: 2, Zone: "a"}, Entry{ID: 3, Zone: "b"}, Entry{ID: 4, Zone: "b"})
}

// sent plays requests, fifty a second, that are answered at once, and counts sends by zone and refusals.
func sent(b *Balancer, from time.Duration, seconds float64, class string) (a, z, refused int) {
	for i := range int(50 * seconds) {
		now := from + time.Duration(i)*20*time.Millisecond
		act := ask(b, now, fmt.Sprint(class, from, i), class)
		switch {
		case act.Kind != ActSend:
			refused++
			continue
		case act.Server <= 2:
			a++
		default:
			z++
		}
		b.Handle(now, &Event{Kind: EvOutcome, ID: act.ID, Server: act.Server, Took: 10 * time.Millisecond, Outcome: OK, Last: true}, nil)
	}
	return a, z, refused
}

// A closed zone gets nothing, not even a further attempt; a limited one no more than its rate; and once the orders are
// over all is as it was.
func TestZonesAreUsedAsOrdered(t *testing.T) {
	b := apart(t)
	order := func(at time.Duration, zones map[string]sites.Zone) {
		b.Handle(at, &Event{Kind: EvSites, Zones: zones}, nil)
	}
	if _, z, _ := sent(b, t0, 5, "top"); z == 0 {
		t.Fatal("zone b is not used before")
	}
	order(t0+10*time.Second, map[string]sites.Zone{"b": {Fraction: 0, Rate: -1}})
	if a, z, refused := sent(b, t0+10*time.Second, 5, "top"); z > 0 || refused > 0 || a != 250 {
		t.Errorf("closed: %d to a, %d to b, %d refused", a, z, refused)
	}
	send := ask(b, t0+16*time.Second, "again", "top")
	if act := outcome(b, t0+16*time.Second+10*time.Millisecond, send, ConnectFailed, Load{}); act.Kind != ActSend || act.Server > 2 {
		t.Errorf("the further attempt: %+v", act)
	}
	order(t0+20*time.Second, map[string]sites.Zone{"a": {Fraction: 0, Rate: -1}, "b": {Fraction: 1, Rate: 10}})
	if a, z, refused := sent(b, t0+20*time.Second, 5, "top"); a > 0 || z < 45 || z > 56 || refused != 250-z {
		t.Errorf("limited to 10 a second: %d to a, %d to b, %d refused", a, z, refused)
	}
	order(t0+30*time.Second, nil)
	if a, z, refused := sent(b, t0+30*time.Second, 5, "top"); a == 0 || z == 0 || refused > 0 {
		t.Errorf("after it: %d to a, %d to b, %d refused", a, z, refused)
	}
}

// What is not admitted is refused at once, by class, and nothing else is.
func TestClassesAreAdmittedAsOrdered(t *testing.T) {
	b := apart(t)
	b.Handle(t0, &Event{Kind: EvSites, Admit: map[string][2]float64{"top": {0, 0}, "once": {0.5, 0}}}, nil)
	if act := ask(b, t0, "one", "top"); act.Kind != ActRefuse || act.Wait <= 0 {
		t.Errorf("%+v, want a refusal that says when to come back", act)
	}
	if _, _, refused := sent(b, t0+time.Second, 10, "once"); refused < 200 || refused > 300 {
		t.Errorf("%d of 500 are refused, and half were to be", refused)
	}
	if _, _, refused := sent(b, t0+20*time.Second, 5, "key"); refused > 0 {
		t.Errorf("%d of another class are refused", refused)
	}
}

// Demand is what is asked, from the first second on.
func TestDemand(t *testing.T) {
	b := apart(t)
	b.Handle(t0, &Event{Kind: EvTimer, Token: "tick"}, nil)
	for i := range 100 {
		now := t0 + time.Duration(i)*20*time.Millisecond
		sent(b, now, 0.02, "top")
		if i%12 == 0 {
			b.Handle(now, &Event{Kind: EvTimer, Token: "tick"}, nil)
		}
	}
	if n := len(b.Demand()); n != 4 {
		t.Fatalf("%d classes, want 4", n)
	}
	for _, d := range b.Demand() {
		if want := map[string]float64{"top": 50}[d.Class]; d.Rate < 0.8*want || d.Rate > 1.3*want || d.Over > 0 {
			t.Errorf("%+v, want %v a second", d, want)
		}
	}
}
