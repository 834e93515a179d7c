package httpcarrier

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"craneglade/internal/bodies"
	"craneglade/internal/engine"
	"craneglade/internal/message"
)

// newAnswerStore returns a store with size bytes for answers.
func newAnswerStore(t *testing.T, size int64) *message.Store {
	t.Helper()
	s, err := message.NewStore(0, nil, engine.NewClock())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	s.SetLimits(bodies.Limits{Heads: size})
	return s
}

// An answer of unknown length is reserved before it is read, and returned once however often it is released.
func TestAnswerOfUnknownLengthIsReserved(t *testing.T) {
	t.Parallel()
	for _, size := range []int{0, 1, initialAnswerBytes, initialAnswerBytes + 1, message.MaxBodyBytes, message.MaxBodyBytes + 1} {
		store := newAnswerStore(t, 1<<20)
		m := &answerMemory{store: store, slots: make(chan struct{}, 1)}
		most := int64(0)
		in := readFunc(func(p []byte) (int, error) {
			most = max(most, store.Reserved())
			return 0, io.EOF
		})
		sent := bytes.Repeat([]byte("x"), size)
		text, err := m.readAll(t.Context(), io.MultiReader(iotest.OneByteReader(bytes.NewReader(sent)), in), nil)
		if size > message.MaxBodyBytes {
			if !errors.Is(err, errAnswerTooLarge) {
				t.Errorf("%d bytes: %v", size, err)
			}
		} else if err != nil || !bytes.Equal(text, sent) || most < int64(size) {
			t.Errorf("%d bytes: read %d with %d reserved, %v", size, len(text), most, err)
		}
		m.release()
		m.release()
		if store.Reserved() != 0 || len(m.slots) != 0 {
			t.Errorf("%d bytes: %d bytes and %d slots were not returned", size, store.Reserved(), len(m.slots))
		}
	}
}

type readFunc func(p []byte) (int, error)

func (f readFunc) Read(p []byte) (int, error) { return f(p) }

// Where the budget is used up, an answer waits for a slot, and its time starts anew after that. It gives up when its attempt ends.
func TestAnswerOfUnknownLengthWaitsForSlot(t *testing.T) {
	t.Parallel()
	store := newAnswerStore(t, initialAnswerBytes)
	slots := make(chan struct{}, 1)
	long := strings.Repeat("x", message.MaxBodyBytes)
	first, second, third := &answerMemory{store: store, slots: slots}, &answerMemory{store: store, slots: slots}, &answerMemory{store: store, slots: slots}
	waits := 0
	afterWait := func() error { waits++; return nil }
	if text, err := first.readAll(t.Context(), strings.NewReader(long), afterWait); err != nil || string(text) != long || waits != 1 {
		t.Fatalf("read %d bytes after %d waits: %v", len(text), waits, err)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := second.readAll(ended, strings.NewReader(long), afterWait); !errors.Is(err, context.Canceled) {
		t.Errorf("an answer without a slot: %v", err)
	}
	second.release()
	done := make(chan error)
	go func() {
		_, err := third.readAll(t.Context(), strings.NewReader(long), afterWait)
		done <- err
	}()
	first.release()
	if err := <-done; err != nil || !third.hasSlot {
		t.Errorf("no slot after one was returned: %v", err)
	}
	third.release()
	if store.Reserved() != 0 || len(slots) != 0 {
		t.Errorf("%d bytes and %d slots were not returned", store.Reserved(), len(slots))
	}
}
