package judgement

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const sec = time.Second

// newTestPool returns the pool of a node that knows 16 backends in two sites.
func newTestPool() *Pool {
	p := New(DefaultLimits())
	var list []Backend
	for k := Key(1); k <= 16; k++ {
		list = append(list, Backend{Key: k, Site: []string{"north", "south"}[k%2]})
	}
	p.SetBackends(list)
	return p
}

// report merges an observation of another node.
func report(p *Pool, number int, k Key, seq uint64, tried, failed float64, at time.Duration) bool {
	fresh, _ := p.Merge(number, 1, k, Observation{seq, tried, failed}, at)
	return fresh
}

func ejectedAt(p *Pool, at time.Duration) []Key { keys, _ := p.Decide(at); return keys }

func TestQuorumEjects(t *testing.T) {
	p := newTestPool()
	report(p, 1, 3, 1, 4, 4, 0)
	if got := ejectedAt(p, 0); len(got) > 0 {
		t.Errorf("%v ejected by one node, below the quorum", got)
	}
	report(p, 2, 3, 1, 4, 4, 0)
	if got := ejectedAt(p, 0); !slices.Equal(got, []Key{3}) {
		t.Errorf("%v ejected by two nodes, want backend 3", got)
	}
	if got := ejectedAt(p, DefaultLimits().EjectionTime-1); !slices.Equal(got, []Key{3}) {
		t.Errorf("%v ejected before the ejection time is over, want backend 3", got)
	}
	if got := ejectedAt(p, 20*sec); len(got) > 0 {
		t.Errorf("%v ejected after the evidence has decayed", got)
	}
}

func TestTiedVotesDoNotEject(t *testing.T) {
	p := newTestPool()
	for n := range 6 {
		report(p, n, 3, 1, 4, float64(n%2)*4, 0)
	}
	if got := ejectedAt(p, 0); len(got) > 0 {
		t.Errorf("%v ejected by half of the nodes", got)
	}
}

func TestOwnSuccessOverridesPeerReports(t *testing.T) {
	p := newTestPool()
	p.RecordAttempt(0, 3, false)
	for n := range 6 {
		report(p, n, 3, 1, 4, 4, 0)
	}
	if got := ejectedAt(p, sec/2); len(got) > 0 {
		t.Errorf("%v ejected by peers' reports just after a success of this node", got)
	}
	if got := ejectedAt(p, 3*sec/2); !slices.Equal(got, []Key{3}) {
		t.Errorf("%v ejected once that success is old, want backend 3", got)
	}
	p.RecordAttempt(8*sec/5, 3, false)
	if got := ejectedAt(p, 8*sec/5); len(got) > 0 {
		t.Errorf("%v ejected in spite of a success of this node", got)
	}
}

func TestOwnFailuresAreOneVote(t *testing.T) {
	p := newTestPool()
	report(p, 1, 3, 1, 4, 4, 0)
	for range 3 {
		p.RecordAttempt(0, 3, true)
	}
	keys, votes := p.Decide(0)
	if !slices.Equal(keys, []Key{3}) || len(votes) != 1 || votes[0] != (Votes{3, 2, 0, true, true}) {
		t.Errorf("%v, %+v", keys, votes)
	}
}

// A node that finds everything unhealthy, as a partitioned or malicious one does, is not counted where others find the
// backends healthy.
func TestContradictedPeerIsDiscredited(t *testing.T) {
	p := newTestPool()
	for k := Key(1); k <= 16; k++ {
		report(p, 1, k, 1, 5, 5, 0)
		report(p, 2, k, 1, 5, 0, 0)
		if k != 7 {
			report(p, 3, k, 1, 5, 0, 0)
		}
	}
	report(p, 3, 7, 1, 5, 5, 0) // with the discredited node this would be a quorum, and two against one
	if got := ejectedAt(p, 0); len(got) > 0 {
		t.Errorf("%v ejected with the vote of a discredited node", got)
	}
	report(p, 4, 7, 1, 5, 5, 0)
	if got := ejectedAt(p, 0); !slices.Equal(got, []Key{7}) {
		t.Errorf("%v ejected by credible nodes, want backend 7", got)
	}
}

func TestEjectionCeilings(t *testing.T) {
	p := newTestPool()
	for k := Key(1); k <= 16; k++ {
		for n := range 3 { // no node finds any healthy: everything may be down
			report(p, n, k, 1, 5, 5, 0)
		}
	}
	got := ejectedAt(p, 0)
	if len(got) != 4 || p.Capped() != 12 {
		t.Errorf("%d of 16 ejected, want 4; %d capped, want 12", len(got), p.Capped())
	}
	if again := ejectedAt(p, sec); !slices.Equal(again, got) {
		t.Errorf("ejected were %v and are %v, want no change", got, again)
	}
	p = New(DefaultLimits())
	p.SetBackends([]Backend{{Key: 1, Site: "north"}, {Key: 2, Site: "south"}, {Key: 3, Site: "south"}, {Key: 4, Site: "south"}, {Key: 5, Site: "south"}, {Key: 6, Site: "south"}, {Key: 7, Site: "south"}, {Key: 8, Site: "south"}})
	for n := range 3 {
		report(p, n, 1, 1, 5, 5, 0)
	}
	if got := ejectedAt(p, 0); len(got) > 0 {
		t.Errorf("the only backend of a site is ejected: %v", got)
	}
}

// The ceilings hold where the list shrinks while backends are ejected, at once and at the next decision.
func TestEjectionCeilingsAfterListShrinks(t *testing.T) {
	p := newTestPool()
	for k := Key(1); k <= 4; k++ { // a quarter of sixteen
		for n := range 3 {
			report(p, n, k, 1, 4, 4, 0)
		}
	}
	if got := ejectedAt(p, 0); len(got) != 4 {
		t.Fatalf("ejected: %v", got)
	}
	var fewer []Backend
	for k := Key(1); k <= 10; k++ {
		fewer = append(fewer, Backend{Key: k, Site: []string{"north", "south"}[k%2]})
	}
	p.SetBackends(fewer)
	ejected := 0
	for k := Key(1); k <= 4; k++ {
		if p.Ejected(k) {
			ejected++
		}
	}
	if ejected != 2 {
		t.Errorf("%d of 10 are ejected, want 2", ejected)
	}
	if got := ejectedAt(p, 1); len(got) != 2 {
		t.Errorf("ejected: %v", got)
	}
}

func TestInvalidObservationIsRejected(t *testing.T) {
	p := newTestPool()
	for _, s := range []Observation{{1, 2, 3}, {1, -1, 0}, {1, math.NaN(), 0}, {1, math.Inf(1), 0}, {1, 1, math.NaN()}, {1, 1e300, 1}} {
		if _, valid := p.Merge(1, 1, 3, s, 0); valid {
			t.Errorf("%+v is accepted as valid", s)
		}
	}
	if isNew, valid := p.Merge(1, 1, 99, Observation{1, 1, 1}, 0); isNew || !valid {
		t.Error("an observation of a backend that is not listed here: want it valid and not new")
	}
}

func TestStaleObservationIsIgnored(t *testing.T) {
	p := newTestPool()
	p.Merge(1, 2, 3, Observation{5, 4, 4}, 0)
	for _, c := range []struct {
		incarnation, seq uint64
		want             bool
	}{{2, 5, false}, {2, 4, false}, {1, 9, false}, {2, 6, true}, {3, 1, true}} {
		if isNew, _ := p.Merge(1, c.incarnation, 3, Observation{c.seq, 1, 0}, 0); isNew != c.want {
			t.Errorf("incarnation %d, seq %d: new %v", c.incarnation, c.seq, isNew)
		}
	}
}

func TestUpdatesAreSentOnceAndChangesFirst(t *testing.T) {
	p := newTestPool()
	for k := Key(1); k <= 8; k++ {
		p.RecordAttempt(0, k, false)
	}
	keys, sights, urgent := p.TakeUpdates(0, 6)
	if len(keys) != 6 || urgent != 6 || sights[0].Attempts != 1 {
		t.Errorf("%v %+v %d", keys, sights, urgent)
	}
	if keys, _, _ := p.TakeUpdates(0, 6); len(keys) != 2 {
		t.Errorf("second call: %v, want the other two", keys)
	}
	if keys, _, _ := p.TakeUpdates(sec/2, 6); len(keys) != 0 {
		t.Errorf("%v are reported without a change", keys)
	}
	for range 5 {
		p.RecordAttempt(sec/2, 8, true)
	}
	if keys, _, urgent := p.TakeUpdates(sec/2, 6); len(keys) != 1 || keys[0] != 8 || urgent != 1 {
		t.Errorf("after the verdict has changed: %v, %d urgent", keys, urgent)
	}
	if keys, _, urgent := p.TakeUpdates(3*sec/2, 16); len(keys) != 8 || urgent != 0 {
		t.Errorf("after the report interval: %v, %d urgent", keys, urgent)
	}
}

// Whatever members report, in whatever order: no more backends are ejected than the ceilings allow, and none that has just
// succeeded here.
func TestEjectionCeilingsUnderRandomReports(t *testing.T) {
	l := DefaultLimits()
	rapid.Check(t, func(t *rapid.T) {
		p, now, lastSuccess := newTestPool(), time.Duration(0), map[Key]time.Duration{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond
			k := Key(rapid.IntRange(1, 18).Draw(t, "backend"))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				p.RecordAttempt(now, k, true)
			case 1:
				p.RecordAttempt(now, k, false)
				lastSuccess[k] = now
			default:
				tried := rapid.Float64Range(0, 10).Draw(t, "tried")
				p.Merge(rapid.IntRange(1, 5).Draw(t, "node"), rapid.Uint64Range(1, 2).Draw(t, "life"), k,
					Observation{rapid.Uint64Range(1, 40).Draw(t, "seq"), tried, tried * float64(rapid.IntRange(0, 1).Draw(t, "bad"))}, now)
			}
			keys, votes := p.Decide(now)
			if len(keys) > 4 {
				t.Fatalf("%d of 16 are ejected", len(keys))
			}
			for _, k := range keys {
				if at, ok := lastSuccess[k]; ok && now-at <= l.OwnSuccessWindow && k <= 16 {
					t.Fatalf("%d is ejected and succeeded %v ago", k, now-at)
				}
			}
			for _, v := range votes {
				if v.Ejected && !slices.Contains(keys, v.Key) {
					t.Fatalf("the votes have %d as ejected, and the keys do not", v.Key)
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
			report(p, n, Key(1+(n*6+i)%200), 1, 5, float64(n%8/7)*5, 0)
		}
	}
	b.ReportAllocs()
	for range b.N {
		p.Decide(sec)
	}
}
