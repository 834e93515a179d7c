package controlnet

import (
	"errors"
	"fmt"
	"sync"

	"craneglade/internal/controlnet/logfile"
	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/resource"
)

// writer changes the log of one region. A transaction is on disk before anybody is told of it.
type writer struct {
	epoch   uint64
	process *Process
	served  *changelog.Store // what the publisher serves; guarded by the process

	mu     sync.Mutex // one change at a time; held during I/O
	staged *changelog.Store
	folder *logfile.Folder
}

// openWriter takes the log of a region from its folder, under a new epoch later than after.
func openWriter(path, region string, after uint64) (w *writer, torn int64, err error) {
	folder, err := logfile.Open(path, region)
	if err != nil {
		return nil, 0, err
	}
	w = &writer{folder: folder, served: changelog.NewStore(region, changelog.Limits{}),
		staged: changelog.NewStore(region, changelog.Limits{Transactions: 1})}
	if torn, err = w.load(after); err != nil {
		return nil, 0, errors.Join(err, folder.Close())
	}
	return w, torn, nil
}

func (w *writer) load(after uint64) (torn int64, err error) {
	if torn, err = w.folder.Load(w.served); err != nil {
		return 0, err
	}
	if w.epoch, err = w.folder.NextEpoch(w.served, after); err != nil {
		return 0, err
	}
	if w.served.Position().IsZero() {
		return torn, nil
	}
	return torn, w.staged.Replace(w.served.Position(), w.served.Snapshot(changelog.Filter{All: true}))
}

// apply takes changes as one transaction, or refuses them whole: an error of package resource names the resource and field.
func (w *writer) apply(changes []resource.Change) (resource.Position, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	from := w.staged.Position()
	transaction, err := w.staged.Append(w.epoch, changes)
	if err != nil {
		return resource.Position{}, err
	}
	if err := w.folder.Append(transaction, from); err != nil {
		return resource.Position{}, fmt.Errorf("the change could not be kept, and counts as refused unless it is there after a restart: %w", err)
	}
	w.process.Do(func() { err = w.served.Apply(transaction, from) })
	if err != nil {
		return resource.Position{}, err
	}
	if w.folder.Large() {
		err = w.folder.Compact(w.staged)
	}
	return transaction.Position, err
}

func (w *writer) close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.folder.Close()
}
