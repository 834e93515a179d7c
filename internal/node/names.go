package node

import (
	"context"
	"time"

	"craneglade/internal/membership"
	"craneglade/internal/resolve"
	"craneglade/internal/settings"
)

// sources is what decides between the box list and DNS; nil where neither a site nor the local socket is set, for the list alone.
func sources(own *settings.File, grace time.Duration) *membership.Fleet {
	d := &own.DNS
	if len(d.Sites) == 0 && own.Fleet.Socket == "" {
		return nil
	}
	// What is doubted for a quarter of the grace can be served for the module's part of it, 0.6, and still end in time.
	return membership.New(membership.Config{Hold: d.HoldTime.D(), Doubt: grace / 4, Calm: d.FlapBackoff.D()})
}

// names follows the sites that are set in DNS, until ctx ends.
func (n *node) names(ctx context.Context, d *settings.DNS) {
	if len(d.Sites) == 0 {
		return
	}
	s := &resolve.Source{Client: &resolve.Client{Servers: d.Servers, Timeout: d.Timeout.D()}, Log: n.log,
		Tell: func(site resolve.Site, boxes []membership.Box) bool { return n.engine.Names("dns:"+site.Name, boxes) }}
	for _, site := range d.Sites {
		s.Sites = append(s.Sites, resolve.Site{Name: site.Name, Zone: site.Zone})
	}
	n.wg.Go(func() { s.Run(ctx) })
}
