// Command case2 shows that JSON-RPC calls that wait in a connection are answered long after their clients' time.
package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"craneglade/review/rig"
)

const (
	calls    = 600
	work     = 85 * time.Millisecond
	patience = time.Second // how long a client waits for a save
	// An answer up to half a second after its time only earns nothing; later it is lost. Each limit is 50 ms longer on sockets,
	// and 100 ms are for this machine.
	lostAfter = patience + 500*time.Millisecond + 50*time.Millisecond + 100*time.Millisecond
	usualGap  = 10 * time.Millisecond
)

const own = `
[jsonrpc]
listen = "{rpc}"
inflight = 16
beside = true
[[jsonrpc.method]]
name = "saveConfig"
class = "save-config"
key = "/key"
patience = "1s"
`

func main() { rig.Main(run) }

func run(e *rig.Env) (broken bool, err error) {
	boxes, d, err := e.StartBoxes(12, 4, func(rig.Call) (time.Duration, json.RawMessage) { return work, json.RawMessage(`"saved"`) })
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
	sent := make([]time.Time, calls) // when the last byte of each call had been written
	written := make(chan error, 1)
	go func() { written <- send(e, c, sent) }()

	limit := 12 * time.Second
	if err := c.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return false, err
	}
	answers := make([]*rig.Answer, calls)
	for got := 0; got < calls; {
		all, err := c.Next()
		if err != nil {
			e.Log("the client's connection: %v", err)
			break
		}
		for i := range all {
			var id int
			if err := json.Unmarshal(all[i].ID, &id); err != nil {
				return false, err
			}
			answers[id] = &all[i]
			got++
		}
	}
	if err := <-written; err != nil {
		return false, err
	}
	return judge(e, sent, answers, boxes), nil
}

// send writes all calls: at once, or one after the other.
func send(e *rig.Env, c *rig.Client, sent []time.Time) error {
	call := func(i int) string {
		return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"saveConfig","params":{"key":"key-%d"}}`+"\n", i, i)
	}
	if e.Trouble {
		var text strings.Builder
		for i := range calls {
			text.WriteString(call(i))
		}
		_, err := c.Write([]byte(text.String()))
		for i, now := 0, time.Now(); i < calls; i++ {
			sent[i] = now
		}
		e.Log("sent %d saves at once, %d bytes", calls, text.Len())
		return err
	}
	for i := range calls {
		if _, err := c.Write([]byte(call(i))); err != nil {
			return err
		}
		sent[i] = time.Now()
		time.Sleep(usualGap)
	}
	e.Log("sent %d saves, one each %v", calls, usualGap)
	return nil
}

// judge reports whether a call has no answer in time, and records what came of all of them.
func judge(e *rig.Env, sent []time.Time, answers []*rig.Answer, boxes []*rig.Backend) (broken bool) {
	kinds, lost, latest := map[string]int{}, 0, time.Duration(0)
	for i, a := range answers {
		if a == nil {
			kinds["no answer"]++
			lost++
			e.Log("save %d: no answer", i)
			continue
		}
		after := a.At.Sub(sent[i])
		latest = max(latest, after)
		kind := a.Kind()
		switch {
		case after > lostAfter:
			kind += ", lost"
			lost++
		case after > patience:
			kind += ", late"
		default:
			kind += " in time"
		}
		kinds[kind]++
		e.Log("save %d: %s after %v", i, kind, after.Round(time.Millisecond))
	}
	startedLate := 0
	for _, b := range boxes {
		for _, call := range b.Calls() {
			var params struct{ Key string }
			var id int
			if json.Unmarshal(call.Params, &params) != nil {
				continue
			}
			if _, err := fmt.Sscanf(params.Key, "key-%d", &id); err == nil && call.At.Sub(sent[id]) > patience+150*time.Millisecond {
				startedLate++
			}
		}
	}
	e.Log("%d saves: %v; the latest answer came after %v; %d reached a box after their clients' time of %v", len(sent), kinds, latest.Round(time.Millisecond), startedLate, patience)
	return lost > 0
}
