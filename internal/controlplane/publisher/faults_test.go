package publisher_test

import (
	"flag"
	"testing"

	"craneglade/internal/controlplane/publisher"
	"craneglade/internal/controlplane/simulate"
)

const faultSeeds = 20

var allSeeds = flag.Bool("allseeds", false, "play all seeds of each planted fault, for the table; otherwise until one names it")

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
			until := check
			if *allSeeds {
				until = ""
			}
			failed := simulate.FailedChecks(faultSeeds, until, func(seed uint64) simulate.Options {
				options := simulate.SmallOptions(seed)
				options.PlantPublisher = plant
				return options
			})
			if *allSeeds {
				t.Logf("of %d seeds %d name it by %q; all: %v", faultSeeds, failed[check], check, failed)
			}
			if failed[check] == 0 {
				t.Errorf("no seed of %d names it by %q: %v", faultSeeds, check, failed)
			}
		})
	}
}
