package policy

import (
	"fmt"
	"math"
	"testing"
	"time"

	"craneglade/internal/decay"
)

// simulateZones simulates a node of zone a, with two backends in a and four in b, for 20 s at 40 requests per second of
// classes with a latency target of 1 s. The latency of a backend grows with its requests in flight beyond 4. It
// returns, by class, the fraction of requests that were sent to the other zone in the second half.
func simulateZones(t *testing.T, price float64, classes []string, localLatency, remoteLatency time.Duration) map[string]float64 {
	t.Helper()
	set := settings(func(s *Settings) { s.CrossPrice = price })
	entries := []Entry{{ID: 1, Zone: "a"}, {ID: 2, Zone: "a"}, {ID: 3, Zone: "b"}, {ID: 4, Zone: "b"}, {ID: 5, Zone: "b"}, {ID: 6, Zone: "b"}}
	b := newTestBalancer(t, set, entries...)
	type answer struct {
		at   time.Duration
		send Action
		took time.Duration
	}
	var pending []answer
	inFlight := map[uint32]int{}
	sent, crossed := map[string]float64{}, map[string]float64{}
	const step = 5 * time.Millisecond
	for i := 0; i < 4000; i++ {
		now := t0 + time.Duration(i)*step
		if i%50 == 0 {
			b.Handle(now, &Event{Kind: EvTimer, Token: "tick"}, nil)
		}
		for len(pending) > 0 && pending[0].at <= now {
			a := pending[0]
			pending = pending[1:]
			inFlight[a.send.Backend]--
			b.Handle(now, &Event{Kind: EvOutcome, ID: a.send.ID, Backend: a.send.Backend, Took: a.took, Outcome: OK, Finished: true,
				Load: Load{Known: true, Queue: float64(max(0, inFlight[a.send.Backend]-4)), Occupancy: -1}}, nil)
		}
		if i%5 != 0 {
			continue
		}
		class := classes[i/5%len(classes)]
		act := sendRequest(b, now, fmt.Sprint("r", i), class)
		if act.Kind != ActSend {
			continue
		}
		took := localLatency
		if act.Backend > 2 {
			took = remoteLatency
		}
		inFlight[act.Backend]++
		took = time.Duration(float64(took) * (1 + max(0, float64(inFlight[act.Backend]-4))/4))
		at := now + took
		j := len(pending)
		for j > 0 && pending[j-1].at > at {
			j--
		}
		pending = append(pending[:j], append([]answer{{at, act, took}}, pending[j:]...)...)
		if i >= 2000 {
			sent[class]++
			if act.Backend > 2 {
				crossed[class]++
			}
		}
	}
	for class, n := range sent {
		crossed[class] /= n
	}
	return crossed
}

func TestCrossZonePriceKeepsRequestsLocal(t *testing.T) {
	const ms = time.Millisecond
	low, both := []string{"low"}, []string{"top", "low"}
	if got := simulateZones(t, 0, low, 100*ms, 100*ms)["low"]; got < 0.5 {
		t.Errorf("without a price %.2f of the requests leave the zone, want most: the other has twice as many backends", got)
	}
	if got := simulateZones(t, 0.08, low, 100*ms, 100*ms)["low"]; got > 0.03 {
		t.Errorf("with a price %.2f of the requests leave the zone without a gain", got)
	}
	if got := simulateZones(t, 0.08, low, 1500*ms, 100*ms)["low"]; got < 0.5 {
		t.Errorf("only %.2f of the requests leave a zone whose answers miss their latency target", got)
	}
	// Requests worth ten times as much leave the zone for a smaller gain.
	got := simulateZones(t, 0.05, both, 350*ms, 100*ms)
	if got["top"] < got["low"]+0.2 {
		t.Errorf("%.2f of the class with the higher utility leave the zone and %.2f of the other, want 0.2 more",
			got["top"], got["low"])
	}
}

func TestLocalFractionIsInRange(t *testing.T) {
	b := newTestBalancer(t, settings(func(s *Settings) { s.CrossPrice = 0.08 }), Entry{ID: 1, Zone: "a"})
	b.meanUtility = 3
	c := b.classes[0]
	for _, near := range []decay.Mean{{}, {Sum: 0, N: 100}, {Sum: 1e-9, N: 10}, {Sum: 50, N: 100}, {Sum: 1e9, N: 100}, {Sum: 1e300, N: 10}} {
		for _, far := range []decay.Mean{{}, {Sum: 0, N: 50}, {Sum: 1e-9, N: 50}, {Sum: 1e300, N: 50}} {
			c.localLatency, b.remoteLatency, c.bestLocalLatency = near, far, 0
			if got := b.computeLocalFraction(c, 0.25); !(got >= 0 && got <= 1) || math.IsNaN(got) {
				t.Errorf("local %v, remote %v: local fraction %v", near, far, got)
			}
		}
	}
	c.localLatency, b.remoteLatency, c.bestLocalLatency = decay.Mean{Sum: 50, N: 100}, decay.Mean{}, 0.1
	b.cfg.CrossPrice = 0
	if got := b.computeLocalFraction(c, 0.25); got != 1 {
		t.Errorf("without a price: local fraction %v, want 1", got)
	}
}

// A backend of another zone that gets few requests because of the price must not be probed as if they were few because
// of a bad estimate.
func TestRemoteZoneProbeInterval(t *testing.T) {
	b := newTestBalancer(t, settings(func(s *Settings) { s.CrossPrice = 0.08 }), Entry{ID: 1, Zone: "a"}, Entry{ID: 2, Zone: "b"})
	b.sends = decay.Mean{Sum: 2, N: 100}
	wait := b.tuning.Heal * b.nodesPerBackend
	if got := b.probeInterval(b.backends[1]); got != wait {
		t.Errorf("in the node's zone a backend is probed after %v s, want %v", got, wait)
	}
	if got := b.probeInterval(b.backends[2]); !approxEqual(got, 50*wait) {
		t.Errorf("in another zone a backend is probed after %v s, want %v", got, 50*wait)
	}
}
