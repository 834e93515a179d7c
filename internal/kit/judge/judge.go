// Package judge checks the trace of a rehearsal against the rules. It is a pure state machine: records go in with Add, the
// verdict comes out of Finish; it has no clock, no I/O and no goroutine, and the same records give the same verdict.
//
// It relies only on what clients, backends and the list observed on their sockets. A node may have known less than that,
// never more. Doubts are resolved in the node's favour, but a case that the trace doesn't decide counts as undecided, never
// as kept.
//
//   - An attempt may have run once a backend read its last byte, unless that backend rejected it (503 or 504 with
//     X-Not-Run: 1) and started to write the rejection before the first byte of the next attempt arrived.
//   - A node counts as notified of a backend's state from the time that the simulated list recorded: for pushed lists, when
//     the agent beside the node had received it.
//   - Each time limit is extended by Rules.Slack, for the latency of sockets.
//   - A time limit that was exceeded by no more than the time the kit itself was stalled meanwhile counts as undecided, as the
//     delay may be the kit's.
package judge

import (
	"container/heap"
	"time"

	"craneglade/internal/kit/trace"
)

// The times of a trace are in microseconds.
const (
	microsPerMilli  = int64(1000)
	microsPerSecond = 1000 * microsPerMilli
)

const (
	maxDisorder   = int64(trace.Disorder / time.Microsecond)
	sweepInterval = microsPerSecond // of the trace's time
)

// Judge checks one trace.
type Judge struct {
	head      trace.Head
	classes   map[string]*trace.Class
	pending   recordQueue // records that an earlier one may still precede
	newest    int64       // the latest time of a record so far
	lastSweep int64       // when sweep last ran

	nodes      map[string]*node
	backends   map[string]*backend
	requests   map[string]*request
	attempts   map[int64]*attempt
	bodies     map[string]*answer // answers that backends served, by the digest of the body
	lastAnswer map[int64]*answer  // the latest final answer on each client connection
	shared     sharedState
	lateness   lateness

	found   []Violation
	verdict Verdict
}

// New returns a judge for a trace with this head.
func New(head trace.Head) *Judge {
	j := &Judge{
		head:       head,
		classes:    map[string]*trace.Class{},
		nodes:      map[string]*node{},
		backends:   map[string]*backend{},
		requests:   map[string]*request{},
		attempts:   map[int64]*attempt{},
		bodies:     map[string]*answer{},
		lastAnswer: map[int64]*answer{},
		shared:     newSharedState(),
	}
	for i := range head.Classes {
		j.classes[head.Classes[i].Name] = &head.Classes[i]
	}
	for _, n := range head.Nodes {
		j.node(n.Name)
	}
	return j
}

// Add processes the record on one line of the trace; the head is line 1. Records may be out of time order by at most
// trace.Disorder.
func (j *Judge) Add(line int, r trace.Record) {
	heap.Push(&j.pending, lineRecord{r, line})
	j.newest = max(j.newest, r.T)
	for len(j.pending) > 0 && j.pending[0].T < j.newest-maxDisorder {
		j.process(heap.Pop(&j.pending).(lineRecord))
	}
}

// process handles one record. Records are passed to it in time order.
func (j *Judge) process(r lineRecord) {
	if r.T-j.lastSweep > sweepInterval {
		j.sweep(r.T)
	}
	switch r.Kind {
	case trace.Sent:
		j.requestSent(r)
	case trace.Got:
		j.answerReceived(r)
	case trace.Broke:
		j.connectionBroke(r)
	case trace.GaveUp:
		j.clientGaveUp(r)
	case trace.Extra:
		j.extraBytes(r)
	case trace.InvalidClient:
		j.invalidInputAnswered(r)
	case trace.Received:
		j.attemptReceived(r)
	case trace.Partial:
		j.checkDrain(r, r.T0)
	case trace.Reply:
		j.backendReplied(r)
	case trace.Notified:
		j.nodeNotified(r)
	case trace.Backend:
		j.backendChanged(r)
	case trace.Capacity:
		j.capacityChanged(r)
	case trace.Process:
		j.processChanged(r)
		j.sharingProcessChanged(r)
	case trace.Spend:
		j.recordSpendable(r)
	case trace.View:
		j.checkView(r)
	case trace.NetworkFault:
		j.networkChanged(r)
	case trace.Stall:
		j.lateness.addStall(r.Record)
	case trace.End:
		j.verdict.Whole = true
	}
}

// Finish processes the remaining records and returns the verdict. Add must not be called after it.
func (j *Judge) Finish() *Verdict {
	for len(j.pending) > 0 {
		j.process(heap.Pop(&j.pending).(lineRecord))
	}
	for id, q := range j.requests {
		j.closeRequest(id, q, j.newest)
	}
	j.classifyFindings()
	j.lateness.fill(&j.verdict, j.newest)
	return &j.verdict
}

// classifyFindings splits the findings into violations and those that are undecided because the kit was stalled, and sorts
// both.
func (j *Judge) classifyFindings() {
	v := &j.verdict
	for _, f := range j.found {
		if f.margin > 0 && j.lateness.stalledWithin(f.from, f.to) >= f.margin {
			f.Text += "; but the kit itself was late then"
			v.Undecided = append(v.Undecided, f)
		} else {
			v.Violations = append(v.Violations, f)
		}
	}
	sortViolations(v.Violations)
	sortViolations(v.Undecided)
}

// addViolation records a violation, unless it is excused by a stopped process or maxListed of them are recorded already.
func (j *Judge) addViolation(v Violation) {
	if j.excusedByStop(&v) {
		j.verdict.Excused++
		return
	}
	if len(j.found) >= maxListed {
		j.verdict.Unlisted++
		return
	}
	j.found = append(j.found, v)
}

func (j *Judge) addUndecided(v Violation) { j.verdict.Undecided = append(j.verdict.Undecided, v) }
