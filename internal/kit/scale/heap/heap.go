// Package heap tells what the heap of this process holds, for figures of memory.
package heap

import "runtime"

// InUse is the bytes of all that is reachable, after a collection.
func InUse() int64 {
	runtime.GC()
	runtime.GC() // what finalizers kept
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Allocations is the mean number of allocations of a call, over so many calls.
func Allocations(calls int, f func()) float64 {
	f() // what is allocated once
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range calls {
		f()
	}
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / float64(calls)
}
