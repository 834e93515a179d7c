// Package ownership decides which listed backend process owns an address. An address belongs to one process at a time, but a backend
// list may name two: a new process is listed while the end of the one before, which fell silent, has not been noticed. The one that was
// told last owns the address, as start times are of clocks that may be stepped; of those told at once the one that started last. One that
// also started before the owner has ended, whatever the list says of it later, until the list has another process under its ID.
//
// The package has no clock, I/O or goroutines. A Table is not safe for concurrent use.
package ownership

import (
	"cmp"
	"maps"
	"slices"

	"craneglade/internal/membership"
)

// Table holds the processes of a backend list and the owners of their addresses.
type Table struct {
	processes map[string]*process // by ID
	byAddress map[string][]*process
	updates   int             // number of calls of Update
	shared    map[string]bool // addresses that several processes have and whose owner is to be decided
	unsettled int             // number of listed processes that are superseded or contested
}

// process is one listed backend process. Everything but its state is fixed: an ID with another start or address is another process.
type process struct {
	id        string
	addr, rpc string // as in the list
	further   []string
	addresses []string // all of them, over any protocol, sorted
	start     int64    // Unix milliseconds; 0 for long ago
	zone      string
	cell      int64

	toldIn    int  // the update that first named it
	position  int  // its index there
	toldReady bool // it was ready then

	owner     *process // owns one of its addresses in its place; nil if it has them all
	ended     bool     // it started before one that owned an address of it
	contested bool     // another group's process may as well own its addresses
}

// NewTable returns a table without processes.
func NewTable() *Table {
	return &Table{processes: map[string]*process{}, byAddress: map[string][]*process{}, shared: map[string]bool{}}
}

// Superseded is a process that has lost an address to another one.
type Superseded struct {
	ID    string
	Owner string // ID of the process that has the address
}

// Update applies a full list or a delta, and returns the processes that have lost an address by it.
func (t *Table) Update(full bool, backends []membership.Backend) []Superseded {
	t.updates++
	if full {
		t.removeUnlisted(backends)
	}
	for i := range backends {
		if b := &backends[i]; b.State == membership.Gone {
			t.remove(b.ID)
		} else {
			t.update(b, i)
		}
	}
	var out []Superseded
	for _, address := range slices.Sorted(maps.Keys(t.shared)) { // sorted for reproducible results
		out = t.settle(address, out)
	}
	clear(t.shared)
	return out
}

// Settled reports whether all listed processes have their addresses for themselves, so that Owner and Contested tell nothing of any.
func (t *Table) Settled() bool { return t.unsettled == 0 }

// Owner returns the ID of the process that owns an address of a listed process in its place, and "" if there is none.
func (t *Table) Owner(id string) string {
	if p := t.processes[id]; p != nil && p.owner != nil {
		return p.owner.id
	}
	return ""
}

// Contested reports whether the zone and cell of whoever owns the addresses of a listed process are not known, as nothing tells which
// of two processes it is.
func (t *Table) Contested(id string) bool {
	p := t.processes[id]
	return p != nil && p.contested
}

// update applies the entry of a process.
func (t *Table) update(b *membership.Backend, position int) {
	old := t.processes[b.ID]
	known := old != nil && !membership.IsRestart(old.start, b)
	if known && old.addr == b.Addr && old.rpc == b.RPC && slices.Equal(old.further, b.Addrs) {
		return
	}
	p := &process{id: b.ID, addr: b.Addr, rpc: b.RPC, further: b.Addrs, start: b.StartedMS, zone: b.Zone, cell: b.Cell,
		toldIn: t.updates, position: position, toldReady: b.State == membership.Ready}
	if known {
		p.addr, p.rpc = cmp.Or(b.Addr, old.addr), cmp.Or(b.RPC, old.rpc)
		p.start = old.start
	}
	p.addresses = addresses(p.addr, p.rpc, b.Addrs)
	if known && isSubset(p.addresses, old.addresses) && (!p.toldReady || len(p.addresses) == len(old.addresses)) {
		return // an update of a drain may omit some
	}
	t.remove(b.ID)
	t.processes[b.ID] = p
	for _, address := range p.addresses {
		t.byAddress[address] = append(t.byAddress[address], p)
	}
	t.noteShared(p)
}

// noteShared has the owners of a process's addresses decided, where others have them too.
func (t *Table) noteShared(p *process) {
	for _, address := range p.addresses {
		if len(t.byAddress[address]) > 1 {
			t.shared[address] = true
		}
	}
}

// remove forgets a process. Those that only may have lost an address to it may have it again; whose it is now is not known for sure.
func (t *Table) remove(id string) {
	p := t.processes[id]
	if p == nil {
		return
	}
	delete(t.processes, id)
	if !p.settled() {
		t.unsettled--
	}
	for _, address := range p.addresses {
		rest := slices.DeleteFunc(t.byAddress[address], func(o *process) bool { return o == p })
		if len(rest) == 0 {
			delete(t.byAddress, address)
		} else {
			t.byAddress[address] = rest
		}
		for _, o := range rest {
			if o.owner == p && !o.ended {
				o.owner, o.contested = nil, true
				t.noteShared(o)
			}
		}
	}
}

// removeUnlisted forgets the processes that a full list omits.
func (t *Table) removeUnlisted(backends []membership.Backend) {
	listed := make(map[string]bool, len(backends))
	for i := range backends {
		listed[backends[i].ID] = true
	}
	for id := range t.processes {
		if !listed[id] {
			t.remove(id)
		}
	}
}

// settle decides which process owns an address, and appends those that have lost it to out.
func (t *Table) settle(address string, out []Superseded) []Superseded {
	if len(t.byAddress[address]) < 2 {
		return out // another entry of the update has moved the others away
	}
	owner := slices.MaxFunc(t.byAddress[address], compare)
	for _, p := range t.byAddress[address] {
		if p == owner {
			continue
		}
		if p.start < owner.start {
			p.ended = true
		} else if (p.start > owner.start || p.toldIn == owner.toldIn) && (p.zone != owner.zone || p.cell != owner.cell) {
			t.mark(owner, func() { owner.contested = true })
		}
		if p.owner == nil {
			t.mark(p, func() { p.owner = owner })
			out = append(out, Superseded{ID: p.id, Owner: owner.id})
		}
	}
	return out
}

// settled reports whether a process has its addresses for itself.
func (p *process) settled() bool { return p.owner == nil && !p.contested }

// mark calls set, which makes a process superseded or contested.
func (t *Table) mark(p *process, set func()) {
	if p.settled() {
		t.unsettled++
	}
	set()
}

// compare orders the processes at an address by who had it first.
func compare(a, b *process) int {
	return cmp.Or(cmp.Compare(a.toldIn, b.toldIn), cmp.Compare(a.start, b.start), compareBool(a.toldReady, b.toldReady), cmp.Compare(a.position, b.position))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// addresses returns all addresses of a backend, sorted.
func addresses(addr, rpc string, further []string) []string {
	all := make([]string, 0, 2+len(further))
	for _, address := range [...]string{addr, rpc} {
		if address != "" {
			all = append(all, address)
		}
	}
	all = append(all, further...)
	slices.Sort(all)
	return slices.Compact(all)
}

// isSubset reports whether all of some is in all, which is sorted.
func isSubset(some, all []string) bool {
	return !slices.ContainsFunc(some, func(s string) bool {
		_, found := slices.BinarySearch(all, s)
		return !found
	})
}
