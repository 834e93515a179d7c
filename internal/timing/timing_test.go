package timing

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestSleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		begun := time.Now()
		if !Sleep(ctx, time.Minute) || time.Since(begun) != time.Minute {
			t.Errorf("a minute was %v", time.Since(begun))
		}
		if !Sleep(ctx, -time.Second) || time.Since(begun) != time.Minute {
			t.Error("a wait for what is past was none")
		}
		time.AfterFunc(time.Second, cancel)
		if Sleep(ctx, time.Hour) || time.Since(begun) != time.Minute+time.Second {
			t.Errorf("one whose context ended took until %v", time.Since(begun))
		}
		if Sleep(ctx, 0) {
			t.Error("a context that has ended lasts")
		}
	})
}

func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10500*time.Millisecond)
		defer cancel()
		begun, calls := time.Now(), 0
		Every(ctx, time.Second, func() {
			if calls++; time.Since(begun) != time.Duration(calls)*time.Second {
				t.Errorf("call %d at %v", calls, time.Since(begun))
			}
		})
		if calls != 10 {
			t.Errorf("%d calls in ten and a half seconds", calls)
		}
	})
}
