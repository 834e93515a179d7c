package sites

import (
	"fmt"
	"math"
	"slices"

	"craneglade/internal/cold"
)

// Config is what a Node is made from.
type Config struct {
	Plan             *Plan // checked; nil for no plan: sites are watched, and load that loses its site goes where there is room
	Home             string
	Classes          []Class
	OverQuotaUtility float64 // worth of a request past its tenant's share, as a part of the usual
	ColdShare        float64 // part of its capacity that a box has at its start, and
	ColdFor          float64 // until when that grows, seconds
}

// Class is one class of requests.
type Class struct {
	Name    string
	Utility float64
}

// Demand is what this node's clients ask for of one class.
type Demand struct {
	Class string
	Rate  float64 // requests a second,
	Over  float64 // and of those, past their tenants' shares
	Work  float64 // of one request, in any unit that is the same for all
}

// Zone is how a site is to be used from here.
type Zone struct {
	Fraction float64 // of the requests that may go there
	Rate     float64 // of those, a second at most; below 0 for any number
}

// Directives are what the decision module is to follow, until the next ones. Where every site serves they are empty.
type Directives struct {
	Zones map[string]Zone       // without one a site is used as usual
	Admit map[string][2]float64 // by class: parts that are admitted of requests within their tenant's share, and past it
	Probe []uint32              // boxes to which a connection is to be tried now; Probed tells what came of it
}

// Note is something for an operator's log.
type Note struct {
	Text string
	Args []any // key, value, key, value
}

// Node is what one node makes of all sites.
type Node struct {
	cfg            Config
	watch          *Watch
	now            float64
	isolated       bool
	notes          []Note
	states         []Availability
	division       *Division
	kinds          []Kind
	asked          [][]float64
	headroomShares map[string]float64 // by site: part of what lost sites' load may bring there that is this node's; nil where nobody says
	liveNodes      map[string]int     // by site: nodes that are surely there; nil where nodes do not talk
	degraded       bool               // this node's own site does not carry its load by itself
	noted          map[string]bool    // sites that only the plan or only the list knows, and that were noted so
}

// NewNode returns a node that knows no box.
func NewNode(cfg Config) *Node { return &Node{cfg: cfg, watch: NewWatch(), noted: map[string]bool{}} }

// ApplyList sets the boxes that there are.
func (n *Node) ApplyList(now float64, boxes []Backend) { n.watch.ApplyList(now, boxes) }

// RecordSend notes that an attempt at a box begins.
func (n *Node) RecordSend(now float64, id uint32) { n.watch.RecordSend(now, id) }

// RecordOutcome notes what became of an attempt that took so many seconds.
func (n *Node) RecordOutcome(now float64, id uint32, r Outcome, took float64) {
	n.watch.RecordOutcome(now, id, r, took)
}

// RecordProbe notes whether a connection that Orders asked for came up.
func (n *Node) RecordProbe(now float64, id uint32, up bool) {
	n.noteChanges(n.watch.RecordProbe(now, id, up))
}

func (n *Node) noteChanges(changes []Change) {
	for _, c := range changes {
		args := []any{"site", c.Site, "was", c.From.String(), "is", c.To.String(), "why", c.Reason}
		if s := n.watch.sites[c.Site]; c.To == Lost && s.detectionSeconds > 0 && c.From != Returning {
			args = append(args, "attempts", s.lossAttempts, "seconds", math.Round(s.detectionSeconds*1000)/1000)
		}
		n.notes = append(n.notes, Note{"a site stands anew", args})
	}
}

// SetHeadroomShares tells which part of what lost sites' load may bring to each site is this node's. Where nobody says it is an equal part
// among the nodes of the lost site, as the plan counts them.
func (n *Node) SetHeadroomShares(parts map[string]float64) { n.headroomShares = parts }

// SetLiveNodes tells how many nodes of each site are surely there, by what they say themselves; nil where nodes do not talk.
func (n *Node) SetLiveNodes(nodes map[string]int) { n.liveNodes = nodes }

// overflowCounts tells whether what a site's clients ask for may come to others: not where the site is lost from here and nothing tells
// that it is lost, as then it may be the links, and each side has its own clients. The list tells by taking its boxes off, and
// the site's own nodes by being there though its boxes are not.
func (n *Node) overflowCounts(site string) bool {
	return n.watch.Fraction(site) == 1 || site == n.cfg.Home || n.watch.Delisted(site) || n.liveNodes[site] > 0
}

// IsOverflow tells whether what goes to a site from here is load of a lost one.
func (n *Node) IsOverflow(site string) bool { return n.degraded && site != n.cfg.Home }

// Step brings all up to the time, with what this node's clients ask for, and returns what is to be followed.
func (n *Node) Step(now float64, demand []Demand) Directives {
	n.now = max(n.now, now)
	changes, probe := n.watch.Update(n.now)
	n.noteChanges(changes)
	o := Directives{Probe: probe}
	degraded, serving := 0, 0
	for _, name := range n.watch.siteNames() {
		switch n.watch.State(name) {
		case Lost, Returning:
			degraded++
		default:
			serving++
		}
	}
	// A node that reaches nobody anywhere has lost its own links: it goes on as if it knew nothing, and takes no part of
	// anybody's.
	if isolated := degraded > 0 && serving == 0 && !n.anyReturning(); isolated != n.isolated {
		n.isolated = isolated
		text := "this node reaches no site: it is cut off itself"
		if !isolated {
			text = "this node is no longer cut off"
		}
		n.notes = append(n.notes, Note{Text: text})
	}
	n.degraded = !n.isolated && n.watch.Fraction(n.cfg.Home) < 1
	if degraded == 0 || n.isolated {
		n.division = nil
		return o
	}
	o.Zones = map[string]Zone{}
	for _, name := range n.watch.siteNames() {
		if fraction := n.watch.Fraction(name); fraction < 1 {
			o.Zones[name] = Zone{Fraction: fraction, Rate: -1}
		}
	}
	if n.cfg.Plan != nil {
		n.applyPlan(&o, demand)
	}
	return o
}

func (n *Node) anyReturning() bool {
	return slices.ContainsFunc(n.watch.siteNames(), func(s string) bool { return n.watch.State(s) == Returning })
}

// applyPlan divides the load by the plan, and takes this node's part of it.
func (n *Node) applyPlan(o *Directives, demand []Demand) {
	p := n.cfg.Plan
	n.states = n.states[:0]
	for _, s := range p.Sites {
		share := n.watch.Fraction(s.Name)
		if n.watch.sites[s.Name] == nil {
			share = 0
			n.noteOnce(s.Name, "the plan has a site that the list does not tell: it counts for nothing")
		}
		n.states = append(n.states, Availability{Degraded: share < 1, Fraction: share * n.availableFraction(s)})
	}
	for _, name := range n.watch.siteNames() {
		if p.index(name) < 0 {
			n.noteOnce(name, "the list tells a site that the plan does not have: no load is moved there by it")
		}
	}
	n.estimateDemand(demand)
	order := p.RefusalOrder(n.kinds)
	d := p.Divide(n.states, n.asked, order)
	n.division = d
	home := p.index(n.cfg.Home)
	if home < 0 {
		return // nobody's clients by the plan
	}
	o.Admit = map[string][2]float64{}
	for i, k := range n.kinds {
		a := o.Admit[k.Class]
		if k.OverQuota {
			a[1] = d.Admitted[home][i]
		} else {
			a[0] = d.Admitted[home][i]
		}
		o.Admit[k.Class] = a
	}
	if !n.states[home].Degraded {
		return
	}
	for to, s := range p.Sites {
		if to == home || n.states[to].Degraded {
			continue
		}
		// Of what may go there each node of this site takes an equal part, as fronts deal their clients out evenly; or its own
		// part of what all lost sites may bring there, of which no two nodes have the same.
		rate := d.MaxFlows[home][to] / float64(p.Sites[home].Nodes)
		if share, set := n.headroomShares[s.Name]; set {
			rate = min(d.Headroom[to]*share, d.MaxFlows[home][to])
		}
		o.Zones[s.Name] = Zone{Fraction: 1, Rate: rate}
	}
}

// noteOnce notes something of a site, once.
func (n *Node) noteOnce(site, text string) {
	if !n.noted[site] {
		n.noted[site] = true
		n.notes = append(n.notes, Note{text, []any{"site", site}})
	}
}

// availableFraction is the part of a site's planned capacity that its boxes on the list have now, by their number and warmth.
func (n *Node) availableFraction(s Site) float64 {
	sum := 0.0
	for _, b := range n.watch.order {
		if b.Site == s.Name && b.Ready {
			sum += cold.Ramp(b.Launched, n.now, n.cfg.ColdShare, n.cfg.ColdFor)
		}
	}
	return min(1, sum/float64(s.Backends))
}

// estimateDemand works out what all sites' clients ask for: this one's from what this node is asked, the others' by the plan's
// loads, as much more or less as here, and of the same kinds.
func (n *Node) estimateDemand(all []Demand) {
	p := n.cfg.Plan
	n.kinds, n.asked = n.kinds[:0], n.asked[:0]
	var here []float64
	mean := n.meanWork(all)
	for _, d := range all {
		worth := 0.0
		if i := slices.IndexFunc(n.cfg.Classes, func(c Class) bool { return c.Name == d.Class }); i >= 0 {
			worth = n.cfg.Classes[i].Utility
		}
		work := 1.0
		if mean > 0 && d.Work > 0 {
			work = d.Work / mean
		}
		n.kinds = append(n.kinds, Kind{d.Class, false, worth, work}, Kind{d.Class, true, worth * n.cfg.OverQuotaUtility, work})
		here = append(here, max(0, d.Rate-d.Over)*work, min(d.Over, d.Rate)*work)
	}
	total, home := sum(here), p.index(n.cfg.Home)
	for i, s := range p.Sites {
		load := s.Load
		if home >= 0 && p.Sites[home].Load > 0 {
			h := p.Sites[home]
			load *= min(2, max(0.5, total*float64(h.Nodes)/h.Load))
		}
		switch {
		case i == home:
			load = total * float64(s.Nodes)
		case n.watch.sites[s.Name] == nil, !n.overflowCounts(s.Name):
			load = 0
		}
		site := make([]float64, len(here))
		for k := range here {
			if total > 0 {
				site[k] = here[k] / total * load
			}
		}
		n.asked = append(n.asked, site)
	}
}

// meanWork is the work of a mean request here.
func (n *Node) meanWork(all []Demand) float64 {
	work, rate := 0.0, 0.0
	for _, d := range all {
		if d.Work > 0 {
			work, rate = work+d.Work*d.Rate, rate+d.Rate
		}
	}
	if rate <= 0 {
		return 0
	}
	return work / rate
}

// Notes are what an operator should know, since the last call.
func (n *Node) Notes() []Note {
	out := n.notes
	n.notes = nil
	return out
}

// Report is how a node sees one site.
type Report struct {
	Site           string             `json:"site"`
	State          string             `json:"standing"`
	SecondsInState float64            `json:"seconds"`
	Reason         string             `json:"why,omitempty"`
	Fraction       float64            `json:"part"` // of its usual load that it gets from here
	HaltReason     string             `json:"halted,omitempty"`
	HoldSeconds    float64            `json:"held_for_seconds,omitempty"`
	Losses         int                `json:"losses_in_a_row,omitempty"`
	Own            float64            `json:"own,omitempty"` // mean requests a second, by the plan: of its own clients,
	Moved          float64            `json:"moved,omitempty"`
	Limit          float64            `json:"full,omitempty"`
	Refused        map[string]float64 `json:"refused,omitempty"` // by class: part of its clients' requests
}

// Reports tells how each site stands.
func (n *Node) Reports(now float64) (out []Report) {
	now = max(now, n.now)
	for _, name := range n.watch.siteNames() {
		s := n.watch.sites[name]
		r := Report{Site: name, State: s.state.String(), SecondsInState: now - s.since, Reason: s.reason, Fraction: n.watch.Fraction(name), HaltReason: s.haltReason,
			Losses: s.losses, HoldSeconds: max(0, s.heldUntil-now)}
		if s.state == Serving {
			r.Losses = 0
		}
		if d := n.division; d != nil {
			if i := n.cfg.Plan.index(name); i >= 0 {
				r.Own, r.Moved, r.Limit = d.Own[i], d.Moved[i], d.Limit[i]
				r.Refused = n.refusedFractions(i)
			}
		}
		out = append(out, r)
	}
	return out
}

// refusedFractions is by class the part of a site's clients' requests that is refused.
func (n *Node) refusedFractions(site int) map[string]float64 {
	asked, refused := map[string]float64{}, map[string]float64{}
	for k, kind := range n.kinds {
		asked[kind.Class] += n.asked[site][k]
		refused[kind.Class] += n.asked[site][k] * (1 - n.division.Admitted[site][k])
	}
	for class, x := range refused {
		if x <= 1e-9 {
			delete(refused, class)
		} else {
			refused[class] = x / asked[class]
		}
	}
	return refused
}

// Isolated tells whether the node holds itself cut off from every site.
func (n *Node) Isolated() bool { return n.isolated }

// String is a short form for tests and logs.
func (c Change) String() string {
	return fmt.Sprintf("%s: %v to %v (%s)", c.Site, c.From, c.To, c.Reason)
}
