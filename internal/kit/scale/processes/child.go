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

// endIn is how long a child may take to end after SIGTERM, before it is killed.
const endIn = 6 * time.Second

// tailBytes is how much of a child's log is kept for errors.
const tailBytes = 2 << 10

// children are all processes that a run has started.
type children struct {
	mu  sync.Mutex
	all []*child
}

// child is one process.
type child struct {
	name   string
	cmd    *exec.Cmd
	tail   tail
	ended  chan struct{}
	err    error // read after ended
	ending bool  // it is told to; guarded by children.mu
}

// tail keeps the end of what is written to it.
type tail struct {
	mu   sync.Mutex
	text []byte
}

func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, p...)
	if over := len(t.text) - tailBytes; over > 0 {
		t.text = bytes.Clone(t.text[over:])
	}
	return len(p), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.text)
}

// EndedError tells that a process ended that was to run on.
type EndedError struct {
	Name string
	Err  error
	Log  string
}

func (e *EndedError) Error() string {
	return fmt.Sprintf("%s ended by itself: %v: %.300q", e.Name, e.Err, e.Log)
}

// start starts a process in a group of its own, so that an interruption from a terminal reaches this program alone, which
// ends the process. failed is called if it ends by itself.
func (c *children) start(name string, cmd *exec.Cmd, failed context.CancelCauseFunc) (*child, error) {
	p := &child{name: name, cmd: cmd, ended: make(chan struct{})}
	cmd.Stderr = &p.tail
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
		if !p.ending {
			failed(&EndedError{name, p.err, p.tail.String()})
		}
	}()
	return p, nil
}

// end ends all processes, and returns once they have ended. Those that do not end in time are killed.
func (c *children) end() error {
	c.mu.Lock()
	all := c.all
	for _, p := range all {
		p.ending = true
	}
	c.mu.Unlock()
	for _, p := range all {
		p.signal(syscall.SIGTERM)
	}
	late := time.NewTimer(endIn)
	defer late.Stop()
	var errs []error
	for _, p := range all {
		select {
		case <-p.ended:
			continue
		case <-late.C:
			late.Reset(0) // for those that follow
		}
		p.signal(syscall.SIGKILL)
		<-p.ended
		errs = append(errs, fmt.Errorf("%s did not end within %v of SIGTERM, and was killed", p.name, endIn))
	}
	return errors.Join(errs...)
}

// signal sends a signal to a process that may have ended.
func (p *child) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }
