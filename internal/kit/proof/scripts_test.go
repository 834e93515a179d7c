package proof

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"craneglade/internal/kit/scenario"
)

var (
	scripts     = flag.Int("scripts", 0, "further seeded scripts of faults between processes to play")
	firstScript = flag.Uint64("script", 1, "the first of them")
)

// regressionSeeds are seeds of scripts that once broke a rule, with the cause.
var regressionSeeds = []uint64{
	193, // backends stayed ejected on peers' reports beyond the ceiling when others left the list: three of ten
}

// script returns a scenario of twelve nodes that share state, in three sites, with faults drawn from a seed: between nodes,
// between nodes and backends, at backends, of the list and of the processes themselves. One in four scenarios continues without
// faults for long enough that all nodes have to know of each other again.
func script(seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 12))
	length, latestEnd := 11.0, 9.0
	if seed%4 == 0 {
		length = 24
	}
	use := []string{`["escrow", "ejections"]`, `["quotas", "ejections"]`, `["escrow"]`}[rng.IntN(3)]
	var b strings.Builder
	fmt.Fprintf(&b, `length = "%.0fs"

[nodes]
count = 12
own = """
[fleet]
listen = "{peer}"
advertise = "{advertise}"
seeds = {seeds}
cluster = "proof"
key_file = "{key}"
audit = "{audit}"
use = %s
"""

[traffic]
rate = 80
quota_of_rate = 1.0
over_share_worth = 0.3

[[fleet]]
kind = "gen-a"
count = 9
`, length, use)
	sites := []string{"tacoma", "everett", "olympia"}
	site := func() string { return sites[rng.IntN(len(sites))] }
	direction := func() string { return []string{"both", "out", "in"}[rng.IntN(3)] }
	fraction := func(from, to float64) string { return fmt.Sprintf("part = %.2f", from+(to-from)*rng.Float64()) }
	events := []func() []string{ // each draws an event's name and its keys
		func() []string { return []string{"drop-words", fraction(0.1, 0.6)} },
		func() []string { return []string{"double-words", fraction(0.2, 1)} },
		func() []string { return []string{"spoil-words", fraction(0.1, 0.5)} },
		func() []string { return []string{"late-words", fmt.Sprintf("by = %.2f", 0.1+rng.Float64())} },
		func() []string {
			return []string{"cut-nodes", fraction(0.2, 0.6), fmt.Sprintf("way = %q", direction())}
		},
		func() []string {
			return []string{"cut-nodes", fmt.Sprintf("site = %q", site()), fmt.Sprintf("way = %q", direction())}
		},
		func() []string {
			return []string{"cut-links", fmt.Sprintf("site = %q", site()), fmt.Sprintf("way = %q", direction())}
		},
		func() []string { return []string{"cut-links"} },
		func() []string { return []string{"stall", fraction(0.1, 0.4)} },
		func() []string { return []string{"kill", fraction(0.1, 1)} },
		func() []string { return []string{"term", fraction(0.1, 0.3)} },
		func() []string { return []string{"vanish", fmt.Sprintf("boxes = %d", 1+rng.IntN(3))} },
		func() []string { return []string{"crash", fmt.Sprintf("boxes = %d", 1+rng.IntN(3))} },
		func() []string { return []string{"lose-site", fmt.Sprintf("site = %q", site())} },
		func() []string { return []string{"list-outage"} },
		func() []string { return []string{"list-outage", fmt.Sprintf("site = %q", site())} },
		func() []string { return []string{"greedy", "rate = 25"} },
		func() []string { return []string{"deploy", fraction(0.3, 0.8), "batch = 0.4", `over = "2s"`} },
	}
	deployed := false
	for range 3 + rng.IntN(4) {
		drawn := events[rng.IntN(len(events))]()
		do, keys := drawn[0], drawn[1:]
		if do == "deploy" && deployed {
			continue
		}
		at := 0.5 + 5*rng.Float64()
		duration := min(0.8+5*rng.Float64(), latestEnd-at)
		switch do {
		case "deploy":
			deployed = true
		case "kill", "term":
			keys = append(keys, fmt.Sprintf(`down = "%.1fs"`, 0.2+2*rng.Float64()))
		case "crash":
			keys = append(keys, `down = "1s"`)
		case "lose-site":
			keys = append(keys, fmt.Sprintf(`for = "%.1fs"`, max(2, duration)))
		default:
			keys = append(keys, fmt.Sprintf(`for = "%.1fs"`, duration))
		}
		fmt.Fprintf(&b, "\n[[event]]\ndo = %q\nat = \"%.1fs\"\n%s\n", do, at, strings.Join(keys, "\n"))
	}
	return b.String()
}

// Every script is a valid scenario, and depends on nothing but its seed.
func TestScriptsAreScenarios(t *testing.T) {
	for seed := uint64(1); seed <= 500; seed++ {
		text := script(seed)
		if _, err := scenario.Parse("script", []byte(text)); err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, text)
		}
		if text != script(seed) {
			t.Fatalf("seed %d gives two different scripts", seed)
		}
	}
}

// TestSharedScripts rehearses scripts with the daemon as it is: those that once broke a rule, and as many others as -scripts says
//
//	go test ./internal/kit/proof -run TestSharedScripts -scripts 200 -timeout 1h
func TestSharedScripts(t *testing.T) {
	if testing.Short() {
		t.Skip("rehearsals take seconds each")
	}
	dir := t.TempDir()
	craneglade := filepath.Join(dir, "craneglade")
	build(t, craneglade, "./cmd/craneglade")
	slots := make(chan struct{}, concurrency())
	all := slices.Clone(regressionSeeds)
	for i := range *scripts {
		all = append(all, *firstScript+uint64(i))
	}
	for _, seed := range all {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			file := filepath.Join(dir, fmt.Sprintf("script-%d.toml", seed))
			if err := os.WriteFile(file, []byte(script(seed)), 0o600); err != nil {
				t.Fatal(err)
			}
			p := rehearse(t, craneglade, file, int(seed), nil)
			checkSound(t, p)
			if p.report.Verdict.SharingRecords == 0 {
				t.Error("the nodes shared nothing")
			}
			t.Logf("| script %d | %d requests | %d rehearsals | failed: %v |", seed, p.report.Whole.Asked, p.plays, t.Failed())
		})
	}
}

// TestTwoVersions has every second node send packets of a later version of the peers' protocol, with an unknown field in each
// entry and entries of an unknown kind. The others must go on sharing state with them.
func TestTwoVersions(t *testing.T) {
	if testing.Short() {
		t.Skip("rehearsals take seconds each")
	}
	t.Parallel()
	dir := t.TempDir()
	current, later, mixed := filepath.Join(dir, "craneglade"), filepath.Join(dir, "later"), filepath.Join(dir, "some")
	build(t, current, "./cmd/craneglade")
	buildFaulty(t, fault{file: "internal/shared/packet/packet.go",
		old: `	b := varint(nil, fVersion, Version)
	for i := range entries {
		b = protowire.AppendBytes(protowire.AppendTag(b, fEntry, protowire.BytesType), entries[i].append(nil))`,
		new: `	b := varint(varint(nil, fVersion, Version+1), 99, 7)
	b = protowire.AppendBytes(protowire.AppendTag(b, fEntry, protowire.BytesType), varint(varint(nil, fKind, uint64(kindEnd)), 98, 7))
	for i := range entries {
		b = protowire.AppendBytes(protowire.AppendTag(b, fEntry, protowire.BytesType), varint(entries[i].append(nil), 97, 7))`}, later)
	text := fmt.Sprintf("#!/bin/sh\ncase \"$GW_NAME\" in\n*[02468]) exec %s \"$@\" ;;\n*) exec %s \"$@\" ;;\nesac\n", later, current)
	if err := os.WriteFile(mixed, []byte(text), 0o700); err != nil {
		t.Fatal(err)
	}
	file, err := filepath.Abs("testdata/shared.toml")
	if err != nil {
		t.Fatal(err)
	}
	for seed := 1; seed <= *seeds; seed++ {
		p := rehearse(t, current, file, seed, nil, mixed, "serve")
		checkSound(t, p)
		if p.report.Verdict.SharingRecords == 0 {
			t.Errorf("seed %d: the nodes shared nothing", seed)
		}
	}
}
