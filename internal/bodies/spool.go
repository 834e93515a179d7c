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

// File is a spool file.
type File interface {
	io.ReaderAt
	io.WriterAt
	Close() error
}

// FS creates anonymous files: a file that it returns has been unlinked, so that nothing is left after a crash and its
// space is freed when it is closed. Where the file system supports it, Create preallocates size bytes, and fails if
// there is not enough space.
type FS interface {
	Create(size int64) (File, error)
}

// Dir is an FS on a directory of the operating system. Until a file is unlinked, only its owner can read it.
type Dir struct {
	path string
	n    atomic.Uint64
}

// NewDir returns an FS on a directory, which must exist. It has to be writable, which is not checked here.
func NewDir(path string) (*Dir, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return nil, &fs.PathError{Op: "spool", Path: path, Err: errors.New("not a directory")}
	}
	return &Dir{path: path}, nil
}

// Create opens a new file, unlinks it and preallocates its space (fallocate(2), where the file system supports it).
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

// Errors of Spool.
var (
	ErrTimeout = errors.New("disk did not respond in time")
	ErrClosed  = errors.New("spool is closed")
)

// Spool writes and reads bodies on a disk that may fail, fill up or hang, without letting a request wait for it beyond
// its deadline: a fixed number of workers makes all calls to the file system. A call that hangs blocks its worker.
// While all workers are blocked, a call returns ErrTimeout when its context ends.
type Spool struct {
	fs   FS
	jobs chan func()
	done chan struct{}
	wg   sync.WaitGroup
}

// NewSpool starts a spool with the given number of workers.
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

// Close stops the workers. It does not wait for calls that hang in the file system; Wait does.
func (s *Spool) Close() { close(s.done) }

// Wait returns after all workers have stopped and all files that are being closed are closed.
func (s *Spool) Wait() { s.wg.Wait() }

// call runs f on a worker and waits until it returns or ctx ends. If f has started and returns only after ctx has
// ended, late is called with its result.
func (s *Spool) call(ctx context.Context, f func() error, late func(error)) error {
	var mu sync.Mutex
	abandoned, result := false, make(chan error, 1)
	job := func() {
		err := f()
		mu.Lock()
		defer mu.Unlock()
		if abandoned {
			late(err)
		}
		result <- err
	}
	select {
	case s.jobs <- job:
	case <-ctx.Done():
		return fmt.Errorf("%w: all workers are busy", ErrTimeout)
	case <-s.done:
		return ErrClosed
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		mu.Lock()
		defer mu.Unlock()
		select {
		case err := <-result: // f returned just now
			return err
		default:
		}
		abandoned = true
		return ErrTimeout
	}
}

// SpooledBody is a body on disk. Only one goroutine may write it at a time; several may read it concurrently.
type SpooledBody struct {
	spool *Spool
	file  File
	size  int64 // bytes written
}

// Create creates a file for a body of size bytes, waiting at most until ctx ends. If the disk has not enough space for
// it, and the file system can preallocate, Create fails, before any of the body has been read.
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
		return nil, fmt.Errorf("spool request body: %w", err)
	}
	return k, nil
}

// Append writes more of the body. Unless it returns nil, p must not be modified any more: a write that hangs may still
// read it.
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
		return fmt.Errorf("spool request body: %w", err)
	}
	k.size += int64(len(p))
	return nil
}

// Size returns the bytes written so far.
func (k *SpooledBody) Size() int64 { return k.size }

// ReadAt fills p from the body, starting at off. Unless it returns nil, p must not be used again: a read that hangs may
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
		return fmt.Errorf("read spooled body: %w", err)
	}
	return nil
}

// Close frees the space of the body on disk. It does not wait for the disk: the file is closed in the background, once
// no hanging call uses it.
func (k *SpooledBody) Close() {
	k.spool.wg.Go(func() { k.file.Close() })
}

// Breaker is a circuit breaker for the disk. After a failure it allows no body to use the disk for a backoff, which
// doubles with each further failure up to a limit, and then allows a single body as a probe. It has no clock: its
// caller passes the time.
type Breaker struct {
	backoff time.Duration
	retryAt time.Duration
	probing bool
}

const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = 30 * time.Second
)

// Allow reports whether a body may use the disk now. The caller reports the result to Record.
func (d *Breaker) Allow(now time.Duration) bool {
	if d.backoff == 0 {
		return true
	}
	if now < d.retryAt || d.probing {
		return false
	}
	d.probing = true
	return true
}

// Record records whether using the disk succeeded.
func (d *Breaker) Record(now time.Duration, ok bool) {
	d.probing = false
	if ok {
		d.backoff = 0
		return
	}
	d.backoff = min(max(2*d.backoff, minBackoff), maxBackoff)
	d.retryAt = now + d.backoff
}
