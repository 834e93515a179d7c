package capacity

import (
	"math"

	"craneglade/internal/subset"
)

// Fleet is a fleet on the line from the start (0) to the target (1).
type Fleet struct {
	Part                                       float64
	Nodes, Backends, Services, Routes, Tenants float64
	RequestsPerSecond                          float64
	ChangesPerDay, RestartsPerDay              float64
}

// FleetOf is the fleet on the line that has so many nodes.
func (d *Data) FleetOf(nodes float64) Fleet {
	return d.Along((nodes - d.Start.Nodes) / (d.Target.Nodes - d.Start.Nodes))
}

// Along is the fleet at a part of the line. Requests and restarts go by nodes, changes by services.
func (d *Data) Along(part float64) Fleet {
	between := func(start, target float64) float64 { return start + part*(target-start) }
	f := Fleet{Part: part, Nodes: between(d.Start.Nodes, d.Target.Nodes), Backends: between(d.Start.Backends, d.Target.Backends),
		Services: between(d.Start.Services, d.Target.Services), Routes: between(d.Start.Routes, d.Target.Routes),
		Tenants: between(d.Start.Tenants, d.Target.Tenants)}
	f.RequestsPerSecond = d.Target.RequestsPerSecond * f.Nodes / d.Target.Nodes
	f.RestartsPerDay = d.Target.RestartsPerDay * f.Nodes / d.Target.Nodes
	f.ChangesPerDay = d.Target.ChangesPerDay * f.Services / d.Target.Services
	return f
}

// ServiceParts are the parts of all backends, tenants and requests that services have, the largest first: by rank to the
// power of the skew, no service above the largest part, unless there are too few to hold everything so.
func ServiceParts(services int, skew, largest float64) []float64 {
	parts := make([]float64, services)
	rest := make([]float64, services+1) // sums of the powers from each rank on
	for i := services - 1; i >= 0; i-- {
		parts[i] = math.Pow(float64(i+1), -skew)
		rest[i] = rest[i+1] + parts[i]
	}
	largest = max(largest, 1/float64(services))
	capped := 0 // services that stand at the largest part
	for capped < services-1 && parts[capped]*(1-float64(capped)*largest)/rest[capped] > largest {
		capped++
	}
	scale := (1 - float64(capped)*largest) / rest[capped]
	for i := range parts {
		if i < capped {
			parts[i] = largest
		} else {
			parts[i] *= scale
		}
	}
	return parts
}

// partsKey is what the parts of services follow from.
type partsKey struct {
	services      int
	skew, largest float64
}

// parts are the parts of a fleet's services, as assumed.
func (d *Data) parts(f Fleet) []float64 {
	key := partsKey{int(f.Services + 0.5), d.Assumed("service_skew"), d.Assumed("largest_service")}
	known, is := d.known[key]
	if !is {
		known = ServiceParts(key.services, key.skew, key.largest)
		if d.known == nil {
			d.known = map[partsKey][]float64{}
		}
		d.known[key] = known
	}
	return known
}

// Serving is what it means for a node which nodes serve which services.
type Serving struct {
	Name             string
	Services         float64 // of a node, by the mean
	Endpoints        float64 // that a node knows, by the mean,
	EndpointsMost    float64 // and at the nodes that serve most
	Tenants          float64
	TenantsMost      float64
	Connections      float64 // to backends that a node keeps
	Memory           float64 // bytes of what it knows and of its replica, at the nodes that serve most
	SnapshotBytes    float64 // by the mean
	SnapshotMost     float64
	NodesOfService   float64 // that a service's own fault can reach, for the median service
	ServicesTogether float64 // chance that another service of the region has all of its nodes among them
}

// connectionsOf is how many backends of a service a node keeps connections to, with so many nodes that serve it: what
// internal/subset gives it in its own zone and in the region's others.
func (d *Data) connectionsOf(backends, nodes float64) float64 {
	zones := int(d.Target.Zones / d.Target.Regions)
	inZone := int(math.Ceil(backends / float64(zones)))
	node := subset.Node{Nodes: int(nodes), Zone: "home"}
	return min(backends, float64(node.Size("home", inZone, zones)+(zones-1)*node.Size("other", inZone, zones)))
}

// serving sums up a plan that gives each service so many nodes.
func (d *Data) serving(name string, f Fleet, nodesOf func(part float64) float64) Serving {
	parts := d.parts(f)
	endpoint, tenant := d.Measured("memory-by-backend").Value(), d.Measured("memory-by-tenant").Value()
	s := Serving{Name: name}
	for i, part := range parts {
		k := nodesOf(part)
		backends, tenants := part*f.Backends, part*f.Tenants
		s.Services += k / f.Nodes
		s.Endpoints += k * backends / f.Nodes
		s.Tenants += k * tenants / f.Nodes
		s.Connections += k * d.connectionsOf(backends, k) / f.Nodes
		if i == len(parts)/2 {
			s.NodesOfService = k
		}
	}
	s.EndpointsMost = min(f.Backends, s.Endpoints+parts[0]*f.Backends)
	s.TenantsMost = min(f.Tenants, s.Tenants+parts[0]*f.Tenants)
	stored := s.Services + s.EndpointsMost + f.Routes/f.Services*s.Services + s.TenantsMost
	s.Memory = s.EndpointsMost*endpoint + s.TenantsMost*tenant + stored*d.Measured("store-heap").Value()
	s.SnapshotBytes = d.snapshot(s.Services, s.Endpoints, f.Routes/f.Services*s.Services, s.Tenants)
	s.SnapshotMost = d.snapshot(s.Services, s.EndpointsMost, f.Routes/f.Services*s.Services, s.TenantsMost)
	return s
}

// snapshot is the bytes of a snapshot of so many resources, compressed.
func (d *Data) snapshot(services, endpoints, routes, tenants float64) float64 {
	const measured, perEndpoint, perRoute, perTenant = 200, 18, 4, 161 // of the snapshots that were measured
	bare, routed, full := d.Measured("snapshot-endpoints").Value(), d.Measured("snapshot-routes").Value(), d.Measured("snapshot-tenants").Value()
	return bare/(measured*perEndpoint)*endpoints + (routed-bare)/(measured*perRoute)*routes + (full-routed)/(measured*perTenant)*tenants + services
}

// Everywhere has each node serve all services.
func (d *Data) Everywhere(f Fleet) Serving {
	s := d.serving("each node all services", f, func(float64) float64 { return f.Nodes })
	s.ServicesTogether = 1
	return s
}

// Shuffled gives each service nodes of its own choice, at least so many and more by its part of the requests.
func (d *Data) Shuffled(f Fleet) Serving {
	least := min(f.Nodes, d.Assumed("nodes_per_service"))
	s := d.serving("shuffle sharding", f, func(part float64) float64 {
		return min(f.Nodes, max(least, math.Ceil(d.Assumed("headroom")*part*f.Nodes)))
	})
	s.ServicesTogether = math.Exp(-logChoose(f.Nodes/d.Target.Regions, least))
	return s
}

// Celled divides a region's nodes into cells, each of which serves its services at all of its nodes.
func (d *Data) Celled(f Fleet) Serving {
	cell := min(f.Nodes, d.Assumed("nodes_per_cell"))
	s := d.serving("cells", f, func(part float64) float64 {
		return min(f.Nodes, math.Ceil(max(1, d.Assumed("headroom")*part*f.Nodes/cell))*cell)
	})
	s.ServicesTogether = cell / (f.Nodes / d.Target.Regions)
	return s
}

func logChoose(n, k float64) float64 {
	a, _ := math.Lgamma(n + 1)
	b, _ := math.Lgamma(k + 1)
	c, _ := math.Lgamma(n - k + 1)
	return a - b - c
}
