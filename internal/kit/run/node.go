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
	readyTimeout  = 15 * time.Second      // the start of a node fails after this
	readyInterval = 10 * time.Millisecond // between queries of /ready
	// PROTOCOL: SIGKILL follows SIGTERM no sooner than the longest deadline (of which at most maxKillDeadline counts) plus killSlack.
	maxKillDeadline  = 3 * time.Second
	killSlack        = 700 * time.Millisecond
	connectAfterTerm = 300 * time.Millisecond // clients keep opening connections to a node for so long after SIGTERM
	startAttempts    = 3                      // another process may take a port before the node does
	tailBytes        = 4 << 10
)

// node is one node, through all starts of its process.
type node struct {
	trace.Node
	index       int
	r           *Rehearsal
	agent       *stand.Agent
	nameServer  *nameServer // nil without DNS
	agentServer *stand.AgentServer

	mu         sync.Mutex
	addr       string
	rpcAddr    string // its JSON-RPC address; "" in a scenario without JSON-RPC
	cmd        *exec.Cmd
	ended      chan struct{} // closed when the process has ended
	stopping   bool          // the kit has ended the process, so that its exit is no crash
	restarting bool          // a revive is starting it
	starts     int
	tail       *tail
}

// start starts the process and waits until it is ready. A restarted process has the same address.
func (n *node) start(ctx context.Context) error {
	var err error
	for range startAttempts {
		if n.addr == "" {
			if n.addr, err = n.r.nodeAddr(); err != nil {
				return err
			}
		}
		if n.rpcAddr == "" && n.r.plan.Scenario.Clients.JSONRPC > 0 {
			if n.rpcAddr, err = n.r.nodeAddr(); err != nil {
				return err
			}
			n.r.clients.SetRPCAddr(n.index, n.rpcAddr)
		}
		if err = n.launch(ctx); err == nil || ctx.Err() != nil || n.starts > 1 {
			return err
		}
		n.addr, n.rpcAddr = "", ""
	}
	return err
}

func (n *node) launch(ctx context.Context) error {
	n.mu.Lock()
	n.starts++
	if n.starts == 1 { // the folder may hold the files of another rehearsal
		if err := os.Remove(n.auditFile()); err != nil && !errors.Is(err, fs.ErrNotExist) {
			n.mu.Unlock()
			return err
		}
	}
	path, err := n.writeConfig(n.agent.InitialList())
	if err != nil {
		n.mu.Unlock()
		return err
	}
	args := n.r.opt.Command[1:]
	if own := n.r.plan.Scenario.Nodes.Settings; own != "" {
		file, err := n.writeSettings(own)
		if err != nil {
			n.mu.Unlock()
			return err
		}
		args = append(slices.Clone(args), "--config", file)
	}
	cmd := exec.Command(n.r.opt.Command[0], args...)
	cmd.Env = append(append(os.Environ(), n.r.opt.Env...), "GW_NAME="+n.Name, "GW_LISTEN="+n.addr, "GW_DISCOVERY="+n.agentServer.Addr, "GW_CONFIG="+path)
	n.tail = &tail{}
	log, err := os.OpenFile(filepath.Join(n.r.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.mu.Unlock()
		return err
	}
	n.tail.log = log
	cmd.Stdout, cmd.Stderr = n.tail, n.tail
	if err := cmd.Start(); err != nil {
		n.mu.Unlock()
		log.Close()
		return fmt.Errorf("start node %s: %w", n.Name, err)
	}
	n.cmd, n.ended, n.stopping = cmd, make(chan struct{}), false
	ended := n.ended
	n.record(trace.Started, "")
	n.mu.Unlock()
	n.r.processes.Add(1)
	go func() {
		defer n.r.processes.Done()
		err := cmd.Wait()
		log.Close()
		n.mu.Lock()
		defer n.mu.Unlock()
		switch {
		case !n.stopping:
			text := n.tail.lastLine()
			n.record(trace.Crashed, strings.TrimSpace(fmt.Sprintf("%v: %s", exitText(err), text)))
			n.r.clients.SetNode(n.index, n.addr, stand.Unreachable)
		default:
			n.record(trace.Exited, "")
		}
		close(ended)
	}()
	if err := n.waitReady(ctx, ended); err != nil {
		return err
	}
	n.record(trace.NodeReady, "")
	n.r.clients.SetNode(n.index, n.addr, stand.Reachable)
	return nil
}

// exitText describes how a process ended.
func exitText(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

// writeConfig writes the configuration file with the backends that the node knows from the start, and returns its path.
func (n *node) writeConfig(known stand.List) (string, error) {
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

// dnsAddr returns the address of the node's DNS server, or "" without DNS.
func (n *node) dnsAddr() string {
	if n.nameServer == nil {
		return ""
	}
	return n.nameServer.server.Addr
}

// writeSettings fills in the placeholders of the node's own settings, writes them to a file and returns its path. It creates the
// folder that {dir} stands for.
func (n *node) writeSettings(text string) (string, error) {
	dir, path := filepath.Join(n.r.dir, n.Name), filepath.Join(n.r.dir, n.Name+".toml")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", err
	}
	fill := append([]string{"{dir}", dir, "{rpc}", n.rpcAddr, "{dns}", n.dnsAddr()}, n.r.fleetSettings(n)...)
	return path, os.WriteFile(path, []byte(strings.NewReplacer(fill...).Replace(text)), 0o600)
}

func (n *node) record(state, text string) {
	n.r.out.Add(&trace.Record{Kind: trace.Process, T: n.r.clock().Now().Microseconds(), Node: n.Name, State: state, Text: text})
}

// waitReady polls /ready until the node answers 200.
func (n *node) waitReady(ctx context.Context, ended <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	tick := time.NewTicker(readyInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ended:
			return fmt.Errorf("node %s ended before it was ready: %s", n.Name, n.tail.lastLine())
		case <-ctx.Done():
			return fmt.Errorf("node %s was not ready within %v: %s", n.Name, readyTimeout, n.tail.lastLine())
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

// signal sends a signal to the process; stopping says that the process is meant to end by it. It returns the channel that is
// closed when the process has ended, and false if it had ended already.
func (n *node) signal(sig syscall.Signal, state string, stopping bool) (<-chan struct{}, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.ended:
		return n.ended, false // nothing to signal
	default:
	}
	n.stopping = n.stopping || stopping
	n.record(state, "")
	n.cmd.Process.Signal(sig)
	return n.ended, true
}

// kill ends the process by SIGKILL.
func (n *node) kill() {
	ended, ok := n.signal(syscall.SIGKILL, trace.Kill, true)
	if ok {
		<-ended
	}
	n.r.after(n.r.plan.Scenario.Clients.FrontNotice.D(), func() { n.setReach(ended, stand.Unreachable) })
}

// killDelay returns how long after SIGTERM a process is killed at the earliest.
func (r *Rehearsal) killDelay() time.Duration {
	longest := time.Duration(0)
	for _, c := range r.plan.Scenario.Classes {
		longest = max(longest, c.Deadline.D())
	}
	return min(longest, maxKillDeadline) + killSlack
}

// setReach sets how clients reach the node, unless its process has been replaced since: ended is the channel of the process that
// the caller means.
func (n *node) setReach(ended <-chan struct{}, reach stand.Reach) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended == ended {
		n.r.clients.SetNode(n.index, n.addr, reach)
	}
}

// term sends SIGTERM to the process, and SIGKILL if it has not ended after killDelay.
func (n *node) term() {
	ended, ok := n.signal(syscall.SIGTERM, trace.Term, true)
	n.r.after(connectAfterTerm, func() { n.setReach(ended, stand.Draining) })
	if !ok {
		return
	}
	timer := time.NewTimer(n.r.killDelay())
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		n.cmd.Process.Kill()
		<-ended
	}
}

// reload replaces the node's discovery server and has the node reload its configuration by SIGHUP.
func (n *node) reload() error {
	ln, err := n.r.listen("")
	if err != nil {
		return err
	}
	n.mu.Lock()
	old := n.agentServer
	n.agentServer = stand.ServeAgent(n.agent, ln)
	_, err = n.writeConfig(n.agent.List())
	n.mu.Unlock()
	if err != nil {
		return err
	}
	n.agent.DelayNotifications(settleTime)
	n.signal(syscall.SIGHUP, trace.Hup, false)
	old.CloseAfter(closeDelay)
	return nil
}

// recordUsage records the process's memory and number of descriptors, on a system that has them in /proc.
func (n *node) recordUsage() {
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

// tail writes a process's output to a log file and keeps the last tailBytes of it.
type tail struct {
	log  *os.File
	mu   sync.Mutex
	text []byte
}

func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.text = append(t.text, p...)
	if n := len(t.text); n > tailBytes {
		t.text = append(t.text[:0], t.text[n-tailBytes:]...)
	}
	_, err := t.log.Write(p)
	return len(p), err
}

// lastLine returns the first line of a panic or fatal error if there is one, and else the last line.
func (t *tail) lastLine() string {
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
