// Package plantedfault is for tests of the control plane's packages. It shows that a planted fault is detected by the check
// made for it.
package plantedfault

import (
	"flag"
	"testing"

	"craneglade/internal/controlplane/simulate"
)

// Seeds is the maximum number of scripts run with each fault.
const Seeds = 20

var allSeeds = flag.Bool("allseeds", false, "run all seeds of each planted fault and log the counts; otherwise stop at the first seed that detects it")

// Check runs scripts with a fault planted by options, and fails the test if the check fails for no seed. With -allseeds it
// runs all seeds and logs for how many the check fails.
func Check(t *testing.T, check simulate.Check, options func(seed uint64) simulate.Options) {
	t.Helper()
	stopAt := check
	if *allSeeds {
		stopAt = ""
	}
	failed := simulate.FailedChecks(Seeds, stopAt, options)
	if *allSeeds {
		t.Logf("of %d seeds %d name it by %q; all: %v", Seeds, failed[check], check, failed)
	}
	if failed[check] == 0 {
		t.Errorf("no seed of %d names it by %q: %v", Seeds, check, failed)
	}
}
