package run

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"craneglade/internal/kit/stand"
	"craneglade/internal/kit/trace"
)

const (
	readyIn  = 15 * time.Second      // a node that is not ready by then does not start
	readyAsk = 10 * time.Millisecond // between two questions whether it is
	// PROTOCOL: SIGKILL comes no sooner after SIGTERM than the longest deadline, of longestTold at the most, and killSlack.
	longestTold = 3 * time.Second
	killSlack   = 700 * time.Millisecond
	termLate    = 300 * time.Millisecond // new connections go to a node for so long after SIGTERM
	startTry    = 3                      // another process may take a port before the node does
	tailSize    = 4 << 10
)

// node is one node process, through all its lives.
type node struct {
	trace.Node
	index   int
	r       *Rehearsal
	agent   *stand.Agent
	names   *names // nil without DNS
	agentAt *stand.AgentServer

	mu      sync.Mutex
	addr    string
	rpc     string // where it speaks JSON-RPC; "" for a scenario without
	cmd     *exec.Cmd
	ended   chan struct{} // closed when the process has ended
	meant   bool          // it is to end
	revives bool          // it is being started again
	starts  int
	tail    *tail
}

// start starts the process and waits until it is ready. The address stays the same through all lives.
func (n *node) start(ctx context.Context) error {
	var err error
	for range startTry {
		if n.addr == "" {
			if n.addr, err = n.r.nodeAddr(); err != nil {
				return err
			}
		}
		if n.rpc == "" && n.r.plan.Scenario.Clients.JSONRPC > 0 {
			if n.rpc, err = n.r.nodeAddr(); err != nil {
				return err
			}
			n.r.clients.SetRPCAddr(n.index, n.rpc)
		}
		if err = n.launch(ctx); err == nil || ctx.Err() != nil || n.starts > 1 {
			return err
		}
		n.addr, n.rpc = "", ""
	}
	return err
}

func (n *node) launch(ctx context.Context) error {
	n.mu.Lock()
	n.starts++
	if n.starts == 1 { // the logs of another rehearsal may stand in the folder
		if err := os.Remove(n.audit()); err != nil && !errors.Is(err, fs.ErrNotExist) {
			n.mu.Unlock()
			return err
		}
	}
	path, err := n.write(n.agent.InitialList())
	if err != nil {
		n.mu.Unlock()
		return err
	}
	args := n.r.opt.Command[1:]
	if own := n.r.plan.Scenario.Nodes.Settings; own != "" {
		file, err := n.own(own)
		if err != nil {
			n.mu.Unlock()
			return err
		}
		args = append(slices.Clone(args), "--config", file)
	}
	cmd := exec.Command(n.r.opt.Command[0], args...)
	cmd.Env = append(append(os.Environ(), n.r.opt.Env...), "GW_NAME="+n.Name, "GW_LISTEN="+n.addr, "GW_DISCOVERY="+n.agentAt.Addr, "GW_CONFIG="+path)
	n.tail = &tail{}
	log, err := os.OpenFile(filepath.Join(n.r.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.mu.Unlock()
		return err
	}
	n.tail.also = log
	cmd.Stdout, cmd.Stderr = n.tail, n.tail
	if err := cmd.Start(); err != nil {
		n.mu.Unlock()
		log.Close()
		return fmt.Errorf("start node %s: %w", n.Name, err)
	}
	n.cmd, n.ended, n.meant = cmd, make(chan struct{}), false
	ended := n.ended
	n.note(trace.Started, "")
	n.mu.Unlock()
	n.r.procs.Add(1)
	go func() {
		defer n.r.procs.Done()
		err := cmd.Wait()
		log.Close()
		n.mu.Lock()
		defer n.mu.Unlock()
		switch {
		case !n.meant:
			text := n.tail.last()
			n.note(trace.Crashed, strings.TrimSpace(fmt.Sprintf("%v: %s", exitText(err), text)))
			n.r.clients.SetNode(n.index, n.addr, stand.Unreachable)
		default:
			n.note(trace.Exited, "")
		}
		close(ended)
	}()
	if err := n.ready(ctx, ended); err != nil {
		return err
	}
	n.note(trace.NodeReady, "")
	n.r.clients.SetNode(n.index, n.addr, stand.Reachable)
	return nil
}

// exitText is how a process ended.
func exitText(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

// write writes the configuration, with the list that is known.
func (n *node) write(known stand.List) (string, error) {
	text, err := config(n.r.plan, n, known)
	if err != nil {
		return "", err
	}
	path := filepath.Join(n.r.dir, n.Name+".json")
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(path+".new", path)
}

// dns is where the node's DNS server answers; "" without one.
func (n *node) dns() string {
	if n.names == nil {
		return ""
	}
	return n.names.server.Addr
}

// own writes the node's own settings, and makes the folder that they name.
func (n *node) own(text string) (string, error) {
	dir, path := filepath.Join(n.r.dir, n.Name), filepath.Join(n.r.dir, n.Name+".toml")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", err
	}
	fill := append([]string{"{dir}", dir, "{rpc}", n.rpc, "{dns}", n.dns()}, n.r.fleet(n)...)
	return path, os.WriteFile(path, []byte(strings.NewReplacer(fill...).Replace(text)), 0o600)
}

func (n *node) note(state, text string) {
	n.r.out.Add(&trace.Record{Kind: trace.Process, T: n.r.clock().Now().Microseconds(), Node: n.Name, State: state, Text: text})
}

// ready asks until the node says that it is.
func (n *node) ready(ctx context.Context, ended <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(ctx, readyIn)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	tick := time.NewTicker(readyAsk)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ended:
			return fmt.Errorf("node %s ended before it was ready: %s", n.Name, n.tail.last())
		case <-ctx.Done():
			return fmt.Errorf("node %s was not ready within %v: %s", n.Name, readyIn, n.tail.last())
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.addr+"/ready", nil)
		if err != nil {
			return err
		}
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
}

// signal sends a signal to the process, which is to end of it if end is set.
func (n *node) signal(sig syscall.Signal, state string, end bool) (<-chan struct{}, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.ended:
		return n.ended, false // it has crashed
	default:
	}
	n.meant = n.meant || end
	n.note(state, "")
	n.cmd.Process.Signal(sig)
	return n.ended, true
}

// kill ends the process without a word.
func (n *node) kill() {
	ended, ok := n.signal(syscall.SIGKILL, trace.Kill, true)
	if ok {
		<-ended
	}
	n.r.after(n.r.plan.Scenario.Clients.FrontNotice.D(), func() { n.takeOut(ended, stand.Unreachable) })
}

// earliestKill is how long after SIGTERM a process may be killed.
func (r *Rehearsal) earliestKill() time.Duration {
	longest := time.Duration(0)
	for _, c := range r.plan.Scenario.Classes {
		longest = max(longest, c.Deadline.D())
	}
	return min(longest, longestTold) + killSlack
}

// takeOut lets no more clients connect to a life that is over or ends.
func (n *node) takeOut(ended <-chan struct{}, reach stand.Reach) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended == ended {
		n.r.clients.SetNode(n.index, n.addr, reach)
	}
}

// term asks the process to end and sees that it does.
func (n *node) term() {
	ended, ok := n.signal(syscall.SIGTERM, trace.Term, true)
	n.r.after(termLate, func() { n.takeOut(ended, stand.Draining) })
	if !ok {
		return
	}
	timer := time.NewTimer(n.r.earliestKill())
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		n.cmd.Process.Kill()
		<-ended
	}
}

// reload gives the node another discovery.
func (n *node) reload() error {
	ln, err := n.r.listen("")
	if err != nil {
		return err
	}
	n.mu.Lock()
	old := n.agentAt
	n.agentAt = stand.ServeAgent(n.agent, ln)
	_, err = n.write(n.agent.List())
	n.mu.Unlock()
	if err != nil {
		return err
	}
	n.agent.DelayNotifications(settleTime)
	n.signal(syscall.SIGHUP, trace.Hup, false)
	old.CloseAfter(leaveTime)
	return nil
}

// use notes what the process holds, where the system tells.
func (n *node) use() {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.ended:
		return
	default:
	}
	proc := "/proc/" + strconv.Itoa(n.cmd.Process.Pid)
	text, err := os.ReadFile(proc + "/statm")
	if err != nil {
		return
	}
	fields := bytes.Fields(text)
	fds, err := os.ReadDir(proc + "/fd")
	if len(fields) < 2 || err != nil {
		return
	}
	pages, _ := strconv.ParseInt(string(fields[1]), 10, 64)
	n.r.out.Add(&trace.Record{Kind: trace.Usage, T: n.r.clock().Now().Microseconds(), Node: n.Name, Bytes: pages * int64(os.Getpagesize()),
		Conns: len(fds)})
}

// tail keeps the end of what a process writes.
type tail struct {
	also *os.File
	mu   sync.Mutex
	text []byte
}

func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, p...)
	if n := len(t.text); n > tailSize {
		t.text = append(t.text[:0], t.text[n-tailSize:]...)
	}
	_, err := t.also.Write(p)
	return len(p), err
}

// last is the last line that says something.
func (t *tail) last() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := strings.Split(strings.TrimSpace(string(t.text)), "\n")
	for _, l := range all {
		if strings.HasPrefix(l, "panic:") || strings.HasPrefix(l, "fatal error:") {
			return l
		}
	}
	return all[len(all)-1]
}
