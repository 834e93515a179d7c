package logfile

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"craneglade/internal/controlplane/quorum"
)

func openForProperty(t *rapid.T, dir string) (*Folder, quorum.State) {
	f, err := Open(dir, "north", 1)
	if err != nil {
		t.Fatal(err)
	}
	state, _, err := f.Load()
	if err != nil {
		t.Fatal(err)
	}
	return f, state
}

// logSize is the size of a folder's log in bytes.
func logSize(t *rapid.T, dir string) int64 {
	info, err := os.Stat(filepath.Join(dir, logName))
	if err != nil {
		t.Fatal(err)
	}
	return info.Size()
}

func persistAll(t *testing.T, f *Folder, p quorum.Persist) {
	t.Helper()
	if err := f.Persist(p); err != nil {
		t.Fatal(err)
	}
}

// Whatever is saved, and whatever bytes of the last save a crash leaves, the state is that before the last save or after.
func TestAnySavesAndAnyTear(t *testing.T) {
	root, number := t.TempDir(), 0
	rapid.Check(t, func(t *rapid.T) {
		number++
		dir := filepath.Join(root, fmt.Sprint(number))
		if err := os.Mkdir(dir, 0o700); err != nil {
			t.Fatal(err)
		}
		f, state := openForProperty(t, dir)
		var before quorum.State
		oldSize := int64(0)
		for range rapid.IntRange(1, 8).Draw(t, "saves") {
			p := drawPersist(t, &state)
			before, oldSize = state, logSize(t, dir)
			before.Entries = slices.Clone(state.Entries)
			if err := state.Take(p); err != nil {
				t.Fatal(err)
			}
			if err := f.Persist(p); err != nil {
				t.Fatal(err)
			}
			if p.Snapshot != nil {
				before, oldSize = state, logSize(t, dir)
			}
		}
		size := logSize(t, dir)
		f.Close()
		left := rapid.Int64Range(oldSize, size).Draw(t, "bytes left")
		if err := os.Truncate(filepath.Join(dir, logName), left); err != nil {
			t.Fatal(err)
		}
		f, got := openForProperty(t, dir)
		f.Close()
		want := before
		if left == size {
			want = state
		}
		if !same(got, want) {
			t.Fatalf("%d of %d bytes: %+v\nwant %+v", left, size, got, want)
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

// A replica that is killed at any time goes on from its files: together with the checks of package quorum, one process
// that elects itself, commits, compacts and is opened anew.
func TestAReplicaGoesOn(t *testing.T) {
	dir := t.TempDir()
	var committed []string
	for life := range 5 {
		f, state, _ := opened(t, dir)
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
				if err := replica.Propose(fmt.Append(nil, "life ", life)); err != nil {
					t.Fatal(err)
				}
			}
			for ready, ok := replica.Ready(); ok; ready, ok = replica.Ready() {
				persistAll(t, f, ready.Persist)
				for _, e := range ready.Committed {
					committed = append(committed, string(e.Data))
				}
				replica.Advance()
			}
		}
		if life%2 == 1 {
			if err := replica.Compact([]byte(strings.Join(committed, "\n"))); err != nil {
				t.Fatal(err)
			}
			ready, _ := replica.Ready()
			persistAll(t, f, ready.Persist)
		}
		f.Close()
	}
	if want := []string{"life 0", "life 1", "life 2", "life 3", "life 4"}; !slices.Equal(committed, want) {
		t.Errorf("%q", committed)
	}
}
