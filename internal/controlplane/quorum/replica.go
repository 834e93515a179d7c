// Package quorum elects the control process of a region that writes the region's log, and replicates the log's entries
// among the region's control processes. It wraps the Raft implementation of go.etcd.io/raft/v3: the writer is the leader,
// and its epoch is the leader's term.
//
// The package does no I/O, reads no clock and starts no goroutines. A Replica is not safe for concurrent use. After each
// Tick, Propose, Receive and Compact the caller calls Ready until there is nothing to do; for each Ready it persists what
// has to be persisted, sends the messages, applies the committed entries, and calls Advance.
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
	maxMessageBytes     = 1 << 20 // entries of one message; a larger entry is sent alone
	maxInflightMessages = 64      // per replica
	retainedEntries     = 512     // kept before a snapshot, for replicas that are slightly behind
)

// Errors of a Replica.
var (
	ErrNotWriter = errors.New("quorum: not the writer")
	ErrBusy      = errors.New("quorum: too many uncommitted proposals")
	ErrTooLarge  = errors.New("quorum: proposal over its limit")
	ErrMessage   = errors.New("quorum: invalid message") // the message was dropped
	ErrFailed    = errors.New("quorum: replica failed")  // permanently: its state is inconsistent
)

// NotWriterError is the error of a proposal to a replica that is not the writer. It names the writer.
type NotWriterError struct {
	Writer uint64 // 0 if this replica knows of none
}

// Error returns one line with the ID of the writer, if known.
func (e *NotWriterError) Error() string {
	if e.Writer == 0 {
		return ErrNotWriter.Error() + ": this replica knows of no writer"
	}
	return fmt.Sprintf("%s: the writer is replica %d", ErrNotWriter, e.Writer)
}

// Unwrap returns ErrNotWriter, for errors.Is.
func (e *NotWriterError) Unwrap() error { return ErrNotWriter }

// Config configures a replica. Zero fields other than ID and Peers mean the defaults.
type Config struct {
	ID                 uint64   // not 0
	Peers              []uint64 // all replicas of the region including this one; 1, 3 or 5
	State              State    // as persisted in the storage
	ElectionTicks      int      // min ticks without a writer's heartbeat before an election; randomized up to twice as many
	HeartbeatTicks     int      // between a writer's heartbeats
	SnapshotRetryTicks int      // after which an unconfirmed snapshot may be sent again
}

// Entry is one committed proposal.
type Entry struct {
	Index uint64
	Epoch uint64 // of its proposer; never decreases from one entry to the next
	Data  []byte
}

// Fenced is a committed entry that was dropped because its proposer was no longer the writer. Every replica drops it.
type Fenced struct {
	Index   uint64
	Epoch   uint64 // of its proposer
	Current uint64 // the log's epoch
}

// String returns a log line about the dropped entry.
func (f Fenced) String() string {
	return fmt.Sprintf("quorum: entry %d dropped: its proposer's epoch is %d, and the log's is %d", f.Index, f.Epoch, f.Current)
}

// Outgoing is a message to another replica.
type Outgoing struct {
	To   uint64
	Data []byte
}

// Ready is the work for the caller, to be done in the order of the fields.
type Ready struct {
	Persist   Persist    // to be stored durably before anything is sent
	Send      []Outgoing // messages, any of which may be lost
	Restore   *Snapshot  // replaces the state of all entries committed before
	Committed []Entry
	Fenced    []Fenced
}

// Replica is one member of the quorum of a region's control processes.
type Replica struct {
	id                 uint64
	peers              []uint64
	node               *raft.RawNode
	storage            *raft.MemoryStorage
	pendingReady       *raft.Ready // that Advance completes
	pendingSnapshot    *Snapshot   // to persist with the next Ready
	appliedIndex       uint64      // of the last entry that Advance has confirmed as applied
	appliedTerm        uint64
	fencedCount        uint64
	ticks              uint64
	snapshotSentTicks  map[uint64]uint64 // by replica, the tick at which it was last sent a snapshot
	snapshotRetryTicks uint64
	failure            error

	// stale reports whether an entry's proposer was no longer the writer when the entry was appended in a term. Tests
	// replace it.
	stale func(epoch, term uint64) bool
	// caughtUp reports whether the leader of a term has applied all entries of earlier terms. Tests replace it.
	caughtUp func(appliedTerm, term uint64) bool
}

// New returns a replica that continues from its persisted state: the caller first restores the data of the state's
// snapshot, then applies the entries that Ready returns. The error wraps ErrState or is about the config.
func New(cfg Config) (*Replica, error) { return newReplica(cfg, func(*raft.Config) {}) }

func newReplica(cfg Config, configure func(*raft.Config)) (*Replica, error) {
	if cfg.ID == 0 || !slices.Contains(cfg.Peers, cfg.ID) {
		return nil, fmt.Errorf("quorum: replica %d is not among its peers %v", cfg.ID, cfg.Peers)
	}
	electionTicks, heartbeatTicks := orDefault(cfg.ElectionTicks, DefaultElectionTicks), orDefault(cfg.HeartbeatTicks, DefaultHeartbeatTicks)
	if heartbeatTicks < 1 || electionTicks <= heartbeatTicks {
		return nil, fmt.Errorf("quorum: %d election ticks and %d heartbeat ticks; election ticks must be more", electionTicks, heartbeatTicks)
	}
	if err := cfg.State.check(); err != nil {
		return nil, err
	}
	storage, err := newMemoryStorage(cfg.Peers, &cfg.State)
	if err != nil {
		return nil, err
	}
	settings := &raft.Config{
		ID:                        cfg.ID,
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   storage,
		Applied:                   cfg.State.Snapshot.Index,
		MaxSizePerMsg:             maxMessageBytes,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		MaxInflightMsgs:           maxInflightMessages,
		CheckQuorum:               true,
		PreVote:                   true,
		DisableProposalForwarding: true,
		Logger:                    logger{},
	}
	configure(settings)
	node, err := raft.NewRawNode(settings)
	if err != nil {
		return nil, fmt.Errorf("quorum: %w", err)
	}
	return &Replica{
		id:                 cfg.ID,
		peers:              slices.Clone(cfg.Peers),
		node:               node,
		storage:            storage,
		appliedIndex:       cfg.State.Snapshot.Index,
		appliedTerm:        cfg.State.Snapshot.Term,
		snapshotSentTicks:  make(map[uint64]uint64),
		snapshotRetryTicks: uint64(orDefault(cfg.SnapshotRetryTicks, DefaultSnapshotRetryTicks)),
		stale:              func(epoch, term uint64) bool { return epoch != term },
		caughtUp:           func(appliedTerm, term uint64) bool { return appliedTerm == term },
	}, nil
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}

// newMemoryStorage returns the storage from which the raft library reads, with the persisted state.
func newMemoryStorage(peers []uint64, state *State) (*raft.MemoryStorage, error) {
	storage := raft.NewMemoryStorage()
	if err := storage.ApplySnapshot(encodeSnapshot(peers, &state.Snapshot)); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrState, err)
	}
	if err := storage.SetHardState(state.Hard.encode()); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrState, err)
	}
	if err := storage.Append(encodeEntries(state.Entries)); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrState, err)
	}
	return storage, nil
}

func encodeSnapshot(peers []uint64, s *Snapshot) *pb.Snapshot {
	return &pb.Snapshot{Data: s.Data, Metadata: &pb.SnapshotMetadata{Index: &s.Index, Term: &s.Term, ConfState: &pb.ConfState{Voters: peers}}}
}

// catchPanic runs a step of the raft library, which panics if its state is inconsistent. The replica is then stopped for
// good and returns the failure from all further steps.
func (r *Replica) catchPanic(step func() error) (err error) {
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

// Failure returns why the replica has stopped; nil while it works. The error wraps ErrFailed.
func (r *Replica) Failure() error { return r.failure }

// Tick advances the replica's clock by one tick. The caller calls it at a fixed interval.
func (r *Replica) Tick() {
	_ = r.catchPanic(func() error {
		r.ticks++
		r.retrySnapshots()
		r.node.Tick()
		return nil
	})
}

// retrySnapshots reports snapshots as failed that were not confirmed in time, so that they are sent again. They may have
// been lost.
func (r *Replica) retrySnapshots() {
	for _, peer := range r.peers {
		sent, ok := r.snapshotSentTicks[peer]
		if ok && r.ticks-sent >= r.snapshotRetryTicks {
			delete(r.snapshotSentTicks, peer)
			r.node.ReportSnapshot(peer, raft.SnapshotFailure)
		}
	}
}

// Propose proposes changes to be appended to the log. They are appended once Ready returns them as committed; until then
// they may be lost without notice when another replica becomes the writer. Errors are ErrNotWriter (as a NotWriterError),
// ErrBusy, ErrTooLarge and ErrFailed.
func (r *Replica) Propose(changes []byte) error {
	_, epoch := r.Writer()
	return r.ProposeInEpoch(epoch, changes)
}

// ProposeInEpoch is like Propose for changes that were checked against the log of the writer of an epoch. In any other epoch
// it returns ErrNotWriter.
func (r *Replica) ProposeInEpoch(epoch uint64, changes []byte) error {
	if len(changes) > MaxProposalBytes {
		return fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, len(changes), MaxProposalBytes)
	}
	return r.catchPanic(func() error {
		if writer, current := r.Writer(); writer != r.id || current != epoch {
			return &NotWriterError{writer}
		}
		err := r.node.Propose(encodeProposal(epoch, changes))
		if errors.Is(err, raft.ErrProposalDropped) {
			return ErrBusy
		}
		return err
	})
}

// encodeProposal returns the epoch of the proposer followed by the changes.
func encodeProposal(epoch uint64, changes []byte) []byte {
	return append(binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64+len(changes)), epoch), changes...)
}

// decodeProposal returns the epoch of the proposer and the changes. Data without an epoch gives epoch 0, which no writer has.
func decodeProposal(data []byte) (epoch uint64, changes []byte) {
	epoch, size := binary.Uvarint(data)
	if size <= 0 {
		return 0, nil
	}
	return epoch, data[size:]
}

// Receive processes a message from another replica. An error that wraps ErrMessage means that the message was invalid and
// was dropped.
func (r *Replica) Receive(data []byte) error {
	m := &pb.Message{}
	if err := proto.Unmarshal(data, m); err != nil {
		return fmt.Errorf("%w: %v", ErrMessage, err)
	}
	return r.catchPanic(func() error {
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

// checkMessage rejects messages that would make the raft library's state inconsistent.
func (r *Replica) checkMessage(m *pb.Message) error {
	last, err := r.storage.LastIndex()
	if err != nil {
		return err
	}
	switch {
	case m.GetFrom() == r.id || !slices.Contains(r.peers, m.GetFrom()):
		return fmt.Errorf("%w: from replica %d, which is not a peer", ErrMessage, m.GetFrom())
	case m.GetTo() != r.id:
		return fmt.Errorf("%w: from replica %d to replica %d, received by replica %d", ErrMessage, m.GetFrom(), m.GetTo(), r.id)
	case raft.IsLocalMsg(m.GetType()):
		return fmt.Errorf("%w: %s from replica %d", ErrMessage, m.GetType(), m.GetFrom())
	case m.GetType() == pb.MsgHeartbeat && m.GetCommit() > last:
		return fmt.Errorf("%w: replica %d reports entry %d as committed, but the last entry here is %d", ErrMessage, m.GetFrom(), m.GetCommit(), last)
	case m.GetType() == pb.MsgAppResp && !m.GetReject() && m.GetIndex() > last && m.GetTerm() >= r.node.BasicStatus().HardState.GetTerm():
		return fmt.Errorf("%w: replica %d reports that it has entry %d, but the last entry here is %d", ErrMessage, m.GetFrom(), m.GetIndex(), last)
	case m.GetType() == pb.MsgProp && len(m.GetEntries()) == 0:
		return fmt.Errorf("%w: empty proposal from replica %d", ErrMessage, m.GetFrom())
	}
	for _, e := range m.GetEntries() {
		if e.GetType() != pb.EntryNormal {
			return fmt.Errorf("%w: %s from replica %d, but the set of replicas is fixed", ErrMessage, e.GetType(), m.GetFrom())
		}
	}
	return nil
}

// Ready returns the work to do now; false if there is none. The caller must call Advance before the next Ready.
func (r *Replica) Ready() (Ready, bool) {
	var ready Ready
	err := r.catchPanic(func() error {
		if r.pendingReady != nil || r.pendingSnapshot == nil && !r.node.HasReady() {
			return errors.New("nothing to do")
		}
		next := r.node.Ready()
		r.pendingReady = &next
		ready = r.convertReady(&next)
		return nil
	})
	return ready, err == nil
}

func (r *Replica) convertReady(next *raft.Ready) Ready {
	ready := Ready{Persist: Persist{Snapshot: r.pendingSnapshot, Entries: decodeEntries(next.Entries)}}
	if !raft.IsEmptyHardState(next.HardState) {
		ready.Persist.Hard = decodeHardState(next.HardState)
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
		r.addCommitted(e, &ready)
	}
	return ready
}

func (r *Replica) outgoing(m *pb.Message) Outgoing {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(err) // catchPanic makes it a failure of the replica
	}
	if m.GetType() == pb.MsgSnap {
		r.snapshotSentTicks[m.GetTo()] = r.ticks
	}
	return Outgoing{To: m.GetTo(), Data: data}
}

// addCommitted adds a committed entry to those to apply, or to the fenced ones. An entry without data is the first of a
// leader's term and is skipped.
func (r *Replica) addCommitted(e *pb.Entry, ready *Ready) {
	if len(e.GetData()) == 0 {
		return
	}
	epoch, changes := decodeProposal(e.GetData())
	if r.stale(epoch, e.GetTerm()) {
		r.fencedCount++
		ready.Fenced = append(ready.Fenced, Fenced{Index: e.GetIndex(), Epoch: epoch, Current: e.GetTerm()})
		return
	}
	ready.Committed = append(ready.Committed, Entry{Index: e.GetIndex(), Epoch: epoch, Data: changes})
}

// Advance confirms that the work of the latest Ready is done.
func (r *Replica) Advance() {
	if r.pendingReady == nil {
		return
	}
	_ = r.catchPanic(func() error {
		done := r.pendingReady
		r.pendingReady = nil
		r.pendingSnapshot = nil
		if err := r.updateStorage(done); err != nil {
			panic(err) // catchPanic makes it a failure of the replica
		}
		r.node.Advance(*done)
		return nil
	})
}

// updateStorage adds what was persisted to the storage from which the raft library reads.
func (r *Replica) updateStorage(done *raft.Ready) error {
	if !raft.IsEmptySnap(done.Snapshot) {
		if err := r.storage.ApplySnapshot(done.Snapshot); err != nil {
			return err
		}
		meta := done.Snapshot.GetMetadata()
		r.appliedIndex, r.appliedTerm = meta.GetIndex(), meta.GetTerm()
	}
	if err := r.storage.Append(done.Entries); err != nil {
		return err
	}
	if !raft.IsEmptyHardState(done.HardState) {
		if err := r.storage.SetHardState(done.HardState); err != nil {
			return err
		}
	}
	if count := len(done.CommittedEntries); count > 0 {
		last := done.CommittedEntries[count-1]
		r.appliedIndex, r.appliedTerm = last.GetIndex(), last.GetTerm()
	}
	return nil
}

// Writer returns the ID of the replica that accepts proposals, as far as this one knows, and the epoch; the ID is 0 for
// none. This replica reports itself as the writer only once it has applied all entries of earlier epochs.
func (r *Replica) Writer() (id uint64, epoch uint64) {
	status := r.node.BasicStatus()
	epoch = status.HardState.GetTerm()
	if status.Lead == r.id && !r.caughtUp(r.appliedTerm, epoch) || r.failure != nil {
		return 0, epoch
	}
	return status.Lead, epoch
}

// FencedEntries returns the number of committed entries that were dropped since the start.
func (r *Replica) FencedEntries() uint64 { return r.fencedCount }

// Applied returns the index of the last entry that the caller has applied.
func (r *Replica) Applied() uint64 { return r.appliedIndex }

// Compact replaces the entries up to Applied by a snapshot with data from which the caller can restore its state. The next
// Ready has the snapshot to persist. Compact does nothing between Ready and Advance, or if no entry was committed since the
// last snapshot.
func (r *Replica) Compact(data []byte) error {
	return r.catchPanic(func() error {
		if r.pendingReady != nil || r.pendingSnapshot != nil {
			return nil
		}
		snapshot, err := r.storage.CreateSnapshot(r.appliedIndex, &pb.ConfState{Voters: r.peers}, data)
		if errors.Is(err, raft.ErrSnapOutOfDate) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("quorum: %w", err)
		}
		r.pendingSnapshot = &Snapshot{Index: r.appliedIndex, Term: snapshot.GetMetadata().GetTerm(), Data: data}
		if r.appliedIndex <= retainedEntries {
			return nil
		}
		if err := r.storage.Compact(r.appliedIndex - retainedEntries); err != nil && !errors.Is(err, raft.ErrCompacted) {
			return fmt.Errorf("quorum: %w", err)
		}
		return nil
	})
}
