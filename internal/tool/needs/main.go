// Command needs checks that a program is dynamically linked against a shared library: `needs PROGRAM LIBRARY`. If it is not,
// the command lists the libraries that the program needs and exits with status 1.
package main

import (
	"debug/elf"
	"fmt"
	"os"
	"slices"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "needs: usage: needs PROGRAM LIBRARY")
		os.Exit(2)
	}
	f, err := elf.Open(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "needs:", err)
		os.Exit(2)
	}
	defer f.Close()
	libraries, err := f.ImportedLibraries()
	if err != nil {
		fmt.Fprintln(os.Stderr, "needs:", err)
		os.Exit(2)
	}
	if !slices.Contains(libraries, os.Args[2]) {
		fmt.Fprintf(os.Stderr, "needs: %s is linked against %q and not against %s: build it with cgo and -ldflags=-linkmode=external\n",
			os.Args[1], libraries, os.Args[2])
		os.Exit(1)
	}
}
