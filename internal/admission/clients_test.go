package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func never(*Conn) bool { return false }

func limits(open, asking int) Limits {
	return Limits{Open: open, RequestConns: asking, SilentAfter: 200 * ms, SlowAfter: 50 * ms}
}

// conns opens n connections at times a millisecond apart and brings them to a state.
func conns(a *Clients, from time.Duration, n int, s State) []*Conn {
	var out []*Conn
	for i := range n {
		c, t := &Conn{}, from+time.Duration(i)*ms
		a.Add(t, c)
		switch s {
		case Reading:
			a.Read(t, c)
		case Busy:
			a.Begin(t, c, false)
		case IdleHealth, Idle:
			a.Begin(t, c, s == IdleHealth)
			a.Idle(t, c)
		}
		out = append(out, c)
	}
	return out
}

// Who goes first when room is needed.
func TestOrderOfSpares(t *testing.T) {
	a := NewClients(limits(100, 100))
	kept, health := conns(a, 0, 2, Idle), conns(a, 0, 2, IdleHealth)
	busy, reading := conns(a, 0, 2, Busy), conns(a, 0, 2, Reading)
	silent, fresh := conns(a, 0, 2, Silent), conns(a, 290*ms, 2, Silent)
	want := append(append(append(append(silent, reading...), health...), kept...), fresh...)
	for i, w := range want {
		c := a.EvictionCandidate(300*ms, true, never)
		if c != w {
			t.Fatalf("the %dth to go is %v, want %v", i, c.State(), w.State())
		}
		a.Close(c)
	}
	if c := a.EvictionCandidate(300*ms, true, never); c != nil || a.Open() != 2 || busy[0].State() != Busy {
		t.Errorf("a busy connection is spared for nobody: %v", c)
	}
}

// For a box's sake no connection goes on which a request is on its way, as that would get no answer; out of a crowd of new
// ones that say nothing one does.
func TestLastNewOnesAreNotLent(t *testing.T) {
	a := NewClients(limits(100, 100))
	fresh := conns(a, 290*ms, spares+1, Silent)
	for i, want := range []*Conn{fresh[0], nil} {
		c := a.EvictionCandidate(300*ms, false, never)
		if c != want {
			t.Fatalf("the %dth to go for a box is %p, want %p", i, c, want)
		}
		if c != nil {
			a.Close(c)
		}
	}
	if c := a.EvictionCandidate(300*ms, true, never); c != fresh[1] {
		t.Error("none goes for another client either")
	}
	if c := a.EvictionCandidate(490*ms+spares*ms, false, never); c != fresh[1] {
		t.Error("none goes once it has been silent for long")
	}
}

func TestSparesWhatHasJustSpoken(t *testing.T) {
	a := NewClients(limits(100, 100))
	kept := conns(a, 0, 3, Idle)
	if c := a.EvictionCandidate(time.Second, true, func(c *Conn) bool { return c == kept[0] }); c != kept[1] {
		t.Error("the second was to go")
	}
	asked := 0
	if c := a.EvictionCandidate(time.Second, true, func(*Conn) bool { asked++; return true }); c != nil || asked > 5*spares {
		t.Errorf("%v after %d questions", c, asked)
	}
}

// Clients that ask once and keep their connections would fill what they may hold; a quarter is kept free.
func TestIdleConnectionsLeaveRoomForRequests(t *testing.T) {
	a := NewClients(limits(184, 128))
	var at time.Duration
	open := map[*Conn]bool{}
	for i := range 2000 {
		at += 4 * ms
		if a.RequestConns() >= 128 {
			t.Fatalf("request %d finds no connection", i)
		}
		c := &Conn{}
		a.Add(at, c)
		a.Begin(at, c, false)
		open[c] = true
		leave, drop := a.BeforeAnswer(c)
		if leave {
			t.Fatalf("request %d: there were idle ones to close", i)
		}
		if drop != nil {
			if drop.State() != Idle || !open[drop] {
				t.Fatalf("dropped a connection that is %v", drop.State())
			}
			a.Close(drop)
			delete(open, drop)
		}
		a.Idle(at, c)
	}
	if a.RequestConns() != 96 || len(open) != 96 {
		t.Errorf("%d connections are kept, want three quarters of 128", a.RequestConns())
	}
}

func TestLeavesWhereNoneIsIdle(t *testing.T) {
	a := NewClients(limits(184, 128))
	busy := conns(a, 0, 97, Busy)
	if leave, drop := a.BeforeAnswer(busy[0]); !leave || drop != nil {
		t.Errorf("leave %v, drop %v", leave, drop)
	}
	a.Close(busy[0])
	if leave, drop := a.BeforeAnswer(busy[1]); leave || drop != nil {
		t.Error("with room again it was asked to leave")
	}
	h := conns(a, 0, 3, IdleHealth)
	a.Begin(0, h[0], true)
	if leave, drop := a.BeforeAnswer(h[0]); leave || drop != nil || a.RequestConns() != 96 {
		t.Error("a question for the node's readiness counts as a request")
	}
}

func TestWithoutLimits(t *testing.T) {
	a := NewClients(Limits{})
	c := conns(a, 0, 1000, Idle)
	if leave, drop := a.BeforeAnswer(c[0]); a.Full() || leave || drop != nil {
		t.Error("without limits nobody leaves")
	}
}

// Whatever happens in whatever order: the counts are those of the connections, none is counted twice or kept after its
// close, and what is spared is idle.
func TestAccountHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limits(rapid.IntRange(1, 20).Draw(t, "open"), rapid.IntRange(1, 20).Draw(t, "asking"))
		a := NewClients(l)
		var all []*Conn
		asked := map[*Conn]bool{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * ms
			op := rapid.IntRange(0, 7).Draw(t, "op")
			if op == 0 || len(all) == 0 {
				if a.Full() {
					c := a.EvictionCandidate(now, true, func(*Conn) bool { return rapid.Bool().Draw(t, "busy") })
					if c != nil && (c.State() == Busy || c.State() == closed) {
						t.Fatalf("spared one that is %v", c.State())
					}
					if c == nil {
						continue
					}
					a.Close(c)
				}
				c := &Conn{From: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "from")}
				a.Add(now, c)
				all = append(all, c)
				continue
			}
			c := all[rapid.IntRange(0, len(all)-1).Draw(t, "which")]
			live := c.State() != closed
			switch op {
			case 1:
				a.Read(now, c)
				if rapid.Bool().Draw(t, "bad") {
					a.Rejected(now, c)
				}
			case 2, 3:
				c.OverQuota = rapid.Bool().Draw(t, "past")
				a.Begin(now, c, op == 2)
				asked[c] = asked[c] || op == 3 && live
			case 4, 5:
				if c.State() == Busy {
					if _, drop := a.BeforeAnswer(c); drop != nil {
						if drop.State() != Idle && drop.State() != IdleOverQuota {
							t.Fatalf("drops one that is %v", drop.State())
						}
						a.Close(drop)
					}
					a.Idle(now, c)
				}
			case 6:
				a.Close(c)
				a.Close(c)
			}
			open, asking := 0, 0
			for _, c := range all {
				if c.State() != closed {
					open++
					if asked[c] {
						asking++
					}
				}
			}
			queued, held := 0, map[string]int{}
			for i := range a.lines {
				l := &a.lines[i]
				queued += l.n
				size := map[string]int{}
				for c := l.all.first; c != nil; c = c.all.next {
					size[c.From]++
					held[c.From]++
				}
				most := 0
				for from, n := range size {
					most = max(most, n)
					if g := a.peers.known[from].groups[i]; g.n != n || g.bucket.n != n {
						t.Fatalf("%v of %s: %d, its group says %d", State(i), from, n, g.n)
					}
				}
				if c := l.next(); c != nil && size[c.From] != most || c == nil && most > 0 {
					t.Fatalf("next is not of the address with most, %d", most)
				}
			}
			for from, n := range held {
				if a.peers.known[from].held != n {
					t.Fatalf("%s holds %d, not %d", from, n, a.peers.known[from].held)
				}
			}
			if a.peers.active != len(held) {
				t.Fatalf("%d addresses hold connections, not %d", len(held), a.peers.active)
			}
			if a.Open() != open || a.RequestConns() != asking || queued != open || open > l.Open {
				t.Fatalf("counts %d open, %d asking, %d queued; there are %d and %d", a.Open(), a.RequestConns(), queued, open, asking)
			}
		}
	})
}

// One address that takes all the room, in whatever state, makes room before another that holds a single connection.
func TestGreedyAddressMakesRoom(t *testing.T) {
	for _, s := range []State{Silent, Reading, IdleHealth, Idle} {
		a := NewClients(limits(12, 100))
		good := &Conn{From: "good"}
		a.Add(0, good) // for longest
		switch s {
		case Reading:
			a.Read(0, good)
		case IdleHealth, Idle:
			a.Begin(0, good, s == IdleHealth)
			a.Idle(0, good)
		}
		conns(a, ms, 11, s) // of the address ""
		for range 10 {
			c := a.EvictionCandidate(time.Second, true, never)
			if c == nil || c == good {
				t.Fatalf("%v: the one connection of a good client goes first", s)
			}
			a.Close(c)
		}
	}
}

// With all at work nobody can be spared: then the address that holds most leaves with its answers, and one that holds
// less than the mean is let in beyond the bound.
func TestGreedyAddressAtWorkLeaves(t *testing.T) {
	a := NewClients(limits(12, 100))
	greedy := conns(a, 0, 11, Busy)
	good := &Conn{From: "good"}
	a.Add(0, good)
	a.Begin(0, good, false)
	if leave, _ := a.BeforeAnswer(greedy[0]); leave {
		t.Error("it leaves though nobody wanted room")
	}
	if a.EvictionCandidate(ms, true, never) != nil {
		t.Fatal("one that works is spared")
	}
	if leave, _ := a.BeforeAnswer(greedy[0]); !leave {
		t.Error("the greedy one stays")
	}
	if leave, _ := a.BeforeAnswer(good); leave {
		t.Error("the good one leaves")
	}
	if !a.BelowMean("good") || !a.BelowMean("new") || a.BelowMean("") {
		t.Error("who is behind")
	}
	a.Idle(2*time.Second, greedy[1]) // room again
	if leave, _ := a.BeforeAnswer(greedy[0]); leave {
		t.Error("it leaves long after")
	}
}

// An address that was only ever rejected has no time to be silent in; one that stands for many clients, some of them bad,
// has, and so has the doubted one after a while.
func TestDoubt(t *testing.T) {
	a := NewClients(limits(100, 100))
	for i := range 20 {
		bad, mixed, other := &Conn{From: "bad"}, &Conn{From: "mixed"}, &Conn{From: "mixed"}
		for _, c := range []*Conn{bad, mixed, other} {
			a.Add(0, c)
		}
		a.Rejected(0, bad)
		a.Rejected(0, mixed)
		a.Begin(0, other, false)
		a.Idle(0, other)
		if i >= 10 && (bad.State() != Suspected || mixed.State() != Silent) {
			t.Fatalf("round %d: bad is %v, mixed %v", i, bad.State(), mixed.State())
		}
		for _, c := range []*Conn{bad, mixed, other} {
			a.Close(c)
		}
	}
	late := &Conn{From: "bad"}
	a.Add(5*time.Minute, late)
	if late.State() != Silent {
		t.Error("doubt lasts for ever")
	}
}

// Of the idle connections those of tenants past their share go first.
func TestPastTheirShareGoFirst(t *testing.T) {
	a := NewClients(limits(100, 4))
	kept := conns(a, 0, 3, Idle)
	past := &Conn{OverQuota: true}
	a.Add(9*ms, past)
	a.Begin(9*ms, past, false)
	a.Idle(9*ms, past)
	if _, drop := a.BeforeAnswer(kept[0]); drop != past {
		t.Error("another goes first")
	}
	if c := a.EvictionCandidate(time.Second, true, never); c != past {
		t.Error("another is spared first")
	}
	tn := NewTenants(map[string]float64{"big": 10})
	n := 0
	for i := range 200 { // 20 a second
		if tn.Count(time.Duration(i)*50*ms, "big") {
			n++
		}
		if tn.Count(time.Duration(i)*50*ms, "untold") {
			t.Fatal("one without a share is past it")
		}
	}
	if n < 150 {
		t.Errorf("at twice its share it is past it in %d of 200 requests", n)
	}
	for i := range 100 { // 5 a second
		if at := 10*time.Second + time.Duration(i)*200*ms; tn.Count(at, "big") && at > 20*time.Second {
			t.Fatal("still past its share at half of it")
		}
	}
}

// Addresses are remembered within a bound.
func TestAddressesAreBounded(t *testing.T) {
	a := NewClients(limits(100, 100))
	for i := range 3 * peersKept {
		c := &Conn{From: fmt.Sprint(i)}
		a.Add(0, c)
		a.Close(c)
	}
	if n := len(a.peers.known); n != peersKept {
		t.Errorf("%d addresses are kept", n)
	}
}

// Each side always gets its floor, never more than there is, and what lies between goes to whoever asks.
func TestDescriptors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 60).Draw(t, "total")
		floor := rapid.IntRange(0, 40).Draw(t, "floor")
		d := NewDescriptors(total, floor)
		floor = min(floor, total/2)
		var used [2]int
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			s := Side(rapid.IntRange(0, 1).Draw(t, "side"))
			if used[s] > 0 && rapid.IntRange(0, 2).Draw(t, "op") == 0 {
				d.Give(s)
				used[s]--
				continue
			}
			ok := d.Take(s)
			if !ok && (used[s] < floor || used[0]+used[1] < total && used[1-s] >= floor) {
				t.Fatalf("refused at %v of %d, floor %d", used, total, floor)
			}
			if ok {
				used[s]++
			}
			if used[0]+used[1] > total || used[s] > total-floor || d.Used(s) != used[s] || d.AboveFloor(s) != (used[s] > floor) {
				t.Fatalf("%v of %d, floor %d; it says %d", used, total, floor, d.Used(s))
			}
		}
	})
	d := NewDescriptors(0, 0)
	for range 1000 {
		if !d.Take(ClientSide) {
			t.Fatal("a bound where none is set")
		}
	}
}

// A decision costs the same whatever the number of connections.
func BenchmarkDecisions(b *testing.B) {
	for _, addresses := range []int{1, 1000} {
		for _, n := range []int{100, 1000, 100000} {
			b.Run(fmt.Sprintf("%d-of-%d", n, addresses), func(b *testing.B) { benchDecisions(b, n, addresses) })
		}
	}
}

func benchDecisions(b *testing.B, n, addresses int) {
	a := NewClients(limits(n, n))
	from := make([]string, addresses)
	for i := range from {
		from[i] = fmt.Sprint("10.0.0.", i)
	}
	for i := range n {
		c := &Conn{From: from[i%addresses]}
		a.Add(0, c)
		a.Begin(0, c, false)
		if i%2 == 0 {
			a.Idle(0, c)
		}
	}
	now, i := time.Hour, 0
	b.ReportAllocs()
	for b.Loop() {
		i++
		c := &Conn{From: from[i%addresses]}
		if a.Full() {
			a.Close(a.EvictionCandidate(now, true, never))
		}
		a.Add(now, c)
		a.Begin(now, c, false)
		if _, drop := a.BeforeAnswer(c); drop != nil {
			a.Close(drop)
		}
		a.Idle(now, c)
	}
}
