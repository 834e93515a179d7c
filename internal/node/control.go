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

// heardEvery is how often the engine is told that the control plane is there, where nothing is new.
const heardEvery = time.Second

// control is a node's part in the control plane: its service's endpoints and tenants come from there.
type control struct {
	region    string
	service   string
	process   *controlnet.Process
	endpoints *endpoints
	front     *httpfront.Front
	policy    *policy.Settings
	shares    map[string]float64 // of tenants before the control plane told of any; nil once it has
	log       *slog.Logger
}

// newControl makes the node's part in the control plane, which does nothing before run.
func (n *node) newControl(own *settings.Control) *control {
	c := &control{region: own.Region, service: own.Services[0], front: n.front, policy: &n.cfg.Settings.Policy, shares: n.cfg.shares(), log: n.log,
		endpoints: newEndpoints(n.engine, own.Services[0], n.cfg.Known.Servers)}
	s := subscriber.New(subscriber.Config{Name: n.cfg.Name, Zone: n.cfg.Settings.Policy.Zone, Regions: []string{own.Region},
		Filter: changelog.Filter{Services: slices.Clone(own.Services)}, Candidates: controlnet.Candidates(own.Parents),
		Seed: n.controlSeed(), Limits: controlnet.LimitsFor(own.Silence.D()), Leaf: true}, n.clock.Since())
	c.process = controlnet.NewProcess(controlnet.Config{Name: n.cfg.Name, Keys: own.Keys, Cluster: own.Cluster, BytesPerSecond: int(own.Bytes), StaleAfter: own.Silence.D(),
		Subscribers: []*subscriber.Subscriber{s}, Applied: c.apply, Clock: n.clock.Since, Log: n.log})
	return c
}

// controlSeed differs between nodes and between a node's starts, so that their retries spread.
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
		timing.Every(ctx, heardEvery, c.tellHeard)
	}()
	c.process.Run(ctx, nil)
	<-done
}

// tellHeard tells the engine that its list's source has its say, while a parent streams it.
func (c *control) tellHeard() {
	status := c.process.Status()
	if r, ok := status.Region(c.region); ok && r.Source != "" {
		c.endpoints.heard()
	}
}

// apply brings what the control plane has told into force. What is not reachable in a running node is told in the log.
func (c *control) apply(news controlnet.Update) {
	c.endpoints.apply(news.Changes, news.Late)
	for piece := range slices.Chunk(c.shareChanges(news.Changes), pieceSize) {
		c.front.ChangeShares(piece)
	}
	for i := range news.Changes {
		if s := news.Changes[i].Resource.Service; s != nil {
			c.compare(s)
		}
	}
	c.log.Info("configuration in force", "region", news.Region, "position", news.Position, "changes", len(news.Changes), "snapshot", news.Snapshot)
}

func (c *control) shareChanges(changes []resource.Change) []admission.ShareChange {
	before := c.shares
	all := shareChanges(c.service, changes, c.policy.Nodes, nil)
	if before == nil || len(all) == 0 { // without a tenant there, the settings' own stay
		return all
	}
	c.shares = nil
	return shareChanges(c.service, changes, c.policy.Nodes, before)
}

// compare tells where the service differs from what the node was started with, and follows on.
func (c *control) compare(s *resource.Service) {
	if s.DrainGrace != c.policy.DrainGrace {
		c.log.Warn("the service's drain grace needs a restart with other settings to come into force", "service", s.DrainGrace, "in force", c.policy.DrainGrace)
	}
	if int(s.MaxAttempts) != c.policy.MaxAttempts {
		c.log.Warn("the service's number of attempts needs a restart with other settings to come into force", "service", s.MaxAttempts, "in force", c.policy.MaxAttempts)
	}
}

// Control is what a node that follows the control plane says of it on its local socket, in a line of its own.
type Control struct {
	Control ControlStatus `json:"control"`
}

// ControlStatus is where a node's configuration stands.
type ControlStatus struct {
	Region   string            `json:"region"`
	Service  string            `json:"service"`
	Epoch    uint64            `json:"epoch"`
	Version  uint64            `json:"version"`
	AgeMS    int64             `json:"age_ms"` // since the log's writer was known to stand there
	Source   string            `json:"source"` // the parent that tells it
	Parents  []string          `json:"parents"`
	Refused  string            `json:"refused,omitempty"` // why the latest state is not in force
	Dropped  uint64            `json:"dropped"`           // messages that were wrong
	Replica  subscriber.Counts `json:"replica"`
	Sessions controlnet.Counts `json:"sessions"`
}

// Position is where the node's configuration stands in the log of its region.
func (s *ControlStatus) Position() resource.Position {
	return resource.Position{Epoch: s.Epoch, Version: s.Version}
}

// ReadControlStatus asks the node at a local socket where its configuration stands. io.EOF says that it follows no control
// plane.
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

// status is where the node's configuration stands now.
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
