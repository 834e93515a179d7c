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

// probeTimeout is how long a connection to a lost site may take to open.
const probeTimeout = 500 * time.Millisecond

// watchSites watches the health of the sites until ctx ends, if the settings ask for it.
func (n *node) watchSites(ctx context.Context, cfg *settings.Sites) {
	if !cfg.On() {
		return
	}
	n.engine.WatchSites(siting.New(&n.cfg.Settings.Policy, cfg.Plan))
	n.wg.Go(func() {
		var probes sync.WaitGroup
		defer probes.Wait()
		timing.Every(ctx, siting.StepInterval, func() {
			backends, notes := n.engine.StepSites()
			for _, x := range notes {
				n.log.Info(x.Text, x.Args...)
			}
			for _, b := range backends {
				probes.Go(func() { n.probe(ctx, b) })
			}
		})
	})
}

// probe tries to connect to a backend, and keeps the connection for requests if that succeeds.
func (n *node) probe(ctx context.Context, b *engine.Backend) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	n.engine.RecordProbe(b, n.carrier.Reach(ctx, b))
}
