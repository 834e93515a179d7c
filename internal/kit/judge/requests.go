package judge

import (
	"maps"
	"slices"

	"craneglade/internal/kit/trace"
)

// forgetAfter is how long after its last record a request, an attempt or an answer is kept.
const forgetAfter = 10 * microsPerSecond

// The effects and groups of a class of requests (trace.Class).
const (
	effectSafe   = "safe"
	effectKeyed  = "keyed"
	effectUnsafe = "unsafe"
	groupAll     = "all"
	groupCell    = "cell"
)

// request is one that a client sent, perhaps several times.
type request struct {
	class      *trace.Class // nil for an unknown one
	sends      []*send
	attempts   []*attempt
	finalAt    int64 // when the final answer was read or the client left; -1 before
	finalLine  int
	clientLeft bool
	served     bool // a backend has answered it
	lastRecord int64
}

// harmlessAgain reports whether a repeat of the request harms nobody, at any backend.
func (q *request) harmlessAgain() bool {
	return q.class == nil || q.class.Effect == effectSafe || q.class.Effect == effectKeyed && q.class.Group == groupAll
}

// send is one time that a client sent a request.
type send struct {
	at, wait int64
	node     string
	conn     int64
	reused   bool // the connection had carried a request before
	line     int
	over     bool // its end is known
}

// attempt is a request as it came to a backend.
type attempt struct {
	id, backend, node string
	firstByte         int64
	lastByte          int64
	line              int
	badClient         bool  // of a client that sends no valid requests
	turnedAt          int64 // when the backend began to say that it never ran; -1 if it did not
	turnedLine        int
}

// mayHaveRun reports whether a sender that acted at a moment can't have known that this attempt never ran.
func (a *attempt) mayHaveRun(at int64) bool { return a.turnedAt < 0 || a.turnedAt > at }

// answer is one made for a request.
type answer struct {
	id   string // the request's
	at   int64
	line int
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
	j.countAsked(r)
	q.sends = append(q.sends, &send{at: r.T, wait: r.Timeout, node: r.Node, conn: r.Conn, reused: r.Reused, line: r.line})
	if r.PlannedAt > 0 && !r.Resent {
		j.lateness.addSend(r.T - r.PlannedAt)
	}
}

// findSend returns the request and the send that the record of an end belongs to, or nil.
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
		a.turnedAt, a.turnedLine = r.T, r.line
	}
	if a != nil && !a.badClient && r.How == trace.Refused && r.Status == 400 {
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

// sweep forgets what nothing more can come of.
func (j *Judge) sweep(now int64) {
	j.swept = now
	for id, q := range j.requests {
		if now-q.lastRecord < forgetAfter {
			continue
		}
		j.closeRequest(id, q, now)
		delete(j.requests, id)
	}
	for id, a := range j.attempts {
		if now-a.lastByte > forgetAfter {
			delete(j.attempts, id)
		}
	}
	old := func(a *answer) bool { return now-a.at > forgetAfter }
	maps.DeleteFunc(j.bodies, func(_ string, a *answer) bool { return old(a) })
	maps.DeleteFunc(j.lastAnswer, func(_ int64, a *answer) bool { return old(a) })
}

// closeRequest looks at a request for the last time.
func (j *Judge) closeRequest(id string, q *request, now int64) {
	for _, s := range q.sends {
		if !s.over && !j.wasKilled(s.node, s.at, now) {
			j.addUndecided(Violation{Rule: OneAnswer, At: s.at, Node: s.node, Request: id,
				Lines: []int{s.line}, Text: "what became of this request is not in the trace"})
			return
		}
	}
}
