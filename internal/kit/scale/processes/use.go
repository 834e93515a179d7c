package processes

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Places of fields in /proc/PID/stat, from 0 behind the name (proc(5)).
const (
	fieldUser     = 11
	fieldSystem   = 12
	fieldResident = 21
	ticksASecond  = 100 // USER_HZ of Linux
)

// processUse is the processor time in seconds that a process has used, and its resident bytes; zeros for one that is gone.
func processUse(pid int) (cpu, resident float64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) <= fieldResident {
		return 0, 0
	}
	number := func(field int) float64 {
		n, _ := strconv.ParseFloat(fields[field], 64) // the kernel writes numbers
		return n
	}
	return (number(fieldUser) + number(fieldSystem)) / ticksASecond, number(fieldResident) * float64(os.Getpagesize())
}
