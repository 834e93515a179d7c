package policy_test

import (
	"fmt"
	"time"

	"craneglade/policy"
)

// A node passes events to its balancer and carries out the actions that it returns.
func Example() {
	b, err := policy.New(policy.Settings{
		Zone: "north", Nodes: 2, MaxAttempts: 3, DrainGrace: time.Second,
		Classes: []policy.Class{{Name: "page", Aim: time.Second, Deadline: 2 * time.Second, Worth: 1}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 1000 * time.Second
	step := func(ev policy.Event) policy.Action {
		var sendOrAnswer policy.Action
		for _, a := range b.Handle(now, &ev, nil) {
			switch a.Kind {
			case policy.ActTimer: // wake the balancer with EvTimer at a.At
			default:
				sendOrAnswer = a
			}
		}
		return sendOrAnswer
	}
	list := []policy.Entry{{ID: 1, Zone: "north"}}
	step(policy.Event{Kind: policy.EvList, List: policy.ListFull, Entries: list})

	send := step(policy.Event{Kind: policy.EvRequest, ID: "r1", Class: "page", Remaining: 2 * time.Second})
	fmt.Println("send to", send.Backend, "for at most", send.Wait)

	now += 30 * time.Millisecond
	step(policy.Event{Kind: policy.EvOutcome, ID: "r1", Backend: 1, Took: 30 * time.Millisecond, Finished: true,
		Outcome: policy.OK, Load: policy.Load{Known: true, Queue: 2}})

	now += 250 * time.Millisecond
	step(policy.Event{Kind: policy.EvTimer, Token: "tick"})

	list[0].State = policy.Draining
	step(policy.Event{Kind: policy.EvList, List: policy.ListDelta, Entries: list})
	now += 2 * time.Second // its grace is over
	answer := step(policy.Event{Kind: policy.EvRequest, ID: "r2", Class: "page", Remaining: 2 * time.Second})
	fmt.Println("refused:", answer.Kind == policy.ActRefuse)
	// Output:
	// send to 1 for at most 2s
	// refused: true
}
