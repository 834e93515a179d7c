package quorum

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"reflect"
	"runtime/debug"
	"strings"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const scriptTicks = 1500

var scripts = flag.Uint64("scripts", 20, "scripts to play for each size of a cluster")

// TestMain makes garbage collection rare: the scripts allocate much and have a small live heap.
func TestMain(m *testing.M) {
	debug.SetGCPercent(1000)
	os.Exit(m.Run())
}

// Under loss, delay, duplication, partitions, crashes, clock drift, compaction and late proposals of deposed writers, the
// histories of replicas must not diverge, epochs must not decrease, each epoch must have one writer that has applied all
// earlier entries, a partitioned writer must stop, no committed entry may be lost, and a healed cluster must make progress.
func TestReplicasNeverDiverge(t *testing.T) {
	seeds := *scripts
	for _, size := range []int{3, 5} {
		var committed, epochs, snapshots, restarts int
		var fenced uint64
		for seed := range seeds {
			c := newCluster(size, seed, faults{})
			if err := c.run(scriptTicks); err != nil {
				t.Errorf("%d replicas, seed %d, tick %d: %v", size, seed, c.now, err)
			}
			committed += len(c.committed)
			epochs += len(c.writers)
			snapshots += c.snapshots
			restarts += c.restarts
			fenced += c.fenced
		}
		t.Logf("%d replicas, %d seeds: %d entries committed in %d epochs, %d restarts, %d snapshots restored, %d entries fenced",
			size, seeds, committed, epochs, restarts, snapshots, fenced)
		if committed == 0 || epochs == 0 || snapshots == 0 || restarts == 0 || fenced == 0 {
			t.Errorf("%d replicas: the scripts did not exercise all cases", size)
		}
	}
}

// The invariant checks must detect each planted fault with at least minSeeds of 20 seeds.
func TestPlantedFaults(t *testing.T) {
	for name, c := range map[string]struct {
		planted  faults
		minSeeds int
	}{
		"no fence":                  {faults{noFencing: true}, 10},
		"no barrier":                {faults{noBarrier: true}, 10},
		"no check of the quorum":    {faults{noCheckQuorum: true}, 10},
		"votes are forgotten":       {faults{loseVotes: true}, 1},
		"entries are forgotten":     {faults{loseEntries: true}, 10},
		"replaced entries are kept": {faults{keepConflicts: true}, 1},
		"snapshots are not taken":   {faults{ignoreSnapshots: true}, 10},
	} {
		detected, first := 0, ""
		for seed := range uint64(20) {
			if err := newCluster(3, seed, c.planted).run(scriptTicks); err != nil {
				detected++
				if first == "" {
					first = fmt.Sprintf("seed %d: %v", seed, err)
				}
			}
		}
		t.Logf("%s: detected with %d seeds of 20; %s", name, detected, first)
		if detected < c.minSeeds {
			t.Errorf("%s: detected with %d seeds of 20, want at least %d", name, detected, c.minSeeds)
		}
	}
}

// newElectedCluster returns a cluster of three without faults, its writer and the writer's epoch.
func newElectedCluster(t *testing.T) (*cluster, *process, uint64) {
	t.Helper()
	c := newCluster(3, 0, faults{})
	for _, p := range c.processes {
		if err := c.start(p); err != nil {
			t.Fatal(err)
		}
	}
	for range 200 {
		runSteps(t, c, 1)
		for _, p := range c.processes {
			if id, epoch := p.replica.Writer(); id == p.id {
				return c, p, epoch
			}
		}
	}
	t.Fatal("no writer after 200 ticks")
	return nil, nil, 0
}

func runSteps(t *testing.T, c *cluster, count int) {
	t.Helper()
	for range count {
		if err := c.step(false); err != nil {
			t.Fatal(err)
		}
	}
}

func TestOnlyTheWriterAcceptsProposals(t *testing.T) {
	c, writer, epoch := newElectedCluster(t)
	runSteps(t, c, 10)
	for _, p := range c.processes {
		err := p.replica.Propose([]byte("x"))
		if p == writer {
			if err != nil {
				t.Errorf("the writer: %v", err)
			}
			continue
		}
		var refused *NotWriterError
		if !errors.As(err, &refused) || refused.Writer != writer.id || !errors.Is(err, ErrNotWriter) {
			t.Errorf("replica %d: %v, and the writer is %d", p.id, err, writer.id)
		}
	}
	if err := writer.replica.ProposeInEpoch(epoch-1, []byte("x")); !errors.Is(err, ErrNotWriter) {
		t.Errorf("in an older epoch: %v", err)
	}
	if err := writer.replica.Propose(make([]byte, MaxProposalBytes+1)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a large proposal: %v", err)
	}
}

// A partitioned writer returns in the epoch of another one. Its new proposals must be rejected, and every replica must drop
// and count a resent older proposal.
func TestDeposedWriterIsFenced(t *testing.T) {
	c, deposed, epoch := newElectedCluster(t)
	late := fmt.Appendf(nil, "by %d in %d: late", deposed.id, epoch)
	c.partition[deposed.id] = 1
	if err := deposed.replica.ProposeInEpoch(epoch, late); err != nil {
		t.Fatal(err)
	}
	runSteps(t, c, 100)
	if id, _ := deposed.replica.Writer(); id == deposed.id {
		t.Error("a writer without a majority remains the writer")
	}
	clear(c.partition)
	runSteps(t, c, 30)
	if err := deposed.replica.ProposeInEpoch(epoch, late); !errors.Is(err, ErrNotWriter) {
		t.Errorf("late: %v", err)
	}
	var next *process
	for _, p := range c.processes {
		if id, _ := p.replica.Writer(); id == p.id {
			next = p
		}
	}
	if next == nil || next == deposed {
		t.Fatal("no other writer")
	}
	m := &pb.Message{Type: pb.MsgProp.Enum(), From: &deposed.id, To: &next.id, Entries: []*pb.Entry{{Data: encodeProposal(epoch, late)}}}
	encoded, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	if err := next.replica.Receive(encoded); err != nil {
		t.Fatal(err)
	}
	runSteps(t, c, 30)
	for _, p := range c.processes {
		if len(p.applied) != 0 || p.replica.FencedEntries() != 1 {
			t.Errorf("replica %d applied %d entries and fenced %d", p.id, len(p.applied), p.replica.FencedEntries())
		}
	}
	line := Fenced{Index: 7, Epoch: 2, Current: 5}.String()
	if line != "quorum: entry 7 dropped: its proposer's epoch is 2, and the log's is 5" {
		t.Error(line)
	}
}

func TestInvalidMessagesAreDropped(t *testing.T) {
	c, writer, epoch := newElectedCluster(t)
	follower := c.processes[writer.id%3]
	number := func(n uint64) *uint64 { return &n }
	message := func(kind pb.MessageType, from, to uint64, change func(*pb.Message)) []byte {
		m := &pb.Message{Type: kind.Enum(), From: &from, To: &to, Term: number(epoch)}
		change(m)
		b, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	same := func(*pb.Message) {}
	for name, b := range map[string][]byte{
		"no message":       {0xff, 0xff},
		"from a stranger":  message(pb.MsgHeartbeat, 9, follower.id, same),
		"from itself":      message(pb.MsgHeartbeat, follower.id, follower.id, same),
		"to another":       message(pb.MsgHeartbeat, writer.id, writer.id, same),
		"a local message":  message(pb.MsgHup, writer.id, follower.id, same),
		"a commit too far": message(pb.MsgHeartbeat, writer.id, follower.id, func(m *pb.Message) { m.Commit = number(99) }),
		"an entry too far": message(pb.MsgAppResp, writer.id, follower.id, func(m *pb.Message) { m.Index = number(99) }),
		"no proposal":      message(pb.MsgProp, writer.id, follower.id, same),
		"another set of replicas": message(pb.MsgApp, writer.id, follower.id, func(m *pb.Message) {
			m.Entries = []*pb.Entry{{Type: pb.EntryConfChange.Enum()}}
		}),
	} {
		if err := follower.replica.Receive(b); !errors.Is(err, ErrMessage) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
	runSteps(t, c, 30)
	if id, now := writer.replica.Writer(); id != writer.id || now != epoch {
		t.Errorf("the writer is %d in epoch %d", id, now)
	}

	// An inconsistency that can't be detected in a single message must stop the replica, but not the process.
	if err := follower.replica.catchPanic(func() error { panic("committed entries contradict") }); !errors.Is(err, ErrFailed) {
		t.Errorf("an inconsistency: %v", err)
	}
	follower.replica.Tick()
	if _, ok := follower.replica.Ready(); ok || !errors.Is(follower.replica.Propose(nil), ErrFailed) {
		t.Error("a failed replica continues")
	}
}

func TestNewRejectsInvalidConfig(t *testing.T) {
	for name, cfg := range map[string]Config{
		"no id":            {Peers: []uint64{1, 2, 3}},
		"no peer":          {ID: 4, Peers: []uint64{1, 2, 3}},
		"heartbeats":       {ID: 1, Peers: []uint64{1}, ElectionTicks: 2, HeartbeatTicks: 2},
		"a gap":            {ID: 1, Peers: []uint64{1}, State: State{Hard: HardState{Term: 1}, Entries: []LogEntry{{Index: 2, Term: 1}}}},
		"terms go back":    {ID: 1, Peers: []uint64{1}, State: State{Hard: HardState{Term: 2}, Entries: []LogEntry{{Index: 1, Term: 2}, {Index: 2, Term: 1}}}},
		"commit too far":   {ID: 1, Peers: []uint64{1}, State: State{Hard: HardState{Term: 1, Commit: 5}}},
		"term forgotten":   {ID: 1, Peers: []uint64{1}, State: State{Entries: []LogEntry{{Index: 1, Term: 2}}}},
		"snapshot forgets": {ID: 1, Peers: []uint64{1}, State: State{Snapshot: Snapshot{Index: 5, Term: 2}}},
	} {
		if _, err := New(cfg); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func entries(term uint64, indexes ...uint64) []LogEntry {
	var all []LogEntry
	for _, index := range indexes {
		all = append(all, LogEntry{Index: index, Term: term})
	}
	return all
}

func TestStateAppliesPersistedChanges(t *testing.T) {
	var s State
	mustApply := func(p Persist) {
		t.Helper()
		if err := s.Apply(p); err != nil {
			t.Fatal(err)
		}
	}
	mustApply(Persist{Hard: &HardState{Term: 1, Vote: 2}, Entries: entries(1, 1, 2, 3, 4)})
	mustApply(Persist{Entries: entries(2, 3)}) // replaces 3 and 4
	if want := append(entries(1, 1, 2), entries(2, 3)...); !reflect.DeepEqual(s.Entries, want) || s.Hard.Vote != 2 {
		t.Fatalf("%+v", s)
	}
	mustApply(Persist{Snapshot: &Snapshot{Index: 2, Term: 1}}) // of the same log
	if !reflect.DeepEqual(s.Entries, entries(2, 3)) {
		t.Fatalf("%+v", s)
	}
	mustApply(Persist{Entries: append(entries(1, 1, 2), entries(3, 3, 4, 5)...)}) // partly covered by the snapshot
	if !reflect.DeepEqual(s.Entries, entries(3, 3, 4, 5)) {
		t.Fatalf("%+v", s)
	}
	mustApply(Persist{Snapshot: &Snapshot{Index: 4, Term: 9}}) // of another log
	if len(s.Entries) != 0 || s.Snapshot.Index != 4 {
		t.Fatalf("%+v", s)
	}
	for name, p := range map[string]Persist{
		"a gap":              {Entries: entries(9, 6)},
		"a gap within":       {Entries: entries(9, 5, 7)},
		"a snapshot too old": {Snapshot: &Snapshot{Index: 3, Term: 9}},
	} {
		if err := s.Apply(p); !errors.Is(err, ErrState) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A single control process, as in a small region, must be able to commit on its own.
func TestSingleReplicaIsItsOwnQuorum(t *testing.T) {
	c := newCluster(1, 1, faults{})
	if err := c.run(200); err != nil {
		t.Error(err)
	}
}

// A replica that is so far behind that the writer has compacted the entries it lacks must catch up by a snapshot.
func TestLaggingReplicaRestoresSnapshot(t *testing.T) {
	c, writer, epoch := newElectedCluster(t)
	lagging := c.processes[writer.id%3]
	c.partition[lagging.id] = 1
	for i := range retainedEntries + 100 {
		if err := writer.replica.Propose(fmt.Appendf(nil, "by %d in %d: %d", writer.id, epoch, i)); err != nil {
			t.Fatal(err)
		}
		runSteps(t, c, 1)
	}
	if err := writer.replica.Compact(encodeHistory(writer.applied)); err != nil {
		t.Fatal(err)
	}
	runSteps(t, c, 10)
	if writer.stored.Snapshot.Index == 0 {
		t.Error("the snapshot was not persisted")
	}
	clear(c.partition)
	runSteps(t, c, 100)
	if len(lagging.applied) != retainedEntries+100 || c.snapshots == 0 {
		t.Errorf("%d entries, %d snapshots", len(lagging.applied), c.snapshots)
	}
}

func BenchmarkCommit(b *testing.B) {
	c := newCluster(3, 0, faults{})
	for _, p := range c.processes {
		if err := c.start(p); err != nil {
			b.Fatal(err)
		}
	}
	for range 100 {
		if err := c.step(false); err != nil {
			b.Fatal(err)
		}
	}
	data := make([]byte, 100)
	for b.Loop() {
		for _, p := range c.processes {
			if id, _ := p.replica.Writer(); id == p.id {
				_ = p.replica.Propose(data)
			}
		}
		for range 4 {
			c.now++
			for _, p := range c.processes {
				for {
					ready, ok := p.replica.Ready()
					if !ok {
						break
					}
					for _, m := range ready.Send {
						_ = c.processes[m.To-1].replica.Receive(m.Data)
					}
					p.replica.Advance()
				}
			}
		}
	}
}
