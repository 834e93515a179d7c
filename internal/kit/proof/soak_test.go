package proof

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"craneglade/internal/kit/processfaults"
	"craneglade/internal/kit/report"
	"craneglade/internal/kit/trace"
)

var (
	soakSeeds     = flag.Int("soak", 4, "seeds of the soak to play")
	soakFirstSeed = flag.Int("soak-first", 1, "the first of them")
	soakDaemon    = flag.String("soak-daemon", "", "the program to play it with, linked against the C library; this source's where none is named")
)

// Bounds of the specification: how late an answer of no utility may be, for how long a process may be stalled, and how much longer
// than the longest deadline SIGKILL follows SIGTERM.
const (
	lateAnswerSlack = 500 * time.Millisecond
	maxStall        = 150 * time.Millisecond
	killSlack       = 700 * time.Millisecond
)

// TestSoak rehearses restarts of all nodes of a small fleet under faults drawn from a seed: repeated signals and the earliest
// allowed SIGKILL, clients that use open connections until then, backends that hang, drain, crash, reset connections and return
// garbage, stalled processes, steps of the wall clock, failing system calls, list outages, malformed requests, and clients whose
// idle connections use up the nodes' sockets. No rule may break. CI plays a few seeds; by hand
//
//	go test ./internal/kit/proof -run TestSoak -count=1 -v -timeout 1h -soak 50
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("rehearsals take seconds each")
	}
	dir := t.TempDir()
	craneglade, daemon := filepath.Join(dir, "craneglade"), filepath.Join(dir, "daemon")
	build(t, craneglade, "./cmd/craneglade")
	if *soakDaemon != "" {
		daemon = *soakDaemon
	} else {
		build(t, daemon, "./cmd/craneglade", "-ldflags=-linkmode=external")
	}
	slots := make(chan struct{}, concurrency())
	for seed := *soakFirstSeed; seed < *soakFirstSeed+*soakSeeds; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			soak(t, craneglade, daemon, seed)
		})
	}
}

// soak plays one seed.
func soak(t *testing.T, craneglade, daemon string, seed int) {
	t.Helper()
	faults, err := processfaults.New(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "soak.toml")
	if err := os.WriteFile(file, []byte(soakScenario(uint64(seed))), 0o600); err != nil {
		t.Fatal(err)
	}
	stop, stopped := make(chan struct{}), make(chan error, 1)
	go func() { stopped <- injectProcessFaults(faults, uint64(seed), stop) }()
	// As in deploy/balancer.toml, SIGHUP is ignored until the program handles it.
	node := append([]string{"sh", "-c", `trap "" HUP; exec env "$@"`, "sh"}, append(faults.Environment(), daemon, "serve")...)
	p := rehearse(t, craneglade, file, seed, nil, node...)
	close(stop)
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
	rep := judgeSoak(t, filepath.Join(p.logs, "trace"))
	for _, x := range rep.Verdict.Violations {
		t.Errorf("seed %d: %s", seed, rep.Line(x))
	}
	for _, x := range rep.Verdict.Undecided {
		t.Logf("seed %d, undecided: %s", seed, rep.Line(x))
	}
	if t.Failed() {
		keepEvidence(t, p.logs, file, seed)
	}
	t.Logf("| seed %d | %d requests | %.1f%% of the worth in time | %d undecided | kit late p99 %d us | rehearsals %d |", seed, rep.Whole.Asked,
		100*rep.Whole.Share, len(rep.Verdict.Undecided), rep.Verdict.LateP99, p.plays)
}

// keepEvidence copies a failed rehearsal's trace, logs and scenario to a folder that outlives the test.
func keepEvidence(t *testing.T, logs, scenario string, seed int) {
	t.Helper()
	to, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.CopyFS(filepath.Join(to, "logs"), os.DirFS(logs)); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(scenario)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(to, "soak.toml"), text, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Logf("kept in %s", to)
}

// judgeSoak judges a trace with lateAnswerSlack in place of its own slack: a node that was stalled may answer late, for no utility.
func judgeSoak(t *testing.T, file string) *report.Report {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	first, rest, _ := bytes.Cut(text, []byte("\n"))
	var head trace.Head
	if err := json.Unmarshal(first, &head); err != nil {
		t.Fatal(err)
	}
	head.Rules.AnswerSlack = lateAnswerSlack.Microseconds()
	if first, err = json.Marshal(head); err != nil {
		t.Fatal(err)
	}
	rep, err := report.Read(bytes.NewReader(append(append(first, '\n'), rest...)))
	if err != nil {
		t.Fatal(err)
	}
	return rep
}

// injectProcessFaults steps the processes' wall clocks and makes their system calls fail, at times drawn from a seed, until stop is
// closed.
func injectProcessFaults(faults *processfaults.Faults, seed uint64, stop <-chan struct{}) error {
	rng := rand.New(rand.NewPCG(seed, 2))
	clocks := []time.Duration{0, time.Second, -time.Second, 3 * time.Second, -5 * time.Second, time.Hour, -time.Hour}
	type failing struct {
		call   int
		errnos []syscall.Errno
	}
	calls := []failing{
		{unix.SYS_ACCEPT4, []syscall.Errno{unix.ECONNABORTED, unix.ENFILE, unix.ENOBUFS, unix.ENETUNREACH}},
		{unix.SYS_SOCKET, []syscall.Errno{unix.ENFILE, unix.ENOBUFS}},
		{unix.SYS_CONNECT, []syscall.Errno{unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENOBUFS}},
		{unix.SYS_RECVFROM, []syscall.Errno{unix.EINTR}},
		{unix.SYS_EPOLL_PWAIT, []syscall.Errno{unix.EINTR}},
	}
	for {
		select {
		case <-stop:
			return nil
		case <-time.After(time.Duration(100+rng.IntN(400)) * time.Millisecond):
		}
		if rng.IntN(3) == 0 {
			if err := faults.SetClock(clocks[rng.IntN(len(clocks))]); err != nil {
				return err
			}
			continue
		}
		c := calls[rng.IntN(len(calls))]
		if err := faults.Fail(c.call, c.errnos[rng.IntN(len(c.errnos))], 1+rng.IntN(4)); err != nil {
			return err
		}
	}
}

// soakWriter writes a scenario from a seed.
type soakWriter struct {
	rng  *rand.Rand
	text strings.Builder
}

func (d *soakWriter) line(format string, args ...any) { fmt.Fprintf(&d.text, format+"\n", args...) }

// between draws a duration, in whole milliseconds.
func (d *soakWriter) between(shortest, longest time.Duration) time.Duration {
	return (shortest + time.Duration(d.rng.Int64N(int64(longest-shortest)))).Round(time.Millisecond)
}

// chance returns true with a probability.
func (d *soakWriter) chance(probability float64) bool { return d.rng.Float64() < probability }

// event writes an event with its time and further keys.
func (d *soakWriter) event(do string, at time.Duration, keys ...string) {
	d.line("[[event]]\ndo = %q\nat = %q\n%s\n", do, at.Round(time.Millisecond), strings.Join(keys, "\n"))
}

// forKey returns an event's key "for" with a duration.
func forKey(d time.Duration) string { return fmt.Sprintf("for = %q", d.Round(time.Millisecond)) }

// soakScenario returns the scenario of a seed.
func soakScenario(seed uint64) string {
	d := &soakWriter{rng: rand.New(rand.NewPCG(seed, 1))}
	const backends = 9
	nodes := 2 + d.rng.IntN(3)
	idleClients := d.chance(0.3)
	longestDeadline := d.between(500*time.Millisecond, 3500*time.Millisecond)
	length := 6*time.Second + min(longestDeadline, 3*time.Second)
	d.line("title = \"Soak\"\nlength = %q\n", length)
	d.line("[nodes]\ncount = %d", nodes)
	if idleClients {
		d.line("sockets = 160")
	}
	d.line("\n[traffic]\nrate = %d\n\n[list]\nlag = \"200ms\"\nadd = \"200ms\"", 30+d.rng.IntN(60))
	if d.chance(0.25) {
		d.line("mode = \"ask\"")
	}
	d.line("\n[connections]\nidle = %q\n", d.between(500*time.Millisecond, 5*time.Second))
	d.line("[clients]\nretries = 1\nimpatient = 0.05\nchunked = 0.1")
	if idleClients {
		d.line("ask_once = 0.3")
	}
	d.line("\n[rules]\ndrain_grace = \"1s\"\n\n[[kind]]\nname = \"k\"\ncold = \"4s\"\ncold_from = 0.4\nerrors = 0.01\n\n[[fleet]]\nkind = \"k\"\ncount = %d\n", backends)
	d.line("[[site]]\nname = \"tacoma\"\n")
	for _, c := range []struct {
		name, effect, more string
		part               float64 // fraction of the longest deadline
	}{{"save", "keyed", "group = \"all\"\nwindow = \"400ms\"\n", 0.6}, {"quote", "unsafe", "", 1}, {"view", "safe", "", 0.4}} {
		deadline := time.Duration(float64(longestDeadline) * c.part)
		d.line("[[class]]\nname = %q\nshare = 0.33\nwork = \"15ms\"\naim = %q\ndeadline = %q\nworth = 2\neffect = %q\n%s", c.name,
			(deadline / 3).Round(time.Millisecond), deadline.Round(time.Millisecond), c.effect, c.more)
	}
	d.restarts(nodes, backends, longestDeadline, length)
	d.otherFaults(length)
	return d.text.String()
}

// restarts writes events that send SIGTERM and SIGHUP to one node after another, some more than once, while some of the backends
// don't answer some or all requests. Nodes are stalled as they get SIGTERM, between it and SIGKILL, or across SIGKILL.
func (d *soakWriter) restarts(nodes, backends int, longestDeadline, length time.Duration) {
	killDelay := min(longestDeadline, 3*time.Second) + killSlack
	at := d.between(time.Second, 1500*time.Millisecond)
	duration := forKey(length - at - 500*time.Millisecond)
	if d.chance(0.3) {
		d.event("vanish", at-200*time.Millisecond, duration, fmt.Sprint("boxes = ", backends/4+d.rng.IntN(backends/4)))
	} else {
		d.event("lose", at-200*time.Millisecond, duration, fmt.Sprint("boxes = ", backends/3+d.rng.IntN(backends/3)), fmt.Sprintf("part = %.1f", 0.3+0.4*d.rng.Float64()))
	}
	for n := 1; n <= nodes; n++ {
		node := fmt.Sprint("node = ", n)
		stall := forKey(maxStall - 10*time.Millisecond) // leaves 10 ms for stalls by this machine
		switch d.rng.IntN(3) {
		case 0:
			d.event("stall", at-5*time.Millisecond, stall, node)
		case 1:
			d.event("stall", at+killDelay-maxStall+10*time.Millisecond, forKey(2*maxStall), node) // killed while stalled
		case 2:
			d.event("stall", at+d.between(100*time.Millisecond, killDelay-300*time.Millisecond), stall, node)
		}
		if d.chance(0.5) {
			d.event("reload", at-d.between(10*time.Millisecond, 300*time.Millisecond), node)
		}
		d.event("term", at, node, "down = \"200ms\"")
		if d.chance(0.5) {
			d.event("term", at+d.between(10*time.Millisecond, 400*time.Millisecond), node, "down = \"200ms\"")
		}
		if d.chance(0.5) {
			d.event("reload", at+d.between(10*time.Millisecond, 400*time.Millisecond), node)
		}
		at += d.between(200*time.Millisecond, 1200*time.Millisecond)
	}
}

// otherFaults writes events of stalls, reloads, backends, the list and clients.
func (d *soakWriter) otherFaults(length time.Duration) {
	anywhere := func() time.Duration { return d.between(500*time.Millisecond, length-2*time.Second) }
	for range d.rng.IntN(4) {
		d.event("stall", anywhere(), forKey(d.between(20*time.Millisecond, maxStall-10*time.Millisecond)), "part = 1.0")
	}
	if d.chance(0.4) { // several reloads in quick succession
		at := anywhere()
		for range 3 {
			d.event("reload", at)
			at += d.between(20*time.Millisecond, 400*time.Millisecond)
		}
	}
	if d.chance(0.7) {
		d.event("deploy", d.between(500*time.Millisecond, 2*time.Second), "over = \"1500ms\"", "part = 0.3", "drain = \"2s\"")
	}
	if d.chance(0.5) {
		d.event("reset", anywhere(), forKey(2*time.Second), "part = 0.05")
	}
	if d.chance(0.4) {
		d.event("spoil", anywhere(), forKey(2*time.Second), "part = 0.05")
	}
	if d.chance(0.4) {
		d.event("list-outage", anywhere(), forKey(d.between(300*time.Millisecond, 4*time.Second)))
	}
	if d.chance(0.3) {
		d.event("crash", anywhere(), "boxes = 1", "down = \"500ms\"")
	}
	if d.chance(0.5) {
		d.event("bad-clients", anywhere(), forKey(2*time.Second), "rate = 5")
	}
}
