package policy

import "craneglade/internal/tuning"

// Tuning are the figures that the laboratory varies.
type Tuning = tuning.Parameters

// Tuned are the figures in service.
func Tuned() Tuning { return tuning.Default() }
