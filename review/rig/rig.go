// Package rig has what the cases of the review share: it starts nodes with the run line of the deploy file, and it has small
// stand-ins for discovery, for JSON-RPC backends and for their clients, which follow the users' pages.
package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// timeLimit is the longest run of a case.
const timeLimit = 110 * time.Second

// Env is the environment of one run of a case.
type Env struct {
	Trouble bool   // whether the disruption takes place
	Dir     string // temporary folder

	start    time.Time
	mu       sync.Mutex
	record   *os.File
	cleanups []func()
}

// Main runs a case, whose folder is the first argument, and exits with 1 if it reports a broken rule, 0 if the rule held and
// 2 if the case could not run.
func Main(run func(*Env) (broken bool, err error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER, from the root of the repository")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], run))
}

func runCase(folder string, run func(*Env) (bool, error)) int {
	e := &Env{Trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if e.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer e.record.Close()
	if e.Dir, err = os.MkdirTemp("", "case"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(e.Dir)
	defer e.cleanup()
	e.Log("trouble: %v", e.Trouble)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := run(e)
		done <- result{broken, err}
	}()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	var r result
	select {
	case r = <-done:
	case s := <-ended:
		r.err = fmt.Errorf("the case was ended by %v", s)
	case <-time.After(timeLimit):
		r.err = errors.New("the case took too long")
	}
	switch {
	case r.err != nil:
		e.Log("could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
		return 2
	case r.broken:
		e.Log("RESULT: the rule was broken")
		fmt.Println("the rule was broken; see", filepath.Join(folder, "record.txt"))
		return 1
	}
	e.Log("RESULT: the rule held")
	fmt.Println("the rule held")
	return 0
}

// Log writes a line with the time since the start to the record.
func (e *Env) Log(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.record, "%8.3f  %s\n", time.Since(e.start).Seconds(), fmt.Sprintf(format, args...))
}

// AtEnd has f called when the case ends, last first.
func (e *Env) AtEnd(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cleanups = append(e.cleanups, f)
}

func (e *Env) cleanup() {
	e.mu.Lock()
	all := e.cleanups
	e.cleanups = nil
	e.mu.Unlock()
	for i := len(all) - 1; i >= 0; i-- {
		all[i]()
	}
}

// FreeAddr returns a loopback address with a port that was free a moment ago.
func FreeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// Class is a class of requests in the settings of a node.
type Class struct {
	Name     string
	Aim      float64 // seconds
	Deadline float64 // seconds
	Worth    float64
	Effect   string // free, guarded or single_shot
	Group    string
	Window   float64 // seconds
}

// The classes of the configurator site.
var (
	SaveConfig = Class{"save-config", 0.4, 1, 10, "guarded", "zone", 0.6}
	SendQuote  = Class{"send-quote", 0.5, 2.5, 2, "single_shot", "all", 0}
)

// NodeConfig is what a node is started with.
type NodeConfig struct {
	Name      string
	Discovery *Discovery // also what the node last knew
	MemoryMB  int
	Own       string // the node's own settings, in which {rpc} is the address of its JSON-RPC front
	Classes   []Class
}

// Node is a running node.
type Node struct {
	*Process
	Addr string // for HTTP clients
	RPC  string // for JSON-RPC clients
}

// Process is a process that the case has started.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
	name string
	env  *Env
	Logs string // the file with its output
}

// StartNode starts a node by the run line of the deploy file, with settings of its own, and waits until it is ready.
func (e *Env) StartNode(cfg NodeConfig) (*Node, error) {
	n := &Node{}
	var err error
	if n.Addr, err = FreeAddr(); err != nil {
		return nil, err
	}
	if n.RPC, err = FreeAddr(); err != nil {
		return nil, err
	}
	var grades []map[string]any
	for _, c := range cfg.Classes {
		grades = append(grades, map[string]any{"name": c.Name, "aim_s": c.Aim, "deadline_s": c.Deadline, "gain": c.Worth, "late_worth": 0,
			"effect": c.Effect, "group": c.Group, "repeat_window_s": c.Window, "streaming": false})
	}
	config := map[string]any{
		"name": cfg.Name, "listen": n.Addr, "discovery": cfg.Discovery.Addr, "seed": strconv.FormatInt(time.Now().UnixNano(), 16),
		"limits": map[string]any{"cores": 1, "memory_mb": cfg.MemoryMB, "sockets": 1024},
		"known":  List{Version: 1, Full: true, Servers: cfg.Discovery.servers},
		"settings": map[string]any{
			"balancers": 1, "ordinal": 0, "zone": "tacoma", "zones": []string{"tacoma", "everett", "olympia"}, "discovery": "push", "weights": "silent",
			"worth_by": "request", "over_share_worth": 0.2, "clients": map[string]any{"marks_retry": false}, "grades": grades,
			"invariants": map[string]any{"answer_slack_s": 0.02, "cold_s": 7.8, "cold_share": 0.32, "drain_grace_s": 2, "fall_s": 1.5,
				"must_ask_in_s": 10, "overload_factor": 4},
			"policy_limits": map[string]any{"cancel": true, "conn_idle_s": 60, "connect_timeout_s": 0.2, "max_attempts": 3, "max_open": 20000,
				"max_retry_after_s": 2, "parallel_tries": true, "peers": false, "probes": false, "retry_after": true, "streams_per_conn": 1},
			"projects": []map[string]any{{"name": "cascade-lumber", "quota_per_s": 300, "share": 1}},
			"report":   map[string]any{"how": "piggyback", "names": []string{"concurrent", "depth"}},
			"tariffs":  map[string]any{"cross_zone": 0},
		},
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, err
	}
	platform, own := filepath.Join(e.Dir, cfg.Name+".json"), filepath.Join(e.Dir, cfg.Name+".toml")
	if err := os.WriteFile(platform, text, 0o600); err != nil {
		return nil, err
	}
	if err := os.WriteFile(own, []byte(strings.ReplaceAll(cfg.Own, "{rpc}", n.RPC)), 0o600); err != nil {
		return nil, err
	}
	line, err := deployLine("run")
	if err != nil {
		return nil, err
	}
	if n.Process, err = e.startProcess(cfg.Name, line+" serve --config "+own, "GW_CONFIG="+platform); err != nil {
		return nil, err
	}
	return n, e.waitReady(n)
}

// deployLine returns a command of the deploy file.
func deployLine(key string) (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), key+" = "); ok {
			return strconv.Unquote(value)
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml has no %s", key)
}

// startProcess starts a command by the shell and ends it with the case.
func (e *Env) startProcess(name, line string, env ...string) (*Process, error) {
	logs, err := os.Create(filepath.Join(e.Dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer logs.Close()
	p := &Process{cmd: exec.Command("/bin/sh", "-c", line), done: make(chan struct{}), name: name, env: e, Logs: logs.Name()}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = logs, logs
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	e.Log("%s started: %s", name, line)
	go func() {
		defer close(p.done)
		err := p.cmd.Wait()
		e.Log("%s ended: %v", name, err)
	}()
	e.AtEnd(func() {
		p.cmd.Process.Kill() // fails if it has ended
		<-p.done
	})
	return p, nil
}

// PID returns the number of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	p.env.Log("%s gets %v", p.name, s)
	return p.cmd.Process.Signal(s)
}

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.done }

// LastLines returns the last lines of the process's output.
func (p *Process) LastLines(n int) string {
	text, err := os.ReadFile(p.Logs)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

// waitReady waits until GET /ready answers 200, at most 30 s.
func (e *Env) waitReady(n *Node) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		select {
		case <-n.Ended():
			return fmt.Errorf("%s ended before it was ready: %s", n.name, n.LastLines(3))
		default:
		}
		resp, err := client.Get("http://" + n.Addr + "/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			e.Log("%s is ready at %s, JSON-RPC at %s", n.name, n.Addr, n.RPC)
			return nil
		}
	}
	return fmt.Errorf("%s was not ready within 30 s", n.name)
}
