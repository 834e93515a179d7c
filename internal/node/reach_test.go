package node

import (
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"testing"

	"craneglade/internal/engine"
)

// several is a box in the list with more addresses than its first.
func several(b *box, more ...string) engine.ListedBackend {
	e := b.entry("s-0")
	e.Addrs = append(append([]string{}, more...), e.Addr)
	return e
}

// hanging accepts connections and says nothing.
func hanging(t *testing.T, network, addr string) string {
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

// Addresses that refuse, are no socket or nonsense cost no request; a box behind a Unix socket alone is reached.
func TestBadAddressesCostNoRequest(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	dir := t.TempDir()
	dead, err := net.Listen("unix", filepath.Join(dir, "dead"))
	if err != nil {
		t.Fatal(err)
	}
	dead.(*net.UnixListener).SetUnlinkOnClose(false)
	dead.Close()
	r := newRig(t, newRegistry(t), settingsJSON, nil, several(b, "unix:"+filepath.Join(dir, "dead"), "unix:"+filepath.Join(dir, "none"), "127.0.0.1:1", "nonsense"))
	c := r.dial(t)
	for i := range 20 {
		for _, q := range []call{view(fmt.Sprint("v", i)), quote(fmt.Sprint("q", i))} {
			if resp, _ := c.ask(q); resp.StatusCode != 200 {
				t.Fatalf("request %d: %d", i, resp.StatusCode)
			}
		}
	}
	if n := len(b.requests()); n != 40 {
		t.Errorf("the box got %d requests for 40", n)
	}
}

// An address that accepts and hangs: what was written there whole may have run, so a quote is never sent again, on any address; the
// address is found out, and the box goes on at the other one.
func TestAQuoteIsNotSentAgainOnTheNextAddress(t *testing.T) {
	t.Parallel()
	b := newBox(t, served)
	hung := hanging(t, "unix", filepath.Join(t.TempDir(), "s"))
	r := newRig(t, newRegistry(t), settingsJSON, nil, several(b, hung))
	c := r.dial(t)
	failed := 0
	for i := range 6 {
		q := quote(fmt.Sprint("q", i))
		q.deadline = "300m"
		resp, _ := c.ask(q)
		switch {
		case resp.StatusCode == http.StatusOK:
		default:
			failed++
			for _, got := range b.requests() {
				if got.Header.Get("X-Request-Id") == fmt.Sprint("q", i) {
					t.Errorf("quote %d was sent to the hanging address and again", i)
				}
			}
		}
		if resp.Close {
			c = r.dial(t)
		}
	}
	if failed == 0 || failed > 3 {
		t.Errorf("%d of 6 quotes failed: none met the hanging address, or it was not found out", failed)
	}
}
