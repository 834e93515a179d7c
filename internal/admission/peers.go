package admission

import (
	"container/list"
	"math"
	"time"
)

const (
	peersKept  = 4096             // addresses without a connection that are remembered
	peerMemory = 30 * time.Second // what an address did is forgotten over this
	doubtFrom  = 8.0              // so much that was rejected lately,
	doubtTimes = 9.0              // and so many times what was served, puts an address in doubt
)

// peer is one address of clients.
type peer struct {
	from     string
	held     int // connections
	groups   [closed]group
	at       time.Duration // of the counts:
	served   float64
	rejected float64
	idle     *list.Element // among those without a connection
}

func (p *peer) note(now time.Duration, served, rejected float64) {
	f := math.Exp(-float64(max(0, now-p.at)) / float64(peerMemory))
	p.served, p.rejected, p.at = p.served*f+served, p.rejected*f+rejected, max(now, p.at)
}

// doubtful tells whether an address lately sent next to nothing that could be served. One that stands for many clients
// (a front layer) is not in doubt for the bad ones among them.
func (p *peer) doubtful(now time.Duration) bool {
	p.note(now, 0, 0)
	return p.rejected >= doubtFrom && p.rejected >= doubtTimes*p.served
}

// peers are the addresses that hold connections, and the latest of those that held some.
type peers struct {
	known  map[string]*peer
	active int       // that hold connections
	rest   list.List // of *peer: that hold none, the longest first
}

func (ps *peers) open(from string) *peer {
	p := ps.known[from]
	if p == nil {
		p = &peer{from: from}
		ps.known[from] = p
	}
	if p.held == 0 {
		ps.active++
		if p.idle != nil {
			ps.rest.Remove(p.idle)
			p.idle = nil
		}
	}
	p.held++
	return p
}

func (ps *peers) close(p *peer) {
	if p.held--; p.held > 0 {
		return
	}
	ps.active--
	p.idle = ps.rest.PushBack(p)
	if ps.rest.Len() > peersKept {
		delete(ps.known, ps.rest.Remove(ps.rest.Front()).(*peer).from)
	}
}
