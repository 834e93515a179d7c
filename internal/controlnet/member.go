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
	minTick              = 50 * time.Millisecond
	ticksPerHeartbeat    = 10
	proposalTimeoutTicks = 60  // a proposal that no majority has stored by then is abandoned; enough for three elections
	maxReceivedMessages  = 256 // queued from other members; messages beyond are dropped, and the quorum algorithm repeats them
	nonceBytes           = 16
)

var (
	errNoMajority     = errors.New("the region has no writer: no majority of its control processes is connected")
	errOutcomeUnknown = errors.New("it is unknown whether the change was committed: check with get before applying it again")
	errStopped        = errors.New("the process is shutting down")
)

// member is this process as a member of its region's quorum. It votes in elections of the writer of the region's log, stores
// the log's entries, and accepts changes while it is the writer itself. An entry is committed once a majority has stored it.
//
// One goroutine owns the replica of the quorum and does the I/O that the replica asks for.
type member struct {
	cfg     *settings.ControlProcess
	id      uint64
	names   map[uint64]string
	log     *slog.Logger
	clock   func() time.Duration
	process *Process
	served  *changelog.Store // committed changes, which the publisher serves; guarded by the process

	received  chan memberMessage
	proposals chan *proposal
	links     map[uint64]*memberLink
	done      chan struct{}

	// The following fields are used by the goroutine of run only.
	storage  *walfile.File
	replica  *quorum.Replica
	staged   *changelog.Store // the log's state once the pending proposal is committed
	pending  *proposal
	lastTick time.Duration
	tick     time.Duration

	mu    sync.Mutex
	state memberState
}

// memberState is a member's view of the region's writer.
type memberState struct {
	writer      uint64        // 0 if none is known
	epoch       uint64        // including the configured offset
	lastContact time.Duration // with the writer; current while this process is the writer
	failure     error         // why the member has stopped; nil while it runs
}

type memberMessage struct {
	from uint64
	data []byte
}

// proposal is a set of changes that waits to be committed or rejected.
type proposal struct {
	changes  []resource.Change
	deadline time.Duration
	done     chan outcome // capacity 1

	proposed bool
	epoch    uint64 // in which it was proposed
	nonce    []byte // identifies it among the committed entries
}

type outcome struct {
	position resource.Position
	err      error
}

// openMember creates a member from its state folder.
func openMember(cfg *settings.ControlProcess, clock func() time.Duration, log *slog.Logger) (*member, error) {
	m := &member{cfg: cfg, log: log, clock: clock, names: map[uint64]string{}, links: map[uint64]*memberLink{},
		served:   changelog.NewStore(cfg.Region, changelog.Limits{}),
		received: make(chan memberMessage, maxReceivedMessages), proposals: make(chan *proposal), done: make(chan struct{}),
		tick: max(minTick, cfg.Limits.HeartbeatInterval.D()/ticksPerHeartbeat), lastTick: clock()}
	m.state.lastContact = -unknownAge
	var ids []uint64
	for _, peer := range cfg.Members {
		ids = append(ids, peer.ID)
		m.names[peer.ID] = peer.Name
		if peer.Name == cfg.Name {
			m.id = peer.ID
		} else {
			m.links[peer.ID] = newMemberLink(peer)
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

// unknownAge is the age of a log before the first contact with its source, and the maximum age that a member reports.
const unknownAge = 24 * time.Hour

// load creates the replica from the stored state.
func (m *member) load(ids []uint64, state *quorum.State) (err error) {
	empty := state.Hard == quorum.HardState{} && state.Snapshot.Index == 0 && len(state.Entries) == 0
	if err := checkIdentity(m.cfg.StateDir, m.cfg.Region, m.id, empty); err != nil {
		return err
	}
	if err := m.restore(state.Snapshot.Data); err != nil {
		return err
	}
	reconcileHardState(state)
	if m.replica, err = quorum.New(quorum.Config{ID: m.id, Peers: ids, State: *state}); err != nil {
		return err
	}
	m.log.Info("log opened", "member", m.id, "of", len(ids), "term", state.Hard.Term, "entries", len(state.Entries))
	return nil
}

// reconcileHardState raises the commit index and the term of a stored state to those of its snapshot. They are lower if a
// crash came after a snapshot of the writer was stored and before the hard state was: the entries of a snapshot are
// committed, and its term has started. The vote is cleared with the term: the member has stored nothing in the new term, so
// it has not voted in it or sent anything.
func reconcileHardState(state *quorum.State) {
	hard, snapshot := &state.Hard, &state.Snapshot
	hard.Commit = max(hard.Commit, snapshot.Index)
	if hard.Term < snapshot.Term {
		hard.Term, hard.Vote = snapshot.Term, 0
	}
}

// restore replaces the served log by a snapshot of the quorum.
func (m *member) restore(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	region, position, all, skipped, err := message.DecodeSnapshot(data)
	switch {
	case err != nil:
		return err
	case region != m.cfg.Region:
		return fmt.Errorf("the snapshot is of region %q, but this is a member of %q", region, m.cfg.Region)
	case skipped != (message.Skipped{}):
		m.log.Warn("the log was written by a later version; unknown resources and fields are skipped", "resources", skipped.Resources, "fields", skipped.Fields)
	}
	if m.process == nil { // the process is not created yet
		return m.served.Replace(position, all)
	}
	m.process.Do(func() { err = m.served.Replace(position, all) })
	return err
}

// run takes part in the quorum until ctx ends or the member fails.
func (m *member) run(ctx context.Context) {
	var links sync.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	for _, l := range m.links {
		links.Go(func() { l.run(ctx, m.process) })
	}
	m.drive(ctx)
	cancel()
	close(m.done)
	links.Wait()
}

func (m *member) drive(ctx context.Context) {
	ticker := time.NewTicker(m.tick)
	defer ticker.Stop()
	if err := m.electSingle(); err != nil {
		m.fail(err)
		return
	}
	for {
		var proposals chan *proposal // nil while one is pending
		if m.pending == nil {
			proposals = m.proposals
		}
		var sender uint64
		select {
		case <-ctx.Done():
			m.fail(errStopped)
			return
		case <-ticker.C:
			m.advanceTicks()
		case msg := <-m.received:
			sender = msg.from
			if err := m.replica.Receive(msg.data); err != nil {
				m.process.warnings.warn("a member's message was dropped", "from", m.names[msg.from], "err", err)
			}
		case m.pending = <-proposals:
		}
		if err := m.processReady(); err != nil {
			m.fail(err)
			return
		}
		m.updateWriter(sender)
	}
}

// electSingle elects the only member of a region at once, without an election timeout: no other member can compete.
func (m *member) electSingle() error {
	if len(m.links) > 0 {
		return nil
	}
	for range 2 * quorum.DefaultElectionTicks {
		m.replica.Tick()
		if err := m.processReady(); err != nil {
			return err
		}
	}
	m.updateWriter(0)
	return nil
}

// advanceTicks advances the replica's clock by one tick. After a stall longer than an election timeout it catches up on the
// missed ticks at once, up to two election timeouts, so that a replica that was the writer steps down before it sends
// anything in that role.
func (m *member) advanceTicks() {
	now := m.clock()
	ticks := int((now - m.lastTick) / m.tick)
	m.lastTick = now
	if ticks < quorum.DefaultElectionTicks {
		ticks = 1
	}
	for range min(ticks, 2*quorum.DefaultElectionTicks) {
		m.replica.Tick()
	}
}

// processReady does all that the replica asks for and advances the pending proposal.
func (m *member) processReady() error {
	for {
		m.stepProposal()
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
			m.applyEntry(e)
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

// applyEntry applies a committed entry. An invalid entry is invalid at all members, so none of them applies it.
func (m *member) applyEntry(e quorum.Entry) {
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
		m.log.Error("invalid log entry skipped", "index", e.Index, "err", err)
	}
	if p := m.pending; p != nil && p.proposed && bytes.HasPrefix(e.Data, p.nonce) {
		m.complete(outcome{position, err})
	}
}

func decodeProposal(data []byte) ([]resource.Change, error) {
	if len(data) < nonceBytes {
		return nil, fmt.Errorf("entry of %d bytes is too short", len(data))
	}
	changes, _, err := message.DecodeChanges(data[nonceBytes:])
	return changes, err
}

func (m *member) offset(epoch uint64) uint64 { return uint64(m.cfg.EpochOffset) + epoch }

// stepProposal submits the pending proposal once this process is the writer, and fails it if it can't be committed any more
// or its outcome is unknown.
func (m *member) stepProposal() {
	p := m.pending
	if p == nil {
		return
	}
	writer, epoch := m.replica.Writer()
	expired := m.clock() > p.deadline
	switch {
	case p.proposed && (writer != m.id || epoch != p.epoch || expired):
		m.complete(outcome{err: errOutcomeUnknown})
	case p.proposed:
	case writer == m.id:
		if err := m.submit(p, epoch); err != nil && (expired || !errors.Is(err, quorum.ErrBusy)) {
			m.complete(outcome{err: err})
		}
	case writer != 0:
		m.complete(outcome{err: fmt.Errorf("the writer is %q: apply the change there", m.names[writer])})
	case expired:
		m.complete(outcome{err: errNoMajority})
	}
}

// submit proposes the changes to the replica in an epoch.
func (m *member) submit(p *proposal, epoch uint64) error {
	if err := m.validate(p.changes, epoch); err != nil {
		return err
	}
	p.nonce = make([]byte, nonceBytes)
	rand.Read(p.nonce) // never returns an error, see crypto/rand
	if err := m.replica.ProposeInEpoch(epoch, append(slices.Clone(p.nonce), message.EncodeChanges(p.changes)...)); err != nil {
		return err
	}
	p.proposed, p.epoch = true, epoch
	return nil
}

// validate checks changes against the current log, so that no entry is proposed that all members would reject.
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

// complete ends the pending proposal with an outcome.
func (m *member) complete(o outcome) {
	m.pending.done <- o
	m.pending = nil
}

// compact replaces the log's entries by a snapshot once the log has reached its size limit.
func (m *member) compact() error {
	if m.storage.Size() < int64(m.cfg.Limits.LogBytes) {
		return nil
	}
	var position resource.Position
	var all []resource.Resource
	m.process.Do(func() { position, all = m.served.Position(), m.served.Snapshot(changelog.Filter{All: true}) })
	return m.replica.Compact(message.EncodeSnapshot(m.cfg.Region, position, all))
}

// updateWriter records the current writer and, if the writer is this process or the sender of the last message, the time of
// contact. sender is 0 if no message was received.
func (m *member) updateWriter(sender uint64) {
	writer, epoch := m.replica.Writer()
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &m.state
	if writer != s.writer && writer != 0 {
		m.log.Info("writer elected", "writer", m.names[writer], "epoch", m.offset(epoch))
	} else if writer != s.writer {
		m.log.Warn("no writer known for the region's log", "former", m.names[s.writer])
	}
	s.writer, s.epoch = writer, m.offset(epoch)
	if writer == m.id || writer != 0 && sender == writer {
		s.lastContact = m.clock()
	}
}

// fail stops the member permanently. The process continues to serve the state that it has.
func (m *member) fail(err error) {
	if m.pending != nil {
		o := outcome{err: err}
		if m.pending.proposed {
			o.err = errOutcomeUnknown
		}
		m.complete(o)
	}
	m.mu.Lock()
	m.state.writer, m.state.failure = 0, err
	m.mu.Unlock()
	if !errors.Is(err, errStopped) {
		m.log.Error("this process has stopped taking part in its region's quorum; fix the cause and restart it", "err", err)
	}
	if err := m.storage.Close(); err != nil {
		m.log.Error("closing the state folder failed", "err", err)
	}
}

func (m *member) currentState() memberState {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// age returns the time since the last contact with the writer, at most unknownAge.
func (m *member) age(now time.Duration) time.Duration {
	return min(max(0, now-m.currentState().lastContact), unknownAge)
}

// addStatus adds the member's view of its region's log.
func (m *member) addStatus(l *LogStatus) {
	s := m.currentState()
	l.Writer, l.Own, l.Epoch, l.AgeMS = m.names[s.writer], s.writer == m.id, s.epoch, m.age(m.clock()).Milliseconds()
	if s.failure != nil {
		l.Failure = s.failure.Error()
	}
}

// apply commits changes as one transaction, or rejects all of them. An error of package resource names the resource and the
// field.
func (m *member) apply(changes []resource.Change) (resource.Position, error) {
	p := &proposal{changes: changes, deadline: m.clock() + proposalTimeoutTicks*m.tick, done: make(chan outcome, 1)}
	select {
	case m.proposals <- p:
	case <-m.done:
		return resource.Position{}, m.currentState().failure
	}
	o := <-p.done // also completed by fail
	return o.position, o.err
}
