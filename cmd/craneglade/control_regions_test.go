package main

import (
	"fmt"
	"strings"
	"testing"

	"craneglade/internal/controlnet"
)

// Two regions, each with the writer of its own log, and a relay and a node of the south's service in the north. The link
// between the regions is cut while both sides change things, and each can change only what is its own.
func TestControlPlaneOfTwoRegions(t *testing.T) {
	t.Parallel()
	p := newPlane(t)
	p.newBackend("one")
	p.newBackend("two")
	north, south := p.newWriter("writer-north", "north"), p.newWriter("writer-south", "south")
	south.edit(func(text string) string {
		return strings.Replace(text, fmt.Sprintf("region = %q", controlRegion), `region = "south"`, 1)
	})
	link := newMiddle(t, south.address, nil)
	north.configure(fmt.Sprintf("[[region_parent]]\nregion = \"south\"\nname = \"writer-south\"\naddress = %q\n", link.ln.Addr()))
	p.writer = north
	north.start()
	south.start()
	relay := p.newRelay("relay-1", north)
	relay.edit(func(text string) string { return `regions = ["north", "south"]` + "\n" + text })
	p.relays = []*controlled{relay, south}
	relay.start()
	n := p.newNode("n0", relay)
	n.edit(func(text string) string {
		return strings.Replace(text, fmt.Sprintf("region = %q", controlRegion), `region = "south"`, 1)
	})
	n.start()

	southern := strings.Replace(serviceTable, `region = "north"`, `region = "south"`, 1)
	p.everywhere(south.applied(southern + p.endpoint("one", "ready")))
	p.stops = append(p.stops, n.clients())
	defer p.stopClients()

	// What is the south's can't be changed in the north.
	if _, err := north.apply(southern); err == nil || !strings.Contains(err.Error(), `service "configurator": region`) {
		t.Errorf("the north takes the south's service: %v", err)
	}

	// Cut: the south changes its endpoints, and the north what is its own.
	link.setCut(true)
	behind := n.position()
	last := south.applied(p.endpoint("two", "ready") + p.endpoint("one", "draining"))
	other := strings.NewReplacer(controlService, "other").Replace(serviceTable)
	northern := north.applied(other)
	p.eventually("the north's own change at the relay", func() bool { return relay.position() == northern })
	asked := p.requests()
	p.eventually("requests while the regions are cut", func() bool { return p.requests() >= asked+50 })
	if got := n.position(); got != behind {
		t.Errorf("the node came to %s across a cut", got)
	}
	link.setCut(false)
	p.everywhere(last)
	served := p.backends["two"].hits.Load()
	p.eventually("requests at the south's new endpoint", func() bool { return p.backends["two"].hits.Load() > served })
	for _, c := range []*controlled{north, relay} {
		s, err := c.status()
		if err != nil || len(s.Logs) != 2 || s.Logs[0].Position != northern || s.Logs[1].Position != last {
			t.Errorf("%s after the heal: %+v, %v, want %s and %s", c.name, s, err, northern, last)
		}
	}
	r, err := controlnet.Call(relay.socket, controlnet.Request{Operation: controlnet.OperationGet, Region: "south", Kind: "endpoint"})
	if err != nil || strings.Count(string(r.Resources), `"address"`) != 2 {
		t.Errorf("the relay's log of the south: %s, %v", r.Resources, err)
	}
}
