package node

import (
	"context"
	"log/slog"
	"time"

	"craneglade/policy"

	"craneglade/internal/timing"
)

// beliefEvery is how often the debug log tells what is believed of the backends.
const beliefEvery = time.Second

// beliefs logs, while the log takes debug lines, what the policy believes of each backend: one line each, so that a
// second of the log can be laid beside what was true in it. It returns when ctx ends.
func (n *node) beliefs(ctx context.Context) {
	timing.Every(ctx, beliefEvery, func() {
		ids, all := n.engine.Beliefs()
		for i := range all {
			n.log.LogAttrs(ctx, slog.LevelDebug, "belief", slog.String("backend", ids[i]), slog.Any("of", belief(all[i])))
		}
	})
}

// belief is one as a group of a log line.
type belief policy.Belief

func (x belief) LogValue() slog.Value {
	return slog.GroupValue(slog.String("mode", x.Mode), slog.Float64("held", x.Held), slog.Float64("own", x.Own),
		slog.Float64("h", x.H), slog.Float64("r", x.R), slog.Float64("q", x.Q), slog.Float64("service_s", x.Service),
		slog.Float64("bad", x.Bad), slog.Bool("wide", x.Wide), slog.Bool("ejected", x.Ejected), slog.Float64("ramp", x.Ramp),
		slog.Duration("report_of", x.ReportOf))
}
