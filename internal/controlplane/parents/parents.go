// Package parents orders the processes that a child in the control plane's hierarchy may connect to. It uses rendezvous
// hashing (highest random weight): every process computes the same order for a child without coordination, the children of
// a failed parent spread evenly over the others, and no other child moves.
//
// The package does no I/O, reads no clock and starts no goroutines.
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

// Rank returns the candidates for a child in a zone, the most preferred first: those of the child's own zone before all
// others, and by rendezvous weight within both groups. With an empty zone, no zone is preferred. Rank does not modify
// candidates. Adding or removing a candidate doesn't change the order of the others.
func Rank(child, zone string, candidates []Candidate) []Candidate {
	ranked := make([]rankedCandidate, len(candidates))
	for i, candidate := range candidates {
		ranked[i] = rankedCandidate{
			Candidate: candidate,
			remote:    zone != "" && candidate.Zone != zone,
			weight:    weight(child, candidate.Name),
		}
	}
	slices.SortFunc(ranked, rankedCandidate.compare)
	result := make([]Candidate, len(ranked))
	for i, r := range ranked {
		result[i] = r.Candidate
	}
	return result
}

// rankedCandidate is a candidate with its sort keys.
type rankedCandidate struct {
	Candidate
	remote bool // not in the child's zone
	weight uint64
}

// compare orders candidates of the child's zone first, then by descending weight, then by name.
func (r rankedCandidate) compare(other rankedCandidate) int {
	if r.remote != other.remote {
		if r.remote {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(other.weight, r.weight), cmp.Compare(r.Name, other.Name))
}

// The parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// weight returns the rendezvous weight of a pair. FNV-1a alone gives close values for names that differ only in the last
// byte, so the finalizer of SplitMix64 mixes the hash.
func weight(child, candidate string) uint64 {
	hash := addFNV(addFNV(fnvOffset, child), candidate)
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

// addFNV adds a string and a terminator to a hash, so that ("ab", "c") and ("a", "bc") differ.
func addFNV(hash uint64, s string) uint64 {
	for i := range len(s) {
		hash = (hash ^ uint64(s[i])) * fnvPrime
	}
	return (hash ^ 0xff) * fnvPrime
}
