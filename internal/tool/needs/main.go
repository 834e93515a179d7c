// Command needs tells whether a program asks for a shared library: `needs PROGRAM LIBRARY`. It ends with status 1, and
// one line that says what the program asks for, where it does not.
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
		fmt.Fprintf(os.Stderr, "needs: %s asks for %q and not for %s: it has to be built with cgo and -ldflags=-linkmode=external\n",
			os.Args[1], libraries, os.Args[2])
		os.Exit(1)
	}
}
