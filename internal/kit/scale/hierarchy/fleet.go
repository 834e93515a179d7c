package hierarchy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"craneglade/internal/controlplane/resource"
	"craneglade/internal/kit/scale/plan"
)

// fleet is the initial content of the logs, and the assignment of services to nodes.
type fleet struct {
	regions        int
	services       []service
	servicesByNode [][]string // names, sorted
}

// service is a service with the numbers of its resources.
type service struct {
	name      string
	number    int
	region    int // whose log holds it
	endpoints int
	routes    int
	tenants   int
	nodes     []int // that serve it
}

// newFleet generates a fleet of the given size.
func newFleet(p *plan.Plan, step plan.Step, random *rand.Rand) *fleet {
	f := &fleet{regions: p.Fleet.Regions, servicesByNode: make([][]string, step.Nodes)}
	weights := sharesByRank(step.Services, p.Fleet.ServiceSkew, p.Fleet.LargestServiceFraction)
	endpoints := distribute(step.Endpoints, weights, 1)
	tenants := distribute(p.TenantCount(step), weights, 0)
	routes := distribute(step.Routes, sharesByRank(step.Services, 0, 1), 0)
	for i := range step.Services {
		f.services = append(f.services, service{name: fmt.Sprintf("service-%05d", i), number: i, region: i % f.regions,
			endpoints: endpoints[i], routes: routes[i], tenants: tenants[i]})
	}
	f.assign(p.Fleet.NodesPerService, random)
	return f
}

// assign assigns nodes to each service by shuffle sharding. The numbers of services of nodes differ by about one, as nodes
// are dealt from shuffled decks of all nodes.
func (f *fleet) assign(nodesPerService int, random *rand.Rand) {
	var deck []int
	for i := range f.services {
		s := &f.services[i]
		count := min(nodesPerService, len(f.servicesByNode))
		for len(s.nodes) < count {
			if len(deck) == 0 {
				deck = random.Perm(len(f.servicesByNode))
			}
			at := slices.IndexFunc(deck, func(node int) bool { return !slices.Contains(s.nodes, node) })
			if at < 0 { // all nodes left in the deck have the service already
				deck = append(deck, random.Perm(len(f.servicesByNode))...)
				continue
			}
			s.nodes = append(s.nodes, deck[at])
			deck = slices.Delete(deck, at, at+1)
		}
		for _, node := range s.nodes {
			f.servicesByNode[node] = append(f.servicesByNode[node], s.name)
		}
	}
	for _, names := range f.servicesByNode {
		slices.Sort(names)
	}
}

// sharesByRank returns weights by rank, in proportion to rank to the power of -skew and capped at the largest allowed.
func sharesByRank(count int, skew, largest float64) []float64 {
	shares, sum := make([]float64, count), 0.0
	for i := range shares {
		shares[i] = math.Pow(float64(i+1), -skew)
		sum += shares[i]
	}
	maxShare := max(largest, 1/float64(count))
	for i := range shares {
		shares[i] = min(shares[i]/sum, maxShare)
	}
	return shares
}

// distribute divides total in proportion to weights, with at least minEach for each.
func distribute(total int, weights []float64, minEach int) []int {
	out, sum := make([]int, len(weights)), 0.0
	for _, w := range weights {
		sum += w
	}
	remaining := total
	for i, w := range weights {
		out[i] = max(minEach, int(float64(total)*w/sum))
		remaining -= out[i]
	}
	for i := 0; remaining != 0; i = (i + 1) % len(out) { // corrects for rounding and for minEach
		switch {
		case remaining > 0:
			out[i]++
			remaining--
		case out[i] > minEach:
			out[i]--
			remaining++
		case total < minEach*len(out):
			return out
		}
	}
	return out
}

func regionName(region int) string { return fmt.Sprintf("region-%d", region) }

// log returns all resources of a region's services.
func (f *fleet) log(region int) []resource.Resource {
	var all []resource.Resource
	for i := range f.services {
		s := &f.services[i]
		if s.region != region {
			continue
		}
		all = append(all, s.serviceResource(0))
		for e := range s.endpoints {
			all = append(all, s.endpoint(e, resource.EndpointReady, 0))
		}
		for r := range s.routes {
			all = append(all, s.route(r, 0))
		}
		for t := range s.tenants {
			all = append(all, s.tenant(t, 0))
		}
	}
	return all
}

func (s *service) key(kind resource.Kind, name string) resource.Key {
	return resource.Key{Service: s.name, Kind: kind, Name: name}
}

// serviceResource returns the service's own resource in the given generation.
func (s *service) serviceResource(generation int) resource.Resource {
	return resource.Resource{Key: s.key(resource.KindService, s.name),
		Service: &resource.Service{Region: regionName(s.region), DrainGrace: time.Second + time.Duration(generation)*time.Millisecond, MaxAttempts: 3}}
}

// latestInitialStartMS is the latest start of an endpoint in the initial log, in Unix milliseconds.
const latestInitialStartMS = 1_760_000_000_000

// maxInitialUptimeMS is the longest time for which an endpoint of the initial log has run, in milliseconds.
const maxInitialUptimeMS = 30 * 24 * 3600 * 1000

// hash returns a pseudo-random number that depends only on the service, the kind and the index of a resource. Names,
// addresses and quotas derived from it follow no pattern that compresses well, as in a real fleet.
func (s *service) hash(kind resource.Kind, i int) uint64 {
	h := uint64(s.number)<<40 ^ uint64(kind)<<32 ^ uint64(i)
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// endpoint returns the endpoint with an index. A restarted endpoint has a generation, from 1.
func (s *service) endpoint(i int, state resource.EndpointState, generation int) resource.Resource {
	hash := s.hash(resource.KindEndpoint, i)
	started := uint64(latestInitialStartMS + generation)
	if generation == 0 {
		started -= hash % maxInitialUptimeMS
	}
	return resource.Resource{Key: s.key(resource.KindEndpoint, fmt.Sprintf("be-%010x", hash>>24)),
		Endpoint: &resource.Endpoint{Address: fmt.Sprintf("10.%d.%d.%d:%d", hash>>16&255, hash>>8&255, hash&255, 8000+i%16), Zone: fmt.Sprintf("zone-%02d", i%3),
			Class: fmt.Sprintf("class-%d", hash%5), Cell: hash % 8, State: state, StartedMS: started}}
}

func (s *service) route(i int, generation int) resource.Resource {
	hash := s.hash(resource.KindRoute, i)
	return resource.Resource{Key: s.key(resource.KindRoute, fmt.Sprintf("route-%08x", hash>>32)),
		Route: &resource.Route{Host: fmt.Sprintf("%s-%x.example.org", s.name, hash&0xffff), PathPrefix: fmt.Sprintf("/v%d/%d", generation, i)}}
}

func (s *service) tenant(i int, generation int) resource.Resource {
	hash := s.hash(resource.KindTenant, i)
	return resource.Resource{Key: s.key(resource.KindTenant, fmt.Sprintf("t%012x", hash>>16)),
		Tenant: &resource.Tenant{Quota: float64(hash%10_000)/10 + float64(generation)}}
}

// Catalogue holds the log of a fleet of one region and the services of each node, for runs with processes.
type Catalogue struct{ fleet *fleet }

// NewCatalogue generates the fleet of a size, as New does.
func NewCatalogue(p *plan.Plan, step plan.Step) *Catalogue {
	singleRegion := *p
	singleRegion.Fleet.Regions = 1
	return &Catalogue{newFleet(&singleRegion, step, rand.New(rand.NewPCG(p.Seed, seedStream)))}
}

// Region returns the region of the catalogue's log.
func (c *Catalogue) Region() string { return regionName(0) }

// Log returns all resources.
func (c *Catalogue) Log() []resource.Resource { return c.fleet.log(0) }

// ServicesOf returns the services of a node, sorted.
func (c *Catalogue) ServicesOf(node int) []string { return c.fleet.servicesByNode[node] }

// ServiceResource returns a service's own resource in the given generation, and the nodes that serve it. Numbers past the
// last service wrap around.
func (c *Catalogue) ServiceResource(number, generation int) (r resource.Resource, nodes []int) {
	s := &c.fleet.services[number%len(c.fleet.services)]
	return s.serviceResource(generation), s.nodes
}

// Generation returns the generation of a service's own resource.
func Generation(s *resource.Service) int { return int((s.DrainGrace - time.Second) / time.Millisecond) }
