package judge

import (
	"maps"
	"slices"

	"craneglade/internal/kit/trace"
)

// retention is how long a request, an attempt or an answer is kept after its last record.
const retention = 10 * microsPerSecond

// The effects and groups of a class of requests (trace.Class).
const (
	effectSafe   = "safe"
	effectKeyed  = "keyed"
	effectUnsafe = "unsafe"
	groupAll     = "all"
	groupCell    = "cell"
)

// request is a request that a client sent, perhaps several times.
type request struct {
	class              *trace.Class // nil if unknown
	sends              []*send
	attempts           []*attempt
	finalAt            int64 // when the final answer was read or the client disconnected; -1 before
	finalLine          int
	clientDisconnected bool
	served             bool // a backend has served it
	lastRecord         int64
}

// repeatHarmless reports whether the request may be repeated at any backend without a second effect.
func (q *request) repeatHarmless() bool {
	return q.class == nil || q.class.Effect == effectSafe || q.class.Effect == effectKeyed && q.class.Group == groupAll
}

// send is one transmission of a request by a client.
type send struct {
	sentAt, timeout int64
	node            string
	conn            int64
	reused          bool // the connection had carried a request before
	line            int
	ended           bool // its outcome is known
}

// attempt is a request as a backend received it.
type attempt struct {
	requestID, backend, node string
	firstByte                int64
	lastByte                 int64
	line                     int
	fromInvalidClient        bool  // sent by a client that sends invalid requests
	rejectedAt               int64 // when the backend started to write that it did not run; -1 if it did not reject it
	rejectedLine             int
}

// mayHaveRun reports whether a sender at the given time could not yet know that the attempt did not run.
func (a *attempt) mayHaveRun(at int64) bool { return a.rejectedAt < 0 || a.rejectedAt > at }

// answer is an answer to a request.
type answer struct {
	requestID string // the request's
	at        int64
	line      int
}

// requestSent records that a client sent a request.
func (j *Judge) requestSent(r lineRecord) {
	q := j.requests[r.ID]
	if q == nil {
		q = &request{class: j.classes[r.Class], finalAt: -1}
		j.requests[r.ID] = q
		j.verdict.Requests++
	}
	q.lastRecord = r.T
	j.recordRequestTime(r)
	q.sends = append(q.sends, &send{sentAt: r.T, timeout: r.Timeout, node: r.Node, conn: r.Conn, reused: r.Reused, line: r.line})
	if r.PlannedAt > 0 && !r.Resent {
		j.lateness.addSend(r.T - r.PlannedAt)
	}
}

// findSend returns the request and the send whose outcome a record reports; nil where they are unknown.
func (j *Judge) findSend(r lineRecord) (*request, *send) {
	q := j.requests[r.ID]
	if q == nil {
		return nil, nil
	}
	q.lastRecord = r.T
	for _, s := range slices.Backward(q.sends) {
		if s.conn == r.Conn && s.node == r.Node {
			return q, s
		}
	}
	return q, nil
}

// backendReplied records how a backend answered an attempt.
func (j *Judge) backendReplied(r lineRecord) {
	a := j.attempts[r.Attempt]
	if a != nil && r.How == trace.Rejected {
		a.rejectedAt, a.rejectedLine = r.T, r.line
	}
	if a != nil && !a.fromInvalidClient && r.How == trace.Refused && r.Status == 400 {
		j.addViolation(Violation{Rule: NoDoubleEffect, Name: UnsentRequest, At: a.firstByte, Node: a.node, Request: r.ID, Box: r.Backend,
			Lines: []int{a.line, r.line}, Text: "a box got a request in a form that no client sent: " + r.Why})
	}
	if r.How == trace.Served && r.Digest != "" {
		if q := j.requests[r.ID]; q != nil {
			q.served = true
		}
		j.bodies[r.Digest] = &answer{r.ID, r.T, r.line}
	}
}

// sweep drops state that no later record can refer to.
func (j *Judge) sweep(now int64) {
	j.lastSweep = now
	for id, q := range j.requests {
		if now-q.lastRecord < retention {
			continue
		}
		j.closeRequest(id, q, now)
		delete(j.requests, id)
	}
	for id, a := range j.attempts {
		if now-a.lastByte > retention {
			delete(j.attempts, id)
		}
	}
	expired := func(a *answer) bool { return now-a.at > retention }
	maps.DeleteFunc(j.bodies, func(_ string, a *answer) bool { return expired(a) })
	maps.DeleteFunc(j.lastAnswer, func(_ int64, a *answer) bool { return expired(a) })
}

// closeRequest reports a send whose outcome is missing, before its request is dropped.
func (j *Judge) closeRequest(id string, q *request, now int64) {
	for _, s := range q.sends {
		if !s.ended && !j.wasKilled(s.node, s.sentAt, now) {
			j.addUndecided(Violation{Rule: OneAnswer, At: s.sentAt, Node: s.node, Request: id,
				Lines: []int{s.line}, Text: "what became of this request is not in the trace"})
			return
		}
	}
}
