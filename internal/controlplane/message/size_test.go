package message

import (
	"bytes"
	"compress/flate"
	"testing"

	"craneglade/internal/controlplane/resource"
)

// sizes are typical messages to nodes and the max size of each. The limits have a headroom of about a tenth, to detect an
// encoding that grows.
var sizes = map[string]struct {
	message Message
	limit   int // bytes of the frame
}{
	"delta of one endpoint": {&Delta{Region: "north", From: resource.Position{Epoch: 12, Version: 340_000}, To: resource.Position{Epoch: 12, Version: 340_001},
		Digest: 0x123456789abcdef0, Changes: []resource.Change{{Resource: fleetEndpoint("service-00777", 7, 3)}}}, 107},
	"delta of one deletion": {&Delta{Region: "north", From: resource.Position{Epoch: 12, Version: 340_000}, To: resource.Position{Epoch: 12, Version: 340_001},
		Digest: 0x123456789abcdef0, Changes: []resource.Change{{Resource: resource.Resource{Key: fleetEndpoint("service-00777", 7, 3).Key}, Deleted: true}}}, 68},
	"heartbeat": {&Heartbeat{Region: "north", Position: resource.Position{Epoch: 12, Version: 340_001}, Sent: resource.Position{Epoch: 12, Version: 340_001},
		Digest: 0x123456789abcdef0, Age: 1250e6}, 32},
	"snapshot of 200 services with 18 endpoints": {&SnapshotPart{Region: "north", Position: resource.Position{Epoch: 12, Version: 340_001}, Last: true,
		Digest: 0x123456789abcdef0, Resources: fleet(200, 18, 0, 0)}, 70_000},
	"the same with 4 routes": {&SnapshotPart{Region: "north", Position: resource.Position{Epoch: 12, Version: 340_001}, Last: true,
		Digest: 0x123456789abcdef0, Resources: fleet(200, 18, 4, 0)}, 75_000},
	"the same with 4 routes and 161 tenants": {&SnapshotPart{Region: "north", Position: resource.Position{Epoch: 12, Version: 340_001}, Last: true,
		Digest: 0x123456789abcdef0, Resources: fleet(200, 18, 4, 161)}, 270_000},
}

func TestSizes(t *testing.T) {
	for name, c := range sizes {
		size := len(Encode(c.message))
		if size > c.limit {
			t.Errorf("%s: %d bytes, at most %d", name, size, c.limit)
		}
		uncompressed := size
		if part, ok := c.message.(*SnapshotPart); ok {
			uncompressed = len(appendResources(nil, fieldPartGroup, part.Resources))
		}
		t.Logf("%s: %d bytes in a frame, %d not compressed", name, size, uncompressed)
	}
}

// BenchmarkCompress compares compression levels for a snapshot of 200 services.
func BenchmarkCompress(b *testing.B) {
	uncompressed := appendResources(nil, fieldPartGroup, fleet(200, 18, 4, 0))
	for _, level := range []struct {
		name  string
		level int
	}{{"fastest", flate.BestSpeed}, {"default", flate.DefaultCompression}, {"best", flate.BestCompression}} {
		b.Run(level.name, func(b *testing.B) {
			var out bytes.Buffer
			w, err := flate.NewWriter(&out, level.level)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				out.Reset()
				w.Reset(&out)
				_, _ = w.Write(uncompressed)
				_ = w.Close()
			}
			b.ReportMetric(float64(out.Len())/float64(len(uncompressed)), "of-plain")
		})
	}
}

func BenchmarkEncode(b *testing.B) {
	for name, c := range sizes {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Encode(c.message)
			}
		})
	}
}

func BenchmarkDecode(b *testing.B) {
	for name, c := range sizes {
		written := Encode(c.message)
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, _, err := Decode(written); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
