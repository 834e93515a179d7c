package logfile

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"craneglade/internal/controlplane/quorum"
)

// opened is a folder with what it holds.
func opened(t *testing.T, path string) (*Folder, quorum.State, int) {
	t.Helper()
	f, err := Open(path, "north", 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	state, torn, err := f.Load()
	if err != nil {
		t.Fatal(err)
	}
	return f, state, torn
}

func entry(index, term uint64, data string) quorum.LogEntry {
	return quorum.LogEntry{Index: index, Term: term, Data: []byte(data)}
}

func persist(t *testing.T, f *Folder, hard *quorum.HardState, entries ...quorum.LogEntry) {
	t.Helper()
	if err := f.Persist(quorum.Persist{Hard: hard, Entries: entries}); err != nil {
		t.Fatal(err)
	}
}

// same compares states; no entries are the same as none.
func same(a, b quorum.State) bool {
	return a.Hard == b.Hard && a.Snapshot.Index == b.Snapshot.Index && a.Snapshot.Term == b.Snapshot.Term &&
		string(a.Snapshot.Data) == string(b.Snapshot.Data) && (len(a.Entries)+len(b.Entries) == 0 || reflect.DeepEqual(a.Entries, b.Entries))
}

func TestWhatWasPersistedSurvives(t *testing.T) {
	path := t.TempDir()
	f, state, _ := opened(t, path)
	if !same(state, quorum.State{}) {
		t.Fatalf("a new folder holds %+v", state)
	}
	want := quorum.State{}
	for i, p := range []quorum.Persist{
		{Hard: &quorum.HardState{Term: 1, Vote: 1}},
		{Entries: []quorum.LogEntry{entry(1, 1, ""), entry(2, 1, "two"), entry(3, 1, "three")}},
		{Hard: &quorum.HardState{Term: 2, Vote: 2, Commit: 2}, Entries: []quorum.LogEntry{entry(3, 2, "in place of three"), entry(4, 2, "four")}},
		{Snapshot: &quorum.Snapshot{Index: 3, Term: 2, Data: []byte("all up to three")}, Hard: &quorum.HardState{Term: 2, Vote: 2, Commit: 4}},
		{Entries: []quorum.LogEntry{entry(5, 2, "five")}},
		{Snapshot: &quorum.Snapshot{Index: 9, Term: 4, Data: []byte("of another's log")}, Hard: &quorum.HardState{Term: 4, Commit: 9}},
		{},
		{Entries: []quorum.LogEntry{entry(10, 4, "ten")}},
	} {
		if err := f.Persist(p); err != nil {
			t.Fatalf("step %d: %v", i, err)
		}
		if err := want.Take(p); err != nil {
			t.Fatal(err)
		}
		f.Close()
		var torn int
		if f, state, torn = opened(t, path); torn != 0 || !same(state, want) {
			t.Fatalf("step %d: loaded %+v\nwant %+v\n%d bytes torn", i, state, want, torn)
		}
	}
}

// Wherever a crash cuts the log off, what was persisted before is there, and the next goes on from it.
func TestTornWrites(t *testing.T) {
	path := t.TempDir()
	f, _, _ := opened(t, path)
	persist(t, f, &quorum.HardState{Term: 1, Vote: 1}, entry(1, 1, "one"))
	first := f.behind
	persist(t, f, nil, entry(2, 1, "two"))
	f.Close()
	log, err := os.ReadFile(filepath.Join(path, logName))
	if err != nil || first >= len(log) {
		t.Fatal(err, first, len(log))
	}
	spoilt := append([]byte(nil), log...)
	spoilt[len(spoilt)-1] ^= 1 // its length is there, and its rest is not what was written
	texts := [][]byte{spoilt}
	for end := first; end < len(log); end++ {
		texts = append(texts, log[:end])
	}
	for _, text := range texts {
		folder := t.TempDir()
		if err := os.CopyFS(folder, os.DirFS(path)); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(folder, logName), text, 0o600); err != nil {
			t.Fatal(err)
		}
		f, state, torn := opened(t, folder)
		if len(state.Entries) != 1 || state.Hard.Vote != 1 || torn != len(text)-first {
			t.Fatalf("cut at %d: %+v, %d bytes torn", len(text), state, torn)
		}
		persist(t, f, nil, entry(2, 1, "again"))
		f.Close()
		if _, state, torn := opened(t, folder); torn != 0 || len(state.Entries) != 2 || string(state.Entries[1].Data) != "again" {
			t.Fatalf("cut at %d and written on: %+v, %d bytes torn", len(text), state, torn)
		}
	}
}

// A crash while a log is rewritten leaves the former one.
func TestACrashWhileRewriting(t *testing.T) {
	path := t.TempDir()
	f, _, _ := opened(t, path)
	persist(t, f, &quorum.HardState{Term: 1}, entry(1, 1, "one"))
	f.Close()
	if err := os.WriteFile(filepath.Join(path, logName+".new"), []byte("half of a"), 0o600); err != nil {
		t.Fatal(err)
	}
	f, state, torn := opened(t, path)
	if len(state.Entries) != 1 || torn != 0 {
		t.Errorf("%+v, %d bytes torn", state, torn)
	}
	if err := f.Persist(quorum.Persist{Snapshot: &quorum.Snapshot{Index: 1, Term: 1}, Hard: &quorum.HardState{Term: 1, Commit: 1}}); err != nil {
		t.Error(err)
	}
}

// What is damaged elsewhere is refused with one line, and stays as it is.
func TestDamagedFolders(t *testing.T) {
	path := t.TempDir()
	f, _, _ := opened(t, path)
	persist(t, f, &quorum.HardState{Term: 1, Vote: 1}, entry(1, 1, "one"), entry(2, 1, "two"))
	f.Close()
	unknown, _ := appendRecord(nil, body(9, nil, 1, 2))
	gap, _ := appendRecord(nil, body(entryRecord, nil, 7, 2))
	for _, x := range []struct {
		file, want string
		spoil      func(text []byte) []byte
	}{
		{logName, "the record at byte 0: it is damaged", func(text []byte) []byte { text[recordHead+3] ^= 1; return text }},
		{logName, "the record at byte 0: it is damaged", func(text []byte) []byte { text[0] = 0xff; return text }},
		{logName, "its kind 9 is not known", func(text []byte) []byte { return append(text, unknown...) }},
		{logName, "entry 2 is followed by entry 7", func(text []byte) []byte { return append(text, gap...) }},
		{logName, "1 bytes are too few", func([]byte) []byte { b, _ := appendRecord(nil, []byte{1}); return b }},
		{identityName, "the folder is that of", func([]byte) []byte { return []byte("region \"south\", member 1\n") }},
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
		f, err := Open(folder, "north", 1)
		if err == nil {
			_, _, err = f.Load()
			f.Close()
		}
		if err == nil || !strings.Contains(err.Error(), x.want) || !strings.Contains(err.Error(), filepath.Join(folder, x.file)) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v, want %s", x.file, err, x.want)
		}
		if after, _ := os.ReadFile(filepath.Join(folder, x.file)); string(after) != string(spoilt) {
			t.Errorf("%s was changed", x.file)
		}
	}
	if err := os.Remove(filepath.Join(path, identityName)); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path, "north", 1); err == nil || !strings.Contains(err.Error(), "it is missing, and there is a log") {
		t.Errorf("without an identity: %v", err)
	}
}

func TestOneProcessAFolder(t *testing.T) {
	path := t.TempDir()
	f, _, _ := opened(t, path)
	if _, err := Open(path, "north", 1); err == nil || !strings.Contains(err.Error(), "another process holds it") {
		t.Errorf("a second time: %v", err)
	}
	f.Close()
	if _, err := Open(path, "north", 2); err == nil || !strings.Contains(err.Error(), "member 2") {
		t.Errorf("as another member: %v", err)
	}
	again, err := Open(path, "north", 1)
	if err != nil {
		t.Fatal(err)
	}
	again.Close()
}

// After a write that failed nothing more is written: what came behind a torn record would be lost with it.
func TestNothingFollowsAFailedWrite(t *testing.T) {
	f, _, _ := opened(t, t.TempDir())
	f.log.Close() // every write fails
	if err := f.Persist(quorum.Persist{Entries: []quorum.LogEntry{entry(1, 1, "one")}}); err == nil || err == ErrFailed {
		t.Errorf("a write that fails: %v", err)
	}
	if err := f.Persist(quorum.Persist{Entries: []quorum.LogEntry{entry(1, 1, "one")}}); err != ErrFailed {
		t.Errorf("a write after it: %v", err)
	}
}

func TestBehind(t *testing.T) {
	path := t.TempDir()
	f, _, _ := opened(t, path)
	const size = 1 << 20
	persist(t, f, &quorum.HardState{Term: 1}, entry(1, 1, strings.Repeat("x", size)))
	for range 2 {
		if f.Behind() < size || f.Behind() > size+100 {
			t.Errorf("%d bytes behind no snapshot", f.Behind())
		}
		f.Close()
		f, _, _ = opened(t, path)
	}
	if err := f.Persist(quorum.Persist{Snapshot: &quorum.Snapshot{Index: 1, Term: 1, Data: make([]byte, size)}}); err != nil || f.Behind() > 100 {
		t.Errorf("after a snapshot: %v, %d bytes", err, f.Behind())
	}
}
