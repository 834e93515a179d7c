package subscriber_test

import (
	"flag"
	"testing"

	"craneglade/internal/controlplane/simulate"
	"craneglade/internal/controlplane/subscriber"
)

const faultSeeds = 20

var allSeeds = flag.Bool("allseeds", false, "play all seeds of each planted fault, for the table; otherwise until one names it")

// TestPlantedFaults: each fault is named by the check that is made for it, in some of 20 seeds. Run with -v -allseeds for the
// table.
func TestPlantedFaults(t *testing.T) {
	for name, check := range map[string]simulate.Check{
		"takes a snapshot behind what is in force":       simulate.CheckPosition,
		"takes a snapshot with a missing part":           simulate.CheckState,
		"compares no digests":                            simulate.CheckState,
		"moves by a heartbeat whatever its digest":       simulate.CheckState,
		"is fresh wherever the parent stands":            simulate.CheckAge,
		"keeps a silent parent":                          simulate.CheckStall,
		"keeps a source that is behind":                  simulate.CheckLag,
		"asks for nothing again":                         simulate.CheckConverged,
		"moves to a state that it refused":               simulate.CheckState,
		"keeps from the process what a snapshot deletes": simulate.CheckApplied,
	} {
		plant := subscriber.PlantedFaults[name]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			until := check
			if *allSeeds {
				until = ""
			}
			failed := simulate.FailedChecks(faultSeeds, until, func(seed uint64) simulate.Options {
				options := simulate.SmallOptions(seed)
				options.PlantSubscriber = plant
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
