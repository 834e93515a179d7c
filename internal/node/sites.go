package node

import (
	"context"
	"sync"
	"time"

	"craneglade/internal/engine"
	"craneglade/internal/settings"
	"craneglade/internal/siting"
	"craneglade/internal/timing"
)

// probeTime is how long a connection to a lost site may take to come up.
const probeTime = 500 * time.Millisecond

// sites watches how sites stand until ctx ends, where the settings say so.
func (n *node) sites(ctx context.Context, own *settings.Sites) {
	if !own.On() {
		return
	}
	n.engine.Watch(siting.New(&n.cfg.Settings.Policy, own.Plan))
	n.wg.Go(func() {
		var probes sync.WaitGroup
		defer probes.Wait()
		timing.Every(ctx, siting.StepInterval, func() {
			boxes, notes := n.engine.StepSites()
			for _, x := range notes {
				n.log.Info(x.Text, x.Args...)
			}
			for _, b := range boxes {
				probes.Go(func() { n.probe(ctx, b) })
			}
		})
	})
}

// probe tries a connection to a box, which is kept for requests if it comes up.
func (n *node) probe(ctx context.Context, b *engine.Backend) {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	n.engine.Probed(b, n.carrier.Reach(ctx, b))
}
