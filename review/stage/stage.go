// Package stage has what the cases of the second review share: node processes started by the deploy file's line, and small
// stand-ins for backends, discovery, name servers and clients on loopback addresses.
package stage

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held     = 0
	Broken   = 1
	CannotDo = 2
)

// Stage is one run of a case.
type Stage struct {
	Trouble bool      // with the disruption
	Start   time.Time // of the run
	Dir     string    // a temporary folder

	root   string
	record *os.File
	pids   string

	mu     sync.Mutex
	broken []string
	nodes  []*Node
	ended  bool
}

// Open reads the flags and the environment and starts a run, which ends as impossible after limit.
func Open(limit time.Duration) *Stage {
	root := flag.String("root", ".", "the repository's root")
	record := flag.String("record", "record.txt", "what was sent, answered and run")
	pids := flag.String("pids", "", "a file for the numbers of the processes that were started")
	flag.Parse()
	s := &Stage{Trouble: os.Getenv("TROUBLE") != "0", Start: time.Now(), pids: *pids}
	var err error
	if s.root, err = filepath.Abs(*root); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CannotDo)
	}
	if s.record, err = os.Create(*record); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CannotDo)
	}
	if s.Dir, err = os.MkdirTemp("", "case"); err != nil {
		s.Fail("%v", err)
	}
	s.Logf("run begins, trouble %v", s.Trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
			s.Fail("interrupted")
		case <-time.After(limit):
			s.Fail("not done after %v", limit)
		}
	}()
	return s
}

// Logf writes a line to the record.
func (s *Stage) Logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logLocked(format, args...)
}

func (s *Stage) logLocked(format string, args ...any) {
	fmt.Fprintf(s.record, "%9.4f %s\n", time.Since(s.Start).Seconds(), fmt.Sprintf(format, args...))
}

// Break records that the rule was broken.
func (s *Stage) Break(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	s.broken = append(s.broken, text)
	s.logLocked("BROKEN: %s", text)
}

// Fail ends a run that could not be done.
func (s *Stage) Fail(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.Logf("could not run: %s", text)
	fmt.Fprintln(os.Stderr, "could not run:", text)
	s.end(CannotDo)
}

// Finish ends a run with its verdict.
func (s *Stage) Finish() {
	s.mu.Lock()
	broken := s.broken
	s.mu.Unlock()
	if len(broken) == 0 {
		s.Logf("the rule held")
		fmt.Println("the rule held")
		s.end(Held)
	}
	s.Logf("the rule was broken %d times", len(broken))
	fmt.Printf("the rule was broken %d times; the first: %s\n", len(broken), broken[0])
	s.end(Broken)
}

func (s *Stage) end(code int) {
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		select {} // another goroutine is ending the run
	}
	s.ended = true
	nodes := s.nodes
	s.mu.Unlock()
	for _, n := range nodes {
		n.Kill()
	}
	os.RemoveAll(s.Dir)
	os.Exit(code)
}

// FreeAddr returns a loopback address with a free port.
func (s *Stage) FreeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.Fail("%v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Node is a process of the program under review.
type Node struct {
	Name   string
	Listen string

	stage   *Stage
	config  string
	command string
	process *exec.Cmd
	done    chan struct{}
	stopped bool // its end was asked for
}

// NodeConfig is what the platform gives a node.
type NodeConfig struct {
	Name      string
	Listen    string
	Discovery string
	Known     List
	Settings  map[string]any
	Local     string // the node's own settings, of `serve --config`; "" for none
}

// StartNode starts a node by the line `run` of the deploy file and waits until it is ready.
func (s *Stage) StartNode(c NodeConfig) *Node {
	n := &Node{Name: c.Name, Listen: c.Listen, stage: s, config: filepath.Join(s.Dir, c.Name+".json")}
	text, err := json.Marshal(map[string]any{"name": c.Name, "listen": c.Listen, "discovery": c.Discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": c.Known, "settings": c.Settings})
	if err != nil {
		s.Fail("%v", err)
	}
	if err := os.WriteFile(n.config, text, 0o600); err != nil {
		s.Fail("%v", err)
	}
	deploy, err := os.ReadFile(filepath.Join(s.root, "deploy", "balancer.toml"))
	if err != nil {
		s.Fail("%v", err)
	}
	line := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if line == nil {
		s.Fail("the deploy file has no line run")
	}
	n.command = string(line[1])
	if c.Local != "" {
		file := filepath.Join(s.Dir, c.Name+".toml")
		if err := os.WriteFile(file, []byte(c.Local), 0o600); err != nil {
			s.Fail("%v", err)
		}
		n.command += " serve --config " + file
	}
	n.Begin()
	return n
}

// Begin starts the node's process and waits until it is ready.
func (n *Node) Begin() {
	s := n.stage
	log, err := os.OpenFile(filepath.Join(s.Dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.Fail("%v", err)
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", n.command)
	cmd.Dir, cmd.Stdout, cmd.Stderr = s.root, log, log
	cmd.Env = append(os.Environ(), "GW_CONFIG="+n.config, "GW_NAME="+n.Name, "GW_LISTEN="+n.Listen)
	if err := cmd.Start(); err != nil {
		s.Fail("start: %v", err)
	}
	if s.pids != "" {
		if f, err := os.OpenFile(s.pids, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err == nil {
			fmt.Fprintln(f, cmd.Process.Pid)
			f.Close()
		}
	}
	s.mu.Lock()
	n.process, n.done, n.stopped = cmd, make(chan struct{}), false
	s.nodes = append(s.nodes, n)
	s.logLocked("node %s started, process %d", n.Name, cmd.Process.Pid)
	s.mu.Unlock()
	go func(done chan struct{}) {
		err := cmd.Wait()
		s.mu.Lock()
		s.logLocked("node %s ended: %v", n.Name, err)
		if !n.stopped && !s.ended {
			s.broken = append(s.broken, fmt.Sprintf("node %s ended by itself: %v", n.Name, err))
		}
		s.mu.Unlock()
		close(done)
	}(n.done)
	for range 300 {
		if status := Ready(n.Listen); status == 200 {
			s.Logf("node %s is ready", n.Name)
			return
		}
		select {
		case <-n.done:
			text, _ := os.ReadFile(filepath.Join(s.Dir, n.Name+".log"))
			s.Fail("node %s ended at its start: %s", n.Name, text)
		case <-time.After(100 * time.Millisecond):
		}
	}
	s.Fail("node %s is not ready after 30 s", n.Name)
}

// Kill ends the node's process and waits for its end.
func (n *Node) Kill() {
	n.stage.mu.Lock()
	n.stopped = true
	n.stage.mu.Unlock()
	n.process.Process.Kill()
	<-n.done
}

// Log returns the lines of the node's log that contain text.
func (n *Node) Log(text string) (lines []string) {
	all, _ := os.ReadFile(filepath.Join(n.stage.Dir, n.Name+".log"))
	for line := range strings.Lines(string(all)) {
		if strings.Contains(line, text) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// Class is a class of requests in the settings.
type Class struct {
	Name          string
	Effect        string // free, guarded or single_shot
	Group         string // all, zone or cell
	Aim, Deadline float64
	Gain          float64
	RepeatWindow  float64
}

// Settings returns the settings of a small deployment: those of the users' example with the given nodes and classes.
func Settings(nodes int, zones []string, classes ...Class) map[string]any {
	var grades []any
	for _, c := range classes {
		grades = append(grades, map[string]any{"name": c.Name, "effect": c.Effect, "group": c.Group, "aim_s": c.Aim, "deadline_s": c.Deadline,
			"gain": c.Gain, "repeat_window_s": c.RepeatWindow, "late_worth": 0.0, "streaming": false})
	}
	return map[string]any{
		"balancers": nodes, "ordinal": 0, "zone": zones[0], "zones": zones, "grades": grades,
		"blend":   map[string]any{"whole": 0.6, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.1},
		"clients": map[string]any{"marks_retry": false}, "discovery": "push", "domain_type": "proxy",
		"family_info": map[string]any{"warm_keys": false}, "host_types": []string{"gen-a", "gen-b"},
		"invariants": map[string]any{"answer_slack_s": 0.02, "cold_s": 7.8, "cold_share": 0.32, "drain_grace_s": 2.0, "fall_s": 1.5,
			"must_ask_in_s": 10.0, "overload_factor": 4.0},
		"over_share_worth": 0.2,
		"policy_limits": map[string]any{"cancel": true, "conn_idle_s": 60.0, "connect_timeout_s": 0.2, "cpu_us_per_request": 0.0, "cpu_us_per_s": 500000,
			"max_attempts": 3, "max_open": 20000, "max_retry_after_s": 2.0, "parallel_tries": true, "peers": false, "probes": true, "retry_after": true,
			"streams_per_conn": 1},
		"projects":  []any{map[string]any{"name": "cascade-lumber", "quota_per_s": 300.0, "share": 1.0}},
		"quantum_s": 0.005, "report": map[string]any{"how": "piggyback", "names": []string{"concurrent", "depth"}}, "stage": 0,
		"tariffs": map[string]any{"connection": 0.05, "cross_zone": 0.01, "discovery": 0.0, "handshake": 0.05, "late_fail": 0.03, "moves": 0.0,
			"origin": 0.0, "peer": 0.0, "probe": 0.05, "waste": 0.04},
		"tiers": []string{"config-web"}, "weights": "silent", "worth_by": "request",
	}
}
