// Package nameserver is a stand-in for a DNS server on loopback, over UDP and TCP on one port, that answers by its zone and
// misbehaves by its script: it cuts answers, loses, delays and forges them, and is shut down.
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

// Fault is how one question is answered wrongly.
type Fault uint8

// What can go wrong with a question.
const (
	NoFault      Fault = iota
	Drop               // no answer
	Truncate           // truncated over UDP, sound over TCP
	TruncateHang       // truncated over UDP; over TCP the connection stays open and silent
	WrongID            // an answer with another id, and no other
	Poison             // first a forged answer with another id and one to another question, then the sound one
	Garbage            // bytes that are no message, then the sound answer
	Servfail           // SERVFAIL
	Refused            // REFUSED
	Lame               // a referral, without recursion
)

// Server answers from Zone. Set its fields before Start, and change them by Set afterwards.
type Server struct {
	Addr string // host:port

	mu    sync.Mutex
	zone  map[string][]dns.RR // by lower-case name
	fault func(q dns.Question, tcp bool) Fault
	delay time.Duration
	asked map[uint16]int // questions by type
	told  func(q dns.Question, m *dns.Msg)
	servs []*dns.Server
	ctx   context.Context // until it is stopped
	end   context.CancelFunc
	wg    sync.WaitGroup
}

// Start listens on a port of 127.0.0.1.
func Start() (*Server, error) {
	s := &Server{zone: map[string][]dns.RR{}, asked: map[uint16]int{}}
	var pc net.PacketConn
	var ln net.Listener
	var err error
	for range 20 { // a port that is free for both
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
	s.ctx, s.end = context.WithCancel(context.Background())
	for _, d := range []*dns.Server{{PacketConn: pc}, {Listener: ln}} {
		tcp := d.Listener != nil
		d.Handler = dns.HandlerFunc(func(w dns.ResponseWriter, q *dns.Msg) { s.answer(w, q, tcp) })
		started := make(chan struct{})
		d.NotifyStartedFunc = func() { close(started) }
		s.servs = append(s.servs, d)
		s.wg.Go(func() { d.ActivateAndServe() })
		<-started
	}
	return s, nil
}

// Stop shuts the server down.
func (s *Server) Stop() error {
	s.end()
	var err error
	for _, d := range s.servs {
		err = errors.Join(err, d.Shutdown())
	}
	s.wg.Wait()
	return err
}

// Set replaces the zone by records in the form of a zone file; an error names the one that can't be read.
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

// SetFaults sets what goes wrong with each question, and how long every answer takes; nil for nothing.
func (s *Server) SetFaults(fault func(q dns.Question, tcp bool) Fault, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.delay = fault, delay
}

// OnAnswer has f called with each sound answer just before it is written.
func (s *Server) OnAnswer(f func(q dns.Question, m *dns.Msg)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = f
}

// Queries is how many questions of a type have come.
func (s *Server) Queries(kind uint16) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked[kind]
}

func (s *Server) answer(w dns.ResponseWriter, q *dns.Msg, tcp bool) {
	s.mu.Lock()
	m := s.message(q)
	s.asked[q.Question[0].Qtype]++
	fault, delay := NoFault, s.delay
	if s.fault != nil {
		fault = s.fault(q.Question[0], tcp)
	}
	told := s.told
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
		bad := m.Copy()
		bad.Id ^= 0x5555
		bad.Answer = nil
		w.WriteMsg(bad)
		bad = m.Copy()
		bad.Question[0].Name = "elsewhere.example.org."
		w.WriteMsg(bad)
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
		m.Extra = nil // nobody needs these, and leaving them out cuts no answer
	}
	m.Truncate(size)
	if fault == NoFault && told != nil {
		told(q.Question[0], m)
	}
	w.WriteMsg(m)
}

// message is the sound answer. s.mu is held.
func (s *Server) message(q *dns.Msg) *dns.Msg {
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
