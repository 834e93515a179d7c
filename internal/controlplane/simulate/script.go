package simulate

import (
	"fmt"
	"math/rand/v2"
	"time"

	"craneglade/internal/controlplane/publisher"
	"craneglade/internal/controlplane/resource"
	"craneglade/internal/controlplane/subscriber"
)

// The times of a script, by the virtual clock.
const (
	chaosTime = 40 * time.Second // in which faults begin
	// MaxHealTime is the time after the last fault's end in which all replicas have to be at the writer's state.
	MaxHealTime = 45 * time.Second
	settleTime  = 40 * time.Second // until connections are as preferred again
	// MaxApplyTime is the time in which a change has to be in force at every process that isn't itself at fault.
	MaxApplyTime = 7 * time.Second
	quietTime    = 10 * time.Second
)

// SmallOptions are those of a script: two regions with two control processes, two zones of two relays and two nodes.
func SmallOptions(seed uint64) Options {
	limits := subscriber.DefaultLimits()
	limits.Store.Transactions = 20        // so that history often doesn't reach back
	limits.ReturnAfter = 10 * time.Second // so that settleTime can be short
	return Options{
		Seed:            seed,
		Regions:         2,
		Controls:        2,
		Zones:           2,
		Relays:          2,
		Nodes:           2,
		Services:        6,
		ServicesPerNode: 3,
		Endpoints:       4,
		ClockDrift:      1e-3,
		Link:            Link{Latency: time.Millisecond, Jitter: 20 * time.Millisecond},
		Publisher:       publisher.Config{MaxSnapshots: 2, PartBytes: 300, SessionBurstBytes: 4 << 10, SessionBytesPerSecond: 64 << 10},
		Subscriber:      limits,
		Verify:          true,
	}
}

// scriptStream keeps what a script draws apart from what its network draws.
const scriptStream = 77

// Report is how a script went.
type Report struct {
	Seed       uint64
	Violations []Violation
	Log        []string  // the faults, for a reader of a violation
	Traffic    []Traffic // by process
}

// Failed reports whether the script failed a check.
func (r Report) Failed(check Check) bool {
	for _, v := range r.Violations {
		if v.Check == check {
			return true
		}
	}
	return false
}

// script draws faults and changes.
type script struct {
	network *Network
	options *Options
	random  *rand.Rand
	healed  time.Duration // when the last fault is over
	log     []string
	serial  uint64
}

// RunScript plays one script: faults and changes drawn from the seed of the options for a while; then all heals and all
// replicas have to reach the writers' states in time; then a change has to get through in time while all relays of a zone
// are stalled, and again while one relay is cut off from the control processes.
func RunScript(options Options) Report {
	n := New(options)
	s := &script{network: n, options: n.options, random: rand.New(rand.NewPCG(options.Seed, scriptStream))}
	n.Run(2 * time.Second)
	s.chaos()
	n.Run(s.healed + MaxHealTime)
	n.CheckAll(CheckConverged)
	n.Run(n.now + settleTime)
	s.quiet()
	s.probeStall()
	s.probeLag()
	report := Report{Seed: options.Seed, Violations: n.Violations(), Log: s.log}
	for _, p := range n.processes {
		report.Traffic = append(report.Traffic, p.Traffic)
	}
	return report
}

func (s *script) note(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf("%8.3f ", s.network.now.Seconds())+fmt.Sprintf(format, args...))
}

// chaos plays faults and changes, each at a drawn time.
func (s *script) chaos() {
	n := s.network
	until := n.now + chaosTime
	s.healed = until
	for n.now < until {
		n.Run(n.now + time.Duration(s.random.Int64N(int64(1500*time.Millisecond))))
		s.fault()
	}
}

// later plays the end of a fault.
func (s *script) later(longest time.Duration, end func()) time.Duration {
	lasts := time.Duration(s.random.Int64N(int64(longest)))
	at := s.network.now + lasts
	s.healed = max(s.healed, at)
	s.network.At(at, end)
	return lasts
}

// fault plays one fault or change.
func (s *script) fault() {
	n := s.network
	switch s.random.IntN(14) {
	case 0, 1:
		p := s.anyProcess()
		s.note("stall %s for %s", p.Name, s.later(25*time.Second, p.Stall()))
	case 2, 3:
		p := s.anyProcess()
		p.Kill()
		s.note("kill %s for %s", p.Name, s.later(10*time.Second, p.Start))
	case 4:
		a, b := s.anyProcess(), s.anyProcess()
		heal := n.Cut(func(x, y *Process) bool { return x == a && y == b })
		s.note("cut %s from %s for %s", a.Name, b.Name, s.later(20*time.Second, heal))
	case 5:
		region := s.anyRegion()
		heal := n.Cut(func(a, b *Process) bool { return a.Region == region && b.Region != region })
		s.note("cut region %s off for %s", region, s.later(20*time.Second, heal))
	case 6:
		p := s.anyProcess()
		heal := n.Cut(func(a, b *Process) bool { return a.Zone == p.Zone && b.Zone != p.Zone })
		s.note("cut zone %q off for %s", p.Zone, s.later(15*time.Second, heal))
	case 7:
		former := s.options.Link
		n.SetLink(Link{Latency: former.Latency, Jitter: 200 * time.Millisecond, Loss: 0.05, Duplicate: 0.05, Reorder: 0.05, Truncate: 0.05, Invalid: 0.1, Replay: 0.02})
		s.note("a bad network for %s", s.later(10*time.Second, func() { n.SetLink(former) }))
	case 8:
		s.promote()
	case 9:
		s.restore()
	case 10:
		s.refilter()
	default:
		s.change(s.anyRegion())
	}
}

func (s *script) anyProcess() *Process {
	return s.network.processes[s.random.IntN(len(s.network.processes))]
}

func (s *script) anyRegion() string { return regionName(s.random.IntN(s.options.Regions)) }

func (s *script) promote() {
	p := s.anyProcess()
	if p.Role == RoleControl && s.network.Promote(p) {
		s.note("%s writes the log of %s", p.Name, p.Region)
	}
}

// restore takes a log back by up to five versions.
func (s *script) restore() {
	region := s.anyRegion()
	position := s.network.logs[region].latest
	position.Version -= min(position.Version, 1+s.random.Uint64N(5))
	if s.network.logs[region].positions[position] != nil {
		s.network.Restore(region, position)
		s.note("restore %s to %s", region, position)
	}
}

func (s *script) refilter() {
	p := s.anyProcess()
	if p.Role != RoleNode || p.down || p.stalled {
		return
	}
	f := s.options.RandomFilter()
	s.options.filters[p.Name] = f
	p.Filter(f)
	s.note("%s subscribes to %v", p.Name, f.Services)
}

// change appends a transaction to a region's log: endpoints of some services come, change and go.
func (s *script) change(region string) {
	_, store := s.network.Writer(region)
	var changes []resource.Change
	for _, i := range s.random.Perm(s.options.Services)[:1+s.random.IntN(2)] {
		service := ServiceName(region, i)
		for _, e := range s.random.Perm(s.options.Endpoints + 2)[:1+s.random.IntN(2)] {
			s.serial++
			endpoint := NewEndpoint(service, e, s.serial)
			_, exists := store.Get(endpoint.Key)
			if exists && s.random.IntN(3) == 0 {
				changes = append(changes, resource.Change{Resource: resource.Resource{Key: endpoint.Key}, Deleted: true})
			} else {
				changes = append(changes, resource.Change{Resource: endpoint})
			}
		}
	}
	if err := s.network.Append(region, changes); err != nil {
		s.note("append to %s: %v", region, err)
	}
}

// quiet checks that nothing is connected or sent whole where there is no fault, though logs change.
func (s *script) quiet() {
	n := s.network
	before := n.Counts()
	for r := range s.options.Regions {
		s.change(regionName(r))
	}
	n.Run(n.now + quietTime)
	n.CheckAll(CheckConverged)
	after := n.Counts()
	if after.Snapshots != before.Snapshots || after.Resubscribes != before.Resubscribes {
		n.violated(CheckQuiet, n.processes[0], "%d snapshots, %d repeated requests", after.Snapshots-before.Snapshots, after.Resubscribes-before.Resubscribes)
	}
}

// probeStall stalls all relays of a zone, so that its nodes have to go to another zone's.
func (s *script) probeStall() {
	zone := s.anyRelay().Zone
	var stalled []*Process
	var wakes []func()
	for _, p := range s.network.processes {
		if p.Role == RoleRelay && p.Zone == zone {
			stalled = append(stalled, p)
			wakes = append(wakes, p.Stall())
		}
	}
	s.note("all relays of %s stall", zone)
	s.probe(CheckStall, stalled)
	for _, wake := range wakes {
		wake()
	}
	s.settle()
}

// probeLag cuts a relay off from the control processes. Its children still hear of it.
func (s *script) probeLag() {
	relay := s.anyRelay()
	heal := s.network.Cut(func(a, b *Process) bool { return a == relay && b.Role == RoleControl })
	s.note("%s is cut off from the control processes", relay.Name)
	s.probe(CheckLag, []*Process{relay})
	heal()
	s.settle()
}

func (s *script) anyRelay() *Process {
	var relays []*Process
	for _, p := range s.network.processes {
		if p.Role == RoleRelay {
			relays = append(relays, p)
		}
	}
	return relays[s.random.IntN(len(relays))]
}

// probe changes all logs a second after a fault. All but the processes at fault have to have the change in force in time.
func (s *script) probe(check Check, atFault []*Process) {
	n := s.network
	n.Run(n.now + time.Second)
	for r := range s.options.Regions {
		s.change(regionName(r))
	}
	n.Run(n.now + MaxApplyTime)
	n.CheckAll(check, atFault...)
}

// settle waits until all is as it was before a fault.
func (s *script) settle() {
	s.network.Run(s.network.now + settleTime)
	s.network.CheckAll(CheckConverged)
}

// FailedChecks plays scripts with the seeds from 0 and counts by check in how many of them it failed. It stops at the first
// seed that fails the check until; all are played where that is "".
func FailedChecks(seeds int, until Check, options func(seed uint64) Options) map[Check]int {
	failed := map[Check]int{}
	for seed := range seeds {
		report := RunScript(options(uint64(seed)))
		named := map[Check]bool{}
		for _, v := range report.Violations {
			named[v.Check] = true
		}
		for check := range named {
			failed[check]++
		}
		if failed[until] > 0 {
			break
		}
	}
	return failed
}
