package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func nonePending(*Conn) bool { return false }

func limits(open, requestConns int) Limits {
	return Limits{Open: open, RequestConns: requestConns, SilentAfter: 200 * ms, SlowAfter: 50 * ms}
}

// conns opens n connections a millisecond apart and brings them to a state.
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

// The order in which connections are evicted.
func TestEvictionOrder(t *testing.T) {
	a := NewClients(limits(100, 100))
	kept, health := conns(a, 0, 2, Idle), conns(a, 0, 2, IdleHealth)
	busy, reading := conns(a, 0, 2, Busy), conns(a, 0, 2, Reading)
	silent, fresh := conns(a, 0, 2, Silent), conns(a, 290*ms, 2, Silent)
	want := append(append(append(append(silent, reading...), health...), kept...), fresh...)
	for i, w := range want {
		c := a.EvictionCandidate(300*ms, true, nonePending)
		if c != w {
			t.Fatalf("eviction %d takes a connection in state %v, want %v", i, c.State(), w.State())
		}
		a.Close(c)
	}
	if c := a.EvictionCandidate(300*ms, true, nonePending); c != nil || a.Open() != 2 || busy[0].State() != Busy {
		t.Errorf("a busy connection is evicted: %v", c)
	}
}

// A descriptor for a backend connection must not come from one of the last new client connections: the request on its
// way would get no response. Of more than maxChecked new connections, one is evicted.
func TestLastNewConnectionsAreKeptFromBackends(t *testing.T) {
	a := NewClients(limits(100, 100))
	fresh := conns(a, 290*ms, maxChecked+1, Silent)
	for i, want := range []*Conn{fresh[0], nil} {
		c := a.EvictionCandidate(300*ms, false, nonePending)
		if c != want {
			t.Fatalf("eviction %d for a backend takes %p, want %p", i, c, want)
		}
		if c != nil {
			a.Close(c)
		}
	}
	if c := a.EvictionCandidate(300*ms, true, nonePending); c != fresh[1] {
		t.Error("the oldest is not evicted for another client")
	}
	if c := a.EvictionCandidate(490*ms+maxChecked*ms, false, nonePending); c != fresh[1] {
		t.Error("the oldest is not evicted after SilentAfter")
	}
}

func TestEvictionSkipsPendingInput(t *testing.T) {
	a := NewClients(limits(100, 100))
	kept := conns(a, 0, 3, Idle)
	if c := a.EvictionCandidate(time.Second, true, func(c *Conn) bool { return c == kept[0] }); c != kept[1] {
		t.Error("want the second, as the first has pending input")
	}
	checked := 0
	if c := a.EvictionCandidate(time.Second, true, func(*Conn) bool { checked++; return true }); c != nil || checked > 5*maxChecked {
		t.Errorf("evicts %v after %d checks", c, checked)
	}
}

// Clients that send one request each and keep their connections would use up RequestConns; a quarter must stay free.
func TestIdleConnectionsLeaveHeadroomForRequests(t *testing.T) {
	a := NewClients(limits(184, 128))
	var at time.Duration
	open := map[*Conn]bool{}
	for i := range 2000 {
		at += 4 * ms
		if a.RequestConns() >= 128 {
			t.Fatalf("request %d: no connection left for requests", i)
		}
		c := &Conn{}
		a.Add(at, c)
		a.Begin(at, c, false)
		open[c] = true
		closeAfter, evict := a.BeforeAnswer(c)
		if closeAfter {
			t.Fatalf("request %d: its own connection is closed although others are idle", i)
		}
		if evict != nil {
			if evict.State() != Idle || !open[evict] {
				t.Fatalf("evicts a connection in state %v", evict.State())
			}
			a.Close(evict)
			delete(open, evict)
		}
		a.Idle(at, c)
	}
	if a.RequestConns() != 96 || len(open) != 96 {
		t.Errorf("%d connections are kept, want three quarters of 128", a.RequestConns())
	}
}

func TestAnswerClosesConnectionWhenNoneIsIdle(t *testing.T) {
	a := NewClients(limits(184, 128))
	busy := conns(a, 0, 97, Busy)
	if closeAfter, evict := a.BeforeAnswer(busy[0]); !closeAfter || evict != nil {
		t.Errorf("closeAfter %v, evict %v", closeAfter, evict)
	}
	a.Close(busy[0])
	if closeAfter, evict := a.BeforeAnswer(busy[1]); closeAfter || evict != nil {
		t.Error("closed although RequestConns has headroom again")
	}
	h := conns(a, 0, 3, IdleHealth)
	a.Begin(0, h[0], true)
	if closeAfter, evict := a.BeforeAnswer(h[0]); closeAfter || evict != nil || a.RequestConns() != 96 {
		t.Error("a readiness check counts as a request")
	}
}

func TestNoLimitsNoEviction(t *testing.T) {
	a := NewClients(Limits{})
	c := conns(a, 0, 1000, Idle)
	if closeAfter, evict := a.BeforeAnswer(c[0]); a.Full() || closeAfter || evict != nil {
		t.Error("full, closed or evicted without limits")
	}
}

// For any sequence of events, the counts match the connections, none is counted twice or after its close, and evicted
// connections are not in use.
func TestCountsMatchConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limits(rapid.IntRange(1, 20).Draw(t, "open"), rapid.IntRange(1, 20).Draw(t, "asking"))
		a := NewClients(l)
		var all []*Conn
		hadRequest := map[*Conn]bool{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * ms
			op := rapid.IntRange(0, 7).Draw(t, "op")
			if op == 0 || len(all) == 0 {
				if a.Full() {
					c := a.EvictionCandidate(now, true, func(*Conn) bool { return rapid.Bool().Draw(t, "busy") })
					if c != nil && (c.State() == Busy || c.State() == closed) {
						t.Fatalf("evicts a connection in state %v", c.State())
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
				hadRequest[c] = hadRequest[c] || op == 3 && live
			case 4, 5:
				if c.State() == Busy {
					if _, evict := a.BeforeAnswer(c); evict != nil {
						if evict.State() != Idle && evict.State() != IdleOverQuota {
							t.Fatalf("BeforeAnswer evicts a connection in state %v", evict.State())
						}
						a.Close(evict)
					}
					a.Idle(now, c)
				}
			case 6:
				a.Close(c)
				a.Close(c)
			}
			open, requestConns := 0, 0
			for _, c := range all {
				if c.State() != closed {
					open++
					if hadRequest[c] {
						requestConns++
					}
				}
			}
			queued, perAddress := 0, map[string]int{}
			for i := range a.queues {
				l := &a.queues[i]
				queued += l.n
				size := map[string]int{}
				for c := l.conns.first; c != nil; c = c.queueLink.next {
					size[c.From]++
					perAddress[c.From]++
				}
				most := 0
				for from, n := range size {
					most = max(most, n)
					if g := a.addresses.byAddress[from].groups[i]; g.n != n || g.bucket.n != n {
						t.Fatalf("state %v, address %s: %d connections, the group counts %d", State(i), from, n, g.n)
					}
				}
				if c := l.candidate(); c != nil && size[c.From] != most || c == nil && most > 0 {
					t.Fatalf("the candidate is not of the address with the most connections, %d", most)
				}
			}
			for from, n := range perAddress {
				if a.addresses.byAddress[from].conns != n {
					t.Fatalf("%s holds %d connections, counted as %d", from, n, a.addresses.byAddress[from].conns)
				}
			}
			if a.addresses.active != len(perAddress) {
				t.Fatalf("%d addresses hold connections, counted as %d", len(perAddress), a.addresses.active)
			}
			if a.Open() != open || a.RequestConns() != requestConns || queued != open || open > l.Open {
				t.Fatalf("counts %d open, %d with requests, %d queued; want %d and %d", a.Open(), a.RequestConns(), queued, open, requestConns)
			}
		}
	})
}

// Connections of an address that holds nearly all of them are evicted before the only one of another address.
func TestEvictionTakesAddressWithMostConnections(t *testing.T) {
	for _, s := range []State{Silent, Reading, IdleHealth, Idle} {
		a := NewClients(limits(12, 100))
		good := &Conn{From: "good"}
		a.Add(0, good) // the longest in its state
		switch s {
		case Reading:
			a.Read(0, good)
		case IdleHealth, Idle:
			a.Begin(0, good, s == IdleHealth)
			a.Idle(0, good)
		}
		conns(a, ms, 11, s) // of the address ""
		for range 10 {
			c := a.EvictionCandidate(time.Second, true, nonePending)
			if c == nil || c == good {
				t.Fatalf("state %v: the only connection of a well-behaved client is evicted", s)
			}
			a.Close(c)
		}
	}
}

// If all connections are in use, none can be evicted: then the address with the most connections has them closed after
// their responses, and an address with less than the mean may exceed the limit.
func TestBusyAddressAboveMeanIsClosed(t *testing.T) {
	a := NewClients(limits(12, 100))
	greedy := conns(a, 0, 11, Busy)
	good := &Conn{From: "good"}
	a.Add(0, good)
	a.Begin(0, good, false)
	if closeAfter, _ := a.BeforeAnswer(greedy[0]); closeAfter {
		t.Error("closed without a failed eviction")
	}
	if a.EvictionCandidate(ms, true, nonePending) != nil {
		t.Fatal("a busy connection is evicted")
	}
	if closeAfter, _ := a.BeforeAnswer(greedy[0]); !closeAfter {
		t.Error("a connection of the address above the mean is kept")
	}
	if closeAfter, _ := a.BeforeAnswer(good); closeAfter {
		t.Error("a connection of the address below the mean is closed")
	}
	if !a.BelowMean("good") || !a.BelowMean("new") || a.BelowMean("") {
		t.Error("BelowMean is wrong")
	}
	a.Idle(2*time.Second, greedy[1]) // after contentionPeriod
	if closeAfter, _ := a.BeforeAnswer(greedy[0]); closeAfter {
		t.Error("closed long after the failed eviction")
	}
}

// A new connection of an address that was only ever rejected is suspected. One of an address shared by many clients,
// some of them faulty, is not, and the suspicion decays.
func TestSuspectedAddresses(t *testing.T) {
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
		t.Error("still suspected after 5 minutes")
	}
}

// Idle connections of tenants over quota are evicted before others, and the request rate decides which tenants these
// are.
func TestOverQuotaConnectionsGoFirst(t *testing.T) {
	a := NewClients(limits(100, 4))
	kept := conns(a, 0, 3, Idle)
	overQuota := &Conn{OverQuota: true}
	a.Add(9*ms, overQuota)
	a.Begin(9*ms, overQuota, false)
	a.Idle(9*ms, overQuota)
	if _, evict := a.BeforeAnswer(kept[0]); evict != overQuota {
		t.Error("BeforeAnswer evicts another connection")
	}
	if c := a.EvictionCandidate(time.Second, true, nonePending); c != overQuota {
		t.Error("EvictionCandidate returns another connection")
	}
	tn := NewTenants(map[string]float64{"big": 10})
	n := 0
	for i := range 200 { // 20 per second
		if tn.Count(time.Duration(i)*50*ms, "big") {
			n++
		}
		if tn.Count(time.Duration(i)*50*ms, "untold") {
			t.Fatal("a tenant without a share is over quota")
		}
	}
	if n < 150 {
		t.Errorf("at twice its share, over quota in %d of 200 requests", n)
	}
	for i := range 100 { // 5 per second
		if at := 10*time.Second + time.Duration(i)*200*ms; tn.Count(at, "big") && at > 20*time.Second {
			t.Fatal("still over quota at half of its share")
		}
	}
}

// The number of remembered addresses without connections is bounded.
func TestIdleAddressesAreBounded(t *testing.T) {
	a := NewClients(limits(100, 100))
	for i := range 3 * maxIdleAddresses {
		c := &Conn{From: fmt.Sprint(i)}
		a.Add(0, c)
		a.Close(c)
	}
	if n := len(a.addresses.byAddress); n != maxIdleAddresses {
		t.Errorf("%d addresses are remembered", n)
	}
}

// Each side always gets its floor, the total is never exceeded, and what exceeds the floors goes to the side that needs
// it.
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
				t.Fatalf("used %v of %d, floor %d; counted %d", used, total, floor, d.Used(s))
			}
		}
	})
	d := NewDescriptors(0, 0)
	for range 1000 {
		if !d.Take(ClientSide) {
			t.Fatal("refused although there is no limit")
		}
	}
}

// The cost of a decision must not depend on the number of connections.
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
			a.Close(a.EvictionCandidate(now, true, nonePending))
		}
		a.Add(now, c)
		a.Begin(now, c, false)
		if _, evict := a.BeforeAnswer(c); evict != nil {
			a.Close(evict)
		}
		a.Idle(now, c)
	}
}
