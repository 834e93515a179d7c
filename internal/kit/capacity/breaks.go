package capacity

import (
	"cmp"
	"math"
	"slices"
)

// Break is the point on the line from the start to the target at which a mechanism exceeds its limit.
type Break struct {
	Mechanism, Limit, Carrier string
	Fleet                     Fleet   // at that point
	AtStart                   bool    // exceeded already at the start of the line
	ExceededAtNodes           float64 // if AtStart: the nodes at which it is exceeded, 0 for any number
	NotReached                bool    // not exceeded up to the target
	TargetToLimit             float64 // value at the target, as a multiple of the limit
}

type mechanism struct {
	name, limit, carrier string
	threshold            float64
	value                func(Fleet) float64
	exceededAtNodes      func() float64 // nodes, for a mechanism that exceeds its limit at the start
}

// Breaks returns all mechanisms in the order in which they exceed their limits.
func (d *Data) Breaks() []Break {
	var all []Break
	for _, m := range d.mechanisms() {
		b := Break{Mechanism: m.name, Limit: m.limit, Carrier: m.carrier, TargetToLimit: m.value(d.FleetAt(1)) / m.threshold}
		switch {
		case m.value(d.FleetAt(0)) > m.threshold:
			b.AtStart, b.Fleet = true, d.FleetAt(0)
			if m.exceededAtNodes != nil {
				b.ExceededAtNodes = m.exceededAtNodes()
			}
		case m.value(d.FleetAt(1)) <= m.threshold:
			b.NotReached, b.Fleet = true, d.FleetAt(1)
		default:
			b.Fleet = d.limitCrossing(m)
		}
		all = append(all, b)
	}
	slices.SortStableFunc(all, func(a, b Break) int {
		return cmp.Or(cmp.Compare(breakRank(a), breakRank(b)), cmp.Compare(a.ExceededAtNodes, b.ExceededAtNodes), cmp.Compare(a.Fleet.Fraction, b.Fleet.Fraction), cmp.Compare(b.TargetToLimit, a.TargetToLimit))
	})
	return all
}

func breakRank(b Break) int {
	switch {
	case b.AtStart:
		return 0
	case b.NotReached:
		return 2
	}
	return 1
}

// limitCrossing returns the first fleet on the line at which a mechanism exceeds its limit. It searches the line in
// logarithmic steps, as some values grow in jumps, and then by bisection.
func (d *Data) limitCrossing(m mechanism) Fleet {
	low := 0.0
	for step := 1e-5; low < 1; step *= 1.1 {
		fraction := min(step, 1)
		if m.value(d.FleetAt(fraction)) > m.threshold {
			high := fraction
			for range 40 {
				middle := (low + high) / 2
				if m.value(d.FleetAt(middle)) > m.threshold {
					high = middle
				} else {
					low = middle
				}
			}
			return d.FleetAt(high)
		}
		low = fraction
	}
	return d.FleetAt(1)
}

// restartAllSeconds returns how long a change takes that restarts every node: a fraction of them at a time, each with a
// drain and a start.
func (d *Data) restartAllSeconds(Fleet) float64 {
	return math.Ceil(1/d.Assumed("restart_part")) * (d.Assumed("restart_drain_seconds") + d.Measured("start-to-ready").Value())
}

func (d *Data) mechanisms() []mechanism {
	largest := func(f Fleet) float64 { return d.largestService(f) }
	tenants := func(f Fleet) float64 {
		return f.Tenants / f.Services * math.Max(1, d.largestService(f)/(f.Backends/f.Services))
	}
	estimate := func(name string, f Fleet) float64 { return d.Measured(name).Estimate(f.Nodes) }
	reaches := func(name string, limit float64) func() float64 {
		return func() float64 { return d.Measured(name).SizeReaching(limit) }
	}
	limits := d.Limits
	return []mechanism{
		{"a change of anything but discovery: a restart of every node", "in force in 7 s", "was missing: configuration by version (internal/controlplane, controlnet)", limits.InForceSeconds, d.restartAllSeconds,
			func() float64 { return 0 }},
		{"a change in the running hierarchy, at the last node", "7 s", "internal/controlplane, controlnet (built)", limits.InForceSeconds,
			func(f Fleet) float64 { return d.Measured("scale-in-force-last").Estimate(f.Nodes) }, nil},
		{"bytes of a node in the running hierarchy", "8 KiB a second", "internal/controlplane, controlnet (built)", limits.ControlBytesPerSecond,
			func(f Fleet) float64 { return d.Measured("scale-node-in").Estimate(f.Nodes) }, nil},
		{"changes a day by restarts of every node, one behind the other", "the day is over", "was missing: configuration by version (internal/controlplane, controlnet)", 1,
			func(f Fleet) float64 { return f.ChangesPerDay * d.restartAllSeconds(f) / secondsPerDay }, nil},
		{"one service in a process", "1 service", "missing: several services in one process", 1, func(f Fleet) float64 { return d.ShuffleSharded(f).Services }, nil},
		{"flat counts, 4 tenants: told every", "7 s", "internal/shared", limits.InForceSeconds, func(f Fleet) float64 { return estimate("flat-interval-4", f) },
			reaches("flat-interval-4", limits.InForceSeconds)},
		{"flat counts, 100 tenants: told every", "7 s", "internal/shared", limits.InForceSeconds, func(f Fleet) float64 { return estimate("flat-interval-100", f) },
			reaches("flat-interval-100", limits.InForceSeconds)},
		{"flat counts, 4 tenants: a view under the engine's lock", "1 ms", "internal/shared, engine", limits.LockSeconds, func(f Fleet) float64 { return estimate("flat-view-4", f) },
			reaches("flat-view-4", limits.LockSeconds)},
		{"flat counts, 100 tenants: a view under the engine's lock", "1 ms", "internal/shared, engine", limits.LockSeconds, func(f Fleet) float64 { return estimate("flat-view-100", f) },
			reaches("flat-view-100", limits.LockSeconds)},
		{"flat counts, 100 tenants: processor of the steps", "2.6% of a core", "internal/shared", limits.ControlCore, func(f Fleet) float64 { return 4 * estimate("flat-step-100", f) },
			reaches("flat-step-100", limits.ControlCore/4)},
		{"flat counts, 100 tenants: heap", "256 MB", "internal/shared", limits.ControlBytes, func(f Fleet) float64 { return estimate("flat-heap-100", f) }, nil},
		{"whole exchange, 100 tenants: entries", "16,384 entries", "internal/shared/packet", limits.ExchangeEntries, func(f Fleet) float64 { return 100 * f.Nodes },
			func() float64 { return limits.ExchangeEntries / 100 }},
		{"whole exchange, members alone: bytes", "8 KiB a second", "internal/peers", limits.ControlBytesPerSecond, func(f Fleet) float64 { return d.exchangeBytesPerSecond(f.Nodes, 0) }, nil},
		{"whole exchange, 4 tenants: bytes", "8 KiB a second", "internal/peers, shared", limits.ControlBytesPerSecond,
			func(f Fleet) float64 { return d.exchangeBytesPerSecond(f.Nodes, d.fullStateBytes(4, f.Nodes)) }, nil},
		{"a whole list of all backends: bytes", "16 MiB", "internal/discovery", limits.ListBytes,
			func(f Fleet) float64 { return d.Measured("list-json").Estimate(f.Backends) }, nil},
		{"a whole list of all backends in one process, before: lock held", "1 ms", "internal/engine (mended)", limits.LockSeconds,
			func(f Fleet) float64 { return d.Measured("list-full-before").Estimate(f.Backends) }, nil},
		{"a whole list of all backends in one process: lock held", "1 ms", "internal/engine, policy", limits.LockSeconds,
			func(f Fleet) float64 { return d.Measured("list-full").Estimate(f.Backends) }, nil},
		{"news of one backend, all in one process, before: lock held", "1 ms", "policy (mended)", limits.LockSeconds,
			func(f Fleet) float64 { return d.Measured("list-delta-before").Estimate(f.Backends) }, nil},
		{"news of one backend, all in one process: lock held", "1 ms", "policy", limits.LockSeconds,
			func(f Fleet) float64 { return d.Measured("list-delta").Estimate(f.Backends) }, nil},
		{"news of one backend of the largest service: lock held", "1 ms", "policy", limits.LockSeconds,
			func(f Fleet) float64 { return d.Measured("list-delta").Estimate(largest(f)) }, nil},
		{"a backend of the largest service replaced, state shared: lock held", "1 ms", "internal/engine, shared", limits.LockSeconds,
			func(f Fleet) float64 { return d.Measured("list-delta-sharing").Estimate(largest(f)) }, nil},
		{"a backend of the largest service replaced, sites watched: lock held", "1 ms", "internal/engine, sites", limits.LockSeconds,
			func(f Fleet) float64 { return d.Measured("list-delta-sites").Estimate(largest(f)) }, nil},
		{"a whole list of the largest service: lock held", "1 ms", "internal/engine, policy", limits.LockSeconds,
			func(f Fleet) float64 { return d.Measured("list-full").Estimate(largest(f)) }, nil},
		{"a first list of the largest service by [control], in pieces: longest hold", "1 ms", "internal/node, engine, policy", limits.LockSeconds,
			func(f Fleet) float64 { return d.Measured("control-hold-list").Estimate(largest(f)) }, nil},
		{"a change in the largest service by [control]: longest hold", "1 ms", "internal/node, engine, policy", limits.LockSeconds,
			func(f Fleet) float64 { return d.Measured("control-hold-change").Estimate(largest(f)) }, nil},
		{"a decision, all backends in one process, up to 12 nodes that serve them", "2.8 ms added", "policy", limits.AddedSeconds,
			func(f Fleet) float64 { return d.Measured("decision").Estimate(f.Backends) }, nil},
		{"a decision, all backends in one process, all nodes serve them", "2.8 ms added", "policy, internal/subset", limits.AddedSeconds,
			func(f Fleet) float64 { return d.Measured("decision-5900").Estimate(f.Backends) }, nil},
		{"a decision in the largest service", "2.8 ms added", "policy, internal/subset", limits.AddedSeconds,
			func(f Fleet) float64 { return d.Measured("decision-80").Estimate(largest(f)) }, nil},
		{"a request's tenant among those of the largest service, before", "2.8 ms added", "policy (mended)", limits.AddedSeconds,
			func(f Fleet) float64 { return d.Measured("tenant-before").Estimate(max(4, tenants(f))) }, nil},
		{"a request's tenant among all, before", "2.8 ms added", "policy (mended)", limits.AddedSeconds,
			func(f Fleet) float64 { return d.Measured("tenant-before").Estimate(f.Tenants) }, nil},
		{"a request's tenant among all", "2.8 ms added", "policy", limits.AddedSeconds,
			func(f Fleet) float64 { return d.Measured("tenant").Estimate(f.Tenants) }, nil},
		{"memory of a node that serves everything", "256 MB", "internal/engine, policy", limits.ControlBytes,
			func(f Fleet) float64 { return d.AllServices(f).MemoryBytes }, nil},
		{"memory of a node by shuffle sharding", "256 MB", "internal/engine, policy", limits.ControlBytes,
			func(f Fleet) float64 { return d.ShuffleSharded(f).MemoryBytes }, nil},
		{"connections of a node that serves everything", "descriptors", "internal/httpcarrier", limits.Descriptors,
			func(f Fleet) float64 { return d.AllServices(f).Connections }, nil},
		{"start of a node that serves everything, at 8 KiB a second", "60 s, assumed", "internal/controlplane/subscriber", d.Assumed("start_seconds"),
			func(f Fleet) float64 { return d.AllServices(f).SnapshotBytes / limits.ControlBytesPerSecond }, nil},
		{"start of a mean node by shuffle sharding, at 8 KiB a second", "60 s, assumed", "internal/controlplane/subscriber", d.Assumed("start_seconds"),
			func(f Fleet) float64 { return d.ShuffleSharded(f).SnapshotBytes / limits.ControlBytesPerSecond }, nil},
		{"start of a node with the largest service, at 8 KiB a second", "60 s, assumed", "internal/controlplane/subscriber", d.Assumed("start_seconds"),
			func(f Fleet) float64 { return d.ShuffleSharded(f).MaxSnapshotBytes / limits.ControlBytesPerSecond }, nil},
	}
}
