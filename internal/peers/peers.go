// Package peers connects this node to the others of its fleet. The memberlist library (SWIM) detects members and failures,
// and carries the shared state by gossip datagrams and by full exchanges over streams; shared.Replica decides what the
// state means. The datagrams that a node sends stay within a byte budget. Messages from nodes of another cluster, or
// without the key, are dropped.
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
	stepInterval          = 250 * time.Millisecond
	rejoinInterval        = 3 * time.Second // between attempts to join the seeds that are not members
	pushPullInterval      = 10 * time.Second
	streamTimeout         = 2 * time.Second
	probeInterval         = 500 * time.Millisecond
	probeTimeout          = 200 * time.Millisecond
	gossipInterval        = 200 * time.Millisecond
	gossipFanout          = 3
	auditInterval         = 500 * time.Millisecond
	nameReclaimTime       = 5 * time.Second // after which a dead member's name may be used at another address
	datagramOverheadBytes = 64              // per datagram, for the cluster's label, encryption and memberlist's headers
)

// Config configures Start.
type Config struct {
	Fleet         *settings.Fleet
	Name          string
	Policy        *policy.Settings // number and count of nodes, zone and tenants
	OverflowSites []string         // sites that the site-loss plan names, if there is one
	Clock         func() time.Duration
	ViewChanged   func()             // called from its own goroutine when View may have changed
	Work          *timing.SharedWork // of datagrams that come faster than they are handled; nil for no bound
	Log           *slog.Logger
}

// Peers is this node's connection to its fleet.
type Peers struct {
	cfg       Config
	startedAt time.Time
	list      *memberlist.Memberlist
	transport *transport
	stop      context.CancelFunc
	wg        sync.WaitGroup

	mu             sync.Mutex // never held while memberlist is called
	replica        *shared.Replica
	reachable      map[int]*memberlist.Node // by number; copies, as memberlist changes its own under its lock
	audit          *os.File
	auditedBudgets map[string]shared.BudgetShare
	auditedCounts  map[countKey]countVersion // other nodes' counts that are in the audit
	auditedAt      time.Time
	closed         bool
}

type countKey struct {
	key  string
	node int
}

type countVersion struct{ incarnation, epoch, sum uint64 }

// Start joins the fleet. A node that reaches no other continues alone and tries again. An error comes from this node's own
// addresses or files.
func Start(cfg Config) (*Peers, error) {
	f := cfg.Fleet
	p := &Peers{cfg: cfg, startedAt: time.Now(), reachable: map[int]*memberlist.Node{}, auditedBudgets: map[string]shared.BudgetShare{}, auditedCounts: map[countKey]countVersion{}}
	quotas := map[string]float64{}
	for _, t := range cfg.Policy.Tenants {
		quotas[t.Name] = t.QuotaPerS
	}
	p.replica = shared.New(shared.Config{Name: cfg.Name, Self: escrow.Node{Number: cfg.Policy.Number, Incarnation: uint64(time.Now().UnixMilli())},
		Nodes: cfg.Policy.Nodes, Site: cfg.Policy.Zone, Quotas: quotas, OverflowSites: cfg.OverflowSites, Terms: escrow.DefaultTerms(), Limits: judgement.DefaultLimits(), Features: f.Features,
		BytesPerSecond: int(f.BytesPerSecond), MaxDatagramBytes: f.MaxDatagramBytes}, p.now())
	keys, err := memberlist.NewKeyring(f.Keys, f.Keys[0])
	if err != nil {
		return nil, fmt.Errorf("fleet.key_file: %w", err)
	}
	if f.Audit != "" {
		if p.audit, err = os.OpenFile(f.Audit, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			return nil, fmt.Errorf("fleet.audit: %w", err)
		}
	}
	if p.transport, err = newTransport(f.Listen, int(f.BytesPerSecond), cfg.Work); err != nil {
		return nil, errors.Join(fmt.Errorf("fleet.listen: %w", err), p.closeAudit())
	}
	host, port, err := splitAddr(f.Advertise)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("fleet.advertise: %w", err), p.transport.Shutdown(), p.closeAudit())
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label, c.Keyring, c.Transport = cfg.Name, f.Cluster, keys, p.transport
	c.AdvertiseAddr, c.AdvertisePort = host, port
	c.UDPBufferSize, c.EnableCompression = f.MaxDatagramBytes, false
	c.PushPullInterval, c.TCPTimeout = pushPullInterval, streamTimeout
	c.ProbeInterval, c.ProbeTimeout = probeInterval, probeTimeout
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = 3, 4
	c.GossipInterval, c.GossipNodes, c.GossipToTheDeadTime = gossipInterval, gossipFanout, nameReclaimTime
	c.DeadNodeReclaimTime = nameReclaimTime
	c.Delegate, c.Events, c.Conflict = delegate{p}, events{p}, events{p}
	c.Logger = log.New(&debugLog{logger: cfg.Log}, "", 0)
	list, err := memberlist.Create(c)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("fleet: %w", err), p.transport.Shutdown(), p.closeAudit())
	}
	p.mu.Lock()
	p.list = list
	p.mu.Unlock()
	var ctx context.Context
	ctx, p.stop = context.WithCancel(context.Background())
	p.wg.Go(func() { p.runSteps(ctx) })
	p.wg.Go(func() { p.joinSeeds(ctx) })
	return p, nil
}

// now returns the time of the shared state: that of Config.Clock, with the clock skew that the settings may add.
func (p *Peers) now() time.Duration {
	t := p.cfg.Clock()
	for _, s := range p.cfg.Fleet.Skew {
		if time.Since(p.startedAt) >= s.At.D() {
			t += time.Duration(s.By * float64(time.Second))
		}
	}
	return t
}

// joinSeeds joins the seeds that are not members, until ctx ends. It repeats this because both sides of a long partition
// remove each other.
func (p *Peers) joinSeeds(ctx context.Context) {
	for {
		for _, s := range p.cfg.Fleet.Seeds {
			if s == p.cfg.Fleet.Advertise || p.isMember(s) || ctx.Err() != nil {
				continue
			}
			if _, err := p.list.Join([]string{s}); err != nil {
				p.cfg.Log.Debug("can't join a seed", "seed", s, "err", err)
			}
		}
		if !timing.Sleep(ctx, rejoinInterval) {
			return
		}
	}
}

// isMember reports whether a reachable member has an address.
func (p *Peers) isMember(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.reachable {
		if n.Address() == addr {
			return true
		}
	}
	return false
}

func (p *Peers) runSteps(ctx context.Context) {
	timing.Every(ctx, stepInterval, func() {
		p.mu.Lock()
		now := p.now()
		out := p.replica.Step(now)
		notes, renewed := p.replica.Notes(), p.replica.TakeRenewed()
		p.writeAudit(now)
		p.mu.Unlock()
		for _, n := range notes {
			p.cfg.Log.Info(n.Text, n.Args...)
		}
		p.send(out)
		if renewed {
			if err := p.list.UpdateNode(streamTimeout); err != nil {
				p.cfg.Log.Warn("can't announce this node's new incarnation", "err", err)
			}
		}
		p.cfg.ViewChanged()
	})
}

// send sends messages to their members. A message to an unknown member is dropped; requests for loans are repeated anyway.
func (p *Peers) send(messages []shared.Message) {
	for _, m := range messages {
		p.mu.Lock()
		to, list := p.reachable[m.To], p.list
		p.mu.Unlock()
		if to == nil || list == nil {
			continue // memberlist may call the delegate before Create returns
		}
		if err := list.SendBestEffort(to, m.Payload); err != nil {
			p.cfg.Log.Debug("message not sent", "to", to.Name, "err", err)
		}
	}
}

// CountRequest counts a request of this node's clients.
func (p *Peers) CountRequest(tenant string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replica.CountRequest(p.now(), tenant)
}

// CountOverflow counts a request that goes to another site because its client's own is degraded or lost.
func (p *Peers) CountOverflow(site string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replica.CountOverflow(p.now(), site)
}

// RecordOutcome records how an attempt at a backend ended.
func (p *Peers) RecordOutcome(k judgement.Key, o policy.Outcome) {
	if known, failed := shared.Evidence(o); known {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.replica.RecordOutcome(p.now(), k, failed)
	}
}

// SetBackends sets the list of backends.
func (p *Peers) SetBackends(list []judgement.Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replica.SetBackends(list)
}

// View returns the view that the node may act on, valid until a time of Config.Clock.
func (p *Peers) View() shared.View {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	v := p.replica.View(now)
	p.writeAudit(now)
	v.ValidUntil = p.cfg.Clock() + v.ValidUntil - now
	return v
}

// Report is what the node knows of the fleet, with the network traffic.
type Report struct {
	shared.Report
	Traffic Traffic `json:"traffic"`
}

// Report returns what the node knows now.
func (p *Peers) Report() Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Report{p.replica.Report(p.now()), p.transport.traffic()}
}

// Stop returns the node's loans, leaves the fleet and closes the connection. It is called once; View and Report still work
// after it.
func (p *Peers) Stop() {
	p.mu.Lock()
	out := p.replica.Leave(p.now())
	p.writeAudit(p.now())
	p.mu.Unlock()
	p.send(out)
	p.stop()
	if t := p.cfg.Fleet.LeaveTimeout.D(); t > 0 {
		if err := p.list.Leave(t); err != nil {
			p.cfg.Log.Debug("can't announce that this node leaves", "err", err)
		}
	}
	if err := p.list.Shutdown(); err != nil {
		p.cfg.Log.Warn("can't close the fleet's sockets", "err", err)
	}
	p.wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if err := p.closeAudit(); err != nil {
		p.cfg.Log.Warn("audit file is incomplete", "err", err)
	}
}

func (p *Peers) closeAudit() error {
	if p.audit == nil {
		return nil
	}
	return p.audit.Close()
}

// AuditRecord is one line of the audit. A line with a budget has what this node may spend of it from then on, until the
// next such line or the expiry of a loan. A line without a budget has what this node knows of the fleet.
type AuditRecord struct {
	At             int64              `json:"at"` // Unix nanoseconds
	Node           string             `json:"node"`
	Budget         string             `json:"budget,omitempty"`
	Own            int64              `json:"own,omitempty"` // grains of its own that are not lent
	Borrowed       []AuditLoan        `json:"held,omitempty"`
	MinNodes       int                `json:"surely,omitempty"`   // nodes that are confirmed alive
	MaxNodes       int                `json:"at_most,omitempty"`  // nodes that may be alive
	RepeatInterval int64              `json:"again_ns,omitempty"` // interval at which nodes repeat unchanged entries, in nanoseconds
	Counts         []shared.PeerCount `json:"counts,omitempty"`   // of other nodes, changed since the last line
	Backends       int                `json:"listed,omitempty"`   // on the list
	Ejected        int                `json:"out,omitempty"`      // of these, by a quorum of nodes
	MinVotes       int                `json:"votes,omitempty"`    // lowest number of nodes that found one of those unhealthy when it was ejected
}

// AuditLoan is a loan from another node.
type AuditLoan struct {
	Owner  int   `json:"of"`
	Grains int64 `json:"grains"`
	Until  int64 `json:"until"` // Unix nanoseconds
}

// writeAudit writes budgets that have changed to the audit, before anybody else can act on the change, and everything each
// auditInterval. p.mu is held.
func (p *Peers) writeAudit(now time.Duration) {
	if p.audit == nil || p.closed {
		return
	}
	at := time.Now()
	full := at.Sub(p.auditedAt) >= auditInterval
	report := p.replica.Report(now)
	if full {
		p.auditedAt = at
		line := AuditRecord{At: at.UnixNano(), Node: p.cfg.Name, MinNodes: report.Count.Lower, MaxNodes: report.Count.Upper, Backends: report.Backends, Ejected: report.Ejected,
			MinVotes: report.MinVotes, RepeatInterval: int64(p.replica.RepeatInterval()), Counts: p.newCounts(now)}
		p.writeLine(&line)
	}
	for _, share := range report.Budgets {
		old := p.auditedBudgets[share.Budget]
		if !full && old.Spendable == share.Spendable && slices.Equal(old.Borrowed, share.Borrowed) {
			continue
		}
		p.auditedBudgets[share.Budget] = share
		line := AuditRecord{At: at.UnixNano(), Node: p.cfg.Name, Budget: share.Budget, Own: int64(share.Spendable*float64(escrow.BudgetGrains) + 0.5)}
		for _, h := range share.Borrowed {
			line.Own -= h.Grains
			line.Borrowed = append(line.Borrowed, AuditLoan{h.With, h.Grains, at.Add(h.Until - now).UnixNano()})
		}
		p.writeLine(&line)
	}
}

// newCounts returns the other nodes' counts that have changed since the last call. p.mu is held.
func (p *Peers) newCounts(now time.Duration) (changed []shared.PeerCount) {
	for _, h := range p.replica.PeerCounts(now) {
		k, v := countKey{h.Key, h.Node}, countVersion{h.Incarnation, h.Epoch, h.Sum}
		if p.auditedCounts[k] != v {
			p.auditedCounts[k] = v
			changed = append(changed, h)
		}
	}
	return changed
}

func (p *Peers) writeLine(line *AuditRecord) {
	text, err := json.Marshal(line)
	if err == nil {
		_, err = p.audit.Write(append(text, '\n'))
	}
	if err != nil {
		p.cfg.Log.Warn("audit file is incomplete", "err", err)
	}
}

// delegate receives memberlist's calls about messages and state.
type delegate struct{ p *Peers }

// NodeMeta returns this node's description of itself.
func (d delegate) NodeMeta(limit int) []byte {
	d.p.mu.Lock()
	defer d.p.mu.Unlock()
	m := d.p.replica.Meta()
	if len(m) > limit {
		return nil // a site name of half a kilobyte; the others get no description of this node
	}
	return m
}

// NotifyMsg handles a message from a member.
func (d delegate) NotifyMsg(b []byte) {
	p := d.p
	p.mu.Lock()
	now := p.now()
	out, err := p.replica.Receive(now, b)
	p.writeAudit(now) // grains that are lent leave the audit before their borrower can know of the loan
	p.mu.Unlock()
	if err != nil {
		p.cfg.Log.Debug("malformed message from a member", "err", err)
	}
	p.send(out)
}

// GetBroadcasts returns the frames to send with the next gossip datagram, within the byte budget.
func (d delegate) GetBroadcasts(overheadEach, limit int) [][]byte {
	available := d.p.transport.availableBytes() - datagramOverheadBytes
	d.p.mu.Lock()
	defer d.p.mu.Unlock()
	return d.p.replica.Broadcasts(d.p.now(), overheadEach, min(limit, available))
}

// LocalState returns this node's state for a full exchange.
func (d delegate) LocalState(bool) []byte {
	d.p.mu.Lock()
	defer d.p.mu.Unlock()
	return d.p.replica.State(d.p.now())
}

// MergeRemoteState merges another node's state after a full exchange.
func (d delegate) MergeRemoteState(b []byte, _ bool) { d.NotifyMsg(b) }

// events receives memberlist's calls about members. memberlist holds a lock during them: nothing here may call memberlist.
type events struct{ p *Peers }

// NotifyJoin records that a member is alive.
func (e events) NotifyJoin(n *memberlist.Node) {
	p := e.p
	if n.Name == p.cfg.Name {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	node := *n
	node.Meta = bytes.Clone(n.Meta)
	if err := p.replica.MemberJoined(p.now(), n.Name, node.Meta); err != nil {
		p.cfg.Log.Warn("member ignored: its description is malformed", "member", n.Name, "err", err)
		return
	}
	if number, ok := p.replica.MemberNumber(n.Name); ok {
		p.reachable[number] = &node
	}
}

// NotifyUpdate records a changed description of a member.
func (e events) NotifyUpdate(n *memberlist.Node) { e.NotifyJoin(n) }

// NotifyLeave records that a member is not alive.
func (e events) NotifyLeave(n *memberlist.Node) {
	p := e.p
	p.mu.Lock()
	defer p.mu.Unlock()
	for number, known := range p.reachable {
		if known.Name == n.Name {
			delete(p.reachable, number)
		}
	}
	p.replica.MemberDown(p.now(), n.Meta, roster.Dead) // one that left has said so itself
}

// NotifyConflict logs that two members have the same name.
func (e events) NotifyConflict(one, other *memberlist.Node) {
	e.p.cfg.Log.Warn("two members have the same name: give each node its own", "member", one.Name, "at", one.Address(), "and", other.Address())
}

// debugLog passes memberlist's log on at debug level. Changes of members' states are logged by the replica's notes.
type debugLog struct{ logger *slog.Logger }

// Write logs a line of memberlist's log.
func (l *debugLog) Write(b []byte) (int, error) {
	l.logger.Debug(string(bytes.TrimSpace(b)))
	return len(b), nil
}
