package simulate

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/publisher"
	"craneglade/internal/controlplane/resource"
	"craneglade/internal/controlplane/subscriber"
)

// Check names what is checked of every process at every step, or at a stated time.
type Check string

// The checks.
const (
	CheckPosition  Check = "position goes back"
	CheckState     Check = "state differs from the log at its position"
	CheckApplied   Check = "the changes told to the process differ from the state"
	CheckAge       Check = "the state is older than the age that is told"
	CheckSnapshots Check = "more snapshots at a time than allowed"
	CheckConverged Check = "not at the writer's state in time after the heal"
	CheckStall     Check = "a change is not in force in time while a parent is stalled"
	CheckLag       Check = "a change is not in force in time while a parent is behind"
	CheckQuiet     Check = "connections or snapshots without need in a quiet network"
)

// Violation is a check that failed.
type Violation struct {
	Check   Check
	Process string
	At      time.Duration
	Detail  string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: %s at %s: %s", v.Check, v.Process, v.At, v.Detail)
}

// checks is what was found.
type checks struct {
	verify       bool
	violations   []Violation
	rejected     int // messages that a subscriber dropped as wrong
	ageTolerance time.Duration
}

const maxViolations = 50

func (n *Network) violated(check Check, p *Process, format string, args ...any) {
	if len(n.checks.violations) < maxViolations {
		n.checks.violations = append(n.checks.violations, Violation{check, p.Name, n.now, fmt.Sprintf(format, args...)})
	}
}

// Violations are those found so far.
func (n *Network) Violations() []Violation { return n.checks.violations }

// state is a log at one position.
type state struct {
	digests   map[string]message.Digest // by service
	resources []resource.Resource
	leftAt    time.Duration // when the writer went on, or zero
}

func (s *state) digest(f changelog.Filter) message.Digest {
	var d message.Digest
	for service, each := range s.digests {
		if f.Contains(service) {
			d += each
		}
	}
	return d
}

// record keeps a log's state for the checks.
func (n *Network) record(store *changelog.Store) {
	model := n.logs[store.Region()]
	if former := model.positions[model.latest]; former != nil {
		former.leftAt = n.now
	}
	model.latest = store.Position()
	model.order = append(model.order, model.latest)
	s := &state{digests: map[string]message.Digest{}}
	if n.checks.verify {
		s.resources = store.Snapshot(changelog.Filter{All: true})
		for i := range s.resources {
			service := s.resources[i].Key.Service
			s.digests[service] = s.digests[service].Add(&s.resources[i])
		}
	}
	model.positions[model.latest] = s
}

// checked is what was last seen of one replica.
type checked struct {
	region   string
	position resource.Position
	inForce  map[resource.Key]resource.Resource // by what the process was told
	digest   message.Digest                     // of inForce
	known    bool                               // the state at position with digest was checked
	widened  bool                               // the subscription changed, and its state isn't there yet
}

// checkUplink checks all replicas of a subscriber after a step.
func (n *Network) checkUplink(u *uplink, applied []subscriber.Applied) {
	if !n.checks.verify {
		return
	}
	for _, a := range applied {
		u.replica(a.Region).take(n, u, a)
	}
	for _, c := range u.checked {
		n.checkReplica(u, c)
	}
}

// take brings changes into what the process has in force.
func (c *checked) take(n *Network, u *uplink, a subscriber.Applied) {
	for i := range a.Changes {
		change := &a.Changes[i]
		key := change.Resource.Key
		before, existed := c.inForce[key]
		if existed != change.Deleted && (!existed || before.Hash() == change.Resource.Hash()) {
			n.violated(CheckApplied, u.process, "%s changes nothing", key)
		}
		if existed {
			c.digest = c.digest.Remove(&before)
		}
		if change.Deleted {
			delete(c.inForce, key)
			continue
		}
		c.inForce[key] = change.Resource
		c.digest = c.digest.Add(&change.Resource)
	}
}

func (n *Network) checkReplica(u *uplink, c *checked) {
	region := c.region
	store := u.subscriber.Store(region)
	position, digest := store.Position(), store.Digest(changelog.Filter{All: true})
	if position.Compare(c.position) < 0 {
		n.violated(CheckPosition, u.process, "region %s from %s to %s", region, c.position, position)
	}
	moved := position != c.position
	c.known = c.known && !moved && c.digest == digest
	c.position = position
	if c.digest != digest {
		n.violated(CheckApplied, u.process, "region %s at %s", region, position)
		c.resetTo(store)
	}
	if c.widened && moved {
		c.widened = false
	}
	if !c.widened && !c.known {
		c.known = true
		n.checkState(u, region, position, digest)
	}
	n.checkAge(u, region, position)
}

// resetTo makes one difference one violation.
func (c *checked) resetTo(store *changelog.Store) {
	clear(c.inForce)
	for _, r := range store.Snapshot(changelog.Filter{All: true}) {
		c.inForce[r.Key] = r
	}
	c.digest = store.Digest(changelog.Filter{All: true})
}

func (n *Network) checkState(u *uplink, region string, position resource.Position, digest message.Digest) {
	if position.IsZero() {
		return
	}
	logged := n.logs[region].positions[position]
	if logged == nil {
		n.violated(CheckState, u.process, "region %s at %s, where the log never was", region, position)
	} else if want := logged.digest(u.filter); want != digest {
		n.violated(CheckState, u.process, "region %s at %s: digest %x, want %x", region, position, digest, want)
	}
}

// checkAge checks that the writer didn't leave the position earlier than the age says, but for what messages may take.
func (n *Network) checkAge(u *uplink, region string, position resource.Position) {
	logged := n.logs[region].positions[position]
	if logged == nil || logged.leftAt == 0 {
		return
	}
	age := u.subscriber.Age(region, u.process.clock())
	if known := n.now - age; known > logged.leftAt+n.checks.ageTolerance {
		n.violated(CheckAge, u.process, "region %s at %s: age %s, and the writer left %s ago", region, position, age, n.now-logged.leftAt)
	}
}

// checkPublisher checks a publisher's bounds after a step.
func (n *Network) checkPublisher(p *Process) {
	if limit := p.options.Publisher.MaxSnapshots; limit > 0 && p.publisher.ActiveSnapshots() > limit {
		n.violated(CheckSnapshots, p, "%d, at most %d", p.publisher.ActiveSnapshots(), limit)
	}
}

// CheckAll checks that all processes but some have the latest state of all logs.
func (n *Network) CheckAll(check Check, except ...*Process) {
	for _, p := range n.processes {
		if p.down || slices.Contains(except, p) {
			continue
		}
		for _, u := range p.uplinks {
			for _, c := range u.checked {
				n.checkLatest(check, u, c.region)
			}
		}
	}
}

func (n *Network) checkLatest(check Check, u *uplink, region string) {
	model, store := n.logs[region], u.subscriber.Store(region)
	latest := model.positions[model.latest]
	switch {
	case store.Position() != model.latest:
		n.violated(check, u.process, "region %s at %s, the writer at %s", region, store.Position(), model.latest)
	case n.checks.verify && store.Digest(changelog.Filter{All: true}) != latest.digest(u.filter):
		n.violated(check, u.process, "region %s at %s: digest differs", region, store.Position())
	}
}

// Counts sums the counts of all subscribers.
func (n *Network) Counts() subscriber.Counts {
	var sum subscriber.Counts
	for _, p := range n.processes {
		for _, u := range p.uplinks {
			for _, region := range u.subscriber.Status(p.clock()).Regions {
				sum.Deltas += region.Counts.Deltas
				sum.Snapshots += region.Counts.Snapshots
				sum.SourceChanges += region.Counts.SourceChanges
				sum.Resubscribes += region.Counts.Resubscribes
			}
		}
	}
	return sum
}

func sortedConnections(all map[string]*connection) []*connection {
	return slices.SortedFunc(maps.Values(all), compareSessions)
}

func sortedSessions(all map[publisher.SessionID]*connection) []*connection {
	return slices.SortedFunc(maps.Values(all), compareSessions)
}

func compareSessions(a, b *connection) int { return cmp.Compare(a.session, b.session) }
