package roster

import (
	"testing"
	"time"
)

func member(number int, life uint64, site string) Member {
	return Member{Name: string(rune('a' + number)), Number: number, Incarnation: life, Site: site}
}

func TestCountsAreBounds(t *testing.T) {
	r := New(member(0, 1, "north"), 5, time.Second)
	if c := r.Count(0); c != (Count{1, 5, 0}) {
		t.Errorf("alone: %+v", c)
	}
	r.Update(member(1, 1, "north"), 0)
	r.Update(member(2, 1, "south"), 500*time.Millisecond)
	if c := r.Count(time.Second); c != (Count{3, 5, time.Second}) {
		t.Errorf("two were heard: %+v", c)
	}
	// One that says nothing for long may be there, and is not surely so.
	if c := r.Count(1200 * time.Millisecond); c.Lower != 2 || c.Upper != 5 {
		t.Errorf("one is silent: %+v", c)
	}
	if m := r.Members(1200 * time.Millisecond); m[0].State != Suspected || m[1].State != Alive {
		t.Errorf("they stand as %v and %v", m[0].State, m[1].State)
	}
	r.RecordContact(1, 1, 1100*time.Millisecond)
	r.SetState(2, 1, Left)
	if s := r.Sites(1200 * time.Millisecond); s["north"] != (Count{2, 2, 100 * time.Millisecond}) || s["south"] != (Count{}) {
		t.Errorf("by site: %+v", s)
	}
	r.Update(member(7, 1, "south"), 0) // the settings of another node count it
	if c := r.Count(1200 * time.Millisecond); c.Upper != 6 {
		t.Errorf("with one beyond the settings: %+v", c)
	}
}

func TestLives(t *testing.T) {
	r := New(member(0, 5, "north"), 3, time.Second)
	steps := []struct {
		name string
		m    Member
		at   time.Duration
		want UpdateResult
	}{
		{"first", member(1, 7, "north"), 0, Joined},
		{"once more", member(1, 7, "north"), 1, Unchanged},
		{"a life before", member(1, 6, "north"), 2, Stale},
		{"a later life", member(1, 9, "south"), 3, Restarted},
		{"the one before it", member(1, 7, "north"), 4, Stale},
		{"its own number, an earlier life", member(0, 4, "north"), 5, Stale},
		{"its own number, a later life", member(0, 6, "north"), 5, Conflict},
		{"another under a number that is taken", Member{Name: "z", Number: 1, Incarnation: 10}, 6, Conflict},
		{"another once that one is silent", Member{Name: "z", Number: 1, Incarnation: 10}, 2 * time.Second, Restarted},
	}
	for _, s := range steps {
		if got := r.Update(s.m, s.at); got != s.want {
			t.Errorf("%s: %v, want %v", s.name, got, s.want)
		}
	}
	if r.Accepts(1, 9) || !r.Accepts(1, 10) || r.Accepts(0, 9) || !r.Accepts(2, 1) {
		t.Error("an old life is believed, or a present one is not")
	}
	if r.SetState(1, 9, Dead) || !r.SetState(1, 10, Dead) || r.SetState(1, 10, Dead) {
		t.Error("standing is set for the wrong life")
	}
	if got := r.Update(Member{Name: "z", Number: 1, Incarnation: 10}, 3*time.Second); got != Joined {
		t.Errorf("one that was dead and speaks: %v", got)
	}
	if m, ok := r.Get(1); !ok || m.State != Alive || len(r.Members(0)) != 1 {
		t.Errorf("%+v, %v", m, ok)
	}
}

// A later life that is heard of before it has joined anew is there, and an earlier one's words count no more.
func TestALaterLifeIsHeardOf(t *testing.T) {
	r := New(Member{Name: "n0", Incarnation: 1}, 3, 10*time.Second)
	r.Update(Member{Name: "n1", Number: 1, Incarnation: 5}, 0)
	r.SetState(1, 5, Dead)
	if r.RecordContact(1, 4, time.Second) || r.Count(time.Second).Lower != 1 {
		t.Error("an earlier life's word counts")
	}
	if !r.RecordContact(1, 7, 2*time.Second) || r.RecordContact(1, 7, 3*time.Second) {
		t.Error("a later life is not new once")
	}
	if c := r.Count(12 * time.Second); c.Lower != 2 {
		t.Errorf("surely %d, want 2", c.Lower)
	}
	if r.Accepts(1, 5) {
		t.Error("the earlier life is believed")
	}
	if v := r.Update(Member{Name: "n1", Number: 1, Incarnation: 7}, 4*time.Second); v != Unchanged {
		t.Errorf("when it joins: %v", v)
	}
	if r.RecordContact(2, 1, time.Second) {
		t.Error("a node that nobody knows is heard")
	}
}
