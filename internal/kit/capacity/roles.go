package capacity

import "math"

// Condition is a state of the fleet for which a role's needs are worked out.
type Condition struct {
	Name        string
	Requests    float64 // times the steady requests of a node
	Restarts    float64 // times the day's mean of restarts
	Changes     float64 // times the day's mean of changes
	NodesAnew   float64 // part of all nodes that start with nothing in one second
	EndpointsAt float64 // part of all endpoints that change at once
}

// Conditions are the columns of the page, in their order.
func (d *Data) Conditions() []Condition {
	zones, regions := d.Target.Zones, d.Target.Regions
	perRegion := zones / regions
	peak := d.Assumed("release_peak")
	return []Condition{
		{Name: "steady", Requests: 1, Restarts: 1, Changes: 1},
		{Name: "release day", Requests: 1, Restarts: peak, Changes: peak},
		{Name: "zone lost, and back", Requests: perRegion / (perRegion - 1), Restarts: 1, Changes: 1, NodesAnew: 1 / zones, EndpointsAt: 1 / zones},
		{Name: "region cut 5 min, healed", Requests: regions / (regions - 1), Restarts: 1, Changes: 1},
	}
}

// Need is what a role needs of one thing, under one condition, at one size of the fleet.
type Need struct {
	Role, What, Unit string
	From             string  // the measured series, or "assumed"
	Carrier          string  // the package, or "missing"
	Limit            float64 // 0 for none
	LimitOf          string
	Of               func(Fleet, Condition) float64
}

const (
	roleRequest   = "node, request path"
	roleControl   = "node, control part"
	roleFlat      = "node, flat mesh (today)"
	roleRelay     = "zone relay"
	roleWriter    = "control process"
	roleDiscovery = "discovery agent"
	roleTools     = "operator's tools"
)

const day = 86400.0

// transactions are how many changes a second all logs together take: of configuration, and of endpoints that machines which
// restart make, whose drain, end and start are three.
func (d *Data) transactions(f Fleet, c Condition) float64 {
	return (f.ChangesPerDay*c.Changes + f.RestartsPerDay*c.Restarts*d.Assumed("changes_per_restart")) / day
}

// relays are how many relays there are, and children are the nodes of one.
func (d *Data) relays() float64 { return d.Assumed("relays_per_zone") * d.Target.Zones }

// heartbeats are the bytes a second of the heartbeats that a node gets from its parents, as frames on the wire.
func (d *Data) heartbeats() float64 {
	const parents = 2
	return (d.Measured("heartbeat-bytes").Value() + d.Measured("frame-overhead").Value()) * d.Target.Regions * parents / d.Assumed("heartbeat_seconds")
}

// requestsOfNode are the requests a second of one node.
func requestsOfNode(f Fleet, c Condition) float64 { return f.RequestsPerSecond / f.Nodes * c.Requests }

// largest is the largest service, in backends.
func (d *Data) largest(f Fleet) float64 {
	return d.parts(f)[0] * f.Backends
}

// Needs are the lines of the page's table of roles.
func (d *Data) Needs() []Need {
	delta := d.Measured("delta-bytes").Value()
	beats := func() float64 { return d.heartbeats() }
	deltas := func(f Fleet, c Condition) float64 { // bytes a second of a node
		return d.transactions(f, c) * d.Shuffled(f).Services / f.Services * delta
	}
	burst := func(f Fleet, c Condition) float64 { // bytes for a node when endpoints change together
		return c.EndpointsAt * d.Shuffled(f).Endpoints * delta
	}
	start := func(f Fleet) float64 { return d.Shuffled(f).SnapshotBytes }
	children := func(f Fleet) float64 { return f.Nodes / d.relays() }
	resources := func(f Fleet) float64 { return f.Services + f.Backends + f.Routes + f.Tenants }
	list := d.Measured("list-json").Value() / d.Measured("list-json").Sizes[0]
	return []Need{
		{roleRequest, "requests a second", "/s", "the target's numbers", "internal/engine", 0, "", requestsOfNode},
		{roleRequest, "processor, HTTP", "cores", "request-processor", "internal/httpfront, httpcarrier, policy", 0, "",
			func(f Fleet, c Condition) float64 {
				return requestsOfNode(f, c) * d.Measured("request-processor").Value()
			}},
		{roleRequest, "allocations", "/s", "request-allocations", "internal/httpfront, httpcarrier, policy", 0, "",
			func(f Fleet, c Condition) float64 {
				return requestsOfNode(f, c) * d.Measured("request-allocations").Value()
			}},
		{roleRequest, "a decision in the largest service", "s", "decision-80", "policy", d.Limits.AddedSeconds, "added to a request",
			func(f Fleet, _ Condition) float64 { return d.Measured("decision-80").Estimate(d.largest(f)) }},
		{roleRequest, "engine's lock taken by decisions, were all requests the largest service's", "of 1", "decision-80", "internal/engine, policy", 0.5, "half, assumed",
			func(f Fleet, c Condition) float64 {
				return requestsOfNode(f, c) * d.Measured("decision").Estimate(d.largest(f))
			}},
		{roleRequest, "news of one backend of the largest service, lock held", "s", "list-delta", "internal/engine, policy", d.Limits.LockSeconds, "request path held",
			func(f Fleet, _ Condition) float64 { return d.Measured("list-delta").Estimate(d.largest(f)) }},
		{roleRequest, "one gone and one new of them, state shared by [fleet]", "s", "list-delta-sharing", "internal/engine, shared", d.Limits.LockSeconds, "request path held",
			func(f Fleet, _ Condition) float64 { return d.Measured("list-delta-sharing").Estimate(d.largest(f)) }},
		{roleRequest, "whole list of the largest service, lock held", "s", "list-full", "internal/engine, policy", d.Limits.LockSeconds, "request path held",
			func(f Fleet, _ Condition) float64 { return d.Measured("list-full").Estimate(d.largest(f)) }},
		{roleRequest, "the same by [control], in pieces: longest hold", "s", "control-hold-list", "internal/node, engine, policy", d.Limits.LockSeconds, "request path held",
			func(f Fleet, _ Condition) float64 { return d.Measured("control-hold-list").Estimate(d.largest(f)) }},
		{roleRequest, "a change of one of them by [control]: longest hold", "s", "control-hold-change", "internal/node, engine, policy", d.Limits.LockSeconds, "request path held",
			func(f Fleet, _ Condition) float64 { return d.Measured("control-hold-change").Estimate(d.largest(f)) }},
		{roleRequest, "services of a node (one process has one today)", "", "assumed (nodes_per_service)", "missing: several services in one process", 1, "services of a process",
			func(f Fleet, _ Condition) float64 { return d.Shuffled(f).Services }},
		{roleRequest, "heap of backends, tenants and replica, nodes that serve most", "B", "memory-by-backend, memory-by-tenant, store-heap", "internal/engine, policy, internal/admission", d.Limits.ControlBytes, "control's memory",
			func(f Fleet, _ Condition) float64 { return d.Shuffled(f).Memory }},
		{roleRequest, "connections to backends", "", "internal/subset by its formula", "internal/subset, httpcarrier", d.Limits.Descriptors, "descriptors",
			func(f Fleet, _ Condition) float64 { return d.Shuffled(f).Connections }},
		{roleControl, "bytes in: deltas and heartbeats", "B/s", "delta-bytes, heartbeat-bytes, frame-overhead", "internal/controlplane/publisher, subscriber", d.Limits.ControlPerS, "control's bytes",
			func(f Fleet, c Condition) float64 {
				return deltas(f, c) + beats() + burst(f, c)/d.Limits.InForceSeconds
			}},
		{roleControl, "bytes in, running hierarchy", "B/s", "scale-node-in", "internal/controlplane, controlnet", d.Limits.ControlPerS, "control's bytes",
			func(f Fleet, _ Condition) float64 { return d.Measured("scale-node-in").Estimate(f.Nodes) }},
		{roleControl, "processor, running hierarchy", "cores", "scale-node-processor", "internal/controlplane/subscriber", d.Limits.ControlCore, "control's processor",
			func(f Fleet, _ Condition) float64 { return d.Measured("scale-node-processor").Estimate(f.Nodes) }},
		{roleControl, "heap, running hierarchy, a tenth of the tenants", "B", "scale-node-heap", "internal/controlplane/subscriber", d.Limits.ControlBytes, "control's memory",
			func(f Fleet, _ Condition) float64 { return d.Measured("scale-node-heap").Estimate(f.Nodes) }},
		{roleControl, "a change in force at the last node", "s", "scale-in-force-last", "internal/controlplane, controlnet", d.Limits.InForceSeconds, "in force",
			func(f Fleet, _ Condition) float64 { return d.Measured("scale-in-force-last").Estimate(f.Nodes) }},
		{roleControl, "bytes of its start: all that it serves", "B", "snapshot-*", "internal/controlplane/publisher, subscriber", 0, "",
			func(f Fleet, _ Condition) float64 { return start(f) }},
		{roleControl, "its start at the allowed bytes a second, mean node", "s", "snapshot-*", "internal/controlplane/subscriber", 0, "",
			func(f Fleet, _ Condition) float64 { return start(f) / d.Limits.ControlPerS }},
		{roleControl, "the same, nodes that serve the largest service", "s", "snapshot-*", "internal/controlplane/subscriber", 0, "",
			func(f Fleet, _ Condition) float64 { return d.Shuffled(f).SnapshotMost / d.Limits.ControlPerS }},
		{roleFlat, "others' counts are told every (4 tenants)", "s", "flat-interval-4", "internal/shared, peers", d.Limits.InForceSeconds, "in force",
			func(f Fleet, _ Condition) float64 { return d.Measured("flat-interval-4").Estimate(f.Nodes) }},
		{roleFlat, "the same with 100 tenants", "s", "flat-interval-100", "internal/shared, peers", d.Limits.InForceSeconds, "in force",
			func(f Fleet, _ Condition) float64 { return d.Measured("flat-interval-100").Estimate(f.Nodes) }},
		{roleFlat, "heap, 100 tenants", "B", "flat-heap-100", "internal/shared", d.Limits.ControlBytes, "control's memory",
			func(f Fleet, _ Condition) float64 { return d.Measured("flat-heap-100").Estimate(f.Nodes) }},
		{roleFlat, "processor of four steps a second, 100 tenants", "cores", "flat-step-100", "internal/shared", d.Limits.ControlCore, "control's processor",
			func(f Fleet, _ Condition) float64 { return 4 * d.Measured("flat-step-100").Estimate(f.Nodes) }},
		{roleFlat, "a view, engine's lock held, 100 tenants", "s", "flat-view-100", "internal/shared, engine", d.Limits.LockSeconds, "request path held",
			func(f Fleet, _ Condition) float64 { return d.Measured("flat-view-100").Estimate(f.Nodes) }},
		{roleFlat, "bytes of whole exchanges, members alone", "B/s", "member-exchange", "internal/peers (memberlist)", d.Limits.ControlPerS, "control's bytes",
			func(f Fleet, _ Condition) float64 { return d.exchange(f.Nodes, 0) }},
		{roleFlat, "the same with the counts of 4 tenants", "B/s", "member-exchange, whole-state-4", "internal/peers, shared", d.Limits.ControlPerS, "control's bytes",
			func(f Fleet, _ Condition) float64 { return d.exchange(f.Nodes, d.wholeState(4, f.Nodes)) }},
		{roleRelay, "nodes of a relay", "", "assumed (relays_per_zone)", "internal/controlplane/parents", 0, "",
			func(f Fleet, c Condition) float64 { return children(f) }},
		{roleRelay, "replica of all logs, heap", "B", "store-heap", "internal/controlplane/changelog", 0, "",
			func(f Fleet, _ Condition) float64 { return resources(f) * d.Measured("store-heap").Value() }},
		{roleRelay, "bytes out", "B/s", "delta-bytes, heartbeat-bytes, snapshot-*", "internal/controlplane/publisher", d.Assumed("relay_bytes_per_second"), "of a relay, assumed",
			func(f Fleet, c Condition) float64 {
				starts := f.RestartsPerDay * c.Restarts / day * f.Nodes / (f.Nodes + f.Backends)
				anew := c.NodesAnew * f.Nodes / d.Assumed("relays_per_zone") * start(f) / d.Limits.InForceSeconds
				return children(f)*(deltas(f, c)+beats()+burst(f, c)/d.Limits.InForceSeconds) + starts/d.relays()*start(f) + anew
			}},
		{roleRelay, "bytes out, running hierarchy", "B/s", "scale-relay-out", "internal/controlplane/publisher", d.Assumed("relay_bytes_per_second"), "of a relay, assumed",
			func(f Fleet, _ Condition) float64 { return d.Measured("scale-relay-out").Estimate(f.Nodes) }},
		{roleRelay, "processor, running hierarchy", "cores", "scale-relay-processor", "internal/controlplane/publisher, subscriber", 1, "a core",
			func(f Fleet, _ Condition) float64 { return d.Measured("scale-relay-processor").Estimate(f.Nodes) }},
		{roleRelay, "heap, running hierarchy, a tenth of the tenants", "B", "scale-relay-heap", "internal/controlplane/changelog", 0, "",
			func(f Fleet, _ Condition) float64 { return d.Measured("scale-relay-heap").Estimate(f.Nodes) }},
		{roleRelay, "start of all relays with nothing", "s", "scale-relay-start", "internal/controlplane/publisher, subscriber", 0, "",
			func(f Fleet, _ Condition) float64 { return d.Measured("scale-relay-start").Estimate(f.Nodes) }},
		{roleRelay, "sessions (descriptors), half of them standby", "", "assumed (relays_per_zone)", "internal/controlnet", d.Limits.Descriptors, "descriptors",
			func(f Fleet, _ Condition) float64 { return 2 * children(f) }},
		{roleWriter, "transactions a second, all regions", "/s", "assumed (changes_per_restart, release_peak)", "internal/controlplane/changelog, quorum", 0, "",
			func(f Fleet, c Condition) float64 {
				return d.transactions(f, c) + c.EndpointsAt*f.Backends/d.Limits.InForceSeconds
			}},
		{roleWriter, "processor to append them", "cores", "append", "internal/controlplane/changelog", 1, "a core",
			func(f Fleet, c Condition) float64 {
				return (d.transactions(f, c) + c.EndpointsAt*f.Backends/d.Limits.InForceSeconds) * d.Measured("append").Estimate(resources(f))
			}},
		{roleWriter, "bytes that wait for a region that was cut off", "B", "delta-bytes", "internal/controlplane/publisher", 0, "",
			func(f Fleet, c Condition) float64 {
				if c.Name != "region cut 5 min, healed" {
					return 0
				}
				return d.transactions(f, c) * 300 * delta
			}},
		{roleDiscovery, "a whole list of all backends", "B", "list-json", "internal/discovery", d.Limits.ListBytes, "of a list",
			func(f Fleet, _ Condition) float64 { return list * f.Backends }},
		{roleDiscovery, "lists for nodes that start together, whole", "B", "list-json", "the platform's agent", 0, "",
			func(f Fleet, c Condition) float64 { return c.NodesAnew * f.Nodes * list * d.Shuffled(f).Endpoints }},
		{roleTools, "who has which version, all nodes asked", "B", "assumed (report_bytes)", "missing: a summary by zone", 0, "",
			func(f Fleet, _ Condition) float64 { return f.Nodes * d.Assumed("report_bytes") }},
	}
}

// wholeState is the bytes of a node's own state in a whole exchange, with the counts of so many tenants that were measured.
// It has at most so many entries as a packet takes; what is beyond that is never told in this way.
func (d *Data) wholeState(tenants, nodes float64) float64 {
	const measured = 300 // nodes
	s := d.Measured("whole-state-4")
	each := s.At(measured).Median / (measured * 4)
	return each * min(d.Limits.ExchangeEntries, tenants*nodes)
}

// exchange is the bytes a second that a node sends for whole exchanges: it begins one at each interval and answers one, by
// the mean.
func (d *Data) exchange(nodes, state float64) float64 {
	return 2 * (d.Measured("member-exchange").Estimate(nodes) + state) / exchangeSeconds(nodes)
}

// exchangeSeconds is how often memberlist begins a whole exchange, which is set to 10 s and scaled above 32 members.
func exchangeSeconds(nodes float64) float64 {
	const set, threshold = 10, 32
	if nodes <= threshold {
		return set
	}
	return set * (math.Ceil(math.Log2(nodes)-math.Log2(threshold)) + 1)
}
