package processes

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Indexes of fields in /proc/PID/stat, counted from 0 after the process name (proc(5)).
const (
	fieldUser      = 11
	fieldSystem    = 12
	fieldResident  = 21
	ticksPerSecond = 100 // USER_HZ of Linux
)

// readProcessUsage returns the processor time in seconds and the resident bytes of a process, or zeros if it has exited.
func readProcessUsage(pid int) (cpu, resident float64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) <= fieldResident {
		return 0, 0
	}
	number := func(field int) float64 {
		n, _ := strconv.ParseFloat(fields[field], 64) // the kernel writes valid numbers
		return n
	}
	return (number(fieldUser) + number(fieldSystem)) / ticksPerSecond, number(fieldResident) * float64(os.Getpagesize())
}
