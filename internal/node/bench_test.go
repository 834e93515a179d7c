package node

import (
	"fmt"
	"io"
	"net/http"
	"testing"
)

// BenchmarkRequest is one request after the other from one client through a node to a box, all in this process: what a
// request costs in time and allocations, client and box included.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []int{200, 32 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) { benchRequest(b, size) })
	}
}

func benchRequest(b *testing.B, size int) {
	t := &testing.T{}
	x := newBox(t, served)
	r := newRig(t, newRegistry(t), settingsJSON, nil, x.entry("s-1"))
	c := r.dial(t)
	body := make([]byte, size)
	for i := range body {
		body[i] = 'x'
	}
	b.ReportAllocs()
	for i := range b.N {
		q := quote(fmt.Sprint("r", i))
		q.body = string(body)
		if _, err := io.WriteString(c, q.text()); err != nil {
			b.Fatal(err)
		}
		resp, err := http.ReadResponse(c.in, nil)
		if err != nil {
			b.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != 200 {
			b.Fatalf("answered %d", resp.StatusCode)
		}
		x.mu.Lock()
		x.got = x.got[:0] // or the benchmark would measure its growth
		x.mu.Unlock()
	}
}
