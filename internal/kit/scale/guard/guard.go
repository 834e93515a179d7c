// Package guard watches what a scale run uses of the machine, and ends the run where it passes its limits. It counts this
// process and all that descend from it, as the kernel lists them (/proc).
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

// Interval is how often the use is looked at.
const Interval = 200 * time.Millisecond

// Use is what a run has in use.
type Use struct {
	Memory    int64 // resident bytes of all its processes together
	Processes int
}

// Limits are what it may use.
type Limits Use

// Over is the error of a run that passed a limit.
type Over struct {
	Use    Use
	Limits Limits
}

func (e *Over) Error() string {
	return fmt.Sprintf("ended: the run uses %d MiB in %d processes, and its limits are %d MiB and %d processes",
		e.Use.Memory>>20, e.Use.Processes, e.Limits.Memory>>20, e.Limits.Processes)
}

// Guard watches until it is stopped.
type Guard struct {
	mu   sync.Mutex
	most Use

	stop context.CancelFunc
	done chan struct{}
}

// Watch returns a context that ends with an Over as its cause once a limit is passed.
func Watch(ctx context.Context, limits Limits) (context.Context, *Guard) {
	ctx, cancel := context.WithCancelCause(ctx)
	watch, stop := context.WithCancel(ctx)
	g := &Guard{stop: stop, done: make(chan struct{})}
	go func() {
		defer close(g.done)
		tick := time.NewTicker(Interval)
		defer tick.Stop()
		for {
			if use, err := Now(); err == nil && g.note(use, limits) {
				cancel(&Over{use, limits})
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

// note keeps the most that was seen, and tells whether a limit is passed.
func (g *Guard) note(use Use, limits Limits) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.most.Memory, g.most.Processes = max(g.most.Memory, use.Memory), max(g.most.Processes, use.Processes)
	return use.Memory > limits.Memory || use.Processes > limits.Processes
}

// Stop ends the watching and returns the most that was in use.
func (g *Guard) Stop() Use {
	g.stop()
	<-g.done
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.most
}

// Now is what this process and its descendants use.
func Now() (Use, error) {
	files, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		return Use{}, err
	}
	parents, resident := map[int]int{}, map[int]int64{}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			continue // it has just ended
		}
		if pid, parent, pages, ok := parseStat(string(text)); ok {
			parents[pid], resident[pid] = parent, pages*int64(os.Getpagesize())
		}
	}
	var use Use
	for pid := range parents {
		if descends(parents, pid, os.Getpid()) {
			use.Memory += resident[pid]
			use.Processes++
		}
	}
	return use, nil
}

// descends tells whether a process is another one or descends from it.
func descends(parents map[int]int, pid, from int) bool {
	for range len(parents) { // a list that was read while it changed may hold a ring
		if pid == from {
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

// The places of fields in a stat line, from 0 behind the name (proc(5)).
const (
	fieldParent   = 1
	fieldResident = 21
)

// parseStat reads a line of /proc/PID/stat. A name may hold spaces and brackets.
func parseStat(text string) (pid, parent int, pages int64, ok bool) {
	open, end := strings.IndexByte(text, '('), strings.LastIndexByte(text, ')')
	if open < 0 || end < open {
		return 0, 0, 0, false
	}
	rest := strings.Fields(text[end+1:])
	if len(rest) <= fieldResident {
		return 0, 0, 0, false
	}
	pid, err1 := strconv.Atoi(strings.TrimSpace(text[:open]))
	parent, err2 := strconv.Atoi(rest[fieldParent])
	pages, err3 := strconv.ParseInt(rest[fieldResident], 10, 64)
	return pid, parent, pages, err1 == nil && err2 == nil && err3 == nil
}
