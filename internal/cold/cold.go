// Package cold models the slow start of backends. It does no I/O and reads no clock.
package cold

// Ramp returns the minimum fraction of its capacity that a backend has: share at its start, growing linearly to 1 at an age
// of span. Times are in seconds. A backend with an unknown start, 0 or below, is warm.
func Ramp(launched, now, share, span float64) float64 {
	age := now - launched
	if launched <= 0 || age >= span {
		return 1
	}
	return share + (1-share)*max(0, age)/span
}
