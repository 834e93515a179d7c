// Package hollow runs many nodes of a fleet in one process: each has the subscriber and the sessions over TCP of a real
// node's control part, and no requests. It tells on its output what comes into force, one JSON object a line.
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

// tellEvery is how often a host tells where its nodes stand.
const tellEvery = 500 * time.Millisecond

// HostConfig is what a process with hollow nodes is told.
type HostConfig struct {
	Region  string              `json:"region"`
	Cluster string              `json:"cluster"`
	Key     string              `json:"key"` // in hexadecimal
	Silence time.Duration       `json:"silence"`
	Bytes   int                 `json:"bytes"` // a second that a node sends at most
	Parents []parents.Candidate `json:"parents"`
	Nodes   []Node              `json:"nodes"`
}

// Node is one hollow node.
type Node struct {
	Name     string   `json:"name"`
	Zone     string   `json:"zone"`
	Services []string `json:"services"`
}

// InForce is news that a service's own resource is in force at a node.
type InForce struct {
	Node       string `json:"node"`
	Service    string `json:"service"`
	Generation int    `json:"generation"`
	AtNS       int64  `json:"at_ns"` // Unix nanoseconds
}

// Status is where the nodes of a host stand.
type Status struct {
	Nodes    int               `json:"nodes"`
	Least    resource.Position `json:"least"` // where the last of them stands
	Most     resource.Position `json:"most"`
	Counts   controlnet.Counts `json:"counts"`    // of all
	CPUNS    int64             `json:"cpu_ns"`    // of the process, since its start
	Heap     int64             `json:"heap"`      // bytes; in the last line only
	Resource int               `json:"resources"` // of all nodes; in the last line only
}

// Line is one line of a host's output. One field is set.
type Line struct {
	InForce *InForce `json:"in_force,omitempty"`
	Status  *Status  `json:"status,omitempty"`
	Last    *Status  `json:"last,omitempty"`
}

// host is a running one.
type host struct {
	cfg   *HostConfig
	clock func() time.Duration

	mu    sync.Mutex // of the output
	out   *json.Encoder
	nodes []*node
}

type node struct {
	subscriber *subscriber.Subscriber
	process    *controlnet.Process
}

// Run runs the nodes until ctx ends or in does, and tells a last time. Nothing is read from in.
func Run(ctx context.Context, cfg *HostConfig, in io.Reader, out io.Writer, log *slog.Logger) error {
	key, err := hex.DecodeString(cfg.Key)
	if err != nil {
		return fmt.Errorf("key: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { // ends with the process: a read of standard input can't be broken off
		_, _ = io.Copy(io.Discard, in)
		cancel()
	}()
	began := time.Now()
	h := &host{cfg: cfg, clock: func() time.Duration { return time.Since(began) }, out: json.NewEncoder(out)}
	before := heap.InUse()
	living, end := context.WithCancel(context.WithoutCancel(ctx)) // the nodes end after the last look at them
	defer end()
	var running sync.WaitGroup
	for i := range cfg.Nodes {
		n := h.newNode(&cfg.Nodes[i], uint64(i), key, log)
		running.Go(func() { n.process.Run(living, nil) })
	}
	h.tell(ctx)
	status := h.status()
	status.Heap = heap.InUse() - before
	for _, n := range h.nodes {
		n.process.Do(func() { status.Resource += n.subscriber.Store(cfg.Region).Len() })
	}
	end()
	running.Wait()
	return h.write(Line{Last: status})
}

func (h *host) newNode(cfg *Node, number uint64, key []byte, log *slog.Logger) *node {
	n := &node{}
	n.subscriber = subscriber.New(subscriber.Config{Name: cfg.Name, Zone: cfg.Zone, Regions: []string{h.cfg.Region}, Filter: changelog.Filter{Services: cfg.Services},
		Candidates: h.cfg.Parents, Seed: uint64(os.Getpid())<<20 + number, Limits: controlnet.LimitsFor(h.cfg.Silence), Leaf: true}, h.clock())
	n.process = controlnet.NewProcess(controlnet.Config{Name: cfg.Name, Keys: [][]byte{key}, Cluster: h.cfg.Cluster, BytesPerSecond: h.cfg.Bytes,
		StaleAfter: h.cfg.Silence, Subscribers: []*subscriber.Subscriber{n.subscriber}, Clock: h.clock, Log: log,
		Applied: func(news controlnet.Update) { h.applied(cfg.Name, news.Changes) }})
	h.nodes = append(h.nodes, n)
	return n
}

// applied tells of services that a node has in a new state.
func (h *host) applied(name string, changes []resource.Change) {
	at := time.Now().UnixNano()
	for i := range changes {
		if s := changes[i].Resource.Service; s != nil && hierarchy.Generation(s) > 0 {
			_ = h.write(Line{InForce: &InForce{name, changes[i].Resource.Key.Service, hierarchy.Generation(s), at}}) // who reads it has gone
		}
	}
}

func (h *host) write(l Line) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.out.Encode(l)
}

// tell tells where all stand, until ctx ends.
func (h *host) tell(ctx context.Context) {
	tick := time.NewTicker(tellEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			_ = h.write(Line{Status: h.status()}) // who reads it has gone
		}
	}
}

func (h *host) status() *Status {
	out := &Status{Nodes: len(h.nodes)}
	for i, n := range h.nodes {
		status := n.process.Status()
		region, _ := status.Region(h.cfg.Region)
		if i == 0 || region.Position.Compare(out.Least) < 0 {
			out.Least = region.Position
		}
		if region.Position.Compare(out.Most) > 0 {
			out.Most = region.Position
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
