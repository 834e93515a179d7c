package policy

import (
	"fmt"
	"testing"
	"time"

	"craneglade/internal/sites"
)

// newTwoZoneBalancer returns a balancer of zone a with two backends there and two in zone b.
func newTwoZoneBalancer(t *testing.T) *Balancer {
	return newTestBalancer(t, settings(), Entry{ID: 1, Zone: "a"}, Entry{ID: 2, Zone: "a"}, Entry{ID: 3, Zone: "b"}, Entry{ID: 4, Zone: "b"})
}

// simulateRequests handles fifty requests per second that are answered at once, and counts sends by zone and refusals.
func simulateRequests(b *Balancer, from time.Duration, seconds float64, class string) (inA, inB, refused int) {
	for i := range int(50 * seconds) {
		now := from + time.Duration(i)*20*time.Millisecond
		act := sendRequest(b, now, fmt.Sprint(class, from, i), class)
		switch {
		case act.Kind != ActSend:
			refused++
			continue
		case act.Backend <= 2:
			inA++
		default:
			inB++
		}
		b.Handle(now, &Event{Kind: EvOutcome, ID: act.ID, Backend: act.Backend, Took: 10 * time.Millisecond, Outcome: OK, Finished: true}, nil)
	}
	return inA, inB, refused
}

// A closed zone gets no request, not even a retry, and a limited one no more than its rate. Without limits both zones
// are used as before.
func TestZoneLimits(t *testing.T) {
	b := newTwoZoneBalancer(t)
	limitZones := func(at time.Duration, zones map[string]sites.Zone) {
		b.Handle(at, &Event{Kind: EvSites, Zones: zones}, nil)
	}
	if _, inB, _ := simulateRequests(b, t0, 5, "top"); inB == 0 {
		t.Fatal("zone b is not used before")
	}
	limitZones(t0+10*time.Second, map[string]sites.Zone{"b": {Fraction: 0, Rate: -1}})
	if inA, inB, refused := simulateRequests(b, t0+10*time.Second, 5, "top"); inB > 0 || refused > 0 || inA != 250 {
		t.Errorf("closed: %d to a, %d to b, %d refused", inA, inB, refused)
	}
	send := sendRequest(b, t0+16*time.Second, "again", "top")
	if act := endAttempt(b, t0+16*time.Second+10*time.Millisecond, send, ConnectFailed, Load{}); act.Kind != ActSend || act.Backend > 2 {
		t.Errorf("the retry: %+v", act)
	}
	limitZones(t0+20*time.Second, map[string]sites.Zone{"a": {Fraction: 0, Rate: -1}, "b": {Fraction: 1, Rate: 10}})
	if inA, inB, refused := simulateRequests(b, t0+20*time.Second, 5, "top"); inA > 0 || inB < 45 || inB > 56 || refused != 250-inB {
		t.Errorf("limited to 10 a second: %d to a, %d to b, %d refused", inA, inB, refused)
	}
	limitZones(t0+30*time.Second, nil)
	if inA, inB, refused := simulateRequests(b, t0+30*time.Second, 5, "top"); inA == 0 || inB == 0 || refused > 0 {
		t.Errorf("without limits: %d to a, %d to b, %d refused", inA, inB, refused)
	}
}

// Requests that are not admitted are refused at once, by class, and no others are.
func TestClassAdmission(t *testing.T) {
	b := newTwoZoneBalancer(t)
	b.Handle(t0, &Event{Kind: EvSites, Admit: map[string][2]float64{"top": {0, 0}, "once": {0.5, 0}}}, nil)
	if act := sendRequest(b, t0, "one", "top"); act.Kind != ActRefuse || act.Wait <= 0 {
		t.Errorf("%+v, want a refusal with a retry-after", act)
	}
	if _, _, refused := simulateRequests(b, t0+time.Second, 10, "once"); refused < 200 || refused > 300 {
		t.Errorf("%d of 500 are refused, want about half", refused)
	}
	if _, _, refused := simulateRequests(b, t0+20*time.Second, 5, "key"); refused > 0 {
		t.Errorf("%d of another class are refused", refused)
	}
}

// Demand is the request rate, right from the first second.
func TestDemand(t *testing.T) {
	b := newTwoZoneBalancer(t)
	b.Handle(t0, &Event{Kind: EvTimer, Token: "tick"}, nil)
	for i := range 100 {
		now := t0 + time.Duration(i)*20*time.Millisecond
		simulateRequests(b, now, 0.02, "top")
		if i%12 == 0 {
			b.Handle(now, &Event{Kind: EvTimer, Token: "tick"}, nil)
		}
	}
	if n := len(b.Demand()); n != 4 {
		t.Fatalf("%d classes, want 4", n)
	}
	for _, d := range b.Demand() {
		if want := map[string]float64{"top": 50}[d.Class]; d.Rate < 0.8*want || d.Rate > 1.3*want || d.OverQuota > 0 {
			t.Errorf("%+v, want %v a second", d, want)
		}
	}
}
