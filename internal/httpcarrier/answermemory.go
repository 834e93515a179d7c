package httpcarrier

import (
	"context"
	"errors"
	"io"

	"craneglade/internal/message"
)

// initialAnswerBytes is the first size of the buffer for an answer of unknown length. Most answers fit.
const initialAnswerBytes = 4 << 10

// errAnswerTooLarge reports an answer of unknown length that exceeds message.MaxBodyBytes.
var errAnswerTooLarge = errors.New("body too large")

// answerMemory is the memory of one answer: reserved in the budget of requests and answers, or one of the slots that the node keeps for
// answers of unknown length when that is used up. It is held until the answer is written to the client.
type answerMemory struct {
	store    *message.Store
	slots    chan struct{}
	reserved int64 // bytes
	hasSlot  bool
}

// reserve reserves the memory for an answer of size bytes and reports whether it was available.
func (m *answerMemory) reserve(size int64) bool {
	if !m.store.Reserve(size) {
		return false
	}
	m.reserved += size
	return true
}

// grow provides memory for size bytes of an answer of unknown length. Where the budget has none, it waits for a slot until ctx ends,
// and reports whether it has waited.
func (m *answerMemory) grow(ctx context.Context, size int64) (waited bool, err error) {
	if m.hasSlot || m.reserve(size-m.reserved) {
		return false, nil
	}
	select {
	case m.slots <- struct{}{}:
	case <-ctx.Done():
		return true, context.Cause(ctx)
	}
	m.hasSlot = true
	m.store.Release(m.reserved)
	m.reserved = 0
	return true, nil
}

// release returns the memory. It may be called repeatedly.
func (m *answerMemory) release() {
	if m.reserved > 0 {
		m.store.Release(m.reserved)
		m.reserved = 0
	}
	if m.hasSlot {
		<-m.slots
		m.hasSlot = false
	}
}

// readAll reads an answer of unknown length. afterWait is called when it goes on after a wait for memory.
func (m *answerMemory) readAll(ctx context.Context, in io.Reader, afterWait func() error) ([]byte, error) {
	var text []byte
	for {
		if len(text) == cap(text) {
			size := max(initialAnswerBytes, 2*cap(text))
			if len(text) > message.MaxBodyBytes {
				return nil, errAnswerTooLarge
			}
			waited, err := m.grow(ctx, int64(size))
			if err == nil && waited {
				err = afterWait()
			}
			if err != nil {
				return nil, err
			}
			text = append(make([]byte, 0, size), text...)
		}
		n, err := in.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		switch {
		case len(text) > message.MaxBodyBytes:
			return nil, errAnswerTooLarge
		case err == io.EOF:
			return text, nil
		case err != nil:
			return nil, err
		}
	}
}
