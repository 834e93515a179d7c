// Package node assembles a load balancer node: the engine with its policy, the fronts that clients connect to, the carriers that
// send attempts to backends, and the source of the backend list. It makes no balancing decisions itself.
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
	"craneglade/internal/timing"
)

const (
	minSockets      = 64 // a node cannot serve with fewer descriptors
	reservedSockets = 16 // descriptors for anything but client and backend connections
	// listenTimeout is how long a start retries to listen after a transient error, or while a process that was killed still has the
	// address. A node has to be ready within 10 s of its start.
	listenTimeout = 5 * time.Second
)

type node struct {
	cfg        Config
	clock      engine.Clock
	log        *slog.Logger
	engine     *engine.Engine
	bodies     *message.Store
	carrier    *httpcarrier.Carrier
	front      *httpfront.Front
	rpcCarrier *rpccarrier.Carrier
	rpcFront   *rpcfront.Front    // nil if the settings have no JSON-RPC address
	peers      *peers.Peers       // nil if the node shares no state
	control    *control           // nil if the list comes from discovery
	stop       context.CancelFunc // stops the goroutines in wg
	wg         sync.WaitGroup     // background goroutines of the node

	mu         sync.Mutex
	listSource *discovery.Source // nil if the list comes from the control plane
}

// Run serves until ctx ends, answers the requests that it has accepted and returns. Of a configuration from reload it applies what
// can change at run time: the address of discovery.
func Run(ctx context.Context, cfg Config, reload <-chan Config, log *slog.Logger) error {
	shutdownTime := sync.OnceValue(time.Now) // when shutdown was requested, which may be during the start
	defer context.AfterFunc(ctx, func() { shutdownTime() })()
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(cfg.Cores)))
	}
	own, err := readMemoryUse()
	if err != nil {
		log.Warn("the program's own memory is unknown, and is not deducted from the limit", "err", err)
	}
	if cfg.memory = cfg.planMemory(own); cfg.memory != nil {
		debug.SetMemoryLimit(cfg.memory.Runtime)
		log.Info("memory", "limit_mb", cfg.MemoryMB, "bytes_for_requests", cfg.memory.Requests, "descriptors", cfg.descriptors(), "configured_descriptors", cfg.Sockets)
	}
	debug.SetGCPercent(400) // the live heap is small, and frequent collections would add latency
	listen := func(address string) (net.Listener, error) {
		return sock.Listen(ctx, address, listenTimeout, func(err error) { log.Warn("cannot listen yet; retrying", "address", address, "err", err) })
	}
	ln, err := listen(cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	n, err := start(cfg, log)
	if err != nil {
		return errors.Join(err, ln.Close())
	}
	defer n.shutdown()
	if ctx.Err() != nil {
		n.engine.Shutdown(shutdownTime())
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case cfg := <-reload:
				n.reload(cfg)
			case <-done:
				return
			}
		}
	}()
	if n.rpcFront == nil {
		return n.front.Serve(ctx, ln)
	}
	rpcListener, err := listen(cfg.LocalSettings.JSONRPC.Listen)
	if err != nil {
		return errors.Join(fmt.Errorf("jsonrpc.listen: %w", err), ln.Close())
	}
	return n.serve(ctx, ln, rpcListener)
}

// serve runs both fronts until ctx ends and all accepted requests are answered. If one front fails, the other shuts down too.
func (n *node) serve(ctx context.Context, httpListener, rpcListener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 1)
	go func() {
		err := n.rpcFront.Serve(ctx, rpcListener)
		cancel()
		failed <- err
	}()
	err := n.front.Serve(ctx, httpListener)
	cancel()
	return errors.Join(err, <-failed)
}

// start creates and starts all of a node but its listeners.
func start(cfg Config, log *slog.Logger) (*node, error) {
	clock := engine.NewClock()
	if cfg.memory == nil {
		cfg.memory = cfg.planMemory(admission.MemoryUse{})
	}
	n := &node{cfg: cfg, log: log, clock: clock}
	file := &settings.File{}
	if cfg.LocalSettings != nil {
		file = cfg.LocalSettings
	}
	var err error
	if n.bodies, err = message.NewStore(cfg.requestBytes(), &file.Bodies, clock); err != nil {
		return nil, fmt.Errorf("bodies: %w", err)
	}
	quotas := cfg.newQuotas()
	backendQuota := quotas.Side(admission.BackendSide)
	if cfg.backendQuota != nil {
		backendQuota = cfg.backendQuota
	}
	dialer := sock.Dialer{Dialer: net.Dialer{Timeout: cfg.Settings.ConnectTimeout, KeepAlive: -1}}
	dial := cfg.dial
	if dial == nil {
		dial = func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) }
	}
	n.carrier = httpcarrier.New(httpcarrier.Config{Quota: backendQuota, BackendIdleTimeout: cfg.Settings.BackendIdleTimeout, MaxSettleWait: cfg.maxSettleWait(),
		AcceptLoadReports: cfg.Settings.AcceptLoadReports, Bodies: n.bodies, AnswerSlots: cfg.answerSlots(), Log: log, Now: cfg.now, Sleep: cfg.sleep, Dial: dial, DialNetwork: dialer.DialContext})
	work := timing.NewSharedWork(cmp.Or(cfg.Cores, float64(runtime.GOMAXPROCS(0))))
	var carrier engine.Carrier = n.carrier
	if file.JSONRPC.Listen != "" {
		n.rpcCarrier = rpccarrier.New(rpccarrier.Config{MaxConnsPerBackend: file.JSONRPC.MaxConnsPerBackend, Quota: backendQuota, SendMetadata: file.JSONRPC.SendMetadata, AcceptLoadReports: cfg.Settings.AcceptLoadReports,
			Dial: dial, Work: work, Log: log})
		carrier = carriers{n.carrier, n.rpcCarrier}
	}
	n.engine, err = engine.New(engine.Config{Settings: cfg.Settings.Policy, Seed: cfg.Seed, Clock: clock,
		Carrier: carrier, Members: newFleet(file, cfg.Settings.Policy.DrainGrace), Log: log})
	if err != nil {
		n.bodies.Stop()
		return nil, err
	}
	parsing := quota.NewConcurrency(runtime.GOMAXPROCS(0))
	n.front = httpfront.New(httpfront.Config{Engine: n.engine, Bodies: n.bodies, Clock: clock, Parsing: parsing, Work: work,
		Quota: quotas.Side(admission.ClientSide), RejectSlots: cfg.rejectSlots(), MaxRequestConns: cfg.descriptors() / 3, TenantShares: cfg.tenantShares(), SinceLastReceive: cfg.sinceLastReceive, Log: log})
	quotas.SetReclaim(admission.ClientSide, func() bool { return n.front.EvictIdleForBackend() || n.rpcFront != nil && n.rpcFront.EvictIdle() })
	quotas.SetReclaim(admission.BackendSide, n.carrier.EvictIdle)
	if n.rpcCarrier != nil {
		n.rpcFront = rpcfront.New(rpcfront.Config{Engine: n.engine, Quota: quotas.Side(admission.ClientSide), Memory: n.bodies, Parsing: parsing, Work: work,
			Methods: cfg.rpcMethods(), MaxInflight: file.JSONRPC.MaxInflight, MaxBatch: file.JSONRPC.MaxBatch, IdleTimeout: file.JSONRPC.IdleTimeout.D(), Log: log})
	}
	var ctx context.Context
	ctx, n.stop = context.WithCancel(context.Background())
	n.followList(ctx, &file.Control)
	n.followDNS(ctx, &file.DNS)
	if file.Fleet.Listen != "" {
		n.peers, err = peers.Start(peers.Config{Fleet: &file.Fleet, Name: cfg.Name, Policy: &cfg.Settings.Policy, OverflowSites: file.Sites.Names(), Clock: clock.Now,
			ViewChanged: n.engine.FleetStateChanged, Work: work, Log: log})
		if err != nil {
			n.shutdown()
			return nil, err
		}
		n.engine.SetFleetState(n.peers)
	}
	n.watchSites(ctx, &file.Sites)
	if err := n.serveStatus(ctx, file.Fleet.Socket); err != nil {
		n.shutdown()
		return nil, err
	}
	if log.Enabled(ctx, slog.LevelDebug) {
		log.Debug("settings", "policy", fmt.Sprintf("%+v", cfg.Settings.Policy))
		n.wg.Go(func() { n.logBeliefs(ctx) })
	}
	return n, nil
}

// followList starts the source of the engine's list: the control plane, until ctx ends, or discovery if no control plane is configured.
func (n *node) followList(ctx context.Context, cfg *settings.Control) {
	if !cfg.On() {
		n.listSource = n.newSource(discovery.Config{Addr: n.cfg.Discovery})
		n.engine.SetSource(n.listSource, &n.cfg.Known)
		return
	}
	n.control = n.newControl(cfg)
	n.engine.SetSource(n.control.endpoints, &n.cfg.Known)
	n.wg.Go(func() { n.control.run(ctx) })
}

// shutdown stops what start started.
func (n *node) shutdown() {
	n.engine.Stop()
	if n.peers != nil {
		n.peers.Stop()
	}
	n.stop()
	n.wg.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listSource != nil {
		n.listSource.Stop()
	}
	n.carrier.Stop()
	if n.rpcCarrier != nil {
		n.rpcCarrier.Stop()
	}
	n.bodies.Stop()
}

// carriers is an engine.Carrier that sends each request by the protocol that it arrived with.
type carriers struct {
	http *httpcarrier.Carrier
	rpc  *rpccarrier.Carrier
}

// Carry sends an attempt to its backend.
func (c carriers) Carry(ctx context.Context, a *engine.Attempt) engine.Result {
	if _, ok := a.Request.Payload.(*rpccarrier.Call); ok {
		return c.rpc.Carry(ctx, a)
	}
	return c.http.Carry(ctx, a)
}

// Retire drops what the carriers keep for a backend that was removed or that another process has replaced.
func (c carriers) Retire(b *engine.Backend) {
	c.http.Retire(b)
	c.rpc.Retire(b)
}

// rpcMethods returns the JSON-RPC methods of the settings, by name.
func (cfg *Config) rpcMethods() map[string]rpcfront.Method {
	out := map[string]rpcfront.Method{}
	for _, m := range cfg.LocalSettings.JSONRPC.Methods {
		timeout := m.ClientTimeout.D()
		for _, c := range cfg.Settings.Policy.Classes {
			if c.Name == m.Class && timeout == 0 {
				timeout = c.Deadline
			}
		}
		out[m.Name] = rpcfront.Method{Class: m.Class, ClientTimeout: timeout, Tenant: jsontext.Pointer(m.Tenant),
			Key: jsontext.Pointer(m.Key), Deadline: jsontext.Pointer(m.Deadline)}
	}
	return out
}

// rejectSlots returns how many client connections may be open over the limit, to be answered with a rejection.
func (cfg *Config) rejectSlots() int {
	if cfg.descriptors() == 0 {
		return 1024
	}
	return max(1, (cfg.descriptors()-reservedSockets)/16)
}

// newQuotas returns the quotas of descriptors: three eighths are guaranteed to clients, three eighths to backends, and the
// remainder is for whichever side needs it.
func (cfg *Config) newQuotas() *quota.Quotas {
	if cfg.descriptors() == 0 {
		return quota.New(0, 0)
	}
	total := cfg.descriptors() - reservedSockets - cfg.rejectSlots()
	return quota.New(total, total*3/8)
}

// maxSettleWait returns how long a request may wait for a connection that was used a moment ago to become usable: a twentieth of the
// shortest latency target, or deadline of a class without a target.
func (cfg *Config) maxSettleWait() time.Duration {
	const divisor = 20
	wait := time.Duration(math.MaxInt64)
	for _, c := range cfg.Settings.Policy.Classes {
		if t := cmp.Or(c.Aim, c.Deadline); t > 0 {
			wait = min(wait, t/divisor)
		}
	}
	return wait
}

// tenantShares returns the share of each tenant's quota that this node may admit, in requests a second.
func (cfg *Config) tenantShares() map[string]float64 {
	p := &cfg.Settings.Policy
	out := make(map[string]float64, len(p.Tenants))
	for _, t := range p.Tenants {
		out[t.Name] = t.QuotaPerS / float64(max(1, p.Nodes))
	}
	return out
}

// newSource returns a discovery source with the settings that all sources of this node have in common.
func (n *node) newSource(cfg discovery.Config) *discovery.Source {
	cfg.Engine, cfg.Push, cfg.Log = n.engine, !n.cfg.Settings.Policy.MustAsk, n.log
	return discovery.New(cfg)
}

// reload applies a configuration that was read again. The backends stay until the new discovery sends its list.
func (n *node) reload(cfg Config) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.listSource
	if old == nil || cfg.Discovery == old.Addr() {
		return
	}
	n.log.Info("discovery address changed", "from", old.Addr(), "to", cfg.Discovery)
	n.listSource = n.newSource(discovery.Config{Addr: cfg.Discovery, NeedFull: true, AfterOutage: old.AfterOutage()})
	n.engine.ReplaceSource(n.listSource)
	old.Stop()
}
