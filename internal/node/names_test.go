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

var long = flag.Bool("long", false, "measure how long boxes are used after their drains are published, about a minute")

const siteName = "_config._tcp.north.example.org"

// records are those of a site's boxes.
func records(ttl int, boxes ...*box) []string {
	var out []string
	for i, b := range boxes {
		_, port, _ := net.SplitHostPort(b.ln.Addr().String())
		out = append(out, fmt.Sprintf("%s. %d IN SRV 0 1 %s b%d.example.org.", siteName, ttl, port, i), fmt.Sprintf("b%d.example.org. %d IN A 127.0.0.1", i, ttl))
	}
	return out
}

// named is a node whose boxes stand in a list and in DNS.
func named(t *testing.T, ttl int, boxes ...*box) (*rig, *registry, *nameserver.Server) {
	t.Helper()
	dns, err := nameserver.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dns.Stop() })
	if err := dns.Set(records(ttl, boxes...)...); err != nil {
		t.Fatal(err)
	}
	var list []engine.Listed
	for i, b := range boxes {
		list = append(list, b.entry(fmt.Sprint("s-", i)))
	}
	g := newRegistry(t)
	r := newRig(t, g, settingsJSON, func(c *Config) {
		c.Own = &settings.File{DNS: settings.DNS{Servers: []string{dns.Addr}, Timeout: tomlfile.Duration(200 * time.Millisecond),
			HoldTime: tomlfile.Duration(time.Minute), FlapBackoff: tomlfile.Duration(2 * time.Second),
			Sites: []settings.Site{{Name: siteName, Zone: "north"}}}}
	}, list...)
	wait(t, "the site's names", func() bool {
		return len(r.engine.Members()) == len(boxes) && !slices.ContainsFunc(r.members(), func(m Member) bool { return m.Why != "all sources have it" })
	})
	return r, g, dns
}

func (r *rig) standing(addr string) (used bool, told time.Duration, source string) {
	for _, s := range r.engine.Members() {
		if s.Box.Addr == addr {
			return s.Use, s.Told, s.Source
		}
	}
	return false, 0, ""
}

// lastSend asks on until an end has come, and returns when the last request was sent to a box; every request must be served.
func lastSend(t *testing.T, r *rig, b *box, end func() bool) time.Time {
	t.Helper()
	var last time.Time
	c := r.dial(t)
	for i := 0; !end(); i++ {
		before := len(b.requests())
		if resp, _ := c.ask(view(fmt.Sprint("on-", i))); resp.StatusCode != 200 {
			t.Fatalf("request %d: %d", i, resp.StatusCode)
		}
		if len(b.requests()) > before {
			last = time.Now()
		}
	}
	return last
}

// DNS takes a box back while the list, seconds late, still calls it ready: nothing new goes there once the grace is over,
// counted from DNS, and the list's word that it is ready changes nothing.
func TestADrainToldByDNSAlone(t *testing.T) {
	t.Parallel()
	a, b, c := newBox(t, served), newBox(t, served), newBox(t, served)
	r, g, dns := named(t, 0, a, b, c)
	if err := dns.Set(records(0, b, c)...); err != nil {
		t.Fatal(err)
	}
	addr := a.ln.Addr().String()
	wait(t, "the withdrawal", func() bool { used, _, _ := r.standing(addr); return !used })
	_, told, source := r.standing(addr)
	if source != "dns:"+siteName {
		t.Errorf("decided by %s", source)
	}
	g.next <- registryAnswer{200, engine.List{Version: 2, Servers: []engine.Listed{a.entry("s-0")}}}
	grace := told + r.cfg.Settings.Policy.DrainGrace
	lastSend(t, r, a, func() bool { return r.clock.Now() >= grace })
	before := len(a.requests())
	n := 0
	lastSend(t, r, a, func() bool { n++; return n > 200 })
	if got := len(a.requests()) - before; got > 0 {
		t.Errorf("%d requests after the grace", got)
	}
	if used, again, _ := r.standing(addr); used || again != told {
		t.Errorf("used %v, told at %v, was %v", used, again, told)
	}
}

// A DNS server that lies or falls silent takes no box along that the list has, and no request is lost.
func TestADeadServerTakesNothing(t *testing.T) {
	t.Parallel()
	a, b := newBox(t, served), newBox(t, served)
	r, _, dns := named(t, 0, a, b)
	if err := dns.Set(); err != nil { // no such name
		t.Fatal(err)
	}
	asked := dns.Asked(33)
	wait(t, "two more questions", func() bool { return dns.Asked(33) >= asked+2 })
	n := 0
	lastSend(t, r, a, func() bool { n++; return n > 50 })
	for _, m := range r.members() {
		if !m.Used {
			t.Errorf("%+v", m)
		}
	}
}

// What the node says on its local socket.
func TestLocalSocket(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "n.sock")
	stale, err := net.Listen("unix", path) // a node that was killed leaves its file
	if err != nil {
		t.Fatal(err)
	}
	stale.(*net.UnixListener).SetUnlinkOnClose(false)
	stale.Close()
	b := newBox(t, served)
	own := func(c *Config) { c.Own = &settings.File{Fleet: settings.Fleet{Socket: path}} }
	r := newRig(t, newRegistry(t), settingsJSON, own, b.entry("s-0"))
	c, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var m Member
	if err := json.NewDecoder(c).Decode(&m); err != nil || m.ID != "s-0" || !m.Used || m.Mode != "normal" || m.Source != "list" || m.ToldMS < 0 {
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
	cfg.Own = &settings.File{Fleet: settings.Fleet{Socket: file}}
	if _, err := start(cfg, r.log); err == nil {
		t.Error("a file that is no socket was taken")
	}
	if text, _ := os.ReadFile(file); string(text) != "mine" {
		t.Error("a file that is no socket is gone")
	}
}

// How long after a drain is published the last request is sent to its box: with the list alone, 8 s late, and with SRV.
func TestDrainLag(t *testing.T) {
	if !*long {
		t.Skip("it takes a minute: -long")
	}
	const plays = 8
	for _, how := range []struct {
		name string
		ttl  int // 0: the list alone
	}{{"the list alone, 8 s late", 0}, {"SRV, TTL 1", 1}, {"SRV, TTL 5", 5}} {
		var mu sync.Mutex
		var lags []time.Duration
		t.Run(how.name, func(t *testing.T) {
			for i := range plays {
				t.Run(fmt.Sprint(i), func(t *testing.T) {
					t.Parallel()
					a, b, c := newBox(t, served), newBox(t, served), newBox(t, served)
					r, g, dns := named(t, max(1, how.ttl), a, b, c)
					time.Sleep(time.Duration(i) * 300 * time.Millisecond) // anywhere between two questions
					published := time.Now()
					if how.ttl > 0 {
						if err := dns.Set(records(how.ttl, b, c)...); err != nil {
							t.Fatal(err)
						}
					}
					late := time.AfterFunc(8*time.Second, func() {
						drained := a.entry("s-0")
						drained.State = "Terminating"
						g.next <- registryAnswer{200, engine.List{Version: 2, Servers: []engine.Listed{drained}}}
					})
					defer late.Stop()
					last := lastSend(t, r, a, func() bool { return time.Since(published) > 11*time.Second })
					mu.Lock()
					defer mu.Unlock()
					lags = append(lags, last.Sub(published))
				})
			}
		})
		slices.Sort(lags)
		t.Logf("%s: last new send after %v to %v, median %v (%d plays)", how.name, lags[0], lags[len(lags)-1], lags[len(lags)/2], len(lags))
	}
}
