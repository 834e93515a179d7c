package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"craneglade/internal/bodies"
	"craneglade/internal/engine"
	"craneglade/internal/settings"
	"craneglade/internal/tomlfile"
)

// BenchmarkRequest sends requests one by one from a client through a node to a backend, all in this process. It measures the time and
// allocations of a request, those of client and backend included.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []int{200, 32 << 10} {
		b.Run(fmt.Sprint(size), func(b *testing.B) { benchRequest(b, size) })
	}
}

func benchRequest(b *testing.B, size int) {
	t := &testing.T{}
	backend := newStubBackend(t, respondOK)
	r := startNode(t, newStubDiscovery(t), settingsJSON, nil, backend.entry("s-1"))
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
		backend.mu.Lock()
		backend.received = backend.received[:0] // else the benchmark would measure the growth of this slice
		backend.mu.Unlock()
	}
}

// BenchmarkSavesOnAFullDisk sends saves of 100 KiB one by one. Their class may be stored on disk, or else is streamed. It runs without
// a disk, with one that works and with one that is full; the p99 that a full disk adds is the last less the first.
func BenchmarkSavesOnAFullDisk(b *testing.B) {
	for _, x := range []struct {
		name string
		disk *disk
	}{{"none", nil}, {"works", &disk{}}, {"full", &disk{create: syscall.ENOSPC}}} {
		b.Run(x.name, func(b *testing.B) {
			t := &testing.T{}
			backend := newStubBackend(t, echo)
			r := startNode(t, newStubDiscovery(t), settingsJSON, func(c *Config) {
				c.LocalSettings = &settings.File{Bodies: settings.Bodies{Memory: 300 << 10,
					Classes: []settings.Class{{Name: "save", MaxSize: 1 << 20, MaxInMemory: 1, AllowDisk: x.disk != nil, AllowStream: true}}}}
			}, backend.entry("s-1"))
			if x.disk != nil {
				r.bodies.UseDisk(x.disk, settings.Disk{Workers: 4, Deadline: tomlfile.Duration(20 * time.Millisecond)})
				r.bodies.SetLimits(bodies.Limits{Memory: 300 << 10, Heads: 1 << 20, Disk: 64 << 20})
			}
			c := r.dial(t)
			took := make([]float64, 0, b.N)
			for i := range b.N {
				q := largeSave(fmt.Sprint("r", i), 100<<10)
				started := time.Now()
				if resp, body := c.roundTrip(q); resp.StatusCode != 200 || body != q.echoed() {
					b.Fatalf("answered %d", resp.StatusCode)
				}
				took = append(took, time.Since(started).Seconds()*1000)
				c.SetDeadline(time.Now().Add(testTimeout))
			}
			slices.Sort(took)
			b.ReportMetric(took[len(took)*99/100], "p99-ms")
			b.ReportMetric(took[len(took)/2], "p50-ms")
		})
	}
}

// BenchmarkCalls sends calls one by one through a node to a backend: over HTTP, over JSON-RPC and in JSON-RPC batches of 20.
func BenchmarkCalls(b *testing.B) {
	run := func(name string, per int, ask func(c *client, i int)) {
		b.Run(name, func(b *testing.B) {
			t := &testing.T{}
			x := newRPCBackend(t, respondRPC)
			x.http.respond = respondOK
			r, addr := startRPCNode(t, nil, x.entry("s-1"))
			c := dialRPC(t, addr)
			if name == "http" {
				c = r.dial(t)
			}
			b.ReportAllocs()
			before := cpuTime()
			for i := 0; i < b.N; i += per {
				ask(c, i)
				if i%1000 == 0 {
					c.SetDeadline(time.Now().Add(testTimeout))
					x.mu.Lock()
					x.received = x.received[:0]
					x.mu.Unlock()
					x.http.mu.Lock()
					x.http.received = x.http.received[:0]
					x.http.mu.Unlock()
				}
			}
			b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
	call := func(i int) string {
		return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"sendQuote","params":{"design":"a door"}}`, i)
	}
	run("http", 1, func(c *client, i int) { c.roundTrip(quote(fmt.Sprint("r", i))) })
	run("jsonrpc", 1, func(c *client, i int) {
		c.send(call(i) + "\n")
		c.line()
	})
	run("batch", 20, func(c *client, i int) {
		var text strings.Builder
		for k := range 20 {
			text.WriteString([]string{"[", ","}[min(k, 1)] + call(i+k))
		}
		c.send(text.String() + "]\n")
		c.line()
	})
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkIdleCallers measures the memory for each of 5,000 connections without an open call, the client's end in the same process
// included.
func BenchmarkIdleCallers(b *testing.B) {
	for range b.N {
		t := &testing.T{}
		_, addr := startRPCNode(t, nil, newRPCBackend(t, respondRPC).entry("s-1"))
		before := memoryInUse()
		const n = 5000
		var all []net.Conn
		for i := range n {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				b.Fatal(err)
			}
			all = append(all, c)
			fmt.Fprintf(c, `{"jsonrpc":"2.0","id":%d,"method":"sum","params":[1]}`, i)
			if _, err := c.Read(make([]byte, 200)); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(memoryInUse()-before)/n, "bytes/conn")
		for _, c := range all {
			c.Close()
		}
	}
}

// BenchmarkAddedLatency measures the latency that a node adds: calls sent one by one straight to a backend, and through a node.
func BenchmarkAddedLatency(b *testing.B) {
	t := &testing.T{}
	x := newRPCBackend(t, respondRPC)
	_, addr := startRPCNode(t, nil, x.entry("s-1"))
	for _, to := range []struct{ name, addr string }{{"straight", x.ln.Addr().String()}, {"node", addr}} {
		b.Run(to.name, func(b *testing.B) {
			c := dialRPC(t, to.addr)
			took := make([]float64, 0, b.N)
			for i := range b.N {
				started := time.Now()
				c.send(fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"sum","params":[1]}`, i))
				c.line()
				took = append(took, float64(time.Since(started).Nanoseconds())/1000)
				if i%1000 == 0 {
					c.SetDeadline(time.Now().Add(testTimeout))
				}
			}
			slices.Sort(took)
			b.ReportMetric(took[len(took)*99/100], "p99-us")
			b.ReportMetric(took[len(took)/2], "p50-us")
		})
	}
}

// BenchmarkCallsAtFixedRate measures the CPU time of a request and of a call, sent every 4 ms, at either front.
func BenchmarkCallsAtFixedRate(b *testing.B) {
	for _, name := range []string{"http", "jsonrpc"} {
		b.Run(name, func(b *testing.B) {
			t := &testing.T{}
			x := newRPCBackend(t, respondRPC)
			r, addr := startRPCNode(t, nil, x.entry("s-1"))
			c, h := dialRPC(t, addr), r.dial(t)
			tick := time.NewTicker(4 * time.Millisecond)
			defer tick.Stop()
			b.ReportAllocs()
			before := cpuTime()
			for i := range b.N {
				<-tick.C
				if name == "http" {
					h.roundTrip(quote(fmt.Sprint("r", i)))
					continue
				}
				c.send(fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"sendQuote","params":{"design":"a door"}}`, i))
				c.line()
			}
			b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// BenchmarkIdleMemory measures the heap of a node without clients: for each backend on its list, and for each tenant in its settings.
func BenchmarkIdleMemory(b *testing.B) {
	heap := func(backends, tenants int) float64 {
		t := &testing.T{}
		var known []engine.ListedBackend
		for i := range backends {
			known = append(known, engine.ListedBackend{ID: fmt.Sprintf("backend-%06d", i), Addr: fmt.Sprintf("127.0.%d.%d:9", i>>8&255, i&255), Zone: "north", Kind: "k", State: "Ready"})
		}
		var projects strings.Builder
		for i := range tenants {
			fmt.Fprintf(&projects, `%s{"name":"tenant-%07d","quota_per_s":10}`, []string{",", ""}[max(0, 1-i)], i)
		}
		settings := strings.Replace(settingsJSON, `"grades":`, `"projects":[`+projects.String()+`],"grades":`, 1)
		before := memoryInUse()
		r := startNode(t, newStubDiscovery(t), settings, nil, known...)
		used := float64(memoryInUse()) - float64(before)
		runtime.KeepAlive(r)
		return used
	}
	for b.Loop() {
		const backends, tenants = 20000, 100000
		base := heap(1, 1)
		b.ReportMetric(base, "B-at-rest")
		b.ReportMetric((heap(backends, 1)-base)/backends, "B/backend")
		b.ReportMetric((heap(1, tenants)-base)/tenants, "B/tenant")
	}
}

// memoryInUse returns the memory of this process's heap and stacks after a garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
