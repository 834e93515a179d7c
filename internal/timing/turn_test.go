package timing

import (
	"testing"
	"time"
)

// Work that fills a slice delays what follows by the shared turns. A long time counts as little.
func TestTurnPausesAfterSlice(t *testing.T) {
	t.Parallel()
	turn := NewTurn(NewSharedWork(1))
	turn.Account(time.Hour)
	if !turn.Next().IsZero() {
		t.Errorf("one long wait counts as a slice of work: %v", turn.Next())
	}
	before := time.Now()
	for range fairSlice / maxRequestWork {
		turn.Account(maxRequestWork)
	}
	if !turn.Next().After(before) {
		t.Errorf("no pause after a slice of work: %v", turn.Next())
	}
	var free Turn
	for range 10 * fairSlice / maxRequestWork {
		free.Account(maxRequestWork)
	}
	if free.Next().After(time.Now()) {
		t.Error("a pause without shared work")
	}
}
