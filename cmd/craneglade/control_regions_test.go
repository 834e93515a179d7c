package main

import (
	"fmt"
	"strings"
	"testing"

	"craneglade/internal/controlnet"
)

// Two regions, each with its own writer and log. A relay and a node in the north follow the south's service. The link between
// the regions is cut while both change their own resources; afterwards the north catches up.
func TestControlPlaneRegionPartition(t *testing.T) {
	t.Parallel()
	p := newControlPlane(t)
	p.newBackend("one")
	p.newBackend("two")
	north, south := p.newWriter("writer-north", "north"), p.newWriter("writer-south", "south")
	south.edit(func(text string) string {
		return strings.Replace(text, fmt.Sprintf("region = %q", controlRegion), `region = "south"`, 1)
	})
	link := newFrameProxy(t, south.address, nil)
	north.configure(fmt.Sprintf("[[region_parent]]\nregion = \"south\"\nname = \"writer-south\"\naddress = %q\n", link.ln.Addr()))
	p.writer = north
	north.start()
	south.start()
	relay := p.newRelay("relay-1", north)
	relay.edit(func(text string) string { return `regions = ["north", "south"]` + "\n" + text })
	p.relays = []*controlProcess{relay, south}
	relay.start()
	n := p.newNode("n0", relay)
	n.edit(func(text string) string {
		return strings.Replace(text, fmt.Sprintf("region = %q", controlRegion), `region = "south"`, 1)
	})
	n.start()

	southern := strings.Replace(serviceTable, `region = "north"`, `region = "south"`, 1)
	p.waitForPosition(south.mustApply(southern + p.endpoint("one", "ready")))
	p.stopFuncs = append(p.stopFuncs, n.startClients())
	defer p.stopClients()

	// The north rejects changes of the south's resources.
	if _, err := north.apply(southern); err == nil || !strings.Contains(err.Error(), `service "configurator": region`) {
		t.Errorf("north accepted a service of the south: %v", err)
	}

	// During the cut the south changes its endpoints and the north adds a service.
	link.setCut(true)
	behind := n.position()
	last := south.mustApply(p.endpoint("two", "ready") + p.endpoint("one", "draining"))
	other := strings.NewReplacer(controlService, "other").Replace(serviceTable)
	northern := north.mustApply(other)
	p.eventually("north's change at the relay", func() bool { return relay.position() == northern })
	before := p.requestsSent()
	p.eventually("requests during the partition", func() bool { return p.requestsSent() >= before+50 })
	if got := n.position(); got != behind {
		t.Errorf("node moved to %s during the partition", got)
	}
	link.setCut(false)
	p.waitForPosition(last)
	served := p.backends["two"].hits.Load()
	p.eventually("requests at the south's new endpoint", func() bool { return p.backends["two"].hits.Load() > served })
	for _, c := range []*controlProcess{north, relay} {
		s, err := c.status()
		if err != nil || len(s.Logs) != 2 || s.Logs[0].Position != northern || s.Logs[1].Position != last {
			t.Errorf("%s after the partition: %+v, %v, want %s and %s", c.name, s, err, northern, last)
		}
	}
	r, err := controlnet.Call(relay.socket, controlnet.Request{Operation: controlnet.OperationGet, Region: "south", Kind: "endpoint"})
	if err != nil || strings.Count(string(r.Resources), `"address"`) != 2 {
		t.Errorf("relay's log of the south: %s, %v", r.Resources, err)
	}
}
