package publisher

import (
	"slices"

	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/resource"
)

// region is a region's log with its subscriptions.
type region struct {
	name              string
	store             *changelog.Store  // nil until the log is published
	position          resource.Position // of the store at the last scan
	subscriptions     []*subscription
	byService         map[string][]*subscription // streaming subscriptions by service
	fullSubscriptions []*subscription            // streaming subscriptions to all services

	standbyHeartbeat *message.Heartbeat                   // shared by all standbys in this step
	fullDeltas       map[resource.Position]*message.Delta // shared by fullSubscriptions in this step, by start position
	fullSnapshot     *fullSnapshot                        // shared by fullSubscriptions while it is being sent
}

// add adds a subscription to the indexes.
func (r *region) add(sub *subscription) {
	sub.index = len(r.subscriptions)
	r.subscriptions = append(r.subscriptions, sub)
	if sub.standby {
		return
	}
	if sub.filter.All {
		r.fullSubscriptions = append(r.fullSubscriptions, sub)
		return
	}
	for _, service := range sub.filter.Services {
		r.byService[service] = append(r.byService[service], sub)
	}
}

// remove removes a subscription from the indexes.
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
		r.fullSubscriptions = removeSubscription(r.fullSubscriptions, sub)
		return
	}
	for _, service := range sub.filter.Services {
		if remaining := removeSubscription(r.byService[service], sub); len(remaining) > 0 {
			r.byService[service] = remaining
		} else {
			delete(r.byService, service)
		}
	}
}

func removeSubscription(subs []*subscription, sub *subscription) []*subscription {
	i := slices.Index(subs, sub)
	if i < 0 {
		return subs
	}
	last := len(subs) - 1
	subs[i], subs[last] = subs[last], nil
	return subs[:last]
}

// scanChanges looks for changes in the store and marks the subscriptions that they affect.
func (p *Publisher) scanChanges(r *region) {
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
	for _, sub := range r.fullSubscriptions {
		p.markChanged(sub, "")
	}
	for i := range changes {
		service := changes[i].Resource.Key.Service
		if i > 0 && changes[i-1].Resource.Key.Service == service {
			continue
		}
		for n, sub := range r.byService[service] {
			if p.faults.skipEveryOtherSession && n%2 == 1 {
				continue
			}
			p.markChanged(sub, service)
		}
	}
}
