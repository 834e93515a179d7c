package controlnet

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/parents"
	"craneglade/internal/controlplane/publisher"
	"craneglade/internal/controlplane/resource"
	"craneglade/internal/controlplane/subscriber"
	"craneglade/internal/settings"
)

// daemon is a process of the control plane: a member of the quorum of a region's log, or a relay.
type daemon struct {
	cfg     *settings.ControlProcess
	log     *slog.Logger
	clock   func() time.Duration
	process *Process
	member  *member // nil for a relay
	stores  []*changelog.Store
}

// Serve runs a process of the control plane until ctx ends.
func Serve(ctx context.Context, cfg *settings.ControlProcess, log *slog.Logger) error {
	d := &daemon{cfg: cfg, log: log, clock: monotonicClock()}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if err := d.open(); err != nil {
		return errors.Join(err, ln.Close())
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	operators, err := listenUnix(cfg.Socket)
	if err != nil {
		return errors.Join(fmt.Errorf("socket: %w", err), ln.Close())
	}
	var background sync.WaitGroup
	background.Go(func() { d.serveOperators(ctx, operators) })
	if d.member != nil {
		background.Go(func() { d.member.run(ctx) })
	}
	log.Info("serving", "role", cfg.Role, "region", cfg.Region, "listen", cfg.Listen)
	d.process.Run(ctx, ln)
	background.Wait()
	return nil
}

// monotonicClock returns a clock that counts from now and never steps back.
func monotonicClock() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Since(start) }
}

// open creates the state machines that the role needs.
func (d *daemon) open() error {
	var subscribers []*subscriber.Subscriber
	if d.cfg.Role == settings.RoleWriter {
		m, err := openMember(d.cfg, d.clock, d.log)
		if err != nil {
			return fmt.Errorf("state: %w", err)
		}
		d.member = m
		d.stores = append(d.stores, m.served)
		subscribers = d.otherRegionSubscribers()
	} else {
		subscribers = []*subscriber.Subscriber{d.subscriber(d.cfg.Regions, d.cfg.Parents)}
	}
	for _, s := range subscribers {
		for _, region := range s.Status(d.clock()).Regions {
			d.stores = append(d.stores, s.Store(region.Region))
		}
	}
	d.createProcess(subscribers)
	return nil
}

// otherRegionSubscribers returns the subscribers of a writer to the logs of other regions, one for each region.
func (d *daemon) otherRegionSubscribers() (all []*subscriber.Subscriber) {
	byRegion := map[string][]settings.Parent{}
	for _, o := range d.cfg.RegionParents {
		byRegion[o.Region] = append(byRegion[o.Region], settings.Parent{Name: o.Name, Address: o.Address, Zone: o.Zone})
	}
	for region, candidates := range byRegion {
		all = append(all, d.subscriber([]string{region}, candidates))
	}
	return all
}

func (d *daemon) subscriber(regions []string, from []settings.Parent) *subscriber.Subscriber {
	return subscriber.New(subscriber.Config{Name: d.cfg.Name, Zone: d.cfg.Zone, Regions: regions, Filter: changelog.Filter{All: true},
		Candidates: Candidates(from), Seed: seed(d.cfg.Name), Limits: LimitsFor(d.cfg.Limits.ParentTimeout.D())}, d.clock())
}

// Candidates converts the parents in the settings.
func Candidates(all []settings.Parent) (candidates []parents.Candidate) {
	for _, p := range all {
		candidates = append(candidates, parents.Candidate{Name: p.Name, Address: p.Address, Zone: p.Zone})
	}
	return candidates
}

// seed returns a random seed that differs between processes of different names and between restarts.
func seed(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64() ^ uint64(time.Now().UnixNano())
}

// createProcess creates the process that drives the state machines.
func (d *daemon) createProcess(subscribers []*subscriber.Subscriber) {
	limits := &d.cfg.Limits
	var serveMember func(context.Context, *session) error
	if d.member != nil {
		serveMember = d.member.receive
	}
	p := publisher.New(publisher.Config{
		BytesPerSecond:    float64(limits.BytesPerSecond),
		BurstBytes:        burstSeconds * float64(limits.BytesPerSecond),
		MaxSnapshots:      limits.MaxSnapshots,
		HeartbeatInterval: limits.HeartbeatInterval.D(),
		Seed:              seed(d.cfg.Name),
		Age:               func(region string, now time.Duration) time.Duration { return d.age(subscribers, region, now) },
	})
	for _, store := range d.stores {
		p.Publish(store)
	}
	d.process = NewProcess(Config{Name: d.cfg.Name, Keys: d.cfg.Keys, Cluster: d.cfg.Cluster, MaxSubscribers: limits.MaxSubscribers, StaleAfter: limits.ParentTimeout.D(),
		Subscribers: subscribers, Publisher: p, ServeMember: serveMember, Clock: d.clock, Log: d.log})
	if d.member != nil {
		d.member.process = d.process
	}
}

// age returns the age of the replica of a region.
func (d *daemon) age(subscribers []*subscriber.Subscriber, region string, now time.Duration) time.Duration {
	if d.member != nil && region == d.cfg.Region {
		return d.member.age(now)
	}
	for _, s := range subscribers {
		if s.Store(region) != nil {
			return s.Age(region, now)
		}
	}
	return unknownAge
}

// LogStatus is the state of one log in a process, for operators.
type LogStatus struct {
	Region    string             `json:"region"`
	Writer    string             `json:"writer,omitempty"` // as known to a member of the region's quorum
	Own       bool               `json:"own,omitempty"`    // this process is the writer
	Epoch     uint64             `json:"epoch,omitempty"`
	Failure   string             `json:"failure,omitempty"` // why this process has stopped taking part in the quorum
	Position  string             `json:"position"`
	AgeMS     int64              `json:"age_ms"`
	Resources int                `json:"resources"`
	Source    string             `json:"source,omitempty"`
	Refused   string             `json:"refused,omitempty"`
	Counts    *subscriber.Counts `json:"counts,omitempty"`
}

// SessionStatus is the state of one subscriber's replica of one log, for operators.
type SessionStatus struct {
	Name           string `json:"name"`
	Region         string `json:"region"`
	State          string `json:"state"`
	Standby        bool   `json:"standby,omitempty"`
	Position       string `json:"position"`
	Refused        string `json:"refused,omitempty"`
	Unacknowledged int    `json:"unacknowledged_bytes"`
}

// DaemonStatus is the state of a process of the control plane, for operators.
type DaemonStatus struct {
	Name        string          `json:"name"`
	Role        string          `json:"role"`
	Logs        []LogStatus     `json:"logs"`
	Connected   []string        `json:"parents"`
	Dropped     uint64          `json:"dropped"` // invalid messages of parents
	Subscribers []SessionStatus `json:"subscribers"`
	Counts      Counts          `json:"counts"`
}

// status reports the state of the process.
func (d *daemon) status() DaemonStatus {
	status := d.process.Status()
	out := DaemonStatus{Name: d.cfg.Name, Role: string(d.cfg.Role), Counts: status.Counts}
	for _, p := range status.Parents {
		out.Connected = append(out.Connected, p.Connected...)
		out.Dropped += p.Dropped
	}
	d.process.Do(func() {
		for _, store := range d.stores {
			out.Logs = append(out.Logs, LogStatus{Region: store.Region(), Position: formatPosition(store.Position()), Resources: store.Len()})
		}
	})
	for i := range out.Logs {
		l := &out.Logs[i]
		if d.member != nil && l.Region == d.cfg.Region {
			d.member.addStatus(l)
		} else if r, ok := status.Region(l.Region); ok {
			l.AgeMS, l.Source, l.Refused, l.Counts = r.Age.Milliseconds(), r.Source, r.Refused, &r.Counts
		}
	}
	for _, s := range status.Subscribers {
		out.Subscribers = append(out.Subscribers, SessionStatus{Name: status.Names[s.Session], Region: s.Region, State: s.State,
			Standby: s.Standby, Position: formatPosition(s.Position), Refused: s.Refused, Unacknowledged: s.UnacknowledgedBytes})
	}
	slices.SortFunc(out.Subscribers, func(a, b SessionStatus) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Region, b.Region))
	})
	return out
}

// formatPosition formats a position for operators.
func formatPosition(p resource.Position) string {
	if p.IsZero() {
		return "-"
	}
	return p.String()
}

// resources returns the resources in the log of a region, restricted to a service, a kind and a name where these are given.
func (d *daemon) resources(region, service string, kind resource.Kind, name string) ([]resource.Resource, error) {
	i := slices.IndexFunc(d.stores, func(s *changelog.Store) bool { return s.Region() == region })
	if i < 0 {
		return nil, fmt.Errorf("this process has no log of region %q", region)
	}
	filter := changelog.Filter{All: service == ""}
	if service != "" {
		filter.Services = []string{service}
	}
	var all []resource.Resource
	d.process.Do(func() { all = d.stores[i].Snapshot(filter) })
	return slices.DeleteFunc(all, func(r resource.Resource) bool {
		return kind != 0 && r.Key.Kind != kind || name != "" && r.Key.Name != name
	}), nil
}

// removeStaleSocket removes the socket file of a process that was killed. It fails if the path is not a socket or a process
// still listens on it.
func removeStaleSocket(path string) error {
	info, err := os.Lstat(path)
	if err != nil {
		return err
	}
	if info.Mode().Type() != os.ModeSocket {
		return fmt.Errorf("%s exists and is not a socket: use a path that does not exist", path)
	}
	if c, err := net.Dial("unix", path); err == nil {
		c.Close()
		return fmt.Errorf("another process answers on %s: use a different path for each process", path)
	}
	return os.Remove(path)
}
