package changelog

import (
	"fmt"

	"craneglade/internal/controlplane/resource"
)

// serviceOutcome is the state of one service after a transaction.
type serviceOutcome struct {
	exists    bool         // the service's own resource exists
	resources int          // number of its resources, its own included
	lastSet   resource.Key // of the last resource that the transaction sets; zero for none
}

// checkServices checks changes against the state: a service must be in the log of its home region, and resources must not
// exist without their service. The error is a resource.InvalidError.
func (s *Store) checkServices(changes []resource.Change) error {
	outcomes := make(map[string]*serviceOutcome)
	for i := range changes {
		change := &changes[i]
		if err := s.checkRegion(&change.Resource); err != nil {
			return err
		}
		name := change.Resource.Key.Service
		outcome, ok := outcomes[name]
		if !ok {
			outcome = s.outcomeOf(name)
			outcomes[name] = outcome
		}
		_, existed := s.Get(change.Resource.Key)
		outcome.add(change, existed)
	}
	for i := range changes {
		name := changes[i].Resource.Key.Service
		if outcome := outcomes[name]; outcome.resources > 0 && !outcome.exists {
			return missingService(name, outcome)
		}
	}
	return nil
}

func (s *Store) outcomeOf(name string) *serviceOutcome {
	found, ok := s.services[name]
	if !ok {
		return &serviceOutcome{}
	}
	_, present := found.get(resource.KindService, name)
	return &serviceOutcome{exists: present, resources: found.items.Len()}
}

func (o *serviceOutcome) add(change *resource.Change, existed bool) {
	key := change.Resource.Key
	if key.Kind == resource.KindService {
		o.exists = !change.Deleted
	}
	switch {
	case change.Deleted && existed:
		o.resources--
	case !change.Deleted && !existed:
		o.resources++
	}
	if !change.Deleted {
		o.lastSet = key
	}
}

func missingService(name string, outcome *serviceOutcome) error {
	if outcome.lastSet.Service == "" {
		key := resource.Key{Service: name, Kind: resource.KindService, Name: name}
		return &resource.InvalidError{Key: key, Field: "name", Problem: fmt.Sprintf("deleted, and %d of its resources stay", outcome.resources),
			Want: "delete these in the same transaction"}
	}
	return &resource.InvalidError{Key: outcome.lastSet, Field: "service", Problem: "not in the log", Want: "set it in the same transaction or before"}
}

func (s *Store) checkRegion(r *resource.Resource) error {
	if r.Service == nil || r.Service.Region == s.region {
		return nil
	}
	return &resource.InvalidError{Key: r.Key, Field: "region", Problem: fmt.Sprintf("%q, and this is the log of %q", r.Service.Region, s.region),
		Want: "only the log of its home region changes a service"}
}

// checkServicesExist checks that the service of every resource exists. The error is a resource.InvalidError.
func (s *Store) checkServicesExist() error {
	for _, svc := range s.services {
		if _, present := svc.get(resource.KindService, svc.name); !present {
			first, _ := svc.items.Min()
			return missingService(svc.name, &serviceOutcome{lastSet: svc.resource(first).Key})
		}
	}
	return nil
}
