package sites

import (
	"fmt"
	"math"
	"slices"

	"craneglade/internal/cold"
)

// Config is the configuration of a Node.
type Config struct {
	Plan             *Plan  // validated; nil for none: sites are watched, and load of a lost site goes wherever there is headroom
	Home             string // the node's own site
	Classes          []Class
	OverQuotaUtility float64 // utility of a request over its tenant's quota, as a fraction of the normal one
	ColdShare        float64 // fraction of its capacity that a backend has when it starts
	ColdFor          float64 // seconds until it has all of it
}

// Class is a class of requests.
type Class struct {
	Name    string
	Utility float64
}

// Demand is the demand of this node's clients for one class.
type Demand struct {
	Class     string
	Rate      float64 // requests a second
	OverQuota float64 // requests a second over their tenants' quotas, which Rate includes
	Work      float64 // of one request, in any unit common to all classes
}

// Zone limits the use of a site by this node.
type Zone struct {
	Fraction float64 // fraction of all requests that may go there
	Rate     float64 // maximum requests a second; below 0 for no limit
}

// Directives tell the policy what to do until the next ones. They are empty while all sites serve.
type Directives struct {
	Zones map[string]Zone       // sites without an entry are used as normal
	Admit map[string][2]float64 // by class: fractions to admit of requests within their tenant's quota, and over it
	Probe []uint32              // backends to which a connection is to be tried now, with the result to RecordProbe
}

// Note is a message for the operator's log.
type Note struct {
	Text string
	Args []any // key, value, key, value
}

// Node judges all sites from one node and divides the load when sites are lost.
type Node struct {
	cfg            Config
	watch          *Watch
	now            float64
	isolated       bool
	notes          []Note
	availability   []Availability
	division       *Division
	kinds          []Kind
	demand         [][]float64
	headroomShares map[string]float64 // by site: this node's share of the headroom for lost sites' load; nil if unknown
	liveNodes      map[string]int     // by site: nodes confirmed alive; nil where nodes do not exchange state
	degraded       bool               // this node's own site is lost or returning
	noted          map[string]bool    // sites that only the plan or only the list has, once noted
}

// NewNode returns a node without backends.
func NewNode(cfg Config) *Node { return &Node{cfg: cfg, watch: NewWatch(), noted: map[string]bool{}} }

// SetBackends replaces the list of backends.
func (n *Node) SetBackends(now float64, backends []Backend) { n.watch.SetBackends(now, backends) }

// RecordSend records the start of an attempt at a backend.
func (n *Node) RecordSend(now float64, id uint32) { n.watch.RecordSend(now, id) }

// RecordOutcome records the outcome of an attempt and the seconds that it took.
func (n *Node) RecordOutcome(now float64, id uint32, outcome Outcome, took float64) {
	n.watch.RecordOutcome(now, id, outcome, took)
}

// RecordProbe records whether a connection that Directives requested was established.
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

// SetHeadroomShares sets, by site, this node's share of the headroom for lost sites' load. Without one, the nodes of a lost
// site, as counted by the plan, have equal shares.
func (n *Node) SetHeadroomShares(shares map[string]float64) { n.headroomShares = shares }

// SetLiveNodes sets how many nodes of each site are confirmed alive by their own reports; nil where nodes do not exchange
// state.
func (n *Node) SetLiveNodes(nodes map[string]int) { n.liveNodes = nodes }

// overflowCounts reports whether the demand of a site's clients counts in the division. It does not where only this node's
// attempts show the site as lost: that may be a loss of links, and then each side serves its own clients. The loss is
// confirmed if the list has none of the site's backends ready, or if nodes of the site are alive.
func (n *Node) overflowCounts(site string) bool {
	return n.watch.Fraction(site) == 1 || site == n.cfg.Home || n.watch.Delisted(site) || n.liveNodes[site] > 0
}

// IsOverflow reports whether requests that this node sends to a site are overflow of its own, degraded site.
func (n *Node) IsOverflow(site string) bool { return n.degraded && site != n.cfg.Home }

// Step advances the state to now, with the demand of this node's clients, and returns the directives to follow.
func (n *Node) Step(now float64, demand []Demand) Directives {
	n.now = max(n.now, now)
	changes, probe := n.watch.Update(n.now)
	n.noteChanges(changes)
	directives := Directives{Probe: probe}
	degraded, serving := 0, 0
	for _, name := range n.watch.siteNames() {
		switch n.watch.State(name) {
		case Lost, Returning:
			degraded++
		default:
			serving++
		}
	}
	// A node that reaches no site has lost its own links. It gives no directives and takes no part in the division.
	if isolated := degraded > 0 && serving == 0 && !n.anyReturning(); isolated != n.isolated {
		n.isolated = isolated
		text := "no site is reachable: this node is isolated"
		if !isolated {
			text = "this node is no longer isolated"
		}
		n.notes = append(n.notes, Note{Text: text})
	}
	n.degraded = !n.isolated && n.watch.Fraction(n.cfg.Home) < 1
	if degraded == 0 || n.isolated {
		n.division = nil
		return directives
	}
	directives.Zones = map[string]Zone{}
	for _, name := range n.watch.siteNames() {
		if fraction := n.watch.Fraction(name); fraction < 1 {
			directives.Zones[name] = Zone{Fraction: fraction, Rate: -1}
		}
	}
	if n.cfg.Plan != nil {
		n.applyPlan(&directives, demand)
	}
	return directives
}

func (n *Node) anyReturning() bool {
	return slices.ContainsFunc(n.watch.siteNames(), func(s string) bool { return n.watch.State(s) == Returning })
}

// applyPlan divides the load by the plan, and adds this node's share to the directives.
func (n *Node) applyPlan(directives *Directives, demand []Demand) {
	p := n.cfg.Plan
	n.availability = n.availability[:0]
	for _, s := range p.Sites {
		fraction := n.watch.Fraction(s.Name)
		if n.watch.sites[s.Name] == nil {
			fraction = 0
			n.noteOnce(s.Name, "site of the plan has no backends in the list; its capacity counts as 0")
		}
		n.availability = append(n.availability, Availability{Degraded: fraction < 1, Fraction: fraction * n.availableFraction(s)})
	}
	for _, name := range n.watch.siteNames() {
		if p.index(name) < 0 {
			n.noteOnce(name, "site of the list is not in the plan; no load is moved to it")
		}
	}
	n.estimateDemand(demand)
	order := p.RefusalOrder(n.kinds)
	d := p.Divide(n.availability, n.demand, order)
	n.division = d
	home := p.index(n.cfg.Home)
	if home < 0 {
		return // the plan has no load of this node's site
	}
	directives.Admit = map[string][2]float64{}
	for i, k := range n.kinds {
		a := directives.Admit[k.Class]
		if k.OverQuota {
			a[1] = d.Admitted[home][i]
		} else {
			a[0] = d.Admitted[home][i]
		}
		directives.Admit[k.Class] = a
	}
	if !n.availability[home].Degraded {
		return
	}
	for to, s := range p.Sites {
		if to == home || n.availability[to].Degraded {
			continue
		}
		// Without a share of its own, each node of this site gets an equal part of the flow, as clients are spread evenly
		// over nodes. Shares of the headroom are exclusive to a node and cover the overflow of all lost sites.
		rate := d.MaxFlows[home][to] / float64(p.Sites[home].Nodes)
		if share, set := n.headroomShares[s.Name]; set {
			rate = min(d.Headroom[to]*share, d.MaxFlows[home][to])
		}
		directives.Zones[s.Name] = Zone{Fraction: 1, Rate: rate}
	}
}

// noteOnce adds a note about a site, unless it has one already.
func (n *Node) noteOnce(site, text string) {
	if !n.noted[site] {
		n.noted[site] = true
		n.notes = append(n.notes, Note{text, []any{"site", site}})
	}
}

// availableFraction returns the fraction of a site's planned capacity that its listed backends have now, by their number and
// warm-up.
func (n *Node) availableFraction(s Site) float64 {
	sum := 0.0
	for _, b := range n.watch.order {
		if b.Site == s.Name && b.Ready {
			sum += cold.Ramp(b.Launched, n.now, n.cfg.ColdShare, n.cfg.ColdFor)
		}
	}
	return min(1, sum/float64(s.Backends))
}

// estimateDemand estimates the demand of all sites' clients by kind: that of this site from this node's own, that of others
// from the loads of the plan, scaled as this site's differs from its plan, and with the same mix of kinds.
func (n *Node) estimateDemand(all []Demand) {
	p := n.cfg.Plan
	n.kinds, n.demand = n.kinds[:0], n.demand[:0]
	var local []float64
	mean := n.meanWork(all)
	for _, d := range all {
		utility := 0.0
		if i := slices.IndexFunc(n.cfg.Classes, func(c Class) bool { return c.Name == d.Class }); i >= 0 {
			utility = n.cfg.Classes[i].Utility
		}
		work := 1.0
		if mean > 0 && d.Work > 0 {
			work = d.Work / mean
		}
		n.kinds = append(n.kinds, Kind{d.Class, false, utility, work}, Kind{d.Class, true, utility * n.cfg.OverQuotaUtility, work})
		local = append(local, max(0, d.Rate-d.OverQuota)*work, min(d.OverQuota, d.Rate)*work)
	}
	total, home := sum(local), p.index(n.cfg.Home)
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
		siteDemand := make([]float64, len(local))
		for k := range local {
			if total > 0 {
				siteDemand[k] = local[k] / total * load
			}
		}
		n.demand = append(n.demand, siteDemand)
	}
}

// meanWork returns the mean work of this node's requests.
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

// Notes returns the notes since the last call.
func (n *Node) Notes() []Note {
	out := n.notes
	n.notes = nil
	return out
}

// Report is the state of one site as a node sees it.
type Report struct {
	Site           string             `json:"site"`
	State          string             `json:"standing"`
	SecondsInState float64            `json:"seconds"`
	Reason         string             `json:"why,omitempty"`
	Fraction       float64            `json:"part"` // of its normal load that this node sends it
	HaltReason     string             `json:"halted,omitempty"`
	HoldSeconds    float64            `json:"held_for_seconds,omitempty"`
	Losses         int                `json:"losses_in_a_row,omitempty"`
	Own            float64            `json:"own,omitempty"` // load of its own clients by the plan, in mean requests a second
	Moved          float64            `json:"moved,omitempty"`
	Limit          float64            `json:"full,omitempty"`
	Refused        map[string]float64 `json:"refused,omitempty"` // by class: fraction of its clients' requests
}

// Reports returns the state of each site.
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

// refusedFractions returns, by class, the fraction of a site's clients' requests that is refused.
func (n *Node) refusedFractions(site int) map[string]float64 {
	demand, refused := map[string]float64{}, map[string]float64{}
	for k, kind := range n.kinds {
		demand[kind.Class] += n.demand[site][k]
		refused[kind.Class] += n.demand[site][k] * (1 - n.division.Admitted[site][k])
	}
	for class, x := range refused {
		if x <= 1e-9 {
			delete(refused, class)
		} else {
			refused[class] = x / demand[class]
		}
	}
	return refused
}

// Isolated reports whether the node considers itself cut off from all sites.
func (n *Node) Isolated() bool { return n.isolated }

// String returns a short form for tests and logs.
func (c Change) String() string {
	return fmt.Sprintf("%s: %v to %v (%s)", c.Site, c.From, c.To, c.Reason)
}
