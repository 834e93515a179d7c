package publisher_test

import (
	"testing"

	"craneglade/internal/controlplane/publisher"
	"craneglade/internal/controlplane/simulate"
	"craneglade/internal/controlplane/simulate/plantedfault"
)

// TestPlantedFaults: each fault is named by the check that is made for it, in some of 20 seeds. Run with -v -allseeds for the
// table.
func TestPlantedFaults(t *testing.T) {
	for name, check := range map[string]simulate.Check{
		"a change misses every other session":        simulate.CheckConverged,
		"snapshots are started for everybody":        simulate.CheckSnapshots,
		"a subscriber is current wherever it stands": simulate.CheckState,
		"deltas hold no deletions":                   simulate.CheckQuiet,
	} {
		plant := publisher.PlantedFaults[name]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plantedfault.Check(t, check, func(seed uint64) simulate.Options {
				options := simulate.SmallOptions(seed)
				options.PlantPublisher = plant
				return options
			})
		})
	}
}
