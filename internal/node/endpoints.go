package node

import (
	"slices"

	"craneglade/internal/admission"
	"craneglade/internal/controlplane/resource"
	"craneglade/internal/engine"
	"craneglade/internal/membership"
	"craneglade/policy"
)

// batchSize is the max number of changes that are applied while holding a lock that requests need too. Each batch makes the engine
// iterate over all endpoints, whatever its size, so smaller batches would cost more in total and hold the lock hardly less.
const batchSize = 128

// endpoints is an engine.Source that lists the endpoints of one service in the control plane. Its subscriber follows the control
// plane continuously, so the engine's requests to watch or fetch need no action.
type endpoints struct {
	engine       *engine.Engine
	service      string
	known        map[string]engine.ListedBackend // the engine's list, by name
	listReceived bool                            // the first list from the control plane has arrived
}

// newEndpoints returns the source of a service's endpoints, for an engine whose initial list is known.
func newEndpoints(e *engine.Engine, service string, known []engine.ListedBackend) *endpoints {
	s := &endpoints{engine: e, service: service, known: make(map[string]engine.ListedBackend, len(known))}
	for _, b := range known {
		s.known[b.ID] = b
	}
	return s
}

// Watch does nothing: the subscriber receives each change.
func (s *endpoints) Watch() {}

// Fetch does nothing: the subscriber retries by itself.
func (s *endpoints) Fetch() {}

// confirm tells the engine that its list is current, by an empty delta.
func (s *endpoints) confirm() {
	s.engine.UpdateList(s, &engine.List{}, policy.ListDelta, func(int64) bool { return false })
}

// apply passes changes to the engine, in batches. late says that the changes may have been announced a while ago, so that draining
// endpoints have no grace left.
func (s *endpoints) apply(changes []resource.Change, late bool) {
	for _, batch := range s.batches(changes) {
		s.applyBatch(batch, late)
	}
}

// batches returns the changes in the batches and the order in which the engine gets them. The first changes that name an endpoint
// are a full list: it removes known endpoints that it does not name.
func (s *endpoints) batches(changes []resource.Change) (batches [][]engine.ListedBackend) {
	ready, withdrawn := s.split(changes)
	if !s.listReceived && len(ready)+len(withdrawn) > 0 {
		withdrawn = append(withdrawn, s.unlisted(ready, withdrawn)...)
		s.listReceived = true
	}
	// One batch of ready endpoints goes first, so that the list is never empty. The withdrawn ones come next, as they must not wait
	// for all the others.
	first := min(batchSize, len(ready))
	for _, list := range [][]engine.ListedBackend{ready[:first], withdrawn, ready[first:]} {
		batches = slices.AppendSeq(batches, slices.Chunk(list, batchSize))
	}
	return batches
}

// split divides the changes of this service's endpoints into those that may be used and those that may not.
func (s *endpoints) split(changes []resource.Change) (ready, withdrawn []engine.ListedBackend) {
	for i := range changes {
		c := &changes[i]
		key := c.Resource.Key
		switch {
		case key.Service != s.service || key.Kind != resource.KindEndpoint:
		case c.Deleted:
			removed := s.known[key.Name]
			removed.ID, removed.State = key.Name, membership.Gone
			withdrawn = append(withdrawn, removed)
		default:
			b := toListed(key.Name, c.Resource.Endpoint)
			if b.State == membership.Ready {
				ready = append(ready, b)
			} else {
				withdrawn = append(withdrawn, b)
			}
		}
	}
	return ready, withdrawn
}

// unlisted returns the endpoints that the engine has and the lists do not, marked as removed.
func (s *endpoints) unlisted(lists ...[]engine.ListedBackend) (removed []engine.ListedBackend) {
	present := map[string]bool{}
	for _, list := range lists {
		for i := range list {
			present[list[i].ID] = true
		}
	}
	for name, b := range s.known {
		if !present[name] {
			b.State = membership.Gone
			removed = append(removed, b)
		}
	}
	return removed
}

// applyBatch passes one batch to the engine.
func (s *endpoints) applyBatch(batch []engine.ListedBackend, late bool) {
	for _, b := range batch {
		if b.State == membership.Gone {
			delete(s.known, b.ID)
		} else {
			s.known[b.ID] = b
		}
	}
	list := &engine.List{Backends: batch, AfterOutage: late}
	s.engine.UpdateList(s, list, policy.ListDelta, func(known int64) bool {
		list.Version = known + 1
		return true
	})
}

// toListed converts an endpoint to an entry of the engine's lists.
func toListed(name string, e *resource.Endpoint) engine.ListedBackend {
	b := engine.ListedBackend{ID: name, Addr: e.Address, Zone: e.Zone, Kind: e.Class, Cell: int64(e.Cell), State: membership.Draining,
		StartedMS: int64(e.StartedMS)}
	if e.State == resource.EndpointReady {
		b.State = membership.Ready
	}
	return b
}

// shareChanges returns the changes of the tenants' shares in this node that follow from changes of their quotas: each of the nodes
// has an equal share. Tenants in previous that changes do not name are removed.
func shareChanges(service string, changes []resource.Change, nodes int, previous map[string]float64) (out []admission.ShareChange) {
	present := map[string]bool{}
	for i := range changes {
		c := &changes[i]
		key := c.Resource.Key
		if key.Service != service || key.Kind != resource.KindTenant {
			continue
		}
		present[key.Name] = true
		change := admission.ShareChange{Tenant: key.Name, Removed: c.Deleted}
		if !c.Deleted {
			change.Share = c.Resource.Tenant.Quota / float64(max(1, nodes))
		}
		out = append(out, change)
	}
	for tenant := range previous {
		if !present[tenant] {
			out = append(out, admission.ShareChange{Tenant: tenant, Removed: true})
		}
	}
	return out
}
