package result

import (
	"fmt"
	"math"
	"strings"
)

// MaxFlatDeviation is the relative deviation between two fleet sizes up to which a figure counts as flat.
const MaxFlatDeviation = 0.2

// CheckFlat adds a check to the larger of two steps: each of the named figures of a role deviates from its value in the
// smaller step by at most MaxFlatDeviation.
func CheckFlat(small, large *Step, role string, names ...string) {
	var details []string
	passed := true
	for _, name := range names {
		before, after := small.figure(role, name), large.figure(role, name)
		if before == nil || after == nil {
			details, passed = append(details, name+" was not measured"), false
			continue
		}
		passed = passed && math.Abs(after.Value-before.Value) <= MaxFlatDeviation*math.Abs(before.Value)
		details = append(details, fmt.Sprintf("%s %s and %s", name, formatValue(before.Value), formatValue(after.Value)))
	}
	large.Check(fmt.Sprintf("a %s costs the same within %.0f%% at %d and %d nodes", role, 100*MaxFlatDeviation, small.Size.Nodes, large.Size.Nodes), passed,
		"%s", strings.Join(details, ", "))
}

// figure returns the figure of a role and name, or nil.
func (s *Step) figure(role, name string) *Figure {
	for i := range s.Figures {
		if f := &s.Figures[i]; f.Role == role && f.Name == name {
			return f
		}
	}
	return nil
}
