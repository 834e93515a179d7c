// Package processfaults injects faults below running processes, for tests: steps of the wall clock, and system calls that
// fail a given number of times. It needs no privileges: two small libraries are built with the C compiler and preloaded into
// the processes, which have to be linked against the C library.
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

// Files in the folder of a Faults, which the processes map into memory.
const (
	clockTable = "clock" // the offset of the wall clock, in nanoseconds
	callTable  = "calls" // an array of struct fault of preload/faultcalls.c
)

const (
	offsetSize   = 8  // bytes
	entrySize    = 16 // bytes
	tableEntries = 8
)

// Faults controls the faults of the processes that are started with its Environment. Its methods may be called while the
// processes run, but not concurrently.
type Faults struct{ dir string }

// New builds the libraries in a folder. It injects no fault yet.
func New(dir string) (*Faults, error) {
	for _, name := range []string{"stepclock", "faultcalls"} {
		if err := build(dir, name); err != nil {
			return nil, err
		}
	}
	f := &Faults{dir}
	for name, size := range map[string]int{clockTable: offsetSize, callTable: tableEntries * entrySize} {
		if err := os.WriteFile(f.path(name), make([]byte, size), 0o600); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// build compiles one library.
func build(dir, name string) error {
	text, err := sources.ReadFile("preload/" + name + ".c")
	if err != nil {
		return err
	}
	source, library := filepath.Join(dir, name+".c"), filepath.Join(dir, name+".so")
	if err := os.WriteFile(source, text, 0o600); err != nil {
		return err
	}
	out, err := exec.Command("cc", "-shared", "-fPIC", "-O1", "-fno-stack-protector", "-o", library, source, "-ldl", "-lpthread").CombinedOutput()
	if err != nil {
		return fmt.Errorf("cc %s: %w\n%s", name, err, out)
	}
	return nil
}

func (f *Faults) path(name string) string { return filepath.Join(f.dir, name) }

// Environment returns the variables to add to a process's environment, as NAME=value.
func (f *Faults) Environment() []string {
	return []string{"LD_PRELOAD=" + f.path("stepclock.so") + ":" + f.path("faultcalls.so"), "STEPCLOCK_FILE=" + f.path(clockTable),
		"FAULTCALLS_FILE=" + f.path(callTable)}
}

// SetClock sets the offset of the processes' wall clocks from the machine's.
func (f *Faults) SetClock(offset time.Duration) error {
	var value [offsetSize]byte
	binary.NativeEndian.PutUint64(value[:], uint64(offset))
	return f.write(clockTable, value[:])
}

// Fail has the next calls of a system call fail with errno, times in all processes together. It replaces what remains of an
// earlier Fail.
func (f *Faults) Fail(call int, errno syscall.Errno, times int) error {
	var entry [entrySize]byte
	binary.NativeEndian.PutUint32(entry[0:], uint32(call))
	binary.NativeEndian.PutUint32(entry[4:], uint32(errno))
	binary.NativeEndian.PutUint64(entry[8:], uint64(times))
	return f.write(callTable, entry[:])
}

// Remaining returns the number of calls that are still to fail.
func (f *Faults) Remaining() (int, error) {
	table, err := os.ReadFile(f.path(callTable))
	if err != nil {
		return 0, err
	}
	return int(binary.NativeEndian.Uint64(table[8:])), nil
}

// write overwrites the first bytes of a table file in place.
func (f *Faults) write(name string, value []byte) error {
	file, err := os.OpenFile(f.path(name), os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer file.Close()
	_, err = file.WriteAt(value, 0)
	return err
}
