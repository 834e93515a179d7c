package judge

import (
	"fmt"

	"craneglade/internal/kit/trace"
)

// This file is rule 3: nothing new to a backend after the grace from being told that it drains or is gone.

// nodeTold records what a node was told of a backend, by the list or by DNS.
func (j *Judge) nodeTold(r lineRecord) {
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

// leaving returns what told the node first that a backend drains or is gone; false where nothing did.
func (n *node) leaving(backend string) (told notice, ok bool) {
	listed, isListed := n.listed[backend]
	isLeaving := isListed && listed.state != trace.Ready
	withdrawn, isWithdrawn := n.withdrawn[backend]
	if isWithdrawn && (!isLeaving || withdrawn.at < listed.at) {
		return withdrawn, withdrawn.state != trace.Ready
	}
	return listed, isLeaving
}

// checkDrain holds the first byte that came to a backend against what its node was told.
func (j *Judge) checkDrain(r lineRecord, firstByte int64) {
	told, ok := j.node(r.Node).leaving(r.Backend)
	if !ok {
		return
	}
	over := firstByte - told.at - j.head.Rules.DrainGrace - j.head.Rules.Slack
	if over <= 0 {
		return
	}
	j.addViolation(Violation{Rule: DrainsHonoured, Name: SentToDraining, At: firstByte, Node: r.Node, Request: r.ID, Box: r.Backend,
		Lines: []int{told.line, r.line}, margin: over, from: told.at, to: firstByte,
		Text: fmt.Sprintf("sent to box %s %v after the node was told that it is %s", r.Backend, rounded(firstByte-told.at), told.state)})
}
