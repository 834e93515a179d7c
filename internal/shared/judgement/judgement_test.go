package judgement

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const sec = time.Second

// pool is one of a node that knows 16 backends in two sites.
func pool() *Pool {
	p := New(DefaultLimits())
	var list []Backend
	for k := Key(1); k <= 16; k++ {
		list = append(list, Backend{Key: k, Site: []string{"north", "south"}[k%2]})
	}
	p.SetBackends(list)
	return p
}

// say has a member tell of a backend.
func say(p *Pool, number int, k Key, seq uint64, tried, failed float64, at time.Duration) bool {
	fresh, _ := p.Merge(number, 1, k, Observation{seq, tried, failed}, at)
	return fresh
}

func out(p *Pool, at time.Duration) []Key { keys, _ := p.Decide(at); return keys }

func TestAQuorumTakesABackendOut(t *testing.T) {
	p := pool()
	say(p, 1, 3, 1, 4, 4, 0)
	if got := out(p, 0); len(got) > 0 {
		t.Errorf("one node's word takes out %v", got)
	}
	say(p, 2, 3, 1, 4, 4, 0)
	if got := out(p, 0); !slices.Equal(got, []Key{3}) {
		t.Errorf("two nodes' word takes out %v, want 3", got)
	}
	if got := out(p, DefaultLimits().EjectionTime-1); !slices.Equal(got, []Key{3}) {
		t.Errorf("out is %v while it is held", got)
	}
	if got := out(p, 20*sec); len(got) > 0 {
		t.Errorf("out is %v once the evidence has faded", got)
	}
}

func TestMoreThatItAnswersThanThatItFails(t *testing.T) {
	p := pool()
	for n := range 6 {
		say(p, n, 3, 1, 4, float64(n%2)*4, 0)
	}
	if got := out(p, 0); len(got) > 0 {
		t.Errorf("half of the nodes take out %v", got)
	}
}

func TestOwnAnswersGoBeforeHearsay(t *testing.T) {
	p := pool()
	p.RecordAttempt(0, 3, false)
	for n := range 6 {
		say(p, n, 3, 1, 4, 4, 0)
	}
	if got := out(p, sec/2); len(got) > 0 {
		t.Errorf("hearsay takes out %v, which has just answered here", got)
	}
	if got := out(p, 3*sec/2); !slices.Equal(got, []Key{3}) {
		t.Errorf("out is %v once that answer is old", got)
	}
	p.RecordAttempt(8*sec/5, 3, false)
	if got := out(p, 8*sec/5); len(got) > 0 {
		t.Errorf("an answer leaves %v out", got)
	}
}

func TestOwnFailuresCountAsOneVote(t *testing.T) {
	p := pool()
	say(p, 1, 3, 1, 4, 4, 0)
	for range 3 {
		p.RecordAttempt(0, 3, true)
	}
	keys, votes := p.Decide(0)
	if !slices.Equal(keys, []Key{3}) || len(votes) != 1 || votes[0] != (Votes{3, 2, 0, true, true}) {
		t.Errorf("%v, %+v", keys, votes)
	}
}

// A node that finds everything broken, as one does that is cut off or lies, counts nothing where the others answer for it.
func TestALiarCountsNothing(t *testing.T) {
	p := pool()
	for k := Key(1); k <= 16; k++ {
		say(p, 1, k, 1, 5, 5, 0)
		say(p, 2, k, 1, 5, 0, 0)
		if k != 7 {
			say(p, 3, k, 1, 5, 0, 0)
		}
	}
	say(p, 3, 7, 1, 5, 5, 0) // with the liar that would be a quorum, and two against one
	if got := out(p, 0); len(got) > 0 {
		t.Errorf("a liar's word takes out %v", got)
	}
	say(p, 4, 7, 1, 5, 5, 0)
	if got := out(p, 0); !slices.Equal(got, []Key{7}) {
		t.Errorf("honest nodes take out %v, want 7", got)
	}
}

func TestCeilings(t *testing.T) {
	p := pool()
	for k := Key(1); k <= 16; k++ {
		for n := range 3 { // nobody answers for any: everything may be down
			say(p, n, k, 1, 5, 5, 0)
		}
	}
	got := out(p, 0)
	if len(got) != 4 || p.Capped() != 12 {
		t.Errorf("%d of 16 out, %d held back", len(got), p.Capped())
	}
	if again := out(p, sec); !slices.Equal(again, got) {
		t.Errorf("out were %v and are %v: those that are out stay so", got, again)
	}
	p = New(DefaultLimits())
	p.SetBackends([]Backend{{Key: 1, Site: "north"}, {Key: 2, Site: "south"}, {Key: 3, Site: "south"}, {Key: 4, Site: "south"}, {Key: 5, Site: "south"}, {Key: 6, Site: "south"}, {Key: 7, Site: "south"}, {Key: 8, Site: "south"}})
	for n := range 3 {
		say(p, n, 1, 1, 5, 5, 0)
	}
	if got := out(p, 0); len(got) > 0 {
		t.Errorf("the only one of a site is out: %v", got)
	}
}

// The ceilings hold where backends leave the list while others are out, at once and at the next decision.
func TestCeilingsHoldWhenTheListShrinks(t *testing.T) {
	p := pool()
	for k := Key(1); k <= 4; k++ { // a quarter of sixteen
		for n := range 3 {
			say(p, n, k, 1, 4, 4, 0)
		}
	}
	if got := out(p, 0); len(got) != 4 {
		t.Fatalf("out: %v", got)
	}
	var fewer []Backend
	for k := Key(1); k <= 10; k++ {
		fewer = append(fewer, Backend{Key: k, Site: []string{"north", "south"}[k%2]})
	}
	p.SetBackends(fewer)
	left := 0
	for k := Key(1); k <= 4; k++ {
		if p.Ejected(k) {
			left++
		}
	}
	if left != 2 {
		t.Errorf("%d of ten are out, and two are the most", left)
	}
	if got := out(p, 1); len(got) != 2 {
		t.Errorf("out: %v", got)
	}
}

func TestWhatCantBeTrueIsRefused(t *testing.T) {
	p := pool()
	for _, s := range []Observation{{1, 2, 3}, {1, -1, 0}, {1, math.NaN(), 0}, {1, math.Inf(1), 0}, {1, 1, math.NaN()}, {1, 1e300, 1}} {
		if _, possible := p.Merge(1, 1, 3, s, 0); possible {
			t.Errorf("%+v is taken in", s)
		}
	}
	if fresh, possible := p.Merge(1, 1, 99, Observation{1, 1, 1}, 0); fresh || !possible {
		t.Error("a backend that is not listed here is no fault of its teller, and no news")
	}
}

func TestLivesAndTurns(t *testing.T) {
	p := pool()
	p.Merge(1, 2, 3, Observation{5, 4, 4}, 0)
	for _, c := range []struct {
		life, seq uint64
		want      bool
	}{{2, 5, false}, {2, 4, false}, {1, 9, false}, {2, 6, true}, {3, 1, true}} {
		if fresh, _ := p.Merge(1, c.life, 3, Observation{c.seq, 1, 0}, 0); fresh != c.want {
			t.Errorf("life %d, number %d: new %v", c.life, c.seq, fresh)
		}
	}
}

func TestNewsGoesOutOnceAndChangesFirst(t *testing.T) {
	p := pool()
	for k := Key(1); k <= 8; k++ {
		p.RecordAttempt(0, k, false)
	}
	keys, sights, urgent := p.TakeUpdates(0, 6)
	if len(keys) != 6 || urgent != 6 || sights[0].Tried != 1 {
		t.Errorf("%v %+v %d", keys, sights, urgent)
	}
	if keys, _, _ := p.TakeUpdates(0, 6); len(keys) != 2 {
		t.Errorf("then %v, want the other two", keys)
	}
	if keys, _, _ := p.TakeUpdates(sec/2, 6); len(keys) != 0 {
		t.Errorf("nothing has changed, and %v is told", keys)
	}
	for range 5 {
		p.RecordAttempt(sec/2, 8, true)
	}
	if keys, _, urgent := p.TakeUpdates(sec/2, 6); len(keys) != 1 || keys[0] != 8 || urgent != 1 {
		t.Errorf("what has broken: %v, %d urgent", keys, urgent)
	}
	if keys, _, urgent := p.TakeUpdates(3*sec/2, 16); len(keys) != 8 || urgent != 0 {
		t.Errorf("later %v, %d urgent", keys, urgent)
	}
}

// Whatever members tell, in whatever order: no more are out than the ceilings allow, each by a quorum, and none that has
// just answered here.
func TestCeilingsHold(t *testing.T) {
	l := DefaultLimits()
	rapid.Check(t, func(t *rapid.T) {
		p, now, since := pool(), time.Duration(0), map[Key]time.Duration{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond
			k := Key(rapid.IntRange(1, 18).Draw(t, "backend"))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				p.RecordAttempt(now, k, true)
			case 1:
				p.RecordAttempt(now, k, false)
				since[k] = now
			default:
				tried := rapid.Float64Range(0, 10).Draw(t, "tried")
				p.Merge(rapid.IntRange(1, 5).Draw(t, "node"), rapid.Uint64Range(1, 2).Draw(t, "life"), k,
					Observation{rapid.Uint64Range(1, 40).Draw(t, "seq"), tried, tried * float64(rapid.IntRange(0, 1).Draw(t, "bad"))}, now)
			}
			keys, votes := p.Decide(now)
			if len(keys) > 4 {
				t.Fatalf("%d of 16 are out", len(keys))
			}
			for _, k := range keys {
				if at, ok := since[k]; ok && now-at <= l.OwnSuccessWindow && k <= 16 {
					t.Fatalf("%d is out and answered %v ago", k, now-at)
				}
			}
			for _, v := range votes {
				if v.Ejected && !slices.Contains(keys, v.Key) {
					t.Fatalf("votes say that %d is out", v.Key)
				}
			}
		}
	})
}

func BenchmarkDecide(b *testing.B) {
	p := New(DefaultLimits())
	var list []Backend
	for k := Key(1); k <= 200; k++ {
		list = append(list, Backend{Key: k, Site: "north"})
	}
	p.SetBackends(list)
	for n := range 300 {
		for i := range 6 {
			say(p, n, Key(1+(n*6+i)%200), 1, 5, float64(n%8/7)*5, 0)
		}
	}
	b.ReportAllocs()
	for range b.N {
		p.Decide(sec)
	}
}
