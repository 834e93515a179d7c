package hierarchy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"craneglade/internal/controlplane/resource"
)

const (
	dayLength   = 24 * time.Hour
	drainFor    = 5 * time.Second // between news that an endpoint drains and that it is back
	nodeBackIn  = 5 * time.Second // between the end of a node's process and its next start
	startStream = 0xc0de
)

// workload changes the logs at the plan's rates.
type workload struct {
	network  *Network
	random   *rand.Rand
	changes  float64 // of configuration, a second
	restarts float64 // of endpoints, a second
	nodes    float64 // restarts of nodes, a second
	running  bool
	err      error // of the first change that was refused
}

// newWorkload has the rates of a fleet of the network's size, several times as high.
func (n *Network) newWorkload(times float64) *workload {
	part := float64(n.step.Nodes) / float64(n.plan.Largest().Nodes)
	perDay := func(rate float64) float64 { return rate * part / dayLength.Seconds() }
	return &workload{network: n, random: rand.New(rand.NewPCG(n.plan.Seed, startStream+uint64(n.now))), changes: perDay(n.plan.Rates.ChangesPerDay),
		restarts: times * perDay(n.plan.Rates.RestartsPerDay)}
}

// start has changes happen until stop.
func (w *workload) start() {
	w.running = true
	w.every(w.changes, w.configuration)
	w.every(w.restarts, w.restart)
	w.every(w.nodes, w.restartNode)
}

func (w *workload) stop() { w.running = false }

// every does something at a mean rate, at random moments.
func (w *workload) every(rate float64, do func()) {
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
		n.At(n.now+w.wait(rate), next)
	}
	n.At(n.now+w.wait(rate), next)
}

func (w *workload) wait(rate float64) time.Duration {
	return time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
}

// configuration changes something other than an endpoint of a service.
func (w *workload) configuration() {
	s := &w.network.fleet.services[w.random.IntN(len(w.network.fleet.services))]
	generation := w.network.nextGeneration()
	r := s.own(generation)
	switch kind := w.random.IntN(3); {
	case kind == 0 && s.routes > 0:
		r = s.route(w.random.IntN(s.routes), generation)
	case kind == 1 && s.tenants > 0:
		r = s.tenant(w.random.IntN(s.tenants), generation)
	}
	w.set(s, r)
}

// restart has an endpoint drain and come back as another process. An endpoint is as likely to as any other.
func (w *workload) restart() {
	n := w.network
	services := n.fleet.services
	at := w.random.IntN(n.step.Endpoints)
	index := 0
	for at >= services[index].endpoints {
		at -= services[index].endpoints
		index++
	}
	s := &services[index]
	w.set(s, s.endpoint(at, resource.EndpointDraining, n.nextGeneration()))
	n.At(n.now+drainFor, func() { w.set(s, s.endpoint(at, resource.EndpointReady, n.nextGeneration())) })
}

// restartNode has a node's process end and begin with nothing.
func (w *workload) restartNode() {
	n := w.network
	p := n.byRole[RoleNode][w.random.IntN(n.step.Nodes)]
	if p.down {
		return
	}
	p.Kill()
	n.At(n.now+nodeBackIn, p.Start)
}

// nextGeneration tells states of resources apart, so that no change leaves one as it was.
func (n *Network) nextGeneration() int {
	n.generation++
	return n.generation
}

// set changes a resource at the writer of its region; one that is down changes nothing.
func (w *workload) set(s *service, r resource.Resource) {
	if err := w.network.Append(s, r); err != nil && w.err == nil {
		w.err = err
	}
}

// Append changes a service's resource at its writer. A writer that is down changes nothing.
func (n *Network) Append(s *service, r resource.Resource) error {
	writer := n.byRole[RoleWriter][s.region]
	if writer.down || writer.stalled {
		return nil
	}
	began := writer.begin()
	t, err := n.logs[s.region].Append(n.epochs[s.region], []resource.Change{{Resource: r}})
	writer.spent(began)
	if err != nil {
		return fmt.Errorf("a change at %s: %w", writer.Name, err)
	}
	n.changes.appended(n, s, t.Position)
	n.events.push(event{at: n.now, kind: eventWake, process: writer, life: writer.life})
	return nil
}
