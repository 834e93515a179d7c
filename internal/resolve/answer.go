// Package resolve looks up the SRV records of sites (RFC 2782) and the addresses of their targets. answer.go interprets messages
// and schedule.go decides when to query, both without I/O; client.go sends queries, and source.go follows sites.
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

// Limits on answers.
const (
	MaxCNAMEs          = 8                // length of a chain of CNAMEs
	MaxTargets         = 20000            // SRV records of a name
	MinTTL             = time.Second      // shorter TTLs, 0 included, are raised to it, which bounds the rate of queries
	MaxTTL             = 5 * time.Minute  // longer TTLs are cut to it
	defaultNegativeTTL = 30 * time.Second // of a negative answer without a SOA, RFC 2308
)

// Errors of answers without usable records.
var (
	ErrNoName    = errors.New("the name does not exist (NXDOMAIN)")
	ErrNoData    = errors.New("the name has no such record")
	ErrRefused   = errors.New("the server refuses to answer (REFUSED)")
	ErrServer    = errors.New("the server failed (SERVFAIL)")
	ErrLame      = errors.New("the server does not know the zone (a referral, and no recursion)")
	ErrTruncated = errors.New("the answer is truncated")
	ErrInvalid   = errors.New("not an answer to what was asked")
)

// Negative is the error of an answer that says that there are no records. It may be cached for TTL.
type Negative struct {
	Err error // ErrNoName or ErrNoData
	TTL time.Duration
}

func (n *Negative) Error() string { return n.Err.Error() }
func (n *Negative) Unwrap() error { return n.Err }

// ClampTTL converts a TTL in seconds and limits it to MinTTL and MaxTTL.
func ClampTTL(seconds uint32) time.Duration {
	if seconds > 1<<31-1 { // RFC 2181, section 8: as if it were 0
		seconds = 0
	}
	return min(MaxTTL, max(MinTTL, time.Duration(seconds)*time.Second))
}

// Matches reports whether m is the response to q, by its ID, flags and question. A message that does not match has to be ignored,
// as it may be forged.
func Matches(q, m *dns.Msg) bool {
	return m.Id == q.Id && m.Response && m.Opcode == dns.OpcodeQuery && len(m.Question) == 1 &&
		m.Question[0].Qtype == q.Question[0].Qtype && m.Question[0].Qclass == q.Question[0].Qclass &&
		strings.EqualFold(m.Question[0].Name, q.Question[0].Name)
}

// Records returns the records of the queried type, following any chain of CNAMEs, and the shortest TTL of them and of the chain.
// It ignores other records in the message.
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
	name, ttl := m.Question[0].Name, MaxTTL
	for range MaxCNAMEs + 1 {
		var found []dns.RR
		next := ""
		for _, rr := range m.Answer {
			h := rr.Header()
			if !strings.EqualFold(h.Name, name) || h.Class != dns.ClassINET {
				continue
			}
			if h.Rrtype == m.Question[0].Qtype {
				found, ttl = append(found, rr), min(ttl, ClampTTL(h.Ttl))
			} else if c, ok := rr.(*dns.CNAME); ok {
				next, ttl = c.Target, min(ttl, ClampTTL(h.Ttl))
			}
		}
		switch {
		case len(found) > 0 && m.Rcode == dns.RcodeSuccess:
			return found, ttl, nil
		case next == "":
			return nil, 0, negative(m)
		}
		name = next
	}
	return nil, 0, fmt.Errorf("%w: more than %d CNAMEs", ErrInvalid, MaxCNAMEs)
}

// negative returns the error for a message without a matching record: a Negative with the TTL of its SOA (RFC 2308, section 5),
// or ErrLame if the server does not know the zone.
func negative(m *dns.Msg) error {
	ttl, soa := defaultNegativeTTL, false
	for _, rr := range m.Ns {
		if s, ok := rr.(*dns.SOA); ok {
			ttl, soa = ClampTTL(min(s.Hdr.Ttl, s.Minttl)), true
		}
	}
	switch {
	case m.Rcode == dns.RcodeNameError:
		return &Negative{ErrNoName, ttl}
	case !soa && !m.Authoritative && !m.RecursionAvailable && len(m.Ns) > 0:
		return ErrLame
	}
	return &Negative{ErrNoData, ttl}
}

// Target is the content of an SRV record.
type Target struct {
	Name             string
	Port             uint16
	Priority, Weight uint16
}

// Targets returns the targets of SRV records, sorted by priority, name and port. The target "." means that the service does not
// exist: it gives no target and no error.
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

// Addresses returns the IP addresses in A and AAAA records, sorted.
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

// AdditionalAddresses returns the addresses for a target in the additional records of a message, and their TTL. They are trusted
// because they come from the same server as the targets.
func AdditionalAddresses(extra []dns.RR, target string) ([]netip.Addr, time.Duration) {
	var rrs []dns.RR
	ttl := MaxTTL
	for _, rr := range extra {
		if t := rr.Header().Rrtype; (t == dns.TypeA || t == dns.TypeAAAA) && strings.EqualFold(rr.Header().Name, target) {
			rrs, ttl = append(rrs, rr), min(ttl, ClampTTL(rr.Header().Ttl))
		}
	}
	return Addresses(rrs), ttl
}

// HostPort returns an address in the format of a backend list.
func HostPort(a netip.Addr, port uint16) string {
	return net.JoinHostPort(a.String(), strconv.Itoa(int(port)))
}
