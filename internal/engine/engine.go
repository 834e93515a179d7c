// Package engine is the node without its protocols: it owns the decision module and the table of requests, and with them
// the order of events. Front ends hand requests in, carriers carry attempts out, sources hand lists in. It knows no HTTP
// and no socket, and decides nothing itself: the content of a request, which a front end and a carrier understand, is to
// it an opaque payload.
//
// A request that was begun gets exactly one answer: a carrier's, a refusal or failure that the decision module asked for,
// or one of its front end (Abort). A request whose client has left gets none.
package engine

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"craneglade/internal/cold"
	"craneglade/internal/membership"
	"craneglade/internal/siting"
	"craneglade/policy"
)

// Transit is left for the way of an answer to its client, and taken off what the client waits.
const Transit = 10 * time.Millisecond

// Clock tells Unix time that runs on evenly when the system's clock is set.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts at the system's time.
func NewClock() Clock { return Clock{time.Now()} }

// Now is the time since the Unix epoch.
func (c Clock) Now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}

// Since is the time since the clock started.
func (c Clock) Since() time.Duration { return time.Since(c.start) }

// Request is one request of a client. Its front fills the exported fields, and must not change them once it is begun.
type Request struct {
	ID       string // no other open request has it
	Class    string
	Tenant   string
	Needs    uint8         // protocols that a backend must speak for it, see Listed.Speaks
	Repeat   bool          // its client says that it asked before
	Arrived  time.Time     // when its first byte came
	Patience time.Duration // for how long its client waits from then on
	Payload  any           // what carriers send; told by Release, if it has that, once nothing more can come of it
	// Left looks, without waiting, whether the client has left; nil where nobody can tell. It may be called by several at once.
	Left func() bool

	until    time.Duration
	attempts []*Attempt
	first    Attempt     // most requests have one, which needs no memory of its own
	list     [1]*Attempt // and neither does the list of it
	open     int
	answered atomic.Bool // set under the engine's lock alone
	done     chan Answer // holds the one answer; never blocks
}

// Done gives the request's answer, once.
func (r *Request) Done() <-chan Answer { return r.done }

// Kind says what an answer is.
type Kind uint8

const (
	Served  Kind = iota // a backend's answer is the payload
	Refused             // nothing has run, or may run without harm again: the client may come back after RetryAfter
	Failed              // no promise is made
	Aborted             // its front's own, given to Attempt.Abort
)

// Answer is what a client is told.
type Answer struct {
	Kind       Kind
	RetryAfter time.Duration
	Payload    any // Served: the carrier's reply; Aborted: what the front gave
}

// Attempt is one send of a request to a backend.
type Attempt struct {
	Request *Request
	Backend *Backend
	Wait    time.Duration // it ends after this at the latest
	Effect  policy.Effect // what repeating the request would do; Unsafe where nobody told of its class
	By      time.Time     // its last byte must be out by then, or never: backends drop repeats until then; zero for no bound

	engine *Engine
	index  int
	sent   time.Duration
	cancel context.CancelFunc
}

// MayBegin tells whether the attempt may still go out: its backend's drain grace is not over, neither is the time in which
// repeats are dropped, and its client waits for an answer. Carriers ask right before the first byte.
func (a *Attempt) MayBegin() bool {
	if a.Backend.Shut() || !a.By.IsZero() && !time.Now().Before(a.By) {
		return false
	}
	// Behind the clock: a process that is held up as it reads that goes on before its front has seen a client's close.
	return !a.Request.answered.Load() && (a.Request.Left == nil || !a.Request.Left())
}

// Deliver gives the request an answer that is still coming, unless it has one. The attempt's result, in the end, tells
// how that went.
func (a *Attempt) Deliver(reply any) bool {
	e, r := a.engine, a.Request
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.answered.Load() {
		return false
	}
	r.answered.Store(true)
	r.done <- Answer{Payload: reply}
	e.handle(e.clock.Now(), &policy.Event{Kind: policy.EvBegun, ID: r.ID, Attempt: a.index})
	return true
}

// Abort gives the request an answer of its front's own, unless it has one: what its client sent proved to be no request,
// and no attempt has sent it whole.
func (a *Attempt) Abort(payload any) { a.engine.abort(a.Request, payload) }

// Result is how an attempt ended.
type Result struct {
	Outcome policy.Outcome
	Load    policy.Load
	Fresh   bool // a connection was opened for it, whether or not that came up
	Reply   any  // of one that was served, unless it was delivered; told by Release, if it has that, where nobody gets it
}

// Carrier carries attempts to backends.
type Carrier interface {
	// Carry sends a request once and waits for what comes back, for Wait at the most. When ctx ends the attempt is given
	// up. It returns only once nothing of the attempt can reach the backend any more.
	Carry(ctx context.Context, a *Attempt) Result
	// Retire is told that a backend has left, or is another process now: what is kept for it goes. It must not block.
	Retire(b *Backend)
}

// Source is where lists come from. Its methods are called with the engine locked, and must neither block nor call back;
// what they ask for comes through News or Lost.
type Source interface {
	Watch() // follow the list's changes; again while it does so changes nothing
	Fetch() // ask for the whole list, once
}

// Config is what an engine is made from.
type Config struct {
	Settings policy.Settings
	Seed     uint64
	Clock    Clock
	Carrier  Carrier
	Members  *membership.Fleet // what other sources than the list say counts too; nil for the list alone
	Log      *slog.Logger
}

// Engine is safe for concurrent use. Whoever holds its lock hands in the next event; nothing under it waits.
type Engine struct {
	set     policy.Settings
	clock   Clock
	log     *slog.Logger
	tells   bool // the log takes a line for each attempt
	carrier Carrier

	ctx  context.Context // ends when the engine does; attempts hang on it
	stop context.CancelFunc
	wg   sync.WaitGroup // attempts

	mu        sync.Mutex
	shutdown  *Shutdown   // nil until the node is told to end
	failTimer *time.Timer // for failOpen, from then on
	source    Source
	bal       *policy.Balancer
	actions   []policy.Action
	requests  map[string]*Request // by the clients' ids
	names     map[string]*Backend // listed boxes by the list's id
	boxes     map[uint32]*Backend // the same by the module's number, and those that left until their grace is over
	nextNum   uint32
	version   int64     // of the list
	listed    index     // those of names that have not left
	dropped   []dropped // that forgetDropped has not seen
	starts    cold.Starts

	members     *membership.Fleet // nil for the list alone
	memberTimer *time.Timer

	sites *siting.Adapter // nil where they are not watched

	sharer     Sharer        // nil for a node that shares nothing
	until      time.Duration // what the module was told of it last counts until then
	sharerTold int           // listed.changes when it was last told which boxes there are; negative for never
}

// New returns an engine that knows no backend. An error names the setting that makes no sense.
func New(cfg Config) (*Engine, error) {
	bal, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	e := &Engine{set: cfg.Settings, clock: cfg.Clock, log: cfg.Log, carrier: cfg.Carrier, bal: bal, members: cfg.Members,
		requests: map[string]*Request{}, names: map[string]*Backend{}, boxes: map[uint32]*Backend{}}
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.tells = cfg.Log.Enabled(e.ctx, slog.LevelDebug)
	return e, nil
}

// Stop gives up all attempts and returns when they have ended.
func (e *Engine) Stop() {
	e.mu.Lock() // each attempt is added under it, and none after this
	e.stop()
	if e.memberTimer != nil {
		e.memberTimer.Stop()
	}
	if e.failTimer != nil {
		e.failTimer.Stop()
	}
	e.mu.Unlock()
	e.wg.Wait()
}

// Begin takes a request and hands it to the module, unless one with its id is open. The answer comes on Done.
func (e *Engine) Begin(r *Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.requests[r.ID] != nil {
		return false
	}
	now := e.clock.Now()
	// The answer must be with the client when its time is up: the way there and back and the time that the request has
	// spent here are off.
	left := r.Patience - time.Since(r.Arrived) - Transit
	if e.shutdown != nil {
		left = min(left, time.Until(e.shutdown.answerBy()))
	}
	left = max(0, left)
	r.until, r.done = now+left, make(chan Answer, 1)
	if e.refuseLate(r) {
		return true
	}
	e.requests[r.ID] = r
	if e.sharer != nil {
		e.sharer.Request(r.Tenant)
		e.look(now, false)
	}
	e.handle(now, &policy.Event{Kind: policy.EvRequest, ID: r.ID, Class: r.Class, Tenant: r.Tenant, Left: left, Needs: r.Needs, Repeat: r.Repeat})
	return true
}

// Cancel tells that a request's client has left or canceled it, unless it has its answer by now.
func (e *Engine) Cancel(r *Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.answered.Load() {
		return
	}
	r.answered.Store(true)
	e.handle(e.clock.Now(), &policy.Event{Kind: policy.EvGone, ID: r.ID})
	e.forget(r)
}

func (e *Engine) abort(r *Request, payload any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !r.answered.Load() {
		e.settle(r, Answer{Kind: Aborted, Payload: payload})
	}
}

// settle gives a request that has no answer one that the module did not ask for, and has the module do no more for it. e.mu is
// held.
func (e *Engine) settle(r *Request, a Answer) {
	r.answered.Store(true)
	r.done <- a
	e.handle(e.clock.Now(), &policy.Event{Kind: policy.EvGone, ID: r.ID})
	e.forget(r)
}

// Open is the number of requests that something can come of.
func (e *Engine) Open() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests)
}

// Effect is what repeating a request of a class would do, and whether there is such a class.
func (e *Engine) Effect(class string) (policy.Effect, bool) {
	for i := range e.set.Classes {
		if c := &e.set.Classes[i]; c.Name == class {
			return c.Effect, true
		}
	}
	return policy.Unsafe, false
}

// Rank is a class's place among all by worth, the cheapest being 0, and the number of classes.
func (e *Engine) Rank(class string) (rank, classes int) {
	worth := 0.0
	for _, c := range e.set.Classes {
		if c.Name == class {
			worth = c.Worth
		}
	}
	for _, c := range e.set.Classes {
		if c.Worth < worth {
			rank++
		}
	}
	return rank, len(e.set.Classes)
}

// Beliefs are what the module believes of every listed backend, with their ids on the list.
func (e *Engine) Beliefs() (ids []string, all []policy.Belief) {
	e.mu.Lock()
	defer e.mu.Unlock()
	all = e.bal.Snapshot(e.clock.Now())
	ids = make([]string, len(all))
	for i := range all {
		if b := e.boxes[all[i].ID]; b != nil {
			ids[i] = b.ID
		}
	}
	return ids, all
}

// ended hands in an attempt's outcome, and passes on the answer of one that was served.
func (e *Engine) ended(a *Attempt, res Result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := a.Request
	r.open--
	if res.Outcome == policy.OK && !r.answered.Load() {
		r.answered.Store(true)
		r.done <- Answer{Payload: res.Reply}
	} else {
		release(res.Reply)
	}
	now := e.clock.Now()
	if e.tells {
		e.log.LogAttrs(e.ctx, slog.LevelDebug, "attempt", slog.String("request", r.ID), slog.String("backend", a.Backend.ID), slog.String("zone", a.Backend.Zone),
			slog.String("class", r.Class), slog.Int("nth", a.index), slog.Any("outcome", res.Outcome), slog.Duration("took", now-a.sent),
			slog.Bool("fresh", res.Fresh), slog.Float64("held", res.Load.Held), slog.Float64("queue", res.Load.Queue))
	}
	if e.sharer != nil {
		e.sharer.Outcome(a.Backend.key, res.Outcome)
	}
	if e.sites != nil {
		e.sites.RecordOutcome(now, a.Backend.Number, res.Outcome, now-a.sent)
	}
	e.handle(now, &policy.Event{Kind: policy.EvOutcome, ID: r.ID, Server: a.Backend.Number, Attempt: a.index,
		Took: now - a.sent, Last: r.answered.Load(), Outcome: res.Outcome, Load: res.Load})
	e.forget(r)
}

// finish gives a request its final answer, unless it has one.
func (e *Engine) finish(id string, a Answer) {
	if r := e.requests[id]; r != nil && !r.answered.Load() {
		r.answered.Store(true)
		r.done <- a
		e.forget(r)
	}
}

// forget drops a request that nothing more can come of.
func (e *Engine) forget(r *Request) {
	if !r.answered.Load() || r.open > 0 || e.requests[r.ID] != r {
		return
	}
	delete(e.requests, r.ID)
	release(r.Payload)
}

// release tells a payload that nobody uses it any more, if it wants to know.
func release(payload any) {
	if p, ok := payload.(interface{ Release() }); ok {
		p.Release()
	}
}

// handle hands one event to the module and carries out what it wants, in its order. e.mu is held.
func (e *Engine) handle(now time.Duration, ev *policy.Event) {
	e.actions = e.bal.Handle(now, ev, e.actions[:0])
	for i := range e.actions {
		a := &e.actions[i]
		switch a.Kind {
		case policy.ActSend:
			e.send(now, a)
		case policy.ActCancel:
			if r := e.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
				r.attempts[a.Attempt].cancel()
			}
		case policy.ActRefuse:
			if e.tells {
				e.log.LogAttrs(e.ctx, slog.LevelDebug, "refused", slog.String("request", a.ID), slog.Duration("retry_after", a.Wait))
			}
			e.finish(a.ID, Answer{Kind: Refused, RetryAfter: a.Wait})
		case policy.ActFail:
			if e.tells {
				e.log.LogAttrs(e.ctx, slog.LevelDebug, "failed", slog.String("request", a.ID))
			}
			e.finish(a.ID, Answer{Kind: Failed})
		case policy.ActTimer:
			token := a.Token
			time.AfterFunc(a.At-now, func() { e.due(token) })
		case policy.ActWatch:
			e.source.Watch()
		case policy.ActFetch:
			e.source.Fetch()
		case policy.ActLog:
			e.log.Info(a.Text)
		}
	}
}

// due hands in a timer.
func (e *Engine) due(token string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() == nil {
		e.handle(e.clock.Now(), &policy.Event{Kind: policy.EvTimer, Token: token})
	}
}

// send starts an attempt. Its outcome is handed in later, whatever comes of it.
func (e *Engine) send(now time.Duration, act *policy.Action) {
	r := e.requests[act.ID]
	if r == nil {
		return
	}
	a := &r.first
	if len(r.attempts) > 0 {
		a = &Attempt{}
	} else {
		r.attempts = r.list[:0]
	}
	*a = Attempt{Request: r, Backend: e.boxes[act.Server], engine: e, index: len(r.attempts), sent: now}
	a.Effect, _ = e.Effect(r.Class)
	if act.By > 0 && a.Effect == policy.Keyed {
		a.By = time.Now().Add(act.By - now)
	}
	a.Wait = min(act.Wait, r.until-now)
	if act.Wait <= 0 {
		a.Wait = r.until - now
	}
	ctx, cancel := context.WithCancel(e.ctx)
	a.cancel = cancel
	r.attempts = append(r.attempts, a)
	r.open++
	if e.sites != nil {
		e.sites.RecordSend(now, act.Server)
		if e.sharer != nil && a.Backend != nil && e.sites.Node.IsOverflow(a.Backend.Zone) {
			e.sharer.Crossed(a.Backend.Zone)
		}
	}
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		defer cancel()
		res := Result{Outcome: policy.Moot}
		if a.Backend == nil {
			a.Backend = &Backend{Number: act.Server} // in none of the lists: never sent
		} else {
			res = e.carrier.Carry(ctx, a)
		}
		e.ended(a, res)
	}()
}
