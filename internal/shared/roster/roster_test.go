package roster

import (
	"testing"
	"time"
)

func testMember(number int, incarnation uint64, site string) Member {
	return Member{Name: string(rune('a' + number)), Number: number, Incarnation: incarnation, Site: site}
}

func TestCountBounds(t *testing.T) {
	r := New(testMember(0, 1, "north"), 5, time.Second)
	if c := r.Count(0); c != (Count{1, 5, 0}) {
		t.Errorf("alone: %+v", c)
	}
	r.Update(testMember(1, 1, "north"), 0)
	r.Update(testMember(2, 1, "south"), 500*time.Millisecond)
	if c := r.Count(time.Second); c != (Count{3, 5, time.Second}) {
		t.Errorf("two others were heard from: %+v", c)
	}
	// A member that is silent for long may be alive, and is not confirmed to be.
	if c := r.Count(1200 * time.Millisecond); c.Lower != 2 || c.Upper != 5 {
		t.Errorf("one is stale: %+v", c)
	}
	if m := r.Members(1200 * time.Millisecond); m[0].State != Suspected || m[1].State != Alive {
		t.Errorf("states are %v and %v", m[0].State, m[1].State)
	}
	r.RecordContact(1, 1, 1100*time.Millisecond)
	r.SetState(2, 1, Left)
	if s := r.Sites(1200 * time.Millisecond); s["north"] != (Count{2, 2, 100 * time.Millisecond}) || s["south"] != (Count{}) {
		t.Errorf("by site: %+v", s)
	}
	r.Update(testMember(7, 1, "south"), 0) // another node's settings name it
	if c := r.Count(1200 * time.Millisecond); c.Upper != 6 {
		t.Errorf("with a member that the settings do not name: %+v", c)
	}
}

func TestUpdateByIncarnation(t *testing.T) {
	r := New(testMember(0, 5, "north"), 3, time.Second)
	steps := []struct {
		name string
		m    Member
		at   time.Duration
		want UpdateResult
	}{
		{"first", testMember(1, 7, "north"), 0, Joined},
		{"once more", testMember(1, 7, "north"), 1, Unchanged},
		{"an earlier incarnation", testMember(1, 6, "north"), 2, Stale},
		{"a later incarnation", testMember(1, 9, "south"), 3, Restarted},
		{"the one before it", testMember(1, 7, "north"), 4, Stale},
		{"its own number, an earlier incarnation", testMember(0, 4, "north"), 5, Stale},
		{"its own number, a later incarnation", testMember(0, 6, "north"), 5, Conflict},
		{"another node under a number in use", Member{Name: "z", Number: 1, Incarnation: 10}, 6, Conflict},
		{"another node once that member is stale", Member{Name: "z", Number: 1, Incarnation: 10}, 2 * time.Second, Restarted},
	}
	for _, s := range steps {
		if got := r.Update(s.m, s.at); got != s.want {
			t.Errorf("%s: %v, want %v", s.name, got, s.want)
		}
	}
	if r.Accepts(1, 9) || !r.Accepts(1, 10) || r.Accepts(0, 9) || !r.Accepts(2, 1) {
		t.Error("an earlier incarnation is accepted, or a current one is not")
	}
	if r.SetState(1, 9, Dead) || !r.SetState(1, 10, Dead) || r.SetState(1, 10, Dead) {
		t.Error("the state is set for another incarnation")
	}
	if got := r.Update(Member{Name: "z", Number: 1, Incarnation: 10}, 3*time.Second); got != Joined {
		t.Errorf("a dead member that is heard from: %v", got)
	}
	if m, ok := r.Get(1); !ok || m.State != Alive || len(r.Members(0)) != 1 {
		t.Errorf("%+v, %v", m, ok)
	}
}

// A later incarnation that is heard of before it has joined again is alive, and messages of earlier ones are ignored.
func TestRestartIsNoticedBeforeRejoin(t *testing.T) {
	r := New(Member{Name: "n0", Incarnation: 1}, 3, 10*time.Second)
	r.Update(Member{Name: "n1", Number: 1, Incarnation: 5}, 0)
	r.SetState(1, 5, Dead)
	if r.RecordContact(1, 4, time.Second) || r.Count(time.Second).Lower != 1 {
		t.Error("a message of an earlier incarnation counts")
	}
	if !r.RecordContact(1, 7, 2*time.Second) || r.RecordContact(1, 7, 3*time.Second) {
		t.Error("a later incarnation is not reported exactly once")
	}
	if c := r.Count(12 * time.Second); c.Lower != 2 {
		t.Errorf("%d confirmed alive, want 2", c.Lower)
	}
	if r.Accepts(1, 5) {
		t.Error("the earlier incarnation is accepted")
	}
	if v := r.Update(Member{Name: "n1", Number: 1, Incarnation: 7}, 4*time.Second); v != Unchanged {
		t.Errorf("when it joins again: %v", v)
	}
	if r.RecordContact(2, 1, time.Second) {
		t.Error("a message of an unknown node is reported as a new incarnation")
	}
}
