package capacity

import "math"

// Condition is a state of the fleet for which the needs of roles are derived.
type Condition struct {
	Name             string
	Requests         float64 // as a multiple of a node's steady requests
	Restarts         float64 // as a multiple of the daily mean
	Changes          float64 // as a multiple of the daily mean
	StartingNodes    float64 // fraction of all nodes that start empty within one second
	ChangedEndpoints float64 // fraction of all endpoints that change at once
}

// Conditions returns the conditions of the page, in their order.
func (d *Data) Conditions() []Condition {
	zones, regions := d.Target.Zones, d.Target.Regions
	perRegion := zones / regions
	peak := d.Assumed("release_peak")
	return []Condition{
		{Name: "steady", Requests: 1, Restarts: 1, Changes: 1},
		{Name: "release day", Requests: 1, Restarts: peak, Changes: peak},
		{Name: "zone lost, and back", Requests: perRegion / (perRegion - 1), Restarts: 1, Changes: 1, StartingNodes: 1 / zones, ChangedEndpoints: 1 / zones},
		{Name: "region cut 5 min, healed", Requests: regions / (regions - 1), Restarts: 1, Changes: 1},
	}
}

// Need is what a role needs of one resource, by condition and size of the fleet.
type Need struct {
	Role, What, Unit string
	Source           string  // names of the measured series, or "assumed"
	Carrier          string  // the package, or "missing"
	Limit            float64 // 0 for none
	LimitOf          string
	Value            func(Fleet, Condition) float64
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

const secondsPerDay = 86400.0

// transactionsPerSecond returns the rate of changes in all logs: changes of configuration, and those of endpoints on
// machines that restart, which are three: drain, end and start.
func (d *Data) transactionsPerSecond(f Fleet, c Condition) float64 {
	return (f.ChangesPerDay*c.Changes + f.RestartsPerDay*c.Restarts*d.Assumed("changes_per_restart")) / secondsPerDay
}

// relayCount returns the number of relays.
func (d *Data) relayCount() float64 { return d.Assumed("relays_per_zone") * d.Target.Zones }

// heartbeatBytesPerSecond returns the rate of heartbeats that a node receives from its parents, as frames on the wire.
func (d *Data) heartbeatBytesPerSecond() float64 {
	const parents = 2
	return (d.Measured("heartbeat-bytes").Value() + d.Measured("frame-overhead").Value()) * d.Target.Regions * parents / d.Assumed("heartbeat_seconds")
}

// requestsOfNode returns the requests per second of one node.
func requestsOfNode(f Fleet, c Condition) float64 { return f.RequestsPerSecond / f.Nodes * c.Requests }

// largestService returns the number of backends of the largest service.
func (d *Data) largestService(f Fleet) float64 {
	return d.serviceShares(f)[0] * f.Backends
}

// Needs returns the rows of the page's table of roles.
func (d *Data) Needs() []Need {
	deltaBytes := d.Measured("delta-bytes").Value()
	heartbeats := func() float64 { return d.heartbeatBytesPerSecond() }
	deltas := func(f Fleet, c Condition) float64 { // bytes per second of a node
		return d.transactionsPerSecond(f, c) * d.ShuffleSharded(f).Services / f.Services * deltaBytes
	}
	burst := func(f Fleet, c Condition) float64 { // bytes for a node when endpoints change together
		return c.ChangedEndpoints * d.ShuffleSharded(f).Endpoints * deltaBytes
	}
	startBytes := func(f Fleet) float64 { return d.ShuffleSharded(f).SnapshotBytes }
	children := func(f Fleet) float64 { return f.Nodes / d.relayCount() }
	resources := func(f Fleet) float64 { return f.Services + f.Backends + f.Routes + f.Tenants }
	listBytesPerBackend := d.Measured("list-json").Value() / d.Measured("list-json").Sizes[0]
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
			func(f Fleet, _ Condition) float64 { return d.Measured("decision-80").Estimate(d.largestService(f)) }},
		{roleRequest, "engine's lock taken by decisions, were all requests the largest service's", "of 1", "decision-80", "internal/engine, policy", 0.5, "half, assumed",
			func(f Fleet, c Condition) float64 {
				return requestsOfNode(f, c) * d.Measured("decision").Estimate(d.largestService(f))
			}},
		{roleRequest, "news of one backend of the largest service, lock held", "s", "list-delta", "internal/engine, policy", d.Limits.LockSeconds, "request path held",
			func(f Fleet, _ Condition) float64 { return d.Measured("list-delta").Estimate(d.largestService(f)) }},
		{roleRequest, "one gone and one new of them, state shared by [fleet]", "s", "list-delta-sharing", "internal/engine, shared", d.Limits.LockSeconds, "request path held",
			func(f Fleet, _ Condition) float64 {
				return d.Measured("list-delta-sharing").Estimate(d.largestService(f))
			}},
		{roleRequest, "whole list of the largest service, lock held", "s", "list-full", "internal/engine, policy", d.Limits.LockSeconds, "request path held",
			func(f Fleet, _ Condition) float64 { return d.Measured("list-full").Estimate(d.largestService(f)) }},
		{roleRequest, "the same by [control], in pieces: longest hold", "s", "control-hold-list", "internal/node, engine, policy", d.Limits.LockSeconds, "request path held",
			func(f Fleet, _ Condition) float64 {
				return d.Measured("control-hold-list").Estimate(d.largestService(f))
			}},
		{roleRequest, "a change of one of them by [control]: longest hold", "s", "control-hold-change", "internal/node, engine, policy", d.Limits.LockSeconds, "request path held",
			func(f Fleet, _ Condition) float64 {
				return d.Measured("control-hold-change").Estimate(d.largestService(f))
			}},
		{roleRequest, "services of a node (one process has one today)", "", "assumed (nodes_per_service)", "missing: several services in one process", 1, "services of a process",
			func(f Fleet, _ Condition) float64 { return d.ShuffleSharded(f).Services }},
		{roleRequest, "heap of backends, tenants and replica, nodes that serve most", "B", "memory-by-backend, memory-by-tenant, store-heap", "internal/engine, policy, internal/admission", d.Limits.ControlBytes, "control's memory",
			func(f Fleet, _ Condition) float64 { return d.ShuffleSharded(f).MemoryBytes }},
		{roleRequest, "connections to backends", "", "internal/subset by its formula", "internal/subset, httpcarrier", d.Limits.Descriptors, "descriptors",
			func(f Fleet, _ Condition) float64 { return d.ShuffleSharded(f).Connections }},
		{roleControl, "bytes in: deltas and heartbeats", "B/s", "delta-bytes, heartbeat-bytes, frame-overhead", "internal/controlplane/publisher, subscriber", d.Limits.ControlBytesPerSecond, "control's bytes",
			func(f Fleet, c Condition) float64 {
				return deltas(f, c) + heartbeats() + burst(f, c)/d.Limits.InForceSeconds
			}},
		{roleControl, "bytes in, running hierarchy", "B/s", "scale-node-in", "internal/controlplane, controlnet", d.Limits.ControlBytesPerSecond, "control's bytes",
			func(f Fleet, _ Condition) float64 { return d.Measured("scale-node-in").Estimate(f.Nodes) }},
		{roleControl, "processor, running hierarchy", "cores", "scale-node-processor", "internal/controlplane/subscriber", d.Limits.ControlCore, "control's processor",
			func(f Fleet, _ Condition) float64 { return d.Measured("scale-node-processor").Estimate(f.Nodes) }},
		{roleControl, "heap, running hierarchy, a tenth of the tenants", "B", "scale-node-heap", "internal/controlplane/subscriber", d.Limits.ControlBytes, "control's memory",
			func(f Fleet, _ Condition) float64 { return d.Measured("scale-node-heap").Estimate(f.Nodes) }},
		{roleControl, "a change in force at the last node", "s", "scale-in-force-last", "internal/controlplane, controlnet", d.Limits.InForceSeconds, "in force",
			func(f Fleet, _ Condition) float64 { return d.Measured("scale-in-force-last").Estimate(f.Nodes) }},
		{roleControl, "bytes of its start: all that it serves", "B", "snapshot-*", "internal/controlplane/publisher, subscriber", 0, "",
			func(f Fleet, _ Condition) float64 { return startBytes(f) }},
		{roleControl, "its start at the allowed bytes a second, mean node", "s", "snapshot-*", "internal/controlplane/subscriber", 0, "",
			func(f Fleet, _ Condition) float64 { return startBytes(f) / d.Limits.ControlBytesPerSecond }},
		{roleControl, "the same, nodes that serve the largest service", "s", "snapshot-*", "internal/controlplane/subscriber", 0, "",
			func(f Fleet, _ Condition) float64 {
				return d.ShuffleSharded(f).MaxSnapshotBytes / d.Limits.ControlBytesPerSecond
			}},
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
		{roleFlat, "bytes of whole exchanges, members alone", "B/s", "member-exchange", "internal/peers (memberlist)", d.Limits.ControlBytesPerSecond, "control's bytes",
			func(f Fleet, _ Condition) float64 { return d.exchangeBytesPerSecond(f.Nodes, 0) }},
		{roleFlat, "the same with the counts of 4 tenants", "B/s", "member-exchange, whole-state-4", "internal/peers, shared", d.Limits.ControlBytesPerSecond, "control's bytes",
			func(f Fleet, _ Condition) float64 {
				return d.exchangeBytesPerSecond(f.Nodes, d.fullStateBytes(4, f.Nodes))
			}},
		{roleRelay, "nodes of a relay", "", "assumed (relays_per_zone)", "internal/controlplane/parents", 0, "",
			func(f Fleet, c Condition) float64 { return children(f) }},
		{roleRelay, "replica of all logs, heap", "B", "store-heap", "internal/controlplane/changelog", 0, "",
			func(f Fleet, _ Condition) float64 { return resources(f) * d.Measured("store-heap").Value() }},
		{roleRelay, "bytes out", "B/s", "delta-bytes, heartbeat-bytes, snapshot-*", "internal/controlplane/publisher", d.Assumed("relay_bytes_per_second"), "of a relay, assumed",
			func(f Fleet, c Condition) float64 {
				restartsPerSecond := f.RestartsPerDay * c.Restarts / secondsPerDay * f.Nodes / (f.Nodes + f.Backends)
				startingBytesPerSecond := c.StartingNodes * f.Nodes / d.Assumed("relays_per_zone") * startBytes(f) / d.Limits.InForceSeconds
				return children(f)*(deltas(f, c)+heartbeats()+burst(f, c)/d.Limits.InForceSeconds) + restartsPerSecond/d.relayCount()*startBytes(f) + startingBytesPerSecond
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
				return d.transactionsPerSecond(f, c) + c.ChangedEndpoints*f.Backends/d.Limits.InForceSeconds
			}},
		{roleWriter, "processor to append them", "cores", "append", "internal/controlplane/changelog", 1, "a core",
			func(f Fleet, c Condition) float64 {
				return (d.transactionsPerSecond(f, c) + c.ChangedEndpoints*f.Backends/d.Limits.InForceSeconds) * d.Measured("append").Estimate(resources(f))
			}},
		{roleWriter, "bytes that wait for a region that was cut off", "B", "delta-bytes", "internal/controlplane/publisher", 0, "",
			func(f Fleet, c Condition) float64 {
				if c.Name != "region cut 5 min, healed" {
					return 0
				}
				return d.transactionsPerSecond(f, c) * 300 * deltaBytes
			}},
		{roleDiscovery, "a whole list of all backends", "B", "list-json", "internal/discovery", d.Limits.ListBytes, "of a list",
			func(f Fleet, _ Condition) float64 { return listBytesPerBackend * f.Backends }},
		{roleDiscovery, "lists for nodes that start together, whole", "B", "list-json", "the platform's agent", 0, "",
			func(f Fleet, c Condition) float64 {
				return c.StartingNodes * f.Nodes * listBytesPerBackend * d.ShuffleSharded(f).Endpoints
			}},
		{roleTools, "who has which version, all nodes asked", "B", "assumed (report_bytes)", "missing: a summary by zone", 0, "",
			func(f Fleet, _ Condition) float64 { return f.Nodes * d.Assumed("report_bytes") }},
	}
}

// fullStateBytes returns the size of a node's state in a full exchange, with the counts of the given number of tenants. It
// is limited to the entries that a packet can hold; further entries are never sent this way.
func (d *Data) fullStateBytes(tenants, nodes float64) float64 {
	const measured = 300 // nodes
	s := d.Measured("whole-state-4")
	bytesPerEntry := s.At(measured).Median / (measured * 4)
	return bytesPerEntry * min(d.Limits.ExchangeEntries, tenants*nodes)
}

// exchangeBytesPerSecond returns the mean rate that a node sends for full exchanges: in each interval it starts one and
// answers one.
func (d *Data) exchangeBytesPerSecond(nodes, state float64) float64 {
	return 2 * (d.Measured("member-exchange").Estimate(nodes) + state) / exchangeIntervalSeconds(nodes)
}

// exchangeIntervalSeconds returns the interval at which memberlist starts a full exchange: 10 s, scaled up above 32
// members.
func exchangeIntervalSeconds(nodes float64) float64 {
	const configured, threshold = 10, 32
	if nodes <= threshold {
		return configured
	}
	return configured * (math.Ceil(math.Log2(nodes)-math.Log2(threshold)) + 1)
}
