// Package stand has the stand-ins of the review's cases: a platform that starts a node with the command of the deploy file, a
// discovery that pushes the list, backends and clients. All of them use loopback addresses.
package stand

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Verdicts of a case, as exit codes.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Case is one run: it writes the record, and ends what it started.
type Case struct {
	Trouble bool // false with TROUBLE=0
	Dir     string
	start   time.Time

	mu    sync.Mutex
	file  *os.File
	nodes []*Node
}

// New starts the record of a case in a folder.
func New(folder string) (*Case, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Dir: dir, start: time.Now(), file: file}
	c.Log("trouble=%v", c.Trouble)
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		c.Exit(NotRun)
	}()
	return c, nil
}

// Now returns the time since the case began.
func (c *Case) Now() time.Duration { return time.Since(c.start) }

// Log adds a line to the record.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.file, "%9.3f  %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say is Log, and prints the line too.
func (c *Case) Say(format string, args ...any) {
	c.Log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close ends all nodes, adds their logs to the record, removes the temporary folder and closes the record.
func (c *Case) Close() {
	for _, n := range c.nodes {
		n.Kill()
		if text, err := os.ReadFile(filepath.Join(c.Dir, n.name+".log")); err == nil {
			for line := range strings.Lines(string(text)) {
				c.Log("log of %s: %.300s", n.name, strings.TrimSpace(strings.ReplaceAll(line, c.Dir, "$TMPDIR")))
			}
		}
	}
	os.RemoveAll(c.Dir)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.file.Close()
}

// Exit closes the case and ends the program with a verdict.
func (c *Case) Exit(verdict int) {
	c.Log("verdict %d", verdict)
	c.Close()
	os.Exit(verdict)
}

// Check ends the case as one that could not run if err is set.
func (c *Case) Check(err error) {
	if err != nil {
		c.Say("the case could not run: %v", err)
		c.Exit(NotRun)
	}
}

// FreeAddr returns a loopback address that nobody listens on.
func FreeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer ln.Close()
	return ln.Addr().String()
}

// Class is a request class of the settings.
type Class struct {
	Name     string  `json:"name"`
	Aim      float64 `json:"aim_s"`
	Deadline float64 `json:"deadline_s"`
	Effect   string  `json:"effect"` // free, guarded or single_shot
	Gain     float64 `json:"gain"`
	Group    string  `json:"group"`
	Late     float64 `json:"late_worth"`
	Window   float64 `json:"repeat_window_s"`
	Stream   bool    `json:"streaming"`
}

// ShopClasses are the two classes of configurator-nw.
func ShopClasses() []Class {
	return []Class{
		{Name: "save-config", Aim: 0.4, Deadline: 1, Effect: "guarded", Gain: 10, Group: "zone", Window: 0.6},
		{Name: "send-quote", Aim: 0.5, Deadline: 2.5, Effect: "single_shot", Gain: 2, Group: "all", Window: 5},
	}
}

// NodeConfig is what a node is told.
type NodeConfig struct {
	Name      string
	Discovery string
	Known     []Entry
	MemoryMB  int
	Sockets   int
	Classes   []Class
	Own       string // the node's own settings file (TOML); "" for none
}

// Node is a node process.
type Node struct {
	Addr string
	cmd  *exec.Cmd
	done chan struct{}
	c    *Case
	name string
}

// deployLine returns the value of a key of the deploy file.
func deployLine(key string) (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(text)
	if m == nil {
		return "", fmt.Errorf("deploy/balancer.toml has no line %q", key)
	}
	return string(m[1]), nil
}

// StartNode starts a node by the line run of the deploy file. A settings file of its own is passed as the operators' pages say,
// with "serve --config".
func (c *Case) StartNode(cfg NodeConfig) (*Node, error) {
	run, err := deployLine("run")
	if err != nil {
		return nil, err
	}
	n := &Node{Addr: FreeAddr(), done: make(chan struct{}), c: c, name: cfg.Name}
	settings := map[string]any{
		"balancers": 3, "ordinal": 0, "zone": "tacoma", "zones": []string{"tacoma", "everett", "olympia"}, "discovery": "push",
		"clients": map[string]any{"marks_retry": false}, "grades": cfg.Classes, "over_share_worth": 0.2,
		"invariants": map[string]any{"answer_slack_s": 0.02, "cold_s": 7.8, "cold_share": 0.32, "drain_grace_s": 2.0, "fall_s": 1.5, "must_ask_in_s": 10.0, "overload_factor": 4.0},
		"policy_limits": map[string]any{"cancel": true, "conn_idle_s": 60.0, "connect_timeout_s": 0.2, "max_attempts": 3, "max_open": 20000,
			"max_retry_after_s": 2.0, "parallel_tries": true, "peers": false, "probes": false, "retry_after": true, "streams_per_conn": 1},
		"projects": []any{map[string]any{"name": "cascade-lumber", "quota_per_s": 300.0, "share": 1.0}},
		"report":   map[string]any{"how": "piggyback", "names": []string{"concurrent", "depth"}},
		"tariffs":  map[string]any{"cross_zone": 0}, "weights": "silent", "worth_by": "request",
	}
	config := map[string]any{"name": cfg.Name, "listen": n.Addr, "discovery": cfg.Discovery, "seed": "0000000118b5c906",
		"limits": map[string]any{"cores": 1.0, "memory_mb": cfg.MemoryMB, "sockets": cfg.Sockets},
		"known":  map[string]any{"version": 1, "full": true, "servers": cfg.Known}, "settings": settings}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(c.Dir, cfg.Name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	if cfg.Own != "" {
		own := filepath.Join(c.Dir, cfg.Name+".toml")
		if err := os.WriteFile(own, []byte(cfg.Own), 0o600); err != nil {
			return nil, err
		}
		run += " serve --config " + own
	}
	logFile, err := os.Create(filepath.Join(c.Dir, cfg.Name+".log"))
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	n.cmd = exec.Command("/bin/sh", "-c", run)
	n.cmd.Env = append(os.Environ(), "GW_CONFIG="+path, "TMPDIR="+c.Dir)
	n.cmd.Stdout, n.cmd.Stderr = logFile, logFile
	if err := n.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		n.cmd.Wait()
		close(n.done)
	}()
	c.nodes = append(c.nodes, n)
	c.Log("node %s started: %s", cfg.Name, strings.ReplaceAll(run, c.Dir, "$TMPDIR"))
	return n, n.awaitReady()
}

// awaitReady waits until GET /ready is answered with 200.
func (n *Node) awaitReady() error {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.Ended() {
			return fmt.Errorf("node %s ended before it was ready", n.name)
		}
		resp, err := http.Get("http://" + n.Addr + "/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			n.c.Log("node %s is ready", n.name)
			return nil
		}
	}
	return fmt.Errorf("node %s was not ready within 30 s", n.name)
}

// Ended reports whether the process has ended.
func (n *Node) Ended() bool {
	select {
	case <-n.done:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.c.Log("node %s: %v", n.name, s)
	n.cmd.Process.Signal(s)
}

// Kill ends the process and waits for it.
func (n *Node) Kill() {
	if n.Ended() {
		return
	}
	n.cmd.Process.Signal(syscall.SIGCONT)
	n.cmd.Process.Kill()
	<-n.done
}

// MemoryMB returns the memory of the process that is backed by no file.
func (n *Node) MemoryMB() float64 {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(n.cmd.Process.Pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
			kb, _ := strconv.ParseFloat(f[1], 64)
			return kb / 1024
		}
	}
	return 0
}

// EnforceMemory does what the platform does with a node over its memory: it kills it. The result counts the kills and holds the
// highest value seen, in MB.
func (n *Node) EnforceMemory(limitMB int) *Memory {
	m := &Memory{}
	go func() {
		for ; !n.Ended(); time.Sleep(5 * time.Millisecond) {
			now := n.MemoryMB()
			m.mu.Lock()
			m.peak = max(m.peak, now)
			over := now > float64(limitMB)
			m.killed = m.killed || over
			m.mu.Unlock()
			if over {
				n.c.Say("node %s holds %.1f MB, over its limit of %d MB: killed by the platform", n.name, now, limitMB)
				n.cmd.Process.Kill()
				return
			}
		}
	}()
	return m
}

// Memory is what was seen of a node's memory.
type Memory struct {
	mu     sync.Mutex
	peak   float64
	killed bool
}

// Peak returns the highest value seen, in MB, and whether the node was killed for it.
func (m *Memory) Peak() (mb float64, killed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peak, m.killed
}
