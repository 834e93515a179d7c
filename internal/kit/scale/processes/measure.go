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

	mu      sync.Mutex
	status  hollow.Status
	last    *hollow.Status
	inForce []hollow.InForce
	told    sync.WaitGroup // its output was read
}

// startNodes starts the hosts and the daemons, and waits until all have everything.
func (r *run) startNodes(ctx context.Context) error {
	position := r.writer.position()
	began := time.Now()
	for i := range r.plan.Processes.Hosts {
		h, err := r.startHost(i)
		if err != nil {
			return err
		}
		r.hosts = append(r.hosts, h)
	}
	err := eventually(ctx, "all hollow nodes with everything", func() bool {
		return !slices.ContainsFunc(r.hosts, func(h *host) bool { return h.least() != position })
	})
	if err != nil {
		return err
	}
	r.out.AddWall(Mechanism, "node", "start of all until all have everything", "s", time.Since(began).Seconds())
	r.turnedAway()
	for i := range r.plan.Processes.Daemons {
		d, err := r.startDaemon(fmt.Sprintf("daemon-%02d", i))
		if err != nil {
			return err
		}
		r.daemons = append(r.daemons, d)
	}
	return eventually(ctx, "all daemons with everything", func() bool { return r.daemonsAt(position) })
}

// turnedAway adds how many connections relays turned away, and how many were given up before they were sessions.
func (r *run) turnedAway() {
	away, strangers := int64(0), int64(0)
	for _, c := range r.relays {
		if s, err := c.status(); err == nil {
			away += s.Counts.Rejected
			strangers += s.Counts.FailedHandshakes
		}
	}
	r.out.AddWall(Mechanism, "relay", "connections turned away at the start, of all relays", "1", float64(away))
	r.out.AddWall(Mechanism, "relay", "connections that became no session at the start, of all relays", "1", float64(strangers))
}

func (r *run) daemonsAt(position string) bool {
	return !slices.ContainsFunc(r.daemons, func(d *daemon) bool { return d.position() != position })
}

// nodeName is that of a hollow node.
func nodeName(number int) string { return fmt.Sprintf("hollow-%05d", number) }

// startHost starts a process with hollow nodes.
func (r *run) startHost(number int) (*host, error) {
	cfg := hollow.HostConfig{Region: r.catalogue.Region(), Cluster: cluster, Key: key, Silence: silence, Bytes: int(r.plan.Rates.NodeBytes)}
	for _, c := range r.relays {
		cfg.Parents = append(cfg.Parents, parents.Candidate{Name: c.name, Address: c.address})
	}
	for i := range r.plan.Processes.NodesPerHost {
		n := number*r.plan.Processes.NodesPerHost + i
		cfg.Nodes = append(cfg.Nodes, hollow.Node{Name: nodeName(n), Services: r.catalogue.Serves(n)})
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
	in, err := cmd.StdinPipe() // closed when this program ends, however it does: then the host ends too
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
	h.told.Go(func() {
		defer reader.Close()
		h.read(reader)
	})
	return h, nil
}

// read takes in what a host tells, until it ends.
func (h *host) read(from io.Reader) {
	for in := json.NewDecoder(bufio.NewReader(from)); ; {
		var line hollow.Line
		if in.Decode(&line) != nil {
			return
		}
		h.mu.Lock()
		switch {
		case line.InForce != nil:
			h.inForce = append(h.inForce, *line.InForce)
		case line.Last != nil:
			h.last = line.Last
		case line.Status != nil:
			h.status = *line.Status
		}
		h.mu.Unlock()
	}
}

// least is where the last of the host's nodes stands.
func (h *host) least() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.status.Least.String()
}

func (h *host) now() hollow.Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.status
}

// measure makes changes with requests going on, and measures what they cost.
func (r *run) measure(ctx context.Context) error {
	stop := r.clients(ctx)
	defer stop()
	before, began := r.total(), time.Now()
	used := r.controlUse()
	slowest, err := r.change(ctx)
	if err != nil {
		return err
	}
	if err := wait(ctx, inForceIn); err != nil {
		return err
	}
	after, seconds := r.total(), time.Since(began).Seconds()
	now := r.controlUse()
	stop()
	r.rates(before, after, seconds)
	for _, role := range []string{"writer", "relay"} {
		r.out.AddWall(Mechanism, role, "processor time", "cores", (now[role].cpu-used[role].cpu)/seconds)
		r.out.Add(Mechanism, role, "bytes in", "B/s", float64(now[role].in-used[role].in)/seconds)
		r.out.Add(Mechanism, role, "bytes out", "B/s", float64(now[role].out-used[role].out)/seconds)
		r.out.AddWall(Mechanism, role, "resident memory", "MiB", now[role].resident/(1<<20))
	}
	r.out.AddWall(Mechanism, "change", "in force at the last daemon", "s", slowest.Seconds())
	position := r.writer.position()
	same := r.daemonsAt(position) && !slices.ContainsFunc(r.hosts, func(h *host) bool { return h.least() != position })
	r.out.Check("all nodes and daemons stand where the writer does", same, "the writer at %s", position)
	return r.finish()
}

// change makes changes, some of them of the daemons' service, and returns how long the slowest of these took to the last
// daemon.
func (r *run) change(ctx context.Context) (slowest time.Duration, err error) {
	for i := range changes {
		if i%10 == 9 && len(r.daemons) > 0 {
			took, err := r.changeReal(ctx, 1+i)
			if err != nil {
				return 0, err
			}
			slowest = max(slowest, took)
			continue
		}
		changed, nodes := r.catalogue.Changed(i*7, 1+i)
		c := madeChange{service: changed.Key.Service, generation: 1 + i, at: time.Now(), nodes: map[string]bool{}}
		for _, n := range nodes {
			c.nodes[nodeName(n)] = true
		}
		if c.position, err = r.apply([]resource.Resource{changed}); err != nil {
			return 0, err
		}
		r.made = append(r.made, c)
		if err := wait(ctx, changeEvery); err != nil {
			return 0, err
		}
	}
	return slowest, nil
}

func (r *run) changeReal(ctx context.Context, generation int) (time.Duration, error) {
	began := time.Now()
	position, err := r.apply(r.realResources(generation)[:1])
	if err != nil {
		return 0, err
	}
	err = eventually(ctx, "a change at all daemons", func() bool { return r.daemonsAt(position) })
	return time.Since(began), err
}

// total is what all hollow nodes have sent and received so far.
func (r *run) total() (sum hollow.Status) {
	for _, h := range r.hosts {
		s := h.now()
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

func (r *run) rates(before, after hollow.Status, seconds float64) {
	each := func(n int64) float64 { return float64(n) / float64(after.Nodes) / seconds }
	r.out.Add(Mechanism, "node", "bytes in", "B/s", each(after.Counts.ReceivedBytes-before.Counts.ReceivedBytes))
	r.out.Add(Mechanism, "node", "bytes out", "B/s", each(after.Counts.SentBytes-before.Counts.SentBytes))
	r.out.Add(Mechanism, "node", "messages in", "1/s", each(after.Counts.Received-before.Counts.Received))
	r.out.Add(Mechanism, "node", "messages out", "1/s", each(after.Counts.Sent-before.Counts.Sent))
	r.out.AddWall(Mechanism, "node", "processor time", "cores", each(after.CPUNS-before.CPUNS)/float64(time.Second))
	r.out.Check("no message could not be read", after.Counts.Invalid == 0, "%d", after.Counts.Invalid)
}

// use is what the processes of a role have used, in the mean.
type use struct{ cpu, in, out, resident float64 }

// controlUse is what the control plane's processes have used so far, by role.
func (r *run) controlUse() map[string]use {
	all := map[string]use{}
	for _, c := range append([]*control{r.writer}, r.relays...) {
		role, part := "relay", 1/float64(max(1, len(r.relays)))
		if c == r.writer {
			role, part = "writer", 1
		}
		u := all[role]
		if s, err := c.status(); err == nil {
			u.in += part * float64(s.Counts.ReceivedBytes)
			u.out += part * float64(s.Counts.SentBytes)
		}
		cpu, resident := processUse(c.child.cmd.Process.Pid)
		u.cpu += part * cpu
		u.resident += part * resident
		all[role] = u
	}
	return all
}

// finish ends the hosts, and adds what only their last words tell.
func (r *run) finish() error {
	r.children.mu.Lock()
	for _, h := range r.hosts {
		h.child.ending = true
	}
	r.children.mu.Unlock()
	heap, resources, nodes := int64(0), 0, 0
	for _, h := range r.hosts {
		h.stdin.Close()
		<-h.child.ended
		h.told.Wait()
		if h.last == nil {
			return fmt.Errorf("%s ended without its last words: %.300q", h.child.name, h.child.tail.String())
		}
		heap += h.last.Heap
		resources += h.last.Resource
		nodes += h.last.Nodes
	}
	r.out.Add(Mechanism, "node", "heap", "MiB", float64(heap)/float64(nodes)/(1<<20))
	r.out.Add(Mechanism, "node", "resources", "1", float64(resources)/float64(nodes))
	r.inForce()
	r.served()
	return nil
}

// inForce adds how long changes took until they were in force at hollow nodes.
func (r *run) inForce() {
	seen := map[string]int64{}
	for _, h := range r.hosts {
		for _, f := range h.inForce {
			seen[fmt.Sprintf("%s/%s/%d", f.Node, f.Service, f.Generation)] = f.AtNS
		}
	}
	var taken []time.Duration
	missing := 0
	for _, c := range r.made {
		for n := range c.nodes {
			if at, ok := seen[fmt.Sprintf("%s/%s/%d", n, c.service, c.generation)]; ok {
				taken = append(taken, time.Unix(0, at).Sub(c.at))
			} else {
				missing++
			}
		}
	}
	if len(taken) == 0 {
		r.out.Check("changes are in force at hollow nodes", false, "none is")
		return
	}
	slices.Sort(taken)
	last := taken[len(taken)-1]
	r.out.Add(Mechanism, "change", "changes made", "1", float64(len(r.made)))
	r.out.AddWall(Mechanism, "change", "in force p50", "s", taken[len(taken)/2].Seconds())
	r.out.AddWall(Mechanism, "change", "in force p99", "s", taken[len(taken)*99/100].Seconds())
	r.out.AddWall(Mechanism, "change", "in force at the last node", "s", last.Seconds())
	r.out.Check("each change is in force at every hollow node within "+inForceIn.String(), missing == 0 && last <= inForceIn,
		"%d of %d not seen, the last after %.3f s", missing, len(taken)+missing, last.Seconds())
}

// served adds what became of the requests at the daemons.
func (r *run) served() {
	asked, failed, first := int64(0), int64(0), ""
	for _, d := range r.daemons {
		asked += d.asked.Load()
		failed += d.failed.Load()
		if err, ok := d.firstFailure.Load().(error); ok && first == "" {
			first = ": " + err.Error()
		}
	}
	r.out.Add(Mechanism, "daemon", "requests", "1", float64(asked))
	r.out.Check("each request at a daemon is served", failed == 0 && (asked > 0 || len(r.daemons) == 0), "%d of %d failed%s", failed, asked, first)
}

// Names says what a plan starts, for a progress line.
func Names(p *plan.Processes) string {
	return strings.Join([]string{"1 writer", fmt.Sprintf("%d relays", p.Relays), fmt.Sprintf("%d hosts of %d hollow nodes", p.Hosts, p.NodesPerHost),
		fmt.Sprintf("%d daemons", p.Daemons)}, ", ")
}
