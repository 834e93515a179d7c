package arrival

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Bytes count from the first observation of them, also those that were observed together with later ones.
func TestAtIsFirstObservation(t *testing.T) {
	t.Parallel()
	var l Log
	l.Observe(10*time.Millisecond, 100)
	l.Observe(20*time.Millisecond, 100)
	l.Observe(30*time.Millisecond, 250)
	l.Observe(5*time.Millisecond, 300) // a coarse clock may go back
	for _, c := range []struct {
		count int64
		want  time.Duration
		known bool
	}{{1, 10 * time.Millisecond, true}, {100, 10 * time.Millisecond, true}, {101, 30 * time.Millisecond, true}, {250, 30 * time.Millisecond, true},
		{300, 30 * time.Millisecond, true}, {301, 0, false}} {
		if at, ok := l.At(c.count); at != c.want || ok != c.known {
			t.Errorf("%d bytes: %v, %v", c.count, at, ok)
		}
	}
	l.Forget(101)
	if at, ok := l.At(101); at != 30*time.Millisecond || !ok {
		t.Errorf("after Forget: %v, %v", at, ok)
	}
	l.Forget(301)
	if l.Observe(40*time.Millisecond, 300); l.Total() != 300 || len(l.observations) != 0 {
		t.Errorf("%d bytes, %v after all was forgotten and nothing has come", l.Total(), l.observations)
	}
}

// No byte ever counts from before it arrived, or from after an observation that followed it, but for what the bound on memory takes: then
// the error is at most the longest of the shortest gaps, which many observations in a given time can't exceed.
func TestAtIsBetweenArrivalAndObservation(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var l Log
		var arrived, observed []time.Duration // by byte
		now, read := time.Duration(0), int64(1)
		steps := rapid.IntRange(1, 3*maxObservations).Draw(t, "steps")
		for range steps {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "gap")) * time.Millisecond
			for range rapid.IntRange(0, 3).Draw(t, "bytes") {
				arrived = append(arrived, now)
			}
			if rapid.Bool().Draw(t, "observed") {
				l.Observe(now, int64(len(arrived)))
				for len(observed) < len(arrived) {
					observed = append(observed, now)
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "read") == 0 && len(observed) > 0 {
				read = max(read, int64(rapid.IntRange(1, len(observed)).Draw(t, "count")))
				l.Forget(read)
			}
		}
		allowed := time.Duration(0)
		if steps > maxObservations {
			allowed = 2 * now / maxObservations
		}
		for count := read; count <= int64(len(observed)); count++ {
			at, ok := l.At(count)
			if !ok || at < arrived[count-1] || at > observed[count-1]+allowed {
				t.Fatalf("byte %d arrived at %v and was observed at %v, counts from %v, %v", count, arrived[count-1], observed[count-1], at, ok)
			}
		}
		if len(l.observations) > maxObservations {
			t.Fatalf("%d observations are kept", len(l.observations))
		}
	})
}
