// Package endpointlist measures what a list of endpoints costs a node: its size in bytes, how long the engine holds its
// lock to apply a full list and a change of one endpoint, and how long one decision over the endpoints takes. Times are
// wall-clock times in one process on one core.
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

// Mechanism is the mechanism of the figures of this package.
const Mechanism = "endpoint list"

const (
	fullListRuns = 5   // full lists; the median is reported
	deltaRuns    = 100 // changes of one endpoint; the median is reported
	decisionRuns = 2000
	class        = "read"
	responseTime = 40 * time.Millisecond // from an attempt to its outcome
)

var settings = policy.Settings{Zone: "north", Nodes: 12, MaxAttempts: 2, DrainGrace: time.Second, ColdShare: 0.3, ColdFor: 8 * time.Second,
	Classes: []policy.Class{{Name: class, Aim: 400 * time.Millisecond, Deadline: time.Second, Worth: 1}}}

// Measure measures a list of the given size.
func Measure(ctx context.Context, endpoints int) (*result.Step, error) {
	out := &result.Step{Part: "list", Size: plan.Step{Endpoints: endpoints}}
	list := make([]engine.ListedBackend, endpoints)
	for i := range list {
		list[i] = listedBackend(i, 0)
	}
	full := engine.List{Version: 1, Full: true, Backends: list}
	out.Add(Mechanism, "node", "bytes of a full list", "B", float64(jsonBytes(&full)))
	out.Add(Mechanism, "node", "bytes of a change of one", "B", float64(jsonBytes(&engine.List{Version: 2, Backends: list[:1]})))
	if err := measureEngine(ctx, out, list); err != nil {
		return nil, err
	}
	if err := measureMembership(ctx, out, list); err != nil {
		return nil, err
	}
	return out, measureDecisions(ctx, out, list)
}

// listedBackend returns an endpoint, by number and generation.
func listedBackend(i, generation int) engine.ListedBackend {
	return engine.ListedBackend{ID: fmt.Sprintf("be-%08x", uint32(i)*2654435761), Addr: fmt.Sprintf("10.%d.%d.%d:8080", i>>16&255, i>>8&255, i&255),
		Zone: []string{"north", "south", "west"}[i%3], Kind: "standard", Cell: int64(i % 8), State: membership.Ready, StartedMS: 1 + int64(generation)}
}

func jsonBytes(l *engine.List) int {
	text, err := json.Marshal(l)
	if err != nil {
		panic(err) // all fields can be encoded
	}
	return len(text)
}

// noSource never fetches: lists are passed to the engine directly.
type noSource struct{}

func (noSource) Watch() {}
func (noSource) Fetch() {}

// noCarrier sends no attempts, as no request is submitted.
type noCarrier struct{}

func (noCarrier) Carry(context.Context, *engine.Attempt) engine.Result {
	return engine.Result{Outcome: policy.NeverSent}
}
func (noCarrier) Retire(*engine.Backend) {}

// measureEngine measures how long an engine takes to apply lists, and the heap it needs.
func measureEngine(ctx context.Context, out *result.Step, list []engine.ListedBackend) error {
	var first []time.Duration
	for range fullListRuns {
		e, err := newEngine()
		if err != nil {
			return err
		}
		first = append(first, applyList(e, &engine.List{Version: 1, Full: true, Backends: list}, policy.ListFull))
		e.Stop()
		if err := context.Cause(ctx); err != nil {
			return err
		}
	}
	heapBefore := heap.InUse()
	e, err := newEngine()
	if err != nil {
		return err
	}
	defer e.Stop()
	applyList(e, &engine.List{Version: 1, Full: true, Backends: list}, policy.ListFull)
	mebibytes := float64(heap.InUse()-heapBefore) / (1 << 20)
	var repeated, delta []time.Duration
	for i := range fullListRuns {
		repeated = append(repeated, applyList(e, &engine.List{Version: int64(2 + i), Full: true, Backends: list}, policy.ListFull))
	}
	for i := range deltaRuns {
		change := []engine.ListedBackend{listedBackend(i%len(list), 1+i)}
		delta = append(delta, applyList(e, &engine.List{Version: int64(2 + fullListRuns + i), Backends: change}, policy.ListDelta))
	}
	out.AddWallClock(Mechanism, "node", "full list taken in, the first", "ms", milliseconds(median(first)))
	out.AddWallClock(Mechanism, "node", "full list taken in, the same again", "ms", milliseconds(median(repeated)))
	out.AddWallClock(Mechanism, "node", "change of one taken in", "ms", milliseconds(median(delta)))
	out.Add(Mechanism, "node", "heap of the engine", "MiB", mebibytes)
	return context.Cause(ctx)
}

func newEngine() (*engine.Engine, error) {
	e, err := engine.New(engine.Config{Settings: settings, Seed: 1, Clock: engine.NewClock(), Carrier: noCarrier{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err == nil {
		e.SetSource(noSource{}, &engine.List{})
	}
	return e, err
}

// applyList passes a list to the engine and returns how long that took.
func applyList(e *engine.Engine, l *engine.List, kind policy.ListKind) time.Duration {
	started := time.Now()
	e.UpdateList(noSource{}, l, kind, func(int64) bool { return true })
	return time.Since(started)
}

// measureMembership measures the merging of several sources (package membership), which applies also to a node that
// resolves names beside its list.
func measureMembership(ctx context.Context, out *result.Step, list []engine.ListedBackend) error {
	fleet := membership.New(membership.Config{SourceTimeout: time.Minute, ConfirmDelay: time.Second, FlapPenalty: 2 * time.Second})
	var full, delta []time.Duration
	for i := range fullListRuns {
		started := time.Now()
		fleet.UpdateList(time.Duration(i)*time.Second, true, list)
		full = append(full, time.Since(started))
	}
	for i := range deltaRuns {
		change := []engine.ListedBackend{listedBackend(i%len(list), 1+i)}
		started := time.Now()
		fleet.UpdateList(time.Duration(fullListRuns+i)*time.Second, false, change)
		delta = append(delta, time.Since(started))
	}
	out.AddWallClock(Mechanism, "node", "full list through membership", "ms", milliseconds(median(full)))
	out.AddWallClock(Mechanism, "node", "change of one through membership", "ms", milliseconds(median(delta)))
	return context.Cause(ctx)
}

// measureDecisions measures the decision on a request over all endpoints.
func measureDecisions(ctx context.Context, out *result.Step, list []engine.ListedBackend) error {
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
	var durations []time.Duration
	number := 0
	decide := func() {
		number++
		now += time.Millisecond
		request := policy.Event{Kind: policy.EvRequest, ID: fmt.Sprint("r", number), Class: class, Remaining: time.Second}
		started := time.Now()
		actions = balancer.Handle(now, &request, actions[:0])
		durations = append(durations, time.Since(started))
		reportOutcomes(balancer, now, request.ID, actions)
	}
	for range decisionRuns {
		decide()
	}
	out.AddWallClock(Mechanism, "decision", "time", "us", float64(median(durations))/float64(time.Microsecond))
	out.Add(Mechanism, "decision", "allocations, with its outcome", "1", heap.AllocationsPerCall(decisionRuns, decide))
	return context.Cause(ctx)
}

// reportOutcomes reports a successful outcome for each attempt that a decision sends.
func reportOutcomes(balancer *policy.Balancer, now time.Duration, id string, actions []policy.Action) {
	for i := range actions {
		if actions[i].Kind == policy.ActSend {
			balancer.Handle(now+responseTime, &policy.Event{Kind: policy.EvOutcome, ID: id, Backend: actions[i].Backend, Took: responseTime, Finished: true, Outcome: policy.OK,
				Load: policy.Load{Known: true, Occupancy: 2}}, nil)
		}
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func median(all []time.Duration) time.Duration {
	return slices.Sorted(slices.Values(all))[len(all)/2]
}
