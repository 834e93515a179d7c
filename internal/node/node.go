// Package node assembles one load balancer on real sockets: the engine with its decision module, the fronts that clients
// talk to, the carriers that boxes are reached by, and the source of the box list. It decides nothing itself.
package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"craneglade/internal/admission"
	"craneglade/internal/discovery"
	"craneglade/internal/engine"
	"craneglade/internal/httpcarrier"
	"craneglade/internal/httpfront"
	"craneglade/internal/message"
	"craneglade/internal/peers"
	"craneglade/internal/quota"
	"craneglade/internal/rpccarrier"
	"craneglade/internal/rpcfront"
	"craneglade/internal/settings"
	"craneglade/internal/sock"
)

const (
	minSockets = 64 // with fewer descriptors a node cannot serve
	ownSockets = 16 // descriptors for anything but clients and boxes
	// listenPatience is how long a start waits for its addresses where they are refused for a moment, or a process that was killed
	// still has them: a part of the 10 s within which it is to be ready.
	listenPatience = 5 * time.Second
)

type node struct {
	cfg     Config
	clock   engine.Clock
	log     *slog.Logger
	engine  *engine.Engine
	bodies  *message.Store
	carrier *httpcarrier.Carrier
	front   *httpfront.Front
	rpc     *rpccarrier.Carrier
	rpcs    *rpcfront.Front    // nil where the settings name no address
	peers   *peers.Peers       // nil for a node that shares nothing
	control *control           // nil where the list comes from discovery
	stop    context.CancelFunc // ends what hangs on no part
	wg      sync.WaitGroup     // and this is that

	mu   sync.Mutex
	list *discovery.Source // nil where the list comes from the control plane
}

// Run serves until ctx ends, finishes what it has taken and returns. A configuration from reload replaces what can
// be replaced while it serves: the address of discovery.
func Run(ctx context.Context, cfg Config, reload <-chan Config, log *slog.Logger) error {
	told := sync.OnceValue(time.Now) // when the node was told to end, which may be while it starts
	defer context.AfterFunc(ctx, func() { told() })()
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(cfg.Cores)))
	}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 4)
	}
	debug.SetGCPercent(400) // the live heap is small; collecting it often would be felt as latency
	listen := func(address string) (net.Listener, error) {
		return sock.Listen(ctx, address, listenPatience, func(err error) { log.Warn("waiting to listen", "address", address, "err", err) })
	}
	ln, err := listen(cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	n, err := start(cfg, log)
	if err != nil {
		return errors.Join(err, ln.Close())
	}
	defer n.end()
	if ctx.Err() != nil {
		n.engine.Shutdown(told())
	}
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for {
			select {
			case cfg := <-reload:
				n.reload(cfg)
			case <-ended:
				return
			}
		}
	}()
	if n.rpcs == nil {
		return n.front.Serve(ctx, ln)
	}
	second, err := listen(cfg.Own.JSONRPC.Listen)
	if err != nil {
		return errors.Join(fmt.Errorf("jsonrpc.listen: %w", err), ln.Close())
	}
	return n.serve(ctx, ln, second)
}

// serve answers the clients of both fronts until ctx ends and all that was taken is answered; where one front fails, the
// other one leaves too.
func (n *node) serve(ctx context.Context, first, second net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 1)
	go func() {
		err := n.rpcs.Serve(ctx, second)
		cancel()
		failed <- err
	}()
	err := n.front.Serve(ctx, first)
	cancel()
	return errors.Join(err, <-failed)
}

// start brings up all of a node but its listener.
func start(cfg Config, log *slog.Logger) (*node, error) {
	clock := engine.NewClock()
	n := &node{cfg: cfg, log: log, clock: clock}
	own := &settings.File{}
	if cfg.Own != nil {
		own = cfg.Own
	}
	var err error
	if n.bodies, err = message.NewStore(cfg.MemoryMB, &own.Bodies, clock); err != nil {
		return nil, fmt.Errorf("bodies: %w", err)
	}
	both := cfg.quotas()
	boxes := both.Side(admission.BackendSide)
	if cfg.backendQuota != nil {
		boxes = cfg.backendQuota
	}
	dialer := sock.Dialer{Dialer: net.Dialer{Timeout: cfg.Settings.ConnectTimeout, KeepAlive: -1}}
	dial := cfg.dial
	if dial == nil {
		dial = func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) }
	}
	n.carrier = httpcarrier.New(httpcarrier.Config{Quota: boxes, Idle: cfg.Settings.ConnIdle, RestWait: cfg.restWait(),
		Reports: cfg.Settings.Reports, Bodies: n.bodies, Log: log, Now: cfg.now, Pause: cfg.pause, Dial: dial, DialOn: dialer.DialContext})
	var carrier engine.Carrier = n.carrier
	if own.JSONRPC.Listen != "" {
		n.rpc = rpccarrier.New(rpccarrier.Config{Conns: own.JSONRPC.BackendConns, Quota: boxes, Beside: own.JSONRPC.SendMetadata, Reports: cfg.Settings.Reports,
			Dial: dial, Log: log})
		carrier = carriers{n.carrier, n.rpc}
	}
	n.engine, err = engine.New(engine.Config{Settings: cfg.Settings.Policy, Seed: cfg.Seed, Clock: clock,
		Carrier: carrier, Members: sources(own, cfg.Settings.Policy.DrainGrace), Log: log})
	if err != nil {
		n.bodies.Stop()
		return nil, err
	}
	n.front = httpfront.New(httpfront.Config{Engine: n.engine, Bodies: n.bodies, Clock: clock,
		Quota: both.Side(admission.ClientSide), Extra: cfg.extra(), Asking: cfg.Sockets / 3, Shares: cfg.shares(), Waited: cfg.waited, Log: log})
	both.Yields(admission.ClientSide, func() bool { return n.front.Lend() || n.rpcs != nil && n.rpcs.Yield() })
	both.Yields(admission.BackendSide, n.carrier.Yield)
	if n.rpc != nil {
		n.rpcs = rpcfront.New(rpcfront.Config{Engine: n.engine, Quota: both.Side(admission.ClientSide),
			Methods: cfg.methods(), Inflight: own.JSONRPC.Inflight, Batch: own.JSONRPC.Batch, Idle: own.JSONRPC.Idle.D(), Log: log})
	}
	var ctx context.Context
	ctx, n.stop = context.WithCancel(context.Background())
	n.follow(ctx, &own.Control)
	n.names(ctx, &own.DNS)
	if own.Fleet.Listen != "" {
		n.peers, err = peers.Start(peers.Config{Fleet: &own.Fleet, Name: cfg.Name, Policy: &cfg.Settings.Policy, Sites: own.Sites.Names(), Clock: clock.Now,
			Changed: n.engine.Shared, Log: log})
		if err != nil {
			n.end()
			return nil, err
		}
		n.engine.Share(n.peers)
	}
	n.sites(ctx, &own.Sites)
	if err := n.local(ctx, own.Fleet.Socket); err != nil {
		n.end()
		return nil, err
	}
	if log.Enabled(ctx, slog.LevelDebug) {
		log.Debug("settings", "policy", fmt.Sprintf("%+v", cfg.Settings.Policy))
		n.wg.Go(func() { n.beliefs(ctx) })
	}
	return n, nil
}

// follow has the engine's list come from the control plane, or from discovery where there is none, until ctx ends.
func (n *node) follow(ctx context.Context, own *settings.Control) {
	if !own.On() {
		n.list = n.source(discovery.Config{Addr: n.cfg.Discovery})
		n.engine.Follow(n.list, &n.cfg.Known)
		return
	}
	n.control = n.newControl(own)
	n.engine.Follow(n.control.endpoints, &n.cfg.Known)
	n.wg.Go(func() { n.control.run(ctx) })
}

// end ends what start started.
func (n *node) end() {
	n.engine.Stop()
	if n.peers != nil {
		n.peers.Stop()
	}
	n.stop()
	n.wg.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.list != nil {
		n.list.Stop()
	}
	n.carrier.Stop()
	if n.rpc != nil {
		n.rpc.Stop()
	}
	n.bodies.Stop()
}

// carriers carries each request by the protocol that it came in.
type carriers struct {
	http *httpcarrier.Carrier
	rpc  *rpccarrier.Carrier
}

func (c carriers) Carry(ctx context.Context, a *engine.Attempt) engine.Result {
	if _, ok := a.Request.Payload.(*rpccarrier.Call); ok {
		return c.rpc.Carry(ctx, a)
	}
	return c.http.Carry(ctx, a)
}

func (c carriers) Retire(b *engine.Backend) {
	c.http.Retire(b)
	c.rpc.Retire(b)
}

// methods are those of JSON-RPC that the settings name.
func (cfg *Config) methods() map[string]rpcfront.Method {
	out := map[string]rpcfront.Method{}
	for _, m := range cfg.Own.JSONRPC.Methods {
		patience := m.ClientTimeout.D()
		for _, c := range cfg.Settings.Policy.Classes {
			if c.Name == m.Class && patience == 0 {
				patience = c.Deadline
			}
		}
		out[m.Name] = rpcfront.Method{Class: m.Class, Patience: patience, Tenant: jsontext.Pointer(m.Tenant),
			Key: jsontext.Pointer(m.Key), Deadline: jsontext.Pointer(m.Deadline)}
	}
	return out
}

// extra is how many connections of clients may be open beyond the room, to be told that there is none.
func (cfg *Config) extra() int {
	if cfg.Sockets == 0 {
		return 1024
	}
	return max(1, (cfg.Sockets-ownSockets)/16)
}

// quotas shares the descriptors out: three eighths are clients' in any case, three eighths boxes', and the rest goes to
// whoever needs it.
func (cfg *Config) quotas() *quota.Quotas {
	if cfg.Sockets == 0 {
		return quota.New(0, 0)
	}
	total := cfg.Sockets - ownSockets - cfg.extra()
	return quota.New(total, total*3/8)
}

// restWait is a small part of the shortest aim, or deadline of a class without one.
func (cfg *Config) restWait() time.Duration {
	const part = 20
	wait := time.Duration(math.MaxInt64)
	for _, c := range cfg.Settings.Policy.Classes {
		if t := cmp.Or(c.Aim, c.Deadline); t > 0 {
			wait = min(wait, t/part)
		}
	}
	return wait
}

// shares are the tenants' parts of this node's requests, in requests a second.
func (cfg *Config) shares() map[string]float64 {
	p := &cfg.Settings.Policy
	out := make(map[string]float64, len(p.Tenants))
	for _, t := range p.Tenants {
		out[t.Name] = t.QuotaPerS / float64(max(1, p.Nodes))
	}
	return out
}

// source is a source of lists, with what all of this node's have alike.
func (n *node) source(cfg discovery.Config) *discovery.Source {
	cfg.Engine, cfg.Push, cfg.Log = n.engine, !n.cfg.Settings.Policy.MustAsk, n.log
	return discovery.New(cfg)
}

// reload takes in a configuration that was read again. The boxes stay until the new discovery tells its list.
func (n *node) reload(cfg Config) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.list
	if old == nil || cfg.Discovery == old.Addr() {
		return
	}
	n.log.Info("following another discovery", "from", old.Addr(), "to", cfg.Discovery)
	n.list = n.source(discovery.Config{Addr: cfg.Discovery, Whole: true, Late: old.Late()})
	n.engine.Replace(n.list)
	old.Stop()
}
