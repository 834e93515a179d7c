// Package judge checks a trace of a rehearsal against the rules. It is a pure state machine: records go in with Add, the
// verdict comes out of Finish; it has no clock, no I/O and no goroutine, and the same records give the same verdict.
//
// It goes only by what clients, backends and the list saw on their sockets. A node may have known less than that, never
// more. The judge reads every doubt in the node's favour, but what it can't tell counts as undecided and never as kept.
//
//   - An attempt may have run once its last byte was read at a backend, unless that backend turned it away (503 or 504
//     with X-Not-Run: 1) and began to say so before the next attempt's first byte came.
//   - A node was told of a backend's state when the list's stand-in noted so: for pushed lists when the agent beside
//     the node had it.
//   - Each time limit is longer by Rules.Slack, for what sockets cost.
//   - Where the kit itself was late, by its own account, for as long as a limit was overrun, nobody can tell whose
//     delay it was.
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

// Judge is the state of one judgement.
type Judge struct {
	head    trace.Head
	classes map[string]*trace.Class
	pending recordQueue // records that an earlier one may still come before
	newest  int64       // the latest time of a record
	swept   int64       // when sweep was last called

	nodes      map[string]*node
	backends   map[string]*backend
	requests   map[string]*request
	attempts   map[int64]*attempt
	bodies     map[string]*answer // what backends served, by the body's checksum
	lastAnswer map[int64]*answer  // the latest final answer on each of the clients' connections
	shared     shared
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
		shared:     newShared(),
	}
	for i := range head.Classes {
		j.classes[head.Classes[i].Name] = &head.Classes[i]
	}
	for _, n := range head.Nodes {
		j.node(n.Name)
	}
	return j
}

// Add takes in the record of one line of the trace, the head's being line 1. Records may come out of the order of
// their times by trace.Disorder.
func (j *Judge) Add(line int, r trace.Record) {
	heap.Push(&j.pending, lineRecord{r, line})
	j.newest = max(j.newest, r.T)
	for len(j.pending) > 0 && j.pending[0].T < j.newest-maxDisorder {
		j.process(heap.Pop(&j.pending).(lineRecord))
	}
}

// process acts on one record. It gets them in the order of their times.
func (j *Judge) process(r lineRecord) {
	if r.T-j.swept > sweepInterval {
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
		j.badInputAnswered(r)
	case trace.Received:
		j.attemptReceived(r)
	case trace.Partial:
		j.checkDrain(r, r.T0)
	case trace.Reply:
		j.backendReplied(r)
	case trace.Notified:
		j.nodeTold(r)
	case trace.Backend:
		j.backendChanged(r)
	case trace.Capacity:
		j.capacityChanged(r)
	case trace.Process:
		j.processChanged(r)
		j.sharerChanged(r)
	case trace.Spend:
		j.spend(r)
	case trace.View:
		j.view(r)
	case trace.NetworkFault:
		j.networkChanged(r)
	case trace.Stall:
		j.lateness.addLag(r.Record)
	case trace.End:
		j.verdict.Whole = true
	}
}

// Finish takes in what is left and returns the verdict. Nothing may be added after it.
func (j *Judge) Finish() *Verdict {
	for len(j.pending) > 0 {
		j.process(heap.Pop(&j.pending).(lineRecord))
	}
	for id, q := range j.requests {
		j.closeRequest(id, q, j.newest)
	}
	j.sortOut()
	j.lateness.fill(&j.verdict, j.newest)
	return &j.verdict
}

// sortOut divides what was found into violations and what is undecided because the kit was late, in a fixed order.
func (j *Judge) sortOut() {
	v := &j.verdict
	for _, f := range j.found {
		if f.margin > 0 && j.lateness.between(f.from, f.to) >= f.margin {
			f.Text += "; but the kit itself was late then"
			v.Undecided = append(v.Undecided, f)
		} else {
			v.Violations = append(v.Violations, f)
		}
	}
	sortViolations(v.Violations)
	sortViolations(v.Undecided)
}

// addViolation records a broken rule, unless the node could not act in time or too many are recorded already.
func (j *Judge) addViolation(v Violation) {
	if j.excused(&v) {
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
