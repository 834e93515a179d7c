package policy

import (
	"fmt"
	"math"
	"testing"
	"time"

	"craneglade/internal/decay"
)

// zones plays a node of zone a, with two backends in a and four in b, for 20 s at 40 requests a second, on classes with
// an aim of 1 s. A backend answers after its time in work, which grows with what it holds beyond 4. It returns the part
// of the class's requests that were sent out of the zone in the second half.
func zones(t *testing.T, price float64, classes []string, here, there time.Duration) map[string]float64 {
	t.Helper()
	set := settings(func(s *Settings) { s.CrossPrice = price })
	entries := []Entry{{ID: 1, Zone: "a"}, {ID: 2, Zone: "a"}, {ID: 3, Zone: "b"}, {ID: 4, Zone: "b"}, {ID: 5, Zone: "b"}, {ID: 6, Zone: "b"}}
	b := node(t, set, entries...)
	type answer struct {
		at   time.Duration
		send Action
		took time.Duration
	}
	var out []answer
	held := map[uint32]int{}
	sent, crossed := map[string]float64{}, map[string]float64{}
	const step = 5 * time.Millisecond
	for i := 0; i < 4000; i++ {
		now := t0 + time.Duration(i)*step
		if i%50 == 0 {
			b.Handle(now, &Event{Kind: EvTimer, Token: "tick"}, nil)
		}
		for len(out) > 0 && out[0].at <= now {
			a := out[0]
			out = out[1:]
			held[a.send.Server]--
			b.Handle(now, &Event{Kind: EvOutcome, ID: a.send.ID, Server: a.send.Server, Took: a.took, Outcome: OK, Last: true,
				Load: Load{Known: true, Queue: float64(max(0, held[a.send.Server]-4)), Held: -1}}, nil)
		}
		if i%5 != 0 {
			continue
		}
		class := classes[i/5%len(classes)]
		act := ask(b, now, fmt.Sprint("r", i), class)
		if act.Kind != ActSend {
			continue
		}
		took := here
		if act.Server > 2 {
			took = there
		}
		held[act.Server]++
		took = time.Duration(float64(took) * (1 + max(0, float64(held[act.Server]-4))/4))
		at := now + took
		j := len(out)
		for j > 0 && out[j-1].at > at {
			j--
		}
		out = append(out[:j], append([]answer{{at, act, took}}, out[j:]...)...)
		if i >= 2000 {
			sent[class]++
			if act.Server > 2 {
				crossed[class]++
			}
		}
	}
	for class, n := range sent {
		crossed[class] /= n
	}
	return crossed
}

func TestRequestsStayWhereCrossingHasAPrice(t *testing.T) {
	const ms = time.Millisecond
	low, both := []string{"low"}, []string{"top", "low"}
	if got := zones(t, 0, low, 100*ms, 100*ms)["low"]; got < 0.5 {
		t.Errorf("with no price %.2f of the requests cross, want most: there are twice as many backends", got)
	}
	if got := zones(t, 0.08, low, 100*ms, 100*ms)["low"]; got > 0.03 {
		t.Errorf("with a price %.2f of the requests cross for nothing", got)
	}
	if got := zones(t, 0.08, low, 1500*ms, 100*ms)["low"]; got < 0.5 {
		t.Errorf("only %.2f of the requests leave a zone whose answers miss their aim", got)
	}
	// What is worth ten times as much crosses for a smaller gain.
	got := zones(t, 0.05, both, 350*ms, 100*ms)
	if got["top"] < got["low"]+0.2 {
		t.Errorf("of the dear class %.2f cross and of the cheap one %.2f: the dear one should cross first", got["top"], got["low"])
	}
}

func TestStayIsAPart(t *testing.T) {
	b := node(t, settings(func(s *Settings) { s.CrossPrice = 0.08 }), Entry{ID: 1, Zone: "a"})
	b.worth = 3
	c := b.classes[0]
	for _, near := range []decay.Mean{{}, {Sum: 0, N: 100}, {Sum: 1e-9, N: 10}, {Sum: 50, N: 100}, {Sum: 1e9, N: 100}, {Sum: 1e300, N: 10}} {
		for _, far := range []decay.Mean{{}, {Sum: 0, N: 50}, {Sum: 1e-9, N: 50}, {Sum: 1e300, N: 50}} {
			c.near, b.far, c.best = near, far, 0
			if got := b.stays(c, 0.25); !(got >= 0 && got <= 1) || math.IsNaN(got) {
				t.Errorf("near %v, far %v: %v stays", near, far, got)
			}
		}
	}
	c.near, b.far, c.best = decay.Mean{Sum: 50, N: 100}, decay.Mean{}, 0.1
	b.set.CrossPrice = 0
	if got := b.stays(c, 0.25); got != 1 {
		t.Errorf("with no price %v stays", got)
	}
}

// A backend of another zone that gets little because of the price is not one that is left out for what is believed of it.
func TestOtherZonesAreTriedAsRarelyAsRequestsCross(t *testing.T) {
	b := node(t, settings(func(s *Settings) { s.CrossPrice = 0.08 }), Entry{ID: 1, Zone: "a"}, Entry{ID: 2, Zone: "b"})
	b.sends = decay.Mean{Sum: 2, N: 100}
	wait := b.tune.Heal * b.sharers
	if got := b.heal(b.servers[1]); got != wait {
		t.Errorf("in the node's zone a backend is tried after %v s, want %v", got, wait)
	}
	if got := b.heal(b.servers[2]); !near(got, 50*wait) {
		t.Errorf("in another zone a backend is tried after %v s, want %v", got, 50*wait)
	}
}
