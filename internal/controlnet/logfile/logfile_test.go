package logfile

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/resource"
)

func newStore() *changelog.Store { return changelog.NewStore("north", changelog.Limits{}) }

func serviceChange(name string) resource.Change {
	return resource.Change{Resource: resource.Resource{Key: resource.Key{Service: name, Kind: resource.KindService, Name: name},
		Service: &resource.Service{Region: "north", DrainGrace: time.Second, MaxAttempts: 1}}}
}

// opened is a folder with the store that it was loaded into.
func opened(t *testing.T, path string) (*Folder, *changelog.Store, int64) {
	t.Helper()
	f, err := Open(path, "north")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	store := newStore()
	torn, err := f.Load(store)
	if err != nil {
		t.Fatal(err)
	}
	return f, store, torn
}

func appended(t *testing.T, f *Folder, store *changelog.Store, epoch uint64, name string) {
	t.Helper()
	from := store.Position()
	transaction, err := store.Append(epoch, []resource.Change{serviceChange(name)})
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Append(transaction, from); err != nil {
		t.Fatal(err)
	}
}

func TestWhatWasAppendedSurvives(t *testing.T) {
	path := t.TempDir()
	f, store, _ := opened(t, path)
	epoch, err := f.NextEpoch(store, 0)
	if err != nil || epoch != 1 {
		t.Fatalf("the first epoch is %d, %v", epoch, err)
	}
	appended(t, f, store, epoch, "a")
	appended(t, f, store, epoch, "b")
	f.Close()
	for _, compact := range []bool{false, true, false} {
		f, again, torn := opened(t, path)
		if torn != 0 || again.Position() != store.Position() || again.Digest(changelog.Filter{All: true}) != store.Digest(changelog.Filter{All: true}) {
			t.Fatalf("loaded at %v with %d resources, %d bytes torn", again.Position(), again.Len(), torn)
		}
		if epoch, err = f.NextEpoch(again, 0); err != nil || epoch < 2 {
			t.Fatalf("the next epoch is %d, %v", epoch, err)
		}
		appended(t, f, again, epoch, fmt.Sprint("c", epoch))
		if compact {
			if err := f.Compact(again); err != nil || f.size != 0 {
				t.Fatalf("compacting leaves %d bytes: %v", f.size, err)
			}
			appended(t, f, again, epoch, "after")
		}
		store = again
		f.Close()
	}
	if store.Len() != 6 {
		t.Errorf("%d resources in the end", store.Len())
	}
}

// A crash between the new snapshot and the emptied log leaves records that the snapshot has.
func TestACrashWhileCompacting(t *testing.T) {
	path := t.TempDir()
	f, store, _ := opened(t, path)
	appended(t, f, store, 1, "a")
	log, err := os.ReadFile(filepath.Join(path, logName))
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Compact(store); err != nil {
		t.Fatal(err)
	}
	f.Close()
	if err := os.WriteFile(filepath.Join(path, logName), log, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, again, torn := opened(t, path); again.Position() != store.Position() || torn != 0 {
		t.Errorf("loaded at %v, %d bytes torn", again.Position(), torn)
	}
}

// Wherever a crash cuts the log off, all whole transactions are there and the next one follows.
func TestTornTransactions(t *testing.T) {
	path := t.TempDir()
	f, store, _ := opened(t, path)
	appended(t, f, store, 1, "a")
	first := f.size
	appended(t, f, store, 1, "b")
	f.Close()
	log, err := os.ReadFile(filepath.Join(path, logName))
	if err != nil {
		t.Fatal(err)
	}
	for end := first; end < int64(len(log)); end++ {
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, logName), log[:end], 0o600); err != nil {
			t.Fatal(err)
		}
		f, again, torn := opened(t, folder)
		if again.Len() != 1 || torn != end-first {
			t.Fatalf("cut at %d: %d resources, %d bytes torn", end, again.Len(), torn)
		}
		appended(t, f, again, 2, "c")
		f.Close()
		if _, last, torn := opened(t, folder); last.Len() != 2 || torn != 0 {
			t.Fatalf("cut at %d and written on: %d resources, %d bytes torn", end, last.Len(), torn)
		}
	}
	// The last one's length is there, and its rest is not what was written.
	spoilt := append([]byte(nil), log...)
	spoilt[len(spoilt)-1] ^= 1
	folder := t.TempDir()
	os.WriteFile(filepath.Join(folder, logName), spoilt, 0o600)
	if _, again, torn := opened(t, folder); again.Len() != 1 || torn != int64(len(log))-first {
		t.Errorf("spoilt at its end: %d resources, %d bytes torn", again.Len(), torn)
	}
}

// What is damaged elsewhere is refused with one line, and stays as it is.
func TestDamagedFolders(t *testing.T) {
	path := t.TempDir()
	f, store, _ := opened(t, path)
	appended(t, f, store, 1, "a")
	if err := f.Compact(store); err != nil {
		t.Fatal(err)
	}
	appended(t, f, store, 1, "b")
	appended(t, f, store, 1, "c")
	f.Close()
	for _, x := range []struct {
		file, want string
		spoil      func(text []byte) []byte
	}{
		{logName, "the record at byte 0 is damaged", func(text []byte) []byte { text[recordHead+positions] ^= 1; return text }},
		{logName, "the record at byte 0 is damaged", func(text []byte) []byte { text[0] = 0xff; return text }},
		{snapshotName, "its checksum is wrong", func(text []byte) []byte { text[9] ^= 1; return text }},
		{snapshotName, "its checksum is wrong", func(text []byte) []byte { return text[:2] }},
		{epochName, "it is not a number", func([]byte) []byte { return []byte("seven\n") }},
	} {
		folder := t.TempDir()
		if err := os.CopyFS(folder, os.DirFS(path)); err != nil {
			t.Fatal(err)
		}
		text, _ := os.ReadFile(filepath.Join(folder, x.file))
		spoilt := x.spoil(text)
		if err := os.WriteFile(filepath.Join(folder, x.file), spoilt, 0o600); err != nil {
			t.Fatal(err)
		}
		f, err := Open(folder, "north")
		if err != nil {
			t.Fatal(err)
		}
		store := newStore()
		if _, err = f.Load(store); err == nil {
			_, err = f.NextEpoch(store, 0)
		}
		if err == nil || !strings.Contains(err.Error(), x.want) || !strings.Contains(err.Error(), filepath.Join(folder, x.file)) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v, want %s", x.file, err, x.want)
		}
		f.Close()
		if after, _ := os.ReadFile(filepath.Join(folder, x.file)); string(after) != string(spoilt) {
			t.Errorf("%s was changed", x.file)
		}
	}
}

func TestOneProcessAFolder(t *testing.T) {
	path := t.TempDir()
	f, _, _ := opened(t, path)
	if _, err := Open(path, "north"); err == nil || !strings.Contains(err.Error(), "another process holds it") {
		t.Errorf("a second time: %v", err)
	}
	f.Close()
	again, err := Open(path, "north")
	if err != nil {
		t.Fatal(err)
	}
	again.Close()
}

func TestEpochs(t *testing.T) {
	path := t.TempDir()
	f, store, _ := opened(t, path)
	for i, x := range []struct{ after, want uint64 }{{0, 1}, {0, 2}, {10, 11}, {5, 12}} {
		if got, err := f.NextEpoch(store, x.after); err != nil || got != x.want {
			t.Errorf("step %d: epoch %d, %v, want %d", i, got, err, x.want)
		}
	}
	appended(t, f, store, 40, "a") // as where the file with the epoch is lost
	if got, err := f.NextEpoch(store, 0); err != nil || got != 41 {
		t.Errorf("after transactions of epoch 40: %d, %v", got, err)
	}
}

// After a write that failed nothing more is written: a transaction behind a torn one would be lost with it.
func TestNothingFollowsAFailedWrite(t *testing.T) {
	f, store, _ := opened(t, t.TempDir())
	f.log.Close() // every write fails
	from := store.Position()
	transaction, err := store.Append(1, []resource.Change{serviceChange("a")})
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Append(transaction, from); err == nil || err == ErrFailed {
		t.Errorf("a write that fails: %v", err)
	}
	if err := f.Append(transaction, from); err != ErrFailed {
		t.Errorf("a write after it: %v", err)
	}
	if err := f.Compact(store); err != ErrFailed {
		t.Errorf("compacting after it: %v", err)
	}
}
