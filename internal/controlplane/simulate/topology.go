package simulate

import (
	"fmt"
	"slices"
	"time"

	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/parents"
	"craneglade/internal/controlplane/publisher"
	"craneglade/internal/controlplane/resource"
	"craneglade/internal/controlplane/subscriber"
)

// Options holds the size of a network and the settings of its processes.
type Options struct {
	Seed            uint64
	Regions         int
	Controls        int // in each region; the first writes the region's log
	Zones           int // in each region
	Relays          int // in each zone
	Nodes           int // in each zone
	Services        int // in each region's log
	ServicesPerNode int // of each region
	Endpoints       int // of each service at the start
	ClockDrift      float64
	Link            Link
	Publisher       publisher.Config
	Subscriber      subscriber.Limits
	Verify          bool                      // check every replica at every step; stores all states of all logs
	Size            func(message.Message) int // size of a message on the wire in bytes; nil for an estimate

	// PlantSubscriber and PlantPublisher are called with each new state machine. Tests plant faults with them.
	PlantSubscriber func(*subscriber.Subscriber)
	PlantPublisher  func(*publisher.Publisher)

	network *Network
	filters map[string]changelog.Filter
}

// New returns a network in which all processes start at the same time. The logs have their initial state.
func New(options Options) *Network {
	o := &options
	n := newNetwork(o.Seed, o.Link, o.Size)
	o.network, n.options = n, o
	o.filters = map[string]changelog.Filter{}
	n.checks.verify = o.Verify
	n.checks.ageTolerance = 2*o.Subscriber.SilenceTimeout + 2*time.Second
	for r := range o.Regions {
		n.logs[regionName(r)] = &logHistory{positions: map[resource.Position]*state{}, epoch: 1}
	}
	for r := range o.Regions {
		o.addRegion(r)
	}
	for _, p := range n.processes {
		p.start()
	}
	return n
}

func regionName(r int) string { return fmt.Sprintf("region-%d", r) }

// ServiceName returns the name of a region's service.
func ServiceName(region string, i int) string { return fmt.Sprintf("%s-service-%d", region, i) }

// addRegion adds the processes of a region without starting them.
func (o *Options) addRegion(r int) {
	region := regionName(r)
	for i := range o.Controls {
		p := o.addProcess(RoleControl, fmt.Sprintf("control-%d-%d", r, i), region, "")
		if i == 0 {
			o.network.logs[region].writer = p
			p.own = map[string]*changelog.Store{region: o.initialLog(region)}
		}
	}
	for z := range o.Zones {
		zone := fmt.Sprintf("zone-%d-%d", r, z)
		for i := range o.Relays {
			o.addProcess(RoleRelay, fmt.Sprintf("relay-%d-%d-%d", r, z, i), region, zone)
		}
		for i := range o.Nodes {
			p := o.addProcess(RoleNode, fmt.Sprintf("node-%d-%d-%d", r, z, i), region, zone)
			o.filters[p.Name] = o.RandomFilter()
		}
	}
}

func (o *Options) addProcess(role Role, name, region, zone string) *Process {
	n := o.network
	p := &Process{Name: name, Role: role, Region: region, Zone: zone, network: n, options: o}
	p.clockOffset = time.Duration(n.random.Int64N(int64(time.Hour)))
	p.clockRate = 1 + o.ClockDrift*(2*n.random.Float64()-1)
	n.processes = append(n.processes, p)
	n.byName[name] = p
	return p
}

// RandomFilter returns a random subscription of a node: some services of each region.
func (o *Options) RandomFilter() changelog.Filter {
	var f changelog.Filter
	for r := range o.Regions {
		for _, i := range o.network.random.Perm(o.Services)[:min(o.ServicesPerNode, o.Services)] {
			f.Services = append(f.Services, ServiceName(regionName(r), i))
		}
	}
	slices.Sort(f.Services)
	return f
}

// initialLog returns a log with all services and their endpoints.
func (o *Options) initialLog(region string) *changelog.Store {
	var all []resource.Resource
	for i := range o.Services {
		service := ServiceName(region, i)
		all = append(all, NewService(region, service))
		for e := range o.Endpoints {
			all = append(all, NewEndpoint(service, e, 0))
		}
	}
	store := changelog.NewStore(region, o.Subscriber.Store)
	if err := store.Replace(resource.Position{Epoch: 1, Version: 1}, all); err != nil {
		panic(err) // can't happen: the resources are made above
	}
	o.network.record(store)
	return store
}

// NewService returns the resource of a service itself.
func NewService(region, service string) resource.Resource {
	return resource.Resource{
		Key:     resource.Key{Service: service, Kind: resource.KindService, Name: service},
		Service: &resource.Service{Region: region, DrainGrace: time.Second, MaxAttempts: 3},
	}
}

// NewEndpoint returns an endpoint of a service; generation distinguishes its states.
func NewEndpoint(service string, i int, generation uint64) resource.Resource {
	return resource.Resource{
		Key: resource.Key{Service: service, Kind: resource.KindEndpoint, Name: fmt.Sprintf("endpoint-%d", i)},
		Endpoint: &resource.Endpoint{
			Address:   fmt.Sprintf("10.%d.%d.%d:8080", i>>16&255, i>>8&255, i&255),
			Zone:      "zone",
			Class:     "standard",
			State:     resource.EndpointReady,
			StartedMS: generation,
		},
	}
}

// addSubscribers adds the subscribers of a starting process.
func (o *Options) addSubscribers(p *Process) {
	all := changelog.Filter{All: true}
	switch p.Role {
	case RoleControl:
		for r := range o.Regions {
			if region := regionName(r); p.own[region] == nil {
				p.addSubscriber([]string{region}, all, o.candidates(RoleControl, region, p))
			}
		}
	case RoleRelay:
		p.addSubscriber(o.regions(), all, o.candidates(RoleControl, p.Region, p))
	case RoleNode:
		p.addSubscriber(o.regions(), o.filters[p.Name], o.candidates(RoleRelay, p.Region, p))
	}
}

func (o *Options) regions() []string {
	names := make([]string, o.Regions)
	for r := range names {
		names[r] = regionName(r)
	}
	return names
}

// candidates returns the processes of a role and region that may be a process's parents.
func (o *Options) candidates(role Role, region string, child *Process) []parents.Candidate {
	var all []parents.Candidate
	for _, p := range o.network.processes {
		if p.Role == role && p.Region == region && p != child {
			all = append(all, parents.Candidate{Name: p.Name, Address: p.Name, Zone: p.Zone})
		}
	}
	return all
}

// Writer returns the process that writes a region's log, and the log.
func (n *Network) Writer(region string) (*Process, *changelog.Store) {
	p := n.logs[region].writer
	return p, p.own[region]
}

// Append appends changes to a region's log at its writer. It does nothing if the writer is down or stalled.
func (n *Network) Append(region string, changes []resource.Change) error {
	writer, store := n.Writer(region)
	if writer.down || writer.stalled {
		return nil
	}
	if _, err := store.Append(n.logs[region].epoch, changes); err != nil {
		return err
	}
	n.record(store)
	n.schedule(n.now, writer, func() {})
	return nil
}

// Restore replaces a region's log by its state at an earlier position, under a newer epoch, as after a restore from a
// backup. It does nothing if the writer is down or stalled.
func (n *Network) Restore(region string, position resource.Position) {
	history := n.logs[region]
	writer, store := n.Writer(region)
	backup := history.positions[position]
	if writer.down || writer.stalled || backup == nil {
		return
	}
	history.epoch++
	if err := store.Replace(resource.Position{Epoch: history.epoch, Version: position.Version}, backup.resources); err != nil {
		panic(err) // can't happen: the state was one of the log's
	}
	n.record(store)
	n.schedule(n.now, writer, func() {})
}

// Promote makes another control process the writer of its region's log, under a newer epoch. It reports false and changes
// nothing if that process doesn't have the latest position of the log.
func (n *Network) Promote(p *Process) bool {
	history := n.logs[p.Region]
	former := history.writer
	u := p.uplinkFor(p.Region)
	if p.down || p.stalled || p == former || u == nil || u.subscriber.Store(p.Region).Position() != history.latest {
		return false
	}
	store := u.subscriber.Store(p.Region)
	former.own = nil
	if !former.down { // it restarts as a replica
		former.Kill()
		former.Start()
	}
	p.own = map[string]*changelog.Store{p.Region: store}
	for _, c := range sortedConnections(u.connections) {
		c.closeFromChild()
	}
	p.uplinks = slices.DeleteFunc(p.uplinks, func(other *uplink) bool { return other == u })
	history.writer = p
	history.epoch++
	return true
}
