// Package heap measures the heap of this process.
package heap

import "runtime"

// InUse returns the bytes of live heap objects, after a garbage collection.
func InUse() int64 {
	runtime.GC()
	runtime.GC() // frees objects that finalizers kept alive
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// AllocationsPerCall returns the mean number of allocations of f, over the given number of calls.
func AllocationsPerCall(calls int, f func()) float64 {
	f() // excludes allocations of the first call only
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range calls {
		f()
	}
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / float64(calls)
}
