package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestMain runs the command line instead of the tests in a child process, as a rehearsal starts its nodes from this binary.
func TestMain(m *testing.M) {
	if os.Getenv("CRANEGLADE_TEST_CHILD") != "" {
		os.Exit(Main(os.Args[1:], os.Getenv, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func runMain(t *testing.T, args ...string) (status int, out, errOut string) {
	t.Helper()
	var o, e bytes.Buffer
	status = Main(args, func(string) string { return "" }, &o, &e)
	return status, o.String(), e.String()
}

func tempFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// planText is a plan of three sites with equal capacity and load.
var planText = "[sites]\n" + strings.Repeat("[[sites.site]]\nname = \"N\"\ncapacity = 108.0\nboxes = 8\nnodes = 4\nload = 72.0\n", 3)

func init() {
	for _, name := range []string{"tacoma", "everett", "olympia"} {
		planText = strings.Replace(planText, `"N"`, `"`+name+`"`, 1)
	}
}

func TestCommandStatusAndOutput(t *testing.T) {
	plan := tempFile(t, "plan.toml", planText)
	bad := tempFile(t, "bad.toml", "length = \"30s\"\nrate = 3\n")
	for _, c := range []struct {
		args     []string
		status   int
		out, err string
	}{
		{[]string{"--help"}, 0, "rehearse", ""},
		{[]string{"--version"}, 0, "craneglade", ""},
		{[]string{"rehearse", "--list"}, 0, "rolling-deploy", ""},
		{[]string{"rehearse", "kill", "--show"}, 0, `do = "term"`, ""},
		{[]string{"rehearse", "calm", "--plan", "--seed", "3"}, 0, "need {N:0 At:", ""},
		{[]string{"check", "opening"}, 0, "opening: good", ""},
		{[]string{"check", "--settings", tempFile(t, "own.toml", "[bodies]\nmemory = \"8MiB\"\n")}, 0, "own.toml: good", ""},
		{[]string{"check", "--settings", tempFile(t, "own.toml", "[bodies]\nmemory = 8\n")}, 2, "", "own.toml:2: "},
		{[]string{"fleet"}, 2, "", "say where the node answers: --socket PATH, or --config FILE"},
		{[]string{"fleet", "--socket", "/no/such.sock"}, 1, "", "no node answers on /no/such.sock"},
		{[]string{"fleet", "--config", tempFile(t, "own.toml", "[bodies]\nmemory = \"8MiB\"\n")}, 2, "", "own.toml: fleet.socket is not set"},
		{[]string{"plan", "site-loss", "--config", plan, "--class", "save=0.68:10", "--class", "quote=0.32:2"}, 0, "quote 47%", ""},
		{[]string{"plan", "site-loss", "--config", plan}, 0, "requests 15%", ""},
		{[]string{"plan", "site-loss", "--config", plan, "--class", "save=0.68"}, 2, "", "--class: \"save=0.68\" is not of the form NAME=SHARE:WORTH"},
		{[]string{"plan", "site-loss", "--config", plan, "--times", "0"}, 2, "", "--times: 0 is outside 0 to 1000"},
		{[]string{"plan", "site-loss", "--config", plan, "--counts", tempFile(t, "counts", `{"sites":[],"asked":[{"class":"save","rate":6,"work":1,"worth":10},{"class":"quote","rate":4,"work":1,"worth":2}]}`+"\n")}, 0, "quote 38%", ""},
		{[]string{"plan", "site-loss", "--config", plan, "--counts", tempFile(t, "counts", "{}\n")}, 2, "", "no line with the demand of a node"},
		{[]string{"plan", "site-loss", "--config", tempFile(t, "own.toml", "[bodies]\nmemory = \"8MiB\"\n")}, 2, "", "no site plan"},
		{[]string{"plan", "site-loss", "--config", tempFile(t, "own.toml", "[sites]\n[[sites.site]]\nname = \"a\"\n")}, 2, "", "own.toml:"},
		{nil, 2, "", "craneglade: GW_CONFIG: not set\n"},
		{[]string{"serve"}, 2, "", "craneglade: GW_CONFIG: not set\n"},
		{[]string{"frobnicate"}, 2, "", "frobnicate"},
		{[]string{"rehearse", "--frob"}, 2, "", "--frob"},
		{[]string{"rehearse", "no-such"}, 2, "", `no scenario "no-such": shipped are `},
		{[]string{"rehearse", bad}, 2, "", "bad.toml:2: rate: no such key"},
		{[]string{"check", bad}, 2, "", "bad.toml:2: rate: no such key"},
		{[]string{"check", tempFile(t, "c.json", "{}")}, 2, "", "c.json: listen:"},
		{[]string{"rehearse", "fleet-herd"}, 2, "", `list.calls: only the laboratory plays a list of fixed capacity: use lab, or leave it out`},
		{[]string{"lab", "kill"}, 2, "", `the laboratory plays no "term"`},
		{[]string{"lab", "--set", "q=1"}, 2, "", `"q" is none of aim_part, divert`},
		{[]string{"lab", "--set", "divert=2"}, 2, "", "divert=2 is not a number from 0 to 1"},
		{[]string{"lab", "--grid", "h"}, 2, "", `"h" is not of the form figure=value,value`},
		{[]string{"lab", "--only"}, 2, "", "no setting is left"},
		{[]string{"lab", "--seeds", "0"}, 2, "", "0 is outside 1 to 100000"},
		{[]string{"judge", "/no/such/trace"}, 2, "", "no such file"},
		{[]string{"judge", tempFile(t, "t", "{\"trace\":77}\n")}, 2, "", "trace is 77, and should be 1"},
		{[]string{"rehearse", "calm", "--trace", "/no/such/folder/t"}, 2, "", "no such file"},
	} {
		status, out, errOut := runMain(t, c.args...)
		if status != c.status || !strings.Contains(out, c.out) || !strings.Contains(errOut, c.err) {
			t.Errorf("%q: status %d\n%s%s", c.args, status, out, errOut)
		}
		if c.err != "" && strings.Count(errOut, "\n") != 1 {
			t.Errorf("%q: error is not one line: %q", c.args, errOut)
		}
	}
}

// Judging a kept trace gives the same verdict, and a rehearsal leaves no files but the requested ones.
func TestJudgeReproducesRehearsalVerdict(t *testing.T) {
	t.Setenv("CRANEGLADE_TEST_CHILD", "1")
	t.Setenv("TMPDIR", t.TempDir())
	day := tempFile(t, "day.toml", "length = \"2s\"\n[nodes]\ncount = 2\n[traffic]\nrate = 40\n[[event]]\ndo = \"kill\"\nat = \"500ms\"\ndown = \"200ms\"\n")
	dir := t.TempDir()
	kept := filepath.Join(dir, "trace")
	status, out, errOut := runMain(t, "rehearse", day, "--seed", "5", "--trace", kept, "--html", filepath.Join(dir, "r.html"), "--json", filepath.Join(dir, "r.json"))
	if status != ExitOK && status != ExitInconclusive {
		t.Fatalf("status %d\n%s%s", status, out, errOut)
	}
	for _, want := range []string{"day, seed 5: 2 nodes, 11 boxes, 2s", "* kill node 1", "rule 4, no cold box pushed over:"} {
		if !strings.Contains(out, want) {
			t.Errorf("missing from the output: %q\n%s", want, out)
		}
	}
	again, text, _ := runMain(t, "judge", kept)
	if again != status || !strings.Contains(out, text) {
		t.Errorf("judge: status %d, want %d as in the rehearsal\n%s", again, status, text)
	}
	for _, f := range []string{"r.html", "r.json"} {
		if info, err := os.Stat(filepath.Join(dir, f)); err != nil || info.Size() < 1000 {
			t.Errorf("%s: %v", f, err)
		}
	}
	if left, _ := os.ReadDir(os.TempDir()); len(left) > 0 {
		t.Errorf("files left behind: %v", left)
	}
	// A node that fails to start ends the rehearsal with the node's last output.
	status, _, errOut = runMain(t, "rehearse", day, "-q", "--node=/bin/sh", "--node=-c", "--node=echo no such luck >&2; exit 7")
	if status != ExitFailure || !strings.Contains(errOut, "no such luck") {
		t.Errorf("node that fails to start: status %d, %s", status, errOut)
	}
}

// The laboratory compares settings, and its trace can be judged.
func TestLabSweepAndTrace(t *testing.T) {
	day := tempFile(t, "day.toml", "length = \"4s\"\n[[event]]\ndo = \"lose\"\nat = \"1s\"\nfor = \"2s\"\npart = 0.1\n")
	dir := t.TempDir()
	page, trace, beliefs := filepath.Join(dir, "lab.html"), filepath.Join(dir, "t"), filepath.Join(dir, "b")
	status, out, errOut := runMain(t, "lab", day, "--seeds", "2", "--grid", "h=3,6", "--set", "divert=0.8", "--html", page)
	if status != 0 || !strings.Contains(out, "in service") || !strings.Contains(out, "divert=0.8") || !strings.Contains(out, "h=6") {
		t.Errorf("status %d\n%s%s", status, out, errOut)
	}
	if text, err := os.ReadFile(page); err != nil || !bytes.Contains(text, []byte("h=6")) {
		t.Errorf("HTML page: %v", err)
	}
	if status, out, errOut = runMain(t, "lab", day, "--trace", trace, "--beliefs", beliefs); status != 0 {
		t.Errorf("status %d\n%s%s", status, out, errOut)
	}
	if status, out, _ = runMain(t, "judge", trace); status != 0 || strings.Count(out, " kept\n") != 4 {
		t.Errorf("judge: status %d\n%s", status, out)
	}
	if text, err := os.ReadFile(beliefs); err != nil || bytes.Count(text, []byte("\"TrueHeld\"")) < 3*11*4 {
		t.Errorf("beliefs: %d bytes, %v", len(text), err)
	}
}
