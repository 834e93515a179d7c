// Package run plays a rehearsal: it starts the nodes as child processes, surrounds them with simulated backends, discovery
// and clients, carries out each step of the plan at its time and writes the trace. The plan says what happens, and the
// judge decides what the trace means.
package run

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"craneglade/internal/kit/deployment"
	"craneglade/internal/kit/plan"
	"craneglade/internal/kit/relay"
	"craneglade/internal/kit/stand"
	"craneglade/internal/kit/trace"
	"craneglade/internal/timing"
)

const (
	settleTime        = 4 * time.Second         // for a node to find its new discovery after SIGHUP; until then it is not taken to know list changes
	closeDelay        = 1500 * time.Millisecond // until the replaced discovery closes its open connections after a reload
	heartbeatInterval = 10 * time.Millisecond
	minLag            = 5 * time.Millisecond // a heartbeat that is later than this is recorded
	usageInterval     = time.Second
)

// Options configure a rehearsal.
type Options struct {
	Name     string // of the scenario
	Plan     *plan.Plan
	Command  []string // starts one node
	Env      []string // for Command, added to this process's environment
	Dir      string   // for the nodes' configurations and logs; not removed
	Trace    io.Writer
	Progress func(Status) // called once a second if not nil
	Note     func(string) // called with the text of each announced event if not nil
}

// Status is the progress of a rehearsal. The numbers of backends by state count those that are up.
type Status struct {
	At, Length                                            time.Duration
	Requests, InTime, Late, Refused, Failed, Unreached    int64 // since the start
	Open                                                  int64
	Nodes, Backends, Cold, Slow, Draining, Silent, Fallen int
}

// Cost is the time and memory that the kit itself used during the play.
type Cost struct {
	CPU    time.Duration `json:"cpu_ns"`
	Wall   time.Duration `json:"wall_ns"`
	Memory []uint64      `json:"memory_bytes"` // heap and stacks in use, sampled at each tenth of the play
}

// Rehearsal is one play of a plan.
type Rehearsal struct {
	opt       Options
	plan      *plan.Plan
	dir       string
	host      string // of all listeners
	out       *trace.Writer
	start     time.Time
	clients   *stand.Clients
	nodes     []*node
	attempts  atomic.Int64
	wg        sync.WaitGroup // goroutines that end when quit is done
	processes sync.WaitGroup // the nodes' processes
	quit      context.Context

	mu              sync.Mutex
	rng             *rand.Rand
	backends        map[string]*backendState
	extraListLag    time.Duration // of the list, in addition to the scenario's lag
	queues          []listQueue   // by node
	resetFraction   float64
	corruptFraction float64
	errs            []error

	lastPort int // last port given to a node

	net           *relay.Net // between nodes; nil if they do not talk to each other
	partitions    map[float64]*partition
	messageFaults map[string]func() // by event name: ends a fault of the messages between nodes
	siteCuts      map[string]func() // by direction, as "from>to": ends the cut between the sites' nodes
}

// backendState is a backend and its addresses, one for each node.
type backendState struct {
	plan          *plan.Backend
	backend       *stand.Backend
	addrs         []string
	startedMillis int64 // Unix milliseconds; 0 for a backend that is warm from the start
	up            bool
}

// listQueue holds the list changes on their way to one node, in order.
type listQueue struct {
	lastDue time.Duration
	entries []stand.Entry
}

func (r *Rehearsal) clock() stand.Clock { return stand.Clock{Start: r.start} }

// listen listens on addr, or on a port from the kernel if addr is empty. Each rehearsal has a loopback address of its own
// where the system has more than one: otherwise another rehearsal could get the port of a stopped backend, and a node that
// has not been notified of the stop yet would connect to that rehearsal's backend.
func (r *Rehearsal) listen(addr string) (net.Listener, error) {
	if addr != "" {
		return net.Listen("tcp", addr)
	}
	return net.Listen("tcp", net.JoinHostPort(r.host, "0"))
}

// Nodes listen on ports from minNodePort up to, not including, endNodePort: below Linux's ephemeral ports
// (ip_local_port_range, from 32768 by default) and above those of well-known services. A node's port is not bound before
// its process starts and while the process is down; the kernel could give an ephemeral port to a backend or another node
// in that time.
const (
	minNodePort = 12000
	endNodePort = 32000
)

// nodeAddr returns an address for a node to listen on that nothing else in this rehearsal uses.
func (r *Rehearsal) nodeAddr() (addr string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastPort == 0 {
		r.lastPort = minNodePort + rand.IntN(endNodePort-minNodePort)
	}
	for range endNodePort - minNodePort {
		if r.lastPort++; r.lastPort >= endNodePort {
			r.lastPort = minNodePort
		}
		var ln net.Listener
		if ln, err = net.Listen("tcp", net.JoinHostPort(r.host, strconv.Itoa(r.lastPort))); err == nil {
			return ln.Addr().String(), ln.Close()
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	return "", fmt.Errorf("no port for a node at %s: %w", r.host, err)
}

// loopbackHost returns a random address of 127.0.0.0/8 (RFC 1122, 3.2.1.3), or 127.0.0.1 on a system that has no other.
func loopbackHost() string {
	host := netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(254)), byte(rand.IntN(256)), byte(1 + rand.IntN(254))}).String()
	ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "127.0.0.1"
	}
	ln.Close()
	return host
}

// Play plays the rehearsal to its end. An error means that it could not be played; the crash of a node is not an error and is
// recorded in the trace.
func Play(ctx context.Context, opt Options) (*Cost, error) {
	quit, stop := context.WithCancel(ctx)
	r := &Rehearsal{opt: opt, plan: opt.Plan, dir: opt.Dir, host: loopbackHost(), start: time.Now(), quit: quit, backends: map[string]*backendState{},
		rng: rand.New(rand.NewPCG(opt.Plan.Seed, 6))}
	s := r.plan.Scenario
	var nodes []trace.Node
	for i := range s.Nodes.Count {
		n := &node{Node: trace.Node{Name: fmt.Sprintf("n%d", i+1), Site: s.Sites[i%len(s.Sites)].Name}, index: i, r: r}
		r.nodes, nodes = append(r.nodes, n), append(nodes, n.Node)
	}
	r.queues, r.partitions, r.messageFaults = make([]listQueue, len(nodes)), map[float64]*partition{}, map[string]func(){}
	r.siteCuts = map[string]func(){}
	r.out = trace.NewWriter(opt.Trace, deployment.Head(r.plan, opt.Name, r.start.UTC().Format(time.RFC3339Nano), nodes))
	dialer := &net.Dialer{KeepAlive: -1}
	dial := func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) }
	r.clients = stand.NewClients(r.plan, nodes, dial, r.clock(), r.out, deployment.AnswerSlack+deployment.LimitSlack)
	cost, err := &Cost{}, r.connectNodes()
	if err == nil {
		err = r.startAll(quit)
	}
	if err == nil {
		cost, err = r.play(quit)
	}
	r.shutdown(stop)
	return cost, errors.Join(append([]error{err}, r.errs...)...)
}

// startAll starts the initial backends, the discovery and DNS servers, and the nodes, before the first request.
func (r *Rehearsal) startAll(ctx context.Context) error {
	for i := range r.plan.Backends[:r.plan.Initial] {
		b := &r.plan.Backends[i]
		if err := r.startBackend(b, true, nil); err != nil {
			return err
		}
	}
	for _, n := range r.nodes {
		var known []stand.Entry
		for _, b := range r.plan.Backends[:r.plan.Initial] {
			known = append(known, r.listEntry(r.backends[b.ID], n.index, trace.Ready))
		}
		n.agent = stand.NewAgent(n.Name, r.plan.Scenario.List.Mode == "ask", r.clock(), r.out, known)
		ln, err := r.listen("")
		if err != nil {
			return err
		}
		n.agentServer = stand.ServeAgent(n.agent, ln)
		if r.plan.Scenario.SRV.TTL > 0 {
			if n.nameServer, err = r.newNameServer(n); err != nil {
				return err
			}
			for _, b := range r.plan.Backends[:r.plan.Initial] {
				if err := n.nameServer.setBackend(b.ID, b.Site, r.backends[b.ID].addrs[n.index], true); err != nil {
					return err
				}
			}
		}
	}
	errs := make(chan error, len(r.nodes))
	for _, n := range r.nodes {
		go func() { errs <- n.start(ctx) }()
	}
	var first error
	for range r.nodes {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// play sends the requests and carries out the plan's steps.
func (r *Rehearsal) play(ctx context.Context) (*Cost, error) {
	// The plan's times count from here, the trace's times from the start of the rehearsal.
	begin := r.clock().Now()
	r.clients.SetStart(begin)
	r.out.Add(&trace.Record{Kind: trace.Event, T: trace.Microseconds(begin), How: trace.Begin, Text: "traffic begins"})
	r.background(ctx, r.recordLag)
	r.background(ctx, r.reportProgress)
	r.background(ctx, r.readAudits)
	r.background(ctx, func(ctx context.Context) { r.runSteps(ctx, begin) })
	cost := &Cost{}
	tenth := r.plan.Scenario.Length.D() / 10
	r.background(ctx, func(ctx context.Context) {
		for i := range 11 {
			if !timing.Sleep(ctx, begin+time.Duration(i)*tenth-r.clock().Now()) {
				return
			}
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			r.mu.Lock()
			cost.Memory = append(cost.Memory, m.HeapAlloc+m.StackInuse)
			r.mu.Unlock()
		}
	})
	cpu, wall := cpuTime(), time.Now()
	r.clients.Play(ctx)
	r.clients.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	cost.CPU, cost.Wall = cpuTime()-cpu, time.Since(wall)
	return &Cost{CPU: cost.CPU, Wall: cost.Wall, Memory: append([]uint64(nil), cost.Memory...)}, ctx.Err()
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (r *Rehearsal) background(ctx context.Context, f func(context.Context)) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		f(ctx)
	}()
}

// after calls f after d, unless the rehearsal has ended by then.
func (r *Rehearsal) after(d time.Duration, f func()) {
	r.background(r.quit, func(ctx context.Context) {
		if timing.Sleep(ctx, d) {
			f()
		}
	})
}

// recordLag records stalls of the kit's own process.
func (r *Rehearsal) recordLag(ctx context.Context) {
	for {
		due := time.Now().Add(heartbeatInterval)
		if !timing.Sleep(ctx, heartbeatInterval) {
			return
		}
		if lag := time.Since(due); lag > minLag {
			r.out.Add(&trace.Record{Kind: trace.Stall, T: trace.Microseconds(r.clock().Now()), Late: lag.Microseconds()})
		}
	}
}

// reportProgress reports the status, and records the nodes' memory and descriptors, once a second.
func (r *Rehearsal) reportProgress(ctx context.Context) {
	begin := r.clock().Now()
	for {
		for _, n := range r.nodes {
			n.recordUsage()
		}
		if !timing.Sleep(ctx, usageInterval) {
			return
		}
		if r.opt.Progress != nil {
			r.opt.Progress(r.status(r.clock().Now() - begin))
		}
	}
}

func (r *Rehearsal) status(at time.Duration) Status {
	c := &r.clients.Count
	s := Status{At: at, Length: r.plan.Scenario.Length.D(), Requests: c.Started.Load(), InTime: c.InTime.Load(), Late: c.Late.Load(),
		Refused: c.Refused.Load(), Failed: c.Failed.Load(), Unreached: c.Unreachable.Load(), Open: c.Open.Load()}
	for _, n := range r.nodes {
		n.mu.Lock()
		select {
		case <-n.ended:
		default:
			s.Nodes++
		}
		n.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.backends {
		if !b.up {
			continue
		}
		st := b.backend.Status()
		s.Backends++
		for _, x := range []struct {
			is bool
			n  *int
		}{{!st.Warm, &s.Cold}, {st.Slow, &s.Slow}, {st.Draining, &s.Draining}, {st.Isolated, &s.Silent}, {st.Collapsed, &s.Fallen}} {
			if x.is {
				*x.n++
			}
		}
	}
	return s
}

// runSteps carries out each step of the plan at its time.
func (r *Rehearsal) runSteps(ctx context.Context, begin time.Duration) {
	for _, s := range r.plan.Steps {
		if !timing.Sleep(ctx, begin+s.At-r.clock().Now()) {
			return
		}
		if err := r.runStep(ctx, s); err != nil && ctx.Err() == nil {
			r.mu.Lock()
			r.errs = append(r.errs, fmt.Errorf("%s at %v: %w", s.Do, s.At, err))
			r.mu.Unlock()
		}
	}
}

func (r *Rehearsal) runStep(ctx context.Context, s plan.Step) error {
	r.mu.Lock()
	b := r.backends[s.Box]
	r.mu.Unlock()
	if b != nil && !b.up && s.Do != plan.Restart {
		return nil // the backend is no longer running
	}
	var n *node
	if s.Node > 0 {
		n = r.nodes[s.Node-1]
	}
	switch s.Do {
	case plan.Announce:
		r.out.Add(&trace.Record{Kind: trace.Event, T: trace.Microseconds(r.clock().Now()), Text: s.Text})
		if r.opt.Note != nil {
			r.opt.Note(s.Text)
		}
	case plan.Start:
		planned := r.plannedBackend(s.Box)
		var addrs []string
		r.mu.Lock()
		if old := r.backends[planned.After]; planned.After != "" && old != nil {
			addrs = old.addrs
		}
		r.mu.Unlock()
		if err := r.startBackend(planned, false, addrs); err != nil {
			return err
		}
		r.publish(s.Box, trace.Ready, r.plan.Scenario.List.AddLag.D())
		r.updateDNS(s.Box, true)
	case plan.Drain:
		r.updateDNS(s.Box, false)
		if st := s.By; st > 0 {
			r.after(time.Duration(st*float64(time.Second)), b.backend.Drain)
		} else {
			b.backend.Drain()
		}
		r.publish(s.Box, trace.Terminating, r.plan.Scenario.List.Lag.D())
	case plan.Exit, plan.Crash:
		r.mu.Lock()
		b.up = false
		r.mu.Unlock()
		b.backend.Crash()
		r.updateDNS(s.Box, false)
		r.publish(s.Box, trace.Removed, r.plan.Scenario.List.Lag.D())
	case plan.Restart:
		b.backend.Stop()
		if err := r.startBackend(b.plan, false, b.addrs); err != nil {
			return err
		}
		r.publish(s.Box, trace.Ready, r.plan.Scenario.List.AddLag.D())
		r.updateDNS(s.Box, true)
	case plan.Slow:
		b.backend.SetSlowdown(s.By)
	case plan.Isolate:
		b.backend.Isolate()
	case plan.Reconnect:
		b.backend.Reconnect()
	case plan.DropRequests:
		b.backend.SetDropFraction(s.By)
	case plan.FailClass:
		b.backend.SetClassFailure(s.Text, s.By > 0)
	case plan.ResetRequests, plan.CorruptResponses:
		r.mu.Lock()
		if s.Do == plan.ResetRequests {
			r.resetFraction = s.By
		} else {
			r.corruptFraction = s.By
		}
		for _, planned := range r.backends {
			planned.backend.SetFaults(r.resetFraction, r.corruptFraction)
		}
		r.mu.Unlock()
	case plan.Kill:
		r.background(ctx, func(context.Context) { n.kill() })
	case plan.Term:
		r.background(ctx, func(context.Context) { n.term() })
	case plan.Revive:
		ended := n.processEnded()
		r.background(ctx, func(ctx context.Context) { r.revive(ctx, n, ended) })
	case plan.Reload:
		return n.reload()
	case plan.Stall:
		n.signal(syscall.SIGSTOP, trace.Stopped, false)
	case plan.Resume:
		n.signal(syscall.SIGCONT, trace.Resumed, false)
	case plan.IsolateNode, plan.HealNodes, plan.MessageFault:
		r.applyLinkFault(&s)
	case plan.CutLink:
		r.applySiteCut(&s)
	case plan.PauseList, plan.ResumeList:
		for _, n := range r.nodes {
			if s.Text != "" && n.Site != s.Text {
				continue
			}
			if s.Do == plan.PauseList {
				n.agent.Pause()
			} else {
				n.agent.Resume()
			}
		}
	case plan.DelayList:
		r.mu.Lock()
		r.extraListLag = time.Duration(s.By * float64(time.Second))
		r.mu.Unlock()
	case plan.BadClient:
		r.clients.StartBadClient(ctx, s.Node, s.Text)
	}
	return nil
}

// processEnded returns a channel that is closed when the node's present process ends.
func (n *node) processEnded() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ended
}

// revive starts a node again once the process that closes ended has ended. Of several callers that wait for the same process,
// only one starts the node: a second process would find the port taken, or would replace the first one in n.cmd, which nobody
// would then stop.
func (r *Rehearsal) revive(ctx context.Context, n *node, ended <-chan struct{}) {
	select {
	case <-ended:
	case <-ctx.Done():
		return
	}
	n.mu.Lock()
	restart := n.ended == ended && !n.restarting
	n.restarting = n.restarting || restart
	n.mu.Unlock()
	if !restart {
		return
	}
	err := n.start(ctx)
	n.mu.Lock()
	n.restarting = false
	n.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		r.mu.Lock()
		r.errs = append(r.errs, err)
		r.mu.Unlock()
	}
}

func (r *Rehearsal) plannedBackend(id string) *plan.Backend {
	for i := range r.plan.Backends {
		if r.plan.Backends[i].ID == id {
			return &r.plan.Backends[i]
		}
	}
	return nil
}

// startBackend starts a simulated backend, at addrs or, if nil, at new addresses.
func (r *Rehearsal) startBackend(b *plan.Backend, warm bool, addrs []string) error {
	s := r.plan.Scenario
	spec := b.Spec
	if warm {
		spec.ColdFrom = 1
	}
	cfg := stand.BackendConfig{ID: b.ID, Site: b.Site, Kind: b.Kind, Cell: b.Cell, Seed: b.Seed, Spec: spec, Handshake: s.Conn.HandshakeWork.D(),
		MaxConns: s.Conn.Max, IdleTimeout: s.Conn.IdleTimeout.D(), ReportNoise: s.Report.Noise, Delay: r.networkDelay(b)}
	cfg.Report.Interval, cfg.Report.Delay = s.Report.Interval.D(), s.Report.Delay.D()
	var listeners []net.Listener
	for i := range r.nodes {
		want := ""
		if addrs != nil {
			want = addrs[i]
		}
		ln, err := r.listen(want)
		if err != nil && want != "" {
			ln, err = r.listen("") // another process has taken the port
		}
		if err != nil {
			for _, l := range listeners {
				l.Close()
			}
			return fmt.Errorf("box %s: %w", b.ID, err)
		}
		listeners = append(listeners, ln)
	}
	backend := &backendState{plan: b, up: true}
	if !warm {
		backend.startedMillis = time.Now().UnixMilli()
	}
	backend.backend = stand.NewBackend(cfg, r.clock(), r.out, &r.attempts)
	for i, ln := range listeners {
		backend.addrs = append(backend.addrs, ln.Addr().String())
		backend.backend.Serve(ln, r.nodes[i].Node)
	}
	r.mu.Lock()
	backend.backend.SetFaults(r.resetFraction, r.corruptFraction)
	r.backends[b.ID] = backend
	r.mu.Unlock()
	r.updateCuts(backend)
	return nil
}

// networkDelay returns a function that draws the network delay between a site and a backend.
func (r *Rehearsal) networkDelay(b *plan.Backend) func(string) time.Duration {
	net := r.plan.Scenario.Net
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(b.Seed, 7))
	return func(from string) time.Duration {
		d := net.CrossSite.D()
		if from == b.Site {
			d = net.SameSite.D()
		}
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(float64(d) * (1 + net.Jitter*rng.ExpFloat64()))
	}
}

func (r *Rehearsal) listEntry(b *backendState, node int, state string) stand.Entry {
	e := stand.Entry{ID: b.plan.ID, Addr: b.addrs[node], Zone: b.plan.Site, Kind: b.plan.Kind, Cell: b.plan.Cell, State: state, Weight: 1,
		Started: b.startedMillis}
	if r.plan.Scenario.Clients.JSONRPC > 0 {
		e.RPC = e.Addr // backends detect the protocol by a connection's first byte
	}
	return e
}

// publish sends a list change to every node, each with its own delay. Changes reach a node in the order in which they were
// published.
func (r *Rehearsal) publish(id, state string, lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, now := r.backends[id], r.clock().Now()
	for i, n := range r.nodes {
		at := now + lag + r.extraListLag + time.Duration(r.rng.Float64()*float64(r.plan.Scenario.List.Spread.D()))
		q := &r.queues[i]
		q.lastDue = max(q.lastDue, at)
		q.entries = append(q.entries, r.listEntry(b, i, state))
		r.after(q.lastDue-now, func() {
			r.mu.Lock()
			e := q.entries[0]
			q.entries = q.entries[1:]
			// Under the lock, so that entries are applied in the order in which they are dequeued.
			n.agent.Apply(e)
			r.mu.Unlock()
		})
	}
}

// shutdown stops the nodes and all simulated parts, waits for every goroutine and ends the trace.
func (r *Rehearsal) shutdown(stop context.CancelFunc) {
	stop()
	r.wg.Wait()
	for _, n := range r.nodes {
		if n.cmd != nil {
			n.signal(syscall.SIGCONT, trace.Resumed, false) // a stopped process can't exit
			r.processes.Go(n.term)
		}
	}
	r.processes.Wait()
	if r.net != nil {
		r.net.Close()
	}
	r.clients.Wait()
	r.clients.Close()
	for _, b := range r.backends {
		b.backend.Stop()
	}
	for _, n := range r.nodes {
		if n.agentServer != nil {
			n.agentServer.Close()
		}
		if n.nameServer != nil {
			if err := n.nameServer.server.Stop(); err != nil {
				r.errs = append(r.errs, fmt.Errorf("DNS: %w", err))
			}
		}
	}
	r.out.Add(&trace.Record{Kind: trace.End, T: trace.Microseconds(r.clock().Now())})
	if err := r.out.Close(); err != nil {
		r.errs = append(r.errs, fmt.Errorf("trace: %w", err))
	}
}
