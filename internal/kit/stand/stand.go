// Package stand has stand-ins for everything a node talks to: backends, discovery and clients that speak its protocols
// over real connections. Listeners and the dial function are passed in, so that it runs on any network; the time comes
// from package time alone. Decisions are made in packages boxmodel and plan; what the stand-ins see goes to a trace.
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

// Clock measures time from the start of a rehearsal.
type Clock struct{ Start time.Time }

// Now returns the time since the start.
func (c Clock) Now() time.Duration { return time.Since(c.Start) }

// us returns the time since the start in microseconds, as in traces.
func (c Clock) us() int64 { return trace.Microseconds(c.Now()) }

// digest returns a hash by which the trace tells bodies apart.
func digest(body []byte) string {
	h := fnv.New64a()
	h.Write(body)
	return strconv.FormatUint(h.Sum64(), 16)
}

// lingerSetter is a connection that can be closed with a reset, such as *net.TCPConn.
type lingerSetter interface{ SetLinger(sec int) error }

// reset closes a connection so that the other side sees a reset, if the network supports that.
func reset(c net.Conn) {
	if r, ok := c.(lingerSetter); ok {
		r.SetLinger(0)
	}
	c.Close()
}
