package processes

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"craneglade/internal/controlplane/parents"
	"craneglade/internal/controlplane/resource"
	"craneglade/internal/kit/scale/hollow"
	"craneglade/internal/kit/scale/plan"
)

// host is a process with hollow nodes.
type host struct {
	child *child
	stdin io.Closer

	mu         sync.Mutex
	status     hollow.Status
	final      *hollow.Status
	inForce    []hollow.InForce
	outputRead sync.WaitGroup // waits until all of its output has been read
}

// startNodes starts the hosts and the daemons, and waits until all have applied the whole log.
func (r *run) startNodes(ctx context.Context) error {
	position := r.writer.position()
	started := time.Now()
	for i := range r.plan.Processes.Hosts {
		h, err := r.startHost(i)
		if err != nil {
			return err
		}
		r.hosts = append(r.hosts, h)
	}
	err := waitUntil(ctx, "hollow nodes to apply the whole log", func() bool {
		return !slices.ContainsFunc(r.hosts, func(h *host) bool { return h.minPosition() != position })
	})
	if err != nil {
		return err
	}
	r.out.AddWallClock(Mechanism, "node", "start of all until all have everything", "s", time.Since(started).Seconds())
	r.addRejectedConnections()
	for i := range r.plan.Processes.Daemons {
		d, err := r.startDaemon(fmt.Sprintf("daemon-%02d", i))
		if err != nil {
			return err
		}
		r.daemons = append(r.daemons, d)
	}
	return waitUntil(ctx, "daemons to apply the whole log", func() bool { return r.daemonsAt(position) })
}

// addRejectedConnections adds how many connections the relays rejected, and how many ended before their handshake was
// complete.
func (r *run) addRejectedConnections() {
	rejected, failedHandshakes := int64(0), int64(0)
	for _, c := range r.relays {
		if s, err := c.status(); err == nil {
			rejected += s.Counts.Rejected
			failedHandshakes += s.Counts.FailedHandshakes
		}
	}
	r.out.AddWallClock(Mechanism, "relay", "connections turned away at the start, of all relays", "1", float64(rejected))
	r.out.AddWallClock(Mechanism, "relay", "connections that became no session at the start, of all relays", "1", float64(failedHandshakes))
}

func (r *run) daemonsAt(position string) bool {
	return !slices.ContainsFunc(r.daemons, func(d *daemon) bool { return d.position() != position })
}

// nodeName returns the name of a hollow node.
func nodeName(number int) string { return fmt.Sprintf("hollow-%05d", number) }

// startHost starts a process with hollow nodes.
func (r *run) startHost(number int) (*host, error) {
	cfg := hollow.HostConfig{Region: r.catalogue.Region(), Cluster: cluster, Key: key, SilenceTimeout: silenceTimeout, BytesPerSecond: int(r.plan.Rates.NodeBytesPerSecond)}
	for _, c := range r.relays {
		cfg.Parents = append(cfg.Parents, parents.Candidate{Name: c.name, Address: c.address})
	}
	for i := range r.plan.Processes.NodesPerHost {
		n := number*r.plan.Processes.NodesPerHost + i
		cfg.Nodes = append(cfg.Nodes, hollow.NodeConfig{Name: nodeName(n), Services: r.catalogue.ServicesOf(n)})
	}
	text, err := json.Marshal(&cfg)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("host-%d", number)
	if err := os.WriteFile(r.path(name+".json"), text, 0o600); err != nil {
		return nil, err
	}
	cmd := command(r.program, "scale-host", r.path(name+".json"))
	in, err := cmd.StdinPipe() // closed whenever this program exits, which ends the host too
	if err != nil {
		return nil, err
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd.Stdout = writer
	h := &host{stdin: in}
	h.child, err = r.children.start(name, cmd, r.failed)
	writer.Close()
	if err != nil {
		reader.Close()
		return nil, err
	}
	h.outputRead.Go(func() {
		defer reader.Close()
		h.readOutput(reader)
	})
	return h, nil
}

// readOutput reads the output of a host until it ends.
func (h *host) readOutput(output io.Reader) {
	for in := json.NewDecoder(bufio.NewReader(output)); ; {
		var line hollow.Line
		if in.Decode(&line) != nil {
			return
		}
		h.mu.Lock()
		switch {
		case line.InForce != nil:
			h.inForce = append(h.inForce, *line.InForce)
		case line.Final != nil:
			h.final = line.Final
		case line.Status != nil:
			h.status = *line.Status
		}
		h.mu.Unlock()
	}
}

// minPosition returns the position of the host's node that is furthest behind.
func (h *host) minPosition() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.status.MinPosition.String()
}

func (h *host) currentStatus() hollow.Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.status
}

// measureChanges applies changes while requests are served, and measures their cost.
func (r *run) measureChanges(ctx context.Context) error {
	stop := r.startClients(ctx)
	defer stop()
	before, started := r.totalStatus(), time.Now()
	usageBefore := r.controlUsage()
	slowest, err := r.applyChanges(ctx)
	if err != nil {
		return err
	}
	if err := sleep(ctx, inForceLimit); err != nil {
		return err
	}
	after, seconds := r.totalStatus(), time.Since(started).Seconds()
	usage := r.controlUsage()
	stop()
	r.addRates(before, after, seconds)
	for _, role := range []string{"writer", "relay"} {
		r.out.AddWallClock(Mechanism, role, "processor time", "cores", (usage[role].cpu-usageBefore[role].cpu)/seconds)
		r.out.Add(Mechanism, role, "bytes in", "B/s", float64(usage[role].in-usageBefore[role].in)/seconds)
		r.out.Add(Mechanism, role, "bytes out", "B/s", float64(usage[role].out-usageBefore[role].out)/seconds)
		r.out.AddWallClock(Mechanism, role, "resident memory", "MiB", usage[role].resident/(1<<20))
	}
	r.out.AddWallClock(Mechanism, "change", "in force at the last daemon", "s", slowest.Seconds())
	position := r.writer.position()
	same := r.daemonsAt(position) && !slices.ContainsFunc(r.hosts, func(h *host) bool { return h.minPosition() != position })
	r.out.Check("all nodes and daemons stand where the writer does", same, "the writer at %s", position)
	return r.finish()
}

// applyChanges applies changes, some of them to the daemons' service, and returns the longest time that one of the latter
// took to be in force at the last daemon.
func (r *run) applyChanges(ctx context.Context) (slowest time.Duration, err error) {
	for i := range changeCount {
		if i%10 == 9 && len(r.daemons) > 0 {
			elapsed, err := r.changeRealService(ctx, 1+i)
			if err != nil {
				return 0, err
			}
			slowest = max(slowest, elapsed)
			continue
		}
		changed, nodes := r.catalogue.ServiceResource(i*7, 1+i)
		c := appliedChange{service: changed.Key.Service, generation: 1 + i, appliedAt: time.Now(), nodes: map[string]bool{}}
		for _, n := range nodes {
			c.nodes[nodeName(n)] = true
		}
		if c.position, err = r.apply([]resource.Resource{changed}); err != nil {
			return 0, err
		}
		r.changes = append(r.changes, c)
		if err := sleep(ctx, changeInterval); err != nil {
			return 0, err
		}
	}
	return slowest, nil
}

func (r *run) changeRealService(ctx context.Context, generation int) (time.Duration, error) {
	started := time.Now()
	position, err := r.apply(r.realResources(generation)[:1])
	if err != nil {
		return 0, err
	}
	err = waitUntil(ctx, "daemons to apply a change", func() bool { return r.daemonsAt(position) })
	return time.Since(started), err
}

// totalStatus sums up the status of all hosts.
func (r *run) totalStatus() (sum hollow.Status) {
	for _, h := range r.hosts {
		s := h.currentStatus()
		sum.Nodes += s.Nodes
		sum.CPUNS += s.CPUNS
		sum.Counts.Sent += s.Counts.Sent
		sum.Counts.Received += s.Counts.Received
		sum.Counts.SentBytes += s.Counts.SentBytes
		sum.Counts.ReceivedBytes += s.Counts.ReceivedBytes
		sum.Counts.Invalid += s.Counts.Invalid
	}
	return sum
}

func (r *run) addRates(before, after hollow.Status, seconds float64) {
	perNodeSecond := func(n int64) float64 { return float64(n) / float64(after.Nodes) / seconds }
	r.out.Add(Mechanism, "node", "bytes in", "B/s", perNodeSecond(after.Counts.ReceivedBytes-before.Counts.ReceivedBytes))
	r.out.Add(Mechanism, "node", "bytes out", "B/s", perNodeSecond(after.Counts.SentBytes-before.Counts.SentBytes))
	r.out.Add(Mechanism, "node", "messages in", "1/s", perNodeSecond(after.Counts.Received-before.Counts.Received))
	r.out.Add(Mechanism, "node", "messages out", "1/s", perNodeSecond(after.Counts.Sent-before.Counts.Sent))
	r.out.AddWallClock(Mechanism, "node", "processor time", "cores", perNodeSecond(after.CPUNS-before.CPUNS)/float64(time.Second))
	r.out.Check("no message could not be read", after.Counts.Invalid == 0, "%d", after.Counts.Invalid)
}

// processUsage is the mean usage of the processes of a role.
type processUsage struct{ cpu, in, out, resident float64 }

// controlUsage returns the usage of the control plane's processes so far, by role.
func (r *run) controlUsage() map[string]processUsage {
	all := map[string]processUsage{}
	for _, c := range append([]*control{r.writer}, r.relays...) {
		role, fraction := "relay", 1/float64(max(1, len(r.relays)))
		if c == r.writer {
			role, fraction = "writer", 1
		}
		u := all[role]
		if s, err := c.status(); err == nil {
			u.in += fraction * float64(s.Counts.ReceivedBytes)
			u.out += fraction * float64(s.Counts.SentBytes)
		}
		cpu, resident := readProcessUsage(c.child.cmd.Process.Pid)
		u.cpu += fraction * cpu
		u.resident += fraction * resident
		all[role] = u
	}
	return all
}

// finish stops the hosts, and adds the figures from their final status.
func (r *run) finish() error {
	r.children.mu.Lock()
	for _, h := range r.hosts {
		h.child.stopping = true
	}
	r.children.mu.Unlock()
	heap, resources, nodes := int64(0), 0, 0
	for _, h := range r.hosts {
		h.stdin.Close()
		<-h.child.ended
		h.outputRead.Wait()
		if h.final == nil {
			return fmt.Errorf("%s exited without a final status: %.300q", h.child.name, h.child.log.String())
		}
		heap += h.final.HeapBytes
		resources += h.final.Resources
		nodes += h.final.Nodes
	}
	r.out.Add(Mechanism, "node", "heap", "MiB", float64(heap)/float64(nodes)/(1<<20))
	r.out.Add(Mechanism, "node", "resources", "1", float64(resources)/float64(nodes))
	r.addInForceTimes()
	r.addRequestResults()
	return nil
}

// addInForceTimes adds how long changes took until they were in force at hollow nodes.
func (r *run) addInForceTimes() {
	seen := map[string]int64{}
	for _, h := range r.hosts {
		for _, f := range h.inForce {
			seen[fmt.Sprintf("%s/%s/%d", f.Node, f.Service, f.Generation)] = f.AtNS
		}
	}
	var latencies []time.Duration
	missing := 0
	for _, c := range r.changes {
		for n := range c.nodes {
			if at, ok := seen[fmt.Sprintf("%s/%s/%d", n, c.service, c.generation)]; ok {
				latencies = append(latencies, time.Unix(0, at).Sub(c.appliedAt))
			} else {
				missing++
			}
		}
	}
	if len(latencies) == 0 {
		r.out.Check("changes are in force at hollow nodes", false, "none is")
		return
	}
	slices.Sort(latencies)
	last := latencies[len(latencies)-1]
	r.out.Add(Mechanism, "change", "changes made", "1", float64(len(r.changes)))
	r.out.AddWallClock(Mechanism, "change", "in force p50", "s", latencies[len(latencies)/2].Seconds())
	r.out.AddWallClock(Mechanism, "change", "in force p99", "s", latencies[len(latencies)*99/100].Seconds())
	r.out.AddWallClock(Mechanism, "change", "in force at the last node", "s", last.Seconds())
	r.out.Check("each change is in force at every hollow node within "+inForceLimit.String(), missing == 0 && last <= inForceLimit,
		"%d of %d not seen, the last after %.3f s", missing, len(latencies)+missing, last.Seconds())
}

// addRequestResults adds the results of the requests to the daemons.
func (r *run) addRequestResults() {
	requested, failed, first := int64(0), int64(0), ""
	for _, d := range r.daemons {
		requested += d.requested.Load()
		failed += d.failed.Load()
		if err, ok := d.firstFailure.Load().(error); ok && first == "" {
			first = ": " + err.Error()
		}
	}
	r.out.Add(Mechanism, "daemon", "requests", "1", float64(requested))
	r.out.Check("each request at a daemon is served", failed == 0 && (requested > 0 || len(r.daemons) == 0), "%d of %d failed%s", failed, requested, first)
}

// Summary describes the processes of a plan, for a progress line.
func Summary(p *plan.Processes) string {
	return strings.Join([]string{"1 writer", fmt.Sprintf("%d relays", p.Relays), fmt.Sprintf("%d hosts of %d hollow nodes", p.Hosts, p.NodesPerHost),
		fmt.Sprintf("%d daemons", p.Daemons)}, ", ")
}
