package engine

import "hash/maphash"

// maxSentRequests is how many requests are remembered: those of over a minute at a hundred a second. They need about 40 bytes each.
const maxSentRequests = 8192

// sentRequests remembers the latest requests that may have run, must not run twice and were not answered by a backend, by a hash of
// their ids. A client that has left may send such a request again, when the attempt for it is over.
type sentRequests struct {
	seed   maphash.Seed
	hashes map[uint64]struct{}
	order  []uint64 // in which they were added; the oldest at next once there are maxSentRequests
	next   int
}

func newSentRequests() sentRequests {
	return sentRequests{seed: maphash.MakeSeed(), hashes: map[uint64]struct{}{}}
}

// add remembers an id. The oldest is forgotten beyond maxSentRequests.
func (s *sentRequests) add(id string) {
	hash := maphash.String(s.seed, id)
	if _, known := s.hashes[hash]; known {
		return
	}
	s.hashes[hash] = struct{}{}
	if len(s.order) < maxSentRequests {
		s.order = append(s.order, hash)
		return
	}
	delete(s.hashes, s.order[s.next])
	s.order[s.next] = hash
	s.next = (s.next + 1) % maxSentRequests
}

// contains reports whether an id is remembered.
func (s *sentRequests) contains(id string) bool {
	_, known := s.hashes[maphash.String(s.seed, id)]
	return known
}
