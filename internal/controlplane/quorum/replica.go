// Package quorum decides which control process of a region writes the region's log, and replicates the log's entries among
// them. It is the Raft algorithm of go.etcd.io/raft/v3, driven by its caller: the writer is the leader, and its epoch is
// the leader's term.
//
// There is no I/O, clock or goroutine here. A Replica belongs to one goroutine at a time. After each Tick, Propose, Receive
// and Compact the caller asks for a Ready, keeps what it says is to be kept, sends what is to be sent, takes what is
// committed, and calls Advance.
package quorum

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// The defaults of Config, in ticks.
const (
	DefaultElectionTicks      = 10
	DefaultHeartbeatTicks     = 1
	DefaultSnapshotRetryTicks = 100
)

// Limits on what is replicated.
const (
	MaxProposalBytes    = 2 << 20
	maxUncommittedBytes = 16 << 20
	maxMessageBytes     = 1 << 20 // of the entries of one message, but for one entry that is larger
	maxInflightMessages = 64      // to one replica
	keptEntries         = 512     // before a snapshot, for replicas that are a little behind
)

// Errors of a Replica.
var (
	ErrNotWriter = errors.New("quorum: not the writer")
	ErrBusy      = errors.New("quorum: too much waits for a majority")
	ErrTooLarge  = errors.New("quorum: proposal over its limit")
	ErrMessage   = errors.New("quorum: message that no replica sends") // it was dropped
	ErrFailed    = errors.New("quorum: replica failed")                // for good: its state contradicts itself
)

// NotWriterError says who takes proposals.
type NotWriterError struct {
	Writer uint64 // 0 where this replica knows none
}

func (e *NotWriterError) Error() string {
	if e.Writer == 0 {
		return ErrNotWriter.Error() + ": there is none that this replica knows"
	}
	return fmt.Sprintf("%s: that is replica %d", ErrNotWriter, e.Writer)
}

// Unwrap makes errors.Is(err, ErrNotWriter) hold.
func (e *NotWriterError) Unwrap() error { return ErrNotWriter }

// Config is what a replica is made of. Zero fields but ID and Peers have defaults.
type Config struct {
	ID                 uint64   // not 0
	Peers              []uint64 // all replicas of the region, this one too; 1, 3 or 5
	State              State    // what the storage has kept
	ElectionTicks      int      // without a writer's heartbeat, after which a replica stands for election; up to twice as many
	HeartbeatTicks     int      // between heartbeats of a writer
	SnapshotRetryTicks int      // after which a snapshot that was sent and not confirmed is sent again
}

// Entry is one committed proposal.
type Entry struct {
	Index uint64
	Epoch uint64 // of its proposer; it never goes back from one entry to the next
	Data  []byte
}

// Fenced is a committed entry that was dropped, because its proposer was no longer the writer. Every replica drops it.
type Fenced struct {
	Index   uint64
	Epoch   uint64 // of its proposer
	Current uint64 // of the log
}

// String is one line for the log.
func (f Fenced) String() string {
	return fmt.Sprintf("quorum: entry %d dropped: its proposer's epoch is %d, and the log's is %d", f.Index, f.Epoch, f.Current)
}

// Outgoing is a message to another replica.
type Outgoing struct {
	To   uint64
	Data []byte
}

// Ready is what is to be done, in the order of the fields.
type Ready struct {
	Persist   Persist    // to be kept for good before anything is sent
	Send      []Outgoing // any of which may be lost
	Restore   *Snapshot  // in place of all that was committed before
	Committed []Entry
	Fenced    []Fenced
}

// Replica is one control process among those of its region.
type Replica struct {
	id                 uint64
	peers              []uint64
	node               *raft.RawNode
	memory             *raft.MemoryStorage
	pending            *raft.Ready // that Advance ends
	compacted          *Snapshot   // to be persisted with the next Ready
	appliedIndex       uint64      // handed out by Ready and confirmed by Advance
	appliedTerm        uint64
	fenced             uint64
	ticks              uint64
	snapshots          map[uint64]uint64 // the tick at which a replica was sent a snapshot
	snapshotRetryTicks uint64
	failure            error

	// stale reports whether an entry's proposer was no longer the writer when the entry was appended in a term.
	stale func(epoch, term uint64) bool
	// caughtUp reports whether a leader of a term has been handed all entries of earlier ones.
	caughtUp func(appliedTerm, term uint64) bool
}

// New makes a replica that goes on from what its storage has kept: the caller first takes the data of the state's
// snapshot, then what Ready says is committed. The error wraps ErrState or is about the config.
func New(cfg Config) (*Replica, error) { return newReplica(cfg, func(*raft.Config) {}) }

func newReplica(cfg Config, tune func(*raft.Config)) (*Replica, error) {
	if cfg.ID == 0 || !slices.Contains(cfg.Peers, cfg.ID) {
		return nil, fmt.Errorf("quorum: replica %d is none of its peers %v", cfg.ID, cfg.Peers)
	}
	electionTicks, heartbeatTicks := orDefault(cfg.ElectionTicks, DefaultElectionTicks), orDefault(cfg.HeartbeatTicks, DefaultHeartbeatTicks)
	if heartbeatTicks < 1 || electionTicks <= heartbeatTicks {
		return nil, fmt.Errorf("quorum: %d ticks to an election and %d to a heartbeat; the former have to be more", electionTicks, heartbeatTicks)
	}
	if err := cfg.State.check(); err != nil {
		return nil, err
	}
	memory, err := memoryOf(cfg.Peers, &cfg.State)
	if err != nil {
		return nil, err
	}
	settings := &raft.Config{
		ID:                        cfg.ID,
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   memory,
		Applied:                   cfg.State.Snapshot.Index,
		MaxSizePerMsg:             maxMessageBytes,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		MaxInflightMsgs:           maxInflightMessages,
		CheckQuorum:               true,
		PreVote:                   true,
		DisableProposalForwarding: true,
		Logger:                    logger{},
	}
	tune(settings)
	node, err := raft.NewRawNode(settings)
	if err != nil {
		return nil, fmt.Errorf("quorum: %w", err)
	}
	return &Replica{
		id:                 cfg.ID,
		peers:              slices.Clone(cfg.Peers),
		node:               node,
		memory:             memory,
		appliedIndex:       cfg.State.Snapshot.Index,
		appliedTerm:        cfg.State.Snapshot.Term,
		snapshots:          make(map[uint64]uint64),
		snapshotRetryTicks: uint64(orDefault(cfg.SnapshotRetryTicks, DefaultSnapshotRetryTicks)),
		stale:              func(epoch, term uint64) bool { return epoch != term },
		caughtUp:           func(appliedTerm, term uint64) bool { return appliedTerm == term },
	}, nil
}

func orDefault(value, standard int) int {
	if value == 0 {
		return standard
	}
	return value
}

// memoryOf is the storage that the algorithm reads from.
func memoryOf(peers []uint64, state *State) (*raft.MemoryStorage, error) {
	memory := raft.NewMemoryStorage()
	if err := memory.ApplySnapshot(encodeSnapshot(peers, &state.Snapshot)); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrState, err)
	}
	if err := memory.SetHardState(state.Hard.encode()); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrState, err)
	}
	if err := memory.Append(encodeEntries(state.Entries)); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrState, err)
	}
	return memory, nil
}

func encodeSnapshot(peers []uint64, s *Snapshot) *pb.Snapshot {
	return &pb.Snapshot{Data: s.Data, Metadata: &pb.SnapshotMetadata{Index: &s.Index, Term: &s.Term, ConfState: &pb.ConfState{Voters: peers}}}
}

// guard runs a step of the algorithm, which panics where its state contradicts itself. Such a replica does nothing more.
func (r *Replica) guard(step func() error) (err error) {
	if r.failure != nil {
		return r.failure
	}
	defer func() {
		if cause := recover(); cause != nil {
			r.failure = fmt.Errorf("%w: %v", ErrFailed, cause)
			err = r.failure
		}
	}()
	return step()
}

// Failure is why the replica does nothing any more; nil while it works. It wraps ErrFailed.
func (r *Replica) Failure() error { return r.failure }

// Tick tells that a fixed span of time has passed.
func (r *Replica) Tick() {
	_ = r.guard(func() error {
		r.ticks++
		r.retrySnapshots()
		r.node.Tick()
		return nil
	})
}

// retrySnapshots gives up waiting for snapshots that may have been lost, so that they are sent again.
func (r *Replica) retrySnapshots() {
	for _, peer := range r.peers {
		sent, ok := r.snapshots[peer]
		if ok && r.ticks-sent >= r.snapshotRetryTicks {
			delete(r.snapshots, peer)
			r.node.ReportSnapshot(peer, raft.SnapshotFailure)
		}
	}
}

// Propose asks for changes to be added to the log. They are once Ready has them among what is committed; until then they
// may still be lost, without any further word, when another replica becomes the writer. Errors: ErrNotWriter (as a
// NotWriterError), ErrBusy, ErrTooLarge, ErrFailed.
func (r *Replica) Propose(changes []byte) error {
	_, epoch := r.Writer()
	return r.ProposeInEpoch(epoch, changes)
}

// ProposeInEpoch is Propose for changes that were checked against the log as the writer of an epoch has it: in another epoch they
// are refused.
func (r *Replica) ProposeInEpoch(epoch uint64, changes []byte) error {
	if len(changes) > MaxProposalBytes {
		return fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, len(changes), MaxProposalBytes)
	}
	return r.guard(func() error {
		if writer, current := r.Writer(); writer != r.id || current != epoch {
			return &NotWriterError{writer}
		}
		err := r.node.Propose(stamp(epoch, changes))
		if errors.Is(err, raft.ErrProposalDropped) {
			return ErrBusy
		}
		return err
	})
}

// stamp puts the epoch of the proposer before changes.
func stamp(epoch uint64, changes []byte) []byte {
	return append(binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64+len(changes)), epoch), changes...)
}

// unstamp is the epoch of the proposer and the changes. An entry without an epoch is of epoch 0, which no writer has.
func unstamp(data []byte) (epoch uint64, changes []byte) {
	epoch, size := binary.Uvarint(data)
	if size <= 0 {
		return 0, nil
	}
	return epoch, data[size:]
}

// Receive takes a message of another replica. An error that wraps ErrMessage is about a message that was dropped.
func (r *Replica) Receive(data []byte) error {
	m := &pb.Message{}
	if err := proto.Unmarshal(data, m); err != nil {
		return fmt.Errorf("%w: %v", ErrMessage, err)
	}
	return r.guard(func() error {
		if err := r.checkMessage(m); err != nil {
			return err
		}
		err := r.node.Step(m)
		if errors.Is(err, raft.ErrProposalDropped) {
			return nil
		}
		return err
	})
}

// checkMessage refuses what would bring the algorithm to contradict itself.
func (r *Replica) checkMessage(m *pb.Message) error {
	last, err := r.memory.LastIndex()
	if err != nil {
		return err
	}
	switch {
	case m.GetFrom() == r.id || !slices.Contains(r.peers, m.GetFrom()):
		return fmt.Errorf("%w: from replica %d, which is no peer", ErrMessage, m.GetFrom())
	case m.GetTo() != r.id:
		return fmt.Errorf("%w: from replica %d to replica %d, and this is %d", ErrMessage, m.GetFrom(), m.GetTo(), r.id)
	case raft.IsLocalMsg(m.GetType()):
		return fmt.Errorf("%w: %s from replica %d", ErrMessage, m.GetType(), m.GetFrom())
	case m.GetType() == pb.MsgHeartbeat && m.GetCommit() > last:
		return fmt.Errorf("%w: replica %d says that entry %d is committed, and the last one here is %d", ErrMessage, m.GetFrom(), m.GetCommit(), last)
	case m.GetType() == pb.MsgAppResp && !m.GetReject() && m.GetIndex() > last && m.GetTerm() >= r.node.BasicStatus().HardState.GetTerm():
		return fmt.Errorf("%w: replica %d has entry %d, and the last one here is %d", ErrMessage, m.GetFrom(), m.GetIndex(), last)
	case m.GetType() == pb.MsgProp && len(m.GetEntries()) == 0:
		return fmt.Errorf("%w: no proposal from replica %d", ErrMessage, m.GetFrom())
	}
	for _, e := range m.GetEntries() {
		if e.GetType() != pb.EntryNormal {
			return fmt.Errorf("%w: %s from replica %d, and the replicas are fixed", ErrMessage, e.GetType(), m.GetFrom())
		}
	}
	return nil
}

// Ready is what is to be done now; false where that is nothing. Each is followed by Advance before the next.
func (r *Replica) Ready() (Ready, bool) {
	var ready Ready
	err := r.guard(func() error {
		if r.pending != nil || r.compacted == nil && !r.node.HasReady() {
			return errors.New("nothing to do")
		}
		next := r.node.Ready()
		r.pending = &next
		ready = r.readyOf(&next)
		return nil
	})
	return ready, err == nil
}

func (r *Replica) readyOf(next *raft.Ready) Ready {
	ready := Ready{Persist: Persist{Snapshot: r.compacted, Entries: entriesOf(next.Entries)}}
	if !raft.IsEmptyHardState(next.HardState) {
		ready.Persist.Hard = hardStateOf(next.HardState)
	}
	if !raft.IsEmptySnap(next.Snapshot) {
		meta := next.Snapshot.GetMetadata()
		ready.Restore = &Snapshot{Index: meta.GetIndex(), Term: meta.GetTerm(), Data: next.Snapshot.GetData()}
		ready.Persist.Snapshot = ready.Restore
	}
	for _, m := range next.Messages {
		ready.Send = append(ready.Send, r.outgoing(m))
	}
	for _, e := range next.CommittedEntries {
		r.commit(e, &ready)
	}
	return ready
}

func (r *Replica) outgoing(m *pb.Message) Outgoing {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(err) // guard makes it a failure of the replica
	}
	if m.GetType() == pb.MsgSnap {
		r.snapshots[m.GetTo()] = r.ticks
	}
	return Outgoing{To: m.GetTo(), Data: data}
}

// commit sorts a committed entry into those to be taken and those to be dropped. An entry without data is a leader's first.
func (r *Replica) commit(e *pb.Entry, ready *Ready) {
	if len(e.GetData()) == 0 {
		return
	}
	epoch, changes := unstamp(e.GetData())
	if r.stale(epoch, e.GetTerm()) {
		r.fenced++
		ready.Fenced = append(ready.Fenced, Fenced{Index: e.GetIndex(), Epoch: epoch, Current: e.GetTerm()})
		return
	}
	ready.Committed = append(ready.Committed, Entry{Index: e.GetIndex(), Epoch: epoch, Data: changes})
}

// Advance tells that the latest Ready was done.
func (r *Replica) Advance() {
	if r.pending == nil {
		return
	}
	_ = r.guard(func() error {
		done := r.pending
		r.pending = nil
		r.compacted = nil
		if err := r.remember(done); err != nil {
			panic(err) // guard makes it a failure of the replica
		}
		r.node.Advance(*done)
		return nil
	})
}

// remember brings what was persisted into the memory that the algorithm reads from.
func (r *Replica) remember(done *raft.Ready) error {
	if !raft.IsEmptySnap(done.Snapshot) {
		if err := r.memory.ApplySnapshot(done.Snapshot); err != nil {
			return err
		}
		meta := done.Snapshot.GetMetadata()
		r.appliedIndex, r.appliedTerm = meta.GetIndex(), meta.GetTerm()
	}
	if err := r.memory.Append(done.Entries); err != nil {
		return err
	}
	if !raft.IsEmptyHardState(done.HardState) {
		if err := r.memory.SetHardState(done.HardState); err != nil {
			return err
		}
	}
	if count := len(done.CommittedEntries); count > 0 {
		last := done.CommittedEntries[count-1]
		r.appliedIndex, r.appliedTerm = last.GetIndex(), last.GetTerm()
	}
	return nil
}

// Writer is the replica that takes proposals, as far as this one knows, and the epoch; 0 for no replica. This replica is
// the writer only once it was handed all entries of earlier epochs.
func (r *Replica) Writer() (id uint64, epoch uint64) {
	status := r.node.BasicStatus()
	epoch = status.HardState.GetTerm()
	if status.Lead == r.id && !r.caughtUp(r.appliedTerm, epoch) || r.failure != nil {
		return 0, epoch
	}
	return status.Lead, epoch
}

// FencedEntries is how many committed entries were dropped since the start.
func (r *Replica) FencedEntries() uint64 { return r.fenced }

// Applied is the index of the last entry that the caller has taken.
func (r *Replica) Applied() uint64 { return r.appliedIndex }

// Compact replaces the entries up to Applied by data, from which the caller can restore all that it made of them. The next
// Ready has it to be kept. Between Ready and Advance, and where nothing was committed since, it does nothing.
func (r *Replica) Compact(data []byte) error {
	return r.guard(func() error {
		if r.pending != nil || r.compacted != nil {
			return nil
		}
		made, err := r.memory.CreateSnapshot(r.appliedIndex, &pb.ConfState{Voters: r.peers}, data)
		if errors.Is(err, raft.ErrSnapOutOfDate) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("quorum: %w", err)
		}
		r.compacted = &Snapshot{Index: r.appliedIndex, Term: made.GetMetadata().GetTerm(), Data: data}
		if r.appliedIndex <= keptEntries {
			return nil
		}
		if err := r.memory.Compact(r.appliedIndex - keptEntries); err != nil && !errors.Is(err, raft.ErrCompacted) {
			return fmt.Errorf("quorum: %w", err)
		}
		return nil
	})
}
