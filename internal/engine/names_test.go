package engine

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"craneglade/internal/membership"
	"craneglade/policy"
)

// failingCarrier fails each attempt with an outcome after which the request may have run, and records them by request.
type failingCarrier struct {
	mu   sync.Mutex
	sent map[string][]string // IDs of backends
}

func (c *failingCarrier) Carry(_ context.Context, a *Attempt) Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[a.Request.ID] = append(c.sent[a.Request.ID], a.Backend.ID)
	return Result{Outcome: policy.Failed}
}

func (c *failingCarrier) Retire(*Backend) {}

// A backend that only names know has no known cell. Once it is used, in a long outage of the list, a keyed request whose repeats a cell drops
// must neither be repeated there nor after it.
func TestNoRepeatWithoutKnownCell(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const timeout = time.Minute
		c := &failingCarrier{sent: map[string][]string{}}
		e, err := New(Config{Settings: policy.Settings{Zone: "north", Nodes: 1, MaxAttempts: 3, DrainGrace: grace, Classes: []policy.Class{
			{Name: "save", Aim: time.Second, Deadline: 2 * time.Second, Worth: 1, Effect: policy.Keyed, Group: policy.GroupCell, Window: time.Second}}},
			Seed: 1, Clock: NewClock(), Carrier: c, Members: membership.New(membership.Config{SourceTimeout: timeout, ConfirmDelay: time.Second}),
			Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
		if err != nil {
			t.Fatal(err)
		}
		e.SetSource(noSource{}, &List{Full: true, Backends: []ListedBackend{{ID: "b0", Addr: "a0", Zone: "north", Cell: 0, State: "Ready"}}})
		name := func(addr string) ListedBackend {
			return ListedBackend{ID: "dns:" + addr, Addr: addr, Zone: "north", CellUnknown: true, State: "Ready"}
		}
		names := []ListedBackend{name("a0"), name("a1")}
		for range 3 {
			e.UpdateNames("dns", names)
			time.Sleep(timeout * 2 / 3)
		}
		e.UpdateNames("dns", names)
		if used := e.inUse(); used != "b0 dns:a1" {
			t.Fatalf("%q is in use after the list fell silent", used)
		}
		first := map[string]int{}
		for i := range 40 {
			r := &Request{ID: fmt.Sprint("r", i), Class: "save", Arrived: time.Now(), ClientTimeout: 2 * time.Second}
			if err := e.Submit(r); err != nil {
				t.Fatal(err)
			}
			<-r.Done()
			synctest.Wait()
			if sent := c.sent[r.ID]; len(sent) > 1 {
				t.Errorf("%s was sent to %v", r.ID, sent)
			} else if len(sent) == 1 {
				first[sent[0]]++
			}
			time.Sleep(2 * time.Second) // until a backend that failed is tried again
		}
		if first["b0"] == 0 || first["dns:a1"] == 0 {
			t.Errorf("first attempts by backend: %v, want some at each", first)
		}
		e.Stop()
	})
}
