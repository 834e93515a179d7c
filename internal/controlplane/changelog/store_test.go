package changelog

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/resource"
)

const region = "north"

var allServices = Filter{All: true}

func serviceResource(name string) resource.Resource {
	return resource.Resource{Key: resource.Key{Service: name, Kind: resource.KindService, Name: name},
		Service: &resource.Service{Region: region, MaxAttempts: 3}}
}

func tenantResource(service, name string, quota float64) resource.Resource {
	return resource.Resource{Key: resource.Key{Service: service, Kind: resource.KindTenant, Name: name}, Tenant: &resource.Tenant{Quota: quota}}
}

func setChanges(all ...resource.Resource) []resource.Change {
	changes := make([]resource.Change, len(all))
	for i, r := range all {
		changes[i].Resource = r
	}
	return changes
}

func deletion(key resource.Key) resource.Change {
	return resource.Change{Resource: resource.Resource{Key: key}, Deleted: true}
}

func mustAppend(t testing.TB, s *Store, epoch uint64, changes ...resource.Change) resource.Transaction {
	t.Helper()
	transaction, err := s.Append(epoch, changes)
	if err != nil {
		t.Fatal(err)
	}
	return transaction
}

// state is all that callers can observe of a store.
type state struct {
	position resource.Position
	count    int
	digest   message.Digest
	all      []resource.Resource
}

func stateOf(s *Store) state {
	return state{s.Position(), s.Len(), s.Digest(allServices), s.Snapshot(allServices)}
}

// mustRefuse checks that an operation fails with the error and leaves the store unchanged.
func mustRefuse(t *testing.T, s *Store, want error, operation func() error) {
	t.Helper()
	before := stateOf(s)
	err := operation()
	if !errors.Is(err, want) || strings.Contains(err.Error(), "\n") {
		t.Errorf("got %v, want %v", err, want)
	}
	if !reflect.DeepEqual(stateOf(s), before) {
		t.Errorf("%v changed the store", err)
	}
}

// mustRefuseWithText is mustRefuse for the complete text of an error.
func mustRefuseWithText(t *testing.T, s *Store, want string, operation func() error) {
	t.Helper()
	before := stateOf(s)
	if err := operation(); err == nil || err.Error() != want {
		t.Errorf("got  %v\nwant %s", err, want)
	}
	if !reflect.DeepEqual(stateOf(s), before) {
		t.Errorf("a refused change, %s, changed the store", want)
	}
}

func TestAppendNumbersTransactions(t *testing.T) {
	s := NewStore(region, Limits{})
	for i, epoch := range []uint64{3, 3, 7} {
		got := mustAppend(t, s, epoch, setChanges(serviceResource("cart"))...)
		if want := (resource.Position{Epoch: epoch, Version: uint64(i + 1)}); got.Position != want || s.Position() != want {
			t.Errorf("%s, the store at %s, want %s", got.Position, s.Position(), want)
		}
	}
	if s.Len() != 1 {
		t.Errorf("%d resources", s.Len())
	}
}

func TestOlderEpochIsFenced(t *testing.T) {
	s := NewStore(region, Limits{})
	mustAppend(t, s, 5, setChanges(serviceResource("cart"))...)
	at := s.Position()
	late := resource.Transaction{Position: resource.Position{Epoch: 4, Version: 2}, Changes: setChanges(serviceResource("late"))}
	mustRefuse(t, s, ErrFenced, func() error { _, err := s.Append(4, late.Changes); return err })
	mustRefuse(t, s, ErrFenced, func() error { _, err := s.Append(0, late.Changes); return err })
	mustRefuse(t, s, ErrFenced, func() error { return s.Apply(late, at) })
	mustRefuse(t, s, ErrFenced, func() error { return s.Replace(late.Position, []resource.Resource{serviceResource("late")}) })
}

func TestApplyRejectsGapsAndDuplicates(t *testing.T) {
	writer, replica := NewStore(region, Limits{}), NewStore(region, Limits{})
	start := replica.Position()
	first := mustAppend(t, writer, 1, setChanges(serviceResource("cart"))...)
	second := mustAppend(t, writer, 1, setChanges(tenantResource("cart", "a", 1))...)
	third := mustAppend(t, writer, 2, setChanges(tenantResource("cart", "a", 2))...)

	mustRefuse(t, replica, ErrGap, func() error { return replica.Apply(second, first.Position) })
	if err := replica.Apply(first, start); err != nil {
		t.Fatal(err)
	}
	mustRefuse(t, replica, ErrNotNewer, func() error { return replica.Apply(first, start) }) // duplicate
	mustRefuse(t, replica, ErrGap, func() error { return replica.Apply(third, second.Position) })
	if err := replica.Apply(second, first.Position); err != nil {
		t.Fatal(err)
	}
	mustRefuse(t, replica, ErrNotNewer, func() error { return replica.Apply(first, start) }) // late
	backwards := resource.Transaction{Position: resource.Position{Epoch: 2, Version: 2}}
	mustRefuse(t, replica, ErrNotNewer, func() error { return replica.Apply(backwards, second.Position) })
	if err := replica.Apply(third, second.Position); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(stateOf(replica), stateOf(writer)) {
		t.Error("the replica differs from the writer's store")
	}
}

func TestReplaceIsAtomic(t *testing.T) {
	s := NewStore(region, Limits{})
	mustAppend(t, s, 1, setChanges(serviceResource("cart"), tenantResource("cart", "a", 1))...)
	mustAppend(t, s, 1, setChanges(tenantResource("cart", "b", 1))...)
	at := s.Position()
	later := resource.Position{Epoch: 1, Version: 9}

	mustRefuse(t, s, ErrNotNewer, func() error { return s.Replace(resource.Position{Epoch: 1, Version: 1}, nil) })
	mustRefuseWithText(t, s, `tenant "a" of service "search": service: not in the log; set it in the same transaction or before`,
		func() error {
			return s.Replace(later, []resource.Resource{serviceResource("cart"), tenantResource("search", "a", 1)})
		})
	mustRefuseWithText(t, s, `service "cart": name: twice in one snapshot; each resource once`,
		func() error {
			return s.Replace(later, []resource.Resource{serviceResource("cart"), serviceResource("cart")})
		})
	mustRefuseWithText(t, s, `tenant "a" of service "cart": quota: -1 requests a second; a finite number, not negative`,
		func() error {
			return s.Replace(later, []resource.Resource{serviceResource("cart"), tenantResource("cart", "a", -1)})
		})

	if err := s.Replace(later, []resource.Resource{serviceResource("search"), tenantResource("search", "z", 2)}); err != nil {
		t.Fatal(err)
	}
	if _, found := s.Get(serviceResource("cart").Key); found || s.Len() != 2 || s.Position() != later {
		t.Errorf("%d resources at %s, the old ones remain: %t", s.Len(), s.Position(), found)
	}
	if _, ok := s.Changes(allServices, at); ok {
		t.Error("history reaches back to before the snapshot")
	}
	// A snapshot of the same position repairs a replica; a restored log continues in a new epoch with lower versions.
	if err := s.Replace(later, []resource.Resource{serviceResource("search")}); err != nil || s.Len() != 1 {
		t.Errorf("%d resources, %v", s.Len(), err)
	}
	if err := s.Replace(resource.Position{Epoch: 2, Version: 3}, nil); err != nil || s.Len() != 0 || s.Digest(allServices) != 0 {
		t.Errorf("%d resources, %v", s.Len(), err)
	}
}

func TestResourcesRequireTheirService(t *testing.T) {
	s := NewStore(region, Limits{})
	appending := func(changes ...resource.Change) func() error {
		return func() error { _, err := s.Append(1, changes); return err }
	}
	mustRefuseWithText(t, s, `tenant "a" of service "cart": service: not in the log; set it in the same transaction or before`,
		appending(setChanges(tenantResource("cart", "a", 1))...))
	mustAppend(t, s, 1, setChanges(tenantResource("cart", "a", 1), serviceResource("cart"))...)
	mustRefuseWithText(t, s, `service "cart": name: deleted, and 1 of its resources stay; delete these in the same transaction`,
		appending(deletion(serviceResource("cart").Key)))
	mustRefuseWithText(t, s, `tenant "b" of service "cart": service: not in the log; set it in the same transaction or before`,
		appending(deletion(serviceResource("cart").Key), deletion(tenantResource("cart", "a", 1).Key), setChanges(tenantResource("cart", "b", 1))[0]))
	elsewhere := serviceResource("search")
	elsewhere.Service = &resource.Service{Region: "south", MaxAttempts: 1}
	mustRefuseWithText(t, s, `service "search": region: "south", and this is the log of "north"; only the log of its home region changes a service`,
		appending(setChanges(elsewhere)...))
	mustRefuseWithText(t, s, `tenant "b" of service "cart": quota: -1 requests a second; a finite number, not negative`,
		appending(setChanges(tenantResource("cart", "c", 1), tenantResource("cart", "b", -1))...))

	mustAppend(t, s, 1, deletion(tenantResource("cart", "a", 1).Key), deletion(serviceResource("cart").Key), deletion(serviceResource("never").Key))
	if s.Len() != 0 || s.Digest(allServices) != 0 {
		t.Errorf("%d resources, digest %x", s.Len(), s.Digest(allServices))
	}
}

func TestChangesHoldEachKeyOnce(t *testing.T) {
	s := NewStore(region, Limits{})
	start := s.Position()
	mustAppend(t, s, 1, setChanges(serviceResource("cart"), serviceResource("search"), tenantResource("cart", "a", 1))...)
	from := s.Position()
	mustAppend(t, s, 1, setChanges(tenantResource("cart", "a", 2), tenantResource("cart", "b", 1))...)
	mustAppend(t, s, 1, deletion(tenantResource("cart", "b", 1).Key))
	mustAppend(t, s, 1, setChanges(tenantResource("cart", "a", 3), tenantResource("search", "c", 1))...)

	wantCart := []resource.Change{{Resource: tenantResource("cart", "a", 3)}, deletion(tenantResource("cart", "b", 1).Key)}
	wantSearch := resource.Change{Resource: tenantResource("search", "c", 1)}
	for _, c := range []struct {
		filter Filter
		want   []resource.Change
	}{
		{Filter{Services: []string{"cart"}}, wantCart},
		{Filter{Services: []string{"absent", "cart", "cart", "search"}}, append(slices.Clone(wantCart), wantSearch)},
		{allServices, append(slices.Clone(wantCart), wantSearch)},
		{Filter{}, nil},
		{Filter{Services: []string{"absent"}}, nil},
	} {
		if got, ok := s.Changes(c.filter, from); !ok || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%v: %v %+v", c.filter, ok, got)
		}
	}
	if got, ok := s.Changes(allServices, s.Position()); !ok || got != nil {
		t.Errorf("at the position: %v %+v", ok, got)
	}
	if got, ok := s.Changes(allServices, start); !ok || len(got) != 5 {
		t.Errorf("from the start: %v %+v", ok, got)
	}
	for _, unknown := range []resource.Position{{Epoch: 1, Version: 9}, {Epoch: 2, Version: 2}, {Epoch: 9, Version: 9}, {Epoch: 0, Version: 1}} {
		if _, ok := s.Changes(allServices, unknown); ok {
			t.Errorf("changes from %s, which was never a position of the log", unknown)
		}
	}
}

// A replica that received several transactions as one delta must still serve subscribers at positions between them if the
// delta is within one epoch.
func TestDeltaFromPositionWithinASpan(t *testing.T) {
	writer, relay := NewStore(region, Limits{}), NewStore(region, Limits{})
	positions := []resource.Position{writer.Position()}
	for i, epoch := range []uint64{1, 1, 1, 1, 2} {
		mustAppend(t, writer, epoch, setChanges(serviceResource("cart"), tenantResource("cart", fmt.Sprint(i), 1))...)
		positions = append(positions, writer.Position())
	}
	applyUpTo := func(to int) {
		changes, _ := writer.Changes(allServices, relay.Position())
		if err := relay.Apply(resource.Transaction{Position: positions[to], Changes: changes}, relay.Position()); err != nil {
			t.Fatal(err)
		}
	}
	early := NewStore(region, Limits{})
	mustAppend(t, early, 1, setChanges(serviceResource("cart"), tenantResource("cart", "0", 1))...)
	changes, _ := early.Changes(allServices, resource.Position{})
	if err := relay.Apply(resource.Transaction{Position: positions[1], Changes: changes}, resource.Position{}); err != nil {
		t.Fatal(err)
	}
	applyUpTo(5)
	for i, want := range []bool{true, true, false, false, false, true} {
		if _, ok := relay.Changes(allServices, positions[i]); ok != want {
			t.Errorf("from %s: %t, across a change of epoch", positions[i], ok)
		}
	}

	oneEpoch := NewStore(region, Limits{})
	if err := oneEpoch.Replace(positions[1], early.Snapshot(allServices)); err != nil {
		t.Fatal(err)
	}
	later := resource.Transaction{Position: positions[4], Changes: setChanges(tenantResource("cart", "1", 1), tenantResource("cart", "2", 1), tenantResource("cart", "3", 1))}
	if err := oneEpoch.Apply(later, positions[1]); err != nil {
		t.Fatal(err)
	}
	for i, want := range []bool{false, true, true, true, true, false} {
		if _, ok := oneEpoch.Changes(allServices, positions[i]); ok != want {
			t.Errorf("from %s: %t, within one epoch", positions[i], ok)
		}
	}
}

func TestHistoryIsBounded(t *testing.T) {
	for name, limits := range map[string]Limits{"by transactions": {Transactions: 4}, "by bytes": {Bytes: 4 * (spanBytes + recentChangeBytes + 4)}} {
		s := NewStore(region, limits)
		mustAppend(t, s, 1, setChanges(serviceResource("cart"))...)
		var positions []resource.Position
		for i := range 100 {
			positions = append(positions, s.Position())
			mustAppend(t, s, 1, setChanges(tenantResource("cart", fmt.Sprintf("t%03d", i), 1))...)
		}
		for i, from := range positions {
			if _, ok := s.Changes(allServices, from); ok != (i >= 96) {
				t.Errorf("%s: from %s of %s: %t", name, from, s.Position(), ok)
			}
		}
		if spans, recent := len(s.history.spans), len(s.services["cart"].recentChanges); spans != 4 || recent != 4 {
			t.Errorf("%s: %d spans and %d changes kept", name, spans, recent)
		}
	}
}

// A deleted service must not use memory once its deletion has left the history.
func TestDeletedServicesAreEvicted(t *testing.T) {
	s := NewStore(region, Limits{Transactions: 3})
	for i := range 50 {
		name := fmt.Sprint("s", i)
		mustAppend(t, s, 1, setChanges(serviceResource(name))...)
		mustAppend(t, s, 1, deletion(serviceResource(name).Key))
	}
	if len(s.services) > 3 {
		t.Errorf("%d services kept: %v", len(s.services), slices.Sorted(maps.Keys(s.services)))
	}
}

func TestTransactionLargerThanHistory(t *testing.T) {
	s := NewStore(region, Limits{Bytes: 10})
	start := s.Position()
	mustAppend(t, s, 1, setChanges(serviceResource("cart"))...)
	if _, ok := s.Changes(allServices, start); ok || s.history.bytes != 0 {
		t.Errorf("%t, %d bytes kept", ok, s.history.bytes)
	}
	if _, ok := s.Changes(allServices, s.Position()); !ok {
		t.Error("nothing changed since the position itself")
	}
}

func TestAppendCopiesChanges(t *testing.T) {
	s := NewStore(region, Limits{})
	changes := setChanges(serviceResource("cart"))
	got := mustAppend(t, s, 1, changes...)
	changes[0] = deletion(serviceResource("other").Key)
	if got.Changes[0].Deleted || s.Len() != 1 {
		t.Error("the transaction shares its changes with the caller")
	}
}

func TestFilterContains(t *testing.T) {
	filter := Filter{Services: []string{"a", "c"}}
	for name, want := range map[string]bool{"a": true, "b": false, "c": true, "d": false} {
		if filter.Contains(name) != want || !allServices.Contains(name) {
			t.Errorf("%q: %t", name, filter.Contains(name))
		}
	}
}
