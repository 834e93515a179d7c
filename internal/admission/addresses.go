package admission

import (
	"container/list"
	"math"
	"time"
)

const (
	maxIdleAddresses     = 4096             // remembered addresses without a connection
	addressTimeConstant  = 30 * time.Second // decay time of the counts of an address
	suspectMinRejected   = 8.0              // an address is suspected from so many recent rejections
	suspectRejectedRatio = 9.0              // and so many rejections for each served request
)

// clientAddress holds the connections and the history of a client address.
type clientAddress struct {
	from        string
	conns       int // open connections
	groups      [closed]group
	countedAt   time.Duration // last decay of served and rejected
	served      float64
	rejected    float64
	idleElement *list.Element // in addressTable.idle; nil while it has a connection
}

// count adds to the decaying counts.
func (p *clientAddress) count(now time.Duration, served, rejected float64) {
	f := math.Exp(-float64(max(0, now-p.countedAt)) / float64(addressTimeConstant))
	p.served, p.rejected, p.countedAt = p.served*f+served, p.rejected*f+rejected, max(now, p.countedAt)
}

// suspected reports whether hardly anything that an address sent recently could be served. An address shared by many
// clients (a proxy) does not become suspected because of a few faulty ones among them.
func (p *clientAddress) suspected(now time.Duration) bool {
	p.count(now, 0, 0)
	return p.rejected >= suspectMinRejected && p.rejected >= suspectRejectedRatio*p.served
}

// addressTable holds the client addresses with open connections and the most recent ones without.
type addressTable struct {
	byAddress map[string]*clientAddress
	active    int       // number of addresses with connections
	idle      list.List // of *clientAddress: addresses without connections, the longest first
}

// open records a connection of an address and returns its entry.
func (ps *addressTable) open(from string) *clientAddress {
	p := ps.byAddress[from]
	if p == nil {
		p = &clientAddress{from: from}
		ps.byAddress[from] = p
	}
	if p.conns == 0 {
		ps.active++
		if p.idleElement != nil {
			ps.idle.Remove(p.idleElement)
			p.idleElement = nil
		}
	}
	p.conns++
	return p
}

// close records that a connection of an address has ended.
func (ps *addressTable) close(p *clientAddress) {
	if p.conns--; p.conns > 0 {
		return
	}
	ps.active--
	p.idleElement = ps.idle.PushBack(p)
	if ps.idle.Len() > maxIdleAddresses {
		delete(ps.byAddress, ps.idle.Remove(ps.idle.Front()).(*clientAddress).from)
	}
}
