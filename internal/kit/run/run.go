// Package run plays a rehearsal: it starts the nodes as child processes, puts boxes, the box list and clients round
// them, takes each step of the plan at its time and writes the trace. It decides nothing: what is to happen is in the
// plan, what it means is the judge's.
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
	settleTime = 4 * time.Second         // after SIGHUP what the list has to tell counts as told
	leaveTime  = 1500 * time.Millisecond // a discovery that is left closes what is open after this
	heartbeat  = 10 * time.Millisecond
	lagFrom    = 5 * time.Millisecond // a heartbeat later than this is noted
	useEvery   = time.Second
)

// Options say what to play and with what.
type Options struct {
	Name     string // of the scenario
	Plan     *plan.Plan
	Command  []string // that starts one node
	Env      []string // for it, beside this process's own
	Dir      string   // for the nodes' configurations and logs; it is not removed
	Trace    io.Writer
	Progress func(Status) // called once a second; nil for never
	Note     func(string) // called with a line on what happens; nil for never
}

// Status is how a rehearsal stands.
type Status struct {
	At, Length                                            time.Duration
	Requests, InTime, Late, Refused, Failed, Unreached    int64 // since the start
	Open                                                  int64
	Nodes, Backends, Cold, Slow, Draining, Silent, Fallen int
}

// Cost is what the kit itself used while it played.
type Cost struct {
	CPU    time.Duration `json:"cpu_ns"`
	Wall   time.Duration `json:"wall_ns"`
	Memory []uint64      `json:"memory_bytes"` // in use by the runtime, at tenths of the play
}

// Rehearsal is one play.
type Rehearsal struct {
	opt     Options
	plan    *plan.Plan
	dir     string
	host    string // of all listeners
	out     *trace.Writer
	start   time.Time
	clients *stand.Clients
	nodes   []*node
	atts    atomic.Int64
	wg      sync.WaitGroup // all that ends with quit
	procs   sync.WaitGroup // the nodes' processes
	quit    context.Context

	mu     sync.Mutex
	rng    *rand.Rand
	boxes  map[string]*boxSeat
	late   time.Duration // of the list, beyond the usual
	queues []listQueue   // by node
	resets float64
	spoils float64
	errs   []error

	lastPort int // given to a node

	net  *relay.Net // between nodes; nil where they do not talk to each other
	cuts map[float64]*cut
	ends map[string]func() // of troubles of what nodes say
	dark map[string]func() // ways between sites that are cut, as "from>to", and what mends each between nodes
}

// boxSeat is a box and the addresses at which the nodes see it.
type boxSeat struct {
	plan  *plan.Box
	box   *stand.Box
	addrs []string
	begun int64 // Unix milliseconds; 0 for long ago
	up    bool
}

// listQueue is what is on its way to one node, in order.
type listQueue struct {
	last    time.Duration
	entries []stand.Entry
}

func (r *Rehearsal) clock() stand.Clock { return stand.Clock{Start: r.start} }

// listen listens on an address, or on a port from the kernel. Each rehearsal has a loopback address of its own, where the
// system has more than one: the port of a box that has gone must not become another rehearsal's, whose boxes a node that
// is not told yet would then reach.
func (r *Rehearsal) listen(addr string) (net.Listener, error) {
	if addr != "" {
		return net.Listen("tcp", addr)
	}
	return net.Listen("tcp", net.JoinHostPort(r.host, "0"))
}

// nodePorts are the ports from which nodes get theirs: below those that Linux hands out by itself (ip_local_port_range,
// from 32768 as it comes) and above those of well-known services. A node's port is free before its process binds it and
// while the process is down; one that the kernel gives to whoever asks could be a box's or another node's by then.
const (
	nodePortFrom = 12000
	nodePortTo   = 32000
)

// nodeAddr is an address for a node to listen on, which nothing else of this rehearsal is given.
func (r *Rehearsal) nodeAddr() (addr string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastPort == 0 {
		r.lastPort = nodePortFrom + rand.IntN(nodePortTo-nodePortFrom)
	}
	for range nodePortTo - nodePortFrom {
		if r.lastPort++; r.lastPort >= nodePortTo {
			r.lastPort = nodePortFrom
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

// someHost draws an address of 127.0.0.0/8 (RFC 1122, 3.2.1.3). Some systems have only the usual one.
func someHost() string {
	host := netip.AddrFrom4([4]byte{127, byte(1 + rand.IntN(254)), byte(rand.IntN(256)), byte(1 + rand.IntN(254))}).String()
	ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "127.0.0.1"
	}
	ln.Close()
	return host
}

// Play plays the rehearsal to its end. An error means that it could not be played; a node that crashes is in the trace.
func Play(ctx context.Context, opt Options) (*Cost, error) {
	quit, stop := context.WithCancel(ctx)
	r := &Rehearsal{opt: opt, plan: opt.Plan, dir: opt.Dir, host: someHost(), start: time.Now(), quit: quit, boxes: map[string]*boxSeat{},
		rng: rand.New(rand.NewPCG(opt.Plan.Seed, 6))}
	s := r.plan.Scenario
	var nodes []trace.Node
	for i := range s.Nodes.Count {
		n := &node{Node: trace.Node{Name: fmt.Sprintf("n%d", i+1), Site: s.Sites[i%len(s.Sites)].Name}, index: i, r: r}
		r.nodes, nodes = append(r.nodes, n), append(nodes, n.Node)
	}
	r.queues, r.cuts, r.ends = make([]listQueue, len(nodes)), map[float64]*cut{}, map[string]func(){}
	r.dark = map[string]func(){}
	r.out = trace.NewWriter(opt.Trace, deployment.Head(r.plan, opt.Name, r.start.UTC().Format(time.RFC3339Nano), nodes))
	dialer := &net.Dialer{KeepAlive: -1}
	dial := func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) }
	r.clients = stand.NewClients(r.plan, nodes, dial, r.clock(), r.out, deployment.AnswerSlack+deployment.LimitSlack)
	cost, err := &Cost{}, r.connect()
	if err == nil {
		err = r.raise(quit)
	}
	if err == nil {
		cost, err = r.play(quit)
	}
	r.end(stop)
	return cost, errors.Join(append([]error{err}, r.errs...)...)
}

// raise brings up all that is there before the first request.
func (r *Rehearsal) raise(ctx context.Context) error {
	for i := range r.plan.Boxes[:r.plan.Initial] {
		b := &r.plan.Boxes[i]
		if err := r.startBox(b, true, nil); err != nil {
			return err
		}
	}
	for _, n := range r.nodes {
		var known []stand.Entry
		for _, b := range r.plan.Boxes[:r.plan.Initial] {
			known = append(known, r.entry(r.boxes[b.ID], n.index, trace.Ready))
		}
		n.agent = stand.NewAgent(n.Name, r.plan.Scenario.List.Mode == "ask", r.clock(), r.out, known)
		ln, err := r.listen("")
		if err != nil {
			return err
		}
		n.agentAt = stand.ServeAgent(n.agent, ln)
		if r.plan.Scenario.Names.TTL > 0 {
			if n.names, err = r.newNames(n); err != nil {
				return err
			}
			for _, b := range r.plan.Boxes[:r.plan.Initial] {
				if err := n.names.set(b.ID, b.Site, r.boxes[b.ID].addrs[n.index], true); err != nil {
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

// play sends the requests and takes the steps.
func (r *Rehearsal) play(ctx context.Context) (*Cost, error) {
	// The clock of the plan begins now; that of the trace keeps running from the start of the first box.
	begin := r.clock().Now()
	r.clients.Begin(begin)
	r.out.Add(&trace.Record{Kind: trace.Event, T: trace.US(begin), How: trace.Begin, Text: "traffic begins"})
	r.background(ctx, r.beat)
	r.background(ctx, r.watch)
	r.background(ctx, r.audits)
	r.background(ctx, func(ctx context.Context) { r.steps(ctx, begin) })
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

// after calls f in a while, unless the rehearsal is over by then.
func (r *Rehearsal) after(d time.Duration, f func()) {
	r.background(r.quit, func(ctx context.Context) {
		if timing.Sleep(ctx, d) {
			f()
		}
	})
}

// beat notes when the kit itself is held up.
func (r *Rehearsal) beat(ctx context.Context) {
	for {
		due := time.Now().Add(heartbeat)
		if !timing.Sleep(ctx, heartbeat) {
			return
		}
		if late := time.Since(due); late > lagFrom {
			r.out.Add(&trace.Record{Kind: trace.Lag, T: trace.US(r.clock().Now()), Late: late.Microseconds()})
		}
	}
}

// watch tells how it goes, and notes what the nodes hold.
func (r *Rehearsal) watch(ctx context.Context) {
	begin := r.clock().Now()
	for {
		for _, n := range r.nodes {
			n.use()
		}
		if !timing.Sleep(ctx, useEvery) {
			return
		}
		if r.opt.Progress != nil {
			r.opt.Progress(r.status(r.clock().Now() - begin))
		}
	}
}

func (r *Rehearsal) status(at time.Duration) Status {
	c := &r.clients.Count
	s := Status{At: at, Length: r.plan.Scenario.Length.D(), Requests: c.Asked.Load(), InTime: c.InTime.Load(), Late: c.Late.Load(),
		Refused: c.Refused.Load(), Failed: c.Failed.Load(), Unreached: c.Unreached.Load(), Open: c.Open.Load()}
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
	for _, b := range r.boxes {
		if !b.up {
			continue
		}
		st := b.box.Standing()
		s.Backends++
		for _, x := range []struct {
			is bool
			n  *int
		}{{!st.Warm, &s.Cold}, {st.Slow, &s.Slow}, {st.Draining, &s.Draining}, {st.Silent, &s.Silent}, {st.Fallen, &s.Fallen}} {
			if x.is {
				*x.n++
			}
		}
	}
	return s
}

// steps takes each step of the plan at its time.
func (r *Rehearsal) steps(ctx context.Context, begin time.Duration) {
	for _, s := range r.plan.Steps {
		if !timing.Sleep(ctx, begin+s.At-r.clock().Now()) {
			return
		}
		if err := r.step(ctx, s); err != nil && ctx.Err() == nil {
			r.mu.Lock()
			r.errs = append(r.errs, fmt.Errorf("%s at %v: %w", s.Do, s.At, err))
			r.mu.Unlock()
		}
	}
}

func (r *Rehearsal) step(ctx context.Context, s plan.Step) error {
	r.mu.Lock()
	seat := r.boxes[s.Box]
	r.mu.Unlock()
	if seat != nil && !seat.up && s.Do != plan.Restart {
		return nil // it has gone meanwhile
	}
	var n *node
	if s.Node > 0 {
		n = r.nodes[s.Node-1]
	}
	switch s.Do {
	case plan.Announce:
		r.out.Add(&trace.Record{Kind: trace.Event, T: trace.US(r.clock().Now()), Text: s.Text})
		if r.opt.Note != nil {
			r.opt.Note(s.Text)
		}
	case plan.Start:
		b := r.planned(s.Box)
		var addrs []string
		r.mu.Lock()
		if old := r.boxes[b.After]; b.After != "" && old != nil {
			addrs = old.addrs
		}
		r.mu.Unlock()
		if err := r.startBox(b, false, addrs); err != nil {
			return err
		}
		r.publish(s.Box, trace.Ready, r.plan.Scenario.List.Add.D())
		r.rename(s.Box, true)
	case plan.Drain:
		r.rename(s.Box, false)
		if st := s.By; st > 0 {
			r.after(time.Duration(st*float64(time.Second)), seat.box.Drain)
		} else {
			seat.box.Drain()
		}
		r.publish(s.Box, trace.Terminating, r.plan.Scenario.List.Lag.D())
	case plan.Exit, plan.Crash:
		r.mu.Lock()
		seat.up = false
		r.mu.Unlock()
		seat.box.Crash()
		r.rename(s.Box, false)
		r.publish(s.Box, trace.Gone, r.plan.Scenario.List.Lag.D())
	case plan.Restart:
		seat.box.Stop()
		if err := r.startBox(seat.plan, false, seat.addrs); err != nil {
			return err
		}
		r.publish(s.Box, trace.Ready, r.plan.Scenario.List.Add.D())
		r.rename(s.Box, true)
	case plan.Slow:
		seat.box.Slow(s.By)
	case plan.Silence:
		seat.box.Silence()
	case plan.Return:
		seat.box.Return()
	case plan.Lose:
		seat.box.Lose(s.By)
	case plan.Fail:
		seat.box.FailClass(s.Text, s.By > 0)
	case plan.Reset, plan.Spoil:
		r.mu.Lock()
		if s.Do == plan.Reset {
			r.resets = s.By
		} else {
			r.spoils = s.By
		}
		for _, b := range r.boxes {
			b.box.Trouble(r.resets, r.spoils)
		}
		r.mu.Unlock()
	case plan.Kill:
		r.background(ctx, func(context.Context) { n.kill() })
	case plan.Term:
		r.background(ctx, func(context.Context) { n.term() })
	case plan.Revive:
		r.background(ctx, func(ctx context.Context) { r.revive(ctx, n) })
	case plan.Reload:
		return n.reload()
	case plan.Stall:
		n.signal(syscall.SIGSTOP, trace.Stopped, false)
	case plan.Resume:
		n.signal(syscall.SIGCONT, trace.Goes, false)
	case plan.CutNode, plan.Mend, plan.Words:
		r.trouble(&s)
	case plan.Dark:
		r.darken(&s)
	case plan.Hush, plan.Speak:
		for _, n := range r.nodes {
			if s.Text != "" && n.Site != s.Text {
				continue
			}
			if s.Do == plan.Hush {
				n.agent.Hush()
			} else {
				n.agent.Speak()
			}
		}
	case plan.Lag:
		r.mu.Lock()
		r.late = time.Duration(s.By * float64(time.Second))
		r.mu.Unlock()
	case plan.Bad:
		r.clients.Bad(ctx, s.Node, s.Text)
	}
	return nil
}

// revive starts a node again once its last life is over. Of two that wait for one end, one starts it: the other's process
// would find its port taken, or leave the first one to nobody.
func (r *Rehearsal) revive(ctx context.Context, n *node) {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	select {
	case <-ended:
	case <-ctx.Done():
		return
	}
	n.mu.Lock()
	mine := n.ended == ended && !n.revives
	n.revives = n.revives || mine
	n.mu.Unlock()
	if !mine {
		return
	}
	err := n.start(ctx)
	n.mu.Lock()
	n.revives = false
	n.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		r.mu.Lock()
		r.errs = append(r.errs, err)
		r.mu.Unlock()
	}
}

func (r *Rehearsal) planned(id string) *plan.Box {
	for i := range r.plan.Boxes {
		if r.plan.Boxes[i].ID == id {
			return &r.plan.Boxes[i]
		}
	}
	return nil
}

// startBox starts a box's process, at given addresses or at new ones.
func (r *Rehearsal) startBox(b *plan.Box, warm bool, addrs []string) error {
	s := r.plan.Scenario
	spec := b.Spec
	if warm {
		spec.ColdFrom = 1
	}
	cfg := stand.BoxConfig{ID: b.ID, Site: b.Site, Kind: b.Kind, Cell: b.Cell, Seed: b.Seed, Spec: spec, Handshake: s.Conn.Handshake.D(),
		MaxConns: s.Conn.Max, Idle: s.Conn.Idle.D(), Noise: s.Report.Noise, Delay: r.delay(b)}
	cfg.Report.Every, cfg.Report.Late = s.Report.Every.D(), s.Report.Late.D()
	var lns []net.Listener
	for i := range r.nodes {
		want := ""
		if addrs != nil {
			want = addrs[i]
		}
		ln, err := r.listen(want)
		if err != nil && want != "" {
			ln, err = r.listen("") // the port was taken meanwhile
		}
		if err != nil {
			for _, l := range lns {
				l.Close()
			}
			return fmt.Errorf("box %s: %w", b.ID, err)
		}
		lns = append(lns, ln)
	}
	seat := &boxSeat{plan: b, up: true}
	if !warm {
		seat.begun = time.Now().UnixMilli()
	}
	seat.box = stand.NewBox(cfg, r.clock(), r.out, &r.atts)
	for i, ln := range lns {
		seat.addrs = append(seat.addrs, ln.Addr().String())
		seat.box.Serve(ln, r.nodes[i].Node)
	}
	r.mu.Lock()
	seat.box.Trouble(r.resets, r.spoils)
	r.boxes[b.ID] = seat
	r.mu.Unlock()
	r.link(seat)
	return nil
}

// delay is the way between a site and a box.
func (r *Rehearsal) delay(b *plan.Box) func(string) time.Duration {
	net := r.plan.Scenario.Net
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(b.Seed, 7))
	return func(from string) time.Duration {
		d := net.Cross.D()
		if from == b.Site {
			d = net.Same.D()
		}
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(float64(d) * (1 + net.Jitter*rng.ExpFloat64()))
	}
}

func (r *Rehearsal) entry(b *boxSeat, node int, state string) stand.Entry {
	e := stand.Entry{ID: b.plan.ID, Addr: b.addrs[node], Zone: b.plan.Site, Kind: b.plan.Kind, Cell: b.plan.Cell, State: state, Weight: 1,
		Started: b.begun}
	if r.plan.Scenario.Clients.RPC > 0 {
		e.RPC = e.Addr // boxes tell the protocol by a connection's first byte
	}
	return e
}

// publish sends a change on its way to every node. What one node is told arrives in the order of the changes.
func (r *Rehearsal) publish(id, state string, lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	seat, now := r.boxes[id], r.clock().Now()
	for i, n := range r.nodes {
		at := now + lag + r.late + time.Duration(r.rng.Float64()*float64(r.plan.Scenario.List.Spread.D()))
		q := &r.queues[i]
		q.last = max(q.last, at)
		q.entries = append(q.entries, r.entry(seat, i, state))
		r.after(q.last-now, func() {
			r.mu.Lock()
			e := q.entries[0]
			q.entries = q.entries[1:]
			// Under the lock: what is taken off first must arrive first.
			n.agent.Apply(e)
			r.mu.Unlock()
		})
	}
}

// end brings all down, notes the end and waits for every goroutine.
func (r *Rehearsal) end(stop context.CancelFunc) {
	stop()
	r.wg.Wait()
	for _, n := range r.nodes {
		if n.cmd != nil {
			n.signal(syscall.SIGCONT, trace.Goes, false) // one that is stopped can't end
			r.procs.Go(n.term)
		}
	}
	r.procs.Wait()
	if r.net != nil {
		r.net.Close()
	}
	r.clients.Wait()
	r.clients.Close()
	for _, b := range r.boxes {
		b.box.Stop()
	}
	for _, n := range r.nodes {
		if n.agentAt != nil {
			n.agentAt.Close()
		}
		if n.names != nil {
			if err := n.names.server.Stop(); err != nil {
				r.errs = append(r.errs, fmt.Errorf("DNS: %w", err))
			}
		}
	}
	r.out.Add(&trace.Record{Kind: trace.End, T: trace.US(r.clock().Now())})
	if err := r.out.Close(); err != nil {
		r.errs = append(r.errs, fmt.Errorf("trace: %w", err))
	}
}
