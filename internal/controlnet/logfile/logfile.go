// Package logfile keeps in a folder what a member of a region's quorum must not forget: its term and vote, and the entries
// of the log behind a snapshot. What Persist has returned for survives a crash of the machine; what was being written when
// it came is there whole or not at all.
package logfile

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"craneglade/internal/controlplane/quorum"
)

// The files of a folder.
const (
	lockName     = "lock"     // held by the process that writes
	identityName = "identity" // whose folder it is
	logName      = "log"      // records: a snapshot, if there is one, and what was persisted after it
)

// The kinds of records, in the first byte of their bodies. All numbers behind it are big-endian, of 64 bits.
const (
	snapshotRecord byte = iota + 1 // index, term, data
	hardRecord                     // term, vote, commit
	entryRecord                    // index, term, data
)

// ErrFailed is returned by Persist after a write that failed: what is in the files is not known until they are opened anew.
var ErrFailed = errors.New("an earlier write has failed: mend the cause and start the process anew")

// Folder is the memory of one member on disk, held by this process alone.
type Folder struct {
	path   string
	lock   *os.File
	log    *os.File
	state  quorum.State // what the files hold
	behind int          // bytes behind the snapshot
	failed bool
}

// Open takes a folder, which must exist, for a member of a region. One that another process holds, or that is another
// member's, is refused: a member that starts from the memory of another would break its word.
func Open(path, region string, member uint64) (*Folder, error) {
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: another process holds it: %w", path, err), lock.Close())
	}
	f := &Folder{path: path, lock: lock}
	if err := f.identify(fmt.Sprintf("region %q, member %d\n", region, member)); err != nil {
		return nil, errors.Join(err, lock.Close())
	}
	return f, nil
}

func (f *Folder) file(name string) string { return filepath.Join(f.path, name) }

// identify checks that the folder is that of identity, or makes it so.
func (f *Folder) identify(identity string) error {
	text, err := os.ReadFile(f.file(identityName))
	if errors.Is(err, fs.ErrNotExist) {
		if _, err := os.Stat(f.file(logName)); err == nil {
			return fmt.Errorf("%s: it is missing, and there is a log: restore the folder from a backup", f.file(identityName))
		}
		return f.replace(identityName, []byte(identity))
	}
	if err == nil && string(text) != identity {
		return fmt.Errorf("%s: the folder is that of %.100q, and this is %.100q", f.file(identityName), text, identity)
	}
	return err
}

// Close gives the folder back.
func (f *Folder) Close() error {
	var err error
	if f.log != nil {
		err = f.log.Close()
	}
	return errors.Join(err, f.lock.Close())
}

// Load reads what the folder holds. What was not written whole at the end is cut off, and torn is how many bytes that were;
// anything else that is wrong is an error, and the files stay as they are.
func (f *Folder) Load() (state quorum.State, torn int, err error) {
	if f.log, err = os.OpenFile(f.file(logName), os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o600); err != nil {
		return quorum.State{}, 0, err
	}
	text, err := io.ReadAll(f.log)
	if err != nil {
		return quorum.State{}, 0, err
	}
	whole, err := readRecords(text, f.take)
	if err != nil {
		return quorum.State{}, 0, fmt.Errorf("%s: %w", f.file(logName), err)
	}
	if torn = len(text) - whole; torn > 0 {
		if err := f.log.Truncate(int64(whole)); err != nil {
			return quorum.State{}, 0, err
		}
	}
	return f.state, torn, errors.Join(f.log.Sync(), f.syncFolder())
}

// take brings the state to what it is after a record.
func (f *Folder) take(body []byte) error {
	const kind, number = 1, 8
	if len(body) < kind+2*number {
		return fmt.Errorf("%d bytes are too few: %w", len(body), errDamaged)
	}
	at := func(i int) uint64 { return binary.BigEndian.Uint64(body[kind+number*i:]) }
	rest := body[kind+2*number:]
	switch {
	case body[0] == snapshotRecord:
		return f.state.Take(quorum.Persist{Snapshot: &quorum.Snapshot{Index: at(0), Term: at(1), Data: rest}})
	case body[0] == hardRecord && len(rest) == number:
		f.behind += len(body)
		return f.state.Take(quorum.Persist{Hard: &quorum.HardState{Term: at(0), Vote: at(1), Commit: at(2)}})
	case body[0] == entryRecord:
		f.behind += len(body)
		return f.state.Take(quorum.Persist{Entries: []quorum.LogEntry{{Index: at(0), Term: at(1), Data: rest}}})
	}
	return fmt.Errorf("its kind %d is not known: a later version has written it", body[0])
}

func body(kind byte, data []byte, numbers ...uint64) []byte {
	b := make([]byte, 1, 1+8*len(numbers)+len(data))
	b[0] = kind
	for _, n := range numbers {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	return append(b, data...)
}

// appendState appends the records of a hard state and of entries.
func appendState(text []byte, hard *quorum.HardState, entries []quorum.LogEntry) (all []byte, ok bool) {
	for i := range entries {
		e := &entries[i]
		if text, ok = appendRecord(text, body(entryRecord, e.Data, e.Index, e.Term)); !ok {
			return nil, false
		}
	}
	if hard == nil {
		return text, true
	}
	return appendRecord(text, body(hardRecord, nil, hard.Term, hard.Vote, hard.Commit))
}

// Persist keeps what a Ready says is to be kept. Once it has returned without an error that survives.
func (f *Folder) Persist(p quorum.Persist) error {
	if f.failed {
		return ErrFailed
	}
	if p.Empty() {
		return nil
	}
	err := f.state.Take(p)
	if err == nil && p.Snapshot != nil {
		err = f.rewrite()
	} else if err == nil {
		err = f.add(p)
	}
	f.failed = err != nil
	return err
}

var errTooLarge = errors.New("it is too large to be kept")

// add appends what is new to the log.
func (f *Folder) add(p quorum.Persist) error {
	text, ok := appendState(nil, p.Hard, p.Entries)
	if !ok {
		return errTooLarge
	}
	if _, err := f.log.Write(text); err != nil {
		return err
	}
	f.behind += len(text)
	return f.log.Sync()
}

// rewrite makes a new log of the state as a whole.
func (f *Folder) rewrite() error {
	s := &f.state
	text, ok := appendRecord(nil, body(snapshotRecord, s.Snapshot.Data, s.Snapshot.Index, s.Snapshot.Term))
	if !ok {
		return errTooLarge
	}
	behind := len(text)
	if text, ok = appendState(text, &s.Hard, s.Entries); !ok {
		return errTooLarge
	}
	if err := f.replace(logName, text); err != nil {
		return err
	}
	f.behind = len(text) - behind
	log, err := os.OpenFile(f.file(logName), os.O_RDWR|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	former := f.log
	f.log = log
	return former.Close()
}

// Behind is how many bytes follow the snapshot.
func (f *Folder) Behind() int { return f.behind }

// replace puts a file in place of another of its name, whole or not at all.
func (f *Folder) replace(name string, text []byte) error {
	temporary := f.file(name + ".new")
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(text)
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	if err := os.Rename(temporary, f.file(name)); err != nil {
		return err
	}
	return f.syncFolder()
}

func (f *Folder) syncFolder() error {
	folder, err := os.Open(f.path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}
