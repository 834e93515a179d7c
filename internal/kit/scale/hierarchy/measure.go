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

// Mechanism is the mechanism of the control plane's figures.
const Mechanism = "control plane"

const (
	pollInterval  = 100 * time.Millisecond // between comparisons of all replicas
	startTimeout  = 30 * time.Minute       // for the first start of all processes to complete
	inForceLimit  = 7 * time.Second        // for a change to be in force at the last healthy node
	maxSteadyTime = 6 * time.Hour          // limit of the steady state, which is longer for small fleets
	startWindow   = time.Second            // during which all nodes start
)

// Run is a simulated fleet of one size, from its start on.
type Run struct {
	network *Network
	out     *result.Step
}

// Measure simulates one size: the start of all processes, and the steady state. The returned run can go on with faults.
func Measure(ctx context.Context, p *plan.Plan, step plan.Step) (*Run, *result.Step, error) {
	n, err := New(p, step)
	if err != nil {
		return nil, nil, err
	}
	r := &Run{network: n, out: &result.Step{Part: "control", Size: step}}
	if p.TenantCount(step) != step.Tenants {
		r.out.Notes = append(r.out.Notes, fmt.Sprintf("%d of %d tenants are played", p.TenantCount(step), step.Tenants))
	}
	if err := r.measureStart(ctx); err != nil {
		return nil, nil, err
	}
	if err := r.measureSteady(ctx); err != nil {
		return nil, nil, err
	}
	return r, r.out, nil
}

// measureStart starts the hierarchy empty, then all nodes within a second, and measures both.
func (r *Run) measureStart(ctx context.Context) error {
	n := r.network
	for _, role := range []Role{RoleWriter, RoleRelay} {
		for _, p := range n.byRole[role] {
			p.Start()
		}
	}
	elapsed, err := n.converge(ctx, startTimeout, RoleWriter, RoleRelay)
	if err != nil {
		return err
	}
	r.out.Add(Mechanism, "relay", "start until all relays have everything", "s", elapsed.Seconds())
	before := n.trafficByProcess()
	zero := make([]Traffic, len(before))
	r.out.Add(Mechanism, "relay", "bytes in of a start", "B", meanPerProcess(zero, before, RoleRelay, func(t Traffic) int64 { return t.BytesIn }, n))
	for _, p := range n.byRole[RoleNode] {
		n.Schedule(n.now+time.Duration(n.random.Int64N(int64(startWindow))), p.Start)
	}
	if elapsed, err = n.converge(ctx, startTimeout, RoleNode); err != nil {
		return err
	}
	r.out.Add(Mechanism, "node", "start of all until all have everything", "s", elapsed.Seconds())
	after := n.trafficByProcess()
	r.out.Add(Mechanism, "node", "bytes in of a start", "B", meanPerProcess(before, after, RoleNode, func(t Traffic) int64 { return t.BytesIn }, n))
	r.out.Add(Mechanism, "relay", "bytes out of the start of all nodes", "B", meanPerProcess(before, after, RoleRelay, func(t Traffic) int64 { return t.BytesOut }, n))
	r.out.Add(Mechanism, "node", "resources", "1", n.meanNodeResources())
	return n.Run(ctx, n.now+n.plan.Rates.Settle.D())
}

// measureSteady measures the steady state. It runs small fleets for longer, to have about as many changes as in the largest
// one.
func (r *Run) measureSteady(ctx context.Context) error {
	n := r.network
	length := time.Duration(float64(n.plan.Rates.Measure.D()) * float64(n.plan.Largest().Nodes) / float64(n.step.Nodes))
	length = min(length, max(maxSteadyTime, n.plan.Rates.Measure.D()))
	w := n.newWorkload(1)
	w.start()
	n.changes.reset()
	before := n.trafficByProcess()
	n.resetCPUTime()
	if err := n.Run(ctx, n.now+length); err != nil {
		return err
	}
	after, created := n.trafficByProcess(), n.changes.created
	w.stop()
	for role := range roleCount {
		r.addRates(role, before, after, length)
	}
	elapsed, err := n.converge(ctx, n.plan.Rates.Settle.D(), RoleWriter, RoleRelay, RoleNode)
	if err != nil {
		return err
	}
	if w.err != nil {
		return w.err
	}
	r.checkInForce(r.out, "", created, inForceLimit)
	r.out.Add(Mechanism, "node", "all equal after the last change", "s", elapsed.Seconds())
	return nil
}

// addRates adds the mean traffic per second and the mean processor time of the processes of a role.
func (r *Run) addRates(role Role, before, after []Traffic, length time.Duration) {
	n, seconds := r.network, length.Seconds()
	mean := func(counter func(Traffic) int64) float64 {
		return meanPerProcess(before, after, role, counter, n) / seconds
	}
	name := role.String()
	r.out.Add(Mechanism, name, "bytes in", "B/s", mean(func(t Traffic) int64 { return t.BytesIn }))
	r.out.Add(Mechanism, name, "bytes out", "B/s", mean(func(t Traffic) int64 { return t.BytesOut }))
	r.out.Add(Mechanism, name, "messages in", "1/s", mean(func(t Traffic) int64 { return t.MessagesIn }))
	r.out.Add(Mechanism, name, "messages out", "1/s", mean(func(t Traffic) int64 { return t.MessagesOut }))
	maxBytes := int64(0)
	for _, p := range n.byRole[role] {
		i := n.processIndex(p)
		maxBytes = max(maxBytes, after[i].BytesIn-before[i].BytesIn+after[i].BytesOut-before[i].BytesOut)
	}
	r.out.Add(Mechanism, name, "bytes in and out, the most of any", "B/s", float64(maxBytes)/seconds)
	cpuTime, measured := time.Duration(0), 0
	for _, p := range n.byRole[role] {
		if p.Measured {
			cpuTime += p.CPUTime
			measured++
		}
	}
	r.out.AddWallClock(Mechanism, name, "processor time", "cores", cpuTime.Seconds()/float64(measured)/seconds)
}

// checkInForce adds how long changes took until they were in force, and checks that none exceeded the limit.
func (r *Run) checkInForce(out *result.Step, suffix string, created int, limit time.Duration) {
	c := &r.network.changes
	out.Add(Mechanism, "change", "changes made"+suffix, "1", float64(created))
	out.Add(Mechanism, "change", "in force p50"+suffix, "s", quantile(c.latencies, 0.5).Seconds())
	out.Add(Mechanism, "change", "in force p99"+suffix, "s", quantile(c.latencies, 0.99).Seconds())
	last := quantile(c.latencies, 1)
	out.Add(Mechanism, "change", "in force at the last node"+suffix, "s", last.Seconds())
	pairs, oldest := c.pending(r.network.now)
	out.Check("each change is in force at every healthy node within "+limit.String()+suffix, pairs == 0 && last <= limit,
		"the last after %.3f s, %d not in force, the oldest of these for %.1f s", last.Seconds(), pairs, oldest.Seconds())
}

// trafficByProcess returns the traffic of each process so far.
func (n *Network) trafficByProcess() []Traffic {
	all := make([]Traffic, len(n.processes))
	for i, p := range n.processes {
		all[i] = p.Traffic
	}
	return all
}

func (n *Network) resetCPUTime() {
	for _, p := range n.processes {
		p.CPUTime = 0
	}
}

// processIndex returns a process's index among all, which are created role by role.
func (n *Network) processIndex(p *Process) int {
	index := p.Index
	for role := range p.Role {
		index += len(n.byRole[role])
	}
	return index
}

// meanPerProcess returns the mean increase of a counter over the processes of a role.
func meanPerProcess(before, after []Traffic, role Role, counter func(Traffic) int64, n *Network) float64 {
	sum := int64(0)
	for _, p := range n.byRole[role] {
		i := n.processIndex(p)
		sum += counter(after[i]) - counter(before[i])
	}
	return float64(sum) / float64(len(n.byRole[role]))
}

// meanNodeResources returns the mean number of resources at a node.
func (n *Network) meanNodeResources() float64 {
	sum := 0
	for _, p := range n.byRole[RoleNode] {
		for region := range n.fleet.regions {
			sum += p.Store(region).Len()
		}
	}
	return float64(sum) / float64(len(n.byRole[RoleNode]))
}

// converge runs until all running processes of the roles are at the writers' position and have the same state by digest,
// and returns how long that took. A node that is down counts as different. It returns a DivergedError after the timeout.
func (n *Network) converge(ctx context.Context, timeout time.Duration, roles ...Role) (time.Duration, error) {
	started := n.now
	for {
		different, example := n.differing(roles)
		if different == 0 {
			return n.now - started, nil
		}
		if n.now-started >= timeout {
			return n.now - started, &DivergedError{Timeout: timeout, Replicas: different, Example: example}
		}
		if err := n.Run(ctx, n.now+pollInterval); err != nil {
			return n.now - started, err
		}
	}
}

// DivergedError reports that some replicas did not reach the writers' state in time.
type DivergedError struct {
	Timeout  time.Duration
	Replicas int    // that differ, counted by process and region
	Example  string // one of them
}

func (e *DivergedError) Error() string {
	return fmt.Sprintf("%d replicas are not at the writer's state after %v, such as %s", e.Replicas, e.Timeout, e.Example)
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

// compare describes how a process's replica of a log differs from the log, or returns "" if it does not.
func (p *Process) compare(region int, log *changelog.Store) string {
	store := p.Store(region)
	if store.Position() != log.Position() {
		return fmt.Sprintf("at %s, the writer at %s", store.Position(), log.Position())
	}
	filter := changelog.Filter{All: true}
	if p.Role == RoleNode {
		filter = changelog.Filter{Services: p.network.fleet.servicesByNode[p.Index]}
	}
	if have, want := store.Digest(changelog.Filter{All: true}), log.Digest(filter); have != want {
		return fmt.Sprintf("digest %x, the writer's is %x", have, want)
	}
	return ""
}

// Finish measures the heap of the measured processes by releasing them role by role, and ends the run. For a writer's own
// log this covers only the index, as all replicas share its resources.
func (r *Run) Finish() *result.Step {
	n := r.network
	n.events = eventQueue{}
	for role := range roleCount {
		before, measured := heap.InUse(), 0
		for _, p := range n.byRole[role] {
			if p.Measured {
				p.release()
				measured++
			}
		}
		r.out.Add(Mechanism, role.String(), "heap", "MiB", float64(before-heap.InUse())/float64(measured)/(1<<20))
	}
	runtime.KeepAlive(n)
	return r.out
}

// release drops the process's state machines.
func (p *Process) release() {
	for _, u := range p.uplinks {
		u.subscriber = nil
	}
	p.publisher = nil
	if p.Role == RoleWriter {
		p.network.logs[p.Region] = nil
	}
}
