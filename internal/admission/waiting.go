package admission

import (
	"container/heap"
	"container/list"
	"time"
)

// WaitQueue holds calls that wait to be opened, in the order in which they came, each with a deadline of its own. The zero value is an
// empty queue.
type WaitQueue[T any] struct {
	order      list.List // of *waiter[T], the first one longest
	byDeadline waiterHeap[T]
}

// waiter is an element of a WaitQueue.
type waiter[T any] struct {
	value     T
	deadline  time.Time
	element   *list.Element // in WaitQueue.order
	heapIndex int           // in WaitQueue.byDeadline
}

// Len returns the number of elements.
func (q *WaitQueue[T]) Len() int { return len(q.byDeadline) }

// Push adds an element at the end.
func (q *WaitQueue[T]) Push(value T, deadline time.Time) {
	w := &waiter[T]{value: value, deadline: deadline}
	w.element = q.order.PushBack(w)
	heap.Push(&q.byDeadline, w)
}

// First returns the element that has waited for longest, and false if there is none.
func (q *WaitQueue[T]) First() (value T, ok bool) {
	first := q.order.Front()
	if first == nil {
		return value, false
	}
	return first.Value.(*waiter[T]).value, true
}

// RemoveFirst removes the element that has waited for longest. The queue must not be empty.
func (q *WaitQueue[T]) RemoveFirst() { q.remove(q.order.Front().Value.(*waiter[T])) }

// RemoveExpired removes an element whose deadline is not after now and returns it, the earliest deadline first. It returns false if
// there is none.
func (q *WaitQueue[T]) RemoveExpired(now time.Time) (value T, ok bool) {
	deadline, ok := q.NextDeadline()
	if !ok || deadline.After(now) {
		return value, false
	}
	w := q.byDeadline[0]
	q.remove(w)
	return w.value, true
}

// NextDeadline returns the earliest deadline, and false if the queue is empty.
func (q *WaitQueue[T]) NextDeadline() (deadline time.Time, ok bool) {
	if q.Len() == 0 {
		return deadline, false
	}
	return q.byDeadline[0].deadline, true
}

func (q *WaitQueue[T]) remove(w *waiter[T]) {
	q.order.Remove(w.element)
	heap.Remove(&q.byDeadline, w.heapIndex)
}

// waiterHeap is a heap of waiters for package container/heap, the earliest deadline first.
type waiterHeap[T any] []*waiter[T]

func (h waiterHeap[T]) Len() int           { return len(h) }
func (h waiterHeap[T]) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }

func (h waiterHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *waiterHeap[T]) Push(x any) {
	w := x.(*waiter[T])
	w.heapIndex = len(*h)
	*h = append(*h, w)
}

func (h *waiterHeap[T]) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return w
}
