package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

// backendModel closes connections that were idle for longer than idleTimeout, and resets a fraction of all reuses for
// other reasons.
type backendModel struct {
	idleTimeout   time.Duration
	resetFraction float64
}

// simulateReuse plays n reuses of connections with random idle times of a third of maxIdle on average. It returns how
// many were reset because the backend had closed them, and how many of these could have carried a request that must not
// be repeated.
func simulateReuse(a *IdleEstimator, b backendModel, n int, maxIdle time.Duration, rng *rand.Rand) (closedResets, unsafe int) {
	now := time.Duration(0)
	for range n {
		now += 20 * ms
		idle := time.Duration(rng.ExpFloat64() * float64(maxIdle) / 3)
		if idle > a.MaxIdle() {
			continue // not kept
		}
		switch {
		case idle > b.idleTimeout:
			closedResets++
			if idle <= a.SafeIdle() {
				unsafe++
			}
			a.RecordReset(now, idle)
		case rng.Float64() < b.resetFraction:
			a.RecordReset(now, idle)
		default:
			a.RecordReuse(now, idle)
		}
	}
	return closedResets, unsafe
}

func TestMaxIdleFollowsBackendTimeout(t *testing.T) {
	for _, idle := range []time.Duration{300 * ms, 900 * ms, 3 * time.Second} {
		for _, reset := range []float64{0, 0.08} {
			a := NewIdleEstimator(60*time.Second, nil)
			closedResets, unsafe := simulateReuse(a, backendModel{idle, reset}, 3000, 10*time.Second, rand.New(rand.NewPCG(1, uint64(idle))))
			if l := a.MaxIdle(); l > idle || l < idle/3 {
				t.Errorf("idle timeout %v, other resets %.2f: MaxIdle is %v", idle, reset, l)
			}
			if closedResets > 25 || unsafe > 3 {
				t.Errorf("idle timeout %v, other resets %.2f: %d resets of closed connections, %d of them within SafeIdle", idle, reset, closedResets, unsafe)
			}
		}
	}
}

// Resets that are equally frequent at all idle times must not shorten MaxIdle.
func TestResetsUnrelatedToIdleTimeKeepMaxIdle(t *testing.T) {
	a := NewIdleEstimator(60*time.Second, nil)
	simulateReuse(a, backendModel{time.Hour, 0.15}, 3000, 30*time.Second, rand.New(rand.NewPCG(2, 2)))
	if l := a.MaxIdle(); l != 54*time.Second {
		t.Errorf("MaxIdle is %v, want nine tenths of the configured idle timeout", l)
	}
}

// A reset after a very short idle time is no evidence of an idle timeout.
func TestResetOfFreshConnectionKeepsLimits(t *testing.T) {
	a := NewIdleEstimator(60*time.Second, nil)
	a.RecordReset(time.Second, 4*ms)
	if a.SafeIdle() != defaultSafeIdle || a.MaxIdle() != 54*time.Second {
		t.Errorf("SafeIdle is %v, MaxIdle is %v", a.SafeIdle(), a.MaxIdle())
	}
}

func TestSafeIdleGrowsWithReuses(t *testing.T) {
	a := NewIdleEstimator(60*time.Second, nil)
	if a.SafeIdle() != defaultSafeIdle || a.MaxIdle() != 54*time.Second {
		t.Errorf("without samples: SafeIdle is %v, MaxIdle is %v", a.SafeIdle(), a.MaxIdle())
	}
	simulateReuse(a, backendModel{time.Hour, 0}, 500, 20*time.Second, rand.New(rand.NewPCG(3, 3)))
	if a.SafeIdle() < 5*time.Second {
		t.Errorf("after 500 reuses: SafeIdle is %v", a.SafeIdle())
	}
	if NewIdleEstimator(0, nil).MaxIdle() < time.Hour {
		t.Error("MaxIdle is limited without a configured idle timeout")
	}
}

// A new backend uses the estimate shared by all backends until it has enough resets of its own.
func TestNewBackendUsesSharedEstimate(t *testing.T) {
	all := NewIdleEstimator(60*time.Second, nil)
	one := NewIdleEstimator(60*time.Second, all)
	simulateReuse(one, backendModel{time.Second, 0}, 2000, 10*time.Second, rand.New(rand.NewPCG(4, 4)))
	other := NewIdleEstimator(60*time.Second, all)
	if other.MaxIdle() > time.Second {
		t.Errorf("MaxIdle of a new backend is %v", other.MaxIdle())
	}
	for range 5 {
		other.RecordReset(time.Second, 200*ms)
	}
	if other.MaxIdle() > 200*ms {
		t.Errorf("MaxIdle is %v despite resets after 200ms", other.MaxIdle())
	}
}

func TestEstimateDecays(t *testing.T) {
	a := NewIdleEstimator(60*time.Second, nil)
	for range 20 {
		a.RecordReset(time.Second, 2*time.Second)
	}
	if a.MaxIdle() > 2*time.Second {
		t.Fatal("MaxIdle does not follow the resets")
	}
	a.RecordReuse(10*time.Minute, 10*ms)
	if a.MaxIdle() != 54*time.Second {
		t.Errorf("MaxIdle is %v ten minutes after the resets", a.MaxIdle())
	}
}

func BenchmarkIdleEstimator(b *testing.B) {
	a := NewIdleEstimator(60*time.Second, NewIdleEstimator(60*time.Second, nil))
	simulateReuse(a, backendModel{3 * time.Second, 0.05}, 3000, 10*time.Second, rand.New(rand.NewPCG(1, 1)))
	b.ReportAllocs()
	for b.Loop() {
		if a.MaxIdle() > 0 && a.SafeIdle() > 0 {
			a.RecordReuse(time.Second, 100*ms)
		}
	}
}
