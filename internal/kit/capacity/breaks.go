package capacity

import (
	"cmp"
	"math"
	"slices"
)

// Break is where a mechanism passes its first limit on the line from the start to the target.
type Break struct {
	Mechanism, Limit, Carrier string
	Fleet                     Fleet   // where it does
	Before                    bool    // already at the start, or at a size below it,
	Below                     float64 // which is of so many nodes; 0 for any size
	Never                     bool    // not up to the target
	Times                     float64 // its value at the target, as a multiple of the limit
}

type mechanism struct {
	name, limit, carrier string
	limitAt              float64
	value                func(Fleet) float64
	below                func() float64 // nodes, for one that is past its limit at the start
}

// Breaks are all mechanisms, in the order in which they pass their first limit.
func (d *Data) Breaks() []Break {
	var all []Break
	for _, m := range d.mechanisms() {
		b := Break{Mechanism: m.name, Limit: m.limit, Carrier: m.carrier, Times: m.value(d.Along(1)) / m.limitAt}
		switch {
		case m.value(d.Along(0)) > m.limitAt:
			b.Before, b.Fleet = true, d.Along(0)
			if m.below != nil {
				b.Below = m.below()
			}
		case m.value(d.Along(1)) <= m.limitAt:
			b.Never, b.Fleet = true, d.Along(1)
		default:
			b.Fleet = d.crossing(m)
		}
		all = append(all, b)
	}
	slices.SortStableFunc(all, func(a, b Break) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Below, b.Below), cmp.Compare(a.Fleet.Part, b.Fleet.Part), cmp.Compare(b.Times, a.Times))
	})
	return all
}

func rank(b Break) int {
	switch {
	case b.Before:
		return 0
	case b.Never:
		return 2
	}
	return 1
}

// crossing is the first fleet on the line at which a mechanism is past its limit. The line is looked at in logarithmic steps,
// as some grow in jumps.
func (d *Data) crossing(m mechanism) Fleet {
	least := 0.0
	for step := 1e-5; least < 1; step *= 1.1 {
		part := min(step, 1)
		if m.value(d.Along(part)) > m.limitAt {
			most := part
			for range 40 {
				middle := (least + most) / 2
				if m.value(d.Along(middle)) > m.limitAt {
					most = middle
				} else {
					least = middle
				}
			}
			return d.Along(most)
		}
		least = part
	}
	return d.Along(1)
}

// restartAll is how long a change takes that needs each node to restart: so many at a time, one drain and one start each.
func (d *Data) restartAll(Fleet) float64 {
	return math.Ceil(1/d.Assumed("restart_part")) * (d.Assumed("restart_drain_seconds") + d.Measured("start-to-ready").Value())
}

func (d *Data) mechanisms() []mechanism {
	largest := func(f Fleet) float64 { return d.largest(f) }
	tenants := func(f Fleet) float64 {
		return f.Tenants / f.Services * math.Max(1, d.largest(f)/(f.Backends/f.Services))
	}
	flat := func(name string, f Fleet) float64 { return d.Measured(name).Estimate(f.Nodes) }
	below := func(name string, limit float64) func() float64 {
		return func() float64 { return d.Measured(name).Reaches(limit) }
	}
	lim := d.Limits
	return []mechanism{
		{"a change of anything but discovery: a restart of every node", "in force in 7 s", "was missing: configuration by version (internal/controlplane, controlnet)", lim.InForceSeconds, d.restartAll,
			func() float64 { return 0 }},
		{"a change in the running hierarchy, at the last node", "7 s", "internal/controlplane, controlnet (built)", lim.InForceSeconds,
			func(f Fleet) float64 { return d.Measured("scale-in-force-last").Estimate(f.Nodes) }, nil},
		{"bytes of a node in the running hierarchy", "8 KiB a second", "internal/controlplane, controlnet (built)", lim.ControlPerS,
			func(f Fleet) float64 { return d.Measured("scale-node-in").Estimate(f.Nodes) }, nil},
		{"changes a day by restarts of every node, one behind the other", "the day is over", "was missing: configuration by version (internal/controlplane, controlnet)", 1,
			func(f Fleet) float64 { return f.ChangesPerDay * d.restartAll(f) / day }, nil},
		{"one service in a process", "1 service", "missing: several services in one process", 1, func(f Fleet) float64 { return d.Shuffled(f).Services }, nil},
		{"flat counts, 4 tenants: told every", "7 s", "internal/shared", lim.InForceSeconds, func(f Fleet) float64 { return flat("flat-interval-4", f) },
			below("flat-interval-4", lim.InForceSeconds)},
		{"flat counts, 100 tenants: told every", "7 s", "internal/shared", lim.InForceSeconds, func(f Fleet) float64 { return flat("flat-interval-100", f) },
			below("flat-interval-100", lim.InForceSeconds)},
		{"flat counts, 4 tenants: a view under the engine's lock", "1 ms", "internal/shared, engine", lim.LockSeconds, func(f Fleet) float64 { return flat("flat-view-4", f) },
			below("flat-view-4", lim.LockSeconds)},
		{"flat counts, 100 tenants: a view under the engine's lock", "1 ms", "internal/shared, engine", lim.LockSeconds, func(f Fleet) float64 { return flat("flat-view-100", f) },
			below("flat-view-100", lim.LockSeconds)},
		{"flat counts, 100 tenants: processor of the steps", "2.6% of a core", "internal/shared", lim.ControlCore, func(f Fleet) float64 { return 4 * flat("flat-step-100", f) },
			below("flat-step-100", lim.ControlCore/4)},
		{"flat counts, 100 tenants: heap", "256 MB", "internal/shared", lim.ControlBytes, func(f Fleet) float64 { return flat("flat-heap-100", f) }, nil},
		{"whole exchange, 100 tenants: entries", "16,384 entries", "internal/shared/packet", lim.ExchangeEntries, func(f Fleet) float64 { return 100 * f.Nodes },
			func() float64 { return lim.ExchangeEntries / 100 }},
		{"whole exchange, members alone: bytes", "8 KiB a second", "internal/peers", lim.ControlPerS, func(f Fleet) float64 { return d.exchange(f.Nodes, 0) }, nil},
		{"whole exchange, 4 tenants: bytes", "8 KiB a second", "internal/peers, shared", lim.ControlPerS,
			func(f Fleet) float64 { return d.exchange(f.Nodes, d.wholeState(4, f.Nodes)) }, nil},
		{"a whole list of all backends: bytes", "16 MiB", "internal/discovery", lim.ListBytes,
			func(f Fleet) float64 { return d.Measured("list-json").Estimate(f.Backends) }, nil},
		{"a whole list of all backends in one process, before: lock held", "1 ms", "internal/engine (mended)", lim.LockSeconds,
			func(f Fleet) float64 { return d.Measured("list-full-before").Estimate(f.Backends) }, nil},
		{"a whole list of all backends in one process: lock held", "1 ms", "internal/engine, policy", lim.LockSeconds,
			func(f Fleet) float64 { return d.Measured("list-full").Estimate(f.Backends) }, nil},
		{"news of one backend, all in one process, before: lock held", "1 ms", "policy (mended)", lim.LockSeconds,
			func(f Fleet) float64 { return d.Measured("list-delta-before").Estimate(f.Backends) }, nil},
		{"news of one backend, all in one process: lock held", "1 ms", "policy", lim.LockSeconds,
			func(f Fleet) float64 { return d.Measured("list-delta").Estimate(f.Backends) }, nil},
		{"news of one backend of the largest service: lock held", "1 ms", "policy", lim.LockSeconds,
			func(f Fleet) float64 { return d.Measured("list-delta").Estimate(largest(f)) }, nil},
		{"a backend of the largest service replaced, state shared: lock held", "1 ms", "internal/engine, shared", lim.LockSeconds,
			func(f Fleet) float64 { return d.Measured("list-delta-sharing").Estimate(largest(f)) }, nil},
		{"a backend of the largest service replaced, sites watched: lock held", "1 ms", "internal/engine, sites", lim.LockSeconds,
			func(f Fleet) float64 { return d.Measured("list-delta-sites").Estimate(largest(f)) }, nil},
		{"a whole list of the largest service: lock held", "1 ms", "internal/engine, policy", lim.LockSeconds,
			func(f Fleet) float64 { return d.Measured("list-full").Estimate(largest(f)) }, nil},
		{"a first list of the largest service by [control], in pieces: longest hold", "1 ms", "internal/node, engine, policy", lim.LockSeconds,
			func(f Fleet) float64 { return d.Measured("control-hold-list").Estimate(largest(f)) }, nil},
		{"a change in the largest service by [control]: longest hold", "1 ms", "internal/node, engine, policy", lim.LockSeconds,
			func(f Fleet) float64 { return d.Measured("control-hold-change").Estimate(largest(f)) }, nil},
		{"a decision, all backends in one process, up to 12 nodes that serve them", "2.8 ms added", "policy", lim.AddedSeconds,
			func(f Fleet) float64 { return d.Measured("decision").Estimate(f.Backends) }, nil},
		{"a decision, all backends in one process, all nodes serve them", "2.8 ms added", "policy, internal/subset", lim.AddedSeconds,
			func(f Fleet) float64 { return d.Measured("decision-5900").Estimate(f.Backends) }, nil},
		{"a decision in the largest service", "2.8 ms added", "policy, internal/subset", lim.AddedSeconds,
			func(f Fleet) float64 { return d.Measured("decision-80").Estimate(largest(f)) }, nil},
		{"a request's tenant among those of the largest service, before", "2.8 ms added", "policy (mended)", lim.AddedSeconds,
			func(f Fleet) float64 { return d.Measured("tenant-before").Estimate(max(4, tenants(f))) }, nil},
		{"a request's tenant among all, before", "2.8 ms added", "policy (mended)", lim.AddedSeconds,
			func(f Fleet) float64 { return d.Measured("tenant-before").Estimate(f.Tenants) }, nil},
		{"a request's tenant among all", "2.8 ms added", "policy", lim.AddedSeconds,
			func(f Fleet) float64 { return d.Measured("tenant").Estimate(f.Tenants) }, nil},
		{"memory of a node that serves everything", "256 MB", "internal/engine, policy", lim.ControlBytes,
			func(f Fleet) float64 { return d.Everywhere(f).Memory }, nil},
		{"memory of a node by shuffle sharding", "256 MB", "internal/engine, policy", lim.ControlBytes,
			func(f Fleet) float64 { return d.Shuffled(f).Memory }, nil},
		{"connections of a node that serves everything", "descriptors", "internal/httpcarrier", lim.Descriptors,
			func(f Fleet) float64 { return d.Everywhere(f).Connections }, nil},
		{"start of a node that serves everything, at 8 KiB a second", "60 s, assumed", "internal/controlplane/subscriber", d.Assumed("start_seconds"),
			func(f Fleet) float64 { return d.Everywhere(f).SnapshotBytes / lim.ControlPerS }, nil},
		{"start of a mean node by shuffle sharding, at 8 KiB a second", "60 s, assumed", "internal/controlplane/subscriber", d.Assumed("start_seconds"),
			func(f Fleet) float64 { return d.Shuffled(f).SnapshotBytes / lim.ControlPerS }, nil},
		{"start of a node with the largest service, at 8 KiB a second", "60 s, assumed", "internal/controlplane/subscriber", d.Assumed("start_seconds"),
			func(f Fleet) float64 { return d.Shuffled(f).SnapshotMost / lim.ControlPerS }, nil},
	}
}
