package publisher

import (
	"math"
	"time"

	"craneglade/internal/controlplane/message"
)

// bucket is a token bucket of bytes. A message is sent while there is any token, and may take more than there are: the
// bucket is in debt then, so that the mean rate holds whatever the sizes.
type bucket struct {
	tokens   float64
	rate     float64 // a second
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

// readyAt is when there will be a token.
func (b *bucket) readyAt() time.Duration {
	if b.tokens > 0 {
		return b.filledAt
	}
	return b.filledAt + time.Duration(math.Ceil((1-b.tokens)/b.rate*float64(time.Second)))
}

// queue is first in, first out. Its zero value is empty.
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
	var none T
	item := q.items[q.head]
	q.items[q.head] = none
	q.head++
	return item
}

const fixedBytes = 48 // of a message without its resources, about

// EstimateSize is about the bytes of a message on the wire.
func EstimateSize(m message.Message) int {
	size := fixedBytes + len(m.RegionName())
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
