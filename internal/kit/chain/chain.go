// Package chain solves the queue M|M|1|<L,H>|R of Abaev, Gaidamaka, Samouylov et al., "Simulation of Overload Control in SIP
// Server Networks" (ECMS 2012), exactly. It is the one model of a server under hysteretic overload control for which every
// figure is known, so that an implementation of the paper's mode rule can be tested against it.
//
// The process X(t) = (s, n) has a mode s (0 normal, 1 overload, 2 discard) and n requests at the server. Requests arrive as a
// Poisson process; in overload each is dropped with probability q, in discard all are.
package chain

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"
)

// Model is one server with its queue. Times are in the unit of 1/Mu.
type Model struct {
	Lambda, Mu float64 // arrival and service rates
	Q          float64 // dropping probability in overload
	L, H, R    int     // abatement, onset and discard thresholds, L <= H < R
	Exit       int     // discard ends at this number of requests: H in the paper, less for a rule that discards for longer
}

// Solution is the steady state of a model.
type Solution struct {
	P      [3]float64 // fraction of the time in each mode
	Return float64    // mean time from the onset of overload until the return to normal mode: the paper's M_H
	Cycle  float64    // mean time of a whole control cycle: the paper's tau
}

// state is (s, n).
type state struct{ mode, n int }

// Solve solves the model's balance equations. It returns an error for parameters out of range.
func (m Model) Solve() (Solution, error) {
	switch {
	case m.Lambda <= 0 || m.Mu <= 0:
		return Solution{}, fmt.Errorf("chain: rates of %v and %v are not above 0", m.Lambda, m.Mu)
	case m.Q < 0 || m.Q > 1:
		return Solution{}, fmt.Errorf("chain: q of %v is outside 0 to 1", m.Q)
	case m.L < 1 || m.L > m.H || m.H >= m.R || m.Exit < m.L || m.Exit >= m.R:
		return Solution{}, fmt.Errorf("chain: L %d, H %d, exit %d and R %d are out of order", m.L, m.H, m.Exit, m.R)
	}
	var states []state
	index := map[state]int{}
	add := func(s, from, to int) {
		for n := from; n <= to; n++ {
			index[state{s, n}] = len(states)
			states = append(states, state{s, n})
		}
	}
	add(0, 0, m.H-1)
	add(1, m.L, m.R-1)
	add(2, m.Exit+1, m.R)

	n := len(states)
	rates := mat.NewDense(n, n, nil) // transition rates from i to j; the diagonal is minus the total rate out of i
	for i, x := range states {
		for _, y := range m.transitions(x) {
			if y.rate == 0 {
				continue
			}
			j := index[y.to]
			rates.Set(i, j, rates.At(i, j)+y.rate)
			rates.Set(i, i, rates.At(i, i)-y.rate)
		}
	}
	// Balance: p times rates is 0. One of these equations follows from the others and is replaced by the sum of p, which is 1.
	balance := mat.DenseCopyOf(rates.T())
	for j := range n {
		balance.Set(n-1, j, 1)
	}
	rhs := mat.NewVecDense(n, nil)
	rhs.SetVec(n-1, 1)
	var p mat.VecDense
	if err := p.SolveVec(balance, rhs); err != nil {
		return Solution{}, fmt.Errorf("chain: %w", err)
	}
	var out Solution
	for i, x := range states {
		out.P[x.mode] += p.AtVec(i)
	}
	// Mean times until normal mode from each state of the other modes: rates times them is -1.
	first := m.H // states before it are in normal mode
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
	out.Return = mean.AtVec(index[state{1, m.H}] - first)
	out.Cycle = out.Return + out.Return*out.P[0]/(1-out.P[0])
	if math.IsNaN(out.Return) {
		return Solution{}, fmt.Errorf("chain: no solution")
	}
	return out, nil
}

type transition struct {
	to   state
	rate float64
}

// transitions returns the transitions out of a state: an arrival and a departure.
func (m Model) transitions(x state) [2]transition {
	up, down := transition{state{x.mode, x.n + 1}, m.Lambda}, transition{state{x.mode, x.n - 1}, m.Mu}
	switch x.mode {
	case 0:
		if up.to.n == m.H {
			up.to.mode = 1
		}
		if x.n == 0 {
			down.rate = 0
		}
	case 1:
		up.rate *= 1 - m.Q
		if up.to.n == m.R {
			up.to.mode = 2
		}
		if down.to.n < m.L {
			down.to.mode = 0
		}
	case 2:
		up.rate = 0
		if down.to.n == m.Exit {
			down.to.mode = 1
			if m.Exit < m.L {
				down.to.mode = 0
			}
		}
	}
	return [2]transition{up, down}
}
