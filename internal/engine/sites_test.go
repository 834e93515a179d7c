package engine

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"craneglade/internal/sites"
	"craneglade/internal/siting"
	"craneglade/policy"
)

// heldCarrier ends all attempts with a time-out once released is closed.
type heldCarrier struct{ released chan struct{} }

func (c *heldCarrier) Carry(context.Context, *Attempt) Result {
	<-c.released
	return Result{Outcome: policy.TimedOut}
}

func (c *heldCarrier) Retire(*Backend) {}

// Attempts at the earlier processes of restarted backends that time out are no evidence against the later ones, which have the same numbers: a
// site with new processes would count as in doubt.
func TestOutcomeOfEarlierProcessIsNoEvidence(t *testing.T) {
	t.Parallel()
	for _, restarted := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := &heldCarrier{released: make(chan struct{})}
			e, err := New(Config{Settings: policy.Settings{Zone: "north", Nodes: 1, MaxAttempts: 1, DrainGrace: grace,
				Classes: []policy.Class{{Name: "read", Aim: 20 * time.Second, Deadline: 20 * time.Second, Worth: 1}}},
				Seed: 1, Clock: NewClock(), Carrier: c, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
			if err != nil {
				t.Fatal(err)
			}
			defer e.Stop()
			list := &List{Full: true}
			for i := range 3 {
				list.Backends = append(list.Backends, ListedBackend{ID: fmt.Sprint("b", i), Addr: fmt.Sprint("a", i), Zone: "north", State: "Ready"})
			}
			e.SetSource(noSource{}, list)
			e.WatchSites(siting.New(&e.settings, nil))
			for i := range 30 {
				r := &Request{ID: fmt.Sprint("r", i), Class: "read", Arrived: time.Now(), ClientTimeout: 20 * time.Second}
				if err := e.Submit(r); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(50 * time.Millisecond)
			if restarted {
				for i := range list.Backends {
					list.Backends[i].StartedMS = time.Now().UnixMilli()
				}
				e.takeList(list, policy.ListFull)
			}
			close(c.released)
			synctest.Wait()
			time.Sleep(2 * time.Second)
			e.StepSites()
			all, _ := e.Sites()
			if got := all[0].State; (got == sites.Serving.String()) != restarted {
				t.Errorf("restarted %v: the site is %s", restarted, got)
			}
		})
	}
}
