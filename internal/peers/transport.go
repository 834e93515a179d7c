package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	largest = 65536 // bytes of a UDP datagram with its header
	waiting = 256   // datagrams that wait to be taken in; the kernel keeps more
	bursts  = 2.0   // seconds' worth of bytes that may go at once; beyond it datagrams are dropped
)

// transport carries memberlist's datagrams and streams on one address. Streams go out from that address too, so that
// whoever stands between two nodes can tell which one speaks. What it sends in a second stays within its budget: user data
// waits for room (see room), and a datagram that comes when the budget is overdrawn is dropped, as a network does.
type transport struct {
	ip        net.IP
	port      int
	udp       *net.UDPConn
	tcp       *net.TCPListener
	packets   chan *memberlist.Packet
	streams   chan net.Conn
	done      chan struct{}
	wg        sync.WaitGroup
	perSecond float64

	mu     sync.Mutex
	tokens float64
	filled time.Time
	stats  Traffic
}

// Traffic counts what went over the wire.
type Traffic struct {
	SentBytes     int64 `json:"sent_bytes"`
	Datagrams     int64 `json:"datagrams"`
	Dropped       int64 `json:"dropped"` // for want of budget
	Streams       int64 `json:"streams"` // opened from here
	ReceivedBytes int64 `json:"received_bytes"`
	Received      int64 `json:"received"`
}

func newTransport(addr string, perSecond int) (*transport, error) {
	a, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, err
	}
	t := &transport{ip: a.IP, packets: make(chan *memberlist.Packet, waiting), streams: make(chan net.Conn), done: make(chan struct{}),
		perSecond: float64(perSecond), tokens: bursts * float64(perSecond), filled: time.Now()}
	if t.tcp, err = net.ListenTCP("tcp", a); err != nil {
		return nil, err
	}
	t.port = t.tcp.Addr().(*net.TCPAddr).Port
	if t.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: a.IP, Port: t.port}); err != nil {
		return nil, errors.Join(err, t.tcp.Close())
	}
	t.wg.Go(t.read)
	t.wg.Go(t.accept)
	return t, nil
}

func (t *transport) read() {
	buf := make([]byte, largest)
	for {
		n, from, err := t.udp.ReadFrom(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // a peer's refusal comes back as an error of this socket
		}
		if n == 0 {
			continue
		}
		t.mu.Lock()
		t.stats.Received++
		t.stats.ReceivedBytes += int64(n)
		t.mu.Unlock()
		p := &memberlist.Packet{Buf: append([]byte(nil), buf[:n]...), From: from, Timestamp: time.Now()}
		select {
		case t.packets <- p:
		case <-t.done:
			return
		}
	}
}

func (t *transport) accept() {
	for {
		c, err := t.tcp.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			select { // out of descriptors, most likely
			case <-time.After(50 * time.Millisecond):
				continue
			case <-t.done:
				return
			}
		}
		select {
		case t.streams <- c:
		case <-t.done:
			c.Close()
			return
		}
	}
}

// spend takes bytes off the budget, and tells whether there was room.
func (t *transport) spend(n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fill()
	if t.tokens < float64(n)-bursts*t.perSecond {
		t.stats.Dropped++
		return false
	}
	t.tokens -= float64(n)
	t.stats.SentBytes += int64(n)
	t.stats.Datagrams++
	return true
}

func (t *transport) fill() {
	now := time.Now()
	t.tokens = min(bursts*t.perSecond, t.tokens+t.perSecond*now.Sub(t.filled).Seconds())
	t.filled = now
}

// room is how many bytes of user data the budget has room for now.
func (t *transport) room() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fill()
	return int(max(0, t.tokens))
}

func (t *transport) traffic() Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats
}

// FinalAdvertiseAddr is the address that others are told; the configured one goes before the one that is listened on.
func (t *transport) FinalAdvertiseAddr(ip string, port int) (net.IP, int, error) {
	if ip == "" {
		return t.ip, t.port, nil
	}
	addr := net.ParseIP(ip)
	if addr == nil {
		return nil, 0, fmt.Errorf("%q is no IP address", ip)
	}
	return addr, port, nil
}

// WriteTo sends a datagram. One that is dropped is no error: none may arrive in any case.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return time.Time{}, err
	}
	if t.spend(len(b)) {
		_, err = t.udp.WriteTo(b, to)
	}
	return time.Now(), err
}

// PacketCh gives the datagrams that came.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// DialTimeout opens a stream to a member.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if !t.ip.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: t.ip}
	}
	t.mu.Lock()
	t.stats.Streams++
	t.mu.Unlock()
	return d.DialContext(context.Background(), "tcp", addr)
}

// StreamCh gives the streams that others opened.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown closes both sockets and waits for what reads them.
func (t *transport) Shutdown() error {
	close(t.done)
	err := errors.Join(t.tcp.Close(), t.udp.Close())
	t.wg.Wait()
	return err
}

// split takes an address apart that was checked before.
func split(addr string) (host string, port int, err error) {
	host, text, err := net.SplitHostPort(addr)
	if err == nil {
		port, err = strconv.Atoi(text)
	}
	return host, port, err
}
