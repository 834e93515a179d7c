package engine

import "slices"

// index finds the backends on the list by their address, and counts those that take new requests, so that news of one
// backend does not walk all of them. Its zero value is empty.
type index struct {
	byAddr  map[string][]*Backend
	size    int
	open    int // of these, those that take new requests
	changes int // of who is listed: a backend that only drains, or is ready again, is none
}

// at are the backends at an address. What they are is not changed by what happens to the index later.
func (x *index) at(addr string) []*Backend { return slices.Clone(x.byAddr[addr]) }

// all are the backends on the list, in no order.
func (x *index) all(yield func(*Backend) bool) {
	for _, some := range x.byAddr {
		for _, b := range some {
			if !yield(b) {
				return
			}
		}
	}
}

// update takes in that a backend is listed, or that it drains or is ready again. One that has left is taken out.
func (x *index) update(b *Backend) {
	if b.left {
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
	x.count(b, b.stop.Load() == nil)
}

// remove takes a backend out. One that is not there changes nothing.
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

// count notes whether a backend takes new requests.
func (x *index) count(b *Backend, open bool) {
	if open == b.opened {
		return
	}
	b.opened = open
	if open {
		x.open++
	} else {
		x.open--
	}
}
