// Package peers joins this node to the others of its fleet: memberlist (SWIM) finds out who is there and carries what
// they share, by datagrams and by a full exchange over a stream now and then; shared.Replica decides what it means. What
// a node sends in a second stays within a budget of bytes. Members of another cluster, or without the key, are not heard.
package peers

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"craneglade/internal/settings"
	"craneglade/internal/shared"
	"craneglade/internal/shared/escrow"
	"craneglade/internal/shared/judgement"
	"craneglade/internal/shared/roster"
	"craneglade/internal/timing"
	"craneglade/policy"
)

const (
	stepEvery   = 250 * time.Millisecond
	rejoinEvery = 3 * time.Second // a seed that is not among the members is asked again
	wholeEvery  = 10 * time.Second
	streamTime  = 2 * time.Second
	probeEvery  = 500 * time.Millisecond
	probeTime   = 200 * time.Millisecond
	gossipEvery = 200 * time.Millisecond
	gossipTo    = 3
	auditEvery  = 500 * time.Millisecond
	reclaim     = 5 * time.Second // a name may come back at another address after this
	overhead    = 64              // bytes of a datagram that a cluster's name, the key and the library's heads take
)

// Config is what Start needs.
type Config struct {
	Fleet   *settings.Fleet
	Name    string
	Policy  *policy.Settings // its numbers, zone and tenants
	Sites   []string         // of the plan for their loss, if there is one
	Clock   func() time.Duration
	Changed func() // called when there is a new view, from a goroutine of its own; View brings it
	Log     *slog.Logger
}

// Peers is this node among the others.
type Peers struct {
	cfg   Config
	start time.Time
	list  *memberlist.Memberlist
	wire  *transport
	stop  context.CancelFunc
	wg    sync.WaitGroup

	mu        sync.Mutex // never held while memberlist is called
	replica   *shared.Replica
	nodes     map[int]*memberlist.Node // that are reached, by number: copies, as memberlist's own change under its lock
	audit     *os.File
	audited   map[string]shared.Part
	told      map[heardOf]heardAt // counts of others that the audit has
	auditedAt time.Time
	closed    bool
}

type heardOf struct {
	key string
	of  int
}

type heardAt struct{ life, epoch, sum uint64 }

// Start joins the fleet, as far as any member answers: a node that reaches nobody goes on alone and tries again. An error
// is of this node's own address or files.
func Start(cfg Config) (*Peers, error) {
	f := cfg.Fleet
	p := &Peers{cfg: cfg, start: time.Now(), nodes: map[int]*memberlist.Node{}, audited: map[string]shared.Part{}, told: map[heardOf]heardAt{}}
	quotas := map[string]float64{}
	for _, t := range cfg.Policy.Tenants {
		quotas[t.Name] = t.QuotaPerS
	}
	p.replica = shared.New(shared.Config{Name: cfg.Name, Self: escrow.Node{Number: cfg.Policy.Number, Incarnation: uint64(time.Now().UnixMilli())},
		Nodes: cfg.Policy.Nodes, Site: cfg.Policy.Zone, Quotas: quotas, Sites: cfg.Sites, Terms: escrow.Usual(), Limits: judgement.Usual(), Use: f.Features,
		BytesPS: int(f.BytesPerSecond), Datagram: f.MaxDatagramBytes}, p.now())
	keys, err := memberlist.NewKeyring(f.Keys, f.Keys[0])
	if err != nil {
		return nil, fmt.Errorf("fleet.key_file: %w", err)
	}
	if f.Audit != "" {
		if p.audit, err = os.OpenFile(f.Audit, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			return nil, fmt.Errorf("fleet.audit: %w", err)
		}
	}
	if p.wire, err = newTransport(f.Listen, int(f.BytesPerSecond)); err != nil {
		return nil, errors.Join(fmt.Errorf("fleet.listen: %w", err), p.closeAudit())
	}
	host, port, err := split(f.Advertise)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("fleet.advertise: %w", err), p.wire.Shutdown(), p.closeAudit())
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label, c.Keyring, c.Transport = cfg.Name, f.Cluster, keys, p.wire
	c.AdvertiseAddr, c.AdvertisePort = host, port
	c.UDPBufferSize, c.EnableCompression = f.MaxDatagramBytes, false
	c.PushPullInterval, c.TCPTimeout = wholeEvery, streamTime
	c.ProbeInterval, c.ProbeTimeout = probeEvery, probeTime
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = 3, 4
	c.GossipInterval, c.GossipNodes, c.GossipToTheDeadTime = gossipEvery, gossipTo, reclaim
	c.DeadNodeReclaimTime = reclaim
	c.Delegate, c.Events, c.Conflict = delegate{p}, events{p}, events{p}
	c.Logger = log.New(&lines{log: cfg.Log}, "", 0)
	list, err := memberlist.Create(c)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("fleet: %w", err), p.wire.Shutdown(), p.closeAudit())
	}
	p.mu.Lock()
	p.list = list
	p.mu.Unlock()
	var ctx context.Context
	ctx, p.stop = context.WithCancel(context.Background())
	p.wg.Go(func() { p.steps(ctx) })
	p.wg.Go(func() { p.join(ctx) })
	return p, nil
}

// now is the time by the clock of what is shared, which settings may set wrong.
func (p *Peers) now() time.Duration {
	t := p.cfg.Clock()
	for _, s := range p.cfg.Fleet.Skew {
		if time.Since(p.start) >= s.At.D() {
			t += time.Duration(s.By * float64(time.Second))
		}
	}
	return t
}

// join asks seeds that are not among the members, until ctx ends: also after a cut that has made both sides forget each other.
func (p *Peers) join(ctx context.Context) {
	for {
		for _, s := range p.cfg.Fleet.Seeds {
			if s == p.cfg.Fleet.Advertise || p.here(s) || ctx.Err() != nil {
				continue
			}
			if _, err := p.list.Join([]string{s}); err != nil {
				p.cfg.Log.Debug("a seed does not answer", "seed", s, "err", err)
			}
		}
		if !timing.Sleep(ctx, rejoinEvery) {
			return
		}
	}
}

// here tells whether a member is reached at an address.
func (p *Peers) here(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.nodes {
		if n.Address() == addr {
			return true
		}
	}
	return false
}

func (p *Peers) steps(ctx context.Context) {
	timing.Every(ctx, stepEvery, func() {
		p.mu.Lock()
		now := p.now()
		out := p.replica.Step(now)
		notes, renewed := p.replica.Notes(), p.replica.Renewed()
		p.record(now)
		p.mu.Unlock()
		for _, n := range notes {
			p.cfg.Log.Info(n.Text, n.Args...)
		}
		p.send(out)
		if renewed {
			if err := p.list.UpdateNode(streamTime); err != nil {
				p.cfg.Log.Warn("the fleet was not told of this node's new life", "err", err)
			}
		}
		p.cfg.Changed()
	})
}

// send sends messages to the members that they are for. One that is not known gets none: it will be asked again.
func (p *Peers) send(all []shared.Message) {
	for _, m := range all {
		p.mu.Lock()
		to, list := p.nodes[m.To], p.list
		p.mu.Unlock()
		if to == nil || list == nil {
			continue // memberlist calls before it is all there
		}
		if err := list.SendBestEffort(to, m.Payload); err != nil {
			p.cfg.Log.Debug("a message was not sent", "to", to.Name, "err", err)
		}
	}
}

// Request counts a request of this node's clients.
func (p *Peers) Request(tenant string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replica.Request(p.now(), tenant)
}

// Crossed counts a request that goes to another site, as its client's own is lost.
func (p *Peers) Crossed(site string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replica.Crossed(p.now(), site)
}

// Outcome notes how an attempt at a backend ended.
func (p *Peers) Outcome(k judgement.Key, o policy.Outcome) {
	if tells, failed := shared.Tells(o); tells {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.replica.Outcome(p.now(), k, failed)
	}
}

// Listed sets the backends that there are.
func (p *Peers) Listed(list []judgement.Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replica.Listed(list)
}

// View is what the node may act on, until a moment of Config.Clock.
func (p *Peers) View() shared.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	v := p.replica.View(now)
	p.record(now)
	v.Until = p.cfg.Clock() + v.Until - now
	return v
}

// Report is what the node knows of the fleet, and what telling it cost.
type Report struct {
	shared.Report
	Traffic Traffic `json:"traffic"`
}

// Report tells what the node knows now.
func (p *Peers) Report() Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Report{p.replica.Report(p.now()), p.wire.traffic()}
}

// Stop gives back what is held, says goodbye and ends. It is called once; what the node knew can still be read after it.
func (p *Peers) Stop() {
	p.mu.Lock()
	out := p.replica.Leave(p.now())
	p.record(p.now())
	p.mu.Unlock()
	p.send(out)
	p.stop()
	if t := p.cfg.Fleet.LeaveTimeout.D(); t > 0 {
		if err := p.list.Leave(t); err != nil {
			p.cfg.Log.Debug("the fleet was not told that this node leaves", "err", err)
		}
	}
	if err := p.list.Shutdown(); err != nil {
		p.cfg.Log.Warn("the fleet's sockets did not close", "err", err)
	}
	p.wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if err := p.closeAudit(); err != nil {
		p.cfg.Log.Warn("the audit is not whole", "err", err)
	}
}

func (p *Peers) closeAudit() error {
	if p.audit == nil {
		return nil
	}
	return p.audit.Close()
}

// Audited is one line of the audit. With a budget: what this node may spend of it from a moment on, until a later line or
// the end of what it holds of others. Without one: what it knows of the fleet.
type Audited struct {
	At     int64          `json:"at"` // Unix nanoseconds
	Node   string         `json:"node"`
	Budget string         `json:"budget,omitempty"`
	Own    int64          `json:"own,omitempty"` // grains of its own that are not lent
	Held   []AuditedLoan  `json:"held,omitempty"`
	Surely int            `json:"surely,omitempty"`   // nodes that are surely there
	AtMost int            `json:"at_most,omitempty"`  // and that may be
	Again  int64          `json:"again_ns,omitempty"` // how often nodes tell again of what has not changed
	Counts []shared.Heard `json:"counts,omitempty"`   // of others, that are new since the line before
	Listed int            `json:"listed,omitempty"`   // backends that there are,
	Out    int            `json:"out,omitempty"`      // those out by hearsay,
	Votes  int            `json:"votes,omitempty"`    // and the fewest nodes that one of them was found broken by when it came out
}

// AuditedLoan is what is held of another node.
type AuditedLoan struct {
	Of     int   `json:"of"`
	Grains int64 `json:"grains"`
	Until  int64 `json:"until"` // Unix nanoseconds
}

// record writes what has changed to the audit, before anybody else can act on it, and all of it now and then. p.mu is held.
func (p *Peers) record(now time.Duration) {
	if p.audit == nil || p.closed {
		return
	}
	at := time.Now()
	all := at.Sub(p.auditedAt) >= auditEvery
	report := p.replica.Report(now)
	if all {
		p.auditedAt = at
		line := Audited{At: at.UnixNano(), Node: p.cfg.Name, Surely: report.Count.Lower, AtMost: report.Count.Upper, Listed: report.Listed, Out: report.Out,
			Votes: report.Fewest, Again: int64(p.replica.Again()), Counts: p.heard(now)}
		p.write(&line)
	}
	for _, part := range report.Parts {
		old := p.audited[part.Budget]
		if !all && old.Spendable == part.Spendable && slices.Equal(old.Held, part.Held) {
			continue
		}
		p.audited[part.Budget] = part
		line := Audited{At: at.UnixNano(), Node: p.cfg.Name, Budget: part.Budget, Own: int64(part.Spendable*float64(escrow.Whole) + 0.5)}
		for _, h := range part.Held {
			line.Own -= h.Grains
			line.Held = append(line.Held, AuditedLoan{h.With, h.Grains, at.Add(h.Until - now).UnixNano()})
		}
		p.write(&line)
	}
}

// heard is what the node has heard of others' counts since the last call. p.mu is held.
func (p *Peers) heard(now time.Duration) (fresh []shared.Heard) {
	for _, h := range p.replica.Heard(now) {
		k, v := heardOf{h.Key, h.Of}, heardAt{h.Life, h.Epoch, h.Sum}
		if p.told[k] != v {
			p.told[k] = v
			fresh = append(fresh, h)
		}
	}
	return fresh
}

func (p *Peers) write(line *Audited) {
	text, err := json.Marshal(line)
	if err == nil {
		_, err = p.audit.Write(append(text, '\n'))
	}
	if err != nil {
		p.cfg.Log.Warn("the audit is not whole", "err", err)
	}
}

// delegate is what memberlist calls with what members say.
type delegate struct{ p *Peers }

// NodeMeta is what this node says of itself.
func (d delegate) NodeMeta(limit int) []byte {
	d.p.mu.Lock()
	defer d.p.mu.Unlock()
	m := d.p.replica.Meta()
	if len(m) > limit {
		return nil // a site's name of half a kilobyte; the others count the node without a number
	}
	return m
}

// NotifyMsg takes in what a member sent to this one.
func (d delegate) NotifyMsg(b []byte) {
	p := d.p
	p.mu.Lock()
	now := p.now()
	out, err := p.replica.Receive(now, b)
	p.record(now) // a part that is lent is off the audit before its borrower can know of it
	p.mu.Unlock()
	if err != nil {
		p.cfg.Log.Debug("a member sent what can't be read", "err", err)
	}
	p.send(out)
}

// GetBroadcasts is what there is to tell, within the budget.
func (d delegate) GetBroadcasts(each, limit int) [][]byte {
	room := d.p.wire.room() - overhead
	d.p.mu.Lock()
	defer d.p.mu.Unlock()
	return d.p.replica.Broadcasts(d.p.now(), each, min(limit, room))
}

// LocalState is all that this node knows.
func (d delegate) LocalState(bool) []byte {
	d.p.mu.Lock()
	defer d.p.mu.Unlock()
	return d.p.replica.State(d.p.now())
}

// MergeRemoteState takes in all that another one knows.
func (d delegate) MergeRemoteState(b []byte, _ bool) { d.NotifyMsg(b) }

// events is what memberlist calls with who comes and goes. It holds a lock of its own meanwhile: nothing here may call it.
type events struct{ p *Peers }

// NotifyJoin takes in a member.
func (e events) NotifyJoin(n *memberlist.Node) {
	p := e.p
	if n.Name == p.cfg.Name {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	node := *n
	node.Meta = bytes.Clone(n.Meta)
	if err := p.replica.Joined(p.now(), n.Name, node.Meta); err != nil {
		p.cfg.Log.Warn("a member says of itself what can't be read", "member", n.Name, "err", err)
		return
	}
	if number, ok := p.replica.Number(n.Name); ok {
		p.nodes[number] = &node
	}
}

// NotifyUpdate takes in what a member says of itself anew.
func (e events) NotifyUpdate(n *memberlist.Node) { e.NotifyJoin(n) }

// NotifyLeave takes in that a member is not there any more.
func (e events) NotifyLeave(n *memberlist.Node) {
	p := e.p
	p.mu.Lock()
	defer p.mu.Unlock()
	for number, known := range p.nodes {
		if known.Name == n.Name {
			delete(p.nodes, number)
		}
	}
	p.replica.Gone(p.now(), n.Meta, roster.Dead) // one that leaves has said so itself
}

// NotifyConflict is told of two members with one name.
func (e events) NotifyConflict(one, other *memberlist.Node) {
	e.p.cfg.Log.Warn("two members have one name: give each node its own", "member", one.Name, "at", one.Address(), "and", other.Address())
}

// lines passes the library's log on. It is for who looks closely: members' standing is told by the replica's notes.
type lines struct{ log *slog.Logger }

func (l *lines) Write(b []byte) (int, error) {
	l.log.Debug(string(bytes.TrimSpace(b)))
	return len(b), nil
}
