package lab

import (
	"maps"
	"slices"

	"craneglade/internal/sites"
	"craneglade/internal/siting"
	"craneglade/policy"
)

// Siting makes the nodes watch the state of sites and follow a plan for their loss.
type Siting struct {
	Plan *sites.Plan // nil for none
	Note func(node string, n sites.Note)
}

// plannedSites returns the names of a plan's sites.
func plannedSites(o *Siting) (out []string) {
	if o == nil || o.Plan == nil {
		return nil
	}
	for _, s := range o.Plan.Sites {
		out = append(out, s.Name)
	}
	return out
}

// startSites sets up the site state of a node's new process.
func (n *node) startSites(set *policy.Settings) {
	o := n.sim.opt.Sites
	if o == nil {
		return
	}
	n.sites = siting.New(set, o.Plan)
	n.repeat(n.incarnation, siting.StepInterval, func() {
		ev, probe := n.sites.Step(epoch+n.sim.now, n.balancer)
		if ev != nil {
			n.handle(ev)
		}
		for _, id := range probe {
			n.probe(id)
		}
		for _, note := range n.sites.Node.Notes() {
			if o.Note != nil {
				o.Note(n.Name, note)
			}
		}
	})
}

// updateSiteBackends passes the current list to the site state.
func (n *node) updateSiteBackends() {
	if n.sites == nil {
		return
	}
	var all []sites.Backend
	for _, id := range slices.Sorted(maps.Keys(n.known)) {
		e := n.known[id]
		all = append(all, sites.Backend{ID: id, Site: e.Zone, Ready: e.State == policy.Active, Launched: e.Launched.Seconds()})
	}
	n.sites.SetBackends(epoch+n.sim.now, all)
}

// probe opens a connection to a backend and, if that succeeds, keeps it in the pool for requests.
func (n *node) probe(id uint32) {
	sim, b, incarnation := n.sim, n.sim.backends[id-1], n.incarnation
	report := func(up bool) {
		if n.up && n.incarnation == incarnation {
			n.sites.RecordProbe(epoch+sim.now, id, up)
		}
	}
	if b.isolated || sim.partitioned(n.Site, b.plan.Site) {
		sim.after(n.connectTimeout, func() { report(false) })
		return
	}
	delay := sim.delay(n.Site, b.plan.Site)
	sim.after(2*delay, func() {
		up := b.up && !b.isolated
		if p := n.pool[b]; up && p != nil && p.connEpoch == b.connEpoch {
			b.conns++
			p.idleSince = append(p.idleSince, sim.now)
		}
		report(up)
	})
}
