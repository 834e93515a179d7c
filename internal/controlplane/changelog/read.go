package changelog

import (
	"cmp"
	"slices"

	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/resource"
)

// Changes is what changed within a filter after a position and up to Position: one change for each key, by key, with the
// resource as it is now. ok is false where history does not reach back to the position, or where the log never stood there.
// The cost grows with the services of the filter, or with the transactions after the position where the filter is for all.
func (s *Store) Changes(f Filter, from resource.Position) (changes []resource.Change, ok bool) {
	if from == s.position {
		return nil, true
	}
	if !s.history.reaches(from) {
		return nil, false
	}
	for _, candidate := range s.changedCandidates(f, from) {
		changes = candidate.changesAfter(from.Version, changes)
	}
	return changes, true
}

// changedCandidates are the services of a filter that may have changed after a position, by name.
func (s *Store) changedCandidates(f Filter, from resource.Position) []*service {
	if !f.All {
		return s.selected(f)
	}
	var touched []*service
	for _, later := range s.history.after(from) {
		touched = append(touched, later.services...)
	}
	return sortedByName(touched)
}

// Snapshot is all resources within a filter, by kind, then key.
func (s *Store) Snapshot(f Filter) []resource.Resource {
	services, size := s.selected(f), 0
	for _, selected := range services {
		size += selected.items.Len()
	}
	all := make([]resource.Resource, 0, size)
	for kind := resource.KindService; kind.Known(); kind++ {
		for _, selected := range services {
			all = selected.appendKind(kind, all)
		}
	}
	return all
}

// Digest is that of the resources within a filter. It is kept up to date for each service.
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

// selected are the services of a filter that the store holds, by name.
func (s *Store) selected(f Filter) []*service {
	var services []*service
	if f.All {
		services = make([]*service, 0, len(s.services))
		for _, each := range s.services {
			services = append(services, each)
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

// sortedByName sorts services and drops repeated ones.
func sortedByName(services []*service) []*service {
	slices.SortFunc(services, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
	return slices.Compact(services)
}
