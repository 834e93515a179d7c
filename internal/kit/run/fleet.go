package run

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"craneglade/internal/kit/plan"
	"craneglade/internal/kit/relay"
	"craneglade/internal/kit/scenario"
	"craneglade/internal/kit/trace"
	"craneglade/internal/peers"
	"craneglade/internal/shared/counts"
	"craneglade/internal/timing"
)

const (
	auditInterval = 100 * time.Millisecond
	seedCount     = 3 // nodes whose addresses are in every node's seeds
)

// partition is a set of nodes that are cut off from the others.
type partition struct {
	nodes map[int]bool // by index, from 0
	heal  func()
}

// connectNodes writes the fleet's key file and creates the network between the nodes, if they talk to each other.
func (r *Rehearsal) connectNodes() (err error) {
	own := r.plan.Scenario.Nodes.Settings
	if !strings.Contains(own, "{peer}") {
		return nil
	}
	if err := os.WriteFile(filepath.Join(r.dir, "fleet.key"), []byte(scenario.FleetKey), 0o600); err != nil {
		return err
	}
	r.net, err = relay.New(len(r.nodes), r.plan.Seed, func(e relay.Event) {
		by := ""
		if e.From >= 0 {
			by = r.nodes[e.From].Name
		}
		rec := trace.Record{Kind: trace.PeerMessage, T: trace.Microseconds(r.clock().Now()), Node: r.nodes[e.To].Name, Text: by, How: e.Outcome, Bytes: int64(e.Bytes)}
		if e.Stream {
			rec.Why = "stream"
		}
		r.out.Add(&rec)
	})
	return err
}

// fleetSettings returns the placeholders of a node's own settings that belong to [fleet], each followed by its value.
func (r *Rehearsal) fleetSettings(n *node) []string {
	if r.net == nil {
		return nil
	}
	var seedAddrs []string
	for i := range min(seedCount, len(r.nodes)) {
		seedAddrs = append(seedAddrs, fmt.Sprintf("%q", r.net.RelayAddr(i)))
	}
	return []string{"{peer}", r.net.NodeAddr(n.index), "{advertise}", r.net.RelayAddr(n.index), "{seeds}", "[" + strings.Join(seedAddrs, ", ") + "]",
		"{key}", filepath.Join(r.dir, "fleet.key"), "{audit}", n.auditFile()}
}

func (n *node) auditFile() string { return filepath.Join(n.r.dir, n.Name+".audit") }

// applyLinkFault begins or ends a fault of the links between nodes.
func (r *Rehearsal) applyLinkFault(s *plan.Step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := trace.Record{Kind: trace.NetworkFault, T: trace.Microseconds(r.clock().Now()), Text: s.Text, How: trace.Begin}
	if s.Do != plan.MessageFault {
		rec.Text = fmt.Sprintf("cut %.0f", s.By)
	}
	if s.Do == plan.HealNodes || s.Do == plan.MessageFault && s.By == 0 {
		rec.How = trace.Ended
	}
	r.out.Add(&rec)
	switch s.Do {
	case plan.IsolateNode:
		p := r.partitions[s.By]
		if p == nil {
			p = &partition{nodes: map[int]bool{}}
			r.partitions[s.By] = p
		} else {
			p.heal()
		}
		p.nodes[s.Node-1] = true
		isolated := map[int]bool{}
		for n := range p.nodes {
			isolated[n] = true
		}
		p.heal = r.net.Inject(relay.Fault{Cut: true}, func(from, to int) bool {
			out, in := isolated[from] && !isolated[to], isolated[to] && !isolated[from]
			return out && s.Text != "in" || in && s.Text != "out"
		})
	case plan.HealNodes:
		if p := r.partitions[s.By]; p != nil {
			p.heal()
			delete(r.partitions, s.By)
		}
	case plan.MessageFault:
		if end := r.messageFaults[s.Text]; end != nil {
			end()
			delete(r.messageFaults, s.Text)
		}
		if s.By == 0 {
			return
		}
		t := map[string]relay.Fault{"drop-words": {Drop: s.By}, "double-words": {Duplicate: s.By}, "spoil-words": {Corrupt: s.By},
			"late-words": {Delay: time.Duration(s.By * float64(time.Second))}}[s.Text]
		r.messageFaults[s.Text] = r.net.Inject(t, func(int, int) bool { return true })
	}
}

// applySiteCut cuts one direction between two sites, or ends the cut: between nodes and backends, and between nodes that talk
// to each other.
func (r *Rehearsal) applySiteCut(s *plan.Step) {
	from, to, _ := strings.Cut(s.Text, ">")
	r.mu.Lock()
	rec := trace.Record{Kind: trace.NetworkFault, T: trace.Microseconds(r.clock().Now()), Text: "dark " + s.Text, How: trace.Begin}
	heal := r.siteCuts[s.Text]
	if s.By == 0 {
		rec.How = trace.Ended
	}
	r.out.Add(&rec)
	switch {
	case s.By == 0 && heal != nil:
		heal()
		delete(r.siteCuts, s.Text)
	case s.By > 0 && heal == nil:
		r.siteCuts[s.Text] = func() {}
		if r.net != nil {
			r.siteCuts[s.Text] = r.net.Inject(relay.Fault{Cut: true}, func(a, b int) bool { return r.nodes[a].Site == from && r.nodes[b].Site == to })
		}
	}
	backends := slices.Collect(maps.Values(r.backends))
	r.mu.Unlock()
	var wg sync.WaitGroup
	for _, b := range backends {
		wg.Go(func() { r.updateCuts(b) })
	}
	wg.Wait()
}

// updateCuts applies the present cuts between sites to a backend.
func (r *Rehearsal) updateCuts(b *backendState) {
	r.mu.Lock()
	cuts := maps.Clone(r.siteCuts)
	r.mu.Unlock()
	b.backend.SetCuts(func(n trace.Node) (in, out bool) {
		return cuts[n.Site+">"+b.plan.Site] != nil, cuts[b.plan.Site+">"+n.Site] != nil
	})
}

// readAudits copies the nodes' audit files, which state their budgets and their view of the fleet, into the trace until the
// rehearsal ends, and once more then.
func (r *Rehearsal) readAudits(ctx context.Context) {
	if r.net == nil {
		return
	}
	offsets := make([]int64, len(r.nodes))
	for {
		running := timing.Sleep(ctx, auditInterval)
		for i, n := range r.nodes {
			r.readAudit(n, &offsets[i])
		}
		if !running {
			return
		}
	}
}

// readAudit records the complete lines of a node's audit file from *offset on, and advances *offset past them.
func (r *Rehearsal) readAudit(n *node, offset *int64) {
	f, err := os.Open(n.auditFile())
	if err != nil {
		return // the node has not created it yet
	}
	defer f.Close()
	text, err := io.ReadAll(io.NewSectionReader(f, *offset, math.MaxInt64-*offset))
	if err != nil {
		return // the next call reads from the same offset
	}
	text = text[:bytes.LastIndexByte(text, '\n')+1]
	*offset += int64(len(text))
	us := func(ns int64) int64 { return (ns - r.start.UnixNano()) / 1000 }
	for line := range bytes.Lines(text) {
		var a peers.AuditRecord
		if json.Unmarshal(line, &a) != nil {
			continue // not an audit record
		}
		rec := trace.Record{Kind: trace.View, T: us(a.At), Node: n.Name, ConfirmedAlive: a.MinNodes, MaxAlive: a.MaxNodes, RefreshInterval: a.RepeatInterval / 1000, Listed: a.Backends, Ejected: a.Ejected, MinVotes: a.MinVotes}
		for _, h := range a.Counts {
			epoch := counts.EpochDuration.Nanoseconds()
			to := int64(h.Incarnation)*1e6 + int64(h.Epoch)*epoch // an incarnation is the Unix time of its start in milliseconds
			rec.Counts = append(rec.Counts, trace.Count{Key: h.Key, Node: h.Node, Incarnation: h.Incarnation, Epoch: h.Epoch, Sum: int64(h.Sum), From: us(to - int64(h.ClosedEpochs)*epoch), To: us(to)})
		}
		if a.Budget != "" {
			rec = trace.Record{Kind: trace.Spend, T: us(a.At), Node: n.Name, Text: a.Budget, Own: a.Own}
			for _, h := range a.Borrowed {
				rec.Loans = append(rec.Loans, trace.Loan{Lender: h.Owner, Grains: h.Grains, Until: us(h.Until)})
			}
		}
		r.out.Add(&rec)
	}
}
