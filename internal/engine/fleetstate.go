package engine

import (
	"time"

	"craneglade/internal/shared"
	"craneglade/internal/shared/judgement"
	"craneglade/policy"
)

// FleetState is the state that the node shares with the other nodes of its fleet. Its methods are called with the engine
// locked and must neither block nor call back.
type FleetState interface {
	CountRequest(tenant string)                      // a client's request was accepted
	CountOverflow(site string)                       // an attempt goes to another site while the node's own is not fully in service
	RecordOutcome(k judgement.Key, o policy.Outcome) // an attempt has ended
	SetBackends(all []judgement.Backend)             // all listed backends
	View() shared.View                               // shared state to act on, valid until a time of the engine's clock
}

// SetFleetState sets the shared state. Without it the policy uses only what this node observes.
func (e *Engine) SetFleetState(s FleetState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fleetState, e.notifiedChanges = s, -1
	e.notifyFleetState()
	e.refreshView(e.clock.Now(), true)
}

// FleetStateChanged reports that the shared state has changed.
func (e *Engine) FleetStateChanged() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fleetState != nil && e.ctx.Err() == nil {
		e.refreshView(e.clock.Now(), true)
	}
}

// refreshView passes the shared state to the policy if it is fresh or the last view has expired: a process that was stalled
// must not act on an old view. e.mu must be held.
func (e *Engine) refreshView(now time.Duration, fresh bool) {
	if !fresh && now < e.viewUntil {
		return
	}
	v := e.fleetState.View()
	e.viewUntil = v.ValidUntil
	if e.sites != nil {
		e.sites.Node.SetHeadroomShares(v.OverflowShares)
		e.sites.Node.SetLiveNodes(v.LiveNodes)
	}
	numbers := make(map[judgement.Key]uint32, len(v.Ejected))
	if len(v.Ejected) > 0 {
		for _, b := range e.byID {
			numbers[b.key] = b.Number
		}
	}
	e.handle(now, v.Event(func(k judgement.Key) (uint32, bool) { n, ok := numbers[k]; return n, ok }))
}

// notifyFleetState passes on the listed backends if they have changed since the last call. e.mu must be held.
func (e *Engine) notifyFleetState() {
	if e.fleetState == nil || e.notifiedChanges == e.listed.changes {
		return
	}
	e.notifiedChanges = e.listed.changes
	all := make([]judgement.Backend, 0, e.listed.size)
	for b := range e.listed.all {
		all = append(all, judgement.Backend{Key: b.key, Name: b.ID, Site: b.Zone})
	}
	e.fleetState.SetBackends(all)
}
