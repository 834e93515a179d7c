package judge

import (
	"slices"

	"craneglade/internal/kit/trace"
)

// maxCrashDelay is how long after a process's end that is noted at the latest.
const maxCrashDelay = 500 * microsPerMilli

// node is what is known of a node's process.
type node struct {
	killedAt  int64             // when it was last killed or was seen to have crashed; -1 for never
	listed    map[string]notice // backends' states by the list
	withdrawn map[string]notice // backends that DNS no longer names
	startedAt int64
	up        bool
	stops     []span // when its process was stopped
	endedAt   int64  // when it last ended; 0 for never
}

// notice is what a node was told of a backend.
type notice struct {
	state string
	at    int64
	line  int
}

// node returns what is known of a node, from nothing if need be.
func (j *Judge) node(name string) *node {
	n := j.nodes[name]
	if n == nil {
		n = &node{killedAt: -1, listed: map[string]notice{}, withdrawn: map[string]notice{}}
		j.nodes[name] = n
	}
	return n
}

// alive reports whether what a node does at a moment still counts.
func (j *Judge) alive(name string, at int64) bool {
	n := j.node(name)
	return n.killedAt < 0 || n.startedAt > n.killedAt && at >= n.startedAt
}

// wasKilled reports whether a node was killed between two moments.
func (j *Judge) wasKilled(name string, from, to int64) bool {
	killedAt := j.node(name).killedAt
	return killedAt >= from && killedAt <= to
}

// processChanged follows the starts and ends of nodes' processes.
func (j *Judge) processChanged(r lineRecord) {
	n := j.node(r.Node)
	switch r.State {
	case trace.Started:
		n.start(r.T)
	case trace.Kill:
		n.killedAt = r.T
	case trace.Crashed:
		n.killedAt = r.T
		j.crashed(r)
	}
}

// start begins a new process, which has asked no DNS yet. What it was told before counts from its start.
func (n *node) start(at int64) {
	n.startedAt = at
	clear(n.withdrawn)
	for id, told := range n.listed {
		told.at = max(told.at, at)
		n.listed[id] = told
	}
}

// crashed records that a process ended by itself. Connections break before its end is seen: the violations of those that
// broke just before are dropped, as the crash is the one that counts.
func (j *Judge) crashed(r lineRecord) {
	j.verdict.Crashes++
	j.found = slices.DeleteFunc(j.found, func(v Violation) bool {
		return v.At > r.T-maxCrashDelay && (v.Name == CutOff && v.Node == r.Node || v.earlierNode == r.Node)
	})
	j.addViolation(Violation{Rule: OneAnswer, Name: NodeCrashed, At: r.T, Node: r.Node, Lines: []int{r.line},
		Text: "the node ended by itself: " + r.Text})
}
