package sock

import (
	"context"
	"net"
	"time"

	"craneglade/internal/timing"
)

// againEvery is how long after an error that may pass a socket is tried again.
const againEvery = 10 * time.Millisecond

// Dialer is a net.Dialer that tries again, within its Timeout, where the machine refuses a connection for a moment. One that the
// other side refuses is not tried again.
type Dialer struct{ net.Dialer }

// DialContext connects within ctx and the Timeout, if that is set. Its error is the last one of all tries.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if d.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.Timeout)
		defer cancel()
	}
	for {
		conn, err := d.Dialer.DialContext(ctx, network, address)
		if err == nil || !mayPass(err) || !timing.Sleep(ctx, againEvery) {
			return conn, err
		}
	}
}

// Listen listens on a TCP address, without keep-alive. Where the machine refuses that for a moment, or another process has the
// address, it tries again for as long as patience; waits is then called once with the error.
func Listen(ctx context.Context, address string, patience time.Duration, waits func(err error)) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	end := time.Now().Add(patience)
	for told := false; ; told = true {
		listener, err := config.Listen(ctx, "tcp", address)
		if err == nil || !mayPass(err) || time.Now().After(end) {
			return listener, err
		}
		if !told {
			waits(err)
		}
		if !timing.Sleep(ctx, againEvery) {
			return nil, err
		}
	}
}
