// Package arrival determines when the bytes of a stream arrived on this machine, from observations of how many had arrived at a time.
// What waits in the kernel until it is read can only be observed so. The package does no I/O and reads no clock.
package arrival

import (
	"cmp"
	"slices"
	"time"
)

// maxObservations bounds the memory of a Log. With more, the two that are closest in time become one.
const maxObservations = 128

// observation says that the first total bytes of a stream had arrived at a time.
type observation struct {
	total int64
	at    time.Duration
}

// Log records observations of a stream. Times count from a point that its user chooses. The zero value is an empty Log.
type Log struct {
	observations []observation // ascending in both fields
	total        int64         // of the latest observation, also if it was forgotten
}

// Total returns how many bytes have been observed.
func (l *Log) Total() int64 { return l.total }

// Observe records that the first total bytes of the stream had arrived at a time. It has no effect if as many were observed before.
func (l *Log) Observe(at time.Duration, total int64) {
	if total <= l.total {
		return
	}
	l.total = total
	if n := len(l.observations); n > 0 {
		at = max(at, l.observations[n-1].at)
	}
	if len(l.observations) == maxObservations {
		l.merge()
	}
	l.observations = append(l.observations, observation{total, at})
}

// merge removes the observation that is followed most closely by another one. Its bytes then count as arrived with those of the later one.
func (l *Log) merge() {
	closest := 0
	for i := range l.observations[:len(l.observations)-1] {
		if l.gapAfter(i) < l.gapAfter(closest) {
			closest = i
		}
	}
	l.observations = slices.Delete(l.observations, closest, closest+1)
}

// gapAfter returns the time between an observation and the next one.
func (l *Log) gapAfter(i int) time.Duration { return l.observations[i+1].at - l.observations[i].at }

// At returns a time at which the first count bytes of the stream had arrived: no earlier than the last of them arrived, and no later
// than the first observation of it. It reports false if that was not observed, or was forgotten.
func (l *Log) At(count int64) (at time.Duration, ok bool) {
	i := l.index(count)
	if i == len(l.observations) {
		return 0, false
	}
	return l.observations[i].at, true
}

// Forget drops what is needed only for less than the first count bytes.
func (l *Log) Forget(count int64) {
	l.observations = slices.Delete(l.observations, 0, l.index(count))
}

// index returns the index of the first observation of count bytes.
func (l *Log) index(count int64) int {
	i, _ := slices.BinarySearchFunc(l.observations, count, func(o observation, count int64) int { return cmp.Compare(o.total, count) })
	return i
}
