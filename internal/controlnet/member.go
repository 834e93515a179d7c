package controlnet

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"craneglade/internal/controlnet/walfile"
	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/quorum"
	"craneglade/internal/controlplane/resource"
	"craneglade/internal/settings"
)

const (
	minTick          = 50 * time.Millisecond
	ticksPerBeat     = 10
	proposalTicks    = 60  // after which a change that no majority has kept is given up; three elections take no longer
	receivedMessages = 256 // of other members that wait; what comes beyond is dropped, and sent again
	nonceSize        = 16
)

var (
	errNoMajority = errors.New("there is no writer now: no majority of the region's control processes is connected")
	errUnknown    = errors.New("whether the change was taken is not known: look for it with get before applying it again")
	errEnded      = errors.New("the process ends")
)

// member is this process among the control processes of its region. It votes for the writer of the region's log, keeps the
// log's entries, and takes changes while it is the writer itself. What the log holds is what a majority has kept.
//
// One goroutine owns the replica of the quorum, and does the I/O that it asks for.
type member struct {
	cfg     *settings.ControlProcess
	id      uint64
	names   map[uint64]string
	log     *slog.Logger
	clock   func() time.Duration
	process *Process
	served  *changelog.Store // what the publisher serves; guarded by the process

	received  chan memberMessage
	proposals chan *proposal
	links     map[uint64]*memberLink
	ended     chan struct{}

	// These belong to run.
	storage  *walfile.File
	replica  *quorum.Replica
	staged   *changelog.Store // what the log will hold once the pending proposal is taken
	pending  *proposal
	tickedAt time.Duration
	tick     time.Duration

	mu       sync.Mutex
	standing standing
}

// standing is what a member knows of the region's writer.
type standing struct {
	writer  uint64 // 0 for none
	epoch   uint64 // with the offset
	freshAt time.Duration
	failure error // the member does nothing any more
}

type memberMessage struct {
	from uint64
	data []byte
}

// proposal is changes that wait to be taken or refused.
type proposal struct {
	changes  []resource.Change
	deadline time.Duration
	done     chan outcome // holds one

	proposed bool
	epoch    uint64 // in which it was proposed, and by which it is known among the committed entries
	nonce    []byte
}

type outcome struct {
	position resource.Position
	err      error
}

// openMember takes what the member has kept in its state folder.
func openMember(cfg *settings.ControlProcess, clock func() time.Duration, log *slog.Logger) (*member, error) {
	m := &member{cfg: cfg, log: log, clock: clock, names: map[uint64]string{}, links: map[uint64]*memberLink{},
		served:   changelog.NewStore(cfg.Region, changelog.Limits{}),
		received: make(chan memberMessage, receivedMessages), proposals: make(chan *proposal), ended: make(chan struct{}),
		tick: max(minTick, cfg.Limits.Heartbeat.D()/ticksPerBeat), tickedAt: clock()}
	m.standing.freshAt = -unknownAge
	var ids []uint64
	for _, x := range cfg.Members {
		ids = append(ids, x.ID)
		m.names[x.ID] = x.Name
		if x.Name == cfg.Name {
			m.id = x.ID
		} else {
			m.links[x.ID] = newMemberLink(x)
		}
	}
	storage, state, err := walfile.Open(cfg.StateDir, func(line string) { log.Warn(line) })
	if err != nil {
		return nil, err
	}
	m.storage = storage
	if err := m.load(ids, &state); err != nil {
		return nil, errors.Join(err, storage.Close())
	}
	return m, nil
}

// unknownAge is the age of a log of which nothing was heard yet.
const unknownAge = 24 * time.Hour

// load makes the replica go on from what the storage holds.
func (m *member) load(ids []uint64, state *quorum.State) (err error) {
	empty := state.Hard == quorum.HardState{} && state.Snapshot.Index == 0 && len(state.Entries) == 0
	if err := identify(m.cfg.StateDir, m.cfg.Region, m.id, empty); err != nil {
		return err
	}
	if err := m.restore(state.Snapshot.Data); err != nil {
		return err
	}
	catchUp(state)
	if m.replica, err = quorum.New(quorum.Config{ID: m.id, Peers: ids, State: *state}); err != nil {
		return err
	}
	m.log.Info("the log is open", "member", m.id, "of", len(ids), "term", state.Hard.Term, "entries", len(state.Entries))
	return nil
}

// catchUp makes a stored state one that a replica can go on from where a crash has left a snapshot of the writer with the hard
// state of before: what a snapshot stands for is committed, and its term has come. In a term of which nothing was kept
// nothing was voted or told either.
func catchUp(state *quorum.State) {
	hard, snapshot := &state.Hard, &state.Snapshot
	hard.Commit = max(hard.Commit, snapshot.Index)
	if hard.Term < snapshot.Term {
		hard.Term, hard.Vote = snapshot.Term, 0
	}
}

// restore makes the served log what a snapshot of the quorum holds.
func (m *member) restore(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	region, position, all, skipped, err := message.DecodeSnapshot(data)
	switch {
	case err != nil:
		return err
	case region != m.cfg.Region:
		return fmt.Errorf("the snapshot is of region %q, and this is a member of %q", region, m.cfg.Region)
	case skipped != (message.Skipped{}):
		m.log.Warn("a later version has written the log: what this one doesn't know is left out", "resources", skipped.Resources, "fields", skipped.Fields)
	}
	if m.process == nil { // before it starts
		return m.served.Replace(position, all)
	}
	m.process.Do(func() { err = m.served.Replace(position, all) })
	return err
}

// run takes part in the quorum until ctx ends.
func (m *member) run(ctx context.Context) {
	var links sync.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	for _, l := range m.links {
		links.Go(func() { l.run(ctx, m.process) })
	}
	m.drive(ctx)
	cancel()
	close(m.ended)
	links.Wait()
}

func (m *member) drive(ctx context.Context) {
	ticker := time.NewTicker(m.tick)
	defer ticker.Stop()
	if err := m.elect(); err != nil {
		m.fail(err)
		return
	}
	for {
		var proposals chan *proposal // one at a time
		if m.pending == nil {
			proposals = m.proposals
		}
		var heard uint64
		select {
		case <-ctx.Done():
			m.fail(errEnded)
			return
		case <-ticker.C:
			m.pass()
		case received := <-m.received:
			heard = received.from
			if err := m.replica.Receive(received.data); err != nil {
				m.process.warnings.warn("a member's message was dropped", "from", m.names[received.from], "err", err)
			}
		case m.pending = <-proposals:
		}
		if err := m.work(); err != nil {
			m.fail(err)
			return
		}
		m.note(heard)
	}
}

// elect makes the only member of a region its writer at once: nobody else could be.
func (m *member) elect() error {
	if len(m.links) > 0 {
		return nil
	}
	for range 2 * quorum.DefaultElectionTicks {
		m.replica.Tick()
		if err := m.work(); err != nil {
			return err
		}
	}
	m.note(0)
	return nil
}

// pass lets time pass. A process that was stalled for longer than an election takes has lost its office, and is told so at
// once, before it speaks as the writer that it was.
func (m *member) pass() {
	now := m.clock()
	ticks := int((now - m.tickedAt) / m.tick)
	m.tickedAt = now
	if ticks < quorum.DefaultElectionTicks {
		ticks = 1
	}
	for range min(ticks, 2*quorum.DefaultElectionTicks) {
		m.replica.Tick()
	}
}

// work does all that the replica asks for, and proposes what is pending.
func (m *member) work() error {
	for {
		m.propose()
		ready, ok := m.replica.Ready()
		if !ok {
			return m.replica.Failure()
		}
		if err := m.storage.Save(ready.Persist); err != nil {
			return err
		}
		for _, o := range ready.Send {
			if l := m.links[o.To]; l != nil {
				l.send(o.Data)
			}
		}
		if ready.Restore != nil {
			if err := m.restore(ready.Restore.Data); err != nil {
				return err
			}
		}
		for _, e := range ready.Committed {
			m.take(e)
		}
		for _, f := range ready.Fenced {
			m.log.Warn(f.String())
		}
		m.replica.Advance()
		if err := m.compact(); err != nil {
			return err
		}
	}
}

// take applies a committed entry. What is wrong with it is wrong at all members alike: then none of them takes it.
func (m *member) take(e quorum.Entry) {
	var position resource.Position
	changes, err := decodeProposal(e.Data)
	if err == nil {
		m.process.Do(func() {
			var t resource.Transaction
			t, err = m.served.Append(m.offset(e.Epoch), changes)
			position = t.Position
		})
	}
	if err != nil {
		m.log.Error("an entry of the log is refused", "index", e.Index, "err", err)
	}
	if p := m.pending; p != nil && p.proposed && bytes.HasPrefix(e.Data, p.nonce) {
		m.answer(outcome{position, err})
	}
}

func decodeProposal(data []byte) ([]resource.Change, error) {
	if len(data) < nonceSize {
		return nil, fmt.Errorf("%d bytes are too few", len(data))
	}
	changes, _, err := message.DecodeChanges(data[nonceSize:])
	return changes, err
}

func (m *member) offset(epoch uint64) uint64 { return uint64(m.cfg.EpochOffset) + epoch }

// propose proposes what is pending once this process is the writer, and gives up what can't be taken any more.
func (m *member) propose() {
	p := m.pending
	if p == nil {
		return
	}
	writer, epoch := m.replica.Writer()
	late := m.clock() > p.deadline
	switch {
	case p.proposed && (writer != m.id || epoch != p.epoch || late):
		m.answer(outcome{err: errUnknown})
	case p.proposed:
	case writer == m.id:
		if err := m.proposeAs(p, epoch); err != nil && (late || !errors.Is(err, quorum.ErrBusy)) {
			m.answer(outcome{err: err})
		}
	case writer != 0:
		m.answer(outcome{err: fmt.Errorf("the writer is %q: ask that process", m.names[writer])})
	case late:
		m.answer(outcome{err: errNoMajority})
	}
}

func (m *member) proposeAs(p *proposal, epoch uint64) error {
	if err := m.validate(p.changes, epoch); err != nil {
		return err
	}
	p.nonce = make([]byte, nonceSize)
	rand.Read(p.nonce) // never fails: see crypto/rand
	if err := m.replica.ProposeInEpoch(epoch, append(slices.Clone(p.nonce), message.EncodeChanges(p.changes)...)); err != nil {
		return err
	}
	p.proposed, p.epoch = true, epoch
	return nil
}

// validate checks changes against the log as it is, so that none is proposed which all members would refuse.
func (m *member) validate(changes []resource.Change, epoch uint64) error {
	var position resource.Position
	m.process.Do(func() { position = m.served.Position() })
	if m.staged == nil || m.staged.Position() != position {
		var all []resource.Resource
		m.process.Do(func() { all = m.served.Snapshot(changelog.Filter{All: true}) })
		m.staged = changelog.NewStore(m.cfg.Region, changelog.Limits{Transactions: 1})
		if !position.IsZero() {
			if err := m.staged.Replace(position, all); err != nil {
				return err
			}
		}
	}
	_, err := m.staged.Append(m.offset(epoch), changes)
	return err
}

func (m *member) answer(o outcome) {
	m.pending.done <- o
	m.pending = nil
}

// compact makes a snapshot of the log where much is behind the last one.
func (m *member) compact() error {
	if m.storage.Size() < int64(m.cfg.Limits.LogBytes) {
		return nil
	}
	var position resource.Position
	var all []resource.Resource
	m.process.Do(func() { position, all = m.served.Position(), m.served.Snapshot(changelog.Filter{All: true}) })
	return m.replica.Compact(message.EncodeSnapshot(m.cfg.Region, position, all))
}

// note notes who the writer is, and whether the log was heard of from it: heard is the member that has spoken.
func (m *member) note(heard uint64) {
	writer, epoch := m.replica.Writer()
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.standing
	if writer != s.writer && writer != 0 {
		m.log.Info("the region's log has a writer", "writer", m.names[writer], "epoch", m.offset(epoch))
	} else if writer != s.writer {
		m.log.Warn("the region's log has no writer that is known here", "former", m.names[s.writer])
	}
	s.writer, s.epoch = writer, m.offset(epoch)
	if writer == m.id || writer != 0 && heard == writer {
		s.freshAt = m.clock()
	}
}

// fail ends the member for good. The process goes on serving what it has.
func (m *member) fail(err error) {
	if m.pending != nil {
		o := outcome{err: err}
		if m.pending.proposed {
			o.err = errUnknown
		}
		m.answer(o)
	}
	m.mu.Lock()
	m.standing.writer, m.standing.failure = 0, err
	m.mu.Unlock()
	if !errors.Is(err, errEnded) {
		m.log.Error("this process takes no part in its region's log any more; mend the cause and start it anew", "err", err)
	}
	if err := m.storage.Close(); err != nil {
		m.log.Error("the state folder did not close", "err", err)
	}
}

func (m *member) now() standing {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.standing
}

// age is how long ago the writer was known to stand where the log stands here.
func (m *member) age(now time.Duration) time.Duration {
	return min(max(0, now-m.now().freshAt), unknownAge)
}

// report adds what the member knows of its region's log.
func (m *member) report(l *LogStatus) {
	s := m.now()
	l.Writer, l.Own, l.Epoch, l.AgeMS = m.names[s.writer], s.writer == m.id, s.epoch, m.age(m.clock()).Milliseconds()
	if s.failure != nil {
		l.Failure = s.failure.Error()
	}
}

// apply takes changes as one transaction, or refuses them whole: an error of package resource names the resource and field.
func (m *member) apply(changes []resource.Change) (resource.Position, error) {
	p := &proposal{changes: changes, deadline: m.clock() + proposalTicks*m.tick, done: make(chan outcome, 1)}
	select {
	case m.proposals <- p:
	case <-m.ended:
		return resource.Position{}, m.now().failure
	}
	o := <-p.done // fail answers it, too
	return o.position, o.err
}
