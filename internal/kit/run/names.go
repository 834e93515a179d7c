package run

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/miekg/dns"

	"craneglade/internal/kit/nameserver"
	"craneglade/internal/kit/stand"
	"craneglade/internal/kit/trace"
)

// nameServer is the DNS server of one node. It lists the backends of each site at the addresses for that node, and records which
// backends its answers announce: one that an earlier answer had and a later one lacks is recorded as removed.
type nameServer struct {
	server *nameserver.Server
	node   *node
	clock  stand.Clock
	out    *trace.Writer
	ttl    int64

	mu        sync.Mutex
	backends  map[string]dnsBackend // by id: in the zone
	idsByPort map[string]string     // by port: its present or latest owner
	announced map[string]bool       // by id: whether the latest answer had it
}

type dnsBackend struct{ site, host, port string }

func (r *Rehearsal) newNameServer(n *node) (*nameServer, error) {
	server, err := nameserver.Start()
	if err != nil {
		return nil, err
	}
	s := &nameServer{server: server, node: n, clock: r.clock(), out: r.out, ttl: int64(r.plan.Scenario.SRV.TTL.D() / time.Second),
		backends: map[string]dnsBackend{}, idsByPort: map[string]string{}, announced: map[string]bool{}}
	server.OnAnswer(s.recordAnswer)
	return s, nil
}

func siteName(site string) string { return "_config._tcp." + strings.ToLower(site) + ".example.org." }

// setBackend adds a backend to the zone, or removes it.
func (s *nameServer) setBackend(id, site, addr string, present bool) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if present {
		s.backends[id] = dnsBackend{site, host, port}
		s.idsByPort[port] = id
	} else {
		delete(s.backends, id)
	}
	var records []string
	for id, b := range s.backends {
		records = append(records, fmt.Sprintf("%s %d IN SRV 0 1 %s %s.example.org.", siteName(b.site), s.ttl, b.port, id), fmt.Sprintf("%s.example.org. %d IN A %s", id, s.ttl, b.host))
	}
	return s.server.Set(records...)
}

// recordAnswer records the backends that an answer announces or no longer has.
func (s *nameServer) recordAnswer(q dns.Question, m *dns.Msg) {
	if q.Qtype != dns.TypeSRV || m.Rcode != dns.RcodeSuccess || m.Truncated || len(m.Answer) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	present := map[string]bool{}
	for _, rr := range m.Answer {
		if srv, ok := rr.(*dns.SRV); ok {
			id := s.idsByPort[fmt.Sprint(srv.Port)]
			present[id] = true
			if current, known := s.announced[id]; known && !current {
				s.record(id, trace.Ready)
			}
			s.announced[id] = true
		}
	}
	for id, current := range s.announced {
		if current && !present[id] && s.inSite(id, q.Name) {
			s.announced[id] = false
			s.record(id, trace.Removed)
		}
	}
}

// inSite reports whether a backend belongs to the site with the DNS name name. s.mu is held.
func (s *nameServer) inSite(id, name string) bool {
	b := s.node.r.plannedBackend(id)
	return b != nil && siteName(b.Site) == dns.CanonicalName(name)
}

func (s *nameServer) record(id, state string) {
	s.out.Add(&trace.Record{Kind: trace.Notified, T: trace.Microseconds(s.clock.Now()), Node: s.node.Name, Backend: id, State: state, How: trace.ByDNS})
}

// updateDNS adds a backend to every node's DNS zone, or removes it, after the scenario's DNS lag.
func (r *Rehearsal) updateDNS(id string, present bool) {
	if r.plan.Scenario.SRV.TTL == 0 {
		return
	}
	r.mu.Lock()
	b := r.backends[id]
	r.mu.Unlock()
	r.after(r.plan.Scenario.SRV.Lag.D(), func() {
		for i, n := range r.nodes {
			if err := n.nameServer.setBackend(id, b.plan.Site, b.addrs[i], present); err != nil {
				r.mu.Lock()
				r.errs = append(r.errs, err)
				r.mu.Unlock()
			}
		}
	})
}
