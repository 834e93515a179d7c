package quorum

import (
	"errors"
	"fmt"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
)

// ErrState is wrapped by errors about a stored state that no replica has written.
var ErrState = errors.New("quorum: stored state is not whole")

// State is what the storage of a replica has kept. Its zero value is that of a replica that never ran.
type State struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []LogEntry // from Snapshot.Index+1 on, without gaps
}

// HardState is what a replica must not forget, lest it votes twice or takes back what it told.
type HardState struct {
	Term   uint64
	Vote   uint64 // for which replica, in this term; 0 for none
	Commit uint64 // index up to which entries are known to be committed
}

// Snapshot stands for all entries up to an index.
type Snapshot struct {
	Index uint64
	Term  uint64 // of the entry at Index
	Data  []byte // that the caller made of the entries
}

// LogEntry is an entry of the replicated log, committed or not.
type LogEntry struct {
	Index uint64
	Term  uint64
	Data  []byte
}

// Persist is what a storage has to have kept for good before anything else of a Ready is done. Nil fields are unchanged.
type Persist struct {
	Hard     *HardState
	Snapshot *Snapshot
	Entries  []LogEntry // in place of all that the storage has from the first one's index on
}

// Empty reports whether there is nothing to keep.
func (p *Persist) Empty() bool { return p.Hard == nil && p.Snapshot == nil && len(p.Entries) == 0 }

// Apply brings the state to what it is after a Persist. The error wraps ErrState; the state is not to be used then.
func (s *State) Apply(p Persist) error {
	if p.Snapshot != nil {
		if err := s.takeSnapshot(*p.Snapshot); err != nil {
			return err
		}
	}
	if err := s.takeEntries(p.Entries); err != nil {
		return err
	}
	if p.Hard != nil {
		s.Hard = *p.Hard
	}
	return nil
}

// takeSnapshot keeps the entries after the snapshot where they are of the same log: where the entry at its index is of its
// term, all after it follow it.
func (s *State) takeSnapshot(snapshot Snapshot) error {
	if snapshot.Index < s.Snapshot.Index {
		return fmt.Errorf("%w: a snapshot of index %d after that of %d", ErrState, snapshot.Index, s.Snapshot.Index)
	}
	if term, ok := s.term(snapshot.Index); ok && term == snapshot.Term {
		s.Entries = slices.Clone(s.Entries[snapshot.Index-s.Snapshot.Index:])
	} else {
		s.Entries = nil
	}
	s.Snapshot = snapshot
	return nil
}

func (s *State) takeEntries(entries []LogEntry) error {
	for i := range entries {
		if entries[i].Index != entries[0].Index+uint64(i) {
			return fmt.Errorf("%w: entry %d is followed by entry %d", ErrState, entries[max(0, i-1)].Index, entries[i].Index)
		}
	}
	for len(entries) > 0 && entries[0].Index <= s.Snapshot.Index {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	if first > s.lastIndex()+1 {
		return fmt.Errorf("%w: entry %d is followed by entry %d", ErrState, s.lastIndex(), first)
	}
	kept := s.Entries[:first-s.Snapshot.Index-1]
	if len(kept) < len(s.Entries) {
		kept = slices.Clone(kept) // others may hold what is replaced
	}
	s.Entries = append(kept, entries...)
	return nil
}

func (s *State) lastIndex() uint64 { return s.Snapshot.Index + uint64(len(s.Entries)) }

// term is that of the entry at an index, where the state has it.
func (s *State) term(index uint64) (uint64, bool) {
	switch {
	case index == s.Snapshot.Index:
		return s.Snapshot.Term, true
	case index < s.Snapshot.Index || index > s.lastIndex():
		return 0, false
	}
	return s.Entries[index-s.Snapshot.Index-1].Term, true
}

// check reports what a replica could not start from.
func (s *State) check() error {
	term := s.Snapshot.Term
	for i, entry := range s.Entries {
		if entry.Index != s.Snapshot.Index+uint64(i)+1 || entry.Term < term {
			return fmt.Errorf("%w: entry %d of term %d does not follow term %d", ErrState, entry.Index, entry.Term, term)
		}
		term = entry.Term
	}
	if s.Hard.Commit > s.lastIndex() {
		return fmt.Errorf("%w: %d entries are committed and the last one is %d", ErrState, s.Hard.Commit, s.lastIndex())
	}
	if s.Hard.Term < term {
		return fmt.Errorf("%w: the term is %d and an entry is of term %d", ErrState, s.Hard.Term, term)
	}
	return nil
}

func (h *HardState) encode() *pb.HardState {
	return &pb.HardState{Term: &h.Term, Vote: &h.Vote, Commit: &h.Commit}
}

func hardStateOf(h *pb.HardState) *HardState {
	return &HardState{Term: h.GetTerm(), Vote: h.GetVote(), Commit: h.GetCommit()}
}

func encodeEntries(entries []LogEntry) []*pb.Entry {
	encoded := make([]*pb.Entry, len(entries))
	for i := range entries {
		encoded[i] = &pb.Entry{Index: &entries[i].Index, Term: &entries[i].Term, Data: entries[i].Data}
	}
	return encoded
}

func entriesOf(encoded []*pb.Entry) []LogEntry {
	entries := make([]LogEntry, len(encoded))
	for i, e := range encoded {
		entries[i] = LogEntry{Index: e.GetIndex(), Term: e.GetTerm(), Data: e.GetData()}
	}
	return entries
}
