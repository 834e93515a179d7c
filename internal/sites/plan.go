// Package sites decides what happens to the load of a site that is lost: how a node judges the state of each site, where
// the load goes and how much of it, which requests are refused first, and how the load goes back when the site returns.
//
// A Plan is written by operators in advance. Plan.Divide computes the division of the load for any loss; planning and the
// running nodes both use it. Watch derives the state of each site from the outcomes of a node's own attempts and from the
// list of backends. Node combines them into a state machine that its caller drives: events go in with their time, and
// Directives come out, which the policy follows in addition to its own rules. The capacity of single backends is up to the
// policy.
//
// The package does no I/O, reads no clock and starts no goroutine. Nothing in it is safe for concurrent use. Times are in
// seconds of any monotonic clock. Loads and capacities are in mean requests a second: a request with twice the mean work
// counts twice.
package sites

import (
	"cmp"
	"fmt"
	"slices"
)

// Plan says what to do when sites are lost. It lists all sites.
type Plan struct {
	Sites          []Site
	MaxUtilization float64  // fraction of its capacity up to which a site is loaded; requests beyond it are refused
	RefuseFirst    []string // classes in the order in which they are refused; the others follow by utility per work
}

// Site is one site of a plan.
type Site struct {
	Name     string
	Capacity float64          // of all its backends together, when all are up and warm
	Backends int              // number of backends that Capacity is for
	Nodes    int              // number of balancer nodes in the site
	Load     float64          // of its own clients on a normal busy day
	Reserve  float64          // fraction of Capacity that is reserved for its own clients, even while they do not use it
	Overflow []OverflowTarget // where its load goes when it is lost; empty for wherever there is headroom
}

// OverflowTarget is another site that takes a fraction of a lost site's load.
type OverflowTarget struct {
	Site     string
	Fraction float64 // fraction of the lost site's load
	MaxRate  float64 // maximum mean requests per second; 0 for as much as there is headroom for
}

// DefaultMaxUtilization is the fraction of its capacity up to which a site is loaded where a plan does not set one. At 85%
// utilization a request waits in a queue for a few times its own service time; above it the wait grows steeply.
const DefaultMaxUtilization = 0.85

// Problem is an error in one key of a plan.
type Problem struct {
	Key  string // such as site[1].to[0].part
	Text string
}

func (p *Problem) Error() string { return p.Key + ": " + p.Text }

// Validate returns the first invalid or unusable value of the plan as a *Problem.
func (p *Plan) Validate() error {
	problem := func(key, format string, args ...any) error { return &Problem{key, fmt.Sprintf(format, args...)} }
	if len(p.Sites) < 2 {
		return problem("site", "there are %d: a plan needs at least two sites", len(p.Sites))
	}
	if !(p.MaxUtilization >= 0.1 && p.MaxUtilization <= 1) {
		return problem("full", "%v is outside 0.1 to 1", p.MaxUtilization)
	}
	for i, c := range p.RefuseFirst {
		if c == "" || slices.Index(p.RefuseFirst, c) != i {
			return problem("refuse", "%q is empty or listed twice", c)
		}
	}
	for i, s := range p.Sites {
		prefix := fmt.Sprintf("site[%d].", i)
		switch {
		case s.Name == "" || p.index(s.Name) != i:
			return problem(prefix+"name", "%q is empty or listed twice", s.Name)
		case !(s.Capacity > 0 && s.Capacity <= 1e9):
			return problem(prefix+"capacity", "%v is no number of requests a second over 0", s.Capacity)
		case s.Backends < 1 || s.Backends > 1e6:
			return problem(prefix+"boxes", "%d is outside 1 to 1000000: set the number of backends that the capacity is for", s.Backends)
		case s.Nodes < 1 || s.Nodes > 1e6:
			return problem(prefix+"nodes", "%d is outside 1 to 1000000", s.Nodes)
		case !(s.Load >= 0 && s.Load <= 1e9):
			return problem(prefix+"load", "%v is no number of requests a second", s.Load)
		case !(s.Reserve >= 0 && s.Reserve < 1):
			return problem(prefix+"reserve", "%v is outside 0 to 1: at 1 the site could take no load of others", s.Reserve)
		}
		sum := 0.0
		for k, w := range s.Overflow {
			targetPrefix := fmt.Sprintf("%sto[%d].", prefix, k)
			switch j := p.index(w.Site); {
			case j < 0:
				return problem(targetPrefix+"site", "%q is no site of the plan", w.Site)
			case j == i:
				return problem(targetPrefix+"site", "a site's load can't go to itself")
			case slices.IndexFunc(s.Overflow, func(x OverflowTarget) bool { return x.Site == w.Site }) != k:
				return problem(targetPrefix+"site", "%q is listed twice", w.Site)
			case !(w.Fraction > 0 && w.Fraction <= 1):
				return problem(targetPrefix+"part", "%v is outside 0 to 1", w.Fraction)
			case !(w.MaxRate >= 0 && w.MaxRate <= 1e9):
				return problem(targetPrefix+"most", "%v is no number of requests a second", w.MaxRate)
			}
			sum += w.Fraction
		}
		if len(s.Overflow) > 0 && (sum < 0.999 || sum > 1.001) {
			return problem(prefix+"to", "the parts add up to %.3f, and not to 1", sum)
		}
	}
	return nil
}

// index returns the index of a site in the plan, or -1 if it has no such site.
func (p *Plan) index(name string) int {
	return slices.IndexFunc(p.Sites, func(s Site) bool { return s.Name == name })
}

// Kind is a group of requests that are refused alike: those of one class within their tenant's quota, or those over it.
type Kind struct {
	Class     string
	OverQuota bool
	Utility   float64 // of one request
	Work      float64 // of one request, in mean requests; 0 and below count as 1
}

// RefusalOrder returns the order in which kinds are refused, as indices into all: by the plan's order of classes, with those
// that it does not name last, then by rising utility per work, by class, and with requests over quota first.
func (p *Plan) RefusalOrder(all []Kind) []int {
	order := make([]int, len(all))
	for i := range order {
		order[i] = i
	}
	rank := func(k Kind) int {
		if i := slices.Index(p.RefuseFirst, k.Class); i >= 0 {
			return i
		}
		return len(p.RefuseFirst)
	}
	utility := func(k Kind) float64 {
		if k.Work > 0 {
			return k.Utility / k.Work
		}
		return k.Utility
	}
	quotaRank := func(k Kind) int {
		if k.OverQuota {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := all[a], all[b]
		return cmp.Or(cmp.Compare(rank(x), rank(y)), cmp.Compare(utility(x), utility(y)), cmp.Compare(x.Class, y.Class), cmp.Compare(quotaRank(x), quotaRank(y)))
	})
	return order
}
