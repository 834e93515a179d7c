package admission

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The queue keeps the order of arrival, and finds each element whose deadline has passed, wherever it stands.
func TestWaitQueueMatchesModel(t *testing.T) {
	t.Parallel()
	type element struct {
		number   int
		deadline time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		var q WaitQueue[int]
		var model []element
		now := time.Unix(1000, 0)
		for number := range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"push", "push", "first", "expire"}).Draw(t, "step") {
			case "push":
				deadline := now.Add(time.Duration(rapid.IntRange(-2, 50).Draw(t, "deadline")) * time.Millisecond)
				q.Push(number, deadline)
				model = append(model, element{number, deadline})
			case "first":
				first, ok := q.First()
				if ok != (len(model) > 0) || ok && first != model[0].number {
					t.Fatalf("first: %d, %v of %v", first, ok, model)
				}
				if ok {
					q.RemoveFirst()
					model = model[1:]
				}
			case "expire":
				now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "time")) * time.Millisecond)
				for number, ok := q.RemoveExpired(now); ok; number, ok = q.RemoveExpired(now) {
					i := slices.IndexFunc(model, func(e element) bool { return e.number == number })
					if i < 0 || model[i].deadline.After(now) {
						t.Fatalf("%d is not expired or not waiting: %v", number, model)
					}
					model = slices.Delete(model, i, i+1)
				}
				if slices.ContainsFunc(model, func(e element) bool { return !e.deadline.After(now) }) {
					t.Fatalf("an expired element waits on: %v", model)
				}
			}
			next, ok := q.NextDeadline()
			if q.Len() != len(model) || ok != (len(model) > 0) || ok && slices.ContainsFunc(model, func(e element) bool { return e.deadline.Before(next) }) {
				t.Fatalf("%d elements, next deadline %v, %v: %v", q.Len(), next, ok, model)
			}
		}
	})
}
