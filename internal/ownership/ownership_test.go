package ownership

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"craneglade/internal/membership"
)

func backend(id, addr string, started, cell int64) membership.Backend {
	return membership.Backend{ID: id, Addr: addr, Zone: "north", Cell: cell, State: membership.Ready, StartedMS: started}
}

// What a process that lost its address was superseded by is told once, by the update that decided it, whether the update names it or not.
func TestSupersededIsReportedOnce(t *testing.T) {
	t.Parallel()
	table := NewTable()
	old, later := backend("old", "a", 5, 0), backend("new", "a", 9, 1)
	if got := table.Update(true, []membership.Backend{old}); len(got) != 0 {
		t.Errorf("%+v superseded by the first list", got)
	}
	if got := table.Update(false, []membership.Backend{later}); !slices.Equal(got, []Superseded{{ID: "old", Owner: "new"}}) {
		t.Errorf("%+v superseded by the change", got)
	}
	if got := table.Update(true, []membership.Backend{old, later}); len(got) != 0 || table.Owner("old") != "new" || table.Owner("new") != "" {
		t.Errorf("%+v superseded by the whole list, owners %q and %q", got, table.Owner("old"), table.Owner("new"))
	}
	table.Update(false, []membership.Backend{{ID: "old", State: membership.Gone}})
	if table.Owner("old") != "" {
		t.Error("a process that is gone has an owner of its address")
	}
}

// If two processes of different groups are told at once with the same start, nothing tells which of them has the address.
func TestContested(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		first, second []membership.Backend
		want          bool
	}{
		"at once, same start":             {first: []membership.Backend{backend("x", "a", 0, 1), backend("y", "a", 0, 2)}, want: true},
		"at once, same start and group":   {first: []membership.Backend{backend("x", "a", 0, 1), backend("y", "a", 0, 1)}},
		"at once, other start":            {first: []membership.Backend{backend("x", "a", 4, 1), backend("y", "a", 5, 2)}},
		"one after the other, same start": {first: []membership.Backend{backend("x", "a", 0, 1)}, second: []membership.Backend{backend("y", "a", 0, 2)}},
	} {
		table := NewTable()
		table.Update(true, c.first)
		table.Update(false, c.second)
		if got := table.Contested("y"); got != c.want || table.Owner("y") != "" || table.Owner("x") != "y" {
			t.Errorf("%s: contested %v, want %v; owners %q and %q", name, got, c.want, table.Owner("x"), table.Owner("y"))
		}
	}
}

// After any updates no two processes have an address in common unless one of them is superseded. A process that also started before its
// owner never has its addresses back; another one may, once the owner is gone or elsewhere, and is contested then.
func TestRandomUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		for range rapid.IntRange(1, 12).Draw(t, "updates") {
			full := rapid.Bool().Draw(t, "full")
			var update []membership.Backend
			for range rapid.IntRange(0, 5).Draw(t, "entries") {
				b := backend(fmt.Sprint("b", rapid.IntRange(0, 5).Draw(t, "id")), fmt.Sprint("a", rapid.IntRange(0, 3).Draw(t, "addr")), int64(rapid.IntRange(0, 3).Draw(t, "start")), 0)
				b.State = rapid.SampledFrom([]string{membership.Ready, membership.Ready, membership.Draining, membership.Gone}).Draw(t, "state")
				if rapid.Bool().Draw(t, "rpc") {
					b.RPC = fmt.Sprint("a", rapid.IntRange(0, 5).Draw(t, "rpc address"))
				}
				update = append(update, b)
			}
			superseded := map[*process]*process{} // and their owners
			for _, p := range table.processes {
				if p.owner != nil {
					superseded[p] = p.owner
				}
			}
			table.Update(full, update)
			checkAddresses(t, table)
			for p, owner := range superseded {
				switch {
				case table.processes[p.id] != p || p.owner != nil:
				case p.start < owner.start:
					t.Fatalf("%s has its addresses again, though %s started there later", p.id, owner.id)
				case !table.Contested(p.id) || table.processes[owner.id] == owner:
					t.Fatalf("%s has its addresses again for sure, or beside %s", p.id, owner.id)
				}
			}
		}
	})
}

// checkAddresses fails the test if two processes that are not superseded have an address in common, or if Settled does not tell what is.
func checkAddresses(t *rapid.T, table *Table) {
	settled := true
	has := map[string]string{}
	for id, p := range table.processes {
		settled = settled && table.Owner(id) == "" && !table.Contested(id)
		if table.Owner(id) != "" {
			continue
		}
		for _, address := range p.addresses {
			if other := has[address]; other != "" {
				t.Fatalf("%s and %s both have %s", id, other, address)
			}
			has[address] = id
		}
	}
	if table.Settled() != settled {
		t.Fatalf("settled is %v", table.Settled())
	}
}
