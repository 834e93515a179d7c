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

// Site is one SRV name, whose targets are the boxes of a zone.
type Site struct {
	Name string // such as _config._tcp.tacoma.example.org
	Zone string
}

// Source follows sites. Tell is called with the whole answer of one site at a time, by several goroutines, and returns whether
// the site is to be asked again at once.
type Source struct {
	Client *Client
	Sites  []Site
	Update func(site Site, boxes []membership.Backend) (again bool)
	Log    *slog.Logger
}

// again is how soon a site is asked whose answer is doubted; within the doubt's time.
const again = 100 * time.Millisecond

// lookups is how many targets of one site are looked up at a time.
const lookups = 16

// Run asks until ctx ends. What fails is logged and asked again later; the last answer stands meanwhile.
func (s *Source) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, site := range s.Sites {
		wg.Go(func() { s.follow(ctx, site) })
	}
	wg.Wait()
}

func (s *Source) follow(ctx context.Context, site Site) {
	var plan Schedule
	for ctx.Err() == nil {
		boxes, life, err := s.Client.Backends(ctx, site)
		var wait time.Duration
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			// Also where the name has no record: a service that is gone says so by the target "." (RFC 2782), an empty
			// answer is more likely a broken zone.
			wait = plan.Failed(rand.Float64())
			var no *Negative
			if errors.As(err, &no) {
				wait = max(wait, min(no.TTL, retryMost))
			}
			s.Log.Warn("asking DNS for a site failed; its last answer stands", "site", site.Name, "err", err, "again_in", wait)
		case s.Update(site, boxes):
			wait = again
		default:
			wait = plan.Succeeded(life, rand.Float64())
		}
		timing.Sleep(ctx, wait)
	}
}

// Backends asks for the boxes of a site, and for how long the answer lives. Each address of a target is a box. A target that
// can't be looked up fails the whole: a part of an answer would withdraw boxes that nobody withdrew.
func (c *Client) Backends(ctx context.Context, site Site) ([]membership.Backend, time.Duration, error) {
	a, err := c.Query(ctx, site.Name, dns.TypeSRV)
	if err != nil {
		return nil, 0, err
	}
	life := a.TTL
	targets, err := Targets(a.Records)
	if err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	out := make([][]membership.Backend, len(targets))
	room := make(chan struct{}, lookups)
	beside := map[string][]dns.RR{}
	for _, rr := range a.Message.Extra {
		name := dns.CanonicalName(rr.Header().Name)
		beside[name] = append(beside[name], rr)
	}
	for i, t := range targets {
		addrs, l := AdditionalAddresses(beside[t.Name], t.Name)
		put := func() { // mu is held
			life = min(life, l)
			for _, a := range addrs {
				addr := HostPort(a, t.Port)
				out[i] = append(out[i], membership.Backend{ID: "dns:" + addr, Addr: addr, Zone: site.Zone, State: membership.Ready})
			}
		}
		if len(addrs) > 0 {
			mu.Lock()
			put()
			mu.Unlock()
			continue
		}
		room <- struct{}{}
		wg.Go(func() {
			defer func() { <-room }()
			var err error
			addrs, l, err = c.addresses(ctx, t.Name)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = errors.Join(failed, err)
				cancel()
				return
			}
			put()
		})
	}
	wg.Wait()
	if failed != nil {
		return nil, 0, failed
	}
	var boxes []membership.Backend
	for _, o := range out {
		boxes = append(boxes, o...)
	}
	return boxes, life, nil
}
