package lab

import (
	"testing"

	"craneglade/internal/kit/scenario"
	config "craneglade/internal/settings"
	"craneglade/internal/sites"
	"craneglade/policy"
)

// Plays the scenario "site-lost" with its site plan and without. Nodes that watch sites have to send far fewer attempts to
// the lost site, report its loss once, serve as much utility in time, and keep the rules.
func TestSitePlanAfterSiteLoss(t *testing.T) {
	s, err := scenario.Load("site-lost")
	if err != nil {
		t.Fatal(err)
	}
	own, err := config.Parse("nodes.own", []byte(s.Nodes.Settings))
	if err != nil {
		t.Fatal(err)
	}
	var toLostSite, share [2]float64
	for seed := uint64(1); seed <= 3; seed++ {
		lost, notes := map[string]int{}, map[string][]any{}
		note := func(node string, n sites.Note) {
			notes[node] = append(notes[node], n.Args)
			if len(n.Args) > 5 && n.Args[5] == sites.Lost.String() {
				lost[node]++
			}
		}
		for i, set := range []Setting{{Tuning: policy.DefaultTuning()}, {Tuning: policy.DefaultTuning(), Sites: &Siting{Plan: own.Sites.Plan, Note: note}}} {
			d, err := playSetting("site-lost", s, seed, set)
			if err != nil {
				t.Fatal(err)
			}
			if d.Broken != "" {
				t.Errorf("seed %d: %s", seed, d.Broken)
			}
			toLostSite[i] += d.Counts.AttemptsToIsolated / 3
			share[i] += d.Share / 3
		}
		for node, n := range lost {
			if n != 1 {
				t.Errorf("seed %d: node %s reported a lost site %d times: %v", seed, node, n, notes[node])
			}
		}
		if len(lost) != s.Nodes.Count {
			t.Errorf("seed %d: %d of %d nodes reported the loss", seed, len(lost), s.Nodes.Count)
		}
	}
	t.Logf("attempts at the lost site %.0f, with the plan %.0f; worth in time %.3f and %.3f", toLostSite[0], toLostSite[1], share[0], share[1])
	if toLostSite[1] > 0.75*toLostSite[0] || share[1] < share[0]-0.01 {
		t.Error("the plan saves too few attempts or costs utility in time")
	}
}
