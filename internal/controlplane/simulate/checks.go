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

// Check names a property that is checked of every process at every step, or at a given time.
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

// Violation is a failed check.
type Violation struct {
	Check   Check
	Process string
	At      time.Duration
	Detail  string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: %s at %s: %s", v.Check, v.Process, v.At, v.Detail)
}

// checks holds the settings and findings of the checks.
type checks struct {
	verify       bool
	violations   []Violation
	rejected     int // messages dropped by subscribers as invalid
	ageTolerance time.Duration
}

const maxViolations = 50

func (n *Network) addViolation(check Check, p *Process, format string, args ...any) {
	if len(n.checks.violations) < maxViolations {
		n.checks.violations = append(n.checks.violations, Violation{check, p.Name, n.now, fmt.Sprintf(format, args...)})
	}
}

// Violations returns the violations found so far, at most maxViolations.
func (n *Network) Violations() []Violation { return n.checks.violations }

// state is the state of a log at one position.
type state struct {
	digests      map[string]message.Digest // by service
	resources    []resource.Resource
	supersededAt time.Duration // when the writer moved to the next position; zero if it has not
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

// record stores a log's current state for the checks.
func (n *Network) record(store *changelog.Store) {
	history := n.logs[store.Region()]
	if former := history.positions[history.latest]; former != nil {
		former.supersededAt = n.now
	}
	history.latest = store.Position()
	history.order = append(history.order, history.latest)
	s := &state{digests: map[string]message.Digest{}}
	if n.checks.verify {
		s.resources = store.Snapshot(changelog.Filter{All: true})
		for i := range s.resources {
			service := s.resources[i].Key.Service
			s.digests[service] = s.digests[service].Add(&s.resources[i])
		}
	}
	history.positions[history.latest] = s
}

// replicaCheck is the last checked state of one replica.
type replicaCheck struct {
	region        string
	position      resource.Position
	inForce       map[resource.Key]resource.Resource // as reported to the process by Applied
	digest        message.Digest                     // of inForce
	stateChecked  bool                               // the state at position has been checked with this digest
	awaitingState bool                               // the subscription changed and its state has not arrived yet
}

// checkUplink checks all replicas of a subscriber after a step.
func (n *Network) checkUplink(u *uplink, applied []subscriber.Applied) {
	if !n.checks.verify {
		return
	}
	for _, a := range applied {
		u.replica(a.Region).apply(n, u, a)
	}
	for _, c := range u.replicas {
		n.checkReplica(u, c)
	}
}

// apply applies reported changes to inForce.
func (c *replicaCheck) apply(n *Network, u *uplink, a subscriber.Applied) {
	for i := range a.Changes {
		change := &a.Changes[i]
		key := change.Resource.Key
		before, existed := c.inForce[key]
		if existed != change.Deleted && (!existed || before.Hash() == change.Resource.Hash()) {
			n.addViolation(CheckApplied, u.process, "%s changes nothing", key)
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

func (n *Network) checkReplica(u *uplink, c *replicaCheck) {
	region := c.region
	store := u.subscriber.Store(region)
	position, digest := store.Position(), store.Digest(changelog.Filter{All: true})
	if position.Compare(c.position) < 0 {
		n.addViolation(CheckPosition, u.process, "region %s from %s to %s", region, c.position, position)
	}
	moved := position != c.position
	c.stateChecked = c.stateChecked && !moved && c.digest == digest
	c.position = position
	if c.digest != digest {
		n.addViolation(CheckApplied, u.process, "region %s at %s", region, position)
		c.resetTo(store)
	}
	if c.awaitingState && moved {
		c.awaitingState = false
	}
	if !c.awaitingState && !c.stateChecked {
		c.stateChecked = true
		n.checkState(u, region, position, digest)
	}
	n.checkAge(u, region, position)
}

// resetTo sets inForce to the store's state, so that one difference is reported once.
func (c *replicaCheck) resetTo(store *changelog.Store) {
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
		n.addViolation(CheckState, u.process, "region %s at %s, where the log never was", region, position)
	} else if want := logged.digest(u.filter); want != digest {
		n.addViolation(CheckState, u.process, "region %s at %s: digest %x, want %x", region, position, digest, want)
	}
}

// checkAge checks that the writer did not leave the position earlier than the reported age says, beyond what message delays
// explain.
func (n *Network) checkAge(u *uplink, region string, position resource.Position) {
	logged := n.logs[region].positions[position]
	if logged == nil || logged.supersededAt == 0 {
		return
	}
	age := u.subscriber.Age(region, u.process.clock())
	if provenAt := n.now - age; provenAt > logged.supersededAt+n.checks.ageTolerance {
		n.addViolation(CheckAge, u.process, "region %s at %s: age %s, and the writer left %s ago", region, position, age, n.now-logged.supersededAt)
	}
}

// checkPublisher checks the bounds of a publisher after a step.
func (n *Network) checkPublisher(p *Process) {
	if limit := p.options.Publisher.MaxSnapshots; limit > 0 && p.publisher.ActiveSnapshots() > limit {
		n.addViolation(CheckSnapshots, p, "%d, at most %d", p.publisher.ActiveSnapshots(), limit)
	}
}

// CheckAll checks that all running processes, except the given ones, have the latest state of all logs.
func (n *Network) CheckAll(check Check, except ...*Process) {
	for _, p := range n.processes {
		if p.down || slices.Contains(except, p) {
			continue
		}
		for _, u := range p.uplinks {
			for _, c := range u.replicas {
				n.checkLatest(check, u, c.region)
			}
		}
	}
}

func (n *Network) checkLatest(check Check, u *uplink, region string) {
	history, store := n.logs[region], u.subscriber.Store(region)
	latest := history.positions[history.latest]
	switch {
	case store.Position() != history.latest:
		n.addViolation(check, u.process, "region %s at %s, the writer at %s", region, store.Position(), history.latest)
	case n.checks.verify && store.Digest(changelog.Filter{All: true}) != latest.digest(u.filter):
		n.addViolation(check, u.process, "region %s at %s: digest differs", region, store.Position())
	}
}

// Counts returns the sum of the counts of all subscribers.
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
