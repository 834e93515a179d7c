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

// memberUnderTest is a control process in this process.
type memberUnderTest struct {
	t      *testing.T
	cfg    *settings.ControlProcess
	log    logText
	cancel context.CancelFunc
	ended  chan error
}

// quorumUnderTest is a number of control processes of one region.
func quorumUnderTest(t *testing.T, size int) (all []*memberUnderTest) {
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
		all = append(all, &memberUnderTest{t: t, cfg: &settings.ControlProcess{Role: settings.RoleWriter, Name: x.Name, Region: "north",
			Regions: []string{"north"}, Listen: x.Address, Socket: state + ".sock", Cluster: "test", Keys: [][]byte{testKey}, State: state, Members: members,
			Limits: settings.ControlLimits{Bytes: 8 << 20, Snapshots: 4, Subscribers: 10, Heartbeat: tomlfile.Duration(200 * time.Millisecond),
				Silence: tomlfile.Duration(time.Second), Log: 128 << 10}}})
	}
	return all
}

func (m *memberUnderTest) start() {
	m.t.Helper()
	var ctx context.Context
	ctx, m.cancel = context.WithCancel(context.Background())
	m.ended = make(chan error, 1)
	ended := m.ended
	go func() { ended <- Serve(ctx, m.cfg, slog.New(slog.NewTextHandler(&m.log, nil))) }()
	m.t.Cleanup(m.stop)
	eventually(m.t, m.cfg.Name+" up", func() bool { _, err := Call(m.cfg.Socket, Request{Operation: OperationStatus}); return err == nil })
}

// stop ends the process, and wants all of it to end.
func (m *memberUnderTest) stop() {
	if m.cancel == nil {
		return
	}
	m.cancel()
	m.cancel = nil
	select {
	case err := <-m.ended:
		if err != nil {
			m.t.Errorf("%s: %v", m.cfg.Name, err)
		}
	case <-time.After(patience):
		m.t.Errorf("%s does not end", m.cfg.Name)
	}
}

func (m *memberUnderTest) status() LogStatus {
	m.t.Helper()
	r, err := Call(m.cfg.Socket, Request{Operation: OperationStatus})
	if err != nil {
		m.t.Fatal(err)
	}
	return r.Status.Logs[0]
}

// applyAnywhere applies changes at whichever member is the writer. Only changes that do no harm twice are applied so.
func applyAnywhere(t *testing.T, all []*memberUnderTest, text string) (position string) {
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

// largeTenant is a change that fills a log soon.
func largeTenant(i int) string {
	return fmt.Sprintf("[[tenant]]\nservice = \"a\"\nname = \"%0120d\"\nquota = %d.0\n", i%50, i)
}

// A member that starts with nothing, when the others' logs no longer reach back, is given a snapshot.
func TestAMemberStartsFromASnapshot(t *testing.T) {
	all := quorumUnderTest(t, 3)
	for _, m := range all[:2] {
		m.start()
	}
	applyAnywhere(t, all[:2], serviceText)
	const kept = 512 // entries that the others keep for members a little behind
	var last string
	for i := range kept + 300 {
		last = applyAnywhere(t, all[:2], largeTenant(i))
	}
	for _, m := range all[:2] {
		eventually(t, m.cfg.Name+"'s log compacted", func() bool {
			info, err := os.Stat(filepath.Join(m.cfg.State, "log"))
			return err == nil && info.Size() < int64(m.cfg.Limits.Log)+64<<10 && m.status().Position == last
		})
	}
	all[2].start()
	eventually(t, "the third member at "+last, func() bool { return all[2].status().Position == last })
	if got, want := all[2].status().Resources, all[0].status().Resources; got != want || want != 51 {
		t.Errorf("%d resources, the first has %d", got, want)
	}
	// All of it is there after all have ended.
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

// The operators' way of a restore: the folder of one member in place of all, with each one's own identity.
func TestAllMembersRestoredFromOneFolder(t *testing.T) {
	all := quorumUnderTest(t, 3)
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
		if err := os.RemoveAll(m.cfg.State); err != nil {
			t.Fatal(err)
		}
		if err := os.CopyFS(m.cfg.State, os.DirFS(all[0].cfg.State)); err != nil {
			t.Fatal(err)
		}
		if err := Serve(context.Background(), m.cfg, slog.New(slog.DiscardHandler)); err == nil || !strings.Contains(err.Error(), "the folder is that of") {
			t.Errorf("with another's identity: %v", err)
		}
		identity := fmt.Sprintf("region \"north\", member %d\n", i+2)
		if err := os.WriteFile(filepath.Join(m.cfg.State, "identity"), []byte(identity), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, m := range all {
		m.cfg.Offset = 100
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

// A crash between the two files of a state folder leaves a snapshot of the writer beside an older log. The member starts, and
// has what the snapshot holds.
func TestACrashWhileASnapshotIsTaken(t *testing.T) {
	served := changelog.NewStore("north", changelog.Limits{})
	if _, err := served.Append(7, []resource.Change{{Resource: resource.Resource{Key: resource.Key{Service: "a", Kind: resource.KindService, Name: "a"},
		Service: &resource.Service{Region: "north", MaxAttempts: 1}}}}); err != nil {
		t.Fatal(err)
	}
	data := message.EncodeSnapshot("north", served.Position(), served.Snapshot(changelog.Filter{All: true}))
	for _, term := range []uint64{2, 3} {
		m := quorumUnderTest(t, 3)[0]
		storage, _, err := walfile.Open(m.cfg.State, func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		if err := identify(m.cfg.State, "north", 1, true); err != nil {
			t.Fatal(err)
		}
		if err := storage.Save(quorum.Persist{Hard: &quorum.HardState{Term: term, Vote: 1}, Entries: []quorum.LogEntry{{Index: 1, Term: 1}}}); err != nil {
			t.Fatal(err)
		}
		logPath := filepath.Join(m.cfg.State, "log")
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

// A member whose disk fails takes no part any more, says so, and goes on serving.
func TestAMemberWhoseDiskFails(t *testing.T) {
	m := quorumUnderTest(t, 1)[0]
	opened, err := openMember(m.cfg, monotonic(), slog.New(slog.NewTextHandler(&m.log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	opened.process = NewProcess(Config{Name: m.cfg.Name, Keys: m.cfg.Keys, Cluster: "test", Clock: monotonic(), Log: slog.New(slog.DiscardHandler)})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		opened.run(ctx)
	}()
	defer func() { cancel(); <-ended }()
	service := []resource.Change{{Resource: resource.Resource{Key: resource.Key{Service: "a", Kind: resource.KindService, Name: "a"},
		Service: &resource.Service{Region: "north", MaxAttempts: 1}}}}
	if _, err := opened.apply(service); err != nil {
		t.Fatal(err)
	}
	opened.storage.Close() // every write fails from here on
	if _, err := opened.apply(service); !errors.Is(err, errUnknown) {
		t.Errorf("a change that can't be kept: %v", err)
	}
	if _, err := opened.apply(service); err == nil || errors.Is(err, errUnknown) {
		t.Errorf("a change after it: %v", err)
	}
	var l LogStatus
	opened.report(&l)
	if l.Own || l.Failure == "" || !strings.Contains(m.log.String(), "takes no part in its region's log any more") {
		t.Errorf("%+v\n%s", l, m.log.String())
	}
	if opened.served.Len() != 1 || opened.served.Digest(changelog.Filter{All: true}) == 0 {
		t.Errorf("%d resources are served", opened.served.Len())
	}
}

// Only members of the region speak to a member as such.
func TestStrangersAmongMembers(t *testing.T) {
	m := quorumUnderTest(t, 3)[0]
	m.start()
	for _, name := range []string{"stranger", "m2"} {
		conn, err := net.Dial("tcp", m.cfg.Listen)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		c, err := frame.Dial(conn, frame.Config{Keys: [][]byte{testKey}, Cluster: "test", Handshake: patience, ReadTimeout: patience, WriteTimeout: patience})
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Write(greeting(name, asMember)); err != nil {
			t.Fatal(err)
		}
		if err := writeParts(c, []byte("no message of any replica")); err != nil {
			t.Fatal(err)
		}
		if name == "m2" {
			eventually(t, "a line about the message", func() bool { return strings.Contains(m.log.String(), "a member's message was dropped") })
			continue
		}
		var err2 error
		for err2 == nil {
			_, err2 = c.Read()
		}
	}
}

func TestParts(t *testing.T) {
	near, far := connected(t)
	var both sync.WaitGroup
	defer both.Wait()
	sent := [][]byte{nil, []byte("x"), bytes.Repeat([]byte("y"), partBytes), bytes.Repeat([]byte("z"), 3*partBytes+1)}
	both.Go(func() {
		for _, data := range sent {
			if err := errors.Join(near.Write(nil), writeParts(near, data)); err != nil {
				t.Error(err)
			}
		}
		if err := near.Write([]byte{7, 1}); err != nil {
			t.Error(err)
		}
	})
	for i, want := range sent {
		if got, err := readParts(far); err != nil || !bytes.Equal(got, want) {
			t.Errorf("message %d: %d bytes, %v", i, len(got), err)
		}
	}
	if _, err := readParts(far); err == nil || !strings.Contains(err.Error(), "part 7 is not known") {
		t.Errorf("a part of no kind: %v", err)
	}
}

// connected is both ends of a session of frames.
func connected(t *testing.T) (near, far *frame.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	cfg := frame.Config{Keys: [][]byte{testKey}, Cluster: "test", Handshake: patience, ReadTimeout: patience, WriteTimeout: patience}
	var begun sync.WaitGroup
	begun.Go(func() {
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
	begun.Wait()
	if err != nil || far == nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}
