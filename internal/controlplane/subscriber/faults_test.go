package subscriber_test

import (
	"testing"

	"craneglade/internal/controlplane/simulate"
	"craneglade/internal/controlplane/simulate/plantedfault"
	"craneglade/internal/controlplane/subscriber"
)

// TestPlantedFaults plants each fault and expects the check made for it to fail in at least one of 20 seeds. Run with -v
// -allseeds for the counts by check.
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
			plantedfault.Check(t, check, func(seed uint64) simulate.Options {
				options := simulate.SmallOptions(seed)
				options.PlantSubscriber = plant
				return options
			})
		})
	}
}
