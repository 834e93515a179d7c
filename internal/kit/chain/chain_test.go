package chain

import (
	"math"
	"strings"
	"testing"
)

// Table 1 of the paper: load 1.2, service 5 ms, R = 100. Its figures are rounded; where they differ from the exact solution by
// more than their rounding, the last columns and docs/design/simulation.md say by how much.
func TestTable1(t *testing.T) {
	for _, x := range []struct {
		q           float64
		l, h        int
		ret         float64 // ms
		b1, b2      float64 // percent
		cycle       float64 // ms
		offR, offB1 float64 // largest deviation, as a fraction of the table's figure
		offB2, offC float64
	}{
		{0.6, 78, 90, 121, 16.0, 0.0072, 455, 0.034, 0.042, 0.004, 0.012},
		{0.5, 74, 85, 146, 16.1, 0.0079, 452, 0.028, 0.036, 0.011, 0.006},
		{0.4, 66, 76, 191, 16.2, 0.0093, 470, 0.029, 0.029, 0.005, 0.004},
		{0.3, 44, 52, 273, 16.4, 0.0087, 500, 0.031, 0.017, 0.002, 0.013},
	} {
		got, err := Model{Lambda: 1.2, Mu: 1, Q: x.q, L: x.l, H: x.h, R: 100, Exit: x.h}.Solve()
		if err != nil {
			t.Fatal(err)
		}
		ret, cycle, b1, b2 := 5*got.Return, 5*got.Cycle, 100*x.q*got.P[1], 100*got.P[2]
		t.Logf("q %.1f <%d,%d>: return %.1f ms (table %g), B1 %.2f%% (%g), B2 %.5f%% (%g), cycle %.1f ms (%g)", x.q, x.l, x.h, ret, x.ret,
			b1, x.b1, b2, x.b2, cycle, x.cycle)
		for _, c := range []struct {
			name             string
			got, table, part float64
		}{{"return", ret, x.ret, x.offR}, {"B(X1)", b1, x.b1, x.offB1}, {"B(X2)", b2, x.b2, x.offB2}, {"cycle", cycle, x.cycle, x.offC}} {
			if math.Abs(c.got/c.table-1) > c.part {
				t.Errorf("q %.1f: %s is %.5g, and %g in the table", x.q, c.name, c.got, c.table)
			}
		}
		if sum := got.P[0] + got.P[1] + got.P[2]; math.Abs(sum-1) > 1e-9 {
			t.Errorf("fractions of the time in each mode sum to %v", sum)
		}
	}
}

// If the modes accept the same requests the model is the queue M/M/1/R, with p_n proportional to rho^n.
func TestPlainQueue(t *testing.T) {
	m := Model{Lambda: 0.8, Mu: 1, Q: 0, L: 5, H: 5, R: 10, Exit: 9}
	got, err := m.Solve()
	if err != nil {
		t.Fatal(err)
	}
	sum, below, full := 0.0, 0.0, math.Pow(0.8, 10)
	for n := range 11 {
		p := math.Pow(0.8, float64(n))
		sum += p
		if n < 5 {
			below += p
		}
	}
	if math.Abs(got.P[0]-below/sum) > 1e-9 || math.Abs(got.P[2]-full/sum) > 1e-9 {
		t.Errorf("%+v, want %v normal and %v full", got, below/sum, full/sum)
	}
}

func TestInvalidModels(t *testing.T) {
	for _, m := range []Model{{}, {Lambda: 1, Mu: 1, Q: 2, L: 1, H: 2, R: 3, Exit: 2}, {Lambda: 1, Mu: 1, L: 3, H: 2, R: 5, Exit: 2},
		{Lambda: 1, Mu: 1, L: 1, H: 5, R: 5, Exit: 5}} {
		if _, err := m.Solve(); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%+v: %v", m, err)
		}
	}
}
