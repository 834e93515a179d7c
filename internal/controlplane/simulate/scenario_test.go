package simulate

import (
	"testing"
	"time"

	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/publisher"
	"craneglade/internal/controlplane/resource"
)

const region0, region1 = "region-0", "region-1"

// zoneOptions returns one zone of 390 nodes below three relays.
func zoneOptions() Options {
	o := SmallOptions(11)
	o.Regions, o.Zones, o.Relays, o.Nodes = 1, 1, 3, 390
	o.Services, o.ServicesPerNode, o.Endpoints = 60, 20, 20
	o.Publisher = publisher.Config{MaxSnapshots: 8, PartBytes: 4 << 10, BytesPerSecond: 1 << 20, BurstBytes: 256 << 10, SessionBytesPerSecond: 64 << 10, SessionBurstBytes: 16 << 10}
	return o
}

func started(o Options) *Network {
	n := New(o)
	n.Run(time.Minute)
	return n
}

func expectNone(t *testing.T, n *Network) {
	t.Helper()
	for _, v := range n.Violations()[:min(5, len(n.Violations()))] {
		t.Error(v)
	}
}

// runUntilConverged runs until all processes have the latest states, and returns how long that took.
func runUntilConverged(t *testing.T, n *Network, limit time.Duration) time.Duration {
	t.Helper()
	start := n.now
	for n.now < start+limit {
		before := len(n.checks.violations)
		n.CheckAll(CheckConverged)
		if len(n.checks.violations) == before {
			return n.now - start
		}
		n.checks.violations = n.checks.violations[:before]
		n.Run(n.now + 100*time.Millisecond)
	}
	n.CheckAll(CheckConverged)
	return n.now - start
}

func appendEndpoint(t *testing.T, n *Network, region string, i int, generation uint64) {
	t.Helper()
	if err := n.Append(region, []resource.Change{{Resource: NewEndpoint(ServiceName(region, 0), i, generation)}}); err != nil {
		t.Fatal(err)
	}
}

func ofRole(n *Network, role Role) (found []*Process) {
	for _, p := range n.processes {
		if p.Role == role {
			found = append(found, p)
		}
	}
	return found
}

// TestZoneColdStart: 390 nodes start within one second without state. All have the latest state within a minute, and no
// relay sends more than its budget.
func TestZoneColdStart(t *testing.T) {
	n := started(zoneOptions())
	relays, nodes := ofRole(n, RoleRelay), ofRole(n, RoleNode)
	for i, p := range nodes {
		p.Kill()
		n.At(n.now+10*time.Second+time.Duration(i)*time.Second/time.Duration(len(nodes)), p.Start)
	}
	n.Run(n.now + 10*time.Second)
	start, before := n.now, map[*Process]int{}
	for _, p := range relays {
		before[p] = p.Traffic.BytesOut
	}
	n.Run(n.now + time.Second)
	took := runUntilConverged(t, n, time.Minute)
	expectNone(t, n)
	for _, p := range relays {
		sent := p.Traffic.BytesOut - before[p]
		t.Logf("%s sent %d bytes in %s", p.Name, sent, n.now-start)
		if limit := (256 << 10) + int((n.now-start).Seconds()*(1<<20)) + (64 << 10); sent > limit {
			t.Errorf("%s sent %d bytes, at most %d", p.Name, sent, limit)
		}
	}
	t.Logf("all nodes converged %s after the last had started", took)
}

// TestRelaysRestartTogether: all relays restart at the same time without state. The nodes keep their state, most need no
// snapshot, and a change made meanwhile reaches them within MaxHealTime.
func TestRelaysRestartTogether(t *testing.T) {
	n := started(zoneOptions())
	snapshots := n.Counts().Snapshots
	for _, p := range ofRole(n, RoleRelay) {
		p.Kill()
		n.At(n.now+2*time.Second, p.Start)
	}
	n.Run(n.now + time.Second)
	appendEndpoint(t, n, region0, 1, 99)
	n.Run(n.now + time.Second)
	took := runUntilConverged(t, n, MaxHealTime)
	expectNone(t, n)
	after := n.Counts().Snapshots
	t.Logf("%s after the relays had started; %d snapshots", took, after-snapshots)
	if nodes, relays := len(ofRole(n, RoleNode)), len(ofRole(n, RoleRelay)); after > snapshots+uint64(nodes/2+relays) {
		t.Errorf("%d snapshots for %d nodes, of which at most half needed one", after-snapshots, nodes)
	}
}

// TestRestartedRelayRegainsStreamsGradually: the children of a restarted relay must come back, but not all at once.
func TestRestartedRelayRegainsStreamsGradually(t *testing.T) {
	n := started(zoneOptions())
	n.Run(n.now + time.Minute)
	relay := ofRole(n, RoleRelay)[0]
	streams := func() (count int) {
		for _, s := range relay.publisher.Subscribers() {
			if !s.Standby {
				count++
			}
		}
		return count
	}
	normal := streams()
	relay.Kill()
	n.Run(n.now + 5*time.Second)
	relay.Start()
	last, maxNew := 0, 0
	for range 240 {
		n.Run(n.now + 500*time.Millisecond)
		maxNew = max(maxNew, streams()-last)
		last = streams()
	}
	t.Logf("%d streams before, %d two minutes after the restart, at most %d new ones in half a second", normal, last, maxNew)
	if last < normal*9/10 || maxNew > normal/4 {
		t.Errorf("%d streams of %d came back, at most %d in half a second", last, normal, maxNew)
	}
	expectNone(t, n)
}

// TestRegionPartition: two regions are cut off from each other for five minutes. Both continue with their own logs, only the
// home region can change a service, ages grow, and after the heal all have the home region's state.
func TestRegionPartition(t *testing.T) {
	n := started(SmallOptions(5))
	heal := n.Cut(func(a, b *Process) bool { return a.Region == region0 && b.Region == region1 })
	const cut = 5 * time.Minute
	for i := range 100 {
		n.Run(n.now + cut/100)
		appendEndpoint(t, n, region0, i%6, uint64(i)) // both sides change endpoints of region 0's service:
		foreign := NewService(region0, ServiceName(region0, 0))
		if err := n.Append(region1, []resource.Change{{Resource: foreign}}); err == nil {
			t.Fatal("the log of another region changed a service")
		}
		appendEndpoint(t, n, region1, i%6, uint64(i))
	}
	for _, p := range ofRole(n, RoleNode) {
		own, other := region0, region1
		if p.Region == region1 {
			own, other = region1, region0
		}
		s := p.Subscriber(own)
		if age := s.Age(own, p.clock()); age > MaxApplyTime {
			t.Errorf("%s: the age of its own region's log is %s", p.Name, age)
		}
		if age := s.Age(other, p.clock()); age < cut-10*time.Second || age > cut+10*time.Second {
			t.Errorf("%s: the age of the other region's log is %s", p.Name, age)
		}
	}
	heal()
	took := runUntilConverged(t, n, MaxHealTime)
	t.Logf("healed in %s", took)
	expectNone(t, n)
}

// TestZonePartition: half of a zone's relays and nodes are cut off from the other half and from the control processes. The
// other half receives changes, the nodes cut off keep their state, and all converge after the heal.
func TestZonePartition(t *testing.T) {
	o := SmallOptions(6)
	o.Nodes = 6
	n := started(o)
	half := map[*Process]bool{}
	for _, p := range n.processes {
		if p.Zone == "zone-0-0" && (p.Role == RoleRelay || p.Role == RoleNode) && p.Name[len(p.Name)-1]%2 == 0 {
			half[p] = true
		}
	}
	heal := n.Cut(func(a, b *Process) bool { return half[a] != half[b] })
	appendEndpoint(t, n, region0, 1, 50)
	n.Run(n.now + MaxApplyTime)
	var cutOff []*Process
	for p := range half {
		cutOff = append(cutOff, p)
		if p.Role == RoleNode && p.Subscriber(region0).Store(region0).Len() == 0 {
			t.Errorf("%s lost its state", p.Name)
		}
	}
	n.CheckAll(CheckStall, cutOff...)
	n.Run(n.now + time.Minute)
	heal()
	t.Logf("healed in %s", runUntilConverged(t, n, MaxHealTime))
	expectNone(t, n)
}

// TestRelaysIsolatedFromControl: all relays of a zone are cut off from the control processes but still send heartbeats.
// Their nodes move to relays of another zone because of the reported ages.
func TestRelaysIsolatedFromControl(t *testing.T) {
	n := started(SmallOptions(8))
	cut := map[*Process]bool{}
	var cutOff []*Process
	for _, p := range ofRole(n, RoleRelay) {
		if p.Zone == "zone-0-0" {
			cut[p] = true
			cutOff = append(cutOff, p)
		}
	}
	n.Cut(func(a, b *Process) bool { return cut[a] && b.Role == RoleControl })
	appendEndpoint(t, n, region0, 1, 50)
	n.Run(n.now + MaxHealTime)
	n.CheckAll(CheckLag, cutOff...)
	expectNone(t, n)
}

// TestStalledParents: both parents of some nodes stall for 20 s. The nodes move to other parents, and never go back to the
// old state.
func TestStalledParents(t *testing.T) {
	n := started(SmallOptions(9))
	var stalled []*Process
	var resumes []func()
	for _, p := range ofRole(n, RoleRelay) {
		if p.Zone == "zone-1-0" {
			stalled = append(stalled, p)
			resumes = append(resumes, p.Stall())
		}
	}
	appendEndpoint(t, n, region0, 1, 50)
	n.Run(n.now + MaxApplyTime)
	n.CheckAll(CheckStall, stalled...)
	n.Run(n.now + 20*time.Second - MaxApplyTime)
	for _, resume := range resumes {
		resume()
	}
	t.Logf("healed in %s", runUntilConverged(t, n, MaxHealTime))
	expectNone(t, n)
}

// TestNodeTrafficIndependentOfFleetSize: the bytes per second of a node must not grow with the number of nodes.
func TestNodeTrafficIndependentOfFleetSize(t *testing.T) {
	perNode := func(nodes int) float64 {
		o := zoneOptions()
		o.Nodes, o.Verify = nodes, false
		o.Size = func(m message.Message) int { return len(message.Encode(m)) }
		n := started(o)
		before, start := 0, n.now
		for _, p := range ofRole(n, RoleNode) {
			before += p.Traffic.BytesIn + p.Traffic.BytesOut
		}
		for i := range 60 {
			appendEndpoint(t, n, region0, i%20, uint64(i))
			n.Run(n.now + time.Second)
		}
		after := 0
		for _, p := range ofRole(n, RoleNode) {
			after += p.Traffic.BytesIn + p.Traffic.BytesOut
		}
		return float64(after-before) / float64(nodes) / (n.now - start).Seconds()
	}
	few, many := perNode(30), perNode(600)
	t.Logf("bytes per second of a node: %.0f with 30 nodes, %.0f with 600", few, many)
	if many > few*1.2 || many > 8<<10 {
		t.Errorf("bytes per second of a node: %.0f with 30 nodes, %.0f with 600", few, many)
	}
}

// TestTrafficCounters: traffic is counted by sender and receiver.
func TestTrafficCounters(t *testing.T) {
	n := started(SmallOptions(1))
	var in, out int
	for _, p := range n.Processes() {
		in += p.Traffic.BytesIn
		out += p.Traffic.BytesOut
	}
	if in == 0 || out < in || out > in+in/100 {
		t.Errorf("%d bytes in, %d out", in, out)
	}
	node := ofRole(n, RoleNode)[0]
	if n.Process(node.Name) != node || node.Subscriber(region0).Store(region0).Len() == 0 || node.Publisher() != nil || !node.Up() {
		t.Error("the accessors of a node return wrong values")
	}
}

// BenchmarkNetwork measures a virtual second of 390 nodes.
func BenchmarkNetwork(b *testing.B) {
	o := zoneOptions()
	o.Verify = false
	n := started(o)
	b.ReportAllocs()
	for b.Loop() {
		n.Run(n.now + time.Second)
	}
}
