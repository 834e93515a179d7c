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

// What a node is sent, sends and uses, while nothing changes and while a change comes each second, at the heartbeat that is
// the default.
func TestControlPlaneCost(t *testing.T) {
	if !*controlCost {
		t.Skip("a measurement: -control-cost")
	}
	p := newPlane(t)
	p.newBackend("one")
	p.writer = p.newWriter("writer-1", "state")
	p.writer.usual()
	p.writer.start()
	p.relays = []*controlled{p.newRelay("relay-1", p.writer), p.newRelay("relay-2", p.writer)}
	for _, r := range p.relays {
		r.usual()
		r.start()
	}
	n := p.newNode("n0", p.relays...)
	n.edit(func(text string) string { return strings.Replace(text, `silence = "900ms"`, "", 1) })
	n.start()
	var tenants strings.Builder
	for i := range 100 {
		tenants.WriteString(tenant(fmt.Sprint("t-", i), 1))
	}
	p.everywhere(p.writer.applied(serviceTable + p.endpoint("one", "ready") + tenants.String()))
	measure := func(what string, change func(i int)) {
		const seconds = 10
		before, err := n.status()
		if err != nil {
			t.Fatal(err)
		}
		used := []time.Duration{p.writer.used(), p.relays[0].used(), n.used()}
		for i := range seconds {
			time.Sleep(time.Second)
			change(i)
		}
		after, err := n.status()
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: %d bytes a second come, %d go; age %d ms; writer, relay and node use %.2f%%, %.2f%% and %.2f%% of a core", what, (after.Sessions.ReceivedBytes-before.Sessions.ReceivedBytes)/seconds,
			(after.Sessions.SentBytes-before.Sessions.SentBytes)/seconds, after.AgeMS,
			share(&p.writer.running, used[0], seconds), share(&p.relays[0].running, used[1], seconds), share(&n.running, used[2], seconds))
	}
	measure("nothing changes", func(int) {})
	measure("a change of one endpoint a second", func(i int) {
		p.everywhere(p.writer.applied(p.endpoint("one", "ready") + tenant("t-1", float64(i+2))))
	})
}

// usual gives the process the default heartbeat and silence.
func (c *controlled) usual() {
	c.edit(func(text string) string {
		return strings.NewReplacer(`heartbeat = "100ms"`, "", `silence = "900ms"`, "").Replace(text)
	})
}

// used is the processor time that the program has used, by proc(5).
func (r *running) used() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	const tick = 10 * time.Millisecond // of clock_t, which Linux has at 100 a second for programs
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

// share is what the program has used since then, in hundredths of a core.
func share(r *running, since time.Duration, seconds int) float64 {
	return 100 * (r.used() - since).Seconds() / float64(seconds)
}
