package admission

import (
	"math"
	"time"
)

// IdleEstimator estimates how long a backend keeps idle connections open. The configured idle timeout is an upper
// bound: many backends close earlier, and a request written to a connection that the backend has closed ends in a reset
// after which it is unknown whether the request ran.
//
// It counts, by how long a connection had been idle before its reuse, the connections that carried another request and
// those that ended without a byte of a response. Resets that are unrelated to idle time hit short-idle connections as
// often as long-idle ones, so only the excess over their rate is attributed to idle time.
type IdleEstimator struct {
	idleTimeout time.Duration  // of the backend, as configured; 0 if unknown
	shared      *IdleEstimator // estimate over all backends, used while this one has too few samples; may be nil
	buckets     [idleBucketCount]idleBucket
	lastHalved  time.Duration
}

type idleBucket struct{ reuses, resets float64 }

const (
	idleBucketCount = 24
	firstBucketEdge = 50 * time.Millisecond // shorter idle times are in bucket 0
	bucketFactor    = 1.5
	minSamples      = 3    // resets, or reuses in a bucket, below which no conclusion is drawn
	priorReuses     = 3    // added to the reuses of each bucket, so that a few resets among few samples prove little
	discardExcess   = 0.3  // excess fraction of resets above which a connection is not kept
	unsafeExcess    = 0.05 // and above which it carries no request that must not be repeated
	defaultSafeIdle = time.Second
	halvingInterval = time.Minute // after which the weight of earlier samples is halved
)

// NewIdleEstimator returns an estimator for a backend with a configured idleTimeout, 0 if unknown. Every sample is also
// recorded in shared, which may be nil.
func NewIdleEstimator(idleTimeout time.Duration, shared *IdleEstimator) *IdleEstimator {
	return &IdleEstimator{idleTimeout: idleTimeout, shared: shared}
}

// bucketEdges holds the lower bound of each bucket.
var bucketEdges = func() (edges [idleBucketCount]time.Duration) {
	for i := 1; i < idleBucketCount; i++ {
		edges[i] = time.Duration(float64(firstBucketEdge) * math.Pow(bucketFactor, float64(i-1)))
	}
	return edges
}()

// bucketIndex returns the bucket that holds an idle time.
func bucketIndex(idle time.Duration) int {
	i := 0
	for i+1 < idleBucketCount && idle >= bucketEdges[i+1] {
		i++
	}
	return i
}

// count adds samples to the bucket of an idle time, after halving the older ones when due.
func (a *IdleEstimator) count(now, idle time.Duration, reuses, resets float64) {
	if a.lastHalved == 0 {
		a.lastHalved = now
	}
	for now-a.lastHalved >= halvingInterval {
		a.lastHalved += halvingInterval
		for i := range a.buckets {
			a.buckets[i].reuses /= 2
			a.buckets[i].resets /= 2
		}
	}
	c := &a.buckets[bucketIndex(idle)]
	c.reuses += reuses
	c.resets += resets
	if a.shared != nil {
		a.shared.count(now, idle, reuses, resets)
	}
}

// RecordReuse records that a connection carried another request after having been idle for the given time.
func (a *IdleEstimator) RecordReuse(now, idle time.Duration) { a.count(now, idle, 1, 0) }

// RecordReset records that a connection ended without a byte of a response after having been idle for the given time.
func (a *IdleEstimator) RecordReset(now, idle time.Duration) { a.count(now, idle, 0, 1) }

// source returns the estimator to use: this backend's own once it has enough resets, otherwise the shared one.
func (a *IdleEstimator) source() *IdleEstimator {
	resets := 0.0
	for _, c := range a.buckets {
		resets += c.resets
	}
	if resets < minSamples && a.shared != nil {
		return a.shared
	}
	return a
}

// firstFailingBucket returns the lowest bucket from which on the fraction of resets exceeds that of the buckets below
// it by more than excess, or idleBucketCount if there is none. It needs at least minResets resets from that bucket on.
func (a *IdleEstimator) firstFailingBucket(excess, minResets float64) int {
	var reuses, resets float64
	for _, c := range a.buckets {
		reuses += c.reuses
		resets += c.resets
	}
	var youngerReuses, youngerResets float64
	for i, c := range a.buckets {
		baseline := youngerResets / (youngerReuses + youngerResets + 5) // the 5 keeps the baseline near 0 while there are few samples
		pooled := c
		if i+1 < idleBucketCount {
			pooled.reuses, pooled.resets = pooled.reuses+a.buckets[i+1].reuses, pooled.resets+a.buckets[i+1].resets
		}
		// Bucket 0 only sets the baseline: its connections were hardly idle.
		if i > 0 && resets >= minResets && c.resets > 0 && pooled.resets/(pooled.reuses+pooled.resets+priorReuses) > baseline+excess && resets/(reuses+resets) > baseline+excess {
			return i
		}
		reuses, resets = reuses-c.reuses, resets-c.resets
		youngerReuses, youngerResets = youngerReuses+c.reuses, youngerResets+c.resets
	}
	return idleBucketCount
}

// MaxIdle returns how long an idle connection is kept: nine tenths of the configured idle timeout, or less where too
// many of the reused connections were reset.
func (a *IdleEstimator) MaxIdle() time.Duration {
	d := time.Duration(math.MaxInt64)
	if a.idleTimeout > 0 {
		d = a.idleTimeout * 9 / 10
	}
	if i := a.source().firstFailingBucket(discardExcess, minSamples); i < idleBucketCount {
		d = min(d, max(bucketEdges[i]*9/10, firstBucketEdge))
	}
	return d
}

// SafeIdle returns how long a connection may have been idle and still carry a request that must not be repeated: one
// second without samples, more as longer-idle connections are reused without a reset, less where they are reset.
func (a *IdleEstimator) SafeIdle() time.Duration {
	s := a.source()
	d := defaultSafeIdle
	for i, c := range s.buckets {
		if c.reuses >= minSamples {
			d = max(d, bucketEdges[i])
		}
	}
	if i := s.firstFailingBucket(unsafeExcess, 1); i < idleBucketCount {
		d = min(d, bucketEdges[i]*9/10)
	}
	return min(d, a.MaxIdle())
}
