package settings

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestBodies(t *testing.T) {
	dir := t.TempDir()
	f, err := Parse("own.toml", fmt.Appendf(nil, `
[bodies]
memory = "8MiB"
[bodies.disk]
folder = %q
total = "1GiB"
[[bodies.class]]
name = "save-config"
most = "4MiB"
disk = true
`, dir))
	if err != nil {
		t.Fatal(err)
	}
	if c := f.Bodies.Classes[0]; f.Bodies.Memory != 8<<20 || f.Bodies.Disk.Total != 1<<30 || c.MaxSize != 4<<20 || c.MaxInMemory != 64<<10 || !c.AllowDisk ||
		f.Bodies.Disk.Workers != 4 || f.Bodies.Disk.Deadline.D() != 20*time.Millisecond {
		t.Errorf("%+v", f.Bodies)
	}
	disk := fmt.Sprintf("[bodies.disk]\nfolder = %q\ntotal = \"1MiB\"\n", dir)
	for _, c := range []struct{ text, want string }{
		{"[bodies]\nmemry = \"8MiB\"", "own.toml:2: bodies.memry: no such key; did you mean memory?"},
		{"[bodies]\nmemory = \"8MB\"", `own.toml:2: bodies.memory: "8MB" is no size: write a whole number and a unit, such as "64KiB"`},
		{"[bodies]\nmemory = \"-1MiB\"", "is no size"},
		{"[bodies.disk]\ntotal = \"1MiB\"", "own.toml:2: bodies.disk.total: requires bodies.disk.folder"},
		{"[bodies.disk]\nfolder = \"/\"", "own.toml:2: bodies.disk.folder: requires bodies.disk.total"},
		{"[bodies.disk]\nfolder = \"/no/such\"\ntotal = \"1MiB\"", "own.toml:2: bodies.disk.folder: stat /no/such"},
		{disk + "workers = 0", "own.toml:4: bodies.disk.workers: 0 is outside 1 to 64"},
		{disk + "deadline = \"1us\"", "own.toml:4: bodies.disk.deadline: 1µs is outside 1ms to 10s"},
		{"[[bodies.class]]\nname = \"a\"\n[[bodies.class]]\nname = \"a\"", `own.toml:4: bodies.class[1].name: "a" is empty or a duplicate`},
		{"[[bodies.class]]\nname = \"a\"\nmemory = \"65KiB\"", "own.toml:3: bodies.class[0].memory: larger than most"},
		{"[[bodies.class]]\nname = \"a\"\ndisk = true", "own.toml:3: bodies.class[0].disk: requires bodies.disk.folder"},
		{"[[bodies.class]]\nname = \"a\"\nmost = \"1MiB\"", "own.toml:3: bodies.class[0].most: bodies larger than memory have no tier: allow disk or once"},
		{"[[bodies.class]]\nname = \"a\"\nmost = \"2GiB\"\nonce = true", "own.toml:3: bodies.class[0].most: larger than 1GiB"},
	} {
		_, err := Parse("own.toml", []byte(c.text))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q:\n got %v\nwant %s", c.text, err, c.want)
		}
	}
}

func TestJSONRPC(t *testing.T) {
	good := `[jsonrpc]
listen = "127.0.0.1:7070"
[[jsonrpc.method]]
name = "saveConfig"
class = "save"
key = "/key"
`
	f, err := Parse("own.toml", []byte(good))
	if err != nil || f.JSONRPC.MaxInflight != 64 || f.JSONRPC.MaxConnsPerBackend != 4 || f.JSONRPC.MaxBatch != 1000 || f.JSONRPC.IdleTimeout.D() != 5*time.Minute {
		t.Fatalf("%+v, %v", f, err)
	}
	for _, x := range []struct{ old, new, want string }{
		{`"127.0.0.1:7070"`, `"nowhere"`, "jsonrpc.listen"},
		{`listen = "127.0.0.1:7070"`, ``, "jsonrpc.listen"},
		{`[[jsonrpc`, "conns = 77\n[[jsonrpc", "jsonrpc.conns"},
		{`[[jsonrpc`, "inflight = 0\n[[jsonrpc", "jsonrpc.inflight"},
		{`[[jsonrpc`, "idle = \"1s\"\n[[jsonrpc", "jsonrpc.idle"},
		{`"/key"`, `"key"`, "jsonrpc.method[0].key"},
		{`"saveConfig"`, `""`, "jsonrpc.method[0].name"},
		{`class = "save"`, ``, "jsonrpc.method[0].class"},
		{good[strings.Index(good, "[[jsonrpc"):], ``, "jsonrpc.method"},
	} {
		text := strings.Replace(good, x.old, x.new, 1)
		if text == good {
			t.Fatalf("%q is not in the file", x.old)
		}
		if _, err := Parse("own.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), x.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want one line that names %s", x.new, err, x.want)
		}
	}
}

func TestDNS(t *testing.T) {
	good := "[dns]\nservers = [\"127.0.0.1:53\", \"[::1]:53\"]\n[[dns.site]]\nname = \"_config._tcp.tacoma.example.org\"\nzone = \"tacoma\"\n"
	f, err := Parse("own.toml", []byte(good))
	if err != nil || f.DNS.Timeout.D() != 500*time.Millisecond || f.DNS.SourceTimeout.D() != time.Minute || f.DNS.FlapPenalty.D() != 2*time.Second {
		t.Errorf("%+v, %v", f, err)
	}
	for _, c := range []struct{ text, want string }{
		{"[dns]\nservers = [\"127.0.0.1:53\"]", "dns.site: missing"},
		{strings.Replace(good, "127.0.0.1:53", "ns.example.org:53", 1), `dns.servers: "ns.example.org:53" (number 1) is not an IP address and a port`},
		{strings.Replace(good, "servers = [\"127.0.0.1:53\", \"[::1]:53\"]", "", 1), "dns.servers: missing"},
		{strings.Replace(good, "[dns]", "[dns]\nhold = \"5s\"", 1), "own.toml:2: dns.hold: 5s is outside 30s to 24h0m0s"},
		{strings.Replace(good, "[dns]", "[dns]\ntimeout = \"0s\"", 1), "own.toml:2: dns.timeout: 0s is outside 10ms to 10s"},
		{strings.Replace(good, "_config._tcp.", strings.Repeat("a", 64)+".", 1), "dns.site[0].name"},
		{strings.Replace(good, "zone = \"tacoma\"", "", 1), "dns.site[0].zone: missing"},
		{good + "[[dns.site]]\nname = \"_CONFIG._tcp.tacoma.example.org.\"\nzone = \"x\"", "dns.site[1].name"},
		{"[fleet]\nsocket = \"n.sock\"", `own.toml:2: fleet.socket: "n.sock" is not an absolute path`},
	} {
		_, err := Parse("own.toml", []byte(c.text))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q:\n got %v\nwant %s", c.text, err, c.want)
		}
	}
}
