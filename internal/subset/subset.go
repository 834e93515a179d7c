// Package subset selects the subset of a large fleet that a node works with, so that each backend serves few nodes: its
// connections stay in use, and a node's observations of a backend stay recent. The selection is deterministic and needs no
// communication between nodes: it follows from the ids in the list, the number of nodes and a node's own number. The
// package does no I/O and reads no clock.
//
// The backends of a zone are placed on a ring in the order of a hash of their ids, and a node takes those that follow its
// own point on the ring. The points of successive node numbers are a golden section of the ring apart, so that any run of
// numbers and any regular selection of them, such as the nodes of one zone, covers the ring evenly (the three-distance
// theorem; Swierczkowski 1959). Adding or removing a backend changes at most one other member of a subset.
package subset

import (
	"cmp"
	"math"
	"slices"
)

// goldenSection is the golden section, 2/(1+sqrt 5).
const goldenSection = 0.6180339887498949

// MinNodesPerBackend is the minimum number of nodes that each backend should serve. The traffic of a node is uneven. Summed
// over 12 nodes, its relative deviation is less than a third of that of one node, which the estimates for single backends
// even out.
const MinNodesPerBackend = 12

// MinBackends is the minimum size of a subset in the node's own zone: with fewer there is no choice, and no other backend
// for a retry.
const MinBackends = 4

// remoteWeight is the size of a node's subset in another zone, as a fraction of that in its own. It takes some, so that
// backends remain after the loss of its own zone, but few: with more backends, observations of each are rarer, and each
// costs a connection.
const remoteWeight = 1.0 / 3

// localOnlyCrossPrice is the price of cross-zone traffic at which nearly all requests stay in their zone: lateness in an
// overloaded zone costs about a twentieth of a request's utility, which no longer pays for the crossing.
const localOnlyCrossPrice = 0.05

// Node describes a node and its tier.
type Node struct {
	Number, Nodes int // its own number, from 0, and the number of nodes; below 1 counts as 1
	Zone          string
	CrossPrice    float64 // of an attempt that leaves the zone, as a multiple of a mean request's utility; 0 for none
}

// Size returns how many of a zone's backends a node takes: all where there are few nodes, else a subset, which for another
// zone is a third as large. As the price of cross-zone traffic rises, the backends of a zone serve its own nodes only. These
// are one zone's share of all nodes, so that each has to take more backends. A node without a zone treats all zones as its own.
func (n Node) Size(zone string, backends, zones int) int {
	if n.Nodes <= MinNodesPerBackend {
		return backends
	}
	weight, minimum := 1.0, float64(MinBackends)
	switch {
	case zone == n.Zone:
		weight += float64(zones-1) * min(1, max(0, n.CrossPrice)/localOnlyCrossPrice)
	case n.Zone != "":
		weight, minimum = remoteWeight, 1
	}
	size := math.Ceil(float64(backends) * MinNodesPerBackend * weight / float64(n.Nodes))
	return int(min(float64(backends), max(minimum, size)))
}

// Hash returns the position of an id on a ring: 64-bit FNV-1a with a finisher, so that ids that differ only in their last
// character lie apart.
func Hash(id string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}

// Of returns for each of n backends, given by its zone and the Hash of its id, whether it is in the node's subset, and the
// mean number of nodes per backend.
func Of(n int, backend func(i int) (zone string, hash uint64), node Node) (selected []bool, nodesPerBackend float64) {
	type members struct {
		index  []int
		hashes []uint64
	}
	zones := map[string]*members{}
	for i := range n {
		zone, hash := backend(i)
		m := zones[zone]
		if m == nil {
			m = &members{}
			zones[zone] = m
		}
		m.index, m.hashes = append(m.index, i), append(m.hashes, hash)
	}
	if zones[node.Zone] == nil {
		node.Zone = "" // its own zone has no backend
	}
	selected = make([]bool, n)
	total := 0
	for zone, m := range zones {
		size := node.Size(zone, len(m.index), len(zones))
		for j, place := range Ranks(m.hashes, node.Number) {
			selected[m.index[j]] = place < size
		}
		total += size
	}
	return selected, max(1, float64(node.Nodes*total)/float64(max(1, n)))
}

// Ranks returns the ranks of the backends of one zone, given by their hashes, in the order in which the node of that number
// takes them, from 0.
func Ranks(hashes []uint64, number int) []int {
	order := make([]int, len(hashes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(hashes[x], hashes[y]) })
	_, fraction := math.Modf(float64(number) * goldenSection)
	start := int(fraction * float64(len(hashes)))
	ranks := make([]int, len(hashes))
	for at, i := range order {
		ranks[i] = (at - start + len(hashes)) % len(hashes)
	}
	return ranks
}
