package node

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"log/slog"
	"net"
	"slices"
	"time"

	"craneglade/internal/admission"
	"craneglade/internal/controlnet"
	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/resource"
	"craneglade/internal/controlplane/subscriber"
	"craneglade/internal/httpfront"
	"craneglade/internal/settings"
	"craneglade/internal/timing"
	"craneglade/policy"
)

// confirmInterval is how often the list of endpoints is confirmed as current while a control plane parent is connected.
const confirmInterval = time.Second

// control connects a node to the control plane, which provides the endpoints and tenants of its service.
type control struct {
	region        string
	service       string
	process       *controlnet.Process
	endpoints     *endpoints
	front         *httpfront.Front
	policy        *policy.Settings
	initialShares map[string]float64 // tenants' shares from the settings; nil once the control plane has sent tenants
	log           *slog.Logger
}

// newControl returns the node's connection to the control plane, which run starts.
func (n *node) newControl(cfg *settings.Control) *control {
	c := &control{region: cfg.Region, service: cfg.Services[0], front: n.front, policy: &n.cfg.Settings.Policy, initialShares: n.cfg.tenantShares(), log: n.log,
		endpoints: newEndpoints(n.engine, cfg.Services[0], n.cfg.Known.Backends)}
	s := subscriber.New(subscriber.Config{Name: n.cfg.Name, Zone: n.cfg.Settings.Policy.Zone, Regions: []string{cfg.Region},
		Filter: changelog.Filter{Services: slices.Clone(cfg.Services)}, Candidates: controlnet.Candidates(cfg.Parents),
		Seed: n.controlSeed(), Limits: controlnet.LimitsFor(cfg.ParentTimeout.D()), Leaf: true}, n.clock.Elapsed())
	c.process = controlnet.NewProcess(controlnet.Config{Name: n.cfg.Name, Keys: cfg.Keys, Cluster: cfg.Cluster, BytesPerSecond: int(cfg.BytesPerSecond), StaleAfter: cfg.ParentTimeout.D(),
		Subscribers: []*subscriber.Subscriber{s}, Applied: c.apply, Clock: n.clock.Elapsed, Log: n.log})
	return c
}

// controlSeed returns a seed that differs between nodes and between the starts of a node, so that their retries are spread out.
func (n *node) controlSeed() uint64 {
	h := fnv.New64a()
	h.Write([]byte(n.cfg.Name))
	return n.cfg.Seed ^ h.Sum64() ^ uint64(n.clock.Now())
}

// run follows the control plane until ctx ends.
func (c *control) run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		timing.Every(ctx, confirmInterval, c.confirmList)
	}()
	c.process.Run(ctx, nil)
	<-done
}

// confirmList confirms the engine's list as current while a parent streams the region.
func (c *control) confirmList() {
	status := c.process.Status()
	if r, ok := status.Region(c.region); ok && r.Source != "" {
		c.endpoints.confirm()
	}
}

// apply applies an update from the control plane. Changes that a running node cannot apply are logged.
func (c *control) apply(update controlnet.Update) {
	c.endpoints.apply(update.Changes, update.Late)
	for batch := range slices.Chunk(c.shareChanges(update.Changes), batchSize) {
		c.front.ChangeShares(batch)
	}
	for i := range update.Changes {
		if s := update.Changes[i].Resource.Service; s != nil {
			c.warnRestartNeeded(s)
		}
	}
	c.log.Info("configuration applied", "region", update.Region, "position", update.Position, "changes", len(update.Changes), "snapshot", update.Snapshot)
}

// shareChanges returns the changes of tenants' shares in an update. The first update with tenants also removes the tenants of the
// settings that it does not name.
func (c *control) shareChanges(changes []resource.Change) []admission.ShareChange {
	initial := c.initialShares
	changed := shareChanges(c.service, changes, c.policy.Nodes, nil)
	if initial == nil || len(changed) == 0 { // until the control plane has sent a tenant, those of the settings stay
		return changed
	}
	c.initialShares = nil
	return shareChanges(c.service, changes, c.policy.Nodes, initial)
}

// warnRestartNeeded logs settings of the service that differ from those that the node was started with and that take effect only
// after a restart.
func (c *control) warnRestartNeeded(s *resource.Service) {
	if s.DrainGrace != c.policy.DrainGrace {
		c.log.Warn("the drain grace of the service takes effect only after a restart with new settings", "service", s.DrainGrace, "in force", c.policy.DrainGrace)
	}
	if int(s.MaxAttempts) != c.policy.MaxAttempts {
		c.log.Warn("the max attempts of the service take effect only after a restart with new settings", "service", s.MaxAttempts, "in force", c.policy.MaxAttempts)
	}
}

// ControlLine is the JSON line about the control plane on the status socket. Only nodes that use the control plane send it.
type ControlLine struct {
	Control ControlStatus `json:"control"`
}

// ControlStatus is the state of a node's configuration from the control plane.
type ControlStatus struct {
	Region   string            `json:"region"`
	Service  string            `json:"service"`
	Epoch    uint64            `json:"epoch"`
	Version  uint64            `json:"version"`
	AgeMS    int64             `json:"age_ms"` // time since the writer of the log was known to be at this position
	Source   string            `json:"source"` // the parent that streams it
	Parents  []string          `json:"parents"`
	Refused  string            `json:"refused,omitempty"` // why the latest state was rejected
	Dropped  uint64            `json:"dropped"`           // invalid messages
	Replica  subscriber.Counts `json:"replica"`
	Sessions controlnet.Counts `json:"sessions"`
}

// Position returns the position of the node's configuration in the log of its region.
func (s *ControlStatus) Position() resource.Position {
	return resource.Position{Epoch: s.Epoch, Version: s.Version}
}

// ReadControlStatus reads the control plane status of the node at a status socket. It returns io.EOF if the node does not use the
// control plane.
func ReadControlStatus(socket string) (*ControlStatus, error) {
	conn, err := net.Dial("unix", socket)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	for in := json.NewDecoder(conn); ; {
		var line struct {
			Control *ControlStatus `json:"control"`
		}
		if err := in.Decode(&line); err != nil {
			return nil, err
		}
		if line.Control != nil {
			return line.Control, nil
		}
	}
}

// status returns the current state of the node's configuration.
func (c *control) status() ControlStatus {
	status := c.process.Status()
	out := ControlStatus{Region: c.region, Service: c.service, Sessions: status.Counts}
	for _, p := range status.Parents {
		out.Parents = append(out.Parents, p.Connected...)
		out.Dropped += p.Dropped
	}
	if r, ok := status.Region(c.region); ok {
		out.Epoch, out.Version, out.AgeMS, out.Source = r.Position.Epoch, r.Position.Version, r.Age.Milliseconds(), r.Source
		out.Refused, out.Replica = r.Refused, r.Counts
	}
	return out
}
