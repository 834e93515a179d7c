package controlnet

import "sync"

// queue holds encoded messages to be written to a session, up to a number of bytes.
type queue struct {
	maxBytes int
	ready    chan struct{} // holds a token if there may be a message

	mu       sync.Mutex
	messages [][]byte
	bytes    int
}

func newQueue(maxBytes int) *queue {
	return &queue{maxBytes: maxBytes, ready: make(chan struct{}, 1)}
}

// push appends a message and reports whether it fitted. An empty queue takes one message of any size.
func (q *queue) push(message []byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.messages) > 0 && q.bytes+len(message) > q.maxBytes {
		return false
	}
	q.messages = append(q.messages, message)
	q.bytes += len(message)
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return true
}

// pop removes and returns the oldest message, if there is one.
func (q *queue) pop() ([]byte, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.messages) == 0 {
		return nil, false
	}
	message := q.messages[0]
	q.messages[0] = nil
	q.messages = q.messages[1:]
	q.bytes -= len(message)
	return message, true
}
