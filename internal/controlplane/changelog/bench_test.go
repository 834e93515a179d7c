package changelog

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/resource"
)

// fleet returns that many resources of a log, in services with 18 endpoints, 4 routes and 161 tenants each.
func fleet(size int) []resource.Resource {
	const perService = 1 + 18 + 4 + 161
	all := make([]resource.Resource, 0, size+perService)
	for i := 0; len(all) < size; i++ {
		name := serviceName(i)
		all = append(all, serviceResource(name))
		for j := range 18 {
			all = append(all, endpointResource(name, i, j))
		}
		for j := range 4 {
			all = append(all, resource.Resource{Key: resource.Key{Service: name, Kind: resource.KindRoute, Name: fmt.Sprint("route-", j)},
				Route: &resource.Route{Host: fmt.Sprintf("%s.example", name), PathPrefix: fmt.Sprint("/v", j)}})
		}
		for j := range 161 {
			all = append(all, tenantResource(name, fmt.Sprintf("tenant-%05d-%03d", i, j), float64(j)))
		}
	}
	return all[:size]
}

func serviceName(i int) string { return fmt.Sprintf("service-%05d", i) }

func endpointResource(service string, i, j int) resource.Resource {
	return resource.Resource{Key: resource.Key{Service: service, Kind: resource.KindEndpoint, Name: fmt.Sprintf("be-%d-%d", i, j)},
		Endpoint: &resource.Endpoint{Address: fmt.Sprintf("10.%d.%d.%d:8080", i/250, i%250, j), Zone: "north-a", Class: "standard",
			Cell: uint64(i % 7), State: resource.EndpointReady, StartedMS: 1700000000000 + uint64(j)}}
}

var sizes = []int{1000, 100_000, 1_700_000}

func atSizes(b *testing.B, run func(b *testing.B, s *Store)) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			s := NewStore(region, Limits{})
			if err := s.Replace(resource.Position{Epoch: 1, Version: 1}, fleet(size)); err != nil {
				b.Fatal(err)
			}
			run(b, s)
		})
	}
}

func endpointChange(n int) []resource.Change {
	r := endpointResource(serviceName(n%5), n%5, 3)
	r.Endpoint.StartedMS += uint64(n)
	return setChanges(r)
}

// nodeFilter returns the subscription of a node: 200 services, or all if the store has fewer.
func nodeFilter(s *Store) Filter {
	services := make([]string, min(200, len(s.services)))
	for i := range services {
		services[i] = serviceName(i)
	}
	return Filter{Services: services}
}

func BenchmarkAppend(b *testing.B) {
	atSizes(b, func(b *testing.B, s *Store) {
		for n := 0; b.Loop(); n++ {
			mustAppend(b, s, 1, endpointChange(n)...)
		}
	})
}

func BenchmarkApply(b *testing.B) {
	atSizes(b, func(b *testing.B, s *Store) {
		for n := 0; b.Loop(); n++ {
			from := s.Position()
			t := resource.Transaction{Position: resource.Position{Epoch: 1, Version: from.Version + 1}, Changes: endpointChange(n)}
			if err := s.Apply(t, from); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func benchmarkChanges(b *testing.B, filter func(*Store) Filter) {
	atSizes(b, func(b *testing.B, s *Store) {
		from := s.Position()
		for n := range 100 {
			mustAppend(b, s, 1, endpointChange(n)...)
		}
		f := filter(s)
		b.ReportAllocs()
		for b.Loop() {
			if changes, ok := s.Changes(f, from); !ok || len(changes) == 0 {
				b.Fatal("no changes")
			}
		}
	})
}

func BenchmarkChangesOfAll(b *testing.B) {
	benchmarkChanges(b, func(*Store) Filter { return allServices })
}

func BenchmarkChangesOf200Services(b *testing.B) { benchmarkChanges(b, nodeFilter) }

func BenchmarkSnapshotOfAll(b *testing.B) {
	atSizes(b, func(b *testing.B, s *Store) {
		for b.Loop() {
			s.Snapshot(allServices)
		}
	})
}

func BenchmarkSnapshotOf200Services(b *testing.B) {
	atSizes(b, func(b *testing.B, s *Store) {
		f := nodeFilter(s)
		for b.Loop() {
			s.Snapshot(f)
		}
	})
}

func BenchmarkDigestOf200Services(b *testing.B) {
	atSizes(b, func(b *testing.B, s *Store) {
		f := nodeFilter(s)
		for b.Loop() {
			s.Digest(f)
		}
	})
}

// BenchmarkReplace also reports the live heap per resource of a store with resources decoded from the wire.
func BenchmarkReplace(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			before := liveHeapBytes()
			all := fromWire(b, fleet(size))
			var s *Store
			for b.Loop() {
				s = NewStore(region, Limits{})
				if err := s.Replace(resource.Position{Epoch: 1, Version: 1}, all); err != nil {
					b.Fatal(err)
				}
			}
			clear(all)
			all = nil
			b.ReportMetric(float64(liveHeapBytes()-before)/float64(size), "heap-B/resource")
			runtime.KeepAlive(s)
		})
	}
}

func fromWire(b *testing.B, all []resource.Resource) []resource.Resource {
	_, _, read, _, err := message.DecodeSnapshot(message.EncodeSnapshot(region, resource.Position{Epoch: 1, Version: 1}, all))
	if err != nil || len(read) != len(all) {
		b.Fatal(len(read), err)
	}
	return slices.Clip(read)
}

func liveHeapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
