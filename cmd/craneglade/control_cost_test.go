package main

import (
	"flag"
	"fmt"
	"os"
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
	text, err := os.ReadFile(n.own)
	if err != nil {
		t.Fatal(err)
	}
	p.write(n.name+".toml", strings.Replace(string(text), `silence = "900ms"`, "", 1))
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
		for i := range seconds {
			time.Sleep(time.Second)
			change(i)
		}
		after, err := n.status()
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: %d bytes a second come, %d go; age %d ms", what, (after.Sessions.ReceivedBytes-before.Sessions.ReceivedBytes)/seconds,
			(after.Sessions.SentBytes-before.Sessions.SentBytes)/seconds, after.AgeMS)
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
