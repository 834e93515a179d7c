// Package siting stands between the decision module and what is made of sites: it hands on what becomes of attempts, and
// hands the module the orders that follow. It does no I/O; the engine and the laboratory drive it alike.
package siting

import (
	"time"

	"craneglade/internal/sites"
	"craneglade/policy"
)

// Every is how often Step is to be called.
const Every = 100 * time.Millisecond

// Link is one node's. Nothing of it is safe for concurrent use.
type Link struct {
	Node   *sites.Node
	orders bool // the module follows some now
}

// New returns the link of a node that knows no box yet. A nil plan is none.
func New(set *policy.Settings, plan *sites.Plan) *Link {
	cfg := sites.Config{Plan: plan, Home: set.Zone, OverShare: set.OverShare, ColdShare: set.ColdShare, ColdFor: set.ColdFor.Seconds()}
	for _, c := range set.Classes {
		cfg.Classes = append(cfg.Classes, sites.Class{Name: c.Name, Worth: c.Worth})
	}
	return &Link{Node: sites.NewNode(cfg)}
}

// Listed sets the boxes that there are.
func (l *Link) Listed(now time.Duration, boxes []sites.Box) { l.Node.Listed(now.Seconds(), boxes) }

// Sent notes that an attempt at a box begins.
func (l *Link) Sent(now time.Duration, id uint32) { l.Node.Sent(now.Seconds(), id) }

// Ended notes what became of an attempt.
func (l *Link) Ended(now time.Duration, id uint32, o policy.Outcome, took time.Duration) {
	r := sites.Nothing
	switch o {
	case policy.OK, policy.Failed, policy.Full:
		r = sites.Answered
	case policy.ConnectFailed:
		r = sites.Nobody
	case policy.TimedOut:
		r = sites.Silent
	case policy.Reset:
		r = sites.Broken
	}
	l.Node.Ended(now.Seconds(), id, r, took.Seconds())
}

// Probed notes whether a connection that Step asked for came up.
func (l *Link) Probed(now time.Duration, id uint32, up bool) { l.Node.Probed(now.Seconds(), id, up) }

// Step brings all up to the time. It returns what the module is to be handed, nil for nothing, and the boxes to which a
// connection is to be tried.
func (l *Link) Step(now time.Duration, bal *policy.Balancer) (*policy.Event, []uint32) {
	o := l.Node.Step(now.Seconds(), bal.Demand())
	some := len(o.Zones) > 0 || len(o.Admit) > 0
	if !some && !l.orders {
		return nil, o.Probe
	}
	l.orders = some
	return &policy.Event{Kind: policy.EvSites, Zones: o.Zones, Admit: o.Admit}, o.Probe
}
