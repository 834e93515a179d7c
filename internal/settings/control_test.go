package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func keyFile(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(path, []byte("000102030405060708090a0b0c0d0e0f\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// checkErrors parses good with each replacement and expects an error of one line that contains want.
func checkErrors(t *testing.T, good string, parse func(text []byte) error, cases []struct{ old, new, want string }) {
	t.Helper()
	for _, x := range cases {
		text := strings.Replace(good, x.old, x.new, 1)
		if text == good {
			t.Fatalf("%q is not in the file", x.old)
		}
		if err := parse([]byte(text)); err == nil || !strings.Contains(err.Error(), x.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q for %q:\n got %v\nwant %s", x.new, x.old, err, x.want)
		}
	}
}

func TestControl(t *testing.T) {
	good := fmt.Sprintf(`[control]
services = ["configurator"]
region = "north"
cluster = "company"
key_file = %q
[[control.parent]]
name = "relay-1"
address = "127.0.0.1:7960"
zone = "north-a"
`, keyFile(t))
	f, err := Parse("own.toml", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if c := f.Control; !c.On() || c.BytesPerSecond != 8<<10 || c.ParentTimeout.D() != 3*time.Second || len(c.Keys) != 1 || len(c.Parents) != 1 || c.Parents[0].Zone != "north-a" {
		t.Errorf("%+v", c)
	}
	if f, err := Parse("own.toml", nil); err != nil || f.Control.On() {
		t.Errorf("without the section: %v, on %v", err, f.Control.On())
	}
	checkErrors(t, good, func(text []byte) error { _, err := Parse("own.toml", text); return err }, []struct{ old, new, want string }{
		{`services = ["configurator"]`, ``, "own.toml:1: control.services: missing, and control.region has no effect without it"},
		{`["configurator"]`, `["a", "b"]`, "own.toml:2: control.services: 2 services are given, and a process serves only one"},
		{`["configurator"]`, `[""]`, "own.toml:2: control.services"},
		{`"north"`, `""`, `own.toml:3: control.region: "" is not a name of 1 to 128 bytes`},
		{`"company"`, `""`, "own.toml:4: control.cluster"},
		{`key_file`, "bytes = \"12B\"\nkey_file", "own.toml:5: control.bytes: 12 is outside 1KiB to 1GiB a second"},
		{`key_file`, "silence = \"10ms\"\nkey_file", "own.toml:5: control.silence: 10ms is outside 200ms to 1m0s"},
		{`key_file`, "byts = \"12KiB\"\nkey_file", "own.toml:5: control.byts: no such key; did you mean bytes?"},
		{`"127.0.0.1:7960"`, `"relay:7960"`, `own.toml:8: control.parent[0].address: "relay:7960" is not an IP address and a port`},
		{`zone = "north-a"`, "[[control.parent]]\nname = \"relay-1\"", `control.parent[1].name: "relay-1" is a duplicate`},
		{`"relay-1"`, `""`, "own.toml:7: control.parent[0].name"},
		{good[strings.Index(good, "[[control.parent]]"):], "", "control.parent: missing"},
	})
}

func TestControlProcess(t *testing.T) {
	key, state := keyFile(t), t.TempDir()
	writer := fmt.Sprintf(`role = "writer"
name = "north-1"
region = "north"
zone = "north-a"
listen = "127.0.0.1:7960"
socket = "/run/craneglade/north-1.sock"
cluster = "company"
key_file = %q
state = %q
[[region_parent]]
region = "south"
name = "south-1"
address = "127.0.0.1:7970"
`, key, state)
	parse := func(text []byte) error { _, err := ParseControlProcess("control.toml", text); return err }
	c, err := ParseControlProcess("control.toml", []byte(writer))
	if err != nil {
		t.Fatal(err)
	}
	if c.Limits.HeartbeatInterval.D() != time.Second || c.Limits.MaxSnapshots != 64 || c.Limits.MaxSubscribers != 1000 || c.Limits.BytesPerSecond != 8<<20 || c.Limits.ParentTimeout.D() != 3*time.Second || c.Regions[0] != "north" || len(c.Members) != 1 || c.Members[0].ID != 1 {
		t.Errorf("%+v", c)
	}
	checkErrors(t, writer, parse, []struct{ old, new, want string }{
		{`"writer"`, `"reader"`, `control.toml:1: role: "reader" is neither "writer" nor "relay"`},
		{`"writer"`, `"relay"`, `control.toml:9: state: only allowed for a writer, and this is a relay`},
		{fmt.Sprintf("%q", state), `"/no/such/folder"`, `control.toml:9: state: "/no/such/folder" is not an existing directory`},
		{fmt.Sprintf("state = %q", state), ``, `state: missing: a writer needs a directory`},
		{`"north-1"`, `""`, "control.toml:2: name"},
		{`"127.0.0.1:7960"`, `"7960"`, "control.toml:5: listen"},
		{`"/run/craneglade/north-1.sock"`, `"north-1.sock"`, "control.toml:6: socket"},
		{`"company"`, `""`, "control.toml:7: cluster"},
		{`"south"`, `"north"`, `control.toml:11: region_parent[0].region: "north" is this writer's own region`},
		{`"127.0.0.1:7970"`, `"south:7970"`, "control.toml:13: region_parent[0].address"},
		{`[[region_parent]]`, "[[parent]]\nname = \"x\"\naddress = \"127.0.0.1:1\"\n[[region_parent]]", "a writer has no parent"},
		{`[[region_parent]]`, "[limits]\nheartbeat = \"1ms\"\n[[region_parent]]", "control.toml:11: limits.heartbeat: 1ms is outside 50ms to 10s"},
		{`[[region_parent]]`, "[limits]\nsilence = \"2m\"\n[[region_parent]]", "control.toml:11: limits.silence: 2m0s is outside 200ms to 1m0s"},
		{`[[region_parent]]`, "[limits]\nlog = \"1KiB\"\n[[region_parent]]", "control.toml:11: limits.log: 1024 is outside 64KiB to 1GiB"},
		{`[[region_parent]]`, "[limits]\nsubscribers = 0\n[[region_parent]]", "control.toml:11: limits.subscribers: 0 is outside 1 to 10000"},
		{`zone`, "regions = [\"south\"]\nzone", "control.toml:4: regions: a writer follows the regions of [[region_parent]]"},
		{`zone`, "epoch_offset = -1\nzone", "control.toml:4: epoch_offset: -1 is negative"},
		{`[[region_parent]]`, "[[member]]\nid = 1\nname = \"north-1\"\naddress = \"127.0.0.1:1\"\n[[member]]\nid = 2\nname = \"x\"\n[[region_parent]]", "member: 2 are given: it takes 1, 3 or 5"},
		{`[[region_parent]]`, "[[member]]\nid = 0\n[[region_parent]]", "control.toml:11: member[0].id: 0 is 0 or a duplicate"},
		{`[[region_parent]]`, "[[member]]\nid = 1\nname = \"x\"\naddress = \"x:1\"\n[[region_parent]]", "control.toml:13: member[0].address"},
		{`[[region_parent]]`, "[[member]]\nid = 1\nname = \"x\"\naddress = \"127.0.0.1:1\"\n[[region_parent]]", `member: this process, "north-1", is not among them`},
	})
	relay := fmt.Sprintf(`role = "relay"
name = "relay-1"
region = "north"
regions = ["north", "south"]
listen = "127.0.0.1:7961"
socket = "/run/craneglade/relay-1.sock"
cluster = "company"
key_file = %q
[[parent]]
name = "north-1"
address = "127.0.0.1:7960"
`, key)
	if err := parse([]byte(relay)); err != nil {
		t.Fatal(err)
	}
	checkErrors(t, relay, parse, []struct{ old, new, want string }{
		{`["north", "south"]`, `["north", "north"]`, "control.toml:4: regions: a region is given twice"},
		{relay[strings.Index(relay, "[[parent]]"):], "", "parent: missing: give name"},
	})
}

// The example files must be valid, apart from their paths, and so must the settings that are commented out in them.
func TestControlExample(t *testing.T) {
	text, err := os.ReadFile("../../deploy/control.toml")
	if err != nil {
		t.Fatal(err)
	}
	paths := strings.NewReplacer("/etc/craneglade/fleet.key", keyFile(t), "/var/lib/craneglade/control", t.TempDir())
	if _, err := ParseControlProcess("control.toml", []byte(paths.Replace(string(text)))); err != nil {
		t.Error(err)
	}
	without := func(text string, lines ...string) string {
		var out []string
		for line := range strings.Lines(text) {
			keep := true
			for _, l := range lines {
				keep = keep && !strings.HasPrefix(line, l)
			}
			if keep {
				out = append(out, line)
			}
		}
		return strings.Join(out, "")
	}
	all := strings.ReplaceAll(paths.Replace(string(text)), "\n# ", "\n")
	all = without(all, "A process of", "uses one", "# A process")
	at := strings.Index(all, "[[parent]]")
	other := strings.Index(all, "[[region_parent]]")
	member := strings.Index(all, "[[member]]")
	relay := without(strings.Replace(all[:member]+all[at:other], `"writer"`, `"relay"`, 1), "state", "epoch_offset")
	writer := without(all[:at]+all[other:], "regions")
	for _, text := range []string{relay, writer} {
		if _, err := ParseControlProcess("control.toml", []byte(text)); err != nil {
			t.Errorf("%v\n%s", err, text)
		}
	}
	own, err := os.ReadFile("../../deploy/craneglade.toml")
	if err != nil {
		t.Fatal(err)
	}
	section := string(own)[strings.Index(string(own), "# [control]"):]
	section = paths.Replace(strings.ReplaceAll("\n"+strings.ReplaceAll(section, "\n#\n", "\n"), "\n# ", "\n"))
	if f, err := Parse("craneglade.toml", []byte(section)); err != nil || !f.Control.On() {
		t.Errorf("%v\n%s", err, section)
	}
}
