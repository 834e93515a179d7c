package policy

import "craneglade/internal/tuning"

// Tuning holds the parameters of the policy that simulations vary.
type Tuning = tuning.Parameters

// DefaultTuning returns the parameters that nodes run with.
func DefaultTuning() Tuning { return tuning.Default() }
