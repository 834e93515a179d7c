// Package sites decides what becomes of a site's load when the site is lost: what each node holds of each site's standing,
// where the load goes and how much of it, which requests are refused first, and how it goes back once the site returns.
//
// Plan is what operators wrote down before the day; Divide works it through for any loss, and is what the nodes go by on
// the day too. Watch finds out how each site stands from what becomes of a node's own attempts and from the list. Node puts
// them together, as a state machine that its caller drives: what happens goes in with the time, Orders come out, which the
// decision module follows beside its own rules: what a backend can take is the module's to say.
//
// There is no I/O, clock or goroutine here, and nothing is safe for concurrent use. Times are in seconds of any clock that
// never steps back; loads and capacities are in mean requests a second: a request that is twice the mean's work counts twice.
package sites

import (
	"cmp"
	"fmt"
	"slices"
)

// Plan is what is to be done when sites are lost. Its sites are all that there are.
type Plan struct {
	Sites          []Site
	MaxUtilization float64  // part of its capacity up to which a site is filled; beyond it requests are refused
	RefuseFirst    []string // classes in the order in which they are refused; those that are not named follow by their worth
}

// Site is one site of a plan.
type Site struct {
	Name     string
	Capacity float64          // that its boxes carry together, all of them there and warm
	Backends int              // that Capacity is of
	Nodes    int              // of the balancers, that are there
	Load     float64          // that its own clients ask for on a usual busy day
	Reserve  float64          // part of Capacity that is kept for its own clients, also where they do not ask for it
	Overflow []OverflowTarget // where its load goes when it is lost; none: where there is room
}

// OverflowTarget is a part of a lost site's load that goes to another one.
type OverflowTarget struct {
	Site string
	Part float64
	Most float64 // 0 for as much as there is room for
}

// DefaultMaxUtilization is the part of its capacity up to which a site is filled where a plan does not say: at a queue's 85% a request
// waits for some times its own work, and a few more make it many.
const DefaultMaxUtilization = 0.85

// Problem is what is wrong with one key of a plan.
type Problem struct {
	Key  string // as in site[1].to[0].part
	Text string
}

func (p *Problem) Error() string { return p.Key + ": " + p.Text }

// Validate reports the first thing that makes no sense, or that can't work, as a *Problem.
func (p *Plan) Validate() error {
	bad := func(key, format string, args ...any) error { return &Problem{key, fmt.Sprintf(format, args...)} }
	if len(p.Sites) < 2 {
		return bad("site", "there are %d: a plan needs two sites at least", len(p.Sites))
	}
	if !(p.MaxUtilization >= 0.1 && p.MaxUtilization <= 1) {
		return bad("full", "%v is outside 0.1 to 1", p.MaxUtilization)
	}
	for i, c := range p.RefuseFirst {
		if c == "" || slices.Index(p.RefuseFirst, c) != i {
			return bad("refuse", "%q is empty or there twice", c)
		}
	}
	for i, s := range p.Sites {
		at := fmt.Sprintf("site[%d].", i)
		switch {
		case s.Name == "" || p.index(s.Name) != i:
			return bad(at+"name", "%q is empty or there twice", s.Name)
		case !(s.Capacity > 0 && s.Capacity <= 1e9):
			return bad(at+"capacity", "%v is no number of requests a second over 0", s.Capacity)
		case s.Backends < 1 || s.Backends > 1e6:
			return bad(at+"boxes", "%d is outside 1 to 1000000: say how many boxes the capacity is of", s.Backends)
		case s.Nodes < 1 || s.Nodes > 1e6:
			return bad(at+"nodes", "%d is outside 1 to 1000000", s.Nodes)
		case !(s.Load >= 0 && s.Load <= 1e9):
			return bad(at+"load", "%v is no number of requests a second", s.Load)
		case !(s.Reserve >= 0 && s.Reserve < 1):
			return bad(at+"reserve", "%v is outside 0 to 1: at 1 nothing could be given to others", s.Reserve)
		}
		sum := 0.0
		for k, w := range s.Overflow {
			to := fmt.Sprintf("%sto[%d].", at, k)
			switch j := p.index(w.Site); {
			case j < 0:
				return bad(to+"site", "%q is no site of the plan", w.Site)
			case j == i:
				return bad(to+"site", "a site's load can't go to itself")
			case slices.IndexFunc(s.Overflow, func(x OverflowTarget) bool { return x.Site == w.Site }) != k:
				return bad(to+"site", "%q is there twice", w.Site)
			case !(w.Part > 0 && w.Part <= 1):
				return bad(to+"part", "%v is outside 0 to 1", w.Part)
			case !(w.Most >= 0 && w.Most <= 1e9):
				return bad(to+"most", "%v is no number of requests a second", w.Most)
			}
			sum += w.Part
		}
		if len(s.Overflow) > 0 && (sum < 0.999 || sum > 1.001) {
			return bad(at+"to", "the parts add up to %.3f, and not to 1", sum)
		}
	}
	return nil
}

// index is a site's place in the plan; -1 for one that is not there.
func (p *Plan) index(name string) int {
	return slices.IndexFunc(p.Sites, func(s Site) bool { return s.Name == name })
}

// Kind is requests that are alike to who refuses some: of one class, within their tenant's share or past it.
type Kind struct {
	Class     string
	OverQuota bool
	Utility   float64 // of one request
	Work      float64 // of one request, in mean requests; not positive counts as 1
}

// RefusalOrder is the order in which kinds are refused, as their places in all: as the plan names classes, then by worth for their
// work, and of one class what lies past shares first.
func (p *Plan) RefusalOrder(all []Kind) []int {
	order := make([]int, len(all))
	for i := range order {
		order[i] = i
	}
	named := func(k Kind) int {
		if i := slices.Index(p.RefuseFirst, k.Class); i >= 0 {
			return i
		}
		return len(p.RefuseFirst)
	}
	value := func(k Kind) float64 {
		if k.Work > 0 {
			return k.Utility / k.Work
		}
		return k.Utility
	}
	over := func(k Kind) int {
		if k.OverQuota {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := all[a], all[b]
		return cmp.Or(cmp.Compare(named(x), named(y)), cmp.Compare(value(x), value(y)), cmp.Compare(x.Class, y.Class), cmp.Compare(over(x), over(y)))
	})
	return order
}
