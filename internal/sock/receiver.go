package sock

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"craneglade/internal/arrival"
)

// ObserveInterval is how often what arrives on a connection should be observed while nothing is read from it. Arrival times have an
// error of up to it.
const ObserveInterval = 10 * time.Millisecond

// Receiver reads from a connection, and determines when the bytes that it reads had arrived on this machine, however long they have
// waited in the kernel. While nothing is read for a while, Observe has to be called, or Watch. It is safe for concurrent use.
type Receiver struct {
	conn      net.Conn
	raw       syscall.RawConn // nil if the connection is not a socket
	sinceLast func(net.Conn) time.Duration
	start     time.Time
	watched   *Peeker // used by Watch

	mu        sync.Mutex
	read      int64 // bytes read
	unread    int   // set by count
	count     func(fd uintptr)
	arrivals  arrival.Log // times count from start
	observing *time.Timer // calls observeAgain; nil until ObserveWhile was called first
	waiting   int         // calls of ObserveWhile that have not returned
}

// NewReceiver returns a Receiver for a connection from which nothing was read. sinceLast returns how long ago data was last received on
// it; nil for SinceLastReceive.
func NewReceiver(c net.Conn, sinceLast func(net.Conn) time.Duration) *Receiver {
	if sinceLast == nil {
		sinceLast = SinceLastReceive
	}
	r := &Receiver{conn: c, sinceLast: sinceLast, start: time.Now(), watched: NewPeeker(c)}
	if s, ok := c.(syscall.Conn); ok {
		r.raw, _ = s.SyscallConn()
	}
	r.count = func(fd uintptr) { r.unread = queueBytes(int(fd), unix.SIOCINQ) }
	return r
}

// Read reads from the connection.
func (r *Receiver) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	if n > 0 {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.read += int64(n)
		if r.read > r.arrivals.Total() {
			r.observe()
		}
	}
	return n, err
}

// Observe records what has arrived and was not read.
func (r *Receiver) Observe() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observe()
}

// observe is Observe with r.mu held. The kernel tells when the latest bytes arrived: others that it observes for the first time have
// arrived no later.
func (r *Receiver) observe() {
	r.unread = 0
	if r.raw != nil {
		r.raw.Control(r.count) // an error means that the socket is closed on this side
	}
	total := r.read + int64(r.unread)
	if total > r.arrivals.Total() {
		waited := r.sinceLast(r.conn)
		r.arrivals.Observe(time.Since(r.start)-waited, total)
	}
}

// Position returns the number of bytes that were read.
func (r *Receiver) Position() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read
}

// ArrivedBy returns when the first count bytes had arrived, and false if they have not, as far as was observed. After that it must not be
// called with a lower count.
func (r *Receiver) ArrivedBy(count int64) (at time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals.Forget(count)
	since, ok := r.arrivals.At(count)
	return r.start.Add(since), ok
}

// ObserveWhile calls f, which reads nothing from the connection, and observes what arrives meanwhile.
func (r *Receiver) ObserveWhile(f func()) {
	r.mu.Lock()
	r.waiting++
	if r.observing == nil {
		r.observing = time.AfterFunc(ObserveInterval, r.observeAgain)
	} else if r.waiting == 1 {
		r.observing.Reset(ObserveInterval)
	}
	r.mu.Unlock()
	f()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiting--; r.waiting == 0 {
		r.observing.Stop()
	}
}

// observeAgain observes for as long as a call of ObserveWhile lasts.
func (r *Receiver) observeAgain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiting > 0 {
		r.observe()
		r.observing.Reset(ObserveInterval)
	}
}

// Watch observes what arrives until the other side has closed the connection, or has sent so much that a close behind it could not be
// known, and returns which. It reads nothing, and nothing else may be reading. It ends with PeerPresent when the connection's read
// deadline passes.
func (r *Receiver) Watch() PeerState {
	if r.raw == nil {
		return PeerClosed
	}
	state := PeerPresent
	err := r.raw.Read(func(uintptr) bool { // called again whenever more arrives
		if r.watched.Pending() == Empty {
			return false
		}
		r.Observe()
		state = r.watched.Peer()
		return state != PeerPresent
	})
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return PeerClosed
	}
	return state
}
