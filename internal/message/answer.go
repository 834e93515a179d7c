package message

// AnswerRoom is the room in memory that the body of one answer holds.
type AnswerRoom struct {
	store *Store
	size  int64 // bytes held
}

// AnswerRoom returns the room of an answer that holds none yet.
func (s *Store) AnswerRoom() *AnswerRoom { return &AnswerRoom{store: s} }

// Take has an answer hold room for a body of size bytes, in place of what it held, and tells whether there is any. Where
// there is none it holds what it held.
func (a *AnswerRoom) Take(size int64) bool {
	s := a.store
	if size > s.heldAnswer {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	hold := s.budget.Hold
	if size > UsualBody {
		hold = s.budget.HoldLong
	}
	if !hold(size - a.size) {
		return false
	}
	a.size = size
	return true
}

// Extend takes room for an answer whose length nobody told and that is longer than limit bytes. It returns how long it may
// be now, and limit itself where it may be no longer.
func (a *AnswerRoom) Extend(limit int64) int64 {
	if more := min(2*limit, a.store.heldAnswer); more > limit && a.Take(more) {
		return more
	}
	return limit
}

// Free gives the room back. It may be called again.
func (a *AnswerRoom) Free() {
	if a.size > 0 {
		a.store.Free(a.size)
		a.size = 0
	}
}
