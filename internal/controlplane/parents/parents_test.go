package parents

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func relays(zones, each int) []Candidate {
	var candidates []Candidate
	for z := range zones {
		for i := range each {
			candidates = append(candidates, Candidate{Name: fmt.Sprintf("relay-%d-%d", z, i), Zone: fmt.Sprintf("zone-%d", z)})
		}
	}
	return candidates
}

func TestOwnZoneFirst(t *testing.T) {
	ranked := Rank("node-1", "zone-2", relays(4, 3))
	for i, candidate := range ranked {
		if own := candidate.Zone == "zone-2"; own != (i < 3) {
			t.Errorf("rank %d is %s of %s", i, candidate.Name, candidate.Zone)
		}
	}
}

func TestEmptyZonePrefersNone(t *testing.T) {
	first := map[string]bool{}
	for i := range 100 {
		first[Rank(fmt.Sprint("node-", i), "", relays(4, 3))[0].Zone] = true
	}
	if len(first) != 4 {
		t.Errorf("the first parents of 100 children are in zones %v, want all four", first)
	}
}

// Removing a candidate or reordering the input must not change the order of the other candidates.
func TestRemovalKeepsOrderOfOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := relays(rapid.IntRange(1, 5).Draw(t, "zones"), rapid.IntRange(1, 5).Draw(t, "each"))
		child := rapid.String().Draw(t, "child")
		ranked := Rank(child, "zone-0", candidates)
		removed := rapid.IntRange(0, len(candidates)-1).Draw(t, "gone")
		want := slices.DeleteFunc(slices.Clone(ranked), func(c Candidate) bool { return c == candidates[removed] })
		remaining := slices.Delete(slices.Clone(candidates), removed, removed+1)
		slices.Reverse(remaining)
		if got := Rank(child, "zone-0", remaining); !slices.Equal(got, want) {
			t.Fatalf("without %v: %v, want %v", candidates[removed], got, want)
		}
	})
}

// 3,900 children of a zone with four relays must spread over them within a tenth of an even share, and the children of a
// failed relay over the other three within 15%.
func TestChildrenSpreadEvenly(t *testing.T) {
	candidates := relays(1, 4)
	firstChoices, secondChoices := map[string]int{}, map[string]int{}
	for i := range 3900 {
		ranked := Rank(fmt.Sprint("node-", i), "zone-0", candidates)
		firstChoices[ranked[0].Name]++
		if ranked[0] == candidates[0] {
			secondChoices[ranked[1].Name]++
		}
	}
	for name, n := range firstChoices {
		if n < 975*9/10 || n > 975*11/10 {
			t.Errorf("%s is first for %d of 3900 children", name, n)
		}
	}
	share := firstChoices[candidates[0].Name] / 3
	for name, n := range secondChoices {
		if n < share*85/100 || n > share*115/100 {
			t.Errorf("%s takes %d of the %d children of a failed relay", name, n, 3*share)
		}
	}
}

func BenchmarkRank(b *testing.B) {
	candidates := relays(15, 3)
	b.ReportAllocs()
	for b.Loop() {
		Rank("node-17", "zone-3", candidates)
	}
}
