package judge

import (
	"cmp"
	"fmt"

	"craneglade/internal/kit/trace"
)

// This file checks rule 2: no effect twice. A request that is not safe is sent again, or refused, only if all earlier
// attempts are known not to have run; a keyed one may be repeated within its group and window.

// attemptReceived checks an attempt that a backend received, against rules 1, 3 and 4 too.
func (j *Judge) attemptReceived(r lineRecord) {
	j.verdict.Attempts++
	a := &attempt{requestID: r.ID, backend: r.Backend, node: r.Node, firstByte: cmp.Or(r.T0, r.T), lastByte: r.T, line: r.line,
		fromInvalidClient: r.How == trace.FromInvalidClient, rejectedAt: -1}
	j.attempts[r.Attempt] = a
	j.checkDrain(r, a.firstByte)
	j.checkCold(r)
	q := j.requests[r.ID]
	if q != nil && a.fromInvalidClient {
		return // an invalid client reused the id of another client's request: not an attempt of that request, which may have ended
	}
	if q == nil {
		j.addViolation(Violation{Rule: NoDoubleEffect, Name: UnsentRequest, At: a.firstByte, Node: r.Node, Request: r.ID, Box: r.Backend,
			Lines: []int{r.line}, Text: "a box got a request that no client sent"})
		return
	}
	q.lastRecord = r.T
	j.checkNotAfterEnd(r, q, a)
	j.checkRepeat(q, a)
	q.attempts = append(q.attempts, a)
}

// checkRepeat checks an attempt against the earlier attempts of its request that may have run.
func (j *Judge) checkRepeat(q *request, a *attempt) {
	if q.class == nil || q.class.Effect == effectSafe {
		return
	}
	for _, earlier := range q.attempts {
		if !earlier.mayHaveRun(a.firstByte) || j.wasKilled(earlier.node, earlier.firstByte, a.firstByte) {
			continue // after a kill it is the client that repeats the request
		}
		if v, violates := j.classifyRepeat(q, earlier, a); violates {
			j.addViolation(v)
			return
		}
	}
}

// classifyRepeat checks an attempt that follows an earlier one that may have run. It returns the violation and whether there
// is one.
func (j *Judge) classifyRepeat(q *request, earlier, a *attempt) (v Violation, violates bool) {
	v = Violation{Rule: NoDoubleEffect, At: a.firstByte, Node: a.node, Request: a.requestID, Box: a.backend, Lines: []int{earlier.line, a.line}}
	if earlier.rejectedAt >= 0 {
		v.Lines = append(v.Lines, earlier.rejectedLine)
	}
	route := ""
	if earlier.node != a.node {
		// A client sends the same request through another node only after the first has closed the connection.
		v.Node, v.earlierNode = earlier.node, earlier.node
		route = fmt.Sprintf(" (through node %s, once node %s had closed on its client)", a.node, earlier.node)
	}
	earlierBackend, laterBackend := j.backends[earlier.backend], j.backends[a.backend]
	grouped := q.class.Effect != effectUnsafe && q.class.Group != groupAll
	overrun := a.firstByte - earlier.firstByte - q.class.Window - j.head.Rules.Slack
	switch {
	case q.class.Effect == effectUnsafe:
		v.Name = UnsafeRepeat
		v.Text = fmt.Sprintf("unsafe, and sent to box %s though box %s may have run it", a.backend, earlier.backend)
	case grouped && (earlierBackend == nil || laterBackend == nil):
		v.Text = "sent again to a box whose start is not in the trace"
		j.addUndecided(v)
		return v, false
	case grouped && !sameGroup(q.class.Group, earlierBackend, laterBackend):
		v.Name = RepeatOutsideGroup
		v.Text = fmt.Sprintf("keyed, and sent to box %s of %s though box %s of %s may have run it",
			a.backend, laterBackend.site, earlier.backend, earlierBackend.site)
	case overrun > 0:
		v.Name, v.margin, v.from, v.to = RepeatAfterWindow, overrun, earlier.firstByte, a.firstByte
		v.Text = fmt.Sprintf("keyed, and sent again %v after box %s may have run it, where repeats are dropped for %v",
			rounded(a.firstByte-earlier.firstByte), earlier.backend, duration(q.class.Window))
	default:
		return v, false
	}
	v.Text += route
	return v, true
}

// sameGroup reports whether two backends deduplicate a keyed request together: those of a site, or of a cell.
func sameGroup(group string, a, b *backend) bool {
	return a.site == b.site && (group != groupCell || a.cell == b.cell)
}

// checkRefusal checks that a refused request is known not to have run, or that repeating it is harmless.
func (j *Judge) checkRefusal(r lineRecord, q *request, s *send) {
	if q.repeatHarmless() {
		return
	}
	startedAt := cmp.Or(r.T0, r.T)
	for _, a := range q.attempts {
		if !a.mayHaveRun(startedAt) || j.wasKilled(a.node, a.firstByte, startedAt) {
			continue
		}
		v := Violation{Rule: NoDoubleEffect, Name: FalseRefusal, At: startedAt, Node: r.Node, Request: r.ID, Box: a.backend,
			Lines: []int{s.line, a.line, r.line}, Text: fmt.Sprintf("refused (%d) though box %s may have run it", r.Status, a.backend)}
		if a.node != r.Node { // its client came here only because that node had closed the connection
			v.Node, v.earlierNode = a.node, a.node
			v.Text += fmt.Sprintf(" (by node %s, once node %s had closed on its client)", r.Node, a.node)
		}
		j.addViolation(v)
		return
	}
}
