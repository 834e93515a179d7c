package sock

import (
	"context"
	"net"
	"time"

	"craneglade/internal/timing"
)

// retryInterval is the wait before an operation that failed with a transient error is tried again.
const retryInterval = 10 * time.Millisecond

// Dialer is a net.Dialer that retries, within its Timeout, while this machine cannot open a connection for a transient local reason.
// A connection that the other side refuses is not retried.
type Dialer struct{ net.Dialer }

// DialContext connects before ctx ends and, if Timeout is set, within Timeout. The error it returns is that of the last try.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if d.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.Timeout)
		defer cancel()
	}
	for {
		conn, err := d.Dialer.DialContext(ctx, network, address)
		if err == nil || !isTransient(err) || !timing.Sleep(ctx, retryInterval) {
			return conn, err
		}
	}
}

// Listen listens on a TCP address, with keep-alive disabled and with bounded kernel buffers for the connections that it accepts. After
// a transient local error, or while another process has the address, it retries for up to timeout. onRetry is called once, with the
// first such error.
func Listen(ctx context.Context, address string, timeout time.Duration, onRetry func(err error)) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1, Control: setBuffers}
	deadline := time.Now().Add(timeout)
	for notified := false; ; notified = true {
		listener, err := config.Listen(ctx, "tcp", address)
		if err == nil || !isTransient(err) || time.Now().After(deadline) {
			return listener, err
		}
		if !notified {
			onRetry(err)
		}
		if !timing.Sleep(ctx, retryInterval) {
			return nil, err
		}
	}
}
