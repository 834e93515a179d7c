package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	sec   = time.Second
	ms    = time.Millisecond
	doubt = 500 * ms
)

func box(n int, state string) Backend {
	return Backend{ID: fmt.Sprint("b", n), Addr: fmt.Sprint("127.0.0.1:", 9000+n), Zone: "z", Kind: "k", State: state, StartedMS: 1}
}

func named(ns ...int) []Backend {
	var out []Backend
	for _, n := range ns {
		b := box(n, Ready)
		out = append(out, Backend{ID: "dns:" + b.Addr, Addr: b.Addr, Zone: "z", State: Ready})
	}
	return out
}

func listed(ns ...int) []Backend {
	var out []Backend
	for _, n := range ns {
		out = append(out, box(n, Ready))
	}
	return out
}

func fleet() *Fleet {
	return New(Config{SourceTimeout: 60 * sec, ConfirmDelay: doubt, FlapPenalty: 2 * sec})
}

func stand(t *testing.T, f *Fleet, n int) Status {
	t.Helper()
	for _, s := range f.All() {
		if s.Backend.Addr == box(n, Ready).Addr {
			return s
		}
	}
	t.Fatalf("box %d is not known", n)
	return Status{}
}

// Every cell of the rule, reached by what sources say.
func TestRule(t *testing.T) {
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
				f.UpdateList(2*sec, true, []Backend{box(1, Draining)})
			}
			if others == Withdrawn {
				f.UpdateNames(3*sec, "dns", named(2, 3, 4))
			}
			if s, want := stand(t, f, 1), Decisions[list][others]; s.Use != want.Use || s.Reason != want.Why {
				t.Errorf("list %d, others %d: %+v, want %+v", list, others, s, want)
			}
		}
	}
}

// The grace runs from the first source that told.
func TestTheFirstThatToldCounts(t *testing.T) {
	f := fleet()
	f.UpdateList(sec, true, listed(1, 2, 3))
	f.UpdateNames(sec, "dns", named(1, 2, 3))
	f.UpdateNames(2*sec, "dns", named(2, 3))
	out := f.UpdateList(10*sec, false, []Backend{box(1, Draining)})
	if len(out) != 1 || out[0].Since != 2*sec || out[0].Source != "dns" || out[0].Backend.State != Draining {
		t.Errorf("%+v", out)
	}
	f.UpdateList(11*sec, false, []Backend{box(2, Draining)})
	f.UpdateNames(12*sec, "dns", named(3))
	if s := stand(t, f, 2); s.Since != 11*sec || s.Source != "list" {
		t.Errorf("%+v", s)
	}
}

// The list is late: that it goes on calling a box ready, whole or in part, does not bring back what names withdrew. A later
// start, another name at the address, or the source itself does.
func TestALateListBringsNothingBack(t *testing.T) {
	for what, want := range map[string]bool{"again": false, "whole": false, "restart": true, "successor": true, "names": true} {
		f := fleet()
		f.UpdateList(sec, true, listed(1, 2, 3))
		f.UpdateNames(sec, "dns", named(1, 2, 3))
		f.UpdateNames(2*sec, "dns", named(2, 3))
		later := box(1, Ready)
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
		if s := stand(t, f, 1); s.Use != want {
			t.Errorf("%s: %+v, want use %v", what, s, want)
		}
	}
}

// Names know a box by any of its addresses, and withdraw it when they name none of them.
func TestSeveralAddresses(t *testing.T) {
	f := fleet()
	b := box(1, Ready)
	b.Addrs = []string{"[::1]:9001", b.Addr}
	f.UpdateList(sec, true, append(listed(2, 3, 4), b))
	other := Backend{ID: "dns:x", Addr: "[::1]:9001", State: Ready}
	f.UpdateNames(sec, "dns", append(named(1, 2, 3, 4), other))
	f.UpdateNames(2*sec, "dns", append(named(2, 3, 4), other))
	if s := stand(t, f, 1); !s.Use || len(f.All()) != 4 {
		t.Errorf("one of its addresses is named: %+v of %d", s, len(f.All()))
	}
	f.UpdateNames(3*sec, "dns", named(2, 3, 4))
	if s := stand(t, f, 1); s.Use || s.Since != 3*sec {
		t.Errorf("none of its addresses is named: %+v", s)
	}
}

// A source that withdraws most of what it named is asked again, and stands by it from the first telling on.
func TestDoubt(t *testing.T) {
	f := fleet()
	f.UpdateList(sec, true, listed(1, 2, 3, 4))
	f.UpdateNames(sec, "dns", named(1, 2, 3, 4))
	changed, ask := f.UpdateNames(2*sec, "dns", named(4))
	if len(changed) != 0 || !ask || !stand(t, f, 1).Use || f.Next() != 2*sec+doubt {
		t.Fatalf("%v, %v, next %v", changed, ask, f.Next())
	}
	if changed, ask = f.UpdateNames(2*sec+100*ms, "dns", named(2, 4)); len(changed) != 0 || ask {
		t.Errorf("half of it taken back: %v, %v", changed, ask)
	}
	changed = f.Tick(2*sec + doubt)
	if len(changed) != 2 || changed[0].Since != 2*sec || changed[0].Use || !stand(t, f, 2).Use {
		t.Errorf("not taken back: %+v", changed)
	}
	// The next answer comes before Tick does: the first telling counts all the same.
	f = fleet()
	f.UpdateList(sec, true, listed(1, 2, 3, 4))
	f.UpdateNames(sec, "dns", named(1, 2, 3, 4))
	f.UpdateNames(2*sec, "dns", named(4))
	if changed, ask = f.UpdateNames(2*sec+doubt, "dns", named(4)); len(changed) != 3 || ask || changed[0].Since != 2*sec {
		t.Errorf("not taken back by the answer after the doubt: %+v, %v", changed, ask)
	}
	f = fleet()
	f.UpdateList(sec, true, listed(1, 2, 3, 4))
	f.UpdateNames(sec, "dns", named(1, 2, 3, 4))
	f.UpdateNames(2*sec, "dns", nil)
	f.UpdateNames(2*sec+100*ms, "dns", named(1, 2, 3, 4))
	if changed := f.Tick(3 * sec); len(changed) != 0 || !stand(t, f, 1).Use {
		t.Errorf("taken back: %+v", changed)
	}
}

// A source that is silent loses its say and takes nothing along; what it withdrew before stays withdrawn. While the list is
// silent, boxes that only names know are used, and no longer once it is back.
func TestSilence(t *testing.T) {
	f := fleet()
	f.UpdateList(sec, true, listed(1, 2, 3))
	f.UpdateNames(sec, "dns", named(1, 2, 3, 9))
	f.UpdateNames(2*sec, "dns", named(1, 2, 9)) // 3 drains
	if changed := f.Tick(30 * sec); len(changed) != 0 || stand(t, f, 9).Use {
		t.Errorf("%+v", changed)
	}
	f.UpdateNames(50*sec, "dns", named(1, 2, 9))
	if changed := f.Tick(61 * sec); len(changed) != 1 || !stand(t, f, 9).Use || !stand(t, f, 1).Use || stand(t, f, 3).Use {
		t.Errorf("the list is silent: %+v", changed)
	}
	if changed := f.RefreshList(62 * sec); len(changed) != 1 || stand(t, f, 9).Use {
		t.Errorf("the list is back: %+v", changed)
	}
	f.RefreshList(110 * sec)
	if f.Tick(111 * sec); !stand(t, f, 1).Use || !stand(t, f, 2).Use || stand(t, f, 3).Use {
		t.Errorf("names are silent: %+v", f.All())
	}
	if _, ask := f.UpdateNames(120*sec, "dns", named(1)); ask || !stand(t, f, 2).Use {
		t.Error("what it names after its silence is taken for a withdrawal of the rest")
	}
}

// Coming back is damped, going is not.
func TestFlapping(t *testing.T) {
	f := fleet()
	f.UpdateList(sec, true, listed(1, 2, 3))
	now, returns := sec, 0
	for range 12 {
		now += sec
		f.UpdateList(now, false, []Backend{box(1, Draining)})
		if stand(t, f, 1).Use {
			t.Fatal("a drain was damped")
		}
		now += sec
		f.UpdateList(now, false, listed(1))
		if stand(t, f, 1).Use {
			returns++
		}
	}
	if returns != freeReturns {
		t.Errorf("it came back %d times in 24 s, want %d", returns, freeReturns)
	}
	for range 40 { // and it does, once it is calm
		if next := f.Next(); stand(t, f, 1).Use || next == 0 {
			break
		} else {
			now = max(now, next)
			f.RefreshList(now)
			f.Tick(now)
		}
	}
	if !stand(t, f, 1).Use {
		t.Error("it never comes back")
	}
}

// 200 scripts and more of news in any order: a box that some source called out is out once the doubt is over, counted from no
// later than that telling, until that source, or a new process in the list, brings it back; and without news of a box none goes.
func TestAnyNews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := fleet()
		now := sec
		out := map[string]map[int]time.Duration{"list": {}, "a": {}, "b": {}} // since when a source calls a box out
		says := map[string][]int{}
		started := map[int]int64{}
		used, ever := map[int]bool{}, map[int]bool{}
		told := func(src string, ns []int) {
			for _, n := range says[src] {
				if _, ok := out[src][n]; !ok {
					out[src][n] = now
				}
			}
			for _, n := range ns {
				delete(out[src], n)
			}
			says[src] = ns
		}
		first := func(n int) (at time.Duration) { // 0 for nobody
			for _, of := range out {
				if t := of[n]; t != 0 && (at == 0 || t < at) {
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
				at := first(n)
				if at != 0 && s.Use && now >= at+doubt {
					t.Fatalf("box %d is used at %v, called out at %v: %+v", n, now, at, s)
				} else if at != 0 && !s.Use && now >= at+doubt && s.Since > at {
					t.Fatalf("box %d is out as told at %v, it was at %v: %+v", n, s.Since, at, s)
				}
				if used[n] && !s.Use && at == 0 {
					t.Fatalf("box %d went at %v though nobody called it out: %+v", n, now, s)
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
					b := box(n, Ready)
					b.StartedMS = started[n]
					l = append(l, b)
					ever[n] = true
				}
				told("list", ns)
				f.UpdateList(now, true, l)
			case "restart":
				if len(ns) == 0 {
					continue
				}
				n := ns[0]
				started[n]++
				b := box(n, Ready)
				b.StartedMS = started[n]
				delete(out["list"], n)
				if ever[n] { // else it is the list's first word on it, and no new process
					delete(out["a"], n)
					delete(out["b"], n)
				}
				ever[n] = true
				if !slices.Contains(says["list"], n) {
					says["list"] = append(slices.Clone(says["list"]), n)
				}
				f.UpdateList(now, false, []Backend{b})
			default:
				told(src, ns)
				f.UpdateNames(now, src, named(ns...))
			}
			check()
		}
	})
}

// Boxes that come and go do not stay for good, also where nothing but the list is ever heard.
func TestTheGoneAreForgotten(t *testing.T) {
	f := fleet()
	for i := range 2000 {
		now := time.Duration(i+1) * sec
		f.UpdateList(now, true, listed(i, i+1))
		f.UpdateNames(now, "dns", named(i, i+1))
	}
	if n := len(f.members); n > 200 || len(f.byID) != 2 {
		t.Errorf("%d boxes are kept and %d names, of 2 that are there", n, len(f.byID))
	}
}

// The work for a change grows with it, not with the fleet.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{500, 5000} {
		var all []Backend
		for i := range n {
			all = append(all, box(i, Ready))
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

// A name whose address was told under another name is not the list's any more: once that other one is forgotten, a whole
// list that names neither finds nothing to withdraw. (It was a nil pointer.)
func TestAddressToldUnderAnotherNameThenForgotten(t *testing.T) {
	f := fleet()
	f.UpdateList(sec, true, listed(0))
	other := box(1, Draining)
	other.Addr = box(0, Ready).Addr
	f.UpdateList(2*sec, false, []Backend{other})
	other.State = Gone
	f.UpdateList(3*sec, false, []Backend{other})
	for now := 4 * sec; now < 10*60*sec; now += sec {
		f.RefreshList(now)
		f.Tick(now)
	}
	if len(f.members) != 0 {
		t.Fatalf("%d members are kept, want none: the case that this test is for does not come up", len(f.members))
	}
	f.UpdateList(601*sec, true, nil)
	if len(f.byID) != 0 {
		t.Errorf("names without a member are kept: %v", f.byID)
	}
}
