// Package walfile stores the durable state of a quorum replica in a directory: an append-only write-ahead log of records
// with checksums, and a snapshot, which is replaced atomically by renaming.
//
// Save returns once the data is on disk (fsync). Open truncates an incomplete record that a crash left at the end of the
// log, with one line to the logger; such a record was never acknowledged. Damage anywhere else is reported as ErrCorrupt:
// acknowledged data may be missing, and a replica without it could take part in a wrong decision.
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

// Errors that Open and Save wrap.
var (
	ErrCorrupt = errors.New("stored log is damaged") // needs a restore: a replica that starts empty has forgotten its votes
	ErrInUse   = errors.New("stored log is used by another process")
	ErrFailed  = errors.New("an earlier write failed") // the file's end is unknown; it has to be reopened
)

const (
	logName         = "log"
	snapshotName    = "snapshot"
	lockName        = "lock"
	temporarySuffix = ".new" // appended to the name of a file until it is complete
	fileMode        = 0o600
	dirMode         = 0o700
)

// File is the storage of one replica. It is not safe for concurrent use.
type File struct {
	dir     string
	log     *os.File
	lock    *os.File
	state   quorum.State // as stored, without the snapshot's data
	size    int64        // of the log, in bytes
	saveErr error
}

// Open loads the state stored in a directory, and creates the directory if needed. logger gets a line if an incomplete
// record was truncated. Errors: ErrCorrupt, ErrInUse, and those of the file system.
func Open(dir string, logger func(line string)) (*File, quorum.State, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, quorum.State{}, err
	}
	f := &File{dir: dir}
	if err := f.acquireLock(); err != nil {
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

// acquireLock locks the directory against other processes until the file is closed.
func (f *File) acquireLock() error {
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
		return quorum.State{}, fmt.Errorf("%s: %w: the snapshot ends with entry %d, but the log begins after entry %d", f.path(snapshotName), ErrCorrupt,
			snapshot.Index, state.Snapshot.Index)
	}
	// The snapshot is newer than the log if a crash came between the renames of the two.
	if err := state.Apply(quorum.Persist{Snapshot: &snapshot}); err != nil {
		return quorum.State{}, fmt.Errorf("%s: %w: %v", f.path(snapshotName), ErrCorrupt, err)
	}
	return state, nil
}

func (f *File) path(name string) string { return filepath.Join(f.dir, name) }

// readLog reads the log, truncates an incomplete record at its end, and opens it. It creates the log if the directory is new.
func (f *File) readLog(logger func(string)) (quorum.State, error) {
	content, err := os.ReadFile(f.path(logName))
	if errors.Is(err, os.ErrNotExist) {
		return quorum.State{}, f.createLog()
	}
	if err != nil {
		return quorum.State{}, err
	}
	state, validBytes, err := replay(content)
	if err != nil {
		return quorum.State{}, fmt.Errorf("%s: %w", f.path(logName), err)
	}
	if f.log, err = os.OpenFile(f.path(logName), os.O_WRONLY, fileMode); err != nil {
		return quorum.State{}, err
	}
	if validBytes < len(content) {
		logger(fmt.Sprintf("%s: the last %d of %d bytes are an incomplete record, which was never acknowledged: truncated", f.path(logName), len(content)-validBytes, len(content)))
		if err := f.log.Truncate(int64(validBytes)); err != nil {
			return quorum.State{}, err
		}
		if err := f.log.Sync(); err != nil {
			return quorum.State{}, err
		}
	}
	f.size = int64(validBytes)
	_, err = f.log.Seek(f.size, io.SeekStart)
	return state, err
}

// createLog creates the first log of a directory. It fails if there is a snapshot: then an earlier log is missing.
func (f *File) createLog() error {
	if _, err := os.Stat(f.path(snapshotName)); !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s: %w: there is a snapshot but no log", f.path(logName), ErrCorrupt)
	}
	return f.rewriteLog(quorum.State{})
}

// replay returns the state that results from the records of a log, and the length of its complete records in bytes. An
// invalid remainder is a torn write only if it is not at the beginning and no valid record follows.
func replay(content []byte) (state quorum.State, validBytes int, err error) {
	for validBytes < len(content) {
		payload, size, err := readRecord(content[validBytes:])
		if err != nil {
			if validBytes == 0 || containsRecord(content[validBytes+1:]) {
				return quorum.State{}, 0, fmt.Errorf("%w: invalid record at byte %d of %d", ErrCorrupt, validBytes, len(content))
			}
			return state, validBytes, nil
		}
		persist, err := decodePersist(payload)
		if err != nil {
			return quorum.State{}, 0, err
		}
		if err := state.Apply(persist); err != nil {
			return quorum.State{}, 0, fmt.Errorf("%w: record at byte %d: %v", ErrCorrupt, validBytes, err)
		}
		validBytes += size
	}
	if validBytes == 0 {
		return quorum.State{}, 0, fmt.Errorf("%w: the file is empty", ErrCorrupt)
	}
	return state, validBytes, nil
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
		return quorum.Snapshot{}, fmt.Errorf("%s: %w: the file is not exactly one record", f.path(snapshotName), ErrCorrupt)
	}
	persist, err := decodePersist(payload)
	if err != nil || persist.Snapshot == nil {
		return quorum.Snapshot{}, fmt.Errorf("%s: %w: the file contains no snapshot", f.path(snapshotName), ErrCorrupt)
	}
	return *persist.Snapshot, nil
}

// Save stores a Persist durably before it returns. After an error it is unknown what was stored, and every later Save fails
// with ErrFailed: the replica has to stop.
func (f *File) Save(p quorum.Persist) error {
	if f.saveErr != nil {
		return fmt.Errorf("%w: %v", ErrFailed, f.saveErr)
	}
	if p.Empty() {
		return nil
	}
	if err := f.save(p); err != nil {
		f.saveErr = err
		return err
	}
	return nil
}

func (f *File) save(p quorum.Persist) error {
	next := f.state
	if p.Snapshot != nil {
		withoutData := p
		withoutData.Snapshot = &quorum.Snapshot{Index: p.Snapshot.Index, Term: p.Snapshot.Term}
		if err := next.Apply(withoutData); err != nil {
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

// rewriteLog replaces the log by one record of the state, which includes the position of the snapshot that precedes the log,
// and opens it for appending.
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

// replace atomically replaces a file by one of a single record.
func (f *File) replace(name string, payload []byte) error {
	temporary := f.path(name + temporarySuffix)
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(appendRecord(nil, payload))
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
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

// Size returns the size of the log in bytes, without the snapshot. Callers use it to decide when to compact.
func (f *File) Size() int64 { return f.size }

// Close closes the files and unlocks the directory. No data is lost without it.
func (f *File) Close() error {
	var err error
	if f.log != nil {
		err = f.log.Close()
	}
	return errors.Join(err, f.lock.Close())
}
