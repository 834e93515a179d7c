package health

import "testing"

func half() float64 { return 0.5 }

// Three attempts without a connection cause an ejection of 1 s, doubled each time up to 8 s; two answers to attempts in
// flight end it.
func TestEjection(t *testing.T) {
	var r Record
	now, n := 10.0, 0
	for !r.Failed(now, UnreachableDecayAttempts, half) {
		n++
	}
	if n != 2 || r.Ejected != now+FirstEjectionSeconds || !r.Trial {
		t.Fatalf("ejected after %d failures, until %.2f", n+1, r.Ejected)
	}
	if r.Failed(now+0.5, UnreachableDecayAttempts, half) {
		t.Error("ejected again during an ejection")
	}
	for _, want := range []float64{2, 4, 8, 8} {
		now = r.Ejected
		if !r.Failed(now, UnreachableDecayAttempts, half) || r.Ejected != now+want {
			t.Errorf("after a failed trial it is ejected for %.2f s, want %.0f", r.Ejected-now, want)
		}
	}
	if r.Answered(now) {
		t.Error("one answer ended the ejection")
	}
	if !r.Answered(now) || r.Trial || r.Ejected > now || r.Ejections != 0 {
		t.Errorf("after two answers: %+v", r)
	}
}

// One failure in three causes no ejection.
func TestOneFailureInThreeDoesNotEject(t *testing.T) {
	var r Record
	for i := range 1000 {
		if i%3 == 0 && r.Failed(float64(i), DecayAttempts, half) {
			t.Fatalf("ejected after %d attempts, at %.2f failures", i, r.Bad)
		} else if i%3 > 0 {
			r.Answered(float64(i))
		}
	}
}
