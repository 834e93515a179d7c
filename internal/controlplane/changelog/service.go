package changelog

import (
	"cmp"
	"slices"

	"github.com/google/btree"

	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/resource"
)

const treeDegree = 16 // of a service's tree: nodes have 15 to 31 items

// service is all that a store holds of one service.
type service struct {
	name   string // shared by the keys of its resources
	digest message.Digest
	items  *btree.BTreeG[item]
	recent []recentChange // what history reaches back to, oldest first
}

// item is a resource within its service. Its kind is the type of the value.
type item struct {
	name  string
	value any // *resource.Service, *resource.Endpoint, *resource.Route or *resource.Tenant
}

// recentChange tells that a transaction set or deleted a resource.
type recentChange struct {
	version uint64
	name    string
	kind    resource.Kind
}

func newService(name string, nodes *btree.FreeListG[item]) *service {
	return &service{name: name, items: btree.NewWithFreeListG(treeDegree, itemLess, nodes)}
}

func itemLess(a, b item) bool {
	return cmp.Or(cmp.Compare(a.kind(), b.kind()), cmp.Compare(a.name, b.name)) < 0
}

func (i item) kind() resource.Kind {
	switch i.value.(type) {
	case *resource.Service:
		return resource.KindService
	case *resource.Endpoint:
		return resource.KindEndpoint
	case *resource.Route:
		return resource.KindRoute
	case *resource.Tenant:
		return resource.KindTenant
	}
	return 0
}

// pivot is an item to search for.
func pivot(kind resource.Kind, name string) item {
	switch kind {
	case resource.KindService:
		return item{name, (*resource.Service)(nil)}
	case resource.KindEndpoint:
		return item{name, (*resource.Endpoint)(nil)}
	case resource.KindRoute:
		return item{name, (*resource.Route)(nil)}
	case resource.KindTenant:
		return item{name, (*resource.Tenant)(nil)}
	}
	return item{name, nil}
}

func (s *service) resource(i item) resource.Resource {
	r := resource.Resource{Key: resource.Key{Service: s.name, Kind: i.kind(), Name: i.name}}
	switch value := i.value.(type) {
	case *resource.Service:
		r.Service = value
	case *resource.Endpoint:
		r.Endpoint = value
	case *resource.Route:
		r.Route = value
	case *resource.Tenant:
		r.Tenant = value
	}
	return r
}

func itemOf(r *resource.Resource) item {
	switch r.Key.Kind {
	case resource.KindService:
		return item{r.Key.Name, r.Service}
	case resource.KindEndpoint:
		return item{r.Key.Name, r.Endpoint}
	case resource.KindRoute:
		return item{r.Key.Name, r.Route}
	}
	return item{r.Key.Name, r.Tenant}
}

func (s *service) get(kind resource.Kind, name string) (resource.Resource, bool) {
	found, ok := s.items.Get(pivot(kind, name))
	if !ok {
		return resource.Resource{}, false
	}
	return s.resource(found), true
}

func (s *service) put(r *resource.Resource) {
	old, replaced := s.items.ReplaceOrInsert(itemOf(r))
	if replaced {
		s.subtract(old)
	}
	s.digest = s.digest.Add(r)
}

func (s *service) remove(key resource.Key) {
	if old, existed := s.items.Delete(pivot(key.Kind, key.Name)); existed {
		s.subtract(old)
	}
}

func (s *service) subtract(old item) {
	r := s.resource(old)
	s.digest = s.digest.Remove(&r)
}

// noteChange remembers that a transaction changed a resource, and reports whether it is the first of that transaction.
func (s *service) noteChange(version uint64, key resource.Key) (first bool) {
	first = s.lastChanged() != version
	s.recent = append(s.recent, recentChange{version, key.Name, key.Kind})
	return first
}

// lastChanged is the latest version that changed the service, as far as history reaches back; 0 for none.
func (s *service) lastChanged() uint64 {
	if len(s.recent) == 0 {
		return 0
	}
	return s.recent[len(s.recent)-1].version
}

// forgetChanges drops what is remembered of versions up to one.
func (s *service) forgetChanges(version uint64) {
	kept := s.recentAfter(version)
	if len(kept) == 0 {
		s.recent = nil
	} else if len(kept) <= cap(s.recent)/2 {
		s.recent = slices.Clone(kept)
	} else {
		s.recent = kept
	}
}

func (s *service) recentAfter(version uint64) []recentChange {
	first, _ := slices.BinarySearchFunc(s.recent, version+1, func(c recentChange, v uint64) int { return cmp.Compare(c.version, v) })
	return s.recent[first:]
}

// changesAfter appends what changed after a version, by kind and name, with the resources as they are now.
func (s *service) changesAfter(version uint64, changes []resource.Change) []resource.Change {
	if s.lastChanged() <= version {
		return changes
	}
	keys := slices.Clone(s.recentAfter(version))
	slices.SortFunc(keys, compareKeys)
	keys = slices.CompactFunc(keys, func(a, b recentChange) bool { return compareKeys(a, b) == 0 })
	for _, key := range keys {
		now, ok := s.get(key.kind, key.name)
		if !ok {
			now.Key = resource.Key{Service: s.name, Kind: key.kind, Name: key.name}
		}
		changes = append(changes, resource.Change{Resource: now, Deleted: !ok})
	}
	return changes
}

func compareKeys(a, b recentChange) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
}

// appendKind appends the resources of one kind, by name.
func (s *service) appendKind(kind resource.Kind, all []resource.Resource) []resource.Resource {
	s.items.AscendGreaterOrEqual(pivot(kind, ""), func(i item) bool {
		if i.kind() != kind {
			return false
		}
		all = append(all, s.resource(i))
		return true
	})
	return all
}
