package boxmodel

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func testSpec() Spec {
	return Spec{Cores: 4, Speed: 1, Slots: 4, Queue: 10, ColdFrom: 1, CancelQueued: true}
}

// advance advances a backend and returns the requests that have ended.
func advance(b *Backend, at time.Duration) []Result {
	b.Advance(at)
	r, _ := b.TakeResults()
	return r
}

func wantEnded(t *testing.T, got []Result, ids ...uint64) {
	t.Helper()
	if len(got) != len(ids) {
		t.Fatalf("ended: %+v, want %v", got, ids)
	}
	for i, r := range got {
		if r.ID != ids[i] {
			t.Fatalf("ended: %+v, want %v", got, ids)
		}
	}
}

func TestServiceTime(t *testing.T) {
	b := New(testSpec(), 1, 0)
	for i := range 6 { // four run, two wait
		b.Arrive(0, Job{ID: uint64(i), Work: 0.1})
	}
	wantEnded(t, advance(b, 99*ms))
	wantEnded(t, advance(b, 101*ms), 0, 1, 2, 3)
	got := advance(b, 300*ms)
	wantEnded(t, got, 4, 5)
	if d := got[0].At - 200*ms; d.Abs() > ms {
		t.Errorf("the fifth ended at %v, want 200ms", got[0].At)
	}
}

func TestSpeedAndSlowdown(t *testing.T) {
	s := testSpec()
	s.Speed = 0.5
	b := New(s, 1, 0)
	b.Arrive(0, Job{ID: 1, Work: 0.1})
	wantEnded(t, advance(b, 199*ms))
	wantEnded(t, advance(b, 201*ms), 1)
	b.SetSlowdown(300*ms, 2.5)
	b.Arrive(300*ms, Job{ID: 2, Work: 0.1})
	wantEnded(t, advance(b, 795*ms))
	wantEnded(t, advance(b, 805*ms), 2)
	b.SetSlowdown(900*ms, 1)
	_, changes := b.TakeResults()
	if len(changes) != 1 || changes[0].Kind != BecameNormal {
		t.Errorf("changes: %+v", changes)
	}
}

func TestQueueFullAndCancel(t *testing.T) {
	b := New(testSpec(), 1, 0)
	for i := range 15 {
		b.Arrive(0, Job{ID: uint64(i), Work: 1})
	}
	got := advance(b, ms)
	wantEnded(t, got, 14)
	if got[0].Outcome != QueueFull {
		t.Errorf("the fifteenth: %v, want QueueFull", got[0].Outcome)
	}
	b.Cancel(2*ms, 10) // waits: cancelled
	b.Cancel(2*ms, 0)  // runs: not cancelled, as CancelRuns is not set
	got = advance(b, 3*ms)
	wantEnded(t, got, 10)
	if got[0].Outcome != Cancelled || b.InFlight() != 13 {
		t.Errorf("%+v, %d in flight", got, b.InFlight())
	}
}

func TestExpiredWhileWaiting(t *testing.T) {
	s := testSpec()
	s.DropsExpired = true
	b := New(s, 1, 0)
	for i := range 4 {
		b.Arrive(0, Job{ID: uint64(i), Work: 0.2})
	}
	b.Arrive(0, Job{ID: 9, Work: 0.2, Deadline: 150 * ms})
	for _, r := range advance(b, time.Second) {
		if (r.ID == 9) != (r.Outcome == Expired) {
			t.Errorf("%+v", r)
		}
	}
}

func TestWarmsByTime(t *testing.T) {
	s := testSpec()
	s.ColdFrom, s.Cold = 0.4, 6*time.Second
	b := New(s, 1, time.Second)
	for _, x := range []struct {
		at   time.Duration
		want float64
	}{{time.Second, 1.6}, {4 * time.Second, 2.8}, {8 * time.Second, 4}} {
		b.Advance(x.at)
		if got := b.Capacity(); math.Abs(got-x.want) > 0.05 {
			t.Errorf("capacity at %v: %.2f, want %.2f", x.at, got, x.want)
		}
	}
	if _, c := b.TakeResults(); len(c) != 1 || c[0].Kind != BecameWarm {
		t.Errorf("changes: %+v", c)
	}
}

func TestWarmsFasterWithWork(t *testing.T) {
	s := testSpec()
	s.ColdFrom, s.Cold, s.WarmByWork = 0.4, 6*time.Second, true
	idle, busy := New(s, 1, 0), New(s, 1, 0)
	for i := range 14 {
		busy.Arrive(0, Job{ID: uint64(i), Work: 1})
	}
	idle.Advance(2 * time.Second)
	busy.Advance(2 * time.Second)
	if busy.Capacity() <= idle.Capacity() {
		t.Errorf("capacity busy %.2f, idle %.2f", busy.Capacity(), idle.Capacity())
	}
}

// An overloaded backend becomes slow, stays slow while it is busy, and recovers only after Choke.Rest.
func TestOverloadSlowdownAndRecovery(t *testing.T) {
	s := testSpec()
	s.Queue = 1000
	s.Choke = Choke{At: 4, Over: 1500 * ms, Slower: 2.5, Below: 0.3, Rest: 2 * time.Second, Most: 20 * time.Second}
	b := New(s, 1, 0)
	var slow, normal time.Duration
	n := uint64(0)
	for at := time.Duration(0); at < 20*time.Second; at += 10 * ms {
		if at < 4*time.Second { // 100 per second with 60 ms of work each load 4 cores with the work of 6
			n++
			b.Arrive(at, Job{ID: n, Work: 0.06})
		}
		b.Advance(at)
		_, changes := b.TakeResults()
		for _, c := range changes {
			switch c.Kind {
			case BecameSlow:
				slow = c.At
			case BecameNormal:
				normal = c.At
			}
		}
	}
	if slow == 0 || slow > 4*time.Second {
		t.Fatalf("became slow at %v", slow)
	}
	if normal < slow+2*time.Second {
		t.Errorf("slow at %v, normal at %v: earlier than after Choke.Rest", slow, normal)
	}
}

func TestPausesStopWork(t *testing.T) {
	s := testSpec()
	s.PauseEvery, s.Pause = 50*ms, 100*ms
	b := New(s, 3, 0)
	b.Arrive(0, Job{ID: 1, Work: 1})
	got := advance(b, 10*time.Second)
	wantEnded(t, got, 1)
	if got[0].At < 1500*ms {
		t.Errorf("1 s of work with pauses two thirds of the time took %v", got[0].At)
	}
}

func TestColdBackendCollapses(t *testing.T) {
	s := testSpec()
	s.ColdFrom, s.Cold, s.Queue, s.Fall = 0.4, 8*time.Second, 10000, Fall{4, 1500 * ms}
	b := New(s, 1, 0)
	collapsedAt := time.Duration(0)
	for i := 0; i < 1000 && collapsedAt == 0; i++ { // 20 core-seconds per second, on a capacity of 1.6 cores
		at := time.Duration(i) * 5 * ms
		b.Arrive(at, Job{ID: uint64(i), Work: 0.1})
		_, changes := b.TakeResults()
		for _, c := range changes {
			if c.Kind == Collapsed {
				collapsedAt = c.At
			}
		}
	}
	if collapsedAt == 0 || !b.Down() {
		t.Fatal("no collapse under an overload that must cause one")
	}
	b.Arrive(collapsedAt+ms, Job{ID: 5000, Work: 0.1})
	got, _ := b.TakeResults()
	wantEnded(t, got, 5000)
	if got[0].Outcome != Lost {
		t.Errorf("a request after the collapse: %+v", got)
	}
}

func TestBudgetCountsEveryWindow(t *testing.T) {
	b := NewBudget(4, 1500*ms)
	b.SetCapacity(0, 1) // 6 core-seconds per window
	for i := range 60 {
		if e := b.AddTagged(time.Duration(i)*25*ms, 0.1, i%4 != 0, i); e != nil { // 4 core-seconds per second
			t.Fatalf("a stream within the budget is reported: %+v", e)
		}
	}
	// A burst within the same window uses up the rest of the budget.
	var e *Excess
	for i := 0; i < 200 && e == nil; i++ {
		e = b.AddTagged(1500*ms, 0.1, true, 1000+i)
	}
	if e == nil {
		t.Fatal("the burst is not reported")
	}
	if e.Sent <= 6 || e.Budget < 6 || e.To != 1500*ms || e.NotifiedFraction < 0.7 || e.NotifiedFraction == 1 || len(e.Tags) < 60 {
		t.Errorf("%+v", e)
	}
	if e := b.AddTagged(4*time.Second, 0.1, true, 0); e != nil {
		t.Errorf("a send after the window is reported: %+v", e)
	}
}

// For random specs and calls: each request ends exactly once, none ends that never arrived, and the same calls give the
// same results.
func TestEveryRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Spec{Cores: rapid.IntRange(1, 8).Draw(t, "cores"), Speed: rapid.Float64Range(0.3, 2).Draw(t, "speed"),
			Slots: rapid.IntRange(1, 16).Draw(t, "slots"), Queue: rapid.IntRange(0, 20).Draw(t, "queue"), Thrash: 0.5, ThrashAt: 2,
			ColdFrom: rapid.Float64Range(0.1, 1).Draw(t, "cold"), Cold: 2 * time.Second, WarmByWork: rapid.Bool().Draw(t, "by work"),
			PauseEvery: 300 * ms, Pause: 20 * ms, ErrorRate: 0.1, Noise: 0.3, CancelQueued: true,
			CancelRuns: rapid.Bool().Draw(t, "cancel"), DropsExpired: rapid.Bool().Draw(t, "drops"),
			Choke: Choke{At: 2, Over: 300 * ms, Slower: 2, Below: 0.3, Rest: 200 * ms, Most: time.Second}, Fall: Fall{4, 500 * ms}}
		type op struct {
			what byte
			at   time.Duration
			id   uint64
			work float64
		}
		var ops []op
		at, id := time.Duration(0), uint64(0)
		for range rapid.IntRange(1, 80).Draw(t, "n") {
			at += time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * ms
			switch rapid.IntRange(0, 9).Draw(t, "op") {
			case 0:
				ops = append(ops, op{'c', at, uint64(rapid.IntRange(0, int(id)).Draw(t, "id")), 0})
			case 1:
				ops = append(ops, op{'s', at, 0, rapid.Float64Range(1, 4).Draw(t, "by")})
			default:
				id++
				ops = append(ops, op{'a', at, id, rapid.Float64Range(0.001, 0.3).Draw(t, "work")})
			}
		}
		play := func() []Result {
			b := New(s, 7, 0)
			var all []Result
			for _, o := range ops {
				switch o.what {
				case 'a':
					b.Arrive(o.at, Job{ID: o.id, Work: o.work, Deadline: o.at + 200*ms})
				case 'c':
					b.Cancel(o.at, o.id)
				case 's':
					b.SetSlowdown(o.at, o.work)
				}
				r, _ := b.TakeResults()
				all = append(all, r...)
			}
			b.Advance(at + time.Hour)
			r, _ := b.TakeResults()
			return append(all, r...)
		}
		one, two := play(), play()
		seen := map[uint64]bool{}
		for i, r := range one {
			if seen[r.ID] || r.ID == 0 || r.ID > id {
				t.Fatalf("%d ended twice, or never arrived", r.ID)
			}
			seen[r.ID] = true
			if two[i] != r {
				t.Fatalf("the same calls gave %+v and %+v", r, two[i])
			}
		}
		if len(seen) != int(id) || len(two) != len(one) {
			t.Fatalf("%d arrived, %d ended", id, len(seen))
		}
	})
}

func BenchmarkBackend(b *testing.B) {
	s := testSpec()
	s.Queue = 1000
	x := New(s, 1, 0)
	b.ReportAllocs()
	for i := range b.N {
		x.Arrive(time.Duration(i)*20*ms, Job{ID: uint64(i), Work: 0.07})
		x.TakeResults()
	}
}
