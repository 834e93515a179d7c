package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// newLossyBalancer returns a balancer of zone a that has measured a class's latency of about 50 ms, and one request in
// flight at backend 1, which recently lost another one. Backend 2 is in the same zone and 3 in another; both are idle.
func newLossyBalancer(t *testing.T, class string, change func(*Settings)) (b *Balancer, lost Action, now time.Duration) {
	t.Helper()
	b = newTestBalancer(t, settings(func(s *Settings) {
		s.Copies = true
		change(s)
	}), Entry{ID: 1, Zone: "a"}, Entry{ID: 2, Zone: "a"}, Entry{ID: 3, Zone: "b"})
	for now = t0; now < t0+time.Second; now += 20 * time.Millisecond {
		endAttempt(b, now, sendRequest(b, now, now.String(), class), OK, Load{Known: true})
	}
	ejectOnly(b, 2, 3)
	if lost = sendRequest(b, now, "lost", class); lost.Kind != ActSend || lost.Backend != 1 {
		t.Fatalf("%+v, want a send to 1", lost)
	}
	b.backends[1].lossAt = now.Seconds()
	return b, lost, now
}

// ejectOnly ejects the given backends and ends the ejection of all others.
func ejectOnly(b *Balancer, ids ...uint32) {
	for id, s := range b.backends {
		if s.Ejected = 0; slices.Contains(ids, id) {
			s.Ejected = 1e9
		}
	}
}

// answerLaterAttempt sends one more request to backend 1, has it answered, and returns the hedges sent then.
func answerLaterAttempt(b *Balancer, now time.Duration, class string) (hedges []Action) {
	ejectOnly(b, 2, 3)
	send := sendRequest(b, now, fmt.Sprint("later", now), class)
	ejectOnly(b)
	for _, a := range b.Handle(now+50*time.Millisecond, &Event{Kind: EvOutcome, ID: send.ID, Backend: send.Backend,
		Took: 50 * time.Millisecond, Outcome: OK, Finished: true, Load: Load{Known: true}}, nil) {
		if a.Kind == ActSend {
			hedges = append(hedges, a)
		}
	}
	return hedges
}

func TestLostAttemptIsHedged(t *testing.T) {
	const late = 600 * time.Millisecond
	for _, c := range []struct {
		name, class string
		change      func(*Settings)
		after       time.Duration
		prepare     func(*Balancer)
		wantHedges  int
	}{
		{"lost", "top", func(*Settings) {}, late, nil, 1},
		{"keyed, in its zone", "key", func(*Settings) {}, late, nil, 1},
		{"unsafe class", "once", func(*Settings) {}, late, nil, 0},
		{"hedging not allowed", "top", func(s *Settings) { s.Copies = false }, late, nil, 0},
		{"in flight for too short a time", "top", func(*Settings) {}, 5 * time.Millisecond, nil, 0},
		{"its window is over", "key", func(s *Settings) { s.Classes[2].Window = late }, late, nil, 0},
		{"the only attempt allowed", "top", func(s *Settings) { s.MaxAttempts = 1 }, late, nil, 0},
		{"a backend that loses nothing", "top", func(*Settings) {}, late, func(b *Balancer) { b.backends[1].lossAt = 0 }, 0},
		{"no retry tokens", "top", func(*Settings) {}, late, func(b *Balancer) { b.retryTokens = 0 }, 0},
		{"others in overload", "top", func(*Settings) {}, late, func(b *Balancer) {
			b.backends[2].minFullOccupancy, b.backends[3].minFullOccupancy = 0.1, 0.1
			b.backends[2].reportedExcess, b.backends[3].reportedExcess = 50, 50
			b.backends[2].reportAt, b.backends[3].reportAt = 1e6, 1e6
		}, 0},
	} {
		b, lost, now := newLossyBalancer(t, c.class, c.change)
		if c.prepare != nil {
			c.prepare(b)
		}
		hedges := answerLaterAttempt(b, now+c.after, c.class)
		if len(hedges) != c.wantHedges {
			t.Errorf("%s: %d hedges, want %d", c.name, len(hedges), c.wantHedges)
		}
		for _, a := range hedges {
			if a.ID != lost.ID || a.Backend == 1 || c.class == "key" && a.Backend != 2 {
				t.Errorf("%s: a hedge of %s to %d", c.name, a.ID, a.Backend)
			}
		}
	}
}

// An attempt is hedged if its backend has answered nothing since the send. But if this node is one of many and no other
// answer was due from the backend, its silence is no evidence: hedges of all late attempts were a fifth of the work
// that 80 nodes sent to 60 backends.
func TestSilentBackendsAttemptIsHedged(t *testing.T) {
	testSilentBackend(t, 300, 1)
	testSilentBackend(t, 1, 0)
}

// testSilentBackend checks the number of hedges if a backend has answered nothing since the send, and answers before.
func testSilentBackend(t *testing.T, answers float64, wantHedges int) {
	t.Helper()
	b, lost, now := newLossyBalancer(t, "top", func(*Settings) {})
	b.backends[1].lossAt, b.backends[1].answers = 0, answers
	ejectOnly(b)
	hedges := 0
	for at := now; at < now+time.Second; at += 20 * time.Millisecond {
		for _, a := range b.Handle(at, &Event{Kind: EvTimer, Token: "tick"}, nil) {
			if a.Kind == ActSend {
				hedges++
				if a.ID != lost.ID || a.Backend == 1 {
					t.Errorf("a hedge of %s to %d", a.ID, a.Backend)
				}
			}
		}
	}
	if hedges != wantHedges {
		t.Errorf("%d hedges, want %d", hedges, wantHedges)
	}
}

// However its two attempts end, a request has one final answer, and an attempt still in flight then is cancelled.
func TestHedgedRequestHasOneAnswer(t *testing.T) {
	for _, c := range []struct {
		name  string
		ends  []int // attempts in the order in which they end
		with  []Outcome
		final int // which of the ends gives the final answer
	}{
		{"the hedge is answered", []int{1, 0}, []Outcome{OK, Canceled}, 0},
		{"the first is answered after all", []int{0, 1}, []Outcome{OK, Canceled}, 0},
		{"the hedge fails, then the first is answered", []int{1, 0}, []Outcome{Failed, OK}, 1},
		{"both time out", []int{0, 1}, []Outcome{TimedOut, TimedOut}, 1},
		{"the hedge is rejected and the first is reset", []int{1, 0}, []Outcome{Full, Reset}, 1},
	} {
		b, lost, now := newLossyBalancer(t, "top", func(s *Settings) { s.MaxAttempts = 2 })
		hedges := answerLaterAttempt(b, now+600*time.Millisecond, "top")
		if len(hedges) != 1 {
			t.Fatalf("%s: %d hedges", c.name, len(hedges))
		}
		backends, now := []uint32{lost.Backend, hedges[0].Backend}, now+700*time.Millisecond
		done := false
		for i, n := range c.ends {
			o := c.with[i]
			served := o == OK
			out := b.Handle(now, &Event{Kind: EvOutcome, ID: lost.ID, Attempt: n, Backend: backends[n], Took: 100 * time.Millisecond,
				Outcome: o, Finished: served || done}, nil)
			answers, cancelled := 0, 0
			for _, a := range out {
				switch a.Kind {
				case ActRefuse, ActFail:
					answers++
				case ActCancel:
					cancelled++
				case ActSend:
					t.Errorf("%s: sent after end %d", c.name, i)
				}
			}
			if want := i == c.final && !served; (answers == 1) != want || answers > 1 {
				t.Errorf("%s: %d answers at end %d", c.name, answers, i)
			}
			if want := served && i == 0; (cancelled == 1) != want {
				t.Errorf("%s: %d attempts cancelled at end %d", c.name, cancelled, i)
			}
			done = done || served || answers > 0
		}
		if b.requests[lost.ID] != nil {
			t.Errorf("%s: the request is still kept", c.name)
		}
	}
}

// Once the client has started to receive a response, no hedge follows, another attempt is cancelled, and the one that
// responds is not.
func TestStartedResponseStopsHedging(t *testing.T) {
	b, lost, now := newLossyBalancer(t, "top", func(*Settings) {})
	responseStarts := func(attempt int) (cancelled []int) {
		for _, a := range b.Handle(now, &Event{Kind: EvResponseStarted, ID: lost.ID, Attempt: attempt}, nil) {
			if a.Kind == ActCancel {
				cancelled = append(cancelled, a.Attempt)
			}
		}
		return cancelled
	}
	if cancelled := responseStarts(0); cancelled != nil {
		t.Errorf("%v cancelled, want none", cancelled)
	}
	if hedges := answerLaterAttempt(b, now+600*time.Millisecond, "top"); hedges != nil {
		t.Errorf("a hedge to %d after the response has started", hedges[0].Backend)
	}

	b, lost, now = newLossyBalancer(t, "top", func(*Settings) {})
	hedges := answerLaterAttempt(b, now+600*time.Millisecond, "top")
	if len(hedges) != 1 {
		t.Fatalf("%d hedges", len(hedges))
	}
	if cancelled := responseStarts(1); !slices.Equal(cancelled, []int{0}) {
		t.Errorf("%v cancelled, want the first", cancelled)
	}
	for i, o := range []Outcome{Canceled, OK} {
		for _, a := range b.Handle(now+time.Second, &Event{Kind: EvOutcome, ID: lost.ID, Attempt: i, Backend: []uint32{1, hedges[0].Backend}[i],
			Took: time.Second, Outcome: o, Finished: true}, nil) {
			if a.Kind != ActTimer && a.Kind != ActLog {
				t.Errorf("%+v after attempt %d ended", a, i)
			}
		}
	}
	if b.requests[lost.ID] != nil {
		t.Error("the request is still kept")
	}
}
