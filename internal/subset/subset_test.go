package subset

import (
	"fmt"
	"slices"
	"testing"
)

// subsetOf returns the ids in a node's subset of backends of one zone.
func subsetOf(t *testing.T, ids []string, number, nodes int) []string {
	t.Helper()
	selected, _ := Of(len(ids), func(i int) (string, uint64) { return "a", Hash(ids[i]) }, Node{Number: number, Nodes: nodes})
	var out []string
	for i, id := range ids {
		if selected[i] {
			out = append(out, id)
		}
	}
	return out
}

func backendIDs(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("s-%08x", Hash(fmt.Sprint(i))>>32)
	}
	return ids
}

// At every fleet size subsets have their full size, each backend is shared evenly, and small fleets are not divided.
func TestSubsetsCoverTheFleetEvenly(t *testing.T) {
	for _, nodes := range []int{1, 3, 30, 80, 300} {
		for _, backends := range []int{1, 3, 12, 60, 1000} {
			ids, count := backendIDs(backends), map[string]int{}
			node := Node{Nodes: nodes}
			size := node.Size("a", backends, 1)
			for number := range nodes {
				subset := subsetOf(t, ids, number, nodes)
				if len(subset) != size {
					t.Fatalf("%d nodes, %d backends: a subset of %d, want %d", nodes, backends, len(subset), size)
				}
				for _, id := range subset {
					count[id]++
				}
			}
			lowest, highest := nodes, 0
			for _, id := range ids {
				lowest, highest = min(lowest, count[id]), max(highest, count[id])
			}
			mean := float64(nodes*size) / float64(backends)
			if lowest == 0 || float64(highest) > mean+3 || float64(lowest) < mean-3 {
				t.Errorf("%d nodes, %d backends: %d to %d nodes per backend, mean %.1f", nodes, backends, lowest, highest, mean)
			}
			if nodes <= 4 && size != backends {
				t.Errorf("%d nodes, %d backends: a subset of %d", nodes, backends, size)
			}
		}
	}
}

// The numbers of the nodes of one zone are unknown: a run of numbers and every third number have to cover the backends
// evenly too.
func TestNodeSubsetsCoverTheFleetEvenly(t *testing.T) {
	ids := backendIDs(20)
	for name, numbers := range map[string][]int{"a run": {0, 1}, "every third": {0, 3}} {
		first, step := numbers[0], max(1, numbers[1])
		count := map[string]int{}
		for i := range 27 {
			for _, id := range subsetOf(t, ids, first+i*step, 80) {
				count[id]++
			}
		}
		for _, id := range ids {
			if c := count[id]; c < 3 || c > 8 {
				t.Errorf("%s of 27 nodes: %d share %s, mean 5.4", name, c, id)
			}
		}
	}
}

// Removing a backend changes at most one other member of a subset.
func TestSubsetChangesLittleOnRemoval(t *testing.T) {
	ids := backendIDs(60)
	moved := 0
	for number := range 80 {
		before := subsetOf(t, ids, number, 80)
		for removed := range ids {
			after := subsetOf(t, slices.Delete(slices.Clone(ids), removed, removed+1), number, 80)
			added := 0
			for _, id := range after {
				if !slices.Contains(before, id) {
					added++
				}
			}
			if added > 1 {
				t.Errorf("node %d: without %s its subset has %d others", number, ids[removed], added)
			}
			moved += added
		}
	}
	// At least the nodes that had the backend have to replace it.
	node := Node{Nodes: 80}
	if minimum := 80 * node.Size("a", 60, 1); moved > 5*minimum {
		t.Errorf("%d members changed, %d at least", moved, minimum)
	}
}

// With a high price of cross-zone traffic a zone's backends are served by its own nodes, which take larger subsets of them.
func TestCrossPriceConcentratesNodesOnTheirZone(t *testing.T) {
	for _, c := range []struct {
		price      float64
		own, other int
	}{{0, 4, 1}, {0.01, 4, 1}, {0.08, 9, 1}, {-1, 4, 1}} {
		node := Node{Nodes: 80, Zone: "a", CrossPrice: c.price}
		if own, other := node.Size("a", 15, 4), node.Size("b", 15, 4); own != c.own || other != c.other {
			t.Errorf("at a price of %v: %d in the own zone and %d in another, want %d and %d", c.price, own, other, c.own, c.other)
		}
	}
}

// A subset does not depend on the order of the list.
func TestSubsetIgnoresListOrder(t *testing.T) {
	ids := backendIDs(60)
	reversed := slices.Clone(ids)
	slices.Reverse(reversed)
	for number := range 80 {
		fromList, fromReversed := subsetOf(t, ids, number, 80), subsetOf(t, reversed, number, 80)
		slices.Reverse(fromReversed)
		if !slices.Equal(fromList, fromReversed) {
			t.Fatalf("node %d: %v, and in another order %v", number, fromList, fromReversed)
		}
	}
}
