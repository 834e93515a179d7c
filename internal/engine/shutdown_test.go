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

// The last answers of a shutdown are due so long before the earliest kill that the process may be held up twice: when it is told
// to end, and when they are due.
func TestShutdownLeavesTimeForBeingHeldUp(t *testing.T) {
	t.Parallel()
	class := func(aim, deadline time.Duration) policy.Class { return policy.Class{Aim: aim, Deadline: deadline} }
	for _, c := range []struct {
		name                     string
		classes                  []policy.Class
		serves, answered, killed time.Duration
	}{
		{"short", []policy.Class{class(200*time.Millisecond, 420*time.Millisecond)}, 470 * time.Millisecond, 720 * time.Millisecond, 1120 * time.Millisecond},
		{"of two", []policy.Class{class(time.Second, 2*time.Second), class(100*time.Millisecond, 500*time.Millisecond)}, 1250 * time.Millisecond, 2300 * time.Millisecond, 2700 * time.Millisecond},
		{"long", []policy.Class{class(700*time.Millisecond, 60*time.Second)}, 2550 * time.Millisecond, 3300 * time.Millisecond, 3700 * time.Millisecond},
		{"not told", nil, 3250 * time.Millisecond, 3300 * time.Millisecond, 3700 * time.Millisecond},
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

// silentEngine is an engine with some backends that answer nothing, and a class with a deadline of a minute.
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
	e.takeList(&List{Version: 1, Full: true, Servers: entries(4)}, policy.ListFull)
	return e, c
}

func patientRequest(id string) *Request {
	return &Request{ID: id, Class: "order", Arrived: time.Now(), ClientTimeout: time.Minute}
}

// answerNow is a request's answer, where it has one at this moment.
func answerNow(r *Request) (a Answer, ok bool) {
	select {
	case a = <-r.Done():
		return a, true
	default:
		return a, false
	}
}

// What is open when a node may soon be killed fails, whether it came before the node was told to end or after; what comes
// later is refused and sent to nobody.
func TestOpenRequestsFailBeforeTheEarliestKill(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		e, c := silentEngine(t)
		defer e.Stop()
		before, during := patientRequest("before"), patientRequest("during")
		e.Submit(before)
		time.Sleep(100 * time.Millisecond)
		begun := time.Now()
		shutdown := e.Shutdown(begun)
		time.Sleep(time.Second)
		if again := e.Shutdown(time.Now()); again != shutdown {
			t.Errorf("told to end again, the node has another time table: %+v, was %+v", again, shutdown)
		}
		during.Arrived = time.Now()
		e.Submit(during)
		time.Sleep(time.Until(begun.Add(shutdown.AnswerWithin - time.Millisecond)))
		synctest.Wait()
		for _, r := range []*Request{before, during} {
			if a, ok := answerNow(r); ok {
				t.Errorf("%s has an answer early: %+v", r.ID, a)
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
			t.Errorf("%d attempts are still out for requests that have their answers", open)
		}
		sent := c.sent.Load()
		late := patientRequest("late")
		e.Submit(late)
		synctest.Wait()
		if a, ok := answerNow(late); !ok || a.Kind != Refused || c.sent.Load() != sent {
			t.Errorf("a late request: %+v, %v, sent %d times; want it refused and not sent", a, ok, c.sent.Load()-sent)
		}
		if open := e.OpenRequests(); open != 0 {
			t.Errorf("%d requests are still open", open)
		}
	})
}

// A process that is held up before it reads news of a drain, and again between its last look at the clock and the write, has
// still written within the grace; of a long grace a tenth is left for the news' way.
func TestGraceLeavesTimeForBeingHeldUp(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ grace, want time.Duration }{
		{10 * time.Second, 9 * time.Second}, {time.Second, 700 * time.Millisecond}, {500 * time.Millisecond, 200 * time.Millisecond},
		{200 * time.Millisecond, 0}, {0, 0},
	} {
		if got := writableFor(c.grace); got != c.want {
			t.Errorf("a grace of %v: %v, want %v", c.grace, got, c.want)
		}
	}
}

// An attempt does not begin for a client that has left, also where its front has not said so yet.
func TestAttemptDoesNotBeginForAClientThatLeft(t *testing.T) {
	t.Parallel()
	left := false
	a := &Attempt{Request: &Request{Disconnected: func() bool { return left }}, Backend: &Backend{}}
	if !a.MayStart() {
		t.Error("it does not begin for a client that waits")
	}
	left = true
	if a.MayStart() {
		t.Error("it begins for a client that has left")
	}
}
