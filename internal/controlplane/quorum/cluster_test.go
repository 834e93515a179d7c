package quorum

import (
	"bytes"
	cryptorand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// seededReader replaces crypto/rand.Reader, from which the raft library draws its election timeouts, to make them
// reproducible by seed.
type seededReader struct{ random *rand.Rand }

func (s seededReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(s.random.Uint32())
	}
	return len(b), nil
}

// profile sets the severity of a script's faults; profiles alternate by seed.
type profile struct {
	electionTicks int // few ticks cause elections with several candidates, as a message takes up to 3 ticks
	crashOneIn    int // a process crashes with probability 1/crashOneIn at each point where it may crash
}

var profiles = []profile{{10, 600}, {10, 80}, {4, 60}, {4, 1000}}

// maxTicksWithoutMajority returns how many ticks of its own clock a writer may remain the writer after it lost the majority:
// every electionTicks it checks which replicas it has heard from since the last check.
func (p profile) maxTicksWithoutMajority() int { return 2*p.electionTicks + 1 }

// faults are planted faults: each breaks one mechanism, and the invariant checks of a cluster must detect it.
type faults struct {
	noFencing       bool // entries of deposed writers are applied
	noBarrier       bool // a leader becomes the writer before it has applied the entries of earlier epochs
	noCheckQuorum   bool // a partitioned writer remains the writer
	loseVotes       bool // the storage loses the term and the vote
	loseEntries     bool // the storage loses its last entries in a crash, although they were confirmed
	keepConflicts   bool // replaced entries remain in the storage
	ignoreSnapshots bool // received snapshots are not applied
}

// process is a control process: a replica, its storage, and the entries that it has applied.
type process struct {
	id          uint64
	replica     *Replica
	stored      State
	applied     []Entry
	ticks       int            // of the process's own clock
	lastReached map[uint64]int // by replica, the last tick at which the two could reach each other
}

const networkCapacity = 150 // max messages in flight; further ones are lost

// packet is a message in flight.
type packet struct {
	due      int
	from, to uint64
	data     []byte
}

// cluster simulates control processes and their network in virtual time.
type cluster struct {
	profile
	random        *rand.Rand
	faults        faults
	peers         []uint64
	processes     []*process
	network       []packet
	now           int
	lossRate      float64
	partition     map[uint64]int // network partition: processes reach those of the same group
	committed     map[uint64]Entry
	indexes       []uint64          // of committed, sorted
	writers       map[uint64]uint64 // by epoch
	proposals     [][]byte          // encoded, of all writers so far
	proposalCount int
	snapshots     int
	fenced        uint64 // fenced entries, added at each restart of a process and at the end
	restarts      int
}

func newCluster(size int, seed uint64, planted faults) *cluster {
	c := &cluster{
		profile:   profiles[seed%uint64(len(profiles))],
		random:    rand.New(rand.NewPCG(seed, uint64(size))),
		faults:    planted,
		partition: map[uint64]int{},
		committed: map[uint64]Entry{},
		writers:   map[uint64]uint64{},
	}
	cryptorand.Reader = seededReader{rand.New(rand.NewPCG(seed, 99))}
	for id := range uint64(size) {
		c.peers = append(c.peers, id+1)
		c.processes = append(c.processes, &process{id: id + 1, lastReached: map[uint64]int{}})
	}
	return c
}

// start creates a process's replica from its storage.
func (c *cluster) start(p *process) error {
	state := State{Hard: p.stored.Hard, Snapshot: p.stored.Snapshot, Entries: slices.Clone(p.stored.Entries)}
	replica, err := newReplica(Config{ID: p.id, Peers: c.peers, State: state, ElectionTicks: c.electionTicks, SnapshotRetryTicks: 30}, func(settings *raft.Config) {
		settings.CheckQuorum = !c.faults.noCheckQuorum
	})
	if err != nil {
		return err
	}
	if c.faults.noFencing {
		replica.stale = func(uint64, uint64) bool { return false }
	}
	if c.faults.noBarrier {
		replica.caughtUp = func(uint64, uint64) bool { return true }
	}
	p.replica = replica
	p.applied = decodeHistory(p.stored.Snapshot.Data)
	return nil
}

// restart crashes a process and starts it again.
func (c *cluster) restart(p *process) error {
	c.restarts++
	c.fenced += p.replica.FencedEntries()
	if c.faults.loseVotes {
		p.stored.Hard = HardState{Term: lastTerm(&p.stored), Commit: p.stored.Hard.Commit}
	}
	if c.faults.loseEntries {
		p.stored.Entries = p.stored.Entries[:max(0, len(p.stored.Entries)-3)]
		p.stored.Hard.Commit = min(p.stored.Hard.Commit, p.stored.lastIndex())
	}
	return c.start(p)
}

func lastTerm(s *State) uint64 {
	term, _ := s.term(s.lastIndex())
	return term
}

// persist stores the Persist of a Ready.
func (c *cluster) persist(p *process, update Persist) error {
	if c.faults.keepConflicts && len(update.Entries) > 0 && update.Entries[0].Index <= p.stored.lastIndex() {
		kept := slices.Clone(p.stored.Entries)
		if err := p.stored.Apply(update); err != nil {
			return err
		}
		copy(p.stored.Entries, kept[:min(len(kept), len(p.stored.Entries))])
		return nil
	}
	return p.stored.Apply(update)
}

// processReady does all work that Ready returns. The process may crash before and after each step.
func (c *cluster) processReady(p *process, mayCrash bool) error {
	for {
		ready, ok := p.replica.Ready()
		if !ok {
			return p.replica.Failure()
		}
		if mayCrash && c.random.IntN(c.crashOneIn) == 0 {
			return c.restart(p) // before anything was persisted
		}
		voting := castsVote(p.stored.Hard, ready.Persist.Hard)
		if err := c.persist(p, ready.Persist); err != nil {
			return err
		}
		if mayCrash && c.random.IntN(c.crashOneIn) == 0 {
			return c.restart(p) // persisted, but nothing sent
		}
		for _, m := range ready.Send {
			c.send(p.id, m)
		}
		if mayCrash && (c.random.IntN(c.crashOneIn) == 0 || voting && c.random.IntN(3) == 0) {
			return c.restart(p) // sent, but nothing applied
		}
		if ready.Restore != nil && !c.faults.ignoreSnapshots {
			p.applied = decodeHistory(ready.Restore.Data)
			c.snapshots++
		}
		for _, e := range ready.Committed {
			if err := c.apply(p, e); err != nil {
				return err
			}
		}
		p.replica.Advance()
	}
}

// castsVote reports whether a replica casts a vote. A crash is more likely then, to detect lost votes.
func castsVote(before HardState, after *HardState) bool {
	return after != nil && after.Vote != 0 && (after.Vote != before.Vote || after.Term != before.Term)
}

// send puts a message on the network, which loses, duplicates, delays and reorders messages.
func (c *cluster) send(from uint64, m Outgoing) {
	for range 1 + c.random.IntN(20)/19 {
		if c.random.Float64() >= c.lossRate && c.partition[from] == c.partition[m.To] && len(c.network) < networkCapacity {
			c.network = append(c.network, packet{c.now + 1 + c.random.IntN(3), from, m.To, m.Data})
		}
	}
}

// apply applies a committed entry and checks it against all entries that any process has applied.
func (c *cluster) apply(p *process, e Entry) error {
	if known, ok := c.committed[e.Index]; ok && (known.Epoch != e.Epoch || !bytes.Equal(known.Data, e.Data)) {
		return fmt.Errorf("replica %d: entry %d is %q of epoch %d, but another replica has %q of epoch %d", p.id, e.Index, e.Data, e.Epoch, known.Data, known.Epoch)
	}
	if len(p.applied) > 0 {
		last := p.applied[len(p.applied)-1]
		if e.Index <= last.Index || e.Epoch < last.Epoch {
			return fmt.Errorf("replica %d: entry %d of epoch %d after entry %d of epoch %d", p.id, e.Index, e.Epoch, last.Index, last.Epoch)
		}
	}
	if writer, ok := c.writers[e.Epoch]; !ok || !bytes.HasPrefix(e.Data, fmt.Appendf(nil, "by %d in %d:", writer, e.Epoch)) {
		return fmt.Errorf("replica %d: entry %d, %q, is not from the writer of epoch %d", p.id, e.Index, e.Data, e.Epoch)
	}
	if at, known := slices.BinarySearch(c.indexes, e.Index); !known {
		c.indexes = slices.Insert(c.indexes, at, e.Index)
		c.committed[e.Index] = Entry{e.Index, e.Epoch, bytes.Clone(e.Data)}
	}
	p.applied = append(p.applied, c.committed[e.Index])
	return nil
}

// checkInvariants checks all processes between two ticks.
func (c *cluster) checkInvariants() error {
	for _, p := range c.processes {
		if err := c.checkGaps(p); err != nil {
			return err
		}
		id, epoch := p.replica.Writer()
		if id != p.id {
			continue
		}
		if other, ok := c.writers[epoch]; ok && other != id {
			return fmt.Errorf("epoch %d has two writers, %d and %d", epoch, other, id)
		}
		if _, known := c.writers[epoch]; !known {
			if err := c.checkCaughtUp(p, epoch); err != nil {
				return err
			}
		}
		c.writers[epoch] = id
		if ticksWithoutMajority := p.ticks - c.lastMajorityTick(p); ticksWithoutMajority > c.maxTicksWithoutMajority() {
			return fmt.Errorf("replica %d is still the writer of epoch %d, %d ticks after it lost the majority", id, epoch, ticksWithoutMajority)
		}
	}
	return nil
}

// checkGaps checks that a process has applied all entries committed up to its last one.
func (c *cluster) checkGaps(p *process) error {
	if len(p.applied) == 0 {
		return nil
	}
	last := p.applied[len(p.applied)-1].Index
	count, _ := slices.BinarySearch(c.indexes, last+1)
	if count != len(p.applied) {
		return fmt.Errorf("replica %d applied %d entries up to %d, but %d were committed", p.id, len(p.applied), last, count)
	}
	return nil
}

// checkCaughtUp checks that a new writer has applied all entries committed by earlier ones.
func (c *cluster) checkCaughtUp(p *process, epoch uint64) error {
	for index, e := range c.committed {
		if e.Epoch < epoch && !slices.ContainsFunc(p.applied, func(a Entry) bool { return a.Index == index }) {
			return fmt.Errorf("replica %d is the writer of epoch %d without entry %d of epoch %d", p.id, epoch, index, e.Epoch)
		}
	}
	return nil
}

// step simulates one tick of all processes.
func (c *cluster) step(mayCrash bool) error {
	c.now++
	for _, p := range c.processes {
		c.recordReachability(p)
		if c.random.IntN(10) > 0 { // clocks drift
			p.ticks++
			p.replica.Tick()
		}
		if err := c.processReady(p, mayCrash); err != nil {
			return err
		}
	}
	if err := c.deliver(mayCrash); err != nil {
		return err
	}
	return c.checkInvariants()
}

// recordReachability records which replicas a process can reach now.
func (c *cluster) recordReachability(p *process) {
	for _, id := range c.peers {
		if c.partition[id] == c.partition[p.id] {
			p.lastReached[id] = p.ticks
		}
	}
}

// lastMajorityTick returns the latest tick since which a process could reach a majority, at once or one after the other.
func (c *cluster) lastMajorityTick(p *process) int {
	ticks := make([]int, 0, len(c.peers))
	for _, id := range c.peers {
		ticks = append(ticks, p.lastReached[id])
	}
	slices.Sort(ticks)
	return ticks[len(ticks)-1-len(ticks)/2]
}

func (c *cluster) deliver(mayCrash bool) error {
	c.random.Shuffle(len(c.network), func(i, j int) { c.network[i], c.network[j] = c.network[j], c.network[i] })
	due := slices.Clone(c.network)
	c.network = slices.DeleteFunc(c.network, func(p packet) bool { return p.due <= c.now })
	for _, sent := range due {
		if sent.due > c.now || c.partition[sent.from] != c.partition[sent.to] {
			continue
		}
		p := c.processes[sent.to-1]
		if err := p.replica.Receive(sent.data); err != nil && !errors.Is(err, ErrMessage) {
			return err
		}
		if err := c.processReady(p, mayCrash); err != nil {
			return err
		}
	}
	return nil
}

// propose lets each process that is the writer propose at random.
func (c *cluster) propose() error {
	for _, p := range c.processes {
		writer, epoch := p.replica.Writer()
		if writer != p.id || c.random.IntN(3) > 0 {
			continue
		}
		if writer, known := c.writers[epoch]; known && writer != p.id {
			return fmt.Errorf("epoch %d has two writers, %d and %d", epoch, writer, p.id)
		}
		c.proposalCount++
		data := fmt.Appendf(nil, "by %d in %d: %d", p.id, epoch, c.proposalCount)
		if err := p.replica.Propose(data); err != nil && !errors.Is(err, ErrBusy) {
			return fmt.Errorf("replica %d, the writer: %w", p.id, err)
		}
		c.proposals = append(c.proposals, encodeProposal(epoch, data))
		if err := c.processReady(p, false); err != nil {
			return err
		}
	}
	return nil
}

// replayOldProposal resends a proposal of an earlier writer, as a process would after a long stall.
func (c *cluster) replayOldProposal() {
	if len(c.proposals) == 0 {
		return
	}
	data := c.proposals[c.random.IntN(len(c.proposals))]
	if epoch, _ := decodeProposal(data); epoch >= c.newestEpoch() {
		return
	}
	from := c.peers[c.random.IntN(len(c.peers))]
	for _, to := range c.peers {
		if to == from {
			continue
		}
		m := &pb.Message{Type: pb.MsgProp.Enum(), From: &from, To: &to, Entries: []*pb.Entry{{Data: data}}}
		encoded, err := proto.Marshal(m)
		if err != nil {
			panic(err)
		}
		c.send(from, Outgoing{To: to, Data: encoded})
	}
}

func (c *cluster) newestEpoch() uint64 {
	newest := uint64(0)
	for epoch := range c.writers {
		newest = max(newest, epoch)
	}
	return newest
}

// injectFault at random partitions or heals the network, changes its loss, restarts or compacts a process, or replays a
// proposal of a deposed writer.
func (c *cluster) injectFault() error {
	switch choice := c.random.IntN(120); {
	case choice < 1:
		clear(c.partition)
		c.partition[c.writers[c.newestEpoch()]] = 1
	case choice < 3:
		for _, id := range c.peers {
			c.partition[id] = c.random.IntN(2)
		}
	case choice < 5:
		clear(c.partition)
	case choice < 7:
		c.lossRate = []float64{0, 0.05, 0.3}[c.random.IntN(3)]
	case choice < 10:
		return c.restart(c.processes[c.random.IntN(len(c.processes))])
	case choice < 20:
		p := c.processes[c.random.IntN(len(c.processes))]
		return p.replica.Compact(encodeHistory(p.applied))
	case choice < 32:
		c.replayOldProposal()
	}
	return nil
}

// run simulates a number of ticks with faults, then heals the cluster and checks that it makes progress and lost nothing.
func (c *cluster) run(ticks int) error {
	for _, p := range c.processes {
		if err := c.start(p); err != nil {
			return err
		}
	}
	for range ticks {
		if err := c.injectFault(); err != nil {
			return err
		}
		if err := c.step(true); err != nil {
			return err
		}
		if err := c.propose(); err != nil {
			return err
		}
	}
	return c.heal()
}

func (c *cluster) heal() error {
	clear(c.partition)
	c.lossRate = 0
	before := len(c.committed)
	for range 300 {
		if err := c.step(false); err != nil {
			return err
		}
		if err := c.propose(); err != nil {
			return err
		}
	}
	for range 20 {
		if err := c.step(false); err != nil {
			return err
		}
	}
	if len(c.committed) == before {
		return errors.New("nothing was committed after the cluster was healed")
	}
	for _, p := range c.processes {
		if len(p.applied) != len(c.committed) {
			return fmt.Errorf("replica %d applied %d of %d entries after the cluster was healed", p.id, len(p.applied), len(c.committed))
		}
		c.fenced += p.replica.FencedEntries()
	}
	return nil
}

// encodeHistory encodes the applied entries as the data of a snapshot.
func encodeHistory(entries []Entry) []byte {
	var b []byte
	for _, e := range entries {
		b = binary.AppendUvarint(b, e.Index)
		b = binary.AppendUvarint(b, e.Epoch)
		b = binary.AppendUvarint(b, uint64(len(e.Data)))
		b = append(b, e.Data...)
	}
	return b
}

func decodeHistory(b []byte) []Entry {
	var entries []Entry
	next := func() uint64 {
		value, size := binary.Uvarint(b)
		b = b[size:]
		return value
	}
	for len(b) > 0 {
		e := Entry{Index: next(), Epoch: next()}
		size := next()
		e.Data, b = b[:size], b[size:]
		entries = append(entries, e)
	}
	return entries
}
