// Package processfaults plays faults below a program to processes of this machine, for tests: a wall clock that is set while
// they run, and system calls that fail for a moment. It needs no rights: two small libraries are built with the C compiler and
// preloaded into the processes, which have to be linked against the C library.
package processfaults

import (
	"embed"
	"encoding/binary"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

//go:embed preload/*.c
var sources embed.FS

// The files of a Faults' folder. The processes have the tables mapped.
const (
	clockTable = "clock" // the offset of the wall clock, in nanoseconds
	callTable  = "calls" // of entries as preload/faultcalls.c has them
)

const (
	offsetSize = 8  // bytes
	entrySize  = 16 // bytes
	entries    = 8
)

// Faults are those of the processes that are started with its Environment. Its methods may be called while they run, but not
// at once.
type Faults struct{ folder string }

// New builds the libraries in a folder. Nothing is wrong yet.
func New(folder string) (*Faults, error) {
	for _, name := range []string{"stepclock", "faultcalls"} {
		if err := build(folder, name); err != nil {
			return nil, err
		}
	}
	f := &Faults{folder}
	for name, size := range map[string]int{clockTable: offsetSize, callTable: entries * entrySize} {
		if err := os.WriteFile(f.path(name), make([]byte, size), 0o600); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// build builds one library.
func build(folder, name string) error {
	text, err := sources.ReadFile("preload/" + name + ".c")
	if err != nil {
		return err
	}
	source, library := filepath.Join(folder, name+".c"), filepath.Join(folder, name+".so")
	if err := os.WriteFile(source, text, 0o600); err != nil {
		return err
	}
	out, err := exec.Command("cc", "-shared", "-fPIC", "-O1", "-fno-stack-protector", "-o", library, source, "-ldl", "-lpthread").CombinedOutput()
	if err != nil {
		return fmt.Errorf("cc %s: %w\n%s", name, err, out)
	}
	return nil
}

func (f *Faults) path(name string) string { return filepath.Join(f.folder, name) }

// Environment is what a process needs beside its own environment, as NAME=value.
func (f *Faults) Environment() []string {
	return []string{"LD_PRELOAD=" + f.path("stepclock.so") + ":" + f.path("faultcalls.so"), "STEPCLOCK_FILE=" + f.path(clockTable),
		"FAULTCALLS_FILE=" + f.path(callTable)}
}

// SetClock sets the wall clocks so far from the machine's.
func (f *Faults) SetClock(offset time.Duration) error {
	var value [offsetSize]byte
	binary.NativeEndian.PutUint64(value[:], uint64(offset))
	return f.write(clockTable, value[:])
}

// Fail has the next calls of a kind fail with an error, so many in all processes together. It takes back what an earlier Fail
// has left over.
func (f *Faults) Fail(call int, errno syscall.Errno, times int) error {
	var entry [entrySize]byte
	binary.NativeEndian.PutUint32(entry[0:], uint32(call))
	binary.NativeEndian.PutUint32(entry[4:], uint32(errno))
	binary.NativeEndian.PutUint64(entry[8:], uint64(times))
	return f.write(callTable, entry[:])
}

// Remaining is how many calls are still to fail.
func (f *Faults) Remaining() (int, error) {
	table, err := os.ReadFile(f.path(callTable))
	if err != nil {
		return 0, err
	}
	return int(binary.NativeEndian.Uint64(table[8:])), nil
}

// write writes the first bytes of a table in place.
func (f *Faults) write(name string, value []byte) error {
	file, err := os.OpenFile(f.path(name), os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer file.Close()
	_, err = file.WriteAt(value, 0)
	return err
}
