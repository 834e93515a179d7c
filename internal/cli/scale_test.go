package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// runScale runs craneglade scale on a plan with the given text.
func runScale(t *testing.T, text string, args ...string) (status int, out, errOut string) {
	t.Helper()
	return runMain(t, append([]string{"scale", tempFile(t, "plan.toml", text)}, args...)...)
}

const scaleSizes = `[[step]]
nodes = 3
endpoints = 6
services = 2
routes = 2
tenants = 4
[[step]]
nodes = 6
endpoints = 12
services = 4
routes = 4
tenants = 8
[list]
sizes = [10]
`

func TestScaleErrorsAreOneLine(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		args []string
		want string
	}{
		"a wrong plan":     {"[fleet]\nzones = 0\n" + scaleSizes, nil, "plan.toml:2: fleet.zones: 0 is outside 1 to 100"},
		"too much memory":  {"[limits]\nmemory = \"20GiB\"\n" + scaleSizes, nil, "plan.toml:2: limits.memory: 20480 MiB is outside 1MiB to 12GiB"},
		"an unknown part":  {scaleSizes, []string{"--part", "mash"}, `--part: "mash" is none of list, mesh, control, faults`},
		"no processes":     {scaleSizes, []string{"--processes"}, "no [processes] table with hosts"},
		"a directory used": {scaleSizes, []string{"--steps", "USED"}, "holds steps of an earlier run"},
	} {
		t.Run(name, func(t *testing.T) {
			steps := t.TempDir()
			if err := os.WriteFile(filepath.Join(steps, "step-list-000010.json"), []byte("{}"), 0o600); err != nil {
				t.Fatal(err)
			}
			for i, arg := range c.args {
				if arg == "USED" {
					c.args[i] = steps
				}
			}
			status, _, errOut := runScale(t, c.text, c.args...)
			if status != ExitUsage || !strings.Contains(errOut, c.want) || strings.Count(errOut, "\n") != 1 {
				t.Errorf("status %d, %q; want %d and one line with %q", status, errOut, ExitUsage, c.want)
			}
		})
	}
}

func TestScaleWritesReports(t *testing.T) {
	dir := t.TempDir()
	json, page := filepath.Join(dir, "out.json"), filepath.Join(dir, "out.html")
	status, out, errOut := runScale(t, scaleSizes, "--part", "list", "--steps", filepath.Join(dir, "steps"), "--json", json, "--html", page, "-q")
	if status != ExitOK || !strings.Contains(out, "bytes of a full list") || errOut != "" {
		t.Errorf("status %d\n%s\n%s", status, out, errOut)
	}
	for path, want := range map[string]string{json: `"mechanism": "endpoint list"`, page: "<!doctype html>", filepath.Join(dir, "steps", "step-list-000010.json"): `"bytes of a full list"`} {
		if text, err := os.ReadFile(path); err != nil || !strings.Contains(string(text), want) {
			t.Errorf("%s: %v, or missing %q", filepath.Base(path), err, want)
		}
	}
	if status, out, _ := runScale(t, scaleSizes, "--check"); status != ExitOK || !strings.Contains(out, "6 nodes, 12 endpoints") {
		t.Errorf("--check: status %d\n%s", status, out)
	}
}
