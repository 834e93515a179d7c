// Package endpointlist measures what a list of endpoints costs a node today: its bytes, how long the engine holds its lock
// to take in a full list and a change of one endpoint, and what one decision over so many endpoints takes. Times are by the
// wall clock of one process and one core.
package endpointlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"time"

	"craneglade/internal/engine"
	"craneglade/internal/kit/scale/heap"
	"craneglade/internal/kit/scale/plan"
	"craneglade/internal/kit/scale/result"
	"craneglade/internal/membership"
	"craneglade/policy"
)

// Mechanism is the name of the figures.
const Mechanism = "endpoint list"

const (
	repeats   = 5   // of a full list; the median counts
	deltas    = 100 // changes of one endpoint; the median counts
	decisions = 2000
	class     = "read"
	wait      = 40 * time.Millisecond // until a request's answer
)

var settings = policy.Settings{Zone: "north", Nodes: 12, MaxAttempts: 2, DrainGrace: time.Second, ColdShare: 0.3, ColdFor: 8 * time.Second,
	Classes: []policy.Class{{Name: class, Aim: 400 * time.Millisecond, Deadline: time.Second, Worth: 1}}}

// Measure measures one size.
func Measure(ctx context.Context, endpoints int) (*result.Step, error) {
	out := &result.Step{Part: "list", Size: plan.Step{Endpoints: endpoints}}
	list := make([]engine.ListedBackend, endpoints)
	for i := range list {
		list[i] = listed(i, 0)
	}
	full := engine.List{Version: 1, Full: true, Backends: list}
	out.Add(Mechanism, "node", "bytes of a full list", "B", float64(size(&full)))
	out.Add(Mechanism, "node", "bytes of a change of one", "B", float64(size(&engine.List{Version: 2, Backends: list[:1]})))
	if err := engineTimes(ctx, out, list); err != nil {
		return nil, err
	}
	if err := membershipTimes(ctx, out, list); err != nil {
		return nil, err
	}
	return out, decisionTimes(ctx, out, list)
}

// listed is one endpoint, by number and generation.
func listed(i, generation int) engine.ListedBackend {
	return engine.ListedBackend{ID: fmt.Sprintf("be-%08x", uint32(i)*2654435761), Addr: fmt.Sprintf("10.%d.%d.%d:8080", i>>16&255, i>>8&255, i&255),
		Zone: []string{"north", "south", "west"}[i%3], Kind: "standard", Cell: int64(i % 8), State: membership.Ready, StartedMS: 1 + int64(generation)}
}

func size(l *engine.List) int {
	text, err := json.Marshal(l)
	if err != nil {
		panic(err) // its fields are all plain
	}
	return len(text)
}

// source asks for nothing: lists are handed in.
type source struct{}

func (source) Watch() {}
func (source) Fetch() {}

// carrier carries nothing: no request is begun.
type carrier struct{}

func (carrier) Carry(context.Context, *engine.Attempt) engine.Result {
	return engine.Result{Outcome: policy.NeverSent}
}
func (carrier) Retire(*engine.Backend) {}

// engineTimes measures lists in a real engine.
func engineTimes(ctx context.Context, out *result.Step, list []engine.ListedBackend) error {
	var first []time.Duration
	for range repeats {
		e, err := newEngine()
		if err != nil {
			return err
		}
		first = append(first, news(e, &engine.List{Version: 1, Full: true, Backends: list}, policy.ListFull))
		e.Stop()
		if err := context.Cause(ctx); err != nil {
			return err
		}
	}
	before := heap.InUse()
	e, err := newEngine()
	if err != nil {
		return err
	}
	defer e.Stop()
	news(e, &engine.List{Version: 1, Full: true, Backends: list}, policy.ListFull)
	mebibytes := float64(heap.InUse()-before) / (1 << 20)
	var again, one []time.Duration
	for i := range repeats {
		again = append(again, news(e, &engine.List{Version: int64(2 + i), Full: true, Backends: list}, policy.ListFull))
	}
	for i := range deltas {
		change := []engine.ListedBackend{listed(i%len(list), 1+i)}
		one = append(one, news(e, &engine.List{Version: int64(2 + repeats + i), Backends: change}, policy.ListDelta))
	}
	out.AddWall(Mechanism, "node", "full list taken in, the first", "ms", milliseconds(median(first)))
	out.AddWall(Mechanism, "node", "full list taken in, the same again", "ms", milliseconds(median(again)))
	out.AddWall(Mechanism, "node", "change of one taken in", "ms", milliseconds(median(one)))
	out.Add(Mechanism, "node", "heap of the engine", "MiB", mebibytes)
	return context.Cause(ctx)
}

func newEngine() (*engine.Engine, error) {
	e, err := engine.New(engine.Config{Settings: settings, Seed: 1, Clock: engine.NewClock(), Carrier: carrier{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err == nil {
		e.SetSource(source{}, &engine.List{})
	}
	return e, err
}

// news hands a list in and returns how long that took.
func news(e *engine.Engine, l *engine.List, kind policy.ListKind) time.Duration {
	began := time.Now()
	e.UpdateList(source{}, l, kind, func(int64) bool { return true })
	return time.Since(began)
}

// membershipTimes measures the rule on several sources, which a node with names beside its list goes through too.
func membershipTimes(ctx context.Context, out *result.Step, list []engine.ListedBackend) error {
	fleet := membership.New(membership.Config{SourceTimeout: time.Minute, ConfirmDelay: time.Second, FlapPenalty: 2 * time.Second})
	var full, one []time.Duration
	for i := range repeats {
		began := time.Now()
		fleet.UpdateList(time.Duration(i)*time.Second, true, list)
		full = append(full, time.Since(began))
	}
	for i := range deltas {
		change := []engine.ListedBackend{listed(i%len(list), 1+i)}
		began := time.Now()
		fleet.UpdateList(time.Duration(repeats+i)*time.Second, false, change)
		one = append(one, time.Since(began))
	}
	out.AddWall(Mechanism, "node", "full list through membership", "ms", milliseconds(median(full)))
	out.AddWall(Mechanism, "node", "change of one through membership", "ms", milliseconds(median(one)))
	return context.Cause(ctx)
}

// decisionTimes measures the decision of a request among so many endpoints.
func decisionTimes(ctx context.Context, out *result.Step, list []engine.ListedBackend) error {
	balancer, err := policy.New(settings, 1)
	if err != nil {
		return err
	}
	var entries []policy.Entry
	for i := range list {
		entries = append(entries, policy.Entry{ID: uint32(i + 1), Hash: uint64(i) * 0x9e3779b97f4a7c15, Zone: list[i].Zone, Cell: list[i].Cell, Kind: list[i].Kind})
	}
	now := time.Hour
	actions := balancer.Handle(now, &policy.Event{Kind: policy.EvList, List: policy.ListFull, Entries: entries}, nil)
	var taken []time.Duration
	number := 0
	decide := func() {
		number++
		now += time.Millisecond
		request := policy.Event{Kind: policy.EvRequest, ID: fmt.Sprint("r", number), Class: class, Remaining: time.Second}
		began := time.Now()
		actions = balancer.Handle(now, &request, actions[:0])
		taken = append(taken, time.Since(began))
		finish(balancer, now, request.ID, actions)
	}
	for range decisions {
		decide()
	}
	out.AddWall(Mechanism, "decision", "time", "us", float64(median(taken))/float64(time.Microsecond))
	out.Add(Mechanism, "decision", "allocations, with its outcome", "1", heap.Allocations(decisions, decide))
	return context.Cause(ctx)
}

// finish tells the outcome of each attempt that a decision sends.
func finish(balancer *policy.Balancer, now time.Duration, id string, actions []policy.Action) {
	for i := range actions {
		if actions[i].Kind == policy.ActSend {
			balancer.Handle(now+wait, &policy.Event{Kind: policy.EvOutcome, ID: id, Backend: actions[i].Backend, Took: wait, Finished: true, Outcome: policy.OK,
				Load: policy.Load{Known: true, Occupancy: 2}}, nil)
		}
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func median(all []time.Duration) time.Duration {
	return slices.Sorted(slices.Values(all))[len(all)/2]
}
