// Package engine implements a load balancer node without its protocols. It owns the policy and the table of requests, and
// serializes all events. Fronts submit requests, carriers send attempts, and sources deliver backend lists. It has no
// knowledge of HTTP or sockets and makes no decisions itself: the content of a request is an opaque payload that only its
// front and a carrier interpret.
//
// Each submitted request gets exactly one answer: from a carrier, a refusal or failure decided by the policy, or one from its
// front (Attempt.Abort). The engine itself refuses or fails what is open late in a shutdown. A request whose client has
// disconnected gets none.
package engine

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"craneglade/internal/cold"
	"craneglade/internal/identity"
	"craneglade/internal/membership"
	"craneglade/internal/ownership"
	"craneglade/internal/siting"
	"craneglade/policy"
)

// Transit is the time reserved for an answer to reach its client. It is deducted from the client's timeout.
const Transit = 10 * time.Millisecond

// Clock reads Unix time that stays monotonic when the system clock is set.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts at the current system time.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the time since the Unix epoch.
func (c Clock) Now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}

// at returns a time of the system clock's monotonic reading, since the Unix epoch; 0 for the zero time.
func (c Clock) at(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return time.Duration(c.start.UnixNano()) + t.Sub(c.start)
}

// contact returns the contact of an attempt with the process at its backend's address.
func (c Clock) contact(res *Result) identity.Contact {
	switch {
	case res.Refused:
		return identity.Contact{Kind: identity.Refused, At: c.at(res.DialFailedAt)}
	case !res.DialFailedAt.IsZero():
		return identity.Contact{Kind: identity.Unreachable, At: c.at(res.DialFailedAt)}
	case res.ConnectedAt.IsZero():
		return identity.Contact{}
	}
	kind := identity.Connected
	switch res.Outcome {
	case policy.TimedOut:
		kind = identity.Silent
	case policy.OK, policy.Failed, policy.Full:
		kind = identity.Answered
	}
	return identity.Contact{Kind: kind, At: c.at(res.ConnectedAt)}
}

// Elapsed returns the time since the clock was created.
func (c Clock) Elapsed() time.Duration { return time.Since(c.start) }

// Request is a request of a client. Its front sets the exported fields and must not change them after Submit.
type Request struct {
	ID                string // unique among open requests
	Class             string
	Tenant            string
	RequiredProtocols uint8         // bit set of protocols that its backend has to speak, see ProtocolRPC
	ClientRetry       bool          // the client has marked it as a retry
	Arrived           time.Time     // when its last byte was received; the last one before its body, if that is streamed
	ClientTimeout     time.Duration // how long the client waits, counted from Arrived
	Payload           any           // what carriers send; its Release method, if any, is called when the request is closed
	// Disconnected reports, without blocking, whether the client has disconnected; nil if that can't be detected. It must be
	// safe for concurrent use.
	Disconnected func() bool
	// ClientID tells that the client has chosen ID, and may send the request again under the same one.
	ClientID bool

	mayHaveRun   bool // one of its attempts may have run
	served       bool // its answer is a backend's
	deadline     time.Duration
	expires      time.Time // when the client stops waiting; zero before Submit
	attempts     []*Attempt
	first        Attempt     // embedded, as most requests need only one attempt: saves an allocation
	firstList    [1]*Attempt // backing array of attempts, for the same reason
	openAttempts int
	answered     atomic.Bool // written only with Engine.mu held
	done         chan Answer // capacity 1, so that sending the only answer never blocks
}

// Done returns a channel that delivers the request's only answer.
func (r *Request) Done() <-chan Answer { return r.done }

// Kind is the kind of an Answer.
type Kind uint8

const (
	Served  Kind = iota // the payload is a backend's answer
	Refused             // the request did not run, or is safe to run again: the client may retry after RetryAfter
	Failed              // the request may or may not have run
	Aborted             // the payload is the front's, passed to Attempt.Abort
)

// Answer is the final answer to a request.
type Answer struct {
	Kind       Kind
	RetryAfter time.Duration
	Payload    any // Served: the carrier's reply; Aborted: the argument of Abort
}

// Attempt is one attempt to send a request to a backend.
type Attempt struct {
	Request       *Request
	Backend       *Backend
	Timeout       time.Duration // upper bound on its duration
	Effect        policy.Effect // effect of repeating the request; Unsafe if its class is unknown
	WriteDeadline time.Time     // its last byte must be written before it, as backends drop repeats only until then; zero for none

	engine *Engine
	index  int
	sent   time.Duration
	cancel context.CancelFunc
}

// MayStart reports whether the attempt may still be written: neither the drain grace of its backend nor WriteDeadline nor the client's
// time has passed, and its client still waits for an answer. Carriers call it right before they write the first byte.
func (a *Attempt) MayStart() bool {
	now := time.Now()
	if a.Backend.WritesStopped() || hasPassed(now, a.WriteDeadline) || hasPassed(now, a.Request.expires) {
		return false
	}
	// Checked after the clock: a process that stalls while reading the clock resumes before its front has noticed that the
	// client closed its connection.
	return !a.Request.answered.Load() && (a.Request.Disconnected == nil || !a.Request.Disconnected())
}

// hasPassed reports whether a deadline has passed; the zero time is none.
func hasPassed(now, deadline time.Time) bool { return !deadline.IsZero() && !now.Before(deadline) }

// Deliver answers the request with a reply that is still being received, and reports false if it already has an answer. The
// attempt's Result later says whether the reply was completed.
func (a *Attempt) Deliver(reply any) bool {
	e, r := a.engine, a.Request
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.answered.Load() {
		return false
	}
	r.answered.Store(true)
	r.served = true
	r.done <- Answer{Payload: reply}
	e.handle(e.clock.Now(), &policy.Event{Kind: policy.EvResponseStarted, ID: r.ID, Attempt: a.index})
	return true
}

// Abort answers the request, if it has no answer yet, with one from its front: the rest of what the client sent proved to be
// malformed, and no attempt has sent the request completely.
func (a *Attempt) Abort(payload any) { a.engine.abort(a.Request, payload) }

// Result is the result of an attempt.
type Result struct {
	Outcome       policy.Outcome
	Load          policy.Load
	NewConnection bool      // a connection was dialled for it, successfully or not
	ConnectedAt   time.Time // when the connection that it used was open; zero if that is not known
	DialFailedAt  time.Time // when a connection was tried that did not come up; zero for none
	Refused       bool      // it was refused, as no process listens
	Reply         any       // for OK, unless delivered; its Release method, if any, is called if it is not used
}

// Carrier sends attempts to backends.
type Carrier interface {
	// Carry sends a request once and waits for the reply, for Attempt.Timeout at most. It abandons the attempt when ctx is done.
	// It returns only when nothing of the attempt can reach the backend any more.
	Carry(ctx context.Context, a *Attempt) Result
	// Retire releases all resources kept for a backend that was removed or whose process was replaced. It must not block.
	Retire(b *Backend)
}

// Source is a source of backend lists. Its methods are called with the engine locked and must neither block nor call back.
// It reports the results through Engine.UpdateList and Engine.SourceFailed.
type Source interface {
	Watch() // follow changes of the list; no effect if already watching
	Fetch() // request the full list once
}

// Config configures an Engine.
type Config struct {
	Settings policy.Settings
	Seed     uint64
	Clock    Clock
	Carrier  Carrier
	Members  *membership.Fleet // merges the list with other sources; nil for the list alone
	Log      *slog.Logger
}

// Engine runs a node: it feeds events to the policy and carries out its actions. It is safe for concurrent use. Events are
// handled with its lock held, in the order in which they get it, and nothing blocks under the lock.
type Engine struct {
	settings policy.Settings
	clock    Clock
	log      *slog.Logger
	debug    bool // log each attempt
	carrier  Carrier

	ctx  context.Context // canceled by Stop; parent of all attempts' contexts
	stop context.CancelFunc
	wg   sync.WaitGroup // attempts

	mu        sync.Mutex
	shutdown  *Shutdown   // nil until the node is to shut down
	failTimer *time.Timer // calls failOpen; set with shutdown
	source    Source
	bal       *policy.Balancer
	actions   []policy.Action
	requests  map[string]*Request // by ID
	sent      sentRequests        // closed requests that must not be sent again
	byID      map[string]*Backend // by ID; includes removed backends until their grace ends
	byNumber  map[uint32]*Backend // by Number; includes removed backends until their grace ends
	nextNum   uint32
	version   int64     // of the list
	listed    index     // the backends of byID that are not removed
	removed   []removal // not yet seen by scheduleForget
	starts    cold.Starts
	owners    *ownership.Table

	members     *membership.Fleet // nil for the list alone
	memberTimer *time.Timer

	sites *siting.Adapter // nil if sites are not watched

	fleetState      FleetState    // nil if the node shares no state
	viewUntil       time.Duration // end of validity of the last View passed to the policy
	notifiedChanges int           // listed.changes at the last SetBackends; negative for none
}

// New returns an engine without backends. An error names the invalid setting.
func New(cfg Config) (*Engine, error) {
	bal, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	e := &Engine{settings: cfg.Settings, clock: cfg.Clock, log: cfg.Log, carrier: cfg.Carrier, bal: bal, members: cfg.Members,
		requests: map[string]*Request{}, sent: newSentRequests(), byID: map[string]*Backend{}, byNumber: map[uint32]*Backend{},
		owners: ownership.NewTable()}
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.debug = cfg.Log.Enabled(e.ctx, slog.LevelDebug)
	return e, nil
}

// Stop cancels all attempts and waits for them to end.
func (e *Engine) Stop() {
	e.mu.Lock() // attempts are added with it held, and none after stop
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

// Errors of Submit.
var (
	ErrOpen       = errors.New("a request with this id is open")
	ErrMayHaveRun = errors.New("a request with this id may have run")
)

// Submit passes a request to the policy, and its answer is delivered on Request.Done. It returns ErrOpen or ErrMayHaveRun if the
// request can't be sent under its ID.
func (e *Engine) Submit(r *Request) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.requests[r.ID] != nil {
		return ErrOpen
	}
	if effect, _ := e.Effect(r.Class); r.ClientID && effect != policy.Safe && e.sent.contains(r.ID) {
		return ErrMayHaveRun
	}
	now := e.clock.Now()
	// The answer has to reach the client within its timeout: deduct the time that the request has spent here and the
	// answer's transit.
	remaining := r.ClientTimeout - time.Since(r.Arrived) - Transit
	if e.shutdown != nil {
		remaining = min(remaining, time.Until(e.shutdown.answerBy()))
	}
	remaining = max(0, remaining)
	r.deadline, r.done = now+remaining, make(chan Answer, 1)
	r.expires = r.Arrived.Add(r.ClientTimeout)
	if e.refuseLate(r) {
		return nil
	}
	e.requests[r.ID] = r
	if e.fleetState != nil {
		e.fleetState.CountRequest(r.Tenant)
		e.refreshView(now, false)
	}
	e.handle(now, &policy.Event{Kind: policy.EvRequest, ID: r.ID, Class: r.Class, Tenant: r.Tenant, Remaining: remaining, RequiredProtocols: r.RequiredProtocols, ClientRetry: r.ClientRetry})
	return nil
}

// Cancel closes a request whose client has disconnected or canceled it. It has no effect on an answered request.
func (e *Engine) Cancel(r *Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.answered.Load() {
		return
	}
	r.answered.Store(true)
	e.handle(e.clock.Now(), &policy.Event{Kind: policy.EvDisconnected, ID: r.ID})
	e.forget(r)
}

// abort answers a request that has no answer yet with one from its front.
func (e *Engine) abort(r *Request, payload any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !r.answered.Load() {
		e.answerDirectly(r, Answer{Kind: Aborted, Payload: payload})
	}
}

// answerDirectly answers an unanswered request without the policy, and tells the policy to drop it. e.mu must be held.
func (e *Engine) answerDirectly(r *Request, a Answer) {
	r.answered.Store(true)
	r.done <- a
	e.handle(e.clock.Now(), &policy.Event{Kind: policy.EvDisconnected, ID: r.ID})
	e.forget(r)
}

// OpenRequests returns the number of requests that have no answer yet or an attempt in flight.
func (e *Engine) OpenRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests)
}

// Effect returns the effect of repeating a request of a class, and whether there is such a class.
func (e *Engine) Effect(class string) (policy.Effect, bool) {
	for i := range e.settings.Classes {
		if c := &e.settings.Classes[i]; c.Name == class {
			return c.Effect, true
		}
	}
	return policy.Unsafe, false
}

// Rank returns the rank of a class by utility, with 0 for the lowest, and the number of classes.
func (e *Engine) Rank(class string) (rank, classes int) {
	utility := 0.0
	for _, c := range e.settings.Classes {
		if c.Name == class {
			utility = c.Worth
		}
	}
	for _, c := range e.settings.Classes {
		if c.Worth < utility {
			rank++
		}
	}
	return rank, len(e.settings.Classes)
}

// Beliefs returns the policy's estimates for all listed backends, and their IDs in the same order.
func (e *Engine) Beliefs() (ids []string, all []policy.Belief) {
	e.mu.Lock()
	defer e.mu.Unlock()
	all = e.bal.Snapshot(e.clock.Now())
	ids = make([]string, len(all))
	for i := range all {
		if b := e.byNumber[all[i].ID]; b != nil {
			ids[i] = b.ID
		}
	}
	return ids, all
}

// handleResult passes the result of an attempt to the policy and, if it was served, answers the request.
func (e *Engine) handleResult(a *Attempt, res Result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := a.Request
	r.openAttempts--
	r.mayHaveRun = r.mayHaveRun || res.Outcome.MayHaveRun()
	if res.Outcome == policy.OK && !r.answered.Load() {
		r.answered.Store(true)
		r.served = true
		r.done <- Answer{Payload: res.Reply}
	} else {
		release(res.Reply)
	}
	now := e.clock.Now()
	if e.debug {
		e.log.LogAttrs(e.ctx, slog.LevelDebug, "attempt", slog.String("request", r.ID), slog.String("backend", a.Backend.ID), slog.String("zone", a.Backend.Zone),
			slog.String("class", r.Class), slog.Int("nth", a.index), slog.Any("outcome", res.Outcome), slog.Duration("took", now-a.sent),
			slog.Bool("fresh", res.NewConnection), slog.Float64("held", res.Load.Occupancy), slog.Float64("queue", res.Load.Queue))
	}
	if e.fleetState != nil {
		e.fleetState.RecordOutcome(a.Backend.key, res.Outcome)
	}
	if e.sites != nil && e.byNumber[a.Backend.Number] == a.Backend { // not of an earlier process with its number
		e.sites.RecordOutcome(now, a.Backend.Number, res.Outcome, now-a.sent)
	}
	e.handle(now, &policy.Event{Kind: policy.EvOutcome, ID: r.ID, Backend: a.Backend.Number, Attempt: a.index,
		Contact: e.clock.contact(&res), Took: now - a.sent, Finished: r.answered.Load(), Outcome: res.Outcome, Load: res.Load})
	e.forget(r)
}

// finish answers a request unless it already has an answer. e.mu must be held.
func (e *Engine) finish(id string, a Answer) {
	if r := e.requests[id]; r != nil && !r.answered.Load() {
		r.answered.Store(true)
		r.done <- a
		e.forget(r)
	}
}

// forget removes a request that is answered and has no attempt in flight. e.mu must be held.
func (e *Engine) forget(r *Request) {
	if !r.answered.Load() || r.openAttempts > 0 || e.requests[r.ID] != r {
		return
	}
	delete(e.requests, r.ID)
	if effect, _ := e.Effect(r.Class); r.ClientID && r.mayHaveRun && !r.served && effect != policy.Safe {
		e.sent.add(r.ID)
	}
	release(r.Payload)
}

// release calls the payload's Release method, if it has one.
func release(payload any) {
	if p, ok := payload.(interface{ Release() }); ok {
		p.Release()
	}
}

// handle passes an event to the policy and carries out the resulting actions in order. e.mu must be held.
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
			if e.debug {
				e.log.LogAttrs(e.ctx, slog.LevelDebug, "refused", slog.String("request", a.ID), slog.Duration("retry_after", a.Wait))
			}
			e.finish(a.ID, Answer{Kind: Refused, RetryAfter: a.Wait})
		case policy.ActFail:
			if e.debug {
				e.log.LogAttrs(e.ctx, slog.LevelDebug, "failed", slog.String("request", a.ID))
			}
			e.finish(a.ID, Answer{Kind: Failed})
		case policy.ActTimer:
			token := a.Token
			time.AfterFunc(a.At-now, func() { e.handleTimer(token) })
		case policy.ActSubscribe:
			e.source.Watch()
		case policy.ActFetch:
			e.source.Fetch()
		case policy.ActLog:
			e.log.Info(a.Text)
		}
	}
}

// handleTimer passes an expired timer to the policy.
func (e *Engine) handleTimer(token string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() == nil {
		e.handle(e.clock.Now(), &policy.Event{Kind: policy.EvTimer, Token: token})
	}
}

// send starts an attempt, which always ends in handleResult. e.mu must be held.
func (e *Engine) send(now time.Duration, act *policy.Action) {
	r := e.requests[act.ID]
	if r == nil {
		return
	}
	a := &r.first
	if len(r.attempts) > 0 {
		a = &Attempt{}
	} else {
		r.attempts = r.firstList[:0]
	}
	*a = Attempt{Request: r, Backend: e.byNumber[act.Backend], engine: e, index: len(r.attempts), sent: now}
	a.Effect, _ = e.Effect(r.Class)
	if act.SendDeadline > 0 && a.Effect == policy.Keyed {
		a.WriteDeadline = time.Now().Add(act.SendDeadline - now)
	}
	a.Timeout = min(act.Wait, r.deadline-now)
	if act.Wait <= 0 {
		a.Timeout = r.deadline - now
	}
	ctx, cancel := context.WithCancel(e.ctx)
	a.cancel = cancel
	r.attempts = append(r.attempts, a)
	r.openAttempts++
	if e.sites != nil {
		e.sites.RecordSend(now, act.Backend)
		if e.fleetState != nil && a.Backend != nil && e.sites.Node.IsOverflow(a.Backend.Zone) {
			e.fleetState.CountOverflow(a.Backend.Zone)
		}
	}
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		defer cancel()
		res := Result{Outcome: policy.NeverSent}
		if a.Backend == nil {
			a.Backend = &Backend{Number: act.Backend} // unknown backend: never sent
		} else {
			res = e.carrier.Carry(ctx, a)
		}
		e.handleResult(a, res)
	}()
}
