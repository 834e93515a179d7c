package judge

import (
	"cmp"
	"fmt"
	"slices"
)

// maxListed is how many violations are kept one by one.
const maxListed = 1000

// Rule is one of those that a trace is held against.
type Rule int

const (
	OneAnswer      Rule = 1 // exactly one final answer, in time, made for the request, and nothing after
	NoDoubleEffect Rule = 2 // no effect twice
	DrainsHonoured Rule = 3 // nothing new to a backend that leaves, after the grace
	ColdProtected  Rule = 4 // no cold backend pushed over
	SharedInBounds Rule = 5 // what nodes share stays within bounds; only where they share anything
)

func (r Rule) String() string {
	switch r {
	case OneAnswer:
		return "one final answer"
	case NoDoubleEffect:
		return "no effect twice"
	case DrainsHonoured:
		return "drains kept"
	case ColdProtected:
		return "no cold box pushed over"
	case SharedInBounds:
		return "shared state in bounds"
	}
	return fmt.Sprintf("rule %d", int(r))
}

// The names of what can break a rule, each with the rule's number.
const (
	NoAnswer              = "no-answer"      // 1: no final answer by the client's deadline
	LateAnswer            = "late-answer"    // 1: it came after that
	CutOff                = "cut-off"        // 1: the connection ended without an answer to a request that was taken
	WrongAnswer           = "wrong-answer"   // 1: a served body that no backend made for this request
	SecondAnswer          = "second-answer"  // 1: something came after the final answer
	SentAfterEnd          = "sent-after-end" // 1: an attempt began after the final answer, or after the client had left
	ServedInvalid         = "served-bad"     // 1: what was no request was served
	NodeCrashed           = "crash"          // 1: a node ended by itself
	UnsafeRepeat          = "unsafe-again"   // 2: an unsafe request went out again though an earlier attempt may have run
	RepeatOutsideGroup    = "outside-group"  // 2: a keyed one did, to a backend of another group
	RepeatAfterWindow     = "after-window"   // 2: a keyed one did, after the window
	FalseRefusal          = "false-refusal"  // 2: a refusal though an attempt may have run and a repeat is not harmless
	UnsentRequest         = "unasked"        // 2: a backend got a request that no client sent
	SentToDraining        = "drained"        // 3: an attempt began after the grace
	ColdOverload          = "flooded"        // 4: a cold backend was sent too much
	Overspent             = "overspent"      // 5: nodes could spend more of a budget together than it has
	OverEjectionCeiling   = "over-ceiling"   // 5: more backends out by hearsay than the ceiling
	EjectedWithoutQuorum  = "no-quorum"      // 5: a backend out by the word of too few
	NodesUnaware          = "apart"          // 5: nodes do not know of each other, long after nothing stands between them
	MembershipOutOfBounds = "out-of-bounds"  // 5: more nodes are there than a node holds possible, or fewer than it is sure of
	Miscounted            = "miscounted"     // 5: what a node has heard that another counted is not what that one was asked
	CountRegressed        = "turned-back"    // 5: an older word of another's counts took a newer one's place
	StaleCount            = "behind"         // 5: a node still goes by old counts, long after nothing stands between them
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

	earlierNode string // the node of the earlier attempt, where that was another
	margin      int64  // how far a time limit was overrun; 0 where there is none
	from, to    int64  // the time that is in doubt where the kit was late
}

// Verdict is what a trace shows.
type Verdict struct {
	Violations     []Violation `json:"violations"`
	Undecided      []Violation `json:"undecided"`
	Unlisted       int         `json:"more,omitempty"` // violations past the most that are listed
	Requests       int         `json:"requests"`
	Attempts       int         `json:"attempts"`
	Crashes        int         `json:"crashes"`
	Whole          bool        `json:"whole"`           // the trace has its end
	LateP50        int64       `json:"kit_late_p50_us"` // of planned against real sends
	LateP99        int64       `json:"kit_late_p99_us"`
	LagShare       float64     `json:"kit_lag_share"` // part of the time in which the kit was late by its own heartbeat
	SharingRecords int         `json:"shares"`        // what nodes told of what they share
	Excused        int         `json:"excused"`       // what a node's process did not do in time while it was stopped
	Void           string      `json:"void,omitempty"`
}

// Kept tells whether a rule is known to be kept: nothing broke it, nothing about it is undecided, and the trace is
// whole.
func (v *Verdict) Kept(r Rule) bool {
	return v.Whole && !slices.ContainsFunc(v.Violations, func(x Violation) bool { return x.Rule == r }) &&
		!slices.ContainsFunc(v.Undecided, func(x Violation) bool { return x.Rule == r })
}

// Rules are those that a trace can break: the fifth only where nodes share something.
func (v *Verdict) Rules() []Rule {
	rules := []Rule{OneAnswer, NoDoubleEffect, DrainsHonoured, ColdProtected}
	if v.SharingRecords > 0 {
		rules = append(rules, SharedInBounds)
	}
	return rules
}

// Broken tells whether a rule is known to be broken.
func (v *Verdict) Broken(r Rule) bool {
	return slices.ContainsFunc(v.Violations, func(x Violation) bool { return x.Rule == r })
}

// sortViolations sorts by time, then by rule, request and text.
func sortViolations(all []Violation) {
	slices.SortStableFunc(all, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Request, b.Request),
			cmp.Compare(a.Text, b.Text))
	})
}
