package run

import (
	"net"
	"strconv"
	"testing"
)

// Addresses of nodes differ, pass over what is taken, and are none that the kernel would give to a box meanwhile.
func TestNodeAddr(t *testing.T) {
	r := &Rehearsal{host: someHost(), lastPort: nodePortTo - 3}
	taken, err := net.Listen("tcp", net.JoinHostPort(r.host, strconv.Itoa(nodePortFrom)))
	if err != nil {
		t.Skip("the first port is in use here:", err)
	}
	defer taken.Close()
	seen := map[string]bool{}
	for range 5 {
		addr, err := r.nodeAddr()
		if err != nil {
			t.Fatal(err)
		}
		_, text, _ := net.SplitHostPort(addr)
		port, _ := strconv.Atoi(text)
		if seen[addr] || addr == taken.Addr().String() || port < nodePortFrom || port >= nodePortTo {
			t.Fatalf("given %s after %v, with %s taken", addr, seen, taken.Addr())
		}
		seen[addr] = true
	}
}
