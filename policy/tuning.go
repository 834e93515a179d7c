package policy

import "craneglade/internal/tuning"

// Tuning are the figures that the laboratory varies.
type Tuning = tuning.Figures

// DefaultTuning are the figures in service.
func DefaultTuning() Tuning { return tuning.InService() }
