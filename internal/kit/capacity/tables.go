package capacity

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Sizes holds the fleet sizes that the tables show, in nodes.
var Sizes = []float64{300, 1500, 5900}

// Tables returns the page's tables by name, in Markdown.
func (d *Data) Tables() map[string]string {
	return map[string]string{
		"assumptions": d.assumptionTable(),
		"line":        d.lineTable(),
		"measured":    d.measuredTable(),
		"serving":     d.servingTable(),
		"zones":       d.zoneTable(),
		"roles":       d.roleTable(),
		"peaks":       d.peakTable(),
		"breaks":      d.breakTable(),
	}
}

// table builds a Markdown table.
type table struct{ strings.Builder }

func newTable(head ...string) *table {
	t := &table{}
	t.row(head...)
	t.row(strings.Split(strings.Repeat("---,", len(head)-1)+"---", ",")...)
	return t
}

func (t *table) row(cells ...string) { t.WriteString("| " + strings.Join(cells, " | ") + " |\n") }

func (d *Data) assumptionTable() string {
	t := newTable("assumed", "value", "what it is", "if it is wrong by two", "worked out: at half, as assumed, at twice")
	for _, a := range d.Assumptions {
		t.row("`"+a.Name+"`", formatCount(a.Value), a.What, a.IfTwice, strings.Join(d.sensitivity(a.Name), "; "))
	}
	return t.String()
}

// withAssumption returns a copy of the data with another value of an assumption.
func (d *Data) withAssumption(name string, value float64) *Data {
	other := *d
	other.Assumptions = slices.Clone(d.Assumptions)
	for i := range other.Assumptions {
		if other.Assumptions[i].Name == name {
			other.Assumptions[i].Value = value
		}
	}
	return &other
}

// sensitivity lists the results at the target that change by more than 5% if an assumption is halved or doubled.
func (d *Data) sensitivity(name string) (all []string) {
	type result struct {
		what, unit string
		value      float64
	}
	results := func(d *Data) []result {
		f, conditions := d.FleetAt(1), d.Conditions()
		s := d.ShuffleSharded(f)
		return []result{{"services a node", "", s.Services}, {"endpoints a node knows", "", s.Endpoints}, {"start of a mean node", "B", s.SnapshotBytes},
			{"largest service", "backends", d.largestService(f)}, {"transactions on a release day", "/s", d.transactionsPerSecond(f, conditions[1])},
			{"nodes of a relay", "", f.Nodes / d.relayCount()}, {"a zone's starts at a relay", "s", f.Nodes / d.Target.Zones / d.Assumed("relays_per_zone") * s.SnapshotBytes / d.Assumed("relay_bytes_per_second")},
			{"a change by restarts", "s", d.restartAllSeconds(f)}, {"endpoints that a node of a cell knows", "", d.CellSharded(f).Endpoints},
			{"heartbeats of a node", "B/s", d.heartbeatBytesPerSecond()}}
	}
	value := d.Assumed(name)
	halved, now, doubled := results(d.withAssumption(name, value/2)), results(d), results(d.withAssumption(name, 2*value))
	for i := range now {
		if math.Abs(halved[i].value/now[i].value-1) > 0.05 || math.Abs(doubled[i].value/now[i].value-1) > 0.05 {
			all = append(all, now[i].what+" "+format(halved[i].value, now[i].unit)+", "+format(now[i].value, now[i].unit)+", "+format(doubled[i].value, now[i].unit))
		}
	}
	return all
}

func (d *Data) lineTable() string {
	t := newTable("nodes", "backends", "services", "routes", "tenants", "requests a second", "changes a day", "restarts a day")
	for _, n := range Sizes {
		f := d.FleetWithNodes(n)
		t.row(formatCount(f.Nodes), formatCount(f.Backends), formatCount(f.Services), formatCount(f.Routes), formatCount(f.Tenants),
			formatCount(f.RequestsPerSecond), formatCount(f.ChangesPerDay), formatCount(f.RestartsPerDay))
	}
	return t.String()
}

func (d *Data) measuredTable() string {
	t := newTable("series", "what", "by", "median (least to most of all runs), by size", "grows with", "command, file")
	for _, s := range d.Series {
		var values []string
		for i, size := range s.Sizes {
			v := intervalOf(s.Runs[i])
			text := format(v.Median, s.Unit)
			if v.Min != v.Max {
				text += " (" + format(v.Min, s.Unit) + " to " + format(v.Max, s.Unit) + ")"
			}
			if s.By != "" {
				text = formatCount(size) + ": " + text
			}
			values = append(values, text)
		}
		grows := ""
		if len(s.Sizes) > 1 {
			_, exponent := s.Power()
			grows = fmt.Sprintf("size^%.2f", exponent)
		}
		what := s.What
		if s.Note != "" {
			what += " (" + s.Note + ")"
		}
		t.row("`"+s.Name+"`", what, s.By, strings.Join(values, "; "), grows, "`"+s.Command+"`, "+s.File)
	}
	return t.String()
}

func (d *Data) servingTable() string {
	t := newTable("at 5,900 nodes", "services a node", "endpoints known, mean and most", "tenants, mean and most", "connections", "memory, most",
		"bytes of a start, mean and most", "seconds of it at 8 KiB/s", "nodes that the median service's own fault can reach", "chance that another of the region has all of its nodes there")
	f := d.FleetAt(1)
	for _, s := range []Serving{d.AllServices(f), d.CellSharded(f), d.ShuffleSharded(f)} {
		overlap := fmt.Sprintf("%.2g", s.OverlapProbability)
		t.row(s.Name, formatCount(s.Services), formatCount(s.Endpoints)+", "+formatCount(s.MaxEndpoints), formatCount(s.Tenants)+", "+formatCount(s.MaxTenants),
			formatCount(s.Connections), format(s.MemoryBytes, "B"), format(s.SnapshotBytes, "B")+", "+format(s.MaxSnapshotBytes, "B"),
			format(s.SnapshotBytes/d.Limits.ControlBytesPerSecond, "s")+", "+format(s.MaxSnapshotBytes/d.Limits.ControlBytesPerSecond, "s"), formatCount(s.NodesOfService), overlap)
	}
	return t.String()
}

// zoneTable compares 15 zones in all with 15 in each region.
func (d *Data) zoneTable() string {
	t := newTable("", "nodes of a zone", "backends of a zone", "requests of a node with one zone lost, to its steady ones", "relays, two in each zone",
		"machines that are set aside", "nodes of a relay", "bytes of a lost zone's starts, a relay")
	f := d.FleetAt(1)
	start := d.ShuffleSharded(f).SnapshotBytes
	for _, c := range []struct {
		name  string
		zones float64
	}{{"15 zones in all", d.Target.Zones}, {"15 zones in each region", d.Target.Zones * d.Target.Regions}} {
		perRegion := c.zones / d.Target.Regions
		relays := d.Assumed("relays_per_zone") * c.zones
		nodes := f.Nodes / c.zones
		t.row(c.name, formatCount(nodes), formatCount(f.Backends/c.zones), fmt.Sprintf("%.2f", perRegion/(perRegion-1)), formatCount(relays),
			formatCount(d.Limits.ControlMachines), formatCount(f.Nodes/relays), format(nodes/d.Assumed("relays_per_zone")*start, "B"))
	}
	return t.String()
}

// peakTable shows what simultaneous starts and changes cost the control plane at the target.
func (d *Data) peakTable() string {
	t := newTable("peak, at the target", "bytes of a relay", "time at its bytes a second", "what it is made of")
	f := d.FleetAt(1)
	addRow := func(name string, bytes float64, madeOf string) {
		t.row(name, format(bytes, "B"), format(bytes/d.Assumed("relay_bytes_per_second"), "s"), madeOf)
	}
	start, delta := d.ShuffleSharded(f).SnapshotBytes, d.Measured("delta-bytes").Value()
	zoneNodes, zoneBackends := f.Nodes/d.Target.Zones, f.Backends/d.Target.Zones
	addRow("a zone comes back: its nodes", zoneNodes/d.Assumed("relays_per_zone")*start,
		formatCount(zoneNodes)+" nodes, a snapshot of "+format(start, "B")+" each")
	addRow("a zone comes back: its backends, told to the nodes of a relay", f.Nodes/d.relayCount()*d.ShuffleSharded(f).Endpoints/d.Target.Zones*delta,
		formatCount(zoneBackends)+" endpoints; a node hears of those of its services")
	addRow("all relays start with nothing: their nodes", f.Nodes/d.relayCount()*start, "where no node can resume by version")
	all := d.snapshotBytes(f.Services, f.Backends, f.Routes, f.Tenants)
	addRow("the same: a relay's own replica, in", all, formatCount(f.Services+f.Backends+f.Routes+f.Tenants)+" resources")
	release := d.Conditions()[1]
	addRow("ten seconds of a release day", 10*d.transactionsPerSecond(f, release)*d.ShuffleSharded(f).Services/f.Services*delta*f.Nodes/d.relayCount(),
		formatCount(10*d.transactionsPerSecond(f, release))+" transactions in all regions; a node hears of one in "+formatCount(f.Services/d.ShuffleSharded(f).Services))
	return t.String()
}

func (d *Data) roleTable() string {
	t := newTable("role, what", "condition", "300", "1,500", "5,900", "slope: nodes to the power, 1,500 to 5,900", "limit, margin at 5,900", "measured by", "carried by")
	conditions := d.Conditions()
	for _, n := range d.Needs() {
		previous := ""
		for _, c := range conditions {
			var cells []string
			for _, size := range Sizes {
				cells = append(cells, format(n.Value(d.FleetWithNodes(size), c), n.Unit))
			}
			shown := strings.Join(cells, "|")
			if shown == previous || c.Name != conditions[0].Name && shown == "0|0|0" {
				continue // same values as under the first condition
			}
			role, margin, carrier, source := "", "", "", ""
			if c.Name == conditions[0].Name {
				role, carrier, source = n.Role+": "+n.What, n.Carrier, n.Source
			}
			if n.Limit > 0 {
				at := n.Value(d.FleetWithNodes(Sizes[2]), c)
				margin = format(n.Limit, n.Unit) + " (" + n.LimitOf + "), " + formatMargin(n.Limit/at)
			}
			slope := growthExponent(n.Value(d.FleetWithNodes(Sizes[1]), c), n.Value(d.FleetWithNodes(Sizes[2]), c))
			t.row(append(append([]string{role, c.Name}, cells...), slope, margin, source, carrier)...)
			if previous == "" {
				previous = shown
			}
		}
	}
	return t.String()
}

// growthExponent returns the absolute exponent with which a need grows with the nodes, between the two larger sizes.
func growthExponent(smaller, largest float64) string {
	if smaller <= 0 || largest <= 0 {
		return ""
	}
	return fmt.Sprintf("%.2f", math.Abs(math.Log(largest/smaller)/math.Log(Sizes[2]/Sizes[1])))
}

func formatMargin(margin float64) string {
	if margin < 1 {
		return fmt.Sprintf("**passed %s times**", formatCount(1/margin))
	}
	return formatCount(margin) + " times"
}

func (d *Data) breakTable() string {
	t := newTable("", "mechanism", "limit", "passes it at", "value at the target, to the limit", "carried by")
	for i, b := range d.Breaks() {
		at := fmt.Sprintf("%s nodes, %s backends, %s services", formatCount(b.Fleet.Nodes), formatCount(b.Fleet.Backends), formatCount(b.Fleet.Services))
		switch {
		case b.AtStart && b.ExceededAtNodes < 1:
			at = "**before the line begins**: any size"
		case b.AtStart:
			at = "**before the line begins**: " + formatCount(b.ExceededAtNodes) + " nodes"
		case b.NotReached:
			at = "not up to the target"
		}
		t.row(strconv.Itoa(i+1), b.Mechanism, b.Limit, at, formatCount(b.TargetToLimit), b.Carrier)
	}
	return t.String()
}

// format formats a value with its unit, to three significant digits.
func format(v float64, unit string) string {
	switch unit {
	case "s":
		return formatSeconds(v)
	case "B", "B/s":
		return formatBytes(v) + strings.TrimPrefix(unit, "B")
	case "":
		return formatCount(v)
	}
	return formatCount(v) + " " + unit
}

func formatSeconds(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v < 1e-3:
		return formatCount(v*1e6) + " us"
	case v < 1:
		return formatCount(v*1e3) + " ms"
	case v < 600:
		return formatCount(v) + " s"
	case v < 2*3600:
		return formatCount(v/60) + " min"
	}
	return formatCount(v/3600) + " h"
}

func formatBytes(v float64) string {
	switch {
	case v < 1e3:
		return formatCount(v) + " B"
	case v < 1e6:
		return formatCount(v/1e3) + " kB"
	case v < 1e9:
		return formatCount(v/1e6) + " MB"
	}
	return formatCount(v/1e9) + " GB"
}

// formatCount formats three significant digits, with thousands separators.
func formatCount(v float64) string {
	if v == 0 {
		return "0"
	}
	digits := 2 - int(math.Floor(math.Log10(math.Abs(v))))
	if digits > 0 {
		text := strconv.FormatFloat(v, 'f', digits, 64)
		if strings.Contains(text, ".") {
			text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
		}
		return text
	}
	scale := math.Pow(10, float64(-digits))
	text := strconv.FormatFloat(math.Round(v/scale)*scale, 'f', 0, 64)
	for i := len(text) - 3; i > 0; i -= 3 {
		text = text[:i] + "," + text[i:]
	}
	return text
}
