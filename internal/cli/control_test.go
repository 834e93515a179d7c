package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"craneglade/internal/controlnet"
	"craneglade/internal/controlplane/subscriber"
)

// controlFile writes the configuration of a single writer, with its paths in folder.
func controlFile(t *testing.T, folder string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	key := writeFile(t, folder, "key", "000102030405060708090a0b0c0d0e0f\n")
	return writeFile(t, folder, "control.toml", fmt.Sprintf("role = \"writer\"\nname = \"w\"\nregion = \"north\"\nlisten = %q\nsocket = %q\ncluster = \"c\"\nkey_file = %q\nstate = %q\n",
		ln.Addr(), filepath.Join(folder, "w.sock"), key, folder))
}

func TestControlCommands(t *testing.T) {
	folder := t.TempDir()
	file := controlFile(t, folder)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- controlRunCmd{Config: file}.Run(ctx, &app{out: io.Discard, err: io.Discard, getenv: os.Getenv})
	}()
	defer func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}()
	run := func(args ...string) (int, string, string) {
		var out, errOut strings.Builder
		status := Main(append([]string{"control"}, args...), os.Getenv, &out, &errOut)
		return status, out.String(), errOut.String()
	}
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if status, _, _ := run("status", "--config", file); status == ExitOK {
			break
		}
		if time.Now().After(end) {
			t.Fatal("control process did not respond")
		}
	}
	text := "[[service]]\nname = \"a\"\nregion = \"north\"\ndrain_grace = \"2s\"\nmax_attempts = 3\n[[tenant]]\nservice = \"a\"\nname = \"t\"\nquota = 2.5\n"
	changes := writeFile(t, folder, "changes.toml", text)
	if status, out, errOut := run("apply", "--config", file, changes); status != ExitOK || out != "applied: position 1.1\n" {
		t.Errorf("apply: %d %q %q", status, out, errOut)
	}
	if status, out, errOut := run("get", "--socket", filepath.Join(folder, "w.sock"), "a", "tenant", "t"); status != ExitOK || !strings.Contains(out, "\n      \"quota\": 2.5\n") {
		t.Errorf("get: %d %q %q", status, out, errOut)
	}
	if status, out, errOut := run("status", "--config", file); status != ExitOK || !strings.Contains(out, "north  writer, epoch 1  1.1") {
		t.Errorf("status: %d %q %q", status, out, errOut)
	}
	if status, out, errOut := run("status", "--json", "--config", file); status != ExitOK || !strings.HasPrefix(out, `{"name":"w","role":"writer","logs":[{"region":"north","writer":"w","own":true,`) {
		t.Errorf("status --json: %d %q %q", status, out, errOut)
	}
	for _, x := range []struct {
		want string
		args []string
	}{
		{`tenant "t" of service "b"`, []string{"apply", "--config", file, writeFile(t, folder, "other.toml", strings.Replace(text, "service = \"a\"", "service = \"b\"", 1))}},
		{"bad.toml:9: tenant.quotas: no such key", []string{"apply", "--config", file, writeFile(t, folder, "bad.toml", strings.Replace(text, "quota", "quotas", 1))}},
		{"say where the process answers", []string{"status"}},
		{"no process of the control plane answers on", []string{"status", "--socket", filepath.Join(folder, "nobody")}},
		{`kind: "box"; service, endpoint, route or tenant`, []string{"get", "--config", file, "a", "box"}},
		{`this process has no log of region "south"`, []string{"get", "--config", file, "--region", "south"}},
		{"no such file", []string{"apply", "--config", file, filepath.Join(folder, "none.toml")}},
		{"listen: listen tcp", []string{"run", "--config", file}},
	} {
		status, _, errOut := run(x.args...)
		if status == ExitOK || !strings.Contains(errOut, x.want) || strings.Count(errOut, "\n") != 1 {
			t.Errorf("%q: %d %q, want %s", x.args, status, errOut, x.want)
		}
	}
}

func TestCheckControl(t *testing.T) {
	folder := t.TempDir()
	good := controlFile(t, folder)
	bad := writeFile(t, folder, "bad.toml", "role = \"writer\"\nrole2 = 1\n")
	for _, x := range []struct {
		file, want string
		status     int
	}{{good, good + ": good\n", ExitOK}, {bad, "craneglade: " + bad + ":2: role2: no such key; did you mean role?\n", ExitUsage}} {
		var out strings.Builder
		if status := Main([]string{"check", "--control", x.file}, os.Getenv, &out, &out); status != x.status || out.String() != x.want {
			t.Errorf("%s: %d %q, want %q", x.file, status, out.String(), x.want)
		}
	}
}

func writeFile(t *testing.T, folder, name, text string) string {
	t.Helper()
	path := filepath.Join(folder, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestControlStatusTable(t *testing.T) {
	var out strings.Builder
	err := printControlStatus(&out, &controlnet.DaemonStatus{
		Logs: []controlnet.LogStatus{{Region: "north", Writer: "w2", Epoch: 4, Position: "4.9", AgeMS: 1240, Resources: 3},
			{Region: "south", Position: "1.2", Source: "s1", Refused: "no", Counts: &subscriber.Counts{}}, {Region: "east", Failure: "disk full", Position: "-"}},
		Subscribers: []controlnet.SessionStatus{{Name: "n1", Region: "north", Position: "4.9", State: "current"}, {Name: "n2", Region: "north", Position: "-", State: "current", Standby: true}}})
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"north  member, epoch 4  4.9       1.2s  3          w2    -", "south  replica          1.2       0s    0          s1    no",
		"east   out: disk full", "n1          north  4.9       current  -", "n2          north  -         standby  -"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("missing %q in\n%s", want, out.String())
		}
	}
}
