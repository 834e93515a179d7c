// Package changelog keeps one replica of the log of one region: all resources at a position, and the latest transactions,
// so that a subscriber that was away is sent what changed and not everything. Resources are indexed by service, so that
// what a subscription to a few services costs grows with these and not with the log.
//
// There is no I/O, clock or goroutine here. A Store belongs to one goroutine at a time.
package changelog

import (
	"errors"
	"fmt"
	"slices"

	"github.com/google/btree"

	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/resource"
)

// Errors of Append, Apply and Replace; what they return wraps one of these or is an error of package resource. The store
// stays as it was.
var (
	ErrFenced = errors.New("epoch is older than the log's") // from a writer that was deposed
	ErrGap    = errors.New("does not follow the log's position")
	ErrBehind = errors.New("not after the log's position") // doubled, late, or from a log that went back
)

// Limits bound the history of a store. Zero fields have the defaults.
type Limits struct {
	Transactions int // that history holds at most
	Bytes        int // that history takes at most, about
}

// The defaults of Limits: about a day of a large fleet's changes.
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

// Filter is what a subscription covers.
type Filter struct {
	All      bool     // every service
	Services []string // sorted; where All is false
}

// Contains reports whether the filter covers a service.
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
	nodes    *btree.FreeListG[item] // shared by the trees of all services
}

// NewStore makes the replica of a log in which nothing was written yet.
func NewStore(region string, limits Limits) *Store {
	return &Store{
		region:   region,
		services: make(map[string]*service),
		history:  history{limits: limits.withDefaults()},
		nodes:    btree.NewFreeListG[item](btree.DefaultFreeListSize),
	}
}

// Region is the region whose log this is.
func (s *Store) Region() string { return s.region }

// Position is that of the latest transaction.
func (s *Store) Position() resource.Position { return s.position }

// Len is the number of resources.
func (s *Store) Len() int { return s.count }

// Get finds a resource.
func (s *Store) Get(key resource.Key) (resource.Resource, bool) {
	found, ok := s.services[key.Service]
	if !ok {
		return resource.Resource{}, false
	}
	return found.get(key.Kind, key.Name)
}

// Append adds a writer's transaction to its own log, whole or not at all. The version grows by one. Errors: ErrFenced, and
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
	s.take(t)
	return t, nil
}

// Apply adds to a replica what changed after position from and up to that of t, whole or not at all. Errors: ErrGap where
// the replica stands elsewhere and needs what lies between, ErrBehind where it already is as far, ErrFenced for what an
// older epoch wrote, and those of resource.ValidateEach.
func (s *Store) Apply(t resource.Transaction, from resource.Position) error {
	if err := s.checkOrder(t.Position, from); err != nil {
		return fmt.Errorf("log of %q at %s: changes from %s to %s: %w", s.region, s.position, from, t.Position, err)
	}
	if err := resource.ValidateEach(t.Changes); err != nil {
		return err
	}
	if err := s.checkServices(t.Changes); err != nil {
		return err
	}
	s.take(t)
	return nil
}

// checkOrder reports whether what goes from one position to another can be taken here.
func (s *Store) checkOrder(to, from resource.Position) error {
	switch {
	case to.Epoch < s.position.Epoch:
		return ErrFenced
	case to.Compare(s.position) <= 0 || to.Version <= from.Version:
		return ErrBehind
	case from != s.position:
		return ErrGap
	}
	return nil
}

// take brings a transaction that was checked into the state and the history.
func (s *Store) take(t resource.Transaction) {
	touched := make([]*service, 0, min(len(t.Changes), 16))
	for i := range t.Changes {
		changed := s.change(&t.Changes[i])
		if changed.noteChange(t.Position.Version, t.Changes[i].Resource.Key) {
			touched = append(touched, changed)
		}
	}
	forgotten := s.history.add(span{from: s.position, to: t.Position, services: touched, bytes: historyBytes(t.Changes)})
	s.position = t.Position
	for _, old := range forgotten {
		s.forget(old)
	}
}

// change brings one change into the state and returns the service that it was about.
func (s *Store) change(c *resource.Change) *service {
	key := c.Resource.Key
	changed, ok := s.services[key.Service]
	if !ok {
		changed = newService(key.Service, s.nodes)
		s.services[key.Service] = changed
	}
	before, size := changed.digest, changed.items.Len()
	if c.Deleted {
		changed.remove(key)
	} else {
		changed.put(&c.Resource)
	}
	s.digest += changed.digest - before
	s.count += changed.items.Len() - size
	return changed
}

// forget drops what services remember of a span that left the history, and services of which nothing is left.
func (s *Store) forget(old span) {
	for _, touched := range old.services {
		touched.forgetChanges(old.to.Version)
		if touched.items.Len() == 0 && len(touched.recent) == 0 {
			delete(s.services, touched.name)
		}
	}
}

// Replace brings the replica to a snapshot, whole or not at all. The history starts anew. The same position again is taken,
// so that a replica whose digest is wrong can be mended. Errors: ErrFenced, ErrBehind, and those of package resource.
func (s *Store) Replace(position resource.Position, all []resource.Resource) error {
	if err := s.checkNotOlder(position); err != nil {
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
		fresh.change(&resource.Change{Resource: all[i]})
		if fresh.count == count {
			return &resource.InvalidError{Key: all[i].Key, Field: "name", Problem: "twice in one snapshot", Want: "each resource once"}
		}
	}
	if err := fresh.checkComplete(); err != nil {
		return err
	}
	*s = *fresh
	return nil
}

func (s *Store) checkNotOlder(position resource.Position) error {
	switch {
	case position.Epoch < s.position.Epoch:
		return ErrFenced
	case position.Compare(s.position) < 0:
		return ErrBehind
	}
	return nil
}
