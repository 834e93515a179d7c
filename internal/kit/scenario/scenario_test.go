package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestEmbeddedScenariosLoad(t *testing.T) {
	names := Names()
	for _, want := range []string{"opening", "calm", "rolling-deploy", "late-list", "slow-after-overload", "bad-clients", "bad-boxes", "reload", "kill"} {
		if !strings.Contains(" "+strings.Join(names, " ")+" ", " "+want+" ") {
			t.Errorf("scenario %s is missing", want)
		}
	}
	for _, n := range names {
		s, err := Load(n)
		if err != nil {
			t.Errorf("%s: %v", n, err)
		} else if s.Title == "" || s.Backends() == 0 {
			t.Errorf("%s: no title or no backends", n)
		}
	}
}

// The error about an invalid file is one line with file, line, key and what is expected.
func TestInvalidFileErrors(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"lenght = \"30s\"", `f.toml:1: lenght: no such key; did you mean length?`},
		{"length = \"30s\"\n[traffic]\nrte = 5", `f.toml:3: traffic.rte: no such key; did you mean rate?`},
		{"length = 30", `f.toml:1: length: a number without a unit: write text, such as "30s" or "250ms"`},
		{"[[event]]\ndo = \"kill\"\nat = 1.5\ndown = \"1s\"", `f.toml:3: event[0].at: a number without a unit`},
		{"length = \"30\"", `f.toml:1: length: "30" is no time: write a number and a unit`},
		{"length = \"30 seconds\"", `write a number and a unit, such as "30s"`},
		{"[traffic]\nrate = -5", `f.toml:2: traffic.rate: -5 a second is outside 0.1 to 20000 a second`},
		{"[traffic]\nshape = \"square\"", `f.toml:2: traffic.shape: "square" is none of steady, ramp, wave, bursty`},
		{"[[class]]\nname = \"a\"\neffect = \"keyed\"\nwindow = \"0s\"", `f.toml:4: class[0].window: a keyed class needs`},
		{"[[class]]\nname = \"a\"\naim = \"2s\"\ndeadline = \"1s\"", `f.toml:4: class[0].deadline: 1s is outside 2 to 600s`},
		{"[[class]]\nname = \"a\"\n[[class]]\nname = \"a\"", `f.toml:4: class[1].name: "a" is defined twice`},
		{"[[class]]\nname = \"a b\"", `f.toml:2: class[0].name: "a b" is not a valid name`},
		{"[[fleet]]\nkind = \"gen-z\"\ncount = 3", `f.toml:2: fleet[0].kind: "gen-z" is not a kind of machine: there are gen-a, gen-b`},
		{"[[event]]\ndo = \"deplay\"\nat = \"1s\"", `f.toml:2: event[0].do: "deplay" is none of bad-clients, crash, cut-links, cut-nodes, deploy`},
		{"[[event]]\ndo = \"kill\"\nat = \"1s\"\ndown = \"1s\"\nby = 3", `f.toml:5: event[0].by: kill does not use it: it uses node, part, down`},
		{"[[event]]\ndo = \"kill\"\nat = \"1s\"\ndown = \"1s\"\nnode = 2\npart = 0.5", `f.toml:6: event[0].part: node already selects one: set only one of the two`},
		{"[[event]]\ndo = \"lose-site\"\nat = \"1s\"\nfor = \"5s\"\nsite = \"salem\"", `f.toml:5: event[0].site: "salem" is not a site: there are tacoma, everett, olympia`},
		{"[[event]]\ndo = \"lose-site\"\nat = \"1s\"\nfor = \"1s\"\nsite = \"everett\"", `f.toml:4: event[0].for: 1s is shorter than 2s: the list removes a lost site's boxes after 1s`},
		{"[[event]]\ndo = \"lose-site\"\nat = \"1s\"\nfor = \"5s\"", `f.toml:1: event[0].site: lose-site needs it`},
		{"[[event]]\ndo = \"kill\"\nat = \"1s\"", `f.toml:1: event[0].down: kill needs it`},
		{"[[event]]\ndo = \"kill\"\nat = \"99s\"\ndown = \"1s\"", `f.toml:3: event[0].at: 1m39s is outside the length of 30s`},
		{"[[event]]\ndo = \"kill\"\nat = \"1s\"\ndown = \"1s\"\nnode = 9", `f.toml:5: event[0].node: 9 is not a node: nodes are numbered 1 to 3`},
		{"[[event]]\ndo = \"deploy\"\nat = \"1s\"\nover = \"2s\"\npart = 0.93\nbatch = 0.09", `f.toml:4: event[0].over: 10 boxes in batches of 1 take 10 rounds, at least 4.5s`},
		{"[[event]]\ndo = \"deploy\"\nat = \"20s\"\nover = \"20s\"\npart = 0.9", `f.toml:4: event[0].over: the event ends at 40s, after the length of 30s`},
		{"[[event]]\ndo = \"vanish\"\nat = \"1s\"\nfor = \"2s\"\nboxes = 40", `f.toml:5: event[0].boxes: 40 is more than the fleet has: 11`},
		{"[[event]]\ndo = \"bad-clients\"\nat = \"1s\"\nfor = \"2s\"\nrate = 5\nkinds = [\"rude\"]", `f.toml:6: event[0].kinds: "rude" is none of garbage`},
		{"[nodes]\ncount = 3\nown = \"[bodies]\\nmemry = 3\"", `f.toml:3: nodes.own: nodes.own:2: bodies.memry: no such key; did you mean memory?`},
		{"title = \"x\"\n[nodes\ncount = 3", `f.toml:2: `},
	} {
		_, err := Parse("f.toml", []byte(c.text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q:\n got %v\nwant %s", c.text, err, c.want)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: more than one line: %v", c.text, err)
		}
	}
}

func TestExplicitZeroIsKept(t *testing.T) {
	s, err := Parse("f.toml", []byte("[clients]\nretries = 0\nimpatient = 0.0\n[[kind]]\nname = \"k\"\ncores = 2\n[[fleet]]\nkind = \"k\"\ncount = 4\n"))
	if err != nil {
		t.Fatal(err)
	}
	if s.Clients.Retries != 0 || s.Clients.Impatient != 0 {
		t.Errorf("explicit zeros were replaced: %+v", s.Clients)
	}
	if s.Clients.TryFraction != Default().Clients.TryFraction || s.MachineKinds[0].Slots != 2 || s.MachineKinds[0].Speed != Default().MachineKinds[0].Speed || len(s.MachineKinds) != 1 {
		t.Errorf("defaults: %+v %+v", s.Clients, s.MachineKinds)
	}
}

func TestLoadByNameAndPath(t *testing.T) {
	if _, err := Load("no-such"); err == nil || !strings.Contains(err.Error(), "opening") {
		t.Errorf("an unknown name: %v", err)
	}
	path := filepath.Join(t.TempDir(), "mine.toml")
	if err := os.WriteFile(path, []byte("length = \"5s\""), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Load(path)
	if err != nil || s.Length.S() != 5 {
		t.Errorf("%v, %v", s, err)
	}
	if _, err := Load(path + "x.toml"); err == nil {
		t.Error("a missing file was read")
	}
}

func FuzzParse(f *testing.F) {
	for _, n := range Names() {
		text, _ := Text(n)
		f.Add(string(text))
	}
	f.Add("[[event]]\ndo = 3")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse("f.toml", []byte(text))
		if err == nil && (s.Backends() < 1 || s.Length <= 0) {
			t.Errorf("accepted: %s", fmt.Sprintf("%+v", s))
		}
	})
}
