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

var everything = Filter{All: true}

func serviceResource(name string) resource.Resource {
	return resource.Resource{Key: resource.Key{Service: name, Kind: resource.KindService, Name: name},
		Service: &resource.Service{Region: region, MaxAttempts: 3}}
}

func tenantResource(service, name string, quota float64) resource.Resource {
	return resource.Resource{Key: resource.Key{Service: service, Kind: resource.KindTenant, Name: name}, Tenant: &resource.Tenant{Quota: quota}}
}

func set(all ...resource.Resource) []resource.Change {
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

// state is all that can be seen of a store.
type state struct {
	position resource.Position
	count    int
	digest   message.Digest
	all      []resource.Resource
}

func stateOf(s *Store) state {
	return state{s.Position(), s.Len(), s.Digest(everything), s.Snapshot(everything)}
}

// refused checks that an operation fails for one reason and leaves the store as it was.
func refused(t *testing.T, s *Store, want error, operation func() error) {
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

func refusedLine(t *testing.T, s *Store, want string, operation func() error) {
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
		got := mustAppend(t, s, epoch, set(serviceResource("cart"))...)
		if want := (resource.Position{Epoch: epoch, Version: uint64(i + 1)}); got.Position != want || s.Position() != want {
			t.Errorf("%s, the store at %s, want %s", got.Position, s.Position(), want)
		}
	}
	if s.Len() != 1 {
		t.Errorf("%d resources", s.Len())
	}
}

func TestAnOlderEpochIsFenced(t *testing.T) {
	s := NewStore(region, Limits{})
	mustAppend(t, s, 5, set(serviceResource("cart"))...)
	at := s.Position()
	late := resource.Transaction{Position: resource.Position{Epoch: 4, Version: 2}, Changes: set(serviceResource("late"))}
	refused(t, s, ErrFenced, func() error { _, err := s.Append(4, late.Changes); return err })
	refused(t, s, ErrFenced, func() error { _, err := s.Append(0, late.Changes); return err })
	refused(t, s, ErrFenced, func() error { return s.Apply(late, at) })
	refused(t, s, ErrFenced, func() error { return s.Replace(late.Position, []resource.Resource{serviceResource("late")}) })
}

func TestApplyTakesWhatFollowsOnly(t *testing.T) {
	writer, replica := NewStore(region, Limits{}), NewStore(region, Limits{})
	start := replica.Position()
	first := mustAppend(t, writer, 1, set(serviceResource("cart"))...)
	second := mustAppend(t, writer, 1, set(tenantResource("cart", "a", 1))...)
	third := mustAppend(t, writer, 2, set(tenantResource("cart", "a", 2))...)

	refused(t, replica, ErrGap, func() error { return replica.Apply(second, first.Position) })
	if err := replica.Apply(first, start); err != nil {
		t.Fatal(err)
	}
	refused(t, replica, ErrBehind, func() error { return replica.Apply(first, start) }) // doubled
	refused(t, replica, ErrGap, func() error { return replica.Apply(third, second.Position) })
	if err := replica.Apply(second, first.Position); err != nil {
		t.Fatal(err)
	}
	refused(t, replica, ErrBehind, func() error { return replica.Apply(first, start) }) // late
	backwards := resource.Transaction{Position: resource.Position{Epoch: 2, Version: 2}}
	refused(t, replica, ErrBehind, func() error { return replica.Apply(backwards, second.Position) })
	if err := replica.Apply(third, second.Position); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(stateOf(replica), stateOf(writer)) {
		t.Error("the replica differs from the writer's store")
	}
}

func TestReplaceTakesASnapshotWhole(t *testing.T) {
	s := NewStore(region, Limits{})
	mustAppend(t, s, 1, set(serviceResource("cart"), tenantResource("cart", "a", 1))...)
	mustAppend(t, s, 1, set(tenantResource("cart", "b", 1))...)
	at := s.Position()
	later := resource.Position{Epoch: 1, Version: 9}

	refused(t, s, ErrBehind, func() error { return s.Replace(resource.Position{Epoch: 1, Version: 1}, nil) })
	refusedLine(t, s, `tenant "a" of service "search": service: not in the log; set it in the same transaction or before`,
		func() error {
			return s.Replace(later, []resource.Resource{serviceResource("cart"), tenantResource("search", "a", 1)})
		})
	refusedLine(t, s, `service "cart": name: twice in one snapshot; each resource once`,
		func() error {
			return s.Replace(later, []resource.Resource{serviceResource("cart"), serviceResource("cart")})
		})
	refusedLine(t, s, `tenant "a" of service "cart": quota: -1 requests a second; a finite number, not negative`,
		func() error {
			return s.Replace(later, []resource.Resource{serviceResource("cart"), tenantResource("cart", "a", -1)})
		})

	if err := s.Replace(later, []resource.Resource{serviceResource("search"), tenantResource("search", "z", 2)}); err != nil {
		t.Fatal(err)
	}
	if _, stays := s.Get(serviceResource("cart").Key); stays || s.Len() != 2 || s.Position() != later {
		t.Errorf("%d resources at %s, the old ones stay: %t", s.Len(), s.Position(), stays)
	}
	if _, ok := s.Changes(everything, at); ok {
		t.Error("history reaches back behind the snapshot")
	}
	// The same position again mends a replica; a log that was restored goes on in a new epoch with lower versions.
	if err := s.Replace(later, []resource.Resource{serviceResource("search")}); err != nil || s.Len() != 1 {
		t.Errorf("%d resources, %v", s.Len(), err)
	}
	if err := s.Replace(resource.Position{Epoch: 2, Version: 3}, nil); err != nil || s.Len() != 0 || s.Digest(everything) != 0 {
		t.Errorf("%d resources, %v", s.Len(), err)
	}
}

func TestServicesAndTheirResources(t *testing.T) {
	s := NewStore(region, Limits{})
	appending := func(changes ...resource.Change) func() error {
		return func() error { _, err := s.Append(1, changes); return err }
	}
	refusedLine(t, s, `tenant "a" of service "cart": service: not in the log; set it in the same transaction or before`,
		appending(set(tenantResource("cart", "a", 1))...))
	mustAppend(t, s, 1, set(tenantResource("cart", "a", 1), serviceResource("cart"))...)
	refusedLine(t, s, `service "cart": name: deleted, and 1 of its resources stay; delete these in the same transaction`,
		appending(deletion(serviceResource("cart").Key)))
	refusedLine(t, s, `tenant "b" of service "cart": service: not in the log; set it in the same transaction or before`,
		appending(deletion(serviceResource("cart").Key), deletion(tenantResource("cart", "a", 1).Key), set(tenantResource("cart", "b", 1))[0]))
	elsewhere := serviceResource("search")
	elsewhere.Service = &resource.Service{Region: "south", MaxAttempts: 1}
	refusedLine(t, s, `service "search": region: "south", and this is the log of "north"; only the log of its home region changes a service`,
		appending(set(elsewhere)...))
	refusedLine(t, s, `tenant "b" of service "cart": quota: -1 requests a second; a finite number, not negative`,
		appending(set(tenantResource("cart", "c", 1), tenantResource("cart", "b", -1))...))

	mustAppend(t, s, 1, deletion(tenantResource("cart", "a", 1).Key), deletion(serviceResource("cart").Key), deletion(serviceResource("never").Key))
	if s.Len() != 0 || s.Digest(everything) != 0 {
		t.Errorf("%d resources, digest %x", s.Len(), s.Digest(everything))
	}
}

func TestChangesGiveEachKeyOnce(t *testing.T) {
	s := NewStore(region, Limits{})
	start := s.Position()
	mustAppend(t, s, 1, set(serviceResource("cart"), serviceResource("search"), tenantResource("cart", "a", 1))...)
	from := s.Position()
	mustAppend(t, s, 1, set(tenantResource("cart", "a", 2), tenantResource("cart", "b", 1))...)
	mustAppend(t, s, 1, deletion(tenantResource("cart", "b", 1).Key))
	mustAppend(t, s, 1, set(tenantResource("cart", "a", 3), tenantResource("search", "c", 1))...)

	wantCart := []resource.Change{{Resource: tenantResource("cart", "a", 3)}, deletion(tenantResource("cart", "b", 1).Key)}
	wantSearch := resource.Change{Resource: tenantResource("search", "c", 1)}
	for _, c := range []struct {
		filter Filter
		want   []resource.Change
	}{
		{Filter{Services: []string{"cart"}}, wantCart},
		{Filter{Services: []string{"absent", "cart", "cart", "search"}}, append(slices.Clone(wantCart), wantSearch)},
		{everything, append(slices.Clone(wantCart), wantSearch)},
		{Filter{}, nil},
		{Filter{Services: []string{"absent"}}, nil},
	} {
		if got, ok := s.Changes(c.filter, from); !ok || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%v: %v %+v", c.filter, ok, got)
		}
	}
	if got, ok := s.Changes(everything, s.Position()); !ok || got != nil {
		t.Errorf("at the position: %v %+v", ok, got)
	}
	if got, ok := s.Changes(everything, start); !ok || len(got) != 5 {
		t.Errorf("from the start: %v %+v", ok, got)
	}
	for _, never := range []resource.Position{{Epoch: 1, Version: 9}, {Epoch: 2, Version: 2}, {Epoch: 9, Version: 9}, {Epoch: 0, Version: 1}} {
		if _, ok := s.Changes(everything, never); ok {
			t.Errorf("changes from %s, where the log never stood", never)
		}
	}
}

// A replica that took several transactions at once still serves those who stand between them, within one epoch.
func TestPositionsWithinADelta(t *testing.T) {
	writer, relay := NewStore(region, Limits{}), NewStore(region, Limits{})
	positions := []resource.Position{writer.Position()}
	for i, epoch := range []uint64{1, 1, 1, 1, 2} {
		mustAppend(t, writer, epoch, set(serviceResource("cart"), tenantResource("cart", fmt.Sprint(i), 1))...)
		positions = append(positions, writer.Position())
	}
	take := func(to int) {
		changes, _ := writer.Changes(everything, relay.Position())
		if err := relay.Apply(resource.Transaction{Position: positions[to], Changes: changes}, relay.Position()); err != nil {
			t.Fatal(err)
		}
	}
	early := NewStore(region, Limits{})
	mustAppend(t, early, 1, set(serviceResource("cart"), tenantResource("cart", "0", 1))...)
	changes, _ := early.Changes(everything, resource.Position{})
	if err := relay.Apply(resource.Transaction{Position: positions[1], Changes: changes}, resource.Position{}); err != nil {
		t.Fatal(err)
	}
	take(5)
	for i, want := range []bool{true, true, false, false, false, true} {
		if _, ok := relay.Changes(everything, positions[i]); ok != want {
			t.Errorf("from %s: %t, over a change of epochs", positions[i], ok)
		}
	}

	oneEpoch := NewStore(region, Limits{})
	if err := oneEpoch.Replace(positions[1], early.Snapshot(everything)); err != nil {
		t.Fatal(err)
	}
	later := resource.Transaction{Position: positions[4], Changes: set(tenantResource("cart", "1", 1), tenantResource("cart", "2", 1), tenantResource("cart", "3", 1))}
	if err := oneEpoch.Apply(later, positions[1]); err != nil {
		t.Fatal(err)
	}
	for i, want := range []bool{false, true, true, true, true, false} {
		if _, ok := oneEpoch.Changes(everything, positions[i]); ok != want {
			t.Errorf("from %s: %t, within one epoch", positions[i], ok)
		}
	}
}

func TestHistoryIsBounded(t *testing.T) {
	for name, limits := range map[string]Limits{"by transactions": {Transactions: 4}, "by bytes": {Bytes: 4 * (spanBytes + recentChangeBytes + 4)}} {
		s := NewStore(region, limits)
		mustAppend(t, s, 1, set(serviceResource("cart"))...)
		var positions []resource.Position
		for i := range 100 {
			positions = append(positions, s.Position())
			mustAppend(t, s, 1, set(tenantResource("cart", fmt.Sprintf("t%03d", i), 1))...)
		}
		for i, from := range positions {
			if _, ok := s.Changes(everything, from); ok != (i >= 96) {
				t.Errorf("%s: from %s of %s: %t", name, from, s.Position(), ok)
			}
		}
		if spans, recent := len(s.history.spans), len(s.services["cart"].recent); spans != 4 || recent != 4 {
			t.Errorf("%s: %d spans and %d changes kept", name, spans, recent)
		}
	}
}

// A service that is gone costs nothing once history has passed its end.
func TestServicesThatAreGoneAreForgotten(t *testing.T) {
	s := NewStore(region, Limits{Transactions: 3})
	for i := range 50 {
		name := fmt.Sprint("s", i)
		mustAppend(t, s, 1, set(serviceResource(name))...)
		mustAppend(t, s, 1, deletion(serviceResource(name).Key))
	}
	if len(s.services) > 3 {
		t.Errorf("%d services kept: %v", len(s.services), slices.Sorted(maps.Keys(s.services)))
	}
}

func TestATransactionLargerThanHistory(t *testing.T) {
	s := NewStore(region, Limits{Bytes: 10})
	start := s.Position()
	mustAppend(t, s, 1, set(serviceResource("cart"))...)
	if _, ok := s.Changes(everything, start); ok || s.history.bytes != 0 {
		t.Errorf("%t, %d bytes kept", ok, s.history.bytes)
	}
	if _, ok := s.Changes(everything, s.Position()); !ok {
		t.Error("nothing changed since the position itself")
	}
}

func TestWhatWasHandedInMayChange(t *testing.T) {
	s := NewStore(region, Limits{})
	changes := set(serviceResource("cart"))
	got := mustAppend(t, s, 1, changes...)
	changes[0] = deletion(serviceResource("other").Key)
	if got.Changes[0].Deleted || s.Len() != 1 {
		t.Error("the transaction shares its changes with the caller")
	}
}

func TestFilterContains(t *testing.T) {
	few := Filter{Services: []string{"a", "c"}}
	for name, want := range map[string]bool{"a": true, "b": false, "c": true, "d": false} {
		if few.Contains(name) != want || !everything.Contains(name) {
			t.Errorf("%q: %t", name, few.Contains(name))
		}
	}
}
