// Package subset decides which part of a large fleet a node works with, so that each backend serves few nodes: its
// connections stay warm, and what a node hears of a backend is young. It is deterministic: nodes tell one another
// nothing, and follow from what all know alike (the ids on the list, the number of nodes, a node's own number) which
// backends are whose. It does no I/O, and knows no clock.
//
// Backends of one zone lie on a ring in the order of a hash of their ids, and a node takes those that follow its own
// point on it. Points of successive numbers are a golden section of the ring apart, so that any run of numbers, and any
// regular part of them, such as the nodes of one zone, covers a ring evenly (the three-distance theorem; Swierczkowski
// 1959). A backend that comes or goes moves each part by one place at the most, and only as far as it lies before it.
package subset

import (
	"cmp"
	"math"
	"slices"
)

// goldenSection is the golden section, 2/(1+sqrt 5).
const goldenSection = 0.6180339887498949

// MinNodesPerBackend is how many nodes each backend should serve at least. A node's traffic is uneven: the sum over twelve nodes
// has less than a third of one's deviation, which what is believed of single backends evens out.
const MinNodesPerBackend = 12

// MinBackends is what a part at home never falls below: fewer would leave no choice, and a second try nowhere to go.
const MinBackends = 4

// remoteWeight is the part of what a node takes at home that it takes of another zone: some, so that its own zone's loss leaves
// it others, and few, as each backend more is heard of more seldom and costs a connection.
const remoteWeight = 1.0 / 3

// localOnlyCrossPrice is a price of crossing at which nearly all of a zone's requests stay: what a crowded zone's requests lose by their
// lateness, about a twentieth of their worth, no longer pays for the way to another one.
const localOnlyCrossPrice = 0.05

// Node is what a node knows of itself and its tier.
type Node struct {
	Number, Nodes int // its own number, from 0, and how many there are; below 1 counts as 1
	Zone          string
	CrossPrice    float64 // of an attempt that leaves the zone, in mean requests' worth; 0 for none
}

// Size is how many of a zone's backends a node takes, of as many as there are: all where the fleet is small, and a third
// of another zone's. Where crossing is dear a zone's backends serve its own nodes only, one of so many parts of all as
// there are zones, and each of these has to take more of them. A node without a zone is at home in all.
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

// Hash is the place of an id on a ring (64-bit FNV-1a, and a finisher: ids that differ in their last sign lie apart).
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

// Of tells for each of n backends whether it is in a node's part, by its zone and the Hash of its id; and how many
// nodes share a backend, by their mean.
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
		node.Zone = "" // a home without a backend
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

// Ranks gives each backend of one zone, by its hash, its place in the order in which the node of that number takes
// them, from 0.
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
