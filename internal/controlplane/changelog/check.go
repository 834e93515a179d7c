package changelog

import (
	"fmt"

	"craneglade/internal/controlplane/resource"
)

// balance is what a transaction does to one service.
type balance struct {
	present bool // the service's own resource, afterwards
	size    int  // its resources, afterwards
	other   resource.Key
}

// checkServices checks changes against the state: a service belongs to the log of its home region, and the resources of a
// service exist no longer than the service itself. The error is a resource.InvalidError.
func (s *Store) checkServices(changes []resource.Change) error {
	balances := make(map[string]*balance)
	for i := range changes {
		change := &changes[i]
		if err := s.checkRegion(&change.Resource); err != nil {
			return err
		}
		name := change.Resource.Key.Service
		current, ok := balances[name]
		if !ok {
			current = s.balanceOf(name)
			balances[name] = current
		}
		_, existed := s.Get(change.Resource.Key)
		current.add(change, existed)
	}
	for i := range changes {
		name := changes[i].Resource.Key.Service
		if after := balances[name]; after.size > 0 && !after.present {
			return missingService(name, after)
		}
	}
	return nil
}

func (s *Store) balanceOf(name string) *balance {
	found, ok := s.services[name]
	if !ok {
		return &balance{}
	}
	_, present := found.get(resource.KindService, name)
	return &balance{present: present, size: found.items.Len()}
}

func (b *balance) add(change *resource.Change, existed bool) {
	key := change.Resource.Key
	if key.Kind == resource.KindService {
		b.present = !change.Deleted
	}
	switch {
	case change.Deleted && existed:
		b.size--
	case !change.Deleted && !existed:
		b.size++
	}
	if !change.Deleted {
		b.other = key
	}
}

func missingService(name string, after *balance) error {
	if after.other.Service == "" {
		key := resource.Key{Service: name, Kind: resource.KindService, Name: name}
		return &resource.InvalidError{Key: key, Field: "name", Problem: fmt.Sprintf("deleted, and %d of its resources stay", after.size),
			Want: "delete these in the same transaction"}
	}
	return &resource.InvalidError{Key: after.other, Field: "service", Problem: "not in the log", Want: "set it in the same transaction or before"}
}

func (s *Store) checkRegion(r *resource.Resource) error {
	if r.Service == nil || r.Service.Region == s.region {
		return nil
	}
	return &resource.InvalidError{Key: r.Key, Field: "region", Problem: fmt.Sprintf("%q, and this is the log of %q", r.Service.Region, s.region),
		Want: "only the log of its home region changes a service"}
}

// checkComplete checks that each service with resources exists itself. The error is a resource.InvalidError.
func (s *Store) checkComplete() error {
	for _, each := range s.services {
		if _, present := each.get(resource.KindService, each.name); !present {
			first, _ := each.items.Min()
			return missingService(each.name, &balance{other: each.resource(first).Key})
		}
	}
	return nil
}
