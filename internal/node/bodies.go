package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"craneglade/internal/bodies"
	"craneglade/internal/settings"
	"craneglade/policy"
)

const (
	chunkSize = 32 << 10
	bodyRate  = 1 << 20 // bytes a second that a body beyond the usual size has to come at
)

// bodyStore holds the bodies of this node's requests.
type bodyStore struct {
	classes  map[string]bodies.Class
	usual    bodies.Class
	spool    *bodies.Spool // nil without a disk
	deadline time.Duration
	answer   int64 // the largest body of an answer; beyond the usual size it is streamed
	clock    clock

	mu     sync.Mutex
	budget *bodies.Budget
	door   bodies.Door
}

func newBodyStore(cfg Config, clock clock) (*bodyStore, error) {
	s := &bodyStore{classes: map[string]bodies.Class{}, usual: bodies.Class{Most: maxBody, Memory: maxBody}, answer: maxBody,
		clock: clock}
	limits := bodies.Limits{Memory: 1 << 40}
	if cfg.MemoryMB > 0 {
		limits.Memory = int64(cfg.MemoryMB) << 20 / 4
	}
	if own := cfg.Own; own != nil {
		if own.Bodies.Memory > 0 {
			limits.Memory = int64(own.Bodies.Memory)
		}
		s.answer = max(s.answer, int64(own.Bodies.Answer))
		for _, c := range own.Bodies.Classes {
			s.classes[c.Name] = bodies.Class{Most: int64(c.Most), Memory: int64(c.Memory), Disk: c.Disk, Once: c.Once}
		}
		if d := own.Bodies.Disk; d.Folder != "" {
			dir, err := bodies.NewDir(d.Folder)
			if err != nil {
				return nil, err
			}
			s.useDisk(dir, d)
			limits.Disk = int64(d.Total)
		}
	}
	s.budget = bodies.NewBudget(limits)
	return s, nil
}

func (s *bodyStore) useDisk(files bodies.FS, d settings.Disk) {
	s.spool, s.deadline = bodies.NewSpool(files, d.Workers), d.Deadline.D()
}

// stop ends the workers. A call that hangs in the file system outlives it.
func (s *bodyStore) stop() {
	if s.spool != nil {
		s.spool.Close()
	}
}

func (s *bodyStore) class(name string) bodies.Class {
	if c, ok := s.classes[name]; ok {
		return c
	}
	return s.usual
}

// place takes room for a body. The disk is not tried while its door is closed.
func (s *bodyStore) place(c bodies.Class, size int64) (bodies.Tier, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Shut(s.spool == nil)
	tier, err := s.budget.Place(c, size)
	if tier == bodies.Disk && !s.door.Open(s.clock.now()) {
		tier, err = s.budget.Fall(c, size)
	}
	return tier, err
}

// fall gives a body that the disk did not take to the next tier.
func (s *bodyStore) fall(c bodies.Class, size int64) (bodies.Tier, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.door.Done(s.clock.now(), false)
	return s.budget.Fall(c, size)
}

// payload is a request's body. The zero value is none.
type payload struct {
	store *bodyStore
	tier  bodies.Tier
	size  int64
	held  bool // room was taken for it

	memory []byte
	kept   *bodies.Kept // on disk; with Once, what had been written when the disk failed

	// Once: the rest of it, behind what is kept.
	ahead   []byte // read from the client already
	client  io.Reader
	begun   atomic.Bool   // an attempt has begun to send it
	drained chan struct{} // closed when all of it was read from the client
}

// free gives back what a body holds. It may be called again.
func (p *payload) free() {
	if p == nil || !p.held {
		return
	}
	p.held = false
	if p.kept != nil {
		p.kept.Close()
	}
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	p.store.budget.Free(p.tier, p.size)
}

// read reads a body from its client into the tier that has room for it; a body that is not kept stays with the client
// until an attempt sends it.
func (s *bodyStore) read(ctx context.Context, class string, in *http.Request) (*payload, *rejection) {
	c, size := s.class(class), in.ContentLength
	tier, err := s.place(c, size)
	if err != nil {
		return nil, turnedAway(size > c.Most, err)
	}
	p := &payload{store: s, tier: tier, size: size, held: true}
	switch tier {
	case bodies.Memory:
		p.memory = make([]byte, size)
		if _, err := io.ReadFull(in.Body, p.memory); err != nil {
			p.free()
			return nil, cutShort(err)
		}
	case bodies.Disk:
		if no := p.spill(ctx, c, in.Body); no != nil {
			p.free()
			return nil, no
		}
	case bodies.Once:
		p.stream(in.Body)
	}
	return p, nil
}

// turnedAway is the answer to a request whose body has no place. Nothing of it was sent: refusing it is harmless,
// whatever its class.
func turnedAway(tooLarge bool, err error) *rejection {
	if tooLarge {
		return &rejection{status: http.StatusRequestEntityTooLarge, text: "Content-Length: " + err.Error()}
	}
	return &rejection{status: http.StatusServiceUnavailable, text: err.Error(), retryAfter: 250 * time.Millisecond}
}

// cutShort is the answer to a body that did not come whole.
func cutShort(err error) *rejection {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &rejection{status: http.StatusRequestTimeout, text: "the body did not come in time"}
	}
	return &rejection{status: http.StatusBadRequest, text: "body: " + err.Error()} // what came is not what the client meant
}

func (p *payload) stream(client io.Reader) {
	p.client, p.drained = client, make(chan struct{})
}

// spill writes a body to disk as it comes. Where the disk fails, what is there already and the rest go to the next tier.
func (p *payload) spill(ctx context.Context, c bodies.Class, client io.Reader) *rejection {
	s := p.store
	call := func(f func(context.Context) error) error {
		ctx, cancel := context.WithTimeout(ctx, s.deadline)
		defer cancel()
		return f(ctx)
	}
	var chunk []byte // read, and not written
	err := call(func(ctx context.Context) (err error) {
		p.kept, err = s.spool.Begin(ctx, p.size)
		return err
	})
	for left := p.size; err == nil && left > 0; left -= int64(len(chunk)) {
		chunk = make([]byte, min(left, chunkSize)) // a new one: a call that hangs goes on reading the last
		if _, err := io.ReadFull(client, chunk); err != nil {
			s.settled(true)
			return cutShort(err)
		}
		err = call(func(ctx context.Context) error { return p.kept.Append(ctx, chunk) })
	}
	if err == nil {
		s.settled(true)
		return nil
	}
	tier, none := s.fall(c, p.size)
	if none != nil {
		p.held = false // given back by fall
		if p.kept != nil {
			p.kept.Close()
		}
		return turnedAway(false, fmt.Errorf("%w: %w", none, err))
	}
	p.tier, p.ahead = tier, chunk
	p.stream(client)
	return nil
}

// settled notes that a body's way to the disk has ended without its fault.
func (s *bodyStore) settled(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.door.Done(s.clock.now(), ok)
}

var (
	errBody   = errors.New("the body can't be read back")
	errClient = errors.New("the client's body did not come")
)

// send writes a body that is not in memory. An error that wraps errBody or errClient is not the backend's doing; after
// any error the last byte was not written.
func (p *payload) send(ctx context.Context, to net.Conn) error {
	if p.kept != nil {
		for off := int64(0); off < p.kept.Size(); {
			chunk := make([]byte, min(chunkSize, p.kept.Size()-off))
			call, cancel := context.WithTimeout(ctx, p.store.deadline)
			err := p.kept.ReadAt(call, chunk, off)
			cancel()
			if err != nil {
				return fmt.Errorf("%w: %w", errBody, err)
			}
			if _, err := to.Write(chunk); err != nil {
				return err
			}
			off += int64(len(chunk))
		}
	}
	if p.tier != bodies.Once {
		return nil
	}
	if len(p.ahead) > 0 {
		if _, err := to.Write(p.ahead); err != nil {
			return err
		}
	}
	chunk := make([]byte, chunkSize)
	left := p.size - int64(len(p.ahead))
	if p.kept != nil {
		left -= p.kept.Size()
	}
	for left > 0 {
		n, err := p.client.Read(chunk[:min(left, chunkSize)])
		left -= int64(n)
		if left == 0 {
			close(p.drained) // before its last byte goes out: what answers it finds the client's connection free
		}
		if n > 0 {
			if _, err := to.Write(chunk[:n]); err != nil {
				return err
			}
		}
		if err != nil && left > 0 {
			return fmt.Errorf("%w: %w", errClient, err)
		}
	}
	return nil
}

// isDrained tells whether all of a body that is not kept was read from its client, so that the next request can be.
func (p *payload) isDrained() bool {
	if p == nil || p.drained == nil {
		return true
	}
	select {
	case <-p.drained:
		return true
	default:
		return false
	}
}

// flowing is the body of an answer that goes on while it comes.
type flowing struct {
	body  io.Reader
	from  net.Conn
	size  int64
	err   error      // of reading from the backend
	ended chan error // holds one: how it ended
}

// Read reads from the backend, which may not pause for longer than a client may.
func (f *flowing) Read(p []byte) (int, error) {
	f.from.SetReadDeadline(time.Now().Add(writeTime))
	n, err := f.body.Read(p)
	if err != nil && err != io.EOF {
		f.err = err
	}
	return n, err
}

// end tells the attempt how its answer's way to the client ended.
func (f *flowing) end(err error) {
	switch {
	case f.err != nil:
		err = f.err
	case err != nil:
		err = fmt.Errorf("%w: %w", errClient, err)
	}
	f.ended <- err
}

// paced is a client that may not pause for longer than writeTime.
type paced struct{ net.Conn }

func (p paced) Write(b []byte) (int, error) {
	p.SetWriteDeadline(time.Now().Add(writeTime))
	return p.Conn.Write(b)
}

// flow passes on an answer that is too large to be held. Once it has begun the request has its final answer; where that
// breaks off, the client sees it by its length.
func (n *node) flow(ctx context.Context, a *attempt, c *backendConn, resp *http.Response, giveUp func() bool) result {
	res := n.judge(a.backend, resp, nil)
	f := &flowing{body: resp.Body, from: c.Conn, size: resp.ContentLength, ended: make(chan error, 1)}
	res.answer.flow = f
	err := errCanceled
	if n.deliver(a, res.answer) {
		select {
		case err = <-f.ended:
		case <-ctx.Done():
			err = context.Cause(ctx)
		}
	}
	if giveUp() && err == nil && !resp.Close && c.in.Buffered() == 0 && c.SetReadDeadline(time.Time{}) == nil {
		n.pool.put(c)
	} else {
		n.pool.close(c)
	}
	switch {
	case err == nil:
	case errors.Is(err, errClient), errors.Is(err, errCanceled):
		res.outcome = policy.Canceled
	default:
		n.log.Debug("an answer broke off on its way", "backend", a.backend.id, "err", err)
		res.outcome = policy.Reset
	}
	return res
}

// deliver gives a request an answer that is still coming, unless it has one.
func (n *node) deliver(at *attempt, a answer) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := at.request
	if r.answered {
		return false
	}
	r.answered = true
	r.done <- a
	n.handle(n.clock.now(), &policy.Event{Kind: policy.EvBegun, ID: r.id, Attempt: at.index})
	return true
}
