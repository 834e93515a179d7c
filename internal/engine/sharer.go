package engine

import (
	"time"

	"craneglade/internal/shared"
	"craneglade/internal/shared/judgement"
	"craneglade/policy"
)

// Sharer is what the node shares with the others of its fleet. Its methods are called with the engine locked, and must
// neither wait for anybody nor call back.
type Sharer interface {
	Request(tenant string)                     // a client asks
	Crossed(site string)                       // a request goes to another site, as its client's own is lost
	Outcome(k judgement.Key, o policy.Outcome) // an attempt has ended
	Listed(all []judgement.Backend)            // the backends that there are
	View() shared.View                         // what may be acted on, until a moment of the engine's clock
}

// Share sets what the node shares. Without it the module decides by what this node sees alone.
func (e *Engine) Share(s Sharer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sharer, e.sharerTold = s, -1
	e.tellSharer()
	e.look(e.clock.Now(), true)
}

// Shared tells that there is something new to act on.
func (e *Engine) Shared() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sharer != nil && e.ctx.Err() == nil {
		e.look(e.clock.Now(), true)
	}
}

// look hands the module what may be acted on now, where it is new or what it was told counts no more: a process that was
// stalled must not act on what it held before. e.mu is held.
func (e *Engine) look(now time.Duration, fresh bool) {
	if !fresh && now < e.until {
		return
	}
	v := e.sharer.View()
	e.until = v.Until
	if e.sites != nil {
		e.sites.Node.SetHeadroomShares(v.Cross)
		e.sites.Node.SetLiveNodes(v.Nodes)
	}
	numbers := make(map[judgement.Key]uint32, len(v.Out))
	if len(v.Out) > 0 {
		for _, b := range e.names {
			numbers[b.key] = b.Number
		}
	}
	e.handle(now, v.Event(func(k judgement.Key) (uint32, bool) { n, ok := numbers[k]; return n, ok }))
}

// tellSharer tells which backends there are, unless they are those that it was told of before. e.mu is held.
func (e *Engine) tellSharer() {
	if e.sharer == nil || e.sharerTold == e.listed.changes {
		return
	}
	e.sharerTold = e.listed.changes
	all := make([]judgement.Backend, 0, e.listed.size)
	for b := range e.listed.all {
		all = append(all, judgement.Backend{Key: b.key, Name: b.ID, Site: b.Zone})
	}
	e.sharer.Listed(all)
}
