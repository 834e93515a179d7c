package admission

import (
	"testing"
	"time"
)

// However many connections are busy, they get their share of the processor together, each in its turn; time that none has used is not
// saved.
func TestWorkShareIsDividedAmongBusyConnections(t *testing.T) {
	t.Parallel()
	const slice, duration = time.Millisecond, 10 * time.Second
	for _, processors := range []float64{0.25, 1, 4} {
		for _, busy := range []int{1, 6, 384} {
			s := NewWorkShare(processors)
			turns := make([]time.Duration, busy) // when each may begin its next slice
			worked := make([]time.Duration, busy)
			for i := range turns {
				turns[i] = time.Minute // nobody was busy until then
			}
			for {
				next := 0
				for i := range turns {
					if turns[i] < turns[next] {
						next = i
					}
				}
				now := turns[next] + slice
				if now > time.Minute+duration {
					break
				}
				worked[next] += slice
				turns[next] = s.Reserve(now, slice)
			}
			total, least, most := time.Duration(0), worked[0], worked[0]
			for _, w := range worked {
				total, least, most = total+w, min(least, w), max(most, w)
			}
			want := time.Duration(busyShare * processors * float64(duration))
			if first := time.Duration(busy) * slice; total > want+first || total < want-first {
				t.Errorf("%v processors, %d busy: %v of %v worked, want %v", processors, busy, total, duration, want)
			}
			if most-least > slice {
				t.Errorf("%v processors, %d busy: one worked for %v, another for %v", processors, busy, most, least)
			}
		}
	}
}
