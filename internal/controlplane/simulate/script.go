package simulate

import (
	"fmt"
	"math/rand/v2"
	"time"

	"craneglade/internal/controlplane/publisher"
	"craneglade/internal/controlplane/resource"
	"craneglade/internal/controlplane/subscriber"
)

// Durations in a script, by the virtual clock.
const (
	faultPeriod = 40 * time.Second // during which faults start
	// MaxHealTime is the time after the end of the last fault by which all replicas must have the writer's state.
	MaxHealTime  = 45 * time.Second
	settlePeriod = 40 * time.Second // until subscribers are back at their preferred parents
	// MaxApplyTime is the time within which a change must be in force at every process that is not itself at fault.
	MaxApplyTime = 7 * time.Second
	quietPeriod  = 10 * time.Second
)

// SmallOptions returns the options of a script: two regions with two control processes, two zones of two relays and two
// nodes.
func SmallOptions(seed uint64) Options {
	limits := subscriber.DefaultLimits()
	limits.Store.Transactions = 20        // so that the history often doesn't reach back far enough
	limits.ReturnAfter = 10 * time.Second // so that settlePeriod can be short
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

// scriptRandomStream separates the random draws of a script from those of its network.
const scriptRandomStream = 77

// Report is the result of a script.
type Report struct {
	Seed       uint64
	Violations []Violation
	Log        []string  // the faults and changes, to explain a violation
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

// script injects random faults and changes.
type script struct {
	network     *Network
	options     *Options
	random      *rand.Rand
	faultsEndAt time.Duration // when the last fault ends
	log         []string
	serial      uint64
}

// RunScript runs one script. Faults and changes are drawn from the seed of the options; then all faults end and all replicas
// must reach the writers' state in time. After that a change must be in force in time while all relays of a zone are
// stalled, and another while one relay is cut off from the control processes.
func RunScript(options Options) Report {
	n := New(options)
	s := &script{network: n, options: n.options, random: rand.New(rand.NewPCG(options.Seed, scriptRandomStream))}
	n.Run(2 * time.Second)
	s.injectFaults()
	n.Run(s.faultsEndAt + MaxHealTime)
	n.CheckAll(CheckConverged)
	n.Run(n.now + settlePeriod)
	s.checkQuiet()
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

// injectFaults starts faults and changes at random times.
func (s *script) injectFaults() {
	n := s.network
	until := n.now + faultPeriod
	s.faultsEndAt = until
	for n.now < until {
		n.Run(n.now + time.Duration(s.random.Int64N(int64(1500*time.Millisecond))))
		s.injectFault()
	}
}

// scheduleEnd ends a fault after a random duration, which it returns.
func (s *script) scheduleEnd(maxDuration time.Duration, end func()) time.Duration {
	duration := time.Duration(s.random.Int64N(int64(maxDuration)))
	at := s.network.now + duration
	s.faultsEndAt = max(s.faultsEndAt, at)
	s.network.At(at, end)
	return duration
}

// injectFault starts one random fault or change.
func (s *script) injectFault() {
	n := s.network
	switch s.random.IntN(14) {
	case 0, 1:
		p := s.randomProcess()
		s.note("stall %s for %s", p.Name, s.scheduleEnd(25*time.Second, p.Stall()))
	case 2, 3:
		p := s.randomProcess()
		p.Kill()
		s.note("kill %s for %s", p.Name, s.scheduleEnd(10*time.Second, p.Start))
	case 4:
		a, b := s.randomProcess(), s.randomProcess()
		heal := n.Cut(func(x, y *Process) bool { return x == a && y == b })
		s.note("cut %s from %s for %s", a.Name, b.Name, s.scheduleEnd(20*time.Second, heal))
	case 5:
		region := s.randomRegion()
		heal := n.Cut(func(a, b *Process) bool { return a.Region == region && b.Region != region })
		s.note("cut region %s off for %s", region, s.scheduleEnd(20*time.Second, heal))
	case 6:
		p := s.randomProcess()
		heal := n.Cut(func(a, b *Process) bool { return a.Zone == p.Zone && b.Zone != p.Zone })
		s.note("cut zone %q off for %s", p.Zone, s.scheduleEnd(15*time.Second, heal))
	case 7:
		former := s.options.Link
		n.SetLink(Link{Latency: former.Latency, Jitter: 200 * time.Millisecond, Loss: 0.05, Duplicate: 0.05, Reorder: 0.05, Truncate: 0.05, Invalid: 0.1, Replay: 0.02})
		s.note("a bad network for %s", s.scheduleEnd(10*time.Second, func() { n.SetLink(former) }))
	case 8:
		s.promote()
	case 9:
		s.restore()
	case 10:
		s.changeFilter()
	default:
		s.appendChange(s.randomRegion())
	}
}

func (s *script) randomProcess() *Process {
	return s.network.processes[s.random.IntN(len(s.network.processes))]
}

func (s *script) randomRegion() string { return regionName(s.random.IntN(s.options.Regions)) }

func (s *script) promote() {
	p := s.randomProcess()
	if p.Role == RoleControl && s.network.Promote(p) {
		s.note("%s writes the log of %s", p.Name, p.Region)
	}
}

// restore restores a log to a position up to five versions back.
func (s *script) restore() {
	region := s.randomRegion()
	position := s.network.logs[region].latest
	position.Version -= min(position.Version, 1+s.random.Uint64N(5))
	if s.network.logs[region].positions[position] != nil {
		s.network.Restore(region, position)
		s.note("restore %s to %s", region, position)
	}
}

func (s *script) changeFilter() {
	p := s.randomProcess()
	if p.Role != RoleNode || p.down || p.stalled {
		return
	}
	f := s.options.RandomFilter()
	s.options.filters[p.Name] = f
	p.Filter(f)
	s.note("%s subscribes to %v", p.Name, f.Services)
}

// appendChange appends a transaction to a region's log that adds, changes and removes endpoints of some services.
func (s *script) appendChange(region string) {
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

// checkQuiet checks that without faults logs change without snapshots or repeated requests.
func (s *script) checkQuiet() {
	n := s.network
	before := n.Counts()
	for r := range s.options.Regions {
		s.appendChange(regionName(r))
	}
	n.Run(n.now + quietPeriod)
	n.CheckAll(CheckConverged)
	after := n.Counts()
	if after.Snapshots != before.Snapshots || after.Resubscribes != before.Resubscribes {
		n.addViolation(CheckQuiet, n.processes[0], "%d snapshots, %d repeated requests", after.Snapshots-before.Snapshots, after.Resubscribes-before.Resubscribes)
	}
}

// probeStall stalls all relays of a zone, so that its nodes have to move to relays of another zone.
func (s *script) probeStall() {
	zone := s.randomRelay().Zone
	var stalled []*Process
	var resumes []func()
	for _, p := range s.network.processes {
		if p.Role == RoleRelay && p.Zone == zone {
			stalled = append(stalled, p)
			resumes = append(resumes, p.Stall())
		}
	}
	s.note("all relays of %s stall", zone)
	s.probe(CheckStall, stalled)
	for _, resume := range resumes {
		resume()
	}
	s.settle()
}

// probeLag cuts a relay off from the control processes. Its children still receive its heartbeats.
func (s *script) probeLag() {
	relay := s.randomRelay()
	heal := s.network.Cut(func(a, b *Process) bool { return a == relay && b.Role == RoleControl })
	s.note("%s is cut off from the control processes", relay.Name)
	s.probe(CheckLag, []*Process{relay})
	heal()
	s.settle()
}

func (s *script) randomRelay() *Process {
	var relays []*Process
	for _, p := range s.network.processes {
		if p.Role == RoleRelay {
			relays = append(relays, p)
		}
	}
	return relays[s.random.IntN(len(relays))]
}

// probe changes all logs a second after a fault. All processes but those at fault must have the changes in force in time.
func (s *script) probe(check Check, atFault []*Process) {
	n := s.network
	n.Run(n.now + time.Second)
	for r := range s.options.Regions {
		s.appendChange(regionName(r))
	}
	n.Run(n.now + MaxApplyTime)
	n.CheckAll(check, atFault...)
}

// settle runs for settlePeriod and checks that all replicas have converged.
func (s *script) settle() {
	s.network.Run(s.network.now + settlePeriod)
	s.network.CheckAll(CheckConverged)
}

// FailedChecks runs scripts with the seeds from 0 and counts for each check how many scripts failed it. It stops at the
// first seed that fails the check stopAt, and runs all seeds if stopAt is "".
func FailedChecks(seeds int, stopAt Check, options func(seed uint64) Options) map[Check]int {
	failed := map[Check]int{}
	for seed := range seeds {
		report := RunScript(options(uint64(seed)))
		failedChecks := map[Check]bool{}
		for _, v := range report.Violations {
			failedChecks[v.Check] = true
		}
		for check := range failedChecks {
			failed[check]++
		}
		if failed[stopAt] > 0 {
			break
		}
	}
	return failed
}
