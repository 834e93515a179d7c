package shared

import (
	"fmt"
	"time"

	"craneglade/internal/shared/escrow"
	"craneglade/internal/shared/packet"
	"craneglade/internal/shared/roster"
)

// minIncarnationChangeInterval is the shortest time between two changes of this node's incarnation.
const minIncarnationChangeInterval = 10 * time.Second

// MemberNumber returns the number of the member with a name; false where there is none.
func (r *Replica) MemberNumber(name string) (int, bool) {
	for _, m := range r.roster.Members(r.clock.now) {
		if m.Name == name {
			return m.Number, true
		}
	}
	return 0, false
}

// Meta returns this node's description of itself for the membership.
func (r *Replica) Meta() []byte { return packet.Meta{Node: r.cfg.Self, Site: r.cfg.Site}.Encode() }

// TakeRenewed reports, once for each change, that Meta has changed.
func (r *Replica) TakeRenewed() bool {
	renewed := r.incarnationChanged
	r.incarnationChanged = false
	return renewed
}

// MemberJoined records that a member is alive, with its Meta. An error names the member, and has no effect but on the
// statistics.
func (r *Replica) MemberJoined(now time.Duration, name string, meta []byte) error {
	r.advance(now)
	m, err := packet.DecodeMeta(meta)
	if err != nil {
		r.stats.Bad++
		return fmt.Errorf("member %s: %w", name, err)
	}
	member := roster.Member{Name: name, Number: m.Node.Number, Incarnation: m.Node.Incarnation, Site: m.Site}
	switch r.roster.Update(member, r.clock.now) {
	case roster.Joined:
		r.note("member joined", "member", name, "number", m.Node.Number, "site", m.Site)
	case roster.Restarted:
		r.noteRestart(member)
	case roster.Conflict:
		r.note("member ignored, as its node number is in use: give each node its own", "member", name, "number", m.Node.Number)
	case roster.Stale:
		r.stats.Stale++
	}
	return nil
}

// MemberDown records that a member is not alive, by the Meta that it last sent. A Meta that can't be decoded is ignored.
func (r *Replica) MemberDown(now time.Duration, meta []byte, state roster.State) {
	r.advance(now)
	if m, err := packet.DecodeMeta(meta); err == nil {
		r.setState(m.Node, state)
	}
}

// setState records the state of a member that is not alive.
func (r *Replica) setState(node escrow.Node, state roster.State) {
	if r.roster.SetState(node.Number, node.Incarnation, state) {
		m, _ := r.roster.Get(node.Number)
		r.note("member is not alive", "member", m.Name, "number", node.Number, "state", state.String())
	}
}

// recordContact records that a member sent an entry at a time.
func (r *Replica) recordContact(node escrow.Node, sentAt time.Duration) {
	if r.roster.RecordContact(node.Number, node.Incarnation, sentAt) {
		m, _ := r.roster.Get(node.Number)
		r.noteRestart(m)
	}
}

func (r *Replica) noteRestart(m roster.Member) {
	r.note("member restarted", "member", m.Name, "number", m.Number, "site", m.Site)
}

// takeNextIncarnation gives this node the incarnation after one that was seen under its own number. That belongs to an
// earlier process of this node, whose clock ran ahead. Loans to the old incarnation do not count for the new one.
func (r *Replica) takeNextIncarnation(seen uint64) {
	if r.incarnationChangedAt > 0 && r.clock.now-r.incarnationChangedAt < minIncarnationChangeInterval {
		r.note("another node uses the number of this node: give each node its own", "number", r.cfg.Self.Number)
		return
	}
	r.incarnationChangedAt = max(r.clock.now, 1)
	r.incarnationChanged = true
	r.cfg.Self.Incarnation = seen + 1
	r.ledger = escrow.New(r.cfg.Terms, r.cfg.Self, r.cfg.Nodes, r.clock.callerNow)
	r.roster.SetIncarnation(r.cfg.Self.Incarnation)
	for _, c := range r.localCounts {
		c.Incarnation = r.cfg.Self.Incarnation
	}
	r.note("the fleet knows a later incarnation of this node: taking the next one", "number", r.cfg.Self.Number)
}

// Leave returns the messages that tell the members that this node leaves, and return its loans.
func (r *Replica) Leave(now time.Duration) []Message {
	r.advance(now)
	var messages []Message
	for _, m := range r.roster.Members(r.clock.now) {
		if m.State == roster.Alive {
			messages = append(messages, r.message(m.Number, packet.Entry{Kind: packet.Leave}))
		}
	}
	return append(messages, r.returnLoans(now)...)
}

// noteFleetSize adds a note where the bounds of the fleet's size have changed since the last step.
func (r *Replica) noteFleetSize() {
	count := r.roster.Count(r.clock.now)
	if count.Lower == r.notedCount.Lower && count.Upper == r.notedCount.Upper {
		return
	}
	r.notedCount = count
	r.note("fleet size changed", "surely", count.Lower, "at_most", count.Upper, "age", count.Age)
}
