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

const testTimeout = 20 * time.Second

var key = []byte("sixteen bytes!!!")

// freeAddr returns a loopback address on which nothing listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func fleetOf(listen, cluster string, keys [][]byte, seeds ...string) *settings.Fleet {
	return &settings.Fleet{Listen: listen, Advertise: listen, Seeds: seeds, Cluster: cluster, Keys: keys, Features: shared.Features{Escrow: true, Ejections: true},
		BytesPerSecond: settings.DefaultBytesPerSecond, MaxDatagramBytes: 1400, LeaveTimeout: tomlfile.Duration(100 * time.Millisecond)}
}

// startNode starts one node of three. It stops when the test ends, unless stop was called.
func startNode(t *testing.T, number int, f *settings.Fleet) (p *Peers, stop func()) {
	t.Helper()
	start := time.Now()
	p, err := Start(Config{Fleet: f, Name: fmt.Sprintf("n%d", number), Policy: &policy.Settings{Number: number, Nodes: 3, Zone: "north",
		Tenants: []policy.Tenant{{Name: "a", QuotaPerS: 90}}}, Clock: func() time.Duration { return time.Since(start) }, ViewChanged: func() {},
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

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// spendableFraction returns the fraction of the tenant's quota that a node may spend.
func spendableFraction(p *Peers) float64 { return p.Report().Budgets[0].Spendable }

func TestMembersJoinAndShareState(t *testing.T) {
	t.Parallel()
	addrs := []string{freeAddr(t), freeAddr(t), freeAddr(t)}
	audit := filepath.Join(t.TempDir(), "audit")
	var all []*Peers
	var stops []func()
	for i := range addrs {
		f := fleetOf(addrs[i], "one", [][]byte{key}, addrs[0])
		if i == 1 {
			f.Audit = audit
		}
		p, stop := startNode(t, i, f)
		p.SetBackends([]judgement.Backend{{Key: 1, Name: "s-1"}, {Key: 2, Name: "s-2"}, {Key: 3}, {Key: 4}})
		all, stops = append(all, p), append(stops, stop)
	}
	for i, p := range all {
		waitFor(t, fmt.Sprintf("three members at node %d", i), func() bool { return p.Report().Count.Lower == 3 })
	}
	// All requests arrive at one node, whose share grows beyond what it owns. Two nodes find a backend unhealthy, and the
	// third learns of it.
	waitFor(t, "a share that follows the demand", func() bool {
		for range 3 {
			all[1].CountRequest("a")
		}
		for _, p := range all[:2] {
			p.RecordOutcome(2, policy.ConnectFailed)
		}
		return spendableFraction(all[1]) > 0.5
	})
	waitFor(t, "the ejection on the third node", func() bool {
		for _, p := range all[:2] {
			p.RecordOutcome(2, policy.ConnectFailed)
		}
		v := all[2].View()
		return len(v.Ejected) == 1 && v.Ejected[0] == 2
	})
	if sum := spendableFraction(all[0]) + spendableFraction(all[1]) + spendableFraction(all[2]); sum > 1 {
		t.Errorf("the shares add up to %v", sum)
	}
	r := all[2].Report()
	if len(r.Members) != 2 || len(r.Budgets) != 1 || len(r.Votes) != 1 || r.Votes[0].Name != "s-2" || r.Traffic.SentBytes == 0 {
		t.Errorf("%+v", r)
	}
	// A node that leaves returns its loans and counts as left; its next incarnation counts as alive again.
	stops[1]()
	waitFor(t, "the member that left", func() bool { return all[0].Report().Members[0].State == "left" })
	startNode(t, 1, fleetOf(addrs[1], "one", [][]byte{key}, addrs[0]))
	waitFor(t, "the restarted member", func() bool { return all[0].Report().Count.Lower == 3 })

	text, err := os.ReadFile(audit)
	if err != nil {
		t.Fatal(err)
	}
	borrowed, known := false, 0
	for line := range strings.Lines(string(text)) {
		var a AuditRecord
		if err := json.Unmarshal([]byte(line), &a); err == nil && a.Budget == "" {
			known = max(known, a.MinNodes)
			continue
		} else if err != nil || a.Node != "n1" || a.Budget != "quota/a" || a.At == 0 || a.Own < 0 || a.Own > escrow.Base(1, 3) {
			t.Errorf("%s: %v", line, err)
		}
		borrowed = borrowed || len(a.Borrowed) > 0 && a.Borrowed[0].Grains > 0 && a.Borrowed[0].Until > a.At
	}
	if !borrowed || known != 3 {
		t.Errorf("the audit has no loan, or %d nodes, want 3:\n%s", known, text)
	}
}

// Nodes of another cluster or without the key can't join; a node whose first key is another's second can.
func TestForeignNodesAreRejected(t *testing.T) {
	t.Parallel()
	other := []byte("another key of16")
	addr := freeAddr(t)
	home, _ := startNode(t, 0, fleetOf(addr, "one", [][]byte{key, other}))
	strangers := []*Peers{}
	for i, f := range []*settings.Fleet{fleetOf(freeAddr(t), "two", [][]byte{key}, addr), fleetOf(freeAddr(t), "one", [][]byte{[]byte("a key of no fleet")[:16]}, addr)} {
		p, _ := startNode(t, 1+i, f)
		strangers = append(strangers, p)
	}
	friend, _ := startNode(t, 1, fleetOf(freeAddr(t), "one", [][]byte{other, key}, addr))
	waitFor(t, "the member with the other key first", func() bool { return home.Report().Count.Lower == 2 && friend.Report().Count.Lower == 2 })
	for i, p := range strangers {
		if n := len(p.Report().Members); n > 0 {
			t.Errorf("foreign node %d knows %d members", i, n)
		}
	}
	if n := len(home.Report().Members); n != 1 {
		t.Errorf("%d other members, want 1", n)
	}
}

func TestMalformedDatagramsAreCounted(t *testing.T) {
	t.Parallel()
	p, _ := startNode(t, 0, fleetOf(freeAddr(t), "one", [][]byte{key}))
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
	waitFor(t, "all datagrams", func() bool { return p.Report().Traffic.Received >= 50 })
	if r := p.Report(); r.Stats.Bad == 0 || len(r.Members) != 0 || r.Budgets[0].Spendable <= 0 {
		t.Errorf("%+v", r)
	}
}

func TestStartNamesKeyOfAddressInUse(t *testing.T) {
	t.Parallel()
	p, _ := startNode(t, 0, fleetOf(freeAddr(t), "one", [][]byte{key}))
	_, err := Start(Config{Fleet: fleetOf(p.cfg.Fleet.Listen, "one", [][]byte{key}), Name: "x", Policy: &policy.Settings{Nodes: 1}, Clock: func() time.Duration { return 0 },
		ViewChanged: func() {}, Log: slog.New(slog.DiscardHandler)})
	if err == nil || !strings.Contains(err.Error(), "fleet.listen") {
		t.Errorf("error %v does not name fleet.listen", err)
	}
}

func TestTransportDropsBeyondByteBudget(t *testing.T) {
	w, err := newTransport("127.0.0.1:0", 1000, nil)
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
	// A burst of two seconds is sent at once, and as much again on credit; the rest is dropped.
	if s := w.traffic(); s.SentBytes < 3900 || s.SentBytes > 4500 || s.Dropped < 50 || w.availableBytes() != 0 {
		t.Errorf("%+v, %d bytes available", s, w.availableBytes())
	}
}
