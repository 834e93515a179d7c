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

	"craneglade/internal/sock"
	"craneglade/internal/timing"
)

const (
	maxDatagramBytes  = 65536 // of a UDP datagram with its header
	packetQueueLength = 256   // received datagrams that wait for memberlist; the kernel buffers more
	burstSeconds      = 2.0   // the token bucket holds the bytes of this many seconds, and may be overdrawn by as many
)

// transport carries memberlist's datagrams and streams on one address. Outgoing streams use that address as their source,
// so that anything between two nodes can identify the sender. Datagrams share a byte budget: user data is limited to what
// is available (see availableBytes), and a datagram that would overdraw the budget by more than a burst is dropped, as on a
// congested network.
type transport struct {
	ip             net.IP
	port           int
	udp            *net.UDPConn
	tcp            *net.TCPListener
	packets        chan *memberlist.Packet
	streams        chan net.Conn
	done           chan struct{}
	wg             sync.WaitGroup
	bytesPerSecond float64

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	stats      Traffic
}

// Traffic counts what was sent and received.
type Traffic struct {
	SentBytes     int64 `json:"sent_bytes"`
	Datagrams     int64 `json:"datagrams"`
	Dropped       int64 `json:"dropped"` // because the byte budget was overdrawn
	Streams       int64 `json:"streams"` // opened by this node
	ReceivedBytes int64 `json:"received_bytes"`
	Received      int64 `json:"received"`
}

// newTransport listens on addr. Datagrams that come faster than they are handled take their turn by work, and what the kernel has no
// space for meanwhile is dropped.
func newTransport(addr string, bytesPerSecond int, work *timing.SharedWork) (*transport, error) {
	a, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, err
	}
	t := &transport{ip: a.IP, packets: make(chan *memberlist.Packet, packetQueueLength), streams: make(chan net.Conn), done: make(chan struct{}),
		bytesPerSecond: float64(bytesPerSecond), tokens: burstSeconds * float64(bytesPerSecond), refilledAt: time.Now()}
	if t.tcp, err = net.ListenTCP("tcp", a); err != nil {
		return nil, err
	}
	t.port = t.tcp.Addr().(*net.TCPAddr).Port
	if t.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: a.IP, Port: t.port}); err != nil {
		return nil, errors.Join(err, t.tcp.Close())
	}
	t.wg.Go(func() { t.readDatagrams(work) })
	t.wg.Go(t.acceptStreams)
	return t, nil
}

func (t *transport) readDatagrams(work *timing.SharedWork) {
	buf := make([]byte, maxDatagramBytes)
	in := &datagramReader{udp: t.udp}
	probe := sock.NewPeeker(t.udp)
	fair := timing.FairReader{Source: in, Shared: work,
		HasInput: func() bool { return probe.Pending() == sock.Readable },
		Ending:   t.isShutDown}
	for {
		n, err := fair.Read(buf)
		from := in.from
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an ICMP error caused by an earlier datagram
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

// datagramReader reads datagrams and keeps the sender of the latest.
type datagramReader struct {
	udp  *net.UDPConn
	from net.Addr
}

func (r *datagramReader) Read(p []byte) (n int, err error) {
	n, r.from, err = r.udp.ReadFrom(p)
	return n, err
}

// isShutDown reports whether Shutdown was called.
func (t *transport) isShutDown() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

func (t *transport) acceptStreams() {
	for {
		c, err := t.tcp.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			select { // most likely out of file descriptors
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

// takeTokens takes the bytes of a datagram out of the budget; false where that would overdraw it by more than a burst.
func (t *transport) takeTokens(n int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refill()
	if t.tokens < float64(n)-burstSeconds*t.bytesPerSecond {
		t.stats.Dropped++
		return false
	}
	t.tokens -= float64(n)
	t.stats.SentBytes += int64(n)
	t.stats.Datagrams++
	return true
}

func (t *transport) refill() {
	now := time.Now()
	t.tokens = min(burstSeconds*t.bytesPerSecond, t.tokens+t.bytesPerSecond*now.Sub(t.refilledAt).Seconds())
	t.refilledAt = now
}

// availableBytes returns how many bytes of user data the budget has left now.
func (t *transport) availableBytes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refill()
	return int(max(0, t.tokens))
}

func (t *transport) traffic() Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats
}

// FinalAdvertiseAddr returns the address that other members are given: the configured one, or else the one listened on.
func (t *transport) FinalAdvertiseAddr(ip string, port int) (net.IP, int, error) {
	if ip == "" {
		return t.ip, t.port, nil
	}
	addr := net.ParseIP(ip)
	if addr == nil {
		return nil, 0, fmt.Errorf("%q is not an IP address", ip)
	}
	return addr, port, nil
}

// WriteTo sends a datagram. It returns no error for one that is dropped, as any datagram can be lost.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return time.Time{}, err
	}
	if t.takeTokens(len(b)) {
		_, err = t.udp.WriteTo(b, to)
	}
	return time.Now(), err
}

// PacketCh returns the received datagrams.
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

// StreamCh returns the streams that other members opened.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown closes both sockets and waits for their readers.
func (t *transport) Shutdown() error {
	close(t.done)
	err := errors.Join(t.tcp.Close(), t.udp.Close())
	t.wg.Wait()
	return err
}

// splitAddr splits an address that has been validated.
func splitAddr(addr string) (host string, port int, err error) {
	host, text, err := net.SplitHostPort(addr)
	if err == nil {
		port, err = strconv.Atoi(text)
	}
	return host, port, err
}
