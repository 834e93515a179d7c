package membership

import "testing"

// The list may tell the end of a process after the start of the next one at its address. That must not take the new one off the list, or
// the names' withdrawal of it is missed: it then got requests for as long as the list called it ready.
func TestLateEndOfPredecessor(t *testing.T) {
	successor := backend(1, Ready)
	successor.ID, successor.StartedMS = "b1-next", 5
	withoutStart, draining := backend(1, Gone), backend(1, Draining)
	withoutStart.StartedMS = 0
	for name, end := range map[string]func(f *Fleet){
		"gone":               func(f *Fleet) { f.UpdateList(5*sec, false, []Backend{backend(1, Gone)}) },
		"gone without start": func(f *Fleet) { f.UpdateList(5*sec, false, []Backend{withoutStart}) },
		"draining":           func(f *Fleet) { f.UpdateList(5*sec, false, []Backend{draining}) },
		"left out":           func(f *Fleet) { f.UpdateList(5*sec, true, append(listed(2, 3, 4), successor)) },
		"gone in a full list": func(f *Fleet) {
			f.UpdateList(5*sec, true, append(listed(2, 3, 4), successor, backend(1, Gone)))
		},
	} {
		f := fleet()
		f.UpdateList(sec, true, listed(1, 2, 3, 4))
		f.UpdateNames(2*sec, "dns", named(1, 2, 3, 4))
		f.UpdateList(4*sec, false, []Backend{successor})
		end(f)
		if s := statusOf(t, f, 1); !s.Use || s.Backend.ID != successor.ID {
			t.Errorf("%s: %+v, want %s in use", name, s, successor.ID)
		}
		changed, _ := f.UpdateNames(6*sec, "dns", named(2, 3, 4))
		if len(changed) != 1 || changed[0].Use || changed[0].Backend.ID != successor.ID || changed[0].Since != 6*sec {
			t.Errorf("%s: the withdrawal by the names changes %+v", name, changed)
		}
	}
}

// A new process at a further address of one that is gone has that address for itself: its withdrawal by the names must not count for the
// other one.
func TestFurtherAddressOfGoneBackendIsReused(t *testing.T) {
	old := backend(1, Ready)
	old.Addrs = []string{old.Addr, backend(5, Ready).Addr}
	gone := old
	gone.State = Gone
	successor := backend(5, Ready)
	successor.StartedMS = 5
	for name, updates := range map[string][]Backend{
		"after the end":  {gone, successor},
		"before the end": {successor, gone},
	} {
		f := fleet()
		f.UpdateList(sec, true, append(listed(2, 3, 4), old))
		f.UpdateNames(2*sec, "dns", named(1, 2, 3, 4, 5))
		for _, b := range updates {
			f.UpdateList(3*sec, false, []Backend{b})
		}
		f.UpdateNames(4*sec, "dns", named(2, 3, 4, 5))
		changed, _ := f.UpdateNames(5*sec, "dns", named(2, 3, 4))
		if len(changed) != 1 || changed[0].Use || changed[0].Backend.ID != successor.ID {
			t.Errorf("%s: the withdrawal by the names changes %+v", name, changed)
		}
	}
}

// An update of a drain may leave out what the backend is. The same process that is ready again is then no new one, for which the names'
// withdrawal would not count.
func TestDrainWithoutStartIsNoRestart(t *testing.T) {
	f := fleet()
	f.UpdateList(sec, true, listed(1, 2, 3, 4))
	f.UpdateNames(2*sec, "dns", named(1, 2, 3, 4))
	f.UpdateNames(3*sec, "dns", named(2, 3, 4))
	f.UpdateList(4*sec, false, []Backend{{ID: backend(1, Ready).ID, State: Draining}})
	f.UpdateList(5*sec, false, listed(1))
	if s := statusOf(t, f, 1); s.Use || s.Backend.Zone != "z" {
		t.Errorf("%+v, want it unused", s)
	}
}
