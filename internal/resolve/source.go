package resolve

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/miekg/dns"

	"craneglade/internal/membership"
	"craneglade/internal/timing"
)

// Site is an SRV name whose targets are the backends of a zone.
type Site struct {
	Name string // such as _config._tcp.tacoma.example.org
	Zone string
}

// Source follows sites. Update is called with the full answer for one site, concurrently for different sites, and reports whether
// the site should be queried again at once.
type Source struct {
	Client *Client
	Sites  []Site
	Update func(site Site, backends []membership.Backend) (requery bool)
	Log    *slog.Logger
}

// requeryDelay is the delay of a query to confirm an answer. It has to be shorter than membership.Config.ConfirmDelay.
const requeryDelay = 100 * time.Millisecond

// maxLookups is the number of targets of a site that are looked up concurrently.
const maxLookups = 16

// Run queries until ctx is done. Failures are logged and retried later; the last answer stays in force meanwhile.
func (s *Source) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, site := range s.Sites {
		wg.Go(func() { s.follow(ctx, site) })
	}
	wg.Wait()
}

// follow queries one site until ctx is done.
func (s *Source) follow(ctx context.Context, site Site) {
	var schedule Schedule
	for ctx.Err() == nil {
		backends, ttl, err := s.Client.Backends(ctx, site)
		var wait time.Duration
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			// This includes a name without records: a service that does not exist has the target "." (RFC 2782), and an
			// empty answer is more likely a broken zone.
			wait = schedule.Failed(rand.Float64())
			var negative *Negative
			if errors.As(err, &negative) {
				wait = max(wait, min(negative.TTL, maxRetry))
			}
			s.Log.Warn("DNS query for a site failed; its last answer stays in force", "site", site.Name, "err", err, "again_in", wait)
		case s.Update(site, backends):
			wait = requeryDelay
		default:
			wait = schedule.Succeeded(ttl, rand.Float64())
		}
		timing.Sleep(ctx, wait)
	}
}

// Backends looks up the backends of a site and the TTL of the answer. Each address of a target is a backend. If a target can't be
// looked up the whole lookup fails, because a partial answer would withdraw the missing backends.
func (c *Client) Backends(ctx context.Context, site Site) ([]membership.Backend, time.Duration, error) {
	a, err := c.Query(ctx, site.Name, dns.TypeSRV)
	if err != nil {
		return nil, 0, err
	}
	ttl := a.TTL
	targets, err := Targets(a.Records)
	if err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	byTarget := make([][]membership.Backend, len(targets))
	slots := make(chan struct{}, maxLookups)
	additional := map[string][]dns.RR{}
	for _, rr := range a.Message.Extra {
		name := dns.CanonicalName(rr.Header().Name)
		additional[name] = append(additional[name], rr)
	}
	for i, t := range targets {
		addrs, addrTTL := AdditionalAddresses(additional[t.Name], t.Name)
		add := func() { // mu must be held
			ttl = min(ttl, addrTTL)
			for _, a := range addrs {
				addr := HostPort(a, t.Port)
				byTarget[i] = append(byTarget[i], membership.Backend{ID: "dns:" + addr, Addr: addr, Zone: site.Zone, CellUnknown: true, State: membership.Ready})
			}
		}
		if len(addrs) > 0 {
			mu.Lock()
			add()
			mu.Unlock()
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			var err error
			addrs, addrTTL, err = c.addresses(ctx, t.Name)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = errors.Join(failed, err)
				cancel()
				return
			}
			add()
		})
	}
	wg.Wait()
	if failed != nil {
		return nil, 0, failed
	}
	var backends []membership.Backend
	for _, o := range byTarget {
		backends = append(backends, o...)
	}
	return backends, ttl, nil
}
