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
	beforeFault  = 10 * time.Second // of steady running
	changesAfter = 20               // made right after a fault in which the hierarchy itself was at fault
)

// Fault plays a fault on the running fleet, and measures until all have the same after it. What does not hold is a failed
// check of the result; an error ends the run.
func (r *Run) Fault(ctx context.Context, f plan.Fault) (*result.Step, error) {
	n := r.network
	out := &result.Step{Part: "fault " + f.Kind, Size: n.step}
	n.changes.reset()
	times, nodeRestarts := 1.0, 0.0
	if f.Kind == plan.FaultRestarts {
		times = f.Times
		nodeRestarts = times * n.plan.Rates.RestartsPerDay / dayLength.Seconds() * float64(n.step.Nodes) / float64(n.step.Nodes+n.step.Endpoints)
	}
	w := n.newWorkload(times)
	w.nodes = nodeRestarts
	w.start()
	if err := n.Run(ctx, n.now+beforeFault); err != nil {
		return nil, err
	}
	heal, err := r.begin(f, w)
	if err != nil {
		return nil, err
	}
	before := n.traffic()
	if err := n.Run(ctx, n.now+f.Length.D()); err != nil {
		return nil, err
	}
	w.stop()
	during := n.changes.taken
	n.changes.taken = nil
	heal()
	if err := r.healed(ctx, f, out, before); err != nil {
		return nil, err
	}
	n.changes.taken = append(n.changes.taken, during...)
	limit := inForceLimit
	if f.Kind == plan.FaultRelays { // no node has a parent that knows anything: changes come with the healing
		limit = f.Heal.D()
	}
	r.inForce(out, ", "+f.Kind, n.changes.made, limit)
	out.Add(Mechanism, "change", "in force at the last node, the writer's absence included, "+f.Kind, "s", n.changes.longest.Seconds())
	n.changes.exclude, n.changes.crossing = nil, nil
	if w.err != nil {
		return nil, w.err
	}
	return out, n.Run(ctx, n.now+n.plan.Rates.Settle.D())
}

// begin has a fault begin, and returns what ends it.
func (r *Run) begin(f plan.Fault, w *workload) (heal func(), err error) {
	switch f.Kind {
	case plan.FaultZone:
		return r.loseZone(0), nil
	case plan.FaultRegion:
		return r.cutRegion(0, f, w), nil
	case plan.FaultStall:
		return r.stall(f.Part), nil
	case plan.FaultRestarts:
		return r.restartsEnd(), nil
	case plan.FaultWriter:
		return r.killWriter(0)
	case plan.FaultRelays:
		return r.restartRelays(w), nil
	}
	return nil, fmt.Errorf("fault %q is not known", f.Kind)
}

// healed measures how long it takes after a fault until all have the same.
func (r *Run) healed(ctx context.Context, f plan.Fault, out *result.Step, before []Traffic) error {
	n := r.network
	began := n.now
	took, err := n.converge(ctx, f.Heal.D(), RoleWriter, RoleRelay, RoleNode)
	var diverged *DivergedError
	if err != nil && !errors.As(err, &diverged) {
		return err
	}
	detail := fmt.Sprintf("after %.1f s", took.Seconds())
	if diverged != nil {
		detail = diverged.Error()
	}
	out.Check("all have the writers' state, by position and digest, within "+f.Heal.String(), diverged == nil, "%s", detail)
	out.Add(Mechanism, "change", "all equal after the heal, "+f.Kind, "s", took.Seconds())
	after := n.traffic()
	most := int64(0)
	for _, p := range n.byRole[RoleRelay] {
		i := n.place(p)
		most = max(most, after[i].BytesOut-before[i].BytesOut)
	}
	out.Add(Mechanism, "relay", "bytes out from the fault to the heal's end, the most of any, "+f.Kind, "B", float64(most))
	out.Add(Mechanism, "node", "bytes in from the fault to the heal's end, "+f.Kind, "B", perProcess(before, after, RoleNode, func(t Traffic) int64 { return t.BytesIn }, n))
	if diverged != nil { // let it have its time, so that the next fault begins from a whole fleet
		if _, err := n.converge(ctx, startWithin, RoleWriter, RoleRelay, RoleNode); err != nil {
			return err
		}
		out.Add(Mechanism, "change", "all equal in the end, "+f.Kind, "s", (n.now - began).Seconds())
	}
	return nil
}

// loseZone ends all nodes and relays of a zone. Then they start within a second, with nothing.
func (r *Run) loseZone(zone int) (heal func()) {
	n := r.network
	var lost []*Process
	for _, p := range n.processes {
		if p.Zone == zone && p.Role != RoleWriter {
			lost = append(lost, p)
			p.Kill()
		}
	}
	return func() {
		for _, p := range lost {
			n.At(n.now+time.Duration(n.random.Int64N(int64(startSpread))), p.Start)
		}
	}
}

// cutRegion cuts a region off from all others. Changes wait on both sides when it heals.
func (r *Run) cutRegion(region int, f plan.Fault, w *workload) (heal func()) {
	n := r.network
	n.cut = func(a, b *Process) bool { return a.Region == region && b.Region != region }
	// Changes of the one side can't be in force on the other: nobody there is waited for.
	n.changes.crossing = func(s *service, p *Process) bool { return (s.region == region) != (p.Region == region) }
	for i := range f.Changes {
		n.At(n.now+time.Duration(int64(f.Length)*int64(i)/int64(f.Changes)), w.configuration)
	}
	return func() { n.cut = nil } // both sides are waited for again once all have the same
}

// stall stops part of the nodes.
func (r *Run) stall(part float64) (heal func()) {
	n := r.network
	stalled := map[*Process]bool{}
	for _, i := range n.random.Perm(n.step.Nodes)[:max(1, int(part*float64(n.step.Nodes)))] {
		p := n.byRole[RoleNode][i]
		p.Stall()
		stalled[p] = true
	}
	n.changes.exclude = func(p *Process) bool { return stalled[p] }
	return func() {
		for p := range stalled {
			p.Wake()
		}
	}
}

// restartsEnd waits for nodes that are between two lives.
func (r *Run) restartsEnd() (heal func()) {
	n := r.network
	return func() {
		for _, p := range n.byRole[RoleNode] {
			p.Start()
		}
	}
}

// killWriter ends a region's writer in the middle of a change: it is in the log, and half of the subscribers were sent it.
// It starts again under a newer epoch, with its log. A change that it could tell nobody has its time from then on.
func (r *Run) killWriter(region int) (heal func(), err error) {
	n := r.network
	writer := n.byRole[RoleWriter][region]
	sent := 0
	writer.drop = func(publisher.Outgoing) bool {
		sent++
		return sent%2 == 0
	}
	s := n.serviceOf(region)
	if err := n.Append(s, s.own(n.nextGeneration())); err != nil {
		return nil, err
	}
	writer.drive()
	writer.Kill()
	n.epochs[region]++
	return func() {
		n.changes.writerBack(n, region)
		writer.Start()
	}, nil
}

// serviceOf is a service of a region.
func (n *Network) serviceOf(region int) *service {
	for i := range n.fleet.services {
		if n.fleet.services[i].region == region {
			return &n.fleet.services[i]
		}
	}
	return &n.fleet.services[0]
}

// restartRelays ends all relays at once, and starts them with nothing while changes are made.
func (r *Run) restartRelays(w *workload) (heal func()) {
	n := r.network
	for _, p := range n.byRole[RoleRelay] {
		p.Kill()
	}
	return func() {
		for _, p := range n.byRole[RoleRelay] {
			p.Start()
		}
		for range changesAfter {
			w.configuration()
		}
	}
}
