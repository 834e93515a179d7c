package hierarchy

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/kit/scale/heap"
	"craneglade/internal/kit/scale/plan"
	"craneglade/internal/kit/scale/result"
)

// Mechanism is the name of the control plane's figures.
const Mechanism = "control plane"

const (
	pollEvery    = 100 * time.Millisecond // between two looks whether all have the same
	startWithin  = 30 * time.Minute       // in which all must have everything after the first start
	inForceLimit = 7 * time.Second        // for a change at the last healthy node
	longestRun   = 6 * time.Hour          // of steady running, for small fleets
	startSpread  = time.Second            // in which all nodes start
)

// Run is one size of the fleet from its start on.
type Run struct {
	network *Network
	out     *result.Step
}

// Measure plays one size: the start of all, and steady running. The run that it returns can go on with faults.
func Measure(ctx context.Context, p *plan.Plan, step plan.Step) (*Run, *result.Step, error) {
	n, err := New(p, step)
	if err != nil {
		return nil, nil, err
	}
	r := &Run{network: n, out: &result.Step{Part: "control", Size: step}}
	if p.TenantCount(step) != step.Tenants {
		r.out.Notes = append(r.out.Notes, fmt.Sprintf("%d of %d tenants are played", p.TenantCount(step), step.Tenants))
	}
	if err := r.start(ctx); err != nil {
		return nil, nil, err
	}
	if err := r.steady(ctx); err != nil {
		return nil, nil, err
	}
	return r, r.out, nil
}

// start has the hierarchy start with nothing, then all nodes within a second, and measures what that takes.
func (r *Run) start(ctx context.Context) error {
	n := r.network
	for _, role := range []Role{RoleWriter, RoleRelay} {
		for _, p := range n.byRole[role] {
			p.Start()
		}
	}
	took, err := n.converge(ctx, startWithin, RoleWriter, RoleRelay)
	if err != nil {
		return err
	}
	r.out.Add(Mechanism, "relay", "start until all relays have everything", "s", took.Seconds())
	before := n.traffic()
	nothing := make([]Traffic, len(before))
	r.out.Add(Mechanism, "relay", "bytes in of a start", "B", perProcess(nothing, before, RoleRelay, func(t Traffic) int64 { return t.BytesIn }, n))
	for _, p := range n.byRole[RoleNode] {
		n.At(n.now+time.Duration(n.random.Int64N(int64(startSpread))), p.Start)
	}
	if took, err = n.converge(ctx, startWithin, RoleNode); err != nil {
		return err
	}
	r.out.Add(Mechanism, "node", "start of all until all have everything", "s", took.Seconds())
	after := n.traffic()
	r.out.Add(Mechanism, "node", "bytes in of a start", "B", perProcess(before, after, RoleNode, func(t Traffic) int64 { return t.BytesIn }, n))
	r.out.Add(Mechanism, "relay", "bytes out of the start of all nodes", "B", perProcess(before, after, RoleRelay, func(t Traffic) int64 { return t.BytesOut }, n))
	r.out.Add(Mechanism, "node", "resources", "1", n.resourcesOfNode())
	return n.Run(ctx, n.now+n.plan.Rates.Settle.D())
}

// steady measures steady running, for as long as brings a small fleet about as many changes as the largest one has.
func (r *Run) steady(ctx context.Context) error {
	n := r.network
	length := time.Duration(float64(n.plan.Rates.Measure.D()) * float64(n.plan.Largest().Nodes) / float64(n.step.Nodes))
	length = min(length, max(longestRun, n.plan.Rates.Measure.D()))
	w := n.newWorkload(1)
	w.start()
	n.changes.reset()
	before := n.traffic()
	n.clearSpent()
	if err := n.Run(ctx, n.now+length); err != nil {
		return err
	}
	after, made := n.traffic(), n.changes.made
	w.stop()
	for role := range roleCount {
		r.rates(role, before, after, length)
	}
	took, err := n.converge(ctx, n.plan.Rates.Settle.D(), RoleWriter, RoleRelay, RoleNode)
	if err != nil {
		return err
	}
	if w.err != nil {
		return w.err
	}
	r.inForce(r.out, "", made, inForceLimit)
	r.out.Add(Mechanism, "node", "all equal after the last change", "s", took.Seconds())
	return nil
}

// rates adds what processes of a role have sent and received in a second, in the mean, and what their calls took.
func (r *Run) rates(role Role, before, after []Traffic, length time.Duration) {
	n, seconds := r.network, length.Seconds()
	mean := func(of func(Traffic) int64) float64 { return perProcess(before, after, role, of, n) / seconds }
	name := role.String()
	r.out.Add(Mechanism, name, "bytes in", "B/s", mean(func(t Traffic) int64 { return t.BytesIn }))
	r.out.Add(Mechanism, name, "bytes out", "B/s", mean(func(t Traffic) int64 { return t.BytesOut }))
	r.out.Add(Mechanism, name, "messages in", "1/s", mean(func(t Traffic) int64 { return t.MessagesIn }))
	r.out.Add(Mechanism, name, "messages out", "1/s", mean(func(t Traffic) int64 { return t.MessagesOut }))
	most := int64(0)
	for _, p := range n.byRole[role] {
		i := n.place(p)
		most = max(most, after[i].BytesIn-before[i].BytesIn+after[i].BytesOut-before[i].BytesOut)
	}
	r.out.Add(Mechanism, name, "bytes in and out, the most of any", "B/s", float64(most)/seconds)
	spent, measured := time.Duration(0), 0
	for _, p := range n.byRole[role] {
		if p.Measured {
			spent += p.Spent
			measured++
		}
	}
	r.out.AddWall(Mechanism, name, "processor time", "cores", spent.Seconds()/float64(measured)/seconds)
}

// inForce adds how long changes took until they were in force, and checks that none took longer than a limit.
func (r *Run) inForce(out *result.Step, when string, made int, limit time.Duration) {
	c := &r.network.changes
	out.Add(Mechanism, "change", "changes made"+when, "1", float64(made))
	out.Add(Mechanism, "change", "in force p50"+when, "s", quantile(c.taken, 0.5).Seconds())
	out.Add(Mechanism, "change", "in force p99"+when, "s", quantile(c.taken, 0.99).Seconds())
	last := quantile(c.taken, 1)
	out.Add(Mechanism, "change", "in force at the last node"+when, "s", last.Seconds())
	pairs, oldest := c.waiting(r.network.now)
	out.Check("each change is in force at every healthy node within "+limit.String()+when, pairs == 0 && last <= limit,
		"the last after %.3f s, %d not in force, the oldest of these for %.1f s", last.Seconds(), pairs, oldest.Seconds())
}

// traffic is that of all processes, as counted so far.
func (n *Network) traffic() []Traffic {
	all := make([]Traffic, len(n.processes))
	for i, p := range n.processes {
		all[i] = p.Traffic
	}
	return all
}

func (n *Network) clearSpent() {
	for _, p := range n.processes {
		p.Spent = 0
	}
}

// place is a process's index among all: they were made role by role.
func (n *Network) place(p *Process) int {
	place := p.Index
	for role := range p.Role {
		place += len(n.byRole[role])
	}
	return place
}

// perProcess is the mean over the processes of a role.
func perProcess(before, after []Traffic, role Role, of func(Traffic) int64, n *Network) float64 {
	sum := int64(0)
	for _, p := range n.byRole[role] {
		i := n.place(p)
		sum += of(after[i]) - of(before[i])
	}
	return float64(sum) / float64(len(n.byRole[role]))
}

// resourcesOfNode is how many resources a node holds in the mean.
func (n *Network) resourcesOfNode() float64 {
	sum := 0
	for _, p := range n.byRole[RoleNode] {
		for region := range n.fleet.regions {
			sum += p.Store(region).Len()
		}
	}
	return float64(sum) / float64(len(n.byRole[RoleNode]))
}

// converge runs until all processes of some roles that are up stand where the writers stand, with the same state by digest,
// and returns how long that took. An error tells who does not in time.
func (n *Network) converge(ctx context.Context, within time.Duration, roles ...Role) (time.Duration, error) {
	began := n.now
	for {
		different, example := n.differing(roles)
		if different == 0 {
			return n.now - began, nil
		}
		if n.now-began >= within {
			return n.now - began, &DivergedError{Within: within, Different: different, Example: example}
		}
		if err := n.Run(ctx, n.now+pollEvery); err != nil {
			return n.now - began, err
		}
	}
}

// DivergedError tells that not all processes reached the writers' state in time.
type DivergedError struct {
	Within    time.Duration
	Different int    // pairs of a process and a region
	Example   string // one of them
}

func (e *DivergedError) Error() string {
	return fmt.Sprintf("%d replicas are not at the writer's state after %v, such as %s", e.Different, e.Within, e.Example)
}

// differing counts the replicas that differ from the writers' logs in position or digest.
func (n *Network) differing(roles []Role) (count int, example string) {
	for _, role := range roles {
		for _, p := range n.byRole[role] {
			if p.down {
				if role == RoleNode {
					count, example = count+1, p.Name+", which is down"
				}
				continue
			}
			for region, log := range n.logs {
				if problem := p.compare(region, log); problem != "" {
					count, example = count+1, p.Name+" of "+regionName(region)+": "+problem
				}
			}
		}
	}
	return count, example
}

// compare says how a process's replica of a log differs from the log, or "".
func (p *Process) compare(region int, log *changelog.Store) string {
	store := p.Store(region)
	if store.Position() != log.Position() {
		return fmt.Sprintf("at %s, the writer at %s", store.Position(), log.Position())
	}
	filter := changelog.Filter{All: true}
	if p.Role == RoleNode {
		filter = changelog.Filter{Services: p.network.fleet.serves[p.Index]}
	}
	if have, want := store.Digest(changelog.Filter{All: true}), log.Digest(filter); have != want {
		return fmt.Sprintf("digest %x, the writer's is %x", have, want)
	}
	return ""
}

// Finish measures the heap of the measured processes, by letting go of them one role after the other, and ends the run. Of
// a writer's own log only the index counts: its resources are those that all others hold.
func (r *Run) Finish() *result.Step {
	n := r.network
	n.events = eventQueue{}
	for role := range roleCount {
		with, measured := heap.InUse(), 0
		for _, p := range n.byRole[role] {
			if p.Measured {
				p.letGo()
				measured++
			}
		}
		r.out.Add(Mechanism, role.String(), "heap", "MiB", float64(with-heap.InUse())/float64(measured)/(1<<20))
	}
	runtime.KeepAlive(n)
	return r.out
}

// letGo drops the process's state machines.
func (p *Process) letGo() {
	for _, u := range p.uplinks {
		u.subscriber = nil
	}
	p.publisher = nil
	if p.Role == RoleWriter {
		p.network.logs[p.Region] = nil
	}
}
