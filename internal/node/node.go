// Package node is one load balancer on real sockets. It turns what happens on them into policy events and
// carries out the policy's actions; it decides nothing itself.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"craneglade/policy"
)

const (
	maxBody    = 64 << 10 // bytes of a request's or an answer's body
	minSockets = 64       // with fewer descriptors a node cannot serve
	ownSockets = 16       // descriptors for anything but clients and backends
	transit    = 10 * time.Millisecond
	// acceptFor is how long after SIGTERM connections are still accepted: the front notices only after a while.
	acceptFor = 500 * time.Millisecond
	// PROTOCOL: SIGKILL comes no sooner after SIGTERM than the longest deadline, counted as longestTold where it is longer,
	// and killSlack.
	longestTold = 3 * time.Second
	killSlack   = 700 * time.Millisecond
)

// node owns the balancer, and with it the order of events: whoever holds mu hands in the next one. Nothing
// under mu waits for a socket.
type node struct {
	cfg     Config
	log     *slog.Logger
	clock   clock
	pool    *pool
	bodies  *bodyStore
	effects map[string]policy.Effect // of the classes that there are
	leaving atomic.Bool              // SIGTERM has come
	closing atomic.Bool              // and connections are to end
	killed  atomic.Int64             // Unix nanoseconds from which the node may be killed, once it has come; 0 before

	ctx context.Context // ends when the node does; attempts and watches hang on it
	wg  sync.WaitGroup  // attempts and calls to discovery

	mu       sync.Mutex
	disc     *discovery
	bal      *policy.Balancer
	actions  []policy.Action
	requests map[string]*request // by the clients' ids
	names    map[string]*backend // listed backends by discovery's id
	backends map[uint32]*backend // the same by the policy's number, and those that left until their grace is over
	nextNum  uint32
	version  int64 // of the list
	ready    bool  // some backend is listed as ready
}

// clock tells Unix time that runs on evenly when the system's clock is set.
type clock struct{ start time.Time }

func (c clock) now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}

// request is one client request that this node has taken.
type request struct {
	id       string
	arrived  time.Time     // when its first byte was seen
	patience time.Duration // how long its client waits
	until    time.Duration
	in       *http.Request
	body     *payload // nil for none
	attempts []*attempt
	open     int
	answered bool
	shed     bool        // the node is so far behind that it refuses it
	done     chan answer // holds the one final answer; never blocks
}

// answer is what a client is told.
type answer struct {
	status     int
	header     http.Header // of a served request: what the backend sent
	body       []byte
	flow       *flowing // in place of body, for one that is still coming
	retryAfter time.Duration
}

// Run serves until ctx ends, finishes what it has taken and returns. A configuration from reload replaces what can
// be replaced while it serves: the address of discovery.
func Run(ctx context.Context, cfg Config, reload <-chan Config, log *slog.Logger) error {
	if cfg.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(cfg.Cores)))
	}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(cfg.MemoryMB) << 20 * 3 / 4)
	}
	debug.SetGCPercent(400) // the live heap is small; collecting it often would be felt as latency
	ln, err := (&net.ListenConfig{KeepAlive: -1}).Listen(ctx, "tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	n, stop, err := start(cfg, log)
	if err != nil {
		return errors.Join(err, ln.Close())
	}
	defer stop()
	go func() {
		for {
			select {
			case cfg := <-reload:
				n.reload(cfg)
			case <-n.ctx.Done():
				return
			}
		}
	}()
	return n.serve(ctx, ln)
}

// start brings up all of a node but its listener. The returned function ends what was started.
func start(cfg Config, log *slog.Logger) (*node, func(), error) {
	bal, err := policy.New(cfg.Settings.Policy, cfg.Seed)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{cfg: cfg, log: log, clock: clock{time.Now()}, ctx: ctx, bal: bal, requests: map[string]*request{},
		names: map[string]*backend{}, backends: map[uint32]*backend{}, effects: map[string]policy.Effect{}}
	for _, c := range cfg.Settings.Policy.Classes {
		n.effects[c.Name] = c.Effect
	}
	n.pool = newPool(cfg)
	if n.bodies, err = newBodyStore(cfg, n.clock); err != nil {
		cancel()
		return nil, nil, fmt.Errorf("bodies: %w", err)
	}
	n.disc = newDiscovery(n, cfg.Discovery)
	// The list can start a watch at once, whose answer must not be taken in before the list is.
	n.mu.Lock()
	n.takeList(&cfg.Known, policy.ListCached)
	if !cfg.Settings.Policy.MustAsk {
		n.disc.watch() // the policy asks only where lists are not pushed
	}
	n.mu.Unlock()
	if log.Enabled(ctx, slog.LevelDebug) {
		log.Debug("settings", "policy", fmt.Sprintf("%+v", cfg.Settings.Policy))
		n.wg.Go(func() { n.beliefs(ctx) })
	}
	return n, func() {
		// Under the lock, which each wg.Add holds too: a timer may be about to start a watch. None does after this.
		n.mu.Lock()
		cancel()
		n.mu.Unlock()
		n.wg.Wait()
		n.disc.http.CloseIdleConnections()
		n.pool.stop()
		n.bodies.stop()
	}, nil
}

// rank is a class's place among all by worth, the cheapest being 0, and the number of classes.
func (n *node) rank(class string) (rank, classes int) {
	all := n.cfg.Settings.Policy.Classes
	worth := 0.0
	for _, c := range all {
		if c.Name == class {
			worth = c.Worth
		}
	}
	for _, c := range all {
		if c.Worth < worth {
			rank++
		}
	}
	return rank, len(all)
}

// begin takes a request and hands it to the policy, unless one with its id is open. The final answer comes on the
// request's channel.
func (n *node) begin(r *request) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.requests[r.id] != nil {
		return false
	}
	now := n.clock.now()
	// The answer must be with the client when its time is up: the way there and back and the time that the
	// request has spent here are off.
	left := r.patience - time.Since(r.arrived) - transit
	// What came while clients could not know that this node leaves, killing it may leave unanswered; no later request.
	if end := n.killed.Load(); end != 0 && r.arrived.UnixNano() > end-int64(longestTold) {
		left = min(left, time.Until(time.Unix(0, end))-2*transit)
	}
	left = max(0, left)
	r.until, r.done = now+left, make(chan answer, 1)
	n.requests[r.id] = r
	n.handle(now, &policy.Event{Kind: policy.EvRequest, ID: r.id, Class: r.in.Header.Get("X-Class"),
		Tenant: r.in.Header.Get("X-Tenant"), Left: left, Repeat: r.in.Header.Get("X-Retry") == "1"})
	return true
}

// gone tells the policy that a client has closed its connection, unless the request has its answer by now.
func (n *node) gone(r *request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.answered {
		return
	}
	r.answered = true
	n.handle(n.clock.now(), &policy.Event{Kind: policy.EvGone, ID: r.id})
	n.forget(r)
}

// cutOff answers a request whose client did not send all of its body, which no attempt has sent whole.
func (n *node) cutOff(r *request, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.answered {
		return
	}
	r.answered = true
	no := cutShort(err)
	r.done <- answer{status: no.status, body: []byte(no.text + "\n")}
	n.handle(n.clock.now(), &policy.Event{Kind: policy.EvGone, ID: r.id})
}

// ended hands in an attempt's outcome, and passes on the answer of one that was served.
func (n *node) ended(a *attempt, res result) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := a.request
	r.open--
	if res.outcome == policy.OK && !r.answered {
		r.answered = true
		r.done <- res.answer
	}
	now := n.clock.now()
	n.handle(now, &policy.Event{Kind: policy.EvOutcome, ID: r.id, Server: a.backend.number, Attempt: a.index,
		Took: now - a.sent, Last: r.answered, Outcome: res.outcome, Load: res.load})
	n.forget(r)
}

// finish gives a request its final answer, unless it has one.
func (n *node) finish(id string, a answer) {
	if r := n.requests[id]; r != nil && !r.answered {
		r.answered = true
		r.done <- a
		n.forget(r)
	}
}

// forget drops a request that nothing more can come of.
func (n *node) forget(r *request) {
	if r.answered && r.open == 0 {
		delete(n.requests, r.id)
		r.body.free()
	}
}

// handle hands one event to the policy and carries out what it wants, in its order. n.mu is held.
func (n *node) handle(now time.Duration, ev *policy.Event) {
	n.actions = n.bal.Handle(now, ev, n.actions[:0])
	for i := range n.actions {
		a := &n.actions[i]
		switch a.Kind {
		case policy.ActSend:
			n.send(now, a)
		case policy.ActCancel:
			if r := n.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
				r.attempts[a.Attempt].cancel(errCanceled)
			}
		case policy.ActRefuse:
			n.finish(a.ID, answer{status: http.StatusServiceUnavailable, retryAfter: a.Wait})
		case policy.ActFail:
			n.finish(a.ID, answer{status: http.StatusInternalServerError})
		case policy.ActTimer:
			token := a.Token
			time.AfterFunc(a.At-now, func() { n.due(token) })
		case policy.ActWatch:
			n.disc.watch()
		case policy.ActFetch:
			n.disc.fetch()
		case policy.ActLog:
			n.log.Info(a.Text)
		}
	}
}

// due hands in a timer.
func (n *node) due(token string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() == nil {
		n.handle(n.clock.now(), &policy.Event{Kind: policy.EvTimer, Token: token})
	}
}

// send starts an attempt. Its outcome is handed in later, whatever comes of it.
func (n *node) send(now time.Duration, act *policy.Action) {
	r := n.requests[act.ID]
	if r == nil {
		return
	}
	a := &attempt{request: r, index: len(r.attempts), backend: n.backends[act.Server], sent: now}
	a.wait = min(act.Wait, r.until-now)
	if act.Wait <= 0 {
		a.wait = r.until - now
	}
	ctx, cancel := context.WithCancelCause(n.ctx)
	a.cancel = cancel
	r.attempts = append(r.attempts, a)
	r.open++
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		defer cancel(nil)
		res := result{outcome: policy.Moot}
		if a.backend == nil {
			a.backend = &backend{number: act.Server} // in none of the lists: never sent
		} else {
			res = n.run(ctx, a)
		}
		n.ended(a, res)
	}()
}
