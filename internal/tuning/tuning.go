// Package tuning holds the figures of the decision module that the laboratory varies. How they were chosen stands in
// docs/design/thresholds.md.
package tuning

// Parameters are one choice of them.
type Parameters struct {
	AimPart  float64 // H is at most what a backend clears in this part of the shortest aim
	Divert   float64 // q, the part of all requests that a backend in overload diverts, at its H
	Ramp     float64 // q is at its most at 1 + Ramp times H
	Steep    float64 // so many nodes may share a backend for q to be as steep; with more it is flatter by their number
	H        float64 // where above 0: H for every backend, in requests held, whatever is seen of it
	Overtake float64 // by so many service times a later send, once answered, tells that an earlier one is lost
	Heal     float64 // after so many seconds, for each node that shares it, a backend that got nothing is tried again
}

// Default are those that nodes go by.
func Default() Parameters {
	return Parameters{AimPart: 0.30, Divert: 0.50, Ramp: 0.5, Steep: 5, Overtake: 3, Heal: 3}
}
