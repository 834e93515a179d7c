package discovery

import (
	"encoding/json"
	"fmt"
	"testing"

	"craneglade/internal/engine"
)

// largestService is the number of backends of the largest service that docs/CAPACITY.md assumes.
const largestService = 20000

// A full list of the largest service fits the size that a node reads, and one of all 170,000 backends does not: these have to be
// split, or subscribed to in part.
func TestFullListSizeLimit(t *testing.T) {
	for _, n := range []int{200, largestService, 170000} {
		l := engine.List{Version: 1, Full: true}
		for i := range n {
			l.Backends = append(l.Backends, engine.ListedBackend{ID: fmt.Sprintf("service-0000-%06d", i), Addr: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
				Zone: "region-1-zone-1", Kind: "standard-8", State: "Ready", StartedMS: 1764633600000})
		}
		text, err := json.Marshal(l)
		if err != nil {
			t.Fatal(err)
		}
		each := float64(len(text)) / float64(n)
		t.Logf("%d backends: %d bytes, %.1f each; the limit is reached at %.0f", n, len(text), each, maxListBytes/each)
		if fits := len(text) <= maxListBytes; fits != (n <= largestService) {
			t.Errorf("a list of %d backends takes %d bytes of %d", n, len(text), maxListBytes)
		}
	}
}
