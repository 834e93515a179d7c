package lab

import (
	"testing"
	"time"

	"craneglade/internal/kit/scenario"
	"craneglade/internal/shared"
	"craneglade/policy"
)

// Nodes that share their counts have to keep a greedy tenant to its quota, even if the network loses datagrams. The same
// seed gives the same figures.
func TestSharedQuotas(t *testing.T) {
	s := load(t, "calm", func(s *scenario.Scenario) {
		s.Length = scenario.Duration(14 * time.Second)
		s.Nodes.Count = 6
		s.Traffic.QuotaFactor, s.Traffic.OverQuotaUtility, s.Traffic.Rate = 1, 0.2, 300
		s.Events = []scenario.Event{{Action: "greedy", At: scenario.Duration(3 * time.Second), Lasts: scenario.Duration(10 * time.Second), Rate: 200},
			{Action: "kill", At: scenario.Duration(6 * time.Second), Node: 2, Down: scenario.Duration(time.Second)}}
	})
	alone, together := 0.0, 0.0
	for seed := range uint64(3) {
		a, err := playSetting("greedy", s, seed, Setting{Tuning: policy.DefaultTuning()})
		if err != nil {
			t.Fatal(err)
		}
		set := Setting{Tuning: policy.DefaultTuning(), Share: &Sharing{Use: shared.Features{Quotas: true, Ejections: true}, Loss: 0.2, BytesPS: 64 << 10}}
		b, err := playSetting("greedy", s, seed, set)
		if err != nil {
			t.Fatal(err)
		}
		alone, together = alone+a.Figure/3, together+b.Figure/3
		if b.Broken != "" || b.Counts.SharedBytesPerNodeSecond == 0 || b.Counts.SharedBytesPerNodeSecond > 64<<10 {
			t.Errorf("seed %d: %s; %.0f bytes per node and second", seed, b.Broken, b.Counts.SharedBytesPerNodeSecond)
		}
		if seed > 0 {
			continue
		}
		if again, err := playSetting("greedy", s, seed, set); err != nil || again.Figure != b.Figure || again.Counts.SharedBytesPerNodeSecond != b.Counts.SharedBytesPerNodeSecond {
			t.Errorf("a second play differs: %v and %v, %v", again.Figure, b.Figure, err)
		}
	}
	if together < alone {
		t.Errorf("figure %.3f with shared state and %.3f without", together, alone)
	}
	t.Logf("figure %.3f and %.3f", together, alone)
}
