package hierarchy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"craneglade/internal/controlplane/resource"
)

const (
	day              = 24 * time.Hour
	drainTime        = 5 * time.Second // between the change to draining and the change back to ready
	nodeRestartDelay = 5 * time.Second // between the end of a node's process and its next start
	workloadStream   = 0xc0de
)

// workload changes the logs, and restarts nodes, at random times with given mean rates.
type workload struct {
	network               *Network
	random                *rand.Rand
	changesPerSecond      float64 // of configuration
	restartsPerSecond     float64 // of endpoints
	nodeRestartsPerSecond float64
	running               bool
	err                   error // of the first change that was rejected
}

// newWorkload returns a workload with the plan's rates for a fleet of the network's size. Endpoint restarts are multiplied
// by rateFactor.
func (n *Network) newWorkload(rateFactor float64) *workload {
	fraction := float64(n.step.Nodes) / float64(n.plan.Largest().Nodes)
	perDay := func(rate float64) float64 { return rate * fraction / day.Seconds() }
	return &workload{network: n, random: rand.New(rand.NewPCG(n.plan.Seed, workloadStream+uint64(n.now))), changesPerSecond: perDay(n.plan.Rates.ChangesPerDay),
		restartsPerSecond: rateFactor * perDay(n.plan.Rates.RestartsPerDay)}
}

// start starts the changes, which go on until stop.
func (w *workload) start() {
	w.running = true
	w.repeat(w.changesPerSecond, w.changeConfiguration)
	w.repeat(w.restartsPerSecond, w.restartEndpoint)
	w.repeat(w.nodeRestartsPerSecond, w.restartNode)
}

func (w *workload) stop() { w.running = false }

// repeat calls a function at random times with a mean rate per second.
func (w *workload) repeat(rate float64, do func()) {
	if rate <= 0 {
		return
	}
	n := w.network
	var next func()
	next = func() {
		if !w.running {
			return
		}
		do()
		n.Schedule(n.now+w.nextDelay(rate), next)
	}
	n.Schedule(n.now+w.nextDelay(rate), next)
}

func (w *workload) nextDelay(rate float64) time.Duration {
	return time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
}

// changeConfiguration changes a random service's own resource, route or tenant.
func (w *workload) changeConfiguration() {
	s := &w.network.fleet.services[w.random.IntN(len(w.network.fleet.services))]
	generation := w.network.nextGeneration()
	r := s.serviceResource(generation)
	switch kind := w.random.IntN(3); {
	case kind == 0 && s.routes > 0:
		r = s.route(w.random.IntN(s.routes), generation)
	case kind == 1 && s.tenants > 0:
		r = s.tenant(w.random.IntN(s.tenants), generation)
	}
	w.change(s, r)
}

// restartEndpoint lets a random endpoint drain and return as another process. All endpoints are equally likely.
func (w *workload) restartEndpoint() {
	n := w.network
	services := n.fleet.services
	remaining := w.random.IntN(n.step.Endpoints)
	home := 0
	for remaining >= services[home].endpoints {
		remaining -= services[home].endpoints
		home++
	}
	s := &services[home]
	w.change(s, s.endpoint(remaining, resource.EndpointDraining, n.nextGeneration()))
	n.Schedule(n.now+drainTime, func() { w.change(s, s.endpoint(remaining, resource.EndpointReady, n.nextGeneration())) })
}

// restartNode kills a random node, which starts again empty.
func (w *workload) restartNode() {
	n := w.network
	p := n.byRole[RoleNode][w.random.IntN(n.step.Nodes)]
	if p.down {
		return
	}
	p.Kill()
	n.Schedule(n.now+nodeRestartDelay, p.Start)
}

// nextGeneration returns a number that is used in only one state of a resource, so that every change makes a difference.
func (n *Network) nextGeneration() int {
	n.generation++
	return n.generation
}

// change changes a resource at the writer of its region, and keeps the first error.
func (w *workload) change(s *service, r resource.Resource) {
	if err := w.network.Append(s, r); err != nil && w.err == nil {
		w.err = err
	}
}

// Append appends a changed resource to the log of its service's writer. It does nothing while the writer is down or
// stalled.
func (n *Network) Append(s *service, r resource.Resource) error {
	writer := n.byRole[RoleWriter][s.region]
	if writer.down || writer.stalled {
		return nil
	}
	started := writer.startTiming()
	t, err := n.logs[s.region].Append(n.epochs[s.region], []resource.Change{{Resource: r}})
	writer.addCPUTime(started)
	if err != nil {
		return fmt.Errorf("append a change at %s: %w", writer.Name, err)
	}
	n.changes.appended(n, s, t.Position)
	n.events.push(event{at: n.now, kind: eventWake, process: writer, incarnation: writer.incarnation})
	return nil
}
