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
	udpSize = 1232 // of answers over UDP: what passes without fragments nearly everywhere (DNS flag day 2020)
	rounds  = 2    // times that all servers are asked
)

// Client asks DNS servers. Its methods may be called at once.
type Client struct {
	Servers []string      // host:port, asked in turn, beginning with another one each time
	Timeout time.Duration // for each question to each server, over UDP and again over TCP
	next    atomic.Uint32
}

// Answer is the records that were asked for, for how long they live, and the message that had them.
type Answer struct {
	Records []dns.RR
	TTL     time.Duration
	Message *dns.Msg
}

// Query returns the records of a name, or a Negative where there are none. Each try has an id and a port of its own. Another error
// wraps what the last server said.
func (c *Client) Query(ctx context.Context, name string, kind uint16) (Answer, error) {
	if len(c.Servers) == 0 {
		return Answer{}, errors.New("no DNS server is set")
	}
	first := int(c.next.Add(1) - 1)
	var last error
	for i := range rounds * len(c.Servers) {
		server := c.Servers[(first+i)%len(c.Servers)]
		a, err := c.try(ctx, server, name, kind)
		var no *Negative
		if err == nil || errors.As(err, &no) {
			return a, err
		}
		if ctx.Err() != nil {
			return Answer{}, ctx.Err()
		}
		last = fmt.Errorf("%s at %s: %w", name, server, err)
	}
	return Answer{}, last
}

// try asks one server, over TCP too where the answer over UDP is cut.
func (c *Client) try(ctx context.Context, server, name string, kind uint16) (Answer, error) {
	q := new(dns.Msg)
	q.SetQuestion(dns.Fqdn(name), kind) // with a random id
	q.SetEdns0(udpSize, false)
	a, err := c.records(ctx, "udp", server, q)
	if errors.Is(err, ErrTruncated) {
		q.Id = dns.Id()
		return c.records(ctx, "tcp", server, q)
	}
	return a, err
}

func (c *Client) records(ctx context.Context, network, server string, q *dns.Msg) (Answer, error) {
	m, err := c.exchange(ctx, network, server, q)
	if err != nil {
		return Answer{}, err
	}
	rrs, life, err := Records(m)
	return Answer{rrs, life, m}, err
}

// exchange sends one question from a socket of its own, which takes in what comes from that server alone, and reads until an
// answer to it or the time is up. What does not answer it is passed over: it may be forged, or meant for an earlier one.
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
	d := &dns.Conn{Conn: conn, UDPSize: udpSize}
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
		case network == "tcp" || isNet(err):
			return nil, err
		}
	}
}

// isNet tells whether an error is the socket's, not that of a message that can't be read.
func isNet(err error) bool {
	var e net.Error
	return errors.As(err, &e) || errors.Is(err, net.ErrClosed)
}

// addresses looks a target up.
func (c *Client) addresses(ctx context.Context, target string) ([]netip.Addr, time.Duration, error) {
	var out []netip.Addr
	life := MaxTTL
	var failed error
	for _, kind := range []uint16{dns.TypeA, dns.TypeAAAA} {
		a, err := c.Query(ctx, target, kind)
		var no *Negative
		switch {
		case errors.As(err, &no):
			life = min(life, no.TTL)
		case err != nil:
			failed = err
		default:
			out, life = append(out, Addresses(a.Records)...), min(life, a.TTL)
		}
	}
	if failed != nil {
		return nil, 0, failed // half of an answer would withdraw the other half
	}
	return out, life, nil
}
