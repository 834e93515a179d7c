package node

import (
	"slices"

	"craneglade/internal/admission"
	"craneglade/internal/controlplane/resource"
	"craneglade/internal/engine"
	"craneglade/internal/membership"
	"craneglade/policy"
)

// pieceSize is how many changes are brought into force under one hold of a lock that requests need too. A piece costs the
// engine a walk of all endpoints, whatever its size, so that smaller pieces would cost more in all and hold hardly shorter.
const pieceSize = 128

// endpoints is an engine.Source whose list is that of one service in the control plane. What is asked of it needs no
// answer: its subscriber goes on by itself.
type endpoints struct {
	engine  *engine.Engine
	service string
	told    map[string]engine.Listed // what the engine has, by name
	begun   bool                     // the control plane has told its first list
}

// newEndpoints returns the source of a service's endpoints, for an engine that was told of known at its start.
func newEndpoints(e *engine.Engine, service string, known []engine.Listed) *endpoints {
	s := &endpoints{engine: e, service: service, told: make(map[string]engine.Listed, len(known))}
	for _, b := range known {
		s.told[b.ID] = b
	}
	return s
}

// Watch does nothing: the subscriber is told of each change.
func (s *endpoints) Watch() {}

// Fetch does nothing: the subscriber asks again by itself.
func (s *endpoints) Fetch() {}

// heard tells the engine that the control plane is there, also where nothing is new.
func (s *endpoints) heard() {
	s.engine.News(s, &engine.List{}, policy.ListDelta, func(int64) bool { return false })
}

// apply brings changes into force, in pieces. late says that they may have been told a while ago: a drain among them has no
// grace left.
func (s *endpoints) apply(changes []resource.Change, late bool) {
	for _, piece := range s.pieces(changes) {
		s.tell(piece, late)
	}
}

// pieces are the changes as the engine is told of them. The first ones that name an endpoint are all that there is: what was
// known before and is not among them goes.
func (s *endpoints) pieces(changes []resource.Change) (pieces [][]engine.Listed) {
	ready, withdrawn := s.split(changes)
	if !s.begun && len(ready)+len(withdrawn) > 0 {
		withdrawn = append(withdrawn, s.unlisted(ready, withdrawn)...)
		s.begun = true
	}
	// A few successors go first, so that no moment has no endpoint; then what may not be used any more, which can't wait for
	// all the others.
	first := min(pieceSize, len(ready))
	for _, list := range [][]engine.Listed{ready[:first], withdrawn, ready[first:]} {
		pieces = slices.AppendSeq(pieces, slices.Chunk(list, pieceSize))
	}
	return pieces
}

// split sorts the changes of this service's endpoints into those that may be used, and those that may not.
func (s *endpoints) split(changes []resource.Change) (ready, withdrawn []engine.Listed) {
	for i := range changes {
		c := &changes[i]
		key := c.Resource.Key
		switch {
		case key.Service != s.service || key.Kind != resource.KindEndpoint:
		case c.Deleted:
			gone := s.told[key.Name]
			gone.ID, gone.State = key.Name, membership.Gone
			withdrawn = append(withdrawn, gone)
		default:
			b := listed(key.Name, c.Resource.Endpoint)
			if b.State == membership.Ready {
				ready = append(ready, b)
			} else {
				withdrawn = append(withdrawn, b)
			}
		}
	}
	return ready, withdrawn
}

// unlisted are the endpoints that the engine has and the lists don't, as gone.
func (s *endpoints) unlisted(lists ...[]engine.Listed) (gone []engine.Listed) {
	there := map[string]bool{}
	for _, list := range lists {
		for i := range list {
			there[list[i].ID] = true
		}
	}
	for name, b := range s.told {
		if !there[name] {
			b.State = membership.Gone
			gone = append(gone, b)
		}
	}
	return gone
}

// tell hands one piece to the engine.
func (s *endpoints) tell(piece []engine.Listed, late bool) {
	for _, b := range piece {
		if b.State == membership.Gone {
			delete(s.told, b.ID)
		} else {
			s.told[b.ID] = b
		}
	}
	list := &engine.List{Servers: piece, Late: late}
	s.engine.News(s, list, policy.ListDelta, func(known int64) bool {
		list.Version = known + 1
		return true
	})
}

// listed is an endpoint as the engine's lists have it.
func listed(name string, e *resource.Endpoint) engine.Listed {
	b := engine.Listed{ID: name, Addr: e.Address, Zone: e.Zone, Kind: e.Class, Cell: int64(e.Cell), State: membership.Draining,
		StartedMS: int64(e.StartedMS)}
	if e.State == resource.EndpointReady {
		b.State = membership.Ready
	}
	return b
}

// shareChanges are what changes of a service's tenants make of their shares in this node, which is one of so many. The
// first ones are all that there is: the shares of tenants that had one before and are not among them go.
func shareChanges(service string, changes []resource.Change, nodes int, before map[string]float64) (out []admission.ShareChange) {
	there := map[string]bool{}
	for i := range changes {
		c := &changes[i]
		key := c.Resource.Key
		if key.Service != service || key.Kind != resource.KindTenant {
			continue
		}
		there[key.Name] = true
		change := admission.ShareChange{Tenant: key.Name, Removed: c.Deleted}
		if !c.Deleted {
			change.Share = c.Resource.Tenant.Quota / float64(max(1, nodes))
		}
		out = append(out, change)
	}
	for tenant := range before {
		if !there[tenant] {
			out = append(out, admission.ShareChange{Tenant: tenant, Removed: true})
		}
	}
	return out
}
