package peers

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"craneglade/internal/settings"
	"craneglade/internal/shared"
	"craneglade/internal/shared/escrow"
	"craneglade/internal/shared/judgement"
	"craneglade/internal/tomlfile"
	"craneglade/policy"
)

const patience = 20 * time.Second

var key = []byte("sixteen bytes!!!")

// free is a loopback address that nobody listens on, for UDP and TCP.
func free(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func fleetOf(listen, cluster string, keys [][]byte, seeds ...string) *settings.Fleet {
	return &settings.Fleet{Listen: listen, Advertise: listen, Seeds: seeds, Cluster: cluster, Keys: keys, Features: shared.Use{Escrow: true, Ejections: true},
		BytesPerSecond: settings.DefaultBytesPerSecond, MaxDatagramBytes: 1400, LeaveTimeout: tomlfile.Duration(100 * time.Millisecond)}
}

// begin starts a node of three; it is stopped when the test ends, unless stop was called.
func begin(t *testing.T, number int, f *settings.Fleet) (p *Peers, stop func()) {
	t.Helper()
	start := time.Now()
	p, err := Start(Config{Fleet: f, Name: fmt.Sprintf("n%d", number), Policy: &policy.Settings{Number: number, Nodes: 3, Zone: "north",
		Tenants: []policy.Tenant{{Name: "a", QuotaPerS: 90}}}, Clock: func() time.Duration { return time.Since(start) }, Changed: func() {},
		Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	stopped := false
	stop = func() {
		if !stopped {
			stopped = true
			p.Stop()
		}
	}
	t.Cleanup(stop)
	return p, stop
}

func wait(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: did not come", what)
		}
	}
}

// part is what a node may spend of a tenant's share.
func part(p *Peers) float64 { return p.Report().Parts[0].Spendable }

func TestMembersFindEachOtherAndShare(t *testing.T) {
	t.Parallel()
	addrs := []string{free(t), free(t), free(t)}
	audit := filepath.Join(t.TempDir(), "audit")
	var all []*Peers
	var stops []func()
	for i := range addrs {
		f := fleetOf(addrs[i], "one", [][]byte{key}, addrs[0])
		if i == 1 {
			f.Audit = audit
		}
		p, stop := begin(t, i, f)
		p.Listed([]judgement.Backend{{Key: 1, Name: "s-1"}, {Key: 2, Name: "s-2"}, {Key: 3}, {Key: 4}})
		all, stops = append(all, p), append(stops, stop)
	}
	for i, p := range all {
		wait(t, fmt.Sprintf("all three at node %d", i), func() bool { return p.Report().Count.Lower == 3 })
	}
	// All ask at one node; its part grows beyond what it owns. Two find a backend broken; the third hears of it.
	wait(t, "a part that follows the demand", func() bool {
		for range 3 {
			all[1].Request("a")
		}
		for _, p := range all[:2] {
			p.Outcome(2, policy.ConnectFailed)
		}
		return part(all[1]) > 0.5
	})
	wait(t, "the backend out at the third", func() bool {
		for _, p := range all[:2] {
			p.Outcome(2, policy.ConnectFailed)
		}
		v := all[2].View()
		return len(v.Out) == 1 && v.Out[0] == 2
	})
	if sum := part(all[0]) + part(all[1]) + part(all[2]); sum > 1 {
		t.Errorf("together they have %v of one", sum)
	}
	r := all[2].Report()
	if len(r.Members) != 2 || len(r.Parts) != 1 || len(r.Votes) != 1 || r.Votes[0].Name != "s-2" || r.Traffic.SentBytes == 0 {
		t.Errorf("%+v", r)
	}
	// One that leaves gives back and is known to have left; a later life of its is known as one.
	stops[1]()
	wait(t, "the parting", func() bool { return all[0].Report().Members[0].State == "left" })
	begin(t, 1, fleetOf(addrs[1], "one", [][]byte{key}, addrs[0]))
	wait(t, "the return", func() bool { return all[0].Report().Count.Lower == 3 })

	text, err := os.ReadFile(audit)
	if err != nil {
		t.Fatal(err)
	}
	held, known := false, 0
	for line := range strings.Lines(string(text)) {
		var a Audited
		if err := json.Unmarshal([]byte(line), &a); err == nil && a.Budget == "" {
			known = max(known, a.Surely)
			continue
		} else if err != nil || a.Node != "n1" || a.Budget != "quota/a" || a.At == 0 || a.Own < 0 || a.Own > escrow.Base(1, 3) {
			t.Errorf("%s: %v", line, err)
		}
		held = held || len(a.Held) > 0 && a.Held[0].Grains > 0 && a.Held[0].Until > a.At
	}
	if !held || known != 3 {
		t.Errorf("the audit tells of no loan, or of %d nodes:\n%s", known, text)
	}
}

// Fleets of another name, and nodes without the key, do not merge; one whose first key is another's second does.
func TestFleetsDoNotMerge(t *testing.T) {
	t.Parallel()
	other := []byte("another key of16")
	addr := free(t)
	home, _ := begin(t, 0, fleetOf(addr, "one", [][]byte{key, other}))
	strangers := []*Peers{}
	for i, f := range []*settings.Fleet{fleetOf(free(t), "two", [][]byte{key}, addr), fleetOf(free(t), "one", [][]byte{[]byte("a key of no fleet")[:16]}, addr)} {
		p, _ := begin(t, 1+i, f)
		strangers = append(strangers, p)
	}
	friend, _ := begin(t, 1, fleetOf(free(t), "one", [][]byte{other, key}, addr))
	wait(t, "the one with the key", func() bool { return home.Report().Count.Lower == 2 && friend.Report().Count.Lower == 2 })
	for i, p := range strangers {
		if n := len(p.Report().Members); n > 0 {
			t.Errorf("stranger %d knows %d members", i, n)
		}
	}
	if n := len(home.Report().Members); n != 1 {
		t.Errorf("%d members at home", n)
	}
}

func TestHostileDatagrams(t *testing.T) {
	t.Parallel()
	p, _ := begin(t, 0, fleetOf(free(t), "one", [][]byte{key}))
	d := delegate{p}
	for _, b := range [][]byte{nil, {0}, []byte("GET / HTTP/1.1\r\n\r\n"), make([]byte, 60000)} {
		d.NotifyMsg(b)
		d.MergeRemoteState(b, true)
	}
	c, err := net.Dial("udp", p.cfg.Fleet.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for range 50 {
		if _, err := c.Write([]byte("nobody's word")); err != nil {
			t.Fatal(err)
		}
	}
	wait(t, "them all", func() bool { return p.Report().Traffic.Received >= 50 })
	if r := p.Report(); r.Stats.Bad == 0 || len(r.Members) != 0 || r.Parts[0].Spendable <= 0 {
		t.Errorf("%+v", r)
	}
}

func TestAnAddressThatIsTaken(t *testing.T) {
	t.Parallel()
	p, _ := begin(t, 0, fleetOf(free(t), "one", [][]byte{key}))
	_, err := Start(Config{Fleet: fleetOf(p.cfg.Fleet.Listen, "one", [][]byte{key}), Name: "x", Policy: &policy.Settings{Nodes: 1}, Clock: func() time.Duration { return 0 },
		Changed: func() {}, Log: slog.New(slog.DiscardHandler)})
	if err == nil || !strings.Contains(err.Error(), "fleet.listen") {
		t.Errorf("error %v does not name the key", err)
	}
}

func TestTheBudgetOfBytes(t *testing.T) {
	w, err := newTransport("127.0.0.1:0", 1000)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Shutdown()
	to := w.udp.LocalAddr().String()
	for range 100 {
		if _, err := w.WriteTo(make([]byte, 100), to); err != nil {
			t.Fatal(err)
		}
	}
	// Two seconds' worth at once, and as much on credit; what is left over is dropped.
	if s := w.traffic(); s.SentBytes < 3900 || s.SentBytes > 4500 || s.Dropped < 50 || w.room() != 0 {
		t.Errorf("%+v, room for %d", s, w.room())
	}
}
