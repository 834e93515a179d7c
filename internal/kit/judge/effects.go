package judge

import (
	"cmp"
	"fmt"

	"craneglade/internal/kit/trace"
)

// This file is rule 2: no effect twice. A request that is not safe goes out again, or is refused, only where all earlier
// attempts are known not to have run; a keyed one may be repeated inside its group and window.

// attemptReceived checks a request that came to a backend. It is held against rules 1, 3 and 4 too.
func (j *Judge) attemptReceived(r lineRecord) {
	j.verdict.Attempts++
	a := &attempt{id: r.ID, backend: r.Backend, node: r.Node, firstByte: cmp.Or(r.T0, r.T), lastByte: r.T, line: r.line,
		badClient: r.How == trace.FromInvalidClient, turnedAt: -1}
	j.attempts[r.Attempt] = a
	j.checkDrain(r, a.firstByte)
	j.checkCold(r)
	q := j.requests[r.ID]
	if q != nil && a.badClient {
		return // the id of another client's request, which may have been over by then: no attempt of that request
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

// checkRepeat holds an attempt against the earlier ones of its request that may have run.
func (j *Judge) checkRepeat(q *request, a *attempt) {
	if q.class == nil || q.class.Effect == effectSafe {
		return
	}
	for _, earlier := range q.attempts {
		if !earlier.mayHaveRun(a.firstByte) || j.wasKilled(earlier.node, earlier.firstByte, a.firstByte) {
			continue // after a kill the repeat is its client's
		}
		if v, broken := j.judgeRepeat(q, earlier, a); broken {
			j.addViolation(v)
			return
		}
	}
}

// judgeRepeat returns the violation, if it is one, of a second attempt after an earlier one that may have run.
func (j *Judge) judgeRepeat(q *request, earlier, a *attempt) (v Violation, broken bool) {
	v = Violation{Rule: NoDoubleEffect, At: a.firstByte, Node: a.node, Request: a.id, Box: a.backend, Lines: []int{earlier.line, a.line}}
	if earlier.turnedAt >= 0 {
		v.Lines = append(v.Lines, earlier.turnedLine)
	}
	through := ""
	if earlier.node != a.node {
		// A client sends the same request through another node only where the first has let it go.
		v.Node, v.earlierNode = earlier.node, earlier.node
		through = fmt.Sprintf(" (through node %s, once node %s had closed on its client)", a.node, earlier.node)
	}
	before, now := j.backends[earlier.backend], j.backends[a.backend]
	grouped := q.class.Effect != effectUnsafe && q.class.Group != groupAll
	overWindow := a.firstByte - earlier.firstByte - q.class.Window - j.head.Rules.Slack
	switch {
	case q.class.Effect == effectUnsafe:
		v.Name = UnsafeRepeat
		v.Text = fmt.Sprintf("unsafe, and sent to box %s though box %s may have run it", a.backend, earlier.backend)
	case grouped && (before == nil || now == nil):
		v.Text = "sent again to a box whose start is not in the trace"
		j.addUndecided(v)
		return v, false
	case grouped && !sameGroup(q.class.Group, before, now):
		v.Name = RepeatOutsideGroup
		v.Text = fmt.Sprintf("keyed, and sent to box %s of %s though box %s of %s may have run it",
			a.backend, now.site, earlier.backend, before.site)
	case overWindow > 0:
		v.Name, v.margin, v.from, v.to = RepeatAfterWindow, overWindow, earlier.firstByte, a.firstByte
		v.Text = fmt.Sprintf("keyed, and sent again %v after box %s may have run it, where repeats are dropped for %v",
			rounded(a.firstByte-earlier.firstByte), earlier.backend, duration(q.class.Window))
	default:
		return v, false
	}
	v.Text += through
	return v, true
}

// sameGroup reports whether two backends drop each other's repeats of a keyed request: those of a site, or of a cell.
func sameGroup(group string, a, b *backend) bool {
	return a.site == b.site && (group != groupCell || a.cell == b.cell)
}

// checkRefusal checks that a refused request is known not to have run, or that a repeat of it is harmless.
func (j *Judge) checkRefusal(r lineRecord, q *request, s *send) {
	if q.harmlessAgain() {
		return
	}
	begunAt := cmp.Or(r.T0, r.T)
	for _, a := range q.attempts {
		if !a.mayHaveRun(begunAt) || j.wasKilled(a.node, a.firstByte, begunAt) {
			continue
		}
		v := Violation{Rule: NoDoubleEffect, Name: FalseRefusal, At: begunAt, Node: r.Node, Request: r.ID, Box: a.backend,
			Lines: []int{s.line, a.line, r.line}, Text: fmt.Sprintf("refused (%d) though box %s may have run it", r.Status, a.backend)}
		if a.node != r.Node { // its client came here only because that node had let it go
			v.Node, v.earlierNode = a.node, a.node
			v.Text += fmt.Sprintf(" (by node %s, once node %s had closed on its client)", r.Node, a.node)
		}
		j.addViolation(v)
		return
	}
}
