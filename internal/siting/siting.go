// Package siting stands between the decision module and what is made of sites: it hands on what becomes of attempts, and
// hands the module the orders that follow. It does no I/O; the engine and the laboratory drive it alike.
package siting

import (
	"time"

	"craneglade/internal/sites"
	"craneglade/policy"
)

// StepInterval is how often Step is to be called.
const StepInterval = 100 * time.Millisecond

// Adapter is one node's. Nothing of it is safe for concurrent use.
type Adapter struct {
	Node   *sites.Node
	active bool // the module follows some now
}

// New returns the link of a node that knows no box yet. A nil plan is none.
func New(settings *policy.Settings, plan *sites.Plan) *Adapter {
	cfg := sites.Config{Plan: plan, Home: settings.Zone, OverQuotaUtility: settings.OverShare, ColdShare: settings.ColdShare, ColdFor: settings.ColdFor.Seconds()}
	for _, c := range settings.Classes {
		cfg.Classes = append(cfg.Classes, sites.Class{Name: c.Name, Utility: c.Worth})
	}
	return &Adapter{Node: sites.NewNode(cfg)}
}

// ApplyList sets the boxes that there are.
func (l *Adapter) ApplyList(now time.Duration, boxes []sites.Backend) {
	l.Node.ApplyList(now.Seconds(), boxes)
}

// RecordSend notes that an attempt at a box begins.
func (l *Adapter) RecordSend(now time.Duration, id uint32) { l.Node.RecordSend(now.Seconds(), id) }

// RecordOutcome notes what became of an attempt.
func (l *Adapter) RecordOutcome(now time.Duration, id uint32, o policy.Outcome, took time.Duration) {
	r := sites.Inconclusive
	switch o {
	case policy.OK, policy.Failed, policy.Full:
		r = sites.Answered
	case policy.ConnectFailed:
		r = sites.ConnectFailed
	case policy.TimedOut:
		r = sites.TimedOut
	case policy.Reset:
		r = sites.Reset
	}
	l.Node.RecordOutcome(now.Seconds(), id, r, took.Seconds())
}

// RecordProbe notes whether a connection that Step asked for came up.
func (l *Adapter) RecordProbe(now time.Duration, id uint32, up bool) {
	l.Node.RecordProbe(now.Seconds(), id, up)
}

// Step brings all up to the time. It returns what the module is to be handed, nil for nothing, and the boxes to which a
// connection is to be tried.
func (l *Adapter) Step(now time.Duration, balancer *policy.Balancer) (*policy.Event, []uint32) {
	o := l.Node.Step(now.Seconds(), balancer.Demand())
	active := len(o.Zones) > 0 || len(o.Admit) > 0
	if !active && !l.active {
		return nil, o.Probe
	}
	l.active = active
	return &policy.Event{Kind: policy.EvSites, Zones: o.Zones, Admit: o.Admit}, o.Probe
}
