package publisher

import (
	"slices"

	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/resource"
)

// region is one log with those who subscribe to it.
type region struct {
	name          string
	store         *changelog.Store  // nil until it is published
	position      resource.Position // of the store, when it was last looked at
	subscriptions []*subscription
	byService     map[string][]*subscription // that stream, by what they subscribe to
	all           []*subscription            // that stream everything

	shared *message.Heartbeat                   // for all standbys of this step
	deltas map[resource.Position]*message.Delta // for all that stream everything, of this step, by where they stand
	whole  *wholeSnapshot                       // of everything, while somebody is sent it
}

// add puts a subscription into the indexes.
func (r *region) add(sub *subscription) {
	sub.index = len(r.subscriptions)
	r.subscriptions = append(r.subscriptions, sub)
	if sub.standby {
		return
	}
	if sub.filter.All {
		r.all = append(r.all, sub)
		return
	}
	for _, service := range sub.filter.Services {
		r.byService[service] = append(r.byService[service], sub)
	}
}

// remove takes a subscription out of the indexes.
func (r *region) remove(sub *subscription) {
	last := len(r.subscriptions) - 1
	r.subscriptions[sub.index] = r.subscriptions[last]
	r.subscriptions[sub.index].index = sub.index
	r.subscriptions[last] = nil
	r.subscriptions = r.subscriptions[:last]
	if sub.standby {
		return
	}
	if sub.filter.All {
		r.all = without(r.all, sub)
		return
	}
	for _, service := range sub.filter.Services {
		if rest := without(r.byService[service], sub); len(rest) > 0 {
			r.byService[service] = rest
		} else {
			delete(r.byService, service)
		}
	}
}

func without(subs []*subscription, sub *subscription) []*subscription {
	i := slices.Index(subs, sub)
	if i < 0 {
		return subs
	}
	last := len(subs) - 1
	subs[i], subs[last] = subs[last], nil
	return subs[:last]
}

// scan finds out what has changed in the store, and marks the subscriptions that it touches.
func (p *Publisher) scan(r *region) {
	if r.store == nil || r.store.Position() == r.position {
		return
	}
	changes, ok := r.store.Changes(changelog.Filter{All: true}, r.position)
	r.position = r.store.Position()
	if !ok {
		for _, sub := range r.subscriptions {
			if sub.state != stateWaiting && sub.state != stateSnapshot {
				p.reconcile(sub)
			}
		}
		return
	}
	for _, sub := range r.all {
		p.touch(sub, "")
	}
	for i := range changes {
		service := changes[i].Resource.Key.Service
		if i > 0 && changes[i-1].Resource.Key.Service == service {
			continue
		}
		for n, sub := range r.byService[service] {
			if p.faults.missIndex && n%2 == 1 {
				continue
			}
			p.touch(sub, service)
		}
	}
}
