package engine

import (
	"craneglade/internal/sites"
	"craneglade/internal/siting"
)

// WatchSites has the engine track the health state of sites, and the policy apply the resulting directives. StepSites has to
// be called at intervals of siting.StepInterval.
func (e *Engine) WatchSites(l *siting.Adapter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sites = l
	e.notifySites()
}

// notifySites passes on the listed backends. e.mu must be held.
func (e *Engine) notifySites() {
	if e.sites == nil {
		return
	}
	all := make([]sites.Backend, 0, e.listed.size)
	for b := range e.listed.all {
		all = append(all, sites.Backend{ID: b.Number, Site: b.Zone, Ready: b.writesStopAt.Load() == nil,
			Launched: b.launched.Seconds()})
	}
	e.sites.SetBackends(e.clock.Now(), all)
}

// StepSites updates the state of the sites to the current time. It returns the backends to probe with a connection, whose
// results go to RecordProbe, and notes for the operator.
func (e *Engine) StepSites() (probe []*Backend, notes []sites.Note) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() != nil {
		return nil, nil
	}
	now := e.clock.Now()
	event, ids := e.sites.Step(now, e.bal)
	if event != nil {
		e.handle(now, event)
	}
	for _, id := range ids {
		if b := e.byNumber[id]; b != nil {
			probe = append(probe, b)
		}
	}
	return probe, e.sites.Node.Notes()
}

// RecordProbe records whether a connection that StepSites asked for was established.
func (e *Engine) RecordProbe(b *Backend, up bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byNumber[b.Number] == b { // not of an earlier process with its number
		e.sites.RecordProbe(e.clock.Now(), b.Number, up)
	}
}

// Sites returns the state of each site, and whether the node considers itself cut off; nil and false if sites are not watched.
func (e *Engine) Sites() (all []sites.Report, cutOff bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sites == nil {
		return nil, false
	}
	return e.sites.Node.Reports(e.clock.Now().Seconds()), e.sites.Node.Isolated()
}

// Demand returns the recent demand of clients by class.
func (e *Engine) Demand() []sites.Demand {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bal.Demand()
}
