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

// fleet is what the logs hold and who serves what.
type fleet struct {
	regions  int
	services []service
	serves   [][]string // by node: the services, sorted
}

// service is one service with the numbers of its resources.
type service struct {
	name      string
	number    int
	region    int // its home
	endpoints int
	routes    int
	tenants   int
	nodes     []int // that serve it
}

// newFleet draws a fleet of a size.
func newFleet(p *plan.Plan, step plan.Step, random *rand.Rand) *fleet {
	f := &fleet{regions: p.Fleet.Regions, serves: make([][]string, step.Nodes)}
	weights := sizesByRank(step.Services, p.Fleet.ServiceSkew, p.Fleet.LargestService)
	endpoints := deal(step.Endpoints, weights, 1)
	tenants := deal(p.TenantCount(step), weights, 0)
	routes := deal(step.Routes, sizesByRank(step.Services, 0, 1), 0)
	for i := range step.Services {
		f.services = append(f.services, service{name: fmt.Sprintf("service-%05d", i), number: i, region: i % f.regions,
			endpoints: endpoints[i], routes: routes[i], tenants: tenants[i]})
	}
	f.assign(p.Fleet.NodesPerService, random)
	return f
}

// assign draws the nodes of each service, as shuffle sharding does. Every node has as many services as any other, but for
// one: the services are dealt out from shuffled decks of all nodes.
func (f *fleet) assign(nodesPerService int, random *rand.Rand) {
	var deck []int
	for i := range f.services {
		s := &f.services[i]
		want := min(nodesPerService, len(f.serves))
		for len(s.nodes) < want {
			if len(deck) == 0 {
				deck = random.Perm(len(f.serves))
			}
			at := slices.IndexFunc(deck, func(node int) bool { return !slices.Contains(s.nodes, node) })
			if at < 0 { // the rest of the deck has the service already
				deck = append(deck, random.Perm(len(f.serves))...)
				continue
			}
			s.nodes = append(s.nodes, deck[at])
			deck = slices.Delete(deck, at, at+1)
		}
		for _, node := range s.nodes {
			f.serves[node] = append(f.serves[node], s.name)
		}
	}
	for _, names := range f.serves {
		slices.Sort(names)
	}
}

// sizesByRank are parts of a whole by rank, to the power of -skew, none over the largest allowed.
func sizesByRank(count int, skew, largest float64) []float64 {
	weights, sum := make([]float64, count), 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -skew)
		sum += weights[i]
	}
	most := max(largest, 1/float64(count))
	for i := range weights {
		weights[i] = min(weights[i]/sum, most)
	}
	return weights
}

// deal divides a number by weights, at least so many to each.
func deal(total int, weights []float64, least int) []int {
	out, sum := make([]int, len(weights)), 0.0
	for _, w := range weights {
		sum += w
	}
	left := total
	for i, w := range weights {
		out[i] = max(least, int(float64(total)*w/sum))
		left -= out[i]
	}
	for i := 0; left != 0; i = (i + 1) % len(out) { // what rounding left over, or gave too much
		switch {
		case left > 0:
			out[i]++
			left--
		case out[i] > least:
			out[i]--
			left++
		case total < least*len(out):
			return out
		}
	}
	return out
}

func regionName(region int) string { return fmt.Sprintf("region-%d", region) }

// log is all resources of a region's services.
func (f *fleet) log(region int) []resource.Resource {
	var all []resource.Resource
	for i := range f.services {
		s := &f.services[i]
		if s.region != region {
			continue
		}
		all = append(all, s.own(0))
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

// own is the service's own resource; generation is its state's.
func (s *service) own(generation int) resource.Resource {
	return resource.Resource{Key: s.key(resource.KindService, s.name),
		Service: &resource.Service{Region: regionName(s.region), DrainGrace: time.Second + time.Duration(generation)*time.Millisecond, MaxAttempts: 3}}
}

// firstStart is the latest moment at which an endpoint of the first log started, in Unix milliseconds.
const firstStart = 1_760_000_000_000

// longestLife is how long endpoints of the first log have run at most, in milliseconds.
const longestLife = 30 * 24 * 3600 * 1000

// draw is a number that follows from a resource's place alone, and looks random: names, addresses and quotas of a fleet don't
// follow a pattern that compresses well.
func (s *service) draw(kind resource.Kind, i int) uint64 {
	h := uint64(s.number)<<40 ^ uint64(kind)<<32 ^ uint64(i)
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// endpoint is that of a number. One that started anew has a generation, from 1.
func (s *service) endpoint(i int, state resource.EndpointState, generation int) resource.Resource {
	drawn := s.draw(resource.KindEndpoint, i)
	started := uint64(firstStart + generation)
	if generation == 0 {
		started -= drawn % longestLife
	}
	return resource.Resource{Key: s.key(resource.KindEndpoint, fmt.Sprintf("be-%010x", drawn>>24)),
		Endpoint: &resource.Endpoint{Address: fmt.Sprintf("10.%d.%d.%d:%d", drawn>>16&255, drawn>>8&255, drawn&255, 8000+i%16), Zone: fmt.Sprintf("zone-%02d", i%3),
			Class: fmt.Sprintf("class-%d", drawn%5), Cell: drawn % 8, State: state, StartedMS: started}}
}

func (s *service) route(i int, generation int) resource.Resource {
	drawn := s.draw(resource.KindRoute, i)
	return resource.Resource{Key: s.key(resource.KindRoute, fmt.Sprintf("route-%08x", drawn>>32)),
		Route: &resource.Route{Host: fmt.Sprintf("%s-%x.example.org", s.name, drawn&0xffff), PathPrefix: fmt.Sprintf("/v%d/%d", generation, i)}}
}

func (s *service) tenant(i int, generation int) resource.Resource {
	drawn := s.draw(resource.KindTenant, i)
	return resource.Resource{Key: s.key(resource.KindTenant, fmt.Sprintf("t%012x", drawn>>16)),
		Tenant: &resource.Tenant{Quota: float64(drawn%10_000)/10 + float64(generation)}}
}

// Catalogue is what the log of a fleet of one region holds and who serves what, for runs with processes.
type Catalogue struct{ fleet *fleet }

// NewCatalogue draws the fleet of a size, as New does.
func NewCatalogue(p *plan.Plan, step plan.Step) *Catalogue {
	one := *p
	one.Fleet.Regions = 1
	return &Catalogue{newFleet(&one, step, rand.New(rand.NewPCG(p.Seed, seedStream)))}
}

// Region is the region of the catalogue's log.
func (c *Catalogue) Region() string { return regionName(0) }

// Log is all resources.
func (c *Catalogue) Log() []resource.Resource { return c.fleet.log(0) }

// Serves are the services of a node, sorted.
func (c *Catalogue) Serves(node int) []string { return c.fleet.serves[node] }

// Changed is a service's own resource in the state of a generation, with the nodes that serve it. Services are numbered;
// one past the last is the first again.
func (c *Catalogue) Changed(number, generation int) (r resource.Resource, nodes []int) {
	s := &c.fleet.services[number%len(c.fleet.services)]
	return s.own(generation), s.nodes
}

// Generation is that of a service's own resource.
func Generation(s *resource.Service) int { return int((s.DrainGrace - time.Second) / time.Millisecond) }
