package resolve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/miekg/dns"
)

const (
	udpSizeBytes = 1232 // max UDP response; passes without fragmentation nearly everywhere (DNS flag day 2020)
	maxRounds    = 2    // how often each server is tried
)

// Client queries DNS servers. It is safe for concurrent use.
type Client struct {
	Servers []string      // host:port; tried in turn, starting with the next one for each query
	Timeout time.Duration // of each try at a server, separately for UDP and TCP
	next    atomic.Uint32
}

// Answer holds the requested records, their TTL and the message that contained them.
type Answer struct {
	Records []dns.RR
	TTL     time.Duration
	Message *dns.Msg
}

// Query returns the records of a name, or a Negative error if there are none. Each try uses a new ID and port. Other errors wrap
// that of the last try.
func (c *Client) Query(ctx context.Context, name string, qtype uint16) (Answer, error) {
	if len(c.Servers) == 0 {
		return Answer{}, errors.New("no DNS server is set")
	}
	first := int(c.next.Add(1) - 1)
	var last error
	for i := range maxRounds * len(c.Servers) {
		server := c.Servers[(first+i)%len(c.Servers)]
		a, err := c.try(ctx, server, name, qtype)
		var negative *Negative
		if err == nil || errors.As(err, &negative) {
			return a, err
		}
		if ctx.Err() != nil {
			return Answer{}, ctx.Err()
		}
		last = fmt.Errorf("%s at %s: %w", name, server, err)
	}
	return Answer{}, last
}

// try queries one server over UDP, and over TCP if the response is truncated.
func (c *Client) try(ctx context.Context, server, name string, qtype uint16) (Answer, error) {
	q := new(dns.Msg)
	q.SetQuestion(dns.Fqdn(name), qtype) // sets a random ID
	q.SetEdns0(udpSizeBytes, false)
	a, err := c.records(ctx, "udp", server, q)
	if errors.Is(err, ErrTruncated) {
		q.Id = dns.Id()
		return c.records(ctx, "tcp", server, q)
	}
	return a, err
}

// records sends a query and returns the records of the response.
func (c *Client) records(ctx context.Context, network, server string, q *dns.Msg) (Answer, error) {
	m, err := c.exchange(ctx, network, server, q)
	if err != nil {
		return Answer{}, err
	}
	rrs, ttl, err := Records(m)
	return Answer{rrs, ttl, m}, err
}

// exchange sends a query from a new socket, connected so that it receives only from that server, and reads until the response
// arrives or the time is up. Over UDP it skips messages that don't match the query: they may be forged, or responses to an
// earlier one.
func (c *Client) exchange(ctx context.Context, network, server string, q *dns.Msg) (*dns.Msg, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, server)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	d := &dns.Conn{Conn: conn, UDPSize: udpSizeBytes}
	if err := d.WriteMsg(q); err != nil {
		return nil, err
	}
	for {
		m, err := d.ReadMsg()
		switch {
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case err == nil && Matches(q, m):
			return m, nil
		case network == "tcp" && err == nil:
			return nil, ErrInvalid
		case network == "tcp" || isSocketError(err):
			return nil, err
		}
	}
}

// isSocketError reports whether an error is from the socket, as opposed to a malformed message.
func isSocketError(err error) bool {
	var e net.Error
	return errors.As(err, &e) || errors.Is(err, net.ErrClosed)
}

// addresses returns the IPv4 and IPv6 addresses of a target and their TTL.
func (c *Client) addresses(ctx context.Context, target string) ([]netip.Addr, time.Duration, error) {
	var out []netip.Addr
	ttl := MaxTTL
	var failed error
	for _, qtype := range []uint16{dns.TypeA, dns.TypeAAAA} {
		a, err := c.Query(ctx, target, qtype)
		var negative *Negative
		switch {
		case errors.As(err, &negative):
			ttl = min(ttl, negative.TTL)
		case err != nil:
			failed = err
		default:
			out, ttl = append(out, Addresses(a.Records)...), min(ttl, a.TTL)
		}
	}
	if failed != nil {
		return nil, 0, failed // a partial answer would withdraw the missing addresses
	}
	return out, ttl, nil
}
