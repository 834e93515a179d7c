package engine

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"craneglade/policy"
)

// inUse returns the IDs of the backends that are listed and take new requests, sorted, with spaces between.
func (e *Engine) inUse() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ids []string
	for b := range e.listed.all {
		if b.writesStopAt.Load() == nil {
			ids = append(ids, b.ID)
		}
	}
	slices.Sort(ids)
	return strings.Join(ids, " ")
}

// A list may have a new process at the address of one whose end it does not know yet. Only the one that started last is used, in whichever
// form and order the list tells it: a request that counts for the other one would run in a backend of another group.
func TestOneProcessUsedAtAnAddress(t *testing.T) {
	at := func(id, addr string, started int64, state string) ListedBackend {
		return ListedBackend{ID: id, Addr: addr, Zone: "north", Kind: "k", StartedMS: started, State: state}
	}
	rpc := func(b ListedBackend, addr string) ListedBackend {
		b.RPC = addr
		return b
	}
	also := func(b ListedBackend, addrs ...string) ListedBackend {
		b.Addrs = append([]string{b.Addr}, addrs...)
		return b
	}
	old, later := at("old", "a", 5, "Ready"), at("new", "a", 9, "Ready")
	type step struct {
		want     string
		full     bool
		backends []ListedBackend
	}
	full := func(want string, backends ...ListedBackend) step { return step{want, true, backends} }
	change := func(want string, backends ...ListedBackend) step { return step{want, false, backends} }
	for name, steps := range map[string][]step{
		"whole lists":              {full("old", old), full("new", old, later), full("new", old, later)},
		"whole lists, other order": {full("old", old), full("new", later, old), full("new", later, old)},
		"first list":               {full("new", old, later)},
		"first list, other order":  {full("new", later, old)},
		"changes":                  {full("old", old), change("new", later), change("new", old), full("new", old, later)},
		"one change":               {full("old", old), change("new", later, old)},
		"late end":                 {full("old", old), change("new", later), change("new", at("old", "a", 5, "Gone")), full("new", later)},
		"late drain":               {full("old", old), change("new", later), change("new", at("old", "a", 5, "Terminating"))},
		"the later one ends first": {full("old", old), full("new", old, later), full("", old), full("", old)},
		"told late, earlier start": {full("new", later), full("old", old, later), full("old", old, later), full("new", later), full("new", later)},
		"restarted after it":       {full("old", old), change("new", later), change("old", at("old", "a", 12, "Ready"))},
		"moved elsewhere":          {full("old", old), change("new", later), change("new old", at("old", "b", 5, "Ready"))},
		"moved here":               {full("new old", at("old", "b", 5, "Ready"), later), change("old", old), full("old", old, later)},
		"moved here, others away":  {full("new old", at("old", "b", 5, "Ready"), later), change("old", old), change("new old", at("new", "b", 9, "Ready"))},
		"swapped":                  {full("new old", old, at("new", "b", 9, "Ready")), full("new old", at("old", "b", 5, "Ready"), later)},
		"same start":               {full("old", old), full("new", old, at("new", "a", 5, "Ready")), full("new", old, at("new", "a", 5, "Ready"))},
		"RPC address":              {full("old", rpc(old, "r")), full("new", rpc(old, "r"), rpc(at("new", "b", 9, "Ready"), "r"))},
		"RPC address of HTTP":      {full("old", old), full("new", old, rpc(at("new", "b", 9, "Ready"), "a"))},
		"further address":          {full("old", also(old, "c")), full("new", also(old, "c"), also(at("new", "b", 9, "Ready"), "c"))},
		"address given up":         {full("old", also(old, "c")), full("old", old), full("new old", old, at("new", "c", 9, "Ready"))},
		"three":                    {full("third", old, at("third", "a", 11, "Ready"), later), full("third", later, old, at("third", "a", 11, "Ready"))},
	} {
		for _, wait := range []time.Duration{0, 2 * grace} { // until after what was removed has been forgotten
			t.Run(name+"/"+wait.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e, _ := newEngine(t)
					defer e.Stop()
					for i, s := range steps {
						kind := policy.ListDelta
						if s.full {
							kind = policy.ListFull
						}
						e.takeList(&List{Version: int64(i), Full: s.full, Backends: s.backends}, kind)
						if got := e.inUse(); got != s.want {
							t.Errorf("after list %d %q is in use, want %q", i, got, s.want)
						}
						time.Sleep(wait)
						synctest.Wait()
					}
					time.Sleep(2 * grace) // let the timers expire
				})
			})
		}
	}
}
