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

// names is the DNS server of one node, which names the boxes of each site as that node sees them, and notes what its answers
// tell: a box that an answer lacks and an earlier one had is taken back.
type names struct {
	server *nameserver.Server
	node   *node
	clock  stand.Clock
	out    *trace.Writer
	ttl    int64

	mu    sync.Mutex
	boxes map[string]namedBox // by id: those that are named
	ids   map[string]string   // by port: whose it is, or was last
	told  map[string]bool     // by id: the last answer had it; false for one that was taken back
}

type namedBox struct{ site, host, port string }

func (r *Rehearsal) newNames(n *node) (*names, error) {
	server, err := nameserver.Start()
	if err != nil {
		return nil, err
	}
	s := &names{server: server, node: n, clock: r.clock(), out: r.out, ttl: int64(r.plan.Scenario.SRV.TTL.D() / time.Second),
		boxes: map[string]namedBox{}, ids: map[string]string{}, told: map[string]bool{}}
	server.OnAnswer(s.answered)
	return s, nil
}

func siteName(site string) string { return "_config._tcp." + strings.ToLower(site) + ".example.org." }

// set names a box, or takes it back.
func (s *names) set(id, site, addr string, there bool) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if there {
		s.boxes[id] = namedBox{site, host, port}
		s.ids[port] = id
	} else {
		delete(s.boxes, id)
	}
	var records []string
	for id, b := range s.boxes {
		records = append(records, fmt.Sprintf("%s %d IN SRV 0 1 %s %s.example.org.", siteName(b.site), s.ttl, b.port, id), fmt.Sprintf("%s.example.org. %d IN A %s", id, s.ttl, b.host))
	}
	return s.server.Set(records...)
}

// answered notes what an answer tells.
func (s *names) answered(q dns.Question, m *dns.Msg) {
	if q.Qtype != dns.TypeSRV || m.Rcode != dns.RcodeSuccess || m.Truncated || len(m.Answer) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	there := map[string]bool{}
	for _, rr := range m.Answer {
		if srv, ok := rr.(*dns.SRV); ok {
			id := s.ids[fmt.Sprint(srv.Port)]
			there[id] = true
			if back, known := s.told[id]; known && !back {
				s.tell(id, trace.Ready)
			}
			s.told[id] = true
		}
	}
	for id, had := range s.told {
		if had && !there[id] && s.of(id, q.Name) {
			s.told[id] = false
			s.tell(id, trace.Removed)
		}
	}
}

// of tells whether a box is of a site. s.mu is held.
func (s *names) of(id, name string) bool {
	b := s.node.r.planned(id)
	return b != nil && siteName(b.Site) == dns.CanonicalName(name)
}

func (s *names) tell(id, state string) {
	s.out.Add(&trace.Record{Kind: trace.Notified, T: trace.Microseconds(s.clock.Now()), Node: s.node.Name, Backend: id, State: state, How: trace.ByDNS})
}

// rename has DNS name a box, or take it back, for every node after the names' lag.
func (r *Rehearsal) rename(id string, there bool) {
	if r.plan.Scenario.SRV.TTL == 0 {
		return
	}
	r.mu.Lock()
	seat := r.boxes[id]
	r.mu.Unlock()
	r.after(r.plan.Scenario.SRV.Lag.D(), func() {
		for i, n := range r.nodes {
			if err := n.names.set(id, seat.plan.Site, seat.addrs[i], there); err != nil {
				r.mu.Lock()
				r.errs = append(r.errs, err)
				r.mu.Unlock()
			}
		}
	})
}
