package guard

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"testing"
)

func TestUsageIncludesChildProcesses(t *testing.T) {
	before, err := CurrentUsage()
	if err != nil {
		t.Fatal(err)
	}
	child := exec.Command("cat")
	in, err := child.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	after, err := CurrentUsage()
	in.Close()
	if err := errors.Join(err, child.Wait()); err != nil {
		t.Fatal(err)
	}
	if after.Processes != before.Processes+1 || before.Memory <= 0 {
		t.Errorf("before %+v, with a child process %+v", before, after)
	}
}

func TestExceededLimitCancelsContext(t *testing.T) {
	for _, limits := range []Limits{{Memory: 1, Processes: 1000}, {Memory: 1 << 40, Processes: 0}} {
		ctx, g := Watch(context.Background(), limits)
		<-ctx.Done()
		var exceeded *LimitError
		if !errors.As(context.Cause(ctx), &exceeded) {
			t.Errorf("%+v: context cancelled by %v", limits, context.Cause(ctx))
		}
		if peak := g.Stop(); peak.Memory <= 0 || peak.Processes < 1 {
			t.Errorf("peak is %+v", peak)
		}
	}
}

func TestStopDoesNotCancelContext(t *testing.T) {
	ctx, g := Watch(context.Background(), Limits{1 << 40, 1 << 20})
	g.Stop()
	if ctx.Err() != nil {
		t.Error("context cancelled:", context.Cause(ctx))
	}
}

func TestStatNameWithParentheses(t *testing.T) {
	pid, parent, pages, ok := parseStat("17 (a) b (c) S 5 1 1 0 -1 0 0 0 0 0 0 0 0 0 20 0 1 0 99 1000 42 0 0")
	if !ok || pid != 17 || parent != 5 || pages != 42 {
		t.Error(pid, parent, pages, ok)
	}
	if _, _, _, ok := parseStat("nothing"); ok {
		t.Error("parsed an invalid line")
	}
	if isDescendant(map[int]int{3: 4, 4: 3}, 3, os.Getpid()) {
		t.Error("a cycle counts as a descendant")
	}
}
