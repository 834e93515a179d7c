package engine

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"craneglade/policy"
)

// The last answers of a shutdown are due early enough for two stalls before the earliest SIGKILL: one when the process receives
// SIGTERM, and one when the answers are due.
func TestShutdownAllowsForTwoStalls(t *testing.T) {
	t.Parallel()
	class := func(target, deadline time.Duration) policy.Class {
		return policy.Class{Aim: target, Deadline: deadline}
	}
	for _, c := range []struct {
		name                     string
		classes                  []policy.Class
		serves, answered, killed time.Duration
	}{
		{"short", []policy.Class{class(200*time.Millisecond, 420*time.Millisecond)}, 470 * time.Millisecond, 720 * time.Millisecond, 1120 * time.Millisecond},
		{"of two", []policy.Class{class(time.Second, 2*time.Second), class(100*time.Millisecond, 500*time.Millisecond)}, 1250 * time.Millisecond, 2300 * time.Millisecond, 2700 * time.Millisecond},
		{"long", []policy.Class{class(700*time.Millisecond, 60*time.Second)}, 2550 * time.Millisecond, 3300 * time.Millisecond, 3700 * time.Millisecond},
		{"no deadline", nil, 3250 * time.Millisecond, 3300 * time.Millisecond, 3700 * time.Millisecond},
	} {
		got := newShutdown(c.classes, time.Now())
		if got.AcceptFor != c.serves || got.AnswerWithin != c.answered || got.EarliestKill != c.killed {
			t.Errorf("%s: serves %v, answered %v, killed %v; want %v, %v, %v", c.name, got.AcceptFor, got.AnswerWithin, got.EarliestKill, c.serves, c.answered, c.killed)
		}
	}
}

// silentCarrier sends requests to backends that never answer.
type silentCarrier struct{ sent, open atomic.Int64 }

func (c *silentCarrier) Carry(ctx context.Context, a *Attempt) Result {
	c.sent.Add(1)
	c.open.Add(1)
	defer c.open.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	<-ctx.Done()
	return Result{Outcome: policy.TimedOut}
}

func (c *silentCarrier) Retire(*Backend) {}

// silentEngine returns an engine with backends that never answer, and a class with a deadline of a minute.
func silentEngine(t *testing.T) (*Engine, *silentCarrier) {
	t.Helper()
	c := &silentCarrier{}
	e, err := New(Config{Settings: policy.Settings{Zone: "north", Nodes: 1, MaxAttempts: 2, DrainGrace: grace, Cancel: true,
		Classes: []policy.Class{{Name: "order", Effect: policy.Unsafe, Aim: time.Second, Deadline: time.Minute, Worth: 1}}},
		Seed: 1, Clock: NewClock(), Carrier: c, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err != nil {
		t.Fatal(err)
	}
	e.SetSource(noSource{}, &List{})
	e.takeList(&List{Version: 1, Full: true, Backends: entries(4)}, policy.ListFull)
	return e, c
}

func longRequest(id string) *Request {
	return &Request{ID: id, Class: "order", Arrived: time.Now(), ClientTimeout: time.Minute}
}

// answerNow returns a request's answer if it already has one.
func answerNow(r *Request) (a Answer, ok bool) {
	select {
	case a = <-r.Done():
		return a, true
	default:
		return a, false
	}
}

// Requests that are open shortly before the earliest SIGKILL fail, whether they arrived before or after the shutdown began.
// Later requests are refused and not sent to any backend.
func TestOpenRequestsFailBeforeEarliestKill(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		e, c := silentEngine(t)
		defer e.Stop()
		before, during := longRequest("before"), longRequest("during")
		e.Submit(before)
		time.Sleep(100 * time.Millisecond)
		startedAt := time.Now()
		shutdown := e.Shutdown(startedAt)
		time.Sleep(time.Second)
		if again := e.Shutdown(time.Now()); again != shutdown {
			t.Errorf("a second Shutdown returned another schedule: %+v, was %+v", again, shutdown)
		}
		during.Arrived = time.Now()
		e.Submit(during)
		time.Sleep(time.Until(startedAt.Add(shutdown.AnswerWithin - time.Millisecond)))
		synctest.Wait()
		for _, r := range []*Request{before, during} {
			if a, ok := answerNow(r); ok {
				t.Errorf("%s was answered early: %+v", r.ID, a)
			}
		}
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		for _, r := range []*Request{before, during} {
			if a, ok := answerNow(r); !ok || a.Kind != Failed {
				t.Errorf("%s: %+v, %v; want it failed", r.ID, a, ok)
			}
		}
		if open := c.open.Load(); open != 0 {
			t.Errorf("%d attempts of answered requests are still in flight", open)
		}
		sent := c.sent.Load()
		late := longRequest("late")
		e.Submit(late)
		synctest.Wait()
		if a, ok := answerNow(late); !ok || a.Kind != Refused || c.sent.Load() != sent {
			t.Errorf("late request: %+v, %v, sent %d times; want it refused and not sent", a, ok, c.sent.Load()-sent)
		}
		if open := e.OpenRequests(); open != 0 {
			t.Errorf("%d requests are still open", open)
		}
	})
}

// A process that stalls before it reads the update of a drain, and again between its last check of the clock and the write, still
// writes within the grace. Of a long grace a tenth is reserved for the delay of the update.
func TestDrainGraceToleratesStalls(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ grace, want time.Duration }{
		{10 * time.Second, 9 * time.Second}, {time.Second, 700 * time.Millisecond}, {500 * time.Millisecond, 200 * time.Millisecond},
		{200 * time.Millisecond, 0}, {0, 0},
	} {
		if got := writableFor(c.grace); got != c.want {
			t.Errorf("grace %v: writable for %v, want %v", c.grace, got, c.want)
		}
	}
}

// No attempt starts for a client that has disconnected, even if its front has not called Cancel yet.
func TestNoAttemptStartsForDisconnectedClient(t *testing.T) {
	t.Parallel()
	disconnected := false
	a := &Attempt{Request: &Request{Disconnected: func() bool { return disconnected }}, Backend: &Backend{}}
	if !a.MayStart() {
		t.Error("attempt not started for a waiting client")
	}
	disconnected = true
	if a.MayStart() {
		t.Error("attempt started for a disconnected client")
	}
}
