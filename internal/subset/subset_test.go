package subset

import (
	"fmt"
	"slices"
	"testing"
)

// subsetOf is the places of a node's part among n backends of one zone.
func subsetOf(t *testing.T, ids []string, number, nodes int) []string {
	t.Helper()
	in, _ := Of(len(ids), func(i int) (string, uint64) { return "a", Hash(ids[i]) }, Node{Number: number, Nodes: nodes})
	var out []string
	for i, id := range ids {
		if in[i] {
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

// At every size a node has enough to choose from, each backend has nodes that share it, and small fleets are not divided.
func TestSubsetsCoverTheFleetEvenly(t *testing.T) {
	for _, nodes := range []int{1, 3, 30, 80, 300} {
		for _, backends := range []int{1, 3, 12, 60, 1000} {
			ids, count := backendIDs(backends), map[string]int{}
			of := Node{Nodes: nodes}
			size := of.Size("a", backends, 1)
			for number := range nodes {
				p := subsetOf(t, ids, number, nodes)
				if len(p) != size {
					t.Fatalf("%d nodes, %d backends: a part of %d, want %d", nodes, backends, len(p), size)
				}
				for _, id := range p {
					count[id]++
				}
			}
			fewest, most := nodes, 0
			for _, id := range ids {
				fewest, most = min(fewest, count[id]), max(most, count[id])
			}
			mean := float64(nodes*size) / float64(backends)
			if fewest == 0 || float64(most) > mean+3 || float64(fewest) < mean-3 {
				t.Errorf("%d nodes, %d backends: %d to %d nodes share one, %.1f by their mean", nodes, backends, fewest, most, mean)
			}
			if nodes <= 4 && size != backends {
				t.Errorf("%d nodes, %d backends: a part of %d", nodes, backends, size)
			}
		}
	}
}

// The nodes of one zone are some of all numbers, and nobody tells which: any run of numbers and every third one have to
// cover the backends evenly too.
func TestSomeOfTheNodesCoverTheFleetEvenly(t *testing.T) {
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
				t.Errorf("%s of 27 nodes: %d share %s, 5.4 by their mean", name, c, id)
			}
		}
	}
}

// A backend that comes or goes moves one place of a part at the most.
func TestAPartMovesLittle(t *testing.T) {
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
				t.Errorf("node %d: without %s its part has %d others", number, ids[removed], added)
			}
			moved += added
		}
	}
	// The least is that of the nodes which had it.
	of := Node{Nodes: 80}
	if minimum := 80 * of.Size("a", 60, 1); moved > 5*minimum {
		t.Errorf("%d places moved, %d at the least", moved, minimum)
	}
}

// Where crossing is dear, the nodes of one zone are all that serve its backends, and cover them as well.
func TestCrossPriceConcentratesNodesOnTheirZone(t *testing.T) {
	for _, c := range []struct {
		price     float64
		own, away int
	}{{0, 4, 1}, {0.01, 4, 1}, {0.08, 9, 1}, {-1, 4, 1}} {
		n := Node{Nodes: 80, Zone: "a", CrossPrice: c.price}
		if own, other := n.Size("a", 15, 4), n.Size("b", 15, 4); own != c.own || other != c.away {
			t.Errorf("at a price of %v: %d at home and %d elsewhere, want %d and %d", c.price, own, other, c.own, c.away)
		}
	}
}

// Nobody else's order of the list counts.
func TestSubsetIgnoresListOrder(t *testing.T) {
	ids := backendIDs(60)
	reversed := slices.Clone(ids)
	slices.Reverse(reversed)
	for number := range 80 {
		fromList, fromReversed := subsetOf(t, ids, number, 80), subsetOf(t, reversed, number, 80)
		slices.Reverse(fromReversed)
		if !slices.Equal(fromList, fromReversed) {
			t.Fatalf("node %d: %v, and by another order %v", number, fromList, fromReversed)
		}
	}
}
