package changelog

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/resource"
)

// model is a reference implementation of a log: it keeps the complete state at each position.
type model struct {
	positions []resource.Position
	states    []map[resource.Key]resource.Resource
}

func newModel() *model {
	return &model{[]resource.Position{{}}, []map[resource.Key]resource.Resource{{}}}
}

func (m *model) last() map[resource.Key]resource.Resource { return m.states[len(m.states)-1] }

func (m *model) apply(t resource.Transaction) {
	next := maps.Clone(m.last())
	for _, c := range t.Changes {
		if c.Deleted {
			delete(next, c.Resource.Key)
		} else {
			next[c.Resource.Key] = c.Resource
		}
	}
	m.positions, m.states = append(m.positions, t.Position), append(m.states, next)
}

// snapshot returns the resources of a state that a filter covers, sorted by kind and key.
func snapshot(state map[resource.Key]resource.Resource, f Filter) []resource.Resource {
	all := []resource.Resource{}
	for key, r := range state {
		if f.All || slices.Contains(f.Services, key.Service) {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b resource.Resource) int {
		return cmp.Or(cmp.Compare(a.Key.Kind, b.Key.Kind), a.Key.Compare(b.Key))
	})
	return all
}

var serviceNames = []string{"cart", "pay", "search"}

// drawTransaction draws changes that create and delete each service's own resource together with its other resources.
func drawTransaction(t *rapid.T, state map[resource.Key]resource.Resource) []resource.Change {
	var changes []resource.Change
	for _, name := range serviceNames {
		serviceKey := resource.Key{Service: name, Kind: resource.KindService, Name: name}
		_, present := state[serviceKey]
		switch action := rapid.IntRange(0, 5).Draw(t, "action"); {
		case action == 0 && present:
			for key := range state {
				if key.Service == name {
					changes = append(changes, deletion(key))
				}
			}
		case action <= 3:
			if !present || action == 1 {
				changes = append(changes, resource.Change{Resource: serviceResource(name)})
			}
			for i := range 4 {
				if c, ok := drawChange(t, name, i); ok {
					changes = append(changes, c)
				}
			}
		}
	}
	if len(changes) == 0 {
		changes = append(changes, resource.Change{Resource: serviceResource(serviceNames[0])})
	}
	slices.SortFunc(changes, func(a, b resource.Change) int { return a.Resource.Key.Compare(b.Resource.Key) })
	return changes
}

func drawChange(t *rapid.T, service string, index int) (resource.Change, bool) {
	name := fmt.Sprint("r", index/2)
	kind := []resource.Kind{resource.KindTenant, resource.KindEndpoint}[index%2]
	key := resource.Key{Service: service, Kind: kind, Name: name}
	switch value := rapid.IntRange(-2, 3).Draw(t, "value"); {
	case value == -2:
		return resource.Change{}, false
	case value == -1:
		return deletion(key), true
	case kind == resource.KindTenant:
		return resource.Change{Resource: tenantResource(service, name, float64(value))}, true
	default:
		return resource.Change{Resource: resource.Resource{Key: key, Endpoint: &resource.Endpoint{Address: "127.0.0.1:80", Zone: "a",
			State: resource.EndpointReady, Cell: uint64(value)}}}, true
	}
}

func drawFilter(t *rapid.T) Filter {
	if rapid.Bool().Draw(t, "all") {
		return allServices
	}
	services := rapid.SliceOfDistinct(rapid.SampledFrom(append([]string{"absent"}, serviceNames...)), rapid.ID).Draw(t, "services")
	slices.Sort(services)
	return Filter{Services: services}
}

// replica is a store that follows another by deltas, or by a snapshot if the parent's history doesn't reach back.
type replica struct {
	store  *Store
	parent *Store
	filter Filter
}

func (r *replica) follow(t *rapid.T) (delta bool) {
	from := r.store.Position()
	if from.Compare(r.parent.Position()) >= 0 {
		return true
	}
	changes, ok := r.parent.Changes(r.filter, from)
	if !ok {
		if err := r.store.Replace(r.parent.Position(), r.parent.Snapshot(r.filter)); err != nil {
			t.Fatal(err)
		}
		return false
	}
	for i := range changes[min(1, len(changes)):] {
		if changes[i].Resource.Key.Compare(changes[i+1].Resource.Key) >= 0 {
			t.Fatalf("changes out of order: %+v", changes)
		}
	}
	if err := r.store.Apply(resource.Transaction{Position: r.parent.Position(), Changes: changes}, from); err != nil {
		t.Fatal(err)
	}
	return true
}

func checkAgainstModel(t *rapid.T, s *Store, m *model, subscribed, queried Filter) {
	at := slices.Index(m.positions, s.Position())
	if at < 0 {
		t.Fatalf("the store is at %s, which was never a position of the log", s.Position())
	}
	want := snapshot(m.states[at], subscribed)
	if s.Len() != len(want) {
		t.Fatalf("%d resources, want %d", s.Len(), len(want))
	}
	if got := s.Snapshot(allServices); !reflect.DeepEqual(got, want) {
		t.Fatalf("at %s\ngot  %+v\nwant %+v", s.Position(), got, want)
	}
	if s.Digest(allServices) != message.DigestOf(want) {
		t.Fatalf("at %s: digest of all", s.Position())
	}
	if !subscribed.All {
		return
	}
	wantQueried := snapshot(m.states[at], queried)
	if got := s.Snapshot(queried); !reflect.DeepEqual(got, wantQueried) || s.Digest(queried) != message.DigestOf(wantQueried) {
		t.Fatalf("at %s, %v\ngot  %+v\nwant %+v", s.Position(), queried, got, wantQueried)
	}
}

// A writer's store, and replicas that follow it or each other with any filter and at any time, must have the resources and
// the digest that the reference model has at the same position.
func TestStoresMatchReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Transactions: rapid.IntRange(1, 8).Draw(t, "transactions"), Bytes: rapid.SampledFrom([]int{500, 1 << 20}).Draw(t, "bytes")}
		m, writer := newModel(), NewStore(region, limits)
		relay := &replica{NewStore(region, limits), writer, allServices}
		replicas := []*replica{relay}
		for range 3 {
			parent := rapid.SampledFrom([]*Store{writer, relay.store}).Draw(t, "parent")
			replicas = append(replicas, &replica{NewStore(region, limits), parent, drawFilter(t)})
		}
		epoch := uint64(1)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.IntRange(0, 2).Draw(t, "what") > 0 {
				epoch += uint64(rapid.IntRange(0, 4).Draw(t, "epoch") / 4)
				m.apply(mustAppendIn(t, writer, epoch, drawTransaction(t, m.last())))
			} else {
				follower := rapid.SampledFrom(replicas).Draw(t, "follower")
				if rapid.Bool().Draw(t, "turns to the writer") {
					follower.parent = writer
				}
				follower.follow(t)
				checkAgainstModel(t, follower.store, m, follower.filter, drawFilter(t))
			}
			checkAgainstModel(t, writer, m, allServices, drawFilter(t))
		}
	})
}

func mustAppendIn(t *rapid.T, s *Store, epoch uint64, changes []resource.Change) resource.Transaction {
	transaction, err := s.Append(epoch, changes)
	if err != nil {
		t.Fatal(err)
	}
	return transaction
}

// From each position that the history covers, a delta must lead to the state of a snapshot; the history covers the number
// of transactions that the limits set.
func TestDeltaFromAnyPosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 12).Draw(t, "transactions")
		m, writer := newModel(), NewStore(region, Limits{Transactions: limit})
		for epoch := range rapid.SliceOfN(rapid.Bool(), 1, 15).Draw(t, "transactions made") {
			m.apply(mustAppendIn(t, writer, uint64(epoch/3+1), drawTransaction(t, m.last())))
		}
		f := drawFilter(t)
		for i, from := range m.positions {
			store := NewStore(region, Limits{})
			if err := store.Replace(from, snapshot(m.states[i], f)); err != nil {
				t.Fatal(err)
			}
			behind := len(m.positions) - 1 - i
			delta := (&replica{store, writer, f}).follow(t)
			if delta != (behind <= limit) {
				t.Fatalf("%d transactions behind with a history of %d: delta %t", behind, limit, delta)
			}
			checkAgainstModel(t, store, m, f, f)
		}
	})
}
