// Package controlnet carries the control plane between processes: it drives the state machines of a subscriber and of a
// publisher over sealed sessions, and runs the processes of the control plane itself.
//
// Process drives the state machines under one lock, which is never held during I/O. One goroutine steps them and does what
// they ask for; each session has one goroutine that reads and one that writes from a bounded queue. All of them end with
// the context of Run.
package controlnet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/parents"
	"craneglade/internal/controlplane/publisher"
	"craneglade/internal/controlplane/subscriber"
	"craneglade/internal/peers/frame"
)

// Times and bounds of sessions.
const (
	dialTimeout      = 2 * time.Second
	handshakeTimeout = 3 * time.Second
	readTimeout      = 30 * time.Second // far more than the silence after which a subscriber gives a parent up
	writeTimeout     = 5 * time.Second
	queueBytes       = 2 << 20 // that wait for one session
	minStep          = time.Millisecond
	maxStep          = time.Second
)

// Config is what a Process is made from.
type Config struct {
	Name           string
	Keys           [][]byte
	Cluster        string
	BytesPerSecond int // that it sends to parents; 0 for no limit. What it sends to subscribers is its publisher's matter
	MaxSubscribers int
	StaleAfter     time.Duration                         // nothing came from any parent for so long: what comes then may have been told a while ago
	Subscribers    []*subscriber.Subscriber              // one for each set of parents
	Publisher      *publisher.Publisher                  // nil for a process that serves nobody
	ServeMember    func(context.Context, *session) error // carries the session of a process that says it is a member; nil for none
	Applied        func(Update)                          // called from one goroutine, in order; nil for a process that only passes on
	Clock          func() time.Duration                  // never steps back
	Log            *slog.Logger
}

// Update is what a subscriber has applied, and is to be brought into force.
type Update struct {
	subscriber.Applied
	Late bool // it may have been told a while ago, as nothing was heard before
}

// LimitsFor are the limits of a subscriber that gives a parent up after so long a silence. All its other times are in
// proportion, but for how long a connection may take to come up.
func LimitsFor(silence time.Duration) subscriber.Limits {
	l := subscriber.DefaultLimits()
	factor := silence.Seconds() / l.Silence.Seconds()
	for _, d := range []*time.Duration{&l.Silence, &l.Lag, &l.CatchUp, &l.Stale, &l.ReturnAfter, &l.BackoffBase, &l.BackoffLimit, &l.Acknowledge, &l.WentBack} {
		*d = time.Duration(d.Seconds() * factor * float64(time.Second))
	}
	l.RetryPerSec /= factor
	return l
}

// Process carries the subscribers and the publisher of one process.
type Process struct {
	cfg      Config
	frames   frame.Config
	counters counters
	warnings *throttle
	pacer    *pacer
	wake     chan struct{}
	sessions sync.WaitGroup

	mu          sync.Mutex // guards the state machines and what follows; never held during I/O
	upstreams   []*upstream
	downstreams map[publisher.SessionID]*session
	lastID      publisher.SessionID
}

// upstream is one subscriber with its connections.
type upstream struct {
	subscriber *subscriber.Subscriber
	staleAfter time.Duration
	links      map[string]*link // by the name of the parent
	heardAt    time.Duration
	staleUntil time.Duration
}

// link is one connection to a parent, from the dial on.
type link struct {
	parent  string
	cancel  context.CancelFunc
	session *session // nil until it stands
}

// NewProcess returns a process that does nothing yet.
func NewProcess(cfg Config) *Process {
	p := &Process{
		cfg: cfg,
		frames: frame.Config{Keys: cfg.Keys, Cluster: cfg.Cluster, Handshake: handshakeTimeout, ReadTimeout: readTimeout,
			WriteTimeout: writeTimeout},
		warnings:    newThrottle(cfg.Log, cfg.Clock),
		pacer:       newPacer(cfg.BytesPerSecond, cfg.Clock()),
		wake:        make(chan struct{}, 1),
		downstreams: map[publisher.SessionID]*session{},
	}
	for _, s := range cfg.Subscribers {
		p.upstreams = append(p.upstreams, &upstream{subscriber: s, staleAfter: cfg.StaleAfter, links: map[string]*link{}, heardAt: cfg.Clock()})
	}
	return p
}

// Run drives the process until ctx ends, and returns once all of its goroutines have ended. Subscribers are accepted on ln,
// which it closes; ln is nil for a process that serves nobody.
func (p *Process) Run(ctx context.Context, ln net.Listener) {
	var own sync.WaitGroup
	if ln != nil {
		own.Go(func() { p.accept(ctx, ln) })
	}
	p.drive(ctx)
	own.Wait()
	p.sessions.Wait()
}

// drive steps the state machines whenever there is something new or time has come.
func (p *Process) drive(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-timer.C:
		}
		timer.Reset(p.step(ctx))
	}
}

// Wake has the state machines stepped soon, after a change from outside under Do.
func (p *Process) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Do calls f with the state machines and their stores at rest, and has them stepped. f must not wait.
func (p *Process) Do(f func()) {
	p.mu.Lock()
	f()
	p.mu.Unlock()
	p.Wake()
}

// work is what one step asks for, to be done without the lock.
type work struct {
	closing []*link
	dialing []dial
	news    []Update
	sending []delivery
	notes   []fmt.Stringer
}

type dial struct {
	ctx       context.Context
	upstream  *upstream
	link      *link
	candidate parents.Candidate
}

type delivery struct {
	session *session
	message message.Message
}

// step steps the state machines once, does what they ask for, and returns after how long they are to be stepped again.
func (p *Process) step(ctx context.Context) time.Duration {
	w, next := p.collect(ctx)
	for _, n := range w.notes {
		p.cfg.Log.Info(n.String())
	}
	for _, l := range w.closing {
		l.cancel()
	}
	for _, d := range w.dialing {
		p.sessions.Go(func() { p.connect(d) })
	}
	// What is applied is brought into force before it is acknowledged.
	for _, n := range w.news {
		if p.cfg.Applied != nil {
			p.cfg.Applied(n)
		}
	}
	deliver(w.sending)
	return next
}

// deliver queues messages. One that goes to many sessions, one after the other, is encoded once.
func deliver(all []delivery) {
	var last message.Message
	var encoded []byte
	for _, d := range all {
		if d.message != last {
			last, encoded = d.message, message.Encode(d.message)
		}
		d.session.send(encoded)
	}
}

// collect steps the state machines under the lock.
func (p *Process) collect(ctx context.Context) (w work, next time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock()
	next = now + maxStep
	for _, u := range p.upstreams {
		u.collect(ctx, now, &w)
		next = min(next, u.subscriber.Next(now))
	}
	if p.cfg.Publisher != nil {
		for _, o := range p.cfg.Publisher.Step(now) {
			if s := p.downstreams[o.Session]; s != nil {
				w.sending = append(w.sending, delivery{s, o.Message})
			}
		}
		next = min(next, p.cfg.Publisher.Next(now))
	}
	return w, max(next-now, minStep)
}

func (u *upstream) collect(ctx context.Context, now time.Duration, w *work) {
	actions := u.subscriber.Step(now)
	for _, parent := range actions.Close {
		if l := u.links[parent]; l != nil {
			delete(u.links, parent)
			w.closing = append(w.closing, l)
		}
	}
	for _, candidate := range actions.Connect {
		dialCtx, cancel := context.WithCancel(ctx)
		l := &link{parent: candidate.Name, cancel: cancel}
		if former := u.links[candidate.Name]; former != nil {
			w.closing = append(w.closing, former)
		}
		u.links[candidate.Name] = l
		w.dialing = append(w.dialing, dial{dialCtx, u, l, candidate})
	}
	for _, o := range actions.Send {
		if l := u.links[o.Parent]; l != nil && l.session != nil {
			w.sending = append(w.sending, delivery{l.session, o.Message})
		}
	}
	for _, a := range actions.Applied {
		w.news = append(w.news, Update{a, now < u.staleUntil})
	}
	for _, n := range u.subscriber.Notes() {
		w.notes = append(w.notes, n)
	}
}

// connect opens a session to a parent and carries it until it ends.
func (p *Process) connect(d dial) {
	defer d.link.cancel()
	s, err := p.dial(d.ctx, d.candidate, asSubscriber)
	if err == nil {
		err = p.carryUp(d, s)
	}
	p.Do(func() {
		if d.upstream.links[d.link.parent] == d.link { // else the subscriber itself has closed it
			delete(d.upstream.links, d.link.parent)
			d.upstream.subscriber.Disconnected(p.cfg.Clock(), d.link.parent)
		}
	})
	p.cfg.Log.Debug("a session with a parent has ended", "parent", d.link.parent, "err", err)
}

// dial opens a session to another process, as what this one is to it.
func (p *Process) dial(ctx context.Context, candidate parents.Candidate, own role) (*session, error) {
	address, err := netip.ParseAddrPort(candidate.Address) // no name is ever looked up
	if err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() }) // a handshake ends with the link, too
	defer stop()
	framed, err := frame.Dial(conn, p.frames)
	if err != nil {
		return nil, err
	}
	s, err := greet(framed, p, own, p.pacer)
	if err == nil && s.peer != candidate.Name {
		err = fmt.Errorf("%s is %q and not %q", candidate.Address, s.peer, candidate.Name)
		p.warnings.warn("a process has another name than the settings say", "address", candidate.Address, "name", s.peer, "want", candidate.Name)
	}
	if err != nil {
		return nil, errors.Join(err, framed.Close())
	}
	return s, nil
}

// carryUp hands what a parent says to the subscriber until the session ends.
func (p *Process) carryUp(d dial, s *session) error {
	u := d.upstream
	current := false
	p.Do(func() {
		if current = u.links[d.link.parent] == d.link; current {
			d.link.session = s
			u.subscriber.Connected(p.cfg.Clock(), d.link.parent)
		}
	})
	if !current {
		return s.conn.Close()
	}
	return s.run(d.ctx, func(r received) {
		p.Do(func() {
			if u.links[d.link.parent] != d.link {
				return
			}
			now := p.cfg.Clock()
			u.heard(now)
			if r.partial {
				u.subscriber.Skipped(now, d.link.parent)
			}
			// What is wrong with a message was noted by the subscriber.
			_ = u.subscriber.Receive(now, d.link.parent, r.message)
		})
	}, p.unreadable(s))
}

// heard notes when something came from any parent.
func (u *upstream) heard(now time.Duration) {
	if now-u.heardAt > u.staleAfter {
		u.staleUntil = now + u.staleAfter
	}
	u.heardAt = now
}

// unreadable returns what is done with what can't be read as a message.
func (p *Process) unreadable(s *session) func(error) {
	return func(err error) {
		p.warnings.warn("a message that can't be read was dropped", "from", s.peer, "err", err)
	}
}

// Status is the state of a process.
type Status struct {
	Parents     []subscriber.Status
	Subscribers []publisher.SubscriberStatus
	Names       map[publisher.SessionID]string // of subscribers
	Counts      Counts
}

// Status reports the state of the process.
func (p *Process) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock()
	status := Status{Names: map[publisher.SessionID]string{}, Counts: p.counters.counts()}
	for _, u := range p.upstreams {
		status.Parents = append(status.Parents, u.subscriber.Status(now))
		for _, l := range u.links {
			status.Counts.add(l.session)
		}
	}
	for id, s := range p.downstreams {
		status.Names[id] = s.peer
		status.Counts.add(s)
	}
	if p.cfg.Publisher != nil {
		status.Subscribers = p.cfg.Publisher.Subscribers()
	}
	return status
}

// Region returns the state of the replica of a region. ok is false where no subscriber follows it.
func (s *Status) Region(name string) (status subscriber.RegionStatus, ok bool) {
	for _, parents := range s.Parents {
		for _, r := range parents.Regions {
			if r.Region == name {
				return r, true
			}
		}
	}
	return subscriber.RegionStatus{}, false
}
