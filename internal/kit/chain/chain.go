// Package chain solves the queue M|M|1|<L,H>|R of Abaev, Gaidamaka, Samouylov et al., "Simulation of Overload Control in SIP
// Server Networks" (ECMS 2012), exactly: the one model of a box under hysteretic overload control for which every figure is
// known. Measured against it, a mode rule shows whether it is the paper's.
//
// The process X(t) = (s, n) has a mode s (0 normal, 1 overload, 2 discard) and n requests at the box. Requests come as a
// Poisson stream; in overload each is dropped with probability q, in discard all are.
package chain

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"
)

// Model is one box. Times are in the unit of 1/Mu.
type Model struct {
	Lambda, Mu float64 // rates of arrivals and of service
	Q          float64 // dropping probability in overload
	L, H, R    int     // abatement, onset and discard threshold, L <= H < R
	Exit       int     // discard ends once so many are left: H in the paper, fewer for a rule that waits longer
}

// Solution is what is known of a model in equilibrium.
type Solution struct {
	P      [3]float64 // share of the time in each mode
	Return float64    // mean time from the onset of overload until it is normal again: the paper's M_H
	Cycle  float64    // mean time of a whole control cycle: the paper's tau
}

// state is (s, n).
type state struct{ s, n int }

// Solve solves the model by its balance equations. An error says which threshold makes no sense.
func (m Model) Solve() (Solution, error) {
	switch {
	case m.Lambda <= 0 || m.Mu <= 0:
		return Solution{}, fmt.Errorf("chain: rates of %v and %v are not above 0", m.Lambda, m.Mu)
	case m.Q < 0 || m.Q > 1:
		return Solution{}, fmt.Errorf("chain: q of %v is outside 0 to 1", m.Q)
	case m.L < 1 || m.L > m.H || m.H >= m.R || m.Exit < m.L || m.Exit >= m.R:
		return Solution{}, fmt.Errorf("chain: L %d, H %d, exit %d and R %d are not in their order", m.L, m.H, m.Exit, m.R)
	}
	var states []state
	at := map[state]int{}
	add := func(s, from, to int) {
		for n := from; n <= to; n++ {
			at[state{s, n}] = len(states)
			states = append(states, state{s, n})
		}
	}
	add(0, 0, m.H-1)
	add(1, m.L, m.R-1)
	add(2, m.Exit+1, m.R)

	n := len(states)
	rates := mat.NewDense(n, n, nil) // of leaving i for j; the diagonal is what leaves i
	for i, x := range states {
		for _, y := range m.next(x) {
			if y.rate == 0 {
				continue
			}
			j := at[y.to]
			rates.Set(i, j, rates.At(i, j)+y.rate)
			rates.Set(i, i, rates.At(i, i)-y.rate)
		}
	}
	// Balance: p times rates is 0; one equation is the others', and makes room for the sum of 1.
	balance := mat.DenseCopyOf(rates.T())
	for j := range n {
		balance.Set(n-1, j, 1)
	}
	right := mat.NewVecDense(n, nil)
	right.SetVec(n-1, 1)
	var p mat.VecDense
	if err := p.SolveVec(balance, right); err != nil {
		return Solution{}, fmt.Errorf("chain: %w", err)
	}
	var out Solution
	for i, x := range states {
		out.P[x.s] += p.AtVec(i)
	}
	// Mean times until normal, from each state that is not: rates times them is -1.
	first := m.H // states before it are normal
	k := n - first
	times := mat.DenseCopyOf(rates.Slice(first, n, first, n))
	ones := mat.NewVecDense(k, nil)
	for i := range k {
		ones.SetVec(i, -1)
	}
	var mean mat.VecDense
	if err := mean.SolveVec(times, ones); err != nil {
		return Solution{}, fmt.Errorf("chain: %w", err)
	}
	out.Return = mean.AtVec(at[state{1, m.H}] - first)
	out.Cycle = out.Return + out.Return*out.P[0]/(1-out.P[0])
	if math.IsNaN(out.Return) {
		return Solution{}, fmt.Errorf("chain: no solution")
	}
	return out, nil
}

type step struct {
	to   state
	rate float64
}

// next is what can follow a state.
func (m Model) next(x state) [2]step {
	up, down := step{state{x.s, x.n + 1}, m.Lambda}, step{state{x.s, x.n - 1}, m.Mu}
	switch x.s {
	case 0:
		if up.to.n == m.H {
			up.to.s = 1
		}
		if x.n == 0 {
			down.rate = 0
		}
	case 1:
		up.rate *= 1 - m.Q
		if up.to.n == m.R {
			up.to.s = 2
		}
		if down.to.n < m.L {
			down.to.s = 0
		}
	case 2:
		up.rate = 0
		if down.to.n == m.Exit {
			down.to.s = 1
			if m.Exit < m.L {
				down.to.s = 0
			}
		}
	}
	return [2]step{up, down}
}
