package engine

import "slices"

// index holds the listed backends by address and counts those that take new requests, so that an update of one backend
// does not iterate over all of them. The zero value is empty.
type index struct {
	byAddr  map[string][]*Backend
	size    int
	open    int // number of backends that take new requests
	changes int // number of additions and removals; a change between ready and draining doesn't count
}

// at returns a copy of the backends at an address.
func (x *index) at(addr string) []*Backend { return slices.Clone(x.byAddr[addr]) }

// all iterates over the backends in no particular order.
func (x *index) all(yield func(*Backend) bool) {
	for _, some := range x.byAddr {
		for _, b := range some {
			if !yield(b) {
				return
			}
		}
	}
}

// update adds a backend or updates whether it takes new requests. It takes a removed backend out.
func (x *index) update(b *Backend) {
	if b.removed {
		x.remove(b)
		return
	}
	if x.byAddr == nil {
		x.byAddr = map[string][]*Backend{}
	}
	if all := x.byAddr[b.Addr]; !slices.Contains(all, b) {
		x.byAddr[b.Addr] = append(all, b)
		x.size++
		x.changes++
	}
	x.count(b, b.writesStopAt.Load() == nil)
}

// remove takes a backend out, if it is there.
func (x *index) remove(b *Backend) {
	x.count(b, false)
	all := x.byAddr[b.Addr]
	i := slices.Index(all, b)
	if i < 0 {
		return
	}
	x.size--
	x.changes++
	if len(all) == 1 {
		delete(x.byAddr, b.Addr)
		return
	}
	x.byAddr[b.Addr] = slices.Delete(all, i, i+1)
}

// count updates the number of backends that take new requests.
func (x *index) count(b *Backend, open bool) {
	if open == b.countedOpen {
		return
	}
	b.countedOpen = open
	if open {
		x.open++
	} else {
		x.open--
	}
}
