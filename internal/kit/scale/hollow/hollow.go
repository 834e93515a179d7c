// Package hollow runs many hollow nodes in one process: each has the subscriber and the TCP sessions of a real node's
// control part, and serves no requests. A host reports the changes that its nodes apply on its output, as one JSON object
// per line.
package hollow

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync"
	"syscall"
	"time"

	"craneglade/internal/controlnet"
	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/parents"
	"craneglade/internal/controlplane/resource"
	"craneglade/internal/controlplane/subscriber"
	"craneglade/internal/kit/scale/heap"
	"craneglade/internal/kit/scale/hierarchy"
)

// statusInterval is the time between two status reports of a host.
const statusInterval = 500 * time.Millisecond

// HostConfig configures a process with hollow nodes.
type HostConfig struct {
	Region         string              `json:"region"`
	Cluster        string              `json:"cluster"`
	Key            string              `json:"key"` // hexadecimal
	SilenceTimeout time.Duration       `json:"silence"`
	BytesPerSecond int                 `json:"bytes"` // limit of what a node sends
	Parents        []parents.Candidate `json:"parents"`
	Nodes          []NodeConfig        `json:"nodes"`
}

// NodeConfig configures one hollow node.
type NodeConfig struct {
	Name     string   `json:"name"`
	Zone     string   `json:"zone"`
	Services []string `json:"services"`
}

// InForce reports that a service's own resource is in force at a node.
type InForce struct {
	Node       string `json:"node"`
	Service    string `json:"service"`
	Generation int    `json:"generation"`
	AtNS       int64  `json:"at_ns"` // Unix nanoseconds
}

// Status sums up the nodes of a host.
type Status struct {
	Nodes       int               `json:"nodes"`
	MinPosition resource.Position `json:"least"` // of the node that is furthest behind
	MaxPosition resource.Position `json:"most"`
	Counts      controlnet.Counts `json:"counts"`    // sums over all nodes
	CPUNS       int64             `json:"cpu_ns"`    // processor time of the process since its start
	HeapBytes   int64             `json:"heap"`      // in the final status only
	Resources   int               `json:"resources"` // sum over all nodes; in the final status only
}

// Line is one line of a host's output. Exactly one field is set.
type Line struct {
	InForce *InForce `json:"in_force,omitempty"`
	Status  *Status  `json:"status,omitempty"`
	Final   *Status  `json:"last,omitempty"`
}

// host is a process with hollow nodes.
type host struct {
	cfg   *HostConfig
	clock func() time.Duration

	mu    sync.Mutex // serializes writes to out
	out   *json.Encoder
	nodes []*node
}

type node struct {
	subscriber *subscriber.Subscriber
	process    *controlnet.Process
}

// Run runs the nodes until ctx is cancelled or in ends, then writes the final status. What is read from in is discarded.
func Run(ctx context.Context, cfg *HostConfig, in io.Reader, out io.Writer, log *slog.Logger) error {
	key, err := hex.DecodeString(cfg.Key)
	if err != nil {
		return fmt.Errorf("key: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { // runs until the process exits, as a read of standard input can't be cancelled
		_, _ = io.Copy(io.Discard, in)
		cancel()
	}()
	started := time.Now()
	h := &host{cfg: cfg, clock: func() time.Duration { return time.Since(started) }, out: json.NewEncoder(out)}
	heapBefore := heap.InUse()
	nodesCtx, stopNodes := context.WithCancel(context.WithoutCancel(ctx)) // nodes run until their final status has been read
	defer stopNodes()
	var running sync.WaitGroup
	for i := range cfg.Nodes {
		n := h.newNode(&cfg.Nodes[i], uint64(i), key, log)
		running.Go(func() { n.process.Run(nodesCtx, nil) })
	}
	h.reportStatus(ctx)
	status := h.status()
	status.HeapBytes = heap.InUse() - heapBefore
	for _, n := range h.nodes {
		n.process.Do(func() { status.Resources += n.subscriber.Store(cfg.Region).Len() })
	}
	stopNodes()
	running.Wait()
	return h.write(Line{Final: status})
}

func (h *host) newNode(cfg *NodeConfig, index uint64, key []byte, log *slog.Logger) *node {
	n := &node{}
	n.subscriber = subscriber.New(subscriber.Config{Name: cfg.Name, Zone: cfg.Zone, Regions: []string{h.cfg.Region}, Filter: changelog.Filter{Services: cfg.Services},
		Candidates: h.cfg.Parents, Seed: uint64(os.Getpid())<<20 + index, Limits: controlnet.LimitsFor(h.cfg.SilenceTimeout), Leaf: true}, h.clock())
	n.process = controlnet.NewProcess(controlnet.Config{Name: cfg.Name, Keys: [][]byte{key}, Cluster: h.cfg.Cluster, BytesPerSecond: h.cfg.BytesPerSecond,
		StaleAfter: h.cfg.SilenceTimeout, Subscribers: []*subscriber.Subscriber{n.subscriber}, Clock: h.clock, Log: log,
		Applied: func(update controlnet.Update) { h.reportApplied(cfg.Name, update.Changes) }})
	h.nodes = append(h.nodes, n)
	return n
}

// reportApplied reports the services of which a node has applied a new generation.
func (h *host) reportApplied(name string, changes []resource.Change) {
	at := time.Now().UnixNano()
	for i := range changes {
		if s := changes[i].Resource.Service; s != nil && hierarchy.Generation(s) > 0 {
			_ = h.write(Line{InForce: &InForce{name, changes[i].Resource.Key.Service, hierarchy.Generation(s), at}}) // fails only if the reader has exited
		}
	}
}

func (h *host) write(l Line) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.out.Encode(l)
}

// reportStatus writes the status at intervals, until ctx is cancelled.
func (h *host) reportStatus(ctx context.Context) {
	tick := time.NewTicker(statusInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			_ = h.write(Line{Status: h.status()}) // fails only if the reader has exited
		}
	}
}

func (h *host) status() *Status {
	out := &Status{Nodes: len(h.nodes)}
	for i, n := range h.nodes {
		status := n.process.Status()
		region, _ := status.Region(h.cfg.Region)
		if i == 0 || region.Position.Compare(out.MinPosition) < 0 {
			out.MinPosition = region.Position
		}
		if region.Position.Compare(out.MaxPosition) > 0 {
			out.MaxPosition = region.Position
		}
		out.Counts.Sent += status.Counts.Sent
		out.Counts.Received += status.Counts.Received
		out.Counts.SentBytes += status.Counts.SentBytes
		out.Counts.ReceivedBytes += status.Counts.ReceivedBytes
		out.Counts.Invalid += status.Counts.Invalid
	}
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		out.CPUNS = usage.Utime.Nano() + usage.Stime.Nano()
	}
	return out
}
