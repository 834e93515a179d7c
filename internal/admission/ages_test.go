package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

// box closes what has rested for longer than idle; part of all uses is reset for other reasons.
type box struct {
	idle  time.Duration
	reset float64
}

// learn plays n uses of connections that rested for up to most. It returns how many broke by the rest, and how many of
// those would have carried what must not be repeated.
func learn(a *IdleEstimator, b box, n int, most time.Duration, rng *rand.Rand) (broke, unsafe int) {
	now := time.Duration(0)
	for range n {
		now += 20 * ms
		age := time.Duration(rng.ExpFloat64() * float64(most) / 3)
		if age > a.MaxIdle() {
			continue // a new one instead
		}
		switch {
		case age > b.idle:
			broke++
			if age <= a.SafeIdle() {
				unsafe++
			}
			a.RecordReset(now, age)
		case rng.Float64() < b.reset:
			a.RecordReset(now, age)
		default:
			a.RecordReuse(now, age)
		}
	}
	return broke, unsafe
}

func TestLearnsWhenABoxCloses(t *testing.T) {
	for _, idle := range []time.Duration{300 * ms, 900 * ms, 3 * time.Second} {
		for _, reset := range []float64{0, 0.08} {
			a := NewIdleEstimator(60*time.Second, nil)
			broke, unsafe := learn(a, box{idle, reset}, 3000, 10*time.Second, rand.New(rand.NewPCG(1, uint64(idle))))
			if l := a.MaxIdle(); l > idle || l < idle/3 {
				t.Errorf("closes after %v, resets %.2f: keeps for %v", idle, reset, l)
			}
			if broke > 25 || unsafe > 3 {
				t.Errorf("closes after %v, resets %.2f: %d broke, %d of them with what must not be repeated", idle, reset, broke, unsafe)
			}
		}
	}
}

// Resets that strike young and old alike shorten nothing.
func TestOtherResetsShortenNothing(t *testing.T) {
	a := NewIdleEstimator(60*time.Second, nil)
	learn(a, box{time.Hour, 0.15}, 3000, 30*time.Second, rand.New(rand.NewPCG(2, 2)))
	if l := a.MaxIdle(); l != 54*time.Second {
		t.Errorf("keeps for %v, want nine tenths of what was told", l)
	}
}

// One that breaks when it has hardly rested tells nothing of rest.
func TestABreakOfAYoungOneCostsNoTrust(t *testing.T) {
	a := NewIdleEstimator(60*time.Second, nil)
	a.RecordReset(time.Second, 4*ms)
	if a.SafeIdle() != trusted || a.MaxIdle() != 54*time.Second {
		t.Errorf("sure of %v, keeps for %v", a.SafeIdle(), a.MaxIdle())
	}
}

func TestTrustGrows(t *testing.T) {
	a := NewIdleEstimator(60*time.Second, nil)
	if a.SafeIdle() != trusted || a.MaxIdle() != 54*time.Second {
		t.Errorf("at first: sure of %v, keeps for %v", a.SafeIdle(), a.MaxIdle())
	}
	learn(a, box{time.Hour, 0}, 500, 20*time.Second, rand.New(rand.NewPCG(3, 3)))
	if a.SafeIdle() < 5*time.Second {
		t.Errorf("after 500 that held: sure of %v", a.SafeIdle())
	}
	if NewIdleEstimator(0, nil).MaxIdle() < time.Hour {
		t.Error("with nothing told nothing is known")
	}
}

// A box that is new begins with what the others have shown, and its own account goes before it.
func TestANewBoxBeginsWithTheOthers(t *testing.T) {
	all := NewIdleEstimator(60*time.Second, nil)
	one := NewIdleEstimator(60*time.Second, all)
	learn(one, box{time.Second, 0}, 2000, 10*time.Second, rand.New(rand.NewPCG(4, 4)))
	other := NewIdleEstimator(60*time.Second, all)
	if other.MaxIdle() > time.Second {
		t.Errorf("a new box's connections are kept for %v", other.MaxIdle())
	}
	for range 5 {
		other.RecordReset(time.Second, 200*ms)
	}
	if other.MaxIdle() > 200*ms {
		t.Errorf("its own account says 200ms; it keeps for %v", other.MaxIdle())
	}
}

func TestForgets(t *testing.T) {
	a := NewIdleEstimator(60*time.Second, nil)
	for range 20 {
		a.RecordReset(time.Second, 2*time.Second)
	}
	if a.MaxIdle() > 2*time.Second {
		t.Fatal("not learnt")
	}
	a.RecordReuse(10*time.Minute, 10*ms)
	if a.MaxIdle() != 54*time.Second {
		t.Errorf("ten minutes later it still keeps for %v", a.MaxIdle())
	}
}

func BenchmarkAges(b *testing.B) {
	a := NewIdleEstimator(60*time.Second, NewIdleEstimator(60*time.Second, nil))
	learn(a, box{3 * time.Second, 0.05}, 3000, 10*time.Second, rand.New(rand.NewPCG(1, 1)))
	b.ReportAllocs()
	for b.Loop() {
		if a.MaxIdle() > 0 && a.SafeIdle() > 0 {
			a.RecordReuse(time.Second, 100*ms)
		}
	}
}
