// Command case3 shows that open JSON-RPC calls are dropped in a planned restart.
package main

import (
	"encoding/json"
	"fmt"
	"syscall"
	"time"

	"craneglade/review/rig"
)

const (
	calls    = 3
	work     = 2200 * time.Millisecond // of a quote; its client waits 2.5 s
	termAt   = 500 * time.Millisecond  // after the calls
	killFrom = 3200 * time.Millisecond // after SIGTERM: the longest deadline, 2.5 s, and 0.7 s
)

const own = `
[jsonrpc]
listen = "{rpc}"
idle = "2s"
beside = true
[[jsonrpc.method]]
name = "sendQuote"
class = "send-quote"
`

func main() { rig.Main(run) }

func run(e *rig.Env) (broken bool, err error) {
	boxes, d, err := e.StartBoxes(4, 4, func(int, rig.Call) (time.Duration, json.RawMessage) { return work, json.RawMessage(`"sent"`) })
	if err != nil {
		return false, err
	}
	n, err := e.StartNode(rig.NodeConfig{Name: "n1", Discovery: d, MemoryMB: 128, Own: own, Classes: []rig.Class{rig.SaveConfig, rig.SendQuote}})
	if err != nil {
		return false, err
	}
	c, err := rig.Dial(n.RPC)
	if err != nil {
		return false, err
	}
	defer c.Close()
	for i := range calls {
		if _, err := fmt.Fprintf(c, `{"jsonrpc":"2.0","id":%d,"method":"sendQuote","params":{"quote":"quote-%d"}}`+"\n", i, i); err != nil {
			return false, err
		}
	}
	sent := time.Now()
	e.Log("sent %d quotes; each takes its box %v", calls, work)
	if e.Trouble {
		time.Sleep(termAt)
		if err := n.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	if err := c.SetReadDeadline(sent.Add(termAt + killFrom)); err != nil {
		return false, err
	}
	answered := 0
	for answered < calls && err == nil {
		var all []rig.Answer
		all, err = c.Next()
		for i := range all {
			answered++
			e.Log("quote %s: %s after %v", all[i].ID, all[i].Kind(), all[i].At.Sub(sent).Round(time.Millisecond))
		}
	}
	if err != nil {
		e.Log("the client's connection after %v: %v; the node has ended it: %v", time.Since(sent).Round(time.Millisecond), err, rig.IsClose(err))
	}
	if e.Trouble {
		select {
		case <-n.Ended():
			e.Log("the node ended %v after SIGTERM, before SIGKILL could have come", (time.Since(sent) - termAt).Round(time.Millisecond))
		case <-time.After(time.Until(sent.Add(termAt + killFrom))):
			e.Log("the node still runs when SIGKILL may come")
		}
	}
	time.Sleep(time.Until(sent.Add(work + 100*time.Millisecond)))
	for _, b := range boxes {
		for _, call := range b.Calls() {
			e.Log("%s got %s %v after it was sent, and ran it", b.ID, call.Params, call.At.Sub(sent).Round(time.Millisecond))
		}
	}
	e.Log("%d of %d quotes have an answer", answered, calls)
	return answered < calls, nil
}
