// Command case2 shows that a single JSON-RPC batch of hundreds of calls takes a node over its memory limit.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"craneglade/review/rig"
)

const (
	memoryMB    = 128   // limits.memory_mb
	calls       = 900   // of the tool that asks for hundreds at once
	usual       = 10    // members of a usual batch
	answerBytes = 60000 // a body holds at most 64 KiB
	work        = 60 * time.Millisecond
	rounds      = 6
)

const own = `
[jsonrpc]
listen = "{rpc}"
beside = true
[[jsonrpc.method]]
name = "sendQuote"
class = "send-quote"
`

func main() { rig.Main(run) }

func run(e *rig.Env) (broken bool, err error) {
	answer := json.RawMessage(`"` + strings.Repeat("q", answerBytes) + `"`)
	_, d, err := e.StartBoxes(12, 4, func(int, rig.Call) (time.Duration, json.RawMessage) { return work, answer })
	if err != nil {
		return false, err
	}
	n, err := e.StartNode(rig.NodeConfig{Name: "n1", Discovery: d, MemoryMB: memoryMB, Own: own, Classes: []rig.Class{rig.SaveConfig, rig.SendQuote}})
	if err != nil {
		return false, err
	}
	platform := watchMemory(e, n)
	stop := make(chan struct{})
	var usualClient sync.WaitGroup
	usualClient.Go(func() { askSteadily(e, n, stop) })
	time.Sleep(2 * time.Second)

	c, err := rig.Dial(n.RPC)
	if err != nil {
		return false, err
	}
	defer c.Close()
	size := usual
	if e.Trouble {
		size = calls
	}
	for round := 0; round < rounds && !platform.hasKilled(); round++ {
		for at := 0; at < calls && !platform.hasKilled(); at += size {
			if err := askBatch(e, c, round*calls+at, size); err != nil {
				e.Log("the tool's connection: %v", err)
				break
			}
		}
	}
	close(stop)
	usualClient.Wait()
	e.Log("most memory of the node: %d MB of %d MB", platform.peakKB()>>10, memoryMB)
	return platform.hasKilled(), nil
}

// askBatch sends one batch and waits for the answers to it.
func askBatch(e *rig.Env, c *rig.Client, first, size int) error {
	members := make([]string, size)
	for i := range members {
		members[i] = fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"sendQuote","params":[%d]}`, i, first+i)
	}
	sent := time.Now()
	if _, err := fmt.Fprintf(c, "[%s]\n", strings.Join(members, ",")); err != nil {
		return err
	}
	if err := c.SetReadDeadline(sent.Add(10 * time.Second)); err != nil {
		return err
	}
	all, err := c.Next()
	if err != nil {
		return fmt.Errorf("a batch of %d has no answer after %v: %w", size, time.Since(sent).Round(time.Millisecond), err)
	}
	kinds := map[string]int{}
	for i := range all {
		kinds[all[i].Kind()]++
	}
	e.Log("a batch of %d was answered after %v: %v", size, time.Since(sent).Round(time.Millisecond), kinds)
	return nil
}

// askSteadily is another client, which asks for one quote after the other on a connection of its own.
func askSteadily(e *rig.Env, n *rig.Node, stop <-chan struct{}) {
	c, err := rig.Dial(n.RPC)
	if err != nil {
		e.Log("the other client: %v", err)
		return
	}
	defer c.Close()
	served := 0
	for i := 0; ; i++ {
		select {
		case <-stop:
			e.Log("the other client: %d quotes served, each call answered", served)
			return
		case <-time.After(20 * time.Millisecond):
		}
		fmt.Fprintf(c, `{"jsonrpc":"2.0","id":"other-%d","method":"sendQuote","params":{"quote":"other-%d"}}`+"\n", i, i)
		all, err := c.Next()
		if err != nil {
			e.Log("the other client: %d quotes served; call %d got no answer: %v", served, i, err)
			return
		}
		if all[0].Kind() == "served" {
			served++
		}
	}
}

// platform is the stand-in for what the platform does: it kills a node that is over its memory limit.
type platform struct {
	mu     sync.Mutex
	peak   int
	killed bool
}

func (p *platform) hasKilled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

func (p *platform) peakKB() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peak
}

// watchMemory reads the node's memory until the node ends. It counts its own pages alone (RssAnon), not those of the
// program's file.
func watchMemory(e *rig.Env, n *rig.Node) *platform {
	p := &platform{}
	go func() {
		for ; ; time.Sleep(5 * time.Millisecond) {
			kb, err := anonymousKB(n.PID())
			if err != nil {
				return
			}
			p.mu.Lock()
			p.peak = max(p.peak, kb)
			over := kb > memoryMB<<10
			p.killed = p.killed || over
			p.mu.Unlock()
			if over {
				e.Log("the node has %d kB of memory, and memory_mb is %d: the platform kills it", kb, memoryMB)
				n.Signal(syscall.SIGKILL)
				return
			}
		}
	}()
	return p
}

// anonymousKB returns the memory of a process without the pages of files.
func anonymousKB(pid int) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			return strconv.Atoi(strings.Fields(value)[0])
		}
	}
	return 0, fmt.Errorf("process %d has ended", pid)
}
