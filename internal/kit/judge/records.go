package judge

import (
	"time"

	"craneglade/internal/kit/trace"
)

// lineRecord is a record and its line number in the trace.
type lineRecord struct {
	trace.Record
	line int
}

// recordQueue is a heap (container/heap) of records by time, then line.
type recordQueue []lineRecord

func (q recordQueue) Len() int { return len(q) }

func (q recordQueue) Less(a, b int) bool {
	return q[a].T < q[b].T || q[a].T == q[b].T && q[a].line < q[b].line
}

func (q recordQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

func (q *recordQueue) Push(x any) { *q = append(*q, x.(lineRecord)) }

func (q *recordQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// duration converts a trace's microseconds to a Duration.
func duration(microseconds int64) time.Duration {
	return time.Duration(microseconds) * time.Microsecond
}

// rounded converts a trace's microseconds to a Duration rounded to milliseconds, for texts.
func rounded(microseconds int64) time.Duration {
	return duration(microseconds).Round(time.Millisecond)
}
