package publisher

import (
	"math"
	"time"

	"craneglade/internal/controlplane/message"
)

// bucket is a token bucket of bytes. A message may be sent while any token is left and may cost more than that: the balance
// then goes negative, so that the mean rate holds whatever the message sizes.
type bucket struct {
	tokens   float64
	rate     float64 // bytes per second
	burst    float64
	filledAt time.Duration
}

func newBucket(rate, burst float64) bucket { return bucket{tokens: burst, rate: rate, burst: burst} }

func (b *bucket) fill(now time.Duration) {
	if now > b.filledAt {
		b.tokens = min(b.burst, b.tokens+b.rate*(now-b.filledAt).Seconds())
		b.filledAt = now
	}
}

func (b *bucket) ready() bool { return b.tokens > 0 }

func (b *bucket) spend(bytes int) { b.tokens -= float64(bytes) }

// readyAt returns the time at which a token is available.
func (b *bucket) readyAt() time.Duration {
	if b.tokens > 0 {
		return b.filledAt
	}
	return b.filledAt + time.Duration(math.Ceil((1-b.tokens)/b.rate*float64(time.Second)))
}

// queue is a FIFO queue. Its zero value is empty and ready to use.
type queue[T any] struct {
	items []T
	head  int
}

func (q *queue[T]) len() int { return len(q.items) - q.head }

func (q *queue[T]) push(item T) {
	if q.head > len(q.items)/2 {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items, q.head = q.items[:n], 0
	}
	q.items = append(q.items, item)
}

func (q *queue[T]) first() (item T, ok bool) {
	if q.len() == 0 {
		return item, false
	}
	return q.items[q.head], true
}

func (q *queue[T]) pop() T {
	var zero T
	item := q.items[q.head]
	q.items[q.head] = zero
	q.head++
	return item
}

const messageOverheadBytes = 48 // approximate size of a message without its resources

// EstimateSize returns the approximate size of a message on the wire in bytes.
func EstimateSize(m message.Message) int {
	size := messageOverheadBytes + len(m.RegionName())
	switch m := m.(type) {
	case *message.Delta:
		for i := range m.Changes {
			size += m.Changes[i].Size()
		}
	case *message.SnapshotPart:
		for i := range m.Resources {
			size += m.Resources[i].Size()
		}
	}
	return size
}
