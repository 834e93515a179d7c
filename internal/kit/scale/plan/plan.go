// Package plan reads the plan of a scale run: the sizes of the fleet to play, what changes and fails in it, and the limits
// that the run must keep to. A file is taken whole or refused with one line that names file, line and key.
package plan

import (
	"crypto/sha256"
	"fmt"
	"os"
	"time"

	"craneglade/internal/tomlfile"
)

// Hard limits of a run, whatever a plan asks for.
const (
	MaxMemory    = 12 << 30 // bytes
	MaxProcesses = 200
)

// Bounds of a plan's figures.
const (
	maxNodes     = 20_000
	maxEndpoints = 1_000_000
	maxServices  = 100_000
	maxRoutes    = 1_000_000
	maxTenants   = 5_000_000
	maxRate      = 10_000_000 // a day
	maxLatency   = 5 * time.Second
	maxLength    = time.Hour
	minSteps     = 2 // a slope needs them
)

// Plan is a whole scale run.
type Plan struct {
	Seed    uint64  `toml:"seed"`
	Limits  Limits  `toml:"limits"`
	Fleet   Fleet   `toml:"fleet"`
	Rates   Rates   `toml:"rates"`
	Network Network `toml:"network"`
	Steps   []Step  `toml:"step"`
	Mesh    Mesh    `toml:"mesh"`
	List    List    `toml:"list"`
	Faults  []Fault `toml:"fault"`

	Processes Processes `toml:"processes"`

	Digest string `toml:"-"` // of the file
}

// Limits are what the run may use of the machine.
type Limits struct {
	Memory    tomlfile.Size `toml:"memory"`
	Processes int           `toml:"processes"`
}

// Fleet is the shape of the fleet, the same at each size.
type Fleet struct {
	Regions         int     `toml:"regions"`
	Zones           int     `toml:"zones"` // in all regions together
	RelaysPerZone   int     `toml:"relays_per_zone"`
	NodesPerService int     `toml:"nodes_per_service"` // that serve one service
	ServiceSkew     float64 `toml:"service_skew"`      // exponent of the sizes of services by rank; 0 for all alike
	LargestService  float64 `toml:"largest_service"`   // part of all endpoints that the largest service may have
	TenantPart      float64 `toml:"tenant_part"`       // part of the tenants that is played; 1 for all
}

// Rates are what happens in a fleet of the largest step's size; smaller ones have their part of it by nodes.
type Rates struct {
	ChangesPerDay  float64           `toml:"changes_per_day"`  // of configuration
	RestartsPerDay float64           `toml:"restarts_per_day"` // of endpoints; each is told twice: it drains, and it is back
	Settle         tomlfile.Duration `toml:"settle"`           // after the start, before anything is measured
	Measure        tomlfile.Duration `toml:"measure"`          // how long steady running is measured
	Heartbeat      tomlfile.Duration `toml:"heartbeat"`        // between a parent and its child
	NodeBytes      tomlfile.Size     `toml:"node_bytes"`       // that a node may send or be sent in a second
	RelayBytes     tomlfile.Size     `toml:"relay_bytes"`      // that a relay or control process may send in a second
}

// Network are the delays of one way, each drawn between half and one and a half of it.
type Network struct {
	Zone   tomlfile.Duration `toml:"zone"`   // inside a zone
	Region tomlfile.Duration `toml:"region"` // between zones of a region
	World  tomlfile.Duration `toml:"world"`  // between regions
}

// Step is one size of the fleet.
type Step struct {
	Nodes     int `toml:"nodes" json:"nodes"`
	Endpoints int `toml:"endpoints" json:"endpoints"`
	Services  int `toml:"services" json:"services"`
	Routes    int `toml:"routes" json:"routes"`
	Tenants   int `toml:"tenants" json:"tenants"`
}

// Mesh plays what nodes share today, every node's counts told to every other.
type Mesh struct {
	Tenants   []int         `toml:"tenants"` // numbers of tenants to play
	NodeBytes tomlfile.Size `toml:"node_bytes"`
	Skip      []string      `toml:"skip"` // "NODES/TENANTS" that are left out, such as "5900/1000"
}

// List plays what an endpoint list costs a node today.
type List struct {
	Sizes []int `toml:"sizes"` // endpoints
}

// Processes plays hollow nodes in processes of their own, over loopback.
type Processes struct {
	Hosts        int `toml:"hosts"`          // processes with hollow nodes
	NodesPerHost int `toml:"nodes_per_host"` // hollow nodes in each
	Relays       int `toml:"relays"`
	Daemons      int `toml:"daemons"` // real ones, with requests
}

// The kinds of faults.
const (
	FaultZone     = "zone-lost"        // all nodes and relays of a zone stop; after Length its nodes start with nothing
	FaultRegion   = "region-cut"       // nothing passes between one region and the others; Changes wait on each side
	FaultStall    = "stall"            // part Part of the nodes stand still, and go on with what they had
	FaultRestarts = "restarts"         // endpoints and nodes restart at Times the day's mean
	FaultWriter   = "writer-killed"    // the process of a region's writer ends in the middle of a change and starts again
	FaultRelays   = "relays-restarted" // all relays restart at once with nothing
)

// Fault is one fault at the largest size. They are played one after the other on one fleet, which is whole again in between.
type Fault struct {
	Kind    string            `toml:"kind"`
	Length  tomlfile.Duration `toml:"length"`
	Part    float64           `toml:"part"`
	Times   float64           `toml:"times"`
	Changes int               `toml:"changes"`
	Heal    tomlfile.Duration `toml:"heal"` // within which all must have the same state after the fault's end
}

// Largest is the step with the most nodes.
func (p *Plan) Largest() Step { return p.Steps[len(p.Steps)-1] }

// Load reads and checks the plan in a file.
func Load(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse checks the plan in text; name is for errors.
func Parse(name string, text []byte) (*Plan, error) {
	p := &Plan{
		Seed:   1,
		Limits: Limits{Memory: MaxMemory, Processes: MaxProcesses},
		Fleet:  Fleet{Regions: 1, Zones: 3, RelaysPerZone: 2, NodesPerService: 12, ServiceSkew: 1, LargestService: 0.02, TenantPart: 1},
		Rates: Rates{Settle: tomlfile.Duration(30 * time.Second), Measure: tomlfile.Duration(time.Minute), Heartbeat: tomlfile.Duration(time.Second),
			NodeBytes: 8 << 10, RelayBytes: 8 << 20},
		Network: Network{Zone: tomlfile.Duration(500 * time.Microsecond), Region: tomlfile.Duration(2 * time.Millisecond), World: tomlfile.Duration(60 * time.Millisecond)},
		Mesh:    Mesh{NodeBytes: 8 << 10},
	}
	p.Digest = fmt.Sprintf("%x", sha256.Sum256(text))
	keys, err := tomlfile.Decode(name, text, p)
	if err != nil {
		return nil, err
	}
	for _, check := range []func(*tomlfile.Keys) error{p.checkLimits, p.checkFleet, p.checkRates, p.checkSteps, p.checkToday, p.checkFaults, p.checkProcesses, p.checkNeed} {
		if err := check(keys); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// within is an error where a figure is outside its bounds.
func within[N int | float64](keys *tomlfile.Keys, key string, v, low, high N) error {
	if v >= low && v <= high {
		return nil
	}
	return keys.Problem(key, "%v is outside %v to %v", v, low, high)
}

// span is an error where a duration is outside its bounds.
func span(keys *tomlfile.Keys, key string, d tomlfile.Duration, low, high time.Duration) error {
	if d.D() >= low && d.D() <= high {
		return nil
	}
	return keys.Problem(key, "%v is outside %v to %v", d, low, high)
}

// first is the first error.
func first(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (p *Plan) checkLimits(keys *tomlfile.Keys) error {
	if p.Limits.Memory <= 0 || p.Limits.Memory > MaxMemory {
		return keys.Problem("limits.memory", "%d MiB is outside 1MiB to 12GiB", p.Limits.Memory>>20)
	}
	return within(keys, "limits.processes", p.Limits.Processes, 1, MaxProcesses)
}

func (p *Plan) checkFleet(keys *tomlfile.Keys) error {
	f := &p.Fleet
	err := first(
		within(keys, "fleet.regions", f.Regions, 1, 20),
		within(keys, "fleet.zones", f.Zones, 1, 100),
		within(keys, "fleet.relays_per_zone", f.RelaysPerZone, 1, 20),
		within(keys, "fleet.nodes_per_service", f.NodesPerService, 1, maxNodes),
		within(keys, "fleet.service_skew", f.ServiceSkew, 0, 3),
		within(keys, "fleet.largest_service", f.LargestService, 0.0001, 1),
		within(keys, "fleet.tenant_part", f.TenantPart, 0, 1),
	)
	if err == nil && f.Zones%f.Regions != 0 {
		return keys.Problem("fleet.zones", "%d zones can't be dealt out evenly to %d regions: write a multiple of %d", f.Zones, f.Regions, f.Regions)
	}
	return err
}

func (p *Plan) checkRates(keys *tomlfile.Keys) error {
	r := &p.Rates
	return first(
		within(keys, "rates.changes_per_day", r.ChangesPerDay, 0, maxRate),
		within(keys, "rates.restarts_per_day", r.RestartsPerDay, 0, maxRate),
		span(keys, "rates.settle", r.Settle, time.Second, maxLength),
		span(keys, "rates.measure", r.Measure, time.Second, maxLength),
		span(keys, "rates.heartbeat", r.Heartbeat, 100*time.Millisecond, time.Minute),
		within(keys, "rates.node_bytes", int(r.NodeBytes), 256, 1<<30),
		within(keys, "rates.relay_bytes", int(r.RelayBytes), 1024, 1<<30),
		span(keys, "network.zone", p.Network.Zone, 0, maxLatency),
		span(keys, "network.region", p.Network.Region, 0, maxLatency),
		span(keys, "network.world", p.Network.World, 0, maxLatency),
	)
}

func (p *Plan) checkSteps(keys *tomlfile.Keys) error {
	if len(p.Steps) < minSteps {
		return keys.Problem("step", "%d sizes: a slope needs %d at least, each a [[step]]", len(p.Steps), minSteps)
	}
	for i, s := range p.Steps {
		at := fmt.Sprintf("step[%d].", i)
		err := first(
			within(keys, at+"nodes", s.Nodes, 1, maxNodes),
			within(keys, at+"services", s.Services, 1, maxServices),
			within(keys, at+"endpoints", s.Endpoints, s.Services, maxEndpoints),
			within(keys, at+"routes", s.Routes, 0, maxRoutes),
			within(keys, at+"tenants", s.Tenants, 0, maxTenants),
		)
		if err != nil {
			return err
		}
		if i > 0 && s.Nodes <= p.Steps[i-1].Nodes {
			return keys.Problem(at+"nodes", "%d nodes after %d: write the sizes from the smallest to the largest", s.Nodes, p.Steps[i-1].Nodes)
		}
	}
	return nil
}

func (p *Plan) checkToday(keys *tomlfile.Keys) error {
	if err := within(keys, "mesh.node_bytes", int(p.Mesh.NodeBytes), 256, 1<<30); err != nil {
		return err
	}
	for _, n := range p.Mesh.Tenants {
		if err := within(keys, "mesh.tenants", n, 1, 10_000); err != nil {
			return err
		}
	}
	for _, text := range p.Mesh.Skip {
		var nodes, tenants int
		if n, err := fmt.Sscanf(text, "%d/%d", &nodes, &tenants); n != 2 || err != nil || text != fmt.Sprintf("%d/%d", nodes, tenants) {
			return keys.Problem("mesh.skip", `%q is not of the form "NODES/TENANTS"`, text)
		}
	}
	for _, n := range p.List.Sizes {
		if err := within(keys, "list.sizes", n, 1, maxEndpoints); err != nil {
			return err
		}
	}
	return nil
}

// Skips tells whether a size of the mesh is left out.
func (m *Mesh) Skips(nodes, tenants int) bool {
	for _, text := range m.Skip {
		if text == fmt.Sprintf("%d/%d", nodes, tenants) {
			return true
		}
	}
	return false
}

func (p *Plan) checkFaults(keys *tomlfile.Keys) error {
	for i := range p.Faults {
		if err := p.Faults[i].check(keys, fmt.Sprintf("fault[%d].", i)); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fault) check(keys *tomlfile.Keys, at string) error {
	own := map[string][]string{
		FaultZone: {"length"}, FaultRegion: {"length", "changes"}, FaultStall: {"length", "part"},
		FaultRestarts: {"length", "times"}, FaultWriter: {"length"}, FaultRelays: nil,
	}
	needs, known := own[f.Kind]
	if !known {
		return keys.Problem(at+"kind", "%q is none of %s, %s, %s, %s, %s and %s", f.Kind, FaultZone, FaultRegion, FaultStall, FaultRestarts, FaultWriter, FaultRelays)
	}
	for _, name := range []string{"length", "part", "times", "changes"} {
		wants := false
		for _, need := range needs {
			wants = wants || need == name
		}
		if has := keys.Has(at + name); has != wants {
			return keys.Problem(at+name, "%s", map[bool]string{true: "a " + f.Kind + " has none: leave it out", false: "a " + f.Kind + " needs it"}[has])
		}
	}
	err := span(keys, at+"heal", f.Heal, time.Second, maxLength)
	for _, need := range needs {
		switch need {
		case "length":
			err = first(err, span(keys, at+"length", f.Length, 100*time.Millisecond, maxLength))
		case "part":
			err = first(err, within(keys, at+"part", f.Part, 0.0001, 1))
		case "times":
			err = first(err, within(keys, at+"times", f.Times, 1, 1000))
		case "changes":
			err = first(err, within(keys, at+"changes", f.Changes, 1, 100_000))
		}
	}
	return err
}

func (p *Plan) checkProcesses(keys *tomlfile.Keys) error {
	c := &p.Processes
	return first(
		within(keys, "processes.hosts", c.Hosts, 0, MaxProcesses),
		within(keys, "processes.nodes_per_host", c.NodesPerHost, 0, 5000),
		within(keys, "processes.relays", c.Relays, 0, MaxProcesses),
		within(keys, "processes.daemons", c.Daemons, 0, MaxProcesses),
	)
}

// checkNeed refuses a plan that needs more of the machine than its limits allow.
func (p *Plan) checkNeed(keys *tomlfile.Keys) error {
	if need := p.Count(); need > p.Limits.Processes {
		return keys.Problem("processes", "the run needs %d processes, and limits.processes allows %d", need, p.Limits.Processes)
	}
	for i, s := range p.Steps {
		if need := p.EstimatedMemory(s); need > int64(p.Limits.Memory) {
			return keys.Problem(fmt.Sprintf("step[%d].nodes", i), "this size needs about %.1f GiB, and limits.memory allows %.1f GiB: take fewer tenants (fleet.tenant_part) or a smaller size",
				gib(need), gib(int64(p.Limits.Memory)))
		}
	}
	return nil
}

func gib(bytes int64) float64 { return float64(bytes) / (1 << 30) }
