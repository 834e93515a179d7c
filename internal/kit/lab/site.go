package lab

import (
	"maps"
	"slices"

	"craneglade/internal/sites"
	"craneglade/internal/siting"
	"craneglade/policy"
)

// Siting has the nodes watch how sites stand, and follow a plan for their loss.
type Siting struct {
	Plan *sites.Plan // nil for none
	Note func(node string, n sites.Note)
}

// planned are the sites of a plan.
func planned(o *Siting) (out []string) {
	if o == nil || o.Plan == nil {
		return nil
	}
	for _, s := range o.Plan.Sites {
		out = append(out, s.Name)
	}
	return out
}

// site gives the node's new life its view of the sites.
func (n *node) site(set *policy.Settings) {
	o := n.w.opt.Sites
	if o == nil {
		return
	}
	n.sites = siting.New(set, o.Plan)
	n.every(n.life, siting.StepInterval, func() {
		ev, probe := n.sites.Step(epoch+n.w.now, n.bal)
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

// sited tells which boxes there are.
func (n *node) sited() {
	if n.sites == nil {
		return
	}
	var all []sites.Backend
	for _, id := range slices.Sorted(maps.Keys(n.known)) {
		e := n.known[id]
		all = append(all, sites.Backend{ID: id, Site: e.Zone, Ready: e.State == policy.Active, Launched: e.Launched.Seconds()})
	}
	n.sites.SetBackends(epoch+n.w.now, all)
}

// probe opens a connection to a box, and keeps it for requests where it comes up.
func (n *node) probe(id uint32) {
	w, b, life := n.w, n.w.boxes[id-1], n.life
	tell := func(up bool) {
		if n.up && n.life == life {
			n.sites.RecordProbe(epoch+w.now, id, up)
		}
	}
	if b.silent || w.apart(n.Site, b.plan.Site) {
		w.after(n.timeout, func() { tell(false) })
		return
	}
	way := w.delay(n.Site, b.plan.Site)
	w.after(2*way, func() {
		up := b.up && !b.silent
		if p := n.pool[b]; up && p != nil && p.life == b.life {
			b.conns++
			p.idle = append(p.idle, w.now)
		}
		tell(up)
	})
}
