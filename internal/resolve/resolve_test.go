package resolve

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"

	"craneglade/internal/kit/nameserver"
)

const name = "_config._tcp.tacoma.example.org."

var site = Site{Name: name, Zone: "tacoma"}

// server starts a name server with some records.
func server(t *testing.T, records ...string) *nameserver.Server {
	t.Helper()
	s, err := nameserver.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Stop() })
	if err := s.Set(records...); err != nil {
		t.Fatal(err)
	}
	return s
}

// srvRecords returns the SRV and A records of n backends.
func srvRecords(n, ttl int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("%s %d IN SRV 0 1 %d box%d.example.org.", name, ttl, 9000+i, i), fmt.Sprintf("box%d.example.org. %d IN A 127.0.0.1", i, ttl))
	}
	return out
}

// client returns a client of some name servers.
func client(servers ...*nameserver.Server) *Client {
	c := &Client{Timeout: 150 * time.Millisecond}
	for _, s := range servers {
		c.Servers = append(c.Servers, s.Addr)
	}
	return c
}

// Each fault of a name server gives the expected error, and another server's answer is used.
func TestServerFaults(t *testing.T) {
	for _, c := range []struct {
		fault nameserver.Fault
		want  error // nil for a correct answer
	}{
		{nameserver.NoFault, nil}, {nameserver.Truncate, nil}, {nameserver.Poison, nil}, {nameserver.Garbage, nil},
		{nameserver.Drop, context.DeadlineExceeded}, {nameserver.TruncateHang, context.DeadlineExceeded}, {nameserver.WrongID, context.DeadlineExceeded},
		{nameserver.Servfail, ErrServer}, {nameserver.Refused, ErrRefused}, {nameserver.Lame, ErrLame},
	} {
		bad, good := server(t, srvRecords(3, 7)...), server(t, srvRecords(3, 7)...)
		bad.SetFaults(func(dns.Question, bool) nameserver.Fault { return c.fault }, 0)
		got, ttl, err := client(bad).Backends(t.Context(), site)
		if c.want != nil {
			if !errors.Is(err, c.want) {
				t.Errorf("fault %d: %v, %v; want %v", c.fault, got, err, c.want)
			}
			got, ttl, err = client(bad, good).Backends(t.Context(), site) // the second server answers
		}
		if err != nil || len(got) != 3 || ttl != 7*time.Second || got[0].Addr != "127.0.0.1:9000" || got[0].Zone != "tacoma" || !got[0].CellUnknown {
			t.Errorf("fault %d: %v, %v, %v", c.fault, got, ttl, err)
		}
	}
}

func TestEmptyAnswers(t *testing.T) {
	s := server(t, "there.example.org. 5 IN A 127.0.0.1", name+" 5 IN SRV 0 0 0 .",
		"loop.example.org. 5 IN CNAME loop2.example.org.", "loop2.example.org. 5 IN CNAME loop.example.org.",
		"alias.example.org. 3 IN CNAME real.example.org.", "real.example.org. 9 IN SRV 0 0 9000 there.example.org.")
	c := client(s)
	for q, want := range map[string]error{"nowhere.example.org.": ErrNoName, "there.example.org.": ErrNoData, "loop.example.org.": ErrInvalid} {
		_, _, err := c.Backends(t.Context(), Site{Name: q})
		if !errors.Is(err, want) {
			t.Errorf("%s: %v, want %v", q, err, want)
		}
		var negative *Negative
		if errors.As(err, &negative) && negative.TTL != 2*time.Second {
			t.Errorf("%s: TTL %v, want the SOA's minimum, 2 s", q, negative.TTL)
		}
	}
	if got, ttl, err := c.Backends(t.Context(), Site{Name: "alias.example.org"}); err != nil || len(got) != 1 || ttl != 3*time.Second {
		t.Errorf("with an alias: %v, %v, %v", got, ttl, err)
	}
	if got, _, err := c.Backends(t.Context(), site); err != nil || len(got) != 0 {
		t.Errorf(`a service that does not exist ("."): %v, %v; want none and no error`, got, err)
	}
}

// Records that don't fit into a datagram are fetched over TCP. Addresses that don't fit into the additional records are looked up
// one by one. A name with more records than fit into a message of 64 KiB fails, so that its backends have to be split over several
// names: an SRV record takes 18 bytes and its target.
func TestLargeAnswers(t *testing.T) {
	s := server(t, srvRecords(1200, 60)...)
	c := client(s)
	c.Timeout = 10 * time.Second
	got, _, err := c.Backends(t.Context(), site)
	if err != nil || len(got) != 1200 || s.Queries(dns.TypeA) < 500 {
		t.Errorf("%d backends, %v; %d addresses were queried", len(got), err, s.Queries(dns.TypeA))
	}
	if err := s.Set(srvRecords(5000, 60)...); err != nil {
		t.Fatal(err)
	}
	if got, _, err := c.Backends(t.Context(), site); !errors.Is(err, ErrTruncated) {
		t.Errorf("5,000 backends under one name: %d, %v; want it truncated over TCP too", len(got), err)
	}
}

// A target that can't be looked up must not be treated as withdrawn: the whole lookup fails.
func TestFailedTargetFailsLookup(t *testing.T) {
	s := server(t, name+" 5 IN SRV 0 0 9000 one.example.org.", "one.example.org. 5 IN A 127.0.0.1", "one.example.org. 5 IN AAAA ::1")
	if got, _, err := client(s).Backends(t.Context(), site); err != nil || len(got) != 2 {
		t.Fatalf("%v, %v", got, err)
	}
	far := server(t, name+" 5 IN SRV 0 0 9000 one.elsewhere.org.")
	far.SetFaults(func(q dns.Question, _ bool) nameserver.Fault {
		if q.Qtype == dns.TypeAAAA {
			return nameserver.Servfail
		}
		return nameserver.NoFault
	}, 0)
	if got, _, err := client(far).Backends(t.Context(), site); !errors.Is(err, ErrServer) {
		t.Errorf("%v, %v", got, err)
	}
}

func TestTTLsAreClamped(t *testing.T) {
	for ttl, want := range map[uint32]time.Duration{0: MinTTL, 1: time.Second, 30: 30 * time.Second, 1 << 30: MaxTTL, 1<<32 - 1: MinTTL} {
		if got := ClampTTL(ttl); got != want {
			t.Errorf("%d: %v, want %v", ttl, got, want)
		}
	}
	var s Schedule
	for _, random := range []float64{0, 0.5, 0.999} {
		if got := s.Succeeded(MinTTL, random); got < 500*time.Millisecond || got > 800*time.Millisecond {
			t.Errorf("a record with TTL 0 is queried again after %v", got)
		}
	}
	last := time.Duration(0)
	for range 40 {
		wait := s.Failed(0.999)
		if wait < last || wait > maxRetry {
			t.Errorf("retry after %v, the one before after %v", wait, last)
		}
		last = wait
	}
}

func TestTargetsByPriority(t *testing.T) {
	var rrs []dns.RR
	for _, text := range []string{"2 0 1 b.", "1 0 2 A.", "1 0 2 a.", "1 5 1 a.", "0 0 0 zero."} {
		rr, err := dns.NewRR(name + " 5 IN SRV " + text)
		if err != nil {
			t.Fatal(err)
		}
		rrs = append(rrs, rr)
	}
	got, err := Targets(rrs)
	if want := []Target{{"a.", 1, 1, 5}, {"a.", 2, 1, 0}, {"b.", 1, 2, 0}}; err != nil || !slices.Equal(got, want) {
		t.Errorf("%v, %v; want %v", got, err, want)
	}
	if _, err := Targets(make([]dns.RR, MaxTargets+1)); err == nil || !strings.Contains(err.Error(), "20000 at most") {
		t.Errorf("too many: %v", err)
	}
}

// No message causes a panic, and the TTL of an answer is within the limits.
func FuzzRecords(f *testing.F) {
	q := new(dns.Msg)
	q.SetQuestion(name, dns.TypeSRV)
	m := q.Copy()
	m.Response = true
	for _, text := range srvRecords(2, 9) {
		rr, _ := dns.NewRR(text)
		m.Answer = append(m.Answer, rr)
	}
	wire, err := m.Pack()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(wire)
	f.Fuzz(func(t *testing.T, text []byte) {
		m := new(dns.Msg)
		if m.Unpack(text) != nil || len(m.Question) != 1 {
			return
		}
		rrs, ttl, err := Records(m)
		if err == nil && (len(rrs) == 0 || ttl < MinTTL || ttl > MaxTTL) {
			t.Errorf("%d records for %v", len(rrs), ttl)
		}
		targets, _ := Targets(rrs)
		for _, x := range targets {
			addrs, _ := AdditionalAddresses(m.Extra, x.Name)
			for _, a := range addrs {
				if _, err := netip.ParseAddrPort(HostPort(a, x.Port)); err != nil {
					t.Error(err)
				}
			}
		}
	})
}
