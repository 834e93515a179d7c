package processes

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// stopTimeout is how long a child may run after SIGTERM before it is killed.
const stopTimeout = 6 * time.Second

// logTailBytes is the size of the end of a child's log that is kept for error messages.
const logTailBytes = 2 << 10

// children holds all processes that a run has started.
type children struct {
	mu  sync.Mutex
	all []*child
}

// child is a started process.
type child struct {
	name     string
	cmd      *exec.Cmd
	log      logTail
	ended    chan struct{}
	err      error // of Wait; may be read once ended is closed
	stopping bool  // its exit is expected; guarded by children.mu
}

// logTail keeps the last logTailBytes that are written to it.
type logTail struct {
	mu   sync.Mutex
	text []byte
}

func (t *logTail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, p...)
	if excess := len(t.text) - logTailBytes; excess > 0 {
		t.text = bytes.Clone(t.text[excess:])
	}
	return len(p), nil
}

func (t *logTail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.text)
}

// ExitError reports that a process exited unexpectedly.
type ExitError struct {
	Name string
	Err  error
	Log  string
}

func (e *ExitError) Error() string {
	return fmt.Sprintf("%s exited unexpectedly: %v: %.300q", e.Name, e.Err, e.Log)
}

// start starts a process in a process group of its own, so that an interrupt from a terminal reaches only this program,
// which then stops the process. failed is called if the process exits unexpectedly.
func (c *children) start(name string, cmd *exec.Cmd, failed context.CancelCauseFunc) (*child, error) {
	p := &child{name: name, cmd: cmd, ended: make(chan struct{})}
	cmd.Stderr = &p.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	c.all = append(c.all, p)
	go func() {
		defer close(p.ended)
		p.err = cmd.Wait()
		c.mu.Lock()
		defer c.mu.Unlock()
		if !p.stopping {
			failed(&ExitError{name, p.err, p.log.String()})
		}
	}()
	return p, nil
}

// stopAll terminates all processes, and returns when they have exited. Those that do not exit in time are killed.
func (c *children) stopAll() error {
	c.mu.Lock()
	all := c.all
	for _, p := range all {
		p.stopping = true
	}
	c.mu.Unlock()
	for _, p := range all {
		p.signal(syscall.SIGTERM)
	}
	timeout := time.NewTimer(stopTimeout)
	defer timeout.Stop()
	var errs []error
	for _, p := range all {
		select {
		case <-p.ended:
			continue
		case <-timeout.C:
			timeout.Reset(0) // the processes that follow are late too
		}
		p.signal(syscall.SIGKILL)
		<-p.ended
		errs = append(errs, fmt.Errorf("%s did not exit within %v of SIGTERM and was killed", p.name, stopTimeout))
	}
	return errors.Join(errs...)
}

// signal sends a signal to a process, which may have exited already.
func (p *child) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }
