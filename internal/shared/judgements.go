package shared

import (
	"slices"
	"time"

	"craneglade/internal/shared/judgement"
	"craneglade/internal/shared/packet"
)

// backend is one on the list.
type backend struct {
	judgement.Backend
	ejected   bool // at the last step, by the judgement of enough nodes
	ejectedBy int  // the nodes that found it broken when that last changed
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
	for i := range r.backends { // of fewer backends fewer may be ejected
		b := &r.backends[i]
		b.ejected = b.ejected && r.pool.Ejected(b.Key)
	}
}

// judge decides anew which backends are ejected.
func (r *Replica) judge() {
	ejected, votes := r.pool.Decide(r.clock.now)
	r.votes = votes
	for i := range r.backends {
		b := &r.backends[i]
		if _, is := slices.BinarySearch(ejected, b.Key); is != b.ejected {
			r.setEjected(b, is)
		}
	}
}

// setEjected records and notes that a backend is ejected, or no longer so.
func (r *Replica) setEjected(b *backend, ejected bool) {
	b.ejected = ejected
	text := "a backend is no longer out by hearsay"
	if ejected {
		text = "a backend is out by hearsay"
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

// receiveSight takes in another node's observation of a backend and passes on what is new.
func (r *Replica) receiveSight(e *packet.Entry, sentAt time.Duration) {
	isNew, possible := r.pool.Merge(e.Node.Number, e.Node.Incarnation, e.Backend, e.Observation, sentAt)
	if !possible {
		r.stats.Bad++
		return
	}
	if isNew {
		r.forward(e, sentAt, e.Observation.Failed >= r.cfg.Limits.MinFailures)
	}
}
