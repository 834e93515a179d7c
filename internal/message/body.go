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

// Store holds the request bodies of this node and accounts for the memory and disk space that requests and answers use.
type Store struct {
	classes      map[string]bodies.Class
	defaultClass bodies.Class
	spool        *bodies.Spool // nil if no disk is configured
	diskTimeout  time.Duration
	MaxAnswer    int64 // largest answer body in bytes; one above MaxBodyBytes is streamed
	clock        engine.Clock

	mu          sync.Mutex
	budget      *bodies.Budget
	diskBreaker bodies.Breaker
}

// NewStore returns the store of a node with memory bytes for bodies, heads and answers, or without a limit if memory is 0. The body
// settings cfg may be nil. It fails if the spool folder that cfg names can't be used.
func NewStore(memory int64, cfg *settings.Bodies, clock engine.Clock) (*Store, error) {
	s := &Store{classes: map[string]bodies.Class{}, defaultClass: bodies.Class{MaxSize: MaxBodyBytes, MaxInMemory: MaxBodyBytes}, MaxAnswer: MaxBodyBytes,
		clock: clock}
	limits := bodies.Limits{Memory: 1 << 40, Heads: 1 << 40}
	if memory > 0 {
		limits.Heads = memory / 3
		limits.Memory = memory - limits.Heads
	}
	if cfg != nil {
		if cfg.Memory > 0 {
			limits.Memory = int64(cfg.Memory)
		}
		s.MaxAnswer = max(s.MaxAnswer, int64(cfg.MaxAnswer))
		for _, c := range cfg.Classes {
			s.classes[c.Name] = bodies.Class{MaxSize: int64(c.MaxSize), MaxInMemory: int64(c.MaxInMemory), AllowDisk: c.AllowDisk, AllowStream: c.AllowStream}
		}
		if d := cfg.Disk; d.Folder != "" {
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

// UseDisk enables spooling of bodies to files, with the number of workers and the timeout of each call from d.
func (s *Store) UseDisk(files bodies.FS, d settings.Disk) {
	s.spool, s.diskTimeout = bodies.NewSpool(files, d.Workers), d.Deadline.D()
}

// SetLimits replaces the limits on the total size of all bodies. The store must be empty.
func (s *Store) SetLimits(l bodies.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget = bodies.NewBudget(l)
}

// Used returns the number of bytes that the bodies in a tier use.
func (s *Store) Used(t bodies.Tier) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Used(t)
}

// Placed returns the number of bodies that were placed in a tier so far.
func (s *Store) Placed(t bodies.Tier) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Placed(t)
}

// Reserve reserves size bytes of memory for a head or an answer and reports whether they were available. Release returns them.
func (s *Store) Reserve(size int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.ReserveHead(size)
}

// Release returns size bytes that Reserve took.
func (s *Store) Release(size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.ReleaseHead(size)
}

// Reserved returns the memory reserved for heads and answers, in bytes.
func (s *Store) Reserved() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.HeadBytes()
}

// Stop ends the disk workers. It does not wait for a call that hangs in the file system.
func (s *Store) Stop() {
	if s.spool != nil {
		s.spool.Close()
	}
}

func (s *Store) class(name string) bodies.Class {
	if c, ok := s.classes[name]; ok {
		return c
	}
	return s.defaultClass
}

// place reserves space for a body in the first tier that has enough. The disk is skipped while its circuit breaker is open.
func (s *Store) place(c bodies.Class, size int64) (bodies.Tier, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.SetDiskDisabled(s.spool == nil)
	tier, err := s.budget.Place(c, size)
	if tier == bodies.Disk && !s.diskBreaker.Allow(s.clock.Now()) {
		tier, err = s.budget.FallBack(c, size)
	}
	return tier, err
}

// placeInNextTier records a disk failure and moves a body that could not be spooled to the next tier.
func (s *Store) placeInNextTier(c bodies.Class, size int64) (bodies.Tier, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.diskBreaker.Record(s.clock.Now(), false)
	return s.budget.FallBack(c, size)
}

// Body is the body of a request.
type Body struct {
	store    *Store
	Tier     bodies.Tier
	size     int64
	reserved bool // space in the budget is reserved for it

	Memory  []byte              // the complete body, in the memory tier
	spooled *bodies.SpooledBody // on disk; in tier Once, what had been written when the disk failed

	// Tier Once: the rest of the body, after the spooled part.
	buffered []byte // already read from the client
	client   io.Reader
	Started  atomic.Bool   // an attempt has started to send it
	Departed func() bool   // reports whether the client has closed its connection; asked when the complete body was read; nil if unknown
	Drained  chan struct{} // closed once the complete body was read from the client
}

// Release frees the space that a body uses. It may be called repeatedly, and on nil.
func (p *Body) Release() {
	if p == nil || !p.reserved {
		return
	}
	p.reserved = false
	if p.spooled != nil {
		p.spooled.Close()
	}
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	p.store.budget.Free(p.Tier, p.size)
}

// Read reads a body of known length from its client into the first tier that has space for it. A body in tier Once is not
// read yet: an attempt streams it from the client.
func (s *Store) Read(ctx context.Context, class string, in *http.Request) (*Body, *Rejection) {
	c, size := s.class(class), in.ContentLength
	tier, err := s.place(c, size)
	if err != nil {
		return nil, rejectBody(size > c.MaxSize, err)
	}
	p := &Body{store: s, Tier: tier, size: size, reserved: true}
	switch tier {
	case bodies.Memory:
		p.Memory = make([]byte, size)
		if _, err := io.ReadFull(in.Body, p.Memory); err != nil {
			p.Release()
			return nil, BodyTruncated(err)
		}
	case bodies.Disk:
		if rej := p.spill(ctx, c, in.Body); rej != nil {
			p.Release()
			return nil, rej
		}
	case bodies.Streamed:
		p.stream(in.Body)
	}
	return p, nil
}

// rejectBody returns the answer to a request whose body can't be stored. Nothing was sent to a backend, so the client may
// safely retry, whatever the class.
func rejectBody(tooLarge bool, err error) *Rejection {
	if tooLarge {
		return &Rejection{Status: http.StatusRequestEntityTooLarge, Text: "Content-Length: " + err.Error()}
	}
	return &Rejection{Status: http.StatusServiceUnavailable, Text: err.Error(), RetryAfter: 250 * time.Millisecond}
}

// BodyTruncated returns the answer to a request whose body could not be read completely.
func BodyTruncated(err error) *Rejection {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &Rejection{Status: http.StatusRequestTimeout, Text: "the body did not come in time"}
	}
	return &Rejection{Status: http.StatusBadRequest, Text: "body: " + err.Error()} // the body is incomplete and must not be forwarded
}

func (p *Body) stream(client io.Reader) {
	p.client, p.Drained = client, make(chan struct{})
}

// spill writes a body to disk as it arrives. If the disk fails, the part already written and the rest move to the next tier.
func (p *Body) spill(ctx context.Context, c bodies.Class, client io.Reader) *Rejection {
	s := p.store
	var chunk []byte // read from the client, not yet written
	err := s.withDiskTimeout(ctx, func(ctx context.Context) (err error) {
		p.spooled, err = s.spool.Create(ctx, p.size)
		return err
	})
	for remaining := p.size; err == nil && remaining > 0; remaining -= int64(len(chunk)) {
		chunk = make([]byte, min(remaining, chunkBytes)) // a new buffer each time: a hanging write may still read the last one
		if _, err := io.ReadFull(client, chunk); err != nil {
			s.noteDiskResult(true)
			return BodyTruncated(err)
		}
		err = s.withDiskTimeout(ctx, func(ctx context.Context) error { return p.spooled.Append(ctx, chunk) })
	}
	if err == nil {
		s.noteDiskResult(true)
		return nil
	}
	tier, placeErr := s.placeInNextTier(c, p.size)
	if placeErr != nil {
		p.reserved = false // the budget has released it
		if p.spooled != nil {
			p.spooled.Close()
		}
		return rejectBody(false, fmt.Errorf("%w: %w", placeErr, err))
	}
	p.Tier, p.buffered = tier, chunk
	p.stream(client)
	return nil
}

// withDiskTimeout runs one disk operation under the disk timeout.
func (s *Store) withDiskTimeout(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, s.diskTimeout)
	defer cancel()
	return f(ctx)
}

// noteDiskResult reports to the circuit breaker whether the disk worked for a body that is no longer being written.
func (s *Store) noteDiskResult(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.diskBreaker.Record(s.clock.Now(), ok)
}

var (
	// ErrSpool reports that a spooled body can't be read back, ErrClient that a client did not send its whole body or
	// that writing to a client failed. Neither is a failure of the backend.
	ErrSpool  = errors.New("the body can't be read back")
	ErrClient = errors.New("the client's body did not come")
)

// Send writes a body that is not in memory to a backend's connection. An error that wraps ErrSpool or ErrClient is not a
// failure of the backend. After any error the last byte was not written.
func (p *Body) Send(ctx context.Context, to net.Conn) error {
	if p.spooled != nil {
		for off := int64(0); off < p.spooled.Size(); {
			chunk := make([]byte, min(chunkBytes, p.spooled.Size()-off))
			callCtx, cancel := context.WithTimeout(ctx, p.store.diskTimeout)
			err := p.spooled.ReadAt(callCtx, chunk, off)
			cancel()
			if err != nil {
				return fmt.Errorf("%w: %w", ErrSpool, err)
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
	if len(p.buffered) > 0 {
		if _, err := to.Write(p.buffered); err != nil {
			return err
		}
	}
	chunk := make([]byte, chunkBytes)
	remaining := p.Remaining()
	for remaining > 0 {
		n, err := p.client.Read(chunk[:min(remaining, chunkBytes)])
		remaining -= int64(n)
		if remaining == 0 {
			close(p.Drained) // before the last byte is sent: whoever handles the answer must find the client's connection free
		}
		if remaining == 0 && p.Departed != nil && p.Departed() {
			return fmt.Errorf("%w: it has left behind its body", ErrClient) // without the last bytes the request does not run
		}
		if n > 0 {
			if _, err := to.Write(chunk[:n]); err != nil {
				return err
			}
		}
		if err != nil && remaining > 0 {
			return fmt.Errorf("%w: %w", ErrClient, err)
		}
	}
	return nil
}

// Remaining returns how many bytes of a body in tier Streamed are still to be read from the client, before an attempt reads any.
func (p *Body) Remaining() int64 {
	remaining := p.size - int64(len(p.buffered))
	if p.spooled != nil {
		remaining -= p.spooled.Size()
	}
	return remaining
}

// IsDrained reports whether the complete body was read from the client, so that the next request can be read.
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
