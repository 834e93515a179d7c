package processes

import (
	"context"
	"errors"
	"os/exec"
	"syscall"
	"testing"

	"craneglade/internal/controlplane/resource"
)

func TestStopAllEndsEveryProcess(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	var c children
	for _, name := range []string{"one", "two"} {
		if _, err := c.start(name, exec.Command("sleep", "1000"), cancel); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.stopAll(); err != nil {
		t.Error(err)
	}
	for _, p := range c.all {
		if err := syscall.Kill(p.cmd.Process.Pid, 0); !errors.Is(err, syscall.ESRCH) {
			t.Errorf("%s still runs: %v", p.name, err)
		}
	}
	if ctx.Err() != nil {
		t.Errorf("expected exits cancelled the run: %v", context.Cause(ctx))
	}
}

func TestUnexpectedExitCancelsRun(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	var c children
	if _, err := c.start("brief", exec.Command("sh", "-c", "echo no such thing >&2; exit 3"), cancel); err != nil {
		t.Fatal(err)
	}
	<-ctx.Done()
	var ended *ExitError
	if !errors.As(context.Cause(ctx), &ended) || ended.Name != "brief" || ended.Log != "no such thing\n" {
		t.Errorf("run cancelled by %v", context.Cause(ctx))
	}
	if err := c.stopAll(); err != nil {
		t.Error(err)
	}
}

func TestBatchesFitTransaction(t *testing.T) {
	var all []resource.Resource
	for range 3*maxBatchResources + 1 {
		all = append(all, resource.Resource{Key: resource.Key{Service: "s", Kind: resource.KindTenant, Name: "t"}, Tenant: &resource.Tenant{}})
	}
	sum := 0
	for _, batch := range batches(all) {
		sum += len(batch)
		bytes := 0
		for i := range batch {
			bytes += (&resource.Change{Resource: batch[i]}).Size()
		}
		if len(batch) == 0 || len(batch) > maxBatchResources || bytes > resource.MaxTransactionBytes {
			t.Errorf("a batch of %d resources and %d bytes", len(batch), bytes)
		}
	}
	if sum != len(all) {
		t.Errorf("%d resources of %d", sum, len(all))
	}
}
