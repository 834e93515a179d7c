// Command case3 shows that JSON-RPC calls that wait in a connection are answered long after their clients' time.
package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"craneglade/review/rig"
)

const (
	rounds   = 4
	usual    = 900                    // saves of a round that come at the usual rate
	burst    = 990                    // saves of a round that come at once after that, or at the usual rate too
	usualGap = time.Second / 300      // between two saves at the usual rate of about 300 a second
	fast     = 9                      // backends of 17 that take
	fastWork = 115 * time.Millisecond // for a save; the others take
	slowWork = 185 * time.Millisecond
	patience = time.Second // how long a client waits for a save
	// An answer up to half a second after its time only earns nothing; later it is lost. Each limit is 50 ms longer on sockets,
	// and 100 ms are for this machine.
	lostAfter = patience + 500*time.Millisecond + 50*time.Millisecond + 100*time.Millisecond
	timeLimit = 20 * time.Second // of a round
)

// The settings have the defaults of [jsonrpc] but for beside, with which backends report their load.
const own = `
[jsonrpc]
listen = "{rpc}"
beside = true
[[jsonrpc.method]]
name = "save"
class = "save-config"
key = "/0"
patience = "1s"
`

func main() { rig.Main(run) }

func run(e *rig.Env) (broken bool, err error) {
	boxes, d, err := e.StartBoxes(17, 4, func(at int, _ rig.Call) (time.Duration, json.RawMessage) {
		if at < fast {
			return fastWork, json.RawMessage(`"saved"`)
		}
		return slowWork, json.RawMessage(`"saved"`)
	})
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
	for round := 0; round < rounds && !broken; round++ {
		if broken, err = play(e, c, round, boxes); err != nil {
			return false, err
		}
	}
	return broken, nil
}

// play sends the saves of a round and judges their answers.
func play(e *rig.Env, c *rig.Client, round int, boxes []*rig.Backend) (broken bool, err error) {
	if err := c.SetReadDeadline(time.Now().Add(timeLimit)); err != nil {
		return false, err
	}
	sent := make([]time.Time, usual+burst) // when the last byte of each call had been written
	written := make(chan error, 1)
	go func() { written <- send(e, c, round, sent) }()
	answers := make([]*rig.Answer, len(sent))
	for got := 0; got < len(answers); {
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
			answers[id-round*len(sent)] = &all[i]
			got++
		}
	}
	if err := <-written; err != nil {
		return false, err
	}
	return judge(e, round, sent, answers, boxes), nil
}

// send writes the calls of a round: the first ones at the usual rate, and the others at once, or at that rate too.
func send(e *rig.Env, c *rig.Client, round int, sent []time.Time) error {
	call := func(i int) string {
		i += round * len(sent)
		return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"save","params":["%d"]}`+"\n", i, i)
	}
	start := time.Now()
	for i := range sent {
		if i == usual && e.Trouble {
			break
		}
		time.Sleep(time.Until(start.Add(time.Duration(i) * usualGap)))
		if _, err := c.Write([]byte(call(i))); err != nil {
			return err
		}
		sent[i] = time.Now()
	}
	e.Log("round %d: sent saves one after the other for %v", round, time.Since(start).Round(time.Millisecond))
	if !e.Trouble {
		return nil
	}
	var text strings.Builder
	for i := usual; i < len(sent); i++ {
		text.WriteString(call(i))
	}
	_, err := c.Write([]byte(text.String()))
	for i, now := usual, time.Now(); i < len(sent); i++ {
		sent[i] = now
	}
	e.Log("round %d: sent %d saves at once, %d bytes", round, burst, text.Len())
	return err
}

// judge reports whether a call has no answer in time, and records what came of all of them.
func judge(e *rig.Env, round int, sent []time.Time, answers []*rig.Answer, boxes []*rig.Backend) (broken bool) {
	kinds, lost, latest := [2]map[string]int{{}, {}}, 0, time.Duration(0)
	for i, a := range answers {
		id, kinds := round*len(sent)+i, kinds[min(1, i/usual)]
		if a == nil {
			kinds["no answer"]++
			lost++
			e.Log("save %d: no answer", id)
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
		e.Log("save %d: %s after %v", id, kind, after.Round(time.Millisecond))
	}
	startedLate := 0
	for _, b := range boxes {
		for _, call := range b.Calls() {
			var keys []string
			if json.Unmarshal(call.Params, &keys) != nil || len(keys) != 1 {
				continue
			}
			id, err := strconv.Atoi(keys[0])
			if err != nil {
				continue
			}
			if i := id - round*len(sent); i >= 0 && i < len(sent) && call.At.Sub(sent[i]) > patience+150*time.Millisecond {
				startedLate++
			}
		}
	}
	e.Log("round %d: the first %d saves: %v", round, usual, kinds[0])
	e.Log("round %d: the other %d saves: %v", round, burst, kinds[1])
	e.Log("round %d: %d lost; the latest answer came after %v; %d saves reached a box after their clients' time of %v", round, lost,
		latest.Round(time.Millisecond), startedLate, patience)
	return lost > 0
}
