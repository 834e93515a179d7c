package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"craneglade/internal/timing"
)

const (
	maxNodes         = 200 // a node's address ends in its number, from 1
	nodePort         = 17946
	relayPort        = 17947
	listenAttempts   = 20 // each with other loopback addresses
	dialTimeout      = time.Second
	pollInterval     = 20 * time.Millisecond // between checks of a stream whether its link is cut
	maxDatagramBytes = 64 << 10
)

// Event is a datagram or the opening of a stream, forwarded or not.
type Event struct {
	From, To int // nodes, from 0; From is -1 for an unknown sender
	Outcome  string
	Bytes    int
	Stream   bool // the opening of a stream
}

// Net is the network between some nodes. Each node listens on its NodeAddr and advertises its RelayAddr to the others.
type Net struct {
	ips    []netip.Addr
	note   func(Event)
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	udp    []*net.UDPConn
	tcp    []*net.TCPListener

	mu     sync.Mutex
	links  map[[2]int]*link
	faults map[int]rule // by an id that Inject assigns
	lastID int
	seed   uint64
}

type rule struct {
	applies func(from, to int) bool
	Fault
}

// New creates a network for n nodes, on loopback addresses that no other process uses. Note, if not nil, is called with each
// event, from several goroutines.
func New(n int, seed uint64, note func(Event)) (*Net, error) {
	if n < 1 || n > maxNodes {
		return nil, fmt.Errorf("relay: %d nodes are outside 1 to %d", n, maxNodes)
	}
	if note == nil {
		note = func(Event) {}
	}
	var err error
	for range listenAttempts {
		r := &Net{note: note, links: map[[2]int]*link{}, faults: map[int]rule{}, seed: seed}
		r.ctx, r.cancel = context.WithCancel(context.Background())
		a, b := byte(1+rand.IntN(254)), byte(rand.IntN(256))
		if err = r.listen(n, a, b); err == nil {
			return r, nil
		}
		r.Close()
	}
	return nil, fmt.Errorf("relay: no loopback network is free: %w", err)
}

func (r *Net) listen(n int, a, b byte) error {
	for i := range n {
		r.ips = append(r.ips, netip.AddrFrom4([4]byte{127, a, b, byte(i + 1)}))
	}
	for i := range n {
		// If the node's own port is free as well, no other rehearsal uses this address.
		own, err := net.Listen("tcp", r.NodeAddr(i))
		if err != nil {
			return err
		}
		own.Close()
		addr := netip.AddrPortFrom(r.ips[i], relayPort)
		u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
		if err != nil {
			return err
		}
		r.udp = append(r.udp, u)
		t, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
		if err != nil {
			return err
		}
		r.tcp = append(r.tcp, t)
	}
	for i := range n {
		r.wg.Go(func() { r.forwardDatagrams(i) })
		r.wg.Go(func() { r.acceptStreams(i) })
	}
	return nil
}

// NodeAddr returns the address that node i listens on. The other nodes use RelayAddr instead.
func (r *Net) NodeAddr(i int) string {
	return net.JoinHostPort(r.ips[i].String(), strconv.Itoa(nodePort))
}

// RelayAddr returns the address at which the other nodes reach node i.
func (r *Net) RelayAddr(i int) string {
	return net.JoinHostPort(r.ips[i].String(), strconv.Itoa(relayPort))
}

// Inject begins a fault on the links for which applies returns true, and returns a function that ends it.
func (r *Net) Inject(t Fault, applies func(from, to int) bool) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	id := r.lastID
	r.faults[id] = rule{applies, t}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.faults, id)
	}
}

func (r *Net) activeFault(from, to int) (t Fault) {
	for _, x := range r.faults {
		if x.applies(from, to) {
			t = t.combine(x.Fault)
		}
	}
	return t
}

func (r *Net) isCut(from, to int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.activeFault(from, to).Cut
}

// nodeAt returns the index of the node with an address, or -1.
func (r *Net) nodeAt(addr netip.Addr) int {
	for i, ip := range r.ips {
		if ip == addr.Unmap() {
			return i
		}
	}
	return -1
}

// forwardDatagrams forwards the datagrams to node to.
func (r *Net) forwardDatagrams(to int) {
	buf := make([]byte, maxDatagramBytes)
	dest := net.UDPAddrFromAddrPort(netip.AddrPortFrom(r.ips[to], nodePort))
	for {
		n, addr, err := r.udp[to].ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an earlier datagram was refused, as the node is down
		}
		from := r.nodeAt(addr.Addr())
		if from < 0 {
			r.note(Event{-1, to, Unknown, n, false})
			continue
		}
		r.mu.Lock()
		l := r.links[[2]int{from, to}]
		if l == nil {
			l = newLink(r.seed, from, to)
			r.links[[2]int{from, to}] = l
		}
		f := l.draw(r.activeFault(from, to), n)
		r.mu.Unlock()
		r.note(Event{from, to, f.outcome, n, false})
		b := append([]byte(nil), buf[:n]...)
		if f.corruptByte >= 0 {
			b[f.corruptByte] ^= 1 << (f.corruptByte % 8)
		}
		for _, d := range f.delays {
			if d == 0 {
				r.udp[to].WriteTo(b, dest) // UDP: a failed write is a lost datagram
				continue
			}
			r.wg.Go(func() {
				if timing.Sleep(r.ctx, d) {
					r.udp[to].WriteTo(b, dest)
				}
			})
		}
	}
}

// acceptStreams accepts and forwards the streams to node to.
func (r *Net) acceptStreams(to int) {
	for {
		c, err := r.tcp[to].AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if !timing.Sleep(r.ctx, pollInterval) {
				return
			}
			continue
		}
		r.wg.Go(func() {
			defer c.Close()
			r.forwardStream(c, to)
		})
	}
}

func (r *Net) forwardStream(c *net.TCPConn, to int) {
	from := -1
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		from = r.nodeAt(a.AddrPort().Addr())
	}
	if from < 0 {
		r.note(Event{-1, to, Unknown, 0, true})
		return
	}
	if r.isCut(from, to) || r.isCut(to, from) {
		r.note(Event{from, to, Cut, 0, true})
		r.waitWhileCut(from, to)
		return
	}
	d, err := net.DialTimeout("tcp", r.NodeAddr(to), dialTimeout)
	if err != nil {
		return // the node is down; the caller closes c
	}
	defer d.Close()
	r.note(Event{from, to, Passed, 0, true})
	ended := make(chan struct{}, 2)
	r.wg.Go(func() {
		r.copyStream(d, c, from, to)
		ended <- struct{}{}
	})
	r.wg.Go(func() {
		r.copyStream(c, d, to, from)
		ended <- struct{}{}
	})
	for range 2 {
		select {
		case <-ended:
		case <-r.ctx.Done():
			return
		}
	}
}

// waitWhileCut blocks while a link is cut in either direction: what is sent over a cut link gets no reply, not even a refusal.
func (r *Net) waitWhileCut(from, to int) {
	for (r.isCut(from, to) || r.isCut(to, from)) && timing.Sleep(r.ctx, pollInterval) {
	}
}

// copyStream forwards one direction of a stream until the stream ends. If the link is cut, it closes both sides when the cut
// ends.
func (r *Net) copyStream(to, from net.Conn, fromNode, toNode int) {
	buf := make([]byte, 16<<10)
	for {
		from.SetReadDeadline(time.Now().Add(pollInterval))
		n, err := from.Read(buf)
		r.mu.Lock()
		t := r.activeFault(fromNode, toNode)
		r.mu.Unlock()
		if t.Cut {
			r.waitWhileCut(fromNode, toNode)
			to.Close()
			from.Close()
			return
		}
		if n > 0 {
			if t.Delay > 0 && !timing.Sleep(r.ctx, t.Delay) {
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		switch {
		case err == nil:
		case isTimeout(err):
			if r.ctx.Err() != nil {
				return
			}
		default:
			if errors.Is(err, io.EOF) {
				if w, ok := to.(*net.TCPConn); ok {
					w.CloseWrite()
				}
			} else {
				to.Close()
			}
			return
		}
	}
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// Close shuts the network down and waits for its goroutines.
func (r *Net) Close() {
	r.cancel()
	for _, u := range r.udp {
		u.Close()
	}
	for _, t := range r.tcp {
		t.Close()
	}
	r.wg.Wait()
}
