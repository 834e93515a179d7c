package message

// ReserveMessage reserves size bytes of memory for a JSON-RPC message from a client, and reports whether they were available.
// ReleaseMessage returns them.
func (s *Store) ReserveMessage(size int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.ReserveMessage(size)
}

// ReleaseMessage returns size bytes that ReserveMessage took.
func (s *Store) ReleaseMessage(size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.ReleaseMessage(size)
}

// ReserveCall reserves size bytes of memory for a JSON-RPC call or its answer, on a connection that has reserved held bytes
// already, and reports whether they were available. ReleaseCall returns them.
func (s *Store) ReserveCall(held, size int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.ReserveCall(held, size)
}

// ReleaseCall returns size bytes that ReserveCall took.
func (s *Store) ReleaseCall(size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.ReleaseCall(size)
}

// ConnectionLimit returns how much memory one connection may have reserved when it reserves more for a JSON-RPC call, in bytes.
func (s *Store) ConnectionLimit() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.ConnectionLimit()
}

// ReservedForRPC returns the memory reserved for JSON-RPC, in bytes.
func (s *Store) ReservedForRPC() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.RPCBytes()
}

// RPCLimit returns the memory for JSON-RPC if nothing else is reserved, in bytes.
func (s *Store) RPCLimit() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.RPCLimit()
}
