package controlnet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"craneglade/internal/controlnet/walfile"
	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/message"
	"craneglade/internal/controlplane/quorum"
	"craneglade/internal/controlplane/resource"
	"craneglade/internal/peers/frame"
	"craneglade/internal/settings"
	"craneglade/internal/tomlfile"
)

// testMember is a control process that runs in the test's process.
type testMember struct {
	t      *testing.T
	cfg    *settings.ControlProcess
	log    logBuffer
	cancel context.CancelFunc
	done   chan error
}

// newTestMembers returns control processes of one region, not started yet.
func newTestMembers(t *testing.T, size int) (all []*testMember) {
	t.Helper()
	folder := t.TempDir()
	var members []settings.Member
	for i := range size {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		members = append(members, settings.Member{ID: uint64(i + 1), Name: fmt.Sprint("m", i+1), Address: ln.Addr().String()})
	}
	for _, x := range members {
		state := filepath.Join(folder, x.Name)
		if err := os.Mkdir(state, 0o700); err != nil {
			t.Fatal(err)
		}
		all = append(all, &testMember{t: t, cfg: &settings.ControlProcess{Role: settings.RoleWriter, Name: x.Name, Region: "north",
			Regions: []string{"north"}, Listen: x.Address, Socket: state + ".sock", Cluster: "test", Keys: [][]byte{testKey}, StateDir: state, Members: members,
			Limits: settings.ControlLimits{BytesPerSecond: 8 << 20, MaxSnapshots: 4, MaxSubscribers: 10, HeartbeatInterval: tomlfile.Duration(200 * time.Millisecond),
				ParentTimeout: tomlfile.Duration(time.Second), LogBytes: 128 << 10}}})
	}
	return all
}

func (m *testMember) start() {
	m.t.Helper()
	var ctx context.Context
	ctx, m.cancel = context.WithCancel(context.Background())
	m.done = make(chan error, 1)
	done := m.done
	go func() { done <- Serve(ctx, m.cfg, slog.New(slog.NewTextHandler(&m.log, nil))) }()
	m.t.Cleanup(m.stop)
	eventually(m.t, m.cfg.Name+" up", func() bool { _, err := Call(m.cfg.Socket, Request{Operation: OperationStatus}); return err == nil })
}

// stop stops the process and fails the test if it does not end.
func (m *testMember) stop() {
	if m.cancel == nil {
		return
	}
	m.cancel()
	m.cancel = nil
	select {
	case err := <-m.done:
		if err != nil {
			m.t.Errorf("%s: %v", m.cfg.Name, err)
		}
	case <-time.After(testTimeout):
		m.t.Errorf("%s does not stop", m.cfg.Name)
	}
}

func (m *testMember) status() LogStatus {
	m.t.Helper()
	r, err := Call(m.cfg.Socket, Request{Operation: OperationStatus})
	if err != nil {
		m.t.Fatal(err)
	}
	return r.Status.Logs[0]
}

// applyAnywhere applies changes at the member that is the writer. The changes must be idempotent, since they are retried.
func applyAnywhere(t *testing.T, all []*testMember, text string) (position string) {
	t.Helper()
	eventually(t, "a change", func() bool {
		for _, m := range all {
			if r, err := Call(m.cfg.Socket, Request{Operation: OperationApply, File: "c.toml", Text: text}); err == nil {
				position = r.Position
				return true
			}
		}
		return false
	})
	return position
}

const serviceText = "[[service]]\nname = \"a\"\nregion = \"north\"\ndrain_grace = \"2s\"\nmax_attempts = 3\n"

// largeTenant returns a change of one of 50 tenants whose name is long, to fill a log quickly.
func largeTenant(i int) string {
	return fmt.Sprintf("[[tenant]]\nservice = \"a\"\nname = \"%0120d\"\nquota = %d.0\n", i%50, i)
}

// A new member can't catch up from entries that the others have compacted: it has to receive a snapshot.
func TestMemberStartsFromSnapshot(t *testing.T) {
	all := newTestMembers(t, 3)
	for _, m := range all[:2] {
		m.start()
	}
	applyAnywhere(t, all[:2], serviceText)
	const kept = 512 // entries that the others retain for lagging members
	var last string
	for i := range kept + 300 {
		last = applyAnywhere(t, all[:2], largeTenant(i))
	}
	for _, m := range all[:2] {
		eventually(t, m.cfg.Name+"'s log compacted", func() bool {
			info, err := os.Stat(filepath.Join(m.cfg.StateDir, "log"))
			return err == nil && info.Size() < int64(m.cfg.Limits.LogBytes)+64<<10 && m.status().Position == last
		})
	}
	all[2].start()
	eventually(t, "the third member at "+last, func() bool { return all[2].status().Position == last })
	if got, want := all[2].status().Resources, all[0].status().Resources; got != want || want != 51 {
		t.Errorf("%d resources, the first has %d", got, want)
	}
	// All state survives a restart of all members.
	for _, m := range all {
		m.stop()
	}
	for _, m := range all {
		m.start()
	}
	next := applyAnywhere(t, all, largeTenant(0))
	for _, m := range all {
		eventually(t, m.cfg.Name+" at "+next, func() bool { return m.status().Position == next && m.status().Resources == 51 })
	}
}

// A restore by operators: a copy of one member's folder replaces those of the others, each with its own identity file.
func TestRestoreAllMembersFromOneFolder(t *testing.T) {
	all := newTestMembers(t, 3)
	for _, m := range all {
		m.start()
	}
	applyAnywhere(t, all, serviceText)
	position := applyAnywhere(t, all, largeTenant(1))
	eventually(t, "the first member at "+position, func() bool { return all[0].status().Position == position })
	for _, m := range all {
		m.stop()
	}
	for i, m := range all[1:] {
		if err := os.RemoveAll(m.cfg.StateDir); err != nil {
			t.Fatal(err)
		}
		if err := os.CopyFS(m.cfg.StateDir, os.DirFS(all[0].cfg.StateDir)); err != nil {
			t.Fatal(err)
		}
		if err := Serve(context.Background(), m.cfg, slog.New(slog.DiscardHandler)); err == nil || !strings.Contains(err.Error(), "the folder belongs to") {
			t.Errorf("with another member's identity: %v", err)
		}
		identity := fmt.Sprintf("region \"north\", member %d\n", i+2)
		if err := os.WriteFile(filepath.Join(m.cfg.StateDir, "identity"), []byte(identity), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, m := range all {
		m.cfg.EpochOffset = 100
		m.start()
	}
	next := applyAnywhere(t, all, largeTenant(2))
	if !strings.HasPrefix(next, "10") || !strings.HasSuffix(next, ".3") {
		t.Errorf("the restored log is at %s", next)
	}
	for _, m := range all {
		eventually(t, m.cfg.Name+" at "+next, func() bool { return m.status().Position == next && m.status().Resources == 3 })
	}
}

// A crash between the writes of the two files of a state folder leaves a snapshot of the writer and an older log. The member
// has to start with the state of the snapshot.
func TestMemberStartsWithSnapshotNewerThanLog(t *testing.T) {
	served := changelog.NewStore("north", changelog.Limits{})
	if _, err := served.Append(7, []resource.Change{{Resource: resource.Resource{Key: resource.Key{Service: "a", Kind: resource.KindService, Name: "a"},
		Service: &resource.Service{Region: "north", MaxAttempts: 1}}}}); err != nil {
		t.Fatal(err)
	}
	data := message.EncodeSnapshot("north", served.Position(), served.Snapshot(changelog.Filter{All: true}))
	for _, term := range []uint64{2, 3} {
		m := newTestMembers(t, 3)[0]
		storage, _, err := walfile.Open(m.cfg.StateDir, func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		if err := checkIdentity(m.cfg.StateDir, "north", 1, true); err != nil {
			t.Fatal(err)
		}
		if err := storage.Save(quorum.Persist{Hard: &quorum.HardState{Term: term, Vote: 1}, Entries: []quorum.LogEntry{{Index: 1, Term: 1}}}); err != nil {
			t.Fatal(err)
		}
		logPath := filepath.Join(m.cfg.StateDir, "log")
		before, err := os.ReadFile(logPath)
		if err != nil {
			t.Fatal(err)
		}
		if err := storage.Save(quorum.Persist{Hard: &quorum.HardState{Term: 3, Commit: 9}, Snapshot: &quorum.Snapshot{Index: 9, Term: 3, Data: data}}); err != nil {
			t.Fatal(err)
		}
		storage.Close()
		if err := os.WriteFile(logPath, before, 0o600); err != nil {
			t.Fatal(err)
		}
		m.start()
		if got := m.status(); got.Position != "7.1" || got.Resources != 1 {
			t.Errorf("with a log of term %d: %+v", term, got)
		}
	}
}

// A member whose disk fails must leave the quorum and report it, and continue to serve the state that it has.
func TestMemberStopsAfterDiskFailure(t *testing.T) {
	m := newTestMembers(t, 1)[0]
	opened, err := openMember(m.cfg, monotonicClock(), slog.New(slog.NewTextHandler(&m.log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	opened.process = NewProcess(Config{Name: m.cfg.Name, Keys: m.cfg.Keys, Cluster: "test", Clock: monotonicClock(), Log: slog.New(slog.DiscardHandler)})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		opened.run(ctx)
	}()
	defer func() { cancel(); <-done }()
	service := []resource.Change{{Resource: resource.Resource{Key: resource.Key{Service: "a", Kind: resource.KindService, Name: "a"},
		Service: &resource.Service{Region: "north", MaxAttempts: 1}}}}
	if _, err := opened.apply(service); err != nil {
		t.Fatal(err)
	}
	opened.storage.Close() // every write fails from now on
	if _, err := opened.apply(service); !errors.Is(err, errOutcomeUnknown) {
		t.Errorf("a change that can't be stored: %v", err)
	}
	if _, err := opened.apply(service); err == nil || errors.Is(err, errOutcomeUnknown) {
		t.Errorf("a change after it: %v", err)
	}
	var l LogStatus
	opened.addStatus(&l)
	if l.Own || l.Failure == "" || !strings.Contains(m.log.String(), "has stopped taking part in its region's quorum") {
		t.Errorf("%+v\n%s", l, m.log.String())
	}
	if opened.served.Len() != 1 || opened.served.Digest(changelog.Filter{All: true}) == 0 {
		t.Errorf("%d resources are served", opened.served.Len())
	}
}

// A process that claims the role of a member must be a member of the region; its invalid messages are dropped.
func TestNonMembersAreRejected(t *testing.T) {
	m := newTestMembers(t, 3)[0]
	m.start()
	for _, name := range []string{"stranger", "m2"} {
		conn, err := net.Dial("tcp", m.cfg.Listen)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		c, err := frame.Dial(conn, frame.Config{Keys: [][]byte{testKey}, Cluster: "test", Handshake: testTimeout, ReadTimeout: testTimeout, WriteTimeout: testTimeout})
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Write(encodeGreeting(name, roleMember)); err != nil {
			t.Fatal(err)
		}
		if err := writeFragments(c, []byte("no message of any replica")); err != nil {
			t.Fatal(err)
		}
		if name == "m2" {
			eventually(t, "a log line about the message", func() bool { return strings.Contains(m.log.String(), "a member's message was dropped") })
			continue
		}
		var err2 error
		for err2 == nil {
			_, err2 = c.Read()
		}
	}
}

func TestMessageFragments(t *testing.T) {
	near, far := frameConnPair(t)
	var writer sync.WaitGroup
	defer writer.Wait()
	sent := [][]byte{nil, []byte("x"), bytes.Repeat([]byte("y"), fragmentBytes), bytes.Repeat([]byte("z"), 3*fragmentBytes+1)}
	writer.Go(func() {
		for _, data := range sent {
			if err := errors.Join(near.Write(nil), writeFragments(near, data)); err != nil {
				t.Error(err)
			}
		}
		if err := near.Write([]byte{7, 1}); err != nil {
			t.Error(err)
		}
	})
	for i, want := range sent {
		if got, err := readFragments(far); err != nil || !bytes.Equal(got, want) {
			t.Errorf("message %d: %d bytes, %v", i, len(got), err)
		}
	}
	if _, err := readFragments(far); err == nil || !strings.Contains(err.Error(), "unknown fragment type 7") {
		t.Errorf("a fragment of unknown type: %v", err)
	}
}

// frameConnPair returns both ends of a framed connection.
func frameConnPair(t *testing.T) (near, far *frame.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	cfg := frame.Config{Keys: [][]byte{testKey}, Cluster: "test", Handshake: testTimeout, ReadTimeout: testTimeout, WriteTimeout: testTimeout}
	var accepted sync.WaitGroup
	accepted.Go(func() {
		conn, err := ln.Accept()
		if err == nil {
			far, err = frame.Accept(conn, cfg)
		}
		if err != nil {
			t.Error(err)
		}
	})
	conn, err := net.Dial("tcp", ln.Addr().String())
	if err == nil {
		near, err = frame.Dial(conn, cfg)
	}
	accepted.Wait()
	if err != nil || far == nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}
