package hollow

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"craneglade/internal/controlnet"
	"craneglade/internal/controlplane/changelog"
	"craneglade/internal/controlplane/parents"
	"craneglade/internal/controlplane/publisher"
	"craneglade/internal/controlplane/resource"
	"craneglade/internal/kit/scale/hierarchy"
)

const testKey = "000102030405060708090a0b0c0d0e0f"

// startParent serves, until the test ends, a log with one service of generation 5.
func startParent(t *testing.T, region string) (candidate parents.Candidate) {
	t.Helper()
	store := changelog.NewStore(region, changelog.Limits{})
	service := resource.Resource{Key: resource.Key{Service: "one", Kind: resource.KindService, Name: "one"},
		Service: &resource.Service{Region: region, DrainGrace: time.Second + 5*time.Millisecond, MaxAttempts: 1}}
	if got := hierarchy.Generation(service.Service); got != 5 {
		t.Fatalf("generation %d", got)
	}
	if _, err := store.Append(1, []resource.Change{{Resource: service}}); err != nil {
		t.Fatal(err)
	}
	source := publisher.New(publisher.Config{HeartbeatInterval: 50 * time.Millisecond})
	source.Publish(store)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	p := controlnet.NewProcess(controlnet.Config{Name: "parent", Keys: [][]byte{{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15}}, Cluster: "test", MaxSubscribers: 10,
		Publisher: source, Clock: func() time.Duration { return time.Since(started) }, Log: slog.New(slog.DiscardHandler)})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); p.Run(ctx, ln) }()
	t.Cleanup(func() { cancel(); <-ended })
	return parents.Candidate{Name: "parent", Address: ln.Addr().String()}
}

func TestHostReportsAppliedServicesUntilInputCloses(t *testing.T) {
	cfg := &HostConfig{Region: "north", Cluster: "test", Key: testKey, SilenceTimeout: time.Second, Parents: []parents.Candidate{startParent(t, "north")},
		Nodes: []NodeConfig{{Name: "n0", Services: []string{"one"}}, {Name: "n1", Services: []string{"one"}}}}
	in, input := io.Pipe()
	output, out := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		err := Run(context.Background(), cfg, in, out, slog.New(slog.DiscardHandler))
		out.Close()
		ended <- err
	}()
	reported := map[string]bool{}
	var final *Status
	for lines := json.NewDecoder(output); ; {
		var line Line
		if err := lines.Decode(&line); err != nil {
			break
		}
		if f := line.InForce; f != nil && f.Service == "one" && f.Generation == 5 {
			reported[f.Node] = true
		}
		if len(reported) == len(cfg.Nodes) {
			input.Close()
		}
		if line.Final != nil {
			final = line.Final
		}
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if final == nil || final.Nodes != 2 || final.Resources != 2 || final.MinPosition != (resource.Position{Epoch: 1, Version: 1}) || final.Counts.Received == 0 {
		t.Errorf("final status: %+v", final)
	}
}

func TestInvalidKey(t *testing.T) {
	if err := Run(context.Background(), &HostConfig{Key: "no"}, strings.NewReader(""), io.Discard, slog.New(slog.DiscardHandler)); err == nil {
		t.Error("a key that is not hexadecimal was accepted")
	}
}
