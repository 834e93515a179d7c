// Package controlnet connects the processes of the control plane: it drives the state machines of subscribers and publishers
// over encrypted sessions, and runs the control plane's own processes.
//
// Process drives the state machines under one lock, which is never held during I/O. One goroutine steps them and performs
// their actions; each session has one goroutine that reads and one that writes from a bounded queue. All of them end with
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

// Times and limits of sessions.
const (
	dialTimeout       = 2 * time.Second
	handshakeTimeout  = 3 * time.Second
	readTimeout       = 30 * time.Second // much longer than the silence after which a subscriber abandons a parent
	writeTimeout      = 5 * time.Second
	sessionQueueBytes = 2 << 20 // queued for one session
	minStepDelay      = time.Millisecond
	maxStepDelay      = time.Second
)

// Config configures a Process.
type Config struct {
	Name           string
	Keys           [][]byte
	Cluster        string
	BytesPerSecond int // limit of sending to parents, 0 for none; the publisher limits sending to subscribers
	MaxSubscribers int
	StaleAfter     time.Duration                         // updates after a longer silence of all parents are marked Late
	Subscribers    []*subscriber.Subscriber              // one for each set of parents
	Publisher      *publisher.Publisher                  // nil for a process without subscribers
	ServeMember    func(context.Context, *session) error // runs the session of a process with the role of a member; nil to reject it
	Applied        func(Update)                          // called from one goroutine, in order; nil for a process that only forwards
	Clock          func() time.Duration                  // never steps back
	Log            *slog.Logger
}

// Update is a delta or a snapshot that a subscriber has applied and that the process has to put into effect.
type Update struct {
	subscriber.Applied
	Late bool // it may have been published a while ago, because all parents were silent before
}

// LimitsFor returns the limits of a subscriber that abandons a parent after parentTimeout without a message. All other times
// of the default limits are scaled in proportion, except for the connect timeout.
func LimitsFor(parentTimeout time.Duration) subscriber.Limits {
	l := subscriber.DefaultLimits()
	factor := parentTimeout.Seconds() / l.SilenceTimeout.Seconds()
	for _, d := range []*time.Duration{&l.SilenceTimeout, &l.MaxLag, &l.CatchUpTimeout, &l.StaleAfter, &l.ReturnAfter, &l.BackoffBase, &l.BackoffLimit, &l.AcknowledgeInterval, &l.WentBackAfter} {
		*d = time.Duration(d.Seconds() * factor * float64(time.Second))
	}
	l.RetriesPerSecond /= factor
	return l
}

// Process drives the subscribers and the publisher of one process.
type Process struct {
	cfg      Config
	frames   frame.Config
	counters counters
	warnings *logThrottle
	pacer    *pacer
	wake     chan struct{}
	sessions sync.WaitGroup

	mu          sync.Mutex // guards the state machines and the fields below; never held during I/O
	upstreams   []*upstream
	downstreams map[publisher.SessionID]*session
	lastID      publisher.SessionID
}

// upstream is one subscriber with its connections.
type upstream struct {
	subscriber *subscriber.Subscriber
	staleAfter time.Duration
	links      map[string]*link // by the name of the parent
	receivedAt time.Duration
	lateUntil  time.Duration
}

// link is one connection to a parent, from the dial on.
type link struct {
	parent  string
	cancel  context.CancelFunc
	session *session // nil until it is established
}

// NewProcess returns a process that Run starts.
func NewProcess(cfg Config) *Process {
	p := &Process{
		cfg: cfg,
		frames: frame.Config{Keys: cfg.Keys, Cluster: cfg.Cluster, Handshake: handshakeTimeout, ReadTimeout: readTimeout,
			WriteTimeout: writeTimeout},
		warnings:    newLogThrottle(cfg.Log, cfg.Clock),
		pacer:       newPacer(cfg.BytesPerSecond, cfg.Clock()),
		wake:        make(chan struct{}, 1),
		downstreams: map[publisher.SessionID]*session{},
	}
	for _, s := range cfg.Subscribers {
		p.upstreams = append(p.upstreams, &upstream{subscriber: s, staleAfter: cfg.StaleAfter, links: map[string]*link{}, receivedAt: cfg.Clock()})
	}
	return p
}

// Run drives the process until ctx ends, and returns once all of its goroutines have ended. It accepts connections on ln and
// closes it; ln is nil for a process without subscribers.
func (p *Process) Run(ctx context.Context, ln net.Listener) {
	var background sync.WaitGroup
	if ln != nil {
		background.Go(func() { p.accept(ctx, ln) })
	}
	p.drive(ctx)
	background.Wait()
	p.sessions.Wait()
}

// drive steps the state machines when it is woken and when their next timer is due.
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

// Wake requests a step of the state machines.
func (p *Process) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Do calls f under the lock of the state machines and their stores, and requests a step. f must not block.
func (p *Process) Do(f func()) {
	p.mu.Lock()
	f()
	p.mu.Unlock()
	p.Wake()
}

// work is the result of one step, to be carried out without the lock.
type work struct {
	closing []*link
	dialing []dial
	updates []Update
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

// step steps the state machines once, performs their actions, and returns the time until the next step.
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
	// Updates take effect before they are acknowledged.
	for _, n := range w.updates {
		if p.cfg.Applied != nil {
			p.cfg.Applied(n)
		}
	}
	deliver(w.sending)
	return next
}

// deliver queues messages. Consecutive deliveries of the same message encode it once.
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

// collect steps the state machines under the lock, and returns their actions and the time until the next step.
func (p *Process) collect(ctx context.Context) (w work, next time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock()
	next = now + maxStepDelay
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
	return w, max(next-now, minStepDelay)
}

// collect steps one subscriber and adds its actions to w.
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
		if previous := u.links[candidate.Name]; previous != nil {
			w.closing = append(w.closing, previous)
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
		w.updates = append(w.updates, Update{a, now < u.lateUntil})
	}
	for _, n := range u.subscriber.Notes() {
		w.notes = append(w.notes, n)
	}
}

// connect opens a session to a parent and runs it until it ends.
func (p *Process) connect(d dial) {
	defer d.link.cancel()
	s, err := p.dial(d.ctx, d.candidate, roleSubscriber)
	if err == nil {
		err = p.runUpstream(d, s)
	}
	p.Do(func() {
		if d.upstream.links[d.link.parent] == d.link { // otherwise the subscriber has closed or replaced the link itself
			delete(d.upstream.links, d.link.parent)
			d.upstream.subscriber.Disconnected(p.cfg.Clock(), d.link.parent)
		}
	})
	p.cfg.Log.Debug("parent session ended", "parent", d.link.parent, "err", err)
}

// dial opens a session to another process in the given role.
func (p *Process) dial(ctx context.Context, candidate parents.Candidate, ownRole role) (*session, error) {
	address, err := netip.ParseAddrPort(candidate.Address) // host names are not resolved
	if err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() }) // interrupts the handshake when ctx ends
	defer stop()
	framed, err := frame.Dial(conn, p.frames)
	if err != nil {
		return nil, err
	}
	s, err := exchangeGreetings(framed, p, ownRole, p.pacer)
	if err == nil && s.peer != candidate.Name {
		err = fmt.Errorf("%s is %q, expected %q", candidate.Address, s.peer, candidate.Name)
		p.warnings.warn("peer name differs from the configured name", "address", candidate.Address, "name", s.peer, "want", candidate.Name)
	}
	if err != nil {
		return nil, errors.Join(err, framed.Close())
	}
	return s, nil
}

// runUpstream passes the messages of a parent to the subscriber until the session ends.
func (p *Process) runUpstream(d dial, s *session) error {
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
			u.noteReceived(now)
			if r.partial {
				u.subscriber.MarkSkipped(now, d.link.parent)
			}
			// The subscriber records the error in its notes.
			_ = u.subscriber.Receive(now, d.link.parent, r.message)
		})
	}, p.warnUnreadable(s))
}

// noteReceived records the time of a message from any parent. After a silence of more than staleAfter, updates count as late
// for staleAfter.
func (u *upstream) noteReceived(now time.Duration) {
	if now-u.receivedAt > u.staleAfter {
		u.lateUntil = now + u.staleAfter
	}
	u.receivedAt = now
}

// warnUnreadable returns a function that logs a message that could not be decoded.
func (p *Process) warnUnreadable(s *session) func(error) {
	return func(err error) {
		p.warnings.warn("a message that can't be read was dropped", "from", s.peer, "err", err)
	}
}

// Status is the state of a process.
type Status struct {
	Parents     []subscriber.Status
	Subscribers []publisher.SubscriberStatus
	Names       map[publisher.SessionID]string // the subscribers' process names
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

// Region returns the state of the replica of a region. ok is false if no subscriber follows the region.
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
