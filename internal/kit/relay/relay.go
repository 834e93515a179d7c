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
	most      = 200 // nodes: each has an address of its own
	nodePort  = 17946
	relayPort = 17947
	tries     = 20 // networks of loopback addresses that are tried
	dialTime  = time.Second
	look      = 20 * time.Millisecond // how often a stream looks whether its link is cut
	datagram  = 64 << 10
)

// Event is one thing that went through, or did not.
type Event struct {
	From, To int // nodes, from 0; From is -1 for nobody that is known
	Outcome  string
	Bytes    int
	Stream   bool // it is the opening of one
}

// Net is the network between some nodes. Each node listens at its Node address and tells the others its Relay address.
type Net struct {
	ips  []netip.Addr
	note func(Event)
	ends context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
	udp  []*net.UDPConn
	tcp  []*net.TCPListener

	mu      sync.Mutex
	links   map[[2]int]*link
	trouble map[int]rule // by the id that Set gave
	next    int
	seed    uint64
}

type rule struct {
	of func(from, to int) bool
	Fault
}

// New makes a network for n nodes, on loopback addresses that nobody else uses. Note is called with each thing that went
// through, from many goroutines; nil for nobody.
func New(n int, seed uint64, note func(Event)) (*Net, error) {
	if n < 1 || n > most {
		return nil, fmt.Errorf("relay: %d nodes are outside 1 to %d", n, most)
	}
	if note == nil {
		note = func(Event) {}
	}
	var err error
	for range tries {
		r := &Net{note: note, links: map[[2]int]*link{}, trouble: map[int]rule{}, seed: seed}
		r.ends, r.stop = context.WithCancel(context.Background())
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
		// The node's own port must be free too: nobody else has this address, then.
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
		r.wg.Go(func() { r.datagrams(i) })
		r.wg.Go(func() { r.streams(i) })
	}
	return nil
}

// NodeAddr is the address that node i listens on, and Relay the one that it tells others.
func (r *Net) NodeAddr(i int) string {
	return net.JoinHostPort(r.ips[i].String(), strconv.Itoa(nodePort))
}

// RelayAddr is the address at which others reach node i.
func (r *Net) RelayAddr(i int) string {
	return net.JoinHostPort(r.ips[i].String(), strconv.Itoa(relayPort))
}

// Inject begins a trouble on the links that of names, and returns what ends it.
func (r *Net) Inject(t Fault, of func(from, to int) bool) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	id := r.next
	r.trouble[id] = rule{of, t}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.trouble, id)
	}
}

func (r *Net) now(from, to int) (t Fault) {
	for _, x := range r.trouble {
		if x.of(from, to) {
			t = t.with(x.Fault)
		}
	}
	return t
}

func (r *Net) cut(from, to int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now(from, to).Cut
}

// who is the node with an address; -1 for none.
func (r *Net) who(addr netip.Addr) int {
	for i, ip := range r.ips {
		if ip == addr.Unmap() {
			return i
		}
	}
	return -1
}

// datagrams carries what is sent to node to.
func (r *Net) datagrams(to int) {
	buf := make([]byte, datagram)
	at := net.UDPAddrFromAddrPort(netip.AddrPortFrom(r.ips[to], nodePort))
	for {
		n, addr, err := r.udp[to].ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // a node that is down refuses
		}
		from := r.who(addr.Addr())
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
		f := l.draw(r.now(from, to), n)
		r.mu.Unlock()
		r.note(Event{from, to, f.how, n, false})
		b := append([]byte(nil), buf[:n]...)
		if f.spoil >= 0 {
			b[f.spoil] ^= 1 << (f.spoil % 8)
		}
		for _, d := range f.delays {
			if d == 0 {
				r.udp[to].WriteTo(b, at) // one that is lost is lost
				continue
			}
			r.wg.Go(func() {
				if timing.Sleep(r.ends, d) {
					r.udp[to].WriteTo(b, at)
				}
			})
		}
	}
}

// streams carries the streams that are opened to node to.
func (r *Net) streams(to int) {
	for {
		c, err := r.tcp[to].AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if !timing.Sleep(r.ends, look) {
				return
			}
			continue
		}
		r.wg.Go(func() {
			defer c.Close()
			r.stream(c, to)
		})
	}
}

func (r *Net) stream(c *net.TCPConn, to int) {
	from := -1
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		from = r.who(a.AddrPort().Addr())
	}
	if from < 0 {
		r.note(Event{-1, to, Unknown, 0, true})
		return
	}
	if r.cut(from, to) || r.cut(to, from) {
		r.note(Event{from, to, Cut, 0, true})
		r.hold(from, to)
		return
	}
	d, err := net.DialTimeout("tcp", r.NodeAddr(to), dialTime)
	if err != nil {
		return // it is down, and so is the stream
	}
	defer d.Close()
	r.note(Event{from, to, Passed, 0, true})
	ended := make(chan struct{}, 2)
	r.wg.Go(func() {
		r.pipe(d, c, from, to)
		ended <- struct{}{}
	})
	r.wg.Go(func() {
		r.pipe(c, d, to, from)
		ended <- struct{}{}
	})
	for range 2 {
		select {
		case <-ended:
		case <-r.ends.Done():
			return
		}
	}
}

// hold stands still while a link is cut: nobody refuses what nobody hears.
func (r *Net) hold(from, to int) {
	for (r.cut(from, to) || r.cut(to, from)) && timing.Sleep(r.ends, look) {
	}
}

// pipe carries one direction of a stream, until it ends or the link is cut: then both sides see it break.
func (r *Net) pipe(to, from net.Conn, a, b int) {
	buf := make([]byte, 16<<10)
	for {
		from.SetReadDeadline(time.Now().Add(look))
		n, err := from.Read(buf)
		r.mu.Lock()
		t := r.now(a, b)
		r.mu.Unlock()
		if t.Cut {
			r.hold(a, b)
			to.Close()
			from.Close()
			return
		}
		if n > 0 {
			if t.Delay > 0 && !timing.Sleep(r.ends, t.Delay) {
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		switch {
		case err == nil:
		case isTimeout(err):
			if r.ends.Err() != nil {
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

// Close ends the network and waits for all that it carries.
func (r *Net) Close() {
	r.stop()
	for _, u := range r.udp {
		u.Close()
	}
	for _, t := range r.tcp {
		t.Close()
	}
	r.wg.Wait()
}
