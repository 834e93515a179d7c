package message

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
	"craneglade/internal/engine"
	"craneglade/internal/settings"
)

// Store holds the bodies of this node's requests.
type Store struct {
	classes  map[string]bodies.Class
	usual    bodies.Class
	spool    *bodies.Spool // nil without a disk
	deadline time.Duration
	Answer   int64 // the largest body of an answer; beyond the usual size it is streamed
	clock    engine.Clock

	mu     sync.Mutex
	budget *bodies.Budget
	door   bodies.Breaker
}

// NewStore returns the store of a node with so many megabytes of memory, 0 for any number, and settings of our own, which
// may be nil. An error is one of the folder that they name.
func NewStore(memoryMB int, own *settings.Bodies, clock engine.Clock) (*Store, error) {
	s := &Store{classes: map[string]bodies.Class{}, usual: bodies.Class{MaxSize: MaxBody, MaxInMemory: MaxBody}, Answer: MaxBody,
		clock: clock}
	limits := bodies.Limits{Memory: 1 << 40, Heads: 1 << 40}
	if memoryMB > 0 {
		limits.Memory = int64(memoryMB) << 20 / 4
		limits.Heads = limits.Memory / 2
	}
	if own != nil {
		if own.Memory > 0 {
			limits.Memory = int64(own.Memory)
		}
		s.Answer = max(s.Answer, int64(own.MaxAnswer))
		for _, c := range own.Classes {
			s.classes[c.Name] = bodies.Class{MaxSize: int64(c.MaxSize), MaxInMemory: int64(c.MaxInMemory), AllowDisk: c.AllowDisk, AllowStream: c.AllowStream}
		}
		if d := own.Disk; d.Folder != "" {
			dir, err := bodies.NewDir(d.Folder)
			if err != nil {
				return nil, err
			}
			s.UseDisk(dir, d)
			limits.Disk = int64(d.Total)
		}
	}
	s.budget = bodies.NewBudget(limits)
	return s, nil
}

// UseDisk has bodies kept in a folder, with the workers and the time for each call that d names.
func (s *Store) UseDisk(files bodies.FS, d settings.Disk) {
	s.spool, s.deadline = bodies.NewSpool(files, d.Workers), d.Deadline.D()
}

// SetLimits replaces what all bodies together may hold. Only for a store that holds none.
func (s *Store) SetLimits(l bodies.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget = bodies.NewBudget(l)
}

// Used is what the bodies in a tier hold, in bytes.
func (s *Store) Used(t bodies.Tier) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Used(t)
}

// Placed is how many bodies a tier was given.
func (s *Store) Placed(t bodies.Tier) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Placed(t)
}

// Hold takes room in memory for size bytes that are no body, and tells whether there is any. Free gives it back.
func (s *Store) Hold(size int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.ReserveHead(size)
}

// Free gives back what Hold took.
func (s *Store) Free(size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.ReleaseHead(size)
}

// Held is what heads and answers hold in memory, in bytes.
func (s *Store) Held() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.HeadBytes()
}

// Stop ends the workers. A call that hangs in the file system outlives it.
func (s *Store) Stop() {
	if s.spool != nil {
		s.spool.Close()
	}
}

func (s *Store) class(name string) bodies.Class {
	if c, ok := s.classes[name]; ok {
		return c
	}
	return s.usual
}

// place takes room for a body. The disk is not tried while its door is closed.
func (s *Store) place(c bodies.Class, size int64) (bodies.Tier, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.SetDiskDisabled(s.spool == nil)
	tier, err := s.budget.Place(c, size)
	if tier == bodies.Disk && !s.door.Allow(s.clock.Now()) {
		tier, err = s.budget.FallBack(c, size)
	}
	return tier, err
}

// fall gives a body that the disk did not take to the next tier.
func (s *Store) fall(c bodies.Class, size int64) (bodies.Tier, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.door.Record(s.clock.Now(), false)
	return s.budget.FallBack(c, size)
}

// Body is a request's body.
type Body struct {
	store *Store
	Tier  bodies.Tier
	size  int64
	held  bool // room was taken for it

	Memory []byte              // the whole of it, where it is held there
	kept   *bodies.SpooledBody // on disk; with Once, what had been written when the disk failed

	// Once: the rest of it, behind what is kept.
	ahead   []byte // read from the client already
	client  io.Reader
	Begun   atomic.Bool   // an attempt has begun to send it
	Drained chan struct{} // closed when all of it was read from the client
}

// Free gives back what a body holds. It may be called again, and of none.
func (p *Body) Free() {
	if p == nil || !p.held {
		return
	}
	p.held = false
	if p.kept != nil {
		p.kept.Close()
	}
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	p.store.budget.Free(p.Tier, p.size)
}

// Read reads a body from its client into the tier that has room for it; a body that is not kept stays with the client
// until an attempt sends it.
func (s *Store) Read(ctx context.Context, class string, in *http.Request) (*Body, *Rejection) {
	c, size := s.class(class), in.ContentLength
	tier, err := s.place(c, size)
	if err != nil {
		return nil, turnedAway(size > c.MaxSize, err)
	}
	p := &Body{store: s, Tier: tier, size: size, held: true}
	switch tier {
	case bodies.Memory:
		p.Memory = make([]byte, size)
		if _, err := io.ReadFull(in.Body, p.Memory); err != nil {
			p.Free()
			return nil, CutShort(err)
		}
	case bodies.Disk:
		if no := p.spill(ctx, c, in.Body); no != nil {
			p.Free()
			return nil, no
		}
	case bodies.Streamed:
		p.stream(in.Body)
	}
	return p, nil
}

// turnedAway is the answer to a request whose body has no place. Nothing of it was sent: refusing it is harmless,
// whatever its class.
func turnedAway(tooLarge bool, err error) *Rejection {
	if tooLarge {
		return &Rejection{Status: http.StatusRequestEntityTooLarge, Text: "Content-Length: " + err.Error()}
	}
	return &Rejection{Status: http.StatusServiceUnavailable, Text: err.Error(), RetryAfter: 250 * time.Millisecond}
}

// CutShort is the answer to a body that did not come whole.
func CutShort(err error) *Rejection {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &Rejection{Status: http.StatusRequestTimeout, Text: "the body did not come in time"}
	}
	return &Rejection{Status: http.StatusBadRequest, Text: "body: " + err.Error()} // what came is not what the client meant
}

func (p *Body) stream(client io.Reader) {
	p.client, p.Drained = client, make(chan struct{})
}

// spill writes a body to disk as it comes. Where the disk fails, what is there already and the rest go to the next tier.
func (p *Body) spill(ctx context.Context, c bodies.Class, client io.Reader) *Rejection {
	s := p.store
	var chunk []byte // read, and not written
	err := s.call(ctx, func(ctx context.Context) (err error) {
		p.kept, err = s.spool.Create(ctx, p.size)
		return err
	})
	for left := p.size; err == nil && left > 0; left -= int64(len(chunk)) {
		chunk = make([]byte, min(left, chunkSize)) // a new one: a call that hangs goes on reading the last
		if _, err := io.ReadFull(client, chunk); err != nil {
			s.settled(true)
			return CutShort(err)
		}
		err = s.call(ctx, func(ctx context.Context) error { return p.kept.Append(ctx, chunk) })
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
	p.Tier, p.ahead = tier, chunk
	p.stream(client)
	return nil
}

// call gives a call to the disk the time that it may take.
func (s *Store) call(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, s.deadline)
	defer cancel()
	return f(ctx)
}

// settled notes that a body's way to the disk has ended without its fault.
func (s *Store) settled(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.door.Record(s.clock.Now(), ok)
}

var (
	// ErrBody is a body that was kept and can't be read back, ErrClient one that its client did not send whole: neither
	// is the box's doing.
	ErrBody   = errors.New("the body can't be read back")
	ErrClient = errors.New("the client's body did not come")
)

// Send writes a body that is not in memory. An error that wraps ErrBody or ErrClient is not the backend's doing; after
// any error the last byte was not written.
func (p *Body) Send(ctx context.Context, to net.Conn) error {
	if p.kept != nil {
		for off := int64(0); off < p.kept.Size(); {
			chunk := make([]byte, min(chunkSize, p.kept.Size()-off))
			call, cancel := context.WithTimeout(ctx, p.store.deadline)
			err := p.kept.ReadAt(call, chunk, off)
			cancel()
			if err != nil {
				return fmt.Errorf("%w: %w", ErrBody, err)
			}
			if _, err := to.Write(chunk); err != nil {
				return err
			}
			off += int64(len(chunk))
		}
	}
	if p.Tier != bodies.Streamed {
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
			close(p.Drained) // before its last byte goes out: what answers it finds the client's connection free
		}
		if n > 0 {
			if _, err := to.Write(chunk[:n]); err != nil {
				return err
			}
		}
		if err != nil && left > 0 {
			return fmt.Errorf("%w: %w", ErrClient, err)
		}
	}
	return nil
}

// IsDrained tells whether all of a body that is not kept was read from its client, so that the next request can be.
func (p *Body) IsDrained() bool {
	if p == nil || p.Drained == nil {
		return true
	}
	select {
	case <-p.Drained:
		return true
	default:
		return false
	}
}
