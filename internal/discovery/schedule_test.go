package discovery

import (
	"math/rand/v2"
	"testing"
	"time"

	"craneglade/policy"
)

// world is a discovery in virtual time, as one source sees it. Whoever asks while it can't be reached is refused at once, told 503, or hears
// nothing until the call's limit; so is, at worst, who asked before and still waits.
type world struct {
	schedule
	rng    *rand.Rand
	module *policy.Balancer // says when to ask again where lists are not pushed
	now    time.Duration
}

func newWorld(t *testing.T, push, whole bool, seed uint64) *world {
	t.Helper()
	w := &world{schedule: schedule{push: push, whole: whole}, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour}
	if !push {
		var err error
		w.module, err = policy.New(policy.Settings{Nodes: 1, MaxAttempts: 1, MustAsk: true, MustAskIn: 10 * time.Second,
			DrainGrace: 500 * time.Millisecond, Classes: []policy.Class{{Name: "c"}}}, seed)
		if err != nil {
			t.Fatal(err)
		}
		w.module.Handle(w.now, &policy.Event{Kind: policy.EvList, List: policy.ListCached}, nil)
	}
	return w
}

// fails has the call that is under way fail after took, and goes on to the moment of the next one.
func (w *world) fails(t *testing.T, took time.Duration, silent bool) {
	t.Helper()
	w.now += took
	rest, ok := w.failed(silent, w.rng.Float64())
	if ok {
		w.now += rest
		return
	}
	out := w.module.Handle(w.now, &policy.Event{Kind: policy.EvList, List: policy.ListFailed}, nil)
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
		// One timer may have been set before the loss: the module's are a quarter of a second apart at most.
		w.now = min(due, w.now+250*time.Millisecond)
		out = w.module.Handle(w.now, &policy.Event{Kind: policy.EvTimer, Token: "tick"}, nil)
	}
	t.Fatal("the module never asks again")
}

// answerTime is how long discovery takes at most for a call that it can answer.
func (w *world) answerTime() time.Duration {
	if w.push {
		return 200 * time.Millisecond
	}
	return time.Second
}

// However long discovery is away and however calls fail meanwhile, a source is told within 6 s of the moment from which it can be reached,
// also when a call that began just before hangs.
func TestToldWithinSixSecondsOfDiscoverysReturn(t *testing.T) {
	for _, push := range []bool{true, false} {
		worst := time.Duration(0)
		for seed := range uint64(5000) {
			w := newWorld(t, push, seed%3 == 0, seed)
			w.next(w.rng.Float64())
			w.fails(t, 0, false) // discovery goes down, and ends the watch; one that falls silent has the test below
			back := w.now + time.Duration(w.rng.Float64()*float64(40*time.Second))
			for w.now < back {
				c := w.next(w.rng.Float64())
				switch w.rng.IntN(3) {
				case 0: // refused or reset
					w.fails(t, min(c.limit, time.Duration(w.rng.Float64()*float64(50*time.Millisecond))), false)
				case 1: // 503, after it stood in line
					w.fails(t, min(c.limit, time.Duration(w.rng.Float64()*float64(2500*time.Millisecond))), false)
				case 2: // nothing at all, also beyond the moment of the return
					w.fails(t, c.limit, true)
				}
			}
			w.now += w.answerTime()
			worst = max(worst, w.now-back)
			if w.now-back > 6*time.Second {
				t.Fatalf("push %v, seed %d: told %v after discovery could be reached", push, seed, w.now-back)
			}
		}
		t.Logf("push %v: told %v after discovery's return at the latest", push, worst)
	}
}

// A watch that falls silent at any moment is given up, and the source told by another call, within 6 s, or where a call may wait within 2 s
// after that wait; also when that other call is the first to be refused.
func TestToldAfterASilentWatch(t *testing.T) {
	for _, push := range []bool{true, false} {
		worst := time.Duration(-time.Hour)
		for seed := range uint64(2000) {
			w := newWorld(t, push, false, seed)
			begun := w.now
			c := w.next(w.rng.Float64())
			silent := begun + time.Duration(w.rng.Float64()*float64(c.wait))
			due := silent + 6*time.Second
			if !push {
				due = max(due, begun+c.wait+2*time.Second)
			}
			w.fails(t, c.limit, true)
			if seed%2 == 0 && push {
				w.fails(t, 0, false)
			}
			if c = w.next(0); c.whole || c.wait > probeWait {
				t.Fatalf("after a silence %+v is asked, which could be as silent for as long", c)
			}
			w.now += w.answerTime()
			worst = max(worst, w.now-due)
			if w.now > due {
				t.Fatalf("push %v, seed %d: told %v too late", push, seed, w.now-due)
			}
			w.answered(false)
			if c = w.next(0); c.wait < time.Second {
				t.Fatalf("once it was answered %+v is asked in place of a watch", c)
			}
		}
		t.Logf("push %v: told %v before its time at the latest", push, -worst)
	}
}

// After a reload the other discovery has told its list within 4 s, also when the first call hangs.
func TestToldAfterAReload(t *testing.T) {
	for _, push := range []bool{true, false} {
		w := newWorld(t, push, true, 7)
		begun := w.now
		c := w.next(0)
		w.fails(t, c.limit, true)
		if c = w.next(0); !c.whole {
			t.Errorf("push %v: %+v is asked before the whole list was told", push, c)
		}
		if d := w.now + w.answerTime() - begun; d > 4*time.Second {
			t.Errorf("push %v: told %v after the reload", push, d)
		}
		w.answered(false)
		if c = w.next(0); c.whole {
			t.Errorf("push %v: the whole list is asked for twice", push)
		}
		w.answered(true)
		if c = w.next(0); !c.whole {
			t.Errorf("push %v: a discovery that counts anew is not asked for all", push)
		}
	}
}

// Watches of many nodes that were begun together must not end together.
func TestAskedWatchesSpread(t *testing.T) {
	s := schedule{}
	if d := s.next(0).wait - s.next(1).wait; d < 3*time.Second {
		t.Errorf("watches end within %v of one another", d)
	}
}
