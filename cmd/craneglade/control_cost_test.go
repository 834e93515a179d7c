package main

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

var controlCost = flag.Bool("control-cost", false, "measure what a node spends on the control plane, about half a minute")

// Measures the bytes that a node receives and sends on its control plane sessions and the processor time of writer, relay and
// node, without changes and with one change a second, at the default heartbeat.
func TestControlPlaneCost(t *testing.T) {
	if !*controlCost {
		t.Skip("a measurement: -control-cost")
	}
	p := newControlPlane(t)
	p.newBackend("one")
	p.writer = p.newWriter("writer-1", "state")
	p.writer.useDefaultTimings()
	p.writer.start()
	p.relays = []*controlProcess{p.newRelay("relay-1", p.writer), p.newRelay("relay-2", p.writer)}
	for _, r := range p.relays {
		r.useDefaultTimings()
		r.start()
	}
	n := p.newNode("n0", p.relays...)
	n.edit(func(text string) string { return strings.Replace(text, `silence = "900ms"`, "", 1) })
	n.start()
	var tenants strings.Builder
	for i := range 100 {
		tenants.WriteString(tenant(fmt.Sprint("t-", i), 1))
	}
	p.waitForPosition(p.writer.mustApply(serviceTable + p.endpoint("one", "ready") + tenants.String()))
	measure := func(what string, change func(i int)) {
		const seconds = 10
		before, err := n.status()
		if err != nil {
			t.Fatal(err)
		}
		used := []time.Duration{p.writer.processorTime(), p.relays[0].processorTime(), n.processorTime()}
		for i := range seconds {
			time.Sleep(time.Second)
			change(i)
		}
		after, err := n.status()
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: %d bytes/s received, %d bytes/s sent; age %d ms; writer, relay and node use %.2f%%, %.2f%% and %.2f%% of a core", what, (after.Sessions.ReceivedBytes-before.Sessions.ReceivedBytes)/seconds,
			(after.Sessions.SentBytes-before.Sessions.SentBytes)/seconds, after.AgeMS,
			corePercent(&p.writer.runningProcess, used[0], seconds), corePercent(&p.relays[0].runningProcess, used[1], seconds), corePercent(&n.runningProcess, used[2], seconds))
	}
	measure("nothing changes", func(int) {})
	measure("a change of one endpoint a second", func(i int) {
		p.waitForPosition(p.writer.mustApply(p.endpoint("one", "ready") + tenant("t-1", float64(i+2))))
	})
}

// useDefaultTimings removes the heartbeat and silence settings, so that the defaults apply.
func (c *controlProcess) useDefaultTimings() {
	c.edit(func(text string) string {
		return strings.NewReplacer(`heartbeat = "100ms"`, "", `silence = "900ms"`, "").Replace(text)
	})
}

// processorTime returns the user and system time of the process, from proc(5).
func (r *runningProcess) processorTime() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	const tick = 10 * time.Millisecond // USER_HZ is 100 on Linux
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	var ticks int
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0
		}
		ticks += n
	}
	return time.Duration(ticks) * tick
}

// corePercent returns the processor time used since before, in percent of a core.
func corePercent(process *runningProcess, before time.Duration, seconds int) float64 {
	return 100 * (process.processorTime() - before).Seconds() / float64(seconds)
}
