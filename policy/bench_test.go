package policy_test

import (
	"fmt"
	"testing"
	"time"

	"craneglade/policy"
)

// BenchmarkDecision is one request and its outcome at fleets of two sizes, as in docs/design/thresholds.md.
func BenchmarkDecision(b *testing.B) {
	for _, boxes := range []int{12, 120} {
		b.Run(fmt.Sprint(boxes), func(b *testing.B) {
			bal, err := policy.New(testSettings(3, false), 1)
			if err != nil {
				b.Fatal(err)
			}
			var list []policy.Entry
			for i := range boxes {
				list = append(list, policy.Entry{ID: uint32(i + 1), Zone: []string{"east", "west"}[i%2], Kind: "k"})
			}
			now := time.Hour
			out := bal.Handle(now, &policy.Event{Kind: policy.EvList, List: policy.ListCached, Entries: list}, nil)
			b.ReportAllocs()
			for i := range b.N {
				now += time.Millisecond
				id := fmt.Sprint("r", i)
				out = bal.Handle(now, &policy.Event{Kind: policy.EvRequest, ID: id, Class: "read", Left: time.Second}, out[:0])
				for _, a := range out {
					if a.Kind == policy.ActSend {
						bal.Handle(now+40*time.Millisecond, &policy.Event{Kind: policy.EvOutcome, ID: id, Server: a.Server, Took: 40 * time.Millisecond,
							Last: true, Outcome: policy.OK, Load: policy.Load{Known: true, Held: 2}}, nil)
					}
				}
			}
		})
	}
}
