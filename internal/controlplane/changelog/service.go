package changelog

import (
	"cmp"
	"slices"

	"github.com/google/btree"

	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/resource"
)

const treeDegree = 16 // B-tree nodes hold 15 to 31 items

// service holds the resources and the recent changes of one service.
type service struct {
	name          string // the string that the keys of all its resources share
	digest        message.Digest
	items         *btree.BTreeG[item]
	recentChanges []recentChange // those that the history covers, oldest first
}

// item is a resource within its service. The type of the value determines the kind.
type item struct {
	name  string
	value any // *resource.Service, *resource.Endpoint, *resource.Route or *resource.Tenant
}

// recentChange records that the transaction of a version set or deleted a resource.
type recentChange struct {
	version uint64
	name    string
	kind    resource.Kind
}

func newService(name string, freeList *btree.FreeListG[item]) *service {
	return &service{name: name, items: btree.NewWithFreeListG(treeDegree, itemLess, freeList)}
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

// searchKey returns an item without a value, to search the tree for.
func searchKey(kind resource.Kind, name string) item {
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
	found, ok := s.items.Get(searchKey(kind, name))
	if !ok {
		return resource.Resource{}, false
	}
	return s.resource(found), true
}

func (s *service) put(r *resource.Resource) {
	old, replaced := s.items.ReplaceOrInsert(itemOf(r))
	if replaced {
		s.removeFromDigest(old)
	}
	s.digest = s.digest.Add(r)
}

func (s *service) remove(key resource.Key) {
	if old, existed := s.items.Delete(searchKey(key.Kind, key.Name)); existed {
		s.removeFromDigest(old)
	}
}

func (s *service) removeFromDigest(old item) {
	r := s.resource(old)
	s.digest = s.digest.Remove(&r)
}

// recordChange records that a transaction changed a resource, and reports whether this is the transaction's first change of
// the service.
func (s *service) recordChange(version uint64, key resource.Key) (first bool) {
	first = s.lastChangedVersion() != version
	s.recentChanges = append(s.recentChanges, recentChange{version, key.Name, key.Kind})
	return first
}

// lastChangedVersion returns the latest version in the history that changed the service; 0 for none.
func (s *service) lastChangedVersion() uint64 {
	if len(s.recentChanges) == 0 {
		return 0
	}
	return s.recentChanges[len(s.recentChanges)-1].version
}

// dropChangesUpTo removes the recent changes up to a version, and reallocates the rest if that frees half of the memory.
func (s *service) dropChangesUpTo(version uint64) {
	kept := s.recentChangesAfter(version)
	if len(kept) == 0 {
		s.recentChanges = nil
	} else if len(kept) <= cap(s.recentChanges)/2 {
		s.recentChanges = slices.Clone(kept)
	} else {
		s.recentChanges = kept
	}
}

func (s *service) recentChangesAfter(version uint64) []recentChange {
	first, _ := slices.BinarySearchFunc(s.recentChanges, version+1, func(c recentChange, v uint64) int { return cmp.Compare(c.version, v) })
	return s.recentChanges[first:]
}

// changesAfter appends the changes after a version, sorted by kind and name, with the current resources.
func (s *service) changesAfter(version uint64, changes []resource.Change) []resource.Change {
	if s.lastChangedVersion() <= version {
		return changes
	}
	keys := slices.Clone(s.recentChangesAfter(version))
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

// appendKind appends the resources of one kind, sorted by name.
func (s *service) appendKind(kind resource.Kind, all []resource.Resource) []resource.Resource {
	s.items.AscendGreaterOrEqual(searchKey(kind, ""), func(i item) bool {
		if i.kind() != kind {
			return false
		}
		all = append(all, s.resource(i))
		return true
	})
	return all
}
