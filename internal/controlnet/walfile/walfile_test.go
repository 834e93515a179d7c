package walfile

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"craneglade/internal/controlplane/quorum"
)

// logLines collects the lines that a file passes to its logger.
type logLines []string

func (l *logLines) log(line string) { *l = append(*l, line) }

func mustOpen(t testing.TB, dir string) (*File, quorum.State) {
	t.Helper()
	var logged logLines
	f, state, err := Open(dir, logged.log)
	if err != nil || len(logged) > 0 {
		t.Fatal(err, logged)
	}
	t.Cleanup(func() { f.Close() })
	return f, state
}

func mustSave(t testing.TB, f *File, p quorum.Persist) {
	t.Helper()
	if err := f.Save(p); err != nil {
		t.Fatal(err)
	}
}

func entry(index, term uint64, data string) quorum.LogEntry {
	return quorum.LogEntry{Index: index, Term: term, Data: []byte(data)}
}

// saves is a sequence of updates as a replica persists them.
var saves = []quorum.Persist{
	{Hard: &quorum.HardState{Term: 1, Vote: 2}},
	{Hard: &quorum.HardState{Term: 1, Vote: 2, Commit: 1}, Entries: []quorum.LogEntry{{Index: 1, Term: 1}, entry(2, 1, "two")}},
	{Entries: []quorum.LogEntry{entry(3, 1, "three"), entry(4, 1, "four")}},
	{Hard: &quorum.HardState{Term: 2, Vote: 1, Commit: 2}, Entries: []quorum.LogEntry{entry(3, 2, "another three")}},
	{Snapshot: &quorum.Snapshot{Index: 2, Term: 1, Data: []byte("one and two")}},
	{Hard: &quorum.HardState{Term: 2, Vote: 1, Commit: 3}, Entries: []quorum.LogEntry{entry(4, 2, "another four")}},
	{Hard: &quorum.HardState{Term: 5, Commit: 9}, Snapshot: &quorum.Snapshot{Index: 9, Term: 5, Data: []byte("one to nine")}},
	{Entries: []quorum.LogEntry{entry(10, 5, "ten")}},
}

// stateAfter returns the state after the first count saves.
func stateAfter(t testing.TB, count int) quorum.State {
	t.Helper()
	var state quorum.State
	for _, p := range saves[:count] {
		if err := state.Apply(p); err != nil {
			t.Fatal(err)
		}
	}
	return state
}

func equalStates(a, b quorum.State) bool {
	sameEntries := slices.EqualFunc(a.Entries, b.Entries, func(a, b quorum.LogEntry) bool {
		return a.Index == b.Index && a.Term == b.Term && string(a.Data) == string(b.Data)
	})
	return sameEntries && a.Hard == b.Hard && reflect.DeepEqual(a.Snapshot, b.Snapshot)
}

func TestSavedStateIsLoaded(t *testing.T) {
	for count := range len(saves) + 1 {
		dir := filepath.Join(t.TempDir(), "new")
		f, state := mustOpen(t, dir)
		if !equalStates(state, quorum.State{}) {
			t.Fatalf("a new directory has %+v", state)
		}
		for i, p := range saves[:count] {
			mustSave(t, f, p)
			if i%3 == 2 { // reopened in between
				f.Close()
				if f, state = mustOpen(t, dir); !equalStates(state, stateAfter(t, i+1)) {
					t.Fatalf("after %d saves: %+v", i+1, state)
				}
			}
		}
		f.Close()
		if _, state := mustOpen(t, dir); !equalStates(state, stateAfter(t, count)) {
			t.Errorf("after %d saves: %+v", count, state)
		}
	}
}

func read(t testing.TB, dir, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(dir, name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

func write(t testing.TB, dir, name string, content []byte) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, name), content, fileMode); err != nil {
		t.Fatal(err)
	}
}

// A crash can leave any number of bytes of the last record. Open truncates them with one log line, and the next Save has to
// be readable after them.
func TestTornRecordAtEndIsTruncated(t *testing.T) {
	dir := t.TempDir()
	f, _ := mustOpen(t, dir)
	for _, p := range saves[:3] {
		mustSave(t, f, p)
	}
	before := f.Size()
	mustSave(t, f, saves[3])
	f.Close()
	complete := read(t, dir, logName)
	for size := before; size < int64(len(complete)); size++ {
		torn := slices.Clone(complete[:size])
		if size%2 == 1 { // blocks that were allocated but never written
			torn = append(torn, make([]byte, 600)...)
		}
		write(t, dir, logName, torn)
		var logged logLines
		f, state, err := Open(dir, logged.log)
		if err != nil || !equalStates(state, stateAfter(t, 3)) {
			t.Fatalf("%d of %d bytes: %+v, %v", size, len(complete), state, err)
		}
		if size > before && (len(logged) != 1 || !strings.Contains(logged[0], "truncated") || strings.Contains(logged[0], "\n")) {
			t.Errorf("%d of %d bytes: logged %q", size, len(complete), logged)
		}
		mustSave(t, f, saves[3])
		f.Close()
		if got := read(t, dir, logName); !slices.Equal(got, complete) {
			t.Fatalf("%d of %d bytes: the record did not replace the torn one", size, len(complete))
		}
	}
}

// A flipped bit in the snapshot or in any record but the last must be reported as corruption: acknowledged data may be lost.
func TestCorruptionIsDetected(t *testing.T) {
	dir := t.TempDir()
	f, _ := mustOpen(t, dir)
	for _, p := range saves[:6] {
		mustSave(t, f, p)
	}
	last := f.Size()
	mustSave(t, f, quorum.Persist{Hard: &quorum.HardState{Term: 2, Vote: 1, Commit: 4}})
	f.Close()
	damaged := func(name string, at int64) {
		content := read(t, dir, name)
		broken := slices.Clone(content)
		broken[at] ^= 1 << (at % 8)
		write(t, dir, name, broken)
		f, state, err := Open(dir, func(string) {})
		if !errors.Is(err, ErrCorrupt) || strings.Contains(err.Error(), "\n") {
			t.Errorf("byte %d of the %s: %+v, %v", at, name, state, err)
		}
		if err == nil {
			f.Close()
		}
		write(t, dir, name, content)
	}
	for at := range last {
		damaged(logName, at)
	}
	for at := range int64(len(read(t, dir, snapshotName))) {
		damaged(snapshotName, at)
	}
	mustOpen(t, dir)
}

func TestInconsistentFilesAreRejected(t *testing.T) {
	make := func(t *testing.T, count int) string {
		dir := t.TempDir()
		f, _ := mustOpen(t, dir)
		for _, p := range saves[:count] {
			mustSave(t, f, p)
		}
		f.Close()
		return dir
	}
	refused := func(t *testing.T, dir string) {
		t.Helper()
		if _, _, err := Open(dir, func(string) {}); !errors.Is(err, ErrCorrupt) {
			t.Error(err)
		}
	}
	t.Run("snapshot missing", func(t *testing.T) {
		dir := make(t, 6)
		os.Remove(filepath.Join(dir, snapshotName))
		refused(t, dir)
	})
	t.Run("log missing", func(t *testing.T) {
		dir := make(t, 6)
		os.Remove(filepath.Join(dir, logName))
		refused(t, dir)
	})
	t.Run("log emptied", func(t *testing.T) {
		dir := make(t, 6)
		write(t, dir, logName, nil)
		refused(t, dir)
	})
	t.Run("older snapshot", func(t *testing.T) {
		dir, older := make(t, 8), make(t, 6)
		write(t, dir, snapshotName, read(t, older, snapshotName))
		refused(t, dir)
	})
	t.Run("bytes after the snapshot", func(t *testing.T) {
		dir := make(t, 6)
		write(t, dir, snapshotName, append(read(t, dir, snapshotName), 0))
		refused(t, dir)
	})
	t.Run("a later version's field", func(t *testing.T) {
		dir := make(t, 3)
		write(t, dir, logName, appendRecord(read(t, dir, logName), appendNumber(nil, 9, 1)))
		refused(t, dir)
	})
	t.Run("an entry missing", func(t *testing.T) {
		dir := make(t, 3)
		gap := encodePersist(quorum.Persist{Entries: []quorum.LogEntry{entry(9, 1, "nine")}}, false)
		write(t, dir, logName, appendRecord(read(t, dir, logName), gap))
		refused(t, dir)
	})
}

// A crash between the two renames of a Save with a snapshot leaves the new snapshot and the old log; a crash before a rename
// leaves an incomplete temporary file.
func TestCrashBetweenSnapshotAndLogRename(t *testing.T) {
	for _, at := range []int{4, 6} {
		dir := t.TempDir()
		f, _ := mustOpen(t, dir)
		for _, p := range saves[:at] {
			mustSave(t, f, p)
		}
		oldLog := read(t, dir, logName)
		mustSave(t, f, saves[at])
		f.Close()
		write(t, dir, logName, oldLog)
		write(t, dir, logName+temporarySuffix, oldLog[:len(oldLog)/2])
		f, state := mustOpen(t, dir)
		want := stateAfter(t, at)
		if err := want.Apply(quorum.Persist{Snapshot: saves[at].Snapshot}); err != nil {
			t.Fatal(err)
		}
		if !equalStates(state, want) {
			t.Errorf("save %d: %+v\nwant %+v", at, state, want)
		}
		next := saves[at]
		next.Snapshot = nil
		mustSave(t, f, next)
		f.Close()
		if _, state := mustOpen(t, dir); !equalStates(state, stateAfter(t, at+1)) {
			t.Errorf("save %d, then its remainder: %+v", at, state)
		}
	}
}

func TestDirectoryIsLocked(t *testing.T) {
	dir := t.TempDir()
	f, _ := mustOpen(t, dir)
	if _, _, err := Open(dir, func(string) {}); !errors.Is(err, ErrInUse) {
		t.Error(err)
	}
	f.Close()
	mustOpen(t, dir)
}

// The end of the file is unknown after a failed write, so later saves must fail, too.
func TestNoSaveAfterWriteError(t *testing.T) {
	f, _ := mustOpen(t, t.TempDir())
	mustSave(t, f, saves[0])
	f.log.Close()
	if err := f.Save(saves[1]); err == nil {
		t.Fatal("saved to a closed file")
	}
	if err := f.Save(saves[1]); !errors.Is(err, ErrFailed) {
		t.Error(err)
	}
}

// For random saves, and a log truncated anywhere within the last one, the loaded state is that before or after the last save.
func TestRandomSavesWithTornEnd(t *testing.T) {
	root, number := t.TempDir(), 0
	rapid.Check(t, func(t *rapid.T) {
		number++
		dir := filepath.Join(root, fmt.Sprint(number))
		f, state, err := Open(dir, func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		var before quorum.State
		oldSize := int64(0)
		for range rapid.IntRange(1, 8).Draw(t, "saves") {
			p := drawPersist(t, &state)
			before, oldSize = state, f.Size()
			before.Entries = slices.Clone(state.Entries)
			if err := state.Apply(p); err != nil {
				t.Fatal(err)
			}
			if err := f.Save(p); err != nil {
				t.Fatal(err)
			}
			if p.Snapshot != nil {
				before, oldSize = state, f.Size()
			}
		}
		size := f.Size()
		f.Close()
		remaining := rapid.Int64Range(oldSize, size).Draw(t, "bytes left")
		if err := os.Truncate(filepath.Join(dir, logName), remaining); err != nil {
			t.Fatal(err)
		}
		f, got, err := Open(dir, func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		f.Close()
		want := before
		if remaining == size {
			want = state
		}
		if !equalStates(got, want) {
			t.Fatalf("%d of %d bytes: %+v\nwant %+v", remaining, size, got, want)
		}
	})
}

func drawPersist(t *rapid.T, s *quorum.State) quorum.Persist {
	var p quorum.Persist
	last := s.Snapshot.Index + uint64(len(s.Entries))
	term := s.Hard.Term + uint64(rapid.IntRange(0, 1).Draw(t, "term"))
	if rapid.Bool().Draw(t, "entries") {
		first := rapid.Uint64Range(s.Snapshot.Index+1, last+1).Draw(t, "first")
		for i := range rapid.Uint64Range(1, 4).Draw(t, "count") {
			p.Entries = append(p.Entries, entry(first+i, term, rapid.StringN(0, 5, 20).Draw(t, "data")))
		}
	} else if rapid.IntRange(0, 3).Draw(t, "snapshot") == 0 {
		index := rapid.Uint64Range(s.Snapshot.Index+1, last+3).Draw(t, "index")
		p.Snapshot = &quorum.Snapshot{Index: index, Term: term, Data: []byte("snapshot")}
	}
	p.Hard = &quorum.HardState{Term: term, Vote: rapid.Uint64Range(0, 3).Draw(t, "vote")}
	return p
}

// A replica has to continue from its files after a restart: one process elects itself, commits, compacts and is reopened,
// several times. The checks of package quorum cover crashes at other times.
func TestReplicaRestarts(t *testing.T) {
	dir := t.TempDir()
	var committed []string
	for incarnation := range 5 {
		f, state := mustOpen(t, dir)
		if data := string(state.Snapshot.Data); data != "" {
			committed = strings.Split(data, "\n")
		} else {
			committed = nil
		}
		replica, err := quorum.New(quorum.Config{ID: 1, Peers: []uint64{1}, State: state})
		if err != nil {
			t.Fatal(err)
		}
		proposed := false
		for range 100 {
			replica.Tick()
			if id, _ := replica.Writer(); id == 1 && !proposed {
				proposed = true
				if err := replica.Propose(fmt.Append(nil, "life ", incarnation)); err != nil {
					t.Fatal(err)
				}
			}
			for ready, ok := replica.Ready(); ok; ready, ok = replica.Ready() {
				mustSave(t, f, ready.Persist)
				for _, e := range ready.Committed {
					committed = append(committed, string(e.Data))
				}
				replica.Advance()
			}
		}
		if incarnation%2 == 1 {
			if err := replica.Compact([]byte(strings.Join(committed, "\n"))); err != nil {
				t.Fatal(err)
			}
			ready, _ := replica.Ready()
			mustSave(t, f, ready.Persist)
		}
		f.Close()
	}
	if want := []string{"life 0", "life 1", "life 2", "life 3", "life 4"}; !slices.Equal(committed, want) {
		t.Errorf("%q", committed)
	}
}

func BenchmarkSave(b *testing.B) {
	f, _ := mustOpen(b, b.TempDir())
	data := strings.Repeat("x", 100)
	for i := uint64(1); b.Loop(); i++ {
		mustSave(b, f, quorum.Persist{Entries: []quorum.LogEntry{entry(i, 1, data)}})
	}
}
