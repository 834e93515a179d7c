package quorum

import (
	"errors"
	"fmt"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
)

// ErrState is wrapped by errors about an inconsistent stored state.
var ErrState = errors.New("quorum: inconsistent stored state")

// State is the persisted state of a replica. The zero value is that of a new replica.
type State struct {
	Hard     HardState
	Snapshot Snapshot
	Entries  []LogEntry // from Snapshot.Index+1, without gaps
}

// HardState must survive a restart, so that a replica doesn't vote twice in a term or revoke what it has confirmed.
type HardState struct {
	Term   uint64
	Vote   uint64 // replica that was voted for in this term; 0 for none
	Commit uint64 // index of the last entry known to be committed
}

// Snapshot replaces all entries up to an index.
type Snapshot struct {
	Index uint64
	Term  uint64 // of the entry at Index
	Data  []byte // the caller's state after these entries
}

// LogEntry is an entry of the replicated log, committed or not.
type LogEntry struct {
	Index uint64
	Term  uint64
	Data  []byte
}

// Persist is what has to be stored durably before the rest of a Ready is processed. Nil fields are unchanged.
type Persist struct {
	Hard     *HardState
	Snapshot *Snapshot
	Entries  []LogEntry // replace all stored entries from the index of the first one
}

// Empty reports whether there is nothing to persist.
func (p *Persist) Empty() bool { return p.Hard == nil && p.Snapshot == nil && len(p.Entries) == 0 }

// Apply updates the state by a Persist. The error wraps ErrState; the state must not be used after it.
func (s *State) Apply(p Persist) error {
	if p.Snapshot != nil {
		if err := s.applySnapshot(*p.Snapshot); err != nil {
			return err
		}
	}
	if err := s.applyEntries(p.Entries); err != nil {
		return err
	}
	if p.Hard != nil {
		s.Hard = *p.Hard
	}
	return nil
}

// applySnapshot keeps the entries after the snapshot if they belong to the same log, which holds if the entry at the
// snapshot's index has the snapshot's term.
func (s *State) applySnapshot(snapshot Snapshot) error {
	if snapshot.Index < s.Snapshot.Index {
		return fmt.Errorf("%w: snapshot of index %d after snapshot of index %d", ErrState, snapshot.Index, s.Snapshot.Index)
	}
	if term, ok := s.term(snapshot.Index); ok && term == snapshot.Term {
		s.Entries = slices.Clone(s.Entries[snapshot.Index-s.Snapshot.Index:])
	} else {
		s.Entries = nil
	}
	s.Snapshot = snapshot
	return nil
}

func (s *State) applyEntries(entries []LogEntry) error {
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
		kept = slices.Clone(kept) // others may still use the replaced entries
	}
	s.Entries = append(kept, entries...)
	return nil
}

func (s *State) lastIndex() uint64 { return s.Snapshot.Index + uint64(len(s.Entries)) }

// term returns the term of the entry at an index, and whether the state has it.
func (s *State) term(index uint64) (uint64, bool) {
	switch {
	case index == s.Snapshot.Index:
		return s.Snapshot.Term, true
	case index < s.Snapshot.Index || index > s.lastIndex():
		return 0, false
	}
	return s.Entries[index-s.Snapshot.Index-1].Term, true
}

// check returns an error if a replica could not start from the state.
func (s *State) check() error {
	term := s.Snapshot.Term
	for i, entry := range s.Entries {
		if entry.Index != s.Snapshot.Index+uint64(i)+1 || entry.Term < term {
			return fmt.Errorf("%w: entry %d of term %d does not follow the one before, of term %d", ErrState, entry.Index, entry.Term, term)
		}
		term = entry.Term
	}
	if s.Hard.Commit > s.lastIndex() {
		return fmt.Errorf("%w: entry %d is committed, but the last one is %d", ErrState, s.Hard.Commit, s.lastIndex())
	}
	if s.Hard.Term < term {
		return fmt.Errorf("%w: the term is %d, but an entry has term %d", ErrState, s.Hard.Term, term)
	}
	return nil
}

func (h *HardState) encode() *pb.HardState {
	return &pb.HardState{Term: &h.Term, Vote: &h.Vote, Commit: &h.Commit}
}

func decodeHardState(h *pb.HardState) *HardState {
	return &HardState{Term: h.GetTerm(), Vote: h.GetVote(), Commit: h.GetCommit()}
}

func encodeEntries(entries []LogEntry) []*pb.Entry {
	encoded := make([]*pb.Entry, len(entries))
	for i := range entries {
		encoded[i] = &pb.Entry{Index: &entries[i].Index, Term: &entries[i].Term, Data: entries[i].Data}
	}
	return encoded
}

func decodeEntries(encoded []*pb.Entry) []LogEntry {
	entries := make([]LogEntry, len(encoded))
	for i, e := range encoded {
		entries[i] = LogEntry{Index: e.GetIndex(), Term: e.GetTerm(), Data: e.GetData()}
	}
	return entries
}
