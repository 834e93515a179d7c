package controlnet

import (
	"testing"
	"time"
)

func TestQueueIsBounded(t *testing.T) {
	q := newQueue(10)
	if _, ok := q.pop(); ok {
		t.Error("popped a message from an empty queue")
	}
	for i, x := range []struct {
		size int
		want bool
	}{{20, true}, {1, false}, {0, false}} {
		if got := q.push(make([]byte, x.size)); got != x.want {
			t.Errorf("push %d of %d bytes: %v", i, x.size, got)
		}
	}
	if m, ok := q.pop(); !ok || len(m) != 20 {
		t.Errorf("popped %d bytes, %v", len(m), ok)
	}
	for i := range 10 {
		if !q.push([]byte{byte(i)}) {
			t.Errorf("push %d was refused", i)
		}
	}
	if q.push([]byte{11}) {
		t.Error("pushed a byte beyond the limit")
	}
	for i := range 10 {
		if m, ok := q.pop(); !ok || m[0] != byte(i) {
			t.Errorf("popped %v, want %d", m, i)
		}
	}
}

func TestPacer(t *testing.T) {
	if wait := (*pacer)(nil).reserve(0, 1<<30); wait != 0 {
		t.Errorf("without a limit it waits %v", wait)
	}
	p := newPacer(1000, 0)
	for i, x := range []struct {
		now   time.Duration
		bytes int
		want  time.Duration
	}{
		{0, 2000, 0},                  // the burst
		{0, 500, 0},                   // overdrawn by one message
		{0, 500, time.Second / 2},     // the next message waits for it
		{time.Second, 1000, 0},        // tokens refilled
		{time.Second, 0, time.Second}, // overdrawn again
		{time.Minute, 2000, 0},        // tokens are limited to the burst
		{time.Minute, 1, 0},
		{time.Minute, 0, time.Millisecond},
		{0, 0, time.Millisecond}, // a clock that steps back adds no tokens
	} {
		if got := p.reserve(x.now, x.bytes); got != x.want {
			t.Errorf("step %d waits %v, want %v", i, got, x.want)
		}
	}
}
