// Package judge holds a trace against the four rules. It is a pure state machine: records go in with Add, the verdict
// comes out of Finish; it has no clock, no I/O and no goroutine, and the same records give the same verdict.
//
// What it goes by is only what clients, boxes and the list saw on their sockets. A node may have known less than that,
// never more, and the judge reads every doubt in the node's favour, but counts what it can't tell as undecided
// and never as kept.
//
//   - An attempt may have run once its last byte was read at a box, unless that box turned it away (503 or 504 with
//     X-Not-Run: 1) and began to say so before the next attempt's first byte came.
//   - A node was told of a box's state when the list's stand-in noted so: for pushed lists when the agent beside
//     the node had it.
//   - Each time limit is longer by Rules.Slack, for what sockets cost.
//   - Where the kit itself was late, by its own account, for as long as a limit was overrun, nobody can tell whose
//     delay it was.
package judge

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"time"

	"craneglade/internal/kit/boxmodel"
	"craneglade/internal/kit/trace"
)

// Rule is one of the four.
type Rule int

const (
	OneAnswer  Rule = 1 // exactly one final answer, in time, made for the request, and nothing after
	NoEffect2  Rule = 2 // no effect twice
	DrainsKept Rule = 3 // nothing new to a box that leaves, after the grace
	ColdKept   Rule = 4 // no cold box pushed over
	SharedKept Rule = 5 // what nodes share stays within bounds; only where they share anything
)

func (r Rule) String() string {
	switch r {
	case OneAnswer:
		return "one final answer"
	case NoEffect2:
		return "no effect twice"
	case DrainsKept:
		return "drains kept"
	case ColdKept:
		return "no cold box pushed over"
	case SharedKept:
		return "shared state in bounds"
	}
	return fmt.Sprintf("rule %d", int(r))
}

// The names of what can break a rule.
const (
	NoAnswer     = "no-answer"      // 1: no final answer by the client's deadline
	LateAnswer   = "late-answer"    // 1: it came after that
	CutOff       = "cut-off"        // 1: the connection ended without an answer to a request that was taken
	WrongAnswer  = "wrong-answer"   // 1: a served body that no box made for this request
	SecondAnswer = "second-answer"  // 1: something came after the final answer
	SentAfterEnd = "sent-after-end" // 1: an attempt began after the final answer, or after the client had left
	ServedBad    = "served-bad"     // 1: what was no request was served
	NodeCrashed  = "crash"          // 1: a node ended by itself
	UnsafeTwice  = "unsafe-again"   // 2: an unsafe request went out again though an earlier attempt may have run
	OutsideGroup = "outside-group"  // 2: a keyed one did, to a box of another group
	AfterWindow  = "after-window"   // 2: a keyed one did, after the window
	FalseRefusal = "false-refusal"  // 2: a refusal though an attempt may have run and a repeat is not harmless
	Unasked      = "unasked"        // 2: a box got a request that no client sent
	Drained      = "drained"        // 3: an attempt began after the grace
	Flooded      = "flooded"        // 4: a cold box was sent too much
	Overspent    = "overspent"      // 5: nodes could spend more of a budget together than it has
	OverCeiling  = "over-ceiling"   // 5: more boxes out by hearsay than the ceiling
	NoQuorum     = "no-quorum"      // 5: a box out by the word of too few
	Apart        = "apart"          // 5: nodes do not know of each other, long after nothing stands between them
	OutOfBounds  = "out-of-bounds"  // 5: more nodes are there than a node holds possible, or fewer than it is sure of
	Miscounted   = "miscounted"     // 5: what a node has heard that another counted is not what that one was asked
	TurnedBack   = "turned-back"    // 5: an older word of another's counts took a newer one's place
	Behind       = "behind"         // 5: a node still goes by old counts, long after nothing stands between them
)

// Violation is one broken rule, or one that may have been.
type Violation struct {
	Rule    Rule   `json:"rule"`
	Name    string `json:"name"`
	At      int64  `json:"at_us"` // the moment from which it was broken, microseconds since the start
	Node    string `json:"node,omitempty"`
	Request string `json:"request,omitempty"`
	Box     string `json:"box,omitempty"`
	Text    string `json:"text"`
	Lines   []int  `json:"lines"` // of the trace: the evidence

	first    string // the node of the earlier attempt, where that was another
	margin   int64  // how far a time limit was overrun; 0 where there is none
	from, to int64  // the time that is in doubt with it
}

// Verdict is what a trace shows.
type Verdict struct {
	Violations []Violation `json:"violations"`
	Undecided  []Violation `json:"undecided"`
	More       int         `json:"more,omitempty"` // violations past the most that are listed
	Requests   int         `json:"requests"`
	Attempts   int         `json:"attempts"`
	Crashes    int         `json:"crashes"`
	Whole      bool        `json:"whole"`           // the trace has its end
	LateP50    int64       `json:"kit_late_p50_us"` // of planned against real sends
	LateP99    int64       `json:"kit_late_p99_us"`
	LagShare   float64     `json:"kit_lag_share"` // part of the time in which the kit was late by its own heartbeat
	Shares     int         `json:"shares"`        // what nodes told of what they share
	Excused    int         `json:"excused"`       // what a node's process did not do in time while it was stopped
	Void       string      `json:"void,omitempty"`
}

// Kept tells whether a rule is known to be kept: nothing broke it, nothing about it is undecided, and the trace is
// whole.
func (v *Verdict) Kept(r Rule) bool {
	return v.Whole && !slices.ContainsFunc(v.Violations, func(x Violation) bool { return x.Rule == r }) &&
		!slices.ContainsFunc(v.Undecided, func(x Violation) bool { return x.Rule == r })
}

// Rules are those that a trace can break: the fifth only where nodes share something.
func (v *Verdict) Rules() []Rule {
	rules := []Rule{OneAnswer, NoEffect2, DrainsKept, ColdKept}
	if v.Shares > 0 {
		rules = append(rules, SharedKept)
	}
	return rules
}

// Broken tells whether a rule is known to be broken.
func (v *Verdict) Broken(r Rule) bool {
	return slices.ContainsFunc(v.Violations, func(x Violation) bool { return x.Rule == r })
}

const (
	listed     = 1000 // violations that are kept one by one
	horizon    = int64(10 * time.Second / time.Microsecond)
	voidP99    = int64(25 * time.Millisecond / time.Microsecond) // the kit sent later than this: the run is void
	voidLag    = 0.05                                            // and if it lagged for longer than this part of the run
	lateCells  = 20000
	lateCell   = int64(100) // microseconds
	disorder   = int64(trace.Disorder / time.Microsecond)
	crashSeen  = int64(500 * time.Millisecond / time.Microsecond) // a process's end is noted this much after it at the latest
	sweepEvery = int64(time.Second / time.Microsecond)
)

// Judge is the state of one judgement.
type Judge struct {
	head    trace.Head
	classes map[string]*trace.Class
	nodes   map[string]*node
	boxes   map[string]*box
	reqs    map[string]*request
	byAtt   map[int64]*attempt
	sums    map[string]*reply
	served  map[int64]*reply // the latest request that got its final answer on a client's connection
	pending lines
	newest  int64
	swept   int64
	shared  shared
	lags    []trace.Record
	lagSum  int64
	late    [lateCells + 1]int
	found   []Violation
	verdict Verdict
}

type node struct {
	killed  int64           // when it was last killed or was seen to have crashed; -1 for never
	told    map[string]told // by the list
	names   map[string]told // boxes that DNS took back
	started int64
	up      bool
	stops   []span // when its process was stopped
	downAt  int64  // when its last life ended; 0 for none
}

type told struct {
	state string
	at    int64
	line  int
}

type box struct {
	site   string
	cell   int
	start  int64
	budget *boxmodel.Budget
	broken bool
	line   int
}

type request struct {
	class  *trace.Class
	sends  []*sent
	atts   []*attempt
	final  int64 // when the final answer was read or the client left; -1 before
	finalL int
	gone   bool
	served bool // a box has answered it
	active int64
}

type sent struct {
	at, wait int64
	node     string
	conn     int64
	reused   bool
	line     int
	over     bool // its end is known
}

type attempt struct {
	id, box, node string
	first, last   int64
	line          int
	bad           bool
	turnedAt      int64 // when the box began to say that it never ran; -1 if it did not
	turnedLine    int
}

type reply struct {
	id   string
	at   int64
	line int
}

// New returns a judge for a trace with this head.
func New(h trace.Head) *Judge {
	j := &Judge{head: h, classes: map[string]*trace.Class{}, nodes: map[string]*node{}, boxes: map[string]*box{},
		reqs: map[string]*request{}, byAtt: map[int64]*attempt{}, sums: map[string]*reply{},
		served: map[int64]*reply{}, shared: newShared()}
	for i := range h.Classes {
		j.classes[h.Classes[i].Name] = &h.Classes[i]
	}
	for _, n := range h.Nodes {
		j.node(n.Name)
	}
	return j
}

func (j *Judge) node(name string) *node {
	n := j.nodes[name]
	if n == nil {
		n = &node{killed: -1, told: map[string]told{}, names: map[string]told{}}
		j.nodes[name] = n
	}
	return n
}

type lineRec struct {
	trace.Record
	line int
}

type lines []lineRec

func (l lines) Len() int { return len(l) }
func (l lines) Less(a, b int) bool {
	return l[a].T < l[b].T || l[a].T == l[b].T && l[a].line < l[b].line
}
func (l lines) Swap(a, b int) { l[a], l[b] = l[b], l[a] }
func (l *lines) Push(x any)   { *l = append(*l, x.(lineRec)) }
func (l *lines) Pop() any {
	old := *l
	x := old[len(old)-1]
	*l = old[:len(old)-1]
	return x
}

// Add takes in the record of one line of the trace, the head's being line 1. Records may come out of the order of
// their times by trace.Disorder.
func (j *Judge) Add(line int, r trace.Record) {
	heap.Push(&j.pending, lineRec{r, line})
	j.newest = max(j.newest, r.T)
	for len(j.pending) > 0 && j.pending[0].T < j.newest-disorder {
		j.take(heap.Pop(&j.pending).(lineRec))
	}
}

// take acts on the records in the order of their times.
func (j *Judge) take(r lineRec) {
	if r.T-j.swept > sweepEvery {
		j.sweep(r.T)
	}
	switch r.Kind {
	case trace.Sent:
		j.sent(r)
	case trace.Got:
		j.got(r)
	case trace.Broke:
		j.broke(r)
	case trace.GaveUp:
		j.gaveUp(r)
	case trace.Extra:
		if j.alive(r.Node, r.T) {
			j.broken(Violation{Rule: OneAnswer, Name: SecondAnswer, At: r.T, Node: r.Node, Request: r.ID, Lines: []int{r.line},
				Text: fmt.Sprintf("%d bytes came behind the final answer", r.Bytes)})
		}
	case trace.Bad:
		if r.How == "served" {
			j.broken(Violation{Rule: OneAnswer, Name: ServedBad, At: r.T, Node: r.Node, Request: r.ID, Lines: []int{r.line},
				Text: "what is no request was answered 200: " + r.Why})
		}
	case trace.Recv:
		j.recv(r)
	case trace.Part:
		j.drain(r, r.T0)
	case trace.Reply:
		j.reply(r)
	case trace.Told:
		n := j.node(r.Node)
		switch _, out := n.names[r.Box]; {
		case r.How != trace.ByNames:
			n.told[r.Box] = told{r.State, r.T, r.line}
			if r.State == trace.Ready { // a new process, of which DNS has taken nothing back
				delete(n.names, r.Box)
			}
		case r.State == trace.Ready:
			delete(n.names, r.Box)
		case !out:
			n.names[r.Box] = told{r.State, r.T, r.line}
		}
	case trace.Box:
		j.box(r)
	case trace.Cap:
		if b := j.boxes[r.Box]; b != nil && b.budget != nil {
			b.budget.Capacity(r.At(), r.Cores)
		}
	case trace.Proc:
		j.proc(r)
		j.process(r)
	case trace.Spend:
		j.spend(r)
	case trace.View:
		j.view(r)
	case trace.Net:
		j.shared.calm = r.T
		if r.How == trace.Over {
			delete(j.shared.trouble, r.Text)
		} else {
			j.shared.trouble[r.Text] = true
		}
	case trace.Lag:
		j.lags = append(j.lags, r.Record)
		j.lagSum += r.Late
	case trace.End:
		j.verdict.Whole = true
	}
}

func (j *Judge) broken(v Violation) {
	if j.excused(&v) {
		j.verdict.Excused++
		return
	}
	if len(j.found) >= listed {
		j.verdict.More++
		return
	}
	j.found = append(j.found, v)
}

// alive tells whether what a node does at a moment still counts.
func (j *Judge) alive(name string, at int64) bool {
	n := j.node(name)
	return n.killed < 0 || n.started > n.killed && at >= n.started
}

// wasKilled tells whether a node was killed between two moments.
func (j *Judge) wasKilled(name string, from, to int64) bool {
	k := j.node(name).killed
	return k >= from && k <= to
}

func (j *Judge) proc(r lineRec) {
	n := j.node(r.Node)
	switch r.State {
	case trace.Started:
		n.started = r.T
		clear(n.names) // it has asked nobody yet
		for id, t := range n.told {
			t.at = max(t.at, r.T) // what it was told before it lived counts from its start
			n.told[id] = t
		}
	case trace.Kill:
		n.killed = r.T
	case trace.Crashed:
		n.killed = r.T
		j.verdict.Crashes++
		// Connections break before the end of the process is seen: what broke just before it did so with it.
		j.found = slices.DeleteFunc(j.found, func(v Violation) bool {
			return v.At > r.T-crashSeen && (v.Name == CutOff && v.Node == r.Node || v.first == r.Node)
		})
		j.broken(Violation{Rule: OneAnswer, Name: NodeCrashed, At: r.T, Node: r.Node, Lines: []int{r.line},
			Text: "the node ended by itself: " + r.Text})
	}
}

func (j *Judge) box(r lineRec) {
	switch r.State {
	case trace.Ready:
		b := &box{site: r.Site, cell: r.Cell, start: r.T, line: r.line}
		if r.Cores < r.Full && j.head.Rules.FallFactor > 0 {
			b.budget = boxmodel.NewBudget(j.head.Rules.FallFactor, us(j.head.Rules.FallFor))
			b.budget.Capacity(r.At(), r.Cores)
		}
		j.boxes[r.Box] = b
	case trace.Warm, trace.Gone:
		if b := j.boxes[r.Box]; b != nil {
			b.budget = nil
		}
	}
}

func us(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// rounded is for people to read.
func rounded(n int64) time.Duration { return us(n).Round(time.Millisecond) }

func (j *Judge) sent(r lineRec) {
	q := j.reqs[r.ID]
	if q == nil {
		q = &request{class: j.classes[r.Class], final: -1}
		j.reqs[r.ID] = q
		j.verdict.Requests++
	}
	q.active = r.T
	j.asked(r)
	q.sends = append(q.sends, &sent{at: r.T, wait: r.Wait, node: r.Node, conn: r.Conn, reused: r.Reused, line: r.line})
	if r.Plan > 0 && !r.Again {
		j.late[min(max(r.T-r.Plan, 0)/lateCell, lateCells)]++
	}
}

// open returns the send that an end of a request belongs to.
func (j *Judge) open(r lineRec) (*request, *sent) {
	q := j.reqs[r.ID]
	if q == nil {
		return nil, nil
	}
	q.active = r.T
	for _, s := range slices.Backward(q.sends) {
		if s.conn == r.Conn && s.node == r.Node {
			return q, s
		}
	}
	return q, nil
}

func (j *Judge) got(r lineRec) {
	q, s := j.open(r)
	if s == nil {
		j.undecided(r, OneAnswer, "an answer to a request whose send is not in the trace")
		return
	}
	begun := cmp.Or(r.T0, r.T)
	again := s.over || q.final >= 0
	s.over = true
	if again {
		j.broken(Violation{Rule: OneAnswer, Name: SecondAnswer, At: begun, Node: r.Node, Request: r.ID,
			Lines: []int{s.line, q.finalL, r.line}, Text: "a second final answer"})
		return
	}
	q.final, q.finalL = r.T, r.line
	before := j.served[r.Conn]
	j.served[r.Conn] = &reply{r.ID, r.T, r.line}
	if limit := s.at + s.wait + j.head.Rules.AnswerSlack + j.head.Rules.Slack; r.T > limit {
		j.broken(Violation{Rule: OneAnswer, Name: LateAnswer, At: s.at + s.wait, Node: r.Node, Request: r.ID,
			Lines: []int{s.line, r.line}, margin: r.T - limit, from: s.at, to: r.T,
			Text: fmt.Sprintf("answered %v after it was sent, with %v to wait", rounded(r.T-s.at), rounded(s.wait))})
	}
	switch r.Status {
	case 200:
		made := j.sums[r.Sum]
		if made != nil && before != nil && made.id == before.id && made.id != r.ID && !q.served {
			// What came is the connection's last answer once more, and no box has answered this request yet.
			j.broken(Violation{Rule: OneAnswer, Name: SecondAnswer, At: begun, Node: r.Node, Request: made.id,
				Lines: []int{before.line, s.line, r.line}, Text: "its answer came a second time, and stands for that of request " + r.ID})
		} else if made == nil || made.id != r.ID {
			text, evidence := "its body was made by no box for any request", []int{s.line, r.line}
			if made != nil {
				text, evidence = "its body was made for request "+made.id, append(evidence, made.line)
			}
			j.broken(Violation{Rule: OneAnswer, Name: WrongAnswer, At: begun, Node: r.Node, Request: r.ID, Lines: evidence, Text: text})
		}
	case 429, 503:
		if q.class == nil || q.class.Effect == "safe" || q.class.Effect == "keyed" && q.class.Group == "all" {
			return
		}
		for _, a := range q.atts {
			if !a.mayHaveRun(begun) || j.wasKilled(a.node, a.first, begun) {
				continue
			}
			v := Violation{Rule: NoEffect2, Name: FalseRefusal, At: begun, Node: r.Node, Request: r.ID, Box: a.box,
				Lines: []int{s.line, a.line, r.line}, Text: fmt.Sprintf("refused (%d) though box %s may have run it", r.Status, a.box)}
			if a.node != r.Node { // its client came here only because that node had let it go
				v.Node, v.first = a.node, a.node
				v.Text += fmt.Sprintf(" (by node %s, once node %s had closed on its client)", r.Node, a.node)
			}
			j.broken(v)
			return
		}
	}
}

func (j *Judge) broke(r lineRec) {
	q, s := j.open(r)
	if s == nil || s.over {
		return
	}
	s.over = true
	if j.wasKilled(r.Node, s.at, r.T) || !j.alive(r.Node, r.T) {
		return // the client's to retry
	}
	if r.Bytes > 0 {
		q.final, q.finalL = r.T, r.line // begun and broken off: it has failed, and the client can tell
		return
	}
	evidence := []int{s.line, r.line}
	taken := r.How == trace.Taken
	for _, a := range q.atts {
		if a.node == r.Node && a.first >= s.at-disorder {
			taken, evidence = true, append(evidence, a.line)
		}
	}
	if s.reused && !taken {
		return // the node closed a kept connection, and the request crossed that
	}
	j.broken(Violation{Rule: OneAnswer, Name: CutOff, At: r.T, Node: r.Node, Request: r.ID, Lines: evidence,
		Text: "the connection ended without an answer: " + r.Why})
}

func (j *Judge) gaveUp(r lineRec) {
	q, s := j.open(r)
	if s == nil || s.over {
		return
	}
	s.over = true
	q.final, q.finalL, q.gone = r.T, r.line, true
	if r.Why != "time" || j.wasKilled(r.Node, s.at, r.T) || !j.alive(r.Node, r.T) {
		return
	}
	limit := s.at + s.wait + j.head.Rules.AnswerSlack + j.head.Rules.Slack
	evidence := []int{s.line, r.line}
	for _, a := range q.atts {
		evidence = append(evidence, a.line)
	}
	j.broken(Violation{Rule: OneAnswer, Name: NoAnswer, At: s.at + s.wait, Node: r.Node, Request: r.ID, Lines: evidence,
		margin: max(r.T-limit, 1), from: s.at, to: r.T, Text: fmt.Sprintf("no final answer within %v", rounded(s.wait))})
}

// mayHaveRun tells whether a sender that acted at a moment can't have known that this attempt never ran.
func (a *attempt) mayHaveRun(at int64) bool { return a.turnedAt < 0 || a.turnedAt > at }

func (j *Judge) recv(r lineRec) {
	j.verdict.Attempts++
	first := cmp.Or(r.T0, r.T)
	a := &attempt{id: r.ID, box: r.Box, node: r.Node, first: first, last: r.T, line: r.line, turnedAt: -1, bad: r.How == trace.BadClient}
	j.byAtt[r.Att] = a
	j.drain(r, first)
	j.cold(r)
	q := j.reqs[r.ID]
	if q != nil && r.How == trace.BadClient {
		return // the id of another client's request, which may have been over by then: no attempt of that request
	}
	if q == nil {
		j.broken(Violation{Rule: NoEffect2, Name: Unasked, At: first, Node: r.Node, Request: r.ID, Box: r.Box, Lines: []int{r.line},
			Text: "a box got a request that no client sent"})
		return
	}
	q.active = r.T
	defer func() { q.atts = append(q.atts, a) }()
	if end := q.final + j.head.Rules.Slack; q.final >= 0 && first > end {
		what := "the final answer"
		if q.gone {
			what = "its client had left"
		}
		j.broken(Violation{Rule: OneAnswer, Name: SentAfterEnd, At: first, Node: r.Node, Request: r.ID, Box: r.Box,
			Lines: []int{q.finalL, r.line}, margin: first - end, from: q.final, to: first,
			Text: fmt.Sprintf("sent to box %s %v after %s", r.Box, rounded(first-q.final), what)})
	}
	if q.class == nil || q.class.Effect == "safe" {
		return
	}
	for _, e := range q.atts {
		if e.mayHaveRun(first) {
			if v, bad := j.again(q, e, a); bad {
				j.broken(v)
				return
			}
		}
	}
}

// again judges an attempt that follows one that may have run.
func (j *Judge) again(q *request, e, a *attempt) (v Violation, bad bool) {
	v = Violation{Rule: NoEffect2, At: a.first, Node: a.node, Request: a.id, Box: a.box, Lines: []int{e.line, a.line}}
	if e.turnedAt >= 0 {
		v.Lines = append(v.Lines, e.turnedLine)
	}
	through := ""
	if e.node != a.node {
		if j.wasKilled(e.node, e.first, a.first) {
			return v, false // its client's to send again
		}
		// A client sends the same request through another node only where the first has let it go.
		v.Node, v.first, through = e.node, e.node, fmt.Sprintf(" (through node %s, once node %s had closed on its client)", a.node, e.node)
	} else if j.wasKilled(e.node, e.first, a.first) {
		return v, false
	}
	defer func() { v.Text += through }()
	if q.class.Effect == "unsafe" {
		v.Name = UnsafeTwice
		v.Text = fmt.Sprintf("unsafe, and sent to box %s though box %s may have run it", a.box, e.box)
		return v, true
	}
	x, y := j.boxes[e.box], j.boxes[a.box]
	if q.class.Group != "all" {
		if x == nil || y == nil {
			v.Text = "sent again to a box whose start is not in the trace"
			j.verdict.Undecided = append(j.verdict.Undecided, v)
			return v, false
		}
		if x.site != y.site || q.class.Group == "cell" && x.cell != y.cell {
			v.Name = OutsideGroup
			v.Text = fmt.Sprintf("keyed, and sent to box %s of %s though box %s of %s may have run it", a.box, y.site, e.box, x.site)
			return v, true
		}
	}
	if over := a.first - e.first - q.class.Window - j.head.Rules.Slack; over > 0 {
		v.Name, v.margin, v.from, v.to = AfterWindow, over, e.first, a.first
		v.Text = fmt.Sprintf("keyed, and sent again %v after box %s may have run it, where repeats are dropped for %v",
			rounded(a.first-e.first), e.box, us(q.class.Window))
		return v, true
	}
	return v, false
}

// drain holds an attempt's first byte against what its node was told.
func (j *Judge) drain(r lineRec, first int64) {
	t, ok := j.node(r.Node).told[r.Box]
	// The grace runs from the first source that told.
	if d, out := j.node(r.Node).names[r.Box]; out && (!ok || t.state == trace.Ready || d.at < t.at) {
		t, ok = d, true
	}
	if !ok || t.state == trace.Ready {
		return
	}
	if over := first - t.at - j.head.Rules.DrainGrace - j.head.Rules.Slack; over > 0 {
		j.broken(Violation{Rule: DrainsKept, Name: Drained, At: first, Node: r.Node, Request: r.ID, Box: r.Box,
			Lines: []int{t.line, r.line}, margin: over, from: t.at, to: first,
			Text: fmt.Sprintf("sent to box %s %v after the node was told that it is %s", r.Box, rounded(first-t.at), t.state)})
	}
}

// cold holds the work that a cold box is sent against its budget.
func (j *Judge) cold(r lineRec) {
	b := j.boxes[r.Box]
	if b == nil || b.budget == nil {
		return
	}
	t, ok := j.node(r.Node).told[r.Box]
	e := b.budget.Tagged(r.At(), us(r.Work).Seconds(), ok && t.at >= b.start, r.line)
	if e == nil || e.Told < 2.0/3 || b.broken {
		return
	}
	b.broken = true // one violation for each box: what follows is the same flood
	j.broken(Violation{Rule: ColdKept, Name: Flooded, At: r.T, Node: r.Node, Request: r.ID, Box: r.Box,
		Lines: append([]int{b.line}, e.Tags...),
		Text: fmt.Sprintf("cold box %s was sent %.2f core-seconds within %v, with a budget of %.2f", r.Box, e.Sent,
			e.To-e.From, e.Budget)})
}

func (j *Judge) reply(r lineRec) {
	if a := j.byAtt[r.Att]; a != nil && r.How == trace.Turned {
		a.turnedAt, a.turnedLine = r.T, r.line
	}
	if r.How == trace.Refused && r.Status == 400 && j.byAtt[r.Att] != nil && !j.byAtt[r.Att].bad {
		a := j.byAtt[r.Att]
		j.broken(Violation{Rule: NoEffect2, Name: Unasked, At: a.first, Node: a.node, Request: r.ID, Box: r.Box, Lines: []int{a.line, r.line},
			Text: "a box got a request in a form that no client sent: " + r.Why})
	}
	if r.How == trace.Served && r.Sum != "" {
		if q := j.reqs[r.ID]; q != nil {
			q.served = true
		}
		j.sums[r.Sum] = &reply{r.ID, r.T, r.line}
	}
}

func (j *Judge) undecided(r lineRec, rule Rule, text string) {
	j.verdict.Undecided = append(j.verdict.Undecided, Violation{Rule: rule, At: r.T, Node: r.Node, Request: r.ID,
		Lines: []int{r.line}, Text: text})
}

// sweep forgets what nothing more can come of.
func (j *Judge) sweep(now int64) {
	j.swept = now
	for id, q := range j.reqs {
		if now-q.active < horizon {
			continue
		}
		j.close(id, q, now)
		delete(j.reqs, id)
	}
	for n, a := range j.byAtt {
		if now-a.last > horizon {
			delete(j.byAtt, n)
		}
	}
	old := func(r *reply) bool { return now-r.at > horizon }
	maps.DeleteFunc(j.sums, func(_ string, r *reply) bool { return old(r) })
	maps.DeleteFunc(j.served, func(_ int64, r *reply) bool { return old(r) })
}

// close looks at a request for the last time.
func (j *Judge) close(id string, q *request, now int64) {
	for _, s := range q.sends {
		if !s.over && !j.wasKilled(s.node, s.at, now) {
			j.verdict.Undecided = append(j.verdict.Undecided, Violation{Rule: OneAnswer, At: s.at, Node: s.node, Request: id,
				Lines: []int{s.line}, Text: "what became of this request is not in the trace"})
			return
		}
	}
}

// Finish takes in what is left and returns the verdict. Nothing may be added after it.
func (j *Judge) Finish() *Verdict {
	for len(j.pending) > 0 {
		j.take(heap.Pop(&j.pending).(lineRec))
	}
	for id, q := range j.reqs {
		j.close(id, q, j.newest)
	}
	v := &j.verdict
	for _, f := range j.found {
		if f.margin > 0 && j.lagged(f.from, f.to) >= f.margin {
			f.Text += "; but the kit itself was late then"
			v.Undecided = append(v.Undecided, f)
		} else {
			v.Violations = append(v.Violations, f)
		}
	}
	order := func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Request, b.Request),
			cmp.Compare(a.Text, b.Text))
	}
	slices.SortStableFunc(v.Violations, order)
	slices.SortStableFunc(v.Undecided, order)
	v.LateP50, v.LateP99 = j.quantile(0.5), j.quantile(0.99)
	if j.newest > 0 {
		v.LagShare = float64(j.lagSum) / float64(j.newest)
	}
	switch {
	case v.LateP99 > voidP99:
		v.Void = fmt.Sprintf("the kit sent late itself: p99 %v, and %v is the most", us(v.LateP99), us(voidP99))
	case v.LagShare > voidLag:
		v.Void = fmt.Sprintf("the kit was held up for %.0f%% of the time, and %.0f%% is the most", 100*v.LagShare, 100*voidLag)
	}
	return v
}

// lagged is for how long the kit was late between two moments.
func (j *Judge) lagged(from, to int64) int64 {
	sum := int64(0)
	for _, l := range j.lags {
		sum += max(0, min(l.T, to)-max(l.T-l.Late, from))
	}
	return sum
}

func (j *Judge) quantile(p float64) int64 {
	total := 0
	for _, n := range j.late {
		total += n
	}
	if total == 0 {
		return 0
	}
	sum := 0
	for i, n := range j.late {
		if sum += n; float64(sum) >= p*float64(total) {
			return int64(i) * lateCell
		}
	}
	return lateCells * lateCell
}
