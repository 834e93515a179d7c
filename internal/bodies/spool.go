package bodies

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// File is what Spool needs of a file.
type File interface {
	io.ReaderAt
	io.WriterAt
	Close() error
}

// FS creates files that nobody else sees: a file that it returns has no name any more, so that nothing is left after a
// crash, and gives its room back when it is closed. Where it can it sets size bytes aside, or says that there are not so
// many.
type FS interface {
	Create(size int64) (File, error)
}

// Dir is a folder of the operating system as an FS. Its files can be read by their owner alone while they have a name.
type Dir struct {
	path string
	n    atomic.Uint64
}

// NewDir returns an FS on a folder, which must be there and be writable.
func NewDir(path string) (*Dir, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return nil, &fs.PathError{Op: "spool", Path: path, Err: errors.New("it is not a folder")}
	}
	return &Dir{path: path}, nil
}

// Create opens a new file, takes its name away and sets its room aside (fallocate(2), where the file system knows it).
func (d *Dir) Create(size int64) (File, error) {
	name := filepath.Join(d.path, "body-"+strconv.Itoa(os.Getpid())+"-"+strconv.FormatUint(d.n.Add(1), 10))
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, err
	}
	if err := os.Remove(name); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	err = syscall.Fallocate(int(f.Fd()), 0, 0, max(size, 1))
	if err != nil && !errors.Is(err, errors.ErrUnsupported) {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// Errors of Spool. Both wrap what the file system said, where it said something.
var (
	ErrTimeout = errors.New("the disk did not answer in time")
	ErrClosed  = errors.New("the spool is closed")
)

// Spool writes and reads bodies on a disk that may fail, fill up or hang, without letting a request wait for it beyond
// a deadline: all calls to the file system are made by a fixed number of workers. A call that hangs holds its worker;
// with all of them held the spool answers ErrSlow at once.
type Spool struct {
	fs   FS
	jobs chan func()
	done chan struct{}
	wg   sync.WaitGroup
}

// NewSpool starts a spool with so many workers.
func NewSpool(files FS, workers int) *Spool {
	s := &Spool{fs: files, jobs: make(chan func()), done: make(chan struct{})}
	for range workers {
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			for {
				select {
				case f := <-s.jobs:
					f()
				case <-s.done:
					return
				}
			}
		}()
	}
	return s
}

// Close ends the workers. A call that hangs in the file system ends when that lets go; Close does not wait for it, Wait
// does.
func (s *Spool) Close() { close(s.done) }

// Wait returns once every worker has ended and every file is closed.
func (s *Spool) Wait() { s.wg.Wait() }

// call runs f on a worker and waits for it until ctx ends. Where it does not end in time, late is called with its
// outcome once it does.
func (s *Spool) call(ctx context.Context, f func() error, late func(error)) error {
	var mu sync.Mutex
	left, ended := false, make(chan error, 1)
	job := func() {
		err := f()
		mu.Lock()
		defer mu.Unlock()
		if left {
			late(err)
		}
		ended <- err
	}
	select {
	case s.jobs <- job:
	case <-ctx.Done():
		return fmt.Errorf("%w: every worker is held", ErrTimeout)
	case <-s.done:
		return ErrClosed
	}
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		mu.Lock()
		defer mu.Unlock()
		select {
		case err := <-ended: // at this moment
			return err
		default:
		}
		left = true
		return ErrTimeout
	}
}

// SpooledBody is a body on disk. One goroutine at a time writes it; it may be read from many.
type SpooledBody struct {
	spool *Spool
	file  File
	size  int64 // that is there
}

// Create makes room for a body of a size, until ctx ends at the latest. A disk without that room says so here, before any
// of the body has been read.
func (s *Spool) Create(ctx context.Context, size int64) (*SpooledBody, error) {
	k := &SpooledBody{spool: s}
	err := s.call(ctx, func() (err error) {
		k.file, err = s.fs.Create(size)
		return err
	}, func(err error) {
		if err == nil {
			k.file.Close()
		}
	})
	if err != nil {
		return nil, fmt.Errorf("keep a body: %w", err)
	}
	return k, nil
}

// Append writes more of the body. p must not change until Append returns nil: a call that hangs goes on reading it.
func (k *SpooledBody) Append(ctx context.Context, p []byte) error {
	at := k.size
	err := k.spool.call(ctx, func() error {
		n, err := k.file.WriteAt(p, at)
		if err == nil && n < len(p) {
			err = io.ErrShortWrite
		}
		return err
	}, func(error) {})
	if err != nil {
		return fmt.Errorf("keep a body: %w", err)
	}
	k.size += int64(len(p))
	return nil
}

// Size is what is there of the body, in bytes.
func (k *SpooledBody) Size() int64 { return k.size }

// ReadAt fills p with what is there from off on. Unless it returns nil, p must not be used again: a call that hangs may
// still write to it.
func (k *SpooledBody) ReadAt(ctx context.Context, p []byte, off int64) error {
	if off < 0 || off+int64(len(p)) > k.size {
		return io.ErrUnexpectedEOF
	}
	err := k.spool.call(ctx, func() error {
		n, err := k.file.ReadAt(p, off)
		if n == len(p) {
			return nil
		}
		if err == nil || err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return err
	}, func(error) {})
	if err != nil {
		return fmt.Errorf("read a body back: %w", err)
	}
	return nil
}

// Close gives the body's room on the disk back. It does not wait for the disk: the file is closed once no call that
// hangs holds it.
func (k *SpooledBody) Close() {
	k.spool.wg.Go(func() { k.file.Close() })
}

// Breaker decides whether the disk is worth trying. It has no clock: its caller tells the time. After a failure the tier is
// closed, for longer each time up to a bound, and then one body tries it.
type Breaker struct {
	wait   time.Duration
	until  time.Duration
	trying bool
}

const (
	doorFirst = 250 * time.Millisecond
	doorLast  = 30 * time.Second
)

// Allow tells whether a body may try the disk at a moment.
func (d *Breaker) Allow(now time.Duration) bool {
	if d.wait == 0 {
		return true
	}
	if now < d.until || d.trying {
		return false
	}
	d.trying = true
	return true
}

// Record notes how a try went.
func (d *Breaker) Record(now time.Duration, ok bool) {
	d.trying = false
	if ok {
		d.wait = 0
		return
	}
	d.wait = min(max(2*d.wait, doorFirst), doorLast)
	d.until = now + d.wait
}
