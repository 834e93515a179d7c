package health

import "testing"

func half() float64 { return 0.5 }

// Three that nobody answers leave it out, a second at first, twice as long each time, eight at the most; two answers of
// what was on its way bring it back.
func TestEjection(t *testing.T) {
	var r Record
	now, n := 10.0, 0
	for !r.Failed(now, UnreachableDecayAttempts, half) {
		n++
	}
	if n != 2 || r.Ejected != now+FirstEjectionSeconds || !r.Trial {
		t.Fatalf("out after %d failures, until %.2f", n+1, r.Ejected)
	}
	if r.Failed(now+0.5, UnreachableDecayAttempts, half) {
		t.Error("what is out was left out again")
	}
	for _, want := range []float64{2, 4, 8, 8} {
		now = r.Ejected
		if !r.Failed(now, UnreachableDecayAttempts, half) || r.Ejected != now+want {
			t.Errorf("at the next trial it is out for %.2f, want %.0f", r.Ejected-now, want)
		}
	}
	if r.Answered(now) {
		t.Error("one answer is enough")
	}
	if !r.Answered(now) || r.Trial || r.Ejected > now || r.Ejections != 0 {
		t.Errorf("after two answers: %+v", r)
	}
}

// One failure in three leaves nothing out.
func TestOneFailureInThreeDoesNotEject(t *testing.T) {
	var r Record
	for i := range 1000 {
		if i%3 == 0 && r.Failed(float64(i), DecayAttempts, half) {
			t.Fatalf("out after %d attempts, %.2f bad", i, r.Bad)
		} else if i%3 > 0 {
			r.Answered(float64(i))
		}
	}
}
