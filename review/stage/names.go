package stage

import (
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/miekg/dns"
)

// NameServer is the stand-in for a site's name server: one SRV name with a record for each address, and their A records.
type NameServer struct {
	Addr string

	stage *Stage
	site  string
	mu    sync.Mutex
	addrs []string
	since int               // number of the present content
	told  map[int]time.Time // when a content was first sent
}

// NewNameServer starts a name server for a site, whose name ends with a dot.
func (s *Stage) NewNameServer(site string, addrs ...string) *NameServer {
	pc, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		s.Fail("%v", err)
	}
	n := &NameServer{Addr: pc.LocalAddr().String(), stage: s, site: site, addrs: addrs, told: map[int]time.Time{}}
	l, err := net.Listen("tcp", n.Addr)
	if err != nil {
		s.Fail("%v", err)
	}
	go (&dns.Server{PacketConn: pc, Handler: n}).ActivateAndServe()
	go (&dns.Server{Listener: l, Handler: n}).ActivateAndServe()
	return n
}

// Set replaces the addresses that the site has. It returns the number of the content.
func (n *NameServer) Set(addrs ...string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addrs = slices.Clone(addrs)
	n.since++
	n.stage.Logf("names: content %d: %v", n.since, addrs)
	return n.since
}

// Told returns when a content was first sent to the node; the zero time if it was not.
func (n *NameServer) Told(content int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.told[content]
}

// ServeDNS answers a query.
func (n *NameServer) ServeDNS(w dns.ResponseWriter, q *dns.Msg) {
	m := new(dns.Msg)
	m.SetReply(q)
	m.Authoritative = true
	n.mu.Lock()
	content, addrs := n.since, n.addrs
	n.mu.Unlock()
	name := strings.ToLower(q.Question[0].Name)
	header := func(name string, rrtype uint16) dns.RR_Header {
		return dns.RR_Header{Name: name, Rrtype: rrtype, Class: dns.ClassINET, Ttl: 1}
	}
	soa := &dns.SOA{Hdr: header(n.site, dns.TypeSOA), Ns: "ns.example.org.", Mbox: "admin.example.org.", Serial: 1, Refresh: 60, Retry: 60, Expire: 600, Minttl: 1}
	switch {
	case name == n.site && q.Question[0].Qtype == dns.TypeSRV:
		for _, addr := range addrs {
			_, port, _ := net.SplitHostPort(addr)
			p, _ := strconv.Atoi(port)
			target := "box-" + port + ".example.org."
			m.Answer = append(m.Answer, &dns.SRV{Hdr: header(n.site, dns.TypeSRV), Priority: 1, Weight: 1, Port: uint16(p), Target: target})
			m.Extra = append(m.Extra, &dns.A{Hdr: header(target, dns.TypeA), A: net.IPv4(127, 0, 0, 1)})
		}
		if len(addrs) == 0 {
			m.Ns = append(m.Ns, soa)
		}
	case strings.HasPrefix(name, "box-") && q.Question[0].Qtype == dns.TypeA:
		m.Answer = append(m.Answer, &dns.A{Hdr: header(q.Question[0].Name, dns.TypeA), A: net.IPv4(127, 0, 0, 1)})
	default:
		m.Ns = append(m.Ns, soa)
	}
	if _, udp := w.RemoteAddr().(*net.UDPAddr); udp {
		size := dns.MinMsgSize
		if o := q.IsEdns0(); o != nil {
			size = max(size, int(o.UDPSize()))
			m.SetEdns0(uint16(size), false)
		}
		m.Truncate(size)
	}
	m.Compress = true
	w.WriteMsg(m)
	if name == n.site && q.Question[0].Qtype == dns.TypeSRV {
		n.mu.Lock()
		if _, known := n.told[content]; !known {
			n.told[content] = time.Now()
			n.stage.Logf("names: told content %d", content)
		}
		n.mu.Unlock()
	}
}
