// Package changelog implements a replica of the log of one region: all resources at a position, and a bounded history of
// the latest transactions, so that a subscriber that reconnects receives a delta and not a full snapshot. Resources are
// indexed by service, so that the cost of a subscription grows with its services and not with the log.
//
// The package does no I/O, reads no clock and starts no goroutines. A Store is not safe for concurrent use.
package changelog

import (
	"errors"
	"fmt"
	"slices"

	"github.com/google/btree"

	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/resource"
)

// Errors of Append, Apply and Replace. What they return wraps one of these or is an error of package resource, and the
// store is unchanged.
var (
	ErrFenced   = errors.New("epoch is older than the log's") // from a deposed writer
	ErrGap      = errors.New("does not follow the log's position")
	ErrNotNewer = errors.New("not after the log's position") // duplicate, late, or from a log restored to an earlier position
)

// Limits bounds the history of a store. Zero fields mean the defaults.
type Limits struct {
	Transactions int // max entries; a delta applied to a replica counts as one
	Bytes        int // max memory, approximate
}

// The defaults of Limits hold about one day of a large fleet's changes.
const (
	DefaultTransactions = 32768
	DefaultBytes        = 16 << 20
)

func (l Limits) withDefaults() Limits {
	if l.Transactions == 0 {
		l.Transactions = DefaultTransactions
	}
	if l.Bytes == 0 {
		l.Bytes = DefaultBytes
	}
	return l
}

// Filter selects the services that a subscription covers.
type Filter struct {
	All      bool     // every service
	Services []string // sorted; ignored if All is set
}

// Contains reports whether the filter covers the service.
func (f Filter) Contains(service string) bool {
	if f.All {
		return true
	}
	_, found := slices.BinarySearch(f.Services, service)
	return found
}

// Store is one replica of the log of one region.
type Store struct {
	region   string
	position resource.Position
	services map[string]*service
	count    int            // resources
	digest   message.Digest // of all resources
	history  history
	freeList *btree.FreeListG[item] // shared by the trees of all services
}

// NewStore returns a replica of an empty log.
func NewStore(region string, limits Limits) *Store {
	return &Store{
		region:   region,
		services: make(map[string]*service),
		history:  history{limits: limits.withDefaults()},
		freeList: btree.NewFreeListG[item](btree.DefaultFreeListSize),
	}
}

// Region returns the region of the log.
func (s *Store) Region() string { return s.region }

// Position returns the position of the latest transaction.
func (s *Store) Position() resource.Position { return s.position }

// Len returns the number of resources.
func (s *Store) Len() int { return s.count }

// Get returns the resource with the key and whether it exists.
func (s *Store) Get(key resource.Key) (resource.Resource, bool) {
	found, ok := s.services[key.Service]
	if !ok {
		return resource.Resource{}, false
	}
	return found.get(key.Kind, key.Name)
}

// Append atomically adds a transaction to the writer's own log and increases the version by one. Errors are ErrFenced, and
// those of resource.ValidateChanges.
func (s *Store) Append(epoch uint64, changes []resource.Change) (resource.Transaction, error) {
	if epoch == 0 || epoch < s.position.Epoch {
		return resource.Transaction{}, fmt.Errorf("log of %q: append in epoch %d: %w, %d", s.region, epoch, ErrFenced, s.position.Epoch)
	}
	if err := resource.ValidateChanges(changes); err != nil {
		return resource.Transaction{}, err
	}
	if err := s.checkServices(changes); err != nil {
		return resource.Transaction{}, err
	}
	t := resource.Transaction{
		Position: resource.Position{Epoch: epoch, Version: s.position.Version + 1},
		Changes:  slices.Clone(changes),
	}
	s.commit(t)
	return t, nil
}

// Apply atomically applies to a replica the changes after the position from up to t.Position. Errors are ErrGap if the
// replica is not at from and lacks changes in between, ErrNotNewer if it already is at t.Position or later, ErrFenced for
// changes of an older epoch, and those of resource.ValidateEach.
func (s *Store) Apply(t resource.Transaction, from resource.Position) error {
	if err := s.checkDeltaPositions(t.Position, from); err != nil {
		return fmt.Errorf("log of %q at %s: changes from %s to %s: %w", s.region, s.position, from, t.Position, err)
	}
	if err := resource.ValidateEach(t.Changes); err != nil {
		return err
	}
	if err := s.checkServices(t.Changes); err != nil {
		return err
	}
	s.commit(t)
	return nil
}

// checkDeltaPositions checks that a delta between two positions continues the log at the store's position.
func (s *Store) checkDeltaPositions(to, from resource.Position) error {
	switch {
	case to.Epoch < s.position.Epoch:
		return ErrFenced
	case to.Compare(s.position) <= 0 || to.Version <= from.Version:
		return ErrNotNewer
	case from != s.position:
		return ErrGap
	}
	return nil
}

// commit applies a checked transaction to the state and adds it to the history.
func (s *Store) commit(t resource.Transaction) {
	changedServices := make([]*service, 0, min(len(t.Changes), 16))
	for i := range t.Changes {
		svc := s.applyChange(&t.Changes[i])
		if svc.recordChange(t.Position.Version, t.Changes[i].Resource.Key) {
			changedServices = append(changedServices, svc)
		}
	}
	evicted := s.history.add(span{from: s.position, to: t.Position, services: changedServices, bytes: historyBytes(t.Changes)})
	s.position = t.Position
	for _, old := range evicted {
		s.evictSpan(old)
	}
}

// applyChange applies one change to the state and returns its service.
func (s *Store) applyChange(c *resource.Change) *service {
	key := c.Resource.Key
	svc, ok := s.services[key.Service]
	if !ok {
		svc = newService(key.Service, s.freeList)
		s.services[key.Service] = svc
	}
	before, size := svc.digest, svc.items.Len()
	if c.Deleted {
		svc.remove(key)
	} else {
		svc.put(&c.Resource)
	}
	s.digest += svc.digest - before
	s.count += svc.items.Len() - size
	return svc
}

// evictSpan removes the changes of a span that left the history from its services, and deletes services without resources
// and changes.
func (s *Store) evictSpan(old span) {
	for _, svc := range old.services {
		svc.dropChangesUpTo(old.to.Version)
		if svc.items.Len() == 0 && len(svc.recentChanges) == 0 {
			delete(s.services, svc.name)
		}
	}
}

// Replace atomically replaces all resources by those of a snapshot and clears the history. A snapshot of the store's own
// position is accepted, so that a replica with a wrong digest can be repaired. Errors are ErrFenced, ErrNotNewer, and those
// of package resource.
func (s *Store) Replace(position resource.Position, all []resource.Resource) error {
	if err := s.checkSnapshotPosition(position); err != nil {
		return fmt.Errorf("log of %q at %s: snapshot of %s: %w", s.region, s.position, position, err)
	}
	fresh := NewStore(s.region, s.history.limits)
	fresh.position = position
	for i := range all {
		if err := all[i].Validate(); err != nil {
			return err
		}
		if err := s.checkRegion(&all[i]); err != nil {
			return err
		}
		count := fresh.count
		fresh.applyChange(&resource.Change{Resource: all[i]})
		if fresh.count == count {
			return &resource.InvalidError{Key: all[i].Key, Field: "name", Problem: "twice in one snapshot", Want: "each resource once"}
		}
	}
	if err := fresh.checkServicesExist(); err != nil {
		return err
	}
	*s = *fresh
	return nil
}

func (s *Store) checkSnapshotPosition(position resource.Position) error {
	switch {
	case position.Epoch < s.position.Epoch:
		return ErrFenced
	case position.Compare(s.position) < 0:
		return ErrNotNewer
	}
	return nil
}
