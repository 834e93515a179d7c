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

// Sharing makes the nodes share state by gossip over a network that loses some datagrams. Membership is not detected by
// SWIM's messages here: all nodes are notified of a node's end after deadNoticeDelay.
type Sharing struct {
	Use     shared.Features
	Loss    float64 // fraction of the datagrams that is lost
	BytesPS int     // bandwidth limit of a node, in bytes per second
}

const (
	shareStepInterval = 250 * time.Millisecond
	gossipInterval    = 200 * time.Millisecond
	gossipFanout      = 3
	datagramBytes     = 1400
	fullStateInterval = 10 * time.Second
	deadNoticeDelay   = 3 * time.Second
)

func (n *node) key(b *backend) judgement.Key {
	return shared.Key(b.plan.ID, int64(b.started/time.Millisecond))
}

// startSharing creates the replica of a node's new process and starts its periodic work.
func (n *node) startSharing(set *policy.Settings) {
	o := n.sim.opt.Sharing
	if o == nil {
		return
	}
	quotas := map[string]float64{}
	for _, t := range set.Tenants {
		quotas[t.Name] = t.QuotaPerS
	}
	n.shared = shared.New(shared.Config{Name: n.Name, Self: escrow.Node{Number: n.index, Incarnation: uint64(n.incarnation) + 1}, Nodes: set.Nodes, Site: n.Site,
		Quotas: quotas, OverflowSites: plannedSites(n.sim.opt.Sites), Terms: escrow.DefaultTerms(), Limits: judgement.DefaultLimits(), Features: o.Use, BytesPerSecond: o.BytesPS, MaxDatagramBytes: datagramBytes}, epoch+n.sim.now)
	incarnation := n.incarnation
	n.repeat(incarnation, shareStepInterval, func() {
		n.sendMessages(n.shared.Step(epoch + n.sim.now))
		n.applyView()
	})
	n.repeat(incarnation, gossipInterval, n.gossip)
	n.repeat(incarnation, fullStateInterval, func() {
		if p := n.randomPeer(); p != nil {
			mine, theirs := n.shared.State(epoch+n.sim.now), p.shared.State(epoch+n.sim.now)
			n.sim.deliver(p, mine)
			n.sim.deliver(n, theirs)
		}
	})
	n.sim.after(gossipInterval, func() {
		for _, p := range n.sim.nodes {
			if p != n && p.up && p.shared != nil && n.incarnation == incarnation {
				n.addMember(p)
				p.addMember(n)
			}
		}
	})
}

func (n *node) addMember(p *node) {
	if err := n.shared.MemberJoined(epoch+n.sim.now, p.Name, p.shared.Meta()); err != nil {
		panic(err) // the metadata was encoded by this program
	}
}

// repeat calls f at intervals until the node's process ends. The first call is at a random time within the first
// interval.
func (n *node) repeat(incarnation int, interval time.Duration, f func()) {
	var next func()
	next = func() {
		if n.up && n.incarnation == incarnation {
			f()
			n.sim.after(interval, next)
		}
	}
	n.sim.after(time.Duration(n.sim.rng.Float64()*float64(interval)), next)
}

// randomPeer returns another random node that is up; nil if eight draws find none.
func (n *node) randomPeer() *node {
	for range 8 {
		if p := n.sim.nodes[n.sim.rng.IntN(len(n.sim.nodes))]; p != n && p.up && p.shared != nil {
			return p
		}
	}
	return nil
}

func (n *node) gossip() {
	for range gossipFanout {
		if p := n.randomPeer(); p != nil {
			for _, frame := range n.shared.Broadcasts(epoch+n.sim.now, 2, datagramBytes) {
				n.sim.countShared(frame)
				n.sim.deliver(p, frame)
			}
		}
	}
}

// sendMessages sends each message to its member.
func (n *node) sendMessages(all []shared.Message) {
	for _, m := range all {
		if m.To >= 0 && m.To < len(n.sim.nodes) {
			n.sim.countShared(m.Payload)
			n.sim.deliver(n.sim.nodes[m.To], m.Payload)
		}
	}
}

func (sim *simulation) countShared(frame []byte) {
	sim.counts.SharedBytesPerNodeSecond += float64(len(frame))
}

// deliver sends a frame to a node, or loses it.
func (sim *simulation) deliver(to *node, frame []byte) {
	if sim.rng.Float64() < sim.opt.Sharing.Loss {
		return
	}
	incarnation := to.incarnation
	sim.after(sim.delay(to.Site, to.Site), func() {
		if !to.up || to.incarnation != incarnation || to.shared == nil {
			return
		}
		answers, err := to.shared.Receive(epoch+sim.now, frame)
		if err != nil {
			panic(err) // the frame was encoded by this program
		}
		to.sendMessages(answers)
	})
}

// applyView passes the replica's current view to the site state and the policy.
func (n *node) applyView() {
	view := n.shared.View(epoch + n.sim.now)
	for _, note := range n.shared.Notes() {
		if n.sim.opt.onNote != nil {
			n.sim.opt.onNote(n.Name, note)
		}
	}
	if n.sites != nil {
		n.sites.Node.SetHeadroomShares(view.OverflowShares)
		n.sites.Node.SetLiveNodes(view.LiveNodes)
	}
	n.handle(view.Event(func(k judgement.Key) (uint32, bool) { x, ok := n.keys[k]; return x, ok }))
}

// backendsChanged passes the current list to the site state and the replica.
func (n *node) backendsChanged() {
	n.updateSiteBackends()
	if n.shared == nil {
		return
	}
	n.keys = map[judgement.Key]uint32{}
	var all []judgement.Backend
	for _, id := range slices.Sorted(maps.Keys(n.known)) {
		e := n.known[id]
		if e.State == policy.Active && n.sim.backends[id-1] != nil {
			k := n.key(n.sim.backends[id-1])
			n.keys[k] = id
			all = append(all, judgement.Backend{Key: k, Name: n.sim.plan.Backends[id-1].ID, Site: e.Zone})
		}
	}
	n.shared.SetBackends(all)
}

// notifyDead notifies the other nodes, after deadNoticeDelay, that this node has ended.
func (n *node) notifyDead() {
	if n.shared == nil {
		return
	}
	meta, incarnation := n.shared.Meta(), n.incarnation
	n.sim.after(deadNoticeDelay, func() {
		for _, p := range n.sim.nodes {
			if p != n && p.up && p.shared != nil && (n.incarnation == incarnation || !n.up) {
				p.shared.MemberDown(epoch+n.sim.now, meta, roster.Dead)
			}
		}
	})
}
