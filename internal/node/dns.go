package node

import (
	"context"
	"time"

	"craneglade/internal/membership"
	"craneglade/internal/resolve"
	"craneglade/internal/settings"
)

// newFleet returns what merges the backend list with DNS, or nil if the settings have neither a DNS site nor a status socket: the
// engine then uses the list alone.
func newFleet(file *settings.File, grace time.Duration) *membership.Fleet {
	dns := &file.DNS
	if len(dns.Sites) == 0 && file.Fleet.Socket == "" {
		return nil
	}
	// A suspected withdrawal takes effect up to a quarter of the grace late. The policy then goes on sending for 0.6 of the grace,
	// which still ends before the grace does.
	return membership.New(membership.Config{SourceTimeout: dns.SourceTimeout.D(), ConfirmDelay: grace / 4, FlapPenalty: dns.FlapPenalty.D()})
}

// followDNS updates the engine from the DNS names of the sites in the settings until ctx ends.
func (n *node) followDNS(ctx context.Context, dns *settings.DNS) {
	if len(dns.Sites) == 0 {
		return
	}
	s := &resolve.Source{Client: &resolve.Client{Servers: dns.Servers, Timeout: dns.Timeout.D()}, Log: n.log,
		Update: func(site resolve.Site, backends []membership.Backend) bool {
			return n.engine.UpdateNames("dns:"+site.Name, backends)
		}}
	for _, site := range dns.Sites {
		s.Sites = append(s.Sites, resolve.Site{Name: site.Name, Zone: site.Zone})
	}
	n.wg.Go(func() { s.Run(ctx) })
}
