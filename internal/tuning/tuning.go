// Package tuning holds the parameters of the policy that the simulator in internal/kit/lab can vary. They are explained in
// docs/design/thresholds.md.
package tuning

// Parameters is a set of values for them. H is a backend's threshold of requests in flight, q its fraction of diverted ones.
type Parameters struct {
	AimPart  float64 // H is at most what a backend completes in this fraction of the shortest latency target
	Divert   float64 // q, the fraction of all requests that a backend in overload diverts, at H
	Ramp     float64 // q is at its maximum at 1 + Ramp times H
	Steep    float64 // maximum nodes per backend for this slope of q; with more it is flatter in proportion
	H        float64 // if above 0: H of every backend, in requests in flight, in place of the estimate
	Overtake float64 // an attempt is presumed lost once one that was sent this many service times later is answered
	Heal     float64 // seconds, times the nodes per backend, after which a backend without requests is tried again
}

// Default returns the parameters that nodes use.
func Default() Parameters {
	return Parameters{AimPart: 0.30, Divert: 0.50, Ramp: 0.5, Steep: 5, Overtake: 3, Heal: 3}
}
