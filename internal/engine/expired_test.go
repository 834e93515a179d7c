package engine

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"craneglade/policy"
)

const shortTimeout = time.Second // of a client

// stalledCarrier asks whether an attempt may start, and again when its client's time has passed in an engine that was held up meanwhile.
type stalledCarrier struct {
	before, after bool
	asked         chan struct{}
}

func (c *stalledCarrier) Carry(_ context.Context, a *Attempt) Result {
	a.engine.mu.Lock() // no timer is handled
	defer a.engine.mu.Unlock()
	c.before = a.MayStart()
	time.Sleep(2 * shortTimeout)
	c.after = a.MayStart()
	close(c.asked)
	return Result{Outcome: policy.NeverSent}
}

func (c *stalledCarrier) Retire(*Backend) {}

// An attempt that was decided on in time does not start after its client's time, also if the process was held up and has not noticed yet.
func TestAttemptDoesNotStartAfterClientsTime(t *testing.T) {
	t.Parallel()
	c := &stalledCarrier{asked: make(chan struct{})}
	e, err := New(Config{Settings: policy.Settings{Zone: "north", Nodes: 1, MaxAttempts: 1, DrainGrace: grace,
		Classes: []policy.Class{{Name: "order", Effect: policy.Unsafe, Aim: time.Second, Deadline: time.Minute, Worth: 1}}},
		Seed: 1, Clock: NewClock(), Carrier: c, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Stop()
	e.SetSource(noSource{}, &List{})
	e.takeList(&List{Version: 1, Full: true, Backends: entries(4)}, policy.ListFull)
	r := &Request{ID: "short", Class: "order", Arrived: time.Now(), ClientTimeout: shortTimeout}
	if err := e.Submit(r); err != nil {
		t.Fatal(err)
	}
	<-c.asked
	if !c.before || c.after {
		t.Errorf("may start within the client's time: %v, after it: %v", c.before, c.after)
	}
}
