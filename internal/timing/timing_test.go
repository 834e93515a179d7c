package timing

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestSleepEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		started := time.Now()
		if !Sleep(ctx, time.Minute) || time.Since(started) != time.Minute {
			t.Errorf("a minute was %v", time.Since(started))
		}
		if !Sleep(ctx, -time.Second) || time.Since(started) != time.Minute {
			t.Error("a negative wait took time or ended the context")
		}
		time.AfterFunc(time.Second, cancel)
		if Sleep(ctx, time.Hour) || time.Since(started) != time.Minute+time.Second {
			t.Errorf("a wait whose context ended took until %v", time.Since(started))
		}
		if Sleep(ctx, 0) {
			t.Error("Sleep reported an ended context as active")
		}
	})
}

func TestEveryInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10500*time.Millisecond)
		defer cancel()
		started, calls := time.Now(), 0
		Every(ctx, time.Second, func() {
			if calls++; time.Since(started) != time.Duration(calls)*time.Second {
				t.Errorf("call %d at %v", calls, time.Since(started))
			}
		})
		if calls != 10 {
			t.Errorf("%d calls in 10.5 s, want 10", calls)
		}
	})
}
