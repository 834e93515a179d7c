// Package stand is the world round a node: boxes, the box list and clients that speak its protocols. Each takes the
// listeners and the dial function that it is given, so that it runs on any network, and takes the time from the time
// package alone. What they decide is in boxmodel and plan; what they see goes to a trace.
package stand

import (
	"context"
	"hash/fnv"
	"net"
	"strconv"
	"time"

	"craneglade/internal/kit/trace"
)

// Dial opens a connection to an address.
type Dial func(ctx context.Context, addr string) (net.Conn, error)

// Clock counts from the start of a rehearsal.
type Clock struct{ Start time.Time }

// Now is the time since the start.
func (c Clock) Now() time.Duration { return time.Since(c.Start) }

// us is the time since the start as traces have it.
func (c Clock) us() int64 { return trace.US(c.Now()) }

// digest tells bodies apart.
func digest(body []byte) string {
	h := fnv.New64a()
	h.Write(body)
	return strconv.FormatUint(h.Sum64(), 16)
}

// lingerSetter is what a connection can do that can be broken without a word; *net.TCPConn is one.
type lingerSetter interface{ SetLinger(sec int) error }

// reset breaks a connection so that the other side sees a reset where the network knows such a thing.
func reset(c net.Conn) {
	if r, ok := c.(lingerSetter); ok {
		r.SetLinger(0)
	}
	c.Close()
}
