package simulate

import (
	"testing"
	"time"

	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/publisher"
	"craneglade/internal/controlplane/resource"
)

const region0, region1 = "region-0", "region-1"

// zoneOptions are one zone of 390 nodes below three relays, as when a zone comes back.
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

// until goes on until all processes have the latest states, and returns how long that took.
func until(t *testing.T, n *Network, limit time.Duration) time.Duration {
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

func endpoint(t *testing.T, n *Network, region string, i int, generation uint64) {
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

// TestZoneThatStarts: 390 nodes start in one second with nothing. All are served within a minute, and no relay sends more
// than its budget.
func TestZoneThatStarts(t *testing.T) {
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
	took := until(t, n, time.Minute)
	expectNone(t, n)
	for _, p := range relays {
		sent := p.Traffic.BytesOut - before[p]
		t.Logf("%s sent %d bytes in %s", p.Name, sent, n.now-start)
		if limit := (256 << 10) + int((n.now-start).Seconds()*(1<<20)) + (64 << 10); sent > limit {
			t.Errorf("%s sent %d bytes, at most %d", p.Name, sent, limit)
		}
	}
	t.Logf("all served %s after the last had started", took)
}

// TestColdRelays: all relays restart at once with nothing. Nodes serve on, need no snapshots, and have a change of meanwhile
// within HealWithin.
func TestColdRelays(t *testing.T) {
	n := started(zoneOptions())
	snapshots := n.Counts().Snapshots
	for _, p := range ofRole(n, RoleRelay) {
		p.Kill()
		n.At(n.now+2*time.Second, p.Start)
	}
	n.Run(n.now + time.Second)
	endpoint(t, n, region0, 1, 99)
	n.Run(n.now + time.Second)
	took := until(t, n, MaxHealTime)
	expectNone(t, n)
	after := n.Counts().Snapshots
	t.Logf("%s after the relays had started; %d snapshots", took, after-snapshots)
	if nodes, relays := len(ofRole(n, RoleNode)), len(ofRole(n, RoleRelay)); after > snapshots+uint64(nodes/2+relays) {
		t.Errorf("%d snapshots for %d nodes, of which at most half needed one", after-snapshots, nodes)
	}
}

// TestRestartedRelayIsNotStormed: a relay that comes back has its children again after a while, not all at once.
func TestRestartedRelayIsNotStormed(t *testing.T) {
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
	usual := streams()
	relay.Kill()
	n.Run(n.now + 5*time.Second)
	relay.Start()
	last, most := 0, 0
	for range 240 {
		n.Run(n.now + 500*time.Millisecond)
		most = max(most, streams()-last)
		last = streams()
	}
	t.Logf("%d streams before, %d two minutes after the restart, at most %d new ones in half a second", usual, last, most)
	if last < usual*9/10 || most > usual/4 {
		t.Errorf("%d streams of %d came back, at most %d in half a second", last, usual, most)
	}
	expectNone(t, n)
}

// TestRegionCutForFiveMinutes: both sides go on with their own logs, only the home region can change a service, ages grow,
// and after the heal all have the home region's state.
func TestRegionCutForFiveMinutes(t *testing.T) {
	n := started(SmallOptions(5))
	heal := n.Cut(func(a, b *Process) bool { return a.Region == region0 && b.Region == region1 })
	const cut = 5 * time.Minute
	for i := range 100 {
		n.Run(n.now + cut/100)
		endpoint(t, n, region0, i%6, uint64(i)) // both sides change endpoints of region 0's service:
		stolen := NewService(region0, ServiceName(region0, 0))
		if err := n.Append(region1, []resource.Change{{Resource: stolen}}); err == nil {
			t.Fatal("the log of another region changed a service")
		}
		endpoint(t, n, region1, i%6, uint64(i))
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
	took := until(t, n, MaxHealTime)
	t.Logf("healed in %s", took)
	expectNone(t, n)
}

// TestZoneInTwoHalves: half of a zone's relays and nodes are cut off from the other half and from the control processes.
// The nodes of the other half follow, those cut off serve on, and after the heal all have one state.
func TestZoneInTwoHalves(t *testing.T) {
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
	endpoint(t, n, region0, 1, 50)
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
	t.Logf("healed in %s", until(t, n, MaxHealTime))
	expectNone(t, n)
}

// TestRelaysCutOffFromControl: all relays of a zone hear nothing of the control processes, and go on talking. Their nodes
// find another zone's by the ages that they tell.
func TestRelaysCutOffFromControl(t *testing.T) {
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
	endpoint(t, n, region0, 1, 50)
	n.Run(n.now + MaxHealTime)
	n.CheckAll(CheckLag, cutOff...)
	expectNone(t, n)
}

// TestParentsStalledForTwentySeconds: both parents of some nodes. They go to others, and never back to the old state.
func TestParentsStalledForTwentySeconds(t *testing.T) {
	n := started(SmallOptions(9))
	var stalled []*Process
	var wakes []func()
	for _, p := range ofRole(n, RoleRelay) {
		if p.Zone == "zone-1-0" {
			stalled = append(stalled, p)
			wakes = append(wakes, p.Stall())
		}
	}
	endpoint(t, n, region0, 1, 50)
	n.Run(n.now + MaxApplyTime)
	n.CheckAll(CheckStall, stalled...)
	n.Run(n.now + 20*time.Second - MaxApplyTime)
	for _, wake := range wakes {
		wake()
	}
	t.Logf("healed in %s", until(t, n, MaxHealTime))
	expectNone(t, n)
}

// TestCostOfANodeIsFlat: bytes a second of a node don't grow with the number of nodes.
func TestCostOfANodeIsFlat(t *testing.T) {
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
			endpoint(t, n, region0, i%20, uint64(i))
			n.Run(n.now + time.Second)
		}
		after := 0
		for _, p := range ofRole(n, RoleNode) {
			after += p.Traffic.BytesIn + p.Traffic.BytesOut
		}
		return float64(after-before) / float64(nodes) / (n.now - start).Seconds()
	}
	few, many := perNode(30), perNode(600)
	t.Logf("bytes a second of a node: %.0f of 30 nodes, %.0f of 600", few, many)
	if many > few*1.2 || many > 8<<10 {
		t.Errorf("bytes a second of a node: %.0f of 30 nodes, %.0f of 600", few, many)
	}
}

// TestTrafficIsCounted at both ends.
func TestTrafficIsCounted(t *testing.T) {
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
		t.Error("a node can't be looked at")
	}
}

// BenchmarkNetwork is a virtual second of 390 nodes.
func BenchmarkNetwork(b *testing.B) {
	o := zoneOptions()
	o.Verify = false
	n := started(o)
	b.ReportAllocs()
	for b.Loop() {
		n.Run(n.now + time.Second)
	}
}
