// Package logfile keeps the log of a region in a folder: a snapshot of all resources, the transactions after it, and the
// epoch of its writer. What Append has returned for survives a crash of the machine; a transaction that was being written
// when it came is there whole or not at all.
package logfile

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/resource"
)

// The files of a folder.
const (
	lockName     = "lock"     // held by the process that writes
	epochName    = "epoch"    // in decimal
	snapshotName = "snapshot" // as message.EncodeSnapshot writes it, behind its checksum
	logName      = "log"      // records, see record
)

// compactBytes is how large a log may grow before it is made part of the snapshot at the next start or change.
const compactBytes = 64 << 20

const (
	recordHead = 8     // length and CRC-32C of the rest, as big-endian 32-bit numbers
	positions  = 4 * 8 // epoch and version before and after, as big-endian 64-bit numbers
	maxRecord  = 8 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// ErrFailed is returned by all writes after one that failed: what is in the files is not known any more until they are
// opened anew.
var ErrFailed = errors.New("an earlier write has failed: mend the cause and start the process anew")

// Folder is the log of one region on disk, held by this process alone.
type Folder struct {
	path   string
	region string
	lock   *os.File
	log    *os.File
	size   int64 // of the log
	failed bool
}

// Open takes a folder, which must exist. A folder that another process holds is refused.
func Open(path, region string) (*Folder, error) {
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: another process holds it: %w", path, err), lock.Close())
	}
	return &Folder{path: path, region: region, lock: lock}, nil
}

// Close gives the folder back.
func (f *Folder) Close() error {
	var err error
	if f.log != nil {
		err = f.log.Close()
	}
	return errors.Join(err, f.lock.Close())
}

// Load reads what the folder holds into a store that is empty. A transaction at the end that was not written whole is cut
// off, and torn is how many bytes that were; anything else that is wrong is an error, and the files stay as they are.
func (f *Folder) Load(store *changelog.Store) (torn int64, err error) {
	if err := f.loadSnapshot(store); err != nil {
		return 0, err
	}
	if f.log, err = os.OpenFile(f.file(logName), os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o600); err != nil {
		return 0, err
	}
	text, err := io.ReadAll(f.log)
	if err != nil {
		return 0, err
	}
	if f.size, err = f.replay(store, text); err != nil {
		return 0, err
	}
	if torn = int64(len(text)) - f.size; torn > 0 {
		if err := f.log.Truncate(f.size); err != nil {
			return 0, err
		}
	}
	return torn, errors.Join(f.log.Sync(), f.syncFolder())
}

func (f *Folder) file(name string) string { return filepath.Join(f.path, name) }

func (f *Folder) loadSnapshot(store *changelog.Store) error {
	text, err := os.ReadFile(f.file(snapshotName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if len(text) < 4 || crc32.Checksum(text[4:], castagnoli) != binary.BigEndian.Uint32(text) {
		return fmt.Errorf("%s: its checksum is wrong: restore the folder from a backup", f.file(snapshotName))
	}
	region, position, all, skipped, err := message.DecodeSnapshot(text[4:])
	if err != nil {
		return fmt.Errorf("%s: %w", f.file(snapshotName), err)
	}
	if skipped != (message.Skipped{}) {
		return fmt.Errorf("%s: a later version has written it: run that one", f.file(snapshotName))
	}
	if region != f.region {
		return fmt.Errorf("%s: it is the log of region %q, and this is the writer of %q", f.file(snapshotName), region, f.region)
	}
	if position.IsZero() {
		return nil
	}
	return store.Replace(position, all)
}

// replay applies the records of a log, and returns how many bytes were whole.
func (f *Folder) replay(store *changelog.Store, text []byte) (whole int64, err error) {
	for offset := 0; offset < len(text); {
		rest := text[offset:]
		if len(rest) < recordHead {
			return int64(offset), nil
		}
		size := int64(binary.BigEndian.Uint32(rest))
		if size < positions || size > maxRecord {
			return 0, fmt.Errorf("%s: the record at byte %d is damaged: restore the folder from a backup", f.file(logName), offset)
		}
		end := recordHead + size
		if int64(len(rest)) < end {
			return int64(offset), nil
		}
		body := rest[recordHead:end]
		if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(rest[4:]) {
			if int64(len(rest)) == end { // the last one, whose length came to the disk before the rest
				return int64(offset), nil
			}
			return 0, fmt.Errorf("%s: the record at byte %d is damaged: restore the folder from a backup", f.file(logName), offset)
		}
		if err := f.replayOne(store, body); err != nil {
			return 0, fmt.Errorf("%s: the record at byte %d: %w", f.file(logName), offset, err)
		}
		offset += int(end)
	}
	return int64(len(text)), nil
}

func (f *Folder) replayOne(store *changelog.Store, body []byte) error {
	number := func(i int) uint64 { return binary.BigEndian.Uint64(body[8*i:]) }
	from, to := resource.Position{Epoch: number(0), Version: number(1)}, resource.Position{Epoch: number(2), Version: number(3)}
	if to.Compare(store.Position()) <= 0 {
		return nil // the snapshot has it
	}
	changes, skipped, err := message.DecodeChanges(body[positions:])
	if err != nil {
		return err
	}
	if skipped != (message.Skipped{}) {
		return errors.New("a later version has written it: run that one")
	}
	return store.Apply(resource.Transaction{Position: to, Changes: changes}, from)
}

// NextEpoch returns an epoch that no writer of this folder had, later than after and than those of its transactions, and
// keeps it.
func (f *Folder) NextEpoch(store *changelog.Store, after uint64) (uint64, error) {
	text, err := os.ReadFile(f.file(epochName))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return 0, err
	}
	var kept uint64
	if err == nil {
		if kept, err = strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64); err != nil {
			return 0, fmt.Errorf("%s: it is not a number: write the last epoch of this log in it", f.file(epochName))
		}
	}
	epoch := max(kept, after, store.Position().Epoch) + 1
	if epoch == 0 {
		return 0, fmt.Errorf("%s: there is no epoch after %d", f.file(epochName), kept)
	}
	return epoch, f.replace(epochName, []byte(strconv.FormatUint(epoch, 10)+"\n"))
}

// Append keeps a transaction that follows from a position. Once it has returned without an error the transaction survives.
func (f *Folder) Append(t resource.Transaction, from resource.Position) error {
	if f.failed {
		return ErrFailed
	}
	record := make([]byte, recordHead)
	for _, number := range []uint64{from.Epoch, from.Version, t.Position.Epoch, t.Position.Version} {
		record = binary.BigEndian.AppendUint64(record, number)
	}
	record = append(record, message.EncodeChanges(t.Changes)...)
	binary.BigEndian.PutUint32(record, uint32(len(record)-recordHead))
	binary.BigEndian.PutUint32(record[4:], crc32.Checksum(record[recordHead:], castagnoli))
	if _, err := f.log.Write(record); err != nil {
		f.failed = true
		return err
	}
	if err := f.log.Sync(); err != nil {
		f.failed = true
		return err
	}
	f.size += int64(len(record))
	return nil
}

// Large reports whether the log is to be made part of the snapshot.
func (f *Folder) Large() bool { return f.size >= compactBytes }

// Compact makes the snapshot what the store holds, which must be all that the log holds, and empties the log.
func (f *Folder) Compact(store *changelog.Store) error {
	if f.failed {
		return ErrFailed
	}
	snapshot := message.EncodeSnapshot(f.region, store.Position(), store.Snapshot(changelog.Filter{All: true}))
	text := binary.BigEndian.AppendUint32(nil, crc32.Checksum(snapshot, castagnoli))
	if err := f.replace(snapshotName, append(text, snapshot...)); err != nil {
		return err // the former snapshot and the log are as they were
	}
	// From here on the log's records are in the snapshot, and passed over where a crash leaves them.
	if err := errors.Join(f.log.Truncate(0), f.log.Sync()); err != nil {
		f.failed = true
		return err
	}
	f.size = 0
	return nil
}

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
