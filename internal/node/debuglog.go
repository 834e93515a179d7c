package node

import (
	"context"
	"log/slog"
	"time"

	"craneglade/policy"

	"craneglade/internal/timing"
)

// beliefLogInterval is how often the policy's estimates of the backends are logged at debug level.
const beliefLogInterval = time.Second

// logBeliefs logs the policy's estimates of each backend once a second until ctx ends, one line for each backend, so that they can
// be compared with the true values of that second.
func (n *node) logBeliefs(ctx context.Context) {
	timing.Every(ctx, beliefLogInterval, func() {
		ids, all := n.engine.Beliefs()
		for i := range all {
			n.log.LogAttrs(ctx, slog.LevelDebug, "belief", slog.String("backend", ids[i]), slog.Any("of", belief(all[i])))
		}
	})
}

// belief is a policy.Belief that is logged as a group.
type belief policy.Belief

func (x belief) LogValue() slog.Value {
	return slog.GroupValue(slog.String("mode", x.Mode), slog.Float64("held", x.Held), slog.Float64("own", x.Own),
		slog.Float64("h", x.H), slog.Float64("r", x.R), slog.Float64("q", x.Q), slog.Float64("service_s", x.Service),
		slog.Float64("bad", x.Bad), slog.Bool("wide", x.Wide), slog.Bool("ejected", x.Ejected), slog.Float64("ramp", x.Ramp),
		slog.Duration("report_of", x.ReportOf))
}
