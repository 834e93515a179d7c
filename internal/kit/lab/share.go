package lab

import (
	"maps"
	"slices"
	"time"

	"craneglade/internal/shared"
	"craneglade/internal/shared/escrow"
	"craneglade/internal/shared/judgement"
	"craneglade/internal/shared/roster"
	"craneglade/policy"
)

// Sharing has the nodes share state, as peers that gossip over a network that loses part of what they say. Who is
// here is not found out by SWIM's own messages: a node that ends is told as dead to all after deadAfter.
type Sharing struct {
	Use     shared.Features
	Loss    float64 // part of the datagrams
	BytesPS int     // of a node
}

const (
	shareStep   = 250 * time.Millisecond
	gossipEvery = 200 * time.Millisecond
	gossipTo    = 3
	datagram    = 1400
	wholeEvery  = 10 * time.Second
	deadAfter   = 3 * time.Second
)

func (n *node) key(b *box) judgement.Key {
	return shared.Key(b.plan.ID, int64(b.started/time.Millisecond))
}

// share gives the node's new life a replica.
func (n *node) share(set *policy.Settings) {
	o := n.w.opt.Sharing
	if o == nil {
		return
	}
	quotas := map[string]float64{}
	for _, t := range set.Tenants {
		quotas[t.Name] = t.QuotaPerS
	}
	n.shared = shared.New(shared.Config{Name: n.Name, Self: escrow.Node{Number: n.index, Incarnation: uint64(n.life) + 1}, Nodes: set.Nodes, Site: n.Site,
		Quotas: quotas, OverflowSites: planned(n.w.opt.Sites), Terms: escrow.DefaultTerms(), Limits: judgement.DefaultLimits(), Features: o.Use, BytesPerSecond: o.BytesPS, MaxDatagramBytes: datagram}, epoch+n.w.now)
	life := n.life
	n.every(life, shareStep, func() {
		n.speak(n.shared.Step(epoch + n.w.now))
		n.view()
	})
	n.every(life, gossipEvery, n.gossip)
	n.every(life, wholeEvery, func() {
		if p := n.peer(); p != nil {
			mine, theirs := n.shared.State(epoch+n.w.now), p.shared.State(epoch+n.w.now)
			n.w.carry(p, mine)
			n.w.carry(n, theirs)
		}
	})
	n.w.after(gossipEvery, func() {
		for _, p := range n.w.nodes {
			if p != n && p.up && p.shared != nil && n.life == life {
				n.meet(p)
				p.meet(n)
			}
		}
	})
}

func (n *node) meet(p *node) {
	if err := n.shared.MemberJoined(epoch+n.w.now, p.Name, p.shared.Meta()); err != nil {
		panic(err) // it was written by this very program
	}
}

// every calls f in turns, from somewhere in the first one on, while the node's life lasts.
func (n *node) every(life int, turn time.Duration, f func()) {
	var next func()
	next = func() {
		if n.up && n.life == life {
			f()
			n.w.after(turn, next)
		}
	}
	n.w.after(time.Duration(n.w.rng.Float64()*float64(turn)), next)
}

// peer is another node that is up, by chance; nil where there is none.
func (n *node) peer() *node {
	for range 8 {
		if p := n.w.nodes[n.w.rng.IntN(len(n.w.nodes))]; p != n && p.up && p.shared != nil {
			return p
		}
	}
	return nil
}

func (n *node) gossip() {
	for range gossipTo {
		if p := n.peer(); p != nil {
			for _, frame := range n.shared.Broadcasts(epoch+n.w.now, 2, datagram) {
				n.w.gossiped(frame)
				n.w.carry(p, frame)
			}
		}
	}
}

// speak sends messages to the members that they are for.
func (n *node) speak(all []shared.Message) {
	for _, m := range all {
		if m.To >= 0 && m.To < len(n.w.nodes) {
			n.w.gossiped(m.Payload)
			n.w.carry(n.w.nodes[m.To], m.Payload)
		}
	}
}

func (w *world) gossiped(frame []byte) { w.counts.Gossip += float64(len(frame)) }

// carry takes a frame to a node, or loses it.
func (w *world) carry(to *node, frame []byte) {
	if w.rng.Float64() < w.opt.Sharing.Loss {
		return
	}
	life := to.life
	w.after(w.delay(to.Site, to.Site), func() {
		if !to.up || to.life != life || to.shared == nil {
			return
		}
		answers, err := to.shared.Receive(epoch+w.now, frame)
		if err != nil {
			panic(err) // it was written by this very program
		}
		to.speak(answers)
	})
}

// view hands in what the node may act on now.
func (n *node) view() {
	v := n.shared.View(epoch + n.w.now)
	for _, note := range n.shared.Notes() {
		if n.w.opt.note != nil {
			n.w.opt.note(n.Name, note)
		}
	}
	if n.sites != nil {
		n.sites.Node.SetHeadroomShares(v.OverflowShares)
		n.sites.Node.SetLiveNodes(v.LiveNodes)
	}
	n.handle(v.Event(func(k judgement.Key) (uint32, bool) { x, ok := n.keys[k]; return x, ok }))
}

// listed tells the replica which boxes there are.
func (n *node) listed() {
	n.sited()
	if n.shared == nil {
		return
	}
	n.keys = map[judgement.Key]uint32{}
	var all []judgement.Backend
	for _, id := range slices.Sorted(maps.Keys(n.known)) {
		e := n.known[id]
		if e.State == policy.Active && n.w.boxes[id-1] != nil {
			k := n.key(n.w.boxes[id-1])
			n.keys[k] = id
			all = append(all, judgement.Backend{Key: k, Name: n.w.plan.Boxes[id-1].ID, Site: e.Zone})
		}
	}
	n.shared.SetBackends(all)
}

// died tells the others that a node has ended.
func (n *node) died() {
	if n.shared == nil {
		return
	}
	meta, life := n.shared.Meta(), n.life
	n.w.after(deadAfter, func() {
		for _, p := range n.w.nodes {
			if p != n && p.up && p.shared != nil && (n.life == life || !n.up) {
				p.shared.MemberDown(epoch+n.w.now, meta, roster.Dead)
			}
		}
	})
}
