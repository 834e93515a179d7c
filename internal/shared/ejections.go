package shared

import (
	"slices"
	"time"

	"craneglade/internal/shared/judgement"
	"craneglade/internal/shared/packet"
)

// backend is a backend on the list.
type backend struct {
	judgement.Backend
	ejected   bool // at the last step
	ejectedBy int  // nodes that found it unhealthy when ejected last changed
}

// RecordOutcome records how an attempt at a backend ended.
func (r *Replica) RecordOutcome(now time.Duration, key judgement.Key, failed bool) {
	r.advance(now)
	r.pool.RecordAttempt(r.clock.now, key, failed)
}

// SetBackends sets the list of backends.
func (r *Replica) SetBackends(list []judgement.Backend) {
	before := map[judgement.Key]backend{}
	for _, b := range r.backends {
		before[b.Key] = b
	}
	r.backends = r.backends[:0]
	for _, b := range list {
		old := before[b.Key]
		r.backends = append(r.backends, backend{b, old.ejected, old.ejectedBy})
	}
	r.pool.SetBackends(list)
	for i := range r.backends { // on a shorter list the ceilings allow fewer ejections
		b := &r.backends[i]
		b.ejected = b.ejected && r.pool.Ejected(b.Key)
	}
}

// updateEjections decides which backends are ejected.
func (r *Replica) updateEjections() {
	ejected, votes := r.pool.Decide(r.clock.now)
	r.votes = votes
	for i := range r.backends {
		b := &r.backends[i]
		if _, is := slices.BinarySearch(ejected, b.Key); is != b.ejected {
			r.setEjected(b, is)
		}
	}
}

// setEjected records that a backend's ejection has begun or ended, and adds a note.
func (r *Replica) setEjected(b *backend, ejected bool) {
	b.ejected = ejected
	text := "backend no longer ejected by the fleet"
	if ejected {
		text = "backend ejected by the fleet"
	}
	args := []any{"backend", b.Name, "site", b.Site}
	for _, v := range r.votes {
		if v.Key == b.Key {
			args = append(args, "against", v.Unhealthy, "for", v.Healthy)
			b.ejectedBy = v.Unhealthy
		}
	}
	r.note(text, args...)
}

// receiveObservation merges another node's observation of a backend, and forwards it if it is new.
func (r *Replica) receiveObservation(e *packet.Entry, sentAt time.Duration) {
	isNew, valid := r.pool.Merge(e.Node.Number, e.Node.Incarnation, e.Backend, e.Observation, sentAt)
	if !valid {
		r.stats.Bad++
		return
	}
	if isNew {
		r.forward(e, sentAt, e.Observation.Failures >= r.cfg.Limits.MinFailures)
	}
}
