package controlnet

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// identityFile is the file in a state folder that names the region and the member it belongs to.
const identityFile = "identity"

// checkIdentity checks that a state folder belongs to a member of a region, and writes the identity if the folder is empty. A
// member that started from another member's state would break its promises to the quorum, such as its votes.
func checkIdentity(folder, region string, member uint64, empty bool) error {
	path := filepath.Join(folder, identityFile)
	want := fmt.Sprintf("region %q, member %d\n", region, member)
	text, err := os.ReadFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist) && empty:
		return writeSynced(path, want)
	case errors.Is(err, fs.ErrNotExist):
		return fmt.Errorf("%s: the file is missing but the log is not empty: restore the folder from a backup", path)
	case err == nil && string(text) != want:
		return fmt.Errorf("%s: the folder belongs to %.100q, this process is %.100q", path, text, want)
	}
	return err
}

// writeSynced creates a file and syncs it to disk.
func writeSynced(path, text string) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = file.WriteString(text)
	return errors.Join(err, file.Sync(), file.Close())
}
