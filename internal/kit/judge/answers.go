package judge

import (
	"cmp"
	"fmt"

	"craneglade/internal/kit/trace"
)

// This file checks rule 1: each request gets exactly one final answer, in time and made for that request, and nothing
// follows it.

// answerDeadline returns the latest time at which the final answer to a send is in time.
func (j *Judge) answerDeadline(s *send) int64 {
	return s.sentAt + s.timeout + j.head.Rules.AnswerSlack + j.head.Rules.Slack
}

// answerReceived checks a final answer that a client read.
func (j *Judge) answerReceived(r lineRecord) {
	q, s := j.findSend(r)
	if s == nil {
		j.addUndecided(Violation{Rule: OneAnswer, At: r.T, Node: r.Node, Request: r.ID, Lines: []int{r.line},
			Text: "an answer to a request whose send is not in the trace"})
		return
	}
	startedAt := cmp.Or(r.T0, r.T)
	isSecond := s.ended || q.finalAt >= 0
	s.ended = true
	if isSecond {
		j.addViolation(Violation{Rule: OneAnswer, Name: SecondAnswer, At: startedAt, Node: r.Node, Request: r.ID,
			Lines: []int{s.line, q.finalLine, r.line}, Text: "a second final answer"})
		return
	}
	q.finalAt, q.finalLine = r.T, r.line
	previous := j.lastAnswer[r.Conn]
	j.lastAnswer[r.Conn] = &answer{r.ID, r.T, r.line}
	j.checkInTime(r, s)
	switch r.Status {
	case 200:
		j.checkBody(r, q, s, previous)
	case 429, 503:
		j.checkRefusal(r, q, s)
	}
}

// checkInTime checks that a final answer was read by its deadline.
func (j *Judge) checkInTime(r lineRecord, s *send) {
	overrun := r.T - j.answerDeadline(s)
	if overrun <= 0 {
		return
	}
	j.addViolation(Violation{Rule: OneAnswer, Name: LateAnswer, At: s.sentAt + s.timeout, Node: r.Node, Request: r.ID,
		Lines: []int{s.line, r.line}, margin: overrun, from: s.sentAt, to: r.T,
		Text: fmt.Sprintf("answered %v after it was sent, with %v to wait", rounded(r.T-s.sentAt), rounded(s.timeout))})
}

// checkBody checks that the body of a served answer was made for its request. previous is the answer before it on the same
// connection.
func (j *Judge) checkBody(r lineRecord, q *request, s *send, previous *answer) {
	startedAt := cmp.Or(r.T0, r.T)
	origin := j.bodies[r.Digest]
	switch {
	case origin != nil && origin.requestID == r.ID:
		return
	case origin != nil && previous != nil && origin.requestID == previous.requestID && !q.served:
		// The previous answer on this connection was delivered again, and no backend has answered this request yet.
		j.addViolation(Violation{Rule: OneAnswer, Name: SecondAnswer, At: startedAt, Node: r.Node, Request: origin.requestID,
			Lines: []int{previous.line, s.line, r.line},
			Text:  "its answer came a second time, and stands for that of request " + r.ID})
	case origin != nil:
		j.addViolation(Violation{Rule: OneAnswer, Name: WrongAnswer, At: startedAt, Node: r.Node, Request: r.ID,
			Lines: []int{s.line, r.line, origin.line}, Text: "its body was made for request " + origin.requestID})
	default:
		j.addViolation(Violation{Rule: OneAnswer, Name: WrongAnswer, At: startedAt, Node: r.Node, Request: r.ID,
			Lines: []int{s.line, r.line}, Text: "its body was made by no box for any request"})
	}
}

// connectionBroke checks a connection that ended before the final answer was read.
func (j *Judge) connectionBroke(r lineRecord) {
	q, s := j.findSend(r)
	if s == nil || s.ended {
		return
	}
	s.ended = true
	if j.wasKilled(r.Node, s.sentAt, r.T) || !j.alive(r.Node, r.T) {
		return // the client retries after a kill
	}
	if r.Bytes > 0 {
		q.finalAt, q.finalLine = r.T, r.line // a truncated answer counts as a failure that the client can detect
		return
	}
	evidence := []int{s.line, r.line}
	requestRead := r.How == trace.RequestRead
	for _, a := range q.attempts {
		if a.node == r.Node && a.firstByte >= s.sentAt-maxDisorder {
			requestRead = true
			evidence = append(evidence, a.line)
		}
	}
	if s.reused && !requestRead {
		return // the node closed an idle connection while the request was on its way
	}
	j.addViolation(Violation{Rule: OneAnswer, Name: CutOff, At: r.T, Node: r.Node, Request: r.ID, Lines: evidence,
		Text: "the connection ended without an answer: " + r.Why})
}

// clientGaveUp checks a request whose client disconnected before the final answer.
func (j *Judge) clientGaveUp(r lineRecord) {
	q, s := j.findSend(r)
	if s == nil || s.ended {
		return
	}
	s.ended = true
	q.finalAt, q.finalLine, q.clientDisconnected = r.T, r.line, true
	if r.Why != "time" || j.wasKilled(r.Node, s.sentAt, r.T) || !j.alive(r.Node, r.T) {
		return
	}
	evidence := []int{s.line, r.line}
	for _, a := range q.attempts {
		evidence = append(evidence, a.line)
	}
	j.addViolation(Violation{Rule: OneAnswer, Name: NoAnswer, At: s.sentAt + s.timeout, Node: r.Node, Request: r.ID, Lines: evidence,
		margin: max(r.T-j.answerDeadline(s), 1), from: s.sentAt, to: r.T,
		Text: fmt.Sprintf("no final answer within %v", rounded(s.timeout))})
}

// extraBytes records bytes received after a final answer.
func (j *Judge) extraBytes(r lineRecord) {
	if !j.alive(r.Node, r.T) {
		return
	}
	j.addViolation(Violation{Rule: OneAnswer, Name: SecondAnswer, At: r.T, Node: r.Node, Request: r.ID, Lines: []int{r.line},
		Text: fmt.Sprintf("%d bytes came behind the final answer", r.Bytes)})
}

// invalidInputAnswered checks how a node answered input that is not a valid request.
func (j *Judge) invalidInputAnswered(r lineRecord) {
	if r.How != trace.Served {
		return
	}
	j.addViolation(Violation{Rule: OneAnswer, Name: ServedInvalid, At: r.T, Node: r.Node, Request: r.ID, Lines: []int{r.line},
		Text: "what is no request was answered 200: " + r.Why})
}

// checkNotAfterEnd checks that an attempt did not start after the final answer was read or the client disconnected.
func (j *Judge) checkNotAfterEnd(r lineRecord, q *request, a *attempt) {
	limit := q.finalAt + j.head.Rules.Slack
	if q.finalAt < 0 || a.firstByte <= limit {
		return
	}
	event := "the final answer"
	if q.clientDisconnected {
		event = "its client had left"
	}
	j.addViolation(Violation{Rule: OneAnswer, Name: SentAfterEnd, At: a.firstByte, Node: r.Node, Request: r.ID, Box: r.Backend,
		Lines: []int{q.finalLine, r.line}, margin: a.firstByte - limit, from: q.finalAt, to: a.firstByte,
		Text: fmt.Sprintf("sent to box %s %v after %s", r.Backend, rounded(a.firstByte-q.finalAt), event)})
}
