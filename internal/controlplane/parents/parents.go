// Package parents orders the processes that a child of the control plane's hierarchy may connect to. The order is that of
// rendezvous hashing (highest random weight): everybody computes the same one for a child without talking to anybody, the
// children of one parent spread evenly over the others when it is lost, and no other child moves.
//
// There is no I/O, clock or goroutine here.
package parents

import (
	"cmp"
	"slices"
)

// Candidate is a process that may serve as a parent.
type Candidate struct {
	Name    string // unique among the candidates
	Address string
	Zone    string
}

// Rank orders candidates for a child in a zone, the most preferred first: those of the child's own zone before all
// others, and by rendezvous weight within both groups. An empty zone prefers none. The candidates handed in stay as they
// are; a candidate that comes or goes leaves the order of the others as it was.
func Rank(child, zone string, candidates []Candidate) []Candidate {
	ranked := make([]weighted, len(candidates))
	for i, candidate := range candidates {
		ranked[i] = weighted{
			Candidate: candidate,
			remote:    zone != "" && candidate.Zone != zone,
			weight:    weight(child, candidate.Name),
		}
	}
	slices.SortFunc(ranked, weighted.compare)
	result := make([]Candidate, len(ranked))
	for i, r := range ranked {
		result[i] = r.Candidate
	}
	return result
}

// weighted is a candidate with what it is ranked by.
type weighted struct {
	Candidate
	remote bool // in another zone than the child
	weight uint64
}

// compare orders own-zone candidates first, then higher weights, then names, which decide between equal weights.
func (w weighted) compare(other weighted) int {
	if w.remote != other.remote {
		if w.remote {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(other.weight, w.weight), cmp.Compare(w.Name, other.Name))
}

// The parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// weight is the rendezvous weight of a pair. FNV-1a alone leaves names that differ in their last byte close to each other,
// so the finalizer of SplitMix64 mixes the sum.
func weight(child, candidate string) uint64 {
	hash := fnv(fnv(fnvOffset, child), candidate)
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

// fnv adds a string and its end to a sum, so that ("ab", "c") and ("a", "bc") differ.
func fnv(hash uint64, s string) uint64 {
	for i := range len(s) {
		hash = (hash ^ uint64(s[i])) * fnvPrime
	}
	return (hash ^ 0xff) * fnvPrime
}
