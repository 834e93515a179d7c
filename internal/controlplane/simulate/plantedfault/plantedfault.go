// Package plantedfault is for tests of the control plane's packages: it shows that a fault which a test plants is named by
// the check that is made for it.
package plantedfault

import (
	"flag"
	"testing"

	"craneglade/internal/controlplane/simulate"
)

// Seeds is how many scripts are played with each fault at the most.
const Seeds = 20

var allSeeds = flag.Bool("allseeds", false, "play all seeds of each planted fault, for the table; otherwise until one names it")

// Check plays scripts with a fault that options plants, and fails the test where no seed has the check name it. With
// -allseeds it logs how many do.
func Check(t *testing.T, check simulate.Check, options func(seed uint64) simulate.Options) {
	t.Helper()
	until := check
	if *allSeeds {
		until = ""
	}
	failed := simulate.FailedChecks(Seeds, until, options)
	if *allSeeds {
		t.Logf("of %d seeds %d name it by %q; all: %v", Seeds, failed[check], check, failed)
	}
	if failed[check] == 0 {
		t.Errorf("no seed of %d names it by %q: %v", Seeds, check, failed)
	}
}
