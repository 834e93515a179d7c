// Package cold tells what a process that has just started can do. It is pure.
package cold

// Ramp is the least part of its capacity that a backend has, by its age in seconds: share at its start, all of it once it
// is as old as span. One whose start is not known is warm.
func Ramp(launched, now, share, span float64) float64 {
	age := now - launched
	if launched <= 0 || age >= span {
		return 1
	}
	return share + (1-share)*max(0, age)/span
}
