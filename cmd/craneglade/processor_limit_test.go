package main

import (
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	processorPeriod = 100 * time.Millisecond // in which a limited process gets its part of a processor
	processorCheck  = time.Millisecond
)

// processorTime returns the processor time that a process has used, by its clock as in clock_getcpuclockid(3).
func processorTime(pid int) (time.Duration, error) {
	const schedulerClock = 2
	var used unix.Timespec
	err := unix.ClockGettime(int32(^pid<<3|schedulerClock), &used)
	return time.Duration(used.Nano()), err
}

// limitProcessor lets a process have at most cores of one processor, as DEPLOY limits a node: one that has used its part of a period
// is stopped until the period ends. What it used beyond its part counts in the next period.
func limitProcessor(t *testing.T, pid int, cores float64) {
	t.Helper()
	part := time.Duration(cores * float64(processorPeriod))
	allowed, err := processorTime(pid)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	t.Cleanup(func() {
		close(ended)
		syscall.Kill(pid, syscall.SIGCONT)
	})
	go func() {
		for start := time.Now(); ; start = time.Now() {
			allowed += part
			for time.Since(start) < processorPeriod {
				used, err := processorTime(pid)
				if err != nil {
					return // the process has ended
				}
				if used >= allowed {
					syscall.Kill(pid, syscall.SIGSTOP)
					time.Sleep(processorPeriod - time.Since(start))
					syscall.Kill(pid, syscall.SIGCONT)
					break
				}
				time.Sleep(processorCheck)
			}
			if used, err := processorTime(pid); err == nil && used < allowed {
				allowed = used // unused time is not saved
			}
			select {
			case <-ended:
				return
			default:
			}
		}
	}()
}
