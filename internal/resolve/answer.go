// Package resolve asks DNS servers for the SRV records of sites (RFC 2782) and the addresses of their targets. What a message
// means is decided without I/O in answer.go and schedule.go; client.go asks, source.go follows sites for as long as it runs.
package resolve

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/miekg/dns"
)

// Bounds on what is believed.
const (
	MaxCNAMEs  = 8                // CNAMEs from the name that was asked
	MaxTargets = 20000            // targets of one name
	MinTTL     = time.Second      // a record of 0 or less lives this long: so often is one name asked at most
	MaxTTL     = 5 * time.Minute  // and none lives longer, however long it says
	emptyFor   = 30 * time.Second // a negative answer without a SOA, RFC 2308
)

// Kinds of answers that name nothing. Each but ErrInvalid also wraps what the server said.
var (
	ErrNoName    = errors.New("the name does not exist (NXDOMAIN)")
	ErrNoData    = errors.New("the name has no such record")
	ErrRefused   = errors.New("the server refuses to answer (REFUSED)")
	ErrServer    = errors.New("the server failed (SERVFAIL)")
	ErrLame      = errors.New("the server does not know the zone (a referral, and no recursion)")
	ErrTruncated = errors.New("the answer is truncated")
	ErrInvalid   = errors.New("not an answer to what was asked")
)

// Negative is an answer that says that there is nothing, and for how long that may be kept.
type Negative struct {
	Err error // ErrNoName or ErrNoData
	TTL time.Duration
}

func (n *Negative) Error() string { return n.Err.Error() }
func (n *Negative) Unwrap() error { return n.Err }

// ClampTTL brings a lifetime in seconds within the bounds.
func ClampTTL(ttl uint32) time.Duration {
	if ttl > 1<<31-1 { // RFC 2181, section 8: as if it were 0
		ttl = 0
	}
	return min(MaxTTL, max(MinTTL, time.Duration(ttl)*time.Second))
}

// Matches tells whether m answers q: its id, that it is an answer, and its question. One that does not is as good as none,
// and may be forged.
func Matches(q, m *dns.Msg) bool {
	return m.Id == q.Id && m.Response && m.Opcode == dns.OpcodeQuery && len(m.Question) == 1 &&
		m.Question[0].Qtype == q.Question[0].Qtype && m.Question[0].Qclass == q.Question[0].Qclass &&
		strings.EqualFold(m.Question[0].Name, q.Question[0].Name)
}

// Records returns the records of the type that was asked for, behind any chain of CNAMEs, and for how long they live: as
// long as the shortest of them and of the chain. Other records in the message are not looked at.
func Records(m *dns.Msg) ([]dns.RR, time.Duration, error) {
	switch {
	case m.Truncated:
		return nil, 0, ErrTruncated
	case m.Rcode == dns.RcodeServerFailure:
		return nil, 0, ErrServer
	case m.Rcode == dns.RcodeRefused:
		return nil, 0, ErrRefused
	case m.Rcode != dns.RcodeSuccess && m.Rcode != dns.RcodeNameError:
		return nil, 0, fmt.Errorf("%w: %s", ErrInvalid, dns.RcodeToString[m.Rcode])
	}
	name, life := m.Question[0].Name, MaxTTL
	for range MaxCNAMEs + 1 {
		var found []dns.RR
		next := ""
		for _, rr := range m.Answer {
			h := rr.Header()
			if !strings.EqualFold(h.Name, name) || h.Class != dns.ClassINET {
				continue
			}
			if h.Rrtype == m.Question[0].Qtype {
				found, life = append(found, rr), min(life, ClampTTL(h.Ttl))
			} else if c, ok := rr.(*dns.CNAME); ok {
				next, life = c.Target, min(life, ClampTTL(h.Ttl))
			}
		}
		switch {
		case len(found) > 0 && m.Rcode == dns.RcodeSuccess:
			return found, life, nil
		case next == "":
			return nil, 0, nothing(m)
		}
		name = next
	}
	return nil, 0, fmt.Errorf("%w: more than %d CNAMEs", ErrInvalid, MaxCNAMEs)
}

// nothing is what a message without a record says: that there is none, for as long as its SOA has it (RFC 2308, section 5),
// or that the server can't tell.
func nothing(m *dns.Msg) error {
	life, soa := emptyFor, false
	for _, rr := range m.Ns {
		if s, ok := rr.(*dns.SOA); ok {
			life, soa = ClampTTL(min(s.Hdr.Ttl, s.Minttl)), true
		}
	}
	switch {
	case m.Rcode == dns.RcodeNameError:
		return &Negative{ErrNoName, life}
	case !soa && !m.Authoritative && !m.RecursionAvailable && len(m.Ns) > 0:
		return ErrLame
	}
	return &Negative{ErrNoData, life}
}

// Target is one SRV record.
type Target struct {
	Name             string
	Port             uint16
	Priority, Weight uint16
}

// Targets are those of SRV records, by priority and name. A target of "." says that the service is not there at all: then
// there is none, and no error.
func Targets(rrs []dns.RR) ([]Target, error) {
	if len(rrs) > MaxTargets {
		return nil, fmt.Errorf("%w: %d targets, %d at most", ErrInvalid, len(rrs), MaxTargets)
	}
	var out []Target
	for _, rr := range rrs {
		s, ok := rr.(*dns.SRV)
		if !ok || s.Target == "." || s.Port == 0 {
			continue
		}
		out = append(out, Target{strings.ToLower(s.Target), s.Port, s.Priority, s.Weight})
	}
	slices.SortFunc(out, func(a, b Target) int {
		if a.Priority != b.Priority {
			return int(a.Priority) - int(b.Priority)
		}
		if c := strings.Compare(a.Name, b.Name); c != 0 {
			return c
		}
		return int(a.Port) - int(b.Port)
	})
	return slices.Compact(out), nil
}

// Addresses are the IP addresses in A or AAAA records.
func Addresses(rrs []dns.RR) []netip.Addr {
	var out []netip.Addr
	for _, rr := range rrs {
		var ip net.IP
		switch r := rr.(type) {
		case *dns.A:
			ip = r.A
		case *dns.AAAA:
			ip = r.AAAA
		}
		if a, ok := netip.AddrFromSlice(ip); ok {
			out = append(out, a.Unmap())
		}
	}
	slices.SortFunc(out, netip.Addr.Compare)
	return slices.Compact(out)
}

// AdditionalAddresses are the addresses that a message's additional records have for a target, and how long they live. They come from the
// server that is trusted with the targets themselves.
func AdditionalAddresses(extra []dns.RR, target string) ([]netip.Addr, time.Duration) {
	var rrs []dns.RR
	life := MaxTTL
	for _, rr := range extra {
		if t := rr.Header().Rrtype; (t == dns.TypeA || t == dns.TypeAAAA) && strings.EqualFold(rr.Header().Name, target) {
			rrs, life = append(rrs, rr), min(life, ClampTTL(rr.Header().Ttl))
		}
	}
	return Addresses(rrs), life
}

// HostPort is an address as a box list has it.
func HostPort(a netip.Addr, port uint16) string {
	return net.JoinHostPort(a.String(), strconv.Itoa(int(port)))
}
