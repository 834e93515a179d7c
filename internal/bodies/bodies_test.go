package bodies

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestPlaceChoosesTier(t *testing.T) {
	b := NewBudget(Limits{Memory: 100, Disk: 200})
	save := Class{MaxSize: 150, MaxInMemory: 60, AllowDisk: true, AllowStream: true}
	quote := Class{MaxSize: 150, MaxInMemory: 60}
	for i, c := range []struct {
		class Class
		size  int64
		want  Tier
	}{
		{save, 60, Memory}, {save, 61, Disk}, // too large for memory
		{save, 50, Disk},                                            // the memory total is nearly used up
		{quote, 50, TooLarge},                                       // and this class has no other tier
		{quote, 40, Memory}, {save, 80, Disk}, {save, 10, Streamed}, // both totals are used up
		{save, 151, TooLarge}, {save, 0, Memory},
	} {
		got, err := b.Place(c.class, c.size)
		if got != c.want || (err != nil) != (c.want == TooLarge) {
			t.Errorf("%d: %d bytes are placed in %v (%v), want %v", i, c.size, got, err, c.want)
		}
	}
	if b.Used(Memory) != 100 || b.Used(Disk) != 191 || b.Placed(Disk) != 3 || b.Placed(Streamed) != 1 {
		t.Errorf("memory %d, disk %d", b.Used(Memory), b.Used(Disk))
	}
	b.Free(Disk, 61)
	b.SetDiskDisabled(true)
	if got, _ := b.Place(save, 61); got != Streamed {
		t.Errorf("with the disk disabled: %v", got)
	}
	b.SetDiskDisabled(false)
	if got, _ := b.Place(save, 61); got != Disk {
		t.Errorf("with the disk enabled again: %v", got)
	}
	if got, _ := b.FallBack(save, 61); got != Streamed || b.Used(Disk) != 130 {
		t.Errorf("a body that could not be written to disk goes to %v; disk %d", got, b.Used(Disk))
	}
}

// For any sequence of Place, FallBack and Free, no total is exceeded, no space leaks, and each body has one tier that
// its class allows.
func TestBudgetAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Memory: int64(rapid.IntRange(0, 300).Draw(t, "memory")), Disk: int64(rapid.IntRange(0, 300).Draw(t, "disk"))}
		b := NewBudget(l)
		type placed struct {
			tier Tier
			size int64
			c    Class
		}
		var all []placed
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				c := Class{MaxSize: int64(rapid.IntRange(0, 200).Draw(t, "most")), MaxInMemory: int64(rapid.IntRange(0, 100).Draw(t, "each")),
					AllowDisk: rapid.Bool().Draw(t, "may disk"), AllowStream: rapid.Bool().Draw(t, "may once")}
				size := int64(rapid.IntRange(0, 200).Draw(t, "size"))
				tier, err := b.Place(c, size)
				if (tier == TooLarge) != (err != nil) || size > c.MaxSize && tier != TooLarge || tier == Disk && !c.AllowDisk || tier == Streamed && !c.AllowStream || tier == Memory && size > c.MaxInMemory {
					t.Fatalf("%+v, %d bytes: %v, %v", c, size, tier, err)
				}
				if err == nil {
					all = append(all, placed{tier, size, c})
				}
			case 2:
				if len(all) > 0 {
					i := rapid.IntRange(0, len(all)-1).Draw(t, "which")
					b.Free(all[i].tier, all[i].size)
					all = append(all[:i], all[i+1:]...)
				}
			case 3:
				b.SetDiskDisabled(rapid.Bool().Draw(t, "shut"))
				for i := range all {
					if all[i].tier == Disk {
						tier, err := b.FallBack(all[i].c, all[i].size)
						if tier == Disk {
							t.Fatal("FallBack returns the disk again")
						}
						all[i].tier = tier
						if err != nil {
							all = append(all[:i], all[i+1:]...)
						}
						break
					}
				}
			}
			var memory, disk int64
			for _, h := range all {
				switch h.tier {
				case Memory:
					memory += h.size
				case Disk:
					disk += h.size
				}
			}
			if b.Used(Memory) != memory || b.Used(Disk) != disk || memory > l.Memory || disk > l.Disk {
				t.Fatalf("accounts for %d and %d, holds %d and %d of %+v", b.Used(Memory), b.Used(Disk), memory, disk, l)
			}
		}
	})
}

// A body of unknown size uses memory up to MaxInMemory of its class, then the disk, and more memory only if its class
// may be streamed.
func TestExtend(t *testing.T) {
	b := NewBudget(Limits{Memory: 100, Disk: 300})
	save := Class{MaxSize: 150, MaxInMemory: 60, AllowDisk: true, AllowStream: true}
	noStream := Class{MaxSize: 150, MaxInMemory: 60, AllowDisk: true}
	quote := Class{MaxSize: 150, MaxInMemory: 60}
	for i, c := range []struct {
		class          Class
		disabled       bool
		reserved, size int64
		want           Tier
		memory         int64
		disk           int64
	}{
		{quote, false, 0, 20, Memory, 20, 0},
		{quote, false, 20, 60, Memory, 60, 0},
		{quote, false, 60, 61, TooLarge, 60, 0}, // MaxInMemory is the only space of this class
		{save, false, 0, 40, Memory, 100, 0},
		{save, false, 40, 60, Disk, 100, 150}, // the memory total is used up; what was reserved there stays reserved
		{noStream, false, 0, 20, Disk, 100, 300},
		{noStream, false, 0, 20, TooLarge, 100, 300}, // all totals are used up
		{save, true, 0, 20, TooLarge, 100, 300},
	} {
		b.SetDiskDisabled(c.disabled)
		got, err := b.Extend(c.class, c.reserved, c.size)
		if got != c.want || (err != nil) != (c.want == TooLarge) || b.Used(Memory) != c.memory || b.Used(Disk) != c.disk {
			t.Errorf("%d: %v (%v), want %v; memory %d, disk %d", i, got, err, c.want, b.Used(Memory), b.Used(Disk))
		}
	}
	b.Free(Memory, 60)
	if got, _ := b.Extend(save, 40, 80); got != Memory || b.Used(Memory) != 80 {
		t.Errorf("beyond MaxInMemory, with no space on disk: %v, %d", got, b.Used(Memory))
	}
	if got, _ := b.Extend(save, 80, 151); got != TooLarge {
		t.Errorf("beyond MaxSize: %v", got)
	}
}

// Bodies that grow concurrently, in any order, never exceed a total, and all their space is released.
func TestConcurrentExtendStaysWithinTotals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Memory: int64(rapid.IntRange(0, 300).Draw(t, "memory")), Heads: 50, Disk: int64(rapid.IntRange(0, 300).Draw(t, "disk"))}
		b := NewBudget(l)
		c := Class{MaxSize: int64(rapid.IntRange(1, 200).Draw(t, "most")), MaxInMemory: int64(rapid.IntRange(0, 100).Draw(t, "each")),
			AllowDisk: rapid.Bool().Draw(t, "may disk"), AllowStream: rapid.Bool().Draw(t, "may once")}
		reserved := make([]int64, 5) // in memory, by body
		onDisk := make([]bool, len(reserved))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(reserved)-1).Draw(t, "which")
			if onDisk[i] || rapid.IntRange(0, 4).Draw(t, "ends") == 0 {
				b.Free(Memory, reserved[i])
				if onDisk[i] {
					b.Free(Disk, c.MaxSize)
				}
				reserved[i], onDisk[i] = 0, false
				continue
			}
			size := reserved[i] + int64(rapid.IntRange(1, 50).Draw(t, "more"))
			switch tier, err := b.Extend(c, reserved[i], size); {
			case tier == Memory && err == nil && size <= c.MaxSize && (size <= c.MaxInMemory || c.AllowStream):
				reserved[i] = size
			case tier == Disk && err == nil && c.AllowDisk:
				onDisk[i] = true
			case tier == TooLarge && err != nil:
			default:
				t.Fatalf("%+v, %d bytes of which it has %d: %v, %v", c, size, reserved[i], tier, err)
			}
			var memory, disk int64
			for i := range reserved {
				memory += reserved[i]
				if onDisk[i] {
					disk += c.MaxSize
				}
			}
			if b.Used(Memory) != memory || b.Used(Disk) != disk || memory > l.Memory || disk > l.Disk {
				t.Fatalf("accounts for %d and %d, holds %d and %d of %+v", b.Used(Memory), b.Used(Disk), memory, disk, l)
			}
		}
	})
}

// faultyFS is an FS with injected faults.
type faultyFS struct {
	mu                  sync.Mutex
	create, write, read error
	short               bool
	hang                chan struct{} // if not nil, calls block until it is closed
	open                int
	files               []*faultyFile
}

type faultyFile struct {
	fs   *faultyFS
	data []byte
}

func (f *faultyFS) wait() {
	f.mu.Lock()
	h := f.hang
	f.mu.Unlock()
	if h != nil {
		<-h
	}
}

func (f *faultyFS) Create(size int64) (File, error) {
	f.wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.create != nil {
		return nil, f.create
	}
	f.open++
	x := &faultyFile{fs: f}
	f.files = append(f.files, x)
	return x, nil
}

func (x *faultyFile) WriteAt(p []byte, off int64) (int, error) {
	x.fs.wait()
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	if x.fs.write != nil {
		return len(p) / 2, x.fs.write
	}
	if x.fs.short {
		return len(p) - 1, nil
	}
	x.data = append(x.data[:off], p...)
	return len(p), nil
}

func (x *faultyFile) ReadAt(p []byte, off int64) (int, error) {
	x.fs.wait()
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	if x.fs.read != nil {
		return 0, x.fs.read
	}
	return bytes.NewReader(x.data).ReadAt(p, off)
}

func (x *faultyFile) Close() error {
	x.fs.mu.Lock()
	defer x.fs.mu.Unlock()
	x.fs.open--
	return nil
}

func (f *faultyFS) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func spool(t *testing.T, f FS, workers int) *Spool {
	s := NewSpool(f, workers)
	t.Cleanup(func() {
		s.Close()
		s.Wait()
	})
	return s
}

func writeBody(s *Spool, ctx context.Context, body []byte) (*SpooledBody, error) {
	k, err := s.Create(ctx, int64(len(body)))
	if err != nil {
		return nil, err
	}
	for len(body) > 0 {
		n := min(len(body), 1000)
		if err := k.Append(ctx, body[:n]); err != nil {
			k.Close()
			return nil, err
		}
		body = body[n:]
	}
	return k, nil
}

func TestSpoolWriteAndRead(t *testing.T) {
	dir := t.TempDir()
	files, err := NewDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	s := spool(t, files, 2)
	body := bytes.Repeat([]byte("a window, "), 20000)
	k, err := writeBody(s, context.Background(), body)
	if err != nil {
		t.Fatal(err)
	}
	if left, _ := os.ReadDir(dir); len(left) != 0 {
		t.Errorf("the file is not unlinked: %v", left)
	}
	if info, err := k.file.(*os.File).Stat(); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("%v, %v", info.Mode(), err)
	}
	got := make([]byte, len(body))
	if err := k.ReadAt(context.Background(), got, 0); err != nil || !bytes.Equal(got, body) {
		t.Errorf("%v", err)
	}
	if err := k.ReadAt(context.Background(), got[:10], int64(len(body))-5); err != io.ErrUnexpectedEOF {
		t.Errorf("read past the end: %v", err)
	}
	k.Close()
	if _, err := NewDir(dir + "/none"); err == nil {
		t.Error("a missing directory is accepted")
	}
}

func TestSpoolDiskFaults(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name  string
		fault func(f *faultyFS)
		want  error
	}{
		{"no space at creation", func(f *faultyFS) { f.create = syscall.ENOSPC }, syscall.ENOSPC},
		{"read-only", func(f *faultyFS) { f.create = syscall.EROFS }, syscall.EROFS},
		{"the directory was removed", func(f *faultyFS) { f.create = os.ErrNotExist }, os.ErrNotExist},
		{"no space during a write", func(f *faultyFS) { f.write = syscall.ENOSPC }, syscall.ENOSPC},
		{"a short write", func(f *faultyFS) { f.short = true }, io.ErrShortWrite},
	} {
		f := &faultyFS{}
		s := NewSpool(f, 2)
		c.fault(f)
		if _, err := writeBody(s, ctx, make([]byte, 5000)); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", c.name, err)
		}
		s.Close()
		s.Wait()
		if f.open != 0 {
			t.Errorf("%s: %d files left open", c.name, f.open)
		}
	}
	f := &faultyFS{}
	s := spool(t, f, 2)
	k, err := writeBody(s, ctx, make([]byte, 5000))
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	f.set(func() { f.read = syscall.EIO })
	if err := k.ReadAt(ctx, make([]byte, 5000), 0); !errors.Is(err, syscall.EIO) {
		t.Errorf("EIO on read: %v", err)
	}
	f.set(func() { f.read = nil; f.files[0].data = f.files[0].data[:100] })
	if err := k.ReadAt(ctx, make([]byte, 5000), 0); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a truncated file: %v", err)
	}
}

// A disk that hangs blocks the workers but no caller: every call returns when its context ends, also while all workers
// are blocked.
func TestHangingDiskDoesNotBlockCallers(t *testing.T) {
	f := &faultyFS{hang: make(chan struct{})}
	s := NewSpool(f, 2)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for range 5 {
		if _, err := s.Create(cancelled, 10); !errors.Is(err, ErrTimeout) {
			t.Errorf("%v, want ErrSlow", err)
		}
	}
	// Block both workers, then cancel the calls.
	for range 2 {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() {
			_, err := s.Create(ctx, 10)
			done <- err
		}()
		cancel()
		if err := <-done; !errors.Is(err, ErrTimeout) {
			t.Errorf("%v, want ErrSlow", err)
		}
	}
	close(f.hang)
	s.Close()
	if _, err := s.Create(context.Background(), 10); err != nil && !errors.Is(err, ErrClosed) {
		t.Errorf("after Close: %v", err)
	}
	s.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open > 1 { // at most that of the last call, which was not cancelled
		t.Errorf("%d files of timed-out calls stay open", f.open)
	}
}

func TestBreakerBackoff(t *testing.T) {
	var d Breaker
	at := time.Duration(0)
	if !d.Allow(at) || !d.Allow(at) {
		t.Error("no body is allowed before a failure")
	}
	wait := minBackoff
	for range 12 {
		d.Record(at, false)
		if d.Allow(at + wait - 1) {
			t.Fatalf("a body is allowed within the backoff of %v", wait)
		}
		at += wait
		if !d.Allow(at) || d.Allow(at) {
			t.Fatal("not exactly one body is allowed after the backoff")
		}
		wait = min(2*wait, maxBackoff)
	}
	d.Record(at, true)
	if !d.Allow(at) || !d.Allow(at) {
		t.Error("no body is allowed after a success")
	}
}
