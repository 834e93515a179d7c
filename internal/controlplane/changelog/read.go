package changelog

import (
	"cmp"
	"slices"

	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/resource"
)

// Changes returns the changes within a filter after a position up to Position: one change per key, sorted by key, with the
// current resource. ok is false if the history does not reach back to the position, or if the log was never at it. The cost
// grows with the services of the filter, or with the transactions after the position if the filter covers all services.
func (s *Store) Changes(f Filter, from resource.Position) (changes []resource.Change, ok bool) {
	if from == s.position {
		return nil, true
	}
	if !s.history.covers(from) {
		return nil, false
	}
	for _, svc := range s.changedCandidates(f, from) {
		changes = svc.changesAfter(from.Version, changes)
	}
	return changes, true
}

// changedCandidates returns the services of a filter that may have changed after a position, sorted by name.
func (s *Store) changedCandidates(f Filter, from resource.Position) []*service {
	if !f.All {
		return s.selectedServices(f)
	}
	var changed []*service
	for _, later := range s.history.spansAfter(from) {
		changed = append(changed, later.services...)
	}
	return sortedByName(changed)
}

// Snapshot returns all resources within a filter, sorted by kind, then key.
func (s *Store) Snapshot(f Filter) []resource.Resource {
	services, size := s.selectedServices(f), 0
	for _, svc := range services {
		size += svc.items.Len()
	}
	all := make([]resource.Resource, 0, size)
	for kind := resource.KindService; kind.Known(); kind++ {
		for _, svc := range services {
			all = svc.appendKind(kind, all)
		}
	}
	return all
}

// Digest returns the digest of the resources within a filter. It adds up digests that are maintained per service.
func (s *Store) Digest(f Filter) message.Digest {
	if f.All {
		return s.digest
	}
	var total message.Digest
	for i, name := range f.Services {
		if found, ok := s.services[name]; ok && (i == 0 || f.Services[i-1] != name) {
			total += found.digest
		}
	}
	return total
}

// selectedServices returns the services of a filter that the store holds, sorted by name.
func (s *Store) selectedServices(f Filter) []*service {
	var services []*service
	if f.All {
		services = make([]*service, 0, len(s.services))
		for _, svc := range s.services {
			services = append(services, svc)
		}
		return sortedByName(services)
	}
	services = make([]*service, 0, len(f.Services))
	for _, name := range f.Services {
		if found, ok := s.services[name]; ok {
			services = append(services, found)
		}
	}
	return slices.Compact(services)
}

// sortedByName sorts services by name and removes duplicates.
func sortedByName(services []*service) []*service {
	slices.SortFunc(services, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
	return slices.Compact(services)
}
