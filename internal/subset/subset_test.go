package subset

import (
	"fmt"
	"slices"
	"testing"
)

// part is the places of a node's part among n backends of one zone.
func part(t *testing.T, ids []string, number, nodes int) []string {
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

func names(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("s-%08x", Hash(fmt.Sprint(i))>>32)
	}
	return ids
}

// At every size a node has enough to choose from, each backend has nodes that share it, and small fleets are not divided.
func TestPartsCoverTheFleetEvenly(t *testing.T) {
	for _, nodes := range []int{1, 3, 30, 80, 300} {
		for _, backends := range []int{1, 3, 12, 60, 1000} {
			ids, count := names(backends), map[string]int{}
			of := Node{Nodes: nodes}
			size := of.Size("a", backends, 1)
			for number := range nodes {
				p := part(t, ids, number, nodes)
				if len(p) != size {
					t.Fatalf("%d nodes, %d backends: a part of %d, want %d", nodes, backends, len(p), size)
				}
				for _, id := range p {
					count[id]++
				}
			}
			least, most := nodes, 0
			for _, id := range ids {
				least, most = min(least, count[id]), max(most, count[id])
			}
			mean := float64(nodes*size) / float64(backends)
			if least == 0 || float64(most) > mean+3 || float64(least) < mean-3 {
				t.Errorf("%d nodes, %d backends: %d to %d nodes share one, %.1f by their mean", nodes, backends, least, most, mean)
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
	ids := names(20)
	for name, numbers := range map[string][]int{"a run": {0, 1}, "every third": {0, 3}} {
		first, step := numbers[0], max(1, numbers[1])
		count := map[string]int{}
		for i := range 27 {
			for _, id := range part(t, ids, first+i*step, 80) {
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
	ids := names(60)
	moved := 0
	for number := range 80 {
		before := part(t, ids, number, 80)
		for gone := range ids {
			after := part(t, slices.Delete(slices.Clone(ids), gone, gone+1), number, 80)
			fresh := 0
			for _, id := range after {
				if !slices.Contains(before, id) {
					fresh++
				}
			}
			if fresh > 1 {
				t.Errorf("node %d: without %s its part has %d others", number, ids[gone], fresh)
			}
			moved += fresh
		}
	}
	// The least is that of the nodes which had it.
	of := Node{Nodes: 80}
	if least := 80 * of.Size("a", 60, 1); moved > 5*least {
		t.Errorf("%d places moved, %d at the least", moved, least)
	}
}

// Where crossing is dear, the nodes of one zone are all that serve its backends, and cover them as well.
func TestAPricedZoneIsCoveredByItsOwnNodes(t *testing.T) {
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
func TestThePartDoesNotHangOnTheOrder(t *testing.T) {
	ids := names(60)
	turned := slices.Clone(ids)
	slices.Reverse(turned)
	for number := range 80 {
		one, other := part(t, ids, number, 80), part(t, turned, number, 80)
		slices.Reverse(other)
		if !slices.Equal(one, other) {
			t.Fatalf("node %d: %v, and by another order %v", number, one, other)
		}
	}
}
