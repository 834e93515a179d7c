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
	return Limits{Open: open, Asking: asking, Silent: 200 * ms, Slow: 50 * ms}
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
		case Health, Kept:
			a.Begin(t, c, s == Health)
			a.Idle(t, c)
		}
		out = append(out, c)
	}
	return out
}

// Who goes first when room is needed.
func TestOrderOfSpares(t *testing.T) {
	a := NewClients(limits(100, 100))
	kept, health := conns(a, 0, 2, Kept), conns(a, 0, 2, Health)
	busy, reading := conns(a, 0, 2, Busy), conns(a, 0, 2, Reading)
	silent, fresh := conns(a, 0, 2, Unspoken), conns(a, 290*ms, 2, Unspoken)
	want := append(append(append(append(silent, reading...), health...), kept...), fresh...)
	for i, w := range want {
		c := a.Spare(300*ms, never)
		if c != w {
			t.Fatalf("the %dth to go is %v, want %v", i, c.State(), w.State())
		}
		a.Close(c)
	}
	if c := a.Spare(300*ms, never); c != nil || a.Open() != 2 || busy[0].State() != Busy {
		t.Errorf("a busy connection is spared for nobody: %v", c)
	}
}

func TestSparesWhatHasJustSpoken(t *testing.T) {
	a := NewClients(limits(100, 100))
	kept := conns(a, 0, 3, Kept)
	if c := a.Spare(time.Second, func(c *Conn) bool { return c == kept[0] }); c != kept[1] {
		t.Error("the second was to go")
	}
	asked := 0
	if c := a.Spare(time.Second, func(*Conn) bool { asked++; return true }); c != nil || asked > 5*spares {
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
		if a.Asking() >= 128 {
			t.Fatalf("request %d finds no connection", i)
		}
		c := &Conn{}
		a.Add(at, c)
		a.Begin(at, c, false)
		open[c] = true
		leave, drop := a.Answer(c)
		if leave {
			t.Fatalf("request %d: there were idle ones to close", i)
		}
		if drop != nil {
			if drop.State() != Kept || !open[drop] {
				t.Fatalf("dropped a connection that is %v", drop.State())
			}
			a.Close(drop)
			delete(open, drop)
		}
		a.Idle(at, c)
	}
	if a.Asking() != 96 || len(open) != 96 {
		t.Errorf("%d connections are kept, want three quarters of 128", a.Asking())
	}
}

func TestLeavesWhereNoneIsIdle(t *testing.T) {
	a := NewClients(limits(184, 128))
	busy := conns(a, 0, 97, Busy)
	if leave, drop := a.Answer(busy[0]); !leave || drop != nil {
		t.Errorf("leave %v, drop %v", leave, drop)
	}
	a.Close(busy[0])
	if leave, drop := a.Answer(busy[1]); leave || drop != nil {
		t.Error("with room again it was asked to leave")
	}
	h := conns(a, 0, 3, Health)
	a.Begin(0, h[0], true)
	if leave, drop := a.Answer(h[0]); leave || drop != nil || a.Asking() != 96 {
		t.Error("a question for the node's readiness counts as a request")
	}
}

func TestWithoutLimits(t *testing.T) {
	a := NewClients(Limits{})
	c := conns(a, 0, 1000, Kept)
	if leave, drop := a.Answer(c[0]); a.Full() || leave || drop != nil {
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
					c := a.Spare(now, func(*Conn) bool { return rapid.Bool().Draw(t, "busy") })
					if c != nil && (c.State() == Busy || c.State() == closed) {
						t.Fatalf("spared one that is %v", c.State())
					}
					if c == nil {
						continue
					}
					a.Close(c)
				}
				c := &Conn{}
				a.Add(now, c)
				all = append(all, c)
				continue
			}
			c := all[rapid.IntRange(0, len(all)-1).Draw(t, "which")]
			live := c.State() != closed
			switch op {
			case 1:
				a.Read(now, c)
			case 2, 3:
				a.Begin(now, c, op == 2)
				asked[c] = asked[c] || op == 3 && live
			case 4, 5:
				if c.State() == Busy {
					if _, drop := a.Answer(c); drop != nil {
						if drop.State() != Kept {
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
			queued := 0
			for i := range a.queues {
				queued += a.queues[i].n
			}
			if a.Open() != open || a.Asking() != asking || queued != open || open > l.Open {
				t.Fatalf("counts %d open, %d asking, %d queued; there are %d and %d", a.Open(), a.Asking(), queued, open, asking)
			}
		}
	})
}

// A decision costs the same whatever the number of connections.
func BenchmarkDecisions(b *testing.B) {
	for _, n := range []int{100, 1000, 100000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			a := NewClients(limits(n, n))
			conns(a, 0, n/2, Kept)
			conns(a, 0, n/2, Busy)
			now := time.Hour
			b.ReportAllocs()
			for b.Loop() {
				c := &Conn{}
				if a.Full() {
					a.Close(a.Spare(now, never))
				}
				a.Add(now, c)
				a.Begin(now, c, false)
				if _, drop := a.Answer(c); drop != nil {
					a.Close(drop)
				}
				a.Idle(now, c)
			}
		})
	}
}
