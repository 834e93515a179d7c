package message

import (
	"testing"
	"time"

	"craneglade/internal/bodies"
	"craneglade/internal/engine"
	"craneglade/internal/settings"
)

// The longest body that is taken follows from the memory, and settings of our own go before.
func TestLongestBodies(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name         string
		memoryMB     int
		own          *settings.Bodies
		most         int64 // of a class without settings
		answer, held int64
	}{
		{"any memory", 0, nil, LongestBody, LongestBody, LongestBody},
		{"64 MB", 64, nil, LongestBody, LongestBody, LongestBody},
		{"16 MB", 16, nil, 512 << 10, 512 << 10, 512 << 10},
		{"1 MB", 1, nil, UsualBody, UsualBody, UsualBody},
		{"bodies with less", 64, &settings.Bodies{Memory: 1 << 20}, 128 << 10, 128 << 10, 128 << 10},
		{"longer answers", 64, &settings.Bodies{Answer: 8 << 20}, LongestBody, 8 << 20, UsualBody},
		{"usual answers", 64, &settings.Bodies{Answer: UsualBody}, LongestBody, UsualBody, UsualBody},
	} {
		s, err := NewStore(c.memoryMB, c.own, engine.NewClock())
		if err != nil {
			t.Fatal(err)
		}
		if s.Most("any") != c.most || s.Answer != c.answer || s.heldAnswer != c.held {
			t.Errorf("%s: bodies of %d bytes, answers of %d, held up to %d; want %d, %d, %d", c.name, s.Most("any"), s.Answer, s.heldAnswer, c.most, c.answer, c.held)
		}
		s.Stop()
	}
	s, err := NewStore(64, &settings.Bodies{Classes: []settings.Class{{Name: "usual", Most: UsualBody, Memory: UsualBody}}}, engine.NewClock())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	if s.Most("usual") != UsualBody || !s.HasOwn("usual") || s.Most("any") != LongestBody || s.HasOwn("any") {
		t.Errorf("a class with settings has %d, another %d", s.Most("usual"), s.Most("any"))
	}
}

// An answer whose length nobody told grows in steps up to the longest, for as long as there is room, and gives back once.
func TestRoomOfAnAnswer(t *testing.T) {
	t.Parallel()
	s, err := NewStore(16, nil, engine.NewClock())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	a := s.AnswerRoom()
	for _, step := range []struct{ limit, want int64 }{{UsualBody, 128 << 10}, {128 << 10, 256 << 10}, {256 << 10, 512 << 10}, {512 << 10, 512 << 10}} {
		if got := a.Extend(step.limit); got != step.want || s.Held() != step.want {
			t.Errorf("from %d to %d, with %d held; want %d", step.limit, got, s.Held(), step.want)
		}
	}
	if a.Take(512<<10+1) || s.Held() != 512<<10 {
		t.Error("beyond the longest")
	}
	s.SetLimits(bodies.Limits{Memory: 300 << 10, Heads: 0})
	b := s.AnswerRoom()
	if got := b.Extend(UsualBody); got != 128<<10 {
		t.Errorf("%d", got)
	}
	if got := b.Extend(128 << 10); got != 128<<10 || s.Held() != 128<<10 {
		t.Errorf("without room it may have %d, and %d are held", got, s.Held())
	}
	b.Free()
	b.Free()
	if s.Held() != 0 {
		t.Errorf("%d bytes are held by nobody", s.Held())
	}
}

func TestLongTime(t *testing.T) {
	t.Parallel()
	for size, want := range map[int64]time.Duration{0: 0, UsualBody: 0, 256 << 10: 250 * time.Millisecond, longRate: time.Second} {
		if got := LongTime(size); got != want {
			t.Errorf("%d bytes: %v, want %v", size, got, want)
		}
	}
}
