package shared

import (
	"testing"
	"time"
)

// Each node repeats each of its counts, so that no other node's copy becomes stale: with several tenants that all nodes
// serve equally, whose names have the same length.
func TestCountsAreRepeatedBeforeTheyAreStale(t *testing.T) {
	const nodes = 12
	f := newFleet(t, nodes)
	tenants := []string{"a", "b", "c", "d"}
	for i := range f.nodes {
		cfg := config(i, nodes, 9)
		cfg.Features = Features{Quotas: true}
		cfg.Quotas = map[string]float64{}
		for _, tenant := range tenants {
			cfg.Quotas[tenant] = quotaPerSecond
		}
		f.nodes[i] = New(cfg, f.now)
	}
	for i := range f.nodes {
		for j := range f.nodes {
			if i != j {
				f.introduce(i, j)
			}
		}
	}
	f.run(2*time.Minute, func(_ int, r *Replica) { r.CountRequest(f.now, "a") })
	for i, r := range f.nodes {
		for _, tenant := range tenants {
			received := 0
			r.table.Rates(r.clock.now, quotaPrefix+tenant, func(of int, _ float64, age time.Duration) {
				received++
				if age > 3*r.RepeatInterval() {
					t.Errorf("node %d has a count of node %d for tenant %s that is %v old; counts are repeated every %v", i, of, tenant, age, r.RepeatInterval())
				}
			})
			if received != nodes-1 {
				t.Errorf("node %d knows the counts of %d others for tenant %s", i, received, tenant)
			}
		}
	}
}

// An item that replaces the only one in a queue, by its name, must not displace later items.
func TestQueueReplacementKeepsOtherItems(t *testing.T) {
	r := New(config(0, 3, 1), time.Hour)
	q := newQueue(func() int { return 3 }, 1)
	for _, name := range []string{"a", "a", "b", "c"} {
		q.QueueBroadcast(&queuedEntry{replica: r, name: name, sentAt: r.clock.now})
	}
	if got := len(q.GetBroadcasts(0, 1<<16)); got != 3 {
		t.Errorf("%d of 3 items are sent", got)
	}
}
