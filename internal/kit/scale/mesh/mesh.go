// Package mesh measures what nodes share over the mesh: every node's counts go to every other node, within a limit of bytes
// per second per node. It simulates the replicas of internal/shared in virtual time.
//
// One replica is simulated in full. A few others, the sources, stand for the rest of the fleet. They know all members and
// so pace their messages for the whole fleet. Each frame of a source is rewritten and delivered to the full replica once
// for each node that the source stands for, as many times as the source sends it. Every node forwards each entry as often
// as the source sends it, so this is the mean number of copies that a node receives.
package mesh

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"craneglade/internal/kit/scale/heap"
	"craneglade/internal/kit/scale/plan"
	"craneglade/internal/kit/scale/result"
	"craneglade/internal/shared"
	"craneglade/internal/shared/escrow"
	"craneglade/internal/shared/judgement"
	"craneglade/internal/shared/packet"
)

// Parameters of a node's messages, as in internal/peers.
const (
	maxDatagramBytes     = 1400
	overheadBytes        = 64               // of a datagram, not available to the replica
	datagramsPerSecond   = 15               // to three members, five times a second
	stepsPerSecond       = 4                // calls of Step
	tick                 = time.Second      // of virtual time; the replica's pacing allows no longer step
	clockStart           = 1000 * time.Hour // of the virtual clock
	exchangeInterval     = 10 * time.Second // between full state exchanges that a node starts
	timedSteps           = 20               // calls over which the time of a Step is averaged
	tenantQuotaPerSecond = 1000.0           // requests of a tenant, over all nodes
	maxSteppedCounts     = 30_000           // up to this many counts, the full replica is stepped on every tick
	maxVirtualTime       = 60 * 24 * time.Hour
	siteCount            = 15 // sites over which the nodes are spread
	frameHeaderBytes     = 3  // of a frame, before its entries; not counted, as real frames hold many entries
)

// PartName returns the name of the part of a run with the given number of tenants.
func PartName(tenants int) string { return fmt.Sprintf("mesh %d tenants", tenants) }

// Measure measures one size.
func Measure(ctx context.Context, step plan.Step, tenants, bytesPerSecond int) (*result.Step, error) {
	m := newMesh(step.Nodes, tenants, bytesPerSecond)
	if err := m.runUntilSent(ctx, 1); err != nil {
		return nil, err
	}
	out := &result.Step{Part: PartName(tenants), Size: step}
	mechanism := fmt.Sprintf("mesh, %d tenants", tenants)
	if err := m.measureSteady(ctx, out, mechanism); err != nil {
		return nil, err
	}
	out.Add(mechanism, "change", "a count is told to all every", "s", m.meanInterval().Seconds())
	stateBytes := len(m.full.State(m.now))
	out.Add(mechanism, "node", "bytes of a whole exchange", "B", float64(stateBytes))
	out.Add(mechanism, "node", "bytes out of whole exchanges, at one in 10 s", "B/s", float64(stateBytes)/exchangeInterval.Seconds())
	m.measureHeap(out, mechanism)
	out.Notes = append(out.Notes, fmt.Sprintf("%s: one replica in full, %d sources speak for all others", mechanism, len(m.sources)))
	return out, nil
}

// mesh is a fleet in virtual time.
type mesh struct {
	nodes          int
	tenants        []string
	bytesPerSecond int
	now            time.Duration
	full           *shared.Replica
	sources        []*source
	received       traffic // by the full replica
	sent           traffic
	cpuTime        time.Duration // of the full replica, by the wall clock
}

type traffic struct{ bytes, messages int }

// source is a replica that stands for every node whose number has the same remainder, modulo the number of sources.
type source struct {
	number     int
	replica    *shared.Replica
	sentAt     map[string][]time.Duration // by key: when each new value was first sent
	lastEpochs map[string]uint64          // by key: 1 + the epoch of the latest value sent
}

func newMesh(nodes, tenants, bytesPerSecond int) *mesh {
	m := &mesh{nodes: nodes, bytesPerSecond: bytesPerSecond, now: clockStart}
	quotas := map[string]float64{}
	for i := range tenants {
		name := fmt.Sprintf("tenant-%04d", i)
		m.tenants = append(m.tenants, name)
		quotas[name] = tenantQuotaPerSecond
	}
	replica := func(number int) *shared.Replica {
		return shared.New(shared.Config{Name: nodeName(number), Self: escrow.Node{Number: number, Incarnation: 1}, Nodes: nodes, Site: siteName(number),
			Quotas: quotas, Terms: escrow.DefaultTerms(), Limits: judgement.DefaultLimits(), Features: shared.Features{Quotas: true}, BytesPerSecond: bytesPerSecond, MaxDatagramBytes: maxDatagramBytes}, m.now)
	}
	m.full = replica(0)
	m.joinMembers(m.full, 0)
	for number := 1; number <= min(plan.MeshSources, nodes-1); number++ {
		s := &source{number: number, replica: replica(number), sentAt: map[string][]time.Duration{}, lastEpochs: map[string]uint64{}}
		m.joinMembers(s.replica, number)
		m.sources = append(m.sources, s)
	}
	return m
}

func nodeName(number int) string { return fmt.Sprintf("n%05d", number) }
func siteName(number int) string { return fmt.Sprintf("site-%02d", number%siteCount) }

// joinMembers adds all other nodes as members of a replica.
func (m *mesh) joinMembers(r *shared.Replica, self int) {
	for number := range m.nodes {
		if number == self {
			continue
		}
		meta := packet.Meta{Node: escrow.Node{Number: number, Incarnation: 1}, Site: siteName(number)}.Encode()
		if err := r.MemberJoined(m.now, nodeName(number), meta); err != nil {
			panic(err) // encoded above
		}
	}
	r.Notes()
}

// stepSources advances the sources by one tick and calls deliver for each frame as often as it is sent.
func (m *mesh) stepSources(deliver func(s *source, frame []byte)) {
	m.now += tick
	for _, s := range m.sources {
		for _, tenant := range m.tenants {
			s.replica.CountRequest(m.now, tenant)
		}
		s.replica.Step(m.now)
		for range datagramsPerSecond {
			frames := s.replica.Broadcasts(m.now, overheadBytes, maxDatagramBytes-overheadBytes)
			if len(frames) == 0 {
				break
			}
			for _, frame := range frames {
				s.recordSent(m.now, frame)
				deliver(s, frame)
			}
		}
	}
}

// recordSent records when each count was first sent.
func (s *source) recordSent(now time.Duration, frame []byte) {
	entries, _, err := packet.Decode(frame)
	if err != nil {
		panic(err) // encoded by the replica
	}
	for _, e := range entries {
		if e.Kind != packet.Window || s.lastEpochs[e.Key] == e.Window.Epoch+1 {
			continue // another copy of the same value
		}
		s.lastEpochs[e.Key] = e.Window.Epoch + 1
		s.sentAt[e.Key] = append(s.sentAt[e.Key], now)
	}
}

// deliver passes a frame to the full replica once for each node that its source stands for.
func (m *mesh) deliver(s *source, frame []byte) {
	entries, _, err := packet.Decode(frame)
	if err != nil {
		panic(err) // encoded by the replica
	}
	for number := s.number; number < m.nodes; number += len(m.sources) {
		for i := range entries {
			entries[i].Node.Number = number
		}
		relabelled := packet.Frame(entries...)
		m.received.bytes += len(relabelled) - frameHeaderBytes
		m.received.messages++
		started := time.Now()
		_, err := m.full.Receive(m.now, relabelled)
		m.cpuTime += time.Since(started)
		if err != nil {
			panic(err) // encoded above
		}
	}
}

// broadcast lets the full replica send its messages of one second, within its limit of bytes.
func (m *mesh) broadcast() {
	budget := m.bytesPerSecond
	started := time.Now()
	for range datagramsPerSecond {
		frames := m.full.Broadcasts(m.now, overheadBytes, min(maxDatagramBytes, budget)-overheadBytes)
		if len(frames) == 0 {
			break
		}
		size := overheadBytes
		for _, frame := range frames {
			size += len(frame)
		}
		m.sent.messages++
		m.sent.bytes += size
		budget -= size
	}
	m.cpuTime += time.Since(started)
}

// runUntilSent runs until each source has sent each count the given number of times.
func (m *mesh) runUntilSent(ctx context.Context, times int) error {
	for !m.allSent(times) {
		if err := m.checkEnd(ctx); err != nil {
			return err
		}
		m.stepSources(m.deliver)
		if m.nodes*len(m.tenants) <= maxSteppedCounts {
			m.full.Step(m.now)
		}
		m.broadcast()
	}
	return nil
}

// checkEnd returns an error if the run has to end.
func (m *mesh) checkEnd(ctx context.Context) error {
	if err := context.Cause(ctx); err != nil {
		return err
	}
	if m.now-clockStart > maxVirtualTime {
		return fmt.Errorf("mesh of %d nodes: not all counts were sent within %v of virtual time", m.nodes, maxVirtualTime)
	}
	return nil
}

// allSent reports whether each source has sent each count the given number of times.
func (m *mesh) allSent(times int) bool {
	for _, s := range m.sources {
		if len(s.sentAt) < len(m.tenants) {
			return false
		}
		for _, sentAt := range s.sentAt {
			if len(sentAt) < times {
				return false
			}
		}
	}
	return true
}

// measureSteady measures the full replica while all others send each count once more. Shorter measurements would not be
// representative, as all started at the same moment and send in bursts.
func (m *mesh) measureSteady(ctx context.Context, out *result.Step, mechanism string) error {
	m.received, m.sent, m.cpuTime = traffic{}, traffic{}, 0
	started := m.now
	if err := m.runUntilSent(ctx, 2); err != nil {
		return err
	}
	seconds := (m.now - started).Seconds()
	out.Add(mechanism, "node", "bytes in", "B/s", float64(m.received.bytes)/seconds)
	out.Add(mechanism, "node", "messages in", "1/s", float64(m.received.messages)/seconds)
	out.Add(mechanism, "node", "bytes out", "B/s", float64(m.sent.bytes)/seconds)
	out.Add(mechanism, "node", "messages out", "1/s", float64(m.sent.messages)/seconds)
	step := m.stepTime()
	out.AddWallClock(mechanism, "node", "one Step", "ms", float64(step)/float64(time.Millisecond))
	out.AddWallClock(mechanism, "node", "processor time", "cores", m.cpuTime.Seconds()/seconds+stepsPerSecond*step.Seconds())
	return nil
}

// stepTime returns the mean duration of a Step of the full replica.
func (m *mesh) stepTime() time.Duration {
	total := time.Duration(0)
	for range timedSteps {
		m.now += tick / stepsPerSecond
		started := time.Now()
		m.full.Step(m.now)
		total += time.Since(started)
	}
	return total / timedSteps
}

// meanInterval returns the mean time between two values of one count.
func (m *mesh) meanInterval() time.Duration {
	total, count := time.Duration(0), 0
	for _, s := range m.sources {
		for _, sentAt := range s.sentAt {
			total += sentAt[len(sentAt)-1] - sentAt[0]
			count += len(sentAt) - 1
		}
	}
	return total / time.Duration(count)
}

// measureHeap measures the heap of the full replica by releasing it.
func (m *mesh) measureHeap(out *result.Step, mechanism string) {
	before := heap.InUse()
	runtime.KeepAlive(m.full)
	m.full = nil
	out.Add(mechanism, "node", "heap", "MiB", float64(before-heap.InUse())/(1<<20))
}
