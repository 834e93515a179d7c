// Package walfile keeps what a replica of a quorum must not forget in a directory: a write-ahead log of records with
// checksums, to which is only appended, and a snapshot, which is replaced as a whole by renaming.
//
// What Save has returned from is on the disk (fsync). A record that a crash left half written at the log's end is cut off,
// with one line to the logger; it was never confirmed to anybody. Damage anywhere else is ErrCorrupt, for then something
// that was confirmed may be gone, and a replica that forgot it could take part in a wrong decision.
package walfile

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"craneglade/internal/controlplane/quorum"
)

// Errors of Open and Save, which wrap them.
var (
	ErrCorrupt = errors.New("stored log is damaged") // remedy: a restore; one that starts empty has forgotten its votes
	ErrInUse   = errors.New("stored log is used by another process")
	ErrFailed  = errors.New("an earlier write failed") // the file's end is not known any more; open it anew
)

const (
	logName       = "log"
	snapshotName  = "snapshot"
	lockName      = "lock"
	temporaryName = ".new" // appended to the name of a file until it is whole
	fileMode      = 0o600
	dirMode       = 0o700
)

// File is the storage of one replica. It belongs to one goroutine at a time.
type File struct {
	dir    string
	log    *os.File
	lock   *os.File
	state  quorum.State // as on the disk, without the snapshot's data
	size   int64        // bytes of the log
	failed error
}

// Open reads what a directory keeps, and makes the directory where there is none. logger gets a line where a torn end was
// cut off. Errors: ErrCorrupt, ErrInUse, and those of the file system.
func Open(dir string, logger func(line string)) (*File, quorum.State, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, quorum.State{}, err
	}
	f := &File{dir: dir}
	if err := f.takeLock(); err != nil {
		return nil, quorum.State{}, err
	}
	state, err := f.load(logger)
	if err != nil {
		f.Close()
		return nil, quorum.State{}, err
	}
	f.state = state
	f.state.Snapshot.Data = nil
	return f, state, nil
}

// takeLock keeps other processes from the directory until the file is closed.
func (f *File) takeLock() error {
	path := filepath.Join(f.dir, lockName)
	lock, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return fmt.Errorf("%s: %w: %v", path, ErrInUse, err)
	}
	f.lock = lock
	return nil
}

// load reads both files and opens the log for appending.
func (f *File) load(logger func(string)) (quorum.State, error) {
	state, err := f.readLog(logger)
	if err != nil {
		return quorum.State{}, err
	}
	snapshot, err := f.readSnapshot()
	if err != nil {
		return quorum.State{}, err
	}
	if snapshot.Index < state.Snapshot.Index {
		return quorum.State{}, fmt.Errorf("%s: %w: of entry %d, and the log begins after entry %d", f.path(snapshotName), ErrCorrupt,
			snapshot.Index, state.Snapshot.Index)
	}
	// A crash may have come after the snapshot was renamed and before the log was.
	if err := state.Apply(quorum.Persist{Snapshot: &snapshot}); err != nil {
		return quorum.State{}, fmt.Errorf("%s: %w: %v", f.path(snapshotName), ErrCorrupt, err)
	}
	return state, nil
}

func (f *File) path(name string) string { return filepath.Join(f.dir, name) }

// readLog reads the log, cuts off its torn end, and opens it. A directory without one gets an empty one.
func (f *File) readLog(logger func(string)) (quorum.State, error) {
	content, err := os.ReadFile(f.path(logName))
	if errors.Is(err, os.ErrNotExist) {
		return quorum.State{}, f.createLog()
	}
	if err != nil {
		return quorum.State{}, err
	}
	state, whole, err := replay(content)
	if err != nil {
		return quorum.State{}, fmt.Errorf("%s: %w", f.path(logName), err)
	}
	if f.log, err = os.OpenFile(f.path(logName), os.O_WRONLY, fileMode); err != nil {
		return quorum.State{}, err
	}
	if whole < len(content) {
		logger(fmt.Sprintf("%s: the last %d of %d bytes are half a record, which was never confirmed: cut off", f.path(logName), len(content)-whole, len(content)))
		if err := f.log.Truncate(int64(whole)); err != nil {
			return quorum.State{}, err
		}
		if err := f.log.Sync(); err != nil {
			return quorum.State{}, err
		}
	}
	f.size = int64(whole)
	_, err = f.log.Seek(f.size, io.SeekStart)
	return state, err
}

// createLog makes the first log of a directory, unless there was one: a snapshot tells.
func (f *File) createLog() error {
	if _, err := os.Stat(f.path(snapshotName)); !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s: %w: there is a snapshot, and no log", f.path(logName), ErrCorrupt)
	}
	return f.rewriteLog(quorum.State{})
}

// replay is the state that the records of a log make, and how many bytes of it are whole records.
func replay(content []byte) (state quorum.State, whole int, err error) {
	for whole < len(content) {
		payload, size, err := readRecord(content[whole:])
		if err != nil {
			if whole == 0 || holdsRecord(content[whole+1:]) {
				return quorum.State{}, 0, fmt.Errorf("%w: the record at byte %d of %d", ErrCorrupt, whole, len(content))
			}
			return state, whole, nil
		}
		persist, err := decodePersist(payload)
		if err != nil {
			return quorum.State{}, 0, err
		}
		if err := state.Apply(persist); err != nil {
			return quorum.State{}, 0, fmt.Errorf("%w: the record at byte %d: %v", ErrCorrupt, whole, err)
		}
		whole += size
	}
	if whole == 0 {
		return quorum.State{}, 0, fmt.Errorf("%w: it is empty", ErrCorrupt)
	}
	return state, whole, nil
}

func (f *File) readSnapshot() (quorum.Snapshot, error) {
	content, err := os.ReadFile(f.path(snapshotName))
	if errors.Is(err, os.ErrNotExist) {
		return quorum.Snapshot{}, nil
	}
	if err != nil {
		return quorum.Snapshot{}, err
	}
	payload, size, err := readRecord(content)
	if err != nil || size != len(content) {
		return quorum.Snapshot{}, fmt.Errorf("%s: %w: it is not one whole record", f.path(snapshotName), ErrCorrupt)
	}
	persist, err := decodePersist(payload)
	if err != nil || persist.Snapshot == nil {
		return quorum.Snapshot{}, fmt.Errorf("%s: %w: there is no snapshot in it", f.path(snapshotName), ErrCorrupt)
	}
	return *persist.Snapshot, nil
}

// Save keeps a Persist; when it returns, all of it is on the disk. After an error nothing is known of what was kept, and
// every later Save fails with ErrFailed: the replica has to stop.
func (f *File) Save(p quorum.Persist) error {
	if f.failed != nil {
		return fmt.Errorf("%w: %v", ErrFailed, f.failed)
	}
	if p.Empty() {
		return nil
	}
	if err := f.save(p); err != nil {
		f.failed = err
		return err
	}
	return nil
}

func (f *File) save(p quorum.Persist) error {
	next := f.state
	if p.Snapshot != nil {
		short := p
		short.Snapshot = &quorum.Snapshot{Index: p.Snapshot.Index, Term: p.Snapshot.Term}
		if err := next.Apply(short); err != nil {
			return err
		}
		if err := f.replace(snapshotName, encodePersist(quorum.Persist{Snapshot: p.Snapshot}, true)); err != nil {
			return err
		}
		f.state = next
		return f.rewriteLog(next)
	}
	if err := next.Apply(p); err != nil {
		return err
	}
	if err := f.append(encodePersist(p, false)); err != nil {
		return err
	}
	f.state = next
	return nil
}

func (f *File) append(payload []byte) error {
	record := appendRecord(nil, payload)
	if _, err := f.log.Write(record); err != nil {
		return err
	}
	f.size += int64(len(record))
	return f.log.Sync()
}

// rewriteLog makes a log of one record, which says after which snapshot it begins, and goes on with it.
func (f *File) rewriteLog(state quorum.State) error {
	payload := encodePersist(quorum.Persist{Hard: &state.Hard, Snapshot: &state.Snapshot, Entries: state.Entries}, false)
	if err := f.replace(logName, payload); err != nil {
		return err
	}
	log, err := os.OpenFile(f.path(logName), os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	if f.log != nil {
		f.log.Close()
	}
	f.log = log
	f.size, err = log.Seek(0, io.SeekEnd)
	return err
}

// replace makes a file of one record take the place of another, whole or not at all.
func (f *File) replace(name string, payload []byte) error {
	temporary := f.path(name + temporaryName)
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(appendRecord(nil, payload))
	if err == nil {
		err = file.Sync()
	}
	if closed := file.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return err
	}
	if err := os.Rename(temporary, f.path(name)); err != nil {
		return err
	}
	return f.syncDirectory()
}

func (f *File) syncDirectory() error {
	dir, err := os.Open(f.dir)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

// Size is the bytes of the log, without the snapshot: what tells its owner when to compact.
func (f *File) Size() int64 { return f.size }

// Close ends the use of the directory. Nothing is lost by not calling it.
func (f *File) Close() error {
	var err error
	if f.log != nil {
		err = f.log.Close()
	}
	return errors.Join(err, f.lock.Close())
}
