package judge

import (
	"fmt"

	"craneglade/internal/kit/boxmodel"
	"craneglade/internal/kit/trace"
)

// This file checks rule 4: the nodes together never overload a cold backend.

// minNotifiedFraction is the fraction of the excess work that has to come from nodes that were notified of the backend's
// start.
const minNotifiedFraction = 2.0 / 3

// backend is one incarnation of a backend.
type backend struct {
	site       string
	cell       int
	startedAt  int64
	budget     *boxmodel.Budget // the work it can be sent while it is cold; nil otherwise
	overloaded bool
	line       int
}

// backendChanged tracks when backends start, are warm and are removed.
func (j *Judge) backendChanged(r lineRecord) {
	switch r.State {
	case trace.Ready:
		b := &backend{site: r.Site, cell: r.Cell, startedAt: r.T, line: r.line}
		if r.Cores < r.FullCores && j.head.Rules.OverloadFactor > 0 {
			b.budget = boxmodel.NewBudget(j.head.Rules.OverloadFactor, duration(j.head.Rules.OverloadDuration))
			b.budget.SetCapacity(r.At(), r.Cores)
		}
		j.backends[r.Backend] = b
	case trace.Warm, trace.Removed:
		if b := j.backends[r.Backend]; b != nil {
			b.budget = nil
		}
	}
}

// capacityChanged records the current capacity of a cold backend, in cores.
func (j *Judge) capacityChanged(r lineRecord) {
	if b := j.backends[r.Backend]; b != nil && b.budget != nil {
		b.budget.SetCapacity(r.At(), r.Cores)
	}
}

// checkCold checks the work sent to a cold backend against its budget. It reports one violation per incarnation, as later
// excesses belong to the same overload.
func (j *Judge) checkCold(r lineRecord) {
	b := j.backends[r.Backend]
	if b == nil || b.budget == nil {
		return
	}
	listed, isListed := j.node(r.Node).listed[r.Backend]
	notifiedOfStart := isListed && listed.notifiedAt >= b.startedAt
	excess := b.budget.AddTagged(r.At(), duration(r.Work).Seconds(), notifiedOfStart, r.line)
	if excess == nil || excess.NotifiedFraction < minNotifiedFraction || b.overloaded {
		return
	}
	b.overloaded = true
	j.addViolation(Violation{Rule: ColdProtected, Name: ColdOverload, At: r.T, Node: r.Node, Request: r.ID, Box: r.Backend,
		Lines: append([]int{b.line}, excess.Tags...),
		Text: fmt.Sprintf("cold box %s was sent %.2f core-seconds within %v, with a budget of %.2f", r.Backend, excess.Sent,
			excess.To-excess.From, excess.Budget)})
}
