package shared

import (
	"fmt"
	"time"

	"craneglade/internal/shared/escrow"
	"craneglade/internal/shared/packet"
	"craneglade/internal/shared/roster"
)

// renewalInterval is the shortest time between two renewals of this node's incarnation.
const renewalInterval = 10 * time.Second

// MemberNumber returns the number of the member with a name; false where no such member was heard of.
func (r *Replica) MemberNumber(name string) (int, bool) {
	for _, m := range r.roster.Members(r.clock.now) {
		if m.Name == name {
			return m.Number, true
		}
	}
	return 0, false
}

// Meta returns the description of this node that its membership carries to the others.
func (r *Replica) Meta() []byte { return packet.Meta{Node: r.cfg.Self, Site: r.cfg.Site}.Encode() }

// TakeRenewed reports, once for each change, that Meta has changed.
func (r *Replica) TakeRenewed() bool {
	renewed := r.renewed
	r.renewed = false
	return renewed
}

// MemberJoined records that a member is there, with its Meta. The error names the member; it changes nothing but a count.
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
		r.note("a member is here", "member", name, "number", m.Node.Number, "site", m.Site)
	case roster.Restarted:
		r.noteRestart(member)
	case roster.Conflict:
		r.note("another member has a number that is taken: give each node its own", "member", name, "number", m.Node.Number)
	case roster.Stale:
		r.stats.Stale++
	}
	return nil
}

// MemberDown records that a member is suspected or dead, by the Meta that it last sent. One that can't be read is ignored.
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
		r.note("a member is not here", "member", m.Name, "number", node.Number, "state", state.String())
	}
}

// heardFrom records that a member sent something at a moment.
func (r *Replica) heardFrom(node escrow.Node, sentAt time.Duration) {
	if r.roster.RecordContact(node.Number, node.Incarnation, sentAt) {
		m, _ := r.roster.Get(node.Number)
		r.noteRestart(m)
	}
}

func (r *Replica) noteRestart(m roster.Member) {
	r.note("a member is here again, in a later life", "member", m.Name, "number", m.Number, "site", m.Site)
}

// renew gives this node an incarnation after one that was heard of under its own number, which an earlier process had by
// a clock that ran ahead. What that one was granted does not count for the new one.
func (r *Replica) renew(heard uint64) {
	if r.renewedAt > 0 && r.clock.now-r.renewedAt < renewalInterval {
		r.note("another node says that it has this one's number: give each node its own", "number", r.cfg.Self.Number)
		return
	}
	r.renewedAt = max(r.clock.now, 1)
	r.renewed = true
	r.cfg.Self.Incarnation = heard + 1
	r.ledger = escrow.New(r.cfg.Terms, r.cfg.Self, r.cfg.Nodes, r.clock.caller)
	r.roster.SetIncarnation(r.cfg.Self.Incarnation)
	for _, c := range r.localCounts {
		c.Incarnation = r.cfg.Self.Incarnation
	}
	r.note("a later life of this node was heard of: beginning one after it", "number", r.cfg.Self.Number)
}

// Leave returns the messages that say goodbye to the members and give back what this node holds of their budgets.
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

// noteFleetSize tells the operator where the bounds of the fleet's size have changed since the last step.
func (r *Replica) noteFleetSize() {
	count := r.roster.Count(r.clock.now)
	if count.Lower == r.seenCount.Lower && count.Upper == r.seenCount.Upper {
		return
	}
	r.seenCount = count
	r.note("the fleet's size is known anew", "surely", count.Lower, "at_most", count.Upper, "age", count.Age)
}
