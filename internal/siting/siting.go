// Package siting connects the policy with package sites: it passes the outcomes of attempts to sites, and its directives to
// the policy. It does no I/O; both the engine and the simulator in internal/kit/lab drive it.
package siting

import (
	"time"

	"craneglade/internal/sites"
	"craneglade/policy"
)

// StepInterval is the interval at which Adapter.Step is to be called.
const StepInterval = 100 * time.Millisecond

// Adapter connects one node's policy with its view of all sites. It is not safe for concurrent use.
type Adapter struct {
	Node   *sites.Node
	active bool // the policy has directives to follow
}

// New returns an adapter without backends. A nil plan means that there is none.
func New(settings *policy.Settings, plan *sites.Plan) *Adapter {
	cfg := sites.Config{Plan: plan, Home: settings.Zone, OverQuotaUtility: settings.OverShare, ColdShare: settings.ColdShare, ColdFor: settings.ColdFor.Seconds()}
	for _, c := range settings.Classes {
		cfg.Classes = append(cfg.Classes, sites.Class{Name: c.Name, Utility: c.Worth})
	}
	return &Adapter{Node: sites.NewNode(cfg)}
}

// SetBackends replaces the list of backends.
func (a *Adapter) SetBackends(now time.Duration, backends []sites.Backend) {
	a.Node.SetBackends(now.Seconds(), backends)
}

// RecordSend records the start of an attempt at a backend.
func (a *Adapter) RecordSend(now time.Duration, id uint32) { a.Node.RecordSend(now.Seconds(), id) }

// RecordOutcome records the outcome of an attempt and the time that it took.
func (a *Adapter) RecordOutcome(now time.Duration, id uint32, o policy.Outcome, took time.Duration) {
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
	a.Node.RecordOutcome(now.Seconds(), id, r, took.Seconds())
}

// RecordProbe records whether a connection that Step asked for was established.
func (a *Adapter) RecordProbe(now time.Duration, id uint32, up bool) {
	a.Node.RecordProbe(now.Seconds(), id, up)
}

// Step advances the state to now. It returns the event for the policy, nil if there is none, and the backends to probe with
// a connection.
func (a *Adapter) Step(now time.Duration, balancer *policy.Balancer) (*policy.Event, []uint32) {
	o := a.Node.Step(now.Seconds(), balancer.Demand())
	active := len(o.Zones) > 0 || len(o.Admit) > 0
	if !active && !a.active {
		return nil, o.Probe
	}
	a.active = active
	return &policy.Event{Kind: policy.EvSites, Zones: o.Zones, Admit: o.Admit}, o.Probe
}
