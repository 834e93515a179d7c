package hierarchy

import (
	"context"
	"errors"
	"fmt"
	"time"

	"craneglade/internal/controlplane/publisher"
	"craneglade/internal/kit/scale/plan"
	"craneglade/internal/kit/scale/result"
)

const (
	steadyBeforeFault = 10 * time.Second
	changesDuringHeal = 20 // created while all relays start again
)

// Fault injects a fault into the running fleet, and measures until all processes have the same state after it. Conditions
// that do not hold are failed checks of the result; an error ends the run.
func (r *Run) Fault(ctx context.Context, f plan.Fault) (*result.Step, error) {
	n := r.network
	out := &result.Step{Part: "fault " + f.Kind, Size: n.step}
	n.changes.reset()
	rateFactor, nodeRestarts := 1.0, 0.0
	if f.Kind == plan.FaultRestarts {
		rateFactor = f.RateFactor
		nodeRestarts = rateFactor * n.plan.Rates.RestartsPerDay / day.Seconds() * float64(n.step.Nodes) / float64(n.step.Nodes+n.step.Endpoints)
	}
	w := n.newWorkload(rateFactor)
	w.nodeRestartsPerSecond = nodeRestarts
	w.start()
	if err := n.Run(ctx, n.now+steadyBeforeFault); err != nil {
		return nil, err
	}
	heal, err := r.startFault(f, w)
	if err != nil {
		return nil, err
	}
	before := n.trafficByProcess()
	if err := n.Run(ctx, n.now+f.Duration.D()); err != nil {
		return nil, err
	}
	w.stop()
	duringFault := n.changes.latencies
	n.changes.latencies = nil
	heal()
	if err := r.measureHeal(ctx, f, out, before); err != nil {
		return nil, err
	}
	n.changes.latencies = append(n.changes.latencies, duringFault...)
	limit := inForceLimit
	if f.Kind == plan.FaultRelays { // no node has a parent with state, so changes arrive only during the heal
		limit = f.HealTimeout.D()
	}
	r.checkInForce(out, ", "+f.Kind, n.changes.created, limit)
	out.Add(Mechanism, "change", "in force at the last node, the writer's absence included, "+f.Kind, "s", n.changes.maxLatency.Seconds())
	n.changes.excluded, n.changes.partitioned = nil, nil
	if w.err != nil {
		return nil, w.err
	}
	return out, n.Run(ctx, n.now+n.plan.Rates.Settle.D())
}

// startFault starts a fault, and returns the function that ends it.
func (r *Run) startFault(f plan.Fault, w *workload) (heal func(), err error) {
	switch f.Kind {
	case plan.FaultZone:
		return r.loseZone(0), nil
	case plan.FaultRegion:
		return r.cutRegion(0, f, w), nil
	case plan.FaultStall:
		return r.stall(f.Fraction), nil
	case plan.FaultRestarts:
		return r.startStoppedNodes(), nil
	case plan.FaultWriter:
		return r.killWriter(0)
	case plan.FaultRelays:
		return r.restartRelays(w), nil
	}
	return nil, fmt.Errorf("unknown fault %q", f.Kind)
}

// measureHeal measures how long it takes after a fault until all processes have the same state.
func (r *Run) measureHeal(ctx context.Context, f plan.Fault, out *result.Step, before []Traffic) error {
	n := r.network
	started := n.now
	elapsed, err := n.converge(ctx, f.HealTimeout.D(), RoleWriter, RoleRelay, RoleNode)
	var diverged *DivergedError
	if err != nil && !errors.As(err, &diverged) {
		return err
	}
	detail := fmt.Sprintf("after %.1f s", elapsed.Seconds())
	if diverged != nil {
		detail = diverged.Error()
	}
	out.Check("all have the writers' state, by position and digest, within "+f.HealTimeout.String(), diverged == nil, "%s", detail)
	out.Add(Mechanism, "change", "all equal after the heal, "+f.Kind, "s", elapsed.Seconds())
	after := n.trafficByProcess()
	maxBytes := int64(0)
	for _, p := range n.byRole[RoleRelay] {
		i := n.processIndex(p)
		maxBytes = max(maxBytes, after[i].BytesOut-before[i].BytesOut)
	}
	out.Add(Mechanism, "relay", "bytes out from the fault to the heal's end, the most of any, "+f.Kind, "B", float64(maxBytes))
	out.Add(Mechanism, "node", "bytes in from the fault to the heal's end, "+f.Kind, "B", meanPerProcess(before, after, RoleNode, func(t Traffic) int64 { return t.BytesIn }, n))
	if diverged != nil { // wait longer, so that the next fault starts from a fleet that has recovered
		if _, err := n.converge(ctx, startTimeout, RoleWriter, RoleRelay, RoleNode); err != nil {
			return err
		}
		out.Add(Mechanism, "change", "all equal in the end, "+f.Kind, "s", (n.now - started).Seconds())
	}
	return nil
}

// loseZone kills all nodes and relays of a zone. To heal, they start empty within a second.
func (r *Run) loseZone(zone int) (heal func()) {
	n := r.network
	var stopped []*Process
	for _, p := range n.processes {
		if p.Zone == zone && p.Role != RoleWriter {
			stopped = append(stopped, p)
			p.Kill()
		}
	}
	return func() {
		for _, p := range stopped {
			n.Schedule(n.now+time.Duration(n.random.Int64N(int64(startWindow))), p.Start)
		}
	}
}

// cutRegion partitions a region from all others. Changes are pending on both sides when it heals.
func (r *Run) cutRegion(region int, f plan.Fault, w *workload) (heal func()) {
	n := r.network
	n.partition = func(a, b *Process) bool { return a.Region == region && b.Region != region }
	// A change from one side can't be in force on the other, so it does not wait for nodes there.
	n.changes.partitioned = func(s *service, p *Process) bool { return (s.region == region) != (p.Region == region) }
	for i := range f.Changes {
		n.Schedule(n.now+time.Duration(int64(f.Duration)*int64(i)/int64(f.Changes)), w.changeConfiguration)
	}
	return func() { n.partition = nil } // changes wait for both sides again once all have the same state
}

// stall suspends a fraction of the nodes.
func (r *Run) stall(fraction float64) (heal func()) {
	n := r.network
	stalled := map[*Process]bool{}
	for _, i := range n.random.Perm(n.step.Nodes)[:max(1, int(fraction*float64(n.step.Nodes)))] {
		p := n.byRole[RoleNode][i]
		p.Stall()
		stalled[p] = true
	}
	n.changes.excluded = func(p *Process) bool { return stalled[p] }
	return func() {
		for p := range stalled {
			p.Wake()
		}
	}
}

// startStoppedNodes returns a function that starts the nodes that are down at the end of the fault.
func (r *Run) startStoppedNodes() (heal func()) {
	n := r.network
	return func() {
		for _, p := range n.byRole[RoleNode] {
			p.Start()
		}
	}
}

// killWriter kills a region's writer during a change: the change is in the log, but was sent to only half of the
// subscribers. The writer restarts under a newer epoch, with its log. The latencies of changes that are still open count
// from the restart.
func (r *Run) killWriter(region int) (heal func(), err error) {
	n := r.network
	writer := n.byRole[RoleWriter][region]
	sent := 0
	writer.dropped = func(publisher.Outgoing) bool {
		sent++
		return sent%2 == 0
	}
	s := n.serviceInRegion(region)
	if err := n.Append(s, s.serviceResource(n.nextGeneration())); err != nil {
		return nil, err
	}
	writer.drive()
	writer.Kill()
	n.epochs[region]++
	return func() {
		n.changes.writerRestarted(n, region)
		writer.Start()
	}, nil
}

// serviceInRegion returns a service of a region.
func (n *Network) serviceInRegion(region int) *service {
	for i := range n.fleet.services {
		if n.fleet.services[i].region == region {
			return &n.fleet.services[i]
		}
	}
	return &n.fleet.services[0]
}

// restartRelays kills all relays at once. To heal, they start empty while changes are made.
func (r *Run) restartRelays(w *workload) (heal func()) {
	n := r.network
	for _, p := range n.byRole[RoleRelay] {
		p.Kill()
	}
	return func() {
		for _, p := range n.byRole[RoleRelay] {
			p.Start()
		}
		for range changesDuringHeal {
			w.changeConfiguration()
		}
	}
}
