package judge

import (
	"fmt"

	"craneglade/internal/kit/trace"
)

// This file checks rule 3: a node sends nothing new to a backend later than the grace after it was notified that the backend
// drains or is removed.

// nodeNotified records the state of a backend that a node was notified of, by the list or by DNS.
func (j *Judge) nodeNotified(r lineRecord) {
	n := j.node(r.Node)
	if r.How != trace.ByDNS {
		n.listed[r.Backend] = notice{r.State, r.T, r.line}
		if r.State == trace.Ready { // a new process, which DNS has not withdrawn
			delete(n.withdrawn, r.Backend)
		}
		return
	}
	if r.State == trace.Ready {
		delete(n.withdrawn, r.Backend)
		return
	}
	if _, known := n.withdrawn[r.Backend]; !known {
		n.withdrawn[r.Backend] = notice{r.State, r.T, r.line}
	}
}

// leaveNotice returns the first notice to the node that a backend drains or is removed, and false if there was none.
func (n *node) leaveNotice(backend string) (notified notice, ok bool) {
	listed, isListed := n.listed[backend]
	isLeaving := isListed && listed.state != trace.Ready
	withdrawn, isWithdrawn := n.withdrawn[backend]
	if isWithdrawn && (!isLeaving || withdrawn.notifiedAt < listed.notifiedAt) {
		return withdrawn, withdrawn.state != trace.Ready
	}
	return listed, isLeaving
}

// checkDrain checks the time of a request's first byte at a backend against what its node was notified of.
func (j *Judge) checkDrain(r lineRecord, firstByte int64) {
	notified, ok := j.node(r.Node).leaveNotice(r.Backend)
	if !ok {
		return
	}
	overrun := firstByte - notified.notifiedAt - j.head.Rules.DrainGrace - j.head.Rules.Slack
	if overrun <= 0 {
		return
	}
	j.addViolation(Violation{Rule: DrainsHonoured, Name: SentToDraining, At: firstByte, Node: r.Node, Request: r.ID, Box: r.Backend,
		Lines: []int{notified.line, r.line}, margin: overrun, from: notified.notifiedAt, to: firstByte,
		Text: fmt.Sprintf("sent to box %s %v after the node was told that it is %s", r.Backend, rounded(firstByte-notified.notifiedAt), notified.state)})
}
