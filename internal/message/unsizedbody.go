package message

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"

	"craneglade/internal/bodies"
)

// initialBytes is the initial buffer size for a body of unknown length. Most bodies fit.
const initialBytes = 4 << 10

// unsizedReader reads a body of unknown length.
type unsizedReader struct {
	body   *Body
	class  bodies.Class
	client io.Reader
	onGrow func(size int64)
	size   int64 // bytes read so far
}

// ReadUnsized reads a body of unknown length to its end. The backend must be sent a length, so the body is read completely
// in every tier: into memory, which is reserved in growing steps, then to disk. If the class allows no disk but streaming,
// it is read into memory up to the maximum size of the class. onGrow is called with the size so far after each read. The
// result is nil for an empty body.
func (s *Store) ReadUnsized(ctx context.Context, class string, client io.Reader, onGrow func(size int64)) (*Body, *Rejection) {
	u := &unsizedReader{body: &Body{store: s, Tier: bodies.Memory, reserved: true}, class: s.class(class), client: client, onGrow: onGrow}
	if rej := u.read(ctx); rej != nil {
		u.body.Release()
		return nil, rej
	}
	if u.size == 0 {
		u.body.Release()
		return nil, nil
	}
	return u.body, nil
}

// MaxBodySize returns the size of the largest body that a class allows, in bytes.
func (s *Store) MaxBodySize(class string) int64 { return s.class(class).MaxSize }

// Len returns the length of a body in bytes, 0 for nil.
func (p *Body) Len() int64 {
	switch {
	case p == nil:
		return 0
	case p.Memory != nil:
		return int64(len(p.Memory))
	case p.Tier == bodies.Disk:
		return p.spooled.Size()
	}
	return p.size
}

// read reads into memory as long as space is available, and then to disk.
func (u *unsizedReader) read(ctx context.Context) *Rejection {
	p := u.body
	for {
		if len(p.Memory) == cap(p.Memory) {
			if u.size == u.class.MaxSize {
				return u.expectEnd()
			}
			tier, err := u.extend(false)
			if err != nil {
				return rejectBody(false, err)
			}
			if tier == bodies.Disk {
				moved, rej := u.moveToDisk(ctx)
				if moved || rej != nil {
					return rej
				}
			}
		}
		n, err := u.client.Read(p.Memory[len(p.Memory):cap(p.Memory)])
		p.Memory = p.Memory[:len(p.Memory)+n]
		u.add(n)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return BodyTruncated(err)
		}
	}
}

func (u *unsizedReader) add(n int) {
	if n > 0 {
		u.size += int64(n)
		u.onGrow(u.size)
	}
}

// expectEnd checks that a body that has reached the maximum size has ended.
func (u *unsizedReader) expectEnd() *Rejection {
	switch n, err := io.ReadFull(u.client, make([]byte, 1)); {
	case n > 0:
		return u.tooLarge()
	case errors.Is(err, io.EOF):
		return nil
	default:
		return BodyTruncated(err)
	}
}

func (u *unsizedReader) tooLarge() *Rejection {
	return &Rejection{Status: http.StatusRequestEntityTooLarge, Text: fmt.Sprintf("a body of more than %d bytes", u.class.MaxSize)}
}

// extend reserves the next step of space, in memory or on disk; only in memory if diskFailed.
func (u *unsizedReader) extend(diskFailed bool) (bodies.Tier, error) {
	p, s := u.body, u.body.store
	newSize := min(max(2*p.size, initialBytes), u.class.MaxSize)
	if p.size < u.class.MaxInMemory {
		newSize = min(newSize, u.class.MaxInMemory)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.SetDiskDisabled(s.spool == nil || diskFailed)
	tier, err := s.budget.Extend(u.class, p.size, newSize)
	if tier == bodies.Disk && !s.diskBreaker.Allow(s.clock.Now()) {
		s.budget.Free(bodies.Disk, u.class.MaxSize)
		s.budget.SetDiskDisabled(true)
		tier, err = s.budget.Extend(u.class, p.size, newSize)
	}
	if err == nil && tier == bodies.Memory {
		p.Memory = append(make([]byte, 0, newSize), p.Memory...)
		p.size = newSize
	}
	return tier, err
}

// moveToDisk writes what has been read so far, and then the rest, to a file of the maximum size of the class. If writing
// what has been read fails, the body stays in memory, provided that its class may be streamed.
func (u *unsizedReader) moveToDisk(ctx context.Context) (moved bool, rej *Rejection) {
	p, s := u.body, u.body.store
	err := s.withDiskTimeout(ctx, func(ctx context.Context) (err error) {
		p.spooled, err = s.spool.Create(ctx, u.class.MaxSize)
		return err
	})
	if err == nil && len(p.Memory) > 0 {
		err = s.withDiskTimeout(ctx, func(ctx context.Context) error { return p.spooled.Append(ctx, p.Memory) })
	}
	if err != nil {
		return false, u.fallBackToMemory(err)
	}
	s.mu.Lock()
	s.budget.Free(bodies.Memory, p.size)
	s.mu.Unlock()
	p.Tier, p.size, p.Memory = bodies.Disk, u.class.MaxSize, nil
	return true, u.spill(ctx)
}

// fallBackToMemory releases the space on a failed disk and reserves the next step in memory instead.
func (u *unsizedReader) fallBackToMemory(failed error) *Rejection {
	p, s := u.body, u.body.store
	if p.spooled != nil {
		p.spooled.Close()
		p.spooled = nil
	}
	s.mu.Lock()
	s.diskBreaker.Record(s.clock.Now(), false)
	s.budget.Free(bodies.Disk, u.class.MaxSize)
	s.mu.Unlock()
	if _, err := u.extend(true); err != nil {
		return rejectBody(false, fmt.Errorf("%w: %w", err, failed))
	}
	return nil
}

// spill writes the rest of a body to its file. If the disk fails now, the part already written is lost and the request is
// refused.
func (u *unsizedReader) spill(ctx context.Context) *Rejection {
	p, s := u.body, u.body.store
	for {
		chunk := make([]byte, chunkBytes) // a new buffer each time: a hanging write may still read the last one
		n, err := fill(u.client, chunk)
		u.add(n)
		if u.size > u.class.MaxSize {
			s.noteDiskResult(true)
			return u.tooLarge()
		}
		if n > 0 {
			if failed := s.withDiskTimeout(ctx, func(ctx context.Context) error { return p.spooled.Append(ctx, chunk[:n]) }); failed != nil {
				s.noteDiskResult(false)
				return rejectBody(false, failed)
			}
		}
		if err == nil {
			continue
		}
		s.noteDiskResult(true)
		if errors.Is(err, io.EOF) {
			return nil
		}
		return BodyTruncated(err)
	}
}

// fill reads until p is full or an error occurs, and returns that error unchanged. io.ReadFull would return the same error
// for the end of the body in the middle of p as for a truncated body.
func fill(from io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var more int
		more, err = from.Read(p[n:])
		n += more
	}
	return n, err
}

// BodyTimedOut returns the answer to a request whose body did not arrive in time.
func BodyTimedOut() *Rejection { return BodyTruncated(os.ErrDeadlineExceeded) }
