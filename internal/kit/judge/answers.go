package judge

import (
	"cmp"
	"fmt"

	"craneglade/internal/kit/trace"
)

// This file is rule 1: exactly one final answer, in time, made for the request, and nothing after it.

// answerLimit is the moment until which a send's final answer is in time.
func (j *Judge) answerLimit(s *send) int64 {
	return s.at + s.wait + j.head.Rules.AnswerSlack + j.head.Rules.Slack
}

// answerReceived checks a final answer that a client has read.
func (j *Judge) answerReceived(r lineRecord) {
	q, s := j.findSend(r)
	if s == nil {
		j.addUndecided(Violation{Rule: OneAnswer, At: r.T, Node: r.Node, Request: r.ID, Lines: []int{r.line},
			Text: "an answer to a request whose send is not in the trace"})
		return
	}
	begunAt := cmp.Or(r.T0, r.T)
	isSecond := s.over || q.finalAt >= 0
	s.over = true
	if isSecond {
		j.addViolation(Violation{Rule: OneAnswer, Name: SecondAnswer, At: begunAt, Node: r.Node, Request: r.ID,
			Lines: []int{s.line, q.finalLine, r.line}, Text: "a second final answer"})
		return
	}
	q.finalAt, q.finalLine = r.T, r.line
	before := j.lastAnswer[r.Conn]
	j.lastAnswer[r.Conn] = &answer{r.ID, r.T, r.line}
	j.checkInTime(r, s)
	switch r.Status {
	case 200:
		j.checkBody(r, q, s, before)
	case 429, 503:
		j.checkRefusal(r, q, s)
	}
}

// checkInTime checks that a final answer came within its limit.
func (j *Judge) checkInTime(r lineRecord, s *send) {
	over := r.T - j.answerLimit(s)
	if over <= 0 {
		return
	}
	j.addViolation(Violation{Rule: OneAnswer, Name: LateAnswer, At: s.at + s.wait, Node: r.Node, Request: r.ID,
		Lines: []int{s.line, r.line}, margin: over, from: s.at, to: r.T,
		Text: fmt.Sprintf("answered %v after it was sent, with %v to wait", rounded(r.T-s.at), rounded(s.wait))})
}

// checkBody checks that a served answer was made for its request. before is the last answer on the same connection.
func (j *Judge) checkBody(r lineRecord, q *request, s *send, before *answer) {
	begunAt := cmp.Or(r.T0, r.T)
	made := j.bodies[r.Digest]
	switch {
	case made != nil && made.id == r.ID:
		return
	case made != nil && before != nil && made.id == before.id && !q.served:
		// What came is the connection's last answer once more, and no backend has answered this request yet.
		j.addViolation(Violation{Rule: OneAnswer, Name: SecondAnswer, At: begunAt, Node: r.Node, Request: made.id,
			Lines: []int{before.line, s.line, r.line},
			Text:  "its answer came a second time, and stands for that of request " + r.ID})
	case made != nil:
		j.addViolation(Violation{Rule: OneAnswer, Name: WrongAnswer, At: begunAt, Node: r.Node, Request: r.ID,
			Lines: []int{s.line, r.line, made.line}, Text: "its body was made for request " + made.id})
	default:
		j.addViolation(Violation{Rule: OneAnswer, Name: WrongAnswer, At: begunAt, Node: r.Node, Request: r.ID,
			Lines: []int{s.line, r.line}, Text: "its body was made by no box for any request"})
	}
}

// connectionBroke checks a connection that ended before the final answer.
func (j *Judge) connectionBroke(r lineRecord) {
	q, s := j.findSend(r)
	if s == nil || s.over {
		return
	}
	s.over = true
	if j.wasKilled(r.Node, s.at, r.T) || !j.alive(r.Node, r.T) {
		return // the client's to retry
	}
	if r.Bytes > 0 {
		q.finalAt, q.finalLine = r.T, r.line // begun and broken off: it has failed, and the client can tell
		return
	}
	evidence := []int{s.line, r.line}
	taken := r.How == trace.RequestRead
	for _, a := range q.attempts {
		if a.node == r.Node && a.firstByte >= s.at-maxDisorder {
			taken = true
			evidence = append(evidence, a.line)
		}
	}
	if s.reused && !taken {
		return // the node closed a kept connection, and the request crossed that
	}
	j.addViolation(Violation{Rule: OneAnswer, Name: CutOff, At: r.T, Node: r.Node, Request: r.ID, Lines: evidence,
		Text: "the connection ended without an answer: " + r.Why})
}

// clientGaveUp checks a request whose client left before the final answer.
func (j *Judge) clientGaveUp(r lineRecord) {
	q, s := j.findSend(r)
	if s == nil || s.over {
		return
	}
	s.over = true
	q.finalAt, q.finalLine, q.clientLeft = r.T, r.line, true
	if r.Why != "time" || j.wasKilled(r.Node, s.at, r.T) || !j.alive(r.Node, r.T) {
		return
	}
	evidence := []int{s.line, r.line}
	for _, a := range q.attempts {
		evidence = append(evidence, a.line)
	}
	j.addViolation(Violation{Rule: OneAnswer, Name: NoAnswer, At: s.at + s.wait, Node: r.Node, Request: r.ID, Lines: evidence,
		margin: max(r.T-j.answerLimit(s), 1), from: s.at, to: r.T,
		Text: fmt.Sprintf("no final answer within %v", rounded(s.wait))})
}

// extraBytes records bytes behind a final answer.
func (j *Judge) extraBytes(r lineRecord) {
	if !j.alive(r.Node, r.T) {
		return
	}
	j.addViolation(Violation{Rule: OneAnswer, Name: SecondAnswer, At: r.T, Node: r.Node, Request: r.ID, Lines: []int{r.line},
		Text: fmt.Sprintf("%d bytes came behind the final answer", r.Bytes)})
}

// badInputAnswered checks how a node answered what is no request.
func (j *Judge) badInputAnswered(r lineRecord) {
	if r.How != trace.Served {
		return
	}
	j.addViolation(Violation{Rule: OneAnswer, Name: ServedInvalid, At: r.T, Node: r.Node, Request: r.ID, Lines: []int{r.line},
		Text: "what is no request was answered 200: " + r.Why})
}

// checkNotAfterEnd checks that an attempt did not begin after the final answer, or after the client had left.
func (j *Judge) checkNotAfterEnd(r lineRecord, q *request, a *attempt) {
	limit := q.finalAt + j.head.Rules.Slack
	if q.finalAt < 0 || a.firstByte <= limit {
		return
	}
	what := "the final answer"
	if q.clientLeft {
		what = "its client had left"
	}
	j.addViolation(Violation{Rule: OneAnswer, Name: SentAfterEnd, At: a.firstByte, Node: r.Node, Request: r.ID, Box: r.Backend,
		Lines: []int{q.finalLine, r.line}, margin: a.firstByte - limit, from: q.finalAt, to: a.firstByte,
		Text: fmt.Sprintf("sent to box %s %v after %s", r.Backend, rounded(a.firstByte-q.finalAt), what)})
}
