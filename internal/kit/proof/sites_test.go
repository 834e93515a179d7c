package proof

import (
	"bufio"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var sitesAll = flag.Bool("sites", false, "play the shipped days on which sites are lost or cut off; without it one short day")

// siteScenarios are shipped scenarios, with the number of times that each node has to find a site lost at least.
var siteScenarios = []struct {
	name string
	lost int
}{{"site-lost", 1}, {"site-cut", 0}, {"links-only", 0}, {"site-flaps", 2}, {"site-returns-cold", 1}, {"site-lost-in-release", 1}}

// TestSiteLoss rehearses the loss of sites with a plan for it, with the daemon as it is: the rules are kept, every node detects
// the loss, and requests are refused in the plan's order.
func TestSiteLoss(t *testing.T) {
	if testing.Short() {
		t.Skip("rehearsals take seconds each")
	}
	t.Parallel()
	dir := t.TempDir()
	craneglade := filepath.Join(dir, "craneglade")
	build(t, craneglade, "./cmd/craneglade")
	file, err := filepath.Abs("testdata/sites.toml")
	if err != nil {
		t.Fatal(err)
	}
	if !*sitesAll {
		playSiteLoss(t, craneglade, file, 1, 1)
		return
	}
	slots := make(chan struct{}, concurrency())
	for _, d := range siteScenarios {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			for seed := 1; seed <= *seeds; seed++ {
				func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					playSiteLoss(t, craneglade, d.name, seed, d.lost)
				}()
			}
			t.Logf("| %s | %d seeds | failed: %v |", d.name, *seeds, t.Failed())
		})
	}
}

// playSiteLoss plays one scenario in which each node has to find a site lost at least lost times.
func playSiteLoss(t *testing.T, craneglade, scenario string, seed, lost int) {
	t.Helper()
	p := rehearse(t, craneglade, scenario, seed, nil)
	checkSound(t, p)
	for _, n := range p.report.Nodes {
		found := 0
		for _, c := range siteStates(t, filepath.Join(p.logs, n.Name+".log")) {
			if c.is == "lost" {
				found++
			}
		}
		if found < lost {
			t.Errorf("%s, seed %d: node %s found a site lost %d times, want at least %d", p.report.Scenario, seed, n.Name, found, lost)
		}
	}
	// A save-config request has five times the utility of a send-quote request that takes the same work.
	refused := map[string]float64{}
	for _, c := range p.report.Classes {
		refused[c.Name] = float64(c.Refused) / float64(max(1, c.Asked))
	}
	if refused["save-config"] > 0.01 && refused["send-quote"] < refused["save-config"] { // refusals of 1% or less are not due to the plan
		t.Errorf("%s, seed %d: refused %v, though the plan refuses send-quote first", p.report.Scenario, seed, refused)
	}
	t.Logf("%s, seed %d: %.1f%% of the worth in time, refused %v", p.report.Scenario, seed, 100*p.report.Whole.Share, refused)
}

type siteState struct {
	at       time.Time
	site, is string
}

// siteStates reads the changes of sites' states from a node's log.
func siteStates(t *testing.T, path string) (out []siteState) {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	in := bufio.NewScanner(f)
	for in.Scan() {
		if !strings.Contains(in.Text(), `msg="a site stands anew"`) {
			continue
		}
		var s siteState
		for _, w := range strings.Fields(strings.ReplaceAll(in.Text(), `"in doubt"`, "doubt")) {
			switch k, v, _ := strings.Cut(w, "="); k {
			case "time":
				s.at, _ = time.Parse(time.RFC3339Nano, v)
			case "site":
				s.site = v
			case "is":
				s.is = v
			}
		}
		out = append(out, s)
	}
	return out
}
