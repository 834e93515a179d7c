package judge

import (
	"fmt"

	"craneglade/internal/kit/boxmodel"
	"craneglade/internal/kit/trace"
)

// This file is rule 4: all nodes together never push a cold backend over.

// minToldShare is the part of a flood that has to come from nodes that were told of the backend's start.
const minToldShare = 2.0 / 3

// backend is one start of a backend.
type backend struct {
	site    string
	cell    int
	start   int64
	budget  *boxmodel.Budget // the work that it bears while it is cold; nil when it is not
	flooded bool
	line    int
}

// backendChanged follows the starts of backends, and when they are warm or gone.
func (j *Judge) backendChanged(r lineRecord) {
	switch r.State {
	case trace.Ready:
		b := &backend{site: r.Site, cell: r.Cell, start: r.T, line: r.line}
		if r.Cores < r.Full && j.head.Rules.FallFactor > 0 {
			b.budget = boxmodel.NewBudget(j.head.Rules.FallFactor, duration(j.head.Rules.FallFor))
			b.budget.SetCapacity(r.At(), r.Cores)
		}
		j.backends[r.Box] = b
	case trace.Warm, trace.Gone:
		if b := j.backends[r.Box]; b != nil {
			b.budget = nil
		}
	}
}

// capacityChanged records the cores that a cold backend has now.
func (j *Judge) capacityChanged(r lineRecord) {
	if b := j.backends[r.Box]; b != nil && b.budget != nil {
		b.budget.SetCapacity(r.At(), r.Cores)
	}
}

// checkCold holds the work that a cold backend is sent against its budget. There is one violation for each start: what
// follows is the same flood.
func (j *Judge) checkCold(r lineRecord) {
	b := j.backends[r.Box]
	if b == nil || b.budget == nil {
		return
	}
	listed, isListed := j.node(r.Node).listed[r.Box]
	knowsStart := isListed && listed.at >= b.start
	excess := b.budget.AddTagged(r.At(), duration(r.Work).Seconds(), knowsStart, r.line)
	if excess == nil || excess.NotifiedFraction < minToldShare || b.flooded {
		return
	}
	b.flooded = true
	j.addViolation(Violation{Rule: ColdKept, Name: Flooded, At: r.T, Node: r.Node, Request: r.ID, Box: r.Box,
		Lines: append([]int{b.line}, excess.Tags...),
		Text: fmt.Sprintf("cold box %s was sent %.2f core-seconds within %v, with a budget of %.2f", r.Box, excess.Sent,
			excess.To-excess.From, excess.Budget)})
}
