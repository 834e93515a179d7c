// Package guard monitors the memory and processes of a scale run, and cancels the run if it exceeds its limits. It counts
// this process and all its descendants as listed in /proc.
package guard

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Interval is the time between two readings of the usage.
const Interval = 200 * time.Millisecond

// Usage is what a run uses of the machine.
type Usage struct {
	Memory    int64 // resident bytes of all its processes together
	Processes int
}

// Limits bounds the usage of a run.
type Limits Usage

// LimitError reports that a run exceeded a limit.
type LimitError struct {
	Usage  Usage
	Limits Limits
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("run stopped: %d MiB in %d processes in use, limits are %d MiB and %d processes",
		e.Usage.Memory>>20, e.Usage.Processes, e.Limits.Memory>>20, e.Limits.Processes)
}

// Guard monitors the usage until it is stopped.
type Guard struct {
	mu   sync.Mutex
	peak Usage

	stop context.CancelFunc
	done chan struct{}
}

// Watch returns a context that is cancelled with a LimitError as its cause when a limit is exceeded.
func Watch(ctx context.Context, limits Limits) (context.Context, *Guard) {
	ctx, cancel := context.WithCancelCause(ctx)
	watch, stop := context.WithCancel(ctx)
	g := &Guard{stop: stop, done: make(chan struct{})}
	go func() {
		defer close(g.done)
		tick := time.NewTicker(Interval)
		defer tick.Stop()
		for {
			if usage, err := CurrentUsage(); err == nil && g.record(usage, limits) {
				cancel(&LimitError{usage, limits})
				return
			}
			select {
			case <-watch.Done():
				return
			case <-tick.C:
			}
		}
	}()
	return ctx, g
}

// record updates the peak, and reports whether a limit is exceeded.
func (g *Guard) record(usage Usage, limits Limits) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peak.Memory, g.peak.Processes = max(g.peak.Memory, usage.Memory), max(g.peak.Processes, usage.Processes)
	return usage.Memory > limits.Memory || usage.Processes > limits.Processes
}

// Stop ends the monitoring and returns the peak of each figure.
func (g *Guard) Stop() Usage {
	g.stop()
	<-g.done
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peak
}

// CurrentUsage returns the usage of this process and its descendants.
func CurrentUsage() (Usage, error) {
	files, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		return Usage{}, err
	}
	parents, resident := map[int]int{}, map[int]int64{}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			continue // the process has exited meanwhile
		}
		if pid, parent, pages, ok := parseStat(string(text)); ok {
			parents[pid], resident[pid] = parent, pages*int64(os.Getpagesize())
		}
	}
	var usage Usage
	for pid := range parents {
		if isDescendant(parents, pid, os.Getpid()) {
			usage.Memory += resident[pid]
			usage.Processes++
		}
	}
	return usage, nil
}

// isDescendant reports whether a process is ancestor or descends from it.
func isDescendant(parents map[int]int, pid, ancestor int) bool {
	for range len(parents) { // parents were read while they changed, so they may form a cycle
		if pid == ancestor {
			return true
		}
		parent, ok := parents[pid]
		if !ok || parent == 0 {
			return false
		}
		pid = parent
	}
	return false
}

// Indexes of fields in /proc/PID/stat, counted from 0 after the process name (proc(5)).
const (
	fieldParent   = 1
	fieldResident = 21
)

// parseStat parses /proc/PID/stat. The process name may contain spaces and parentheses.
func parseStat(text string) (pid, parent int, pages int64, ok bool) {
	open, end := strings.IndexByte(text, '('), strings.LastIndexByte(text, ')')
	if open < 0 || end < open {
		return 0, 0, 0, false
	}
	fields := strings.Fields(text[end+1:])
	if len(fields) <= fieldResident {
		return 0, 0, 0, false
	}
	pid, err1 := strconv.Atoi(strings.TrimSpace(text[:open]))
	parent, err2 := strconv.Atoi(fields[fieldParent])
	pages, err3 := strconv.ParseInt(fields[fieldResident], 10, 64)
	return pid, parent, pages, err1 == nil && err2 == nil && err3 == nil
}
