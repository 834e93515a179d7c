package quorum_test

import (
	"fmt"
	"testing"

	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/quorum"
	"craneglade/internal/controlplane/resource"
)

const region = "north"

// controlProcess is a replica with the store to which its committed entries are applied.
type controlProcess struct {
	id       uint64
	replica  *quorum.Replica
	stored   quorum.State
	store    *changelog.Store
	rejected int
	restored int // snapshots received from the writer
}

func (p *controlProcess) start(t *testing.T, peers []uint64) {
	t.Helper()
	replica, err := quorum.New(quorum.Config{ID: p.id, Peers: peers, State: p.stored, SnapshotRetryTicks: 20})
	if err != nil {
		t.Fatal(err)
	}
	p.replica, p.store = replica, changelog.NewStore(region, changelog.Limits{})
	p.restore(t, p.stored.Snapshot)
}

func (p *controlProcess) restore(t *testing.T, snapshot quorum.Snapshot) {
	t.Helper()
	if snapshot.Index == 0 {
		return
	}
	_, position, all, _, err := message.DecodeSnapshot(snapshot.Data)
	if err == nil {
		err = p.store.Replace(position, all)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func (p *controlProcess) processReady(t *testing.T, send func(quorum.Outgoing)) {
	t.Helper()
	for ready, ok := p.replica.Ready(); ok; ready, ok = p.replica.Ready() {
		if err := p.stored.Apply(ready.Persist); err != nil {
			t.Fatal(err)
		}
		for _, m := range ready.Send {
			send(m)
		}
		if ready.Restore != nil {
			p.restore(t, *ready.Restore)
			p.restored++
		}
		for _, e := range ready.Committed {
			changes, _, err := message.DecodeChanges(e.Data)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := p.store.Append(e.Epoch, changes); err != nil {
				p.rejected++
			}
		}
		p.replica.Advance()
	}
}

func (p *controlProcess) compact(t *testing.T) {
	t.Helper()
	allServices := changelog.Filter{All: true}
	if err := p.replica.Compact(message.EncodeSnapshot(region, p.store.Position(), p.store.Snapshot(allServices))); err != nil {
		t.Fatal(err)
	}
}

func transaction(number int) []resource.Change {
	name := fmt.Sprint("service-", number%7)
	changes := []resource.Change{
		{Resource: resource.Resource{Key: resource.Key{Service: name, Kind: resource.KindService, Name: name},
			Service: &resource.Service{Region: region, MaxAttempts: 2}}},
		{Resource: resource.Resource{Key: resource.Key{Service: name, Kind: resource.KindTenant, Name: fmt.Sprint(number)},
			Tenant: &resource.Tenant{Quota: float64(number)}}},
	}
	if number%10 == 9 { // one that the store of every process rejects
		changes[0].Resource.Service = &resource.Service{Region: "south", MaxAttempts: 2}
	}
	return changes
}

// All processes must have the same store, whether a process received every entry, was down and caught up by a snapshot, or
// restarted from its own snapshot.
func TestStoresOfAllReplicasAgree(t *testing.T) {
	peers := []uint64{1, 2, 3}
	processes := make([]*controlProcess, len(peers))
	for i, id := range peers {
		processes[i] = &controlProcess{id: id}
		processes[i].start(t, peers)
	}
	down := uint64(0)
	var send func(quorum.Outgoing)
	var queue []quorum.Outgoing
	send = func(m quorum.Outgoing) { queue = append(queue, m) }
	const rounds = 1500
	proposed := 0
	for round := range rounds {
		down = 0
		if round > 300 && round < 1200 {
			down = 3
		}
		for _, p := range processes {
			if p.id == down {
				continue
			}
			p.replica.Tick()
			if writer, _ := p.replica.Writer(); writer == p.id && round < rounds-100 {
				if p.replica.Propose(message.EncodeChanges(transaction(proposed))) == nil {
					proposed++
				}
			}
			p.processReady(t, send)
			if round%400 == 399 {
				p.compact(t)
				p.processReady(t, send)
			}
			if round%333 == int(p.id) {
				p.start(t, peers)
			}
		}
		sent := queue
		queue = nil
		for _, m := range sent {
			if p := processes[m.To-1]; p.id != down {
				if err := p.replica.Receive(m.Data); err != nil {
					t.Fatal(err)
				}
				p.processReady(t, send)
			}
		}
	}
	allServices := changelog.Filter{All: true}
	first := processes[0].store
	for _, p := range processes {
		if p.store.Position() != first.Position() || p.store.Digest(allServices) != first.Digest(allServices) || p.store.Len() != first.Len() {
			t.Errorf("replica %d is at %s with %d resources, replica 1 at %s with %d", p.id, p.store.Position(), p.store.Len(), first.Position(), first.Len())
		}
	}
	if processes[2].restored == 0 {
		t.Error("the process that was down got no snapshot")
	}
	if first.Len() < 500 || processes[0].rejected == 0 {
		t.Errorf("%d resources of %d proposals, %d refused", first.Len(), proposed, processes[0].rejected)
	}
}
