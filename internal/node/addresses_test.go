package node

import (
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"testing"

	"craneglade/internal/engine"
)

// withAddresses returns the list entry of a backend with more addresses before its own.
func withAddresses(b *stubBackend, more ...string) engine.ListedBackend {
	e := b.entry("s-0")
	e.Addrs = append(append([]string{}, more...), e.Addr)
	return e
}

// listenWithoutAccept listens at an address at which connections open, but nothing responds.
func listenWithoutAccept(t *testing.T, network, addr string) string {
	t.Helper()
	ln, err := net.Listen(network, addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	if network == "unix" {
		return "unix:" + addr
	}
	return ln.Addr().String()
}

// Addresses that refuse connections, do not exist or are malformed lose no request: the backend is reached at the remaining one.
func TestUnreachableAddressesLoseNoRequest(t *testing.T) {
	t.Parallel()
	b := newStubBackend(t, respondOK)
	dir := t.TempDir()
	dead, err := net.Listen("unix", filepath.Join(dir, "dead"))
	if err != nil {
		t.Fatal(err)
	}
	dead.(*net.UnixListener).SetUnlinkOnClose(false)
	dead.Close()
	r := startNode(t, newStubDiscovery(t), settingsJSON, nil, withAddresses(b, "unix:"+filepath.Join(dir, "dead"), "unix:"+filepath.Join(dir, "none"), "127.0.0.1:1", "nonsense"))
	c := r.dial(t)
	for i := range 20 {
		for _, q := range []testRequest{view(fmt.Sprint("v", i)), quote(fmt.Sprint("q", i))} {
			if resp, _ := c.roundTrip(q); resp.StatusCode != 200 {
				t.Fatalf("request %d: %d", i, resp.StatusCode)
			}
		}
	}
	if n := len(b.requests()); n != 40 {
		t.Errorf("the backend got %d requests, want 40", n)
	}
}

// One address of a backend accepts connections and does not respond. A quote that was written there completely may have run, so it is not
// retried, at any address. The node detects the address as failing and uses the other one.
func TestUnsafeRequestIsNotRetriedOnNextAddress(t *testing.T) {
	t.Parallel()
	b := newStubBackend(t, respondOK)
	hung := listenWithoutAccept(t, "unix", filepath.Join(t.TempDir(), "s"))
	r := startNode(t, newStubDiscovery(t), settingsJSON, nil, withAddresses(b, hung))
	c := r.dial(t)
	failed := 0
	for i := range 6 {
		q := quote(fmt.Sprint("q", i))
		q.deadline = "300m"
		resp, _ := c.roundTrip(q)
		switch {
		case resp.StatusCode == http.StatusOK:
		default:
			failed++
			for _, got := range b.requests() {
				if got.Header.Get("X-Request-Id") == fmt.Sprint("q", i) {
					t.Errorf("quote %d was sent to the failing address and retried", i)
				}
			}
		}
		if resp.Close {
			c = r.dial(t)
		}
	}
	if failed == 0 || failed > 3 {
		t.Errorf("%d of 6 quotes failed, want 1 to 3: none was sent to the failing address, or it was not detected", failed)
	}
}
