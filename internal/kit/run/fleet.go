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
	auditEvery = 100 * time.Millisecond
	seeds      = 3 // nodes that the others are told of
)

// cut is some nodes that are cut off from the others.
type cut struct {
	nodes map[int]bool // from 0
	end   func()
}

// connect makes the network between the nodes, where they talk to each other.
func (r *Rehearsal) connect() (err error) {
	own := r.plan.Scenario.Nodes.Own
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
		rec := trace.Record{Kind: trace.Peer, T: trace.US(r.clock().Now()), Node: r.nodes[e.To].Name, Text: by, How: e.Outcome, Bytes: int64(e.Bytes)}
		if e.Stream {
			rec.Why = "stream"
		}
		r.out.Add(&rec)
	})
	return err
}

// fleet is what a node's own settings are filled in with for [fleet].
func (r *Rehearsal) fleet(n *node) []string {
	if r.net == nil {
		return nil
	}
	var some []string
	for i := range min(seeds, len(r.nodes)) {
		some = append(some, fmt.Sprintf("%q", r.net.RelayAddr(i)))
	}
	return []string{"{peer}", r.net.NodeAddr(n.index), "{advertise}", r.net.RelayAddr(n.index), "{seeds}", "[" + strings.Join(some, ", ") + "]",
		"{key}", filepath.Join(r.dir, "fleet.key"), "{audit}", n.audit()}
}

func (n *node) audit() string { return filepath.Join(n.r.dir, n.Name+".audit") }

// trouble begins or ends a trouble of the links between nodes.
func (r *Rehearsal) trouble(s *plan.Step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := trace.Record{Kind: trace.Net, T: trace.US(r.clock().Now()), Text: s.Text, How: trace.Begin}
	if s.Do != plan.Words {
		rec.Text = fmt.Sprintf("cut %.0f", s.By)
	}
	if s.Do == plan.Mend || s.Do == plan.Words && s.By == 0 {
		rec.How = trace.Over
	}
	r.out.Add(&rec)
	switch s.Do {
	case plan.CutNode:
		c := r.cuts[s.By]
		if c == nil {
			c = &cut{nodes: map[int]bool{}}
			r.cuts[s.By] = c
		} else {
			c.end()
		}
		c.nodes[s.Node-1] = true
		off := map[int]bool{}
		for n := range c.nodes {
			off[n] = true
		}
		c.end = r.net.Inject(relay.Fault{Cut: true}, func(from, to int) bool {
			out, in := off[from] && !off[to], off[to] && !off[from]
			return out && s.Text != "in" || in && s.Text != "out"
		})
	case plan.Mend:
		if c := r.cuts[s.By]; c != nil {
			c.end()
			delete(r.cuts, s.By)
		}
	case plan.Words:
		if end := r.ends[s.Text]; end != nil {
			end()
			delete(r.ends, s.Text)
		}
		if s.By == 0 {
			return
		}
		t := map[string]relay.Fault{"drop-words": {Drop: s.By}, "double-words": {Duplicate: s.By}, "spoil-words": {Corrupt: s.By},
			"late-words": {Delay: time.Duration(s.By * float64(time.Second))}}[s.Text]
		r.ends[s.Text] = r.net.Inject(t, func(int, int) bool { return true })
	}
}

// darken cuts one way between two sites, or mends it: for nodes and boxes, and for nodes that talk to each other.
func (r *Rehearsal) darken(s *plan.Step) {
	from, to, _ := strings.Cut(s.Text, ">")
	r.mu.Lock()
	rec := trace.Record{Kind: trace.Net, T: trace.US(r.clock().Now()), Text: "dark " + s.Text, How: trace.Begin}
	mend := r.dark[s.Text]
	if s.By == 0 {
		rec.How = trace.Over
	}
	r.out.Add(&rec)
	switch {
	case s.By == 0 && mend != nil:
		mend()
		delete(r.dark, s.Text)
	case s.By > 0 && mend == nil:
		r.dark[s.Text] = func() {}
		if r.net != nil {
			r.dark[s.Text] = r.net.Inject(relay.Fault{Cut: true}, func(a, b int) bool { return r.nodes[a].Site == from && r.nodes[b].Site == to })
		}
	}
	boxes := slices.Collect(maps.Values(r.boxes))
	r.mu.Unlock()
	var wg sync.WaitGroup
	for _, seat := range boxes {
		wg.Go(func() { r.link(seat) })
	}
	wg.Wait()
}

// link tells a box which nodes it is cut off from.
func (r *Rehearsal) link(seat *boxSeat) {
	r.mu.Lock()
	dark := maps.Clone(r.dark)
	r.mu.Unlock()
	seat.box.Cut(func(n trace.Node) (in, out bool) {
		return dark[n.Site+">"+seat.plan.Site] != nil, dark[seat.plan.Site+">"+n.Site] != nil
	})
}

// audits notes what the nodes write of what they may spend and know, until the rehearsal's end and once more.
func (r *Rehearsal) audits(ctx context.Context) {
	if r.net == nil {
		return
	}
	read := make([]int64, len(r.nodes))
	for {
		more := timing.Sleep(ctx, auditEvery)
		for i, n := range r.nodes {
			r.audited(n, &read[i])
		}
		if !more {
			return
		}
	}
}

// audited notes the lines of a node's audit that came since the last time.
func (r *Rehearsal) audited(n *node, from *int64) {
	f, err := os.Open(n.audit())
	if err != nil {
		return // it has not begun one
	}
	defer f.Close()
	text, err := io.ReadAll(io.NewSectionReader(f, *from, math.MaxInt64-*from))
	if err != nil {
		return // it is read again from here
	}
	text = text[:bytes.LastIndexByte(text, '\n')+1]
	*from += int64(len(text))
	us := func(ns int64) int64 { return (ns - r.start.UnixNano()) / 1000 }
	for line := range bytes.Lines(text) {
		var a peers.AuditRecord
		if json.Unmarshal(line, &a) != nil {
			continue // another program's file
		}
		rec := trace.Record{Kind: trace.View, T: us(a.At), Node: n.Name, Surely: a.MinNodes, AtMost: a.MaxNodes, Every: a.RepeatInterval / 1000, Listed: a.Backends, Out: a.Ejected, Votes: a.MinVotes}
		for _, h := range a.Counts {
			epoch := counts.EpochDuration.Nanoseconds()
			to := int64(h.Incarnation)*1e6 + int64(h.Epoch)*epoch // a life is named by the Unix milliseconds of its start
			rec.Counts = append(rec.Counts, trace.Count{Key: h.Key, Of: h.Node, Life: h.Incarnation, Epoch: h.Epoch, Sum: int64(h.Sum), From: us(to - int64(h.ClosedEpochs)*epoch), To: us(to)})
		}
		if a.Budget != "" {
			rec = trace.Record{Kind: trace.Spend, T: us(a.At), Node: n.Name, Text: a.Budget, Own: a.Own}
			for _, h := range a.Borrowed {
				rec.Loans = append(rec.Loans, trace.Loan{Of: h.Owner, Grains: h.Grains, Until: us(h.Until)})
			}
		}
		r.out.Add(&rec)
	}
}
