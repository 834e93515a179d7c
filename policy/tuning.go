package policy

// Tuning are the figures that the laboratory varies.
type Tuning struct {
	AimPart float64 // H is at most what a backend clears in this part of the shortest aim
	Divert  float64 // q: the part of all requests that a backend in overload diverts at its H
}

// Tuned are the figures in service.
func Tuned() Tuning { return Tuning{AimPart: 0.40, Divert: 0.60} }
