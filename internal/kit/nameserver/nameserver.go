// Package nameserver is a DNS server for tests, on loopback, over UDP and TCP on one port. It answers from its zone and injects
// faults: truncated, lost, delayed and forged answers, and error codes.
package nameserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/miekg/dns"

	"craneglade/internal/timing"
)

// Fault is a fault of the answer to one question.
type Fault uint8

// Faults of an answer.
const (
	NoFault      Fault = iota
	Drop               // no answer
	Truncate           // truncated over UDP, correct over TCP
	TruncateHang       // truncated over UDP; over TCP the connection stays open and silent
	WrongID            // only an answer with another id
	Poison             // a forged answer with another id and one to another question, then the correct one
	Garbage            // bytes that are not a DNS message, then the correct answer
	Servfail           // SERVFAIL
	Refused            // REFUSED
	Lame               // a non-authoritative referral
)

// Server is a running DNS server. Its zone is empty until Set.
type Server struct {
	Addr string // host:port

	mu        sync.Mutex
	zone      map[string][]dns.RR // by lower-case name
	fault     func(q dns.Question, tcp bool) Fault
	delay     time.Duration
	queries   map[uint16]int // number of questions by type
	onAnswer  func(q dns.Question, m *dns.Msg)
	listeners []*dns.Server
	ctx       context.Context // done once the server is stopped
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

// Start starts a server on a port of 127.0.0.1.
func Start() (*Server, error) {
	s := &Server{zone: map[string][]dns.RR{}, queries: map[uint16]int{}}
	var pc net.PacketConn
	var ln net.Listener
	var err error
	for range 20 { // until a port is free for both
		if pc, err = net.ListenPacket("udp", "127.0.0.1:0"); err != nil {
			return nil, err
		}
		if ln, err = net.Listen("tcp", pc.LocalAddr().String()); err == nil {
			break
		}
		pc.Close()
	}
	if err != nil {
		return nil, err
	}
	s.Addr = pc.LocalAddr().String()
	s.ctx, s.cancel = context.WithCancel(context.Background())
	for _, d := range []*dns.Server{{PacketConn: pc}, {Listener: ln}} {
		tcp := d.Listener != nil
		d.Handler = dns.HandlerFunc(func(w dns.ResponseWriter, q *dns.Msg) { s.serve(w, q, tcp) })
		started := make(chan struct{})
		d.NotifyStartedFunc = func() { close(started) }
		s.listeners = append(s.listeners, d)
		s.wg.Go(func() { d.ActivateAndServe() })
		<-started
	}
	return s, nil
}

// Stop shuts the server down.
func (s *Server) Stop() error {
	s.cancel()
	var err error
	for _, d := range s.listeners {
		err = errors.Join(err, d.Shutdown())
	}
	s.wg.Wait()
	return err
}

// Set replaces the zone by records in zone-file form. An error names the record that can't be parsed, and leaves the zone as
// it was.
func (s *Server) Set(records ...string) error {
	zone := map[string][]dns.RR{}
	for _, text := range records {
		rr, err := dns.NewRR(text)
		if err != nil {
			return fmt.Errorf("record %q: %w", text, err)
		}
		name := dns.CanonicalName(rr.Header().Name)
		zone[name] = append(zone[name], rr)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.zone = zone
	return nil
}

// SetFaults sets the function that chooses the fault of each answer (nil for none), and the delay of every answer.
func (s *Server) SetFaults(fault func(q dns.Question, tcp bool) Fault, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.delay = fault, delay
}

// OnAnswer has f called with each answer without a fault just before it is written.
func (s *Server) OnAnswer(f func(q dns.Question, m *dns.Msg)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onAnswer = f
}

// Queries returns the number of questions of a type so far.
func (s *Server) Queries(qtype uint16) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queries[qtype]
}

func (s *Server) serve(w dns.ResponseWriter, q *dns.Msg, tcp bool) {
	s.mu.Lock()
	m := s.resolve(q)
	s.queries[q.Question[0].Qtype]++
	fault, delay := NoFault, s.delay
	if s.fault != nil {
		fault = s.fault(q.Question[0], tcp)
	}
	onAnswer := s.onAnswer
	s.mu.Unlock()
	if delay > 0 && !timing.Sleep(s.ctx, delay) {
		return
	}
	switch fault {
	case Drop:
		return
	case Truncate, TruncateHang:
		if !tcp {
			m.Answer, m.Extra, m.Truncated = nil, nil, true
		} else if fault == TruncateHang {
			timing.Sleep(s.ctx, time.Minute)
			return
		}
	case WrongID:
		m.Id++
	case Poison:
		forged := m.Copy()
		forged.Id ^= 0x5555
		forged.Answer = nil
		w.WriteMsg(forged)
		forged = m.Copy()
		forged.Question[0].Name = "elsewhere.example.org."
		w.WriteMsg(forged)
	case Garbage:
		w.Write([]byte{1, 2, 3})
	case Servfail, Refused:
		m.Answer, m.Extra, m.Rcode = nil, nil, map[Fault]int{Servfail: dns.RcodeServerFailure, Refused: dns.RcodeRefused}[fault]
	case Lame:
		m.Answer, m.Extra, m.Authoritative = nil, nil, false
		m.Ns = []dns.RR{&dns.NS{Hdr: dns.RR_Header{Name: "org.", Rrtype: dns.TypeNS, Class: dns.ClassINET, Ttl: 60}, Ns: "ns.org."}}
	}
	size := dns.MaxMsgSize
	if !tcp {
		size = dns.MinMsgSize
		if o := q.IsEdns0(); o != nil {
			size = int(o.UDPSize())
		}
	}
	if m.Len() > size {
		m.Extra = nil // additional records are optional: omitting them is no truncation
	}
	m.Truncate(size)
	if fault == NoFault && onAnswer != nil {
		onAnswer(q.Question[0], m)
	}
	w.WriteMsg(m)
}

// resolve returns the correct answer. s.mu is held.
func (s *Server) resolve(q *dns.Msg) *dns.Msg {
	m := new(dns.Msg)
	m.SetReply(q)
	m.Authoritative, m.Compress = true, true
	name := dns.CanonicalName(q.Question[0].Name)
	known := false
	for range 20 {
		next := ""
		for _, rr := range s.zone[name] {
			known = true
			switch {
			case rr.Header().Rrtype == q.Question[0].Qtype:
				m.Answer = append(m.Answer, rr)
				if srv, ok := rr.(*dns.SRV); ok {
					m.Extra = append(m.Extra, s.zone[dns.CanonicalName(srv.Target)]...)
				}
			case rr.Header().Rrtype == dns.TypeCNAME:
				m.Answer, next = append(m.Answer, rr), dns.CanonicalName(rr.(*dns.CNAME).Target)
			}
		}
		if next == "" {
			break
		}
		name = next
	}
	if len(m.Answer) == 0 {
		if !known {
			m.Rcode = dns.RcodeNameError
		}
		m.Ns = []dns.RR{&dns.SOA{Hdr: dns.RR_Header{Name: "example.org.", Rrtype: dns.TypeSOA, Class: dns.ClassINET, Ttl: 3}, Ns: "ns.example.org.", Mbox: "ops.example.org.", Minttl: 2}}
	}
	return m
}
