package cold

import (
	"testing"
	"time"
)

// With a correct clock, starts are as listed; one that lies slightly in the future counts as now.
func TestStartsWithCorrectClock(t *testing.T) {
	t.Parallel()
	const now = 1000 * time.Hour
	var s Starts
	for _, c := range []struct {
		name         string
		listed, want time.Duration
		restart      bool
	}{
		{"long ago", 0, 0, false},
		{"a restart that is listed 2 s later", now - 2*time.Second, now - 2*time.Second, true},
		{"a restart that is listed late", now - 30*time.Second, now - 30*time.Second, true},
		{"an old backend that is listed again", now - 10*time.Hour, now - 10*time.Hour, false},
		{"slightly in the future", now + 3*time.Second, now, false},
	} {
		if got := s.At(now, c.listed, c.restart); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// A clock that is an hour ahead or behind is detected by the first start that shows it; later starts are converted correctly.
func TestStartsWithSteppedClock(t *testing.T) {
	t.Parallel()
	for _, ahead := range []time.Duration{time.Hour, -time.Hour} {
		const truth = 1000 * time.Hour
		now := truth + ahead
		var s Starts
		if got := s.At(now, truth-time.Second, true); now-got > 2*time.Second {
			t.Errorf("clock ahead by %v: a backend that has just restarted is %v old", ahead, now-got)
		}
		later := now + 10*time.Second
		got := s.At(later, truth+4*time.Second, false)
		if age := later - got; age < 5*time.Second || age > 8*time.Second {
			t.Errorf("clock ahead by %v: a backend of 6 s is %v old", ahead, age)
		}
	}
}
