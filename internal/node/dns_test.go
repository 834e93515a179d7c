package node

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"craneglade/internal/engine"
	"craneglade/internal/kit/nameserver"
	"craneglade/internal/settings"
	"craneglade/internal/tomlfile"
)

var long = flag.Bool("long", false, "measure how long backends are used after their drains are published, about a minute")

const siteName = "_config._tcp.north.example.org"

// dnsRecords returns the records of a site's backends.
func dnsRecords(ttl int, backends ...*stubBackend) []string {
	var out []string
	for i, b := range backends {
		_, port, _ := net.SplitHostPort(b.ln.Addr().String())
		out = append(out, fmt.Sprintf("%s. %d IN SRV 0 1 %s b%d.example.org.", siteName, ttl, port, i), fmt.Sprintf("b%d.example.org. %d IN A 127.0.0.1", i, ttl))
	}
	return out
}

// startWithDNS starts a node whose backends are in the list and in DNS.
func startWithDNS(t *testing.T, ttl int, backends ...*stubBackend) (*testNode, *stubDiscovery, *nameserver.Server) {
	t.Helper()
	dns, err := nameserver.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dns.Stop() })
	if err := dns.Set(dnsRecords(ttl, backends...)...); err != nil {
		t.Fatal(err)
	}
	var list []engine.ListedBackend
	for i, b := range backends {
		list = append(list, b.entry(fmt.Sprint("s-", i)))
	}
	g := newStubDiscovery(t)
	r := startNode(t, g, settingsJSON, func(c *Config) {
		c.LocalSettings = &settings.File{DNS: settings.DNS{Servers: []string{dns.Addr}, Timeout: tomlfile.Duration(200 * time.Millisecond),
			SourceTimeout: tomlfile.Duration(time.Minute), FlapPenalty: tomlfile.Duration(2 * time.Second),
			Sites: []settings.Site{{Name: siteName, Zone: "north"}}}}
	}, list...)
	wait(t, "the backends from DNS", func() bool {
		return len(r.engine.Members()) == len(backends) && !slices.ContainsFunc(r.members(), func(m Member) bool { return m.Reason != "all sources have it" })
	})
	return r, g, dns
}

func (r *testNode) decision(addr string) (used bool, since time.Duration, source string) {
	for _, s := range r.engine.Members() {
		if s.Backend.Addr == addr {
			return s.Use, s.Since, s.Source
		}
	}
	return false, 0, ""
}

// lastSend sends requests until done returns true, each of which must be served, and returns when the last one reached b.
func lastSend(t *testing.T, r *testNode, b *stubBackend, done func() bool) time.Time {
	t.Helper()
	var last time.Time
	c := r.dial(t)
	for i := 0; !done(); i++ {
		before := len(b.requests())
		if resp, _ := c.roundTrip(view(fmt.Sprint("on-", i))); resp.StatusCode != 200 {
			t.Fatalf("request %d: %d", i, resp.StatusCode)
		}
		if len(b.requests()) > before {
			last = time.Now()
		}
	}
	return last
}

// DNS withdraws a backend that the list, seconds late, still reports as ready. It gets no new requests once the grace since the withdrawal
// in DNS is over, and the list does not change that.
func TestDrainAnnouncedByDNSOnly(t *testing.T) {
	t.Parallel()
	a, b, c := newStubBackend(t, respondOK), newStubBackend(t, respondOK), newStubBackend(t, respondOK)
	r, g, dns := startWithDNS(t, 0, a, b, c)
	if err := dns.Set(dnsRecords(0, b, c)...); err != nil {
		t.Fatal(err)
	}
	addr := a.ln.Addr().String()
	wait(t, "the withdrawal", func() bool { used, _, _ := r.decision(addr); return !used })
	_, announced, source := r.decision(addr)
	if source != "dns:"+siteName {
		t.Errorf("deciding source: %s", source)
	}
	g.responses <- discoveryResponse{200, engine.List{Version: 2, Backends: []engine.ListedBackend{a.entry("s-0")}}}
	grace := announced + r.cfg.Settings.Policy.DrainGrace
	lastSend(t, r, a, func() bool { return r.clock.Now() >= grace })
	before := len(a.requests())
	n := 0
	lastSend(t, r, a, func() bool { n++; return n > 200 })
	if got := len(a.requests()) - before; got > 0 {
		t.Errorf("%d requests after the grace", got)
	}
	if used, again, _ := r.decision(addr); used || again != announced {
		t.Errorf("used %v, announced at %v, before at %v", used, again, announced)
	}
}

// A DNS server that answers wrongly, or not at all, removes no backend that is in the list, and no request is lost.
func TestDNSOutageKeepsBackends(t *testing.T) {
	t.Parallel()
	a, b := newStubBackend(t, respondOK), newStubBackend(t, respondOK)
	r, _, dns := startWithDNS(t, 0, a, b)
	if err := dns.Set(); err != nil { // no such name
		t.Fatal(err)
	}
	asked := dns.Queries(33)
	wait(t, "two more queries", func() bool { return dns.Queries(33) >= asked+2 })
	n := 0
	lastSend(t, r, a, func() bool { n++; return n > 50 })
	for _, m := range r.members() {
		if !m.Used {
			t.Errorf("%+v", m)
		}
	}
}

// The status socket shows the backends and replaces the file of a node that was killed. A path that another process listens on, or that is
// not a socket, is refused and left alone.
func TestStatusSocket(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "n.sock")
	stale, err := net.Listen("unix", path) // left behind by a node that was killed
	if err != nil {
		t.Fatal(err)
	}
	stale.(*net.UnixListener).SetUnlinkOnClose(false)
	stale.Close()
	b := newStubBackend(t, respondOK)
	configure := func(c *Config) { c.LocalSettings = &settings.File{Fleet: settings.Fleet{Socket: path}} }
	r := startNode(t, newStubDiscovery(t), settingsJSON, configure, b.entry("s-0"))
	c, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var m Member
	if err := json.NewDecoder(c).Decode(&m); err != nil || m.ID != "s-0" || !m.Used || m.Mode != "normal" || m.Source != "list" || m.DecidedMS < 0 {
		t.Errorf("%+v, %v", m, err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("%v, %v", info.Mode(), err)
	}
	cfg := r.cfg
	if _, err := start(cfg, r.log); err == nil || !strings.Contains(err.Error(), "another process answers") {
		t.Errorf("a second node on the same path: %v", err)
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, []byte("mine"), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg.LocalSettings = &settings.File{Fleet: settings.Fleet{Socket: file}}
	if _, err := start(cfg, r.log); err == nil {
		t.Error("a file that is not a socket was accepted")
	}
	if text, _ := os.ReadFile(file); string(text) != "mine" {
		t.Error("a file that is not a socket was changed")
	}
}

// TestDrainLag measures the time from the publication of a drain to the last request that its backend gets: with the list alone, which is
// 8 s late, and with SRV records.
func TestDrainLag(t *testing.T) {
	if !*long {
		t.Skip("it takes a minute: -long")
	}
	const runs = 8
	for _, source := range []struct {
		name string
		ttl  int // 0: the list alone
	}{{"the list alone, 8 s late", 0}, {"SRV, TTL 1", 1}, {"SRV, TTL 5", 5}} {
		var mu sync.Mutex
		var lags []time.Duration
		t.Run(source.name, func(t *testing.T) {
			for i := range runs {
				t.Run(fmt.Sprint(i), func(t *testing.T) {
					t.Parallel()
					a, b, c := newStubBackend(t, respondOK), newStubBackend(t, respondOK), newStubBackend(t, respondOK)
					r, g, dns := startWithDNS(t, max(1, source.ttl), a, b, c)
					time.Sleep(time.Duration(i) * 300 * time.Millisecond) // spread over the interval between two queries
					published := time.Now()
					if source.ttl > 0 {
						if err := dns.Set(dnsRecords(source.ttl, b, c)...); err != nil {
							t.Fatal(err)
						}
					}
					announce := time.AfterFunc(8*time.Second, func() {
						drained := a.entry("s-0")
						drained.State = "Terminating"
						g.responses <- discoveryResponse{200, engine.List{Version: 2, Backends: []engine.ListedBackend{drained}}}
					})
					defer announce.Stop()
					last := lastSend(t, r, a, func() bool { return time.Since(published) > 11*time.Second })
					mu.Lock()
					defer mu.Unlock()
					lags = append(lags, last.Sub(published))
				})
			}
		})
		slices.Sort(lags)
		t.Logf("%s: last new send after %v to %v, median %v (%d runs)", source.name, lags[0], lags[len(lags)-1], lags[len(lags)/2], len(lags))
	}
}
