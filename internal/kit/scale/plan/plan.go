// Package plan reads the plan of a scale run: the sizes of the fleet, what changes and fails in it, and the limits of the
// run. A file is accepted as a whole or rejected with a one-line error that names file, line and key.
package plan

import (
	"crypto/sha256"
	"fmt"
	"os"
	"time"

	"craneglade/internal/tomlfile"
)

// Limits of every run, whatever its plan says.
const (
	MaxMemory    = 12 << 30 // bytes
	MaxProcesses = 200
)

// Bounds of the values in a plan.
const (
	maxNodes     = 20_000
	maxEndpoints = 1_000_000
	maxServices  = 100_000
	maxRoutes    = 1_000_000
	maxTenants   = 5_000_000
	maxPerDay    = 10_000_000
	maxLatency   = 5 * time.Second
	maxDuration  = time.Hour
	minSteps     = 2 // needed for a slope
)

// Plan is the plan of a scale run.
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

	Digest string `toml:"-"` // SHA-256 of the file
}

// Limits bounds what the run may use of the machine.
type Limits struct {
	Memory    tomlfile.Size `toml:"memory"`
	Processes int           `toml:"processes"`
}

// Fleet is the shape of the fleet, the same at each size.
type Fleet struct {
	Regions                int     `toml:"regions"`
	Zones                  int     `toml:"zones"` // in all regions together
	RelaysPerZone          int     `toml:"relays_per_zone"`
	NodesPerService        int     `toml:"nodes_per_service"` // nodes that serve one service
	ServiceSkew            float64 `toml:"service_skew"`      // exponent of the sizes of services by rank; 0 for equal sizes
	LargestServiceFraction float64 `toml:"largest_service"`   // largest share of all endpoints that one service may have
	TenantFraction         float64 `toml:"tenant_part"`       // fraction of the tenants that is simulated; 1 for all
}

// Rates describes the load on a fleet of the largest step's size. Smaller fleets get a share in proportion to their nodes.
type Rates struct {
	ChangesPerDay       float64           `toml:"changes_per_day"`  // of configuration
	RestartsPerDay      float64           `toml:"restarts_per_day"` // of endpoints; each makes two changes: draining, then ready
	Settle              tomlfile.Duration `toml:"settle"`           // between the start and the first measurement
	Measure             tomlfile.Duration `toml:"measure"`          // length of the steady state that is measured
	Heartbeat           tomlfile.Duration `toml:"heartbeat"`        // between a parent and its child
	NodeBytesPerSecond  tomlfile.Size     `toml:"node_bytes"`       // limit of a node, each for sending and receiving
	RelayBytesPerSecond tomlfile.Size     `toml:"relay_bytes"`      // limit of what a relay or control process sends
}

// Network holds mean one-way delays. Each delay is drawn between 0.5 and 1.5 times its mean.
type Network struct {
	WithinZone     tomlfile.Duration `toml:"zone"`
	WithinRegion   tomlfile.Duration `toml:"region"` // between zones of a region
	BetweenRegions tomlfile.Duration `toml:"world"`
}

// Step is one size of the fleet.
type Step struct {
	Nodes     int `toml:"nodes" json:"nodes"`
	Endpoints int `toml:"endpoints" json:"endpoints"`
	Services  int `toml:"services" json:"services"`
	Routes    int `toml:"routes" json:"routes"`
	Tenants   int `toml:"tenants" json:"tenants"`
}

// Mesh configures the measurement of the mesh, over which every node's counts go to every other node.
type Mesh struct {
	Tenants            []int         `toml:"tenants"` // numbers of tenants to measure
	NodeBytesPerSecond tomlfile.Size `toml:"node_bytes"`
	Skip               []string      `toml:"skip"` // omitted sizes as "NODES/TENANTS", such as "5900/1000"
}

// List configures the measurement of a node's endpoint list.
type List struct {
	Sizes []int `toml:"sizes"` // endpoints
}

// Processes configures the run of real processes on loopback.
type Processes struct {
	Hosts        int `toml:"hosts"`          // processes with hollow nodes
	NodesPerHost int `toml:"nodes_per_host"` // hollow nodes in each
	Relays       int `toml:"relays"`
	Daemons      int `toml:"daemons"` // real nodes, which serve requests
}

// The kinds of faults.
const (
	FaultZone     = "zone-lost"        // all nodes and relays of a zone stop; after Duration they start empty
	FaultRegion   = "region-cut"       // no traffic between one region and the others; Changes are pending when it heals
	FaultStall    = "stall"            // a Fraction of the nodes is suspended, then resumes with its state
	FaultRestarts = "restarts"         // endpoints and nodes restart at RateFactor times the mean rate
	FaultWriter   = "writer-killed"    // a region's writer is killed during a change and restarts
	FaultRelays   = "relays-restarted" // all relays restart at once, empty
)

// Fault is a fault at the largest size. Faults run one after the other on one fleet, which recovers in between.
type Fault struct {
	Kind        string            `toml:"kind"`
	Duration    tomlfile.Duration `toml:"length"`
	Fraction    float64           `toml:"part"`
	RateFactor  float64           `toml:"times"`
	Changes     int               `toml:"changes"`
	HealTimeout tomlfile.Duration `toml:"heal"` // after the fault, all must reach the same state within this time
}

// Largest returns the step with the most nodes.
func (p *Plan) Largest() Step { return p.Steps[len(p.Steps)-1] }

// Load reads and validates the plan in a file.
func Load(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse parses and validates a plan. name is the file's name in errors.
func Parse(name string, text []byte) (*Plan, error) {
	p := &Plan{
		Seed:   1,
		Limits: Limits{Memory: MaxMemory, Processes: MaxProcesses},
		Fleet:  Fleet{Regions: 1, Zones: 3, RelaysPerZone: 2, NodesPerService: 12, ServiceSkew: 1, LargestServiceFraction: 0.02, TenantFraction: 1},
		Rates: Rates{Settle: tomlfile.Duration(30 * time.Second), Measure: tomlfile.Duration(time.Minute), Heartbeat: tomlfile.Duration(time.Second),
			NodeBytesPerSecond: 8 << 10, RelayBytesPerSecond: 8 << 20},
		Network: Network{WithinZone: tomlfile.Duration(500 * time.Microsecond), WithinRegion: tomlfile.Duration(2 * time.Millisecond), BetweenRegions: tomlfile.Duration(60 * time.Millisecond)},
		Mesh:    Mesh{NodeBytesPerSecond: 8 << 10},
	}
	p.Digest = fmt.Sprintf("%x", sha256.Sum256(text))
	keys, err := tomlfile.Decode(name, text, p)
	if err != nil {
		return nil, err
	}
	for _, check := range []func(*tomlfile.Keys) error{p.checkLimits, p.checkFleet, p.checkRates, p.checkSteps, p.checkMeshAndList, p.checkFaults, p.checkProcesses, p.checkLimitsSuffice} {
		if err := check(keys); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// checkRange returns an error if v is out of range.
func checkRange[N int | float64](keys *tomlfile.Keys, key string, v, low, high N) error {
	if v >= low && v <= high {
		return nil
	}
	return keys.Problem(key, "%v is outside %v to %v", v, low, high)
}

// checkDuration returns an error if d is out of range.
func checkDuration(keys *tomlfile.Keys, key string, d tomlfile.Duration, low, high time.Duration) error {
	if d.D() >= low && d.D() <= high {
		return nil
	}
	return keys.Problem(key, "%v is outside %v to %v", d, low, high)
}

// firstError returns the first error that is not nil.
func firstError(errs ...error) error {
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
	return checkRange(keys, "limits.processes", p.Limits.Processes, 1, MaxProcesses)
}

func (p *Plan) checkFleet(keys *tomlfile.Keys) error {
	f := &p.Fleet
	err := firstError(
		checkRange(keys, "fleet.regions", f.Regions, 1, 20),
		checkRange(keys, "fleet.zones", f.Zones, 1, 100),
		checkRange(keys, "fleet.relays_per_zone", f.RelaysPerZone, 1, 20),
		checkRange(keys, "fleet.nodes_per_service", f.NodesPerService, 1, maxNodes),
		checkRange(keys, "fleet.service_skew", f.ServiceSkew, 0, 3),
		checkRange(keys, "fleet.largest_service", f.LargestServiceFraction, 0.0001, 1),
		checkRange(keys, "fleet.tenant_part", f.TenantFraction, 0, 1),
	)
	if err == nil && f.Zones%f.Regions != 0 {
		return keys.Problem("fleet.zones", "%d zones can't be dealt out evenly to %d regions: write a multiple of %d", f.Zones, f.Regions, f.Regions)
	}
	return err
}

func (p *Plan) checkRates(keys *tomlfile.Keys) error {
	r := &p.Rates
	return firstError(
		checkRange(keys, "rates.changes_per_day", r.ChangesPerDay, 0, maxPerDay),
		checkRange(keys, "rates.restarts_per_day", r.RestartsPerDay, 0, maxPerDay),
		checkDuration(keys, "rates.settle", r.Settle, time.Second, maxDuration),
		checkDuration(keys, "rates.measure", r.Measure, time.Second, maxDuration),
		checkDuration(keys, "rates.heartbeat", r.Heartbeat, 100*time.Millisecond, time.Minute),
		checkRange(keys, "rates.node_bytes", int(r.NodeBytesPerSecond), 256, 1<<30),
		checkRange(keys, "rates.relay_bytes", int(r.RelayBytesPerSecond), 1024, 1<<30),
		checkDuration(keys, "network.zone", p.Network.WithinZone, 0, maxLatency),
		checkDuration(keys, "network.region", p.Network.WithinRegion, 0, maxLatency),
		checkDuration(keys, "network.world", p.Network.BetweenRegions, 0, maxLatency),
	)
}

func (p *Plan) checkSteps(keys *tomlfile.Keys) error {
	if len(p.Steps) < minSteps {
		return keys.Problem("step", "%d sizes: a slope needs %d at least, each a [[step]]", len(p.Steps), minSteps)
	}
	for i, s := range p.Steps {
		prefix := fmt.Sprintf("step[%d].", i)
		err := firstError(
			checkRange(keys, prefix+"nodes", s.Nodes, 1, maxNodes),
			checkRange(keys, prefix+"services", s.Services, 1, maxServices),
			checkRange(keys, prefix+"endpoints", s.Endpoints, s.Services, maxEndpoints),
			checkRange(keys, prefix+"routes", s.Routes, 0, maxRoutes),
			checkRange(keys, prefix+"tenants", s.Tenants, 0, maxTenants),
		)
		if err != nil {
			return err
		}
		if i > 0 && s.Nodes <= p.Steps[i-1].Nodes {
			return keys.Problem(prefix+"nodes", "%d nodes after %d: write the sizes from the smallest to the largest", s.Nodes, p.Steps[i-1].Nodes)
		}
	}
	return nil
}

func (p *Plan) checkMeshAndList(keys *tomlfile.Keys) error {
	if err := checkRange(keys, "mesh.node_bytes", int(p.Mesh.NodeBytesPerSecond), 256, 1<<30); err != nil {
		return err
	}
	for _, n := range p.Mesh.Tenants {
		if err := checkRange(keys, "mesh.tenants", n, 1, 10_000); err != nil {
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
		if err := checkRange(keys, "list.sizes", n, 1, maxEndpoints); err != nil {
			return err
		}
	}
	return nil
}

// Skips reports whether a size is omitted.
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

func (f *Fault) check(keys *tomlfile.Keys, prefix string) error {
	keysByKind := map[string][]string{
		FaultZone: {"length"}, FaultRegion: {"length", "changes"}, FaultStall: {"length", "part"},
		FaultRestarts: {"length", "times"}, FaultWriter: {"length"}, FaultRelays: nil,
	}
	required, known := keysByKind[f.Kind]
	if !known {
		return keys.Problem(prefix+"kind", "%q is none of %s, %s, %s, %s, %s and %s", f.Kind, FaultZone, FaultRegion, FaultStall, FaultRestarts, FaultWriter, FaultRelays)
	}
	for _, name := range []string{"length", "part", "times", "changes"} {
		isRequired := false
		for _, key := range required {
			isRequired = isRequired || key == name
		}
		if has := keys.Has(prefix + name); has != isRequired {
			return keys.Problem(prefix+name, "%s", map[bool]string{true: "a " + f.Kind + " has none: leave it out", false: "a " + f.Kind + " needs it"}[has])
		}
	}
	err := checkDuration(keys, prefix+"heal", f.HealTimeout, time.Second, maxDuration)
	for _, key := range required {
		switch key {
		case "length":
			err = firstError(err, checkDuration(keys, prefix+"length", f.Duration, 100*time.Millisecond, maxDuration))
		case "part":
			err = firstError(err, checkRange(keys, prefix+"part", f.Fraction, 0.0001, 1))
		case "times":
			err = firstError(err, checkRange(keys, prefix+"times", f.RateFactor, 1, 1000))
		case "changes":
			err = firstError(err, checkRange(keys, prefix+"changes", f.Changes, 1, 100_000))
		}
	}
	return err
}

func (p *Plan) checkProcesses(keys *tomlfile.Keys) error {
	c := &p.Processes
	return firstError(
		checkRange(keys, "processes.hosts", c.Hosts, 0, MaxProcesses),
		checkRange(keys, "processes.nodes_per_host", c.NodesPerHost, 0, 5000),
		checkRange(keys, "processes.relays", c.Relays, 0, MaxProcesses),
		checkRange(keys, "processes.daemons", c.Daemons, 0, MaxProcesses),
	)
}

// checkLimitsSuffice rejects a plan that needs more processes or memory than its limits allow.
func (p *Plan) checkLimitsSuffice(keys *tomlfile.Keys) error {
	if need := p.ProcessCount(); need > p.Limits.Processes {
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
