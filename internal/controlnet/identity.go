package controlnet

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// identityName is the file in a state folder that tells whose folder it is.
const identityName = "identity"

// identify checks that a state folder is that of a member of a region, or makes it so where nothing is in it yet: a member
// that started from the memory of another would break its word.
func identify(folder, region string, member uint64, empty bool) error {
	path := filepath.Join(folder, identityName)
	want := fmt.Sprintf("region %q, member %d\n", region, member)
	text, err := os.ReadFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist) && empty:
		return writeSynced(path, want)
	case errors.Is(err, fs.ErrNotExist):
		return fmt.Errorf("%s: it is missing, and there is a log: restore the folder from a backup", path)
	case err == nil && string(text) != want:
		return fmt.Errorf("%s: the folder is that of %.100q, and this is %.100q", path, text, want)
	}
	return err
}

// writeSynced writes a file that was not there, and has it on the disk.
func writeSynced(path, text string) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = file.WriteString(text)
	return errors.Join(err, file.Sync(), file.Close())
}
