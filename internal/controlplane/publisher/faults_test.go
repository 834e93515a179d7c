package publisher_test

import (
	"testing"

	"craneglade/internal/controlplane/publisher"
	"craneglade/internal/controlplane/simulate"
	"craneglade/internal/controlplane/simulate/plantedfault"
)

// TestPlantedFaults plants each fault and expects the check made for it to fail in at least one of 20 seeds. Run with -v
// -allseeds for the counts by check.
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
