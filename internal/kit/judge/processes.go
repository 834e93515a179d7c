package judge

import (
	"slices"

	"craneglade/internal/kit/trace"
)

// maxCrashDetection is the longest time from the end of a process to the record of its crash.
const maxCrashDetection = 500 * microsPerMilli

// node is the known state of a node's process.
type node struct {
	killedAt  int64             // when it was last killed or its crash was recorded; -1 for never
	listed    map[string]notice // states of backends, from the list
	withdrawn map[string]notice // backends that DNS no longer returns
	startedAt int64
	ready     bool
	stops     []span // while its process was stopped (SIGSTOP)
	endedAt   int64  // when it last ended; 0 for never
}

// notice is a state of a backend that a node was notified of.
type notice struct {
	state      string
	notifiedAt int64
	line       int
}

// node returns the state of a node and creates it if necessary.
func (j *Judge) node(name string) *node {
	n := j.nodes[name]
	if n == nil {
		n = &node{killedAt: -1, listed: map[string]notice{}, withdrawn: map[string]notice{}}
		j.nodes[name] = n
	}
	return n
}

// alive reports whether a node is accountable at a time: it was never killed, or was restarted since and by then.
func (j *Judge) alive(name string, at int64) bool {
	n := j.node(name)
	return n.killedAt < 0 || n.startedAt > n.killedAt && at >= n.startedAt
}

// wasKilled reports whether a node was killed between two times.
func (j *Judge) wasKilled(name string, from, to int64) bool {
	killedAt := j.node(name).killedAt
	return killedAt >= from && killedAt <= to
}

// processChanged tracks the starts and ends of nodes' processes.
func (j *Judge) processChanged(r lineRecord) {
	n := j.node(r.Node)
	switch r.State {
	case trace.Started:
		n.start(r.T)
	case trace.Kill:
		n.killedAt = r.T
	case trace.Crashed:
		n.killedAt = r.T
		j.processCrashed(r)
	}
}

// start records a new process, which has queried no DNS yet. Earlier notices from the list count from its start.
func (n *node) start(at int64) {
	n.startedAt = at
	clear(n.withdrawn)
	for id, notified := range n.listed {
		notified.notifiedAt = max(notified.notifiedAt, at)
		n.listed[id] = notified
	}
}

// processCrashed records that a process ended by itself. Its connections break before its end is detected, so the violations
// of requests that broke just before are dropped in favour of the crash.
func (j *Judge) processCrashed(r lineRecord) {
	j.verdict.Crashes++
	j.found = slices.DeleteFunc(j.found, func(v Violation) bool {
		return v.At > r.T-maxCrashDetection && (v.Name == CutOff && v.Node == r.Node || v.earlierNode == r.Node)
	})
	j.addViolation(Violation{Rule: OneAnswer, Name: NodeCrashed, At: r.T, Node: r.Node, Lines: []int{r.line},
		Text: "the node ended by itself: " + r.Text})
}
