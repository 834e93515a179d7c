package engine

import (
	"craneglade/internal/sites"
	"craneglade/internal/siting"
)

// Watch has the engine watch how sites stand, and the module follow what that asks for. StepSites is to be called every
// siting.Every.
func (e *Engine) Watch(l *siting.Adapter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sites = l
	e.tellSites()
}

// tellSites tells which backends there are. e.mu is held.
func (e *Engine) tellSites() {
	if e.sites == nil {
		return
	}
	all := make([]sites.Backend, 0, e.listed.size)
	for b := range e.listed.all {
		all = append(all, sites.Backend{ID: b.Number, Site: b.Zone, Ready: b.stop.Load() == nil,
			Launched: b.launch.Seconds()})
	}
	e.sites.ApplyList(e.clock.Now(), all)
}

// StepSites brings the sites' standing up to the time. It returns the backends to which a connection is to be tried, for
// Probed, and what an operator should know.
func (e *Engine) StepSites() (probe []*Backend, notes []sites.Note) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() != nil {
		return nil, nil
	}
	now := e.clock.Now()
	ev, ids := e.sites.Step(now, e.bal)
	if ev != nil {
		e.handle(now, ev)
	}
	for _, id := range ids {
		if b := e.boxes[id]; b != nil {
			probe = append(probe, b)
		}
	}
	return probe, e.sites.Node.Notes()
}

// Probed tells whether a connection that StepSites asked for came up.
func (e *Engine) Probed(b *Backend, up bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sites.RecordProbe(e.clock.Now(), b.Number, up)
}

// Sites tells how each site stands, and whether the node holds itself cut off; nothing where they are not watched.
func (e *Engine) Sites() (all []sites.Report, alone bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sites == nil {
		return nil, false
	}
	return e.sites.Node.Reports(e.clock.Now().Seconds()), e.sites.Node.Isolated()
}

// Demand is what clients lately ask for, by class.
func (e *Engine) Demand() []sites.Demand {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bal.Demand()
}
