package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	sec          = time.Second
	ms           = time.Millisecond
	confirmDelay = 500 * ms
)

// backend returns the list entry of backend n.
func backend(n int, state string) Backend {
	return Backend{ID: fmt.Sprint("b", n), Addr: fmt.Sprint("127.0.0.1:", 9000+n), Zone: "z", Kind: "k", State: state, StartedMS: 1}
}

// named returns the answer of a source that names some backends.
func named(ns ...int) []Backend {
	var out []Backend
	for _, n := range ns {
		b := backend(n, Ready)
		out = append(out, Backend{ID: "dns:" + b.Addr, Addr: b.Addr, Zone: "z", State: Ready})
	}
	return out
}

// listed returns a list of some backends that are ready.
func listed(ns ...int) []Backend {
	var out []Backend
	for _, n := range ns {
		out = append(out, backend(n, Ready))
	}
	return out
}

func fleet() *Fleet {
	return New(Config{SourceTimeout: 60 * sec, ConfirmDelay: confirmDelay, FlapPenalty: 2 * sec})
}

func statusOf(t *testing.T, f *Fleet, n int) Status {
	t.Helper()
	for _, s := range f.All() {
		if s.Backend.Addr == backend(n, Ready).Addr {
			return s
		}
	}
	t.Fatalf("backend %d is not known", n)
	return Status{}
}

// Each cell of the decision table, reached by updates of the sources.
func TestDecisionTable(t *testing.T) {
	for list := NoClaim; list <= Withdrawn; list++ {
		for others := NoClaim; others <= Withdrawn; others++ {
			if list == NoClaim && others == NoClaim {
				continue
			}
			f := fleet()
			if others != NoClaim {
				f.UpdateNames(sec, "dns", named(1, 2, 3, 4))
			}
			switch list {
			case Named:
				f.UpdateList(2*sec, true, listed(1))
			case Withdrawn:
				f.UpdateList(2*sec, true, []Backend{backend(1, Draining)})
			}
			if others == Withdrawn {
				f.UpdateNames(3*sec, "dns", named(2, 3, 4))
			}
			if s, want := statusOf(t, f, 1), Decisions[list][others]; s.Use != want.Use || s.Reason != want.Reason {
				t.Errorf("list %d, others %d: %+v, want %+v", list, others, s, want)
			}
		}
	}
}

// The grace counts from the first source that reports a drain, whichever it is.
func TestGraceCountsFromFirstSource(t *testing.T) {
	f := fleet()
	f.UpdateList(sec, true, listed(1, 2, 3))
	f.UpdateNames(sec, "dns", named(1, 2, 3))
	f.UpdateNames(2*sec, "dns", named(2, 3))
	out := f.UpdateList(10*sec, false, []Backend{backend(1, Draining)})
	if len(out) != 1 || out[0].Since != 2*sec || out[0].Source != "dns" || out[0].Backend.State != Draining {
		t.Errorf("%+v", out)
	}
	f.UpdateList(11*sec, false, []Backend{backend(2, Draining)})
	f.UpdateNames(12*sec, "dns", named(3))
	if s := statusOf(t, f, 2); s.Since != 11*sec || s.Source != "list" {
		t.Errorf("%+v", s)
	}
}

// A stale list, full or delta, that still has a backend as ready must not restore one that another source has withdrawn. A later
// start time, another ID at the address, or the source itself does.
func TestStaleListDoesNotRestoreWithdrawnBackend(t *testing.T) {
	for what, want := range map[string]bool{"again": false, "whole": false, "restart": true, "successor": true, "names": true} {
		f := fleet()
		f.UpdateList(sec, true, listed(1, 2, 3))
		f.UpdateNames(sec, "dns", named(1, 2, 3))
		f.UpdateNames(2*sec, "dns", named(2, 3))
		later := backend(1, Ready)
		switch what {
		case "again":
			f.UpdateList(8*sec, false, listed(1))
		case "whole":
			f.UpdateList(8*sec, true, listed(1, 2, 3))
		case "restart":
			later.StartedMS = 5
			f.UpdateList(8*sec, false, []Backend{later})
		case "successor":
			later.ID = "b1-next"
			f.UpdateList(8*sec, false, []Backend{later})
		case "names":
			f.UpdateNames(8*sec, "dns", named(1, 2, 3))
		}
		if s := statusOf(t, f, 1); s.Use != want {
			t.Errorf("%s: %+v, want use %v", what, s, want)
		}
	}
}

// A source may name a backend by any of its addresses, and withdraws it when it names none of them.
func TestSeveralAddresses(t *testing.T) {
	f := fleet()
	b := backend(1, Ready)
	b.Addrs = []string{"[::1]:9001", b.Addr}
	f.UpdateList(sec, true, append(listed(2, 3, 4), b))
	other := Backend{ID: "dns:x", Addr: "[::1]:9001", State: Ready}
	f.UpdateNames(sec, "dns", append(named(1, 2, 3, 4), other))
	f.UpdateNames(2*sec, "dns", append(named(2, 3, 4), other))
	if s := statusOf(t, f, 1); !s.Use || len(f.All()) != 4 {
		t.Errorf("with one of its addresses named: %+v of %d", s, len(f.All()))
	}
	f.UpdateNames(3*sec, "dns", named(2, 3, 4))
	if s := statusOf(t, f, 1); s.Use || s.Since != 3*sec {
		t.Errorf("with none of its addresses named: %+v", s)
	}
}

// A source that withdraws most of its backends is queried again. Unless revoked the withdrawal takes effect after the delay, and
// counts from the first answer.
func TestMassWithdrawalIsConfirmed(t *testing.T) {
	f := fleet()
	f.UpdateList(sec, true, listed(1, 2, 3, 4))
	f.UpdateNames(sec, "dns", named(1, 2, 3, 4))
	changed, requery := f.UpdateNames(2*sec, "dns", named(4))
	if len(changed) != 0 || !requery || !statusOf(t, f, 1).Use || f.Next() != 2*sec+confirmDelay {
		t.Fatalf("%v, %v, next %v", changed, requery, f.Next())
	}
	if changed, requery = f.UpdateNames(2*sec+100*ms, "dns", named(2, 4)); len(changed) != 0 || requery {
		t.Errorf("withdrawal revoked in part: %v, %v", changed, requery)
	}
	changed = f.Tick(2*sec + confirmDelay)
	if len(changed) != 2 || changed[0].Since != 2*sec || changed[0].Use || !statusOf(t, f, 2).Use {
		t.Errorf("withdrawal not revoked: %+v", changed)
	}
	// The next answer arrives before Tick: the withdrawal still counts from the first one.
	f = fleet()
	f.UpdateList(sec, true, listed(1, 2, 3, 4))
	f.UpdateNames(sec, "dns", named(1, 2, 3, 4))
	f.UpdateNames(2*sec, "dns", named(4))
	if changed, requery = f.UpdateNames(2*sec+confirmDelay, "dns", named(4)); len(changed) != 3 || requery || changed[0].Since != 2*sec {
		t.Errorf("withdrawal not revoked by the answer after the delay: %+v, %v", changed, requery)
	}
	f = fleet()
	f.UpdateList(sec, true, listed(1, 2, 3, 4))
	f.UpdateNames(sec, "dns", named(1, 2, 3, 4))
	f.UpdateNames(2*sec, "dns", nil)
	f.UpdateNames(2*sec+100*ms, "dns", named(1, 2, 3, 4))
	if changed := f.Tick(3 * sec); len(changed) != 0 || !statusOf(t, f, 1).Use {
		t.Errorf("withdrawal revoked: %+v", changed)
	}
}

// A source that times out loses its authority but removes no backend; what it withdrew before stays withdrawn. While the list has
// timed out, backends that only other sources name are used, and no longer once it is back.
func TestSourceTimeout(t *testing.T) {
	f := fleet()
	f.UpdateList(sec, true, listed(1, 2, 3))
	f.UpdateNames(sec, "dns", named(1, 2, 3, 9))
	f.UpdateNames(2*sec, "dns", named(1, 2, 9)) // 3 drains
	if changed := f.Tick(30 * sec); len(changed) != 0 || statusOf(t, f, 9).Use {
		t.Errorf("%+v", changed)
	}
	f.UpdateNames(50*sec, "dns", named(1, 2, 9))
	if changed := f.Tick(61 * sec); len(changed) != 1 || !statusOf(t, f, 9).Use || !statusOf(t, f, 1).Use || statusOf(t, f, 3).Use {
		t.Errorf("after the list's timeout: %+v", changed)
	}
	if changed := f.RefreshList(62 * sec); len(changed) != 1 || statusOf(t, f, 9).Use {
		t.Errorf("after the list's return: %+v", changed)
	}
	f.RefreshList(110 * sec)
	if f.Tick(111 * sec); !statusOf(t, f, 1).Use || !statusOf(t, f, 2).Use || statusOf(t, f, 3).Use {
		t.Errorf("after the timeout of dns: %+v", f.All())
	}
	if _, requery := f.UpdateNames(120*sec, "dns", named(1)); requery || !statusOf(t, f, 2).Use {
		t.Error("the first answer after a timeout is treated as a withdrawal of the backends that it omits")
	}
}

// A backend that flaps is excluded for a while when it returns; its removal is never delayed.
func TestFlapping(t *testing.T) {
	f := fleet()
	f.UpdateList(sec, true, listed(1, 2, 3))
	now, returns := sec, 0
	for range 12 {
		now += sec
		f.UpdateList(now, false, []Backend{backend(1, Draining)})
		if statusOf(t, f, 1).Use {
			t.Fatal("a drain was delayed")
		}
		now += sec
		f.UpdateList(now, false, listed(1))
		if statusOf(t, f, 1).Use {
			returns++
		}
	}
	if returns != maxUndampedReturns {
		t.Errorf("it returned %d times in 24 s, want %d", returns, maxUndampedReturns)
	}
	for range 40 { // it returns once it no longer flaps
		if next := f.Next(); statusOf(t, f, 1).Use || next == 0 {
			break
		} else {
			now = max(now, next)
			f.RefreshList(now)
			f.Tick(now)
		}
	}
	if !statusOf(t, f, 1).Use {
		t.Error("it never returns")
	}
}

// Random updates of all sources in any order. A backend that some source withdraws is out of use after the confirmation delay, with
// the grace counted from no later than that withdrawal, until that source or a new process in the list restores it. A backend that
// no source withdraws stays in use.
func TestRandomUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := fleet()
		now := sec
		withdrawnAt := map[string]map[int]time.Duration{"list": {}, "a": {}, "b": {}} // by source and backend; absent if not withdrawn
		namedBy := map[string][]int{}
		started := map[int]int64{}
		used, known := map[int]bool{}, map[int]bool{}
		setNamed := func(src string, ns []int) {
			for _, n := range namedBy[src] {
				if _, ok := withdrawnAt[src][n]; !ok {
					withdrawnAt[src][n] = now
				}
			}
			for _, n := range ns {
				delete(withdrawnAt[src], n)
			}
			namedBy[src] = ns
		}
		firstWithdrawal := func(n int) (at time.Duration) { // 0 for none
			for _, byBackend := range withdrawnAt {
				if t := byBackend[n]; t != 0 && (at == 0 || t < at) {
					at = t
				}
			}
			return at
		}
		check := func() {
			for _, s := range f.All() {
				var n int
				fmt.Sscanf(s.Backend.Addr, "127.0.0.1:%d", &n)
				n -= 9000
				at := firstWithdrawal(n)
				if at != 0 && s.Use && now >= at+confirmDelay {
					t.Fatalf("backend %d is used at %v, though withdrawn at %v: %+v", n, now, at, s)
				} else if at != 0 && !s.Use && now >= at+confirmDelay && s.Since > at {
					t.Fatalf("backend %d is out since %v, want %v: %+v", n, s.Since, at, s)
				}
				if used[n] && !s.Use && at == 0 {
					t.Fatalf("backend %d was removed at %v though no source withdrew it: %+v", n, now, s)
				}
				used[n] = s.Use
			}
		}
		for range 40 {
			now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * ms
			f.Tick(now)
			check()
			ns := rapid.SliceOfNDistinct(rapid.IntRange(1, 6), 0, 6, rapid.ID[int]).Draw(t, "boxes")
			switch src := rapid.SampledFrom([]string{"list", "a", "b", "restart"}).Draw(t, "source"); src {
			case "list":
				var l []Backend
				for _, n := range ns {
					b := backend(n, Ready)
					b.StartedMS = started[n]
					l = append(l, b)
					known[n] = true
				}
				setNamed("list", ns)
				f.UpdateList(now, true, l)
			case "restart":
				if len(ns) == 0 {
					continue
				}
				n := ns[0]
				started[n]++
				b := backend(n, Ready)
				b.StartedMS = started[n]
				delete(withdrawnAt["list"], n)
				if known[n] { // else it is listed for the first time, not a new process
					delete(withdrawnAt["a"], n)
					delete(withdrawnAt["b"], n)
				}
				known[n] = true
				if !slices.Contains(namedBy["list"], n) {
					namedBy["list"] = append(slices.Clone(namedBy["list"]), n)
				}
				f.UpdateList(now, false, []Backend{b})
			default:
				setNamed(src, ns)
				f.UpdateNames(now, src, named(ns...))
			}
			check()
		}
	})
}

// Backends that come and go must not accumulate, even if Tick is never called.
func TestRemovedBackendsAreForgotten(t *testing.T) {
	f := fleet()
	for i := range 2000 {
		now := time.Duration(i+1) * sec
		f.UpdateList(now, true, listed(i, i+1))
		f.UpdateNames(now, "dns", named(i, i+1))
	}
	if members := len(f.members); members > 200 || len(f.byID) != 2 {
		t.Errorf("%d backends and %d IDs are kept, with 2 listed", members, len(f.byID))
	}
}

// BenchmarkList measures full lists and deltas. The cost of a delta must grow with its size, not with the fleet.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{500, 5000} {
		var all []Backend
		for i := range n {
			all = append(all, backend(i, Ready))
		}
		b.Run(fmt.Sprintf("whole/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			f := fleet()
			for b.Loop() {
				f.UpdateList(sec, true, all)
			}
		})
		b.Run(fmt.Sprintf("ten/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			f := fleet()
			f.UpdateList(sec, true, all)
			for b.Loop() {
				f.UpdateList(sec, false, all[:10])
			}
		})
	}
}

// An ID whose address is listed under another ID is off the list. Once the other one is forgotten too, a full list without either
// has nothing to remove. It was a nil pointer dereference when the first ID was kept.
func TestAddressReusedByAnotherIDThenForgotten(t *testing.T) {
	f := fleet()
	f.UpdateList(sec, true, listed(0))
	other := backend(1, Draining)
	other.Addr = backend(0, Ready).Addr
	f.UpdateList(2*sec, false, []Backend{other})
	other.State = Gone
	f.UpdateList(3*sec, false, []Backend{other})
	for now := 4 * sec; now < 10*60*sec; now += sec {
		f.RefreshList(now)
		f.Tick(now)
	}
	if len(f.members) != 0 {
		t.Fatalf("%d members are kept, want none: the test does not reach its case", len(f.members))
	}
	f.UpdateList(601*sec, true, nil)
	if len(f.byID) != 0 {
		t.Errorf("IDs without a member are kept: %v", f.byID)
	}
}
