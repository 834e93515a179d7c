// Package shared is what the nodes of a fleet share, as one node has it: who is here, what all count, what part of each
// budget is whose, and what is held against backends. Replica is a state machine: its caller hands in what happens here
// and what others said, with the time, and carries what it has to say to them. What it knows bounds what it errs by;
// docs/design/shared-state.md has the table.
//
// There is no I/O, clock or goroutine here. Nothing is safe for concurrent use.
package shared

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"

	"craneglade/internal/shared/counts"
	"craneglade/internal/shared/escrow"
	"craneglade/internal/shared/judgement"
	"craneglade/internal/shared/packet"
	"craneglade/internal/shared/roster"
)

// quota and a tenant's name are the name of the budget that is its share, and of the count by which its parts move.
const quota = "quota/"

// cross and a site's name are the name of the budget that is what lost sites' load may bring to it, and of the count by
// which its parts move.
const cross = "cross/"

const (
	step     = 250 * time.Millisecond // Step is to be called about this often
	turn     = 3 * time.Second        // a node tells again of what has not changed this often; in a large fleet less often
	turns    = 3                      // what was told longer ago than so many turns tells nothing of now
	forget   = 4                      // and what was told so much longer ago goes
	outlived = 10 * time.Second       // a node goes on under another life once in this time at most
	usual    = 72                     // bytes of an entry on its way
	gossips  = 15                     // datagrams with what is no news that a node sends in a second
	burst    = 16.0                   // entries that a node may tell at once
	part     = 0.7                    // of the bytes that a node may send, for what is no news; the rest is for membership
	moved    = 0.2                    // a rate that moved by this part is told before its turn
	least    = 1e-9                   // of a share, where none of it is left: 0 would say that nothing is told
	repeats  = 2                      // times each entry is sent on for each tenfold of the fleet, urgent ones three times as often
)

// Use says what the shared state is used for. Everything is told to others in any case.
type Use struct {
	Quotas    bool // what of a tenant's requests lies within its share follows from what all nodes count
	Escrow    bool // it follows from this node's part of the share, of which all together never have more than there is
	Ejections bool // what enough others find broken is left out here too
	Crossing  bool // what lost sites' load may bring to another follows from this node's part of it
}

// Config is what a replica is made from.
type Config struct {
	Name    string
	Self    escrow.Node
	Nodes   int // that the settings tell of, this one included
	Site    string
	Quotas  map[string]float64 // by tenant, requests a second over all nodes
	Sites   []string           // that load of lost ones may go to
	Terms   escrow.Terms
	Limits  judgement.Limits
	Use     Use
	BytesPS int // that this node may send in a second

	Datagram int // bytes of the largest datagram
}

// Message is something for one member.
type Message struct {
	To      int // its number
	Payload []byte
}

// Note is something for an operator's log.
type Note struct {
	Text string
	Args []any // key, value, key, value
}

// View is what the node may act on until Until.
type View struct {
	Within map[string]float64 // by tenant: part of its requests here that lie within its share; nil where that is not shared
	Cross  map[string]float64 // by site: part of what lost sites' load may bring there that this node may use; nil where that is not shared
	Nodes  map[string]int     // by site: nodes that are surely there
	Out    []judgement.Key    // backends that enough nodes find broken
	Until  time.Duration
}

// Stats count what came and went, since the start.
type Stats struct {
	Received, Skipped, Bad, Stale int // entries; Bad counts frames too
	Told, Forwarded               int // entries of its own, and of others
	Asked, Lent, Granted          int
}

type backend struct {
	judgement.Backend
	out bool // at the last step,
	by  int  // and how many found it broken when it came out
}

// Replica is one node's copy.
type Replica struct {
	cfg     Config
	born    time.Duration
	now     time.Duration // what has passed since any moment; it never goes back
	told    time.Duration // the latest time that the caller told,
	ahead   time.Duration // and by how much now is ahead of it, after the caller's clock was set back
	stepped time.Duration // when Step was last called
	again   time.Duration // how often it is told again what has not changed, as the fleet's size is
	roster  *roster.Roster
	table   *counts.Table
	ledger  *escrow.Ledger
	pool    *judgement.Pool
	own     map[string]*tally // by key
	list    []backend
	urgent  *memberlist.TransmitLimitedQueue
	usual   *memberlist.TransmitLimitedQueue
	tokens  float64 // entries that may be told now
	stats   Stats
	notes   []Note
	votes   []judgement.Votes
	seen    roster.Count // at the last step

	renewed   bool // what this node says of itself has changed
	renewedAt time.Duration
}

type tally struct {
	counts.Window
	toldRate float64
	toldAt   time.Duration
}

// New returns the replica of a node that has just started and heard nobody.
func New(cfg Config, now time.Duration) *Replica {
	r := &Replica{cfg: cfg, born: now, now: now, told: now, stepped: now, again: turn, table: counts.NewTable(), pool: judgement.New(cfg.Limits), own: map[string]*tally{}, tokens: burst,
		ledger: escrow.New(cfg.Terms, cfg.Self, cfg.Nodes, now),
		roster: roster.New(roster.Member{Name: cfg.Name, Number: cfg.Self.Number, Incarnation: cfg.Self.Incarnation, Site: cfg.Site}, cfg.Nodes, turns*turn)}
	for tenant, q := range cfg.Quotas {
		if q > 0 { // also one that nobody asks for here: who needs more has to know that this node does not
			r.own[quota+tenant] = &tally{Window: counts.Window{Incarnation: cfg.Self.Incarnation}, toldAt: now - time.Hour}
		}
	}
	if cfg.Use.Crossing {
		for _, site := range cfg.Sites {
			r.own[cross+site] = &tally{Window: counts.Window{Incarnation: cfg.Self.Incarnation}, toldAt: now - time.Hour}
		}
	}
	size := func() int { return r.roster.Size() + 1 }
	r.urgent = newQueue(size, 3*repeats)
	r.usual = newQueue(size, repeats)
	return r
}

// at takes the replica to a moment. Where the clock is set back no time has passed, and it goes on from there: one that
// stood until the old time is reached again would count all of that into one epoch. The ledger sees the clock as it is.
func (r *Replica) at(now time.Duration) {
	r.ahead += max(0, r.told-now)
	r.told = now
	r.now = now + r.ahead
}

func (r *Replica) note(text string, args ...any) { r.notes = append(r.notes, Note{text, args}) }

// Request counts a request of this node's clients.
func (r *Replica) Request(now time.Duration, tenant string) {
	r.at(now)
	if t := r.own[quota+tenant]; t != nil {
		t.Add(counts.At(r.now-r.born), 1)
	}
}

// Crossed counts a request of this node's clients that goes to another site, as their own is lost.
func (r *Replica) Crossed(now time.Duration, site string) {
	r.at(now)
	if t := r.own[cross+site]; t != nil {
		t.Add(counts.At(r.now-r.born), 1)
	}
}

// Outcome notes how an attempt at a backend ended.
func (r *Replica) Outcome(now time.Duration, k judgement.Key, failed bool) {
	r.at(now)
	r.pool.Tried(r.now, k, failed)
}

// Listed sets the backends that there are.
func (r *Replica) Listed(list []judgement.Backend) {
	was := map[judgement.Key]backend{}
	for _, b := range r.list {
		was[b.Key] = b
	}
	r.list = r.list[:0]
	for _, b := range list {
		old := was[b.Key]
		r.list = append(r.list, backend{b, old.out, old.by})
	}
	r.pool.List(list)
	for i := range r.list { // fewer backends may have fewer out
		r.list[i].out = r.list[i].out && r.pool.Out(r.list[i].Key)
	}
}

// Number is that of the member with a name; false where nobody was heard under it.
func (r *Replica) Number(name string) (int, bool) {
	for _, m := range r.roster.Members(r.now) {
		if m.Name == name {
			return m.Number, true
		}
	}
	return 0, false
}

// outlive begins a new life after one under this node's own number that was heard of: an earlier one's, by a clock that ran
// ahead of this one's. Nothing that it was granted counts for the new life.
func (r *Replica) outlive(incarnation uint64) {
	if r.renewedAt > 0 && r.now-r.renewedAt < outlived {
		r.note("another node says that it has this one's number: give each node its own", "number", r.cfg.Self.Number)
		return
	}
	r.renewedAt, r.renewed = max(r.now, 1), true
	r.cfg.Self.Incarnation = incarnation + 1
	r.ledger = escrow.New(r.cfg.Terms, r.cfg.Self, r.cfg.Nodes, r.told)
	r.roster.Renew(r.cfg.Self.Incarnation)
	for _, t := range r.own {
		t.Incarnation = r.cfg.Self.Incarnation
	}
	r.note("a later life of this node was heard of: beginning one after it", "number", r.cfg.Self.Number)
}

// Renewed tells, once, that what this node says of itself has changed.
func (r *Replica) Renewed() bool {
	is := r.renewed
	r.renewed = false
	return is
}

// Meta is what this node says of itself.
func (r *Replica) Meta() []byte { return packet.Meta{Node: r.cfg.Self, Site: r.cfg.Site}.Encode() }

// Joined takes in that a member is there, by what it says of itself.
func (r *Replica) Joined(now time.Duration, name string, meta []byte) error {
	r.at(now)
	m, err := packet.DecodeMeta(meta)
	if err != nil {
		r.stats.Bad++
		return fmt.Errorf("member %s: %w", name, err)
	}
	who := roster.Member{Name: name, Number: m.Node.Number, Incarnation: m.Node.Incarnation, Site: m.Site}
	switch r.roster.Hear(who, r.now) {
	case roster.Joined:
		r.note("a member is here", "member", name, "number", m.Node.Number, "site", m.Site)
	case roster.Again:
		r.note("a member is here again, in a later life", "member", name, "number", m.Node.Number, "site", m.Site)
	case roster.Clash:
		r.note("another member has a number that is taken: give each node its own", "member", name, "number", m.Node.Number)
	case roster.Stale:
		r.stats.Stale++
	}
	return nil
}

// Gone takes in that a member is doubted or dead, by what it last said of itself.
func (r *Replica) Gone(now time.Duration, meta []byte, s roster.State) {
	r.at(now)
	if m, err := packet.DecodeMeta(meta); err == nil {
		r.gone(m.Node, s)
	}
}

func (r *Replica) gone(n escrow.Node, s roster.State) {
	if r.roster.Set(n.Number, n.Incarnation, s) {
		m, _ := r.roster.Of(n.Number)
		r.note("a member is not here", "member", m.Name, "number", n.Number, "state", s.String())
	}
}

// Receive takes in a frame. What is to be answered goes to members by name of their numbers. An error is of its sender; the
// frame changed nothing.
func (r *Replica) Receive(now time.Duration, frame []byte) ([]Message, error) {
	r.at(now)
	entries, skipped, err := packet.Decode(frame)
	r.stats.Skipped += skipped
	if err != nil {
		r.stats.Bad++
		return nil, err
	}
	var out []Message
	for i := range entries {
		e := &entries[i]
		if e.Node.Number == r.cfg.Self.Number {
			if e.Node.Incarnation > r.cfg.Self.Incarnation {
				r.outlive(e.Node.Incarnation)
			}
			continue // its own words come back
		}
		r.stats.Received++
		if !r.roster.Believe(e.Node.Number, e.Node.Incarnation) {
			r.stats.Stale++
			continue
		}
		said := r.now - e.Age
		if r.roster.Heard(e.Node.Number, e.Node.Incarnation, said) { // before it may say that it leaves
			m, _ := r.roster.Of(e.Node.Number)
			r.note("a member is here again, in a later life", "member", m.Name, "number", m.Number, "site", m.Site)
		}
		switch e.Kind {
		case packet.Window:
			if r.table.Tell(e.Key, e.Node.Number, e.Window, said) {
				r.forward(e, said, false)
			}
		case packet.Sight:
			told, possible := r.pool.Tell(e.Node.Number, e.Node.Incarnation, e.Backend, e.Sight, said)
			if !possible {
				r.stats.Bad++
				continue
			}
			if told {
				r.forward(e, said, e.Sight.Failed >= r.cfg.Limits.Least)
			}
		case packet.Ask:
			if !r.budget(e.Key) {
				continue // another node's settings have it
			}
			if g, ok := r.ledger.Lend(now, escrow.Ask{Budget: e.Key, From: e.Node, Nonce: e.Nonce, Want: e.Grains}); ok {
				r.stats.Lent++
				out = append(out, Message{e.Node.Number, packet.Frame(packet.Entry{Kind: packet.Grant, Node: r.cfg.Self, Key: g.Budget,
					Nonce: g.Nonce, Grains: g.Lent, To: g.To})})
			}
		case packet.Grant:
			if r.budget(e.Key) && r.ledger.Granted(now, e.Node.Number, escrow.Grant{Budget: e.Key, To: e.To, Nonce: e.Nonce, Lent: e.Grains}) {
				r.stats.Granted++
			}
		case packet.Return:
			if !r.budget(e.Key) {
				continue
			}
			r.ledger.Returned(now, escrow.Return{Budget: e.Key, From: e.Node, Nonce: e.Nonce})
		case packet.Leave:
			r.gone(e.Node, roster.Left)
		}
	}
	return out, nil
}

// budget tells whether there is a budget of a name.
func (r *Replica) budget(name string) bool {
	if tenant, is := strings.CutPrefix(name, quota); is {
		return r.cfg.Quotas[tenant] > 0
	}
	site, is := strings.CutPrefix(name, cross)
	return is && slices.Contains(r.cfg.Sites, site)
}

// item is one entry that waits to be sent. Its age grows while it does.
type item struct {
	r    *Replica
	name string
	e    packet.Entry
	said time.Duration
}

func (i *item) Name() string { return i.name }

// Invalidates says nothing: the queue drops what has the same name.
func (i *item) Invalidates(memberlist.Broadcast) bool { return false }

func (i *item) Message() []byte {
	i.e.Age = i.r.now - i.said
	return packet.Frame(i.e)
}

func (i *item) Finished() {}

func (r *Replica) queue(e *packet.Entry, said time.Duration, urgent bool) {
	q := r.usual
	if urgent {
		q = r.urgent
	}
	name := fmt.Sprintf("%d/%d/%s/%x", e.Kind, e.Node.Number, e.Key, uint64(e.Backend))
	q.QueueBroadcast(&item{r, name, *e, said})
}

// forward sends on what was news here.
func (r *Replica) forward(e *packet.Entry, said time.Duration, urgent bool) {
	r.stats.Forwarded++
	r.queue(e, said, urgent)
}

// Broadcasts are frames for whoever is spoken to next: of limit bytes at most with overhead bytes for each, urgent ones first.
func (r *Replica) Broadcasts(now time.Duration, overhead, limit int) [][]byte {
	r.at(now)
	out := r.urgent.GetBroadcasts(overhead, limit)
	for _, b := range out {
		limit -= overhead + len(b)
	}
	if limit > overhead {
		out = append(out, r.usual.GetBroadcasts(overhead, limit)...)
	}
	return out
}

// pace is how many entries a second a node may tell of its own, so that with all others' entries, each sent on by each
// node as often as the queue does, it keeps within its bytes and its datagrams.
func (r *Replica) pace() float64 {
	n := float64(r.roster.Size() + 1)
	times := repeats * max(1, math.Ceil(math.Log10(n+1)))
	return part * min(float64(r.cfg.BytesPS), gossips*float64(r.cfg.Datagram)) / (usual * times * n)
}

// stale is after what time what was told tells nothing of now.
func (r *Replica) stale() time.Duration { return turns * r.again }

// Step moves what time moves: it tells others what is new, asks for what is needed and judges. It returns what is to be
// sent to single members.
func (r *Replica) Step(now time.Duration) []Message {
	r.at(now)
	pace := r.pace()
	r.tokens = min(burst, r.tokens+min(r.now-r.stepped, time.Second).Seconds()*pace)
	r.stepped = r.now
	// Half of what it may tell is for what has changed.
	r.again = max(turn, time.Duration(float64(len(r.own))/(pace/2)*float64(time.Second)))
	r.roster.Fresh(r.stale())
	r.tell()
	out := r.plan(now)
	if r.cfg.Use.Ejections {
		r.judge()
	}
	r.table.Prune(r.now, forget*r.stale())
	r.pool.Prune(r.now)
	if c := r.roster.Count(r.now); c.Lower != r.seen.Lower || c.Upper != r.seen.Upper {
		r.seen = c
		r.note("the fleet's size is known anew", "surely", c.Lower, "at_most", c.Upper, "age", c.Age)
	}
	return out
}

// tell queues this node's own news: what has changed much first.
func (r *Replica) tell() {
	keys, sights, urgent := r.pool.News(r.now, max(0, int(burst+r.tokens)))
	for i, k := range keys {
		if i >= urgent && r.tokens < 1 {
			break // it is told at its next turn
		}
		r.tokens--
		r.stats.Told++
		r.queue(&packet.Entry{Kind: packet.Sight, Node: r.cfg.Self, Backend: k, Sight: sights[i]}, r.now, i < urgent)
	}
	epoch := counts.At(r.now - r.born)
	var names []string
	for key, t := range r.own {
		t.Add(epoch, 0)
		if rate := t.Rate(); rate >= 0 && (math.Abs(rate-t.toldRate) > moved*t.toldRate+1 && r.now-t.toldAt >= time.Second || r.now-t.toldAt >= r.again) {
			names = append(names, key)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(r.own[a].toldAt, r.own[b].toldAt), cmp.Compare(a, b)) })
	for _, key := range names {
		if r.tokens < 1-burst {
			break
		}
		t := r.own[key]
		r.tokens--
		r.stats.Told++
		t.toldRate, t.toldAt = t.Rate(), r.now
		r.queue(&packet.Entry{Kind: packet.Window, Node: r.cfg.Self, Key: key, Window: t.Window}, r.now, false)
	}
}

// demands are what is known of all members' use of a count.
func (r *Replica) demands(key string) []escrow.Demand {
	var out []escrow.Demand
	if t := r.own[key]; t != nil {
		out = append(out, escrow.Demand{Number: r.cfg.Self.Number, Rate: t.Rate()})
	}
	r.table.Rates(r.now, key, func(node int, rate float64, age time.Duration) {
		if m, known := r.roster.Of(node); known && (m.State == roster.Dead || m.State == roster.Left) {
			return
		}
		out = append(out, escrow.Demand{Number: node, Rate: rate, Age: age})
	})
	slices.SortFunc(out, func(a, b escrow.Demand) int { return cmp.Compare(a.Number, b.Number) })
	return out
}

// budgets calls f with each budget that is used and the tenant or site that it is of, in the order of their names.
func (r *Replica) budgets(f func(budget, of string)) {
	if r.cfg.Use.Crossing {
		r.crossing(f)
	}
	if r.cfg.Use.Escrow {
		r.tenants(f)
	}
}

func (r *Replica) crossing(f func(budget, site string)) {
	for _, site := range slices.Sorted(slices.Values(r.cfg.Sites)) {
		f(cross+site, site)
	}
}

func (r *Replica) tenants(f func(budget, tenant string)) {
	for _, tenant := range slices.Sorted(maps.Keys(r.cfg.Quotas)) {
		if r.cfg.Quotas[tenant] > 0 {
			f(quota+tenant, tenant)
		}
	}
}

func (r *Replica) plan(now time.Duration) (out []Message) {
	r.budgets(func(budget, _ string) {
		for _, o := range r.ledger.Plan(now, budget, r.demands(budget), r.stale()) {
			e := packet.Entry{Node: r.cfg.Self, Key: budget}
			if o.Ask != nil {
				r.stats.Asked++
				e.Kind, e.Nonce, e.Grains = packet.Ask, o.Ask.Nonce, o.Ask.Want
			} else {
				e.Kind, e.Nonce = packet.Return, o.Back.Nonce
			}
			out = append(out, Message{o.Owner, packet.Frame(e)})
		}
	})
	return out
}

func (r *Replica) judge() {
	out, votes := r.pool.Decide(r.now)
	r.votes = votes
	for i := range r.list {
		b := &r.list[i]
		_, is := slices.BinarySearch(out, b.Key)
		if is == b.out {
			continue
		}
		b.out = is
		text := "a backend is no longer out by hearsay"
		if is {
			text = "a backend is out by hearsay"
		}
		args := []any{"backend", b.Name, "site", b.Site}
		for _, v := range votes {
			if v.Key == b.Key {
				args = append(args, "against", v.Bad, "for", v.Good)
				b.by = v.Bad
			}
		}
		r.note(text, args...)
	}
}

// Leave ends all that is held of others, and says goodbye to them.
func (r *Replica) Leave(now time.Duration) (out []Message) {
	r.at(now)
	for _, m := range r.roster.Members(r.now) {
		if m.State == roster.Alive {
			out = append(out, Message{m.Number, packet.Frame(packet.Entry{Kind: packet.Leave, Node: r.cfg.Self})})
		}
	}
	r.budgets(func(budget, _ string) {
		for _, h := range r.ledger.Holds(now, budget) {
			if back, tell := r.ledger.GiveBack(now, budget, h.With); tell {
				out = append(out, Message{h.With, packet.Frame(packet.Entry{Kind: packet.Return, Node: r.cfg.Self, Key: budget, Nonce: back.Nonce})})
			}
		}
	})
	return out
}

// View is what may be acted on now.
func (r *Replica) View(now time.Duration) View {
	r.at(now)
	v := View{Until: now + 2*step, Nodes: map[string]int{}}
	for site, c := range r.roster.Sites(r.now) {
		v.Nodes[site] = c.Lower
	}
	if r.cfg.Use.Quotas || r.cfg.Use.Escrow {
		v.Within = map[string]float64{}
		r.tenants(func(budget, tenant string) {
			own := r.own[budget].Rate()
			if own < 0 {
				return // it has counted nothing yet
			}
			share, of := r.cfg.Quotas[tenant], r.total(budget, own)
			if r.cfg.Use.Escrow {
				share, of = share*r.part(now, budget, &v), own
			}
			v.Within[tenant] = max(least, min(1, share/max(of, least)))
		})
	}
	if r.cfg.Use.Crossing {
		v.Cross = map[string]float64{}
		r.crossing(func(budget, site string) { v.Cross[site] = r.part(now, budget, &v) })
	}
	for i := range r.list {
		if r.list[i].out {
			v.Out = append(v.Out, r.list[i].Key)
		}
	}
	return v
}

// part is what this node may spend of a budget, as a part of it. v does not outlast it.
func (r *Replica) part(now time.Duration, budget string, v *View) float64 {
	if until, falls := r.ledger.Until(now, budget); falls {
		v.Until = min(v.Until, until)
	}
	return float64(r.ledger.Spendable(now, budget)) / float64(escrow.Whole)
}

// total is what all nodes together count a second. Those of which nothing is known count as the mean of the others, so
// that a node that hears nobody keeps to its own part.
func (r *Replica) total(key string, own float64) float64 {
	sum, known, stale := own, 1, r.stale()
	for _, d := range r.demands(key) {
		if d.Number != r.cfg.Self.Number && d.Rate >= 0 && d.Age <= stale {
			sum += d.Rate
			known++
		}
	}
	return sum * float64(max(known, r.cfg.Nodes)) / float64(known)
}

// Notes are what an operator should know, since the last call.
func (r *Replica) Notes() []Note {
	n := r.notes
	r.notes = nil
	return n
}
