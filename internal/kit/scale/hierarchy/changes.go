package hierarchy

import (
	"maps"
	"slices"
	"time"

	"craneglade/internal/controlplane/resource"
	"craneglade/internal/controlplane/subscriber"
)

// tracker tracks each change until it is in force at every node that serves its service.
type tracker struct {
	open        map[string][]*change          // by service
	latencies   []time.Duration               // until in force, one for each change and node
	excluded    func(*Process) bool           // nodes for which changes don't wait, as a fault stalls them
	partitioned func(*service, *Process) bool // pairs that a network partition separates
	created     int
	maxLatency  time.Duration // until in force, including the time that a writer was down
}

// change is a change that is not in force everywhere yet.
type change struct {
	createdAt    time.Duration
	measuredFrom time.Duration // start of its latency: its creation, or the restart of its writer
	version      uint64
	pending      map[*Process]struct{} // nodes at which it is not in force
}

func (t *tracker) init() { t.open = map[string][]*change{} }

// reset discards the measurements; open changes are still tracked.
func (t *tracker) reset() { t.latencies, t.created, t.maxLatency = nil, 0, 0 }

// appended records a change that a writer has appended to its log.
func (t *tracker) appended(n *Network, s *service, position resource.Position) {
	t.created++
	c := &change{createdAt: n.now, measuredFrom: n.now, version: position.Version, pending: map[*Process]struct{}{}}
	for _, i := range s.nodes {
		if p := n.byRole[RoleNode][i]; !p.down && !t.exempt(s, p) {
			c.pending[p] = struct{}{}
		}
	}
	if len(c.pending) > 0 {
		t.open[s.name] = append(t.open[s.name], c)
	}
}

// exempt reports whether a fault excuses a node from applying a change in time.
func (t *tracker) exempt(s *service, p *Process) bool {
	return t.excluded != nil && t.excluded(p) || t.partitioned != nil && t.partitioned(s, p)
}

// applied records what a node has put in force.
func (t *tracker) applied(now time.Duration, p *Process, a *subscriber.Applied) {
	if p.Role != RoleNode || len(t.open) == 0 {
		return
	}
	service := ""
	for i := range a.Changes {
		if name := a.Changes[i].Resource.Key.Service; name != service {
			service = name
			t.inForce(now, p, service, a.Position.Version)
		}
	}
}

func (t *tracker) inForce(now time.Duration, p *Process, service string, version uint64) {
	for _, c := range t.open[service] {
		if _, pending := c.pending[p]; !pending || c.version > version {
			continue
		}
		delete(c.pending, p)
		t.latencies = append(t.latencies, now-c.measuredFrom)
		t.maxLatency = max(t.maxLatency, now-c.createdAt)
	}
	t.removeDone(service)
}

// removeDone removes the changes that no node has pending.
func (t *tracker) removeDone(service string) {
	remaining := slices.DeleteFunc(t.open[service], func(c *change) bool { return len(c.pending) == 0 })
	if len(remaining) == 0 {
		delete(t.open, service)
		return
	}
	t.open[service] = remaining
}

// nodeStopped removes a stopped node from the pending nodes of all changes.
func (t *tracker) nodeStopped(p *Process) {
	if p.Role != RoleNode {
		return
	}
	for _, service := range p.network.fleet.servicesByNode[p.Index] {
		for _, c := range t.open[service] {
			delete(c.pending, p)
		}
		if _, is := t.open[service]; is {
			t.removeDone(service)
		}
	}
}

// writerRestarted restarts the latency of a region's open changes: their writer may have stopped before it sent them to
// all.
func (t *tracker) writerRestarted(n *Network, region int) {
	for i := range n.fleet.services {
		if s := &n.fleet.services[i]; s.region == region {
			for _, c := range t.open[s.name] {
				c.measuredFrom = n.now
			}
		}
	}
}

// pending returns the number of pairs of a change and a node at which it is not in force, and the age of the oldest change.
func (t *tracker) pending(now time.Duration) (pairs int, oldest time.Duration) {
	for _, service := range slices.Sorted(maps.Keys(t.open)) {
		for _, c := range t.open[service] {
			pairs += len(c.pending)
			oldest = max(oldest, now-c.measuredFrom)
		}
	}
	return pairs, oldest
}

// quantile returns a quantile of durations, or 0 if there are none.
func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
