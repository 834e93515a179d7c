package result

import (
	"fmt"
	"math"
	"strings"
)

// Flat is by how much a figure of a node may differ between two sizes of the fleet, as a part.
const Flat = 0.2

// CheckFlat adds a check to the larger of two steps: each of some figures of a role is no further than Flat from what it is in
// the smaller one.
func CheckFlat(small, large *Step, role string, names ...string) {
	var told []string
	passed := true
	for _, name := range names {
		before, now := small.find(role, name), large.find(role, name)
		if before == nil || now == nil {
			told, passed = append(told, name+" was not measured"), false
			continue
		}
		passed = passed && math.Abs(now.Value-before.Value) <= Flat*math.Abs(before.Value)
		told = append(told, fmt.Sprintf("%s %s and %s", name, short(before.Value), short(now.Value)))
	}
	large.Check(fmt.Sprintf("a %s costs the same within %.0f%% at %d and %d nodes", role, 100*Flat, small.Size.Nodes, large.Size.Nodes), passed,
		"%s", strings.Join(told, ", "))
}

// find is a figure by role and name, or nil.
func (s *Step) find(role, name string) *Figure {
	for i := range s.Figures {
		if f := &s.Figures[i]; f.Role == role && f.Name == name {
			return f
		}
	}
	return nil
}
