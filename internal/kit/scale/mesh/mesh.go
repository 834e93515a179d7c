// Package mesh measures what nodes share today: every node's counts go to every other node, within each node's bytes a
// second. It plays the replicas of internal/shared in virtual time.
//
// One replica is played in full. Some others, which know the whole fleet and so keep the pace that its size asks for, are
// the sources of what all nodes tell: their frames are read and written anew under the number of each node that a source
// speaks for. The full replica is handed as many copies of each frame as its source sends. Each node sends every entry on as
// often as its source does, so that this is how many copies each node is sent in the mean.
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

// How a node speaks, as internal/peers sets it up.
const (
	datagram     = 1400                // bytes of the largest datagram
	overhead     = 64                  // bytes of it that are not the replica's
	perSecond    = 15                  // datagrams: three members, five times a second
	stepsASecond = 4                   // calls of Step
	tick         = time.Second         // of virtual time; the pace allows for no longer one
	epoch        = 1000 * time.Hour    // the virtual clock's start
	exchangeIn   = 10 * time.Second    // between two whole exchanges that a node begins
	timedSteps   = 20                  // calls that the time of a Step is the mean of
	quota        = 1000.0              // requests a second of a tenant, over all nodes
	stepped      = 30_000              // counts in the full replica up to which it takes its own steps all the time
	longest      = 60 * 24 * time.Hour // of virtual time that is played at most
	sites        = 15                  // that the nodes are spread over
	frameHead    = 3                   // bytes of a frame before an entry's, for the size of many in one
)

// Part is the name of the part of a run with so many tenants.
func Part(tenants int) string { return fmt.Sprintf("mesh %d tenants", tenants) }

// Measure plays one size.
func Measure(ctx context.Context, step plan.Step, tenants, bytesPS int) (*result.Step, error) {
	m := newMesh(step.Nodes, tenants, bytesPS)
	if err := m.fill(ctx, 1); err != nil {
		return nil, err
	}
	out := &result.Step{Part: Part(tenants), Size: step}
	mechanism := fmt.Sprintf("mesh, %d tenants", tenants)
	if err := m.steady(ctx, out, mechanism); err != nil {
		return nil, err
	}
	out.Add(mechanism, "change", "a count is told to all every", "s", m.interval().Seconds())
	state := len(m.full.State(m.now))
	out.Add(mechanism, "node", "bytes of a whole exchange", "B", float64(state))
	out.Add(mechanism, "node", "bytes out of whole exchanges, at one in 10 s", "B/s", float64(state)/exchangeIn.Seconds())
	m.heap(out, mechanism)
	out.Notes = append(out.Notes, fmt.Sprintf("%s: one replica in full, %d sources speak for all others", mechanism, len(m.sources)))
	return out, nil
}

// mesh is a fleet in virtual time.
type mesh struct {
	nodes   int
	tenants []string
	bytesPS int
	now     time.Duration
	full    *shared.Replica
	sources []*source
	in      traffic // of the full replica
	out     traffic
	spent   time.Duration // of the full replica's processor time, by the wall clock
}

type traffic struct{ bytes, messages int }

// source is a replica that speaks for all nodes whose numbers leave its own rest.
type source struct {
	number  int
	replica *shared.Replica
	told    map[string][]time.Duration // by key: when it was first sent, for each telling
	epochs  map[string]uint64          // of the latest telling
}

func newMesh(nodes, tenants, bytesPS int) *mesh {
	m := &mesh{nodes: nodes, bytesPS: bytesPS, now: epoch}
	quotas := map[string]float64{}
	for i := range tenants {
		name := fmt.Sprintf("tenant-%04d", i)
		m.tenants = append(m.tenants, name)
		quotas[name] = quota
	}
	replica := func(number int) *shared.Replica {
		return shared.New(shared.Config{Name: name(number), Self: escrow.Node{Number: number, Incarnation: 1}, Nodes: nodes, Site: site(number),
			Quotas: quotas, Terms: escrow.DefaultTerms(), Limits: judgement.DefaultLimits(), Features: shared.Features{Quotas: true}, BytesPerSecond: bytesPS, MaxDatagramBytes: datagram}, m.now)
	}
	m.full = replica(0)
	m.join(m.full, 0)
	for number := 1; number <= min(plan.MeshSources, nodes-1); number++ {
		s := &source{number: number, replica: replica(number), told: map[string][]time.Duration{}, epochs: map[string]uint64{}}
		m.join(s.replica, number)
		m.sources = append(m.sources, s)
	}
	return m
}

func name(number int) string { return fmt.Sprintf("n%05d", number) }
func site(number int) string { return fmt.Sprintf("site-%02d", number%sites) }

// join has a replica know all other nodes.
func (m *mesh) join(r *shared.Replica, self int) {
	for number := range m.nodes {
		if number == self {
			continue
		}
		meta := packet.Meta{Node: escrow.Node{Number: number, Incarnation: 1}, Site: site(number)}.Encode()
		if err := r.MemberJoined(m.now, name(number), meta); err != nil {
			panic(err) // it was written by this very program
		}
	}
	r.Notes()
}

// speak lets a second pass at the sources and returns the frames that they send, each as often as it is sent.
func (m *mesh) speak(keep func(s *source, frame []byte)) {
	m.now += tick
	for _, s := range m.sources {
		for _, tenant := range m.tenants {
			s.replica.CountRequest(m.now, tenant)
		}
		s.replica.Step(m.now)
		for range perSecond {
			frames := s.replica.Broadcasts(m.now, overhead, datagram-overhead)
			if len(frames) == 0 {
				break
			}
			for _, frame := range frames {
				s.note(m.now, frame)
				keep(s, frame)
			}
		}
	}
}

// note keeps when each count was told.
func (s *source) note(now time.Duration, frame []byte) {
	entries, _, err := packet.Decode(frame)
	if err != nil {
		panic(err) // it was written by this very program
	}
	for _, e := range entries {
		if e.Kind != packet.Window || s.epochs[e.Key] == e.Window.Epoch+1 {
			continue // a further copy of the same telling
		}
		s.epochs[e.Key] = e.Window.Epoch + 1
		s.told[e.Key] = append(s.told[e.Key], now)
	}
}

// hand gives the full replica a frame from each node that its source speaks for.
func (m *mesh) hand(s *source, frame []byte) {
	entries, _, err := packet.Decode(frame)
	if err != nil {
		panic(err) // it was written by this very program
	}
	for number := s.number; number < m.nodes; number += len(m.sources) {
		for i := range entries {
			entries[i].Node.Number = number
		}
		renamed := packet.Frame(entries...)
		m.in.bytes += len(renamed) - frameHead
		m.in.messages++
		began := time.Now()
		_, err := m.full.Receive(m.now, renamed)
		m.spent += time.Since(began)
		if err != nil {
			panic(err) // it was written by this very program
		}
	}
}

// forward has the full replica send what it has to, for a second, within its bytes.
func (m *mesh) forward() {
	room := m.bytesPS
	began := time.Now()
	for range perSecond {
		frames := m.full.Broadcasts(m.now, overhead, min(datagram, room)-overhead)
		if len(frames) == 0 {
			break
		}
		size := overhead
		for _, frame := range frames {
			size += len(frame)
		}
		m.out.messages++
		m.out.bytes += size
		room -= size
	}
	m.spent += time.Since(began)
}

// fill plays until each source has told each count so often.
func (m *mesh) fill(ctx context.Context, times int) error {
	for !m.toldAll(times) {
		if err := m.check(ctx); err != nil {
			return err
		}
		m.speak(m.hand)
		if m.nodes*len(m.tenants) <= stepped {
			m.full.Step(m.now)
		}
		m.forward()
	}
	return nil
}

// check is an error where the run is to end.
func (m *mesh) check(ctx context.Context) error {
	if err := context.Cause(ctx); err != nil {
		return err
	}
	if m.now-epoch > longest {
		return fmt.Errorf("mesh of %d nodes: not all was told within %v", m.nodes, longest)
	}
	return nil
}

// toldAll tells whether each source has told each count so often.
func (m *mesh) toldAll(times int) bool {
	for _, s := range m.sources {
		if len(s.told) < len(m.tenants) {
			return false
		}
		for _, told := range s.told {
			if len(told) < times {
				return false
			}
		}
	}
	return true
}

// steady measures the full replica while all others tell each count once more. All began at the same moment and tell in
// bursts, so that nothing shorter would do.
func (m *mesh) steady(ctx context.Context, out *result.Step, mechanism string) error {
	m.in, m.out, m.spent = traffic{}, traffic{}, 0
	began := m.now
	if err := m.fill(ctx, 2); err != nil {
		return err
	}
	seconds := (m.now - began).Seconds()
	out.Add(mechanism, "node", "bytes in", "B/s", float64(m.in.bytes)/seconds)
	out.Add(mechanism, "node", "messages in", "1/s", float64(m.in.messages)/seconds)
	out.Add(mechanism, "node", "bytes out", "B/s", float64(m.out.bytes)/seconds)
	out.Add(mechanism, "node", "messages out", "1/s", float64(m.out.messages)/seconds)
	step := m.timeStep()
	out.AddWall(mechanism, "node", "one Step", "ms", float64(step)/float64(time.Millisecond))
	out.AddWall(mechanism, "node", "processor time", "cores", m.spent.Seconds()/seconds+stepsASecond*step.Seconds())
	return nil
}

// timeStep is the mean time of a Step of the full replica.
func (m *mesh) timeStep() time.Duration {
	total := time.Duration(0)
	for range timedSteps {
		m.now += tick / stepsASecond
		began := time.Now()
		m.full.Step(m.now)
		total += time.Since(began)
	}
	return total / timedSteps
}

// interval is the mean time between two tellings of one count.
func (m *mesh) interval() time.Duration {
	total, count := time.Duration(0), 0
	for _, s := range m.sources {
		for _, told := range s.told {
			total += told[len(told)-1] - told[0]
			count += len(told) - 1
		}
	}
	return total / time.Duration(count)
}

// heap measures what the full replica takes, by letting go of it.
func (m *mesh) heap(out *result.Step, mechanism string) {
	with := heap.InUse()
	runtime.KeepAlive(m.full)
	m.full = nil
	out.Add(mechanism, "node", "heap", "MiB", float64(with-heap.InUse())/(1<<20))
}
