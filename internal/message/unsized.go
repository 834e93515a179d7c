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

// firstRoom is what a body whose size nobody told has room for at first, in bytes. Most are no larger.
const firstRoom = 4 << 10

// unsized is a body whose size nobody told, while it is read.
type unsized struct {
	body   *Body
	class  bodies.Class
	client io.Reader
	grown  func(size int64)
	size   int64 // read so far
}

// ReadUnsized reads a body whose size its client does not tell, to its end. Its length has to be told to the backend, so
// it is read whole whatever its tier: into memory, which is taken in growing steps, then onto disk, and where its class
// allows no disk but streaming, into memory up to the class's most. grown is called with the size so far as it grows. The
// result is nil for an empty body.
func (s *Store) ReadUnsized(ctx context.Context, class string, client io.Reader, grown func(size int64)) (*Body, *Rejection) {
	u := &unsized{body: &Body{store: s, Tier: bodies.Memory, held: true}, class: s.class(class), client: client, grown: grown}
	if no := u.read(ctx); no != nil {
		u.body.Free()
		return nil, no
	}
	if u.size == 0 {
		u.body.Free()
		return nil, nil
	}
	return u.body, nil
}

// Most is the largest body that a class allows, in bytes.
func (s *Store) Most(class string) int64 { return s.class(class).MaxSize }

// Len is a body's length in bytes, 0 for none.
func (p *Body) Len() int64 {
	switch {
	case p == nil:
		return 0
	case p.Memory != nil:
		return int64(len(p.Memory))
	case p.Tier == bodies.Disk:
		return p.kept.Size()
	}
	return p.size
}

// read reads into memory for as long as there is room, and then onto disk.
func (u *unsized) read(ctx context.Context) *Rejection {
	p := u.body
	for {
		if len(p.Memory) == cap(p.Memory) {
			if u.size == u.class.MaxSize {
				return u.nothingMore()
			}
			tier, err := u.extend(false)
			if err != nil {
				return turnedAway(false, err)
			}
			if tier == bodies.Disk {
				moved, no := u.moveToDisk(ctx)
				if moved || no != nil {
					return no
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
			return CutShort(err)
		}
	}
}

func (u *unsized) add(n int) {
	if n > 0 {
		u.size += int64(n)
		u.grown(u.size)
	}
}

// nothingMore makes sure that a body of the most bytes that are allowed ends there.
func (u *unsized) nothingMore() *Rejection {
	switch n, err := io.ReadFull(u.client, make([]byte, 1)); {
	case n > 0:
		return u.tooLarge()
	case errors.Is(err, io.EOF):
		return nil
	default:
		return CutShort(err)
	}
}

func (u *unsized) tooLarge() *Rejection {
	return &Rejection{Status: http.StatusRequestEntityTooLarge, Text: fmt.Sprintf("a body of more than %d bytes", u.class.MaxSize)}
}

// extend takes the next step of room, in memory or on disk; there only in memory where the disk just failed.
func (u *unsized) extend(diskFailed bool) (bodies.Tier, error) {
	p, s := u.body, u.body.store
	room := min(max(2*p.size, firstRoom), u.class.MaxSize)
	if p.size < u.class.MaxInMemory {
		room = min(room, u.class.MaxInMemory)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.SetDiskDisabled(s.spool == nil || diskFailed)
	tier, err := s.budget.Extend(u.class, p.size, room)
	if tier == bodies.Disk && !s.door.Allow(s.clock.Now()) {
		s.budget.Free(bodies.Disk, u.class.MaxSize)
		s.budget.SetDiskDisabled(true)
		tier, err = s.budget.Extend(u.class, p.size, room)
	}
	if err == nil && tier == bodies.Memory {
		p.Memory = append(make([]byte, 0, room), p.Memory...)
		p.size = room
	}
	return tier, err
}

// moveToDisk writes what has been read, and then the rest, to a file with room for the most that the class allows. Where
// the disk does not take even what has been read, the body goes on in memory if its class may be streamed.
func (u *unsized) moveToDisk(ctx context.Context) (moved bool, no *Rejection) {
	p, s := u.body, u.body.store
	err := s.call(ctx, func(ctx context.Context) (err error) {
		p.kept, err = s.spool.Create(ctx, u.class.MaxSize)
		return err
	})
	if err == nil && len(p.Memory) > 0 {
		err = s.call(ctx, func(ctx context.Context) error { return p.kept.Append(ctx, p.Memory) })
	}
	if err != nil {
		return false, u.backToMemory(err)
	}
	s.mu.Lock()
	s.budget.Free(bodies.Memory, p.size)
	s.mu.Unlock()
	p.Tier, p.size, p.Memory = bodies.Disk, u.class.MaxSize, nil
	return true, u.spill(ctx)
}

// backToMemory gives the room on a disk that failed back, and takes the next step in memory instead.
func (u *unsized) backToMemory(failed error) *Rejection {
	p, s := u.body, u.body.store
	if p.kept != nil {
		p.kept.Close()
		p.kept = nil
	}
	s.mu.Lock()
	s.door.Record(s.clock.Now(), false)
	s.budget.Free(bodies.Disk, u.class.MaxSize)
	s.mu.Unlock()
	if _, err := u.extend(true); err != nil {
		return turnedAway(false, fmt.Errorf("%w: %w", err, failed))
	}
	return nil
}

// spill writes the rest of a body to its file. A disk that fails now has what came before: the request is refused.
func (u *unsized) spill(ctx context.Context) *Rejection {
	p, s := u.body, u.body.store
	for {
		chunk := make([]byte, chunkSize) // a new one: a call that hangs goes on reading the last
		n, err := fill(u.client, chunk)
		u.add(n)
		if u.size > u.class.MaxSize {
			s.settled(true)
			return u.tooLarge()
		}
		if n > 0 {
			if failed := s.call(ctx, func(ctx context.Context) error { return p.kept.Append(ctx, chunk[:n]) }); failed != nil {
				s.settled(false)
				return turnedAway(false, failed)
			}
		}
		if err == nil {
			continue
		}
		s.settled(true)
		if errors.Is(err, io.EOF) {
			return nil
		}
		return CutShort(err)
	}
}

// fill reads until p is full or an error comes, which it returns as it is: io.ReadFull's end in the middle of p could not be
// told from a body that is cut short.
func fill(from io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var more int
		more, err = from.Read(p[n:])
		n += more
	}
	return n, err
}

// LateBody is the answer to a body that did not come in time.
func LateBody() *Rejection { return CutShort(os.ErrDeadlineExceeded) }
