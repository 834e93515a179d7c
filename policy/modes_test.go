package policy

import (
	"math"
	"math/rand/v2"
	"testing"

	"craneglade/internal/kit/chain"
)

// The mode transitions are those of the paper, except that discard ends at less than H, where the paper's ends at H.
// Simulated with an M/M/1 queue with exact and immediate reports (load 1.2, service 5 ms, R = 100) and the four
// settings of the paper's Table 1, the fractions of time in each mode and the times until normal agree with the exact
// solution within four standard errors.
func TestModeTransitionsMatchExactSolution(t *testing.T) {
	const lambda, mu, r = 1.2, 1.0, 100
	for i, x := range []struct {
		q    float64
		l, h int
	}{{0.6, 78, 90}, {0.5, 74, 85}, {0.4, 66, 76}, {0.3, 44, 52}} {
		want, err := chain.Model{Lambda: lambda, Mu: mu, Q: x.q, L: x.l, H: x.h, R: r, Exit: x.h - 1}.Solve()
		if err != nil {
			t.Fatal(err)
		}
		paper, err := chain.Model{Lambda: lambda, Mu: mu, Q: x.q, L: x.l, H: x.h, R: r, Exit: x.h}.Solve()
		if err != nil {
			t.Fatal(err)
		}
		rng := rand.New(rand.NewPCG(uint64(i), 11))
		var returns, cycles mean // of whole control cycles, from onset to onset
		var over [3]mean         // time in each mode, by cycle
		n, m := 0, normal
		var spent [3]float64
		for started := false; cycles.n < 20000; {
			up := lambda // diverted and discarded requests never reach the queue: the arrivals are thinned
			switch m {
			case overload:
				up *= 1 - x.q
			case discard:
				up = 0
			}
			down := mu
			if n == 0 {
				down = 0
			}
			spent[m] += rng.ExpFloat64() / (up + down)
			if rng.Float64()*(up+down) < up {
				n++
			} else {
				n--
			}
			before := m
			m = m.next(float64(n), float64(x.l), float64(x.h), r)
			if before != normal || m == normal {
				continue
			}
			if started { // the next onset ends a cycle
				returns.add(spent[overload] + spent[discard])
				cycles.add(spent[normal] + spent[overload] + spent[discard])
				for k := range over {
					over[k].add(spent[k])
				}
			}
			started, spent = true, [3]float64{}
		}
		check := func(name string, got, se, exact float64) {
			t.Helper()
			if math.Abs(got-exact) > 4*se {
				t.Errorf("q %.1f: %s is %.5g with a standard error of %.2g; exactly %.5g", x.q, name, got, se, exact)
			}
		}
		check("return", returns.of(), returns.error(), want.Return)
		check("cycle", cycles.of(), cycles.error(), want.Cycle)
		for k, name := range []string{"normal", "overload", "discard"} {
			// A ratio of means over independent, identically distributed cycles.
			share := over[k].of() / cycles.of()
			check(name, share, over[k].ratioError(&cycles, share), want.P[k])
		}
		t.Logf("q %.1f: return %.1f ms (%.1f exact, %.1f in the paper's chain), cycle %.1f (%.1f, %.1f), discard %.5f%% (%.5f%%, %.5f%%)", x.q,
			5*returns.of(), 5*want.Return, 5*paper.Return, 5*cycles.of(), 5*want.Cycle, 5*paper.Cycle, 100*over[discard].of()/cycles.of(),
			100*want.P[discard], 100*paper.P[discard])
	}
}

// mean is the mean of independent samples, which are kept for the standard error of a ratio.
type mean struct {
	n   int
	sum float64
	all []float64
}

func (m *mean) add(x float64) { m.n, m.sum, m.all = m.n+1, m.sum+x, append(m.all, x) }

func (m *mean) of() float64 { return m.sum / float64(m.n) }

// error is the mean's standard error.
func (m *mean) error() float64 {
	squares := 0.0
	for _, x := range m.all {
		squares += (x - m.of()) * (x - m.of())
	}
	return math.Sqrt(squares/float64(m.n-1)) / math.Sqrt(float64(m.n))
}

// ratioError is the standard error of share, the ratio of this mean to another one of the same cycles.
func (m *mean) ratioError(whole *mean, share float64) float64 {
	squares := 0.0
	for i, x := range m.all {
		squares += (x - share*whole.all[i]) * (x - share*whole.all[i])
	}
	return math.Sqrt(squares/float64(m.n-1)) / math.Sqrt(float64(m.n)) / whole.of()
}
