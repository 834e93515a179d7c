package hierarchy

import (
	"maps"
	"slices"
	"time"

	"craneglade/internal/controlplane/resource"
	"craneglade/internal/controlplane/subscriber"
)

// tracker follows each change until it is in force at every node that serves its service.
type tracker struct {
	open     map[string][]*change          // by service
	taken    []time.Duration               // until in force: one for each change and node
	exclude  func(*Process) bool           // nodes that changes don't wait for: those that a fault holds up
	crossing func(*service, *Process) bool // pairs that a cut separates
	made     int
	longest  time.Duration // until in force, also where a writer was down meanwhile
}

// change is one that is not in force everywhere yet.
type change struct {
	made    time.Duration
	at      time.Duration // from which its time counts: made, or when its writer came back
	version uint64
	nodes   map[*Process]struct{} // that it is not in force at
}

func (t *tracker) init() { t.open = map[string][]*change{} }

// reset forgets what was measured; open changes are still followed.
func (t *tracker) reset() { t.taken, t.made, t.longest = nil, 0, 0 }

// appended notes a change that a writer has taken.
func (t *tracker) appended(n *Network, s *service, position resource.Position) {
	t.made++
	c := &change{made: n.now, at: n.now, version: position.Version, nodes: map[*Process]struct{}{}}
	for _, i := range s.nodes {
		if p := n.byRole[RoleNode][i]; !p.down && !t.excused(s, p) {
			c.nodes[p] = struct{}{}
		}
	}
	if len(c.nodes) > 0 {
		t.open[s.name] = append(t.open[s.name], c)
	}
}

// excused reports whether a fault is why a change need not reach a node in time.
func (t *tracker) excused(s *service, p *Process) bool {
	return t.exclude != nil && t.exclude(p) || t.crossing != nil && t.crossing(s, p)
}

// applied notes what a node has in force.
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
		if _, waits := c.nodes[p]; !waits || c.version > version {
			continue
		}
		delete(c.nodes, p)
		t.taken = append(t.taken, now-c.at)
		t.longest = max(t.longest, now-c.made)
	}
	t.close(service)
}

// close takes out changes that nobody waits for.
func (t *tracker) close(service string) {
	rest := slices.DeleteFunc(t.open[service], func(c *change) bool { return len(c.nodes) == 0 })
	if len(rest) == 0 {
		delete(t.open, service)
		return
	}
	t.open[service] = rest
}

// left takes a node that ended out of what is waited for.
func (t *tracker) left(p *Process) {
	if p.Role != RoleNode {
		return
	}
	for _, service := range p.network.fleet.serves[p.Index] {
		for _, c := range t.open[service] {
			delete(c.nodes, p)
		}
		if _, is := t.open[service]; is {
			t.close(service)
		}
	}
}

// writerBack counts the time of changes from now on that their writer took and could tell nobody, or not all, as it ended.
func (t *tracker) writerBack(n *Network, region int) {
	for i := range n.fleet.services {
		if s := &n.fleet.services[i]; s.region == region {
			for _, c := range t.open[s.name] {
				c.at = n.now
			}
		}
	}
}

// waiting is how many pairs of a change and a node are not in force yet, and how long the oldest has waited.
func (t *tracker) waiting(now time.Duration) (pairs int, oldest time.Duration) {
	for _, service := range slices.Sorted(maps.Keys(t.open)) {
		for _, c := range t.open[service] {
			pairs += len(c.nodes)
			oldest = max(oldest, now-c.at)
		}
	}
	return pairs, oldest
}

// quantile is that of some times; 0 for none.
func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
