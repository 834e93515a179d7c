package discovery

import (
	"math/rand/v2"
	"testing"
	"time"

	"craneglade/policy"
)

// simulation is a discovery in virtual time, as one source sees it. A call while it is down is refused at once, gets a 503 or hangs
// until its time limit; a call that was waiting when it went down does the same at worst.
type simulation struct {
	schedule
	rng      *rand.Rand
	balancer *policy.Balancer // decides when to retry if lists are not pushed
	now      time.Duration
}

func newSimulation(t *testing.T, push, needFull bool, seed uint64) *simulation {
	t.Helper()
	w := &simulation{schedule: schedule{push: push, needFull: needFull}, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour}
	if !push {
		var err error
		w.balancer, err = policy.New(policy.Settings{Nodes: 1, MaxAttempts: 1, MustAsk: true, MustAskIn: 10 * time.Second,
			DrainGrace: 500 * time.Millisecond, Classes: []policy.Class{{Name: "c"}}}, seed)
		if err != nil {
			t.Fatal(err)
		}
		w.balancer.Handle(w.now, &policy.Event{Kind: policy.EvList, List: policy.ListCached}, nil)
	}
	return w
}

// fail has the current call fail after took, and advances the time to the next one.
func (w *simulation) fail(t *testing.T, took time.Duration, timedOut bool) {
	t.Helper()
	w.now += took
	pause, retry := w.failed(timedOut, w.rng.Float64())
	if retry {
		w.now += pause
		return
	}
	out := w.balancer.Handle(w.now, &policy.Event{Kind: policy.EvList, List: policy.ListFailed}, nil)
	for range 1000 {
		due := w.now + 10*time.Second
		for _, a := range out {
			if a.Kind == policy.ActSubscribe {
				return
			}
			if a.Kind == policy.ActTimer {
				due = a.At
			}
		}
		// A timer may have been set before the failure: the policy's timers are at most 250 ms apart.
		w.now = min(due, w.now+250*time.Millisecond)
		out = w.balancer.Handle(w.now, &policy.Event{Kind: policy.EvTimer, Token: "tick"}, nil)
	}
	t.Fatal("the policy never retries")
}

// maxAnswerTime returns the time that discovery takes at most for a call that it can answer.
func (w *simulation) maxAnswerTime() time.Duration {
	if w.push {
		return 200 * time.Millisecond
	}
	return time.Second
}

// However long discovery is down and however calls fail meanwhile, a source gets a response within 6 s after discovery can be
// reached again, even if a call that started just before hangs.
func TestResponseWithinSixSecondsOfDiscoveryReturn(t *testing.T) {
	for _, push := range []bool{true, false} {
		worst := time.Duration(0)
		for seed := range uint64(5000) {
			w := newSimulation(t, push, seed%3 == 0, seed)
			w.next(w.rng.Float64())
			w.fail(t, 0, false) // discovery goes down and ends the watch; for a watch that hangs see the test below
			back := w.now + time.Duration(w.rng.Float64()*float64(40*time.Second))
			for w.now < back {
				c := w.next(w.rng.Float64())
				switch w.rng.IntN(3) {
				case 0: // refused or reset
					w.fail(t, min(c.limit, time.Duration(w.rng.Float64()*float64(50*time.Millisecond))), false)
				case 1: // 503, after queueing
					w.fail(t, min(c.limit, time.Duration(w.rng.Float64()*float64(2500*time.Millisecond))), false)
				case 2: // hangs, possibly beyond the return of discovery
					w.fail(t, c.limit, true)
				}
			}
			w.now += w.maxAnswerTime()
			worst = max(worst, w.now-back)
			if w.now-back > 6*time.Second {
				t.Fatalf("push %v, seed %d: response %v after discovery could be reached", push, seed, w.now-back)
			}
		}
		t.Logf("push %v: response at most %v after discovery could be reached", push, worst)
	}
}

// A watch that stops responding at any time is abandoned, and the source gets a response to another call within 6 s, or if lists
// are not pushed within 2 s after the watch's wait, if that is later. With push this holds also if the next call is refused at first.
func TestResponseAfterHungWatch(t *testing.T) {
	for _, push := range []bool{true, false} {
		worst := time.Duration(-time.Hour)
		for seed := range uint64(2000) {
			w := newSimulation(t, push, false, seed)
			start := w.now
			c := w.next(w.rng.Float64())
			silent := start + time.Duration(w.rng.Float64()*float64(c.wait))
			due := silent + 6*time.Second
			if !push {
				due = max(due, start+c.wait+2*time.Second)
			}
			w.fail(t, c.limit, true)
			if seed%2 == 0 && push {
				w.fail(t, 0, false)
			}
			if c = w.next(0); c.full || c.wait > probeWait {
				t.Fatalf("call %+v after a timeout: it could hang as long as the watch", c)
			}
			w.now += w.maxAnswerTime()
			worst = max(worst, w.now-due)
			if w.now > due {
				t.Fatalf("push %v, seed %d: response %v too late", push, seed, w.now-due)
			}
			w.answered(false)
			if c = w.next(0); c.wait < time.Second {
				t.Fatalf("call %+v after a response, want a watch", c)
			}
		}
		t.Logf("push %v: response at least %v before its time limit", push, -worst)
	}
}

// After a reload the new discovery's list arrives within 4 s, even if the first call hangs.
func TestFullListAfterReload(t *testing.T) {
	for _, push := range []bool{true, false} {
		w := newSimulation(t, push, true, 7)
		start := w.now
		c := w.next(0)
		w.fail(t, c.limit, true)
		if c = w.next(0); !c.full {
			t.Errorf("push %v: call %+v before the full list has arrived", push, c)
		}
		if d := w.now + w.maxAnswerTime() - start; d > 4*time.Second {
			t.Errorf("push %v: response %v after the reload", push, d)
		}
		w.answered(false)
		if c = w.next(0); c.full {
			t.Errorf("push %v: the full list is requested twice", push)
		}
		w.answered(true)
		if c = w.next(0); !c.full {
			t.Errorf("push %v: the full list is not requested after a reset of versions", push)
		}
	}
}

// Watches of many nodes that started at the same time must not end at the same time.
func TestPollWatchesAreSpread(t *testing.T) {
	s := schedule{}
	if d := s.next(0).wait - s.next(1).wait; d < 3*time.Second {
		t.Errorf("watches end within %v of one another", d)
	}
}
