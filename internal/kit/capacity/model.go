package capacity

import (
	"math"

	"craneglade/internal/subset"
)

// Fleet is a fleet on the line from the start (0) to the target (1).
type Fleet struct {
	Fraction                                   float64
	Nodes, Backends, Services, Routes, Tenants float64
	RequestsPerSecond                          float64
	ChangesPerDay, RestartsPerDay              float64
}

// FleetWithNodes returns the fleet on the line that has the given number of nodes.
func (d *Data) FleetWithNodes(nodes float64) Fleet {
	return d.FleetAt((nodes - d.Start.Nodes) / (d.Target.Nodes - d.Start.Nodes))
}

// FleetAt returns the fleet at a fraction of the line. Requests and restarts are proportional to nodes, changes to
// services.
func (d *Data) FleetAt(fraction float64) Fleet {
	between := func(start, target float64) float64 { return start + fraction*(target-start) }
	f := Fleet{Fraction: fraction, Nodes: between(d.Start.Nodes, d.Target.Nodes), Backends: between(d.Start.Backends, d.Target.Backends),
		Services: between(d.Start.Services, d.Target.Services), Routes: between(d.Start.Routes, d.Target.Routes),
		Tenants: between(d.Start.Tenants, d.Target.Tenants)}
	f.RequestsPerSecond = d.Target.RequestsPerSecond * f.Nodes / d.Target.Nodes
	f.RestartsPerDay = d.Target.RestartsPerDay * f.Nodes / d.Target.Nodes
	f.ChangesPerDay = d.Target.ChangesPerDay * f.Services / d.Target.Services
	return f
}

// ServiceShares returns the shares of all backends, tenants and requests that services have, largest first. They are
// proportional to rank to the power of -skew, and capped at the largest share unless there are too few services for that.
func ServiceShares(services int, skew, largest float64) []float64 {
	shares := make([]float64, services)
	remainder := make([]float64, services+1) // sums of the powers from each rank on
	for i := services - 1; i >= 0; i-- {
		shares[i] = math.Pow(float64(i+1), -skew)
		remainder[i] = remainder[i+1] + shares[i]
	}
	largest = max(largest, 1/float64(services))
	capped := 0 // number of services at the largest share
	for capped < services-1 && shares[capped]*(1-float64(capped)*largest)/remainder[capped] > largest {
		capped++
	}
	scale := (1 - float64(capped)*largest) / remainder[capped]
	for i := range shares {
		if i < capped {
			shares[i] = largest
		} else {
			shares[i] *= scale
		}
	}
	return shares
}

// sharesKey holds the arguments of ServiceShares.
type sharesKey struct {
	services      int
	skew, largest float64
}

// serviceShares returns the shares of a fleet's services under the assumptions.
func (d *Data) serviceShares(f Fleet) []float64 {
	key := sharesKey{int(f.Services + 0.5), d.Assumed("service_skew"), d.Assumed("largest_service")}
	shares, cached := d.sharesCache[key]
	if !cached {
		shares = ServiceShares(key.services, key.skew, key.largest)
		if d.sharesCache == nil {
			d.sharesCache = map[sharesKey][]float64{}
		}
		d.sharesCache[key] = shares
	}
	return shares
}

// Serving is the effect of an assignment of services to nodes on a node.
type Serving struct {
	Name               string
	Services           float64 // mean of a node
	Endpoints          float64 // that a node knows, mean
	MaxEndpoints       float64 // the same for a node that also serves the largest service
	Tenants            float64
	MaxTenants         float64
	Connections        float64 // to backends, mean of a node
	MemoryBytes        float64 // backends, tenants and replica of a node that also serves the largest service
	SnapshotBytes      float64 // mean of a node
	MaxSnapshotBytes   float64
	NodesOfService     float64 // nodes that a fault of the median service can affect
	OverlapProbability float64 // that another service of the region has all of its nodes among these
}

// connections returns how many backends of a service a node keeps connections to, if the given number of nodes serve it:
// the size of the subset (internal/subset) in its own zone and in the region's others.
func (d *Data) connections(backends, nodes float64) float64 {
	zones := int(d.Target.Zones / d.Target.Regions)
	inZone := int(math.Ceil(backends / float64(zones)))
	node := subset.Node{Nodes: int(nodes), Zone: "home"}
	return min(backends, float64(node.Size("home", inZone, zones)+(zones-1)*node.Size("other", inZone, zones)))
}

// serving evaluates an assignment that gives each service a number of nodes.
func (d *Data) serving(name string, f Fleet, nodesOf func(share float64) float64) Serving {
	shares := d.serviceShares(f)
	endpoint, tenant := d.Measured("memory-by-backend").Value(), d.Measured("memory-by-tenant").Value()
	s := Serving{Name: name}
	for i, share := range shares {
		k := nodesOf(share)
		backends, tenants := share*f.Backends, share*f.Tenants
		s.Services += k / f.Nodes
		s.Endpoints += k * backends / f.Nodes
		s.Tenants += k * tenants / f.Nodes
		s.Connections += k * d.connections(backends, k) / f.Nodes
		if i == len(shares)/2 {
			s.NodesOfService = k
		}
	}
	s.MaxEndpoints = min(f.Backends, s.Endpoints+shares[0]*f.Backends)
	s.MaxTenants = min(f.Tenants, s.Tenants+shares[0]*f.Tenants)
	stored := s.Services + s.MaxEndpoints + f.Routes/f.Services*s.Services + s.MaxTenants
	s.MemoryBytes = s.MaxEndpoints*endpoint + s.MaxTenants*tenant + stored*d.Measured("store-heap").Value()
	s.SnapshotBytes = d.snapshotBytes(s.Services, s.Endpoints, f.Routes/f.Services*s.Services, s.Tenants)
	s.MaxSnapshotBytes = d.snapshotBytes(s.Services, s.MaxEndpoints, f.Routes/f.Services*s.Services, s.MaxTenants)
	return s
}

// snapshotBytes returns the compressed size of a snapshot of the given resources.
func (d *Data) snapshotBytes(services, endpoints, routes, tenants float64) float64 {
	const measured, perEndpoint, perRoute, perTenant = 200, 18, 4, 161 // of the measured snapshots
	bare, routed, full := d.Measured("snapshot-endpoints").Value(), d.Measured("snapshot-routes").Value(), d.Measured("snapshot-tenants").Value()
	return bare/(measured*perEndpoint)*endpoints + (routed-bare)/(measured*perRoute)*routes + (full-routed)/(measured*perTenant)*tenants + services
}

// AllServices evaluates nodes that each serve all services.
func (d *Data) AllServices(f Fleet) Serving {
	s := d.serving("each node all services", f, func(float64) float64 { return f.Nodes })
	s.OverlapProbability = 1
	return s
}

// ShuffleSharded evaluates shuffle sharding: each service has a minimum number of nodes, chosen independently of other
// services, and more by its share of the requests.
func (d *Data) ShuffleSharded(f Fleet) Serving {
	minNodes := min(f.Nodes, d.Assumed("nodes_per_service"))
	s := d.serving("shuffle sharding", f, func(share float64) float64 {
		return min(f.Nodes, max(minNodes, math.Ceil(d.Assumed("headroom")*share*f.Nodes)))
	})
	s.OverlapProbability = math.Exp(-logChoose(f.Nodes/d.Target.Regions, minNodes))
	return s
}

// CellSharded evaluates cells: a region's nodes are divided into cells, and each service is served by all nodes of its
// cells.
func (d *Data) CellSharded(f Fleet) Serving {
	cell := min(f.Nodes, d.Assumed("nodes_per_cell"))
	s := d.serving("cells", f, func(share float64) float64 {
		return min(f.Nodes, math.Ceil(max(1, d.Assumed("headroom")*share*f.Nodes/cell))*cell)
	})
	s.OverlapProbability = cell / (f.Nodes / d.Target.Regions)
	return s
}

func logChoose(n, k float64) float64 {
	a, _ := math.Lgamma(n + 1)
	b, _ := math.Lgamma(k + 1)
	c, _ := math.Lgamma(n - k + 1)
	return a - b - c
}
